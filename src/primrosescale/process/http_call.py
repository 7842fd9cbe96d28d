"""Calls to the platform's service over HTTP, each with a timeout."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.client import readBody
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from primrosescale.connection.keepalive import watch_over
from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.http_bodies import body_producer

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.web.http_headers import Headers

    from primrosescale.connection.dialer import Endpoint


class Reply:
    """An answer of the platform.

    Parameters
    ----------
    status : int
        HTTP status.
    etag : int
        Version in the ETag header; 0 for none.
    body : bytes
        Content.
    """

    __slots__ = ("body", "etag", "status")

    def __init__(self, status: int, etag: int, body: bytes) -> None:
        self.status = status
        self.etag = etag
        self.body = body


@implementer(IAgentEndpointFactory)
class _KeptAliveEndpoint:
    """Leads every call to one IP number and watches over the connections."""

    def __init__(self, reactor: Any, endpoint: Endpoint, timeout: float) -> None:
        self._way = TCP4ClientEndpoint(
            reactor,
            endpoint.address,
            endpoint.port,
            timeout=timeout,
        )

    def endpointForURI(self, uri: Any) -> _KeptAliveEndpoint:
        """Return the way to the service."""
        return self

    def connect(self, factory: Any) -> Deferred[Any]:
        """Connect, and have the kernel probe the connection while it is idle."""
        connected: Deferred[Any] = self._way.connect(factory)

        def made(protocol: Any) -> Any:
            watch_over(protocol.transport)
            return protocol

        return connected.addCallback(made)


class HttpCaller:
    """Makes calls and tells an unreached service from a lost answer.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    endpoint : Endpoint
        Where the service listens.
    timeout : float
        Seconds an answer may take.
    """

    def __init__(self, reactor: Any, endpoint: Endpoint, timeout: float) -> None:
        self._reactor = reactor
        self._base = f"http://{endpoint}"
        self._timeout = timeout
        self._pool = HTTPConnectionPool(reactor)
        self._pool.retryAutomatically = False
        way = _KeptAliveEndpoint(reactor, endpoint, timeout)
        self._agent = Agent.usingEndpointFactory(reactor, way, self._pool)
        self._calls = 0

    @property
    def calls(self) -> int:
        """Return how many calls were made."""
        return self._calls

    def close(self) -> Deferred[None]:
        """Close idle connections.

        Returns
        -------
        Deferred[None]
            When they are closed.
        """
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    @inlineCallbacks
    def call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Headers | None = None,
        extra: float = 0.0,
    ) -> Generator[Any, Any, Reply]:
        """Make one call.

        Parameters
        ----------
        method : str
            HTTP method.
        path : str
            Path and query.
        body : bytes | None
            Content; None for a call that only reads.
        headers : Headers | None
            Headers of the call.
        extra : float
            Seconds that the service may wait before it answers.

        Returns
        -------
        Deferred[Reply]
            The answer; fails with `PlatformUnavailableError`, or for a write
            that may have taken effect with `PlatformAnswerLostError`.
        """
        self._calls += 1
        producer = body_producer(body)
        url = (self._base + path).encode()
        asked = self._agent.request(method.encode(), url, headers, producer)
        asked.addTimeout(self._timeout + extra, self._reactor)
        try:
            response = yield asked
            reading = readBody(response)
            reading.addTimeout(self._timeout, self._reactor)
            content = yield reading
        except (ConnectError, ConnectTimeoutError) as error:
            raise PlatformUnavailableError(type(error).__name__) from error
        except (Exception, CancelledError) as error:
            detail = f"{type(error).__name__}: {error}"
            if body is None:
                raise PlatformUnavailableError(detail) from error
            raise PlatformAnswerLostError(detail) from error
        tag = response.headers.getRawHeaders("ETag", ['"0"'])[0]
        return Reply(response.code, int(tag.strip('"')), content)
