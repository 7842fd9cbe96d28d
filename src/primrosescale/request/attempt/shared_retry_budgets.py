"""One router's shares of the retry budgets of all services."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.attempt.shared_retry_budget import SharedRetryBudget

if TYPE_CHECKING:
    from primrosescale.request.attempt.shared_retry_budget import RetryUsage
    from primrosescale.request.attempt.shared_retry_budget import SharedRetryLimits


class SharedRetryBudgets:
    """Retry budgets by service.

    Parameters
    ----------
    bounds : SharedRetryLimits
        The limits for all routers together, for each service.
    """

    __slots__ = ("_bounds", "_budgets")

    def __init__(self, bounds: SharedRetryLimits) -> None:
        self._bounds = bounds
        self._budgets: dict[str, SharedRetryBudget] = {}

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
            budget = self._budgets[service] = SharedRetryBudget(self._bounds)
        return budget

    def configure(self, bounds: SharedRetryLimits) -> None:
        """Replace the limits.

        Parameters
        ----------
        bounds : SharedRetryLimits
            The limits.
        """
        self._bounds = bounds
        self._budgets.clear()

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
