"""Starting the router's program, with settings that cannot be used."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from testtools import TestCase

LOOPBACK = "127.0.0.1"


class StartTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.boot = Path(folder.name) / "node.json"
        taken = socket.create_server((LOOPBACK, 0))
        self.addCleanup(taken.close)
        self.taken = taken.getsockname()[1]
        with socket.create_server((LOOPBACK, 0)) as probe:
            self.free = probe.getsockname()[1]

    def run_with(self, callers, readiness):
        fields = {
            "node_name": "r1",
            "ip": LOOPBACK,
            "zone": "a",
            "listen": {
                "front": f"{LOOPBACK}:{callers}",
                "ready": f"{LOOPBACK}:{readiness}",
            },
            "internal_ports": [self.free, self.free + 15],
            "platform": {"address": f"{LOOPBACK}:9"},
        }
        self.boot.write_text(json.dumps(fields))
        return self.run_program()

    def run_program(self):
        return subprocess.run(
            [sys.executable, "-m", "primrosescale.platform"],
            env={**os.environ, "PRIMROSESCALE_BOOT": str(self.boot)},
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def test_a_taken_port_ends_it_with_a_line_that_names_it(self):
        for callers, readiness in ((self.taken, self.free), (0, self.taken)):
            done = self.run_with(callers or self.free, readiness)
            self.assertEqual(1, done.returncode, done.stderr)
            self.assertIn("cannot start", done.stderr)
            self.assertNotIn("Traceback", done.stderr)

    def test_a_settings_file_that_cannot_be_used_ends_it_with_the_reason(self):
        self.boot.write_text("{}")
        done = self.run_program()
        self.assertEqual(os.EX_CONFIG, done.returncode, done.stderr)
        self.assertIn(str(self.boot), done.stderr)
