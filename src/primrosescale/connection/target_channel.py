"""HTTP connections to a target, and the pool that keeps idle ones for reuse."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure
from zope.interface import implementer

from primrosescale.connection.bounded_http import BoundedHttpProtocol
from primrosescale.connection.connection_limit import UNLIMITED
from primrosescale.connection.exceptions import ConnectionLimitError
from primrosescale.connection.keepalive import set_keepalive_options
from primrosescale.connection.unsent import undelivered_bytes
from primrosescale.connection.unsent import unsent_bytes

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable

    from primrosescale.clock import Clock
    from primrosescale.connection.connection_limit import ConnectionLimit
    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.connection.idle_limit import IdleLimit

# Targets announce in whole seconds after which time they close idle connections.
# The margin keeps a request from being sent while the target closes.
KEEP_ALIVE_MARGIN_SECONDS = 1.0
# Used if a target announces no time-out. Short, so that few requests are sent on
# a connection that is dead.
DEFAULT_IDLE_SECONDS = 2.0
# A faulty second answer to the last request arrives within some milliseconds. A
# connection is reused only after this delay, so that such an answer is detected.
REUSE_DELAY_SECONDS = 0.01
MAX_IDLE_CHANNELS = 16
# A target resets connections in excess of its limit 4 ms after they were opened
# (median). Later resets have other causes, such as the end of the target.
EXCESS_RESET_SECONDS = 0.25


@implementer(IHalfCloseableProtocol)
class TargetChannel(BoundedHttpProtocol):
    """An HTTP connection that detects bytes which belong to no request.

    Parameters
    ----------
    clock : Clock
        Source of the current time.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(self._became_idle)
        self._clock = clock
        self._idle_limit = DEFAULT_IDLE_SECONDS
        self._has_stray_bytes = False
        self._is_lost = False
        self._was_reset = False
        self._undelivered = 0
        self._is_idle = True
        self._was_used = False
        self._idle_before_request: float | None = None
        self.on_connected: Callable[[], None] | None = None
        self.on_lost: Callable[[TargetChannel], None] | None = None
        self._opened_at = math.inf
        self._idle_since = clock.seconds() - REUSE_DELAY_SECONDS

    @property
    def was_reset(self) -> bool:
        """Return whether the connection ended other than by an orderly close."""
        return self._was_reset

    @property
    def was_request_delivered(self) -> bool:
        """Return whether the target had received all of its request at its close."""
        return not self._undelivered

    @property
    def is_sending(self) -> bool:
        """Return whether a part of its request has not been sent yet."""
        return not self._is_lost and bool(unsent_bytes(self.transport))

    @property
    def is_lost(self) -> bool:
        """Return whether the connection has ended."""
        return self._is_lost

    @property
    def opened_at(self) -> float:
        """Return when it was opened, in seconds; infinity before that."""
        return self._opened_at

    @property
    def idle_before_request(self) -> float | None:
        """Return how long it had been idle before the last request.

        In seconds; None for the first request on the connection.
        """
        return self._idle_before_request

    def idle_seconds(self, now: float) -> float:
        """Return how long it has been idle.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        float
            Seconds since its last answer.
        """
        return now - self._idle_since

    def can_be_reused(self, now: float) -> bool:
        """Return whether another request may be sent on it now.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            False if it is lost, busy, has received stray bytes, has just become
            idle or has been idle for too long.
        """
        if self._is_lost or self._has_stray_bytes or not self._is_idle:
            return False
        return REUSE_DELAY_SECONDS <= self.idle_seconds(now) < self._idle_limit

    def is_expired(self, now: float) -> bool:
        """Return whether it can never be reused again.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            True if it should be closed.
        """
        if self._is_lost or self._has_stray_bytes or not self._is_idle:
            return True
        return self.idle_seconds(now) >= self._idle_limit

    def begin(self, request: Any) -> Deferred[Any]:
        """Send a request.

        Parameters
        ----------
        request : Any
            A request of Twisted's client.

        Returns
        -------
        Deferred[Any]
            Fires with the answer once its head has been received.
        """
        self._is_idle = False
        self._idle_before_request = (
            self.idle_seconds(self._clock.seconds()) if self._was_used else None
        )
        answered: Deferred[Any] = self.request(request)
        return answered

    def dataReceived(self, data: bytes) -> None:
        """Receive bytes; abort the connection on bytes outside an answer.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        if self._parser is None:
            self._has_stray_bytes = True
            self.abort_now()
            return
        super().dataReceived(data)

    def connectionMade(self) -> None:
        """Set the socket options and call `on_connected`."""
        super().connectionMade()
        set_keepalive_options(self.transport)
        self._opened_at = self._clock.seconds()
        if self.on_connected is not None:
            self.on_connected()

    def readConnectionLost(self) -> None:
        """Record what the target did not receive of a request, and close as well.

        The socket can only be asked for it before it is closed.
        """
        transport: Any = self.transport
        self._undelivered = undelivered_bytes(transport)
        transport.connectionLost(Failure(ConnectionDone()))

    def writeConnectionLost(self) -> None:
        """Do nothing: requests are sent on connections that are open both ways."""

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Record how the connection ended before the pending answer fails.

        Parameters
        ----------
        reason : Failure
            The reason given by the transport.
        """
        self._is_lost = True
        self._was_reset = not reason.check(ConnectionDone)
        if self.on_lost is not None:
            self.on_lost(self)
        super().connectionLost(reason)

    def abort_now(self) -> None:
        """Abort the connection, so that the target stops working on the request."""
        transport: Any = self.transport
        if transport is not None and not self._is_lost:
            transport.abortConnection()

    def _became_idle(self, _: Any) -> None:
        """Record that the answer is complete and the connection stays open."""
        self._is_idle = True

    def _finishResponse(self, rest: bytes) -> None:
        """Check for stray bytes after a complete answer and read the idle time-out."""
        if rest:
            self._has_stray_bytes = True
        parser: Any = self._parser
        if parser is not None:
            values = parser.connHeaders.getRawHeaders(b"Keep-Alive", [])
            self._idle_limit = _idle_limit(values)
        self._idle_since = self._clock.seconds()
        self._was_used = True
        super()._finishResponse(rest)
        if self._has_stray_bytes:
            self.abort_now()


