"""Limits the number of connections to a target."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class ConnectionLimit(ABC):
    """How many connections to a target a pool may have."""

    @abstractmethod
    def allowed(self, now: float) -> int | None:
        """Return the maximum number of connections.

        Parameters
        ----------
        now : float
            Current time, in seconds.

        Returns
        -------
        int | None
            Connections that are busy, being opened or idle; None for no limit.
        """

    @abstractmethod
    def idle_closed(self) -> None:
        """Count an idle connection that was closed to stay within the limit."""

    @abstractmethod
    def connection_reset(self, connections: int, now: float) -> None:
        """Record that the target reset a connection on its first request.

        Parameters
        ----------
        connections : int
            Connections to the target that are left.
        now : float
            Current time, in seconds.
        """

    @abstractmethod
    def queue_is_long(self, now: float) -> None:
        """Record that more requests wait at the target than it can run at once.

        Parameters
        ----------
        now : float
            Current time, in seconds.
        """


class Unlimited(ConnectionLimit):
    """No limit."""

    def allowed(self, now: float) -> int | None:
        """Return None; see `ConnectionLimit.allowed`."""
        return None

    def idle_closed(self) -> None:
        """Do nothing; see `ConnectionLimit.idle_closed`."""

    def connection_reset(self, connections: int, now: float) -> None:
        """Do nothing; see `ConnectionLimit.connection_reset`."""

    def queue_is_long(self, now: float) -> None:
        """Do nothing; see `ConnectionLimit.queue_is_long`."""


UNLIMITED = Unlimited()
