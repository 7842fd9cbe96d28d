"""What a router reports of its use of the shared retry budgets."""

from __future__ import annotations

from testtools import TestCase

from entry.fakes import START
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.retry_reports import REPORT_INTERVAL_SECONDS
from primrosescale.process.entry.retry_reports import RetryReports
from primrosescale.process.events import Event
from primrosescale.request.attempt.retry_share import SharedRetryLimits
from primrosescale.request.attempt.shared_retry_budgets import SharedRetryBudgets


class Parts:
    """Collaborators that keep what is logged."""

    def __init__(self):
        self.lines = []
        self.log = self
        self.metrics = EntryMetrics()

    def emit(self, event, **fields):
        self.lines.append((event, fields))


class RetryReportsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.parts = Parts()
        self.budgets = SharedRetryBudgets(
            SharedRetryLimits(1.0, 10.0, 0.0), is_first_start=True
        )
        self.budgets.set_routers(4, START)
        self.reports = RetryReports(self.budgets, self.parts)

    # Spent and refused retries of a router that was killed could not be told apart.
    def test_each_service_that_retries_has_a_line_an_interval(self):
        for service, requests, retries in (("model", 10, 6), ("portal", 5, 0)):
            for _ in range(requests):
                self.budgets.of(service).requested(START - 1)
            for _ in range(retries):
                self.budgets.of(service).spend(START)
        self.reports.emit_due(START)
        self.reports.emit_due(START + REPORT_INTERVAL_SECONDS - 0.1)
        fields = {
            "service": "model",
            "requests": 10,
            "retries": 4,
            "refused": 2,
            "unread": 0,
            "assumed_read": 0,
            "routers": 4,
        }
        self.assertEqual([(Event.RETRIES_USED, fields)], self.parts.lines)
        self.reports.emit_due(START + REPORT_INTERVAL_SECONDS)
        self.assertEqual(0, self.parts.lines[-1][1]["refused"])
        text = self.parts.metrics.text().decode()
        self.assertIn('primrosescale_retries{service="model"} 4.0', text)
        self.assertIn('primrosescale_refused_retries_total{service="model"} 2.0', text)
