"""How long a kept connection may rest before it is trusted again.

The pattern it answers: targets, or what stands before them, that drop idle
connections without a word and sooner than they say. What is sent next on one is
lost, and a request that may run once is lost with it. The first loss tells how
long is too long; the others follow from it until the trouble has passed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

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


class IdleLimit:
    """The rest that kept connections are allowed, from what was lost lately."""

    __slots__ = ("_allowed", "_lessons", "_until")

    def __init__(self) -> None:
        # Of each source the rest that it allows and when it was last lost at.
        self._lessons: dict[Hashable, tuple[float, float]] = {}
        self._allowed = math.inf
        self._until = 0.0

    @property
    def sources(self) -> list[Hashable]:
        """Return where connections were lost lately."""
        return list(self._lessons)

    def lost(self, rested: float, now: float, source: Hashable = None) -> None:
        """Take in that a request on a kept connection was lost unanswered.

        Parameters
        ----------
        rested : float
            Seconds the connection had rested before.
        now : float
            Present time in seconds.
        source : Hashable
            Whom it was lost at.
        """
        if rested < LEAST_REST:
            return
        if now >= self._until:
            self._lessons.clear()
        known, _ = self._lessons.get(source, (math.inf, now))
        self._lessons[source] = (min(known, ALLOWED_SHARE * rested), now)
        self._sum_up()

    def forget(self, source: Hashable) -> None:
        """Forget what was lost at one source.

        Parameters
        ----------
        source : Hashable
            Whom it was lost at.
        """
        if self._lessons.pop(source, None) is not None:
            self._sum_up()

    def _sum_up(self) -> None:
        lessons = self._lessons.values()
        self._allowed = min((allowed for allowed, _ in lessons), default=math.inf)
        last = max((lost_at for _, lost_at in lessons), default=-math.inf)
        self._until = last + DISTRUST_SECONDS

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
