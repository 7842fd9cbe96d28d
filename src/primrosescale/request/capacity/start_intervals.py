"""Learns how often waiting calls of each organisation and priority are started.

The calls that wait tell how long a call of an organisation will wait only as long as no
others come. Those of organisations with fewer waiting calls, and more urgent ones, go
first all the same. While an organisation has waiting calls, the pauses between their
starts show what is left for it.
"""

from __future__ import annotations

import math

# Number of pauses over which they are averaged.
AVERAGED_PAUSES = 50
# Standard errors by which the true mean may be less than the measured one.
STANDARD_ERRORS = 2.0


class _Starts:
    """Pauses between the starts of one organisation and priority."""

    __slots__ = ("_count", "_deviation", "interval", "last_at")

    def __init__(self, now: float) -> None:
        self.last_at = now
        self.interval = 0.0
        self._count = 0
        self._deviation = 0.0

    @property
    def least_interval(self) -> float:
        """Return what the mean pause is at least, in seconds."""
        if not self._count:
            return 0.0
        error = self._deviation / math.sqrt(self._count)
        return max(0.0, self.interval - STANDARD_ERRORS * error)

    def started(self, now: float) -> None:
        """Include the pause before a start; a clock that was set back adds none."""
        pause, self.last_at = now - self.last_at, now
        if pause >= 0:
            self._count = min(self._count + 1, AVERAGED_PAUSES)
            error = pause - self.interval
            self.interval += error / self._count
            self._deviation += (abs(error) - self._deviation) / self._count


class StartIntervals:
    """Mean pauses between starts, of organisations that have waiting calls."""

    __slots__ = ("_starts",)

    def __init__(self) -> None:
        self._starts: dict[tuple[str, int], _Starts] = {}

    def __len__(self) -> int:
        """Return the number of organisations and priorities that are known."""
        return len(self._starts)

    def started(
        self, organisation: str, priority: int, waiting: int, now: float
    ) -> None:
        """Record that a waiting call was started.

        Parameters
        ----------
        organisation : str
            Its organisation.
        priority : int
            Its priority.
        waiting : int
            Calls of both that wait still. Without any, the next pause tells how seldom
            calls come, so that nothing is kept.
        now : float
            Current time in seconds.
        """
        key = (organisation, priority)
        if not waiting:
            self._starts.pop(key, None)
        elif key in self._starts:
            self._starts[key].started(now)
        else:
            self._starts[key] = _Starts(now)

    def left(self, organisation: str, priority: int) -> None:
        """Forget an organisation and priority that has no waiting calls any more.

        Parameters
        ----------
        organisation : str
            The organisation.
        priority : int
            The priority.
        """
        self._starts.pop((organisation, priority), None)

    def interval(self, organisation: str, priority: int) -> float:
        """Return the mean pause between starts.

        Parameters
        ----------
        organisation : str
            The organisation.
        priority : int
            The priority.

        Returns
        -------
        float
            Seconds; 0 if it is not known.
        """
        found = self._starts.get((organisation, priority))
        return 0.0 if found is None else found.interval

    def least_interval(self, organisation: str, priority: int) -> float:
        """Return what the mean pause between starts is at least.

        Parameters
        ----------
        organisation : str
            The organisation.
        priority : int
            The priority.

        Returns
        -------
        float
            Seconds; 0 if it is not known.
        """
        found = self._starts.get((organisation, priority))
        return 0.0 if found is None else found.least_interval

    def shift_times(self, seconds: float) -> None:
        """Move the times of the last starts, after the clock was set.

        Parameters
        ----------
        seconds : float
            By how much the clock was set forward; negative if it was set back.
        """
        for starts in self._starts.values():
            starts.last_at += seconds
