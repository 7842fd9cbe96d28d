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
import tomllib
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
TIMEOUT_SECONDS = 60.0
SYSTEM = Path(__file__).resolve().parents[2] / "deploy/system.toml"


def ignore_reloads():
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def is_open(port):
    with contextlib.suppress(OSError), socket.create_connection((LOOPBACK, port), 1.0):
        return True
    return False


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

    def start_program(self, options=(), **more):
        child = subprocess.Popen(
            [sys.executable, *options, "-m", "primrosescale.platform"],
            env={
                **os.environ,
                "PRIMROSESCALE_BOOT": str(self.boot),
                "PYTHONPATH": os.pathsep.join(sys.path),
            },
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
            text=True,
            **more,
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
            timeout=TIMEOUT_SECONDS,
            check=False,
        )

    def run_program(self):
        child = self.start_program()
        _, child.said = child.communicate(timeout=TIMEOUT_SECONDS)
        return child

    def wait_for_port(self, port):
        until = time.monotonic() + TIMEOUT_SECONDS
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
        said, _ = child.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(0, child.returncode)
        self.assertIn("process_stopped", said)

    # Guards against libraries that are found only by way of the site module, which
    # takes half of the time in which a signal ends a starting process.
    def test_it_runs_without_the_site_module_as_deployed(self):
        run = tomllib.loads(SYSTEM.read_text())["roles"]["router"]["run"].split()
        options = run[1 : run.index("-m")]
        self.assertIn("-S", options)
        self.write(self.free, self.also_free)
        child = self.start_program(options)
        self.addCleanup(self.wait_for_port(self.also_free).close)
        child.send_signal(signal.SIGTERM)
        said, _ = child.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(0, child.returncode)
        self.assertIn("process_stopped", said)

    # Guards against the end of a router that is told to reload while the interpreter
    # starts, where whatever starts it has the signal ignored, as operators are told.
    def test_reloads_from_the_first_moment_are_not_its_end_where_they_are_ignored(self):
        self.write(self.free, self.also_free)
        child = self.start_program(preexec_fn=ignore_reloads)
        until = time.monotonic() + TIMEOUT_SECONDS
        while not is_open(self.also_free) and time.monotonic() < until:
            child.send_signal(signal.SIGHUP)
            time.sleep(0.001)
        self.assertIsNone(child.poll())
        child.send_signal(signal.SIGTERM)
        said, _ = child.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(0, child.returncode)
        self.assertIn("process_stopped", said)
