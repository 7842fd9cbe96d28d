"""Good and bad outcomes whose influence fades with time."""

from __future__ import annotations


class DecayingOutcomes:
    """Counts of good and bad outcomes that halve in a fixed time.

    Parameters
    ----------
    half_life : float
        Seconds in which an outcome loses half of its influence.
    now : float
        Present time in seconds.
    """

    __slots__ = ("_bad", "_good", "_half_life", "_updated_at")

    def __init__(self, half_life: float, now: float) -> None:
        self._half_life = half_life
        self._good = 0.0
        self._bad = 0.0
        self._updated_at = now

    @property
    def total(self) -> float:
        """Return how many outcomes counted when the last one was added."""
        return self._good + self._bad

    @property
    def failure_share(self) -> float:
        """Return the share of bad ones, 0 to 1; 0 when there are none."""
        return self._bad / self.total if self.total else 0.0

    def add_good(self, now: float) -> None:
        """Count a good outcome.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._decay(now)
        self._good += 1.0

    def add_bad(self, now: float, weight: float = 1.0) -> None:
        """Count a bad outcome.

        Parameters
        ----------
        now : float
            Present time in seconds.
        weight : float
            How much it counts; 1 for a plain failure.
        """
        self._decay(now)
        self._bad += weight

    def counts(self, now: float) -> tuple[float, float]:
        """Return what counts now.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        tuple[float, float]
            Good and bad outcomes.
        """
        self._decay(now)
        return self._good, self._bad

    def clear_bad(self) -> None:
        """Forget the bad ones."""
        self._bad = 0.0

    def _decay(self, now: float) -> None:
        kept = 0.5 ** (max(0.0, now - self._updated_at) / self._half_life)
        self._good *= kept
        self._bad *= kept
        self._updated_at = now
