"""Forecasts of waits, longest waits, Retry-After, and callers that return."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from entry.fakes import START
from entry.fakes import request
from primrosescale.request.capacity.capacity_view import Allowance
from primrosescale.request.capacity.expected_returns import MAX_EXPECTED
from primrosescale.request.capacity.expected_returns import ExpectedReturns
from primrosescale.request.capacity.time_budgets import BUDGET_WINDOW_SECONDS
from primrosescale.request.capacity.time_budgets import TimeBudgets
from primrosescale.request.capacity.wait_forecast import MAX_RETRY_AFTER_SHARE
from primrosescale.request.capacity.wait_forecast import RETRY_JITTER
from primrosescale.request.capacity.wait_forecast import forecast_wait
from primrosescale.request.capacity.wait_forecast import is_returning_caller
from primrosescale.request.capacity.wait_forecast import latest_start
from primrosescale.request.capacity.wait_forecast import retry_after
from support.overload import ORDER

SECONDS = st.floats(0.0, 100.0)


def allowance(mean):
    return Allowance(round(mean), mean, 50.0, 70.0)


class ForecastTest(TestCase):
    # A wrong unit would refuse calls that could be served, or hold hopeless ones.
    def test_the_forecast_is_the_work_ahead_over_the_start_rate(self):
        self.assertAlmostEqual(0.5, forecast_wait(10, allowance(2.0), 0.1))

    # Before the first answers nothing is known that justifies a refusal.
    def test_an_unknown_answer_time_forecasts_no_wait(self):
        self.assertEqual(0.0, forecast_wait(10, allowance(2.0), None))

    # A division by zero would end the request with an internal error.
    def test_without_allowance_only_calls_behind_others_wait_without_end(self):
        self.assertEqual(math.inf, forecast_wait(1, allowance(0.0), 0.1))
        self.assertEqual(0.0, forecast_wait(0, allowance(0.0), 0.1))
        self.assertEqual(0.0, forecast_wait(5, None, 0.1))


class LatestStartTest(TestCase):
    def latest(self, *, is_returning=False, answer_time=0.1, budget=4.2):
        incoming = request(ORDER, deadline=START + budget)
        return latest_start(
            incoming,
            START,
            is_returning=is_returning,
            answer_time=answer_time,
            wait_share=0.5,
        )

    # A longer wait makes the answer of a first-time caller late.
    def test_first_time_callers_wait_for_half_of_their_objective(self):
        self.assertAlmostEqual(START + 0.21, self.latest())
        self.assertAlmostEqual(START + 0.1, self.latest(budget=0.1))

    # A returning caller is late already; only its deadline counts.
    def test_returning_callers_wait_until_little_time_is_left(self):
        self.assertAlmostEqual(START + 4.0, self.latest(is_returning=True))
        unknown = self.latest(is_returning=True, answer_time=None)
        self.assertAlmostEqual(START + 4.2, unknown)


class RetryAfterTest(TestCase):
    # Callers ignore a longer time, and a shorter one brings them back into the surge.
    @given(st.one_of(SECONDS, st.just(math.inf)), SECONDS, SECONDS)
    def test_it_is_at_most_a_third_of_the_time_left(self, forecast, objective, left):
        for jitter in RETRY_JITTER:
            found = retry_after(forecast, objective, left, jitter)
            self.assertTrue(0.0 <= found <= left / 3)
            least = min(max(forecast, objective), left * MAX_RETRY_AFTER_SHARE)
            self.assertTrue(found >= least)

    # A negative time left, of a caller past its deadline, is no valid header.
    def test_it_is_never_negative(self):
        self.assertEqual(0.0, retry_after(1.0, 1.0, -2.0, 1.0))


class ReturningCallerTest(TestCase):
    # First-time callers must not be taken for returning ones because of rounding.
    def test_small_differences_do_not_make_a_caller_a_returning_one(self):
        for budget, longest, expected in (
            (4.2, 4.2, False),
            (4.0, 4.2, False),
            (3.98, 4.2, True),
            (0.46, 0.5, False),
            (0.44, 0.5, True),
        ):
            found = is_returning_caller(budget, longest)
            self.assertEqual(expected, found, (budget, longest))

    # One caller with a very long budget must not mark all others for ever.
    def test_the_longest_budget_is_forgotten_after_the_window(self):
        budgets = TimeBudgets()
        self.assertEqual(9.0, budgets.record("order", 9.0, START))
        self.assertEqual(9.0, budgets.record("order", 4.0, START + 30))
        self.assertEqual(3.0, budgets.record("other", 3.0, START + 30))
        later = START + BUDGET_WINDOW_SECONDS + 1
        self.assertEqual(4.0, budgets.record("order", 2.0, later))

    # After the clock is set back, former budgets would stay for hours.
    def test_a_clock_that_is_set_back_does_not_keep_a_budget(self):
        budgets = TimeBudgets()
        budgets.record("order", 9.0, START + 3600)
        self.assertEqual(4.0, budgets.record("order", 4.0, START))

    # Falling budgets, each a new maximum of the rest, must not fill the memory.
    def test_the_number_of_entries_is_bounded(self):
        budgets = TimeBudgets()
        for number in range(5000):
            budgets.record("order", 5000.0 - number, START + number * 0.05)
        entries = len(budgets._by_route["order"])
        self.assertTrue(entries <= BUDGET_WINDOW_SECONDS + 1, entries)


class ExpectedReturnsTest(TestCase):
    # One organisation's refused callers delayed those of all others.
    def test_callers_of_an_organisation_wait_for_their_fair_share_of_others(self):
        returns = ExpectedReturns()
        for number in range(10):
            returns.add("large", START + 1 + number)
        returns.add("small", START + 1)
        self.assertEqual(11, returns.ahead("large", START))
        self.assertEqual(2, returns.ahead("small", START))
        self.assertEqual(0, returns.ahead("new", START))
        # Those that have been due are in the queue, or will not come.
        self.assertEqual(9, returns.ahead("large", START + 1))
        returns.shift_times(-100)
        self.assertEqual(0, returns.ahead("large", START))
        self.assertEqual(0, len(returns))

    # Refusals without end must not fill the memory.
    def test_the_number_of_expected_callers_is_bounded(self):
        returns = ExpectedReturns()
        for _ in range(MAX_EXPECTED + 10):
            returns.add("large", START + 1)
        self.assertEqual(MAX_EXPECTED, len(returns))
