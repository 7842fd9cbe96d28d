"""Connections opened on use and closed when idle."""

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
    """At most one open connection for an endpoint.

    Parameters
    ----------
    own : wire.Hello
        How this process introduces itself.
    handler : LinkHandler
        Told of the messages and ends of all connections of the pool.
    dialer : Dialer
        Opens them.
    clock : Clock
        Source of time and timers.
    settings : LinkSettings
        Timing of a connection.
    idle_after : float
        Seconds without use until a connection is closed.
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
        """Return how many connections are open or opening."""
        return len(self._links)

    def links(self) -> list[Link]:
        """Return the open connections.

        Returns
        -------
        list[Link]
            In no particular order.
        """
        return list(self._links.values())

    def ready(self, endpoint: Endpoint) -> Link | None:
        """Return the introduced connection to an endpoint, if it is open.

        Parameters
        ----------
        endpoint : Endpoint
            Where to.

        Returns
        -------
        Link | None
            None when it must be opened first, by `get`.
        """
        link = self._links.get(endpoint)
        if link is None or link.peer is None or link.is_lost:
            return None
        self._used_at[endpoint] = self._clock.seconds()
        return link

    def get(self, endpoint: Endpoint) -> Deferred[Link]:
        """Return an introduced connection to an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
            Where to.

        Returns
        -------
        Deferred[Link]
            The connection; fails with `DialError`.
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
        """Give up the connection to an endpoint, if there is one.

        Parameters
        ----------
        endpoint : Endpoint
            Where to.
        detail : str
            Why.
        """
        link = self._links.get(endpoint)
        if link is not None:
            link.abandon(detail)

    def close_idle(self, now: float) -> int:
        """Close connections that nothing used for a while.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int
            How many were closed.
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
        """Close all connections, also those that are being opened."""
        for link in self.links():
            link.close()

    def link_ready(self, link: Link) -> None:
        """Hand an introduced connection to those who wait for it."""
        endpoint = self._endpoints[link]
        self._handler.link_ready(link)
        for waiter in self._waiters.pop(endpoint, []):
            waiter.callback(link)

    def link_message(self, link: Link, message: Message) -> None:
        """Pass a message on."""
        endpoint = self._endpoints.get(link)
        if endpoint is not None:
            self._used_at[endpoint] = self._clock.seconds()
        self._handler.link_message(link, message)

    def link_lost(self, link: Link, detail: str) -> None:
        """Forget a connection and tell those who wait for it."""
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
