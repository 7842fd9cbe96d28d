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
from primrosescale.request.direct_port import TargetCheck
from primrosescale.request.fresh_answers import FreshAnswer
from primrosescale.request.fresh_answers import FreshAnswers
from primrosescale.request.harm_reports import LoneTry
from primrosescale.request.harm_reports import TargetEnd
from primrosescale.request.harm_reports import WholeAnswer
from primrosescale.request.harm_watch import HarmWatch
from primrosescale.request.lost_answers import BUFFERED_SECONDS
from primrosescale.request.lost_answers import LostAnswers

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.process.entry.entry_parts import EntryParts
    from primrosescale.process.entry.harm_news import HarmNews
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.direct_port import TargetCaller
    from primrosescale.request.harmful_requests import HarmfulRequests
    from primrosescale.request.incoming import IncomingRequest
    from primrosescale.request.target_incarnation import TargetIncarnation
    from primrosescale.request.target_state import TargetState

# The connections of a target that ends are lost within some milliseconds.
CHECK_DELAY_SECONDS = 0.01
# A check that brought no answer is made again, as long as lost answers wait.
RECHECK_INTERVAL_SECONDS = 1.0
# Between two looks at which whole answers have been proved by now.
CLEARANCE_INTERVAL_SECONDS = 0.25
# How it shows that another target listens at the address of one.
REPLACED = "another in its place"
# A target that sends so soon after its end has not ended; later it may have started
# again under its name before the list tells it.
END_REVOCABLE_SECONDS = 1.0


class EntryHarmWatch(HarmWatch):
    """Watches the requests of one entry router.

    Parameters
    ----------
    requests : HarmfulRequests
        What all reports amount to.
    news : HarmNews
        Tells other routers.
    targets : TargetList
        Targets and their states.
    caller : TargetCaller
        Opens connections to targets.
    parts : EntryParts
        What the router is built with.
    tell_soon : Callable[[], None]
        Has other routers told without waiting for the next round.
    """

    def __init__(
        self,
        requests: HarmfulRequests,
        news: HarmNews,
        targets: TargetList,
        caller: TargetCaller,
        parts: EntryParts,
        tell_soon: Callable[[], None],
    ) -> None:
        self._requests = requests
        self._news = news
        self._targets = targets
        self._caller = caller
        self._reactor: Any = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics
        self._broadcast_soon = tell_soon
        news.on_end = self._on_peer_end
        self._lost = LostAnswers()
        self._fresh = FreshAnswers()
        self._proof_timer: Timer | None = None
        # Targets that a connection is being opened to.
        self._pending_checks: set[int] = set()
        # When targets were seen to end here, by their short names.
        self._ended_at: dict[int, float] = {}

    def held_for(self, request: IncomingRequest, now: float) -> float:
        """Return how long it is held back; see `HarmWatch.held_for`."""
        if not self._requests.may_hold:
            return 0.0
        return self._requests.held_for(request.fingerprint, now)

    def sent(self, request: IncomingRequest, now: float) -> None:
        """Have others not try it besides; see `HarmWatch.sent`."""
        if not self._requests.may_hold:
            return
        if self._news.note(LoneTry(request.fingerprint, now), now):
            self._broadcast_soon()

    def answer_lost(
        self, request: IncomingRequest, state: TargetState, now: float
    ) -> None:
        """See whether the target has ended; see `HarmWatch.answer_lost`."""
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
        """Have it clear the request once it is proved; see `HarmWatch.answered`."""
        self._requests.count_answer(now)
        key = target_key(*state.incarnation)
        self._fresh.add(FreshAnswer(request.fingerprint, key, now, state))
        if self._proof_timer is None:
            self._proof_timer = self._reactor.callLater(
                CLEARANCE_INTERVAL_SECONDS, self._clear_proved
            )

    def heard(self, state: TargetState, sent_at: float, now: float) -> None:
        """Take in that the target lives; see `HarmWatch.heard`."""
        if not state.incarnation.is_named_by_id or not (
            self._ended_at or len(self._lost)
        ):
            return
        key = target_key(*state.incarnation)
        self._lost.lived(key, sent_at)
        ended_at = self._ended_at.get(key)
        if ended_at is None:
            return
        if BUFFERED_SECONDS < now - ended_at < END_REVOCABLE_SECONDS:
            self._ended_at.pop(key)
            self._requests.target_lives(key)

    def replaced(self, state: TargetState, now: float) -> None:
        """Take in that the target has ended; see `HarmWatch.replaced`."""
        if not state.target.is_draining:
            self.target_ended(state.incarnation, REPLACED, now)

    def unreached(self, state: TargetState, now: float) -> None:
        """See whether the target has ended; see `HarmWatch.unreached`."""
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
        self._ended_at[key] = now
        self._note_ends(ends, now)

    def _on_peer_end(self, end: TargetEnd, now: float) -> None:
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
        for answer in self._fresh.take_at(key):
            if answer.is_just_before(lost_at):
                end = TargetEnd(answer.fingerprint, key, answer.at, was_answered=True)
                ends.append(end)
            else:
                self._clear(answer, now)
        return ends

    def _check_soon(self, target: TargetIncarnation, key: int) -> None:
        if key not in self._pending_checks:
            self._pending_checks.add(key)
            self._reactor.callLater(CHECK_DELAY_SECONDS, self._check, target, key)

    def _check(self, target: TargetIncarnation, key: int) -> None:
        now = self._reactor.seconds()
        if self._lost.is_waiting(key, now) or self._fresh.has_any(key):
            self._caller.check(target, lambda found: self._checked(target, key, found))
        else:
            self._pending_checks.discard(key)

    def _checked(self, target: TargetIncarnation, key: int, found: TargetCheck) -> None:
        if found is TargetCheck.UNKNOWN:
            self._reactor.callLater(RECHECK_INTERVAL_SECONDS, self._check, target, key)
            return
        self._pending_checks.discard(key)
        if found is TargetCheck.ENDED:
            self.target_ended(target, found.value, self._reactor.seconds())

    def _clear_proved(self) -> None:
        """Take in whole answers that prove something by now."""
        now = self._reactor.seconds()
        for answer in self._fresh.take_proved(now):
            self._clear(answer, now)
        self._proof_timer = None
        if len(self._fresh):
            self._proof_timer = self._reactor.callLater(
                CLEARANCE_INTERVAL_SECONDS, self._clear_proved
            )

    def _clear(self, answer: FreshAnswer, now: float) -> None:
        if self._news.note(WholeAnswer(answer.fingerprint, answer.at), now):
            self._broadcast_soon()

    def _note_ends(self, ends: list[TargetEnd], now: float) -> None:
        for end in ends:
            self._requests.count_end(now)
            self._news.note(end, now)
        if ends:
            self._broadcast_soon()

    def _forget_old(self, now: float) -> None:
        oldest = now - END_REVOCABLE_SECONDS
        self._ended_at = {key: at for key, at in self._ended_at.items() if at >= oldest}
