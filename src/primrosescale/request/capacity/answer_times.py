"""Learns for how long requests occupy their places at the targets of services."""

from __future__ import annotations

# Influence of the latest answer on a mean. Until there are as many answers as its
# inverse, all have the same influence, so that the first one does not dominate.
LEARNING_RATE = 0.05


class _LearntMean:
    """Mean of observed numbers, of which later ones have more influence."""

    __slots__ = ("_count", "mean")

    def __init__(self) -> None:
        self._count = 0
        self.mean: float | None = None

    def add(self, number: float) -> None:
        """Include a number."""
        self._count += 1
        known = number if self.mean is None else self.mean
        rate = max(LEARNING_RATE, 1 / self._count)
        self.mean = known + rate * (number - known)


class AnswerTimes:
    """Mean times of answers, by service."""

    __slots__ = ("_by_service",)

    def __init__(self) -> None:
        self._by_service: dict[str, _LearntMean] = {}

    def record(self, service: str, seconds: float) -> None:
        """Record a complete answer.

        Parameters
        ----------
        service : str
            The target's service.
        seconds : float
            Time from sending the request to the end of its answer.
        """
        self._by_service.setdefault(service, _LearntMean()).add(seconds)

    def mean(self, service: str) -> float | None:
        """Return the mean time of answers.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float | None
            Seconds; None if no answer has been observed.
        """
        known = self._by_service.get(service)
        return None if known is None else known.mean
