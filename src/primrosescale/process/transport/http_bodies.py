"""Bodies of HTTP requests that this process sends or receives."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web.client import ResponseDone
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from primrosescale.process.exceptions import TargetError

if TYPE_CHECKING:
    from twisted.python.failure import Failure
    from twisted.web.server import Request

# Limits for a body that is read whole; the cache of a chat is the largest.
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_BODY_SECONDS = 8.0


@implementer(IBodyProducer)
class InMemoryBody:
    """A request body that is held in memory, and written at once and only once.

    Parameters
    ----------
    body : bytes
        The body.
    """

    def __init__(self, body: bytes) -> None:
        self._body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:
        """Write the body.

        Parameters
        ----------
        consumer : Any
            Receives the bytes.

        Returns
        -------
        Deferred[None]
            Has already fired.
        """
        body, self._body = self._body, b""
        consumer.write(body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body has already been written."""

    def resumeProducing(self) -> None:
        """Do nothing: the body has already been written."""

    def stopProducing(self) -> None:
        """Do nothing: the body has already been written."""


def body_producer(body: bytes | None) -> IBodyProducer | None:
    """Return the producer that Twisted uses to send a request body.

    Parameters
    ----------
    body : bytes | None
        The body.

    Returns
    -------
    IBodyProducer | None
        The producer; None for no body.
    """
    if body is None:
        return None
    return cast("IBodyProducer", InMemoryBody(body))


class _BodyReader(Protocol):
    """Collects a body; fails when it is truncated or too large."""

    def __init__(self) -> None:
        self._body = bytearray()
        self.collected: Deferred[bytes] = Deferred(self._cancel)

    def dataReceived(self, data: bytes) -> None:
        """Store bytes; abort the connection when there are too many."""
        if self.collected.called:
            return
        self._body += data
        if len(self._body) > MAX_BODY_BYTES:
            self._body.clear()
            self._abort()
            detail = f"answer of more than {MAX_BODY_BYTES} bytes"
            self.collected.errback(TargetError(detail))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Deliver the complete body, or fail if it was truncated."""
        if self.collected.called:
            return
        if reason.check(ResponseDone):
            self.collected.callback(bytes(self._body))
        else:
            self.collected.errback(reason)

    def _cancel(self, _: Any) -> None:
        self._abort()

    def _abort(self) -> None:
        transport: Any = self.transport
        if transport is not None:
            transport.abortConnection()


def read_body(response: Any, clock: Any) -> Deferred[bytes]:
    """Read the body of an answer.

    Parameters
    ----------
    response : Any
        The answer, as Twisted's client gives it.
    clock : Any
        Source of timers.

    Returns
    -------
    Deferred[bytes]
        The body; fails if it is truncated, too large or takes too long.
    """
    reader = _BodyReader()
    response.deliverBody(reader)
    reader.collected.addTimeout(MAX_BODY_SECONDS, clock)
    return reader.collected


def request_body(request: Request) -> bytes:
    """Return the body of a request that this process serves.

    Parameters
    ----------
    request : Request
        The request.

    Returns
    -------
    bytes
        The body; empty if there is none.
    """
    content: Any = request.content
    if content is None:
        return b""
    # Without a copy, unless Twisted holds the body in a file.
    whole = content.getvalue() if isinstance(content, BytesIO) else content.read()
    return bytes(whole)
