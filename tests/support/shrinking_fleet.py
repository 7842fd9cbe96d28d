"""Simulates a fleet of routers whose targets leave under load.

A service is scaled in at once. Targets that leave complete their requests and keep
running for some seconds; some report that they are leaving, of others only the entry
vanishes.
"""

from __future__ import annotations

from dataclasses import replace

from support.router_fleet import START
from support.router_fleet import Fleet

# Time for which a leaving target continues with the requests that it has.
LEAVING_SECONDS = 3.0
# Bound on a target's load: a multiple of the mean load, and requests on top of it.
BOUND_MULTIPLE = 2.0
BOUND_MARGIN = 3.0


class ShrinkingFleet(Fleet):
    """A fleet that counts requests to targets over the bound, by second."""

    def __init__(self, *arguments, **settings):
        super().__init__(*arguments, **settings)
        # By second: requests sent, refused, and sent over the bound.
        self.counts = {}
        self.refused = 0

    def count(self, place):
        second = int(self.clock.seconds() - START)
        row = self.counts.setdefault(second, [0, 0, 0])
        row[place] += 1

    def over_in(self, seconds):
        """Return the highest share over the bound in any such number of seconds."""
        worst = 0.0
        for first in self.counts:
            rows = [self.counts.get(first + n, (0, 0, 0)) for n in range(seconds)]
            sent, over = sum(row[0] for row in rows), sum(row[2] for row in rows)
            if over >= 20:
                worst = max(worst, over / sent)
        return worst

    def refused_share(self, first, last):
        """Return the share of requests that were refused between two seconds."""
        rows = [row for second, row in self.counts.items() if first <= second < last]
        sent, refused = sum(row[0] for row in rows), sum(row[1] for row in rows)
        return refused / max(1, sent + refused)

    def leave(self, names, *, is_reported):
        """Have targets leave; each router learns of it after a random delay."""
        for name in names:
            for router in self.routers:
                delay = 0.03 * self.rng.random()
                self.clock.callLater(
                    delay, self._take_leaving, router, name, is_reported
                )
            self.clock.callLater(LEAVING_SECONDS, self._finish_leaving, name)

    def _take_leaving(self, router, name, is_reported):
        now = self.clock.seconds()
        if is_reported:
            entry = router.targets.state(name).target
            router.targets.put(replace(entry, is_draining=True), now)
        else:
            router.targets.remove(name, now)

    def _finish_leaving(self, name):
        self.engines.pop(name)
        for router in self.routers:
            router.targets.remove(name, self.clock.seconds())

    def drop_gone_targets(self):
        """Drop targets that are gone, as routers do four times a second."""
        for router in self.routers:
            for incarnation in router.targets.forget_expired(self.clock.seconds()):
                router.parts.forget_target(incarnation)
        self.clock.callLater(0.25, self.drop_gone_targets)

    def _arrive(self, router, state, kind, wanted, source):
        engine = self.engines.get(state.target.name)
        if engine is not None:
            loads = [item.running for item in self.engines.values()]
            mean = sum(loads) / len(loads)
            self.count(0)
            if engine.running > BOUND_MULTIPLE * mean + BOUND_MARGIN:
                self.count(2)
        super()._arrive(router, state, kind, wanted, source)

    def _refuse(self):
        self.refused += 1
        self.count(1)
