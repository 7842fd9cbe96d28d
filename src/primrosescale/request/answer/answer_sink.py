"""Interface through which a router sends the answer of a call to its caller.

It is used for calls that go through agents, see `RoutedCall`.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.wire.ttypes import Header
    from primrosescale.request.attempt.attempts import AttemptFailure


class AnswerSink(ABC):
    """Sends the answer of one call to its caller.

    Exactly one of `finish`, `refuse` and `cut` ends it, unless the caller disconnects.
    """

    @property
    @abstractmethod
    def has_begun(self) -> bool:
        """Return whether any of the answer was sent to the caller."""

    @property
    @abstractmethod
    def is_blocked(self) -> bool:
        """Return whether the caller is not reading at the moment."""

    @abstractmethod
    def head(self, status: int, headers: list[Header]) -> None:
        """Handle the status and headers of the answer.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : list[Header]
            Headers from the target.
        """

    @abstractmethod
    def data(self, data: bytes) -> None:
        """Handle bytes of the answer.

        Parameters
        ----------
        data : bytes
            The bytes, in order.
        """

    @abstractmethod
    def reset(self) -> None:
        """Discard what was received from a failed attempt."""

    @abstractmethod
    def finish(self) -> None:
        """Handle that the answer is complete."""

    @abstractmethod
    def refuse(self, failure: AttemptFailure) -> None:
        """Report to the caller that there is no answer; nothing was sent yet.

        Parameters
        ----------
        failure : AttemptFailure
            Why.
        """

    @abstractmethod
    def cut(self, failure: AttemptFailure) -> None:
        """Abort an answer that has begun, so that the caller sees it is truncated.

        Parameters
        ----------
        failure : AttemptFailure
            Why.
        """
