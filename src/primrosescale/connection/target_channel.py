"""One HTTP connection to a target, and the idle ones kept for reuse."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.web._newclient import HTTP11ClientProtocol

from primrosescale.connection.keepalive import watch_over

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Hashable

    from twisted.python.failure import Failure

    from primrosescale.clock import Clock
    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.connection.rest_limit import IdleLimit

# Targets close idle connections after a time that they state in whole
# seconds; a request must not cross that close.
KEEP_ALIVE_MARGIN = 1.0
# Where a target states none. Short, so that a connection that has gone silent
# for good is met by few requests.
DEFAULT_IDLE_SECONDS = 2.0
# A second answer to the last request comes within some milliseconds; a
# connection is reused only once that would have shown.
SETTLING_SECONDS = 0.01
MOST_IDLE = 16


class TargetChannel(HTTP11ClientProtocol):
    """A connection that notices bytes which belong to no request.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        super().__init__(self._became_quiet)
        self._clock = clock
        self._idle_limit = DEFAULT_IDLE_SECONDS
        self._is_spoiled = False
        self._is_lost = False
        self._was_reset = False
        self._is_quiet = True
        self._is_kept = False
        self._rested: float | None = None
        self.on_connected: Callable[[], None] | None = None
        self._opened_at = math.inf
        self._idle_since = clock.seconds() - SETTLING_SECONDS

    @property
    def was_reset(self) -> bool:
        """Tell whether it ended otherwise than by an orderly close."""
        return self._was_reset

    @property
    def is_lost(self) -> bool:
        """Tell whether it has ended."""
        return self._is_lost

    @property
    def opened_at(self) -> float:
        """Return when it was opened, in seconds; infinite before."""
        return self._opened_at

    @property
    def rested(self) -> float | None:
        """Return how long it had rested before the last request.

        Seconds; None for the first request on it.
        """
        return self._rested

    def rest(self, now: float) -> float:
        """Return how long it has been idle.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds since its last answer.
        """
        return now - self._idle_since

    def can_be_reused(self, now: float) -> bool:
        """Tell whether another request may be sent on it.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False once it is lost, spoiled, busy or idle for too long.
        """
        if self._is_lost or self._is_spoiled or not self._is_quiet:
            return False
        return SETTLING_SECONDS <= self.rest(now) < self._idle_limit

    def is_worn(self, now: float) -> bool:
        """Tell whether it will never be reusable again.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True when it should be closed.
        """
        if self._is_lost or self._is_spoiled or not self._is_quiet:
            return True
        return self.rest(now) >= self._idle_limit

    def begin(self, request: Any) -> Deferred[Any]:
        """Send a request.

        Parameters
        ----------
        request : Any
            A request of twisted's client.

        Returns
        -------
        Deferred[Any]
            The answer, once its head has come.
        """
        self._is_quiet = False
        self._rested = self.rest(self._clock.seconds()) if self._is_kept else None
        answered: Deferred[Any] = self.request(request)
        return answered

    def dataReceived(self, data: bytes) -> None:
        """Take in bytes; those outside an answer spoil the connection.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        if self._parser is None:
            self._is_spoiled = True
            self.abort_now()
            return
        super().dataReceived(data)

    def connectionMade(self) -> None:
        """Set the socket's options."""
        super().connectionMade()
        watch_over(self.transport)
        self._opened_at = self._clock.seconds()
        if self.on_connected is not None:
            self.on_connected()

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]
        """Remember how the connection ended before the answer is told.

        Parameters
        ----------
        reason : Failure
            What the transport says.
        """
        self._is_lost = True
        self._was_reset = not reason.check(ConnectionDone)
        super().connectionLost(reason)

    def abort_now(self) -> None:
        """End the connection at once, so that the target stops its work."""
        transport: Any = self.transport
        if transport is not None and not self._is_lost:
            transport.abortConnection()

    def _became_quiet(self, _: Any) -> None:
        """Take in that the answer is whole and the target keeps it open."""
        self._is_quiet = True

    def _finishResponse(self, rest: bytes) -> None:
        """Look at what follows a whole answer before the next request."""
        if rest:
            self._is_spoiled = True
        parser: Any = self._parser
        if parser is not None:
            values = parser.connHeaders.getRawHeaders(b"Keep-Alive", [])
            self._idle_limit = _idle_limit(values)
        self._idle_since = self._clock.seconds()
        self._is_kept = True
        super()._finishResponse(rest)
        if self._is_spoiled:
            self.abort_now()


