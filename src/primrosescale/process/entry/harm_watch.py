"""Finds out which targets ended, and so which requests are harmful.

An answer that was lost says little, and so does a whole one whose target ends just
after. A new connection that is refused says that the target has ended; one that is
taken says nothing, since the next process may listen at the same address. An answer
to a request that was sent later says that it lives, as long as a start has an id of
its own; that another target answers in its place says that it has ended. What cannot
be told so is told by the list of targets some seconds later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.events import Event
from primrosescale.request.forwarding_interfaces import ProbeResult
from primrosescale.request.harm_monitor import HarmMonitor
from primrosescale.request.harm_reports import CompleteAnswer
from primrosescale.request.harm_reports import SuspectTrial
from primrosescale.request.harm_reports import TargetEnd
from primrosescale.request.lost_answers import MAX_BUFFERED_SECONDS
from primrosescale.request.lost_answers import LostAnswers
from primrosescale.request.unconfirmed_answers import UnconfirmedAnswer
from primrosescale.request.unconfirmed_answers import UnconfirmedAnswers

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.forwarding_interfaces import TargetClient
    from primrosescale.request.harmful_requests import HarmfulRequests
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target_incarnation import TargetIncarnation
    from primrosescale.request.target_state import TargetState

# The connections of a target that ends are lost within some milliseconds.
CHECK_PAUSE = 0.01
# A check that brought no answer is made again, as long as lost answers wait.
RECHECK_PAUSE = 1.0
# Between two looks at which whole answers have been proved by now.
PROOF_PAUSE = 0.25
# How it shows that another target listens at the address of one.
REPLACED = "another in its place"
# A target that sends so soon after its end has not ended; later it may have started
# again under its name before the list tells it.
STILL_LIVES_SECONDS = 1.0


class EntryHarmMonitor(HarmMonitor):
    """Watches the requests of one entry router.

    Parameters
    ----------
    requests : HarmfulRequests
        What all reports amount to.
    news : HarmReportExchange
        Tells other routers.
    targets : TargetList
        Targets and their states.
    caller : TargetClient
        Opens connections to targets.
    parts : EntryDependencies
        What the router is built with.
    send_soon : Callable[[], None]
        Has other routers told without waiting for the next round.
    """

    def __init__(
        self,
        requests: HarmfulRequests,
        news: HarmReportExchange,
        targets: TargetList,
        caller: TargetClient,
        parts: EntryDependencies,
        send_soon: Callable[[], None],
    ) -> None:
        self._requests = requests
        self._news = news
        self._targets = targets
        self._caller = caller
        self._reactor: Any = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics
        self._tell_soon = send_soon
        news.on_end = self._told_of_end
        self._lost = LostAnswers()
        self._fresh = UnconfirmedAnswers()
        self._proving: Timer | None = None
        # Targets that a connection is being opened to.
        self._checking: set[int] = set()
        # When targets were seen to end here, by their short names.
        self._ended: dict[int, float] = {}

    def held_for(self, request: IncomingRequest, now: float) -> float:
        """Return how long it is held back; see `HarmMonitor.held_for`."""
        if not self._requests.may_hold:
            return 0.0
        return self._requests.held_for(request.fingerprint, now)

    def sent(self, request: IncomingRequest, now: float) -> None:
        """Have others not try it besides; see `HarmMonitor.sent`."""
        if not self._requests.may_hold:
            return
        if self._news.note(SuspectTrial(request.fingerprint, now), now):
            self._tell_soon()

    def answer_lost(
        self, request: IncomingRequest, state: TargetState, now: float
    ) -> None:
        """See whether the target has ended; see `HarmMonitor.answer_lost`."""
        target = state.incarnation
        if state.target.is_draining or not self._targets.is_listed(target.name):
            # Its end is no surprise, whatever it was working on.
            return
        key = target_key(*target)
        fingerprint = request.fingerprint
        if self._lost.has_ended(key, now):
            self._note_ends([TargetEnd(fingerprint, key, now)], now)
        else:
            self._lost.lost(fingerprint, key, now)
            self._check_soon(target, key)

    def answered(
        self, request: IncomingRequest, state: TargetState, now: float
    ) -> None:
        """Have it clear the request once it is proved; see `HarmMonitor.answered`."""
        self._requests.count_answer(now)
        key = target_key(*state.incarnation)
        self._fresh.add(UnconfirmedAnswer(request.fingerprint, key, now, state))
        if self._proving is None:
            self._proving = self._reactor.callLater(PROOF_PAUSE, self._prove)

    def answer_began(self, state: TargetState, sent_at: float, now: float) -> None:
        """Take in that the target lives; see `HarmMonitor.answer_began`."""
        if not state.incarnation.has_unique_name or not (
            self._ended or len(self._lost)
        ):
            return
        key = target_key(*state.incarnation)
        self._lost.seen_alive(key, sent_at)
        ended_at = self._ended.get(key)
        if ended_at is None:
            return
        if MAX_BUFFERED_SECONDS < now - ended_at < STILL_LIVES_SECONDS:
            self._ended.pop(key)
            self._requests.retract_ends(key)

    def replaced(self, state: TargetState, now: float) -> None:
        """Take in that the target has ended; see `HarmMonitor.replaced`."""
        if not state.target.is_draining:
            self.target_ended(state.incarnation, REPLACED, now)

    def not_reached(self, state: TargetState, now: float) -> None:
        """See whether the target has ended; see `HarmMonitor.not_reached`."""
        if not state.target.is_draining:
            target = state.incarnation
            self._check_soon(target, target_key(*target))

    def target_ended(self, target: TargetIncarnation, how: str, now: float) -> None:
        """Take in that an incarnation of a target has ended.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation.
        how : str
            What showed it.
        now : float
            Present time in seconds.
        """
        key = target_key(*target)
        lost = self._lost.ended(key, now)
        ends = [TargetEnd(each, key, at) for each, at in lost.items()]
        lost_at = min(lost.values(), default=None)
        answered = self._answered_before_end(key, lost_at, now)
        ends += [end for end in answered if end.fingerprint not in lost]
        if not ends:
            return
        self._metrics.target_ended()
        self._log.emit(
            Event.TARGET_ENDED, target=target.name, on_board=len(ends), how=how
        )
        self._forget_old(now)
        self._ended[key] = now
        self._note_ends(ends, now)

    def _told_of_end(self, end: TargetEnd, now: float) -> None:
        """Take in that another router lost an answer when a target ended.

        What this router had on board there it finds out itself; a whole answer just
        before is the only one that nothing else would remind it of.
        """
        self._note_ends(self._answered_before_end(end.target, end.at, now), now)

    def _answered_before_end(
        self, key: int, lost_at: float | None, now: float
    ) -> list[TargetEnd]:
        """Return the requests that a target answered just before it ended, once."""
        ends = []
        for answer in self._fresh.take_from(key):
            if answer.may_have_ended_target(lost_at):
                end = TargetEnd(answer.fingerprint, key, answer.at, was_answered=True)
                ends.append(end)
            else:
                self._clear(answer, now)
        return ends

    def _check_soon(self, target: TargetIncarnation, key: int) -> None:
        if key not in self._checking:
            self._checking.add(key)
            self._reactor.callLater(CHECK_PAUSE, self._check, target, key)

    def _check(self, target: TargetIncarnation, key: int) -> None:
        now = self._reactor.seconds()
        if self._lost.is_waiting(key, now) or self._fresh.has_from(key):
            self._caller.check(target, lambda found: self._checked(target, key, found))
        else:
            self._checking.discard(key)

    def _checked(self, target: TargetIncarnation, key: int, found: ProbeResult) -> None:
        if found is ProbeResult.UNKNOWN:
            self._reactor.callLater(RECHECK_PAUSE, self._check, target, key)
            return
        self._checking.discard(key)
        if found is ProbeResult.ENDED:
            self.target_ended(target, found.value, self._reactor.seconds())

    def _prove(self) -> None:
        """Take in whole answers that prove something by now."""
        now = self._reactor.seconds()
        for answer in self._fresh.take_confirmed(now):
            self._clear(answer, now)
        self._proving = None
        if len(self._fresh):
            self._proving = self._reactor.callLater(PROOF_PAUSE, self._prove)

    def _clear(self, answer: UnconfirmedAnswer, now: float) -> None:
        if self._news.note(CompleteAnswer(answer.fingerprint, answer.at), now):
            self._tell_soon()

    def _note_ends(self, ends: list[TargetEnd], now: float) -> None:
        for end in ends:
            self._requests.count_end(now)
            self._news.note(end, now)
        if ends:
            self._tell_soon()

    def _forget_old(self, now: float) -> None:
        oldest = now - STILL_LIVES_SECONDS
        self._ended = {key: at for key, at in self._ended.items() if at >= oldest}
