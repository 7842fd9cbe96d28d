"""Harmful requests at fleets of several sizes, simulated on a virtual clock.

A request that ends each target that begins to run it must reach at most three targets
once the third one has ended and routers have had time to exchange their reports.
Requests of other callers that ran beside it must be served.
"""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import LessThan

from primrosescale.process.entry.relay_topology import StateExchangeSettings
from support.harm_fleet import HARMFUL
from support.harm_fleet import HarmFleet

PROPAGATION_SECONDS = 3.0
MAX_ENDS_BEFORE_HOLD = 3
MAX_ARRIVALS_AFTERWARDS = 3
# A larger fleet than this exchanges state through relays.
RELAYED_SETTINGS = StateExchangeSettings(most_direct=6)
PER_HUNDRED_THOUSAND = 100_000


class HarmFleetTest(TestCase):
    def fleet(self, routers, targets, rate, seed, **options):
        fleet = HarmFleet(routers, targets, rate, seed, **options)
        fleet.begin()
        fleet.run(20)
        return fleet

    def harm(self, fleet, bodies, rate):
        names = [b"%d" % number for number in range(bodies)]
        for name in names:
            fleet.send_harmful_repeatedly(name, rate)
        return names

    def check(self, fleet, names):
        for name in names:
            self.assertIn(HARMFUL + name, fleet.ends)
            more = fleet.arrivals_after(name, MAX_ENDS_BEFORE_HOLD, PROPAGATION_SECONDS)
            self.assertThat(more, LessThan(MAX_ARRIVALS_AFTERWARDS + 1))

    def test_one_request_that_comes_often(self):
        for seed in range(5):
            fleet = self.fleet(4, 5, 50.0, seed)
            self.check_after(fleet, self.harm(fleet, 1, 3.0), 40)

    def test_one_request_that_is_answered_before_its_target_ends(self):
        for seed in range(4):
            fleet = self.fleet(4, 8, 50.0, seed)
            fleet.answers_first = True
            self.check_after(fleet, self.harm(fleet, 1, 1.0), 40)

    def test_one_request_that_comes_seldom(self):
        for seed in range(5):
            fleet = self.fleet(4, 5, 30.0, seed)
            self.check_after(fleet, self.harm(fleet, 1, 0.1), 120)

    def test_many_harmful_requests_at_once(self):
        for seed in range(5):
            fleet = self.fleet(4, 12, 30.0, seed)
            self.check_after(fleet, self.harm(fleet, 20, 0.4), 60)

    def test_routers_that_hear_of_each_other_by_relays(self):
        for seed in range(2):
            fleet = self.fleet(18, 10, 50.0, seed, settings=RELAYED_SETTINGS)
            self.assertTrue(fleet.routers[0].state_exchange.is_relayed)
            self.check_after(fleet, self.harm(fleet, 2, 2.0), 30)

    def check_after(self, fleet, names, seconds):
        fleet.run(seconds)
        self.check(fleet, names)

    def test_a_router_that_starts_again_holds_it_back_within_seconds(self):
        for settings in (None, RELAYED_SETTINGS):
            fleet = self.fleet(9, 8, 20.0, 3, settings=settings)
            [name] = self.harm(fleet, 1, 2.0)
            fleet.run(20)
            for number, router in enumerate(fleet.routers):
                fleet.restart(router, 2 + number)
                fleet.run(PROPAGATION_SECONDS)
                self.assertTrue(router.requests.held(fleet.clock.seconds()))
            self.check(fleet, [name])

    def test_a_partitioned_router_holds_it_back_once_reconnected(self):
        fleet = self.fleet(4, 8, 20.0, 4)
        alone = fleet.routers[0]
        names = [router.name for router in fleet.routers[1:]]
        fleet.cuts = {(name, alone.name) for name in names}
        fleet.cuts |= {(alone.name, name) for name in names}
        self.harm(fleet, 1, 2.0)
        fleet.run(10)
        fleet.cuts.clear()
        fleet.run(PROPAGATION_SECONDS)
        self.assertTrue(alone.requests.held(fleet.clock.seconds()))

    def test_unrelated_ends_of_targets_hold_no_request_back(self):
        for seed in range(3):
            fleet = self.fleet(4, 8, 60.0, seed)
            for _ in range(40):
                up = [each for each in fleet.working.values() if each.is_up]
                if len(up) > 2:
                    fleet.end_target(fleet.rng.choice(up))
                fleet.run(0.5)
            self.assertEqual(0, fleet.refused_harmless)

    def test_few_of_those_beside_harmful_ones_are_held_back(self):
        refused = harmless = 0
        for seed in range(6):
            fleet = self.fleet(4, 8, 50.0, seed)
            self.harm(fleet, 3, 1.0)
            fleet.run(60)
            refused += fleet.refused_harmless
            harmless += fleet.harmless
        self.assertThat(refused * PER_HUNDRED_THOUSAND / harmless, LessThan(10))
