"""Measures routers of which one gets most new connections and part of a processor.

Several router processes run before the soak's targets. Callers open a connection for
each request. After some seconds nine in ten new connections go to the first router,
whose process is stopped for most of each tenth of a second. Printed is the share of
requests served at the first router that read them, before and from 3 s after that.

    python benchmarks/concentrated_connections.py --share 0.05 --routers 8
"""

from __future__ import annotations

import argparse
import os
import random
import signal
import sys
import tempfile
import threading
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "src"), str(ROOT / "tests")]

from twisted.internet import reactor  # noqa: E402
from twisted.internet.defer import inlineCallbacks  # noqa: E402
from twisted.internet.endpoints import TCP4ClientEndpoint  # noqa: E402
from twisted.internet.endpoints import connectProtocol  # noqa: E402
from twisted.internet.task import deferLater  # noqa: E402

from primrosescale.platform import http_codec as names  # noqa: E402
from soak.fleet import CALLERS_PORT  # noqa: E402
from soak.soak import Soak  # noqa: E402
from support.entry_site import Caller  # noqa: E402

USUAL_SECONDS = 5.0
CONCENTRATED_SECONDS = 10.0
CONTACT_SECONDS = 3.0
ANSWER_SECONDS = 1.6
CONCENTRATED_SHARE = 0.9
MODEL_SHARE = 1 / 3
ATTEMPTS = 3
STOP_INTERVAL_SECONDS = 0.1
KEY = b"harm"
OK = b"HTTP/1.1 200"
LAST_CHUNK = b"0\r\n\r\n"


class Callers:
    """Callers that open a connection for each request.

    Parameters
    ----------
    routers : list
        Router processes; the first gets most connections once `is_concentrated`.
    rate : float
        Requests per second.
    """

    def __init__(self, routers, rate):
        self._routers = routers
        self._rate = rate
        self._rng = random.Random(5)
        self._asked = 0
        self.is_concentrated = False
        self.is_running = True
        # When each request came, its path, whether it was served, and attempts before.
        self.results = []

    def run(self):
        """Send requests until stopped."""
        if self.is_running:
            reactor.callLater(self._rng.expovariate(self._rate), self.run)
            self._ask()

    @inlineCallbacks
    def _ask(self):
        came_at = reactor.seconds()
        self._asked += 1
        name = b"c%d" % self._asked
        path = b"/draft/x" if self._rng.random() < MODEL_SHARE else b"/plain/x"
        for attempt in range(ATTEMPTS):
            data, is_late = yield self._try(path, b"%b-%d" % (name, attempt), attempt)
            if data or is_late:
                is_whole = data.endswith(LAST_CHUNK) or b"Content-Length" in data
                is_served = data.startswith(OK) and is_whole and not is_late
                self.results.append((came_at, path, is_served, attempt))
                return
        self.results.append((came_at, path, False, ATTEMPTS))

    @inlineCallbacks
    def _try(self, path, name, attempt):
        """Send one attempt; return the answer, and whether none came in time."""
        first, *others = self._routers
        router = self._rng.choice(others if attempt else self._routers)
        if not attempt and self.is_concentrated:
            router = first if self._rng.random() < CONCENTRATED_SHARE else router
        endpoint = TCP4ClientEndpoint(reactor, router.address, CALLERS_PORT, 1)
        try:
            caller = yield connectProtocol(endpoint, Caller())
        except Exception:  # noqa: BLE001 - it tries another router
            return b"", False
        caller.transport.write(
            b"POST %b HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n"
            b"%b: %b\r\n%b: 1500\r\n%b: Bearer %b\r\nContent-Length: 1\r\n\r\nx"
            % (path, names.REQUEST_ID, name, names.TIME_LEFT, names.AUTHORIZATION, KEY)
        )
        late = reactor.callLater(ANSWER_SECONDS, caller.transport.abortConnection)
        yield caller.until(lambda c: c.is_closed)
        if late.active():
            late.cancel()
            return caller.data, False
        return caller.data, True

    def report(self, since, until):
        """Return the share of requests served, and of those not read at first."""
        found = [each for each in self.results if since <= each[0] < until]
        lines = []
        for path in (b"/plain/x", b"/draft/x"):
            of_path = [each for each in found if each[1] == path]
            served = sum(each[2] for each in of_path) / max(1, len(of_path))
            unread = sum(each[3] > 0 for each in of_path) / max(1, len(of_path))
            lines.append(f"{path.decode()} {served:.3f} served, {unread:.3f} unread")
        return "; ".join(lines)


def throttle(process_id, share, is_over):
    """Let a process run for a share of the time until an event is set."""
    while not is_over.is_set():
        os.kill(process_id, signal.SIGCONT)
        time.sleep(STOP_INTERVAL_SECONDS * share)
        os.kill(process_id, signal.SIGSTOP)
        time.sleep(STOP_INTERVAL_SECONDS * (1 - share))
    os.kill(process_id, signal.SIGCONT)


@inlineCallbacks
def measure(soak, share, rate):
    """Run callers before all routers, then mostly before the first one."""
    soak._operator.write(soak._rng)
    soak._fleet.start()
    yield soak._wait_until_ready()
    callers = Callers(soak._fleet.routers, rate)
    callers.run()
    yield deferLater(reactor, USUAL_SECONDS, lambda: None)
    began = reactor.seconds()
    is_over = threading.Event()
    process_id = soak._fleet.routers[0]._process.pid
    thread = threading.Thread(target=throttle, args=(process_id, share, is_over))
    thread.start()
    callers.is_concentrated = True
    yield deferLater(reactor, CONCENTRATED_SECONDS, lambda: None)
    ended = reactor.seconds()
    callers.is_running = False
    is_over.set()
    thread.join()
    yield deferLater(reactor, ANSWER_SECONDS + 0.5, lambda: None)
    sys.stdout.write(f"before: {callers.report(0, began)}\n")
    sys.stdout.write(f"after: {callers.report(began + CONTACT_SECONDS, ended)}\n")


def main():
    """Parse the arguments and run the measurement."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--share", type=float, default=0.05)
    parser.add_argument("--routers", type=int, default=8)
    parser.add_argument("--rate", type=float, default=80.0)
    arguments = parser.parse_args()
    soak = Soak(1, arguments.routers, 0, Path(tempfile.mkdtemp(prefix="routers-")))

    def stop(_):
        soak.stop()
        reactor.stop()

    reactor.callWhenRunning(
        lambda: (
            measure(soak, arguments.share, arguments.rate)
            .addErrback(lambda failure: sys.stdout.write(f"{failure}\n"))
            .addBoth(stop)
        )
    )
    reactor.run()


if __name__ == "__main__":
    main()
