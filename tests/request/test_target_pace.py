"""The expected pace follows the last report for a part of a second."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.target.target_pace import MAX_PACE
from primrosescale.request.target.target_pace import MIN_PACE
from primrosescale.request.target.target_pace import TargetPace
from primrosescale.request.target.target_pace import UsualPace

START = 1000.0


class TargetPaceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.usual = UsualPace()
        self.pace = TargetPace(self.usual)

    # Guards against a factor other than 1 where nothing is known.
    def test_without_reports_it_is_as_usual(self):
        self.assertEqual(1.0, self.pace.expected(START))

    # Guards against avoiding a target that has been fast again for long.
    def test_a_report_loses_half_of_its_weight_in_a_quarter_second(self):
        for _ in range(9):
            self.usual.record(1.0)
        self.pace.record(2.5, START)
        self.assertAlmostEqual(1.15, self.usual.mean)
        self.assertAlmostEqual(2.5, self.pace.expected(START))
        self.assertAlmostEqual(1.825, self.pace.expected(START + 0.25))
        self.assertAlmostEqual(1.4875, self.pace.expected(START + 0.5))

    # Guards against reports that count when they tell nothing any more.
    def test_an_old_report_does_not_count(self):
        self.usual.record(1.0)
        self.pace.record(2.5, START)
        self.assertNotEqual(self.usual.mean, self.pace.expected(START + 0.79))
        self.assertEqual(self.usual.mean, self.pace.expected(START + 0.81))

    # Guards against a pace that grows without bound when the clock was set back.
    def test_a_report_from_before_a_jump_of_the_clock_does_not_count(self):
        self.usual.record(1.0)
        self.pace.record(2.5, START)
        self.assertEqual(self.usual.mean, self.pace.expected(START - 60))
        self.assertEqual(self.usual.mean, self.pace.expected(START + 60))

    # Guards against a wrong figure that attracts all requests or bars a target.
    def test_reports_are_bounded(self):
        self.pace.record(0.01, START)
        self.assertEqual(MIN_PACE, self.pace.expected(START))
        self.pace.record(5000.0, START)
        self.assertEqual(MAX_PACE, self.pace.expected(START))
        self.assertTrue(self.usual.mean <= MAX_PACE)
