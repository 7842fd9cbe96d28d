"""Base class of the subcommands."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from absl import flags

    from primrosescale.console.exit_codes import ExitCode


class Command(ABC):
    """A subcommand of ``primrosescale``."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the name of the command."""

    @property
    @abstractmethod
    def summary(self) -> str:
        """Return a one-line summary."""

    @property
    @abstractmethod
    def example(self) -> str:
        """Return an example of its use."""

    @property
    def arguments(self) -> str:
        """Return the synopsis of its positional arguments."""
        return ""

    def define(self, values: flags.FlagValues) -> None:  # noqa: B027 - most have none
        """Define the flags of the command.

        Parameters
        ----------
        values : flags.FlagValues
            Set to which the flags are added.
        """

    @abstractmethod
    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Run the command.

        Parameters
        ----------
        values : flags.FlagValues
            Parsed flags.
        args : list[str]
            Positional arguments.

        Returns
        -------
        ExitCode
            Exit code.
        """

    def help(self, values: flags.FlagValues) -> str:
        """Return the text that ``--help`` prints.

        Parameters
        ----------
        values : flags.FlagValues
            Flags of the command.

        Returns
        -------
        str
            Summary, usage, example and flags.
        """
        usage = f"primrosescale {self.name} [flags] {self.arguments}".rstrip()
        lines = [self.summary, "", f"usage: {usage}", f"example: {self.example}"]
        own = [values[name] for name in sorted(values) if name != "help"]
        if own:
            lines += ["", "flags:"]
        for flag in own:
            default = "" if flag.default in {None, ""} else f" (default {flag.default})"
            lines.append(f"  --{flag.name}: {flag.help}{default}")
        return "\n".join(lines)
