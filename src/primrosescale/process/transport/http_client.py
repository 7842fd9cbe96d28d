"""HTTP client with adaptive time-outs, for the platform's service and engines."""

from __future__ import annotations

import socket
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
from primrosescale.process.transport.read_pacing import DEFAULT_MAX_PACED_SECONDS
from primrosescale.process.transport.read_pacing import PORTION_BYTES
from primrosescale.process.transport.read_pacing import AnswerPacing
from primrosescale.process.transport.read_pacing import LinkPacing

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
# Limit for the body of an answer; a page of a list, or the largest object, has 1 MB.
MAX_ANSWER_BYTES = 16 * 1024 * 1024
# Receive buffer of a paced connection, in bytes. In a larger one the kernel would
# receive most of an answer at the full rate of the link during the first pause.
PACED_BUFFER_BYTES = 2 * PORTION_BYTES


class Reply:
    """An answer of the service.

    Parameters
    ----------
    status : int
        HTTP status.
    etag : str
        The ETag header; empty if there is none.
    body : bytes
        Body of the answer.
    read_seconds : float
        Seconds that reading the body took; 0 for a small one.
    """

    __slots__ = ("body", "etag", "read_seconds", "status")

    def __init__(
        self, status: int, etag: str, body: bytes, read_seconds: float = 0.0
    ) -> None:
        self.status = status
        self.etag = etag
        self.body = body
        self.read_seconds = read_seconds


class _BodyCollector(Protocol):
    """Collects the body of an answer; fails when no bytes arrive for some time.

    There is no limit for the complete body here: a large answer takes longer over a
    slow link than a small one, and aborting it midway and retrying would fill the
    link with incomplete answers. Large answers are read with pauses, in which no
    bytes are expected.

    Parameters
    ----------
    clock : Any
        Source of timers.
    stall_timeout : float
        Seconds without a byte after which collecting fails.
    connection : Any
        Transport of the connection. That of the answer no longer reaches it once the
        body is complete.
    length : Any
        Length of the body in bytes, if known.
    pacing : AnswerPacing
        Decides about pauses.
    """

    def __init__(
        self,
        clock: Any,
        stall_timeout: float,
        connection: Any,
        length: Any,
        pacing: AnswerPacing,
    ) -> None:
        self._clock = clock
        self._chunks: list[bytes] = []
        self._received = 0
        self._missing = length if isinstance(length, int) else None
        self._connection = connection
        self._pacing = pacing
        self._stall_timeout = stall_timeout
        self._stall_timer = clock.callLater(stall_timeout, self._stalled)
        self._pause_timer: Any = None
        self.collected: Deferred[bytes] = Deferred(self._cancel)

    @property
    def is_large(self) -> bool:
        """Return whether a large answer is being received."""
        return self._pacing.is_large

    def dataReceived(self, data: bytes) -> None:
        """Store bytes, restart the stall timer and pause if it is time to."""
        self._received += len(data)
        if self.collected.called:
            return
        if self._received > MAX_ANSWER_BYTES:
            self._chunks.clear()
            detail = f"answer of more than {MAX_ANSWER_BYTES} bytes"
            self.collected.errback(PlatformUnavailableError(detail))
            return
        self._chunks.append(data)
        if self._stall_timer.active():
            self._stall_timer.reset(self._stall_timeout)
        if self._missing is not None:
            self._missing -= len(data)
        pause = self._pacing.pause_after(len(data), self._clock.seconds())
        if pause and self._missing != 0 and not self.collected.called:
            self._pause(pause)

    def _pause(self, seconds: float) -> None:
        """Stop reading from the connection for some time."""
        cancel_timer(self._pause_timer)
        cancel_timer(self._stall_timer)
        self._connection.pauseProducing()
        self._pause_timer = self._clock.callLater(seconds, self._resume)

    def _resume(self) -> None:
        self._pause_timer = None
        self._stall_timer = self._clock.callLater(self._stall_timeout, self._stalled)
        self._connection.resumeProducing()

    def _cancel(self, _: Any) -> None:
        cancel_timer(self._pause_timer)
        cancel_timer(self._stall_timer)

    def _stalled(self) -> None:
        if not self.collected.called:
            detail = f"no byte for {self._stall_timeout:.1f} s inside the answer"
            self.collected.errback(TimeoutError(detail))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Deliver the complete body, or fail if it was truncated."""
        cancel_timer(self._stall_timer)
        if self._pause_timer is not None and self._pause_timer.active():
            # The connection is used again, or has to learn that it is closed.
            self._pause_timer.cancel()
            self._connection.resumeProducing()
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
        self._pacing = LinkPacing()
        self._collectors: set[_BodyCollector] = set()

    @property
    def is_receiving(self) -> bool:
        """Return whether a large answer is being received."""
        return any(collector.is_large for collector in self._collectors)

    @property
    def calls(self) -> int:
        """Return the number of calls made."""
        return self._calls

    def pace_reads(
        self,
        link_rate: float | None,
        max_seconds: float = DEFAULT_MAX_PACED_SECONDS,
    ) -> None:
        """Read large answers with pauses.

        Parameters
        ----------
        link_rate : float | None
            Rate of the link in bytes a second; None to read without pauses.
        max_seconds : float
            Seconds after which the rest of an answer is read without pauses.
        """
        self._pacing.configure(link_rate, max_seconds)

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
            pacing = AnswerPacing(self._pacing, self._reactor.seconds())
            content = yield self._collect(response, channel, pacing)
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
        etag = response.headers.getRawHeaders(b"ETag", [b""])[0].decode("latin-1")
        read_seconds = pacing.read_seconds(self._reactor.seconds())
        return Reply(response.code, etag, content, read_seconds)

    @inlineCallbacks
    def _collect(
        self, response: Any, channel: TargetChannel, pacing: AnswerPacing
    ) -> Generator[Any, Any, bytes]:
        """Return the body of an answer."""
        collector = _BodyCollector(
            self._reactor,
            self._current_timeout,
            channel.transport,
            response.length,
            pacing,
        )
        self._collectors.add(collector)
        try:
            response.deliverBody(collector)
            collector.collected.addTimeout(MAX_ANSWER_SECONDS, self._reactor)
            content: bytes = yield collector.collected
        finally:
            self._collectors.discard(collector)
        return content

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
        if self._pacing.is_active:
            _limit_buffers(opened.transport)
        return opened


def _limit_buffers(transport: Any) -> None:
    """Limit what is received of an answer at once, and during a pause."""
    transport.bufferSize = PORTION_BYTES
    transport.getHandle().setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, PACED_BUFFER_BYTES
    )
