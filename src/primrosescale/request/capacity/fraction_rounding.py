"""Rounds allowances so that their mean over time is kept.

A request that has started under an allowance rounded up cannot be taken back when the
allowance is rounded down. With draws independent of each other, a router would keep
its additional place for longer than the fraction of the time that it is due, and many
routers together would overload slow targets. Therefore the time for which the
additional place was in use is counted.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# After this time without an allowance the rounding begins anew at random, so that the
# routers that an overload limits at the same moment are not rounded up together.
MAX_PAUSE_SECONDS = 1.0
# Longest time for which a place that was not used may be used later. It is short, so
# that routers that were idle do not exceed their parts together in an overload.
MAX_SAVED_SECONDS = 0.01
# Assumed until an answer has been observed.
ASSUMED_ANSWER_SECONDS = 0.25


class FractionRounding:
    """Rounds the allowances of one service up or down over time.

    Parameters
    ----------
    rng : Random
        Random generator for the beginning.
    """

    __slots__ = ("_credit", "_last_used", "_rng", "_updated_at")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        # Seconds for which the additional place may be used, negative while it was
        # used for longer than due.
        self._credit = 0.0
        self._updated_at = -math.inf
        # Requests at the targets after the last call, which may have started one.
        self._last_used = 0.0

    def round(
        self, mean: float, running: float, answer_time: float | None, now: float
    ) -> int:
        """Return an allowance as a whole number.

        Parameters
        ----------
        mean : float
            The allowance before rounding, at least 0.
        running : float
            Requests of this router at the targets.
        answer_time : float | None
            Seconds for which a request occupies its place; None if not known.
        now : float
            Current time in seconds.

        Returns
        -------
        int
            The number rounded up or down.
        """
        low, high = math.floor(mean), math.ceil(mean)
        elapsed = now - self._updated_at
        self._updated_at = now
        if 0 <= elapsed <= MAX_PAUSE_SECONDS:
            # The mean of the places in use after the last call and at this one.
            used = min(high, max(low, (self._last_used + max(0.0, running)) / 2))
            self._credit += elapsed * (mean - used)
        else:
            self._credit = self._draw(mean - low, answer_time)
        self._credit = min(MAX_SAVED_SECONDS, self._credit)
        found = high if self._credit > 0 else low
        self._last_used = max(found, running)
        return found

    def _draw(self, fraction: float, answer_time: float | None) -> float:
        """Return the credit at a random moment between two uses of the place."""
        if self._rng.random() < fraction:
            return math.ulp(0.0)
        usual = ASSUMED_ANSWER_SECONDS if answer_time is None else answer_time
        # The time of requests varies, and so does the time until the next use.
        return -self._rng.expovariate(1.0) * (1 - fraction) * usual
