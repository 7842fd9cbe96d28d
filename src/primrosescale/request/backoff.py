"""Decorrelated jitter between attempts."""

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
    """How long to wait between attempts."""

    shortest: float = option(
        SECONDS,
        "seconds, least",
        0.02,
    )
    longest: float = option(
        SECONDS,
        "seconds, most",
        1.0,
    )


class Backoff:
    """Waits that grow at random, independent between callers.

    Parameters
    ----------
    settings : BackoffSettings
        Limits.
    rng : Random
        Source of chance.
    """

    def __init__(self, settings: BackoffSettings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._last_wait = settings.shortest

    def next_wait(self) -> float:
        """Return the next wait.

        Returns
        -------
        float
            Seconds.
        """
        drawn = self._rng.uniform(
            self._settings.shortest, self._last_wait * GROWTH_FACTOR
        )
        self._last_wait = min(self._settings.longest, drawn)
        return self._last_wait
