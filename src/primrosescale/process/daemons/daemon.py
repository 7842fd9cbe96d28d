"""Dependencies of router and agent processes, built from their settings.

They are the reactor, log, metrics, traces and TLS, and functions that open listeners
and connections and call a function periodically.
"""

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
from primrosescale.connection.link_guard import LinkGuard
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
    from primrosescale.process.transport.local_engine_client import LocalEngineClient
    from primrosescale.process.transport.tls import LinkTls


class LinkFactory(Factory):
    """Creates the protocol of each connection that is accepted.

    Parameters
    ----------
    hello : wire.Hello
        Hello that this process sends first on a connection.
    handler : LinkHandler
        Receives the messages and the end of each connection.
    clock : Clock
        Source of time and timers.
    settings : LinkSettings
        Time-outs and intervals of connections.
    """

    noisy = False

    def __init__(
        self,
        hello: wire.Hello,
        handler: LinkHandler,
        clock: Clock,
        settings: LinkSettings,
    ) -> None:
        self._hello = hello
        self._handler = handler
        self._clock = clock
        self._settings = settings
        self._guard = LinkGuard()

    def buildProtocol(self, addr: Any) -> Link:
        """Return the protocol of an accepted connection.

        Parameters
        ----------
        addr : Any
            Address of the peer; unused.

        Returns
        -------
        Link
            Protocol of the connection.
        """
        return Link(
            self._hello, self._handler, self._clock, self._settings, self._guard
        )


class DaemonContext:
    """Dependencies of a router or an agent.

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
        """Return the wall-clock time.

        Returns
        -------
        float
            Seconds since the Unix epoch (1970).
        """
        return time.time()

    def dialer(self, timeout: float) -> Dialer:
        """Return a dialer for connections to other processes.

        Parameters
        ----------
        timeout : float
            Time-out of opening a connection, in seconds.

        Returns
        -------
        Dialer
            Uses TLS when the process has a certificate.
        """
        tls = self._tls.client if self._tls is not None else None
        return TcpDialer(self.reactor, timeout, tls)

    def target(
        self, endpoint: Endpoint, *, must_echo: bool, timeout: float
    ) -> LocalEngineClient:
        """Return the client through which an agent reaches its target.

        Parameters
        ----------
        endpoint : Endpoint
            Address of the target.
        must_echo : bool
            Whether the target must return the request's id in its answer.
        timeout : float
            Time-out of opening a connection, in seconds.

        Returns
        -------
        LocalEngineClient
            Client of the target.
        """
        return HttpTarget(self.reactor, endpoint, must_echo=must_echo, timeout=timeout)

    def listen(self, port: int, factory: Factory, address: str) -> Any:
        """Accept connections, with TLS when the process has a certificate.

        Parameters
        ----------
        port : int
            TCP port; 0 for any free one.
        factory : Factory
            Creates the protocols of connections.
        address : str
            IP address to listen on.

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
        """Return a Deferred that fires after some time.

        Parameters
        ----------
        seconds : float
            Time to wait.

        Returns
        -------
        Deferred[None]
            Fires with None when the time is over.
        """
        result: Deferred[None] = Deferred()
        self.reactor.callLater(seconds, result.callback, None)
        return result

    def repeat(self, interval: float, act: Callable[[], Any]) -> LoopingCall:
        """Call a function periodically, and go on when a call raises an error.

        If an unexpected error ended the loop, the process would seem to work but do
        no more periodic work, so the error is logged and the loop continues.

        Parameters
        ----------
        interval : float
            Seconds between calls.
        act : Callable[[], Any]
            Function to call.

        Returns
        -------
        LoopingCall
            The running loop.
        """
        loop = LoopingCall(self._call_and_log_errors, act)
        loop.clock = self.reactor
        loop.start(interval, now=False)
        return loop

    def _call_and_log_errors(self, act: Callable[[], Any]) -> None:
        try:
            act()
        except Exception:  # noqa: BLE001 - logged, and the loop must go on
            self.log.emit(Event.LOOP_FAILED, detail=traceback.format_exc())
