"""Targets that end under one part of many prompts, each play in its own way.

Routers run as processes. Requests that differ in all but one part of their prompts
reach them beside harmless requests of the same caller with the same other parts. Each
target that begins to answer the part ends; how that looks from outside is drawn from
`WAYS` by name.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater

from primrosescale.platform import http_codec as names
from soak.backends import Backends
from soak.fleet import CALLERS_PORT
from soak.fleet import Fleet
from soak.history import HarmfulContent
from soak.history import History

MODELS = 10
HARMFUL = b"harm"
# After this many ends routers know the part, once their reports had time to spread.
ENDS_UNTIL_HELD_BACK = 5
EXCHANGE_SECONDS = 3.0
MAX_LATE_ARRIVALS = 3
# Harmless requests must begin at least half as often as before, from twice the time of
# exchange on.
MIN_BEGUN_SHARE = 0.5
# Time for which harmless requests alone come at first, and then the others beside them.
CALM_SECONDS = 8.0
PLAY_SECONDS = 25.0
DEADLINE_MS = 4000
# A target that has ended is listed again after this time, where its way says no other.
RETURN_SECONDS = 2.5
ENTRY_LAPSE_SECONDS = 3.0
SILENT_RETURN_SECONDS = 5.0
MAX_START_SECONDS = 20.0
ROUTE_OF_FIRST_EVENT = b"long"


@dataclass(frozen=True, slots=True)
class Way:
    """How the end of a target looks.

    `after` is drawn between two numbers of seconds from the arrival of the request.
    """

    after: tuple[float, float]
    # Route of the requests: "draft" is not resumed, "story" is, and "long" pauses after
    # its first event.
    route: bytes = b"draft"
    # Whether the target falls silent rather than close its connections.
    is_silent: bool = False
    # Whether the next process runs under the same name and at the same address.
    is_in_place: bool = False
    # Whether callers leave at the first byte of the answer.
    caller_leaves: bool = False


WAYS = {
    "at once": Way((0.03, 0.1)),
    "whole, 0.3 s": Way((0.75, 0.85)),
    "whole, 1 s": Way((1.45, 1.55)),
    "resumed, some whole": Way((0.33, 0.34), b"story"),
    "first event, 1.6 s": Way((1.6, 1.7), ROUTE_OF_FIRST_EVENT),
    "silent": Way((0.03, 0.1), is_silent=True),
    "silent after the first event": Way(
        (1.2, 1.3), ROUTE_OF_FIRST_EVENT, is_silent=True
    ),
    "in place": Way((0.03, 0.1), is_in_place=True),
    "callers leave": Way((1.5, 1.6), ROUTE_OF_FIRST_EVENT, caller_leaves=True),
}


class _Connection(Protocol):
    """A connection of a caller that reads one answer."""

    def __init__(self, play, asked):
        self._play = play
        self._asked = asked
        self._data = b""

    def dataReceived(self, data):
        self._data += data
        if self._data.startswith(b"HTTP/1.1 200"):
            self._asked.has_begun = True
        if self._asked.leaves:
            self.transport.abortConnection()

    def connectionLost(self, reason=None):
        self._asked.status = self._data[9:12].decode()


@dataclass(slots=True)
class Asked:
    """A request of a caller and what became of it."""

    at: float
    is_harmful: bool
    leaves: bool = False
    has_begun: bool = False
    status: str = ""


class Play:
    """One play of routers, targets and callers."""

    def __init__(self, way, routers, rate, seed, folder, *, harmless=10.0, kills=False):
        self._way = way
        self._rate = rate
        self._harmless = harmless
        self._kills = kills
        self._rng = random.Random(seed)
        self.history = History()
        self.harm = HarmfulContent(ENDS_UNTIL_HELD_BACK)
        self.history.harmful_contents[HARMFUL] = self.harm
        self.asked = []
        self._backends = Backends(1, MODELS, self.history, self._rng, self._run_harmful)
        for target in self._backends.targets:
            target.script.gaps[ROUTE_OF_FIRST_EVENT] = 30.0
        self._fleet = Fleet(routers, folder, self._backends.store_port, self.history)
        self._count = 0
        self._is_over = False

    @inlineCallbacks
    def run(self):
        """Play once."""
        self._backends.operator.write(self._rng)
        self._fleet.start()
        until = reactor.seconds() + MAX_START_SECONDS
        while any(router.missed_probes for router in self._fleet.routers):
            if reactor.seconds() > until:
                raise TimeoutError("the routers did not become ready")
            yield deferLater(reactor, 0.1, lambda: None)
        self._ask_repeatedly(self._harmless, is_harmful=False)
        yield deferLater(reactor, CALM_SECONDS, lambda: None)
        self.began_at = reactor.seconds()
        self._ask_repeatedly(self._rate, is_harmful=True)
        if self._kills:
            self._kill_repeatedly()
        yield deferLater(reactor, PLAY_SECONDS, lambda: None)
        self._is_over = True

    def stop(self):
        """Stop all processes and targets."""
        self._is_over = True
        self._fleet.stop()
        self._backends.close()

    def result(self):
        """Return the figures of the play."""
        ends = sorted(self.harm.ends)
        late = 0
        known_at = None
        if len(ends) >= ENDS_UNTIL_HELD_BACK:
            known_at = ends[ENDS_UNTIL_HELD_BACK - 1] + EXCHANGE_SECONDS
            late = sum(at > known_at for _, at in self.harm.arrivals)
        since = (known_at or self.began_at) + EXCHANGE_SECONDS
        return {
            "arrivals": len(self.harm.arrivals),
            "ends": len(ends),
            "late": late,
            "began before": self._begun_share(0.0, self.began_at),
            "began after": self._begun_share(since, reactor.seconds() - 1.0),
        }

    def _begun_share(self, since, until):
        found = [
            each.has_begun
            for each in self.asked
            if not each.is_harmful and since <= each.at < until
        ]
        return round(sum(found) / max(1, len(found)), 3)

    def _ask_repeatedly(self, rate, *, is_harmful):
        if self._is_over:
            return
        reactor.callLater(
            self._rng.expovariate(rate),
            lambda: self._ask_repeatedly(rate, is_harmful=is_harmful),
        )
        self._ask(is_harmful=is_harmful)

    def _ask(self, *, is_harmful):
        self._count += 1
        asked = Asked(reactor.seconds(), is_harmful)
        asked.leaves = is_harmful and self._way.caller_leaves
        self.asked.append(asked)
        router = self._fleet.choose(self._rng)
        endpoint = TCP4ClientEndpoint(reactor, router.address, CALLERS_PORT, 1)
        connecting = connectProtocol(endpoint, _Connection(self, asked))
        request = self._request(is_harmful=is_harmful)
        connecting.addCallbacks(
            lambda connection: connection.transport.write(request), lambda _: None
        )

    def _request(self, *, is_harmful):
        parts = [b"c0:300", b"e%d:50" % self._rng.randrange(3)]
        if is_harmful:
            parts.insert(1, b"%b:200" % HARMFUL.hex().encode())
        parts.append(b"d%d:100" % self._count)
        route = self._way.route if is_harmful else b"draft"
        body = b"%b %d" % (HARMFUL if is_harmful else b"sound", self._count)
        return (
            b"POST /%b/x HTTP/1.1\r\nHost: desk.example\r\nConnection: close\r\n"
            b"%b: p%d\r\n%b: %d\r\n%b: Bearer harm\r\n%b: %b\r\n%b: 650,20\r\n"
            b"%b: m\r\nContent-Length: %d\r\n\r\n%b"
            % (
                route,
                names.REQUEST_ID,
                self._count,
                names.TIME_LEFT,
                DEADLINE_MS,
                names.AUTHORIZATION,
                names.PROMPT_PARTS,
                b",".join(parts),
                names.TOKENS,
                names.MODEL,
                len(body),
                body,
            )
        )

    def _kill_repeatedly(self):
        if self._is_over:
            return
        reactor.callLater(2.5, self._kill_repeatedly)
        self._rng.choice(self._fleet.routers).signal(9)

    def _run_harmful(self, target, harm):
        incarnation = target.script.current_incarnation
        start = target.start

        def end():
            if target.script.current_incarnation is incarnation:
                if target.start == start and not self._is_over:
                    self._end(target)

        reactor.callLater(self._rng.uniform(*self._way.after), end)

    def _end(self, target):
        self.harm.ends.append(reactor.seconds())
        name = target.name
        if self._way.is_silent:
            target.script.current_incarnation.silent_until = reactor.seconds() + 60
            reactor.callLater(ENTRY_LAPSE_SECONDS, self._remove, name)
            reactor.callLater(SILENT_RETURN_SECONDS, self._return_moved, target)
            return
        if self._way.is_in_place:
            self._backends.restart(target, moves=False)
        else:
            self._backends.replace(target, moves=True)
            reactor.callLater(ENTRY_LAPSE_SECONDS, self._remove, name)
        reactor.callLater(RETURN_SECONDS, self._list, target, target.start)

    def _remove(self, name):
        if not self._is_over:
            self._backends.store.remove("servers", name)

    def _return_moved(self, target):
        if not self._is_over:
            self._backends.replace(target, moves=True)
            self._backends.list(target)

    def _list(self, target, start):
        if not self._is_over and (self._way.is_in_place or target.start == start):
            self._backends.list(target)


def main():
    """Play once by hand and print the figures; exit with 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--way", choices=WAYS, required=True)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--rate", type=float, default=3.0)
    parser.add_argument("--harmless", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kills", action="store_true")
    parser.add_argument("--folder", default="")
    arguments = parser.parse_args()
    folder = arguments.folder or tempfile.mkdtemp()
    Path(folder).mkdir(parents=True, exist_ok=True)
    play = Play(
        WAYS[arguments.way],
        arguments.routers,
        arguments.rate,
        arguments.seed,
        folder,
        harmless=arguments.harmless,
        kills=arguments.kills,
    )
    failures = []

    def ended(failure=None):
        if failure is not None:
            failures.append(failure)
        reactor.stop()

    reactor.callWhenRunning(lambda: play.run().addCallbacks(lambda _: ended(), ended))
    try:
        reactor.run()
    finally:
        play.stop()
    if failures:
        sys.stderr.write(failures[0].getTraceback())
        raise SystemExit(2)
    result = play.result()
    sys.stdout.write(json.dumps({"way": arguments.way, **result}) + "\n")
    is_late = result["late"] > MAX_LATE_ARRIVALS
    is_low = result["began after"] < MIN_BEGUN_SHARE * result["began before"]
    raise SystemExit(int(is_late or is_low))


if __name__ == "__main__":
    main()
