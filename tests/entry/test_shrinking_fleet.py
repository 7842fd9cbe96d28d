"""A service that is scaled in to one target while callers keep coming.

What was seen: 26 of 27 model engines left at once. The one that stayed was sent all
that the others had had, up to 36 times the mean of those that still ran, and turned
nine in ten requests away.

Cause: routers held loads against the mean of the targets that may get work, which was
the load of that one; each added its own to it; and without a target within the bound
the least loaded was taken.
"""

from __future__ import annotations

import random

from testtools import TestCase

from entry.fakes import START
from entry.fakes import head
from entry.fakes import target
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.target_choice import ChoiceSettings
from primrosescale.request.target_choice import TargetChooser
from support.router_fleet import SERVICE
from support.shrinking_fleet import STAYS_SECONDS
from support.shrinking_fleet import ShrinkingFleet

# What may come to targets over the bound in five seconds.
MOST_OVER = 0.03
COUNTED_SECONDS = 5
WARM_SECONDS = 2.0
# Requests a second for each target before any leaves.
RATE_PER_TARGET = 9.0
SEED = 4


class DepartedTargetsTest(TestCase):
    """Which targets count that get nothing new any more."""

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

    # Guards against sending the target that stays what all others had.
    def test_those_whose_entries_went_without_notice_count_for_a_while(self):
        for name in ("m2", "m3", "m4", "m5"):
            self.targets.remove(name, START)
        self.assertIsNone(self.choose(START + 0.1))
        self.assertIsNone(self.choose(START + 2.9))
        self.assertEqual("m1", self.choose(START + 3.1).state.target.name)

    # Guards against refusing callers while the targets that are left have room.
    def test_those_that_crashed_do_not_count(self):
        for name in ("m2", "m3", "m4", "m5"):
            for _ in range(3):
                self.targets.state(name).failed(START)
            self.targets.remove(name, START)
        self.assertEqual("m1", self.choose(START + 0.1).state.target.name)

    # Guards against a target that counts twice, or as gone, once it is listed again.
    def test_one_that_is_listed_again_takes_work(self):
        for name in ("m2", "m3", "m4", "m5"):
            self.targets.remove(name, START)
        self.targets.put(target("m2"), START + 1)
        self.assertEqual("m2", self.choose(START + 1).state.target.name)

    # Guards against entries that say for long that a target leaves which has ended.
    def test_one_that_left_by_its_own_word_counts_for_a_while(self):
        for name in ("m2", "m3", "m4", "m5"):
            self.targets.state(name).answered(head(is_leaving=True), START)
        self.assertIsNone(self.choose(START + 0.1))
        self.assertEqual("m1", self.choose(START + 3.1).state.target.name)


class ShrinkingFleetTest(TestCase):
    """Fleets of three sizes; of some targets that leave only the entry is gone."""

    def shrink(self, routers, targets, staying, *, told=0.6, domains=4):
        rate = RATE_PER_TARGET * targets
        fleet = ShrinkingFleet(routers, targets, domains, rate, SEED)
        fleet.begin()
        fleet.keep_house()
        fleet.run(WARM_SECONDS)
        names = [f"target-{number}" for number in range(staying, targets)]
        said = round(told * len(names))
        fleet.leave(names[:said], is_told=True)
        fleet.leave(names[said:], is_told=False)
        fleet.run(STAYS_SECONDS + 1.0)
        return fleet

    def check_bound(self, fleet):
        over = fleet.over_in(COUNTED_SECONDS)
        self.assertTrue(over <= MOST_OVER, f"{over:.3f} {fleet.counts}")

    # Guards against sending the one target that stays what all others had.
    def test_one_of_five_stays_before_four_routers(self):
        self.check_bound(self.shrink(4, 5, 1, domains=4))

    # Guards against routers that each add their own to what the others send.
    def test_one_of_27_stays_before_29_routers(self):
        self.check_bound(self.shrink(29, 27, 1))

    # Guards against a bound that holds only where all routers hear each other at once.
    def test_two_of_60_stay_before_68_routers(self):
        self.check_bound(self.shrink(68, 60, 2, domains=6))

    # Guards against counting targets without an entry as gone while they still run.
    def test_targets_that_leave_without_a_word(self):
        self.check_bound(self.shrink(29, 27, 1, told=0.0))

    # Guards against refusing callers while those that stay have room.
    def test_nobody_is_refused_where_enough_targets_stay(self):
        for size in ((29, 27, 18), (4, 5, 4)):
            fleet = self.shrink(*size)
            self.check_bound(fleet)
            self.assertEqual(0, fleet.refused)

    # Guards against a bound that outlasts the targets that left.
    def test_the_one_that_stays_is_used_once_the_others_are_gone(self):
        fleet = self.shrink(29, 27, 1)
        fleet.run(2.0)
        last = int(WARM_SECONDS + STAYS_SECONDS + 2)
        self.assertTrue(fleet.refused_share(last, last + 1) < 1.0)
        now = fleet.clock.seconds()
        for router in fleet.routers:
            self.assertEqual(1, len(router.targets.of_service(SERVICE)))
            self.assertTrue(router.targets.state("target-0").load(now) > 0)
