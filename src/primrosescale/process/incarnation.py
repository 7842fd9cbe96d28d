"""Numbers that tell the incarnations of a process apart."""

from __future__ import annotations

import secrets
import time

INCARNATION_SHIFT = 20


def new_incarnation() -> int:
    """Return a number for this incarnation of a process.

    Returns
    -------
    int
        Higher than that of earlier incarnations by the clock, and unlike any
        started in the same second.
    """
    seconds = int(time.time())
    return (seconds << INCARNATION_SHIFT) | secrets.randbits(INCARNATION_SHIFT)
