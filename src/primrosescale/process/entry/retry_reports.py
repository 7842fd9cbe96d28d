"""Logs and counts what this router used of the retry budgets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.process.events import Event

if TYPE_CHECKING:
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.request.attempt.shared_retry_budgets import SharedRetryBudgets

# A router that is killed takes what it used since its last line with it.
REPORT_INTERVAL_SECONDS = 2.0


class RetryReports:
    """Reports the use of the retry budgets while retries are sent or refused.

    Parameters
    ----------
    budgets : SharedRetryBudgets
        The budgets.
    parts : EntryDependencies
        Collaborators of the router.
    """

    def __init__(self, budgets: SharedRetryBudgets, parts: EntryDependencies) -> None:
        self._budgets = budgets
        self._log = parts.log
        self._metrics = parts.metrics
        self._next_at = 0.0

    def emit_due(self, now: float) -> None:
        """Report each service that used its budget, once an interval.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if now < self._next_at:
            return
        self._next_at = now + REPORT_INTERVAL_SECONDS
        for service, usage in self._budgets.take_usage(now).items():
            self._metrics.retries_used(service, usage)
            if usage.retries or usage.refused or usage.unread:
                self._log.emit(
                    Event.RETRIES_USED,
                    service=service,
                    requests=usage.requests,
                    retries=usage.retries,
                    refused=usage.refused,
                    unread=usage.unread,
                    assumed_read=usage.assumed_read,
                    routers=self._budgets.routers,
                )
