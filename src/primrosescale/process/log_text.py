"""Escapes and shortens untrusted text for log lines."""

from __future__ import annotations

MAX_LOGGED_CHARACTERS = 80


def escape_for_log(text: str, longest: int = MAX_LOGGED_CHARACTERS) -> str:
    """Return an untrusted text, escaped and shortened for a log line.

    Parameters
    ----------
    text : str
        The text; it may contain any characters, unpaired surrogates included.
    longest : int
        Maximum number of characters to keep.

    Returns
    -------
    str
        ASCII text with other characters escaped; ends in ``...`` when shortened.
    """
    escaped = text[:longest].encode("unicode_escape").decode("ascii")
    is_cut = len(text) > longest or len(escaped) > longest
    return f"{escaped[:longest]}..." if is_cut else escaped
