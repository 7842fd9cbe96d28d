"""Estimates times as RFC 6298 does for retransmission timeouts."""

from __future__ import annotations

# Weights of the newest time, and the number of deviations; RFC 6298, section 2.
MEAN_WEIGHT = 1 / 8
DEVIATION_WEIGHT = 1 / 4
DEVIATIONS = 4.0


class TimeEstimate:
    """Mean and mean deviation of observed times, in seconds or as multiples of others.

    Parameters
    ----------
    time : float
        The first time.
    """

    __slots__ = ("_deviation", "mean")

    def __init__(self, time: float) -> None:
        self.mean = time
        self._deviation = time / 2

    @property
    def usual(self) -> float:
        """Return the time that few exceed.

        It is at least twice the mean, or times that hardly differ would make chance
        delays of the network count.
        """
        return self.mean + max(DEVIATIONS * self._deviation, self.mean)

    def add(self, time: float) -> None:
        """Include a time.

        Parameters
        ----------
        time : float
            The time, in the unit of the first one.
        """
        error = time - self.mean
        self._deviation += DEVIATION_WEIGHT * (abs(error) - self._deviation)
        self.mean += MEAN_WEIGHT * error
