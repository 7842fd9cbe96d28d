"""What every command is."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from absl import flags

    from primrosescale.console.exit_codes import ExitCode


class Command(ABC):
    """One command of ``primrosescale``."""

    @property
    @abstractmethod
    def name(self) -> str:
        """Return the word that calls it."""

    @property
    @abstractmethod
    def summary(self) -> str:
        """Return what it does, in one line."""

    @property
    @abstractmethod
    def example(self) -> str:
        """Return one line that calls it."""

    @property
    def arguments(self) -> str:
        """Return the words it takes after its flags."""
        return ""

    def define(self, values: flags.FlagValues) -> None:  # noqa: B027 - most have none
        """Define its flags.

        Parameters
        ----------
        values : flags.FlagValues
            Receives them.
        """

    @abstractmethod
    def run(self, values: flags.FlagValues, args: list[str]) -> ExitCode:
        """Do what the command is for.

        Parameters
        ----------
        values : flags.FlagValues
            Parsed flags.
        args : list[str]
            The other words.

        Returns
        -------
        ExitCode
            How it ended.
        """

    def help(self, values: flags.FlagValues) -> str:
        """Return what ``--help`` prints.

        Parameters
        ----------
        values : flags.FlagValues
            Its flags.

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
