"""A bound on how often requests are sent again, over a sliding window.

The pattern it answers: many requests fail at once, and sending each of them
again would double the load that made them fail. All routers together may send
a share of a service's requests again, and a fixed number besides; each keeps
to its part of that.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Part of the bound that is used, since routers learn late how many they are.
SAFETY = 0.8


@dataclass(frozen=True, slots=True)
class SharedRetryLimits:
    """How many repeats all routers together may make.

    Parameters
    ----------
    ratio : float
        Repeats per request.
    window : float
        Seconds over which both are counted.
    extra : float
        Repeats besides, in a window.
    """

    ratio: float
    window: float
    extra: float


class SharedRetryBudget:
    """One router's part of the bound, for one service.

    Parameters
    ----------
    bounds : SharedRetryLimits
        The bound of all routers.
    """

    __slots__ = ("_bounds", "_repeats", "_requests")

    def __init__(self, bounds: SharedRetryLimits) -> None:
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def requested(self, now: float) -> None:
        """Count a request of a caller.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._requests.append(now)
        self._forget(now)

    def spend(self, routers: int, now: float) -> bool:
        """Take one repeat from the budget.

        Parameters
        ----------
        routers : int
            Routers that share the bound, this one included.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False when there is none left.
        """
        self._forget(now)
        bounds = self._bounds
        allowed = bounds.ratio * len(self._requests) + bounds.extra / max(1, routers)
        if len(self._repeats) + 1 > SAFETY * allowed:
            return False
        self._repeats.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._repeats):
            while times and now - times[0] > self._bounds.window:
                times.popleft()
