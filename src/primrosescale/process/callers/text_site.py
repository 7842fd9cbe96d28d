"""Minimal HTTP servers that answer every request with one generated text.

Used for the readiness check and the metrics.
"""

from __future__ import annotations

from dataclasses import dataclass
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.web.http import RESPONSES
from twisted.web.http import Request

from primrosescale.process.callers.bounded_body import BoundedBody
from primrosescale.process.callers.caller_port import CallerPort
from primrosescale.process.callers.guarded_channel import GuardedChannel

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.http import HTTPChannel

    from primrosescale.process.callers.caller_guard import CallerGuard

# Clients poll every second or every few seconds; a connection that has been idle
# for longer has been abandoned by its client.
IDLE_TIMEOUT_SECONDS: int = 30
# Its clients send no bodies.
MAX_BODY_BYTES = 16 * 1024
# Far above the few clients that poll.
MAX_CONNECTIONS = 128


@dataclass(frozen=True, slots=True)
class TextResponse:
    """A response.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : bytes
        Value of the Content-Type header.
    content : bytes
        The body.
    """

    status: int
    content_type: bytes
    content: bytes


TOO_LARGE = TextResponse(413, b"text/plain", b"the body is too large\n")


class KeptText:
    """Generates a response that costs much at most once in an interval.

    Parameters
    ----------
    generate : Callable[[], TextResponse]
        Generates the response.
    seconds : float
        Time for which it is used.
    """

    __slots__ = ("_generate", "_generated_at", "_response", "_seconds")

    def __init__(self, generate: Callable[[], TextResponse], seconds: float) -> None:
        self._generate = generate
        self._seconds = seconds
        self._response: TextResponse | None = None
        self._generated_at = 0.0

    def get(self, now: float) -> TextResponse:
        """Return the response.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        TextResponse
            The response; a new one if the last is too old.
        """
        if self._response is None or now - self._generated_at >= self._seconds:
            self._response = self._generate()
            self._generated_at = now
        return self._response


class _TextRequest(BoundedBody, Request):
    """A request that is answered whatever its method and path; its body is ignored."""

    def __init__(self, channel: _TextChannel, queued: object = None) -> None:
        super().__init__(channel)

    @property
    def body_limit(self) -> int:
        """Return the bytes of a body after which the answer is sent."""
        return MAX_BODY_BYTES

    def handleContentChunk(self, data: bytes) -> None:
        """Count a part of the body, and discard it.

        Parameters
        ----------
        data : bytes
            Bytes of the body.
        """
        super().handleContentChunk(data)
        self.content = BytesIO()

    def refusal_by_head(self) -> None:
        """Accept every head; see `BoundedBody.refusal_by_head`."""

    def answer_too_large(self) -> None:
        """Refuse the request; see `BoundedBody.answer_too_large`."""
        self._answer(TOO_LARGE)

    def answer_no_memory(self) -> None:
        """Answer without the body; see `BoundedBody.answer_no_memory`."""
        self.process()

    def process(self) -> None:
        """Send the generated response."""
        self._answer(self.channel.answer())

    def _answer(self, text: TextResponse) -> None:
        self.setResponseCode(text.status, RESPONSES.get(text.status, b""))
        length = b"%d" % len(text.content)
        self.responseHeaders.setRawHeaders(b"Content-Type", [text.content_type])
        self.responseHeaders.setRawHeaders(b"Content-Length", [length])
        if self.is_refused:
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        self.write(text.content)
        self.finish()


class _TextChannel(GuardedChannel):
    """A connection from a client of the server."""

    requestFactory: Any = _TextRequest
    timeOut = IDLE_TIMEOUT_SECONDS

    def __init__(
        self,
        answer: Callable[[], TextResponse],
        guard: CallerGuard,
        caller_port: CallerPort,
    ) -> None:
        super().__init__(guard, caller_port)
        self.answer = answer


class TextSite(ServerFactory):
    """Factory of connections on which every request gets the generated text.

    Parameters
    ----------
    answer : Callable[[], TextResponse]
        Generates the response to a request.
    guard : CallerGuard
        Limits over all connections of the process.
    """

    noisy = False

    def __init__(self, answer: Callable[[], TextResponse], guard: CallerGuard) -> None:
        self._answer = answer
        self._guard = guard
        self._caller_port = CallerPort(guard.clock, MAX_CONNECTIONS)

    @property
    def caller_port(self) -> CallerPort:
        """Return the port, with its connections."""
        return self._caller_port

    def stopFactory(self) -> None:
        """Stop the timer of the port."""
        self._caller_port.close()

    def buildProtocol(self, addr: Any) -> HTTPChannel:
        """Create the protocol of a new connection.

        Parameters
        ----------
        addr : Any
            Address of the client.

        Returns
        -------
        HTTPChannel
            The protocol.
        """
        return _TextChannel(self._answer, self._guard, self._caller_port)
