"""Formats failures of Twisted's HTTP client by their underlying causes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.python.failure import Failure


def failure_text(error: BaseException | Failure) -> str:
    """Return the type names and messages of the causes of a failure.

    Parameters
    ----------
    error : BaseException | Failure
        The failure; Twisted's client may wrap several causes in one failure.

    Returns
    -------
    str
        Types and messages of the causes, separated by "; ".
    """
    value = getattr(error, "value", error)
    reasons = getattr(value, "reasons", None)
    if reasons:
        return "; ".join(failure_text(reason) for reason in reasons)
    message = str(value).rstrip(".")
    name = type(value).__name__
    return f"{name}: {message}" if message else name
