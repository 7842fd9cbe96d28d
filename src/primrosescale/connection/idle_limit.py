"""Limits how long a kept connection may have been idle before it is reused.

Targets, or proxies in front of them, may drop idle connections silently and
earlier than they announce. The next request on such a connection is lost, and a
request that may run at most once cannot be sent again. After the first such loss,
only connections with a much shorter idle time are reused, until the loss expires.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Hashable

# Share of an idle time that caused a loss which stays allowed. The target's actual
# limit lies anywhere below that idle time; with a quarter, one or two losses are
# enough to get below a limit of 0.1-0.5 s from an idle time of 1-2 s.
ALLOWED_IDLE_SHARE = 0.25
# Seconds for which a loss lowers the limit. Observed disturbances last 5-8 s; each
# connection that is opened in place of a reused one costs 1 ms.
LOSS_RETENTION_SECONDS = 10.0
# Losses after a shorter idle time are ignored: the target failed rather than
# dropping an idle connection. Known targets keep idle connections for at least
# 0.3 s.
MIN_IDLE_SECONDS = 0.1


class IdleLimit:
    """Maximum idle time for reuse of connections, derived from recent losses."""

    __slots__ = ("_allowed", "_losses", "_until")

    def __init__(self) -> None:
        # For each source: the allowed idle time and the time of the last loss.
        self._losses: dict[Hashable, tuple[float, float]] = {}
        self._allowed = math.inf
        self._until = 0.0

    @property
    def sources(self) -> list[Hashable]:
        """Return the sources at which connections were lost recently."""
        return list(self._losses)

    def lost(self, idle_seconds: float, now: float, source: Hashable = None) -> None:
        """Record that a request on a kept connection was lost without an answer.

        Parameters
        ----------
        idle_seconds : float
            Seconds for which the connection had been idle before the request.
        now : float
            Current time, in seconds.
        source : Hashable
            Identifies the target at which it was lost.
        """
        if idle_seconds < MIN_IDLE_SECONDS:
            return
        if now >= self._until:
            self._losses.clear()
        known_limit, _ = self._losses.get(source, (math.inf, now))
        self._losses[source] = (
            min(known_limit, ALLOWED_IDLE_SHARE * idle_seconds),
            now,
        )
        self._update_limit()

    def forget(self, source: Hashable) -> None:
        """Discard the losses of one source.

        Parameters
        ----------
        source : Hashable
            Identifies the target whose losses are discarded.
        """
        if self._losses.pop(source, None) is not None:
            self._update_limit()

    def _update_limit(self) -> None:
        losses = self._losses.values()
        self._allowed = min((allowed for allowed, _ in losses), default=math.inf)
        last_loss = max((lost_at for _, lost_at in losses), default=-math.inf)
        self._until = last_loss + LOSS_RETENTION_SECONDS

    def allows(self, idle_seconds: float, now: float) -> bool:
        """Return whether a connection with the given idle time may be reused.

        Parameters
        ----------
        idle_seconds : float
            Seconds since its last answer.
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            False if the target may have dropped the connection.
        """
        return now >= self._until or idle_seconds <= self._allowed
