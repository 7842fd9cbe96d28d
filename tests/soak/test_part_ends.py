"""Ends of targets under one part of many prompts, before routers as processes."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

from testtools import TestCase

PROGRAM = Path(__file__).resolve().parent / "part_ends.py"
MAX_RUN_SECONDS = 120


class PartEndsTest(TestCase):
    # Targets that ended some time after they began to answer, each under requests with
    # one part in common, gave no evidence against it.
    def test_targets_that_do_not_end_at_once(self):
        ways = ("whole, 0.3 s", "resumed, some whole", "callers leave")
        processes = {}
        for way in ways:
            processes[way] = process = subprocess.Popen(
                [sys.executable, str(PROGRAM), f"--way={way}"],
                stdout=subprocess.PIPE,
                text=True,
            )
            self.addCleanup(process.kill)
        for way, process in processes.items():
            output, _ = process.communicate(timeout=MAX_RUN_SECONDS)
            self.assertEqual(0, process.returncode, f"{way}: {output}")
