"""Orders candidate targets by the loads last received in answers and refusals."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.choice.candidates import Target

COMPARED_CANDIDATES = 2
MAX_KNOWN_LOADS = 2048
FRESH_SECONDS = 2.0
CLOSE_LOAD_UNITS = 200


@dataclass(slots=True)
class LoadSample:
    """A target's load and when it was received.

    Parameters
    ----------
    load : int
        Work units outstanding.
    received_at : float
        When it was received, in seconds.
    """

    load: int
    received_at: float


class TargetLoads:
    """Orders the candidates of requests for which no prompt cache matters.

    Of the first two candidates the less loaded goes first; where their loads are
    close, or one was not received recently, the one in the router's own failure
    domain does. This takes no extra messages: loads are piggybacked on answers.
    """

    def __init__(self) -> None:
        self._known: OrderedDict[str, LoadSample] = OrderedDict()

    def __len__(self) -> int:
        """Return for how many targets a load is kept."""
        return len(self._known)

    def record(self, target: str, load: int, now: float) -> None:
        """Record a target's load.

        Parameters
        ----------
        target : str
            Name of the target.
        load : int
            Work units outstanding.
        now : float
            Current time in seconds.
        """
        self._known[target] = LoadSample(load, now)
        self._known.move_to_end(target)
        if len(self._known) > MAX_KNOWN_LOADS:
            self._known.popitem(last=False)

    def order(self, candidates: list[Target], domain: str, now: float) -> list[Target]:
        """Return the candidates with the better of the first two in front.

        Parameters
        ----------
        candidates : list[Target]
            In the order of the hash ring.
        domain : str
            The router's own failure domain.
        now : float
            Current time in seconds.

        Returns
        -------
        list[Target]
            The same targets in the new order.
        """
        if len(candidates) < COMPARED_CANDIDATES:
            return candidates
        first, second, *rest = candidates
        if self._goes_before(second, first, domain, now):
            return [second, first, *rest]
        return candidates

    def _goes_before(self, one: Target, other: Target, domain: str, now: float) -> bool:
        load = self._load(one, now)
        other_load = self._load(other, now)
        if load is not None and other_load is not None:
            if abs(load - other_load) > CLOSE_LOAD_UNITS:
                return load < other_load
        return one.domain == domain != other.domain

    def _load(self, target: Target, now: float) -> int | None:
        known = self._known.get(target.name)
        if known is None or now - known.received_at > FRESH_SECONDS:
            return None
        return known.load
