"""Finds out which targets ended, and so which requests are harmful.

An answer that was lost says little. A new connection to the target says whether it
has ended: the host of one that has refuses it at once. What cannot be told so is
told by the list of targets some seconds later.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.events import Event
from primrosescale.request.direct_port import TargetCheck
from primrosescale.request.harm_reports import LoneTry
from primrosescale.request.harm_reports import TargetEnd
from primrosescale.request.harm_reports import WholeAnswer
from primrosescale.request.harm_watch import HarmWatch
from primrosescale.request.lost_answers import BUFFERED_SECONDS
from primrosescale.request.lost_answers import LostAnswers

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.process.entry.entry_parts import EntryParts
    from primrosescale.process.entry.harm_news import HarmNews
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.direct_port import TargetCaller
    from primrosescale.request.harmful_requests import HarmfulRequests
    from primrosescale.request.incoming import IncomingRequest
    from primrosescale.request.target_incarnation import TargetIncarnation
    from primrosescale.request.target_state import TargetState

# The connections of a target that ends are lost within some milliseconds.
CHECK_PAUSE = 0.01
# A check that brought no answer is made again, as long as lost answers wait.
RECHECK_PAUSE = 1.0
# A target that sends so soon after its end has not ended; later it may have started
# again under its name before the list tells it.
STILL_LIVES_SECONDS = 1.0


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
        self._tell_soon = tell_soon
        self._lost = LostAnswers()
        # When targets were seen to end here, by their short names.
        self._ended: dict[int, float] = {}

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
            self._tell_soon()

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
            self._note_ends({fingerprint: now}, key, now)
        elif self._lost.lost(fingerprint, key, now):
            self._reactor.callLater(CHECK_PAUSE, self._check, target)

    def answered(self, request: IncomingRequest, now: float) -> None:
        """Clear the request; see `HarmWatch.answered`."""
        self._requests.count_answer(now)
        if self._news.note(WholeAnswer(request.fingerprint, now), now):
            self._tell_soon()

    def heard(self, state: TargetState, now: float) -> None:
        """Take in that the target lives; see `HarmWatch.heard`."""
        if not self._ended:
            return
        key = target_key(*state.incarnation)
        ended_at = self._ended.get(key)
        if ended_at is None:
            return
        if BUFFERED_SECONDS < now - ended_at < STILL_LIVES_SECONDS:
            self._lives(key)

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
        on_board = self._lost.ended(key, now)
        if not on_board:
            return
        self._metrics.target_ended()
        self._log.emit(
            Event.TARGET_ENDED, target=target.name, on_board=len(on_board), how=how
        )
        self._note_ends(on_board, key, now)

    def _check(self, target: TargetIncarnation) -> None:
        now = self._reactor.seconds()
        if self._lost.is_waiting(target_key(*target), now):
            self._caller.check(target, lambda found: self._checked(target, found))

    def _checked(self, target: TargetIncarnation, found: TargetCheck) -> None:
        now = self._reactor.seconds()
        if found is TargetCheck.ENDED:
            self.target_ended(target, found.value, now)
        elif found is TargetCheck.LIVES:
            self._lives(target_key(*target))
        else:
            self._reactor.callLater(RECHECK_PAUSE, self._check, target)

    def _note_ends(self, on_board: dict[int, float], key: int, now: float) -> None:
        self._forget_old(now)
        self._ended[key] = now
        for fingerprint, at in on_board.items():
            self._requests.count_end(now)
            self._news.note(TargetEnd(fingerprint, key, at), now)
        self._tell_soon()

    def _lives(self, key: int) -> None:
        self._lost.lives(key)
        self._ended.pop(key, None)
        self._requests.target_lives(key)

    def _forget_old(self, now: float) -> None:
        oldest = now - STILL_LIVES_SECONDS
        self._ended = {key: at for key, at in self._ended.items() if at >= oldest}
