"""What routers and agents have in common as processes."""

from __future__ import annotations

import random
import time
import traceback
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from primrosescale.connection.dialer import TcpDialer
from primrosescale.connection.link import Link
from primrosescale.process.events import Event
from primrosescale.process.events import EventLog
from primrosescale.process.incarnation import new_incarnation
from primrosescale.process.metrics import Metrics
from primrosescale.process.tracing import Tracing
from primrosescale.process.transport.http_target import HttpTarget
from primrosescale.process.transport.tls import make_tls

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Clock
    from primrosescale.connection.dialer import Dialer
    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.connection.link import LinkHandler
    from primrosescale.connection.link import LinkSettings
    from primrosescale.connection.wire import ttypes as wire
    from primrosescale.process.settings import Settings
    from primrosescale.process.transport.engine_port import EnginePort
    from primrosescale.process.transport.tls import LinkTls


class LinkFactory(Factory):
    """Makes the listening side of connections.

    Parameters
    ----------
    own : wire.Hello
        How this process introduces itself.
    handler : LinkHandler
        Told of messages.
    clock : Clock
        Source of time and timers.
    settings : LinkSettings
        Timing.
    """

    noisy = False

    def __init__(
        self,
        own: wire.Hello,
        handler: LinkHandler,
        clock: Clock,
        settings: LinkSettings,
    ) -> None:
        self._own = own
        self._handler = handler
        self._clock = clock
        self._settings = settings

    def buildProtocol(self, addr: Any) -> Link:
        """Return the protocol of a new connection.

        Parameters
        ----------
        addr : Any
            Where it comes from.

        Returns
        -------
        Link
            The protocol.
        """
        return Link(self._own, self._handler, self._clock, self._settings)


class Tools:
    """Parts that every daemon is built with.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    reactor : Any
        Twisted's reactor.
    """

    def __init__(self, settings: Settings, reactor: Any) -> None:
        telemetry = settings.telemetry
        name = settings.process.name
        self.reactor = reactor
        self.rng = random.Random()  # noqa: S311 - jitter and placement, no secrets
        self.log = EventLog(name)
        self.metrics = Metrics(telemetry.statsd_address, telemetry.statsd_port, name)
        self.tracing = Tracing(self.log, telemetry.trace_share, self.rng)
        self.incarnation = new_incarnation()
        self._tls: LinkTls | None = make_tls(settings.tls)

    def wall_clock(self) -> float:
        """Return the present time.

        Returns
        -------
        float
            Seconds since 1970.
        """
        return time.time()

    def dialer(self, timeout: float) -> Dialer:
        """Return what opens links to other processes.

        Parameters
        ----------
        timeout : float
            Seconds a connection may take to open.

        Returns
        -------
        Dialer
            With TLS when the process has a certificate.
        """
        tls = self._tls.client if self._tls is not None else None
        return TcpDialer(self.reactor, timeout, tls)

    def target(
        self, endpoint: Endpoint, *, must_echo: bool, timeout: float
    ) -> EnginePort:
        """Return an agent's way to its target.

        Parameters
        ----------
        endpoint : Endpoint
            Where the target listens.
        must_echo : bool
            Whether the target repeats the request's id in its answer.
        timeout : float
            Seconds a connection may take to open.

        Returns
        -------
        EnginePort
            The target.
        """
        return HttpTarget(self.reactor, endpoint, must_echo=must_echo, timeout=timeout)

    def listen(self, port: int, factory: Factory, address: str) -> Any:
        """Listen for links, with TLS when the process has a certificate.

        Parameters
        ----------
        port : int
            TCP port; 0 for any.
        factory : Factory
            Makes protocols.
        address : str
            IP number.

        Returns
        -------
        Any
            The listening port.
        """
        if self._tls is None:
            return self.reactor.listenTCP(port, factory, interface=address)
        return self.reactor.listenSSL(
            port,
            factory,
            self._tls.server,
            interface=address,
        )

    def pause(self, seconds: float) -> Deferred[None]:
        """Wait.

        Parameters
        ----------
        seconds : float
            How long.

        Returns
        -------
        Deferred[None]
            When the time is over.
        """
        result: Deferred[None] = Deferred()
        self.reactor.callLater(seconds, result.callback, None)
        return result

    def repeat(self, interval: float, act: Callable[[], Any]) -> LoopingCall:
        """Call something again and again, whatever becomes of one call.

        A loop that an unforeseen error ends would leave a process that looks
        alive and reports nothing, so the error is logged and the loop goes on.

        Parameters
        ----------
        interval : float
            Seconds between two calls.
        act : Callable[[], Any]
            What to call.

        Returns
        -------
        LoopingCall
            The running loop.
        """
        loop = LoopingCall(self._guarded, act)
        loop.clock = self.reactor
        loop.start(interval, now=False)
        return loop

    def _guarded(self, act: Callable[[], Any]) -> None:
        try:
            act()
        except Exception:  # noqa: BLE001 - logged, and the loop must go on
            self.log.emit(Event.LOOP_FAILED, detail=traceback.format_exc())
