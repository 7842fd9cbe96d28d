"""Command that runs a router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.console.daemon_command import DaemonCommand

if TYPE_CHECKING:
    from primrosescale.process.daemons.daemon import DaemonContext
    from primrosescale.process.daemons.router import Router
    from primrosescale.process.settings import Settings
    from primrosescale.process.transport.platform import Platform


class RouterCommand(DaemonCommand):
    """Runs a router."""

    @property
    def name(self) -> str:
        """Return the name of the command."""
        return "router"

    @property
    def summary(self) -> str:
        """Return a one-line summary."""
        return "run a router, which forwards callers' requests to agents"

    @property
    def example(self) -> str:
        """Return an example of its use."""
        return "primrosescale router --settings settings/riga/router-1.ini"

    def make(
        self, settings: Settings, context: DaemonContext, platform: Platform
    ) -> Router:
        """Build a router."""
        from primrosescale.process.daemons.router import Router  # noqa: PLC0415

        return Router(settings, context, platform)
