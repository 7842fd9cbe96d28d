"""Forwards one request to targets: retries, hedging, stream resumption and timeouts.

The router sends the request to a target directly; `RoutedCall` is the counterpart for
targets that are reached through agents.

The route determines what may be retried. A request that may run only once is sent
to one target, unless nothing was sent or the target states that it did not run it.
Other requests are retried at another target after a failure, within the route's
maximum number of targets and the shared retry budget. A resumable stream continues
at another target after the last complete event that the caller received.

A silent target may be about to answer: a target that was processing a long prompt
started to send again 0.05 s after two streams from it had been aborted, which no other
target could continue. So the request is hedged: it is sent to another target as
well, and the first of the two that sends more of the answer serves the caller. The
silent attempt is closed only when the other one sends its head, so that silence
never costs an answer that is in progress.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer
from primrosescale.request.answer.answer_relay import AnswerRelay
from primrosescale.request.answer.head_check import fault_of
from primrosescale.request.answer.head_check import is_success
from primrosescale.request.attempt.availability_wait import AvailabilityWait
from primrosescale.request.attempt.candidate_targets import CandidateTargets
from primrosescale.request.attempt.forwarding_interfaces import OutgoingRequest
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.attempt.hedged_attempts import HedgedAttempts
from primrosescale.request.attempt.silent_target import TIMER_SLACK_SECONDS
from primrosescale.request.attempt.silent_target import SilenceReport
from primrosescale.request.attempt.silent_target import SilenceVerdict
from primrosescale.request.attempt.silent_target import count_silence
from primrosescale.request.attempt.silent_target import silence_timeout
from primrosescale.request.attempt.stream_binding import StreamBinding
from primrosescale.request.attempt.target_attempt import AttemptListener
from primrosescale.request.attempt.target_attempt import AttemptRecord
from primrosescale.request.attempt.target_attempt import TargetAttempt

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.request.attempt.forwarding_context import ForwardingContext
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
    from primrosescale.request.attempt.forwarding_interfaces import CallerSink
    from primrosescale.request.choice.target_choice import Choice
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.target_incarnation import TargetIncarnation

MIN_SERVER_ERROR_STATUS = 500


class ForwardedCall(AttemptListener):
    """Forwards one request, from its acceptance to its end.

    Parameters
    ----------
    request : IncomingRequest
        The request.
    sink : CallerSink
        Sends the answer to the caller.
    tools : ForwardingContext
        Settings and collaborators that all calls share.
    on_end : Callable[[ForwardedCall, str], None]
        Called once at the end, with the outcome.
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
        self._active = HedgedAttempts()
        self._candidates = CandidateTargets(request, tools)
        self._binding = StreamBinding(request, tools)
        self._unreachable_count = 0
        self._may_have_run = False
        self._is_suspect = False
        self._status: int | None = None
        self._is_paused = False
        self._is_over = False
        self._deadline_timer: Timer | None = None
        self._silence_timer: Timer | None = None
        self._waiting_since = request.received_at
        self._last_verdict: SilenceVerdict | None = None
        self._availability_wait = AvailabilityWait(
            self._candidates, tools, self._send_to_any, self._fail
        )
        self._span = tools.start_span("router", request.traceparent)

    @property
    def request(self) -> IncomingRequest:
        """Return the request."""
        return self._request

    @property
    def attempts(self) -> list[AttemptRecord]:
        """Return the records of the attempts so far."""
        return self._attempts

    @property
    def status(self) -> int | None:
        """Return the status of the answer that is relayed, if any."""
        return self._status

    @property
    def is_suspect(self) -> bool:
        """Return whether an answer was lost or the harm monitor held it back."""
        return self._is_suspect

    @property
    def first_byte_at(self) -> float | None:
        """Return when the first byte was sent to the caller, in seconds."""
        return self._relay.first_byte_at

    @property
    def is_over(self) -> bool:
        """Return whether the call has ended."""
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
        self._deadline_timer = self._tools.clock.callLater(left, self.time_out)
        budget = self._tools.budget_of(self._request.service)
        budget.requested(self._request.received_at)
        self._send_to_any(now)

    def refuse(self, refusal: Refusal, retry_after: float | None) -> None:
        """Refuse the request in place of starting it.

        Parameters
        ----------
        refusal : Refusal
            Why.
        retry_after : float | None
            Seconds after which the caller should return; None to use the setting.
        """
        if not self._is_over:
            self._refuse(refusal, retry_after)

    def caller_gone(self) -> None:
        """Handle that the caller has closed its connection."""
        if self._is_over:
            return
        self._active.close_all("caller left", self._now())
        self._end("caller_gone")

    def time_out(self) -> None:
        """End the call at the deadline of the caller, the route or a planned stop."""
        if self._is_over:
            return
        now = self._now()
        for attempt in (self._active.primary, self._active.hedge):
            if attempt is not None and attempt.was_sent:
                attempt.state.failed(now)
                self._may_have_run = True
        self._active.close_all("timed out", now)
        sent = self._may_have_run
        self._fail(Refusal.TIMED_OUT if sent else Refusal.TIMED_OUT_UNSENT)

    def pause(self) -> None:
        """Stop reading from the target until `resume`."""
        self._is_paused = True
        self._drop_hedge("not needed: the caller is slow", self._now())
        if self._active.primary is not None:
            self._active.primary.pause()

    def resume(self) -> None:
        """Read from the target again."""
        self._is_paused = False
        primary = self._active.primary
        if primary is not None:
            now = self._now()
            primary.resume(now)
            self._track_silence(now)

    def target_replaced(
        self, former: TargetIncarnation, software_version: str, now: float
    ) -> None:
        """Handle that a target has restarted; see `StreamBinding.target_replaced`.

        Parameters
        ----------
        former : TargetIncarnation
            Its incarnation as known until now.
        software_version : str
            Its present software version.
        now : float
            Present time in seconds.
        """
        primary, hedge = self._active.primary, self._active.hedge
        if not self._request.route.is_stream:
            return
        if hedge is not None and hedge.incarnation == former:
            if hedge.software_version != software_version:
                self._drop_hedge("target of another version", now)
        if primary is None or primary.incarnation != former or not primary.was_sent:
            return
        is_other = self._binding.target_replaced(primary, software_version, now)
        if is_other and primary.continues_stream:
            self._handle_lost(primary, "target of another version", now)

    # Events of attempts

    def attempt_sent(self, attempt: TargetAttempt) -> None:
        """Record that the target may run it; see `AttemptListener.attempt_sent`."""
        now = self._now()
        self._candidates.tried.sent(attempt.incarnation)
        self._tools.harm.sent(self._request, attempt, now)
        prompt = self._request.prompt
        if prompt is not None:
            is_new = self._tools.parts.record_own_request(
                attempt.incarnation,
                prompt.parts,
                now,
                is_expected=attempt.is_home,
            )
            if is_new:
                self._tools.parts_changed()
        if attempt is self._active.primary:
            self._track_silence(now)

    def attempt_not_sent(self, attempt: TargetAttempt, detail: str) -> None:
        """Try another target; see `AttemptListener.attempt_not_sent`."""
        now = self._now()
        attempt.state.unreachable(now)
        self._tools.harm.not_reached(attempt.state, now)
        attempt.close(f"not sent: {detail}", now)
        self._candidates.tried.not_sent(attempt.incarnation)
        was_primary = attempt is self._active.primary
        if self._continue_with_other(attempt, now):
            # The hedge that was not sent is replaced; its retry was already charged.
            may_hedge = not was_primary and not self._held_for(now)
            choice = self._candidates.choose_healthy(now) if may_hedge else None
            if choice is not None:
                self._start_hedge(choice, now)
            return
        self._unreachable_count += 1
        if self._unreachable_count >= self._tools.settings.unreached_most:
            self._fail(Refusal.NO_TARGET)
            return
        self._send_to_any(now)

    def attempt_head(self, attempt: TargetAttempt, head: AnswerHead) -> None:
        """Accept the answer or retry; see `AttemptListener.attempt_head`."""
        now = self._now()
        if head.is_other_incarnation:
            self._tools.harm.replaced(attempt.state, now)
            self._handle_declined(attempt, head, now)
            return
        if head.load is not None:
            service = attempt.state.target.service
            self._tools.overload_scope.record(service, head.load)
            self._tools.target_work.reported(attempt.state, head.load, now)
        if attempt.state.answered(head, now):
            self._tools.self_report_received(self._request, attempt.state, head)
        self._tools.harm.answer_began(attempt.state, attempt.began_at, now)
        if head.is_not_run:
            self._handle_declined(attempt, head, now)
            return
        self._may_have_run = True
        fault = fault_of(
            head, self._request.request_id, continues_stream=self._relay.is_stream
        )
        if fault:
            self._handle_lost(attempt, fault, now)
            return
        if head.status >= MIN_SERVER_ERROR_STATUS:
            attempt.state.failed(now)
            if self._retries_elsewhere(attempt, head, now):
                return
        self._keep_only(attempt, now)
        attempt.head = head
        self._status = head.status
        if self._request.route.is_stream and is_success(head):
            self._relay.begin_stream(head)
        self._track_silence(now)

    def attempt_data(self, attempt: TargetAttempt, data: bytes) -> None:
        """Relay or buffer bytes; see `AttemptListener.attempt_data`."""
        now = self._now()
        if attempt.bytes_received(now):
            began_at = attempt.answer_began_at or now
            self._tools.harm.answer_continues(self._request, began_at, now)
        self._keep_only(attempt, now)
        if self._relay.is_stream:
            self._pass_events(attempt, data, now)
            return
        if self._relay.has_begun:
            self._relay.write(data)
            return
        attempt.buffer(data)
        if attempt.buffered_bytes > self._tools.settings.buffer_limit:
            self._send_buffered(attempt, now)

    def attempt_done(self, attempt: TargetAttempt) -> None:
        """Finish the answer; see `AttemptListener.attempt_done`."""
        now = self._now()
        if self._relay.is_stream and attempt.is_inside_event:
            self._handle_lost(attempt, "stream ended inside an event", now)
            return
        head = attempt.head
        if head is not None and head.status < MIN_SERVER_ERROR_STATUS:
            attempt.state.succeeded(now)
            self._tools.harm.answered(
                self._request,
                attempt.state,
                now,
                attempt.answer_began_at,
                is_success=is_success(head),
            )
        if not self._relay.has_begun:
            self._send_buffered(attempt, now)
        attempt.close("answered", now, is_complete=True)
        if head is not None and is_success(head) and not attempt.continues_stream:
            seconds = now - attempt.began_at
            self._tools.usual_times.ended(self._request.route.name, seconds)
        self._relay.finish()
        self._end("answered")

    def attempt_cut(self, attempt: TargetAttempt, detail: str) -> None:
        """Retry at another target if allowed; see `AttemptListener.attempt_cut`."""
        self._may_have_run = True
        self._handle_lost(attempt, detail, self._now())

    def _keep_only(self, attempt: TargetAttempt, now: float) -> None:
        """Close the other attempt, if any: this one was the first to answer."""
        if attempt is self._active.hedge:
            self._may_have_run = True
            overtaken = self._active.primary
            if overtaken is not None and self._relay.first_byte_at is None:
                # Its answer would have begun later.
                seconds = now - overtaken.began_at
                self._tools.usual_times.began(
                    self._request.route.name, seconds, overtaken.incarnation, now
                )
            self._active.promote_hedge("silent", now)
        else:
            self._drop_hedge("not needed: the target before went on", now)

    # Choice of targets

    def _send_to_any(self, now: float) -> None:
        """Send it to a target, even one that is avoided; wait or refuse if none."""
        if not self._has_time_left(now):
            self._fail(Refusal.TIMED_OUT_UNSENT)
            return
        if self._held_for(now):
            self._fail(Refusal.HELD_BACK)
            return
        choice = self._candidates.choose(now)
        if choice is not None:
            self._start_primary(choice, now)
        else:
            self._availability_wait.begin(now)

    def _start_primary(self, choice: Choice, now: float) -> None:
        attempt = self._new_attempt(choice, now)
        self._active.set_primary(attempt)
        # Silence is measured from the time at which the request is sent.
        self._cancel_silence_timer()
        self._begin(attempt, choice, now)
        if self._is_paused:
            attempt.pause()

    def _start_hedge(self, choice: Choice, now: float) -> None:
        """Send it to another target as well; the first to answer is kept."""
        attempt = self._new_attempt(choice, now)
        self._active.set_hedge(attempt)
        self._begin(attempt, choice, now)

    def _new_attempt(self, choice: Choice, now: float) -> TargetAttempt:
        record = AttemptRecord.of_choice(choice, self._relay.last_event, now)
        self._attempts.append(record)
        self._candidates.tried.attempted(choice.state.incarnation)
        span = self._tools.start_span("target", self._span.traceparent)
        prefill = self._tools.target_work.prefill_of(choice.state, choice.prefill)
        return TargetAttempt(self, choice.state, record, span, prefill)

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
            max_idle_seconds=self._tools.max_idle_seconds(
                self._request.route, attempt.state, now
            ),
        )
        self._tools.availability.sent(attempt.state, now)
        attempt.begin(self._tools.client, sending, now)

    def _needs_new_connection(self, attempt: TargetAttempt, now: float) -> bool:
        """Return whether the attempt must not risk a stale pooled connection.

        Opening a connection shows that the target is alive, and a new connection
        cannot carry an old answer.
        """
        if attempt is self._active.hedge:
            return True
        route = self._request.route
        if route.may_retry:
            return False
        if not route.is_stream or self._tools.limits_idle_time(self._request.service):
            return True
        return now - attempt.state.last_received_at > self._tools.settings.heard_lately

    # Retries and failures

    def _next_choice(
        self, now: float, *, must_be_healthy: bool = False
    ) -> Choice | None:
        """Return another target and charge the retry; None if it may not retry."""
        if not self._has_time_left(now):
            return None
        candidates = self._candidates
        choose = candidates.choose_healthy if must_be_healthy else candidates.choose
        choice = choose(now)
        if choice is None or not self._spend_retry(now):
            return None
        return choice

    def _has_time_left(self, now: float) -> bool:
        left = self._request.give_up_at - now
        return left >= self._tools.settings.shortest_time

    def _may_retry(self, now: float) -> bool:
        """Return whether it may be sent again although it may already have run."""
        if not self._request.route.may_retry or self._held_for(now):
            return False
        return self._relay.is_stream or not self._relay.has_begun

    def _held_for(self, now: float) -> float:
        """Return the seconds for which it must not be sent to any target."""
        return self._tools.harm.held_for(self._request, now)

    def _spend_retry(self, now: float) -> bool:
        return self._tools.budget_of(self._request.service).spend(now)

    def _handle_declined(
        self, attempt: TargetAttempt, head: AnswerHead, now: float
    ) -> None:
        """Handle that the target did not run the request."""
        if head.is_other_incarnation:
            attempt.state.unreachable(now)
        else:
            attempt.state.failed(now)
        attempt.close(f"declined with status {head.status}", now)
        if self._continue_with_other(attempt, now):
            return
        choice = None if self._held_for(now) else self._next_choice(now)
        if choice is not None:
            self._start_primary(choice, now)
            return
        states = self._candidates.of_version()
        available_in = self._tools.availability.shortest_wait(states, now)
        if available_in and attempt.state.self_reports.has_requested_pause(now):
            self._availability_wait.refuse_all_paused(available_in)
        else:
            self._fail(Refusal.TARGETS_FULL)

    def _handle_lost(self, attempt: TargetAttempt, detail: str, now: float) -> None:
        """Handle that the request may have run and its answer is lost."""
        self._is_suspect = True
        attempt.state.failed(now)
        attempt.close(f"lost: {detail}", now)
        self._tools.harm.answer_lost(
            self._request, attempt.state, now, attempt.answer_began_at
        )
        if self._continue_with_other(attempt, now):
            return
        choice = self._next_choice(now) if self._may_retry(now) else None
        if choice is None:
            self._fail(Refusal.CUT)
            return
        self._start_primary(choice, now)

    def _retries_elsewhere(
        self, attempt: TargetAttempt, head: AnswerHead, now: float
    ) -> bool:
        """Retry after a server error; return False if that is to be relayed."""
        outcome = f"status {head.status}"
        hedge = self._active.hedge
        if hedge is not None:
            if attempt is not hedge and not hedge.was_sent:
                return False
            attempt.close(outcome, now)
            return self._continue_with_other(attempt, now)
        # An error that has arrived is relayed rather than replaced by an attempt at an
        # avoided target.
        choice = (
            self._next_choice(now, must_be_healthy=True)
            if self._may_retry(now)
            else None
        )
        if choice is None:
            return False
        attempt.close(outcome, now)
        self._start_primary(choice, now)
        return True

    def _continue_with_other(self, attempt: TargetAttempt, now: float) -> bool:
        """Continue with the other one of two attempts, if there is one."""
        was_primary = attempt is self._active.primary
        if not self._active.remove(attempt, now):
            return False
        if was_primary:
            self._track_silence(now)
        else:
            self._schedule_silence_check(self._tools.settings.silence_patience, now)
        return True

    def _drop_hedge(self, outcome: str, now: float) -> None:
        closed = self._active.drop_hedge(outcome, now)
        if closed is not None:
            self._candidates.tried.allow_again(closed.incarnation)

    def _fail(self, refusal: Refusal, retry_after: float | None = None) -> None:
        """End without an answer; state "not run" only if that is certain."""
        if self._relay.has_begun:
            self._relay.abort()
            self._end(f"broken_off: {refusal.name.lower()}")
            return
        if self._may_have_run and refusal.is_not_run:
            refusal, retry_after = Refusal.CUT, None
        self._refuse(refusal, retry_after)

    def _refuse(self, refusal: Refusal, retry_after: float | None = None) -> None:
        tools, now = self._tools, self._now()
        if retry_after is None:
            left = self._request.deadline - now
            retry_after = tools.settings.retry_delay(refusal, left, tools.rng)
        held_for = self._held_for(now)
        if held_for and refusal.is_not_run:
            # Whatever else prevented it, it would not be sent before this hold ends.
            self._is_suspect = True
            refusal, retry_after = Refusal.HELD_BACK, held_for
        self._relay.refuse(refusal, retry_after)
        self._end(f"refused: {refusal.name.lower()}")

    # Relaying

    def _pass_events(self, attempt: TargetAttempt, data: bytes, now: float) -> None:
        try:
            events = attempt.split(data)
        except ValueError as error:
            self._handle_lost(attempt, str(error), now)
            return
        is_first = self._relay.first_byte_at is None
        if not self._relay.pass_events(events, now):
            return
        if is_first:
            self._record_beginning(attempt, now)
            self._binding.first_event_sent(attempt, now)
        self._track_silence(now)

    def _send_buffered(self, attempt: TargetAttempt, now: float) -> None:
        """Send the head and the buffered part of a plain answer."""
        head = attempt.head
        if head is None:
            return
        self._record_beginning(attempt, now)
        self._relay.begin(head, attempt.take_buffered(), now)

    def _record_beginning(self, attempt: TargetAttempt, now: float) -> None:
        if attempt.head is None or not is_success(attempt.head):
            return
        seconds = now - attempt.began_at
        if self._tools.usual_times.began(
            self._request.route.name, seconds, attempt.incarnation, now
        ):
            attempt.state.answered_late(now)

    # Silent targets

    def _track_silence(self, now: float) -> None:
        """Measure the silence of the primary target from now on, where needed.

        A timer that is already running is kept: it fires no later than a new one
        would, and rescheduling it for each event took a third of the time that this
        class spent on an event.
        """
        self._waiting_since = now
        self._last_verdict = None
        primary = self._active.primary
        if self._silence_timer is not None or primary is None or not primary.was_sent:
            return
        if self._is_silence_tracked():
            self._schedule_silence_check(self._silent_in(primary, now), now)

    def _is_silence_tracked(self) -> bool:
        may_retry = self._request.route.may_retry
        return may_retry or self._relay.first_byte_at is None

    def _cancel_silence_timer(self) -> None:
        cancel_timer(self._silence_timer)
        self._silence_timer = None

    def _schedule_silence_check(self, pause: float, now: float) -> None:
        self._cancel_silence_timer()
        if now + pause < self._request.give_up_at:
            self._silence_timer = self._tools.clock.callLater(
                max(0.0, pause), self._check_silence
            )

    def _silent_in(self, primary: TargetAttempt, now: float) -> float:
        """Return the seconds until the target counts as silent for this request.

        The time is short for a target that sends nothing to this router, and longer
        for one that sends data for other requests.
        """
        settings = self._tools.settings
        target_silent_in = settings.silence_patience - primary.state.silence(now)
        request_timeout = silence_timeout(
            settings, self._request, self._tools.usual_times
        )
        return min(target_silent_in, request_timeout - (now - self._waiting_since))

    def _check_silence(self) -> None:
        self._silence_timer = None
        primary = self._active.primary
        if self._is_over or primary is None or not primary.was_sent:
            return
        if not self._is_silence_tracked():
            return
        now = self._now()
        recheck = self._tools.settings.silence_patience
        if self._is_paused:
            # Nothing is read from the target because the caller is not reading.
            self._schedule_silence_check(recheck, now)
            return
        due = self._silent_in(primary, now)
        if due > TIMER_SLACK_SECONDS:
            self._schedule_silence_check(due, now)
            return
        if not self._request.route.may_retry:
            # The request stays at its target; the failure affects only later requests.
            self._report_silence(primary, SilenceVerdict.MAY_NOT_REPEAT, now)
            self._count_silence(primary, now)
            return
        self._schedule_silence_check(recheck, now)
        self._hedge_silent(primary, now)

    def _hedge_silent(self, primary: TargetAttempt, now: float) -> None:
        """Start a hedge beside a silent target, if another target is available."""
        hedge = self._active.hedge
        if hedge is not None and not hedge.state.is_avoided(now):
            return
        if not self._may_retry(now) or not self._has_time_left(now):
            return
        choice = self._candidates.choose_healthy(now)
        if choice is None:
            self._report_silence(primary, SilenceVerdict.NO_OTHER, now)
            return
        if not self._spend_retry(now):
            self._report_silence(primary, SilenceVerdict.NO_BUDGET, now)
            return
        self._report_silence(primary, SilenceVerdict.ANOTHER_ASKED, now)
        threshold = self._tools.settings.silence_patience - TIMER_SLACK_SECONDS
        if primary.state.silence(now) >= threshold:
            primary.state.unreachable(now)
        else:
            self._count_silence(primary, now)
        self._active.drop_hedge("silent too", now)
        self._start_hedge(choice, now)

    def _count_silence(self, primary: TargetAttempt, now: float) -> None:
        tools, waited = self._tools, now - self._waiting_since
        count_silence(
            tools.settings, self._request, tools.usual_times, primary.state, waited, now
        )

    def _report_silence(
        self, attempt: TargetAttempt, verdict: SilenceVerdict, now: float
    ) -> None:
        """Report a decision about silence, once while it stays the same."""
        if verdict is self._last_verdict:
            return
        self._last_verdict = verdict
        silence = SilenceReport(
            target=attempt.name,
            silent_for=attempt.state.silence(now),
            waited=now - self._waiting_since,
            others=self._candidates.count_available(now),
            verdict=verdict,
        )
        self._tools.silence_judged(self._request, silence)

    # End of the call

    def _end(self, outcome: str) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._active.close_all("not needed: the request ended", self._now())
        cancel_timer(self._deadline_timer)
        self._deadline_timer = None
        self._availability_wait.cancel()
        self._cancel_silence_timer()
        self._span.end(request=self._request.request_id, outcome=outcome)
        self._on_end(self, outcome)

    def _now(self) -> float:
        return self._tools.clock.seconds()
