"""Command that prints the version of the program."""

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
    """Prints the versions of the program and of Python."""

    @property
    def name(self) -> str:
        """Return the name of the command."""
        return "version"

    @property
    def summary(self) -> str:
        """Return a one-line summary."""
        return "print the version"

    @property
    def example(self) -> str:
        """Return an example of its use."""
        return "primrosescale version"

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Print the versions."""
        python = platform.python_version()
        sys.stdout.write(f"primrosescale {__version__} (Python {python})\n")
        return ExitCode.OK
