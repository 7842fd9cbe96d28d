"""A target that may also be an engine which takes orders."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from primrosescale.request.local_target_client import LocalTargetClient

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


class EnginePort(LocalTargetClient):
    """A target as its agent sees it, orders included."""

    @abstractmethod
    def order(self, body: bytes) -> Deferred[bytes]:
        """Send an order to the engine.

        Parameters
        ----------
        body : bytes
            The order in JSON.

        Returns
        -------
        Deferred[bytes]
            The engine's state in JSON; fails with `TargetError`.
        """

    @abstractmethod
    def state(self) -> Deferred[bytes]:
        """Read the engine's state.

        Returns
        -------
        Deferred[bytes]
            The state in JSON; fails with `TargetError`.
        """

    @abstractmethod
    def close(self) -> Deferred[None]:
        """Close kept connections.

        Returns
        -------
        Deferred[None]
            When they are closed.
        """
