"""The documentation agrees with the code."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

from testtools import TestCase

from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.events import Event
from primrosescale.process.metrics import Metric
from primrosescale.process.transport.problems import ALL_PROBLEMS
from primrosescale.request.attempt.forwarding_interfaces import Refusal

ROOT = Path(__file__).resolve().parent.parent
DOCS = ROOT / "docs"
SOURCE = ROOT / "src/primrosescale"


class DocsTest(TestCase):
    def test_generated_parts_are_up_to_date(self):
        found = subprocess.run(
            [sys.executable, str(ROOT / "tools/fill_docs.py"), "--check"],
            capture_output=True,
            text=True,
            check=False,
        )
        self.assertEqual(0, found.returncode, found.stderr)

    def test_every_event_is_in_the_catalogue_and_is_logged_somewhere(self):
        text = (DOCS / "events.md").read_text()
        listed = set(re.findall(r"^\| (\d+) \| (\w+) \|", text, re.MULTILINE))
        known = {(str(event.value), event.name.lower()) for event in Event}
        self.assertEqual(known, listed)
        code = "\n".join(path.read_text() for path in SOURCE.rglob("*.py"))
        for event in Event:
            self.assertIn(f"Event.{event.name}", code)

    def test_every_metric_is_in_the_catalogue_and_is_sent_somewhere(self):
        text = (DOCS / "metrics.md").read_text()
        code = "\n".join(path.read_text() for path in SOURCE.rglob("*.py"))
        for metric in Metric:
            self.assertIn(f"`{metric.value}`", text)
            self.assertIn(f"Metric.{metric.name}", code)

    def test_every_metric_of_an_entry_router_is_in_the_catalogue(self):
        text = (DOCS / "metrics.md").read_text()
        exposed = EntryMetrics().text().decode()
        for name in re.findall(r"^# TYPE primrosescale_(\w+) ", exposed, re.MULTILINE):
            if not name.endswith("_created"):
                self.assertIn(f"`{name}`", text)

    def test_every_refusal_is_explained_in_the_operations_page(self):
        text = (DOCS / "OPERATIONS.md").read_text()
        for refusal in Refusal:
            self.assertIn(refusal.name.lower(), text)

    def test_problem_types_are_distinct(self):
        kinds = [problem.kind for problem in ALL_PROBLEMS]
        self.assertEqual(len(kinds), len(set(kinds)))

    def test_links_between_pages_resolve(self):
        for page in [*DOCS.rglob("*.md"), *ROOT.glob("*.md")]:
            for link in re.findall(r"\]\(([^)#:]+)\)", page.read_text()):
                self.assertTrue((page.parent / link).exists(), f"{page}: {link}")