class _ChannelFactory(ClientFactory):
    """Builds one channel and reports when it is connected."""

    noisy = False

    def __init__(self, channel: TargetChannel) -> None:
        self._channel = channel
        self._connector: Any = None
        self.opened: Deferred[TargetChannel] = Deferred(self._cancel)

    def startedConnecting(self, connector: Any) -> None:
        """Keep the connector, so that the attempt can be cancelled."""
        self._connector = connector

    def buildProtocol(self, addr: Any) -> TargetChannel:
        """Return the channel, which reports when its transport is connected."""
        self._channel.on_connected = self._connected
        return self._channel

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Report that the connection could not be opened."""
        self._resolve(reason)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        """Report that it was lost before it was ready, if so.

        An error in `connectionMade`, as of a socket option, has the reactor close it.
        """
        self._resolve(reason)

    def _connected(self) -> None:
        if self.opened.called:
            # Connected after the attempt was cancelled: nobody would close it.
            self._channel.abort_now()
            return
        self._resolve(self._channel)

    def _resolve(self, outcome: Any) -> None:
        if not self.opened.called:
            self.opened.callback(outcome)

    def _cancel(self, _: Any) -> None:
        if self._connector is not None:
            self._connector.stopConnecting()


class ChannelPool:
    """Opens connections to one incarnation of a target and keeps idle ones.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    endpoint : Endpoint
        Endpoint on which the target listens.
    timeout : float
        Maximum seconds for opening a connection.
    idle_limit : IdleLimit
        Maximum idle time of connections that are reused.
    source : Hashable
        Identifies the target in the losses recorded in `idle_limit`.
    limit : ConnectionLimit
        Maximum number of its connections: busy, being opened and idle.
    """

    def __init__(
        self,
        reactor: Any,
        endpoint: Endpoint,
        timeout: float,
        idle_limit: IdleLimit,
        source: Hashable = None,
        limit: ConnectionLimit = UNLIMITED,
    ) -> None:
        self._reactor = reactor
        self._endpoint = endpoint
        self._timeout = timeout
        self._idle_limit = idle_limit
        self._source = source
        self._is_closed = False
        self._limit = limit
        self._idle: list[TargetChannel] = []
        self._opened = 0
        self._opening = 0
        # Busy and idle connections, without those that this pool has closed.
        self._open: set[TargetChannel] = set()

    @property
    def endpoint(self) -> Endpoint:
        """Return the endpoint of its connections."""
        return self._endpoint

    @property
    def is_closed(self) -> bool:
        """Return whether the pool is closed and keeps no more connections."""
        return self._is_closed

    @property
    def opened(self) -> int:
        """Return the number of connections opened so far."""
        return self._opened

    @property
    def connections(self) -> int:
        """Return the number of connections that are busy, being opened or idle."""
        return len(self._open) + self._opening

    def has_capacity(self, now: float) -> bool:
        """Return whether a request can have a connection within the limit.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        bool
            True if one may be opened, if necessary in place of an idle one.
        """
        allowed = self._limit.allowed(now)
        if allowed is None or self.connections < allowed:
            return True
        idle = sum(channel in self._open for channel in self._idle)
        return self.connections - idle < allowed

    def idle(self, now: float, max_idle: float = math.inf) -> TargetChannel | None:
        """Take the most recently used idle connection out of the pool.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        max_idle : float
            Seconds since its last answer after which a connection is not taken.

        Returns
        -------
        TargetChannel | None
            The connection; None if none can be reused.
        """
        self.sweep(now)
        for index in range(len(self._idle) - 1, -1, -1):
            channel = self._idle[index]
            idle_seconds = channel.idle_seconds(now)
            is_allowed = self._idle_limit.allows(idle_seconds, now)
            if idle_seconds > max_idle:
                continue
            if is_allowed and channel.can_be_reused(now):
                return self._idle.pop(index)
        return None

    def open(self, *, is_probe: bool = False) -> Deferred[TargetChannel]:
        """Open a new connection, if necessary in place of the one idle longest.

        Parameters
        ----------
        is_probe : bool
            Whether it is opened to see whether the target is alive; such a
            connection may exceed the limit.

        Returns
        -------
        Deferred[TargetChannel]
            Fires with the connection; fails if it could not be opened, with
            `ConnectionLimitError` if that would exceed the limit. Nothing was sent
            then.
        """
        allowed = None if is_probe else self._limit.allowed(self._reactor.seconds())
        if allowed is not None:
            self._close_idle_above(allowed - 1)
            if self.connections >= allowed:
                return fail(ConnectionLimitError(self._endpoint, allowed))
        self._opened += 1
        self._opening += 1
        channel = TargetChannel(self._reactor)
        channel.on_lost = self._open.discard
        factory = _ChannelFactory(channel)
        factory.opened.addCallbacks(self._has_opened, self._has_not_opened)
        self._reactor.connectTCP(
            self._endpoint.address, self._endpoint.port, factory, self._timeout
        )
        return factory.opened

    def release(self, channel: TargetChannel, now: float) -> None:
        """Return a connection whose last answer was complete to the pool.

        Parameters
        ----------
        channel : TargetChannel
            The connection.
        now : float
            Current time, in seconds.
        """
        if channel.is_expired(now):
            return
        if self._is_closed:
            channel.abort_now()
            return
        self._idle.append(channel)
        if len(self._idle) > MAX_IDLE_CHANNELS:
            self._close_idle(self._idle[0])
        self._keep_within_limit(now)

    def lost(self, channel: TargetChannel, now: float) -> None:
        """Record that a request on a connection was lost without an answer.

        Parameters
        ----------
        channel : TargetChannel
            The connection.
        now : float
            Current time, in seconds.
        """
        if channel.idle_before_request is not None:
            self._idle_limit.lost(channel.idle_before_request, now, self._source)
        elif channel.was_reset and now - channel.opened_at < EXCESS_RESET_SECONDS:
            self._limit.connection_reset(self.connections, now)

    def queue_is_long(self, now: float) -> None:
        """Record that more requests wait at the target than it can run at once.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        self._limit.queue_is_long(now)

    def sweep(self, now: float) -> None:
        """Close connections that can no longer be reused.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """
        expired = [channel for channel in self._idle if channel.is_expired(now)]
        for channel in expired:
            self._close_idle(channel)
        self._keep_within_limit(now)

    def close(self) -> None:
        """Close all idle connections and keep none from now on."""
        self._is_closed = True
        for channel in list(self._idle):
            self._close_idle(channel)

    def reopen(self) -> None:
        """Keep idle connections again, if it was closed."""
        self._is_closed = False

    def _has_opened(self, channel: TargetChannel) -> TargetChannel:
        self._opening -= 1
        self._open.add(channel)
        return channel

    def _has_not_opened(self, failure: Failure) -> Failure:
        self._opening -= 1
        return failure

    def _close_idle(self, channel: TargetChannel) -> None:
        self._idle.remove(channel)
        self._open.discard(channel)
        channel.abort_now()

    def _keep_within_limit(self, now: float) -> None:
        """Close idle connections if the limit has become lower."""
        allowed = self._limit.allowed(now)
        if allowed is not None:
            self._close_idle_above(allowed)

    def _close_idle_above(self, number: int) -> None:
        """Close the connections idle longest until at most `number` are left."""
        while self._idle and self.connections > number:
            if self._idle[0] in self._open:
                self._limit.idle_closed()
            self._close_idle(self._idle[0])


def _idle_limit(values: list[bytes]) -> float:
    for value in values:
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                return max(0.0, float(number) - KEEP_ALIVE_MARGIN_SECONDS)
    return DEFAULT_IDLE_SECONDS
