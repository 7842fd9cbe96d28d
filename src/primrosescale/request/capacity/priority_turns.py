"""Shares the starts of waiting calls between priorities.

More urgent calls go first. Urgent calls alone can be more than a target can do, for as
long as an overload lasts, so that every eighth start goes to the least urgent priority
that has waiting calls.
"""

from __future__ import annotations

from collections import Counter

# Every so many starts, one goes to the least urgent priority.
LEAST_URGENT_INTERVAL = 8


class PriorityTurns:
    """Waiting work of each priority, and whose turn is next."""

    __slots__ = ("_starts", "_waiting", "_work")

    def __init__(self) -> None:
        # Work units and number of the waiting calls of each priority.
        self._work: Counter[int] = Counter()
        self._waiting: Counter[int] = Counter()
        self._starts = 0

    @property
    def priorities(self) -> list[int]:
        """Return the priorities that have waiting calls."""
        return list(self._waiting)

    @property
    def least_urgent(self) -> int:
        """Return the least urgent priority that has waiting calls; some must wait."""
        return max(self._waiting)

    @property
    def is_least_urgent_next(self) -> bool:
        """Return whether the next start goes to the least urgent priority."""
        is_turn = (self._starts + 1) % LEAST_URGENT_INTERVAL == 0
        return is_turn and bool(self._waiting)

    def added(self, priority: int, work: int) -> None:
        """Count a call that begins to wait.

        Parameters
        ----------
        priority : int
            Its priority.
        work : int
            Its work units.
        """
        self._work[priority] += work
        self._waiting[priority] += 1

    def removed(self, priority: int, work: int) -> None:
        """Count a call no longer, which waits no more.

        Parameters
        ----------
        priority : int
            Its priority.
        work : int
            Its work units.
        """
        self._waiting[priority] -= 1
        self._work[priority] -= work
        if not self._waiting[priority]:
            del self._waiting[priority]
            del self._work[priority]

    def started(self) -> None:
        """Count a start, after which the turn is that of the next one."""
        self._starts += 1

    def clear(self) -> None:
        """Forget all waiting calls."""
        self._work.clear()
        self._waiting.clear()

    def is_over_share(self, priority: int) -> bool:
        """Return whether a priority has more than an eighth of the waiting calls.

        Parameters
        ----------
        priority : int
            The priority.

        Returns
        -------
        bool
            Whether it has.
        """
        total = sum(self._waiting.values())
        return self._waiting[priority] * LEAST_URGENT_INTERVAL > total

    def work_ahead(self, priority: int, same: float) -> float:
        """Return the work that would be started before a new call.

        Parameters
        ----------
        priority : int
            Priority of the new call.
        same : float
            Work ahead of it within its priority.

        Returns
        -------
        float
            Work units.
        """
        if not self._waiting:
            return 0.0
        urgent = sum(work for other, work in self._work.items() if other < priority)
        if priority < self.least_urgent:
            return same + urgent
        mean = sum(self._work.values()) / sum(self._waiting.values())
        return min(same + urgent, LEAST_URGENT_INTERVAL * (same + mean))
