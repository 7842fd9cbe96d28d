"""Command that serves a stand-in of a model engine."""

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


class EngineCommand(Command):
    """Runs a stand-in engine."""

    @property
    def name(self) -> str:
        """Return the name of the command."""
        return "engine"

    @property
    def summary(self) -> str:
        """Return a one-line summary."""
        return "run a stand-in of a model engine"

    @property
    def example(self) -> str:
        """Return an example of its use."""
        return "primrosescale engine --settings settings/riga/engine-1.ini"

    def define(self, values: flags.FlagValues) -> None:
        """Define the flag of the settings file."""
        define_settings(values)

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Serve the stand-in until SIGTERM or SIGINT."""
        settings = settings_for(values, self.name)
        from primrosescale.standin.engine import EngineResource  # noqa: PLC0415
        from primrosescale.standin.engine import EngineSettings  # noqa: PLC0415

        own = settings.standin

        def make(reactor: Any) -> EngineResource:
            behaviour = EngineSettings(
                tokens_per_second=own.tokens_per_second,
                prefill_per_second=own.prefill_per_second,
                cache_tokens=own.cache_tokens,
                checks_fence=own.checks_fence,
            )
            return EngineResource(behaviour, reactor)

        return run_site(settings, make)
