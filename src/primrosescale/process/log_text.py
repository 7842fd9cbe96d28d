"""Texts of others as they may stand in the log."""

from __future__ import annotations

MAX_LOGGED_CHARACTERS = 80


def escape_for_log(text: str, longest: int = MAX_LOGGED_CHARACTERS) -> str:
    """Return a text that others chose, safe and short enough for a log line.

    Parameters
    ----------
    text : str
        The text; it may hold anything, half of a character too.
    longest : int
        Characters to keep.

    Returns
    -------
    str
        ASCII; other characters are escaped, and a text that was cut says so.
    """
    escaped = text[:longest].encode("unicode_escape").decode("ascii")
    is_cut = len(text) > longest or len(escaped) > longest
    return f"{escaped[:longest]}..." if is_cut else escaped
