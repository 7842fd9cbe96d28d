"""Sends requests to targets over HTTP/1.1 with a pool for each incarnation.

When a target restarts, requests in flight at its former incarnation are aborted.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.error import ConnectionRefusedError  # noqa: A004
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.web._newclient import Request
from twisted.web._newclient import ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import UNKNOWN_LENGTH

from primrosescale.connection.connection_limit import UNLIMITED
from primrosescale.connection.failure_text import failure_text
from primrosescale.connection.idle_limit import IdleLimit
from primrosescale.connection.target_channel import ChannelPool
from primrosescale.process.entry.target_connection_limit import TargetConnectionLimit
from primrosescale.process.transport.http_bodies import body_producer
from primrosescale.request.answer.head_check import is_success
from primrosescale.request.attempt.forwarding_interfaces import InFlightRequest
from primrosescale.request.attempt.forwarding_interfaces import ProbeResult
from primrosescale.request.attempt.forwarding_interfaces import TargetClient
from primrosescale.request.capacity.connection_capacity import ConnectionCapacity
from primrosescale.request.target.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from primrosescale.connection.connection_limit import ConnectionLimit
    from primrosescale.connection.target_channel import TargetChannel
    from primrosescale.process.entry.codec import EntryCodec
    from primrosescale.request.attempt.forwarding_interfaces import OutgoingRequest
    from primrosescale.request.attempt.forwarding_interfaces import ResponseObserver
    from primrosescale.request.capacity.connection_shares import ConnectionShares
    from primrosescale.request.target.serving_target import ServingTarget

# A connection within a region opens in a few milliseconds. The kernel retransmits a
# lost SYN only after 1 s, which is too late to wait for.
CONNECT_TIMEOUT_SECONDS = 0.4
STARTED_AGAIN = "target started again"
RESET_IN_ANSWER = "connection reset inside an answer without a length"
CLOSED_IN_REQUEST = "target closed before it had received the request"


class _BodyReceiver(Protocol):
    """Passes the body of a response to its request."""

    def __init__(self, in_flight_request: InFlightHttpRequest) -> None:
        self._in_flight_request = in_flight_request

    def dataReceived(self, data: bytes) -> None:
        """Pass on received bytes."""
        self._in_flight_request.body_data(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end of the body, complete or not."""
        self._in_flight_request.body_ended(reason)


