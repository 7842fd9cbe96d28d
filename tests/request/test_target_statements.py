"""What targets say of themselves, and how routers return to one that has rested.

The pattern: an overloaded target has turned requests of all routers away and asked each
for 3 s of rest. Callers come at all routers all the while, more than the target takes.
"""

from __future__ import annotations

import heapq
import itertools

from testtools import TestCase

from entry.fakes import head
from entry.fakes import make_incarnation
from primrosescale.request.target_statements import ASK_AGAIN_SECONDS
from primrosescale.request.target_statements import MOST_KEPT
from primrosescale.request.target_statements import RetainedSelfReports
from primrosescale.request.target_statements import TargetSelfReports

START = 1000.0
SLOTS = 64
REST = 3.0
# Seconds until a target that works begins to answer a request.
ANSWERS_IN = 0.1
# Seconds between two callers at a router.
CALLERS_EVERY = 0.005


class ReturningFleet:
    """Routers that were all told to rest at the same moment, the worst case."""

    def __init__(self, routers):
        self.routers = [TargetSelfReports() for _ in range(routers)]
        for self_reports in self.routers:
            self_reports.take(head(503, is_not_run=True, rest=REST), SLOTS, START)
        # Times at which requests were sent.
        self.sent = []
        self._order = itertools.count()

    def run(self, seconds):
        """Have callers come at all routers, and the target answer all it gets."""
        due = []
        for number, self_reports in enumerate(self.routers):
            at = START + CALLERS_EVERY * number / len(self.routers)
            heapq.heappush(due, (at, next(self._order), "caller", self_reports))
        while due:
            now, _, what, self_reports = heapq.heappop(due)
            if now >= START + seconds:
                return
            if what == "answer":
                self_reports.take(head(), SLOTS, now)
                continue
            if not self_reports.wait(now):
                self_reports.sent(now)
                self.sent.append(now)
                answer = (now + ANSWERS_IN, next(self._order), "answer", self_reports)
                heapq.heappush(due, answer)
            caller = (now + CALLERS_EVERY, next(self._order), "caller", self_reports)
            heapq.heappush(due, caller)

    def sent_between(self, first, last):
        return sum(START + first <= at < START + last for at in self.sent)


class ReturnAfterRestTest(TestCase):
    # Guards against all that was refused coming at the moment at which a rest ends.
    def test_the_return_rises_with_what_is_answered(self):
        for routers in (4, 30, 68, 300):
            fleet = ReturningFleet(routers)
            fleet.run(REST + 1.0)
            self.assertEqual(0, fleet.sent_between(0.0, REST))
            # One each before the first answer, then two for each answer.
            self.assertEqual(routers, fleet.sent_between(REST, REST + ANSWERS_IN))
            second = fleet.sent_between(REST + ANSWERS_IN, REST + 2 * ANSWERS_IN)
            self.assertTrue(second <= 3 * routers, f"{second} of {routers}")

    # Guards against a limit that outlasts what the target can take.
    def test_half_a_second_later_nobody_waits(self):
        for routers in (4, 30, 68, 300):
            fleet = ReturningFleet(routers)
            fleet.run(REST + 1.5)
            wanted = routers * 0.5 / CALLERS_EVERY
            came = fleet.sent_between(REST + 1.0, REST + 1.5)
            self.assertTrue(came >= 0.95 * wanted, f"{came} of {wanted}")


class TargetStatementsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.self_reports = TargetSelfReports()

    def rest(self, seconds, now=START):
        return self.self_reports.take(
            head(503, is_not_run=True, rest=seconds), SLOTS, now
        )

    def test_only_the_first_word_of_a_rest_is_news(self):
        self.assertTrue(self.rest(3.0))
        self.assertFalse(self.rest(3.0, START + 1))
        self.assertEqual(2.0, self.self_reports.wait(START + 2))
        self.assertTrue(self.rest(1.0, START + 5))

    def test_leaving_is_news_once_and_is_never_taken_back(self):
        self.assertTrue(self.self_reports.take(head(is_leaving=True), SLOTS, START))
        self.assertFalse(
            self.self_reports.take(head(is_leaving=True), SLOTS, START + 1)
        )
        self.self_reports.take(head(), SLOTS, START + 2)
        self.assertTrue(self.self_reports.is_leaving)
        self.assertEqual(START, self.self_reports.leaving_since)

    # Guards against a target that is left for ever since its first answer was lost.
    def test_one_that_does_not_answer_is_asked_again(self):
        self.rest(1.0)
        self.assertEqual(0.0, self.self_reports.wait(START + 1))
        self.self_reports.sent(START + 1)
        self.assertTrue(self.self_reports.wait(START + 1.5) > 0)
        self.assertEqual(0.0, self.self_reports.wait(START + 1 + ASK_AGAIN_SECONDS))

    # Guards against a request that was declined without a word on when to return.
    def test_what_is_declined_makes_no_room(self):
        self.rest(1.0)
        self.self_reports.sent(START + 1)
        self.self_reports.take(head(503, is_not_run=True), SLOTS, START + 1.1)
        self.assertTrue(self.self_reports.wait(START + 1.2) > 0)

    # Guards against room for answers to what was sent before the rest.
    def test_an_answer_in_a_rest_makes_no_room(self):
        self.rest(1.0)
        for number in range(90):
            self.self_reports.take(head(), SLOTS, START + number / 100)
        self.assertTrue(self.self_reports.is_limited)
        self.self_reports.sent(START + 1)
        self.assertTrue(self.self_reports.wait(START + 1.1) > 0)


class KeptStatementsTest(TestCase):
    """What targets said whose entries have lapsed."""

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

    def test_nothing_is_kept_of_targets_that_said_nothing(self):
        kept = RetainedSelfReports()
        kept.keep(make_incarnation("m1"), TargetSelfReports(), START)
        self.assertEqual(0, len(kept))

    # Guards against a memory that grows with each target that ever left.
    def test_those_kept_first_make_room(self):
        kept = RetainedSelfReports()
        for number in range(MOST_KEPT + 10):
            kept.keep(make_incarnation(f"m{number}"), self.leaving(), START)
        self.assertEqual(MOST_KEPT, len(kept))
        self.assertFalse(kept.pop(make_incarnation("m0")).is_leaving)
        self.assertTrue(kept.pop(make_incarnation(f"m{MOST_KEPT + 9}")).is_leaving)
