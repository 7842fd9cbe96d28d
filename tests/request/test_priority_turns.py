"""The least urgent calls get every eighth start, and forecasts know it."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.capacity.priority_turns import LEAST_URGENT_INTERVAL
from primrosescale.request.capacity.priority_turns import PriorityTurns


class PriorityTurnsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.turns = PriorityTurns()

    def add(self, priority, calls, work=10):
        for _ in range(calls):
            self.turns.added(priority, work)

    # Urgent calls alone kept the least urgent from starting for a whole overload.
    def test_each_eighth_start_is_that_of_the_least_urgent(self):
        self.add(0, 5)
        self.add(7, 5)
        turns = []
        for _ in range(3 * LEAST_URGENT_INTERVAL):
            turns.append(self.turns.is_least_urgent_next)
            self.turns.started()
        self.assertEqual(3, sum(turns))
        self.assertTrue(turns[LEAST_URGENT_INTERVAL - 1])
        self.assertEqual(7, self.turns.least_urgent)

    # A turn of nobody would start nothing.
    def test_nobody_has_a_turn_while_nothing_waits(self):
        for _ in range(LEAST_URGENT_INTERVAL - 1):
            self.turns.started()
        self.assertFalse(self.turns.is_least_urgent_next)
        self.add(3, 1)
        self.assertTrue(self.turns.is_least_urgent_next)
        self.turns.removed(3, 10)
        self.assertFalse(self.turns.is_least_urgent_next)

    # Calls behind more urgent ones were told that nothing was ahead of them.
    def test_more_urgent_work_is_ahead(self):
        self.add(0, 4)
        self.add(5, 2)
        self.assertEqual(20.0, self.turns.work_ahead(0, 20.0))
        self.assertEqual(45.0, self.turns.work_ahead(5, 5.0))

    # The least urgent were refused for all that is urgent, although they have turns.
    def test_the_least_urgent_wait_no_longer_than_for_their_turns(self):
        self.add(0, 1000)
        self.add(7, 1)
        ahead = self.turns.work_ahead(7, 10.0)
        self.assertEqual(LEAST_URGENT_INTERVAL * 20.0, ahead)

    # Work of calls that are gone would delay others for ever.
    def test_nothing_is_kept_of_calls_that_are_gone(self):
        self.add(0, 2)
        self.turns.removed(0, 10)
        self.assertEqual([0], self.turns.priorities)
        self.turns.removed(0, 10)
        self.assertEqual([], self.turns.priorities)
        self.assertEqual(0.0, self.turns.work_ahead(5, 0.0))
        self.add(1, 2)
        self.turns.clear()
        self.assertEqual([], self.turns.priorities)

    # A few calls of a priority gave up their places to many of another.
    def test_a_priority_with_an_eighth_of_the_calls_is_not_over_its_share(self):
        self.add(0, 7)
        self.add(7, 1)
        self.assertFalse(self.turns.is_over_share(7))
        self.add(7, 1)
        self.assertTrue(self.turns.is_over_share(7))
