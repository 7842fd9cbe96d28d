"""Exceptions of the request package."""

from __future__ import annotations

from primrosescale.exceptions import PrimrosescaleError


class RequestError(PrimrosescaleError):
    """Base class of the exceptions of this package."""


class AnswerCutError(RequestError):
    """An answer was truncated, belongs to another request, or was altered."""

    def __init__(self, detail: str) -> None:
        super().__init__(
            f"answer is not whole: {detail}",
            "ask again; a repeat of an idempotent request is safe",
        )
