"""Bodies of HTTP requests this process makes."""

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
    """A body that is in memory and is written at once.

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
            Where to.

        Returns
        -------
        Deferred[None]
            Done already.
        """
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:
        """Do nothing: the body is written already."""

    def resumeProducing(self) -> None:
        """Do nothing: the body is written already."""

    def stopProducing(self) -> None:
        """Do nothing: the body is written already."""


def body_producer(body: bytes | None) -> IBodyProducer | None:
    """Return what twisted sends as a request's body.

    Parameters
    ----------
    body : bytes | None
        The body.

    Returns
    -------
    IBodyProducer | None
        None for no body.
    """
    if body is None:
        return None
    return cast("IBodyProducer", InMemoryBody(body))


def request_body(request: Request) -> bytes:
    """Return the body of a request this process serves.

    Parameters
    ----------
    request : Request
        The request.

    Returns
    -------
    bytes
        Empty when there is none.
    """
    content = request.content
    return b"" if content is None else bytes(content.read())
