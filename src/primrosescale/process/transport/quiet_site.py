"""HTTP site without an access log; processes log their own events instead."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.web.server import Site

from primrosescale.process.callers.caller_port import CallerPort
from primrosescale.process.callers.guarded_channel import GuardedChannel

if TYPE_CHECKING:
    from twisted.web.resource import Resource

    from primrosescale.process.callers.caller_guard import CallerGuard


class QuietSite(Site):
    """A site without an access log and without tracebacks to callers.

    Parameters
    ----------
    resource : Resource
        Resource to serve.
    request_factory : Any
        Creates the request objects.
    timeout : float
        Seconds without data after which a connection is closed.
    guard : CallerGuard
        Limits over all connections of the process.
    """

    noisy = False
    displayTracebacks = False

    def __init__(
        self,
        resource: Resource,
        request_factory: Any,
        timeout: float,
        guard: CallerGuard,
    ) -> None:
        super().__init__(resource, timeout=timeout)  # type: ignore[no-untyped-call]
        self.requestFactory = request_factory
        self._guard = guard
        self._caller_port = CallerPort(guard.clock, guard.settings.connections)

    @property
    def caller_port(self) -> CallerPort:
        """Return the port, with its connections."""
        return self._caller_port

    def stopFactory(self) -> None:
        """Stop the timer of the port."""
        super().stopFactory()
        self._caller_port.close()

    def buildProtocol(self, addr: Any) -> Any:
        """Create the protocol of a new connection.

        Parameters
        ----------
        addr : Any
            Address of the client.

        Returns
        -------
        Any
            The protocol.
        """
        channel: Any = GuardedChannel(self._guard, self._caller_port)
        channel.requestFactory = self.requestFactory
        channel.site = channel.factory = self
        channel.timeOut = self.timeOut
        return channel

    def log(self, request: Any) -> None:
        """Write no access log.

        Parameters
        ----------
        request : Any
            The request.
        """
