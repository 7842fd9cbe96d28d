"""Limits the retries of one router for one service, over a sliding window.

When many requests fail at once, retrying each of them would double the load that made
them fail. So all routers together may retry a fraction of a service's requests plus a
fixed number, counted in any window. Each router stays within its own share; see
`RetryShare` for the fixed number.

Requests that came before a window may pay for retries in it, as requests fail later
than they come. If all of them did, those of a burst would pay for retries in two
windows. So half of the requests that came since one window before any moment pay for
the retries since that moment: the mean of two windows, which holds for all routers
together if it holds for each, and is no more than the larger of the two.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.attempt.retry_share import RetryShare

# Requests and retries are counted by periods of this length.
SLOT_SECONDS = 0.25
# Weight of a request in each of two windows.
REQUEST_WEIGHT = 0.5


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
    """The retry budget of one router for one service.

    Parameters
    ----------
    share : RetryShare
        The router's share of the limits.
    """

    __slots__ = ("_refused", "_requests", "_retries", "_share")

    def __init__(self, share: RetryShare) -> None:
        self._share = share
        # Numbers by period.
        self._requests: dict[int, int] = {}
        self._retries: dict[int, int] = {}
        self._refused = 0

    @property
    def _slots(self) -> int:
        """Return the number of complete periods in a window."""
        return max(1, int(self._share.limits.window / SLOT_SECONDS))

    def requested(self, at: float) -> None:
        """Count a new request of a caller.

        Parameters
        ----------
        at : float
            When it was received, in seconds.
        """
        self._count(self._requests, at)

    def spend(self, now: float) -> bool:
        """Take one retry from the budget.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False when the budget is exhausted.
        """
        if not self._allows_one(now):
            self._refused += 1
            return False
        self._count(self._retries, now)
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
        first = _slot(now) - self._slots + 1
        refused, self._refused = self._refused, 0
        return RetryUsage(
            sum(count for slot, count in self._requests.items() if slot >= first),
            sum(count for slot, count in self._retries.items() if slot >= first),
            refused,
        )

    def _allows_one(self, now: float) -> bool:
        """Return whether the retries since any moment of the window leave one more."""
        share, slots, newest = self._share, self._slots, _slot(now)
        oldest = _slot(now - share.limits.window)
        per_request = REQUEST_WEIGHT * share.retries_per_request
        retries = 1
        paying = sum(
            self._requests.get(slot, 0)
            for slot in range(newest - slots + 1, newest + 1)
        )
        for slot in range(newest, oldest - 1, -1):
            sent = self._retries.get(slot, 0)
            retries += sent
            if sent or slot == newest:
                # Counted from the end of the period: the moment may be any within it.
                since = min((slot + 1) * SLOT_SECONDS, now)
                allowed = share.fixed_retries(since, now) + per_request * paying
                if retries > allowed:
                    return False
            paying += self._requests.get(slot - slots, 0)
        return True

    def _count(self, counts: dict[int, int], at: float) -> None:
        slot = _slot(at)
        counts[slot] = counts.get(slot, 0) + 1
        kept = 2 * self._slots + 2
        if len(counts) > 2 * kept:
            for expired in [each for each in counts if each < slot - kept]:
                del counts[expired]


def _slot(at: float) -> int:
    """Return the number of the period that contains a time."""
    return int(at // SLOT_SECONDS)
