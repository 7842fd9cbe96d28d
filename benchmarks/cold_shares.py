"""Ways to divide the rate of cold targets among routers, before the same requests.

    python benchmarks/cold_shares.py

All targets are cold. Requests come at random routers; each goes to any target that
its router may send to now, else it is turned away. Shown: the share that found a
target at once, and the most that one target got in any second. Beside it the bound by
perfect knowledge: one counter that all routers share.
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

from primrosescale.request.cold_targets import WINDOW_SECONDS
from primrosescale.request.router_shares import RouterShares

TOKENS = 10
TARGETS = 28
SECONDS = 20.0
# Requests a second for each target; as many tokens would serve exactly the last.
LOADS = (3.0, 6.0, 9.0)
FLEETS = (1, 4, 30, 68, 300)
FEW = 4


class Way(ABC):
    """Says how many requests a second a router may send to a target."""

    name = ""

    @abstractmethod
    def own(self, router, target):
        """Return this router's requests a second."""

    def counter(self, router):
        """Return by whose count the router goes: its own."""
        return router


class RingOfTokens(Way):
    """Each token belongs to one router by a ring: the way of the product."""

    name = "tokens by a ring"

    def __init__(self, routers):
        self.shares = []
        names = frozenset(f"r{n}" for n in range(routers))
        for n in range(routers):
            share = RouterShares(f"r{n}")
            share.set_routers(names, 0.0, was_listed=True)
            self.shares.append(share)

    def own(self, router, target):
        return self.shares[router].own_permits(f"m{target}", TOKENS, 100.0)


class FewRouters(Way):
    """A few routers for each target by hash, each with a whole part."""

    name = f"{FEW} routers a target"

    def __init__(self, routers):
        self.few = min(FEW, routers)
        self.owners = [
            sorted(
                range(routers), key=lambda n, t=t: random.Random(f"{n} {t}").random()
            )
            for t in range(TARGETS)
        ]

    def own(self, router, target):
        return TOKENS // self.few * (router in self.owners[target][: self.few])


class EqualParts(Way):
    """The same whole part for each router."""

    name = "equal parts"

    def __init__(self, routers):
        self.part = TOKENS // routers

    def own(self, router, target):
        return self.part


class OneCounter(Way):
    """All routers share one counter."""

    name = "perfect knowledge"

    def __init__(self, routers):
        pass

    def own(self, router, target):
        return TOKENS

    def counter(self, router):
        return 0


def play(way, routers, load, seed):
    """Return the share that found a target, and the most in a second."""
    rng = random.Random(seed)
    sent = defaultdict(deque)
    arrivals = defaultdict(list)
    now, found, asked = 0.0, 0, 0
    own = {}
    while now < SECONDS:
        now += rng.expovariate(load * TARGETS)
        router = rng.randrange(routers)
        asked += 1
        for target in rng.sample(range(TARGETS), TARGETS):
            key = (way.counter(router), target)
            if key not in own:
                own[key] = way.own(router, target)
            lately = sent[key]
            while lately and lately[0] <= now - WINDOW_SECONDS:
                lately.popleft()
            if len(lately) < own[key]:
                lately.append(now)
                arrivals[target].append(now)
                found += 1
                break
    return found / asked, max(map(most_in_a_second, arrivals.values()), default=0)


def most_in_a_second(times):
    first = most = 0
    for last, at in enumerate(times):
        while times[first] <= at - 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


def main():
    print("| routers | way | " + " | ".join(f"{x:g} a second" for x in LOADS) + " |")
    print("| --- | --- |" + " --- |" * len(LOADS))
    for routers in FLEETS:
        for way in (RingOfTokens, FewRouters, EqualParts, OneCounter):
            made = way(routers)
            cells = [play(made, routers, load, 7) for load in LOADS]
            row = " | ".join(f"{share:.3f}, {most}" for share, most in cells)
            print(f"| {routers} | {way.name} | {row} |")


if __name__ == "__main__":
    main()
