"""Bodies of HTTP requests that this process sends or receives."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from twisted.internet.defer import succeed
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.web.server import Request


@implementer(IBodyProducer)
class InMemoryBody:
    """A request body that is held in memory and written at once.

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
        consumer.write(self._body)
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
    content = request.content
    return b"" if content is None else bytes(content.read())
