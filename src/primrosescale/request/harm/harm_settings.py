"""Defines the settings for holding back harmful requests."""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option


@dataclass(frozen=True, slots=True)
class HarmSettings:
    """When a request is held back as harmful, and for how long."""

    ends: int = option(
        COUNT,
        "targets that end while they run a request before it is held back; with fewer, "
        "requests that ran beside a harmful one twice would be held back too",
        3,
    )
    hold: float = option(
        SECONDS,
        "seconds for which it is held back at first; then one trial is let through, "
        "since targets may have been repaired by then",
        300.0,
    )
    longest_hold: float = option(
        SECONDS,
        "maximum of seconds for which it is held back after trials that ended "
        "targets again",
        43_200.0,
    )
    remembered: int = option(
        COUNT,
        "requests for which ended targets are remembered, at 1.4 kB each with three "
        "ends",
        4096,
    )
    part_ends: int = option(
        COUNT,
        "targets that end as they begin to answer unlike prompts with one part in "
        "common before requests with that part are held back; one more if the part was "
        "answered before, or while targets end often",
        4,
    )
    part_hold: float = option(
        SECONDS,
        "seconds for which requests with such a part are held back at first; then one "
        "trial is let through",
        30.0,
    )
    remembered_parts: int = option(
        COUNT,
        "prompt parts for which ended targets are remembered, at 5 kB each with five "
        "ends",
        1024,
    )
    answered_parts: int = option(
        COUNT,
        "prompt parts whose answers are remembered, at 0.3 kB each; the least recently "
        "answered are dropped first",
        16_384,
    )
    answered: int = option(
        COUNT,
        "requests whose complete answers are remembered, at 0.1 kB each; the least "
        "recently answered are dropped first",
        4096,
    )
