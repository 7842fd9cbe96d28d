"""Tests self-reports of targets, and how requests return after a requested pause.

An overloaded target has refused requests of all routers and asked each for a pause of
3 s. Meanwhile callers arrive at all routers, more than the target can take.
"""

from __future__ import annotations

import heapq
import itertools

from testtools import TestCase

from entry.fakes import head
from entry.fakes import make_incarnation
from primrosescale.request.target.target_self_reports import MAX_RETAINED
from primrosescale.request.target.target_self_reports import PROBE_AGAIN_SECONDS
from primrosescale.request.target.target_self_reports import RetainedSelfReports
from primrosescale.request.target.target_self_reports import TargetSelfReports

START = 1000.0
SLOTS = 64
PAUSE_SECONDS = 3.0
# Time until a working target begins to answer a request.
ANSWER_SECONDS = 0.1
# Time between two callers at a router.
CALLER_INTERVAL_SECONDS = 0.005


class ReturningFleet:
    """Routers that were all asked for a pause at the same time, the worst case."""

    def __init__(self, routers):
        self.routers = [TargetSelfReports() for _ in range(routers)]
        for self_reports in self.routers:
            self_reports.record_answer(
                head(503, is_not_run=True, rest=PAUSE_SECONDS), SLOTS, START
            )
        # Times at which requests were sent.
        self.sent = []
        self._order = itertools.count()

    def run(self, seconds):
        """Have callers arrive at all routers, and the target answer all it gets."""
        due = []
        for number, self_reports in enumerate(self.routers):
            at = START + CALLER_INTERVAL_SECONDS * number / len(self.routers)
            heapq.heappush(due, (at, next(self._order), "caller", self_reports))
        while due:
            now, _, what, self_reports = heapq.heappop(due)
            if now >= START + seconds:
                return
            if what == "answer":
                self_reports.record_answer(head(), SLOTS, now)
                continue
            if not self_reports.wait(now):
                self_reports.sent(now)
                self.sent.append(now)
                answer = (
                    now + ANSWER_SECONDS,
                    next(self._order),
                    "answer",
                    self_reports,
                )
                heapq.heappush(due, answer)
            caller = (
                now + CALLER_INTERVAL_SECONDS,
                next(self._order),
                "caller",
                self_reports,
            )
            heapq.heappush(due, caller)

    def sent_between(self, first, last):
        return sum(START + first <= at < START + last for at in self.sent)


class ReturnAfterPauseTest(TestCase):
    # Guards against all refused requests arriving at the end of the pause.
    def test_the_rate_rises_with_the_answers(self):
        for routers in (4, 30, 68, 300):
            fleet = ReturningFleet(routers)
            fleet.run(PAUSE_SECONDS + 1.0)
            self.assertEqual(0, fleet.sent_between(0.0, PAUSE_SECONDS))
            # Each router sends one before the first answer, then two per answer.
            self.assertEqual(
                routers,
                fleet.sent_between(PAUSE_SECONDS, PAUSE_SECONDS + ANSWER_SECONDS),
            )
            second = fleet.sent_between(
                PAUSE_SECONDS + ANSWER_SECONDS, PAUSE_SECONDS + 2 * ANSWER_SECONDS
            )
            self.assertTrue(second <= 3 * routers, f"{second} of {routers}")

    # Guards against a limit that stays below what the target can take.
    def test_no_caller_waits_half_a_second_later(self):
        for routers in (4, 30, 68, 300):
            fleet = ReturningFleet(routers)
            fleet.run(PAUSE_SECONDS + 1.5)
            wanted = routers * 0.5 / CALLER_INTERVAL_SECONDS
            came = fleet.sent_between(PAUSE_SECONDS + 1.0, PAUSE_SECONDS + 1.5)
            self.assertTrue(came >= 0.95 * wanted, f"{came} of {wanted}")


class TargetStatementsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.self_reports = TargetSelfReports()

    def request_pause(self, seconds, now=START):
        return self.self_reports.record_answer(
            head(503, is_not_run=True, rest=seconds), SLOTS, now
        )

    def test_only_the_first_report_of_a_pause_is_new(self):
        self.assertTrue(self.request_pause(3.0))
        self.assertFalse(self.request_pause(3.0, START + 1))
        self.assertEqual(2.0, self.self_reports.wait(START + 2))
        self.assertTrue(self.request_pause(1.0, START + 5))

    def test_leaving_is_new_once_and_is_final(self):
        self.assertTrue(
            self.self_reports.record_answer(head(is_leaving=True), SLOTS, START)
        )
        self.assertFalse(
            self.self_reports.record_answer(head(is_leaving=True), SLOTS, START + 1)
        )
        self.self_reports.record_answer(head(), SLOTS, START + 2)
        self.assertTrue(self.self_reports.is_leaving)
        self.assertEqual(START, self.self_reports.leaving_since)

    # Guards against never using a target again whose first answer was lost.
    def test_one_that_does_not_answer_is_asked_again(self):
        self.request_pause(1.0)
        self.assertEqual(0.0, self.self_reports.wait(START + 1))
        self.self_reports.sent(START + 1)
        self.assertTrue(self.self_reports.wait(START + 1.5) > 0)
        self.assertEqual(0.0, self.self_reports.wait(START + 1 + PROBE_AGAIN_SECONDS))

    # Guards against raising the limit for a request declined without a pause time.
    def test_a_declined_request_does_not_raise_the_limit(self):
        self.request_pause(1.0)
        self.self_reports.sent(START + 1)
        self.self_reports.record_answer(head(503, is_not_run=True), SLOTS, START + 1.1)
        self.assertTrue(self.self_reports.wait(START + 1.2) > 0)

    # Guards against raising the limit for answers to requests sent before the pause.
    def test_an_answer_during_a_pause_does_not_raise_the_limit(self):
        self.request_pause(1.0)
        for number in range(90):
            self.self_reports.record_answer(head(), SLOTS, START + number / 100)
        self.assertTrue(self.self_reports.is_limited)
        self.self_reports.sent(START + 1)
        self.assertTrue(self.self_reports.wait(START + 1.1) > 0)


class KeptStatementsTest(TestCase):
    """Self-reports of targets whose entries have expired."""

    def leaving(self):
        self_reports = TargetSelfReports()
        self_reports.set_leaving(START)
        return self_reports

    def test_they_are_given_back_once_for_that_incarnation_alone(self):
        kept = RetainedSelfReports()
        kept.keep(make_incarnation("m1", 5), self.leaving(), START)
        self.assertFalse(kept.pop(make_incarnation("m1", 6)).is_leaving)
        self.assertTrue(kept.pop(make_incarnation("m1", 5)).is_leaving)
        self.assertFalse(kept.pop(make_incarnation("m1", 5)).is_leaving)

    def test_nothing_is_kept_of_targets_that_reported_nothing(self):
        kept = RetainedSelfReports()
        kept.keep(make_incarnation("m1"), TargetSelfReports(), START)
        self.assertEqual(0, len(kept))

    # Guards against memory that grows with each target that ever left.
    def test_the_oldest_are_dropped_first(self):
        kept = RetainedSelfReports()
        for number in range(MAX_RETAINED + 10):
            kept.keep(make_incarnation(f"m{number}"), self.leaving(), START)
        self.assertEqual(MAX_RETAINED, len(kept))
        self.assertFalse(kept.pop(make_incarnation("m0")).is_leaving)
        self.assertTrue(kept.pop(make_incarnation(f"m{MAX_RETAINED + 9}")).is_leaving)
