"""Command that serves a stand-in of the platform."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.console.command import Command
from primrosescale.console.daemons import define_settings
from primrosescale.console.daemons import settings_for
from primrosescale.console.standins import run_site

if TYPE_CHECKING:
    from absl import flags

    from primrosescale.console.exit_codes import ExitCode


class PlatformCommand(Command):
    """Runs the stand-in platform."""

    @property
    def name(self) -> str:
        """Return the name of the command."""
        return "platform"

    @property
    def summary(self) -> str:
        """Return a one-line summary."""
        return "run the stand-in of the platform's object API and host list"

    @property
    def example(self) -> str:
        """Return an example of its use."""
        return "primrosescale platform --settings settings/riga/platform.ini"

    def define(self, values: flags.FlagValues) -> None:
        """Define the flag of the settings file."""
        define_settings(values)

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Serve the stand-in until SIGTERM or SIGINT."""
        settings = settings_for(values, self.name)
        from primrosescale.standin.memory_platform import MemoryPlatform  # noqa: PLC0415
        from primrosescale.standin.object_store import ObjectStore  # noqa: PLC0415
        from primrosescale.standin.object_store import StoreSettings  # noqa: PLC0415
        from primrosescale.standin.platform_site import PlatformResource  # noqa: PLC0415

        own = settings.standin

        def make(reactor: Any) -> PlatformResource:
            store = ObjectStore(
                StoreSettings(
                    writes_per_second=own.writes_per_second,
                    reads_per_second=own.reads_per_second,
                    latency=own.latency,
                ),
                reactor.seconds(),
            )
            return PlatformResource(MemoryPlatform(store, reactor))

        return run_site(settings, make)
