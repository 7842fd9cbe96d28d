"""Tests how long one request waits for a target that may not be sent it yet."""

from __future__ import annotations

from dataclasses import replace

from testtools import TestCase

from entry.fakes import LOOKUP
from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import ForwardingHarness
from entry.fakes import learn
from entry.fakes import request
from entry.fakes import target
from primrosescale.request.attempt.availability_wait import AvailabilityWait
from primrosescale.request.attempt.candidate_targets import CandidateTargets
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.capacity.wait_forecast import RETRY_JITTER
from primrosescale.request.target.target_availability import TargetAvailability

USUAL_SECONDS = 0.1
PLAIN = replace(LOOKUP, timeout=12.0)


class AvailabilityAfter(TargetAvailability):
    """Every target takes a request after some seconds, and keeps places for it."""

    def __init__(self, seconds):
        super().__init__()
        self.seconds = seconds
        self.reserved = 0

    def shortest_wait(self, states, now):
        return self.seconds

    def reserve(self, states, now):
        self.reserved += 1
        return object()

    def release(self, reservation):
        self.reserved -= 1


class WaitCase:
    """One request, and what became of its wait."""

    def __init__(self, route, seconds, **fields):
        service = route.services[0].service
        self.harness = ForwardingHarness([target("t1", service)])
        learn(self.harness, route, USUAL_SECONDS)
        self.availability = AvailabilityAfter(seconds)
        self.harness.tools.availability = self.availability
        self.started = []
        self.refused = []
        self.wait = AvailabilityWait(
            CandidateTargets(request(route, **fields), self.harness.tools),
            self.harness.tools,
            self.started.append,
            lambda refusal, retry_after: self.refused.append((refusal, retry_after)),
        )

    def begin(self):
        self.wait.begin(self.harness.clock.seconds())

    def assert_told_from(self, earliest, test):
        """Assert that it was refused once, to return from a time on."""
        [(refusal, told)] = self.refused
        test.assertIs(Refusal.TARGETS_COLD, refusal)
        first, last = (earliest * jitter for jitter in RETRY_JITTER)
        test.assertTrue(first <= told <= last, told)

    def outcome(self):
        """Return when it was sent, else what it was refused for."""
        self.begin()
        self.harness.clock.advance(self.availability.seconds)
        return self.started or self.refused


class AvailabilityWaitTest(TestCase):
    def test_it_is_sent_once_a_target_takes_it(self):
        case = WaitCase(PLAIN, 0.5, deadline=START + 2.0)
        self.assertEqual([START + 0.5], case.outcome())
        self.assertEqual([], case.refused)

    # A request that could not be answered in time was held, and then refused.
    def test_it_is_refused_at_once_if_its_answer_would_come_too_late(self):
        case = WaitCase(PLAIN, 1.95, deadline=START + 2.0)
        case.begin()
        case.assert_told_from(1.95, self)
        self.assertEqual(0, case.availability.reserved)

    # Waits were a share of what its route aims at; a caller of any route with as much
    # time left for as long an answer has to wait as long.
    def test_routes_do_not_differ_if_their_answers_take_as_long(self):
        for seconds in (0.3, 1.0, 1.7, 1.95, 2.5):
            deadline = START + 2.0
            lookup = WaitCase(PLAIN, seconds, deadline=deadline).outcome()
            stream = WaitCase(STREAM, seconds, deadline=deadline).outcome()
            self.assertEqual(lookup, stream)

    # A caller that came again was refused where one that came first waited.
    def test_a_retry_with_as_much_time_left_waits_as_long(self):
        for seconds in (0.3, 1.0, 1.7, 1.95, 2.5):
            first = WaitCase(PLAIN, seconds, deadline=START + 2.0)
            retry = WaitCase(PLAIN, seconds, request_id="r1-2", deadline=START + 2.0)
            self.assertEqual(first.outcome(), retry.outcome())

    # Without an end, a request whose target is taken by others each time waits until
    # its deadline for a place that nothing promises.
    def test_it_does_not_wait_on_and_on_for_places_that_others_take(self):
        case = WaitCase(PLAIN, 0.5, deadline=START + 9.0)
        case.begin()
        case.harness.clock.advance(0.5)
        case.availability.seconds = 0.2
        case.begin()
        case.harness.clock.advance(0.2)
        self.assertEqual(2, len(case.started))
        case.begin()
        case.assert_told_from(0.2, self)

    def test_a_place_is_kept_for_it_while_it_waits(self):
        case = WaitCase(PLAIN, 0.5, deadline=START + 2.0)
        case.begin()
        self.assertEqual(1, case.availability.reserved)
        case.harness.clock.advance(0.5)
        self.assertEqual(0, case.availability.reserved)

    # The place of a caller that had left was kept, and others were refused.
    def test_a_cancelled_wait_frees_its_place_and_sends_nothing(self):
        case = WaitCase(PLAIN, 0.5, deadline=START + 2.0)
        case.begin()
        case.wait.cancel()
        self.assertEqual(0, case.availability.reserved)
        case.harness.clock.advance(1.0)
        self.assertEqual([], case.started)
        self.assertEqual([], case.refused)
