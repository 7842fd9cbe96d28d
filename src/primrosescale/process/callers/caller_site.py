"""HTTP server for callers, with limits on connections, heads and bodies.

A caller that reads its response slowly applies backpressure to the target.
"""

from __future__ import annotations

import json
from abc import ABC
from abc import abstractmethod
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import connectionDone
from twisted.web.http import RESPONSES
from twisted.web.http import Request
from zope.interface import implementer

from primrosescale.clock import cancel_timer
from primrosescale.process.callers.bounded_body import BoundedBody
from primrosescale.process.callers.guarded_channel import SHORTEST_FIELD_BYTES
from primrosescale.process.callers.guarded_channel import GuardedChannel
from primrosescale.request.attempt.forwarding_interfaces import CallerSink
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.version.routing_table import CallerLimits

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from primrosescale.clock import Timer
    from primrosescale.process.callers.caller_guard import CallerGuard
    from primrosescale.process.callers.caller_port import CallerPort
    from primrosescale.request.attempt.forwarded_call import ForwardedCall
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead

# In force until the first configuration is known; the values are those of the
# configurations in use. Callers reuse connections up to four fifths of the idle
# timeout; the remaining fifth covers network delay.
DEFAULT_LIMITS = CallerLimits(
    header_bytes=16384,
    body_bytes=4194304,
    header_timeout=3.0,
    idle_timeout=15.0,
)
CLOSE = b"close"


class EntryHandler(ABC):
    """Handles the requests of callers."""

    @property
    @abstractmethod
    def limits(self) -> CallerLimits:
        """Return the limits on connections and requests that are in force."""

    @property
    @abstractmethod
    def closes_connections(self) -> bool:
        """Return whether connections are to be closed after their next response."""

    @abstractmethod
    def handle(self, request: EntryRequest) -> None:
        """Answer a request or forward it, immediately or later.

        Parameters
        ----------
        request : EntryRequest
            The request, completely received.
        """

    @abstractmethod
    def refusal_by_head(self, request: EntryRequest) -> Refusal | None:
        """Return why a request is refused whatever its body is, if it is.

        Parameters
        ----------
        request : EntryRequest
            The request, of which the head has been received.

        Returns
        -------
        Refusal | None
            The reason; None for a request that needs its body.
        """

    @abstractmethod
    def refuse(self, request: EntryRequest, refusal: Refusal) -> None:
        """Refuse a request.

        Parameters
        ----------
        request : EntryRequest
            The request, which may have been received only partly.
        refusal : Refusal
            The reason.
        """


class EntryRequest(BoundedBody, Request):
    """A caller's request; its body is held in memory up to the limit."""

    def __init__(self, channel: EntryChannel, queued: object = None) -> None:
        super().__init__(channel)
        self._call: ForwardedCall | None = None
        self.is_disconnected = False

    @property
    def body_limit(self) -> int:
        """Return the bytes that the body may have."""
        return int(self.channel.handler.limits.body_bytes)

    def refusal_by_head(self) -> Callable[[], None] | None:
        """Return how to refuse it by its head; see `BoundedBody.refusal_by_head`."""
        refusal = self.channel.handler.refusal_by_head(self)
        return None if refusal is None else partial(self._answer_refused, refusal)

    def answer_too_large(self) -> None:
        """Refuse the request; see `BoundedBody.answer_too_large`."""
        self._answer_refused(Refusal.TOO_LARGE)

    def answer_no_memory(self) -> None:
        """Refuse the request; see `BoundedBody.answer_no_memory`."""
        self._answer_refused(Refusal.ROUTER_FULL)

    def process(self) -> None:
        """Pass the request to the handler."""
        self.channel.handler.handle(self)

    def attach_call(self, call: ForwardedCall) -> None:
        """Set the call that will answer the request.

        Parameters
        ----------
        call : ForwardedCall
            The call; it is notified when the caller disconnects.
        """
        self._call = call

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Notify the call that its caller has disconnected.

        Parameters
        ----------
        reason : Failure
            Reason given by the transport.
        """
        self.is_disconnected = True
        super().connectionLost(reason)
        if self._call is not None:
            self._call.caller_gone()

    def _answer_refused(self, refusal: Refusal) -> None:
        self.channel.handler.refuse(self, refusal)


@implementer(IPushProducer)
class _BackpressureProducer:
    """Passes backpressure from a slow caller on to the target."""

    def __init__(self, call: ForwardedCall) -> None:
        self._call = call

    def pauseProducing(self) -> None:
        """Stop reading from the target."""
        self._call.pause()

    def resumeProducing(self) -> None:
        """Resume reading from the target."""
        self._call.resume()

    def stopProducing(self) -> None:
        """End the call, as its caller has disconnected."""
        self._call.caller_gone()


class CallerResponse(CallerSink):
    """The response to one request of a caller.

    Parameters
    ----------
    request : EntryRequest
        The request.
    handler : EntryHandler
        Decides whether the connection is kept open.
    refusal_headers : Any
        Builds the headers of an error response generated by the router.
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

    def apply_backpressure(self, call: ForwardedCall) -> None:
        """Let a slow caller slow down a call.

        Parameters
        ----------
        call : ForwardedCall
            The call.
        """
        if not self._request.is_disconnected and not call.is_over:
            self._request.registerProducer(_BackpressureProducer(call), streaming=True)
            self._has_producer = True

    def begin(self, head: AnswerHead) -> None:
        """Send the head; see `CallerSink.begin`."""
        if self._request.is_disconnected:
            return
        request = self._request
        request.setResponseCode(head.status, RESPONSES.get(head.status, b"Unknown"))
        for name, value in head.headers:
            request.responseHeaders.addRawHeader(name, value)
        if head.length is not None:
            length = b"%d" % head.length
            request.responseHeaders.setRawHeaders(b"Content-Length", [length])
        self._announce_close()
        request.write(b"")
        channel: Any = request.channel
        channel.body_sent()

    def write(self, data: bytes) -> None:
        """Send bytes of the body; see `CallerSink.write`."""
        if not self._request.is_disconnected:
            self._request.write(data)

    def finish(self) -> None:
        """Complete the response; see `CallerSink.finish`."""
        if self._request.is_disconnected:
            return
        self._unregister_producer()
        self._request.finish()

    def abort(self) -> None:
        """Abort the response; see `CallerSink.abort`."""
        if self._request.is_disconnected:
            return
        self._unregister_producer()
        channel: Any = self._request.channel
        if getattr(self._request, "chunked", False):
            # The missing last chunk marks the response as incomplete, and an orderly
            # close still delivers what was written.
            channel.loseConnection()
        else:
            channel.transport.abortConnection()

    def refuse(self, refusal: Refusal, retry_after: float | None) -> None:
        """Send an error response of the router; see `CallerSink.refuse`."""
        request = self._request
        if request.is_disconnected:
            return
        self._unregister_producer()
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
        self._announce_close()
        request.write(body)
        request.finish()

    def _unregister_producer(self) -> None:
        if self._has_producer:
            self._has_producer = False
            self._request.unregisterProducer()

    def _announce_close(self) -> None:
        if self._handler.closes_connections:
            self._request.responseHeaders.setRawHeaders(b"Connection", [CLOSE])
            channel: Any = self._request.channel
            channel.persistent = False


