"""Callers' HTTP: connections with limits, and answers that pace their target."""

from __future__ import annotations

import json
from abc import ABC
from abc import abstractmethod
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ServerFactory
from twisted.internet.protocol import connectionDone
from twisted.web.http import RESPONSES
from twisted.web.http import HTTPChannel
from twisted.web.http import Request
from zope.interface import implementer

from primrosescale.clock import cancel_timer
from primrosescale.request.forwarding_interfaces import CallerSink
from primrosescale.request.forwarding_interfaces import Refusal
from primrosescale.version.routing_table import CallerLimits

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from primrosescale.clock import Clock
    from primrosescale.clock import Timer
    from primrosescale.request.forwarded_call import ForwardedCall
    from primrosescale.request.forwarding_interfaces import AnswerHead

# Before the first version is known; those of the users' deployments.
FIRST_LIMITS = CallerLimits(
    header_bytes=16384,
    body_bytes=4194304,
    header_timeout=3.0,
    idle_timeout=15.0,
)
# Callers reuse connections up to four fifths of the idle limit; the rest is
# left for the way there.
CLOSE = b"close"
HEAD_TOO_LARGE = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)


class EntryHandler(ABC):
    """Handles callers' requests."""

    @property
    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    @property
    @abstractmethod
    def sends_callers_away(self) -> bool:
        """Tell whether connections are to end with their next answer."""

    @abstractmethod
    def handle(self, request: EntryRequest) -> None:
        """Answer a request or forward it, now or later.

        Parameters
        ----------
        request : EntryRequest
            The whole request.
        """

    @abstractmethod
    def too_large(self, request: EntryRequest) -> None:
        """Answer a request whose body is too large.

        Parameters
        ----------
        request : EntryRequest
            The request, of which only a part has been read.
        """


class EntryRequest(Request):
    """A caller's request; its body is held in memory up to the limit."""

    def __init__(self, channel: EntryChannel, queued: object = None) -> None:
        super().__init__(channel)
        self._call: ForwardedCall | None = None
        self._is_refused = False
        self.is_gone = False

    def gotLength(self, length: int | None) -> None:
        """Make room for the body.

        Parameters
        ----------
        length : int | None
            Announced bytes; None for a body in chunks.
        """
        self.content: Any = BytesIO()
        channel: Any = self.channel
        if length is not None and length > channel.handler.limits.body_bytes:
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:
        """Take in a part of the body, up to the limit.

        Parameters
        ----------
        data : bytes
            The part.
        """
        if self._is_refused:
            return
        channel: Any = self.channel
        limit = channel.handler.limits.body_bytes
        if self.content.tell() + len(data) > limit:
            self._refuse_body()
            return
        self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Hand the whole request on, without parsing its body.

        Parameters
        ----------
        command : bytes
            HTTP method.
        path : bytes
            Path and query.
        version : bytes
            HTTP version.
        """
        if self._is_refused:
            return
        self.method = command
        self.uri = path
        self.clientproto = version
        self.process()

    def process(self) -> None:
        """Handle the request."""
        channel: Any = self.channel
        channel.head_read()
        channel.handler.handle(self)

    def answered_by(self, call: ForwardedCall) -> None:
        """Take in the call that will answer.

        Parameters
        ----------
        call : ForwardedCall
            The call; it is told when the caller leaves.
        """
        self._call = call

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell the call that its caller has left.

        Parameters
        ----------
        reason : Failure
            What the transport says.
        """
        self.is_gone = True
        super().connectionLost(reason)
        if self._call is not None:
            self._call.caller_gone()

    def _refuse_body(self) -> None:
        self._is_refused = True
        # Twisted learns the version only with the last byte of the body.
        self.clientproto = b"HTTP/1.1"
        channel: Any = self.channel
        channel.handler.too_large(self)
        channel.loseConnection()


@implementer(IPushProducer)
class _Pacer:
    """Lets a slow caller pace the target."""

    def __init__(self, call: ForwardedCall) -> None:
        self._call = call

    def pauseProducing(self) -> None:
        """Take no more bytes from the target."""
        self._call.pause()

    def resumeProducing(self) -> None:
        """Take bytes from the target again."""
        self._call.resume()

    def stopProducing(self) -> None:
        """End the call."""
        self._call.caller_gone()


