"""The life of one request that the router sends to targets itself.

What may be sent again follows from the route. A request that may run once is
sent to one target, unless nothing was sent or the target says that it did not
run it. Others go to another target after a failure, within the route's number
of targets and the shared budget. A stream that may be resumed goes on at
another target after the last whole event that the caller got.

A target that is only silent may be about to answer: one that read a long prompt
sent again 0.05 s after two streams had been ended there for want of another. It
is left when another has taken the request up, never before, so that silence
costs nobody the answer that was under way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer
from primrosescale.request.answer_relay import AnswerRelay
from primrosescale.request.direct_port import Refusal
from primrosescale.request.direct_port import Sending
from primrosescale.request.silence import Silence
from primrosescale.request.silence import SilenceVerdict
from primrosescale.request.silence import patience
from primrosescale.request.target_attempt import AttemptListener
from primrosescale.request.target_attempt import AttemptRecord
from primrosescale.request.target_attempt import TargetAttempt

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.request.direct_port import AnswerHead
    from primrosescale.request.direct_port import CallerSink
    from primrosescale.request.forward_tools import ForwardTools
    from primrosescale.request.incoming import IncomingRequest
    from primrosescale.request.target_choice import Choice
    from primrosescale.request.target_incarnation import TargetIncarnation
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
    tools : ForwardTools
        What all calls share.
    on_end : Callable[[ForwardedCall, str], None]
        Told of the end, once, with the outcome.
    """

    def __init__(
        self,
        request: IncomingRequest,
        sink: CallerSink,
        tools: ForwardTools,
        on_end: Callable[[ForwardedCall, str], None],
    ) -> None:
        self._request = request
        self._relay = AnswerRelay(sink, request.last_event)
        self._tools = tools
        self._on_end = on_end
        self._attempts: list[AttemptRecord] = []
        # The attempt whose answer the caller gets, and one that may replace it.
        self._serving: TargetAttempt | None = None
        self._successor: TargetAttempt | None = None
        self._sent_to: list[TargetIncarnation] = []
        self._avoid: set[TargetIncarnation] = set()
        self._unreached = 0
        self._may_have_run = False
        self._status: int | None = None
        self._is_held_up = False
        self._is_over = False
        self._timer: Timer | None = None
        self._stall: Timer | None = None
        self._trial: Timer | None = None
        self._waits_since = request.received_at
        self._verdict: SilenceVerdict | None = None
        self._hop = tools.start_hop("router", request.traceparent)

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
        left = self._request.give_up_at - now
        if left < self._tools.settings.shortest_time:
            self._refuse(Refusal.TOO_LATE)
            return
        self._timer = self._tools.clock.callLater(left, self._give_up)
        self._tools.budget_of(self._request.service).requested(now)
        self._serve_from_any(now)

    def caller_gone(self) -> None:
        """Take in that the caller has closed its connection."""
        if self._is_over:
            return
        self._leave_all("caller left")
        self._end("caller_gone")

    def pause(self) -> None:
        """Take no more bytes from the target for a while."""
        self._is_held_up = True
        if self._serving is not None:
            self._serving.pause()

    def resume(self) -> None:
        """Take bytes from the target again."""
        self._is_held_up = False
        if self._serving is not None:
            now = self._now()
            self._serving.resume(now)
            if self._serving.is_at_target:
                self._watch_silence(now)

    # What a target says

    def attempt_sent(self, attempt: TargetAttempt) -> None:
        """Note where it went; see `AttemptListener.attempt_sent`."""
        now = self._now()
        self._sent_to.append(attempt.incarnation)
        prompt = self._request.prompt
        if prompt is not None:
            if self._tools.parts.note_own(attempt.incarnation, prompt.parts, now):
                self._tools.parts_changed()
        if attempt is self._successor:
            trial = self._tools.settings.trial
            self._trial = self._tools.clock.callLater(trial, self._trial_over)
        else:
            self._watch_silence(now)

    def attempt_not_sent(self, attempt: TargetAttempt, detail: str) -> None:
        """Try another target; see `AttemptListener.attempt_not_sent`."""
        now = self._now()
        attempt.state.unreachable(now)
        attempt.leave(f"not sent: {detail}", now)
        self._avoid.add(attempt.incarnation)
        self._unreached += 1
        is_last = self._unreached >= self._tools.settings.unreached_most
        is_successor = attempt is self._successor
        if self._goes_on_without(attempt, now):
            choice = None if is_last or not is_successor else self._choose_sure(now)
            if choice is not None:
                self._ask_successor(choice, now)
            return
        if is_last:
            self._fail(Refusal.NO_TARGET)
            return
        self._serve_from_any(now)

    def attempt_head(self, attempt: TargetAttempt, head: AnswerHead) -> None:
        """Look at the head of an answer; see `AttemptListener.attempt_head`."""
        now = self._now()
        attempt.state.heard(now)
        if head.load is not None:
            attempt.state.reported(head.load, now)
        if head.is_not_run or head.is_other_incarnation:
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
        attempt.head = head
        is_stream = self._request.route.is_stream and _is_success(head)
        if attempt is self._successor:
            if not is_stream:
                # A plain answer counts when it is whole.
                return
            self._take_over(now)
        self._status = head.status
        if is_stream:
            self._relay.begin_stream(head)
            self._watch_silence(now)

    def attempt_data(self, attempt: TargetAttempt, data: bytes) -> None:
        """Hand bytes on, or hold them back; see `AttemptListener.attempt_data`."""
        now = self._now()
        attempt.state.heard(now)
        if self._relay.is_stream:
            self._drop_successor("not needed: the target before went on", now)
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
        if not self._relay.has_begun:
            self._pass_on(attempt, now)
        attempt.leave("answered", now, is_whole=True)
        self._relay.finish()
        self._end("answered")

    def attempt_cut(self, attempt: TargetAttempt, detail: str) -> None:
        """Go on elsewhere if allowed; see `AttemptListener.attempt_cut`."""
        self._may_have_run = True
        self._lost(attempt, detail, self._now())

    def _fault_of(self, head: AnswerHead) -> str:
        """Return why an answer cannot be this request's; empty if it can."""
        if head.request_id != self._request.request_id:
            return "answer of another request"
        if _is_success(head):
            return "" if head.is_receipted else "no receipt"
        if self._relay.is_stream:
            return f"status {head.status} in place of the rest"
        return ""

    # Where it goes

    def _serve_from_any(self, now: float) -> None:
        """Send it to a target, even a doubtful one; refuse it if there is none."""
        left = self._request.give_up_at - now
        if left < self._tools.settings.shortest_time:
            self._fail(Refusal.TIMED_OUT_UNSENT)
            return
        choice = self._choose(now)
        if choice is None:
            self._fail(Refusal.NO_TARGET)
            return
        self._serve_from(choice, now)

    def _serve_from(self, choice: Choice, now: float) -> None:
        attempt = self._new_attempt(choice, now)
        self._serving = attempt
        attempt.begin(self._tools.caller, self._sending(attempt, choice, now), now)
        if self._is_held_up:
            attempt.pause()

    def _choose(self, now: float) -> Choice | None:
        return self._tools.chooser.choose(
            self._tools.states_of(self._request.service),
            {*self._sent_to, *self._avoid},
            self._request.prompt,
            now,
        )

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
            choice.held,
            source.target.name if source is not None else "",
        )
        self._attempts.append(record)
        hop = self._tools.start_hop("target", self._hop.traceparent)
        return TargetAttempt(self, choice.state, record, hop)

    def _sending(self, attempt: TargetAttempt, choice: Choice, now: float) -> Sending:
        source = choice.fetch_from
        return Sending(
            request=self._request,
            target=choice.state.target,
            time_left=self._request.give_up_at - now,
            resume_after=self._relay.last_event,
            fetch_from=source.target if source is not None else None,
            needs_new_connection=self._needs_new_connection(choice.state, now),
            traceparent=attempt.traceparent,
        )

    def _needs_new_connection(self, state: TargetState, now: float) -> bool:
        """Tell whether a kept connection could cost the only attempt.

        A connection that opens shows that the target lives, and no old answer
        can be on it.
        """
        route = self._request.route
        if route.may_repeat:
            return False
        if not route.is_stream:
            return True
        return now - state.heard_at > self._tools.settings.heard_lately

    # After a failure

    def _next_choice(self, now: float, *, is_sure: bool = False) -> Choice | None:
        """Return another target, paid for; None when the request may not go on."""
        left = self._request.give_up_at - now
        if left < self._tools.settings.shortest_time or not self._has_targets_left():
            return None
        choice = self._choose_sure(now) if is_sure else self._choose(now)
        if choice is None or not self._spend(now):
            return None
        return choice

    def _may_repeat(self) -> bool:
        """Tell whether it may be sent again though it may have run."""
        is_held_back = self._relay.is_stream or not self._relay.has_begun
        return self._request.route.may_repeat and is_held_back

    def _has_targets_left(self) -> bool:
        return len(set(self._sent_to)) < self._request.route.max_targets

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
        if self._goes_on_without(attempt, now):
            return
        choice = self._next_choice(now)
        if choice is None:
            self._fail(Refusal.TARGETS_FULL)
            return
        self._serve_from(choice, now)

    def _lost(self, attempt: TargetAttempt, detail: str, now: float) -> None:
        """Take in that the request may have run and its answer is lost."""
        attempt.state.failed(now)
        attempt.leave(f"lost: {detail}", now)
        if self._goes_on_without(attempt, now):
            return
        choice = self._next_choice(now) if self._may_repeat() else None
        if choice is None:
            self._fail(Refusal.CUT)
            return
        self._serve_from(choice, now)

    def _passes_over(
        self, attempt: TargetAttempt, head: AnswerHead, now: float
    ) -> bool:
        """Ask another target after a failure; False passes the failure on."""
        outcome = f"status {head.status}"
        if self._successor is not None:
            attempt.leave(outcome, now)
            return self._goes_on_without(attempt, now)
        # The failure is an answer that is there: not given up for a doubtful one.
        choice = self._next_choice(now, is_sure=True) if self._may_repeat() else None
        if choice is None:
            return False
        attempt.leave(outcome, now)
        self._serve_from(choice, now)
        return True

    def _goes_on_without(self, attempt: TargetAttempt, now: float) -> bool:
        """Tell whether the other of two attempts goes on after one was left."""
        if attempt is self._successor:
            self._forget_successor()
            self._watch_further(now)
            return True
        if self._successor is not None:
            self._take_over(now)
            return True
        self._serving = None
        return False

    def _fail(self, refusal: Refusal) -> None:
        """End without an answer, and say "not run" only when that is so."""
        if self._relay.has_begun:
            self._relay.break_off()
            self._end(f"broken_off: {refusal.name.lower()}")
            return
        if self._may_have_run and refusal.is_not_run:
            refusal = Refusal.CUT
        self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        tools = self._tools
        come_back = tools.settings.come_back_after(refusal, tools.rng)
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
        if attempt is self._successor:
            self._take_over(now)
        else:
            self._drop_successor("not needed: the target before answered", now)
        self._status = head.status
        self._note_lateness(attempt, now)
        self._relay.begin(head, attempt.take_held(), now)

    def _note_lateness(self, attempt: TargetAttempt, now: float) -> None:
        if now - attempt.began_at > self._request.route.latency_objective:
            attempt.state.late(now)

    # Silence and time

    def _watch_silence(self, now: float) -> None:
        """Ask another target once this one has been silent, where allowed."""
        self._waits_since = now
        self._verdict = None
        cancel_timer(self._stall)
        self._stall = None
        route = self._request.route
        if route.may_repeat or self._relay.first_byte_at is None:
            self._watch_again(now)

    def _watch_again(self, now: float) -> None:
        left = self._patience() - (now - self._waits_since)
        self._watch_in(min(left, self._tools.settings.silence_patience), now)

    def _watch_further(self, now: float) -> None:
        self._watch_in(self._tools.settings.silence_patience, now)

    def _watch_in(self, pause: float, now: float) -> None:
        cancel_timer(self._stall)
        self._stall = None
        if now + pause < self._request.give_up_at:
            self._stall = self._tools.clock.callLater(max(0.0, pause), self._silent)

    def _patience(self) -> float:
        has_begun = self._relay.first_byte_at is not None
        return patience(self._tools.settings, self._request, has_begun=has_begun)

    def _silent(self) -> None:
        self._stall = None
        attempt = self._serving
        if self._is_over or attempt is None:
            return
        now = self._now()
        if self._is_held_up:
            # Nothing of it is read, since its caller takes nothing.
            self._watch_further(now)
            return
        state = attempt.state
        least = self._tools.settings.silence_patience - TIMER_SLACK
        is_target_silent = state.silence(now) >= least
        waited = now - self._waits_since
        if not is_target_silent and waited < self._patience() - TIMER_SLACK:
            self._watch_again(now)
            return
        if not self._request.route.may_repeat:
            # It stays where it is; what it shows is for the requests to come.
            self._tell_silence(attempt, SilenceVerdict.MAY_NOT_REPEAT, now)
            state.failed(now)
            return
        self._watch_further(now)
        if self._successor is not None:
            return
        choice = self._next_choice(now, is_sure=True) if self._may_repeat() else None
        if choice is None:
            self._tell_silence(attempt, SilenceVerdict.KEPT, now)
            return
        self._tell_silence(attempt, SilenceVerdict.ANOTHER_ASKED, now)
        if is_target_silent:
            state.unreachable(now)
        else:
            state.failed(now)
        self._may_have_run = True
        self._ask_successor(choice, now)

    def _tell_silence(
        self, attempt: TargetAttempt, verdict: SilenceVerdict, now: float
    ) -> None:
        """Have a judgement logged, once while it stays the same."""
        if verdict is self._verdict:
            return
        self._verdict = verdict
        tools = self._tools
        others = tools.chooser.count_open(
            tools.states_of(self._request.service),
            {*self._sent_to, *self._avoid},
            now,
        )
        silence = Silence(
            target=attempt.name,
            silent_for=attempt.state.silence(now),
            waited=now - self._waits_since,
            others=others,
            verdict=verdict,
        )
        tools.silence_judged(self._request, silence)

    # A successor on trial

    def _ask_successor(self, choice: Choice, now: float) -> None:
        """Send it to another target as well, to see which goes on first."""
        attempt = self._new_attempt(choice, now)
        self._successor = attempt
        attempt.begin(self._tools.caller, self._sending(attempt, choice, now), now)

    def _trial_over(self) -> None:
        """Leave the silent target: another has not declined for long enough."""
        self._trial = None
        serving, successor = self._serving, self._successor
        if serving is None or successor is None:
            return
        now = self._now()
        if successor.state.is_avoided(now):
            self._drop_successor("silent too", now)
            self._watch_further(now)
        elif serving.head is None or self._relay.is_stream:
            self._take_over(now)

    def _take_over(self, now: float) -> None:
        """Have the successor's answer passed on."""
        left, self._serving = self._serving, self._successor
        self._forget_successor()
        if left is not None:
            left.leave("silent", now)
        if self._is_held_up and self._serving is not None:
            self._serving.pause()
        self._watch_silence(now)

    def _drop_successor(self, outcome: str, now: float) -> None:
        if self._successor is not None:
            self._successor.leave(outcome, now)
            self._forget_successor()

    def _forget_successor(self) -> None:
        self._successor = None
        cancel_timer(self._trial)
        self._trial = None

    # The end

    def _give_up(self) -> None:
        """Answer at the time at which the caller or the route gives up."""
        self._timer = None
        if self._is_over:
            return
        now = self._now()
        for attempt in (self._serving, self._successor):
            if attempt is not None and attempt.is_at_target:
                attempt.state.failed(now)
                self._may_have_run = True
        self._leave_all("timed out")
        sent = self._may_have_run
        self._fail(Refusal.TIMED_OUT if sent else Refusal.TIMED_OUT_UNSENT)

    def _leave_all(self, outcome: str) -> None:
        now = self._now()
        self._drop_successor(outcome, now)
        if self._serving is not None:
            self._serving.leave(outcome, now)
            self._serving = None

    def _end(self, outcome: str) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._leave_all("not needed: the request ended")
        for timer in (self._timer, self._stall):
            cancel_timer(timer)
        self._timer = None
        self._stall = None
        self._hop.end(request=self._request.request_id, outcome=outcome)
        self._on_end(self, outcome)

    def _now(self) -> float:
        return self._tools.clock.seconds()


def _is_success(head: AnswerHead) -> bool:
    return FIRST_SUCCESS <= head.status < FIRST_REDIRECT
