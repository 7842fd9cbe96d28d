"""Distribution of load with 68 routers and 60 engines, simulated without a network.

The load is an application that drafts contracts over long shared files, narrates meter
histories and tags complaints: 315 requests a second, spread over 68 routers in six
failure domains, so each router sees five a second. Engines run 16 requests; some are
added, some crash, and one file becomes hot. The bounds are those promised to
operators: at most one request in a hundred at an engine over twice the mean load plus
3, others' loads at most 0.5 s old, and for state updates 12 kB/s per router on the mean
and 22 kB/s on the busiest.
"""

from __future__ import annotations

from testtools import TestCase

from support.router_fleet import DESK
from support.router_fleet import PORTAL
from support.router_fleet import Fleet

ROUTERS, TARGETS, DOMAINS = 68, 60, 6
RATE = 315.0
SEED = 4
WARM_SECONDS = 3.0
COUNTED_SECONDS = 3.0
ADDED, CRASHED = 18, 6
MAX_OVER_SHARE = 0.01
MAX_AGE_SECONDS = 0.5
MEAN_BYTES, MAX_BYTES = 12_000, 22_000
# Loads are known with a delay of a third of a second, in which a tenth of them change.
MEAN_ERROR = 0.15


class LargeFleetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(ROUTERS, TARGETS, DOMAINS, RATE, SEED)
        self.fleet.begin()
        self.fleet.run(WARM_SECONDS)

    def count(self):
        self.fleet.settle()
        self.before = self.fleet.bytes_out()
        self.fleet.run(COUNTED_SECONDS)

    def random_delay(self):
        return self.fleet.rng.random() * 0.5

    def age_percentile(self):
        ages = sorted(self.fleet.ages)
        return ages[int(0.95 * len(ages))]

    def test_loads_are_known_in_time_and_within_the_bytes_allowed(self):
        self.count()
        self.assertLess(self.age_percentile(), MAX_AGE_SECONDS)
        after = self.fleet.bytes_out()
        sent = [
            (end - begin) / COUNTED_SECONDS
            for begin, end in zip(self.before, after, strict=True)
        ]
        self.assertLess(sum(sent) / ROUTERS, MEAN_BYTES)
        self.assertLess(max(sent), MAX_BYTES)

    def test_the_mean_load_that_routers_know_is_the_actual_one(self):
        self.count()
        now = self.fleet.clock.seconds()
        actual = sum(engine.running for engine in self.fleet.engines.values())
        for router in self.fleet.routers:
            estimated = sum(state.load(now) for state in router.targets.states)
            self.assertLess(abs(estimated - actual), MEAN_ERROR * actual)

    def test_added_engines_keep_the_bound(self):
        for number in range(ADDED):
            self.fleet.add_target(f"new-{number}", TARGETS + number, self.random_delay)
        self.fleet.run(1.0)
        self.count()
        self.assertLess(self.fleet.over_share, MAX_OVER_SHARE)
        self.assertLess(self.age_percentile(), MAX_AGE_SECONDS)

    def test_a_crash_of_engines_keeps_the_bound(self):
        for number in range(CRASHED):
            self.fleet.remove_target(f"target-{number}", self.random_delay)
        self.fleet.run(1.0)
        self.count()
        self.assertLess(self.fleet.over_share, MAX_OVER_SHARE)

    def test_a_hot_file_keeps_the_bound(self):
        self.fleet.hot = DESK[0]
        self.count()
        self.assertLess(self.fleet.over_share, MAX_OVER_SHARE)


class PlainRequestsTest(TestCase):
    """110 lookups of 0.09 s a second, from 68 routers to 6 targets.

    They end before other routers receive an update about them, so all routers that
    choose the best target of the last update choose the same one.
    """

    def test_they_keep_the_bound(self):
        fleet = Fleet(ROUTERS, 6, DOMAINS, 110.0, SEED, PORTAL)
        fleet.begin()
        fleet.run(2.0)
        fleet.settle()
        fleet.run(6.0)
        self.assertLess(fleet.over_share, MAX_OVER_SHARE)
