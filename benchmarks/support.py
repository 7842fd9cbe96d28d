"""Shared by the benchmarks: child processes, their CPU and memory, results files."""

from __future__ import annotations

import json
import os
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent
RESULTS = ROOT / "results"
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PORTS = iter(range(20_000 + os.getpid() % 5000, 32_000))
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Child:
    """A child process whose output goes to a temporary file."""

    def __init__(self, arguments, cpu=None):
        self.log = tempfile.NamedTemporaryFile("w+", suffix=".log")  # noqa: SIM115
        command = [sys.executable, *arguments]
        if cpu is not None:
            command = ["taskset", "-c", str(cpu), *command]
        self.process = subprocess.Popen(
            command,
            stdout=self.log,
            stderr=subprocess.STDOUT,
        )

    @property
    def pid(self):
        return self.process.pid

    def cpu(self):
        """Return the processor seconds used so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def memory(self):
        """Return the resident bytes."""
        return int(Path(f"/proc/{self.pid}/statm").read_text().split()[1]) * PAGE_BYTES

    def end(self, timeout=10):
        """Terminate the process, and kill it if it still runs after the time-out."""
        self.process.terminate()
        try:
            self.process.wait(timeout)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    def output(self):
        self.log.seek(0)
        return self.log.read()


def start_daemon(name, settings_path, cpu=None):
    """Start one daemon of the product."""
    arguments = ["-m", "primrosescale", name, "--settings", str(settings_path)]
    return Child(arguments, cpu)


def free_port():
    """Return a free port below the range that the system uses for outgoing ones."""
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
            return port
    raise RuntimeError("no port is free")


def wait_for(check, seconds=20.0):
    """Poll until a check returns true; connection errors count as false."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        try:
            if check():
                return
        except OSError:
            pass
        time.sleep(0.05)
    raise RuntimeError("the benchmark's processes were not ready in time")


def commit():
    """Return the commit that is measured, marked if the tree has changes."""
    found = subprocess.run(
        ["git", "describe", "--always", "--dirty"],
        capture_output=True,
        text=True,
        cwd=ROOT,
        check=False,
    )
    return found.stdout.strip() or "unknown"


def save(name, figures):
    """Write a benchmark's figures and print them."""
    RESULTS.mkdir(exist_ok=True)
    figures = {"commit": commit(), **figures}
    path = RESULTS / f"{name}.json"
    path.write_text(json.dumps(figures, indent=1, sort_keys=True) + "\n")
    print(json.dumps(figures, indent=1, sort_keys=True))


def fit(points):
    """Return base, slope and root-mean-square error of a straight line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / squared_deviations
    base = mean_y - slope * mean_x
    errors = [(y - base - slope * x) ** 2 for x, y in points]
    return {"base": base, "slope": slope, "error": (sum(errors) / count) ** 0.5}


def percentile(values, share):
    """Return the value that a share of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
