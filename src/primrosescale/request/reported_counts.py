"""What other routers told of a target, summed while it is fresh.

A choice looks at each target's sum several times; adding up what each router told
would take longer than the rest of the choice.
"""

from __future__ import annotations

import math


class ReportedCounts:
    """Counts of one kind by router, and their sum.

    Routers tell their counts anew every some tenths of a second; what is not told
    again counts until it is no longer fresh.
    """

    __slots__ = ("_by_router", "_total", "_valid_until")

    def __init__(self) -> None:
        self._by_router: dict[str, tuple[float, float]] = {}
        self._total = 0.0
        # Until then the sum holds as it is.
        self._valid_until = math.inf

    def put(self, router: str, count: float, fresh_until: float) -> None:
        """Take in what a router tells, in place of what it told before.

        Parameters
        ----------
        router : str
            The other router.
        count : float
            Its count.
        fresh_until : float
            When this stops to count, in seconds.
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
            Present time in seconds.

        Returns
        -------
        float
            Of what is fresh.
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
