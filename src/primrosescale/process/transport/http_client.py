"""HTTP client with adaptive time-outs, for the platform's service and engines."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.defer import succeed
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web._newclient import Request
from twisted.web._newclient import ResponseDone
from twisted.web.http_headers import Headers

from primrosescale.clock import cancel_timer
from primrosescale.connection.failure_text import failure_text
from primrosescale.connection.idle_limit import IdleLimit
from primrosescale.connection.target_channel import ChannelPool
from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.http_bodies import body_producer

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.python.failure import Failure

    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.connection.target_channel import TargetChannel


# After each failed call the time-out grows, up to four times its configured value,
# so that a service that is slow for a while is not treated as unreachable. Each
# complete answer shortens it again.
TIMEOUT_GROWTH = 2.0
MAX_TIMEOUT_FACTOR = 4.0
# Limit for receiving the body of an answer, even if bytes keep arriving. An object
# of 1 MB takes 0.8 s over the slowest known link.
MAX_ANSWER_SECONDS = 8.0


class Reply:
    """An answer of the service.

    Parameters
    ----------
    status : int
        HTTP status.
    etag : int
        Version given in the ETag header; 0 if there is none.
    body : bytes
        Body of the answer.
    """

    __slots__ = ("body", "etag", "status")

    def __init__(self, status: int, etag: int, body: bytes) -> None:
        self.status = status
        self.etag = etag
        self.body = body


class _BodyCollector(Protocol):
    """Collects the body of an answer; fails when no bytes arrive for some time.

    There is no limit for the complete body here: a large answer takes longer over a
    slow link than a small one, and aborting it midway and retrying would fill the
    link with incomplete answers.

    Parameters
    ----------
    clock : Any
        Source of timers.
    stall_timeout : float
        Seconds without a byte after which collecting fails.
    """

    def __init__(self, clock: Any, stall_timeout: float) -> None:
        self._chunks: list[bytes] = []
        self._stall_timeout = stall_timeout
        self._stall_timer = clock.callLater(stall_timeout, self._stalled)
        self.collected: Deferred[bytes] = Deferred()

    def dataReceived(self, data: bytes) -> None:
        """Store bytes and restart the stall timer."""
        self._chunks.append(data)
        if self._stall_timer.active():
            self._stall_timer.reset(self._stall_timeout)

    def _stalled(self) -> None:
        if not self.collected.called:
            detail = f"no byte for {self._stall_timeout:.1f} s inside the answer"
            self.collected.errback(TimeoutError(detail))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Deliver the complete body, or fail if it was truncated."""
        cancel_timer(self._stall_timer)
        if self.collected.called:
            return
        if reason.check(ResponseDone):
            self.collected.callback(b"".join(self._chunks))
        else:
            self.collected.errback(reason)


class HttpClient:
    """Makes HTTP calls; reports failed writes apart, as they may have taken effect.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    endpoint : Endpoint
        Endpoint of the service.
    timeout : float
        Seconds to wait for an answer; longer after calls that failed.
    """

    def __init__(self, reactor: Any, endpoint: Endpoint, timeout: float) -> None:
        self._reactor = reactor
        self._host = str(endpoint).encode()
        self._timeout = timeout
        self._current_timeout = timeout
        self._pool = ChannelPool(reactor, endpoint, timeout, IdleLimit())
        self._calls = 0

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._calls

    def close(self) -> Deferred[None]:
        """Close idle connections.

        Returns
        -------
        Deferred[None]
            Fires when they are closed.
        """
        self._pool.close()
        return succeed(None)

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
            Request body; None for a call that only reads.
        headers : Headers | None
            Headers of the call.
        extra : float
            Additional seconds that the service may wait before it answers.

        Returns
        -------
        Deferred[Reply]
            Fires with the answer; fails with `PlatformUnavailableError`, or
            with `PlatformAnswerLostError` for a write that may have taken effect.
        """
        self._calls += 1
        channel = yield self._connect()
        try:
            call_headers = headers.copy() if headers is not None else Headers()
            call_headers.setRawHeaders(b"Host", [self._host])
            response_received = channel.begin(
                Request._construct(  # noqa: SLF001 - avoids a second pool
                    method.encode(),
                    path.encode(),
                    call_headers,
                    body_producer(body),
                    persistent=True,
                ),
            )
            response_received.addTimeout(self._current_timeout + extra, self._reactor)
            response = yield response_received
            collector = _BodyCollector(self._reactor, self._current_timeout)
            response.deliverBody(collector)
            collector.collected.addTimeout(MAX_ANSWER_SECONDS, self._reactor)
            content = yield collector.collected
        except (Exception, CancelledError) as error:
            self._current_timeout = min(
                self._current_timeout * TIMEOUT_GROWTH,
                MAX_TIMEOUT_FACTOR * self._timeout,
            )
            channel.abort_now()
            detail = failure_text(error)
            if body is None:
                raise PlatformUnavailableError(detail) from error
            raise PlatformAnswerLostError(detail) from error
        self._current_timeout = max(
            self._timeout, self._current_timeout / TIMEOUT_GROWTH
        )
        self._pool.release(channel, self._reactor.seconds())
        tag = response.headers.getRawHeaders("ETag", ['"0"'])[0]
        return Reply(response.code, int(tag.strip('"')), content)

    @inlineCallbacks
    def _connect(self) -> Generator[Any, Any, TargetChannel]:
        """Return an idle connection, or open a new one."""
        idle = self._pool.idle(self._reactor.seconds())
        if idle is not None:
            return idle
        try:
            opened: TargetChannel = yield self._pool.open()
        except (Exception, CancelledError) as error:
            raise PlatformUnavailableError(failure_text(error)) from error
        return opened
