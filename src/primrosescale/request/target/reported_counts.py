"""Sums the counts that peer routers report for a target, until they expire.

Each choice reads the sum of each target several times; adding up the routers' counts
each time would take longer than the rest of the choice.
"""

from __future__ import annotations

import math


class ReportedCounts:
    """Counts of one kind by router, and their sum.

    Routers report their counts every few tenths of a second; a count that is not
    reported again is included until it expires.
    """

    __slots__ = ("_by_router", "_total", "_valid_until")

    def __init__(self) -> None:
        self._by_router: dict[str, tuple[float, float]] = {}
        self._total = 0.0
        # No count expires before this time, so that the sum is valid until then.
        self._valid_until = math.inf

    def put(self, router: str, count: float, fresh_until: float) -> None:
        """Set the count of a router, in place of its previous one.

        Parameters
        ----------
        router : str
            The peer router.
        count : float
            Its count.
        fresh_until : float
            When the count expires, in seconds.
        """
        known, _ = self._by_router.get(router, (0.0, 0.0))
        self._by_router[router] = (count, fresh_until)
        self._total += count - known
        self._valid_until = min(self._valid_until, fresh_until)

    def total(self, now: float) -> float:
        """Return the sum over all routers.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Sum of the counts that have not expired.
        """
        if now > self._valid_until:
            self._drop_expired(now)
        return self._total

    def _drop_expired(self, now: float) -> None:
        self._by_router = {
            router: reported
            for router, reported in self._by_router.items()
            if now <= reported[1]
        }
        reported = self._by_router.values()
        self._total = sum(count for count, _ in reported)
        self._valid_until = min((until for _, until in reported), default=math.inf)
