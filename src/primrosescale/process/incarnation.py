"""Incarnation numbers, which distinguish restarts of a process."""

from __future__ import annotations

import secrets
import time

RANDOM_BITS = 20


def new_incarnation() -> int:
    """Return a number for a new incarnation of a process.

    Returns
    -------
    int
        Start time in seconds in the high bits, so that it exceeds the numbers
        of incarnations started in earlier seconds, and random low bits to
        distinguish incarnations started in the same second.
    """
    seconds = int(time.time())
    return (seconds << RANDOM_BITS) | secrets.randbits(RANDOM_BITS)
