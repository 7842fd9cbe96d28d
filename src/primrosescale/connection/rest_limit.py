"""How long a kept connection may rest before it is trusted again.

The pattern it answers: targets, or what stands before them, that drop idle
connections without a word and sooner than they say. What is sent next on one is
lost, and a request that may run once is lost with it. The first loss tells how
long is too long; the others follow from it until the trouble has passed.
"""

from __future__ import annotations

import math

# Part of the rest that was too long which is still allowed. The limit that was
# crossed lies anywhere below that rest; with a quarter, one or two losses find
# a limit of 0.1-0.5 s from a rest of 1-2 s.
ALLOWED_SHARE = 0.25
# Seconds for which a loss counts. Longer than the troubles of today (5-8 s), in
# which each new connection costs 1 ms.
DISTRUST_SECONDS = 10.0
# Seconds; a connection that was lost after a shorter rest was not dropped for
# resting: its target failed. Today's targets keep idle ones for 0.3 s at least.
LEAST_REST = 0.1


class RestLimit:
    """The rest that kept connections are allowed, from what was lost lately."""

    __slots__ = ("_allowed", "_until")

    def __init__(self) -> None:
        self._allowed = math.inf
        self._until = 0.0

    def lost(self, rested: float, now: float) -> None:
        """Take in that a request on a kept connection was lost unanswered.

        Parameters
        ----------
        rested : float
            Seconds the connection had rested before.
        now : float
            Present time in seconds.
        """
        if rested < LEAST_REST:
            return
        known = self._allowed if now < self._until else math.inf
        self._allowed = min(known, ALLOWED_SHARE * rested)
        self._until = now + DISTRUST_SECONDS

    def allows(self, rested: float, now: float) -> bool:
        """Tell whether a connection that rested so long may be used.

        Parameters
        ----------
        rested : float
            Seconds since its last answer.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False for one that may have been dropped.
        """
        return now >= self._until or rested <= self._allowed
