"""Checks whether the head of a target's answer can be used for a request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead

MIN_SUCCESS_STATUS = 200
MIN_REDIRECT_STATUS = 300
# Fault of an answer that bears another id than the request, or none.
OTHER_ANSWER = "answer of another request"


def is_success(head: AnswerHead) -> bool:
    """Return whether the status of an answer is a success.

    Parameters
    ----------
    head : AnswerHead
        Its head.

    Returns
    -------
    bool
        Whether it is a 2xx status.
    """
    return MIN_SUCCESS_STATUS <= head.status < MIN_REDIRECT_STATUS


def fault_of(head: AnswerHead, request_id: str, *, continues_stream: bool) -> str:
    """Return why an answer cannot be used for a request.

    Parameters
    ----------
    head : AnswerHead
        Its head.
    request_id : str
        Id of the request.
    continues_stream : bool
        Whether the caller already has the head of a stream.

    Returns
    -------
    str
        The reason; empty if it can be used.
    """
    if head.request_id != request_id:
        return OTHER_ANSWER
    if is_success(head):
        return "" if head.has_receipt else "no receipt"
    if continues_stream:
        return f"status {head.status} in place of the rest"
    return ""
