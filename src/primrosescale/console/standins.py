"""Serves the resource of a stand-in over HTTP until SIGTERM or SIGINT."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.web.server import Site

from primrosescale.console.daemons import run_daemon

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.web.resource import Resource

    from primrosescale.console.exit_codes import ExitCode
    from primrosescale.process.settings import Settings


def run_site(settings: Settings, make: Callable[[Any], Resource]) -> ExitCode:
    """Serve a stand-in's resource until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    make : Callable[[Any], Resource]
        Creates the resource, given the reactor.

    Returns
    -------
    ExitCode
        Exit code.
    """
    from twisted.internet import reactor as installed  # noqa: PLC0415

    reactor: Any = installed
    ports: list[Any] = []

    def start() -> Deferred[Any]:
        site = Site(make(reactor))
        site.noisy = False
        own = settings.standin
        ports.append(reactor.listenTCP(own.port, site, interface=own.address))
        return succeed(None)

    def stop() -> Deferred[Any]:
        stopped: Deferred[Any] | None = ports[0].stopListening() if ports else None
        return stopped if stopped is not None else succeed(None)

    return run_daemon(settings, start, stop)
