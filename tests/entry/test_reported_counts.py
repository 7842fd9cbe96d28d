"""Tests the sum of counts that peer routers report, until they expire."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.request.target.reported_counts import ReportedCounts
from support.drawn import drawn

REPORTS = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.integers(0, 50),
        st.integers(0, 10),
        st.integers(1, 5),
    ),
    max_size=30,
)


class ReportedCountsTest(TestCase):
    def test_a_report_replaces_the_previous_one_of_its_router(self):
        counts = ReportedCounts()
        counts.put("a", 3, 10.0)
        counts.put("b", 4, 10.0)
        counts.put("a", 1, 11.0)
        self.assertEqual(5, counts.total(9.0))

    def test_a_report_that_is_not_repeated_expires(self):
        counts = ReportedCounts()
        counts.put("a", 3, 10.0)
        counts.put("b", 4, 12.0)
        self.assertEqual(7, counts.total(10.0))
        self.assertEqual(4, counts.total(10.1))
        self.assertEqual(0, counts.total(12.1))

    @drawn(60)
    @given(REPORTS)
    def test_the_sum_is_that_of_the_latest_valid_reports(self, reports):
        counts, latest, now = ReportedCounts(), {}, 0.0
        for router, count, pause, fresh_for in reports:
            now += pause
            counts.put(router, count, now + fresh_for)
            latest[router] = (count, now + fresh_for)
            wanted = sum(count for count, until in latest.values() if now <= until)
            self.assertEqual(wanted, counts.total(now))
