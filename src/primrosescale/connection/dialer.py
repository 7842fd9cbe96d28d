"""Opens outgoing connections to other processes, over TCP or TLS."""

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
    """Opens outgoing connections."""

    @abstractmethod
    def dial(self, endpoint: Endpoint, link: Link) -> Deferred[Link]:
        """Connect a link to an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            Address and port to connect to.
        link : Link
            A protocol that is not connected yet.

        Returns
        -------
        Deferred[Link]
            Fires with the link when its transport is connected; fails with
            `DialError` if the connection could not be opened, in which case
            nothing was sent. Can be cancelled.
        """


class TcpDialer(Dialer):
    """Opens TCP connections, with TLS if `tls` is given.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    timeout : float
        Maximum seconds for opening a connection.
    tls : IOpenSSLClientConnectionCreator | None
        Client side of mutual TLS; None for plain TCP.
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
