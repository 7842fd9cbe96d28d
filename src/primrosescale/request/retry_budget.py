"""A bound on retries, as a share of recent calls."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

MAX_BUDGETS = 4096


@dataclass(frozen=True, slots=True)
class RetryBudgetSettings:
    """How many retries a router may add to its load."""

    share: float = option(
        SECONDS,
        "retries per first attempt, in the long run",
        0.1,
    )
    burst: float = option(
        SECONDS,
        "retries that may be saved up",
        20.0,
    )


class RetryBudget:
    """Tokens earned by first attempts and spent by retries.

    Parameters
    ----------
    settings : RetryBudgetSettings
        The bound.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._tokens = settings.burst

    @property
    def tokens(self) -> float:
        """Return the retries that could be spent now."""
        return self._tokens

    def earn(self) -> None:
        """Count a first attempt."""
        earned = self._tokens + self._settings.share
        self._tokens = min(self._settings.burst, earned)

    def spend(self) -> bool:
        """Take one retry from the budget.

        Returns
        -------
        bool
            False when there is none left.
        """
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class RetryBudgets:
    """A budget for each organisation, so that none spends another's.

    Parameters
    ----------
    settings : RetryBudgetSettings
        The bound of each.
    """

    def __init__(self, settings: RetryBudgetSettings) -> None:
        self._settings = settings
        self._budgets: OrderedDict[str, RetryBudget] = OrderedDict()

    def __len__(self) -> int:
        """Return how many budgets are kept."""
        return len(self._budgets)

    def of(self, organisation: str) -> RetryBudget:
        """Return an organisation's budget.

        Parameters
        ----------
        organisation : str
            Its name.

        Returns
        -------
        RetryBudget
            A full one for an organisation not seen lately.
        """
        budget = self._budgets.get(organisation)
        if budget is None:
            budget = self._budgets[organisation] = RetryBudget(self._settings)
            if len(self._budgets) > MAX_BUDGETS:
                self._budgets.popitem(last=False)
        self._budgets.move_to_end(organisation)
        return budget
