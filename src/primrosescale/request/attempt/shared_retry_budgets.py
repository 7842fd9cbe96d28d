"""One router's shares of the retry budgets of all services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.attempt.delivery_tracker import DeliveryTracker
from primrosescale.request.attempt.retry_share import RetryShare
from primrosescale.request.attempt.shared_retry_budget import SharedRetryBudget
from primrosescale.request.attempt.tracked_target_client import TrackedTargetClient

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Clock
    from primrosescale.request.attempt.forwarding_interfaces import TargetClient
    from primrosescale.request.attempt.retry_share import SharedRetryLimits
    from primrosescale.request.attempt.shared_retry_budget import RetryUsage
    from primrosescale.request.target.target_incarnation import TargetIncarnation

# Routers that reach the store take one that is cut off from it and from them off the
# list 60 s later, and use its share.
MAX_LIST_AGE_SECONDS = 50.0


class SharedRetryBudgets:
    """Retry budgets by service.

    Parameters
    ----------
    limits : SharedRetryLimits
        The limits for all routers together, for each service.
    is_first_start : bool
        Whether the whole deployment starts for the first time.
    """

    __slots__ = ("_budgets", "_share", "_tracker")

    def __init__(
        self, limits: SharedRetryLimits, *, is_first_start: bool = False
    ) -> None:
        self._share = RetryShare(limits, is_first_start=is_first_start)
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._tracker = DeliveryTracker(self.of)

    @property
    def routers(self) -> int | None:
        """Return how many routers share the budgets; see `RetryShare.routers`."""
        return self._share.routers

    def of(self, service: str) -> SharedRetryBudget:
        """Return the budget of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        SharedRetryBudget
            The budget.
        """
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SharedRetryBudget(self._share)
        return budget

    def tracked(
        self,
        client: TargetClient,
        clock: Clock,
        on_lost: Callable[[TargetIncarnation, float], None] = lambda *_: None,
    ) -> TargetClient:
        """Return a client that tells the budgets which retries have been read.

        Parameters
        ----------
        client : TargetClient
            Sends the requests.
        clock : Clock
            Source of time.
        on_lost : Callable[[TargetIncarnation, float], None]
            Called with the target and the time when a connection is lost or refused.

        Returns
        -------
        TargetClient
            The client to send requests by.
        """
        return TrackedTargetClient(client, self._tracker, clock, on_lost)

    def configure(self, limits: SharedRetryLimits) -> None:
        """Replace the limits; what was spent counts on.

        Parameters
        ----------
        limits : SharedRetryLimits
            The limits.
        """
        self._share.configure(limits)

    def set_routers(
        self,
        count: int | None,
        now: float,
        list_age: float = 0.0,
        *,
        was_listed: bool = False,
    ) -> None:
        """Record how many routers share the budgets; see `RetryShare.set_routers`.

        Parameters
        ----------
        count : int | None
            Number of routers, including this one; None if it is not known.
        now : float
            Present time in seconds.
        list_age : float
            Time in seconds since the list of routers was last known to be current.
        was_listed : bool
            Whether this router was listed before it started.
        """
        known = None if list_age >= MAX_LIST_AGE_SECONDS else count
        self._share.set_routers(known, now, was_listed=was_listed)

    def take_usage(self, now: float) -> dict[str, RetryUsage]:
        """Return what was used of each budget; see `SharedRetryBudget.take_usage`.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        dict[str, RetryUsage]
            The usage by service.
        """
        return {name: each.take_usage(now) for name, each in self._budgets.items()}
