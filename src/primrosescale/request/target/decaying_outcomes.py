"""Counts good and bad outcomes with exponential decay."""

from __future__ import annotations


class DecayingOutcomes:
    """Counts of good and bad outcomes that decay with a fixed half-life.

    Parameters
    ----------
    half_life : float
        Seconds in which an outcome loses half of its influence.
    now : float
        Current time in seconds.
    """

    __slots__ = ("_bad", "_good", "_half_life", "_updated_at")

    def __init__(self, half_life: float, now: float) -> None:
        self._half_life = half_life
        self._good = 0.0
        self._bad = 0.0
        self._updated_at = now

    @property
    def total(self) -> float:
        """Return the decayed number of outcomes, as of the last update."""
        return self._good + self._bad

    @property
    def failure_share(self) -> float:
        """Return the share of bad outcomes, 0 to 1; 0 when there are none."""
        return self._bad / self.total if self.total else 0.0

    def add_good(self, now: float) -> None:
        """Count a good outcome.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._decay(now)
        self._good += 1.0

    def add_bad(self, now: float, weight: float = 1.0) -> None:
        """Count a bad outcome.

        Parameters
        ----------
        now : float
            Current time in seconds.
        weight : float
            How much it counts; 1 for a full failure.
        """
        self._decay(now)
        self._bad += weight

    def counts(self, now: float) -> tuple[float, float]:
        """Return the decayed counts.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        tuple[float, float]
            Good and bad outcomes.
        """
        self._decay(now)
        return self._good, self._bad

    def clear_bad(self) -> None:
        """Reset the count of bad outcomes."""
        self._bad = 0.0

    def _decay(self, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self._updated_at) / self._half_life)
        self._good *= kept
        self._bad *= kept
        self._updated_at = now
