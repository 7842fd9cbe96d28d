"""Starting the router's program, with settings that cannot be used."""

from __future__ import annotations

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from testtools import TestCase

from support.ports import free_ports

LOOPBACK = "127.0.0.1"
# Runs the program and sends it a signal whenever it loads anything but itself.
SIGNALS_AT_EACH_IMPORT = """
import os, runpy, signal, sys
import __future__

class Finder:
    def find_spec(self, name, path=None, target=None):
        if name.rpartition(".")[2] not in {"primrosescale", "platform", "__main__"}:
            os.kill(os.getpid(), signal.SIGHUP)

sys.meta_path.insert(0, Finder())
runpy.run_module("primrosescale.platform", run_name="__main__")
"""
PATIENCE = 60.0


class StartTest(TestCase):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.boot = Path(folder.name) / "node.json"
        taken = socket.create_server((LOOPBACK, 0))
        self.addCleanup(taken.close)
        self.taken = taken.getsockname()[1]
        self.free, self.also_free = free_ports(2)

    def write(self, callers, readiness):
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

    def start_program(self):
        child = subprocess.Popen(
            [sys.executable, "-m", "primrosescale.platform"],
            env={**os.environ, "PRIMROSESCALE_BOOT": str(self.boot)},
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(child.wait)
        self.addCleanup(child.kill)
        return child

    def run_with_signals(self):
        """Run it with signals that come before all that it loads."""
        return subprocess.run(
            [sys.executable, "-c", SIGNALS_AT_EACH_IMPORT],
            env={**os.environ, "PRIMROSESCALE_BOOT": str(self.boot)},
            capture_output=True,
            text=True,
            timeout=PATIENCE,
            check=False,
        )

    def run_program(self):
        child = self.start_program()
        _, child.said = child.communicate(timeout=PATIENCE)
        return child

    def wait_for_port(self, port):
        until = time.monotonic() + PATIENCE
        while time.monotonic() < until:
            with contextlib.suppress(ConnectionRefusedError):
                return socket.create_connection((LOOPBACK, port), 1.0)
            time.sleep(0.002)
        raise AssertionError("it does not listen")

    def test_a_taken_port_ends_it_with_a_line_that_names_it(self):
        for callers, readiness in ((self.taken, self.free), (0, self.taken)):
            self.write(callers or self.free, readiness)
            done = self.run_program()
            self.assertEqual(1, done.returncode, done.said)
            self.assertIn("cannot start", done.said)
            self.assertNotIn("Traceback", done.said)

    def test_a_settings_file_that_cannot_be_used_ends_it_with_the_reason(self):
        self.boot.write_text("{}")
        done = self.run_program()
        self.assertEqual(os.EX_CONFIG, done.returncode, done.said)
        self.assertIn(str(self.boot), done.said)

    def test_signals_that_come_before_anything_is_loaded_are_not_its_end(self):
        self.boot.write_text("{}")
        done = self.run_with_signals()
        self.assertEqual(os.EX_CONFIG, done.returncode, done.stderr)

    def test_signals_that_come_while_it_is_loaded_are_not_its_end(self):
        self.write(self.free, self.also_free)
        child = self.start_program()
        self.addCleanup(self.wait_for_port(self.free).close)
        child.send_signal(signal.SIGHUP)
        child.send_signal(signal.SIGTERM)
        said, _ = child.communicate(timeout=PATIENCE)
        self.assertEqual(0, child.returncode)
        self.assertIn("process_stopped", said)
