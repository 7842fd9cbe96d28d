"""How an agent reaches its target."""

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
    """Receives a target's answer.

    Exactly one of `target_done` and `target_failed` comes last.
    """

    @abstractmethod
    def target_head(self, status: int, headers: list[Header]) -> None:
        """Take in status and headers.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : list[Header]
            Headers.
        """

    @abstractmethod
    def target_data(self, data: bytes) -> None:
        """Take in bytes of the answer.

        Parameters
        ----------
        data : bytes
            The bytes, in order.
        """

    @abstractmethod
    def target_done(self, cached_tokens: int) -> None:
        """Take in that the answer is whole.

        Parameters
        ----------
        cached_tokens : int
            Prompt tokens that came from the target's cache.
        """

    @abstractmethod
    def target_failed(self, outcome: Outcome, detail: str) -> None:
        """Take in that there is no whole answer.

        Parameters
        ----------
        outcome : Outcome
            Whether the request may have run.
        detail : str
            Why.
        """


class TargetRun(ABC):
    """A request that a target is running."""

    @abstractmethod
    def cancel(self) -> None:
        """Tell the target to stop; nothing more is received."""

    @abstractmethod
    def pause(self) -> None:
        """Stop taking bytes of the answer for now."""

    @abstractmethod
    def resume(self) -> None:
        """Take bytes of the answer again."""


class LocalTargetClient(ABC):
    """A target as its agent sees it."""

    @abstractmethod
    def start(self, call: Call, receiver: TargetReceiver) -> TargetRun:
        """Hand a request to the target.

        Parameters
        ----------
        call : Call
            The request.
        receiver : TargetReceiver
            Receives the answer.

        Returns
        -------
        TargetRun
            The running request.
        """

    @abstractmethod
    def export_cache(self, chat: str) -> Deferred[bytes]:
        """Read a chat's KV cache out of the target.

        Parameters
        ----------
        chat : str
            The chat.

        Returns
        -------
        Deferred[bytes]
            The cache; empty when the target has none.
        """

    @abstractmethod
    def import_cache(self, chat: str, data: bytes) -> Deferred[bool]:
        """Put a chat's KV cache into the target.

        Parameters
        ----------
        chat : str
            The chat.
        data : bytes
            What another target's `export_cache` gave.

        Returns
        -------
        Deferred[bool]
            Whether the target took it.
        """
