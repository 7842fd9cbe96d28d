"""Which requests end the targets that run them, and for how long they are held back.

The pattern it answers: one request that ends each target that begins to run it is
sent again and again, under new ids and at any entry host. Each end takes the
requests of many other callers with it, which are on board of one target after the
other as well where a service has few. So it counts under which content targets
ended, by the reports of all routers, and sets the ends aside that another request
explains better. A whole answer clears a request of all that was reported before.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from itertools import islice
from typing import TYPE_CHECKING

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

if TYPE_CHECKING:
    from collections.abc import Iterator

# Ends after which a request is held back though another one may explain some of
# them, beyond the number that suffices otherwise.
MORE_WHERE_EXPLAINED = 1
# Ends of one request that are remembered.
MOST_ENDS = 16
# The oldest of the remembered requests, of which the one with the fewest ends makes
# room for another: many single ends must not push out what is nearly proved.
LEAVING = 16


@dataclass(frozen=True, slots=True)
class HarmSettings:
    """When a request is held back, and for how long."""

    ends: int = option(
        COUNT,
        "targets that end under a request before it is held back; fewer would hold "
        "back requests that were beside a harmful one twice",
        3,
    )
    hold: float = option(
        SECONDS,
        "seconds for which it is held back at first, twice as long after each "
        "further end; a target may have been repaired by then",
        300.0,
    )
    longest_hold: float = option(
        SECONDS,
        "seconds for which it is held back at the most, and after which an end is "
        "forgotten",
        3600.0,
    )
    remembered: int = option(
        COUNT,
        "requests whose ends are remembered, at 1 kB each",
        4096,
    )


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """That a target ended with a request on board.

    Parameters
    ----------
    fingerprint : int
        What the request asked for.
    target : int
        Short name of the target's incarnation.
    at : float
        When it was seen, in seconds.
    """

    fingerprint: int
    target: int
    at: float


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """That a request was answered whole.

    Parameters
    ----------
    fingerprint : int
        What the request asked for.
    at : float
        When, in seconds.
    """

    fingerprint: int
    at: float


class _Evidence:
    """What is known of one request.

    Attributes
    ----------
    ends : dict[int, float]
        When targets ended under it, by target.
    cleared_at : float
        Up to when nothing that was reported counts.
    """

    __slots__ = ("cleared_at", "ends")

    def __init__(self) -> None:
        self.ends: dict[int, float] = {}
        self.cleared_at = 0.0

    @property
    def last_end(self) -> float:
        """Return when the last target ended, in seconds."""
        return max(self.ends.values(), default=0.0)


class HarmfulRequests:
    """Ends of targets by the requests that were on board.

    Parameters
    ----------
    settings : HarmSettings
        When a request is held back.
    """

    __slots__ = ("_at_target", "_enough", "_evidence", "_settings")

    def __init__(self, settings: HarmSettings) -> None:
        self._settings = settings
        # The one with the oldest news first.
        self._evidence: OrderedDict[int, _Evidence] = OrderedDict()
        # Which requests were on board, by target.
        self._at_target: dict[int, set[int]] = {}
        # Requests with as many ends as it takes, explained or not.
        self._enough: set[int] = set()

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._evidence)

    @property
    def may_hold(self) -> bool:
        """Tell whether any request could be held back."""
        return bool(self._enough)

    def configure(self, settings: HarmSettings) -> None:
        """Take in changed settings.

        Parameters
        ----------
        settings : HarmSettings
            When a request is held back.
        """
        self._settings = settings
        self._enough = {
            fingerprint
            for fingerprint, evidence in self._evidence.items()
            if len(evidence.ends) >= settings.ends
        }

    def take_end(self, end: TargetEnd) -> bool:
        """Take in that a target ended with a request on board.

        Parameters
        ----------
        end : TargetEnd
            The end.

        Returns
        -------
        bool
            Whether it was news.
        """
        evidence = self._evidence.get(end.fingerprint)
        if evidence is None:
            evidence = self._begin(end.fingerprint)
        if end.at <= evidence.cleared_at or end.target in evidence.ends:
            return False
        self._forget_old_ends(end.fingerprint, evidence, end.at)
        evidence.ends[end.target] = end.at
        self._at_target.setdefault(end.target, set()).add(end.fingerprint)
        self._evidence.move_to_end(end.fingerprint)
        if len(evidence.ends) >= self._settings.ends:
            self._enough.add(end.fingerprint)
        return True

    def take_answer(self, answer: WholeAnswer) -> bool:
        """Clear a request of the ends before a whole answer.

        Parameters
        ----------
        answer : WholeAnswer
            The answer.

        Returns
        -------
        bool
            Whether anything spoke against the request.
        """
        evidence = self._evidence.get(answer.fingerprint)
        if evidence is None:
            return False
        evidence.cleared_at = max(evidence.cleared_at, answer.at)
        cleared = [t for t, at in evidence.ends.items() if at <= answer.at]
        for target in cleared:
            self._drop_end(answer.fingerprint, evidence, target)
        return bool(cleared)

    def target_lives(self, target: int) -> None:
        """Take in that a target that was said to have ended has not.

        Parameters
        ----------
        target : int
            Short name of its incarnation.
        """
        for fingerprint in list(self._at_target.get(target, ())):
            self._drop_end(fingerprint, self._evidence[fingerprint], target)

    def held_for(self, fingerprint: int, now: float) -> float:
        """Return how long a request is held back from now on.

        Parameters
        ----------
        fingerprint : int
            What it asks for.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 for one that may be sent.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or not self._is_enough(fingerprint, evidence):
            return 0.0
        settings = self._settings
        doublings = min(MOST_ENDS, len(evidence.ends) - settings.ends)
        hold = min(settings.longest_hold, settings.hold * 2.0**doublings)
        return max(0.0, evidence.last_end + hold - now)

    def ends_under(self, fingerprint: int) -> int:
        """Return how many targets are known to have ended under a request.

        Parameters
        ----------
        fingerprint : int
            What it asks for.

        Returns
        -------
        int
            Targets.
        """
        evidence = self._evidence.get(fingerprint)
        return 0 if evidence is None else len(evidence.ends)

    def held(self, now: float) -> list[int]:
        """Return the requests that are held back.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[int]
            Their fingerprints.
        """
        return [each for each in self._enough if self.held_for(each, now) > 0]

    def proof(self, fingerprint: int) -> list[TargetEnd]:
        """Return the ends that suffice to hold a request back, the last ones.

        Parameters
        ----------
        fingerprint : int
            What it asks for.

        Returns
        -------
        list[TargetEnd]
            As many ends as any other router needs to hold it back too.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return []
        newest = sorted(evidence.ends.items(), key=lambda item: -item[1])
        most = self._settings.ends + MORE_WHERE_EXPLAINED
        return [TargetEnd(fingerprint, target, at) for target, at in newest[:most]]

    def _is_enough(self, fingerprint: int, evidence: _Evidence) -> bool:
        known = len(evidence.ends)
        if known < self._settings.ends:
            return False
        if known >= self._settings.ends + MORE_WHERE_EXPLAINED:
            return True
        return not any(self._explaining(fingerprint, evidence))

    def _explaining(self, fingerprint: int, evidence: _Evidence) -> Iterator[int]:
        """Yield requests that were at the same ends and at more besides."""
        for target in evidence.ends:
            for other in self._at_target[target]:
                more = len(self._evidence[other].ends) > len(evidence.ends)
                if more and other != fingerprint:
                    yield other

    def _begin(self, fingerprint: int) -> _Evidence:
        if len(self._evidence) >= self._settings.remembered:
            oldest = list(islice(self._evidence, LEAVING))
            self._forget(min(oldest, key=lambda each: len(self._evidence[each].ends)))
        evidence = self._evidence[fingerprint] = _Evidence()
        return evidence

    def _forget(self, fingerprint: int) -> None:
        evidence = self._evidence[fingerprint]
        for target in list(evidence.ends):
            self._drop_end(fingerprint, evidence, target)
        del self._evidence[fingerprint]

    def _forget_old_ends(
        self, fingerprint: int, evidence: _Evidence, now: float
    ) -> None:
        oldest = now - self._settings.longest_hold
        old = [target for target, at in evidence.ends.items() if at < oldest]
        if len(evidence.ends) - len(old) >= MOST_ENDS:
            old.append(min(evidence.ends, key=evidence.ends.__getitem__))
        for target in old:
            self._drop_end(fingerprint, evidence, target)

    def _drop_end(self, fingerprint: int, evidence: _Evidence, target: int) -> None:
        if evidence.ends.pop(target, None) is None:
            return
        on_board = self._at_target[target]
        on_board.discard(fingerprint)
        if not on_board:
            del self._at_target[target]
        if len(evidence.ends) < self._settings.ends:
            self._enough.discard(fingerprint)
