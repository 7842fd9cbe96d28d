"""Rounding of allowances, of which the mean over time is to be kept."""

from __future__ import annotations

import math
import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from entry.fakes import START
from primrosescale.request.capacity.fraction_rounding import FractionRounding
from support.drawn import drawn

TICK_SECONDS = 0.025


class Router:
    """A router that always has requests waiting."""

    def __init__(self, seed, mean, seconds):
        self.rng = random.Random(seed)
        self.rounding = FractionRounding(self.rng)
        self.mean = mean
        self.seconds = seconds
        self.ends = []
        self.started = 0
        self.used_seconds = 0.0

    def tick(self, now):
        self.ends = [end for end in self.ends if end > now]
        found = self.rounding.round(self.mean, len(self.ends), self.seconds, now)
        while len(self.ends) < found:
            self.started += 1
            lasts = self.rng.expovariate(1 / self.seconds)
            self.used_seconds += lasts
            self.ends.append(now + lasts)
        return len(self.ends)


class FractionRoundingTest(TestCase):
    def running(self, routers, seconds):
        ticks = int(seconds / TICK_SECONDS)
        return [
            sum(router.tick(START + n * TICK_SECONDS) for router in routers)
            for n in range(ticks)
        ]

    def test_the_mean_is_kept_whatever_the_time_of_requests(self):
        # Guards against routers that keep an additional place for longer than due,
        # since its request takes longer than the time between two draws.
        for seconds in (0.09, 0.3, 2.0):
            for mean in (0.2, 0.5, 0.9, 3.3):
                routers = [Router(seed, mean, seconds) for seed in range(50)]
                self.running(routers, 20.0)
                last = START + 20.0
                used = sum(
                    router.used_seconds - sum(max(0, end - last) for end in router.ends)
                    for router in routers
                )
                kept = used / 20.0 / len(routers) / mean
                self.assertTrue(0.75 < kept < 1.15, (seconds, mean, kept))

    def test_routers_limited_at_the_same_time_are_not_rounded_up_together(self):
        # Guards against an overload of the targets when an overload begins.
        routers = [Router(seed, 0.2, 0.3) for seed in range(300)]
        self.assertLess(max(self.running(routers, 2.0)), 1.5 * 60)

    def test_no_router_starves(self):
        # Guards against a router that is always rounded down.
        routers = [Router(seed, 0.06, 0.09) for seed in range(50)]
        self.running(routers, 20.0)
        due = 20.0 * 0.06 / 0.09
        self.assertGreater(min(router.started for router in routers), due / 4)

    def test_a_whole_number_is_kept(self):
        # Guards against a place lost or gained where there is no fraction.
        for mean in (0.0, 1.0, 7.0):
            self.assertEqual({mean}, set(self.running([Router(1, mean, 0.3)], 2.0)))

    @drawn(300)
    @given(
        st.lists(
            st.tuples(
                st.floats(0, 1e6),
                st.floats(-1e9, 1e9),
                st.one_of(st.none(), st.floats(0, 1e3)),
                st.floats(-5, 5),
            ),
            max_size=20,
        )
    )
    def test_the_result_is_always_next_to_the_mean(self, calls):
        # Guards against absurd numbers, and clocks that go back.
        rounding = FractionRounding(random.Random(1))
        now = START
        for mean, running, answer_time, step in calls:
            now += step
            found = rounding.round(mean, running, answer_time, now)
            self.assertIn(found, {math.floor(mean), math.ceil(mean)})
