"""Checks of values that another program may have written.

They are sent on in messages with fixed ranges, so one that is out of range would make
a message fail later, and with it all that the message holds besides.
"""

from __future__ import annotations

from typing import Any

MAX_INT32 = 2**31 - 1
MAX_INT64 = 2**63 - 1
# Largest integer that every JSON implementation represents exactly (RFC 8259).
MAX_SAFE_INTEGER = 2**53 - 1
# Maximum characters of a name: those of the longest host name (RFC 1035).
MAX_NAME_LENGTH = 253


def checked_integer(value: Any, minimum: int, maximum: int) -> int:
    """Return an integer that is within a range.

    Parameters
    ----------
    value : Any
        A decoded JSON value.
    minimum : int
        Lowest value allowed.
    maximum : int
        Highest value allowed.

    Returns
    -------
    int
        The integer.

    Raises
    ------
    TypeError
        When it is of another type.
    ValueError
        When it is out of range.
    """
    # In Python a bool is an int.
    if type(value) is not int:
        raise TypeError(f"{type(value).__name__} in place of an integer")
    if not minimum <= value <= maximum:
        raise ValueError(f"integer not between {minimum} and {maximum}")
    return value


def checked_integer_text(value: Any, minimum: int, maximum: int) -> int:
    """Return an integer within a range that is written as text.

    Parameters
    ----------
    value : Any
        A decoded JSON value.
    minimum : int
        Lowest value allowed.
    maximum : int
        Highest value allowed.

    Returns
    -------
    int
        The integer.

    Raises
    ------
    TypeError
        When it is of another type.
    ValueError
        When it is no integer or out of range.
    """
    if not isinstance(value, str):
        raise TypeError(f"{type(value).__name__} in place of a text")
    return checked_integer(int(value), minimum, maximum)


def checked_text(value: Any, max_length: int = MAX_NAME_LENGTH) -> str:
    """Return a text that can be sent and logged.

    Parameters
    ----------
    value : Any
        A decoded JSON value.
    max_length : int
        Maximum number of characters.

    Returns
    -------
    str
        Printable characters; may be empty.

    Raises
    ------
    TypeError
        When it is of another type.
    ValueError
        When it is too long or not printable.
    """
    if not isinstance(value, str):
        raise TypeError(f"{type(value).__name__} in place of a text")
    if len(value) > max_length:
        raise ValueError(f"text of more than {max_length} characters")
    if not value.isprintable():
        raise ValueError("text with unprintable characters")
    return value
