"""An organisation's limit holds across routers, at a cost for few."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.chat_directory import ChatDirectory
from primrosescale.request.rate_limit import DemandRate
from primrosescale.request.rate_limit import OrganisationRateLimiter
from primrosescale.request.rate_limit import RateSettings
from primrosescale.request.work_estimate import WorkEstimator
from primrosescale.request.work_estimate import WorkSettings


def drive(limiters, rate, limit, seconds):
    """Offer requests in turn; tell the sums once a second; count the taken."""
    taken = 0
    refused = 0
    step = 1.0 / rate
    now = 0.0
    told = 0.0
    turn = 0
    while now < seconds:
        limiter = limiters[turn % len(limiters)]
        turn += 1
        is_taken = limiter.admit("o", limit, now) == 0.0
        taken += is_taken
        refused += not is_taken
        if now - told >= 1.0:
            told = now
            reports = [
                r
                for item in limiters
                for r in item.demands_to_report(len(limiters), now)
            ]
            total = sum(report.rate for report in reports)
            for item in limiters:
                item.update_total(DemandRate("o", total), now)
        now += step
    return taken, refused


class OrganisationLimiterTest(TestCase):
    def test_one_router_holds_the_limit(self):
        taken, _ = drive([OrganisationRateLimiter(RateSettings())], 100.0, 10.0, 60.0)
        self.assertTrue(550 <= taken <= 700, taken)

    def test_many_routers_hold_it_together(self):
        limiters = [OrganisationRateLimiter(RateSettings()) for _ in range(20)]
        taken, _ = drive(limiters, 400.0, 50.0, 60.0)
        self.assertTrue(2400 <= taken <= 4200, taken)

    def test_an_organisation_under_its_limit_is_never_refused(self):
        limiters = [OrganisationRateLimiter(RateSettings()) for _ in range(5)]
        _, refused = drive(limiters, 20.0, 50.0, 60.0)
        self.assertEqual(0, refused)

    def test_only_organisations_near_their_limit_are_reported(self):
        limiter = OrganisationRateLimiter(RateSettings())
        for number in range(1000):
            limiter.admit(f"idle{number}", 100.0, 0.0)
        for number in range(200):
            limiter.admit("busy", 100.0, number * 0.01)
        names = [item.organisation for item in limiter.demands_to_report(10, 2.0)]
        self.assertEqual(["busy"], names)

    def test_idle_meters_are_dropped(self):
        limiter = OrganisationRateLimiter(RateSettings())
        for number in range(1000):
            limiter.admit(f"o{number}", 100.0, 0.0)
        limiter.demands_to_report(10, 100.0)
        self.assertEqual(0, len(limiter))

    def test_advice_is_when_a_token_will_be_there(self):
        limiter = OrganisationRateLimiter(RateSettings(burst=1.0))
        limiter.admit("o", 1.0, 0.0)
        wait = limiter.admit("o", 1.0, 0.0)
        self.assertTrue(0.9 < wait <= 1.0)
        self.assertEqual(0.0, limiter.admit("o", 1.0, wait))


class ChatDirectoryTest(TestCase):
    def test_the_least_recent_chat_is_forgotten_first(self):
        directory = ChatDirectory(limit=2, keep=100.0)
        for number in range(3):
            directory.record_served(f"c{number}", "a", 10, float(number))
        self.assertIsNone(directory.find("c0", 3.0))
        self.assertEqual("a", directory.find("c2", 3.0).place)

    def test_an_old_record_counts_for_nothing(self):
        directory = ChatDirectory(limit=2, keep=10.0)
        directory.record_served("c", "a", 10, 0.0)
        self.assertIsNone(directory.find("c", 11.0))

    def test_the_hottest_chats_of_a_place(self):
        directory = ChatDirectory(limit=9, keep=100.0)
        for number, place in enumerate("abab"):
            directory.record_served(f"c{number}", place, 10, float(number))
        self.assertEqual(["c3", "c1"], directory.most_recent("b", 5))


class WorkEstimatorTest(TestCase):
    def test_cached_tokens_cost_nothing(self):
        estimator = WorkEstimator(WorkSettings(prefill_cost=0.1, output_default=50))
        self.assertEqual(150, estimator.estimate(1000, 0, 0))
        self.assertEqual(50, estimator.estimate(1000, 1000, 0))
        self.assertEqual(20, estimator.estimate(1000, 5000, 20))

    def test_the_length_of_answers_is_learnt(self):
        estimator = WorkEstimator(WorkSettings(output_default=50))
        for _ in range(200):
            estimator.learn(400)
        self.assertTrue(estimator.expected_output > 390)
