"""Command that validates settings files."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from primrosescale.console.command import Command
from primrosescale.console.exceptions import UsageError
from primrosescale.console.exit_codes import ExitCode
from primrosescale.ini.exceptions import FaultsError
from primrosescale.ini.exceptions import IniError
from primrosescale.process.settings import load_settings

if TYPE_CHECKING:
    from absl import flags


class CheckCommand(Command):
    """Validates settings files."""

    @property
    def name(self) -> str:
        """Return the name of the command."""
        return "check"

    @property
    def summary(self) -> str:
        """Return a one-line summary."""
        return "validate settings files and print every fault with its remedy"

    @property
    def example(self) -> str:
        """Return an example of its use."""
        return "primrosescale check settings/riga/router-1.ini"

    @property
    def arguments(self) -> str:
        """Return the synopsis of its positional arguments."""
        return "FILE..."

    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Print the faults of each file."""
        if not args:
            raise UsageError("no file to check", "pass one or more settings files")
        result = ExitCode.OK
        for path in args:
            faults = _faults_of(path)
            for fault in faults:
                sys.stdout.write(f"{path}: {fault}\n")
            if faults:
                result = ExitCode.BAD_SETTINGS
            else:
                sys.stdout.write(f"{path}: valid\n")
        return result


def _faults_of(path: str) -> list[str]:
    try:
        load_settings(path)
    except FaultsError as error:
        return [str(fault) for fault in error.exceptions]
    except IniError as error:
        return [str(error)]
    return []
