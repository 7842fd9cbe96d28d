"""Loads of targets as a router last heard them in answers and refusals."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.candidates import Target

PAIR = 2
LOADS_KEPT = 2048
FRESH_FOR = 2.0
CLOSE_LOADS = 200


@dataclass(slots=True)
class KnownLoad:
    """A target's load and when it was heard.

    Parameters
    ----------
    load : int
        Work units outstanding.
    heard_at : float
        When, in seconds.
    """

    load: int
    heard_at: float


class TargetLoads:
    """Orders candidates of requests that have no cache to find.

    Of the first two candidates the less loaded goes first; where the loads
    are close or not known lately, the one in the router's own failure domain
    does. No message is sent for this: the loads ride on answers.
    """

    def __init__(self) -> None:
        self._known: OrderedDict[str, KnownLoad] = OrderedDict()

    def __len__(self) -> int:
        """Return how many targets' loads are kept."""
        return len(self._known)

    def record(self, target: str, load: int, now: float) -> None:
        """Take in a target's load.

        Parameters
        ----------
        target : str
            Its name.
        load : int
            Work units outstanding.
        now : float
            Present time in seconds.
        """
        self._known[target] = KnownLoad(load, now)
        self._known.move_to_end(target)
        if len(self._known) > LOADS_KEPT:
            self._known.popitem(last=False)

    def order(self, candidates: list[Target], domain: str, now: float) -> list[Target]:
        """Return candidates with the better of the first two in front.

        Parameters
        ----------
        candidates : list[Target]
            In the order of the ring.
        domain : str
            The router's own failure domain.
        now : float
            Present time in seconds.

        Returns
        -------
        list[Target]
            The same targets.
        """
        if len(candidates) < PAIR:
            return candidates
        first, second, *rest = candidates
        if self._goes_before(second, first, domain, now):
            return [second, first, *rest]
        return candidates

    def _goes_before(self, one: Target, other: Target, domain: str, now: float) -> bool:
        load = self._load(one, now)
        other_load = self._load(other, now)
        if load is not None and other_load is not None:
            if abs(load - other_load) > CLOSE_LOADS:
                return load < other_load
        return one.domain == domain != other.domain

    def _load(self, target: Target, now: float) -> int | None:
        known = self._known.get(target.name)
        if known is None or now - known.heard_at > FRESH_FOR:
            return None
        return known.load
