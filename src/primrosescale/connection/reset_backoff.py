"""Reduces the connections to a target for a short time after it has reset one.

A target accepts fewer connections than usual while its queue is long, and resets those
in excess. What it accepts at that moment is not reported; a reset shows that it is no
more than the connections that are open.
"""

from __future__ import annotations

# Time after which one more connection may be opened; the queue of a target takes
# seconds to become short again.
STEP_SECONDS = 0.5


class ResetBackoff:
    """Limit of the connections to one target, which falls with resets and rises again.

    Without resets it costs nothing and changes nothing.
    """

    __slots__ = ("_connections", "_held_at")

    def __init__(self) -> None:
        # Connections that were open after the last reset; None for no reduction.
        self._connections: int | None = None
        # The time of the last reset or, after it, of the last report of a long queue.
        self._held_at = 0.0

    def connection_reset(self, connections: int, now: float) -> None:
        """Record that the target reset a new connection.

        Parameters
        ----------
        connections : int
            Connections to the target that are left.
        now : float
            Current time, in seconds.
        """
        self._connections = connections
        self._held_at = now

    def queue_is_long(self, now: float) -> None:
        """Record that the queue of the target is long; the limit rises only after it.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        if self._connections is not None and now > self._held_at:
            self._connections += int((now - self._held_at) / STEP_SECONDS)
            self._held_at = now

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
        age = now - self._held_at
        reduced = self._connections + int(age / STEP_SECONDS)
        # After the clock was set back, the time of the reset is not known.
        if age < 0 or reduced >= limit:
            self._connections = None
            return limit
        return reduced
