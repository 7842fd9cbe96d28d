"""Tests the load bound while a service is scaled in to few targets under load.

Guards against overloading the targets that stay: when 26 of 27 model engines left at
once, the last one was sent all their requests, up to 36 times the mean load of the
targets that still ran, and refused nine in ten. The routers compared loads with the
mean of the targets that may get requests, which was the load of that one target; each
router added its own requests to it; and without a target within the bound they chose
the least loaded one.
"""

from __future__ import annotations

import random

from testtools import TestCase

from entry.fakes import START
from entry.fakes import head
from entry.fakes import target
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from support.router_fleet import SERVICE
from support.shrinking_fleet import LEAVING_SECONDS
from support.shrinking_fleet import ShrinkingFleet

# Share of requests in five seconds that may go to targets over the bound.
MAX_OVER_SHARE = 0.03
COUNTED_SECONDS = 5
WARM_SECONDS = 2.0
# Requests a second for each target before any leaves.
RATE_PER_TARGET = 9.0
SEED = 4


class DepartedTargetsTest(TestCase):
    """Which targets that get no new requests count for the mean load."""

    def setUp(self):
        super().setUp()
        self.targets = TargetList(2.0)
        for number in range(1, 6):
            self.targets.put(target(f"m{number}"), START)
        self.chooser = TargetChooser(
            ChoiceSettings(),
            PrefixCacheIndex(),
            random.Random(3),
            recently_delisted=self.targets.recently_delisted,
            own_share=lambda *_: 1,
        )
        for _ in range(10):
            self.targets.state("m1").sent(START)

    def choose(self, now=START):
        self.targets.forget_expired(now)
        states = self.targets.of_service("model")
        return self.chooser.choose(states, (), None, now)

    # Guards against sending the target that stays the load of all others.
    def test_targets_whose_entries_vanished_count_for_some_seconds(self):
        for name in ("m2", "m3", "m4", "m5"):
            self.targets.remove(name, START)
        self.assertIsNone(self.choose(START + 0.1))
        self.assertIsNone(self.choose(START + 2.9))
        self.assertEqual("m1", self.choose(START + 3.1).state.target.name)

    # Guards against refusing requests while the remaining targets have capacity.
    def test_targets_that_crashed_do_not_count(self):
        for name in ("m2", "m3", "m4", "m5"):
            for _ in range(3):
                self.targets.state(name).failed(START)
            self.targets.remove(name, START)
        self.assertEqual("m1", self.choose(START + 0.1).state.target.name)

    # Guards against counting a target twice, or as gone, once it is listed again.
    def test_a_target_that_is_listed_again_takes_requests(self):
        for name in ("m2", "m3", "m4", "m5"):
            self.targets.remove(name, START)
        self.targets.put(target("m2"), START + 1)
        self.assertEqual("m2", self.choose(START + 1).state.target.name)

    # Guards against counting a target for long whose leaving entry outlives it.
    def test_a_target_that_reported_leaving_counts_for_some_seconds(self):
        for name in ("m2", "m3", "m4", "m5"):
            self.targets.state(name).answered(head(is_leaving=True), START)
        self.assertIsNone(self.choose(START + 0.1))
        self.assertEqual("m1", self.choose(START + 3.1).state.target.name)


class ShrinkingFleetTest(TestCase):
    """Fleets of three sizes; some targets leave only by losing their entry."""

    def shrink(self, routers, targets, staying, *, told=0.6, domains=4):
        rate = RATE_PER_TARGET * targets
        fleet = ShrinkingFleet(routers, targets, domains, rate, SEED)
        fleet.begin()
        fleet.drop_gone_targets()
        fleet.run(WARM_SECONDS)
        names = [f"target-{number}" for number in range(staying, targets)]
        reported = round(told * len(names))
        fleet.leave(names[:reported], is_reported=True)
        fleet.leave(names[reported:], is_reported=False)
        fleet.run(LEAVING_SECONDS + 1.0)
        return fleet

    def check_bound(self, fleet):
        over = fleet.over_in(COUNTED_SECONDS)
        self.assertTrue(over <= MAX_OVER_SHARE, f"{over:.3f} {fleet.counts}")

    # Guards against sending the one target that stays the load of all others.
    def test_one_of_five_stays_before_four_routers(self):
        self.check_bound(self.shrink(4, 5, 1, domains=4))

    # Guards against routers that each add their own requests to those of the others.
    def test_one_of_27_stays_before_29_routers(self):
        self.check_bound(self.shrink(29, 27, 1))

    # Guards against a bound that needs load reports from all routers without delay.
    def test_two_of_60_stay_before_68_routers(self):
        self.check_bound(self.shrink(68, 60, 2, domains=6))

    # Guards against counting targets without an entry as gone while they still run.
    def test_targets_that_leave_without_notice(self):
        self.check_bound(self.shrink(29, 27, 1, told=0.0))

    # Guards against refusing requests while the targets that stay have capacity.
    def test_no_request_is_refused_where_enough_targets_stay(self):
        for size in ((29, 27, 18), (4, 5, 4)):
            fleet = self.shrink(*size)
            self.check_bound(fleet)
            self.assertEqual(0, fleet.refused)

    # Guards against a limit that lasts longer than the targets that left.
    def test_the_one_that_stays_is_used_once_the_others_are_gone(self):
        fleet = self.shrink(29, 27, 1)
        fleet.run(2.0)
        last = int(WARM_SECONDS + LEAVING_SECONDS + 2)
        self.assertTrue(fleet.refused_share(last, last + 1) < 1.0)
        now = fleet.clock.seconds()
        for router in fleet.routers:
            self.assertEqual(1, len(router.targets.of_service(SERVICE)))
            self.assertTrue(router.targets.state("target-0").load(now) > 0)
