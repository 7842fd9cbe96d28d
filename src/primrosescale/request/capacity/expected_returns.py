"""Refused callers of one service that are expected to return.

Callers that are refused after them are told to return after them, so that not all come
back to the same free place. Meanwhile they are demand for the service like those that
wait: a router that refuses more at once is not one that is asked for less.

A caller may return at any router, so nothing is kept of a single refusal. Each router
expects as many returns as it refuses calls, which on average is its share of them.
"""

from __future__ import annotations

import heapq
from collections import Counter

# A bound on the memory only: callers beyond it are not counted.
MAX_EXPECTED = 4096


class ExpectedReturns:
    """Numbers of refused callers of each organisation that are still to return."""

    __slots__ = ("_by_organisation", "_due")

    def __init__(self) -> None:
        self._due: list[tuple[float, str]] = []
        self._by_organisation: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return the number of expected callers."""
        return len(self._due)

    def add(self, organisation: str, due: float) -> None:
        """Expect a caller.

        Parameters
        ----------
        organisation : str
            Its organisation.
        due : float
            When it was told to return, in seconds.
        """
        if len(self._due) < MAX_EXPECTED:
            heapq.heappush(self._due, (due, organisation))
            self._by_organisation[organisation] += 1

    def ahead(self, organisation: str, now: float) -> int:
        """Return how many of them are started before another caller that returns.

        Parameters
        ----------
        organisation : str
            Organisation of that caller.
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Number of callers, in fair order between organisations.
        """
        self._forget_due(now)
        own = self._by_organisation[organisation]
        if not own:
            del self._by_organisation[organisation]
            return 0
        return sum(min(number, own) for number in self._by_organisation.values())

    def count(self, now: float) -> int:
        """Return how many of them are still to return.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Number of callers.
        """
        self._forget_due(now)
        return len(self._due)

    def shift_times(self, seconds: float) -> None:
        """Move the times of the returns, after the clock was set.

        Parameters
        ----------
        seconds : float
            By how much the clock was set forward; negative if it was set back.
        """
        self._due = [(due + seconds, name) for due, name in self._due]

    def _forget_due(self, now: float) -> None:
        while self._due and self._due[0][0] <= now:
            _, name = heapq.heappop(self._due)
            self._by_organisation[name] -= 1
            if not self._by_organisation[name]:
                del self._by_organisation[name]
