"""Tests that the bound follows the mean load and fails safe without reports."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.capacity.load_bound import BoundSettings
from primrosescale.request.capacity.load_bound import LoadBound
from primrosescale.request.capacity.load_bound import ServiceLoad


def make(**options):
    values = {"multiple": 1.25, "margin": 1.0, "floor": 100, "slow_start": 0.0}
    return LoadBound(BoundSettings(**{**values, **options}), 0.0)


class LoadBoundTest(TestCase):
    def test_the_floor_is_allowed_without_a_report(self):
        bound = make()
        self.assertTrue(bound.admits(0, 100, 50.0))
        self.assertFalse(bound.admits(1, 100, 50.0))

    def test_a_multiple_of_the_mean_is_allowed(self):
        bound = make()
        bound.update(ServiceLoad(10_000, 10, 1000, 10.0))
        self.assertTrue(bound.admits(1000, 200, 10.0))
        self.assertFalse(bound.admits(1000, 400, 10.0))

    def test_own_load_counts_exactly(self):
        bound = make()
        bound.update(ServiceLoad(4000, 4, 1000, 10.0))
        grown = 1.25 * (3000 + 1200 + 50) / 4
        self.assertEqual(grown, bound.cap(1200, 50, 10.0))

    def test_the_margin_lowers_the_multiple_but_not_below_the_mean(self):
        bound = make(margin=0.5)
        bound.update(ServiceLoad(10_000, 10, 1000, 10.0))
        self.assertEqual(1000.0, bound.cap(1000, 0, 10.0))

    def test_an_older_report_is_ignored(self):
        bound = make()
        bound.update(ServiceLoad(10_000, 10, 0, 10.0))
        bound.update(ServiceLoad(99_000, 10, 0, 9.0))
        self.assertEqual(10_000, bound.view.load)

    def test_a_report_without_targets_is_ignored(self):
        bound = make()
        bound.update(ServiceLoad(10_000, 0, 0, 10.0))
        self.assertIsNone(bound.view)

    def test_a_stale_cap_only_falls(self):
        bound = make(stale_after=5.0, stale_half_life=60.0)
        bound.update(ServiceLoad(10_000, 10, 1000, 0.0))
        caps = [bound.cap(1000 + 50 * t, 50, float(t)) for t in range(6, 300)]
        self.assertEqual(sorted(caps, reverse=True), caps)
        self.assertTrue(all(cap >= 100 for cap in caps))
        self.assertTrue(caps[-1] < caps[0] / 4)

    def test_a_joining_target_grows_from_the_floor(self):
        bound = make(slow_start=10.0)
        bound.update(ServiceLoad(10_000, 10, 0, 0.0))
        at_start = bound.cap(0, 10, 0.0)
        bound.update(ServiceLoad(10_000, 10, 0, 5.0))
        halfway = bound.cap(0, 10, 5.0)
        bound.update(ServiceLoad(10_000, 10, 0, 10.0))
        grown = bound.cap(0, 10, 10.0)
        self.assertEqual(100.0, at_start)
        self.assertTrue(at_start < halfway < grown)
