"""Resets reduce the connections to a target for a short time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.connection.reset_backoff import FIRST_STEP_SECONDS
from primrosescale.connection.reset_backoff import MAX_STEP_SECONDS
from primrosescale.connection.reset_backoff import ResetBackoff

START = 1000.0
LIMIT = 6
RESETS = st.lists(st.tuples(st.integers(0, 20), st.floats(-3.0, 3.0)), max_size=30)


class ResetBackoffTest(TestCase):
    def setUp(self):
        super().setUp()
        self.backoff = ResetBackoff()

    def limits(self, times):
        return [self.backoff.reduce(LIMIT, START + time) for time in times]

    # Guards against a lower limit at targets that reset nothing.
    def test_without_a_reset_the_limit_is_as_usual(self):
        self.assertEqual(LIMIT, self.backoff.reduce(LIMIT, START))
        self.assertEqual(0, self.backoff.reduce(0, START))

    # Guards against as many new connections as before to a target that accepts fewer.
    def test_it_falls_to_those_that_are_left_and_rises_by_one_at_a_time(self):
        self.backoff.connection_reset(3, START)
        step = FIRST_STEP_SECONDS
        times = [0, 0.9 * step, step, 1.9 * step, 2 * step, 3 * step, 9 * step]
        self.assertEqual([3, 3, 4, 4, 5, 6, 6], self.limits(times))

    # Guards against a slow rise because several connections were reset at once.
    def test_resets_at_the_same_time_count_as_one(self):
        for left in (5, 4, 3):
            self.backoff.connection_reset(left, START)
        self.assertEqual([3, 4], self.limits([0, FIRST_STEP_SECONDS]))

    # Guards against a reset by each router at every step while a target is full.
    def test_a_reset_after_a_rise_makes_the_next_rise_slower(self):
        self.backoff.connection_reset(3, START)
        self.backoff.connection_reset(3, START + FIRST_STEP_SECONDS)
        later = [2 * FIRST_STEP_SECONDS, 3 * FIRST_STEP_SECONDS]
        self.assertEqual([3, 4], self.limits(later))

    # Guards against a rise that stays slow after the target has accepted all again.
    def test_after_a_full_rise_the_next_reset_is_as_the_first(self):
        self.backoff.connection_reset(5, START)
        self.backoff.connection_reset(5, START + 1)
        self.limits([10])
        self.backoff.connection_reset(3, START + 11)
        self.assertEqual([3, 4], self.limits([11, 11 + FIRST_STEP_SECONDS]))

    # Guards against a limit that stays low after the clock was set back.
    def test_a_clock_that_was_set_back_ends_the_reduction(self):
        self.backoff.connection_reset(0, START)
        self.assertEqual([LIMIT], self.limits([-60]))

    # Guards against more connections than the share, and a target never used again.
    @given(RESETS)
    def test_it_never_exceeds_the_limit_and_always_recovers(self, resets):
        backoff = ResetBackoff()
        now = START
        for left, elapsed in resets:
            now += elapsed
            backoff.connection_reset(left, now)
            self.assertTrue(0 <= backoff.reduce(LIMIT, now) <= LIMIT)
        now += LIMIT * MAX_STEP_SECONDS
        self.assertEqual(LIMIT, backoff.reduce(LIMIT, now))
