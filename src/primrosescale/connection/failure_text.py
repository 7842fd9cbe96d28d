"""What a failure of twisted's HTTP client says, without its wrappings."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.python.failure import Failure


def failure_text(error: BaseException | Failure) -> str:
    """Return the causes of a failure, innermost first names and words.

    Parameters
    ----------
    error : BaseException | Failure
        The failure; twisted's client wraps several in one.

    Returns
    -------
    str
        Kinds and messages, with "; " between them.
    """
    value = getattr(error, "value", error)
    reasons = getattr(value, "reasons", None)
    if reasons:
        return "; ".join(failure_text(reason) for reason in reasons)
    message = str(value).rstrip(".")
    name = type(value).__name__
    return f"{name}: {message}" if message else name
