"""Demand over capacity: surging and slow callers, and targets with few places."""

from __future__ import annotations

import random

from twisted.internet import reactor

from soak.callers import BodyCollector
from soak.callers import Caller

# For a tenth of the time, work on a host takes this multiple of its usual time.
SLOW_PACE = 2.5
SLOW_SECONDS = 0.35
USUAL_SECONDS = 9 * SLOW_SECONDS
# The organisation that surges to six times its usual load, and one that does not.
SURGING = "mill"
SMALL = "kiosk"
READ_PAUSE_SECONDS = 0.1
# As `REQUEST_KINDS` of the other callers.
PLAIN_KINDS = {"plain": ("GET", "portal", 1, 1.5), "once": ("POST", "portal", 1, 1.5)}
LARGE_KINDS = {"large": ("GET", "portal", 1, 6.0)}


class HostPace:
    """The pace of a host that other workloads slow down for short periods."""

    def __init__(self, rng):
        self._rng = rng
        self._is_slow = True
        self._changes_at = 0.0

    def __call__(self):
        now = reactor.seconds()
        while self._changes_at <= now:
            self._is_slow = not self._is_slow
            mean = SLOW_SECONDS if self._is_slow else USUAL_SECONDS
            since = self._changes_at or now
            self._changes_at = since + self._rng.expovariate(1 / mean)
        return SLOW_PACE if self._is_slow else 1.0


class SurgingCaller(Caller):
    """One of the callers that an organisation has in addition during its surges."""

    kinds = PLAIN_KINDS
    organisation = SURGING
    is_active = False


class UsualCaller(SurgingCaller):
    """One of the usual callers of that organisation."""

    is_active = True


class SmallCaller(UsualCaller):
    """A caller of the small organisation."""

    organisation = SMALL


class SlowCollector(BodyCollector):
    """Collects a body with a pause after each part of it."""

    def dataReceived(self, data):
        super().dataReceived(data)
        self.transport.pauseProducing()
        reactor.callLater(READ_PAUSE_SECONDS, self.transport.resumeProducing)


class SlowReader(SmallCaller):
    """A caller that reads large answers slowly."""

    kinds = LARGE_KINDS
    collector = SlowCollector


CALLERS = {SurgingCaller: 30, UsualCaller: 6, SmallCaller: 4, SlowReader: 3}


def apply(backends, seed, fleet, history):
    """Limit the targets, and return the callers of both organisations."""
    operator = backends.operator
    operator.organisations = (SURGING, SMALL)
    hosts = [HostPace(random.Random(f"host {seed} {n}")) for n in range(4)]
    for n, target in enumerate(backends.targets):
        target.limit(hosts[n % len(hosts)])
        backends.list(target)
        limited = history.limited_services
        limited[target.service] = limited.get(target.service, 0) + 1
    kinds = [kind for kind, count in CALLERS.items() for _ in range(count)]
    return [
        kind(
            f"o{n}",
            random.Random(f"organisations {seed} {n}"),
            fleet,
            history,
            operator,
        )
        for n, kind in enumerate(kinds)
    ]
