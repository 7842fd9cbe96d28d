"""``primrosescale version``."""

from __future__ import annotations

import platform
import sys
from typing import TYPE_CHECKING

from primrosescale import __version__
from primrosescale.console.command import Command
from primrosescale.console.exit_codes import ExitCode

if TYPE_CHECKING:
    from absl import flags


class VersionCommand(Command):
    """Prints the version."""

    @property
    def name(self) -> str:
        """Return the word that calls it."""
        return "version"

    @property
    def summary(self) -> str:
        """Return what it does."""
        return "print the version"

    @property
    def example(self) -> str:
        """Return one line that calls it."""
        return "primrosescale version"

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Print it."""
        python = platform.python_version()
        sys.stdout.write(f"primrosescale {__version__} (Python {python})\n")
        return ExitCode.OK
