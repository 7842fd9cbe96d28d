"""A small HTTP client for callers and operators of the demo deployment."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.client import ResponseDone
from twisted.web.http_headers import Headers

from primrosescale.process.transport.http_bodies import body_producer
from primrosescale.standin.exceptions import StandInError

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.python.failure import Failure

FIRST_ERROR_STATUS = 400
MAX_KEPT_CONNECTIONS = 200


@dataclass(slots=True)
class Reply:
    """An answer, or the error in place of one.

    Parameters
    ----------
    status : int
        HTTP status; 0 when no response head was received.
    headers : Headers
        Headers of the response.
    body : bytes
        Content as far as it was received; the error's text for status 0.
    is_whole : bool
        Whether the content was received completely.
    first_byte : float
        Seconds from the request to the first byte of content.
    """

    status: int
    headers: Headers
    body: bytes
    is_whole: bool
    first_byte: float

    def json(self) -> Any:
        """Return the content as JSON.

        Returns
        -------
        Any
            The parsed content; an empty dict when it is not JSON.
        """
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


class _BodyCollector(Protocol):
    """Collects a body and measures the time to its first byte."""

    def __init__(self, reactor: Any, started_at: float, result: Deferred[Any]) -> None:
        self._reactor = reactor
        self._started_at = started_at
        self._result = result
        self._parts: list[bytes] = []
        self._first_byte_seconds = 0.0

    def dataReceived(self, data: bytes) -> None:
        """Append received bytes."""
        if not self._parts:
            self._first_byte_seconds = self._reactor.seconds() - self._started_at
        self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Pass on the received content and whether it is complete."""
        is_whole = bool(reason.check(ResponseDone))
        self._result.callback(
            (b"".join(self._parts), is_whole, self._first_byte_seconds)
        )


class DemoClient:
    """HTTP client that keeps connections open and never retries by itself.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    """

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._pool = HTTPConnectionPool(reactor)
        self._pool.maxPersistentPerHost = MAX_KEPT_CONNECTIONS
        self._pool.retryAutomatically = False
        self._agent = Agent(reactor, connectTimeout=2.0, pool=self._pool)

    def close(self) -> Deferred[None]:
        """Close the idle connections.

        Returns
        -------
        Deferred[None]
            Fires when they are closed.
        """
        closed: Deferred[None] = self._pool.closeCachedConnections()
        return closed

    @inlineCallbacks
    def call(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes,
    ) -> Generator[Any, Any, Reply]:
        """Send one request.

        Parameters
        ----------
        method : str
            HTTP method.
        url : str
            Absolute URL.
        headers : dict[str, str]
            Request headers.
        body : bytes
            Request content.

        Returns
        -------
        Deferred[Reply]
            The answer; an error is returned as a reply with status 0.
        """
        sent = Headers({name: [value] for name, value in headers.items()})
        started_at = self._reactor.seconds()
        producer = body_producer(body or None)
        try:
            response = yield self._agent.request(
                method.encode(),
                url.encode(),
                sent,
                producer,
            )
        except Exception as error:  # noqa: BLE001 - returned as a reply
            text = str(error).encode()
            return Reply(0, Headers(), text, is_whole=False, first_byte=0.0)
        collected: Deferred[Any] = Deferred()
        response.deliverBody(_BodyCollector(self._reactor, started_at, collected))
        content, is_whole, first = yield collected
        return Reply(response.code, response.headers, content, is_whole, first)

    @inlineCallbacks
    def json(
        self,
        method: str,
        url: str,
        key: str,
        content: Any,
    ) -> Generator[Any, Any, Any]:
        """Send one request that must succeed.

        Parameters
        ----------
        method : str
            HTTP method.
        url : str
            Absolute URL.
        key : str
            Bearer key.
        content : Any
            Text, or fields to send as JSON.

        Returns
        -------
        Deferred[Any]
            The answer's JSON; fails with `StandInError` for an error status.
        """
        text = content if isinstance(content, str) else json.dumps(content)
        headers = {"Authorization": f"Bearer {key}"}
        reply = yield self.call(method, url, headers, text.encode())
        if not 0 < reply.status < FIRST_ERROR_STATUS:
            detail = reply.body.decode("utf-8", "replace")
            raise StandInError(
                f"{method} {url}: {reply.status} {detail}", "see the answer's content"
            )
        return reply.json()
