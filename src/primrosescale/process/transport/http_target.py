"""A target reached over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.client import ResponseDone
from twisted.web.client import readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.process.exceptions import TargetError
from primrosescale.process.transport.engine_port import EnginePort
from primrosescale.process.transport.http_bodies import body_producer
from primrosescale.request.local_target_client import TargetRun

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.python.failure import Failure

    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.request.local_target_client import TargetReceiver

OK = 200
REQUEST_ID = b"X-Request-Id"
CACHED_TOKENS = b"X-Cached-Tokens"
HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"date",
        b"keep-alive",
        b"proxy-authenticate",
        b"server",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"x-request-id",
    },
)
CONNECTIONS = 64


class _Body(Protocol):
    """Hands the body of an answer to its receiver."""

    def __init__(self, run: _HttpRun, cached_tokens: int) -> None:
        self._run = run
        self._cached_tokens = cached_tokens

    def connectionMade(self) -> None:
        """Let the run pace this body."""
        self._run.body_begun(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Hand bytes on."""
        self._run.body_data(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell a whole answer from a cut one."""
        if reason.check(ResponseDone):
            self._run.body_done(self._cached_tokens)
        else:
            self._run.body_cut(reason.getErrorMessage())


class _HttpRun(TargetRun):
    """One request at the target."""

    __slots__ = ("_asked", "_is_over", "_receiver", "_request_id", "_transport")

    def __init__(self, receiver: TargetReceiver, request_id: bytes) -> None:
        self._receiver = receiver
        self._request_id = request_id
        self._asked: Deferred[Any] | None = None
        self._transport: Any = None
        self._is_over = False

    def follow(self, asked: Deferred[Any], *, must_echo: bool) -> None:
        """Wait for the answer's head."""
        self._asked = asked
        asked.addCallback(self._head, must_echo)
        asked.addErrback(self._failed)

    def cancel(self) -> None:
        """Tell the target to stop; see `TargetRun.cancel`."""
        if self._is_over:
            return
        self._is_over = True
        if self._transport is not None:
            self._transport.loseConnection()
        elif self._asked is not None:
            self._asked.cancel()

    def pause(self) -> None:
        """Stop taking bytes; see `TargetRun.pause`."""
        if self._transport is not None:
            self._transport.pauseProducing()

    def resume(self) -> None:
        """Take bytes again; see `TargetRun.resume`."""
        if self._transport is not None:
            self._transport.resumeProducing()

    def body_begun(self, transport: Any) -> None:
        """Take in that the body comes."""
        self._transport = transport
        if self._is_over and transport is not None:
            transport.loseConnection()

    def body_data(self, data: bytes) -> None:
        """Take in bytes of the body."""
        if not self._is_over:
            self._receiver.target_data(data)

    def body_done(self, cached_tokens: int) -> None:
        """Take in that the body is whole."""
        if not self._is_over:
            self._is_over = True
            self._receiver.target_done(cached_tokens)

    def body_cut(self, detail: str) -> None:
        """Take in that the body ended early."""
        self._end(Outcome.UNKNOWN, f"answer cut: {detail}")

    def _head(self, response: Any, must_echo: bool) -> None:
        if self._is_over:
            return
        echoed = response.headers.getRawHeaders(REQUEST_ID, [b""])[0]
        if must_echo and echoed != self._request_id:
            self._end(Outcome.UNKNOWN, "answer belongs to another request")
            response.deliverBody(_Body(self, 0))
            return
        headers = [
            wire.Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            if name.lower() not in HOP_HEADERS
            for value in values
        ]
        cached = response.headers.getRawHeaders(CACHED_TOKENS, [b"0"])[0]
        self._receiver.target_head(response.code, headers)
        response.deliverBody(_Body(self, int(cached) if cached.isdigit() else 0))

    def _failed(self, failure: Failure) -> None:
        if failure.check(ConnectError, RefusedError):
            self._end(Outcome.NOT_RUN, failure.getErrorMessage())
        elif failure.check(CancelledError):
            self._end(Outcome.UNKNOWN, "cancelled")
        else:
            self._end(Outcome.UNKNOWN, failure.getErrorMessage())

    def _end(self, outcome: Outcome, detail: str) -> None:
        if not self._is_over:
            self._is_over = True
            self._receiver.target_failed(outcome, detail)


@implementer(IAgentEndpointFactory)
class _FixedEndpoint:
    """Leads every request to one IP number, with no name to look up."""

    def __init__(self, reactor: Any, endpoint: Endpoint, timeout: float) -> None:
        self._way = TCP4ClientEndpoint(
            reactor,
            endpoint.address,
            endpoint.port,
            timeout=timeout,
        )

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        """Return the way to the target."""
        return self._way


class HttpTarget(EnginePort):
    """A target reached over HTTP on its own host.

    Connections are kept for idempotent requests only: a request on a kept
    connection that breaks at once might have run, and asking again would be
    a second run, so a non-idempotent one gets a new connection.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    endpoint : Endpoint
        Where the target listens.
    must_echo : bool
        Whether the target repeats the request's id in its answer.
    timeout : float
        Seconds a connection may take to open.
    """

    def __init__(
        self,
        reactor: Any,
        endpoint: Endpoint,
        *,
        must_echo: bool,
        timeout: float,
    ) -> None:
        self._base = f"http://{endpoint}".encode()
        self._must_echo = must_echo
        self._pool = HTTPConnectionPool(reactor)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = CONNECTIONS
        fresh = HTTPConnectionPool(reactor, persistent=False)
        way = _FixedEndpoint(reactor, endpoint, timeout)
        self._kept = Agent.usingEndpointFactory(reactor, way, self._pool)
        self._fresh = Agent.usingEndpointFactory(reactor, way, fresh)

    def close(self) -> Deferred[None]:
        """Close kept connections.

        Returns
        -------
        Deferred[None]
            When they are closed.
        """
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    def start(self, call: wire.Call, receiver: TargetReceiver) -> TargetRun:
        """Hand a request to the target; see `LocalTargetClient.start`."""
        request_id = f"{call.router}-{call.number}".encode()
        headers = Headers()
        for item in call.headers:
            headers.addRawHeader(item.name, item.value)
        headers.setRawHeaders(REQUEST_ID, [request_id])
        if call.chat:
            headers.setRawHeaders(b"X-Chat", [call.chat.encode()])
        headers.setRawHeaders(b"X-Priority", [str(call.priority).encode()])
        if call.traceparent:
            headers.setRawHeaders(b"traceparent", [call.traceparent.encode()])
        agent = self._kept if call.idempotent else self._fresh
        run = _HttpRun(receiver, request_id)
        producer = body_producer(call.body or None)
        url = self._base + call.path.encode()
        asked = agent.request(call.method.encode(), url, headers, producer)
        run.follow(asked, must_echo=self._must_echo)
        return run

    @inlineCallbacks
    def export_cache(self, chat: str) -> Generator[Any, Any, bytes]:
        """Read a chat's cache; see `LocalTargetClient.export_cache`."""
        url = self._base + b"/cache/" + chat.encode()
        response = yield self._kept.request(b"GET", url)
        body = yield readBody(response)
        return bytes(body) if response.code == OK else b""

    @inlineCallbacks
    def import_cache(self, chat: str, data: bytes) -> Generator[Any, Any, bool]:
        """Put a chat's cache into the target; see `LocalTargetClient.import_cache`."""
        url = self._base + b"/cache/" + chat.encode()
        producer = body_producer(data)
        response = yield self._kept.request(b"PUT", url, None, producer)
        yield readBody(response)
        return bool(response.code == OK)

    @inlineCallbacks
    def order(self, body: bytes) -> Generator[Any, Any, bytes]:
        """Send an order to the engine.

        Parameters
        ----------
        body : bytes
            The order in JSON.

        Returns
        -------
        Deferred[bytes]
            The engine's state in JSON; fails with `TargetError`.
        """
        producer = body_producer(body)
        url = self._base + b"/orders"
        response = yield self._kept.request(b"POST", url, None, producer)
        content = yield readBody(response)
        if response.code != OK:
            raise TargetError(f"order refused with status {response.code}")
        return bytes(content)

    @inlineCallbacks
    def state(self) -> Generator[Any, Any, bytes]:
        """Read the engine's state.

        Returns
        -------
        Deferred[bytes]
            The state in JSON; fails with `TargetError`.
        """
        response = yield self._kept.request(b"GET", self._base + b"/state")
        content = yield readBody(response)
        if response.code != OK:
            raise TargetError(f"state refused with status {response.code}")
        return bytes(content)
