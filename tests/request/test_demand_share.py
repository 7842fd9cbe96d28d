"""A router's share of a capacity, with ordinary and with absurd numbers."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.request.capacity.demand_share import DemandShare
from support.drawn import drawn

ODD = st.one_of(
    st.floats(),
    st.integers(-(2**70), 2**70),
    st.sampled_from([0, -1, math.inf, -math.inf, math.nan, 5e-324, 1e308]),
)


def share(capacity, own, others, routers=4, *, has_current_loads=True):
    return DemandShare(capacity, own, others, routers, has_current_loads)


class DemandShareTest(TestCase):
    def test_there_is_no_limit_while_one_more_request_fits(self):
        # Guards against requests that wait although targets are free.
        self.assertIsNone(share(10, 4, 5).mean_allowance())
        self.assertIsNotNone(share(10, 4, 5.5).mean_allowance())

    def test_a_router_with_half_of_the_demand_gets_half_of_the_capacity(self):
        # Guards against equal shares, with which one router refuses requests while
        # places stay free for another.
        self.assertEqual(6.0, share(12, 30, 30).mean_allowance())

    def test_without_current_loads_a_router_gets_at_most_an_equal_share(self):
        # Guards against every router taking the whole capacity when updates are lost.
        blind = {"routers": 4, "has_current_loads": False}
        self.assertEqual(3.0, share(12, 1, 0, **blind).mean_allowance())
        self.assertEqual(3.0, share(12, 90, 0, **blind).mean_allowance())
        self.assertAlmostEqual(1.2, share(12, 10, 90, **blind).mean_allowance())

    def test_no_capacity_allows_nothing(self):
        # Guards against a division by zero and a request sent to no target.
        self.assertEqual(0.0, share(0, 0, 0).mean_allowance())
        self.assertEqual(0.0, share(0, 7, 3).mean_allowance())

    @drawn(500)
    @given(
        st.floats(0, 1e5),
        st.lists(st.integers(0, 5000), min_size=1, max_size=80),
    )
    def test_shares_of_equal_knowledge_never_exceed_the_capacity(self, capacity, own):
        # Guards against an overload that the routers cause together.
        total = sum(own)
        means = [share(capacity, n, total - n, len(own)).mean_allowance() for n in own]
        if None in means:
            self.assertEqual([None] * len(own), means)
            self.assertLessEqual(total + 1, capacity)
        else:
            self.assertLessEqual(sum(means), capacity * (1 + 1e-9))

    @drawn(300)
    @given(
        st.floats(0, 1e5),
        st.lists(st.integers(0, 5000), min_size=1, max_size=80),
    )
    def test_without_updates_shares_never_exceed_the_capacity(self, capacity, own):
        # Guards against an overload when all updates are lost.
        means = [
            share(capacity, n, 0, len(own), has_current_loads=False).mean_allowance()
            for n in own
        ]
        self.assertLessEqual(sum(means), capacity * (1 + 1e-9))

    @drawn(1000)
    @given(ODD, ODD, ODD, st.integers(-5, 2**40), st.booleans())
    def test_no_odd_number_leads_outside_the_bounds(
        self, capacity, own, others, routers, has_current_loads
    ):
        # Guards against negative or infinite allowances from absurd reports.
        odd = share(capacity, own, others, routers, has_current_loads=has_current_loads)
        mean = odd.mean_allowance()
        if mean is not None:
            self.assertTrue(mean >= 0)
            self.assertTrue(mean == 0 or mean <= float(capacity))
