"""Base class of the commands that run a router or an agent."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.endpoint import Endpoint
from primrosescale.console.command import Command
from primrosescale.console.daemons import define_settings
from primrosescale.console.daemons import run_daemon
from primrosescale.console.daemons import settings_for

if TYPE_CHECKING:
    from absl import flags
    from twisted.internet.defer import Deferred

    from primrosescale.console.exit_codes import ExitCode
    from primrosescale.process.daemons.agent import Agent
    from primrosescale.process.daemons.daemon import DaemonContext
    from primrosescale.process.daemons.router import Router
    from primrosescale.process.settings import Settings
    from primrosescale.process.transport.platform import Platform


class DaemonCommand(Command):
    """Runs a router or an agent until SIGTERM or SIGINT."""

    def define(self, values: flags.FlagValues) -> None:
        """Define the flag of the settings file."""
        define_settings(values)

    @abstractmethod
    def make(
        self,
        settings: Settings,
        context: DaemonContext,
        platform: Platform,
    ) -> Router | Agent:
        """Build the daemon.

        Parameters
        ----------
        settings : Settings
            Settings of the process.
        context : DaemonContext
            Reactor, log, metrics and traces.
        platform : Platform
            Client of the platform's object store and list of hosts.

        Returns
        -------
        Router | Agent
            The router or agent, not started.
        """

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Run until SIGTERM or SIGINT."""
        settings = settings_for(values, self.name)
        from twisted.internet import reactor  # noqa: PLC0415

        from primrosescale.process.daemons.daemon import DaemonContext  # noqa: PLC0415
        from primrosescale.process.transport.http_platform import HttpPlatform  # noqa: PLC0415

        endpoint = Endpoint(settings.platform.address, settings.platform.port)
        platform = HttpPlatform(reactor, endpoint, settings.platform.timeout)
        daemon = self.make(settings, DaemonContext(settings, reactor), platform)

        def start() -> Deferred[Any]:
            daemon.listen()
            return daemon.start()

        return run_daemon(settings, start, daemon.stop)
