"""The longest time budgets that first-time callers of each route have had lately."""

from __future__ import annotations

import math
from collections import deque

BUDGET_WINDOW_SECONDS = 60.0
# The seconds with the longest budgets do not count: at least two, since a caller with a
# far longer budget may return, and a tenth of all, since there may be several of them.
MIN_IGNORED_SECONDS = 2
IGNORED_SECONDS_SHARE = 0.1


class TimeBudgets:
    """Longest usual time budgets of routes within `BUDGET_WINDOW_SECONDS`.

    Of each second only the longest budget is kept, so that a route takes up at most one
    entry for each second of the window, and a second in which many callers have an
    exceptional budget counts no more than any other.
    """

    __slots__ = ("_by_route", "_cleaned_at")

    def __init__(self) -> None:
        self._by_route: dict[str, _RouteBudgets] = {}
        self._cleaned_at = -math.inf

    def __len__(self) -> int:
        """Return the number of routes of which budgets are known."""
        return len(self._by_route)

    def record(self, route: str, budget: float, now: float) -> float:
        """Record the budget of a request and return the longest usual one of its route.

        Parameters
        ----------
        route : str
            Name of the route.
        budget : float
            Seconds that the caller waits from the arrival of its request.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 until the route has had requests in three different seconds.
        """
        budgets = self._by_route.get(route)
        if budgets is None:
            self._forget_unused(now)
            budgets = self._by_route[route] = _RouteBudgets()
        budgets.record(budget, math.floor(now))
        return budgets.longest_usual

    def _forget_unused(self, now: float) -> None:
        """Forget the routes without requests in the window, at most once in it."""
        if 0 <= now - self._cleaned_at < BUDGET_WINDOW_SECONDS:
            return
        self._cleaned_at = now
        self._by_route = {
            route: budgets
            for route, budgets in self._by_route.items()
            if abs(now - budgets.latest) <= BUDGET_WINDOW_SECONDS
        }


class _RouteBudgets:
    """Longest budget of each second, and the longest one that is not exceptional."""

    __slots__ = ("_longest", "_seconds", "longest_usual")

    def __init__(self) -> None:
        self._seconds: deque[int] = deque()
        self._longest: deque[float] = deque()
        self.longest_usual = 0.0

    @property
    def latest(self) -> float:
        """Return the last second in which a budget was recorded."""
        return self._seconds[-1] if self._seconds else -math.inf

    def record(self, budget: float, second: int) -> None:
        """Count a budget; the cost is that of a sort only if its second gets longer."""
        # Entries from before the clock was set back would otherwise stay for too long.
        while self._seconds and self._seconds[-1] > second:
            self._seconds.pop()
            self._longest.pop()
        if not self._seconds or self._seconds[-1] != second:
            self._seconds.append(second)
            self._longest.append(budget)
        elif budget > self._longest[-1]:
            self._longest[-1] = budget
        else:
            return
        while self._seconds[0] <= second - BUDGET_WINDOW_SECONDS:
            self._seconds.popleft()
            self._longest.popleft()
        self._update()

    def _update(self) -> None:
        known = len(self._longest)
        ignored = max(MIN_IGNORED_SECONDS, int(IGNORED_SECONDS_SHARE * known))
        descending = sorted(self._longest, reverse=True)
        self.longest_usual = descending[ignored] if ignored < known else 0.0
