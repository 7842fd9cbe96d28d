"""Compare sending nothing or a few trials to a target during its requested pause.

    python benchmarks/rest_use.py

Requests arrive at random routers, more than the targets accept, or while all targets
reject everything for some seconds. A router sends to the available target with the
fewest of its own requests in flight. A target that is full rejects a request and
requests a pause. Policies: send nothing during the pause, as the product does, or one
or two trial requests of each router, spread over the pause, if no target is available.
Printed are the share of requests served, the share sent to a target and rejected, and
the share that the capacity of the targets would allow.
"""

from __future__ import annotations

import heapq
import itertools
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
from primrosescale.request.target.target_self_reports import TargetSelfReports

TARGETS = 4
SLOTS = 8
SERVICE_SECONDS = 0.2
PAUSE_SECONDS = 3.0
SIMULATED_SECONDS = 60.0
LOADS = (0.8, 1.2, 2.0)
ROUTER_COUNTS = (1, 4, 30)
# Seconds between which all targets reject everything, in the second table.
REJECTING_SECONDS = (20.0, 30.0)
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
    """A target that runs a limited number of requests at once and rejects others."""

    def __init__(self, rejecting):
        self.running = 0
        self._rejecting = rejecting

    def accepts(self, now):
        return (
            self.running < SLOTS and not self._rejecting[0] <= now < self._rejecting[1]
        )


class TargetView:
    """The state that one router keeps of one target."""

    def __init__(self, trials, rng):
        self.self_reports = TargetSelfReports()
        self.running = 0
        self._trials = trials
        self._rng = rng
        self._due = []

    def wait(self, now):
        return self.self_reports.wait(now)

    def is_trial_due(self, now):
        """Return whether a trial request of this pause is due."""
        return bool(self._due) and now >= self._due[0]

    def take_trial(self):
        self._due.pop(0)

    def reject(self, now):
        is_new_pause = not self.self_reports.has_requested_pause(now)
        self.self_reports.record_answer(head(503, rest=PAUSE_SECONDS), SLOTS, now)
        if is_new_pause:
            self._due = sorted(
                now + self._rng.uniform(0.5, PAUSE_SECONDS) for _ in range(self._trials)
            )

    def succeed(self, now):
        self.self_reports.record_answer(head(200), SLOTS, now)


def simulate(routers, trials, load, rejecting):
    """Return the shares of requests served and rejected by a target."""
    rng = random.Random(SEED)
    targets = [Target(rejecting) for _ in range(TARGETS)]
    views = [[TargetView(trials, rng) for _ in targets] for _ in range(routers)]
    rate = load * TARGETS * SLOTS / SERVICE_SECONDS
    order = itertools.count()
    due = [(rng.expovariate(rate), next(order), None, None)]
    requests = served = rejected = 0
    while due:
        now, _, view, target = heapq.heappop(due)
        if now >= SIMULATED_SECONDS:
            break
        if view is not None:
            target.running -= 1
            view.running -= 1
            view.succeed(now)
            served += 1
            continue
        heapq.heappush(due, (now + rng.expovariate(rate), next(order), None, None))
        requests += 1
        router_views = rng.choice(views)
        usable = [n for n in range(TARGETS) if not router_views[n].wait(now)]
        if not usable:
            usable = [n for n in range(TARGETS) if router_views[n].is_trial_due(now)]
            if not usable:
                continue
            number = rng.choice(usable)
            router_views[number].take_trial()
        else:
            number = min(usable, key=lambda n: (router_views[n].running, rng.random()))
        target, view = targets[number], router_views[number]
        view.self_reports.sent(now)
        if not target.accepts(now):
            view.reject(now)
            rejected += 1
            continue
        target.running += 1
        view.running += 1
        heapq.heappush(due, (now + SERVICE_SECONDS, next(order), view, target))
    return served / requests, rejected / requests


def main():
    for title, rejecting in (
        ("targets at their limit", (0.0, 0.0)),
        ("all targets reject everything for 10 of 60 s", REJECTING_SECONDS),
    ):
        print(title)
        print("load | routers | no, one, two trials in a pause: served (rejected)")
        for load, routers in itertools.product(LOADS, ROUTER_COUNTS):
            found = [simulate(routers, trials, load, rejecting) for trials in (0, 1, 2)]
            shown = ", ".join(
                f"{served_share:.3f} ({rejected_share:.3f})"
                for served_share, rejected_share in found
            )
            print(f"{load:4} | {routers:7} | {shown} | {min(1.0, 1 / load):.3f}")


if __name__ == "__main__":
    main()
