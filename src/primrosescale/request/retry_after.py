"""The rest that a target asks for when it turns a request away."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

UNAVAILABLE = 503
# Seconds. A longer rest is shortened to this: a target that asks for a year has
# made a mistake, and is asked again some time.
LONGEST_REST = 600.0


def asked_rest(status: int, values: Iterable[str]) -> float | None:
    """Return the seconds for which a target wants no requests.

    The longest of several values counts. What is no number above 0, such as a
    date, asks for nothing.

    Parameters
    ----------
    status : int
        HTTP status of its answer.
    values : Iterable[str]
        Values of the answer's Retry-After headers.

    Returns
    -------
    float | None
        Seconds, at most `LONGEST_REST`; None where it asks for no rest.
    """
    if status != UNAVAILABLE:
        return None
    return min(max(map(_seconds, values), default=0.0), LONGEST_REST) or None


def _seconds(text: str) -> float:
    try:
        seconds = float(text)
    except ValueError:
        return 0.0
    return 0.0 if math.isnan(seconds) else max(0.0, seconds)
