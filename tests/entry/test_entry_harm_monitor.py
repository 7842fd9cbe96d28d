"""Detection of harmful requests by one router, and its reports to peers."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.task import Clock

from entry.fakes import LOOKUP
from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import FakeCaller
from entry.fakes import ForwardingHarness
from entry.fakes import event
from entry.fakes import head
from entry.fakes import request
from entry.fakes import target
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.entry_harm_monitor import CONFIRMATION_INTERVAL_SECONDS
from primrosescale.process.entry.entry_harm_monitor import PROBE_DELAY_SECONDS
from primrosescale.process.entry.entry_harm_monitor import PROBE_INTERVAL_SECONDS
from primrosescale.process.entry.entry_harm_monitor import EntryHarmMonitor
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.harm_report_exchange import HELD_INTERVAL_SECONDS
from primrosescale.process.entry.harm_report_exchange import MAX_HELD_PER_MESSAGE
from primrosescale.process.entry.harm_report_exchange import MAX_REPORTS_PER_MESSAGE
from primrosescale.process.entry.harm_report_exchange import SENDS_PER_REPORT
from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.events import Event
from primrosescale.request.answer.lost_answers import MAX_WAIT_SECONDS
from primrosescale.request.answer.unconfirmed_answers import CONFIRMATION_SECONDS
from primrosescale.request.answer.unconfirmed_answers import MAX_UNCONFIRMED_SECONDS
from primrosescale.request.attempt.forwarding_interfaces import ProbeResult
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.harm.harm_monitor import HarmMonitor
from primrosescale.request.harm.harm_reports import CompleteAnswer
from primrosescale.request.harm.harm_reports import SuspectTrial
from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.harm_settings import HarmSettings
from primrosescale.request.harm.harmful_requests import TRIAL_SECONDS
from primrosescale.request.harm.harmful_requests import HarmfulRequests

NAMES = tuple(f"t{number}" for number in range(1, 8))
# Ends just after a complete answer that it takes until the request is held back.
ANSWERED_ENDS = 6


class Log:
    def __init__(self):
        self.lines = []

    def emit(self, event, **details):
        self.lines.append((event, details))

    def of(self, event):
        return [details for each, details in self.lines if each is event]


class HarmMonitorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.clock.advance(START)
        self.log = Log()
        self.sent_soon = 0
        self.caller = FakeCaller()
        self.targets = TargetList(2.0)
        for name in NAMES:
            self.targets.put(target(name), START)
        self.requests = HarmfulRequests(HarmSettings())
        self.exchange = HarmReportExchange(self.requests, self.log)
        parts = SimpleNamespace(
            reactor=self.clock, log=self.log, metrics=EntryMetrics()
        )
        self.watch = EntryHarmMonitor(
            self.requests,
            self.exchange,
            self.targets,
            self.caller,
            parts,
            self.send_soon,
        )
        self.request = request(body=b"some content")

    def send_soon(self):
        self.sent_soon += 1

    def lose(self, name, incoming=None):
        state = self.targets.state(name)
        incoming = incoming or self.request
        self.watch.answer_lost(incoming, state, self.clock.seconds())
        self.clock.advance(PROBE_DELAY_SECONDS)

    def find(self, found):
        """Complete the last probe."""
        self.caller.checks[-1][1](found)

    def ends(self):
        return self.requests.ends_under(self.request.fingerprint)

    def end(self, *names):
        for name in names:
            self.lose(name)
            self.find(ProbeResult.ENDED)

    def held_for(self):
        return self.watch.held_for(self.request, self.clock.seconds())

    def test_a_refused_connection_shows_that_the_target_has_ended(self):
        self.lose("t1")
        self.assertEqual(0, self.ends())
        self.find(ProbeResult.ENDED)
        self.assertEqual(1, self.ends())
        self.assertEqual(1, self.sent_soon)
        [details] = self.log.of(Event.TARGET_ENDED)
        self.assertEqual(("t1", 1), (details["target"], details["on_board"]))

    def receive_answer(self, name, after):
        """Receive an answer to a request that was sent some time ago."""
        now = self.clock.seconds()
        self.targets.state(name).bytes_received(now)
        self.watch.answer_began(self.targets.state(name), now - after, now)

    def gone(self, *names):
        for name in names:
            incarnation = self.targets.state(name).incarnation
            self.watch.target_ended(incarnation, "entry gone", self.clock.seconds())

    def test_a_lost_answer_of_a_running_target_is_no_evidence(self):
        for name in NAMES:
            self.lose(name)
            self.find(ProbeResult.CONNECTED)
            self.clock.advance(0.1)
            self.receive_answer(name, 0.05)
        self.gone(*NAMES)
        self.assertEqual(0, self.ends())
        self.assertEqual(0.0, self.held_for())

    def test_a_connection_alone_does_not_show_that_it_is_alive(self):
        self.lose("t1")
        self.find(ProbeResult.CONNECTED)
        self.clock.advance(3.0)
        self.gone("t1")
        self.assertEqual(1, self.ends())

    def test_an_answer_to_an_earlier_request_does_not_show_it_either(self):
        self.lose("t1")
        self.clock.advance(0.1)
        self.receive_answer("t1", 0.5)
        self.gone("t1")
        self.assertEqual(1, self.ends())

    def test_an_answer_does_not_show_it_where_incarnations_share_a_name(self):
        self.targets.put(target("t1", started_at=1), START)
        self.lose("t1")
        self.clock.advance(0.1)
        self.receive_answer("t1", 0.05)
        self.gone("t1")
        self.assertEqual(1, self.ends())

    def test_an_answer_by_another_target_shows_that_it_has_ended(self):
        for name in ("t1", "t2", "t3"):
            self.lose(name)
            self.find(ProbeResult.CONNECTED)
            self.watch.replaced(self.targets.state(name), self.clock.seconds())
        self.assertEqual(3, self.ends())
        self.assertGreater(self.held_for(), 0)
        self.assertEqual(
            {"another in its place"},
            {details["how"] for details in self.log.of(Event.TARGET_ENDED)},
        )

    def test_a_later_loss_at_the_same_target_is_checked_too(self):
        self.lose("t1", request(body=b"another"))
        self.find(ProbeResult.CONNECTED)
        self.clock.advance(1.0)
        self.lose("t1")
        self.assertEqual(2, len(self.caller.checks))
        self.find(ProbeResult.ENDED)
        self.assertEqual(1, self.ends())

    def answer(self, name):
        state = self.targets.state(name)
        state.bytes_received(self.clock.seconds())
        self.watch.answered(self.request, state, self.clock.seconds())

    def test_ends_just_after_an_answer_count_against_the_request(self):
        for _ in range(200):
            # Many answers, so that targets rarely end for other reasons.
            self.requests.count_answer(START)
        for name in NAMES[:ANSWERED_ENDS]:
            self.answer(name)
            self.clock.advance(0.05)
            self.watch.not_reached(self.targets.state(name), self.clock.seconds())
            self.clock.advance(PROBE_DELAY_SECONDS)
            self.find(ProbeResult.ENDED)
        self.assertEqual(ANSWERED_ENDS, self.ends())
        self.assertGreater(self.held_for(), 0)

    def test_an_end_long_after_an_answer_does_not_count(self):
        self.answer("t1")
        self.clock.advance(CONFIRMATION_SECONDS)
        self.lose("t1", request(body=b"another"))
        self.find(ProbeResult.ENDED)
        self.assertEqual(0, self.ends())

    def test_an_answer_is_confirmed_by_later_data_from_its_target(self):
        self.answer("t1")
        self.clock.advance(CONFIRMATION_SECONDS)
        self.assertIsNone(self.requests.last_answer(self.request.fingerprint))
        self.receive_answer("t1", 0.0)
        self.clock.advance(CONFIRMATION_INTERVAL_SECONDS)
        self.assertIsNotNone(self.requests.last_answer(self.request.fingerprint))
        self.gone("t1")
        self.assertEqual(0, self.ends())

    def test_an_answer_is_confirmed_once_an_end_would_be_known(self):
        self.answer("t1")
        self.clock.advance(MAX_UNCONFIRMED_SECONDS)
        self.clock.advance(CONFIRMATION_INTERVAL_SECONDS)
        self.assertIsNotNone(self.requests.last_answer(self.request.fingerprint))

    def test_no_timer_remains_after_confirmation(self):
        self.answer("t1")
        self.clock.advance(MAX_UNCONFIRMED_SECONDS)
        self.clock.advance(CONFIRMATION_INTERVAL_SECONDS)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_many_lost_answers_of_one_target_take_one_probe(self):
        for number in range(20):
            self.lose("t1", request(body=b"%d" % number))
        self.assertEqual(1, len(self.caller.checks))
        self.find(ProbeResult.ENDED)
        self.assertEqual(20, len(self.requests))

    def test_an_answer_lost_after_the_end_counts_too(self):
        self.lose("t1", request(body=b"another"))
        self.find(ProbeResult.ENDED)
        self.lose("t1")
        self.assertEqual(1, self.ends())

    def test_an_inconclusive_probe_is_repeated_for_a_bounded_time(self):
        self.lose("t1")
        for _ in range(30):
            self.find(ProbeResult.UNKNOWN)
            self.clock.advance(PROBE_INTERVAL_SECONDS)
        self.assertLessEqual(
            len(self.caller.checks), 2 + MAX_WAIT_SECONDS / PROBE_INTERVAL_SECONDS
        )
        self.assertEqual(0, self.ends())

    def test_a_removed_entry_shows_the_end_too(self):
        self.lose("t1")
        self.find(ProbeResult.UNKNOWN)
        incarnation = self.targets.state("t1").incarnation
        self.watch.target_ended(incarnation, "entry gone", self.clock.seconds())
        self.assertEqual(1, self.ends())

    def test_the_end_of_a_leaving_target_counts_against_no_request(self):
        leaving = replace(self.targets.state("t1").target, is_draining=True)
        self.targets.put(leaving, START)
        self.targets.remove("t2", START)
        for name in ("t1", "t2"):
            self.lose(name)
        self.assertEqual([], self.caller.checks)

    def test_a_target_that_sends_data_soon_afterwards_has_not_ended(self):
        self.end("t1", "t2", "t3")
        self.assertGreater(self.held_for(), 0)
        self.clock.advance(0.5)
        self.receive_answer("t3", 0.1)
        self.assertEqual(2, self.ends())
        self.assertEqual(0.0, self.held_for())

    def test_data_sent_before_the_end_does_not_revoke_it(self):
        self.end("t1")
        self.clock.advance(0.1)
        self.receive_answer("t1", 0.05)
        self.assertEqual(1, self.ends())

    def test_holding_back_and_clearing_a_request_are_logged(self):
        self.end("t1", "t2", "t3")
        [details] = self.log.of(Event.REQUEST_HELD_BACK)
        self.assertEqual((3, ""), (details["ends"], details["told_by"]))
        self.answer("t4")
        self.clock.advance(CONFIRMATION_SECONDS)
        self.receive_answer("t4", 0.0)
        self.clock.advance(CONFIRMATION_INTERVAL_SECONDS)
        self.assertEqual(1, len(self.log.of(Event.REQUEST_CLEARED)))
        self.assertEqual(0.0, self.held_for())


class HarmReportExchangeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.log = Log()
        self.exchange = self.new()

    def new(self):
        return HarmReportExchange(HarmfulRequests(HarmSettings()), self.log)

    def message(self, ends=(), held=()):
        return wire.RouterNews(
            "r2",
            1,
            1,
            0,
            1,
            0,
            [],
            [],
            False,
            0,
            ends=list(ends) or None,
            held=list(held) or None,
        )

    def test_each_end_is_sent_a_fixed_number_of_times(self):
        self.assertTrue(self.exchange.record(TargetEnd(1, 7, START), START))
        self.assertFalse(self.exchange.record(TargetEnd(1, 7, START), START))
        self.assertTrue(self.exchange.is_urgent)
        sent = [self.exchange.reports_to_send(START + 0.25 * turn) for turn in range(6)]
        self.assertEqual(SENDS_PER_REPORT, sum(map(len, sent)))
        self.assertEqual([0, 250, 500], [e.age_ms for each in sent for e in each])
        self.assertFalse(self.exchange.is_urgent)

    def test_messages_stay_small_and_the_newest_goes_first(self):
        for number in range(100):
            self.exchange.record(TargetEnd(number, 7, START), START)
        sent = self.exchange.reports_to_send(START)
        self.assertEqual(MAX_REPORTS_PER_MESSAGE, len(sent))
        self.assertEqual(99, sent[0].fingerprint)

    def test_received_ends_are_applied(self):
        for number in (7, 8, 9):
            self.exchange.record(TargetEnd(1, number, START), START)
        other = self.new()
        other.receive(self.message(self.exchange.reports_to_send(START)), {}, START)
        self.assertEqual([1], other._requests.held(START))
        self.assertEqual("r2", self.log.of(Event.REQUEST_HELD_BACK)[-1]["told_by"])

    def test_held_back_requests_are_sent_repeatedly(self):
        for number in (7, 8, 9):
            self.exchange.record(TargetEnd(1, number, START), START)
        other = self.new()
        later = START + 60
        held = self.exchange.held_reports_to_send(later)
        self.assertLessEqual(len(held), MAX_HELD_PER_MESSAGE)
        self.assertEqual(
            [], self.exchange.held_reports_to_send(later + HELD_INTERVAL_SECONDS / 2)
        )
        self.assertNotEqual(
            [], self.exchange.held_reports_to_send(later + HELD_INTERVAL_SECONDS)
        )
        other.receive(self.message(held=held), {}, later)
        self.assertEqual([1], other._requests.held(later))

    def test_peers_do_not_try_a_suspect_at_the_same_time(self):
        other = self.new()
        # Each of these ends is also explained by another request.
        for number in (7, 8, 9, 10):
            for each in (self.exchange, other):
                each.record(TargetEnd(2, number, START), START)
                if number < 10:
                    each.record(TargetEnd(1, number, START), START)
        held_for = other._requests.held_for
        self.assertEqual(0.0, held_for(1, START))
        self.exchange.record(SuspectTrial(1, START), START)
        other.receive(self.message(self.exchange.reports_to_send(START)[:1]), {}, START)
        self.assertEqual(TRIAL_SECONDS, held_for(1, START))
        self.assertEqual(0.0, held_for(1, START + TRIAL_SECONDS))
        self.assertFalse(self.exchange.record(SuspectTrial(3, START), START))

    def test_an_end_is_ignored_if_the_target_sent_data_since(self):
        targets = TargetList(2.0)
        targets.put(target("t1"), START)
        state = targets.state("t1")
        key = target_key(*state.incarnation)
        states = {key: state}
        state.bytes_received(START + 10)
        sent = wire.EndNews(1, 1000, key)
        self.exchange.receive(self.message([sent]), states, START + 10)
        self.assertEqual(0, self.exchange._requests.ends_under(1))
        self.exchange.receive(self.message([sent]), states, START + 12)
        self.assertEqual(1, self.exchange._requests.ends_under(1))

    def test_a_router_that_answered_the_request_reports_it_after_an_end(self):
        answered = self.new()
        answered.record(CompleteAnswer(1, START - 5), START)
        end = TargetEnd(1, 7, START)
        answered.receive(self.message([wire.EndNews(1, 0, 7)]), {}, START)
        sent = answered.reports_to_send(START)
        self.exchange.record(end, START)
        self.exchange.receive(self.message(sent), {}, START)
        self.assertEqual(
            CompleteAnswer(1, START - 5), self.exchange._requests.last_answer(1)
        )
        for number in (8, 9):
            self.exchange.record(TargetEnd(1, number, START), START)
        self.assertEqual([], self.exchange._requests.held(START))


class StubHarmMonitor(HarmMonitor):
    """Records calls, and holds every request back once switched on."""

    def __init__(self):
        self.is_holding = False
        self.lost = []
        self.completed = []
        self.continued = []
        self.out = []
        self.attempts = []

    def held_for(self, request, now):
        return 120.0 if self.is_holding else 0.0

    def sent(self, request, attempt, now):
        self.out.append(request.request_id)
        self.attempts.append(attempt)

    def answer_lost(self, request, state, now, answer_began_at=None):
        self.lost.append(state.target.name)
        self.began_at = answer_began_at

    def answer_continues(self, request, answer_began_at, now):
        self.continued.append((request.request_id, answer_began_at))

    def answered(self, request, state, now, began_at=None, *, is_success=True):
        self.began_at = began_at
        self.completed.append(request.request_id)
        self.is_success = is_success

    def answer_began(self, state, sent_at, now):
        pass

    def replaced(self, state, now):
        self.lost.append(f"{state.target.name} replaced")

    def not_reached(self, state, now):
        pass


class HeldBackCallTest(TestCase):
    def setUp(self):
        super().setUp()
        self.harness = ForwardingHarness(
            [target("p1", "portal"), target("p2", "portal")]
        )
        self.watch = self.harness.tools.harm = StubHarmMonitor()

    def test_a_held_back_request_is_refused_with_its_remaining_time(self):
        self.watch.is_holding = True
        call, sink = self.harness.call(request())
        self.assertEqual((Refusal.HELD_BACK, 120.0), (sink.refusal, sink.retry_after))
        self.assertEqual([], self.harness.caller.runs)
        self.assertEqual(["refused: held_back"], self.harness.ended)
        self.assertTrue(call.is_suspect)

    def test_a_lost_request_is_not_retried_once_held_back(self):
        _, sink = self.harness.call(request())
        self.watch.is_holding = True
        self.harness.caller.last.observer.response_lost("closed")
        self.assertEqual(1, len(self.harness.caller.runs))
        self.assertEqual(Refusal.CUT, sink.refusal)

    def test_a_declined_request_is_not_retried_once_held_back(self):
        _, sink = self.harness.call(request())
        self.watch.is_holding = True
        self.harness.caller.last.observer.response_head(head(503, is_not_run=True))
        self.assertEqual(Refusal.HELD_BACK, sink.refusal)
        self.assertEqual(120.0, sink.retry_after)

    def test_an_answer_by_another_target_is_reported_as_a_replacement(self):
        self.harness.call(request(LOOKUP))
        state = self.harness.state(self.harness.caller.last.name)
        self.harness.pass_time(0.2)
        self.harness.caller.last.answer(status=421, is_other_incarnation=True)
        self.assertEqual([f"{state.target.name} replaced"], self.watch.lost)
        self.assertEqual(START, state.last_received_at)

    def test_each_lost_answer_is_reported_with_its_target(self):
        self.harness.call(request())
        self.assertEqual(["r1"], self.watch.out)
        first = self.harness.caller.last
        first.observer.response_lost("closed")
        self.assertEqual([first.name], self.watch.lost)
        self.harness.caller.last.answer(body=b"done")
        self.assertEqual(["r1"], self.watch.completed)

    def test_a_stream_is_not_resumed_once_held_back(self):
        self.harness.states += ForwardingHarness([target("m1"), target("m2")]).states
        _, sink = self.harness.call(request(STREAM))
        run = self.harness.caller.last
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        self.watch.is_holding = True
        run.observer.response_lost("closed")
        self.assertEqual(1, len(self.harness.caller.runs))
        self.assertTrue(sink.is_broken)

    def test_an_error_status_of_the_target_is_no_complete_answer(self):
        self.harness.call(request(replace(LOOKUP, max_targets=1)))
        self.harness.caller.last.answer(500)
        self.assertEqual([], self.watch.completed)
