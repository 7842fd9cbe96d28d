"""Tests of the order of candidates, which routers compute without communicating."""

from __future__ import annotations

from collections import Counter

from testtools import TestCase

from primrosescale.connection.endpoint import Endpoint
from primrosescale.request.choice.candidates import Locality
from primrosescale.request.choice.candidates import ServiceTargets
from primrosescale.request.choice.candidates import Target
from primrosescale.request.choice.candidates import TargetRing
from primrosescale.request.choice.target_loads import TargetLoads


def target(name, domain="d1", region="r"):
    return Target(name, Endpoint("127.0.0.1", 1), "s", domain, region)


def names(targets):
    return [item.name for item in targets]


class TargetRingTest(TestCase):
    def test_the_order_does_not_depend_on_the_order_of_addition(self):
        one, other, filled = TargetRing(), TargetRing(), TargetRing()
        for number in range(20):
            one.add(f"t{number}")
            other.add(f"t{19 - number}")
        filled.fill(f"t{number}" for number in range(20))
        for key in range(50):
            self.assertEqual(one.walk(f"k{key}", 4), other.walk(f"k{key}", 4))
            self.assertEqual(one.walk(f"k{key}", 4), filled.walk(f"k{key}", 4))

    def test_candidates_are_distinct_and_as_many_as_there_are(self):
        ring = TargetRing()
        ring.fill(["a", "b", "c"])
        self.assertEqual({"a", "b", "c"}, set(ring.walk("k", 8)))
        self.assertEqual([], TargetRing().walk("k", 3))

    def test_a_target_that_leaves_moves_its_own_keys_only(self):
        ring = TargetRing()
        ring.fill(f"t{number}" for number in range(20))
        before = {key: ring.walk(f"k{key}", 1) for key in range(500)}
        ring.remove("t7")
        ring.remove("unknown")
        for key, first in before.items():
            if first != ["t7"]:
                self.assertEqual(first, ring.walk(f"k{key}", 1))

    def test_short_names_that_differ_in_a_bit_share_no_points(self):
        ring = TargetRing()
        ring.fill(f"e{number}" for number in range(10))
        self.assertEqual(len(ring._hashes), len(set(ring._hashes)))

    def test_keys_spread_over_targets(self):
        ring = TargetRing()
        ring.fill(f"t{number}" for number in range(20))
        counts = Counter(ring.walk(f"k{key}", 1)[0] for key in range(4000))
        self.assertEqual(20, len(counts))
        self.assertTrue(max(counts.values()) < 3 * 200)

    def test_the_overflow_of_a_target_spreads_over_the_others(self):
        ring = TargetRing()
        ring.fill(f"t{number}" for number in range(20))
        walks = [ring.walk(f"k{key}", 2) for key in range(4000)]
        seconds = {second for first, second in walks if first == "t3"}
        self.assertTrue(len(seconds) > 12)


class ServiceTargetsTest(TestCase):
    def test_the_own_region_comes_first(self):
        targets = ServiceTargets(Locality("r2", "d9"))
        for number in range(6):
            targets.put(target(f"t{number}", region="r1" if number < 3 else "r2"))
        found = targets.order("k", 6)
        self.assertEqual(["r2"] * 3 + ["r1"] * 3, [item.region for item in found])

    def test_a_region_at_its_bound_can_spill_over(self):
        targets = ServiceTargets(Locality("r1", "d1"))
        for number in range(40):
            targets.put(target(f"t{number}", region=f"r{1 + number % 2}"))
        found = [item.region for item in targets.order("k", 8)]
        self.assertEqual(["r1"] * 6 + ["r2"] * 2, found)

    def test_a_single_candidate_is_of_the_own_region(self):
        targets = ServiceTargets(Locality("r1", "d1"))
        targets.put(target("a", region="r1"))
        targets.put(target("b", region="r2"))
        self.assertEqual(["a"], names(targets.order("k", 1)))

    def test_a_target_that_moves_to_another_region_is_there_only(self):
        targets = ServiceTargets(Locality("r1", "d1"))
        targets.put(target("a", region="r1"))
        targets.put(target("a", region="r2"))
        self.assertEqual(["a"], names(targets.order("k", 4)))
        targets.remove("a")
        self.assertEqual([], targets.order("k", 4))


class TargetLoadsTest(TestCase):
    def test_the_less_loaded_of_two_goes_first(self):
        loads = TargetLoads()
        loads.record("a", 5000, 0.0)
        loads.record("b", 100, 0.0)
        found = loads.order([target("a"), target("b"), target("c")], "d9", 1.0)
        self.assertEqual(["b", "a", "c"], names(found))

    def test_the_own_domain_breaks_ties(self):
        loads = TargetLoads()
        pair = [target("a", "d1"), target("b", "d2")]
        self.assertEqual(["b", "a"], names(loads.order(pair, "d2", 0.0)))
        self.assertEqual(["a", "b"], names(loads.order(pair, "d1", 0.0)))

    def test_a_stale_load_is_ignored(self):
        loads = TargetLoads()
        loads.record("a", 5000, 0.0)
        loads.record("b", 100, 0.0)
        pair = [target("a", "d1"), target("b", "d2")]
        self.assertEqual(["a", "b"], names(loads.order(pair, "d1", 10.0)))
