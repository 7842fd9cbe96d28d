"""``primrosescale service``."""

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
        """Return the word that calls it."""
        return "service"

    @property
    def summary(self) -> str:
        """Return what it does."""
        return "run a stand-in of a plain service"

    @property
    def example(self) -> str:
        """Return one line that calls it."""
        return "primrosescale service --settings settings/riga/service-1.ini"

    def define(self, values: flags.FlagValues) -> None:
        """Define its flags."""
        define_settings(values)

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Run until told to stop."""
        settings = settings_for(values, self.name)
        from primrosescale.standin.plain_service import PlainServiceResource  # noqa: PLC0415

        def make(reactor: Any) -> PlainServiceResource:
            name = settings.process.name
            runs: Counter[str] = Counter()
            return PlainServiceResource(name, settings.standin.delay, reactor, runs)

        return run_site(settings, make)
