"""Starting the router's program: invalid settings, ports in use, early signals."""

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
# Runs the program and sends it SIGHUP at each import of a module outside its package.
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
        used = socket.create_server((LOOPBACK, 0))
        self.addCleanup(used.close)
        self.used = used.getsockname()[1]
        self.free_port, self.other_free_port = free_ports(2)

    def write(self, callers, readiness):
        fields = {
            "node_name": "r1",
            "ip": LOOPBACK,
            "zone": "a",
            "listen": {
                "front": f"{LOOPBACK}:{callers}",
                "ready": f"{LOOPBACK}:{readiness}",
            },
            "internal_ports": [self.free_port, self.free_port + 15],
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
        """Run the program with a signal before each of its imports."""
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
        _, child.output = child.communicate(timeout=TIMEOUT_SECONDS)
        return child

    def wait_for_port(self, port):
        until = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < until:
            with contextlib.suppress(ConnectionRefusedError):
                return socket.create_connection((LOOPBACK, port), 1.0)
            time.sleep(0.002)
        raise AssertionError("the router does not listen on the port")

    def test_a_port_in_use_ends_it_with_one_line(self):
        for callers, readiness in ((self.used, self.free_port), (0, self.used)):
            self.write(callers or self.free_port, readiness)
            done = self.run_program()
            self.assertEqual(1, done.returncode, done.output)
            self.assertIn("cannot start", done.output)
            self.assertNotIn("Traceback", done.output)

    def test_a_settings_file_that_cannot_be_used_ends_it_with_the_reason(self):
        self.boot.write_text("{}")
        done = self.run_program()
        self.assertEqual(os.EX_CONFIG, done.returncode, done.output)
        self.assertIn(str(self.boot), done.output)

    def test_signals_before_any_import_do_not_end_it(self):
        self.boot.write_text("{}")
        done = self.run_with_signals()
        self.assertEqual(os.EX_CONFIG, done.returncode, done.stderr)

    def test_signals_during_imports_do_not_end_it(self):
        self.write(self.free_port, self.other_free_port)
        child = self.start_program()
        self.addCleanup(self.wait_for_port(self.free_port).close)
        child.send_signal(signal.SIGHUP)
        child.send_signal(signal.SIGTERM)
        output, _ = child.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(0, child.returncode)
        self.assertIn("process_stopped", output)

    # Guards against dependencies that are found only through the site module. Importing
    # it takes half of the time in which a signal ends a starting process.
    def test_it_runs_without_the_site_module_as_deployed(self):
        run = tomllib.loads(SYSTEM.read_text())["roles"]["router"]["run"].split()
        options = run[1 : run.index("-m")]
        self.assertIn("-S", options)
        self.write(self.free_port, self.other_free_port)
        child = self.start_program(options)
        self.addCleanup(self.wait_for_port(self.other_free_port).close)
        child.send_signal(signal.SIGTERM)
        output, _ = child.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(0, child.returncode)
        self.assertIn("process_stopped", output)

    # Guards against a router that ends on SIGHUP while the interpreter starts, although
    # its parent process has the signal ignored, as operators are advised to do.
    def test_reloads_during_interpreter_start_do_not_end_it_when_ignored(self):
        self.write(self.free_port, self.other_free_port)
        child = self.start_program(preexec_fn=ignore_reloads)
        until = time.monotonic() + TIMEOUT_SECONDS
        while not is_open(self.other_free_port) and time.monotonic() < until:
            child.send_signal(signal.SIGHUP)
            time.sleep(0.001)
        self.assertIsNone(child.poll())
        child.send_signal(signal.SIGTERM)
        output, _ = child.communicate(timeout=TIMEOUT_SECONDS)
        self.assertEqual(0, child.returncode)
        self.assertIn("process_stopped", output)
