"""A fleet of routers whose targets leave while callers keep coming.

The pattern it plays: a service is scaled in at once. Targets that leave end what they
have and stay for a while; some say so, of others only the entry is gone.
"""

from __future__ import annotations

from dataclasses import replace

from support.router_fleet import START
from support.router_fleet import Fleet

# Seconds for which a target that leaves goes on with what it has.
STAYS_SECONDS = 3.0
# How targets' load may differ: the multiple of the mean and the requests above it.
BOUND_MULTIPLE = 2.0
BOUND_MARGIN = 3.0


class ShrinkingFleet(Fleet):
    """A fleet that counts what targets are sent over the bound, by second."""

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
        """Return the worst share over the bound in so many seconds on end."""
        worst = 0.0
        for first in self.counts:
            rows = [self.counts.get(first + n, (0, 0, 0)) for n in range(seconds)]
            sent, over = sum(row[0] for row in rows), sum(row[2] for row in rows)
            if over >= 20:
                worst = max(worst, over / sent)
        return worst

    def refused_share(self, first, last):
        """Return the share of callers that were refused between two seconds."""
        rows = [row for second, row in self.counts.items() if first <= second < last]
        sent, refused = sum(row[0] for row in rows), sum(row[1] for row in rows)
        return refused / max(1, sent + refused)

    def leave(self, names, *, is_told):
        """Have targets leave, which each router hears of at a time of its own."""
        for name in names:
            for router in self.routers:
                delay = 0.03 * self.rng.random()
                self.clock.callLater(delay, self._hear_leave, router, name, is_told)
            self.clock.callLater(STAYS_SECONDS, self._finish_leaving, name)

    def _hear_leave(self, router, name, is_told):
        now = self.clock.seconds()
        if is_told:
            entry = router.targets.state(name).target
            router.targets.put(replace(entry, is_draining=True), now)
        else:
            router.targets.remove(name, now)

    def _finish_leaving(self, name):
        self.engines.pop(name)
        for router in self.routers:
            router.targets.remove(name, self.clock.seconds())

    def keep_house(self):
        """Forget targets that are gone, as routers do four times a second."""
        for router in self.routers:
            for incarnation in router.targets.forget_expired(self.clock.seconds()):
                router.parts.forget_target(incarnation)
        self.clock.callLater(0.25, self.keep_house)

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
