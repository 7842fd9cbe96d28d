"""Forecasts of waits, latest starts, Retry-After, and callers that return."""

from __future__ import annotations

import math
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import request
from primrosescale.request.answer.usual_times import AnswerTime
from primrosescale.request.capacity.capacity_view import Allowance
from primrosescale.request.capacity.expected_returns import MAX_EXPECTED
from primrosescale.request.capacity.expected_returns import ExpectedReturns
from primrosescale.request.capacity.start_intervals import AVERAGED_PAUSES
from primrosescale.request.capacity.start_intervals import StartIntervals
from primrosescale.request.capacity.wait_forecast import MAX_RETRY_AFTER_SHARE
from primrosescale.request.capacity.wait_forecast import RETRY_JITTER
from primrosescale.request.capacity.wait_forecast import forecast_wait
from primrosescale.request.capacity.wait_forecast import latest_start
from primrosescale.request.capacity.wait_forecast import retry_after
from support.overload import ORDER

SECONDS = st.floats(0.0, 100.0)
ANSWER = AnswerTime(0.1, 0.2)


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
    def latest(self, route=ORDER, budget=4.2, answer=ANSWER):
        return latest_start(request(route, deadline=START + budget), answer) - START

    # Callers were refused after a share of the latency objective, with time left.
    def test_a_request_may_wait_while_its_answer_fits_into_the_time_left(self):
        self.assertAlmostEqual(4.0, self.latest())
        self.assertAlmostEqual(1.8, self.latest(budget=2.0))
        self.assertAlmostEqual(3.2, self.latest(answer=AnswerTime(0.1, 1.0)))

    # An answer that begins later than that comes after the deadline.
    def test_a_request_without_time_for_its_answer_may_not_wait(self):
        self.assertTrue(self.latest(budget=0.1) < 0)

    # A route's timeout ends a request like its caller does.
    def test_the_timeout_of_the_route_counts(self):
        self.assertAlmostEqual(0.8, self.latest(replace(ORDER, timeout=1.0)))

    # Streams were sent whose callers had left for lack of a first event.
    def test_the_first_event_of_a_stream_has_to_come_while_its_caller_waits(self):
        stream = replace(STREAM, timeout=20.0, event_patience=2.4)
        begins = AnswerTime(0.5, 1.5)
        self.assertAlmostEqual(1.9, self.latest(stream, 12.0, begins))
        self.assertAlmostEqual(0.5, self.latest(stream, 2.0, begins))
        plain = replace(ORDER, event_patience=2.4)
        self.assertAlmostEqual(10.5, self.latest(plain, 12.0, begins))


class RetryAfterTest(TestCase):
    # Callers ignore a longer time, and a shorter one brings them back into the surge.
    @given(st.one_of(SECONDS, st.just(math.inf)), SECONDS)
    def test_it_is_at_most_a_third_of_the_time_left(self, forecast, left):
        for jitter in RETRY_JITTER:
            found = retry_after(forecast, left, jitter)
            self.assertTrue(0.0 <= found <= left / 3)
            least = min(forecast, left * MAX_RETRY_AFTER_SHARE)
            self.assertTrue(found >= least)

    # Callers were kept away for the objective or a fifth of their time where there
    # was room at once.
    def test_it_is_no_longer_than_until_there_is_room(self):
        self.assertAlmostEqual(0.02, retry_after(0.02, 60.0, 1.0))

    # A negative time left, of a caller past its deadline, is no valid header.
    def test_it_is_never_negative(self):
        self.assertEqual(0.0, retry_after(1.0, -2.0, 1.0))


class StartIntervalsTest(TestCase):
    def started(self, pauses, waiting=5):
        intervals, now = StartIntervals(), START
        intervals.started("large", 1, waiting, now)
        for pause in pauses:
            now += pause
            intervals.started("large", 1, waiting, now)
        return intervals

    # Calls that others overtake waited until their time was over.
    def test_the_pauses_between_starts_are_averaged(self):
        intervals = self.started([0.2, 0.4] * AVERAGED_PAUSES)
        self.assertAlmostEqual(0.3, intervals.interval("large", 1), delta=0.01)
        least = intervals.least_interval("large", 1)
        self.assertTrue(0.25 < least < 0.3, least)

    # Calls were refused by what had been left for others, or for their organisation
    # when it had none waiting.
    def test_only_an_organisation_that_has_waiting_calls_is_known(self):
        intervals = self.started([0.2, 0.2])
        self.assertEqual(0.0, intervals.interval("large", 2))
        self.assertEqual(0.0, intervals.interval("small", 1))
        intervals.started("large", 1, 0, START + 9)
        self.assertEqual((0.0, 0), (intervals.interval("large", 1), len(intervals)))
        again = self.started([0.2])
        again.left("large", 1)
        self.assertEqual(0, len(again))

    # A single long pause said that nothing else would be started.
    def test_one_pause_says_little(self):
        self.assertEqual(0.0, self.started([5.0]).least_interval("large", 1))

    # Pauses measured across a change of the clock stopped all others for minutes.
    def test_a_clock_that_is_set_adds_no_pause(self):
        intervals = self.started([0.2, 0.2, -50.0, 0.2])
        self.assertAlmostEqual(0.2, intervals.interval("large", 1))
        intervals.shift_times(100.0)
        intervals.started("large", 1, 5, START + 50.8)
        self.assertTrue(intervals.interval("large", 1) < 0.5)


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
