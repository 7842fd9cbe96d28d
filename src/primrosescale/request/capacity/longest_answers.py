"""The longest time that complete answers of each route have lately taken."""

from __future__ import annotations

import math

# Times of the last one to two windows count, so that a route with a request a second
# has at least 60 of them.
WINDOW_SECONDS = 60.0


class LongestAnswers:
    """Longest times of answers by route, in the present window and the one before.

    Of each route only the longest time of a window is kept, so that memory is bounded
    by the number of routes in use.
    """

    __slots__ = ("_began_at", "_current", "_former")

    def __init__(self) -> None:
        self._began_at = -math.inf
        self._current: dict[str, float] = {}
        self._former: dict[str, float] = {}

    def record(self, route: str, seconds: float, now: float) -> None:
        """Record a complete answer.

        Parameters
        ----------
        route : str
            Name of the route.
        seconds : float
            Time from the arrival of the request to the end of the answer.
        now : float
            Present time in seconds.
        """
        self._change_window(now)
        if seconds > self._current.get(route, 0.0):
            self._current[route] = seconds

    def longest(self, route: str, now: float) -> float | None:
        """Return the longest recent time of a route's answers.

        Parameters
        ----------
        route : str
            Name of the route.
        now : float
            Present time in seconds.

        Returns
        -------
        float | None
            Seconds; None if the route has had no complete answer in the windows.
        """
        self._change_window(now)
        times = self._current.get(route), self._former.get(route)
        return max((time for time in times if time is not None), default=None)

    def _change_window(self, now: float) -> None:
        """Begin a new window when the present one is over."""
        elapsed = now - self._began_at
        # A clock that was set back begins a new window too.
        if 0 <= elapsed < WINDOW_SECONDS:
            return
        is_next = WINDOW_SECONDS <= elapsed < 2 * WINDOW_SECONDS
        self._former = self._current if is_next else {}
        self._current = {}
        self._began_at = now
