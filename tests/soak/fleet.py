"""The routers under test as processes, and a stand-in for the load balancer."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
from pathlib import Path

from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.task import LoopingCall

from soak.fault_proxy import FaultProxy

ROUTER_COMMAND = [sys.executable, "-S", "-OO", "-m", "primrosescale.platform"]
CALLERS_PORT = 8227
READY_PORT = 8220
LINKS_PORT = 7340
# The balancer probes each router at this interval; a router that misses two probes
# in a row gets no new connections.
PROBE_INTERVAL_SECONDS = 0.5
MAX_MISSED_PROBES = 2
RESTART_DELAY_SECONDS = 0.4
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 8,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 30,
    "cap_x": 2,
    "evac_ms": 5000,
    "cold_over": 1.5,
    "cold_slack": 5,
}


def router_address(number):
    """Return a loopback address for one router that no other run uses.

    Addresses with fixed ports are used because a port chosen by the system may be
    taken by another process while the router is restarted.
    """
    run = os.getpid()
    return f"127.{10 + (run >> 8) % 200}.{run % 256}.{number + 1}"


class _ReadinessProbe(Protocol):
    """Probes the readiness of one router."""

    def __init__(self, report):
        self._report = report
        self._data = b""

    def connectionMade(self):
        self.transport.write(b"GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n")
        reactor.callLater(PROBE_INTERVAL_SECONDS, self.transport.abortConnection)

    def dataReceived(self, data):
        self._data += data
        self._report(self._data.startswith(b"HTTP/1.1 200"))
        self.transport.loseConnection()


class RouterProcess:
    """One router process with its settings file, log and link to the store."""

    def __init__(self, number, folder, store_port, history):
        self.name = name = f"r{number}"
        self.address = router_address(number)
        self.process_number = 0
        self.arguments = []
        self.missed_probes = 0
        self.is_paused = False
        self.is_stopping = False
        self._accepted_connections = False
        self.store = FaultProxy(store_port)
        self._settings_path = folder / f"{name}.json"
        self._log = (folder / f"{name}.log").open("ab")
        self._history = history
        self._process = None
        self._should_run = False
        self._is_first = True
        self.write_settings()

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    @property
    def pid(self):
        return self._process.pid

    def write_settings(self, memory=300, descriptors=4096):
        """Write the settings file as the platform does."""
        fields = {
            "node_name": self.name,
            "ip": self.address,
            "zone": "a",
            "region": "r",
            "listen": {
                "front": f"{self.address}:{CALLERS_PORT}",
                "ready": f"{self.address}:{READY_PORT}",
            },
            "internal_ports": [LINKS_PORT, LINKS_PORT + 15],
            "bootstrap": self._is_first,
            "limits": {"memory_mb": memory, "max_fds": descriptors},
            "bounds": BOUNDS,
            "platform": {"address": f"127.0.0.1:{self.store.port}"},
        }
        self._settings_path.write_text(json.dumps(fields))

    def start(self):
        """Start the process; it is restarted whenever it ends."""
        self._should_run = True
        self._history.router_changes.append(reactor.seconds())
        self.is_stopping = self.is_paused = False
        self.process_number += 1
        self._history.process_starts[self.name, self.process_number] = reactor.seconds()
        self.missed_probes = 0
        self._process = subprocess.Popen(
            [*ROUTER_COMMAND, *self.arguments],
            env={
                **os.environ,
                "PRIMROSESCALE_BOOT": str(self._settings_path),
                "PYTHONPATH": os.pathsep.join(sys.path),
            },
            stdout=self._log,
            stderr=self._log,
        )
        self._is_first = False

    def restart_if_ended(self):
        """Restart the process if it has ended; record an unexpected exit."""
        if (
            not self._should_run
            or self._process is None
            or self._process.poll() is None
        ):
            return
        status = self._process.returncode
        expected = {-signal.SIGKILL}
        if self.is_stopping:
            expected.add(0)
        if self.is_stopping and not self._accepted_connections:
            # The interpreter was still starting and no caller was connected.
            expected.add(-signal.SIGTERM)
        if status not in expected:
            self._history.unexpected_exits.append(
                f"{self.name} ended with status {status}"
            )
        self._process = None
        self._history.router_changes.append(reactor.seconds())
        self.write_settings()
        reactor.callLater(RESTART_DELAY_SECONDS, self._start_again)

    def _start_again(self):
        if self._should_run and self._process is None:
            self.start()

    def request_stop(self):
        """Send SIGTERM as the platform does before planned work."""
        self.is_stopping = True
        with socket.socket() as probe:
            self._accepted_connections = (
                probe.connect_ex((self.address, CALLERS_PORT)) == 0
            )
        self.signal(signal.SIGTERM)

    def signal(self, number):
        """Send a signal to the process if it is running."""
        if self.is_running:
            self._process.send_signal(number)

    def kill(self):
        """Kill the process without a restart, and close its log and link."""
        self._should_run = False
        if self.is_running:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()
        self._log.close()
        return self.store.close()

    def probe_readiness(self):
        """Count a missed probe unless the router answers that it is ready."""
        self.missed_probes += 1
        endpoint = TCP4ClientEndpoint(
            reactor, self.address, READY_PORT, PROBE_INTERVAL_SECONDS
        )
        connectProtocol(endpoint, _ReadinessProbe(self._record_readiness)).addErrback(
            lambda _: None
        )

    def _record_readiness(self, is_ready):
        if is_ready:
            self.missed_probes = 0


class Fleet:
    """All routers, and the load balancer in front of them."""

    def __init__(self, count, folder, store_port, history):
        self.routers = [
            RouterProcess(n, Path(folder), store_port, history) for n in range(count)
        ]
        self._loops = []

    def start(self):
        """Start all routers, their restarts and the readiness probes."""
        for router in self.routers:
            router.start()
            for check, interval_seconds in (
                (router.restart_if_ended, 0.1),
                (router.probe_readiness, PROBE_INTERVAL_SECONDS),
            ):
                loop = LoopingCall(check)
                loop.start(interval_seconds)
                self._loops.append(loop)

    def choose(self, rng):
        """Return a random ready router for a new connection."""
        ready = [r for r in self.routers if r.missed_probes < MAX_MISSED_PROBES]
        return rng.choice(ready or self.routers)

    def stop(self):
        """Kill all router processes."""
        for loop in self._loops:
            loop.stop()
        for router in self.routers:
            router.kill()
