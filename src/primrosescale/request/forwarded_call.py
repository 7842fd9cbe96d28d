"""The life of one request that the router sends to targets itself.

What may be sent again follows from the route. A request that may run once is
sent to one target, unless nothing was sent or the target says that it did not
run it. Others go to another target after a failure, within the route's number
of targets and the shared budget. A stream that may be resumed goes on at
another target after the last whole event that the caller got.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer
from primrosescale.request.direct_port import Refusal
from primrosescale.request.direct_port import RunObserver
from primrosescale.request.direct_port import Sending
from primrosescale.request.event_stream import EventSplitter
from primrosescale.request.forward_tools import Attempt
from primrosescale.request.hop import NO_HOP
from primrosescale.request.silence import Silence
from primrosescale.request.silence import SilenceVerdict

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.request.direct_port import AnswerHead
    from primrosescale.request.direct_port import CallerSink
    from primrosescale.request.direct_port import Run
    from primrosescale.request.forward_tools import ForwardTools
    from primrosescale.request.hop import Hop
    from primrosescale.request.incoming import IncomingRequest
    from primrosescale.request.target_choice import Choice
    from primrosescale.request.target_state import TargetState

FIRST_SUCCESS = 200
FIRST_REDIRECT = 300
FIRST_SERVER_ERROR = 500
# A timer may fire this much before the time that it was set for, by rounding.
TIMER_SLACK = 0.001


class ForwardedCall(RunObserver):
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
        self._sink = sink
        self._tools = tools
        self._on_end = on_end
        self._attempts: list[Attempt] = []
        self._state: TargetState | None = None
        self._run: Run | None = None
        self._sent_to: list[str] = []
        self._avoid: set[str] = set()
        self._unreached = 0
        self._may_have_run = False
        self._is_at_target = False
        self._head: AnswerHead | None = None
        self._first_head: AnswerHead | None = None
        self._held_back: list[bytes] = []
        self._held_bytes = 0
        self._is_passing = False
        self._splitter = EventSplitter()
        self._last_event = request.last_event
        self._first_byte_at: float | None = None
        self._is_over = False
        self._timer: Timer | None = None
        self._stall: Timer | None = None
        self._waits_since = request.received_at
        self._hop = tools.start_hop("router", request.traceparent)
        self._target_hop: Hop = NO_HOP

    @property
    def request(self) -> IncomingRequest:
        """Return the request."""
        return self._request

    @property
    def attempts(self) -> list[Attempt]:
        """Return the attempts so far."""
        return self._attempts

    @property
    def status(self) -> int | None:
        """Return the status of the target's answer that is passed on, if any."""
        return None if self._head is None else self._head.status

    @property
    def first_byte_at(self) -> float | None:
        """Return when the caller got the first byte, in seconds."""
        return self._first_byte_at

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
        self._try_next(now)

    def caller_gone(self) -> None:
        """Take in that the caller has closed its connection."""
        if self._is_over:
            return
        self._leave_target("caller left")
        self._end("caller_gone")

    def pause(self) -> None:
        """Take no more bytes from the target for a while."""
        if self._run is not None:
            self._run.pause()

    def resume(self) -> None:
        """Take bytes from the target again."""
        if self._run is not None:
            self._run.resume()

    # What a target says

    def run_sent(self) -> None:
        """Handle that the request goes out; see `RunObserver.run_sent`."""
        now = self._now()
        state = self._known_state()
        self._is_at_target = True
        self._sent_to.append(state.target.name)
        if self._request.prompt is not None:
            name = state.target.name
            if self._tools.parts.note_own(name, self._request.prompt.parts, now):
                self._tools.parts_changed()
        self._watch_silence(now)

    def run_not_sent(self, detail: str) -> None:
        """Try another target; see `RunObserver.run_not_sent`."""
        if self._is_over:
            return
        now = self._now()
        state = self._known_state()
        state.unreachable(now)
        self._leave_target(f"not sent: {detail}")
        self._avoid.add(state.target.name)
        self._unreached += 1
        if self._unreached >= self._tools.settings.unreached_most:
            self._fail(Refusal.NO_TARGET)
            return
        self._try_next(now)

    def run_head(self, head: AnswerHead) -> None:
        """Look at the head of an answer; see `RunObserver.run_head`."""
        if self._is_over:
            return
        now = self._now()
        state = self._known_state()
        state.heard(now)
        if head.load is not None:
            state.reported(head.load, now)
        if head.is_not_run or head.is_other_incarnation:
            self._declined(head, now)
            return
        self._may_have_run = True
        if head.request_id != self._request.request_id:
            self._lost("answer of another request", now)
            return
        is_success = FIRST_SUCCESS <= head.status < FIRST_REDIRECT
        if is_success and not head.is_receipted:
            self._lost("no receipt", now)
            return
        if head.status >= FIRST_SERVER_ERROR:
            state.failed(now)
            if self._can_repeat(now):
                self._leave_target(f"status {head.status}")
                self._try_next(now)
                return
            if self._first_head is not None:
                self._leave_target(f"status {head.status}")
                self._fail(Refusal.CUT)
                return
        self._head = head
        if self._request.route.is_stream and is_success:
            self._begin_stream(head, now)

    def run_data(self, data: bytes) -> None:
        """Hand bytes on, or hold them back; see `RunObserver.run_data`."""
        if self._is_over:
            return
        now = self._now()
        self._known_state().heard(now)
        if self._first_head is not None:
            self._pass_events(data, now)
            return
        if self._is_passing:
            self._sink.write(data)
            return
        self._held_back.append(data)
        self._held_bytes += len(data)
        if self._held_bytes > self._tools.settings.buffer_limit:
            self._pass_on(now)

    def run_done(self) -> None:
        """End the answer; see `RunObserver.run_done`."""
        if self._is_over:
            return
        now = self._now()
        if self._first_head is not None and self._splitter.rest:
            self._lost("stream ended inside an event", now)
            return
        head = self._head
        if head is not None and head.status < FIRST_SERVER_ERROR:
            self._known_state().succeeded(now)
        if self._first_head is None and not self._is_passing:
            self._pass_on(now)
        self._leave_target("answered", is_whole=True)
        self._sink.finish()
        self._end("answered")

    def run_cut(self, detail: str) -> None:
        """Go on elsewhere if that is allowed; see `RunObserver.run_cut`."""
        if self._is_over:
            return
        self._may_have_run = True
        self._lost(detail, self._now())

    # Decisions

    def _try_next(self, now: float) -> None:
        request = self._request
        tools = self._tools
        left = request.give_up_at - now
        if left < tools.settings.shortest_time:
            self._fail(Refusal.TIMED_OUT_UNSENT)
            return
        choice = tools.chooser.choose(
            tools.states_of(request.service),
            {*self._sent_to, *self._avoid},
            request.prompt,
            now,
        )
        if choice is None:
            self._fail(Refusal.NO_TARGET)
            return
        self._send(choice, left, now)

    def _send(self, choice: Choice, left: float, now: float) -> None:
        request = self._request
        source = choice.fetch_from
        target = choice.state.target
        self._state = choice.state
        choice.state.sent(now)
        self._attempts.append(
            Attempt(
                target.name,
                now,
                round(choice.load, 1),
                choice.held,
                source.target.name if source is not None else "",
            ),
        )
        self._head = None
        self._held_back = []
        self._held_bytes = 0
        self._splitter = EventSplitter()
        self._target_hop = self._tools.start_hop("target", self._hop.traceparent)
        sending = Sending(
            request=request,
            target=target,
            time_left=left,
            resume_after=self._last_event,
            fetch_from=source.target if source is not None else None,
            needs_new_connection=self._needs_new_connection(choice.state, now),
            traceparent=self._target_hop.traceparent,
        )
        attempt = self._attempts[-1]
        run = self._tools.caller.send(sending, self)
        if self._attempts[-1] is attempt and not self._is_over:
            # Otherwise sending failed at once and another attempt goes on.
            self._run = run

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

    def _declined(self, head: AnswerHead, now: float) -> None:
        """Take in that the target did not run the request."""
        state = self._known_state()
        if head.is_other_incarnation:
            state.unreachable(now)
        else:
            state.failed(now)
        self._leave_target(f"declined with status {head.status}")
        if self._has_targets_left() and self._spend(now):
            self._try_next(now)
            return
        self._fail(Refusal.TARGETS_FULL)

    def _lost(self, detail: str, now: float) -> None:
        """Take in that the request may have run and its answer is lost."""
        self._known_state().failed(now)
        self._leave_target(f"lost: {detail}")
        if self._can_repeat(now):
            self._try_next(now)
            return
        self._fail(Refusal.CUT)

    def _can_repeat(self, now: float) -> bool:
        if not self._request.route.may_repeat or self._is_passing:
            return False
        if not self._has_targets_left():
            return False
        left = self._request.give_up_at - now
        return left >= self._tools.settings.shortest_time and self._spend(now)

    def _has_targets_left(self) -> bool:
        return len(set(self._sent_to)) < self._request.route.max_targets

    def _spend(self, now: float) -> bool:
        budget = self._tools.budget_of(self._request.service)
        return budget.spend(self._tools.routers(), now)

    def _fail(self, refusal: Refusal) -> None:
        """End without an answer, and say "not run" only when that is so."""
        if self._first_head is not None or self._is_passing:
            self._sink.break_off()
            self._end(f"broken_off: {refusal.name.lower()}")
            return
        if self._may_have_run and refusal.is_not_run:
            refusal = Refusal.CUT
        self._refuse(refusal)

    def _refuse(self, refusal: Refusal) -> None:
        tools = self._tools
        come_back = tools.settings.come_back_after(refusal, tools.rng)
        self._sink.refuse(refusal, come_back)
        self._end(f"refused: {refusal.name.lower()}")

    # Passing on

    def _begin_stream(self, head: AnswerHead, now: float) -> None:
        if self._first_head is None:
            self._first_head = head
            self._sink.begin(head)
        self._watch_silence(now)

    def _pass_events(self, data: bytes, now: float) -> None:
        try:
            events = self._splitter.feed(data)
        except ValueError as error:
            self._lost(str(error), now)
            return
        passed = []
        for event in events:
            if event.number is not None:
                if self._last_event is not None and event.number <= self._last_event:
                    continue
                self._last_event = event.number
            passed.append(event.data)
        if not passed:
            return
        self._note_first_byte(now)
        self._sink.write(b"".join(passed))
        self._watch_silence(now)

    def _pass_on(self, now: float) -> None:
        """Send what was held back of a plain answer."""
        head = self._head
        if head is None:
            return
        self._is_passing = True
        self._note_first_byte(now)
        self._sink.begin(head)
        held, self._held_back = self._held_back, []
        if held:
            self._sink.write(b"".join(held))

    def _note_first_byte(self, now: float) -> None:
        if self._first_byte_at is not None:
            return
        self._first_byte_at = now
        began_at = self._attempts[-1].began_at
        if now - began_at > self._request.route.latency_objective:
            self._known_state().late(now)

    # Silence and time

    def _watch_silence(self, now: float) -> None:
        """Have a silent target left for another, where that is allowed."""
        cancel_timer(self._stall)
        self._stall = None
        self._waits_since = now
        if not self._request.route.may_repeat and self._first_byte_at is not None:
            return
        self._watch_again(now)

    def _watch_again(self, now: float) -> None:
        waited = now - self._waits_since
        left = self._patience(now) - waited
        pause = min(left, self._tools.settings.silence_patience)
        if now + pause < self._request.give_up_at:
            self._stall = self._tools.clock.callLater(max(0.0, pause), self._silent)

    def _patience(self, now: float) -> float:
        settings = self._tools.settings
        route = self._request.route
        if not route.is_stream:
            left = self._request.give_up_at - self._request.received_at
            return settings.plain_patience * left
        if self._first_byte_at is None:
            return settings.first_event_patience * route.latency_objective
        return settings.gap_patience * (route.gap_objective or route.latency_objective)

    def _silent(self) -> None:
        self._stall = None
        if self._is_over or self._run is None:
            return
        now = self._now()
        state = self._known_state()
        settings = self._tools.settings
        is_target_silent = state.silence(now) >= settings.silence_patience - TIMER_SLACK
        waited = now - self._waits_since
        if not is_target_silent and waited < self._patience(now) - TIMER_SLACK:
            self._watch_again(now)
            return
        if not self._request.route.may_repeat:
            # It stays where it is; what it shows is for the requests to come.
            state.failed(now)
            self._tell_silence(SilenceVerdict.MAY_NOT_REPEAT, waited, now)
            return
        if not self._can_repeat(now):
            self._tell_silence(SilenceVerdict.NOT_REPEATED, waited, now)
            return
        self._tell_silence(SilenceVerdict.LEFT, waited, now)
        if is_target_silent:
            state.unreachable(now)
        else:
            state.failed(now)
        self._may_have_run = True
        self._leave_target("silent")
        self._try_next(now)

    def _tell_silence(self, verdict: SilenceVerdict, waited: float, now: float) -> None:
        tools = self._tools
        state = self._known_state()
        others = tools.chooser.count_open(
            tools.states_of(self._request.service),
            {*self._sent_to, *self._avoid},
            now,
        )
        silence = Silence(
            state.target.name, state.silence(now), waited, others, verdict
        )
        tools.silence_judged(self._request, silence)

    def _give_up(self) -> None:
        """Answer at the time at which the caller or the route gives up."""
        self._timer = None
        if self._is_over:
            return
        if self._is_at_target:
            self._known_state().failed(self._now())
            self._may_have_run = True
        self._leave_target("timed out")
        sent = self._may_have_run
        self._fail(Refusal.TIMED_OUT if sent else Refusal.TIMED_OUT_UNSENT)

    # Bookkeeping

    def _leave_target(self, outcome: str, *, is_whole: bool = False) -> None:
        """End what goes on at the target, if anything."""
        cancel_timer(self._stall)
        self._stall = None
        run, self._run = self._run, None
        state, self._state = self._state, None
        self._is_at_target = False
        if self._attempts and self._attempts[-1].outcome == "running":
            self._attempts[-1].outcome = outcome
            self._attempts[-1].ended_at = self._now()
            self._target_hop.end(target=self._attempts[-1].target, outcome=outcome)
        if state is not None:
            state.ended()
        if run is not None and not is_whole:
            run.cancel()

    def _known_state(self) -> TargetState:
        state = self._state
        if state is None:
            raise RuntimeError("no target is being called")
        return state

    def _end(self, outcome: str) -> None:
        if self._is_over:
            return
        self._is_over = True
        cancel_timer(self._timer)
        self._timer = None
        self._hop.end(request=self._request.request_id, outcome=outcome)
        self._on_end(self, outcome)

    def _now(self) -> float:
        return self._tools.clock.seconds()
