"""Random exponential back-off between attempts, with decorrelated jitter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

if TYPE_CHECKING:
    from random import Random

GROWTH_FACTOR = 3.0


@dataclass(frozen=True, slots=True)
class BackoffSettings:
    """Limits of the wait between attempts."""

    shortest: float = option(
        SECONDS,
        "shortest wait in seconds",
        0.02,
    )
    longest: float = option(
        SECONDS,
        "longest wait in seconds",
        1.0,
    )


class Backoff:
    """Random waits that grow with each retry and differ between callers.

    Parameters
    ----------
    settings : BackoffSettings
        Limits of the waits.
    rng : Random
        Random number generator.
    """

    def __init__(self, settings: BackoffSettings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._last_wait = settings.shortest

    def next_wait(self) -> float:
        """Draw the next wait.

        Returns
        -------
        float
            Wait in seconds.
        """
        drawn = self._rng.uniform(
            self._settings.shortest, self._last_wait * GROWTH_FACTOR
        )
        self._last_wait = min(self._settings.longest, drawn)
        return self._last_wait
