"""Compare ways of dividing the request rate of cold targets among routers.

    python benchmarks/cold_shares.py

All targets are cold. Requests arrive at random routers; a router sends each to any
target for which it has a permit left, otherwise it rejects it. Printed are the share
of requests that were sent at once and the most requests that one target received in
any second. The upper bound is one counter that all routers share. Every way gets the
same load.
"""

from __future__ import annotations

import pathlib
import random
import sys
from abc import ABC
from abc import abstractmethod
from collections import defaultdict
from collections import deque

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from primrosescale.request.capacity.cold_targets import WINDOW_SECONDS
from primrosescale.request.capacity.router_shares import RouterShares

PERMITS = 10
TARGETS = 28
SECONDS = 20.0
# Requests a second for each target. As many permits as the highest of these rates
# would be just enough for it.
REQUEST_RATES = (3.0, 6.0, 9.0)
ROUTER_COUNTS = (1, 4, 30, 68, 300)
ROUTERS_PER_TARGET = 4


class PermitDivision(ABC):
    """Decides how many requests a second a router may send to a target."""

    name = ""

    @abstractmethod
    def permits(self, router, target):
        """Return the permits of this router."""

    def counter_key(self, router):
        """Return whose requests count against the permits: the router's own."""
        return router


class HashedPermits(PermitDivision):
    """Consistent hashing assigns each permit to one router, as in the product."""

    name = "permits by consistent hashing"

    def __init__(self, routers):
        self.shares = []
        names = frozenset(f"r{n}" for n in range(routers))
        for n in range(routers):
            share = RouterShares(f"r{n}")
            share.set_routers(names, 0.0, was_listed=True)
            self.shares.append(share)

    def permits(self, router, target):
        return self.shares[router].own_permits(f"m{target}", PERMITS, 100.0)


class FixedRouters(PermitDivision):
    """Hashing picks a few routers for each target; each gets an equal whole number."""

    name = f"{ROUTERS_PER_TARGET} routers a target"

    def __init__(self, routers):
        self.routers_per_target = min(ROUTERS_PER_TARGET, routers)
        self.owners = [
            sorted(
                range(routers), key=lambda n, t=t: random.Random(f"{n} {t}").random()
            )
            for t in range(TARGETS)
        ]

    def permits(self, router, target):
        return (
            PERMITS
            // self.routers_per_target
            * (router in self.owners[target][: self.routers_per_target])
        )


class EqualPermits(PermitDivision):
    """Every router gets the same whole number of permits."""

    name = "equal permits"

    def __init__(self, routers):
        self.permits_per_router = PERMITS // routers

    def permits(self, router, target):
        return self.permits_per_router


class SharedCounter(PermitDivision):
    """All routers share one counter: the upper bound."""

    name = "one shared counter"

    def __init__(self, routers):
        pass

    def permits(self, router, target):
        return PERMITS

    def counter_key(self, router):
        return 0


def simulate(division, routers, load, seed):
    """Return the share of requests sent and the most at one target in a second."""
    rng = random.Random(seed)
    sent_times = defaultdict(deque)
    arrivals = defaultdict(list)
    now, sent_count, requests = 0.0, 0, 0
    permits = {}
    while now < SECONDS:
        now += rng.expovariate(load * TARGETS)
        router = rng.randrange(routers)
        requests += 1
        for target in rng.sample(range(TARGETS), TARGETS):
            key = (division.counter_key(router), target)
            if key not in permits:
                permits[key] = division.permits(router, target)
            recent = sent_times[key]
            while recent and recent[0] <= now - WINDOW_SECONDS:
                recent.popleft()
            if len(recent) < permits[key]:
                recent.append(now)
                arrivals[target].append(now)
                sent_count += 1
                break
    return sent_count / requests, max(
        map(max_in_one_second, arrivals.values()), default=0
    )


def max_in_one_second(times):
    first = most = 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def main():
    print(
        "| routers | division | "
        + " | ".join(f"{x:g} a second" for x in REQUEST_RATES)
        + " |"
    )
    print("| --- | --- |" + " --- |" * len(REQUEST_RATES))
    for routers in ROUTER_COUNTS:
        for kind in (HashedPermits, FixedRouters, EqualPermits, SharedCounter):
            division = kind(routers)
            cells = [simulate(division, routers, load, 7) for load in REQUEST_RATES]
            row = " | ".join(f"{share:.3f}, {peak}" for share, peak in cells)
            print(f"| {routers} | {kind.name} | {row} |")


if __name__ == "__main__":
    main()
