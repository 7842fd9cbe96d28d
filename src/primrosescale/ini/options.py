"""Declared options: how a text becomes a checked value."""

from __future__ import annotations

import ipaddress
import math
from abc import ABC
from abc import abstractmethod
from dataclasses import MISSING
from dataclasses import dataclass
from dataclasses import field
from typing import Any

METADATA_KEY = "option"
TRUE_WORDS = frozenset({"yes", "true", "on", "1"})
FALSE_WORDS = frozenset({"no", "false", "off", "0"})
HIGHEST_PORT = 65535


class OptionKind(ABC):
    """A kind of value that an option may have."""

    @abstractmethod
    def parse(self, text: str) -> Any:
        """Return the value of a text.

        Parameters
        ----------
        text : str
            What stands in the file.

        Returns
        -------
        Any
            The checked value.

        Raises
        ------
        ValueError
            When the text is not of this kind.
        """

    @property
    @abstractmethod
    def expects(self) -> str:
        """Return what to write, as the end of "write ..."."""

    def show(self, value: Any) -> str:
        """Return the text of a value.

        Parameters
        ----------
        value : Any
            A value of this kind.

        Returns
        -------
        str
            What would stand in a file.
        """
        return str(value)


@dataclass(frozen=True, slots=True)
class Number(OptionKind):
    """A number within limits.

    Parameters
    ----------
    minimum : float
        Lower limit.
    maximum : float
        Upper limit.
    is_whole : bool
        Whether only whole numbers count.
    """

    minimum: float = 0.0
    maximum: float = math.inf
    is_whole: bool = False

    def parse(self, text: str) -> Any:
        """Return the number; see `OptionKind.parse`."""
        value = int(text) if self.is_whole else float(text)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(text)
        return value

    @property
    def expects(self) -> str:
        """Return the limits in words."""
        noun = "a whole number" if self.is_whole else "a number"
        if math.isinf(self.maximum):
            return f"{noun} of at least {self.minimum:g}"
        return f"{noun} from {self.minimum:g} to {self.maximum:g}"


@dataclass(frozen=True, slots=True)
class Text(OptionKind):
    """Any text, or one of some words.

    Parameters
    ----------
    words : tuple[str, ...]
        The words allowed; empty for any text.
    may_be_empty : bool
        Whether nothing is a value.
    """

    words: tuple[str, ...] = ()
    may_be_empty: bool = True

    def parse(self, text: str) -> Any:
        """Return the text; see `OptionKind.parse`."""
        value = text.strip()
        if self.words and value not in self.words:
            raise ValueError(text)
        if not value and not self.may_be_empty:
            raise ValueError(text)
        return value

    @property
    def expects(self) -> str:
        """Return the words allowed."""
        if self.words:
            return f"one of {', '.join(self.words)}"
        return "some text"


@dataclass(frozen=True, slots=True)
class Flag(OptionKind):
    """Yes or no."""

    def parse(self, text: str) -> Any:
        """Return the truth value; see `OptionKind.parse`."""
        word = text.strip().lower()
        if word in TRUE_WORDS:
            return True
        if word in FALSE_WORDS:
            return False
        raise ValueError(text)

    @property
    def expects(self) -> str:
        """Return the two words."""
        return "yes or no"

    def show(self, value: Any) -> str:
        """Return yes or no."""
        return "yes" if value else "no"


@dataclass(frozen=True, slots=True)
class Address(OptionKind):
    """An IP number."""

    def parse(self, text: str) -> Any:
        """Return the address as text; see `OptionKind.parse`."""
        return str(ipaddress.ip_address(text.strip()))

    @property
    def expects(self) -> str:
        """Return an example."""
        return "an IP number such as 10.0.0.1, not a host name"


@dataclass(frozen=True, slots=True)
class Words(OptionKind):
    """A list separated by commas or line ends.

    Parameters
    ----------
    allowed : tuple[str, ...]
        The words allowed; empty for any.
    """

    allowed: tuple[str, ...] = ()

    def parse(self, text: str) -> Any:
        """Return the words as a tuple; see `OptionKind.parse`."""
        parts = text.replace("\n", ",").split(",")
        words = tuple(part.strip() for part in parts if part.strip())
        if self.allowed and not set(words) <= set(self.allowed):
            raise ValueError(text)
        return words

    @property
    def expects(self) -> str:
        """Return the words allowed."""
        if self.allowed:
            return f"a comma-separated list of {', '.join(self.allowed)}"
        return "a comma-separated list"

    def show(self, value: Any) -> str:
        """Return the words with commas."""
        return ", ".join(value)


PORT = Number(0, HIGHEST_PORT, is_whole=True)
SECONDS = Number(0.0)
COUNT = Number(0, is_whole=True)
POSITIVE = Number(1, is_whole=True)
NAME = Text(may_be_empty=False)


@dataclass(frozen=True, slots=True)
class OptionDeclaration:
    """What is declared of an option.

    Parameters
    ----------
    kind : OptionKind
        OptionKind of its value.
    doc : str
        What it is for, with its unit.
    """

    kind: OptionKind
    doc: str


def option(kind: OptionKind, doc: str, default: Any = MISSING) -> Any:
    """Declare an option as a field of a settings class.

    Parameters
    ----------
    kind : OptionKind
        OptionKind of its value.
    doc : str
        What it is for, with its unit.
    default : Any
        Its value when it is not given; without one it must be given.

    Returns
    -------
    Any
        A dataclass field.
    """
    return field(default=default, metadata={METADATA_KEY: OptionDeclaration(kind, doc)})
