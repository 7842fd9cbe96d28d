"""Tests of rate limits across routers, the chat directory and work estimates."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.capacity.rate_limit import DemandRate
from primrosescale.request.capacity.rate_limit import OrganisationRateLimiter
from primrosescale.request.capacity.rate_limit import RateSettings
from primrosescale.request.capacity.work_estimate import WorkEstimator
from primrosescale.request.capacity.work_estimate import WorkSettings
from primrosescale.request.choice.chat_directory import ChatDirectory


def drive(limiters, rate, limit, seconds):
    """Send requests to the limiters in turn and return how many were admitted.

    The total demand is reported to all limiters once a second.
    """
    admitted = 0
    refused = 0
    step = 1.0 / rate
    now = 0.0
    reported_at = 0.0
    turn = 0
    while now < seconds:
        limiter = limiters[turn % len(limiters)]
        turn += 1
        is_admitted = limiter.admit("o", limit, now) == 0.0
        admitted += is_admitted
        refused += not is_admitted
        if now - reported_at >= 1.0:
            reported_at = now
            reports = [
                r
                for item in limiters
                for r in item.demands_to_report(len(limiters), now)
            ]
            total = sum(report.rate for report in reports)
            for item in limiters:
                item.update_total(DemandRate("o", total), now)
        now += step
    return admitted, refused


class OrganisationLimiterTest(TestCase):
    def test_one_router_enforces_the_limit(self):
        admitted, _ = drive(
            [OrganisationRateLimiter(RateSettings())], 100.0, 10.0, 60.0
        )
        self.assertTrue(550 <= admitted <= 700, admitted)

    def test_many_routers_enforce_the_limit_together(self):
        limiters = [OrganisationRateLimiter(RateSettings()) for _ in range(20)]
        admitted, _ = drive(limiters, 400.0, 50.0, 60.0)
        self.assertTrue(2400 <= admitted <= 4200, admitted)

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

    def test_the_wait_ends_when_a_token_is_available(self):
        limiter = OrganisationRateLimiter(RateSettings(burst=1.0))
        limiter.admit("o", 1.0, 0.0)
        wait = limiter.admit("o", 1.0, 0.0)
        self.assertTrue(0.9 < wait <= 1.0)
        self.assertEqual(0.0, limiter.admit("o", 1.0, wait))


class ChatDirectoryTest(TestCase):
    def test_the_least_recent_chat_is_evicted_first(self):
        directory = ChatDirectory(limit=2, keep=100.0)
        for number in range(3):
            directory.record_served(f"c{number}", "a", 10, float(number))
        self.assertIsNone(directory.find("c0", 3.0))
        self.assertEqual("a", directory.find("c2", 3.0).place)

    def test_an_expired_record_is_ignored(self):
        directory = ChatDirectory(limit=2, keep=10.0)
        directory.record_served("c", "a", 10, 0.0)
        self.assertIsNone(directory.find("c", 11.0))

    def test_the_most_recent_chats_of_a_target(self):
        directory = ChatDirectory(limit=9, keep=100.0)
        for number, name in enumerate("abab"):
            directory.record_served(f"c{number}", name, 10, float(number))
        self.assertEqual(["c3", "c1"], directory.most_recent("b", 5))


class WorkEstimatorTest(TestCase):
    def test_cached_tokens_cost_nothing(self):
        estimator = WorkEstimator(WorkSettings(prefill_cost=0.1, output_default=50))
        self.assertEqual(150, estimator.estimate(1000, 0, 0))
        self.assertEqual(50, estimator.estimate(1000, 1000, 0))
        self.assertEqual(20, estimator.estimate(1000, 5000, 20))

    def test_the_length_of_answers_is_learned(self):
        estimator = WorkEstimator(WorkSettings(output_default=50))
        for _ in range(200):
            estimator.learn(400)
        self.assertTrue(estimator.expected_output > 390)
