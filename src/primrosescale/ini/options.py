"""Declarations of options: how their text is parsed and validated."""

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
MAX_PORT = 65535


class OptionKind(ABC):
    """Type of an option's value: parses, validates and formats it."""

    @abstractmethod
    def parse(self, text: str) -> Any:
        """Parse and validate the text of an option.

        Parameters
        ----------
        text : str
            Text given for the option.

        Returns
        -------
        Any
            The validated value.

        Raises
        ------
        ValueError
            When the text is not a valid value of this kind.
        """

    @property
    @abstractmethod
    def expects(self) -> str:
        """Return what a valid value looks like, as the end of "write ..."."""

    def show(self, value: Any) -> str:
        """Format a value as text.

        Parameters
        ----------
        value : Any
            A value of this kind.

        Returns
        -------
        str
            The text that `parse` accepts for the value.
        """
        return str(value)


@dataclass(frozen=True, slots=True)
class Number(OptionKind):
    """A number within a range.

    Parameters
    ----------
    minimum : float
        Lowest value allowed.
    maximum : float
        Highest value allowed.
    is_integer : bool
        Whether only integers are allowed.
    """

    minimum: float = 0.0
    maximum: float = math.inf
    is_integer: bool = False

    def parse(self, text: str) -> Any:
        """Return the number; see `OptionKind.parse`."""
        value = int(text) if self.is_integer else float(text)
        if not self.minimum <= value <= self.maximum:
            raise ValueError(text)
        return value

    @property
    def expects(self) -> str:
        """Return the range as text."""
        noun = "a whole number" if self.is_integer else "a number"
        if math.isinf(self.maximum):
            return f"{noun} of at least {self.minimum:g}"
        return f"{noun} from {self.minimum:g} to {self.maximum:g}"


@dataclass(frozen=True, slots=True)
class Text(OptionKind):
    """Any text, or one of a set of texts.

    Parameters
    ----------
    allowed : tuple[str, ...]
        The texts allowed; empty for any text.
    may_be_empty : bool
        Whether an empty text is allowed.
    """

    allowed: tuple[str, ...] = ()
    may_be_empty: bool = True

    def parse(self, text: str) -> Any:
        """Return the text; see `OptionKind.parse`."""
        value = text.strip()
        if self.allowed and value not in self.allowed:
            raise ValueError(text)
        if not value and not self.may_be_empty:
            raise ValueError(text)
        return value

    @property
    def expects(self) -> str:
        """Return the texts allowed."""
        if self.allowed:
            return f"one of {', '.join(self.allowed)}"
        return "some text"


@dataclass(frozen=True, slots=True)
class Flag(OptionKind):
    """A boolean."""

    def parse(self, text: str) -> Any:
        """Return the boolean; see `OptionKind.parse`."""
        word = text.strip().lower()
        if word in TRUE_WORDS:
            return True
        if word in FALSE_WORDS:
            return False
        raise ValueError(text)

    @property
    def expects(self) -> str:
        """Return the two texts recommended."""
        return "yes or no"

    def show(self, value: Any) -> str:
        """Return yes or no."""
        return "yes" if value else "no"


@dataclass(frozen=True, slots=True)
class Address(OptionKind):
    """An IP address."""

    def parse(self, text: str) -> Any:
        """Return the address as text; see `OptionKind.parse`."""
        return str(ipaddress.ip_address(text.strip()))

    @property
    def expects(self) -> str:
        """Return the form of a valid value with an example."""
        return "an IP address such as 10.0.0.1, not a host name"


@dataclass(frozen=True, slots=True)
class StringList(OptionKind):
    """A list of texts separated by commas or line breaks.

    Parameters
    ----------
    allowed : tuple[str, ...]
        The texts allowed; empty for any.
    """

    allowed: tuple[str, ...] = ()

    def parse(self, text: str) -> Any:
        """Return the list as a tuple; see `OptionKind.parse`."""
        parts = text.replace("\n", ",").split(",")
        items = tuple(part.strip() for part in parts if part.strip())
        if self.allowed and not set(items) <= set(self.allowed):
            raise ValueError(text)
        return items

    @property
    def expects(self) -> str:
        """Return the form of the list and the texts allowed in it."""
        if self.allowed:
            return f"a comma-separated list of {', '.join(self.allowed)}"
        return "a comma-separated list"

    def show(self, value: Any) -> str:
        """Return the items separated by commas."""
        return ", ".join(value)


PORT = Number(0, MAX_PORT, is_integer=True)
SECONDS = Number(0.0)
COUNT = Number(0, is_integer=True)
POSITIVE = Number(1, is_integer=True)
NAME = Text(may_be_empty=False)


@dataclass(frozen=True, slots=True)
class OptionDeclaration:
    """Declaration of an option, kept in the metadata of its field.

    Parameters
    ----------
    kind : OptionKind
        Kind of the value.
    doc : str
        Purpose of the option, with its unit.
    """

    kind: OptionKind
    doc: str


def option(kind: OptionKind, doc: str, default: Any = MISSING) -> Any:
    """Declare an option as a field of a settings class.

    Parameters
    ----------
    kind : OptionKind
        Kind of the value.
    doc : str
        Purpose of the option, with its unit.
    default : Any
        Value when the option is not given; without a default it is required.

    Returns
    -------
    Any
        A dataclass field.
    """
    return field(default=default, metadata={METADATA_KEY: OptionDeclaration(kind, doc)})
