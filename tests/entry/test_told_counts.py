"""Counts that other routers told, summed while they are fresh."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.request.reported_counts import ReportedCounts
from support.drawn import drawn

TOLD = st.lists(
    st.tuples(
        st.sampled_from("abcd"),
        st.integers(0, 50),
        st.integers(0, 10),
        st.integers(1, 5),
    ),
    max_size=30,
)


class ToldCountsTest(TestCase):
    def test_what_a_router_tells_replaces_what_it_told_before(self):
        counts = ReportedCounts()
        counts.put("a", 3, 10.0)
        counts.put("b", 4, 10.0)
        counts.put("a", 1, 11.0)
        self.assertEqual(5, counts.total(9.0))

    def test_what_is_not_told_again_stops_to_count(self):
        counts = ReportedCounts()
        counts.put("a", 3, 10.0)
        counts.put("b", 4, 12.0)
        self.assertEqual(7, counts.total(10.0))
        self.assertEqual(4, counts.total(10.1))
        self.assertEqual(0, counts.total(12.1))

    @drawn(60)
    @given(TOLD)
    def test_the_sum_is_that_of_the_last_fresh_word_of_each(self, told):
        counts, words, now = ReportedCounts(), {}, 0.0
        for router, count, pause, fresh_for in told:
            now += pause
            counts.put(router, count, now + fresh_for)
            words[router] = (count, now + fresh_for)
            wanted = sum(count for count, until in words.values() if now <= until)
            self.assertEqual(wanted, counts.total(now))
