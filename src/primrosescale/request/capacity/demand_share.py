"""Computes a router's share of a capacity from its share of the demand.

All routers apply the same rule to what they know of each other, so that their shares
add up to the capacity without an agreement between them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class DemandShare:
    """Capacity of a service and the demand for it, as one router knows them.

    Parameters
    ----------
    capacity : float
        Requests that all routers together should have at the targets.
    own : float
        Requests of this router, at the targets and waiting, and refused callers that
        are still to return.
    others : float
        Those of all other routers.
    routers : int
        Number of listed routers, including this one.
    has_current_loads : bool
        Whether the demand of other routers is known at present.
    """

    capacity: float
    own: float
    others: float
    routers: int
    has_current_loads: bool

    @property
    def demand(self) -> float:
        """Return the demand of all routers."""
        return _bounded(self.own) + _bounded(self.others)

    def mean_allowance(self) -> float | None:
        """Return how many requests this router may have at the targets.

        Returns
        -------
        float | None
            The number before rounding, between 0 and the capacity; None for no limit,
            while the targets can take one more request than is demanded. A router that
            knows nothing of the others gets at most an equal share in any case.
        """
        capacity = _bounded(self.capacity)
        demand = self.demand
        share = None
        if demand + 1 > capacity:
            share = capacity * min(1.0, _bounded(self.own) / demand) if demand else 0.0
        if self.has_current_loads:
            return share
        equal_share = capacity / max(1, self.routers)
        return equal_share if share is None else min(share, equal_share)


def _bounded(number: float) -> float:
    """Return a number as it is, 0 for a negative or meaningless one."""
    return float(number) if 0 < number < math.inf else 0.0
