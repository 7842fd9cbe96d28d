"""Interface to the connections that requests can have to targets."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.target.serving_target import ServingTarget

# Interval at which a request that waits for a connection looks again; shorter than the
# plain answers whose ends free connections.
CONNECTION_CHECK_SECONDS = 0.025


class ConnectionCapacity(ABC):
    """Whether this router may have another connection to a target."""

    @abstractmethod
    def is_limited(self, service: str) -> bool:
        """Return whether the connections to the targets of a service are limited.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            False if `has_capacity` is true for all its targets.
        """

    @abstractmethod
    def has_capacity(self, target: ServingTarget, now: float) -> bool:
        """Return whether a request can have a connection to a target now.

        Parameters
        ----------
        target : ServingTarget
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False while all connections that this router may have are in use.
        """