class InFlightHttpRequest(InFlightRequest):
    """A request that is sent to one target over HTTP.

    Parameters
    ----------
    sending : OutgoingRequest
        The request.
    observer : ResponseObserver
        Notified of its progress and result.
    codec : EntryCodec
        Converts headers.
    state : _IncarnationState
        Connections and requests of the incarnation that it goes to.
    clock : Any
        Source of time.
    """

    def __init__(
        self,
        sending: OutgoingRequest,
        observer: ResponseObserver,
        codec: EntryCodec,
        state: _IncarnationState,
        clock: Any,
    ) -> None:
        self._sending = sending
        self._observer = observer
        self._codec = codec
        self._state = state
        self._clock = clock
        self._opening: Deferred[TargetChannel] | None = None
        self._channel: TargetChannel | None = None
        self._is_over = False
        self._is_paused = False
        self._is_success = False

    def start(self) -> None:
        """Send the request on an idle connection, or open a new one."""
        self._state.runs.add(self)
        channel = None
        sending = self._sending
        max_idle = (
            sending.max_idle_seconds if sending.needs_new_connection else math.inf
        )
        if max_idle:
            channel = self._state.pool.idle(self._clock.seconds(), max_idle)
        if channel is not None:
            self._send(channel)
            return
        self._opening = self._state.pool.open()
        self._opening.addCallbacks(self._opened, self._not_opened)

    def cancel(self) -> None:
        """Abort the request; see `InFlightRequest.cancel`."""
        if self._is_over:
            return
        self._end()
        if self._channel is not None:
            self._channel.abort_now()
        elif self._opening is not None:
            self._opening.cancel()

    def target_ended(self, failed_at: float) -> None:
        """Handle the end of the incarnation that the request was sent to.

        Parameters
        ----------
        failed_at : float
            When a connection to that incarnation last failed, in seconds. A connection
            opened later presumably leads to the next incarnation.
        """
        if self._is_over:
            return
        if self._channel is not None and self._channel.opened_at > failed_at:
            return
        is_sent = self._channel is not None
        self.cancel()
        if is_sent:
            self._observer.response_lost(STARTED_AGAIN)
        else:
            self._observer.request_not_sent(STARTED_AGAIN)

    def pause(self) -> None:
        """Stop reading the response; see `InFlightRequest.pause`."""
        self._is_paused = True
        if self._channel is not None and not self._is_over:
            transport: Any = self._channel.transport
            transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading the response; see `InFlightRequest.resume`."""
        self._is_paused = False
        if self._channel is not None and not self._is_over:
            transport: Any = self._channel.transport
            transport.resumeProducing()

    def body_data(self, data: bytes) -> None:
        """Pass on bytes of the body."""
        if not self._is_over:
            self._observer.response_data(data)

    def body_ended(self, reason: Failure) -> None:
        """Handle the end of the body."""
        if self._is_over:
            return
        self._end()
        channel = self._channel
        loss = "" if reason.check(ResponseDone) else failure_text(reason)
        if reason.check(PotentialDataLoss) and channel is not None:
            loss = self._loss_at_close(channel)
        if loss:
            self._state.failed_at = self._clock.seconds()
            self._abort()
            self._observer.response_lost(loss)
            return
        if channel is not None and channel.is_sending:
            # The next request would wait behind the rest of this one.
            channel.abort_now()
        elif channel is not None:
            self._state.pool.release(channel, self._clock.seconds())
        self._observer.response_done()

    def _loss_at_close(self, channel: TargetChannel) -> str:
        """Return why an answer that ends with its connection is not complete.

        It is complete after an orderly close. A target that closes before it has
        received the request may refuse it so, but cannot have answered it.
        """
        if channel.was_reset:
            return RESET_IN_ANSWER
        if self._is_success and not channel.was_request_delivered:
            return CLOSED_IN_REQUEST
        return ""

    def _opened(self, channel: TargetChannel) -> None:
        self._opening = None
        if self._is_over:
            channel.abort_now()
            return
        self._send(channel)

    def _not_opened(self, failure: Failure) -> None:
        self._opening = None
        if not self._is_over:
            self._state.failed_at = self._clock.seconds()
            self._end()
            self._observer.request_not_sent(failure_text(failure))

    def _send(self, channel: TargetChannel) -> None:
        self._channel = channel
        request = self._sending.request
        headers = self._codec.target_headers(self._sending)
        http_request = Request._construct(  # noqa: SLF001 - the only way to bypass twisted's own pool
            request.method,
            request.path,
            headers,
            body_producer(request.body or None),
            persistent=True,
        )
        self._observer.request_sent()
        answered = channel.begin(http_request)
        answered.addCallback(self._head)
        answered.addErrback(self._failed)

    def _head(self, response: Any) -> None:
        if self._is_over:
            return
        length = None if response.length is UNKNOWN_LENGTH else int(response.length)
        head = self._codec.answer_head(response.code, response.headers, length)
        if head.load is not None and 0 < head.load.slots < head.load.waiting:
            self._state.pool.queue_is_long(self._clock.seconds())
        self._is_success = is_success(head)
        self._observer.response_head(head)
        if not self._is_over:
            response.deliverBody(_BodyReceiver(self))
        if self._is_paused:
            # Twisted resumes reading when the body is requested.
            self.pause()

    def _failed(self, failure: Failure) -> None:
        if self._is_over:
            return
        self._state.failed_at = self._clock.seconds()
        self._end()
        if self._channel is not None:
            self._state.pool.lost(self._channel, self._clock.seconds())
        self._abort()
        self._observer.response_lost(failure_text(failure))

    def _end(self) -> None:
        self._is_over = True
        self._state.runs.discard(self)

    def _abort(self) -> None:
        if self._channel is not None:
            self._channel.abort_now()


class _IncarnationState:
    """Connections to one incarnation of a target, and the requests sent there.

    Parameters
    ----------
    incarnation : TargetIncarnation
        The incarnation.
    pool : ChannelPool
        Connections to it.
    """

    __slots__ = ("failed_at", "incarnation", "pool", "runs")

    def __init__(self, incarnation: TargetIncarnation, pool: ChannelPool) -> None:
        self.incarnation = incarnation
        self.pool = pool
        self.runs: set[InFlightHttpRequest] = set()
        # When a connection last failed or was lost, in seconds; infinite for never.
        self.failed_at = math.inf


class HttpTargetClient(TargetClient, ConnectionCapacity):
    """Sends requests to targets, with a connection pool for each incarnation.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    codec : EntryCodec
        Converts headers.
    shares : ConnectionShares | None
        Limits the connections to each target; None for no limits.
    """

    def __init__(
        self, reactor: Any, codec: EntryCodec, shares: ConnectionShares | None = None
    ) -> None:
        self._reactor = reactor
        self._codec = codec
        self._shares = shares
        self._connections_closed = 0
        # By name of the target, the newest incarnation last. Former ones are kept
        # while requests are in flight there.
        self._states: dict[str, list[_IncarnationState]] = {}
        # Shared by all targets: idle connections are rarely dropped by one target
        # alone, rather by something in front of them.
        self._idle_limit = IdleLimit()

    @property
    def connections(self) -> int:
        """Return the number of connections to targets: busy, being opened, idle."""
        return sum(
            state.pool.connections
            for states in self._states.values()
            for state in states
        )

    @property
    def connections_closed(self) -> int:
        """Return how many idle connections were closed to stay within a share."""
        return self._connections_closed

    def is_limited(self, service: str) -> bool:
        """Return whether connections are limited; see `ConnectionCapacity`."""
        return self._shares is not None and self._shares.is_limited(service)

    def has_capacity(self, target: ServingTarget, now: float) -> bool:
        """Return whether a connection can be had; see `ConnectionCapacity`."""
        state = self._present(target)
        if state is not None:
            return state.pool.has_capacity(now)
        return self._limit(target).allowed(now) != 0

    def send(
        self, sending: OutgoingRequest, observer: ResponseObserver
    ) -> InFlightRequest:
        """Send a request; see `TargetClient.send`."""
        state = self._state(sending.target)
        in_flight_request = InFlightHttpRequest(
            sending, observer, self._codec, state, self._reactor
        )
        in_flight_request.start()
        return in_flight_request

    def check(
        self, target: TargetIncarnation, on_check: Callable[[ProbeResult], None]
    ) -> None:
        """Probe whether a target accepts connections; see `TargetClient.check`."""
        for state in self._states.get(target.name, ()):
            if state.incarnation == target:
                self._probe(state.pool, on_check)
                return
        on_check(ProbeResult.UNKNOWN)

    def _probe(
        self, pool: ChannelPool, on_check: Callable[[ProbeResult], None]
    ) -> None:
        def opened(channel: TargetChannel) -> None:
            # Kept for the next request, in place of the connection that was lost.
            pool.release(channel, self._reactor.seconds())
            on_check(ProbeResult.CONNECTED)

        def not_opened(failure: Failure) -> None:
            is_refused = failure.check(ConnectionRefusedError)
            on_check(ProbeResult.ENDED if is_refused else ProbeResult.UNKNOWN)

        pool.open(is_probe=True).addCallbacks(opened, not_opened)

    def abort_former(self, present: TargetIncarnation) -> None:
        """Abort requests at former incarnations; see `TargetClient.abort_former`."""
        former = [
            state
            for state in self._states.get(present.name, ())
            if state.incarnation.is_followed_by(present)
        ]
        for state in former:
            state.pool.close()
        self._forget_former_idle_limits(present)
        for state in former:
            # A request that is not aborted here runs at the present incarnation, and is
            # aborted when that has ended.
            failed_at, state.failed_at = state.failed_at, math.inf
            for in_flight_request in list(state.runs):
                in_flight_request.target_ended(failed_at)
        self._drop_ended(present.name)

    def sweep(self, now: float) -> None:
        """Close idle connections that are too old to be reused.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        for target, states in list(self._states.items()):
            for state in states:
                state.pool.sweep(now)
            if states[0].pool.is_closed:
                self._drop_ended(target)

    def forget(self, target: str) -> None:
        """Close the idle connections of a target that has been forgotten.

        Parameters
        ----------
        target : str
            Name of the target.
        """
        for state in self._states.get(target, ()):
            state.pool.close()
        self._drop_ended(target)

    def _present(self, target: ServingTarget) -> _IncarnationState | None:
        """Return the state of a target as listed; None before its first request.

        Its pool is closed where the target was forgotten while it had requests.
        """
        states = self._states.get(target.name)
        if not states:
            return None
        last = states[-1]
        is_same = last.incarnation == target.incarnation
        return last if is_same and last.pool.endpoint == target.endpoint else None

    def _limit(self, target: ServingTarget) -> ConnectionLimit:
        if self._shares is None:
            return UNLIMITED
        return TargetConnectionLimit(
            self._shares, target.name, target.service, self._count_closed
        )

    def _count_closed(self) -> None:
        self._connections_closed += 1

    def _state(self, target: ServingTarget) -> _IncarnationState:
        present = self._present(target)
        if present is not None:
            present.pool.reopen()
            return present
        states = self._states.get(target.name)
        if states:
            states[-1].pool.close()
            self._drop_ended(target.name)
        pool = ChannelPool(
            self._reactor,
            target.endpoint,
            CONNECT_TIMEOUT_SECONDS,
            self._idle_limit,
            target.incarnation,
            self._limit(target),
        )
        state = _IncarnationState(target.incarnation, pool)
        self._states.setdefault(target.name, []).append(state)
        return state

    def _forget_former_idle_limits(self, present: TargetIncarnation) -> None:
        """Discard idle limits that were learned from former incarnations."""
        for source in self._idle_limit.sources:
            if isinstance(source, TargetIncarnation) and source.name == present.name:
                if source.is_followed_by(present):
                    self._idle_limit.forget(source)

    def _drop_ended(self, target: str) -> None:
        """Discard closed incarnations without requests in flight."""
        states = self._states.get(target, ())
        left = [state for state in states if state.runs or not state.pool.is_closed]
        if left:
            self._states[target] = left
        else:
            self._states.pop(target, None)
