"""Pool of framed connections, opened on first use and closed when idle."""

from __future__ import annotations

from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from primrosescale.connection.exceptions import DialError
from primrosescale.connection.link import Link
from primrosescale.connection.link import LinkHandler

if TYPE_CHECKING:
    from primrosescale.clock import Clock
    from primrosescale.connection.codec import Message
    from primrosescale.connection.dialer import Dialer
    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.connection.link import LinkSettings
    from primrosescale.connection.wire import ttypes as wire


class LinkPool(LinkHandler):
    """Holds at most one connection per endpoint.

    Parameters
    ----------
    own : wire.Hello
        The Hello message of this process.
    handler : LinkHandler
        Notified of the messages and the end of every connection of the pool.
    dialer : Dialer
        Opens the connections.
    clock : Clock
        Source of time and timers.
    settings : LinkSettings
        Time limits of a connection.
    idle_after : float
        Seconds without use after which a connection is closed.
    """

    def __init__(
        self,
        own: wire.Hello,
        handler: LinkHandler,
        dialer: Dialer,
        clock: Clock,
        settings: LinkSettings,
        idle_after: float,
    ) -> None:
        self._own = own
        self._handler = handler
        self._dialer = dialer
        self._clock = clock
        self._settings = settings
        self._idle_after = idle_after
        self._links: dict[Endpoint, Link] = {}
        self._endpoints: dict[Link, Endpoint] = {}
        self._dials: dict[Link, Deferred[Link]] = {}
        self._used_at: dict[Endpoint, float] = {}
        self._waiters: dict[Endpoint, list[Deferred[Link]]] = {}

    @property
    def size(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._links)

    def links(self) -> list[Link]:
        """Return the connections that are open or being opened.

        Returns
        -------
        list[Link]
            The connections, in no particular order.
        """
        return list(self._links.values())

    def ready(self, endpoint: Endpoint) -> Link | None:
        """Return the connection to an endpoint if it is ready for use.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint of the peer.

        Returns
        -------
        Link | None
            The connection; None if it must first be opened with `get`.
        """
        link = self._links.get(endpoint)
        if link is None or link.peer is None or link.is_lost:
            return None
        self._used_at[endpoint] = self._clock.seconds()
        return link

    def get(self, endpoint: Endpoint) -> Deferred[Link]:
        """Return a connection to an endpoint, opening one if needed.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint of the peer.

        Returns
        -------
        Deferred[Link]
            Fires with the connection once the peer's Hello message is received;
            fails with `DialError`.
        """
        self._used_at[endpoint] = self._clock.seconds()
        waiter: Deferred[Link] = Deferred()
        link = self._links.get(endpoint)
        if link is not None and link.peer is not None:
            waiter.callback(link)
            return waiter
        self._waiters.setdefault(endpoint, []).append(waiter)
        if link is None:
            self._open(endpoint)
        return waiter

    def drop(self, endpoint: Endpoint, detail: str) -> None:
        """Abort the connection to an endpoint, if there is one.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint of the peer.
        detail : str
            The reason.
        """
        link = self._links.get(endpoint)
        if link is not None:
            link.abandon(detail)

    def close_idle(self, now: float) -> int:
        """Close connections that were not used for the idle time.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        int
            The number of connections closed.
        """
        closed = 0
        for endpoint, link in list(self._links.items()):
            if link.peer is None or link.waiting:
                continue
            if now - self._used_at.get(endpoint, now) >= self._idle_after:
                link.close()
                closed += 1
        return closed

    def close(self) -> None:
        """Close all connections, including those that are being opened."""
        for link in self.links():
            link.close()

    def link_ready(self, link: Link) -> None:
        """Pass a connection that is ready to the callers that wait for it."""
        endpoint = self._endpoints[link]
        self._handler.link_ready(link)
        for waiter in self._waiters.pop(endpoint, []):
            waiter.callback(link)

    def link_message(self, link: Link, message: Message) -> None:
        """Pass a message to the handler."""
        endpoint = self._endpoints.get(link)
        if endpoint is not None:
            self._used_at[endpoint] = self._clock.seconds()
        self._handler.link_message(link, message)

    def link_lost(self, link: Link, detail: str) -> None:
        """Remove a connection and fail the callers that wait for it."""
        endpoint = self._remove(link)
        self._handler.link_lost(link, detail)
        if endpoint is not None:
            self._fail_waiters(endpoint, detail)

    def _open(self, endpoint: Endpoint) -> None:
        link = Link(self._own, self, self._clock, self._settings)
        self._links[endpoint] = link
        self._endpoints[link] = endpoint
        dial = self._dialer.dial(endpoint, link)
        self._dials[link] = dial
        dial.addCallbacks(self._dial_succeeded, self._dial_failed, errbackArgs=(link,))

    def _dial_succeeded(self, link: Link) -> None:
        self._dials.pop(link, None)

    def _dial_failed(self, failure: Failure, link: Link) -> None:
        endpoint = self._remove(link)
        if endpoint is not None:
            for waiter in self._waiters.pop(endpoint, []):
                waiter.errback(failure)

    def _remove(self, link: Link) -> Endpoint | None:
        endpoint = self._endpoints.pop(link, None)
        dial = self._dials.pop(link, None)
        if dial is not None:
            dial.cancel()
        if endpoint is not None and self._links.get(endpoint) is link:
            del self._links[endpoint]
            self._used_at.pop(endpoint, None)
        return endpoint

    def _fail_waiters(self, endpoint: Endpoint, detail: str) -> None:
        for waiter in self._waiters.pop(endpoint, []):
            waiter.errback(Failure(DialError(str(endpoint), detail)))
