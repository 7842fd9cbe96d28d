"""Reads the pause that a target requests with Retry-After in a 503 answer.

During a requested pause the target is sent no requests. In the names of events and
metrics the pause is called "rest".
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

UNAVAILABLE = 503
# Seconds. A longer pause is shortened to this: a target that asks for a year has made
# a mistake and must be tried again eventually.
MAX_PAUSE_SECONDS = 600.0


def requested_pause(status: int, values: Iterable[str]) -> float | None:
    """Return the pause that a target requests, in seconds.

    Of several values the longest counts. A value that is not a number above 0, such
    as a date, is ignored.

    Parameters
    ----------
    status : int
        HTTP status of its answer.
    values : Iterable[str]
        Values of the answer's Retry-After headers.

    Returns
    -------
    float | None
        Seconds, at most `MAX_PAUSE_SECONDS`; None when it requests no pause.
    """
    if status != UNAVAILABLE:
        return None
    return min(max(map(_seconds, values), default=0.0), MAX_PAUSE_SECONDS) or None


def is_irregular_retry_after(status: int, values: Sequence[str]) -> bool:
    """Return whether Retry-After is anything but one number within bounds.

    Parameters
    ----------
    status : int
        HTTP status of the target's answer.
    values : Sequence[str]
        Values of the answer's Retry-After headers.

    Returns
    -------
    bool
        True for several values, and for one that is not a number, is negative or is
        longer than `MAX_PAUSE_SECONDS`.
    """
    if status != UNAVAILABLE or not values:
        return False
    return len(values) > 1 or not 0 <= _number(values[0]) <= MAX_PAUSE_SECONDS


def _seconds(text: str) -> float:
    seconds = _number(text)
    return 0.0 if math.isnan(seconds) else max(0.0, seconds)


def _number(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return math.nan
