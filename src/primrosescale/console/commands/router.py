"""``primrosescale router``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.console.daemon_command import DaemonCommand

if TYPE_CHECKING:
    from primrosescale.process.daemons.daemon import Tools
    from primrosescale.process.daemons.router import Router
    from primrosescale.process.settings import Settings
    from primrosescale.process.transport.platform import Platform


class RouterCommand(DaemonCommand):
    """Runs a router."""

    @property
    def name(self) -> str:
        """Return the word that calls it."""
        return "router"

    @property
    def summary(self) -> str:
        """Return what it does."""
        return "run a router: callers, administration, placement"

    @property
    def example(self) -> str:
        """Return one line that calls it."""
        return "primrosescale router --settings settings/riga/router-1.ini"

    def make(self, settings: Settings, context: Tools, platform: Platform) -> Router:
        """Build a router."""
        from primrosescale.process.daemons.router import Router  # noqa: PLC0415

        return Router(settings, context, platform)
