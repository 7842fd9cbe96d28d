"""Accepts callers' connections and tracks the open ones."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.protocol import ServerFactory

from primrosescale.process.callers.caller_port import CallerPort
from primrosescale.process.callers.caller_site import EntryChannel

if TYPE_CHECKING:
    from primrosescale.process.callers.caller_guard import CallerGuard
    from primrosescale.process.callers.caller_site import EntryHandler
    from primrosescale.process.callers.connection_admission import ConnectionAdmission


class EntryFactory(ServerFactory):
    """Creates callers' connections and tracks the open ones.

    Parameters
    ----------
    handler : EntryHandler
        Handles the requests.
    guard : CallerGuard
        Limits over all connections of the process.
    admission : ConnectionAdmission
        Decides which new connections are accepted.
    """

    noisy = False

    def __init__(
        self,
        handler: EntryHandler,
        guard: CallerGuard,
        admission: ConnectionAdmission,
    ) -> None:
        self._handler = handler
        self._guard = guard
        self._admission = admission
        self._caller_port = CallerPort(guard.clock, guard.settings.connections)
        self._channels: set[EntryChannel] = set()
        self._idle: set[EntryChannel] = set()

    @property
    def guard(self) -> CallerGuard:
        """Return the limits over all connections of the process."""
        return self._guard

    @property
    def caller_port(self) -> CallerPort:
        """Return the port, with its connections."""
        return self._caller_port

    @property
    def open_channels(self) -> int:
        """Return the number of open connections."""
        return len(self._channels)

    def stopFactory(self) -> None:
        """Stop to measure, as no more connections are accepted."""
        self._admission.stop()
        self._caller_port.close()

    def buildProtocol(self, addr: Any) -> EntryChannel | None:
        """Create the protocol of a new connection, unless the router is behind.

        Parameters
        ----------
        addr : Any
            Address of the caller.

        Returns
        -------
        EntryChannel | None
            The protocol; None to close the connection.
        """
        if not self._admission.accepts():
            return None
        channel = EntryChannel(self._handler, self._guard, self._caller_port)
        channel.factory = self
        self._channels.add(channel)
        return channel

    def request_came(self, *, is_first: bool) -> None:
        """Count a request that was read.

        Parameters
        ----------
        is_first : bool
            Whether it is the first one of its connection.
        """
        self._admission.request_came(is_first=is_first)

    def request_done(self) -> None:
        """Count a request that was answered."""
        self._admission.completed()

    def forget(self, channel: EntryChannel) -> None:
        """Remove a connection that has ended.

        Parameters
        ----------
        channel : EntryChannel
            The connection.
        """
        self._channels.discard(channel)
        self._idle.discard(channel)

    def log(self, request: Any) -> None:
        """Write no access log, because the router logs each request itself.

        Parameters
        ----------
        request : Any
            The request.
        """

    def close_idle(self) -> None:
        """Close the connections without a request, if they had none at the last call.

        What had arrived by then has been read since, so that only a request that is on
        its way while the connection is closed is lost unread.
        """
        idle = {channel for channel in self._channels if channel.is_idle}
        for channel in idle & self._idle:
            channel.loseConnection()
        self._idle = idle - self._idle
