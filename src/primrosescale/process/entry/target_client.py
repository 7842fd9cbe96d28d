"""Sends requests to targets over HTTP."""

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

from primrosescale.connection.failure_text import failure_text
from primrosescale.connection.rest_limit import IdleLimit
from primrosescale.connection.target_channel import ChannelPool
from primrosescale.process.transport.http_bodies import body_producer
from primrosescale.request.forwarding_interfaces import InFlightRequest
from primrosescale.request.forwarding_interfaces import ProbeResult
from primrosescale.request.forwarding_interfaces import TargetClient
from primrosescale.request.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from primrosescale.connection.target_channel import TargetChannel
    from primrosescale.process.entry.codec import EntryCodec
    from primrosescale.request.forwarding_interfaces import OutgoingRequest
    from primrosescale.request.forwarding_interfaces import ResponseObserver
    from primrosescale.request.serving_target import ServingTarget

# A connection inside a region opens in some milliseconds; a lost opening
# packet is sent again by the kernel after 1 s, which is too late to wait for.
CONNECT_TIMEOUT = 0.4
STARTED_AGAIN = "target started again"


class _Body(Protocol):
    """Hands the body of an answer to its run."""

    def __init__(self, run: HttpRun) -> None:
        self._run = run

    def dataReceived(self, data: bytes) -> None:
        """Hand bytes on."""
        self._run.body_data(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Tell a whole answer from a cut one."""
        self._run.body_ended(reason)


class HttpRun(InFlightRequest):
    """A request at one target over HTTP.

    Parameters
    ----------
    sending : OutgoingRequest
        The request.
    observer : ResponseObserver
        Told of what becomes of it.
    codec : EntryCodec
        Translates headers.
    life : _Life
        The life of the target that it goes to.
    clock : Any
        Source of time.
    """

    def __init__(
        self,
        sending: OutgoingRequest,
        observer: ResponseObserver,
        codec: EntryCodec,
        life: _Life,
        clock: Any,
    ) -> None:
        self._sending = sending
        self._observer = observer
        self._codec = codec
        self._life = life
        self._clock = clock
        self._opening: Deferred[TargetChannel] | None = None
        self._channel: TargetChannel | None = None
        self._is_over = False
        self._is_paused = False

    def start(self) -> None:
        """Send on an idle connection or open one."""
        self._life.runs.add(self)
        channel = None
        if not self._sending.needs_new_connection:
            channel = self._life.pool.idle(self._clock.seconds())
        if channel is not None:
            self._send(channel)
            return
        self._opening = self._life.pool.open()
        self._opening.addCallbacks(self._opened, self._not_opened)

    def cancel(self) -> None:
        """End it at once; see `InFlightRequest.cancel`."""
        if self._is_over:
            return
        self._end()
        if self._channel is not None:
            self._channel.abort_now()
        elif self._opening is not None:
            self._opening.cancel()

    def target_ended(self, failed_at: float) -> None:
        """Take in that the life of the target that it goes to has ended.

        Parameters
        ----------
        failed_at : float
            When that life was seen to fail, in seconds. A connection that was
            opened later leads to the life after it, as far as can be told.
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
        """Take no more bytes; see `InFlightRequest.pause`."""
        self._is_paused = True
        if self._channel is not None and not self._is_over:
            transport: Any = self._channel.transport
            transport.pauseProducing()

    def resume(self) -> None:
        """Take bytes again; see `InFlightRequest.resume`."""
        self._is_paused = False
        if self._channel is not None and not self._is_over:
            transport: Any = self._channel.transport
            transport.resumeProducing()

    def body_data(self, data: bytes) -> None:
        """Hand bytes of the body on."""
        if not self._is_over:
            self._observer.response_data(data)

    def body_ended(self, reason: Failure) -> None:
        """Take in the end of the body."""
        if self._is_over:
            return
        self._end()
        channel = self._channel
        is_whole = bool(reason.check(ResponseDone))
        if reason.check(PotentialDataLoss) and channel is not None:
            # The body ends with the connection: whole only by orderly close.
            is_whole = not channel.was_reset
        if not is_whole:
            self._life.failed_at = self._clock.seconds()
            self._abort()
            self._observer.response_lost(failure_text(reason))
            return
        if channel is not None:
            self._life.pool.give_back(channel, self._clock.seconds())
        self._observer.response_done()

    def _opened(self, channel: TargetChannel) -> None:
        self._opening = None
        if self._is_over:
            channel.abort_now()
            return
        self._send(channel)

    def _not_opened(self, failure: Failure) -> None:
        self._opening = None
        if not self._is_over:
            self._life.failed_at = self._clock.seconds()
            self._end()
            self._observer.request_not_sent(failure_text(failure))

    def _send(self, channel: TargetChannel) -> None:
        self._channel = channel
        request = self._sending.request
        headers = self._codec.target_headers(self._sending)
        made = Request._construct(  # noqa: SLF001 - the only way past a second pool
            request.method,
            request.path,
            headers,
            body_producer(request.body or None),
            persistent=True,
        )
        self._observer.request_sent()
        answered = channel.begin(made)
        answered.addCallback(self._head)
        answered.addErrback(self._failed)

    def _head(self, response: Any) -> None:
        if self._is_over:
            return
        length = None if response.length is UNKNOWN_LENGTH else int(response.length)
        head = self._codec.answer_head(response.code, response.headers, length)
        self._observer.response_head(head)
        if not self._is_over:
            response.deliverBody(_Body(self))
        if self._is_paused:
            # Twisted reads on when the body is asked for.
            self.pause()

    def _failed(self, failure: Failure) -> None:
        if self._is_over:
            return
        self._life.failed_at = self._clock.seconds()
        self._end()
        if self._channel is not None:
            self._life.pool.lost(self._channel, self._clock.seconds())
        self._abort()
        self._observer.response_lost(failure_text(failure))

    def _end(self) -> None:
        self._is_over = True
        self._life.runs.discard(self)

    def _abort(self) -> None:
        if self._channel is not None:
            self._channel.abort_now()


class _Life:
    """Connections to one life of a target, and the requests there.

    Parameters
    ----------
    incarnation : TargetIncarnation
        The life.
    pool : ChannelPool
        Connections to it.
    """

    __slots__ = ("failed_at", "incarnation", "pool", "runs")

    def __init__(self, incarnation: TargetIncarnation, pool: ChannelPool) -> None:
        self.incarnation = incarnation
        self.pool = pool
        self.runs: set[HttpRun] = set()
        # When a connection last failed or broke, in seconds; infinite for never.
        self.failed_at = math.inf


class HttpTargetClient(TargetClient):
    """Sends requests to targets over HTTP, with a pool for each life of one.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    codec : EntryCodec
        Translates headers.
    """

    def __init__(self, reactor: Any, codec: EntryCodec) -> None:
        self._reactor = reactor
        self._codec = codec
        # By name of the target, the newest last. Former ones are kept while
        # requests are under way there.
        self._lives: dict[str, list[_Life]] = {}
        # One for all targets: what drops connections is seldom one of them.
        self._rest_limit = IdleLimit()

    def send(
        self, sending: OutgoingRequest, observer: ResponseObserver
    ) -> InFlightRequest:
        """Send a request; see `TargetClient.send`."""
        life = self._life(sending.target)
        run = HttpRun(sending, observer, self._codec, life, self._reactor)
        run.start()
        return run

    def check(
        self, target: TargetIncarnation, on_check: Callable[[ProbeResult], None]
    ) -> None:
        """See whether a target takes connections; see `TargetClient.check`."""
        for life in self._lives.get(target.name, ()):
            if life.incarnation == target:
                self._check(life.pool, on_check)
                return
        on_check(ProbeResult.UNKNOWN)

    def _check(
        self, pool: ChannelPool, on_check: Callable[[ProbeResult], None]
    ) -> None:
        def opened(channel: TargetChannel) -> None:
            # The next request needs one in place of the connection that was lost.
            pool.give_back(channel, self._reactor.seconds())
            on_check(ProbeResult.CONNECTED)

        def not_opened(failure: Failure) -> None:
            is_refused = failure.check(ConnectionRefusedError)
            on_check(ProbeResult.ENDED if is_refused else ProbeResult.UNKNOWN)

        pool.open().addCallbacks(opened, not_opened)

    def abort_former(self, present: TargetIncarnation) -> None:
        """End what is under way at former lives; see `TargetClient.abort_former`."""
        former = [
            life
            for life in self._lives.get(present.name, ())
            if life.incarnation.is_followed_by(present)
        ]
        for life in former:
            life.pool.close()
        self._unlearn_former(present)
        for life in former:
            # What is spared now is at the present life and ends with it.
            failed_at, life.failed_at = life.failed_at, math.inf
            for run in list(life.runs):
                run.target_ended(failed_at)
        self._drop_ended(present.name)

    def sweep(self, now: float) -> None:
        """Close idle connections that are too old.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        for target, lives in list(self._lives.items()):
            for life in lives:
                life.pool.sweep(now)
            if lives[0].pool.is_closed:
                self._drop_ended(target)

    def forget(self, target: str) -> None:
        """Close the idle connections of a target that is gone.

        Parameters
        ----------
        target : str
            Its name.
        """
        for life in self._lives.get(target, ()):
            life.pool.close()
        self._drop_ended(target)

    def _life(self, target: ServingTarget) -> _Life:
        lives = self._lives.setdefault(target.name, [])
        if lives:
            last = lives[-1]
            is_same = last.incarnation == target.incarnation
            if is_same and last.pool.endpoint == target.endpoint:
                if not last.pool.is_closed:
                    return last
            last.pool.close()
            self._drop_ended(target.name)
        pool = ChannelPool(
            self._reactor,
            target.endpoint,
            CONNECT_TIMEOUT,
            self._rest_limit,
            target.incarnation,
        )
        life = _Life(target.incarnation, pool)
        self._lives.setdefault(target.name, []).append(life)
        return life

    def _unlearn_former(self, present: TargetIncarnation) -> None:
        """Forget what connections to former lives taught of resting."""
        for source in self._rest_limit.sources:
            if isinstance(source, TargetIncarnation) and source.name == present.name:
                if source.is_followed_by(present):
                    self._rest_limit.forget(source)

    def _drop_ended(self, target: str) -> None:
        """Forget closed lives at which nothing is under way."""
        lives = self._lives.get(target, ())
        left = [life for life in lives if life.runs or not life.pool.is_closed]
        if left:
            self._lives[target] = left
        else:
            self._lives.pop(target, None)
