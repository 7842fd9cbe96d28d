"""HTTP client of the target on the agent's own host."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

from primrosescale.connection.bounded_http import BoundedHttpProtocol
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.process.exceptions import TargetError
from primrosescale.process.transport.http_bodies import body_producer
from primrosescale.process.transport.http_bodies import read_body
from primrosescale.process.transport.local_engine_client import LocalEngineClient
from primrosescale.request.attempt.local_target_client import TargetRun

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator

    from twisted.python.failure import Failure

    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.request.attempt.local_target_client import TargetReceiver

OK = 200
REQUEST_ID_HEADER = b"X-Request-Id"
CACHED_TOKENS_HEADER = b"X-Cached-Tokens"
HOP_BY_HOP_HEADERS = frozenset(
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
MAX_KEPT_CONNECTIONS = 64


class _BodyForwarder(Protocol):
    """Passes the body of an answer to its `_HttpRun`."""

    def __init__(self, run: _HttpRun, cached_tokens: int) -> None:
        self._run = run
        self._cached_tokens = cached_tokens

    def connectionMade(self) -> None:
        """Pass the transport to the run, so that it can pause the body."""
        self._run.body_started(self.transport)

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes on."""
        self._run.body_data(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report whether the answer was complete or truncated."""
        if reason.check(ResponseDone):
            self._run.body_done(self._cached_tokens)
        else:
            self._run.body_lost(reason.getErrorMessage())


class _HttpRun(TargetRun):
    """One request in flight at the target."""

    __slots__ = ("_answer", "_has_ended", "_receiver", "_request_id", "_transport")

    def __init__(self, receiver: TargetReceiver, request_id: bytes) -> None:
        self._receiver = receiver
        self._request_id = request_id
        self._answer: Deferred[Any] | None = None
        self._transport: Any = None
        self._has_ended = False

    def follow(self, answer: Deferred[Any], *, must_echo: bool) -> None:
        """Attach the handlers for the head of the answer."""
        self._answer = answer
        answer.addCallback(self._head, must_echo)
        answer.addErrback(self._failed)

    def cancel(self) -> None:
        """Close the connection, so that the target stops; see `TargetRun.cancel`."""
        if self._has_ended:
            return
        self._has_ended = True
        if self._transport is not None:
            self._transport.loseConnection()
        elif self._answer is not None:
            self._answer.cancel()

    def pause(self) -> None:
        """Stop reading from the target; see `TargetRun.pause`."""
        if self._transport is not None:
            self._transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading from the target; see `TargetRun.resume`."""
        if self._transport is not None:
            self._transport.resumeProducing()

    def body_started(self, transport: Any) -> None:
        """Handle the start of the body."""
        self._transport = transport
        if self._has_ended and transport is not None:
            transport.loseConnection()

    def body_data(self, data: bytes) -> None:
        """Handle bytes of the body."""
        if not self._has_ended:
            self._receiver.target_data(data)

    def body_done(self, cached_tokens: int) -> None:
        """Handle the end of a complete body."""
        if not self._has_ended:
            self._has_ended = True
            self._receiver.target_done(cached_tokens)

    def body_lost(self, detail: str) -> None:
        """Handle a body that ended before it was complete."""
        self._end(Outcome.UNKNOWN, f"answer cut: {detail}")

    def _head(self, response: Any, must_echo: bool) -> None:
        if self._has_ended:
            return
        echoed = response.headers.getRawHeaders(REQUEST_ID_HEADER, [b""])[0]
        if must_echo and echoed != self._request_id:
            self._end(Outcome.UNKNOWN, "answer belongs to another request")
            response.deliverBody(_BodyForwarder(self, 0))
            return
        headers = [
            wire.Header(name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            if name.lower() not in HOP_BY_HOP_HEADERS
            for value in values
        ]
        cached = response.headers.getRawHeaders(CACHED_TOKENS_HEADER, [b"0"])[0]
        self._receiver.target_head(response.code, headers)
        response.deliverBody(
            _BodyForwarder(self, int(cached) if cached.isdigit() else 0)
        )

    def _failed(self, failure: Failure) -> None:
        if failure.check(ConnectError, RefusedError):
            self._end(Outcome.NOT_RUN, failure.getErrorMessage())
        elif failure.check(CancelledError):
            self._end(Outcome.UNKNOWN, "cancelled")
        else:
            self._end(Outcome.UNKNOWN, failure.getErrorMessage())

    def _end(self, outcome: Outcome, detail: str) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._receiver.target_failed(outcome, detail)


class _BoundedFactory(Factory):
    """Builds connections whose answers are bounded."""

    noisy = False

    def __init__(self, on_quiescent: Callable[[Any], Any], _: object) -> None:
        self._on_quiescent = on_quiescent

    def buildProtocol(self, addr: Any) -> BoundedHttpProtocol:
        """Return the protocol of a new connection."""
        return BoundedHttpProtocol(self._on_quiescent)


def _bounded_pool(reactor: Any, *, persistent: bool = True) -> Any:
    """Return a pool of connections whose answers are bounded."""
    pool: Any = HTTPConnectionPool(reactor, persistent=persistent)
    pool._factory = _BoundedFactory  # noqa: SLF001 - the only way to another protocol
    return pool


@implementer(IAgentEndpointFactory)
class _FixedEndpoint:
    """Sends every request to one IP address, without name resolution."""

    def __init__(self, reactor: Any, endpoint: Endpoint, timeout: float) -> None:
        self._endpoint = TCP4ClientEndpoint(
            reactor,
            endpoint.address,
            endpoint.port,
            timeout=timeout,
        )

    def endpointForURI(self, uri: Any) -> TCP4ClientEndpoint:
        """Return the endpoint of the target."""
        return self._endpoint


class HttpTarget(LocalEngineClient):
    """A target reached over HTTP on the agent's host.

    Connections are reused for idempotent requests only. If a reused connection
    breaks at once, the request may have run, and a retry could run it a second
    time; a non-idempotent request therefore gets a new connection.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    endpoint : Endpoint
        Endpoint on which the target listens.
    must_echo : bool
        Whether the target must echo the request's id in its answer.
    timeout : float
        Maximum seconds for opening a connection.
    """

    def __init__(
        self,
        reactor: Any,
        endpoint: Endpoint,
        *,
        must_echo: bool,
        timeout: float,
    ) -> None:
        self._reactor = reactor
        self._base = f"http://{endpoint}".encode()
        self._must_echo = must_echo
        self._pool = _bounded_pool(reactor)
        self._pool.retryAutomatically = False
        self._pool.maxPersistentPerHost = MAX_KEPT_CONNECTIONS
        single_use_pool = _bounded_pool(reactor, persistent=False)
        agent_endpoint = _FixedEndpoint(reactor, endpoint, timeout)
        self._persistent_agent = Agent.usingEndpointFactory(
            reactor, agent_endpoint, self._pool
        )
        self._single_use_agent = Agent.usingEndpointFactory(
            reactor, agent_endpoint, single_use_pool
        )

    def close(self) -> Deferred[None]:
        """Close idle connections.

        Returns
        -------
        Deferred[None]
            Fires when they are closed.
        """
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    def start(self, call: wire.Call, receiver: TargetReceiver) -> TargetRun:
        """Send a request to the target; see `LocalTargetClient.start`."""
        request_id = f"{call.router}-{call.number}".encode()
        headers = Headers()
        for item in call.headers:
            headers.addRawHeader(item.name, item.value)
        headers.setRawHeaders(REQUEST_ID_HEADER, [request_id])
        if call.chat:
            headers.setRawHeaders(b"X-Chat", [call.chat.encode()])
        headers.setRawHeaders(b"X-Priority", [str(call.priority).encode()])
        if call.traceparent:
            headers.setRawHeaders(b"traceparent", [call.traceparent.encode()])
        agent = self._persistent_agent if call.idempotent else self._single_use_agent
        run = _HttpRun(receiver, request_id)
        producer = body_producer(call.body or None)
        url = self._base + call.path.encode()
        answer = agent.request(call.method.encode(), url, headers, producer)
        run.follow(answer, must_echo=self._must_echo)
        return run

    @inlineCallbacks
    def export_cache(self, chat: str) -> Generator[Any, Any, bytes]:
        """Export the cache of a chat; see `LocalTargetClient.export_cache`."""
        url = self._base + b"/cache/" + chat.encode()
        response = yield self._persistent_agent.request(b"GET", url)
        body = yield read_body(response, self._reactor)
        return bytes(body) if response.code == OK else b""

    @inlineCallbacks
    def import_cache(self, chat: str, data: bytes) -> Generator[Any, Any, bool]:
        """Import the cache of a chat; see `LocalTargetClient.import_cache`."""
        url = self._base + b"/cache/" + chat.encode()
        producer = body_producer(data)
        response = yield self._persistent_agent.request(b"PUT", url, None, producer)
        yield read_body(response, self._reactor)
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
        response = yield self._persistent_agent.request(b"POST", url, None, producer)
        content = yield read_body(response, self._reactor)
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
        response = yield self._persistent_agent.request(b"GET", self._base + b"/state")
        content = yield read_body(response, self._reactor)
        if response.code != OK:
            raise TargetError(f"state refused with status {response.code}")
        return bytes(content)
