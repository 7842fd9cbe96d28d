"""Detects which targets have ended, to find the requests that end targets.

A lost answer alone does not show that its target has ended, and a complete answer does
not show that its target survived the request. Further evidence decides:

- A refused new connection shows that the target has ended. An accepted one shows
  nothing, because the next process may listen at the same address.
- An answer to a request that was sent later shows that the target still runs, if
  every start of a target has its own id.
- An answer by another target at the same address shows that the target has ended.
- Otherwise, the list of targets shows it some seconds later.

A target may also end some time after it began to answer a prompt, without a loss of
that answer. Such an end counts against parts of the prompt that no target is known to
have survived.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.late_end_monitor import LateEndMonitor
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.events import Event
from primrosescale.request.answer.lost_answers import MAX_BUFFERED_SECONDS
from primrosescale.request.answer.lost_answers import LostAnswers
from primrosescale.request.answer.unconfirmed_answers import UnconfirmedAnswer
from primrosescale.request.answer.unconfirmed_answers import UnconfirmedAnswers
from primrosescale.request.attempt.forwarding_interfaces import ProbeResult
from primrosescale.request.harm.answer_beginning import LASTING_SECONDS
from primrosescale.request.harm.answer_beginning import may_have_ended_target
from primrosescale.request.harm.harm_monitor import HarmMonitor
from primrosescale.request.harm.harm_reports import CompleteAnswer
from primrosescale.request.harm.harm_reports import PartsAnswered
from primrosescale.request.harm.harm_reports import SuspectTrial
from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.harmful_parts import MAX_REPORTED_PARTS

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.attempt.forwarding_interfaces import TargetClient
    from primrosescale.request.attempt.target_attempt import TargetAttempt
    from primrosescale.request.harm.harmful_requests import HarmfulRequests
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState

# Delay before a probe: all connections of a target that ends are lost within a few
# milliseconds.
PROBE_DELAY_SECONDS = 0.01
# An inconclusive probe is repeated as long as lost answers are unexplained.
PROBE_INTERVAL_SECONDS = 1.0
# Interval at which complete answers are checked for later confirmation that their
# target survived the request.
CONFIRMATION_INTERVAL_SECONDS = 0.25
# Logged as the evidence when another target listens at the address.
REPLACED = "another in its place"
# A target that sends something within this time of its detected end has not ended.
# Later it may have restarted under its name before the list of targets shows it.
END_REVOCABLE_SECONDS = 1.0


class EntryHarmMonitor(HarmMonitor):
    """Detects harmful requests among those of one entry router.

    Parameters
    ----------
    requests : HarmfulRequests
        Evaluates the reports of all routers.
    report_exchange : HarmReportExchange
        Exchanges reports with peer routers.
    targets : TargetList
        The known targets and their states.
    target_client : TargetClient
        Opens connections to targets.
    parts : EntryDependencies
        Collaborators of the router.
    send_soon : Callable[[], None]
        Requests an update to peer routers before the next regular round.
    is_list_old : Callable[[], bool]
        Returns whether the list of targets may lack the latest ends.
    """

    def __init__(
        self,
        requests: HarmfulRequests,
        report_exchange: HarmReportExchange,
        targets: TargetList,
        target_client: TargetClient,
        parts: EntryDependencies,
        send_soon: Callable[[], None],
        is_list_old: Callable[[], bool] = lambda: False,
    ) -> None:
        self._requests = requests
        self._parts = requests.parts
        self._report_exchange = report_exchange
        self._targets = targets
        self._target_client = target_client
        self._reactor: Any = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics
        self._send_soon = send_soon
        report_exchange.on_end = self._on_peer_end
        self._lost_answers = LostAnswers()
        self._unconfirmed_answers = UnconfirmedAnswers()
        self._confirmation_timer: Timer | None = None
        self._late_ends = LateEndMonitor(
            requests,
            targets,
            target_client,
            parts,
            self._clear_survived,
            self._record_ends,
            is_list_old,
        )
        # Targets that are being probed by opening a connection, by `target_key`.
        self._pending_probes: set[int] = set()
        # When this router detected the end of targets, in seconds, by `target_key`.
        self._ended_at: dict[int, float] = {}

    def held_for(self, request: IncomingRequest, now: float) -> float:
        """Return how long a request is held back; see `HarmMonitor.held_for`."""
        seconds = 0.0
        if self._requests.may_hold:
            seconds = self._requests.held_for(request.fingerprint, now)
        if self._parts.may_hold:
            held_for = self._parts.held_for(request.part_fingerprints, now)
            seconds = max(seconds, held_for)
        return seconds

    def sent(
        self, request: IncomingRequest, attempt: TargetAttempt, now: float
    ) -> None:
        """Keep peer routers from trying a suspect too; see `HarmMonitor.sent`."""
        self._late_ends.sent(request, attempt)
        suspects: tuple[int, ...] = ()
        if self._parts.may_hold:
            suspects = self._parts.suspects(request.part_fingerprints, now)
        if not suspects and not self._requests.may_hold:
            return
        trial = SuspectTrial(request.fingerprint, now, suspects)
        if self._report_exchange.record(trial, now):
            self._send_soon()

    def answer_lost(
        self,
        request: IncomingRequest,
        state: TargetState,
        now: float,
        answer_began_at: float | None = None,
    ) -> None:
        """Probe whether the target has ended; see `HarmMonitor.answer_lost`."""
        target = state.incarnation
        if state.target.is_draining or not self._targets.is_listed(target.name):
            # It was expected to end, so its end is no evidence against a request.
            return
        key = target_key(*target)
        fingerprint = request.fingerprint
        parts: tuple[int, ...] = ()
        if may_have_ended_target(answer_began_at, now):
            parts = self._parts.to_report(request.part_fingerprints, now)
        if self._lost_answers.has_ended(key, now):
            self._note_ends([TargetEnd(fingerprint, key, now, parts=parts)], now)
        else:
            self._lost_answers.lost(fingerprint, key, now, parts)
            self._probe_soon(target, key)

    def answer_continues(
        self, request: IncomingRequest, answer_began_at: float, now: float
    ) -> None:
        """Clear the parts of its prompt; see `HarmMonitor.answer_continues`."""
        is_lasting = now - answer_began_at >= LASTING_SECONDS
        parts = request.part_fingerprints
        self._clear_parts(parts, answer_began_at, now, is_lasting=is_lasting)

    def answered(
        self,
        request: IncomingRequest,
        state: TargetState,
        now: float,
        answer_began_at: float | None = None,
        *,
        is_success: bool = True,
    ) -> None:
        """Clear the request once its target survived; see `HarmMonitor.answered`."""
        self._requests.count_answer(now)
        key = target_key(*state.incarnation)
        parts = request.part_fingerprints if is_success else ()
        is_short = may_have_ended_target(answer_began_at, now)
        self._unconfirmed_answers.add(
            UnconfirmedAnswer(request.fingerprint, key, now, state, parts, is_short)
        )
        if self._confirmation_timer is None:
            self._confirmation_timer = self._reactor.callLater(
                CONFIRMATION_INTERVAL_SECONDS, self._clear_confirmed
            )

    def answer_began(self, state: TargetState, sent_at: float, now: float) -> None:
        """Record that the target is running; see `HarmMonitor.answer_began`."""
        if not state.incarnation.has_unique_name or not (
            self._ended_at or len(self._lost_answers)
        ):
            return
        key = target_key(*state.incarnation)
        self._lost_answers.seen_alive(key, sent_at)
        ended_at = self._ended_at.get(key)
        if ended_at is None:
            return
        if MAX_BUFFERED_SECONDS < now - ended_at < END_REVOCABLE_SECONDS:
            self._ended_at.pop(key)
            self._requests.retract_ends(key)

    def replaced(self, state: TargetState, now: float) -> None:
        """Record that the target has ended; see `HarmMonitor.replaced`."""
        if not state.target.is_draining:
            self.target_ended(state.incarnation, REPLACED, now)

    def not_reached(self, state: TargetState, now: float) -> None:
        """Probe whether the target has ended; see `HarmMonitor.not_reached`."""
        if not state.target.is_draining:
            target = state.incarnation
            self._probe_soon(target, target_key(*target))

    def target_ended(self, target: TargetIncarnation, how: str, now: float) -> None:
        """Record that an incarnation of a target has ended.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation.
        how : str
            The evidence, for the log.
        now : float
            Current time in seconds.
        """
        key = target_key(*target)
        lost = self._lost_answers.ended(key, now)
        ends = [
            TargetEnd(fingerprint, key, loss.at, parts=loss.parts)
            for fingerprint, loss in lost.items()
        ]
        lost_at = min((loss.at for loss in lost.values()), default=None)
        answered = self._answered_before_end(key, lost_at, now)
        ends += [end for end in answered if end.fingerprint not in lost]
        ends += self._late_ends.ended(target, lost_at, now)
        if ends:
            self._forget_old(now)
            self._ended_at[key] = now
            self._record_ends(target, ends, how, now)

    def _on_peer_end(self, end: TargetEnd, now: float) -> None:
        """Handle the report of a peer that a target ended while running a request.

        This router detects by itself that its own requests there were lost. Only for
        requests that were answered just before the end is the report needed.
        """
        ends = self._answered_before_end(end.target, end.at, now)
        ends += self._late_ends.ended_at_peer(end.target, end.at, now)
        self._note_ends(ends, now)

    def _answered_before_end(
        self, key: int, lost_at: float | None, now: float
    ) -> list[TargetEnd]:
        """Return ends for the requests that a target answered just before its end.

        Earlier answers clear their requests. Each answer is considered once.
        """
        ends = []
        for answer in self._unconfirmed_answers.take_from(key):
            if answer.may_have_ended_target(lost_at):
                ends.append(self._end_after_answer(answer))
            else:
                self._clear(answer, now)
        return ends

    def _end_after_answer(self, answer: UnconfirmedAnswer) -> TargetEnd:
        """Return the end of a target that seemed to have answered completely.

        The close of the connection completes an answer without a length, also when it
        is the target's end as it begins to write.
        """
        parts: tuple[int, ...] = ()
        if answer.is_short:
            parts = self._parts.to_report(answer.parts, answer.at)
        return TargetEnd(
            answer.fingerprint, answer.target, answer.at, was_answered=True, parts=parts
        )

    def _probe_soon(self, target: TargetIncarnation, key: int) -> None:
        if key not in self._pending_probes:
            self._pending_probes.add(key)
            self._reactor.callLater(PROBE_DELAY_SECONDS, self._probe, target, key)

    def _probe(self, target: TargetIncarnation, key: int) -> None:
        now = self._reactor.seconds()
        if self._lost_answers.is_waiting(
            key, now
        ) or self._unconfirmed_answers.has_from(key):
            self._target_client.check(
                target, lambda found: self._probed(target, key, found)
            )
        else:
            self._pending_probes.discard(key)

    def _probed(self, target: TargetIncarnation, key: int, found: ProbeResult) -> None:
        if found is ProbeResult.UNKNOWN:
            self._reactor.callLater(PROBE_INTERVAL_SECONDS, self._probe, target, key)
            return
        self._pending_probes.discard(key)
        if found is ProbeResult.ENDED:
            self.target_ended(target, found.value, self._reactor.seconds())

    def _clear_confirmed(self) -> None:
        """Clear the requests whose targets are confirmed to have survived them."""
        now = self._reactor.seconds()
        for answer in self._unconfirmed_answers.take_confirmed(now):
            self._clear(answer, now)
        self._confirmation_timer = None
        if len(self._unconfirmed_answers):
            self._confirmation_timer = self._reactor.callLater(
                CONFIRMATION_INTERVAL_SECONDS, self._clear_confirmed
            )

    def _clear(self, answer: UnconfirmedAnswer, now: float) -> None:
        if self._report_exchange.record(
            CompleteAnswer(answer.fingerprint, answer.at), now
        ):
            self._send_soon()
        self._clear_parts(answer.parts, answer.at, now, is_lasting=False)

    def _clear_survived(self, parts: tuple[int, ...], at: float, now: float) -> None:
        self._clear_parts(parts, at, now, is_lasting=True)

    def _clear_parts(
        self, parts: tuple[int, ...], at: float, now: float, *, is_lasting: bool
    ) -> None:
        for first in range(0, len(parts), MAX_REPORTED_PARTS):
            few = parts[first : first + MAX_REPORTED_PARTS]
            answered = PartsAnswered(few, at, is_lasting)
            if self._report_exchange.record(answered, now):
                self._send_soon()

    def _note_ends(self, ends: list[TargetEnd], now: float) -> None:
        for end in ends:
            if not end.is_late:
                self._requests.count_end(now)
            self._report_exchange.record(end, now)
        if ends:
            self._send_soon()

    def _record_ends(
        self, target: TargetIncarnation, ends: list[TargetEnd], how: str, now: float
    ) -> None:
        if not ends:
            return
        self._metrics.target_ended()
        self._log.emit(
            Event.TARGET_ENDED,
            target=target.name,
            on_board=len(ends),
            against_parts=sum(bool(end.parts) for end in ends),
            late=sum(end.is_late for end in ends),
            how=how,
            ends_are_widespread=self._requests.ends_are_widespread(now),
        )
        self._note_ends(ends, now)

    def _forget_old(self, now: float) -> None:
        oldest = now - END_REVOCABLE_SECONDS
        self._ended_at = {key: at for key, at in self._ended_at.items() if at >= oldest}
