"""Tests of the tools that sum up plays."""

from __future__ import annotations

import subprocess
import sys
import tempfile
from pathlib import Path
from xml.etree import ElementTree as ET

from testtools import TestCase

TOOL = Path(__file__).resolve().parent.parent / "tools/plot_day.py"
REPORT = """{"G": 0.5, "events": [{"at_s": 1, "to_s": 3, "kind": "hup"}], "windows": [
  {"name": "0", "worth": 1.0, "refused": 0, "failed": 0, "late": 0},
  {"name": "2", "worth": 0.5, "refused": 1, "failed": 4, "late": 3}]}"""


class PlotTest(TestCase):
    def plot(self, report):
        folder = Path(self.folder())
        (folder / "report.json").write_text(report)
        words = [sys.executable, TOOL, folder / "report.json", "a < b"]
        done = subprocess.run(
            [*map(str, words), str(folder / "plot.svg")],
            capture_output=True,
            text=True,
            check=False,
        )
        return done, folder / "plot.svg"

    def folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return folder.name

    def test_a_day_is_drawn_with_its_worth_bars_and_troubles(self):
        done, plot = self.plot(REPORT)
        self.assertEqual(0, done.returncode, done.stderr)
        root = ET.fromstring(plot.read_text())
        texts = [item.text for item in root.findall(".//{*}text")]
        self.assertIn("a < b: worth 0.500", texts)
        self.assertIn("hup", texts)
        failed = [x for x in root.findall(".//{*}rect") if x.get("fill") == "#c22"]
        self.assertEqual(["0.0", "40.0"], [x.get("height") for x in failed])

    def test_a_report_without_windows_is_an_error_that_names_it(self):
        done, plot = self.plot('{"G": 0, "events": [], "windows": []}')
        self.assertEqual(2, done.returncode)
        self.assertIn("report.json holds no windows", done.stderr)
        self.assertFalse(plot.exists())
