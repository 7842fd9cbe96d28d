"""Which retries count as read, by what targets answer."""

from __future__ import annotations

from dataclasses import replace

from testtools import TestCase
from twisted.internet.task import Clock

from entry.fakes import LOOKUP
from entry.fakes import START
from entry.fakes import FakeCaller
from entry.fakes import head
from entry.fakes import make_incarnation
from entry.fakes import request
from entry.fakes import target
from primrosescale.request.attempt.delivery_tracker import DeliveryTracker
from primrosescale.request.attempt.forwarding_interfaces import OutgoingRequest
from primrosescale.request.attempt.forwarding_interfaces import ResponseObserver
from primrosescale.request.attempt.reading_delays import LATE_SECONDS
from primrosescale.request.attempt.reading_delays import MIN_LATE_ATTEMPTS
from primrosescale.request.attempt.reading_delays import ReadingDelays
from primrosescale.request.attempt.retry_share import MAX_UNREAD_SECONDS
from primrosescale.request.attempt.tracked_target_client import TrackedTargetClient

A, B, C = (make_incarnation(name) for name in ("a", "b", "c"))


class RecordedBudget:
    """Records when retries are sent and read."""

    def __init__(self):
        self.sent_at = []
        self.read_at = []
        self.assumed_read = 0
        self.delays = ReadingDelays()

    @property
    def unread(self):
        return len(self.sent_at) - len(self.read_at)

    def sent(self, now):
        self.sent_at.append(now)

    def read(self, now, *, is_answered=True):
        self.read_at.append(now)
        self.assumed_read += not is_answered


class DeliveryTrackerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.budget = RecordedBudget()
        self.tracker = DeliveryTracker(lambda _: self.budget)
        self.request = request(replace(LOOKUP, timeout=60.0), deadline=START + 60)

    def send(self, target, at, sent_request=None):
        return self.tracker.sent(sent_request or self.request, target, START + at)

    def test_the_first_attempt_is_no_retry(self):
        first = self.send(A, 0)
        self.assertEqual(0, self.budget.unread)
        self.tracker.answered(first, START + 1)
        self.assertEqual([], self.budget.read_at)

    def test_a_retry_after_an_answer_is_read_when_it_is_answered(self):
        self.tracker.answered(self.send(A, 0), START + 1)
        retry = self.send(B, 1)
        self.assertEqual([START + 1], self.budget.sent_at)
        self.tracker.answered(retry, START + 3)
        self.assertEqual([START + 3], self.budget.read_at)
        self.assertEqual(0, self.budget.assumed_read)

    # The target that a request was sent to first read it last, and that did not count.
    def test_the_attempt_that_is_read_last_is_the_retry(self):
        first = self.send(A, 0)
        second = self.send(B, 1)
        self.assertEqual(1, self.budget.unread)
        self.tracker.answered(second, START + 2)
        self.assertEqual(1, self.budget.unread)
        self.tracker.answered(first, START + 8)
        self.assertEqual([START + 8], self.budget.read_at)

    def test_three_unread_attempts_are_two_retries(self):
        attempts = [self.send(each, n) for n, each in enumerate((A, B, C))]
        self.assertEqual(2, self.budget.unread)
        for n, left in enumerate((2, 1, 0)):
            self.tracker.answered(attempts[n], START + 3)
            self.assertEqual(left, self.budget.unread)

    # A connection that held its bytes was taken as read by an answer on another one.
    def test_an_answer_to_a_later_request_settles_only_that(self):
        first = self.send(A, 0)
        self.tracker.answered(self.send(B, 1), START + 1)
        later = self.send(A, 2, request(request_id="r2"))
        self.tracker.answered(later, START + 4)
        self.assertEqual(1, self.budget.unread)
        self.tracker.answered(first, START + 6)
        self.assertEqual([START + 6], self.budget.read_at)

    def test_a_target_that_answers_later_requests_does_not_stand_still(self):
        for number in range(2 * MIN_LATE_ATTEMPTS):
            self.send(A, 0, request(request_id=f"r{number}"))
        self.assertTrue(self.budget.delays.stood_still(START, START + 2))
        self.tracker.answered(self.send(A, 2, request(request_id="later")), START + 2)
        self.assertFalse(self.budget.delays.stood_still(START + 5, START + 5))

    def test_an_answer_to_an_earlier_request_settles_nothing(self):
        earlier = self.send(A, 0, request(request_id="r2"))
        self.send(A, 1)
        self.tracker.answered(self.send(B, 1), START + 1)
        self.tracker.answered(earlier, START + 2)
        self.assertEqual(1, self.budget.unread)

    def test_an_answer_of_another_target_settles_nothing(self):
        self.send(A, 0)
        self.send(B, 1)
        self.tracker.answered(self.send(C, 2, request(request_id="r2")), START + 3)
        self.assertEqual(1, self.budget.unread)

    def test_a_target_that_started_again_reads_nothing_sent_before(self):
        self.send(make_incarnation("a", 1), 0)
        self.tracker.answered(self.send(B, 1), START + 1)
        self.send(make_incarnation("a", 2), 5, request(request_id="r2"))
        self.assertEqual([START + 5], self.budget.read_at)

    def test_attempts_are_given_up_after_some_time(self):
        self.send(A, 0)
        self.tracker.answered(self.send(B, 1), START + 1)
        for seconds, left in ((MAX_UNREAD_SECONDS - 1, 1), (MAX_UNREAD_SECONDS + 1, 0)):
            self.send(C, seconds, request(request_id=f"r{seconds}"))
            self.assertEqual(left, self.budget.unread)
        self.assertEqual(1, self.budget.assumed_read)

    def test_requests_that_ended_are_forgotten(self):
        for second in range(200):
            sent = request(request_id=f"r{second}", now=START + second)
            self.tracker.answered(self.send(A, second, sent), START + second)
        self.assertLess(len(self.tracker._requests), 10)
        self.assertEqual(0, len(self.tracker._unread["a"]))


