"""Retry budget: bounds retries to a share of recent first attempts."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

MAX_BUDGETS = 4096
# A router that has restarted, or evicted a budget, does not know what was spent of it.
INITIAL_RETRIES = 1.0


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """Limits on the retries that a router adds to its load."""

    share: float = option(
        SECONDS,
        "retries per first attempt in the long run",
        0.1,
    )
    burst: float = option(
        SECONDS,
        "maximum number of accumulated retries",
        20.0,
    )


class RetryBudget:
    """Token bucket filled by first attempts and emptied by retries.

    Parameters
    ----------
    settings : RetryBudgetSettings
        Limits of the budget.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._tokens = min(INITIAL_RETRIES, settings.burst)

    @property
    def tokens(self) -> float:
        """Return the number of retries available."""
        return self._tokens

    def earn(self) -> None:
        """Add the share of a retry that a first attempt earns."""
        earned = self._tokens + self._settings.share
        self._tokens = min(self._settings.burst, earned)

    def spend(self) -> bool:
        """Take one retry from the budget.

        Returns
        -------
        bool
            False when the budget is exhausted.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudgets:
    """Retry budgets by organisation, so that none uses up another's.

    The least recently used budgets are evicted.

    Parameters
    ----------
    settings : RetryBudgetSettings
        Limits of each budget.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._budgets: OrderedDict[str, RetryBudget] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of budgets."""
        return len(self._budgets)

    def of(self, organisation: str) -> RetryBudget:
        """Return the budget of an organisation.

        Parameters
        ----------
        organisation : str
            Name of the organisation.

        Returns
        -------
        RetryBudget
            Its budget; a new, full one for an organisation without a budget.
        """
        budget = self._budgets.get(organisation)
        if budget is None:
            budget = self._budgets[organisation] = RetryBudget(self._settings)
            if len(self._budgets) > MAX_BUDGETS:
                self._budgets.popitem(last=False)
        self._budgets.move_to_end(organisation)
        return budget
