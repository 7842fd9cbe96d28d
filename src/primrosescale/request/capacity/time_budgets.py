"""The longest time budget that callers of each route have had lately."""

from __future__ import annotations

import math
from collections import deque

BUDGET_WINDOW_SECONDS = 60.0


class TimeBudgets:
    """Longest time budgets of routes within `BUDGET_WINDOW_SECONDS`.

    Budgets are kept by full seconds, and only those that no later one exceeds, so that
    a route takes up at most one entry for each second of the window.
    """

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        self._by_route: dict[str, deque[tuple[int, float]]] = {}

    def record(self, route: str, budget: float, now: float) -> float:
        """Record the budget of a request and return the longest one of its route.

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
            Seconds, including this request.
        """
        second = math.floor(now)
        budgets = self._by_route.get(route)
        if budgets is None:
            budgets = self._by_route[route] = deque()
        # Entries from before the clock was set back would otherwise stay for too long.
        while budgets and (budgets[-1][1] <= budget or budgets[-1][0] > second):
            budgets.pop()
        if not budgets or budgets[-1][0] != second:
            budgets.append((second, budget))
        while budgets[0][0] <= second - BUDGET_WINDOW_SECONDS:
            budgets.popleft()
        return budgets[0][1]