class ReadingDelaysTest(TestCase):
    def setUp(self):
        super().setUp()
        self.delays = ReadingDelays()

    def send(self, count, at=0.0):
        for _ in range(count):
            self.delays.sent(START + at)

    def answer(self, count, sent_at, at):
        for _ in range(count):
            self.delays.answered(START + sent_at, START + at)

    def stood_still(self, after, since=0.0):
        return self.delays.stood_still(START + since, START + after)

    def test_targets_that_answer_soon_do_not_stand_still(self):
        self.assertFalse(self.stood_still(1))
        self.send(8)
        self.answer(8, 0, LATE_SECONDS - 0.1)
        self.assertFalse(self.stood_still(5))

    def test_targets_that_answer_nothing_stand_still(self):
        self.send(8)
        self.assertFalse(self.stood_still(LATE_SECONDS))
        self.assertTrue(self.stood_still(LATE_SECONDS + 0.3))

    def test_a_standstill_counts_for_the_time_that_is_asked_for(self):
        self.send(8)
        self.answer(8, 0, 3)
        self.send(100, 3.1)
        self.answer(100, 3.1, 3.2)
        self.assertTrue(self.stood_still(9, since=3))
        self.assertFalse(self.stood_still(9, since=3.1))

    # An aborted attempt at a sound target reserved the retries of a former process.
    def test_few_late_attempts_are_no_standstill(self):
        self.send(MIN_LATE_ATTEMPTS - 1)
        self.assertFalse(self.stood_still(5))
        self.send(1)
        self.send(10, 4.5)
        self.assertFalse(self.stood_still(5))

    def test_half_of_the_targets_may_stand_still(self):
        self.send(8)
        self.answer(4, 0, 0.1)
        self.assertTrue(self.stood_still(2))

    def test_attempts_that_are_given_up_are_not_late(self):
        self.send(8)
        for _ in range(8):
            self.delays.given_up(START)
        self.send(1, 20)
        self.assertFalse(self.stood_still(20))

    def test_old_counts_are_dropped(self):
        for second in range(100):
            self.send(1, second)
            self.answer(1, second, second + 0.1)
        self.assertLess(len(self.delays._answered), 10)


class Observer(ResponseObserver):
    """Records the calls that are passed on to it."""

    def __init__(self):
        self.calls = []

    def request_sent(self):
        self.calls.append("sent")

    def request_not_sent(self, detail):
        self.calls.append(detail)

    def response_head(self, head):
        self.calls.append(head.request_id)

    def response_data(self, data):
        self.calls.append(data)

    def response_done(self):
        self.calls.append("done")

    def response_lost(self, detail):
        self.calls.append(detail)


class TrackedTargetClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.budget = RecordedBudget()
        self.caller = FakeCaller()
        clock = Clock()
        clock.advance(START)
        tracker = DeliveryTracker(lambda _: self.budget)
        self.client = TrackedTargetClient(self.caller, tracker, clock)
        self.request = request()

    def send(self, name):
        observer = Observer()
        sending = OutgoingRequest(
            request=self.request,
            target=target(name),
            time_left=1.0,
            resume_after=None,
            fetch_from=None,
            needs_new_connection=False,
        )
        self.client.send(sending, observer)
        return self.caller.last.observer, observer

    def test_an_answer_is_passed_on_and_settles_its_attempt(self):
        self.send("m-1")
        run, observer = self.send("m-2")
        run.response_head(head())
        run.response_data(b"x")
        run.response_done()
        self.assertEqual(["sent", "r1", b"x", "done"], observer.calls)
        self.assertEqual(1, self.budget.unread)

    def test_the_answer_to_another_request_settles_nothing(self):
        first, _ = self.send("m-1")
        self.send("m-2")
        first.response_head(head(request_id="another"))
        self.assertEqual(1, self.budget.unread)

    # A reset counted as read, and the target read the request when it went on.
    def test_a_connection_that_ends_settles_nothing(self):
        first, _ = self.send("m-1")
        second, observer = self.send("m-2")
        first.response_lost("reset")
        second.response_lost("reset")
        self.assertEqual(["sent", "reset"], observer.calls)
        self.assertEqual(1, self.budget.unread)

    def test_an_attempt_that_is_not_sent_does_not_count(self):
        self.caller.unreachable.add("m-1")
        _, observer = self.send("m-1")
        self.assertEqual(["refused"], observer.calls)
        self.send("m-2")
        self.assertEqual([], self.budget.sent_at)
