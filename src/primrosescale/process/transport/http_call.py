"""Calls to the platform's service over HTTP, each with a timeout."""

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
from primrosescale.connection.rest_limit import IdleLimit
from primrosescale.connection.target_channel import ChannelPool
from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.http_bodies import body_producer

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.python.failure import Failure

    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.connection.target_channel import TargetChannel


# A service that is slow for a while is waited for longer from one failed call
# to the next, up to four times its usual timeout, so that it is not taken for
# silent; each answer shortens the wait again.
GROWTH = 2.0
MOST_PATIENCE = 4.0
# Seconds after which an answer is given up though bytes keep coming: an object
# of 1 MB takes 0.8 s over the thinnest link of today.
LONGEST_ANSWER = 8.0


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


class _WholeAnswer(Protocol):
    """Collects the body of an answer, as long as bytes keep coming.

    A large answer takes longer than a small one over a thin link; giving it up
    midway and asking again would fill the link with halves.

    Parameters
    ----------
    clock : Any
        Source of timers.
    patience : float
        Seconds without a byte after which it is given up.
    """

    def __init__(self, clock: Any, patience: float) -> None:
        self._chunks: list[bytes] = []
        self._patience = patience
        self._stall = clock.callLater(patience, self._stalled)
        self.collected: Deferred[bytes] = Deferred()

    def dataReceived(self, data: bytes) -> None:
        """Take in bytes."""
        self._chunks.append(data)
        if self._stall.active():
            self._stall.reset(self._patience)

    def _stalled(self) -> None:
        if not self.collected.called:
            detail = f"no byte for {self._patience:.1f} s inside the answer"
            self.collected.errback(TimeoutError(detail))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the whole body, or that it was cut."""
        cancel_timer(self._stall)
        if self.collected.called:
            return
        if reason.check(ResponseDone):
            self.collected.callback(b"".join(self._chunks))
        else:
            self.collected.errback(reason)


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
        self._host = str(endpoint).encode()
        self._timeout = timeout
        self._patience = timeout
        self._pool = ChannelPool(reactor, endpoint, timeout, IdleLimit())
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
        channel = yield self._connect()
        try:
            given = headers.copy() if headers is not None else Headers()
            given.setRawHeaders(b"Host", [self._host])
            asked = channel.begin(
                Request._construct(  # noqa: SLF001 - the only way past a second pool
                    method.encode(),
                    path.encode(),
                    given,
                    body_producer(body),
                    persistent=True,
                ),
            )
            asked.addTimeout(self._patience + extra, self._reactor)
            response = yield asked
            answer = _WholeAnswer(self._reactor, self._patience)
            response.deliverBody(answer)
            answer.collected.addTimeout(LONGEST_ANSWER, self._reactor)
            content = yield answer.collected
        except (Exception, CancelledError) as error:
            self._patience = min(self._patience * GROWTH, MOST_PATIENCE * self._timeout)
            channel.abort_now()
            detail = failure_text(error)
            if body is None:
                raise PlatformUnavailableError(detail) from error
            raise PlatformAnswerLostError(detail) from error
        self._patience = max(self._timeout, self._patience / GROWTH)
        self._pool.give_back(channel, self._reactor.seconds())
        tag = response.headers.getRawHeaders("ETag", ['"0"'])[0]
        return Reply(response.code, int(tag.strip('"')), content)

    @inlineCallbacks
    def _connect(self) -> Generator[Any, Any, TargetChannel]:
        """Return a connection on which nothing is being asked."""
        idle = self._pool.idle(self._reactor.seconds())
        if idle is not None:
            return idle
        try:
            opened: TargetChannel = yield self._pool.open()
        except (Exception, CancelledError) as error:
            raise PlatformUnavailableError(failure_text(error)) from error
        return opened
