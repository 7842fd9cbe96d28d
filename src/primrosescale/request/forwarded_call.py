"""The course of one request that the router sends to targets itself.

What may be sent again follows from the route. A request that may run once is
sent to one target, unless nothing was sent or the target says that it did not
run it. Others go to another target after a failure, within the route's number
of targets and the shared budget. A stream that may be resumed goes on at
another target after the last whole event that the caller got.

A target that is only silent may be about to answer: one that read a long prompt
sent again 0.05 s after two streams had been ended there for want of another. The
request is sent to another target as well, and the first of the two that goes on
has the caller. The silent one is left with the other's head, never before, so
that silence costs nobody the answer that was under way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer
from primrosescale.request.answer_relay import AnswerRelay
from primrosescale.request.attempt_pair import AttemptPair
from primrosescale.request.forwarding_interfaces import OutgoingRequest
from primrosescale.request.forwarding_interfaces import Refusal
from primrosescale.request.silent_target import SilenceReport
from primrosescale.request.silent_target import SilenceVerdict
from primrosescale.request.silent_target import patience
from primrosescale.request.target_attempt import AttemptListener
from primrosescale.request.target_attempt import AttemptRecord
from primrosescale.request.target_attempt import TargetAttempt
from primrosescale.request.tried_targets import TriedTargets

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primrosescale.clock import Timer
    from primrosescale.request.forward_tools import ForwardingContext
    from primrosescale.request.forwarding_interfaces import AnswerHead
    from primrosescale.request.forwarding_interfaces import CallerSink
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target_choice import Choice
    from primrosescale.request.target_state import TargetState

FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
FIRST_SERVER_ERROR = 500
# A timer may fire this much before the time that it was set for, by rounding.
TIMER_SLACK = 0.001


class ForwardedCall(AttemptListener):
    """One request, from its acceptance to its end.

    Parameters
    ----------
    request : IncomingRequest
        The request.
    sink : CallerSink
        The caller.
    tools : ForwardingContext
        What all calls share.
    on_end : Callable[[ForwardedCall, str], None]
        Told of the end, once, with the outcome.
    """

    def __init__(
        self,
        request: IncomingRequest,
        sink: CallerSink,
        tools: ForwardingContext,
        on_end: Callable[[ForwardedCall, str], None],
    ) -> None:
        self._request = request
        self._relay = AnswerRelay(sink, request.last_event)
        self._tools = tools
        self._on_end = on_end
        self._attempts: list[AttemptRecord] = []
        self._pair = AttemptPair()
        self._tried = TriedTargets(request.route.max_targets)
        self._unreached = 0
        self._may_have_run = False
        self._is_suspect = False
        self._status: int | None = None
        self._is_held_up = False
        self._is_over = False
        self._timer: Timer | None = None
        self._stall: Timer | None = None
        self._waits_since = request.received_at
        self._verdict: SilenceVerdict | None = None
        self._room: Timer | None = None
        self._span = tools.start_span("router", request.traceparent)

    @property
    def request(self) -> IncomingRequest:
        """Return the request."""
        return self._request

    @property
    def attempts(self) -> list[AttemptRecord]:
        """Return the attempts so far."""
        return self._attempts

    @property
    def status(self) -> int | None:
        """Return the status of the target's answer that is passed on, if any."""
        return self._status

    @property
    def is_suspect(self) -> bool:
        """Tell whether an answer to it was lost, or it was held back."""
        return self._is_suspect

    @property
    def first_byte_at(self) -> float | None:
        """Return when the caller got the first byte, in seconds."""
        return self._relay.first_byte_at

    @property
    def is_over(self) -> bool:
        """Tell whether it has ended."""
        return self._is_over

    def start(self, now: float) -> None:
        """Send the request, or refuse it at once.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if not self._has_time_left(now):
            self._refuse(Refusal.TOO_LATE)
            return
        left = self._request.give_up_at - now
        self._timer = self._tools.clock.callLater(left, self._give_up)
        self._tools.budget_of(self._request.service).requested(now)
        self._serve_from_any(now)

    def caller_gone(self) -> None:
        """Take in that the caller has closed its connection."""
        if self._is_over:
            return
        self._pair.leave_all("caller left", self._now())
        self._end("caller_gone")

    def pause(self) -> None:
        """Take no more bytes from the target for a while."""
        self._is_held_up = True
        self._drop_successor("not needed: the caller is slow", self._now())
        if self._pair.serving is not None:
            self._pair.serving.pause()

    def resume(self) -> None:
        """Take bytes from the target again."""
        self._is_held_up = False
        serving = self._pair.serving
        if serving is not None:
            now = self._now()
            serving.resume(now)
            self._watch_silence(now)

    # What a target says

    def attempt_sent(self, attempt: TargetAttempt) -> None:
        """Note where it went; see `AttemptListener.attempt_sent`."""
        now = self._now()
        self._tried.sent(attempt.incarnation)
        self._tools.harm.sent(self._request, now)
        prompt = self._request.prompt
        if prompt is not None:
            is_worth_sharing = self._tools.parts.record_own_request(
                attempt.incarnation,
                prompt.parts,
                now,
                is_expected=attempt.is_home,
            )
            if is_worth_sharing:
                self._tools.parts_changed()
        if attempt is self._pair.serving:
            self._watch_silence(now)

    def attempt_not_sent(self, attempt: TargetAttempt, detail: str) -> None:
        """Try another target; see `AttemptListener.attempt_not_sent`."""
        now = self._now()
        attempt.state.unreachable(now)
        self._tools.harm.not_reached(attempt.state, now)
        attempt.leave(f"not sent: {detail}", now)
        self._tried.not_sent(attempt.incarnation)
        was_serving = attempt is self._pair.serving
        if self._other_goes_on(attempt, now):
            # The repeat is paid for already.
            may_ask = not was_serving and not self._held_for(now)
            choice = self._choose_sure(now) if may_ask else None
            if choice is not None:
                self._ask_besides(choice, now)
            return
        self._unreached += 1
        if self._unreached >= self._tools.settings.unreached_most:
            self._fail(Refusal.NO_TARGET)
            return
        self._serve_from_any(now)

    def attempt_head(self, attempt: TargetAttempt, head: AnswerHead) -> None:
        """Look at the head of an answer; see `AttemptListener.attempt_head`."""
        now = self._now()
        if head.is_other_incarnation:
            self._tools.harm.replaced(attempt.state, now)
            self._declined(attempt, head, now)
            return
        if attempt.state.answered(head, now):
            self._tools.self_report_received(self._request, attempt.state, head)
        self._tools.harm.answer_began(attempt.state, attempt.began_at, now)
        if head.is_not_run:
            self._declined(attempt, head, now)
            return
        self._may_have_run = True
        fault = self._fault_of(head)
        if fault:
            self._lost(attempt, fault, now)
            return
        if head.status >= FIRST_SERVER_ERROR:
            attempt.state.failed(now)
            if self._passes_over(attempt, head, now):
                return
        self._settle_on(attempt, now)
        attempt.head = head
        self._status = head.status
        if self._request.route.is_stream and _is_success(head):
            self._relay.begin_stream(head)
        self._watch_silence(now)

    def attempt_data(self, attempt: TargetAttempt, data: bytes) -> None:
        """Hand bytes on, or hold them back; see `AttemptListener.attempt_data`."""
        now = self._now()
        attempt.state.bytes_received(now)
        self._settle_on(attempt, now)
        if self._relay.is_stream:
            self._pass_events(attempt, data, now)
            return
        if self._relay.has_begun:
            self._relay.write(data)
            return
        attempt.hold(data)
        if attempt.held_bytes > self._tools.settings.buffer_limit:
            self._pass_on(attempt, now)

    def attempt_done(self, attempt: TargetAttempt) -> None:
        """End the answer; see `AttemptListener.attempt_done`."""
        now = self._now()
        if self._relay.is_stream and attempt.is_inside_event:
            self._lost(attempt, "stream ended inside an event", now)
            return
        head = attempt.head
        if head is not None and head.status < FIRST_SERVER_ERROR:
            attempt.state.succeeded(now)
            self._tools.harm.answered(self._request, attempt.state, now)
        if not self._relay.has_begun:
            self._pass_on(attempt, now)
        attempt.leave("answered", now, is_whole=True)
        self._relay.finish()
        self._end("answered")

    def attempt_cut(self, attempt: TargetAttempt, detail: str) -> None:
        """Go on elsewhere if allowed; see `AttemptListener.attempt_cut`."""
        self._may_have_run = True
        self._lost(attempt, detail, self._now())

    def _settle_on(self, attempt: TargetAttempt, now: float) -> None:
        """Leave the other of two attempts: this one has gone on first."""
        if attempt is self._pair.successor:
            self._may_have_run = True
            self._pair.promote("silent", now)
        else:
            self._drop_successor("not needed: the target before went on", now)

    def _fault_of(self, head: AnswerHead) -> str:
        """Return why an answer cannot be this request's; empty if it can."""
        if head.request_id != self._request.request_id:
            return "answer of another request"
        if _is_success(head):
            return "" if head.has_receipt else "no receipt"
        if self._relay.is_stream:
            return f"status {head.status} in place of the rest"
        return ""

    # Where it goes

    def _serve_from_any(self, now: float) -> None:
        """Send it to a target, even a doubtful one; refuse it if there is none."""
        if not self._has_time_left(now):
            self._fail(Refusal.TIMED_OUT_UNSENT)
            return
        if self._held_for(now):
            self._fail(Refusal.HELD_BACK)
            return
        choice = self._choose(now)
        if choice is not None:
            self._serve_from(choice, now)
        else:
            self._serve_once_there_is_room(now)

    def _serve_once_there_is_room(self, now: float) -> None:
        """Wait for a target, or refuse it with the time until there is room."""
        states = self._states()
        excluded = self._tried.excluded(states)
        left = [state for state in states if state.incarnation not in excluded]
        room_in = self._tools.availability.shortest_wait(left, now)
        if not room_in:
            crowded = left and self._tools.chooser.is_crowded(states, now)
            self._fail(Refusal.TARGETS_CROWDED if crowded else Refusal.NO_TARGET)
        elif now + room_in <= self._latest_start():
            self._room = self._tools.clock.callLater(room_in, self._look_for_room)
        elif all(state.self_reports.is_limited for state in left if state.takes_work):
            self._fail_while_all_rest(room_in)
        else:
            self._fail(Refusal.TARGETS_COLD, room_in)

    def _fail_while_all_rest(self, room_in: float) -> None:
        """Refuse it until after the first rest, by times that are spread."""
        refusal = Refusal.TARGETS_RESTING
        spread = self._tools.settings.retry_delay(refusal, self._tools.rng) or 0.0
        self._fail(refusal, room_in + spread)

    def _latest_start(self) -> float:
        """Return until when waiting for a cold target may still serve in time."""
        objective = self._request.route.latency_objective
        patience = self._tools.settings.cold_patience * objective
        return min(self._request.received_at + patience, self._request.give_up_at)

    def _look_for_room(self) -> None:
        self._room = None
        if not self._is_over:
            self._serve_from_any(self._now())

    def _serve_from(self, choice: Choice, now: float) -> None:
        attempt = self._new_attempt(choice, now)
        self._pair.serve_from(attempt)
        # Silence counts from the sending on.
        self._stop_watching()
        self._begin(attempt, choice, now)
        if self._is_held_up:
            attempt.pause()

    def _ask_besides(self, choice: Choice, now: float) -> None:
        """Send it to another target as well, to see which goes on first."""
        attempt = self._new_attempt(choice, now)
        self._pair.ask(attempt)
        self._begin(attempt, choice, now)

    def _choose(self, now: float) -> Choice | None:
        states = self._states()
        return self._tools.chooser.choose(
            states, self._tried.excluded(states), self._request.prompt, now
        )

    def _states(self) -> Sequence[TargetState]:
        states = self._tools.states_of(self._request.service)
        allowed = self._request.allowed_regions
        if allowed is None:
            return states
        region_of = self._tools.regions.get
        return [state for state in states if region_of(state.target.domain) in allowed]

    def _choose_sure(self, now: float) -> Choice | None:
        """Return a target that nothing speaks against."""
        choice = self._choose(now)
        if choice is None or choice.state.is_avoided(now):
            return None
        return choice

    def _new_attempt(self, choice: Choice, now: float) -> TargetAttempt:
        source = choice.fetch_from
        record = AttemptRecord(
            choice.state.target.name,
            now,
            round(choice.load, 1),
            round(choice.mean, 1),
            choice.load_age,
            choice.held,
            choice.is_home,
            source.target.name if source is not None else "",
            passed_cold=choice.passed_cold,
            passed_resting=choice.passed_resting,
        )
        self._attempts.append(record)
        self._tried.engage(choice.state.incarnation)
        span = self._tools.start_span("target", self._span.traceparent)
        return TargetAttempt(self, choice.state, record, span)

    def _begin(self, attempt: TargetAttempt, choice: Choice, now: float) -> None:
        source = choice.fetch_from
        sending = OutgoingRequest(
            request=self._request,
            target=choice.state.target,
            time_left=self._request.give_up_at - now,
            resume_after=self._relay.last_event,
            fetch_from=source.target if source is not None else None,
            needs_new_connection=self._needs_new_connection(attempt, now),
            traceparent=attempt.traceparent,
        )
        self._tools.availability.sent(attempt.state, now)
        attempt.begin(self._tools.caller, sending, now)

    def _needs_new_connection(self, attempt: TargetAttempt, now: float) -> bool:
        """Tell whether a kept connection could cost an attempt that matters.

        A connection that opens shows that the target lives, and no old answer
        can be on it.
        """
        if attempt is self._pair.successor:
            return True
        route = self._request.route
        if route.may_retry:
            return False
        if not route.is_stream:
            return True
        return now - attempt.state.last_received_at > self._tools.settings.heard_lately

    # After a failure

    def _next_choice(self, now: float, *, is_sure: bool = False) -> Choice | None:
        """Return another target, paid for; None when the request may not go on."""
        if not self._has_time_left(now):
            return None
        choice = self._choose_sure(now) if is_sure else self._choose(now)
        if choice is None or not self._spend(now):
            return None
        return choice

    def _has_time_left(self, now: float) -> bool:
        left = self._request.give_up_at - now
        return left >= self._tools.settings.shortest_time

    def _may_repeat(self, now: float) -> bool:
        """Tell whether it may be sent again though it may have run."""
        if not self._request.route.may_retry or self._held_for(now):
            return False
        return self._relay.is_stream or not self._relay.has_begun

    def _held_for(self, now: float) -> float:
        """Return the seconds for which no target should run it."""
        return self._tools.harm.held_for(self._request, now)

    def _spend(self, now: float) -> bool:
        budget = self._tools.budget_of(self._request.service)
        return budget.spend(self._tools.routers(), now)

    def _declined(self, attempt: TargetAttempt, head: AnswerHead, now: float) -> None:
        """Take in that the target did not run the request."""
        if head.is_other_incarnation:
            attempt.state.unreachable(now)
        else:
            attempt.state.failed(now)
        attempt.leave(f"declined with status {head.status}", now)
        if self._other_goes_on(attempt, now):
            return
        choice = None if self._held_for(now) else self._next_choice(now)
        if choice is not None:
            self._serve_from(choice, now)
            return
        room_in = self._tools.availability.shortest_wait(self._states(), now)
        if room_in and attempt.state.self_reports.has_requested_pause(now):
            self._fail_while_all_rest(room_in)
        else:
            self._fail(Refusal.TARGETS_FULL)

    def _lost(self, attempt: TargetAttempt, detail: str, now: float) -> None:
        """Take in that the request may have run and its answer is lost."""
        self._is_suspect = True
        attempt.state.failed(now)
        attempt.leave(f"lost: {detail}", now)
        self._tools.harm.answer_lost(self._request, attempt.state, now)
        if self._other_goes_on(attempt, now):
            return
        choice = self._next_choice(now) if self._may_repeat(now) else None
        if choice is None:
            self._fail(Refusal.CUT)
            return
        self._serve_from(choice, now)

    def _passes_over(
        self, attempt: TargetAttempt, head: AnswerHead, now: float
    ) -> bool:
        """Ask another target after a failure; False passes the failure on."""
        outcome = f"status {head.status}"
        successor = self._pair.successor
        if successor is not None:
            if attempt is not successor and not successor.is_at_target:
                return False
            attempt.leave(outcome, now)
            return self._other_goes_on(attempt, now)
        # The failure is an answer that is there: not given up for a doubtful one.
        choice = self._next_choice(now, is_sure=True) if self._may_repeat(now) else None
        if choice is None:
            return False
        attempt.leave(outcome, now)
        self._serve_from(choice, now)
        return True

    def _other_goes_on(self, attempt: TargetAttempt, now: float) -> bool:
        """Have the other of two attempts go on after one was left, if there is."""
        was_serving = attempt is self._pair.serving
        if not self._pair.remove(attempt, now):
            return False
        if was_serving:
            self._watch_silence(now)
        else:
            self._judge_in(self._tools.settings.silence_patience, now)
        return True

    def _drop_successor(self, outcome: str, now: float) -> None:
        left = self._pair.drop_successor(outcome, now)
        if left is not None:
            self._tried.spare(left.incarnation)

    def _fail(self, refusal: Refusal, come_back: float | None = None) -> None:
        """End without an answer, and say "not run" only when that is so."""
        if self._relay.has_begun:
            self._relay.abort()
            self._end(f"broken_off: {refusal.name.lower()}")
            return
        if self._may_have_run and refusal.is_not_run:
            refusal, come_back = Refusal.CUT, None
        self._refuse(refusal, come_back)

    def _refuse(self, refusal: Refusal, come_back: float | None = None) -> None:
        tools = self._tools
        if come_back is None:
            come_back = tools.settings.retry_delay(refusal, tools.rng)
        held_for = self._held_for(self._now())
        if held_for and refusal.is_not_run:
            # Whatever else kept it from being sent, it would not be sent sooner.
            self._is_suspect = True
            refusal, come_back = Refusal.HELD_BACK, held_for
        self._relay.refuse(refusal, come_back)
        self._end(f"refused: {refusal.name.lower()}")

    # Passing on

    def _pass_events(self, attempt: TargetAttempt, data: bytes, now: float) -> None:
        try:
            events = attempt.split(data)
        except ValueError as error:
            self._lost(attempt, str(error), now)
            return
        is_first = self._relay.first_byte_at is None
        if not self._relay.pass_events(events, now):
            return
        if is_first:
            self._note_lateness(attempt, now)
        self._watch_silence(now)

    def _pass_on(self, attempt: TargetAttempt, now: float) -> None:
        """Send what was held back of a plain answer."""
        head = attempt.head
        if head is None:
            return
        self._note_lateness(attempt, now)
        self._relay.begin(head, attempt.take_held(), now)

    def _note_lateness(self, attempt: TargetAttempt, now: float) -> None:
        if now - attempt.began_at > self._request.route.latency_objective:
            attempt.state.answered_late(now)

    # Silence and time

    def _watch_silence(self, now: float) -> None:
        """Count the silence of the serving target from now on, where it matters.

        A judgement that is due already stands: it comes no later than the next
        one can be, and setting it anew with each event took a third of the time
        that an event takes here.
        """
        self._waits_since = now
        self._verdict = None
        serving = self._pair.serving
        if self._stall is not None or serving is None or not serving.is_at_target:
            return
        if self._is_silence_watched():
            self._judge_in(self._silence_due_in(serving, now), now)

    def _is_silence_watched(self) -> bool:
        may_retry = self._request.route.may_retry
        return may_retry or self._relay.first_byte_at is None

    def _stop_watching(self) -> None:
        cancel_timer(self._stall)
        self._stall = None

    def _judge_in(self, pause: float, now: float) -> None:
        self._stop_watching()
        if now + pause < self._request.give_up_at:
            self._stall = self._tools.clock.callLater(
                max(0.0, pause), self._judge_silence
            )

    def _silence_due_in(self, serving: TargetAttempt, now: float) -> float:
        """Return the seconds until the silence of a target is too long.

        It is after a short time for one that sends nothing to anyone here, and
        after a longer one for one that others hear from.
        """
        settings = self._tools.settings
        has_begun = self._relay.first_byte_at is not None
        for_all = settings.silence_patience - serving.state.silence(now)
        for_this = patience(settings, self._request, has_begun=has_begun)
        return min(for_all, for_this - (now - self._waits_since))

    def _judge_silence(self) -> None:
        self._stall = None
        serving = self._pair.serving
        if self._is_over or serving is None or not serving.is_at_target:
            return
        if not self._is_silence_watched():
            return
        now = self._now()
        again = self._tools.settings.silence_patience
        if self._is_held_up:
            # Nothing of it is read, since its caller takes nothing.
            self._judge_in(again, now)
            return
        due = self._silence_due_in(serving, now)
        if due > TIMER_SLACK:
            self._judge_in(due, now)
            return
        if not self._request.route.may_retry:
            # It stays where it is; what it shows is for the requests to come.
            self._tell_silence(serving, SilenceVerdict.MAY_NOT_REPEAT, now)
            serving.state.failed(now)
            return
        self._judge_in(again, now)
        self._ask_for_silence(serving, now)

    def _ask_for_silence(self, serving: TargetAttempt, now: float) -> None:
        """Ask another target besides a silent one, if one can be asked."""
        successor = self._pair.successor
        if successor is not None and not successor.state.is_avoided(now):
            return
        if not self._may_repeat(now) or not self._has_time_left(now):
            return
        choice = self._choose_sure(now)
        if choice is None:
            self._tell_silence(serving, SilenceVerdict.NO_OTHER, now)
            return
        if not self._spend(now):
            self._tell_silence(serving, SilenceVerdict.NO_BUDGET, now)
            return
        self._tell_silence(serving, SilenceVerdict.ANOTHER_ASKED, now)
        least = self._tools.settings.silence_patience - TIMER_SLACK
        if serving.state.silence(now) >= least:
            serving.state.unreachable(now)
        else:
            serving.state.failed(now)
        self._pair.drop_successor("silent too", now)
        self._ask_besides(choice, now)

    def _tell_silence(
        self, attempt: TargetAttempt, verdict: SilenceVerdict, now: float
    ) -> None:
        """Have a judgement logged, once while it stays the same."""
        if verdict is self._verdict:
            return
        self._verdict = verdict
        tools = self._tools
        states = self._states()
        silence = SilenceReport(
            target=attempt.name,
            silent_for=attempt.state.silence(now),
            waited=now - self._waits_since,
            others=tools.chooser.count_available(
                states, self._tried.excluded(states), now
            ),
            verdict=verdict,
        )
        tools.silence_judged(self._request, silence)

    # The end

    def _give_up(self) -> None:
        """Answer at the time at which the caller or the route gives up."""
        self._timer = None
        if self._is_over:
            return
        now = self._now()
        for attempt in (self._pair.serving, self._pair.successor):
            if attempt is not None and attempt.is_at_target:
                attempt.state.failed(now)
                self._may_have_run = True
        self._pair.leave_all("timed out", now)
        sent = self._may_have_run
        self._fail(Refusal.TIMED_OUT if sent else Refusal.TIMED_OUT_UNSENT)

    def _end(self, outcome: str) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._pair.leave_all("not needed: the request ended", self._now())
        cancel_timer(self._timer)
        self._timer = None
        cancel_timer(self._room)
        self._stop_watching()
        self._span.end(request=self._request.request_id, outcome=outcome)
        self._on_end(self, outcome)

    def _now(self) -> float:
        return self._tools.clock.seconds()


def _is_success(head: AnswerHead) -> bool:
    return FIRST_SUCCESS <= head.status < FIRST_REDIRECT
