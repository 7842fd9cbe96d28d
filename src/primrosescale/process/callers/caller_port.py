"""The ports of a process that are open to callers, and their connections."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.clock import cancel_timer
from primrosescale.process.callers.open_connections import OpenConnections

if TYPE_CHECKING:
    from primrosescale.clock import Clock
    from primrosescale.clock import Timer

# While connections are closed for new ones, this many are accepted in each interval.
# The others wait in the kernel's queue, which costs less than to close all of them.
MAX_CLOSED_IN_INTERVAL = 50
INTERVAL_SECONDS = 0.025
# Connections accepted in one iteration of the reactor, so that each is read before
# many others are accepted.
MAX_ACCEPTED = 20


class CallerPort:
    """One listening port, with the connections that were accepted there.

    Parameters
    ----------
    clock : Clock
        Source of timers.
    limit : int
        Connections that may be open.
    """

    def __init__(self, clock: Clock, limit: int) -> None:
        self._clock = clock
        self._connections = OpenConnections(limit)
        self._port: Any = None
        self._timer: Timer | None = None
        # Connections closed for others before the present interval.
        self._closed_before = 0

    @property
    def connections(self) -> OpenConnections:
        """Return the open connections."""
        return self._connections

    def open(self, port: Any) -> None:
        """Set the listening port.

        Parameters
        ----------
        port : Any
            A port of Twisted.
        """
        self._port = port
        port.numberAccepts = MAX_ACCEPTED

    def accepted(self) -> None:
        """Pause to accept connections if many were closed for new ones."""
        closed = self._connections.closed_for_others
        if self._timer is None:
            if closed == self._closed_before:
                return
            self._timer = self._clock.callLater(INTERVAL_SECONDS, self._begin_interval)
        if closed - self._closed_before >= MAX_CLOSED_IN_INTERVAL and self._port:
            self._port.stopReading()

    def close(self) -> None:
        """Stop the timer."""
        cancel_timer(self._timer)
        self._timer = None

    def _begin_interval(self) -> None:
        self._timer = None
        self._closed_before = self._connections.closed_for_others
        if self._port is not None and self._port.connected:
            self._port.numberAccepts = MAX_ACCEPTED
            self._port.startReading()
