"""Interface through which an agent sends requests to its target."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from primrosescale.connection.wire.ttypes import Call
    from primrosescale.connection.wire.ttypes import Header
    from primrosescale.connection.wire.ttypes import Outcome


class TargetReceiver(ABC):
    """Receives a target's answer to one request.

    The last call is either `target_done` or `target_failed`, exactly once.
    """

    @abstractmethod
    def target_head(self, status: int, headers: list[Header]) -> None:
        """Receive the status and headers of the answer.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : list[Header]
            Response headers.
        """

    @abstractmethod
    def target_data(self, data: bytes) -> None:
        """Receive bytes of the answer's body.

        Parameters
        ----------
        data : bytes
            The bytes, in order.
        """

    @abstractmethod
    def target_done(self, cached_tokens: int) -> None:
        """Receive the end of a complete answer.

        Parameters
        ----------
        cached_tokens : int
            Number of prompt tokens read from the target's cache.
        """

    @abstractmethod
    def target_failed(self, outcome: Outcome, detail: str) -> None:
        """Receive a failure: there is no complete answer.

        Parameters
        ----------
        outcome : Outcome
            Whether the request may have run.
        detail : str
            Human-readable cause.
        """


class TargetRun(ABC):
    """A request in progress at a target."""

    @abstractmethod
    def cancel(self) -> None:
        """Stop the request; the receiver gets no further calls."""

    @abstractmethod
    def pause(self) -> None:
        """Pause reading the answer."""

    @abstractmethod
    def resume(self) -> None:
        """Resume reading the answer."""


class LocalTargetClient(ABC):
    """Client of an agent's target."""

    @abstractmethod
    def start(self, call: Call, receiver: TargetReceiver) -> TargetRun:
        """Send a request to the target.

        Parameters
        ----------
        call : Call
            The request.
        receiver : TargetReceiver
            Receives the answer.

        Returns
        -------
        TargetRun
            The request in progress.
        """

    @abstractmethod
    def export_cache(self, chat: str) -> Deferred[bytes]:
        """Export the KV cache of a chat from the target.

        Parameters
        ----------
        chat : str
            The chat.

        Returns
        -------
        Deferred[bytes]
            The cache; empty when the target has none for the chat.
        """

    @abstractmethod
    def import_cache(self, chat: str, data: bytes) -> Deferred[bool]:
        """Import the KV cache of a chat into the target.

        Parameters
        ----------
        chat : str
            The chat.
        data : bytes
            The cache as returned by `export_cache` of another target.

        Returns
        -------
        Deferred[bool]
            Whether the target accepted the cache.
        """
