"""HTTP server requests with a limited body size that are kept in memory only."""

from __future__ import annotations

from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

from twisted.web.server import Request

from primrosescale.process.transport.problems import CONTENT_TYPE
from primrosescale.process.transport.problems import TOO_LARGE
from primrosescale.process.transport.problems import ProblemDocument

if TYPE_CHECKING:
    from collections.abc import Callable

REASON_PHRASES = {401: "Unauthorized", 413: "Content Too Large"}


def _accept_any_body(_: Any) -> ProblemDocument | None:
    """Accept every body."""
    return None


class BoundedRequest(Request):
    """A request that is refused before its body is read if the body is not allowed."""

    body_limit = 0
    refuse_body: Callable[[Any], ProblemDocument | None] = staticmethod(
        _accept_any_body
    )

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that is too large or that `refuse_body` rejects.

        Parameters
        ----------
        length : int | None
            Announced length in bytes; None for a chunked body.
        """
        self.content: Any = BytesIO()
        self._is_refused = False
        document: ProblemDocument | None = None
        if length is not None and length > self.body_limit:
            document = _too_large(self.body_limit)
        elif length != 0:
            document = type(self).refuse_body(self)
        if document is not None:
            self._reject_early(document)

    def handleContentChunk(self, data: bytes) -> None:
        """Store a part of the body, up to the limit.

        Parameters
        ----------
        data : bytes
            The part.
        """
        if self._is_refused:
            return
        if self.content.tell() + len(data) > self.body_limit:
            self._reject_early(_too_large(self.body_limit))
            return
        self.content.write(data)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process a complete request unless its body was refused.

        Parameters
        ----------
        command : bytes
            HTTP method.
        path : bytes
            Path and query.
        version : bytes
            HTTP version.
        """
        if not self._is_refused:
            super().requestReceived(command, path, version)  # type: ignore[no-untyped-call]

    def _reject_early(self, document: ProblemDocument) -> None:
        """Answer before the body is received, and close the connection."""
        self._is_refused = True
        body = document.encode()
        status = document.problem.status
        head = (
            f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Refused')}\r\n"
            f"Content-Type: {CONTENT_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        channel: Any = self.channel
        channel.transport.write(head.encode() + body)
        channel.loseConnection()


def _too_large(limit: int) -> ProblemDocument:
    return ProblemDocument(TOO_LARGE, f"at most {limit} bytes")