class CallerConnection(CallerSink):
    """The answer to one request.

    Parameters
    ----------
    request : EntryRequest
        The request.
    handler : EntryHandler
        Says whether the connection is to be kept.
    refusal_headers : Any
        Returns the headers of an answer of the router's own.
    """

    def __init__(
        self,
        request: EntryRequest,
        handler: EntryHandler,
        refusal_headers: Any,
    ) -> None:
        self._request = request
        self._handler = handler
        self._refusal_headers = refusal_headers
        self._has_producer = False

    def paced_by(self, call: ForwardedCall) -> None:
        """Let the caller pace a call.

        Parameters
        ----------
        call : ForwardedCall
            The call.
        """
        if not self._request.is_gone and not call.is_over:
            self._request.registerProducer(_Pacer(call), streaming=True)
            self._has_producer = True

    def begin(self, head: AnswerHead) -> None:
        """Send a head; see `CallerSink.begin`."""
        if self._request.is_gone:
            return
        request = self._request
        request.setResponseCode(head.status, RESPONSES.get(head.status, b"Unknown"))
        for name, value in head.headers:
            request.responseHeaders.addRawHeader(name, value)
        if head.length is not None:
            length = b"%d" % head.length
            request.responseHeaders.setRawHeaders(b"Content-Length", [length])
        self._close_if_unwanted()
        request.write(b"")

    def write(self, data: bytes) -> None:
        """Send bytes; see `CallerSink.write`."""
        if not self._request.is_gone:
            self._request.write(data)

    def finish(self) -> None:
        """End the answer; see `CallerSink.finish`."""
        if self._request.is_gone:
            return
        self._release()
        self._request.finish()

    def abort(self) -> None:
        """End the answer unfinished; see `CallerSink.abort`."""
        if self._request.is_gone:
            return
        self._release()
        channel: Any = self._request.channel
        if getattr(self._request, "chunked", False):
            # The last chunk is missing, and what was written still arrives.
            channel.loseConnection()
        else:
            channel.transport.abortConnection()

    def refuse(self, refusal: Refusal, retry_after: float | None) -> None:
        """Send an answer of the router's own; see `CallerSink.refuse`."""
        request = self._request
        if request.is_gone:
            return
        self._release()
        request.setResponseCode(refusal.status, RESPONSES.get(refusal.status, b""))
        for name, value in self._refusal_headers(refusal, retry_after):
            request.responseHeaders.setRawHeaders(name, [value])
        body = json.dumps(
            {
                "type": f"urn:primrosescale:{refusal.name.lower().replace('_', '-')}",
                "status": refusal.status,
                "detail": refusal.detail,
            },
        ).encode()
        request.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
        self._close_if_unwanted()
        request.write(body)
        request.finish()

    def _release(self) -> None:
        if self._has_producer:
            self._has_producer = False
            self._request.unregisterProducer()

    def _close_if_unwanted(self) -> None:
        if self._handler.sends_callers_away:
            self._request.responseHeaders.setRawHeaders(b"Connection", [CLOSE])
            channel: Any = self._request.channel
            channel.persistent = False


class EntryChannel(HTTPChannel):
    """A caller's connection with the limits of the configuration.

    Parameters
    ----------
    handler : EntryHandler
        Handles requests.
    clock : Clock
        Source of time and timers.
    """

    requestFactory: Any = EntryRequest

    def __init__(self, handler: EntryHandler, clock: Clock) -> None:
        super().__init__()
        self.handler = handler
        self._clock = clock
        self._head_timer: Timer | None = None
        self._idle_limit = handler.limits.idle_timeout
        first: Any = self._idle_limit
        self.timeOut = first
        self.totalHeadersSize = handler.limits.header_bytes
        self.factory: Any = None

    @property
    def is_idle(self) -> bool:
        """Tell whether no request is being read or answered."""
        return not self.requests

    def dataReceived(self, data: bytes) -> None:
        """Take in bytes, and expect the head to end in time.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        if not self.requests and self._head_timer is None:
            limit = self.handler.limits.header_timeout
            self._head_timer = self._clock.callLater(limit, self._head_late)
        super().dataReceived(data)

    def head_read(self) -> None:
        """Take in that a whole request has come."""
        cancel_timer(self._head_timer)
        self._head_timer = None

    def requestDone(self, request: Any) -> None:
        """Wait for the next request, as long as the configuration allows.

        Parameters
        ----------
        request : Any
            The request that is answered.
        """
        # A limit that was lowered meanwhile is not applied to this wait: the
        # caller may still reckon with the higher one.
        limit = self.handler.limits.idle_timeout
        saved: Any = max(self._idle_limit, limit)
        self._savedTimeOut = saved
        self._idle_limit = limit
        super().requestDone(request)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Forget the connection.

        Parameters
        ----------
        reason : Failure
            What the transport says.
        """
        self.head_read()
        super().connectionLost(reason)
        if self.factory is not None:
            self.factory.forget(self)

    def lineLengthExceeded(self, line: bytes) -> None:
        """Answer a head with a line that is too long, and close.

        Parameters
        ----------
        line : bytes
            What has come of it.
        """
        transport: Any = self.transport
        transport.write(HEAD_TOO_LARGE)
        transport.loseConnection()

    def allHeadersReceived(self) -> None:
        """Take in that the head has come; the body may take longer."""
        self.head_read()
        super().allHeadersReceived()

    def _head_late(self) -> None:
        self._head_timer = None
        if not self._handlingRequest:
            transport: Any = self.transport
            transport.loseConnection()


class EntryFactory(ServerFactory):
    """Makes callers' connections and knows the open ones.

    Parameters
    ----------
    handler : EntryHandler
        Handles requests.
    clock : Clock
        Source of time and timers.
    """

    noisy = False

    def __init__(self, handler: EntryHandler, clock: Clock) -> None:
        self._handler = handler
        self._clock = clock
        self._channels: set[EntryChannel] = set()

    @property
    def open_channels(self) -> int:
        """Return how many connections are open."""
        return len(self._channels)

    def buildProtocol(self, addr: Any) -> EntryChannel:
        """Return the protocol of a new connection.

        Parameters
        ----------
        addr : Any
            Where it comes from.

        Returns
        -------
        EntryChannel
            The protocol.
        """
        channel = EntryChannel(self._handler, self._clock)
        channel.factory = self
        self._channels.add(channel)
        return channel

    def forget(self, channel: EntryChannel) -> None:
        """Take in that a connection has ended.

        Parameters
        ----------
        channel : EntryChannel
            The connection.
        """
        self._channels.discard(channel)

    def log(self, request: Any) -> None:
        """Write no access log: the router logs each request itself.

        Parameters
        ----------
        request : Any
            The request.
        """

    def close_idle(self) -> None:
        """Close the connections on which nothing is being asked."""
        for channel in list(self._channels):
            if channel.is_idle:
                channel.loseConnection()
