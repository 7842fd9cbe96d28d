"""How fast each target begins its answers, and what counts as late for it."""

from __future__ import annotations

from testtools import TestCase

from entry.fakes import START
from primrosescale.request.answer.target_speeds import MAX_MULTIPLE
from primrosescale.request.answer.target_speeds import MAX_TARGETS
from primrosescale.request.answer.target_speeds import SPEED_HALF_LIFE_SECONDS
from primrosescale.request.answer.target_speeds import TargetSpeeds
from primrosescale.request.answer.usual_times import UsualTimes
from primrosescale.request.target.target_incarnation import TargetIncarnation

FAST = TargetIncarnation("fast")
SLOW = TargetIncarnation("slow")


def learned(slow=0.09, fast=0.025, slow_share=10, answers=400):
    """Return the times of a route of which each tenth answer is of a slow target."""
    times = UsualTimes()
    late = []
    for number in range(answers):
        is_slow = number % slow_share == 0
        target, seconds = (SLOW, slow) if is_slow else (FAST, fast)
        if times.began("order", seconds, target, START):
            late.append((number, target))
    return times, late


class OwnTimesTest(TestCase):
    # Targets of one service differ in speed: each answer of a slow one counted as half
    # a failure, so that routers sent it nothing for a quarter of a minute.
    def test_a_target_that_is_always_slow_is_not_late(self):
        _, late = learned()
        self.assertTrue(len(late) <= 2, late)

    def test_an_answer_that_is_unusual_for_its_target_is_late(self):
        for target in (SLOW, FAST):
            times, _ = learned()
            self.assertTrue(times.began("order", 0.4, target, START), target)

    # Guards against a fast target that is judged more strictly than others.
    def test_what_is_usual_for_the_route_is_late_for_no_target(self):
        times, _ = learned()
        usual = times.usual("order").beginning
        for target in (FAST, SLOW, TargetIncarnation("new"), None):
            self.assertTrue(times.beginning_at("order", target) >= usual)
        self.assertEqual(usual, times.beginning_at("order", TargetIncarnation("new")))

    # Guards against what one start of a target says of the next one.
    def test_a_later_start_of_a_target_is_another_one(self):
        times, _ = learned()
        again = TargetIncarnation("slow", 7)
        self.assertEqual(1.0, times.speeds.slowness(again, START))

    def test_a_clock_that_is_set_back_measures_nothing(self):
        times, _ = learned()
        before = times.speeds.slowness(SLOW, START)
        times.began("order", -5.0, SLOW, START)
        self.assertEqual(before, times.speeds.slowness(SLOW, START))


class SlownessTest(TestCase):
    def test_it_is_the_mean_beside_others(self):
        times, _ = learned()
        self.assertTrue(times.speeds.slowness(SLOW, START) > 2.0)
        self.assertEqual(1.0, times.speeds.slowness(FAST, START))

    # The target that seemed to be fastest by chance got all requests of a calm moment,
    # so that more of them were declined at once when it asked for a pause.
    def test_differences_by_chance_do_not_count(self):
        speeds = TargetSpeeds()
        for multiple in (0.6, 0.9, 1.1, 1.4):
            speeds.record(SLOW, multiple, START)
            self.assertEqual(1.0, speeds.slowness(SLOW, START))

    # Guards against a target that nobody asks any more since it once was slow.
    def test_a_target_that_has_not_been_asked_is_as_others_again(self):
        speeds = TargetSpeeds()
        speeds.record(SLOW, 5.0, START)
        later = START + SPEED_HALF_LIFE_SECONDS
        self.assertAlmostEqual(3.0, speeds.slowness(SLOW, later))
        much_later = START + 20 * SPEED_HALF_LIFE_SECONDS
        self.assertAlmostEqual(1.0, speeds.slowness(SLOW, much_later), places=4)

    # Guards against a single odd answer that bars a target.
    def test_one_answer_tells_no_more_than_a_bound(self):
        speeds = TargetSpeeds()
        speeds.record(SLOW, 1e9, START)
        self.assertEqual(MAX_MULTIPLE, speeds.slowness(SLOW, START))

    # Targets with a new name after each release filled the memory.
    def test_the_number_of_targets_is_bounded(self):
        speeds = TargetSpeeds()
        for number in range(MAX_TARGETS + 50):
            speeds.record(FAST, 1.0, START)
            speeds.record(TargetIncarnation(f"t{number}"), 1.0, START)
        self.assertEqual(MAX_TARGETS, len(speeds))
        self.assertEqual(1.0, speeds.slowness(FAST, START))