class EntryChannel(GuardedChannel):
    """A caller's connection, subject to the limits of the configuration.

    Parameters
    ----------
    handler : EntryHandler
        Handles the requests.
    guard : CallerGuard
        Limits over all connections of the process.
    caller_port : CallerPort
        Where it was accepted.
    """

    requestFactory: Any = EntryRequest

    def __init__(
        self, handler: EntryHandler, guard: CallerGuard, caller_port: CallerPort
    ) -> None:
        super().__init__(guard, caller_port)
        self.handler = handler
        self._head_timer: Timer | None = None
        self._had_request = False
        self._idle_limit = handler.limits.idle_timeout
        first: Any = self._idle_limit
        self.timeOut = first
        # A line, and the number of fields, are bounded by the size of the head only.
        self.totalHeadersSize = self.MAX_LENGTH = handler.limits.header_bytes
        self.maxHeaders = self.totalHeadersSize // SHORTEST_FIELD_BYTES
        self.factory: Any = None

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being received or answered."""
        return not (self.requests or self._head_timer or self.is_waiting)

    def dataReceived(self, data: bytes) -> None:
        """Parse received bytes, and start the timeout for the request head.

        Parameters
        ----------
        data : bytes
            Received bytes.
        """
        is_head = not self.requests and not self.is_discarding
        if is_head and self._head_timer is None:
            limit = self.handler.limits.header_timeout
            self._head_timer = self.guard.clock.callLater(limit, self._on_head_timeout)
        super().dataReceived(data)

    def request_came(self) -> None:
        """Count a request that was read, and cancel the timeout for its head."""
        self.cancel_head_timer()
        if self.factory is not None:
            self.factory.request_came(is_first=not self._had_request)
        self._had_request = True

    def refuse_early(self, answer: Callable[[], None]) -> None:
        """Count a request that is refused by its head; see `GuardedChannel`."""
        self.request_came()
        super().refuse_early(answer)

    def cancel_head_timer(self) -> None:
        """Cancel the timeout for the request head."""
        cancel_timer(self._head_timer)
        self._head_timer = None

    def requestDone(self, request: Any) -> None:
        """Wait for the next request until the idle timeout.

        Parameters
        ----------
        request : Any
            The request that has been answered.
        """
        # A timeout that was lowered meanwhile does not apply to this wait, because
        # the caller may still rely on the higher one.
        limit = self.handler.limits.idle_timeout
        saved: Any = max(self._idle_limit, limit)
        self._savedTimeOut = saved
        self._idle_limit = limit
        super().requestDone(request)
        if self.factory is not None:
            self.factory.request_done()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remove the connection from the factory.

        Parameters
        ----------
        reason : Failure
            Reason given by the transport.
        """
        self.cancel_head_timer()
        super().connectionLost(reason)
        if self.factory is not None:
            self.factory.forget(self)

    def allHeadersReceived(self) -> None:
        """Stop the head timeout; the body may take longer."""
        self.cancel_head_timer()
        super().allHeadersReceived()

    def allContentReceived(self) -> None:
        """Count the request, unless it was refused by its head."""
        if not self.is_discarding:
            self.request_came()
        super().allContentReceived()

    def _on_head_timeout(self) -> None:
        self._head_timer = None
        if not self._handlingRequest:
            self.loseConnection()
