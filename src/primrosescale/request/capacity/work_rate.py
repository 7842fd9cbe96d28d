"""Measures how much work a target does in a second.

Only times count in which the target could have done no more: all the slots that waiting
calls may use are taken. At other times the work that ends tells what was asked for.
"""

from __future__ import annotations

# Weight of the newest measurement; the one before keeps the rest.
NEWEST_WEIGHT = 0.25
# Calls that end during a measurement, at least; of fewer, chance decides when they end.
MIN_CALLS = 8


class WorkRate:
    """Work units a second of one target.

    Parameters
    ----------
    slots : int
        Calls that run at once; a measurement takes one turn of all of them.
    assumed : float
        Work units a second until one has been measured; 0 to assume nothing.
    """

    __slots__ = ("_calls", "_min_calls", "_rate", "_since", "_was_measured", "_work")

    def __init__(self, slots: int, assumed: float) -> None:
        self._rate = assumed
        self._was_measured = False
        self._min_calls = max(MIN_CALLS, slots)
        # When the present measurement began; None while the target has slots to spare.
        self._since: float | None = None
        self._work = 0
        self._calls = 0

    @property
    def known(self) -> float | None:
        """Return the work units a second; None if nothing is known."""
        return self._rate or None

    def seconds_for(self, work: float) -> float:
        """Return how long the target takes for some work.

        Parameters
        ----------
        work : float
            Work units.

        Returns
        -------
        float
            Seconds; 0 if nothing is known.
        """
        return work / self._rate if self._rate else 0.0

    def set_busy(self, now: float, *, is_busy: bool) -> None:
        """Begin a measurement, or give it up.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_busy : bool
            Whether the target can do no more than it does now.
        """
        if not is_busy:
            self._since = None
        elif self._since is None:
            self._begin(now)

    def finished(self, work: int, now: float) -> None:
        """Count a call that has ended.

        Parameters
        ----------
        work : int
            Its work units.
        now : float
            Current time in seconds.
        """
        if self._since is None:
            return
        self._work += work
        self._calls += 1
        if self._calls < self._min_calls or now <= self._since:
            return
        measured = self._work / (now - self._since)
        weight = NEWEST_WEIGHT if self._was_measured else 1.0
        self._rate += weight * (measured - self._rate)
        self._was_measured = True
        self._begin(now)

    def _begin(self, now: float) -> None:
        self._since = now
        self._work = self._calls = 0
