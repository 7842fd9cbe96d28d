"""A request whose body is bounded, and refused before it is received if it can be."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from io import BytesIO
from typing import TYPE_CHECKING
from typing import Any

from twisted.web.http_headers import Headers

if TYPE_CHECKING:
    from collections.abc import Callable


class BoundedBody(ABC):
    """Receives the body of a request into memory; a mixin for Twisted's requests.

    The channel is a `GuardedChannel`.
    """

    channel: Any
    content: Any
    method: bytes
    uri: bytes
    clientproto: bytes
    process: Any

    def __init__(self, *arguments: Any, **keywords: Any) -> None:
        super().__init__(*arguments, **keywords)
        self._body_bytes = 0
        self._has_head = False
        self._is_long = False
        self._is_refused = False

    @property
    @abstractmethod
    def body_limit(self) -> int:
        """Return the bytes that the body may have."""

    @property
    def body_bytes(self) -> int:
        """Return the bytes of the body that are held."""
        return self._body_bytes

    @property
    def has_head(self) -> bool:
        """Return whether the head has been received."""
        return self._has_head

    @property
    def is_long(self) -> bool:
        """Return whether the body needs room of its own."""
        return self._is_long

    @property
    def is_refused(self) -> bool:
        """Return whether it was answered before its body had been received."""
        return self._is_refused

    @abstractmethod
    def refusal_by_head(self) -> Callable[[], None] | None:
        """Return how to refuse the request if its head is enough to do so.

        Returns
        -------
        Callable[[], None] | None
            Sends the complete answer; None for a request that needs its body.
        """

    @abstractmethod
    def answer_too_large(self) -> None:
        """Answer that the body is too large."""

    @abstractmethod
    def answer_no_memory(self) -> None:
        """Answer that there is no room for the body now; the request has not run."""

    def gotLength(self, length: int | None) -> None:
        """Prepare for the body, or refuse one that is announced as too large.

        Parameters
        ----------
        length : int | None
            Announced length in bytes; None for a chunked body.
        """
        self._has_head = True
        self.content = BytesIO()
        if length is None:
            return
        if length > self.body_limit:
            self.refuse(self.answer_too_large)
        elif length and not self.channel.accepts_body(length):
            self._enter_long(length)

    def handleContentChunk(self, data: bytes) -> None:
        """Store a part of the body.

        Parameters
        ----------
        data : bytes
            Bytes of the body.
        """
        if self._is_refused:
            return
        size = self._body_bytes + len(data)
        if size > self.body_limit:
            self.refuse(self.answer_too_large)
            return
        self._body_bytes = size
        self.content.write(data)
        if not self._is_long and size > self.channel.guard.settings.long_body:
            self._enter_long(self.body_limit)

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:
        """Process the complete request, without parsing its body as a form.

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
        self.method, self.uri, self.clientproto = command, path, version
        if self.channel.has_memory:
            self.process()
        else:
            self.answer_no_memory()

    def refuse(self, answer: Callable[[], None]) -> None:
        """Answer the request; the rest of its body is not received.

        Parameters
        ----------
        answer : Callable[[], None]
            Sends the complete answer.
        """
        self._is_refused = True
        self.name_request()
        self.content = BytesIO()
        self._body_bytes = 0
        self.channel.refuse_early(answer)

    def discard(self) -> None:
        """Drop what was received of a request that will not be completed."""
        self.requestHeaders = Headers()
        self.content = BytesIO()
        self._body_bytes = 0

    def refuse_for_memory(self) -> None:
        """Refuse the request; the rest of its body is not received."""
        if not self._is_refused:
            self.refuse(self.answer_no_memory)

    def _enter_long(self, size: int) -> None:
        self._is_long = True
        self.name_request()
        answer = self.refusal_by_head()
        if answer is None:
            self.channel.enter_long_body(size)
        else:
            self.refuse(answer)

    def name_request(self) -> None:
        """Set what Twisted sets after the last byte of the body."""
        self.method, self.uri, self.clientproto = self.channel.request_line
