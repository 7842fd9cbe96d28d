"""Callers of an overloaded service get the same at each router of a fleet."""

from __future__ import annotations

from collections import defaultdict

from testtools import TestCase

from support.admission_fleet import AdmittingFleet
from support.router_fleet import SLOTS

# An overload of 1.3 times takes several times as long as callers wait to show.
ONSET_SECONDS = 12.0
PLAY_SECONDS = 8.0
DOMAINS = 3
# Routers and targets.
SIZES = ((4, 3), (8, 1), (27, 3))


def served_by_router(calls):
    """Return the share of calls that each router started."""
    by_router = defaultdict(list)
    for call in calls:
        by_router[call.router.name].append(call.waited is not None)
    return [sum(started) / len(started) for started in by_router.values()]


class AdmissionFleetTest(TestCase):
    def play(self, routers, targets, load, seed):
        fleet = AdmittingFleet(routers, targets, DOMAINS, seed, load)
        return fleet, fleet.play(ONSET_SECONDS, PLAY_SECONDS)

    # A router that refused at once had no more requests to show to the others than one
    # that was asked for little, and lost its share to those whose callers waited.
    def test_callers_are_served_at_each_router_alike(self):
        for routers, targets in SIZES:
            for load in (1.3, 2.0):
                _, calls = self.play(routers, targets, load, 3)
                served = served_by_router(calls)
                mean = sum(served) / len(served)
                self.assertTrue(min(served) >= 0.6 * mean, (routers, load, served))

    # Two calls more at each router were a queue of seconds in a fleet of many.
    def test_in_a_fleet_the_refused_do_not_wait_and_the_targets_are_busy(self):
        for routers, targets in SIZES:
            fleet, calls = self.play(routers, targets, 2.0, 1)
            refused = sorted(
                call.refused_after for call in calls if call.refused_after is not None
            )
            self.assertEqual(0.0, refused[int(0.95 * len(refused))])
            running = [sample.running for sample in fleet.samples]
            busy = sum(running) / len(running) / (targets * SLOTS)
            self.assertTrue(busy >= 0.9, (routers, busy))

    # As its refused callers counted as demand, a router that was asked for most of all
    # took the targets from others, whose callers had been served.
    def test_an_excess_at_one_router_is_not_taken_from_the_callers_of_others(self):
        for seed in (1, 2):
            fleet = AdmittingFleet(8, 3, DOMAINS, seed, 3.5)
            # One router is asked for six sevenths of all.
            fleet.weight = lambda router, _: 48 / 7 if router.number == 0 else 8 / 49
            calls = fleet.play(6.0, 4.0)
            others = fleet.routers[1:]
            for router in others:
                own = [call for call in calls if call.router is router]
                served = sum(call.waited is not None for call in own) / len(own)
                self.assertTrue(served >= 0.95, (seed, router.name, served))
            running = [sample.running for sample in fleet.samples]
            busy = sum(running) / len(running) / (3 * SLOTS)
            self.assertTrue(busy >= 0.95, (seed, busy))