class _OneChannel(ClientFactory):
    """Makes one channel and tells when it is connected."""

    noisy = False

    def __init__(self, channel: TargetChannel) -> None:
        self._channel = channel
        self._connector: Any = None
        self.opened: Deferred[TargetChannel] = Deferred(self._cancel)

    def startedConnecting(self, connector: Any) -> None:
        """Remember what can be told to give up."""
        self._connector = connector

    def buildProtocol(self, addr: Any) -> TargetChannel:
        """Return the channel; it tells when its transport is there."""
        self._channel.on_connected = self._connected
        return self._channel

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """Tell that no connection could be opened."""
        self._tell(reason)

    def _connected(self) -> None:
        self._tell(self._channel)

    def _tell(self, outcome: Any) -> None:
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
        Where the target listens.
    timeout : float
        Seconds a connection may take to open.
    rest_limit : IdleLimit
        How long idle ones may rest.
    source : Hashable
        What names the target in what is learned of that.
    """

    def __init__(
        self,
        reactor: Any,
        endpoint: Endpoint,
        timeout: float,
        rest_limit: IdleLimit,
        source: Hashable = None,
    ) -> None:
        self._reactor = reactor
        self._endpoint = endpoint
        self._timeout = timeout
        self._rest_limit = rest_limit
        self._source = source
        self._is_closed = False
        self._idle: list[TargetChannel] = []
        self._opened = 0

    @property
    def endpoint(self) -> Endpoint:
        """Return where its connections lead."""
        return self._endpoint

    @property
    def is_closed(self) -> bool:
        """Tell whether it keeps no more connections."""
        return self._is_closed

    @property
    def opened(self) -> int:
        """Return how many connections were opened."""
        return self._opened

    def idle(self, now: float) -> TargetChannel | None:
        """Take an idle connection, the one that was used last.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        TargetChannel | None
            The connection; None when none can be reused.
        """
        self.sweep(now)
        for place in range(len(self._idle) - 1, -1, -1):
            channel = self._idle[place]
            is_trusted = self._rest_limit.allows(channel.rest(now), now)
            if is_trusted and channel.can_be_reused(now):
                return self._idle.pop(place)
        return None

    def open(self) -> Deferred[TargetChannel]:
        """Open a new connection.

        Returns
        -------
        Deferred[TargetChannel]
            The connection; fails when nothing could be sent.
        """
        self._opened += 1
        factory = _OneChannel(TargetChannel(self._reactor))
        self._reactor.connectTCP(
            self._endpoint.address, self._endpoint.port, factory, self._timeout
        )
        return factory.opened

    def give_back(self, channel: TargetChannel, now: float) -> None:
        """Keep a connection whose last answer was whole.

        Parameters
        ----------
        channel : TargetChannel
            The connection.
        now : float
            Present time in seconds.
        """
        if channel.is_worn(now):
            return
        if self._is_closed:
            channel.abort_now()
            return
        self._idle.append(channel)
        if len(self._idle) > MOST_IDLE:
            self._idle.pop(0).abort_now()

    def lost(self, channel: TargetChannel, now: float) -> None:
        """Take in that a request on a connection was lost unanswered.

        Parameters
        ----------
        channel : TargetChannel
            The connection.
        now : float
            Present time in seconds.
        """
        if channel.rested is not None:
            self._rest_limit.lost(channel.rested, now, self._source)

    def sweep(self, now: float) -> None:
        """Close idle connections that are too old to be reused.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        worn = [channel for channel in self._idle if channel.is_worn(now)]
        for channel in worn:
            self._idle.remove(channel)
            channel.abort_now()

    def close(self) -> None:
        """Close all idle connections, and keep none from now on."""
        self._is_closed = True
        idle, self._idle = self._idle, []
        for channel in idle:
            channel.abort_now()


def _idle_limit(values: list[bytes]) -> float:
    for value in values:
        for item in value.split(b","):
            name, _, number = item.strip().partition(b"=")
            if name.lower() == b"timeout" and number.strip().isdigit():
                return max(0.0, float(number) - KEEP_ALIVE_MARGIN)
    return DEFAULT_IDLE_SECONDS
