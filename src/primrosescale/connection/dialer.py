"""Opening connections to other processes."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.endpoints import wrapClientTLS

from primrosescale.connection.exceptions import DialError

if TYPE_CHECKING:
    from typing import Any

    from twisted.internet.defer import Deferred
    from twisted.internet.interfaces import IOpenSSLClientConnectionCreator
    from twisted.python.failure import Failure

    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.connection.link import Link


class Dialer(ABC):
    """Opens connections."""

    @abstractmethod
    def dial(self, endpoint: Endpoint, link: Link) -> Deferred[Link]:
        """Connect a link to an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            Where to.
        link : Link
            An unconnected protocol.

        Returns
        -------
        Deferred[Link]
            The link when its transport is connected; fails with
            `DialError` when nothing could be sent. It can be cancelled.
        """


class TcpDialer(Dialer):
    """Opens TCP connections, with TLS when a context is given.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    timeout : float
        Seconds a connection may take to open.
    tls : IOpenSSLClientConnectionCreator | None
        Client side of mutual TLS.
    """

    def __init__(
        self,
        reactor: Any,
        timeout: float,
        tls: IOpenSSLClientConnectionCreator | None = None,
    ) -> None:
        self._reactor = reactor
        self._timeout = timeout
        self._tls = tls

    def dial(self, endpoint: Endpoint, link: Link) -> Deferred[Link]:
        """Connect a link to an endpoint; see `Dialer.dial`."""
        target: Any = TCP4ClientEndpoint(
            self._reactor,
            endpoint.address,
            endpoint.port,
            timeout=self._timeout,
        )
        if self._tls is not None:
            target = wrapClientTLS(self._tls, target)
        connecting: Deferred[Link] = connectProtocol(target, link)

        def raise_dial_error(failure: Failure) -> None:
            raise DialError(str(endpoint), failure.getErrorMessage())

        connecting.addErrback(raise_dial_error)
        return connecting
