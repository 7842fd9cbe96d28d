"""Decides when callers of a router that alone lost the store should return.

A router that cannot reach the store refuses requests with keys once its
configuration is too old. Callers that return reach another router, which serves
them, so a wait would only make their answers late.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.attempt.forwarding_interfaces import Refusal

if TYPE_CHECKING:
    from random import Random

# Callers that are refused together do not return at the same moment.
MAX_JITTER_SECONDS = 0.05
REFUSALS_FOR_LACK_OF_KNOWLEDGE = frozenset({Refusal.STALE, Refusal.NO_CONFIGURATION})


def isolated_retry_delay(refusal: Refusal, rng: Random) -> float | None:
    """Return the Retry-After of a refusal that peer routers would not give.

    Parameters
    ----------
    refusal : Refusal
        Why the request was refused.
    rng : Random
        Source of the jitter.

    Returns
    -------
    float | None
        Seconds; None if the refusal has another reason than the age of what this
        router knows.
    """
    if refusal not in REFUSALS_FOR_LACK_OF_KNOWLEDGE:
        return None
    return rng.uniform(0.0, MAX_JITTER_SECONDS)
