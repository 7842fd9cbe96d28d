"""Interface to the capacity of a service's targets, as one router sees it."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Allowance:
    """How many requests of a service this router may have at its targets.

    Parameters
    ----------
    requests : int
        The number, rounded at random so that the sum over all routers equals the
        capacity on average, and those that it has at targets that are leaving.
    mean : float
        The number before rounding.
    capacity : float
        Requests that all routers together should have at the targets.
    demand : float
        Requests at the targets and waiting, and refused callers that are to return, of
        all routers.
    """

    requests: int
    mean: float
    capacity: float
    demand: float


class CapacityView(ABC):
    """The capacity of services, and this router's share of it."""

    @abstractmethod
    def is_in_force(self, service: str) -> bool:
        """Return whether overload control is in force for a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            Whether its requests may have to wait.
        """

    @abstractmethod
    def allowance(
        self, service: str, waiting: int, now: float, returning: int = 0
    ) -> Allowance | None:
        """Return how many requests this router may have at a service's targets.

        Parameters
        ----------
        service : str
            Name of the service.
        waiting : int
            Requests for it that wait in this router, including one that arrives now.
        now : float
            Current time in seconds.
        returning : int
            Callers that this router has refused and that are still to return.

        Returns
        -------
        Allowance | None
            None while the targets can take all that is demanded.
        """

    @abstractmethod
    def answer_time(self, service: str) -> float | None:
        """Return for how long a request occupies its place at a target.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float | None
            Mean time in seconds; None if no answer has been observed yet.
        """
