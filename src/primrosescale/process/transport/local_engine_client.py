"""Interface through which an agent uses its target and sends orders to an engine."""

from __future__ import annotations

from abc import abstractmethod
from typing import TYPE_CHECKING

from primrosescale.request.attempt.local_target_client import LocalTargetClient

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred


class LocalEngineClient(LocalTargetClient):
    """A target as used by its agent, including orders to engines."""

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
        """Close idle connections.

        Returns
        -------
        Deferred[None]
            Fires when they are closed.
        """
