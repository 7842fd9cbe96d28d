"""Command that serves a stand-in of a plain service."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.console.command import Command
from primrosescale.console.daemons import define_settings
from primrosescale.console.daemons import settings_for
from primrosescale.console.standins import run_site

if TYPE_CHECKING:
    from absl import flags

    from primrosescale.console.exit_codes import ExitCode


class ServiceCommand(Command):
    """Runs a stand-in plain service."""

    @property
    def name(self) -> str:
        """Return the name of the command."""
        return "service"

    @property
    def summary(self) -> str:
        """Return a one-line summary."""
        return "run a stand-in of a plain service"

    @property
    def example(self) -> str:
        """Return an example of its use."""
        return "primrosescale service --settings settings/riga/service-1.ini"

    def define(self, values: flags.FlagValues) -> None:
        """Define the flag of the settings file."""
        define_settings(values)

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Serve the stand-in until SIGTERM or SIGINT."""
        settings = settings_for(values, self.name)
        from primrosescale.standin.plain_service import PlainServiceResource  # noqa: PLC0415

        def make(reactor: Any) -> PlainServiceResource:
            name = settings.process.name
            runs: Counter[str] = Counter()
            return PlainServiceResource(name, settings.standin.delay, reactor, runs)

        return run_site(settings, make)
