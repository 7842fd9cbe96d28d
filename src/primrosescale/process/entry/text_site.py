"""Small HTTP sites that answer every GET with a text."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.protocol import ServerFactory
from twisted.web.http import RESPONSES
from twisted.web.http import HTTPChannel
from twisted.web.http import Request

if TYPE_CHECKING:
    from collections.abc import Callable

# Who asks comes back every second or every few; an idle connection that is
# older is forgotten by its other end.
IDLE_TIMEOUT_SECONDS: int = 30


@dataclass(frozen=True, slots=True)
class TextResponse:
    """An answer.

    Parameters
    ----------
    status : int
        HTTP status.
    content_type : bytes
        Type of the content.
    content : bytes
        The content.
    """

    status: int
    content_type: bytes
    content: bytes


class _TextRequest(Request):
    """A request that is answered at once."""

    def process(self) -> None:
        """Answer."""
        channel: Any = self.channel
        text = channel.answer()
        self.setResponseCode(text.status, RESPONSES.get(text.status, b""))
        length = b"%d" % len(text.content)
        self.responseHeaders.setRawHeaders(b"Content-Type", [text.content_type])
        self.responseHeaders.setRawHeaders(b"Content-Length", [length])
        self.write(text.content)
        self.finish()


class _TextChannel(HTTPChannel):
    """A connection of someone who asks."""

    requestFactory: Any = _TextRequest
    timeOut = IDLE_TIMEOUT_SECONDS

    def __init__(self, answer: Callable[[], TextResponse]) -> None:
        super().__init__()
        self.answer = answer


class TextSite(ServerFactory):
    """Answers every request with a text.

    Parameters
    ----------
    answer : Callable[[], TextResponse]
        Returns the answer.
    """

    noisy = False

    def __init__(self, answer: Callable[[], TextResponse]) -> None:
        self._answer = answer

    def buildProtocol(self, addr: Any) -> HTTPChannel:
        """Return the protocol of a new connection.

        Parameters
        ----------
        addr : Any
            Where it comes from.

        Returns
        -------
        HTTPChannel
            The protocol.
        """
        return _TextChannel(self._answer)
