"""By when answers of a route usually begin and end."""

from __future__ import annotations

import random

from testtools import TestCase

from primrosescale.request.answer.usual_times import INITIAL_SECONDS
from primrosescale.request.answer.usual_times import MAX_ROUTES
from primrosescale.request.answer.usual_times import AnswerTime
from primrosescale.request.answer.usual_times import UsualTimes


class UsualTimesTest(TestCase):
    # Every answer in ten counted as late, and its request was sent twice.
    def test_few_answers_are_later_than_is_usual(self):
        rng = random.Random(3)
        times, late = UsualTimes(), 0
        for number in range(2000):
            seconds = rng.expovariate(1 / 0.1)
            is_late = times.began("order", seconds)
            late += is_late and number > 100
        self.assertTrue(0 < late < 0.05 * 1900, late)

    # All answers of a slow moment counted as failures.
    def test_a_slowdown_of_all_answers_becomes_usual(self):
        times = UsualTimes()
        for _ in range(50):
            times.began("order", 0.1)
        self.assertTrue(times.began("order", 0.5))
        late = [times.began("order", 0.5) for _ in range(30)]
        self.assertFalse(any(late[5:]), late)

    # Answers that hardly vary made each delay of the network count.
    def test_an_answer_within_twice_the_mean_is_not_late(self):
        times = UsualTimes()
        for _ in range(200):
            times.began("order", 0.1)
        self.assertAlmostEqual(0.2, times.usual("order").beginning, places=3)

    # Nothing is known of a route that has not been used.
    def test_a_route_without_answers_has_no_usual_end(self):
        times = UsualTimes()
        self.assertEqual(AnswerTime(INITIAL_SECONDS, 0.0), times.usual("order"))
        self.assertEqual(AnswerTime(0.0, 0.0), times.mean("order"))
        times.ended("order", 0.2)
        self.assertEqual(0.2, times.mean("order").end)
        self.assertTrue(times.usual("order").end >= 0.4)
        self.assertEqual(AnswerTime(0.0, 0.0), times.mean("other"))

    # Times measured across a change of the clock delayed everything for minutes.
    def test_a_clock_that_is_set_back_measures_nothing(self):
        times = UsualTimes()
        times.began("order", 0.1)
        before = times.usual("order")
        self.assertFalse(times.began("order", -5.0))
        times.ended("order", -5.0)
        self.assertEqual(before, times.usual("order"))

    # Routes with a new name in each version of the configuration filled the memory.
    def test_the_number_of_routes_is_bounded(self):
        times = UsualTimes()
        for number in range(MAX_ROUTES + 50):
            times.began("used", 0.1)
            times.ended(f"r{number}", 0.1)
            times.began(f"r{number}", 0.1)
        self.assertEqual(MAX_ROUTES, len(times))
        self.assertTrue(times.usual("used").beginning < INITIAL_SECONDS)
