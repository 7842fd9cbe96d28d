"""Resets reduce the connections to a target for a short time."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.connection.reset_backoff import STEP_SECONDS
from primrosescale.connection.reset_backoff import ResetBackoff

START = 1000.0
LIMIT = 6
# Connections left after a reset, or None for a report of a long queue, and the time
# since the step before.
STEPS = st.lists(
    st.tuples(st.none() | st.integers(0, 20), st.floats(-3.0, 3.0)), max_size=30
)


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
        step = STEP_SECONDS
        times = [0, 0.9 * step, step, 1.9 * step, 2 * step, 3 * step, 9 * step]
        self.assertEqual([3, 3, 4, 4, 5, 6, 6], self.limits(times))

    # Guards against a slow rise because several connections were reset at once.
    def test_resets_at_the_same_time_count_as_one(self):
        for left in (5, 4, 3):
            self.backoff.connection_reset(left, START)
        self.assertEqual([3, 4], self.limits([0, STEP_SECONDS]))

    # Guards against a reset by each router at every step while a queue stays long.
    def test_it_rises_only_after_the_last_report_of_a_long_queue(self):
        self.backoff.connection_reset(3, START)
        step = STEP_SECONDS
        for number in range(1, 20):
            self.backoff.queue_is_long(START + 0.3 * number * step)
        end = 0.3 * 19 * step
        rise = self.limits([end, end + 0.9 * step, end + step, end + 3 * step])
        self.assertEqual([3, 3, 4, LIMIT], rise)

    # Guards against a limit that a report of a long queue lowers without a reset.
    def test_a_long_queue_without_a_reset_changes_nothing(self):
        self.backoff.queue_is_long(START)
        self.assertEqual([LIMIT], self.limits([0]))

    # Guards against a rise that is lost with the next report.
    def test_what_it_has_risen_by_before_a_report_stays(self):
        self.backoff.connection_reset(3, START)
        self.backoff.queue_is_long(START + 1.5 * STEP_SECONDS)
        self.assertEqual([4], self.limits([1.5 * STEP_SECONDS]))

    # Guards against a limit that stays low after the clock was set back.
    def test_a_clock_that_was_set_back_ends_the_reduction(self):
        self.backoff.connection_reset(0, START)
        self.assertEqual([LIMIT], self.limits([-60]))

    # Guards against more connections than the share, and a target never used again.
    @given(STEPS)
    def test_it_never_exceeds_the_limit_and_always_recovers(self, steps):
        backoff = ResetBackoff()
        now = START
        for left, elapsed in steps:
            now += elapsed
            if left is None:
                backoff.queue_is_long(now)
            else:
                backoff.connection_reset(left, now)
            self.assertTrue(0 <= backoff.reduce(LIMIT, now) <= LIMIT)
        now += LIMIT * STEP_SECONDS
        self.assertEqual(LIMIT, backoff.reduce(LIMIT, now))
