"""How an agent learns what its target can do, and what callers get meanwhile."""

from __future__ import annotations

import random

from testtools import TestCase

from primrosescale.connection.wire.ttypes import Reason
from primrosescale.request.capacity.admission import AdmissionSettings
from primrosescale.request.capacity.work_rate import MIN_CALLS
from primrosescale.request.capacity.work_rate import WorkRate
from request.test_admission import call
from request.test_admission import make

SLOTS = 16
WORK = 100
SECONDS = 0.1
# What the target can do, in calls and in work units a second.
CAN_DO = SLOTS / SECONDS
TRUE_RATE = CAN_DO * WORK
BUDGET = 2.0
DEFAULT_RATE = AdmissionSettings().rate_default


class Play:
    """An agent of one target; each phase is a rate of calls and its seconds."""

    def __init__(self, *phases, assumed=DEFAULT_RATE):
        self.rng = random.Random(1)
        self.admission = make(floor=10**9, slots=SLOTS, queue_limit=4096, rate=assumed)
        self.reasons = []
        self.started = []
        self.expired = []
        self.running = []
        now = 0.0
        for rate, seconds in phases:
            now = self._play(rate, now, now + seconds)
        self._play(0.0, now, now + BUDGET + SECONDS)

    def _play(self, rate, now, until):
        due = now
        while now < until:
            while rate and due <= now:
                due += self.rng.expovariate(rate)
                self._offer(now)
            for ends_at, ended in list(self.running):
                if ends_at <= now:
                    self.running.remove((ends_at, ended))
                    self.admission.finished(ended, now)
            self.expired.extend(self.admission.expired(now))
            for started in self.admission.start_next(now):
                self.started.append(started)
                takes = SECONDS * self.rng.uniform(0.8, 1.2)
                self.running.append((now + takes, started))
            now += 0.001
        return until

    def _offer(self, now):
        offered = call(f"o{self.rng.randrange(2)}", WORK, deadline=now + BUDGET)
        verdict = self.admission.offer(offered, now)
        if not verdict.is_admitted:
            self.reasons.append(verdict.reason)


class LearningTest(TestCase):
    # An agent that had just started took its target for one of 10 calls a second, and
    # refused half of a burst that could be done in its callers' time.
    def test_a_burst_at_the_start_is_served(self):
        for rate, seconds in ((400.0, 0.5), (800.0, 0.2)):
            play = Play((rate, seconds))
            self.assertEqual([], play.reasons)
            self.assertEqual([], play.expired)
            self.assertTrue(len(play.started) > 100, len(play.started))

    # What was learned while little was asked for counted like what the target can do.
    def test_a_burst_after_little_load_is_served(self):
        play = Play((20.0, 10.0), (400.0, 0.5))
        self.assertEqual(([], []), (play.reasons, play.expired))

    # It learned a tenth of the truth a second: callers were held to their deadline for
    # ten seconds where more had been assumed.
    def test_a_wrong_assumption_is_dropped_after_one_turn_of_the_slots(self):
        for factor in (0.1, 10.0):
            play = Play((2.5 * CAN_DO, 8.0), assumed=factor * TRUE_RATE)
            self.assertTrue(len(play.expired) <= SLOTS, (factor, len(play.expired)))
            share = len(play.started) / (8.0 * CAN_DO)
            self.assertTrue(share >= 0.95, (factor, share))
            rate = play.admission.rate
            self.assertTrue(0.9 <= rate / TRUE_RATE <= 1.1, (factor, rate))

    # Guards against callers that are refused for a forecast of nothing.
    def test_before_anything_is_known_no_forecast_refuses_a_call(self):
        admission = make(slots=1, queue_limit=50, rate=0.0)
        reasons = [admission.offer(call(deadline=0.01), 0.0).reason for _ in range(60)]
        self.assertEqual({None, Reason.QUEUE_FULL}, set(reasons))
        self.assertEqual(50, reasons.count(None))
        self.assertIsNone(admission.rate)


class WorkRateTest(TestCase):
    # Guards against taking what is asked for for what can be done.
    def test_only_times_without_slots_to_spare_count(self):
        rate = WorkRate(2, 0.0)
        for number in range(100):
            rate.set_busy(float(number), is_busy=False)
            rate.finished(10, number + 0.5)
        self.assertIsNone(rate.known)
        self.assertEqual(0.0, rate.seconds_for(1000))

    # Guards against a division by zero if the clock does not advance.
    def test_calls_that_end_at_one_moment_are_counted_later(self):
        rate = WorkRate(2, 0.0)
        rate.set_busy(5.0, is_busy=True)
        for _ in range(3 * MIN_CALLS):
            rate.finished(10, 5.0)
        self.assertIsNone(rate.known)
        rate.finished(10, 6.0)
        self.assertEqual(10.0 * (3 * MIN_CALLS + 1), rate.known)

    # Guards against one odd measurement that replaces what is known.
    def test_later_measurements_are_averaged(self):
        rate = WorkRate(2, 0.0)
        rate.set_busy(0.0, is_busy=True)
        for second, work in ((1.0, 10), (2.0, 50)):
            for _ in range(MIN_CALLS - 1):
                rate.finished(work, second - 0.5)
            rate.finished(work, second)
        self.assertEqual(MIN_CALLS * 20.0, rate.known)
