"""Harmful requests before fleets of several sizes, on a virtual clock.

The promise: a request that ends each target that begins to run it reaches no more
than three after the third end and the time in which routers hear of each other; and
requests of other callers that were beside it are served.
"""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import LessThan

from primrosescale.process.entry.relay_topology import StateExchangeSettings
from support.harm_fleet import HARMFUL
from support.harm_fleet import HarmFleet

CONTACT_SECONDS = 3.0
ENOUGH_ENDS = 3
MOST_MORE = 3
# So many routers at the most tell all others here; more go by relays.
RELAYED = StateExchangeSettings(most_direct=6)
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
            fleet.harm_again_and_again(name, rate)
        return names

    def check(self, fleet, names):
        for name in names:
            self.assertIn(HARMFUL + name, fleet.ends)
            more = fleet.sent_after(name, ENOUGH_ENDS, CONTACT_SECONDS)
            self.assertThat(more, LessThan(MOST_MORE + 1))

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

    def test_many_of_them_at_once(self):
        for seed in range(5):
            fleet = self.fleet(4, 12, 30.0, seed)
            self.check_after(fleet, self.harm(fleet, 20, 0.4), 60)

    def test_routers_that_hear_of_each_other_by_relays(self):
        for seed in range(2):
            fleet = self.fleet(18, 10, 50.0, seed, settings=RELAYED)
            self.assertTrue(fleet.routers[0].news.is_relayed)
            self.check_after(fleet, self.harm(fleet, 2, 2.0), 30)

    def check_after(self, fleet, names, seconds):
        fleet.run(seconds)
        self.check(fleet, names)

    def test_a_router_that_starts_again_holds_it_back_within_seconds(self):
        for settings in (None, RELAYED):
            fleet = self.fleet(9, 8, 20.0, 3, settings=settings)
            [name] = self.harm(fleet, 1, 2.0)
            fleet.run(20)
            for number, router in enumerate(fleet.routers):
                fleet.restart(router, 2 + number)
                fleet.run(CONTACT_SECONDS)
                self.assertTrue(router.requests.held(fleet.clock.seconds()))
            self.check(fleet, [name])

    def test_a_router_that_was_cut_off_holds_it_back_once_it_hears_others(self):
        fleet = self.fleet(4, 8, 20.0, 4)
        alone = fleet.routers[0]
        names = [router.name for router in fleet.routers[1:]]
        fleet.cuts = {(name, alone.name) for name in names}
        fleet.cuts |= {(alone.name, name) for name in names}
        self.harm(fleet, 1, 2.0)
        fleet.run(10)
        fleet.cuts.clear()
        fleet.run(CONTACT_SECONDS)
        self.assertTrue(alone.requests.held(fleet.clock.seconds()))

    def test_targets_that_end_for_reasons_of_their_own_hold_nothing_back(self):
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
