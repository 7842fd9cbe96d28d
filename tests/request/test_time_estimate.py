"""The estimate of usual times, as in RFC 6298."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.answer.time_estimate import DEVIATIONS
from primrosescale.request.answer.time_estimate import TimeEstimate


class TimeEstimateTest(TestCase):
    # RFC 6298, section 2.2: the first deviation is half of the first time.
    def test_the_first_time_alone(self):
        estimate = TimeEstimate(0.2)
        self.assertEqual(0.2, estimate.mean)
        self.assertAlmostEqual(0.2 + DEVIATIONS * 0.1, estimate.usual)

    # Guards against a deviation that is computed with the new mean (section 2.3).
    def test_the_deviation_is_taken_from_the_mean_before(self):
        estimate = TimeEstimate(0.2)
        estimate.add(1.0)
        self.assertAlmostEqual(0.2 + 0.8 / 8, estimate.mean)
        deviation = 0.1 + (0.8 - 0.1) / 4
        self.assertAlmostEqual(estimate.mean + DEVIATIONS * deviation, estimate.usual)

    # Times that hardly differ made chance delays count as late.
    def test_what_is_usual_is_at_least_twice_the_mean(self):
        estimate = TimeEstimate(0.2)
        for _ in range(200):
            estimate.add(0.2)
        self.assertAlmostEqual(0.4, estimate.usual, places=6)
