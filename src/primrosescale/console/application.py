"""Entry point of the program: parses flags, runs a command, maps errors to codes."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from absl import flags

from primrosescale.console.commands.agent import AgentCommand
from primrosescale.console.commands.bundle import BundleCommand
from primrosescale.console.commands.check import CheckCommand
from primrosescale.console.commands.demo import DemoCommand
from primrosescale.console.commands.engine import EngineCommand
from primrosescale.console.commands.platform import PlatformCommand
from primrosescale.console.commands.router import RouterCommand
from primrosescale.console.commands.service import ServiceCommand
from primrosescale.console.commands.version import VersionCommand
from primrosescale.console.exceptions import RefusedByApiError
from primrosescale.console.exceptions import UnreachableError
from primrosescale.console.exceptions import UsageError
from primrosescale.console.exit_codes import ExitCode
from primrosescale.exceptions import PrimrosescaleError
from primrosescale.ini.exceptions import FaultsError
from primrosescale.ini.exceptions import IniError

if TYPE_CHECKING:
    from primrosescale.console.command import Command

HELP_ARGUMENTS = frozenset({"help", "--help", "-h", "-help"})
CODE_BY_ERROR: tuple[tuple[type[PrimrosescaleError], ExitCode], ...] = (
    (UsageError, ExitCode.USAGE),
    (RefusedByApiError, ExitCode.REFUSED),
    (UnreachableError, ExitCode.UNREACHABLE),
    (IniError, ExitCode.BAD_SETTINGS),
    (PrimrosescaleError, ExitCode.FAILED),
)


def commands() -> list[Command]:
    """Return all commands.

    Returns
    -------
    list[Command]
        Commands in the order of the help text.
    """
    return [
        DemoCommand(),
        RouterCommand(),
        AgentCommand(),
        BundleCommand(),
        CheckCommand(),
        PlatformCommand(),
        EngineCommand(),
        ServiceCommand(),
        VersionCommand(),
    ]


def run(args: list[str]) -> ExitCode:
    """Run the command that the first argument names.

    Parameters
    ----------
    args : list[str]
        Arguments after the program's name.

    Returns
    -------
    ExitCode
        Exit code of the program.
    """
    known = {command.name: command for command in commands()}
    if not args or args[0] in HELP_ARGUMENTS:
        _print(_overview(list(known.values())))
        return ExitCode.OK if args else ExitCode.USAGE
    command = known.get(args[0])
    if command is None:
        _print_error(f"unknown command {args[0]!r}; use one of {', '.join(known)}")
        return ExitCode.USAGE
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    command.define(values)
    if any(arg in HELP_ARGUMENTS for arg in args[1:]):
        _print(command.help(values))
        return ExitCode.OK
    try:
        rest = values([command.name, *args[1:]])[1:]
        return command.run(values, rest)
    except flags.Error as error:
        _print_error(f"{error}; see 'primrosescale {command.name} --help'")
        return ExitCode.USAGE
    except FaultsError as error:
        for fault in error.exceptions:
            _print_error(str(fault))
        return ExitCode.BAD_SETTINGS
    except PrimrosescaleError as error:
        _print_error(str(error))
        return next(code for kind, code in CODE_BY_ERROR if isinstance(error, kind))


def main() -> None:
    """Run the program and exit."""
    sys.exit(run(sys.argv[1:]))


def _overview(known: list[Command]) -> str:
    lines = ["usage: primrosescale COMMAND [flags]", ""]
    lines += [f"  {command.name:<10} {command.summary}" for command in known]
    lines += ["", "'primrosescale COMMAND --help' prints its flags and an example."]
    return "\n".join(lines)


def _print(text: str) -> None:
    sys.stdout.write(text + "\n")


def _print_error(text: str) -> None:
    sys.stderr.write(f"primrosescale: {text}\n")
