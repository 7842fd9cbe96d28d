"""Limits the retries of one router for one service, over a sliding window.

When many requests fail at once, retrying each of them would double the load that made
them fail. So all routers together may retry a fraction of a service's requests plus a
fixed number, counted in any window. Each router stays within its own share; see
`RetryShare` for the fixed number.

The requests of a window may pay for its retries, or those of the window before or of
the one half a window before, since requests fail later than they come. If each router
chose among the three, requests at one router and later ones at another would pay for
retries in the same window. So all routers take the same weighted mean of the three,
which is below the largest of the three for all routers together if it is for each.

A retry counts when its target reads it, which may be seconds after it was sent. So one
that has not been read counts in every window that ends now, and one that has been read
counts from then on as if it had been sent at that time.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import accumulate
from typing import TYPE_CHECKING

from primrosescale.request.attempt.reading_delays import ReadingDelays

if TYPE_CHECKING:
    from primrosescale.request.attempt.retry_share import RetryShare

# Requests and retries are counted by periods of this length.
SLOT_SECONDS = 0.25
# Weights of the requests of a window, of the one half a window before, and of the one
# before. The first pays for what fails while it comes, also after a start; the others
# for many failures at once.
WINDOW_WEIGHTS = (0.5, 0.25, 0.25)


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
    unread : int
        Retries that are not known to have been read by their targets.
    assumed_read : int
        Retries taken as read without an answer to them, since the last report.
    """

    requests: int
    retries: int
    refused: int
    unread: int
    assumed_read: int


class SharedRetryBudget:
    """The retry budget of one router for one service.

    Parameters
    ----------
    share : RetryShare
        The router's share of the limits.
    """

    __slots__ = (
        "_assumed_read",
        "_granted",
        "_read",
        "_refused",
        "_requests",
        "_share",
        "_unread",
        "delays",
    )

    def __init__(self, share: RetryShare) -> None:
        self._share = share
        # Numbers by period: retries are those granted that have not been sent, and
        # those that have been read.
        self._requests: dict[int, int] = {}
        self._granted: dict[int, int] = {}
        self._read: dict[int, int] = {}
        self._refused = 0
        self._assumed_read = 0
        self._unread = 0
        # When its targets have read attempts, first ones and retries.
        self.delays = ReadingDelays()

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
        self._count(self._granted, now)
        return True

    def sent(self, now: float) -> None:
        """Record that a retry is being sent.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._unread += 1
        newest = _slot(now)
        for slot in range(newest, newest - self._slots - 1, -1):
            if self._granted.get(slot, 0):
                self._granted[slot] -= 1
                return

    def read(self, now: float, *, is_answered: bool = True) -> None:
        """Record that a retry has been read by its target.

        Parameters
        ----------
        now : float
            Present time in seconds.
        is_answered : bool
            Whether its own answer shows that.
        """
        self._unread -= 1
        self._assumed_read += not is_answered
        self._count(self._read, now)

    def take_usage(self, now: float) -> RetryUsage:
        """Return what was used, and count refused and assumed retries anew.

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
        assumed_read, self._assumed_read = self._assumed_read, 0
        return RetryUsage(
            sum(count for slot, count in self._requests.items() if slot >= first),
            self._unread
            + sum(self._in_period(slot) for slot in range(first, first + self._slots)),
            refused,
            self._unread,
            assumed_read,
        )

    def _allows_one(self, now: float) -> bool:
        """Return whether the retries since any moment of the window leave one more."""
        share, newest = self._share, _slot(now)
        paying = _PayingRequests(self._requests, newest, self._slots)
        retries = 1 + self._unread
        is_reserved = share.reserves_unread(now) and self.delays.stood_still(
            now - share.limits.window, now
        )
        per_request = share.retries_per_request(is_reserved=is_reserved)
        for slot in range(newest, _slot(now - share.limits.window) - 1, -1):
            counted = self._in_period(slot)
            retries += counted
            if not counted and slot != newest:
                continue
            # The moment may be any within the period; the latest has least to spend.
            since = min((slot + 1) * SLOT_SECONDS, now)
            allowed = share.fixed_retries(since, now, is_reserved=is_reserved)
            allowed += per_request * paying.since(slot)
            if retries > allowed:
                return False
        return True

    def _in_period(self, slot: int) -> int:
        """Return the retries of a period, without those that have not been read."""
        return self._granted.get(slot, 0) + self._read.get(slot, 0)

    def _count(self, counts: dict[int, int], at: float) -> None:
        slot = _slot(at)
        counts[slot] = counts.get(slot, 0) + 1
        kept = 2 * self._slots + 2
        if len(counts) > 2 * kept:
            for expired in [each for each in counts if each < slot - kept]:
                del counts[expired]


class _PayingRequests:
    """The requests that pay for the retries since any moment of a window.

    Parameters
    ----------
    requests : dict[int, int]
        Requests by period.
    newest : int
        The present period.
    slots : int
        Number of periods in a window.
    """

    __slots__ = ("_first", "_newest", "_slots", "_totals")

    def __init__(self, requests: dict[int, int], newest: int, slots: int) -> None:
        self._first = newest - 2 * slots - 1
        self._newest = newest
        self._slots = slots
        counts = (requests.get(slot, 0) for slot in range(self._first, newest + 1))
        self._totals = list(accumulate(counts, initial=0))

    def since(self, slot: int) -> float:
        """Return the weighted mean of the three windows from a period on.

        Parameters
        ----------
        slot : int
            The period.

        Returns
        -------
        float
            Requests, of those that the three windows have whenever in the period the
            first of them begins.
        """
        half, whole = self._slots // 2, self._slots
        own, shifted, former = WINDOW_WEIGHTS
        return (
            own * self._between(slot + 1, self._newest + 1)
            + shifted * self._between(slot + 1 - half, slot + half)
            + former * self._between(slot + 1 - whole, slot)
        )

    def _between(self, begin: int, end: int) -> int:
        """Return the requests from a period on, up to another one."""
        begin = max(begin, self._first)
        end = min(end, self._newest + 1)
        if end <= begin:
            return 0
        return self._totals[end - self._first] - self._totals[begin - self._first]


def _slot(at: float) -> int:
    """Return the number of the period that contains a time."""
    return int(at // SLOT_SECONDS)
