"""One router's share of a service's retry budget, over a sliding window.

When many requests fail at once, retrying each of them would double the load that
made them fail. So all routers together may retry a fraction of a service's requests
plus a fixed number. Each router applies the fraction to its own requests and uses an
equal share of the fixed number.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Fraction of the budget that is used, because routers learn with a delay how many
# routers there are.
SAFETY_FACTOR = 0.8


@dataclass(frozen=True, slots=True)
class SharedRetryLimits:
    """Limits on the retries of all routers together.

    Parameters
    ----------
    ratio : float
        Retries per request.
    window : float
        Seconds over which requests and retries are counted.
    extra : float
        Further retries per window, whatever the number of requests.
    """

    ratio: float
    window: float
    extra: float


@dataclass(frozen=True, slots=True)
class RetryUsage:
    """What one router used of the retry budget of one service, for the log.

    Parameters
    ----------
    requests : int
        New requests of callers in the window.
    retries : int
        Retries in the window.
    refused : int
        Retries that the budget did not allow, since the last report.
    """

    requests: int
    retries: int
    refused: int


class SharedRetryBudget:
    """One router's share of the retry budget of one service.

    Parameters
    ----------
    bounds : SharedRetryLimits
        The limits for all routers together.
    """

    __slots__ = ("_bounds", "_refused", "_requests", "_retries")

    def __init__(self, bounds: SharedRetryLimits) -> None:
        self._bounds = bounds
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._refused = 0

    def requested(self, now: float) -> None:
        """Count a new request of a caller.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._requests.append(now)
        self._drop_expired(now)

    def spend(self, routers: int, now: float) -> bool:
        """Take one retry from the budget.

        Parameters
        ----------
        routers : int
            Number of routers that share the budget, including this one.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False when the budget is exhausted.
        """
        self._drop_expired(now)
        bounds = self._bounds
        allowed = bounds.ratio * len(self._requests) + bounds.extra / max(1, routers)
        if len(self._retries) + 1 > SAFETY_FACTOR * allowed:
            self._refused += 1
            return False
        self._retries.append(now)
        return True

    def take_usage(self, now: float) -> RetryUsage:
        """Return what was used, and count refused retries anew.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        RetryUsage
            The usage.
        """
        self._drop_expired(now)
        refused, self._refused = self._refused, 0
        return RetryUsage(len(self._requests), len(self._retries), refused)

    def _drop_expired(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._bounds.window:
                times.popleft()
