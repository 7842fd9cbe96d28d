"""Whether a router sends anything to a target in the rest that it has asked for.

    python benchmarks/rest_use.py

Callers come at random routers, more than the targets take, or while targets turn all
away for some seconds. A router sends to the open target that has fewest of its own
requests. A target that is full turns a request away and asks for a rest.
Ways: nothing in a rest (the way of the product), or one or two requests of each
router, spread over the rest, where no target is open. Shown: the share of callers
served, and the share that was sent to a target and turned away; beside it what
perfect knowledge serves.
"""

from __future__ import annotations

import heapq
import itertools
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from primrosescale.request.forwarding_interfaces import AnswerHead
from primrosescale.request.target_statements import TargetSelfReports

TARGETS = 4
SLOTS = 8
SERVICE_SECONDS = 0.2
REST = 3.0
SECONDS = 60.0
LOADS = (0.8, 1.2, 2.0)
FLEETS = (1, 4, 30)
# Between these seconds all targets turn all away, in the second table.
CLOSED = (20.0, 30.0)
SEED = 7


def head(status, *, rest=None):
    return AnswerHead(
        status=status,
        headers=(),
        request_id="r",
        has_receipt=True,
        is_not_run=rest is not None,
        is_other_incarnation=False,
        load=None,
        length=None,
        rest=rest,
    )


class Target:
    """A target that runs some requests at once and turns others away."""

    def __init__(self, closed):
        self.running = 0
        self._closed = closed

    def takes(self, now):
        return self.running < SLOTS and not self._closed[0] <= now < self._closed[1]


class Seen:
    """What one router knows of one target."""

    def __init__(self, uses, rng):
        self.self_reports = TargetSelfReports()
        self.running = 0
        self._uses = uses
        self._rng = rng
        self._due = []

    def wait(self, now):
        return self.self_reports.wait(now)

    def may_try(self, now):
        """Tell whether one of the requests of a rest is due."""
        return bool(self._due) and now >= self._due[0]

    def tried(self):
        self._due.pop(0)

    def declined(self, now):
        is_new = not self.self_reports.has_requested_pause(now)
        self.self_reports.take(head(503, rest=REST), SLOTS, now)
        if is_new:
            self._due = sorted(
                now + self._rng.uniform(0.5, REST) for _ in range(self._uses)
            )

    def answered(self, now):
        self.self_reports.take(head(200), SLOTS, now)


def play(routers, uses, load, closed):
    """Return the shares of callers served and turned away by a target."""
    rng = random.Random(SEED)
    targets = [Target(closed) for _ in range(TARGETS)]
    known = [[Seen(uses, rng) for _ in targets] for _ in range(routers)]
    rate = load * TARGETS * SLOTS / SERVICE_SECONDS
    order = itertools.count()
    due = [(rng.expovariate(rate), next(order), None, None)]
    callers = served = declined = 0
    while due:
        now, _, seen, target = heapq.heappop(due)
        if now >= SECONDS:
            break
        if seen is not None:
            target.running -= 1
            seen.running -= 1
            seen.answered(now)
            served += 1
            continue
        heapq.heappush(due, (now + rng.expovariate(rate), next(order), None, None))
        callers += 1
        mine = rng.choice(known)
        usable = [n for n in range(TARGETS) if not mine[n].wait(now)]
        if not usable:
            usable = [n for n in range(TARGETS) if mine[n].may_try(now)]
            if not usable:
                continue
            number = rng.choice(usable)
            mine[number].tried()
        else:
            number = min(usable, key=lambda n: (mine[n].running, rng.random()))
        target, seen = targets[number], mine[number]
        seen.self_reports.sent(now)
        if not target.takes(now):
            seen.declined(now)
            declined += 1
            continue
        target.running += 1
        seen.running += 1
        heapq.heappush(due, (now + SERVICE_SECONDS, next(order), seen, target))
    return served / callers, declined / callers


def main():
    for title, closed in (
        ("targets that are full", (0.0, 0.0)),
        ("all turn all away for 10 of 60 s", CLOSED),
    ):
        print(title)
        print("load | routers | none, one, two in a rest: served (turned away)")
        for load, routers in itertools.product(LOADS, FLEETS):
            found = [play(routers, uses, load, closed) for uses in (0, 1, 2)]
            shown = ", ".join(f"{good:.3f} ({bad:.3f})" for good, bad in found)
            print(f"{load:4} | {routers:7} | {shown} | {min(1.0, 1 / load):.3f}")


if __name__ == "__main__":
    main()
