"""Settings of what holds harmful requests back."""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option


@dataclass(frozen=True, slots=True)
class HarmSettings:
    """When a request is held back, and for how long."""

    ends: int = option(
        COUNT,
        "targets that end under a request before it is held back; fewer would hold "
        "back requests that were beside a harmful one twice",
        3,
    )
    hold: float = option(
        SECONDS,
        "seconds for which it is held back at first; then one try is let through, "
        "since targets may have been repaired by then",
        300.0,
    )
    longest_hold: float = option(
        SECONDS,
        "seconds for which it is held back at the most after tries that ended "
        "targets again",
        43_200.0,
    )
    remembered: int = option(
        COUNT,
        "requests whose ends are remembered, at 1.4 kB each with three ends",
        4096,
    )
    answered: int = option(
        COUNT,
        "requests whose whole answers are remembered, at 0.1 kB each; those asked "
        "for again and again stay among them",
        4096,
    )
