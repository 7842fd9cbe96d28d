"""What a router makes of lost answers, and what it tells others of them."""

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
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.harm_report_exchange import HELD_INTERVAL_SECONDS
from primrosescale.process.entry.harm_report_exchange import MAX_HELD_PER_MESSAGE
from primrosescale.process.entry.harm_report_exchange import MAX_REPORTS_PER_MESSAGE
from primrosescale.process.entry.harm_report_exchange import SENDS_PER_REPORT
from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
from primrosescale.process.entry.harm_watch import CHECK_PAUSE
from primrosescale.process.entry.harm_watch import PROOF_PAUSE
from primrosescale.process.entry.harm_watch import RECHECK_PAUSE
from primrosescale.process.entry.harm_watch import EntryHarmMonitor
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.events import Event
from primrosescale.request.forwarding_interfaces import ProbeResult
from primrosescale.request.forwarding_interfaces import Refusal
from primrosescale.request.harm_monitor import HarmMonitor
from primrosescale.request.harm_reports import CompleteAnswer
from primrosescale.request.harm_reports import SuspectTrial
from primrosescale.request.harm_reports import TargetEnd
from primrosescale.request.harm_settings import HarmSettings
from primrosescale.request.harmful_requests import TRIAL_SECONDS
from primrosescale.request.harmful_requests import HarmfulRequests
from primrosescale.request.lost_answers import MAX_WAIT_SECONDS
from primrosescale.request.unconfirmed_answers import CONFIRMATION_SECONDS
from primrosescale.request.unconfirmed_answers import MAX_UNCONFIRMED_SECONDS

NAMES = tuple(f"t{number}" for number in range(1, 8))
# Targets that may end just after they answered a request until it is held back.
ANSWERED_ENDS = 6


class Log:
    def __init__(self):
        self.lines = []

    def emit(self, event, **said):
        self.lines.append((event, said))

    def of(self, event):
        return [said for each, said in self.lines if each is event]


class HarmWatchTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.clock.advance(START)
        self.log = Log()
        self.told = 0
        self.caller = FakeCaller()
        self.targets = TargetList(2.0)
        for name in NAMES:
            self.targets.put(target(name), START)
        self.requests = HarmfulRequests(HarmSettings())
        self.news = HarmReportExchange(self.requests, self.log)
        parts = SimpleNamespace(
            reactor=self.clock, log=self.log, metrics=EntryMetrics()
        )
        self.watch = EntryHarmMonitor(
            self.requests, self.news, self.targets, self.caller, parts, self.send_soon
        )
        self.request = request(body=b"some content")

    def send_soon(self):
        self.told += 1

    def lose(self, name, incoming=None):
        state = self.targets.state(name)
        incoming = incoming or self.request
        self.watch.answer_lost(incoming, state, self.clock.seconds())
        self.clock.advance(CHECK_PAUSE)

    def find(self, found):
        """Answer the last check."""
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
        self.assertEqual(1, self.told)
        [said] = self.log.of(Event.TARGET_ENDED)
        self.assertEqual(("t1", 1), (said["target"], said["on_board"]))

    def heard(self, name, after):
        """Have an answer come to a request that was sent some time ago."""
        now = self.clock.seconds()
        self.targets.state(name).bytes_received(now)
        self.watch.answer_began(self.targets.state(name), now - after, now)

    def gone(self, *names):
        for name in names:
            incarnation = self.targets.state(name).incarnation
            self.watch.target_ended(incarnation, "entry gone", self.clock.seconds())

    def test_a_lost_answer_of_a_target_that_lives_says_nothing(self):
        for name in NAMES:
            self.lose(name)
            self.find(ProbeResult.CONNECTED)
            self.clock.advance(0.1)
            self.heard(name, 0.05)
        self.gone(*NAMES)
        self.assertEqual(0, self.ends())
        self.assertEqual(0.0, self.held_for())

    def test_a_connection_alone_does_not_show_that_it_lives(self):
        self.lose("t1")
        self.find(ProbeResult.CONNECTED)
        self.clock.advance(3.0)
        self.gone("t1")
        self.assertEqual(1, self.ends())

    def test_nor_does_an_answer_to_what_was_sent_before(self):
        self.lose("t1")
        self.clock.advance(0.1)
        self.heard("t1", 0.5)
        self.gone("t1")
        self.assertEqual(1, self.ends())

    def test_nor_does_an_answer_where_starts_are_told_beside_the_name(self):
        self.targets.put(target("t1", started_at=1), START)
        self.lose("t1")
        self.clock.advance(0.1)
        self.heard("t1", 0.05)
        self.gone("t1")
        self.assertEqual(1, self.ends())

    def test_another_one_in_its_place_shows_that_it_has_ended(self):
        for name in ("t1", "t2", "t3"):
            self.lose(name)
            self.find(ProbeResult.CONNECTED)
            self.watch.replaced(self.targets.state(name), self.clock.seconds())
        self.assertEqual(3, self.ends())
        self.assertGreater(self.held_for(), 0)
        self.assertEqual(
            {"another in its place"},
            {said["how"] for said in self.log.of(Event.TARGET_ENDED)},
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

    def test_targets_that_end_just_after_their_answers_end_under_it(self):
        for _ in range(200):
            # Targets do not end often otherwise.
            self.requests.count_answer(START)
        for name in NAMES[:ANSWERED_ENDS]:
            self.answer(name)
            self.clock.advance(0.05)
            self.watch.not_reached(self.targets.state(name), self.clock.seconds())
            self.clock.advance(CHECK_PAUSE)
            self.find(ProbeResult.ENDED)
        self.assertEqual(ANSWERED_ENDS, self.ends())
        self.assertGreater(self.held_for(), 0)

    def test_one_that_ends_long_after_an_answer_does_not_end_under_it(self):
        self.answer("t1")
        self.clock.advance(CONFIRMATION_SECONDS)
        self.lose("t1", request(body=b"another"))
        self.find(ProbeResult.ENDED)
        self.assertEqual(0, self.ends())

    def test_an_answer_counts_once_its_target_is_heard_from_later(self):
        self.answer("t1")
        self.clock.advance(CONFIRMATION_SECONDS)
        self.assertIsNone(self.requests.last_answer(self.request.fingerprint))
        self.heard("t1", 0.0)
        self.clock.advance(PROOF_PAUSE)
        self.assertIsNotNone(self.requests.last_answer(self.request.fingerprint))
        self.gone("t1")
        self.assertEqual(0, self.ends())

    def test_an_answer_counts_once_an_end_would_be_known(self):
        self.answer("t1")
        self.clock.advance(MAX_UNCONFIRMED_SECONDS)
        self.clock.advance(PROOF_PAUSE)
        self.assertIsNotNone(self.requests.last_answer(self.request.fingerprint))

    def test_nothing_is_proved_on_and_on(self):
        self.answer("t1")
        self.clock.advance(MAX_UNCONFIRMED_SECONDS)
        self.clock.advance(PROOF_PAUSE)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_many_lost_answers_of_one_target_take_one_check(self):
        for number in range(20):
            self.lose("t1", request(body=b"%d" % number))
        self.assertEqual(1, len(self.caller.checks))
        self.find(ProbeResult.ENDED)
        self.assertEqual(20, len(self.requests))

    def test_one_that_is_noticed_after_the_end_counts_too(self):
        self.lose("t1", request(body=b"another"))
        self.find(ProbeResult.ENDED)
        self.lose("t1")
        self.assertEqual(1, self.ends())

    def test_without_an_answer_it_is_checked_again_for_a_while(self):
        self.lose("t1")
        for _ in range(30):
            self.find(ProbeResult.UNKNOWN)
            self.clock.advance(RECHECK_PAUSE)
        self.assertLessEqual(
            len(self.caller.checks), 2 + MAX_WAIT_SECONDS / RECHECK_PAUSE
        )
        self.assertEqual(0, self.ends())

    def test_an_entry_that_goes_shows_it_too(self):
        self.lose("t1")
        self.find(ProbeResult.UNKNOWN)
        incarnation = self.targets.state("t1").incarnation
        self.watch.target_ended(incarnation, "entry gone", self.clock.seconds())
        self.assertEqual(1, self.ends())

    def test_targets_that_leave_end_under_nobody(self):
        leaving = replace(self.targets.state("t1").target, is_draining=True)
        self.targets.put(leaving, START)
        self.targets.remove("t2", START)
        for name in ("t1", "t2"):
            self.lose(name)
        self.assertEqual([], self.caller.checks)

    def test_a_target_that_is_heard_soon_after_has_not_ended(self):
        self.end("t1", "t2", "t3")
        self.assertGreater(self.held_for(), 0)
        self.clock.advance(0.5)
        self.heard("t3", 0.1)
        self.assertEqual(2, self.ends())
        self.assertEqual(0.0, self.held_for())

    def test_what_it_sent_before_its_end_is_no_sign_of_life(self):
        self.end("t1")
        self.clock.advance(0.1)
        self.heard("t1", 0.05)
        self.assertEqual(1, self.ends())

    def test_it_says_when_a_request_is_held_back_and_when_no_more(self):
        self.end("t1", "t2", "t3")
        [said] = self.log.of(Event.REQUEST_HELD_BACK)
        self.assertEqual((3, ""), (said["ends"], said["told_by"]))
        self.answer("t4")
        self.clock.advance(CONFIRMATION_SECONDS)
        self.heard("t4", 0.0)
        self.clock.advance(PROOF_PAUSE)
        self.assertEqual(1, len(self.log.of(Event.REQUEST_CLEARED)))
        self.assertEqual(0.0, self.held_for())


class HarmNewsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.log = Log()
        self.news = self.new()

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

    def test_each_end_is_told_some_times(self):
        self.assertTrue(self.news.record(TargetEnd(1, 7, START), START))
        self.assertFalse(self.news.record(TargetEnd(1, 7, START), START))
        self.assertTrue(self.news.is_urgent)
        told = [self.news.ends(START + 0.25 * turn) for turn in range(6)]
        self.assertEqual(SENDS_PER_REPORT, sum(map(len, told)))
        self.assertEqual([0, 250, 500], [e.age_ms for each in told for e in each])
        self.assertFalse(self.news.is_urgent)

    def test_messages_stay_small_and_the_newest_goes_first(self):
        for number in range(100):
            self.news.record(TargetEnd(number, 7, START), START)
        told = self.news.ends(START)
        self.assertEqual(MAX_REPORTS_PER_MESSAGE, len(told))
        self.assertEqual(99, told[0].fingerprint)

    def test_what_is_told_is_taken_in_elsewhere(self):
        for number in (7, 8, 9):
            self.news.record(TargetEnd(1, number, START), START)
        other = self.new()
        other.receive(self.message(self.news.ends(START)), {}, START)
        self.assertEqual([1], other._requests.held(START))
        self.assertEqual("r2", self.log.of(Event.REQUEST_HELD_BACK)[-1]["told_by"])

    def test_what_is_held_back_is_told_again_and_again(self):
        for number in (7, 8, 9):
            self.news.record(TargetEnd(1, number, START), START)
        other = self.new()
        later = START + 60
        held = self.news.held(later)
        self.assertLessEqual(len(held), MAX_HELD_PER_MESSAGE)
        self.assertEqual([], self.news.held(later + HELD_INTERVAL_SECONDS / 2))
        self.assertNotEqual([], self.news.held(later + HELD_INTERVAL_SECONDS))
        other.receive(self.message(held=held), {}, later)
        self.assertEqual([1], other._requests.held(later))

    def test_others_do_not_try_a_suspect_besides(self):
        other = self.new()
        # Ends of another request explain these.
        for number in (7, 8, 9, 10):
            for each in (self.news, other):
                each.record(TargetEnd(2, number, START), START)
                if number < 10:
                    each.record(TargetEnd(1, number, START), START)
        held_for = other._requests.held_for
        self.assertEqual(0.0, held_for(1, START))
        self.news.record(SuspectTrial(1, START), START)
        other.receive(self.message(self.news.ends(START)[:1]), {}, START)
        self.assertEqual(TRIAL_SECONDS, held_for(1, START))
        self.assertEqual(0.0, held_for(1, START + TRIAL_SECONDS))
        self.assertFalse(self.news.record(SuspectTrial(3, START), START))

    def test_a_target_that_was_heard_since_has_not_ended(self):
        targets = TargetList(2.0)
        targets.put(target("t1"), START)
        state = targets.state("t1")
        key = target_key(*state.incarnation)
        states = {key: state}
        state.bytes_received(START + 10)
        told = wire.EndNews(1, 1000, key)
        self.news.receive(self.message([told]), states, START + 10)
        self.assertEqual(0, self.news._requests.ends_under(1))
        self.news.receive(self.message([told]), states, START + 12)
        self.assertEqual(1, self.news._requests.ends_under(1))

    def test_who_has_answered_a_request_vouches_for_it(self):
        answered = self.new()
        answered.record(CompleteAnswer(1, START - 5), START)
        end = TargetEnd(1, 7, START)
        answered.receive(self.message([wire.EndNews(1, 0, 7)]), {}, START)
        told = answered.ends(START)
        self.news.record(end, START)
        self.news.receive(self.message(told), {}, START)
        self.assertEqual(
            CompleteAnswer(1, START - 5), self.news._requests.last_answer(1)
        )
        for number in (8, 9):
            self.news.record(TargetEnd(1, number, START), START)
        self.assertEqual([], self.news._requests.held(START))


class HoldingWatch(HarmMonitor):
    """Holds everything back once told to."""

    def __init__(self):
        self.is_holding = False
        self.lost = []
        self.whole = []
        self.out = []

    def held_for(self, request, now):
        return 120.0 if self.is_holding else 0.0

    def sent(self, request, now):
        self.out.append(request.request_id)

    def answer_lost(self, request, state, now):
        self.lost.append(state.target.name)

    def answered(self, request, state, now):
        self.whole.append(request.request_id)

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
        self.watch = self.harness.tools.harm = HoldingWatch()

    def test_one_that_is_held_back_is_refused_at_once_with_the_time(self):
        self.watch.is_holding = True
        call, sink = self.harness.call(request())
        self.assertEqual((Refusal.HELD_BACK, 120.0), (sink.refusal, sink.retry_after))
        self.assertEqual([], self.harness.caller.runs)
        self.assertEqual(["refused: held_back"], self.harness.ended)
        self.assertTrue(call.is_suspect)

    def test_one_that_was_lost_is_not_repeated_once_it_is_held_back(self):
        _, sink = self.harness.call(request())
        self.watch.is_holding = True
        self.harness.caller.last.observer.response_lost("closed")
        self.assertEqual(1, len(self.harness.caller.runs))
        self.assertEqual(Refusal.CUT, sink.refusal)

    def test_one_that_was_not_sent_goes_nowhere_else(self):
        _, sink = self.harness.call(request())
        self.watch.is_holding = True
        self.harness.caller.last.observer.response_head(head(503, is_not_run=True))
        self.assertEqual(Refusal.HELD_BACK, sink.refusal)
        self.assertEqual(120.0, sink.retry_after)

    def test_another_target_in_its_place_is_told_and_not_taken_for_it(self):
        self.harness.call(request(LOOKUP))
        state = self.harness.state(self.harness.caller.last.name)
        self.harness.pass_time(0.2)
        self.harness.caller.last.answer(status=421, is_other_incarnation=True)
        self.assertEqual([f"{state.target.name} replaced"], self.watch.lost)
        self.assertEqual(START, state.last_received_at)

    def test_the_target_of_each_lost_answer_is_told(self):
        self.harness.call(request())
        self.assertEqual(["r1"], self.watch.out)
        first = self.harness.caller.last
        first.observer.response_lost("closed")
        self.assertEqual([first.name], self.watch.lost)
        self.harness.caller.last.answer(body=b"done")
        self.assertEqual(["r1"], self.watch.whole)

    def test_a_stream_goes_on_nowhere_once_it_is_held_back(self):
        self.harness.states += ForwardingHarness([target("m1"), target("m2")]).states
        _, sink = self.harness.call(request(STREAM))
        run = self.harness.caller.last
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        self.watch.is_holding = True
        run.observer.response_lost("closed")
        self.assertEqual(1, len(self.harness.caller.runs))
        self.assertTrue(sink.is_broken)

    def test_a_target_s_own_failure_is_no_whole_answer(self):
        self.harness.call(request(replace(LOOKUP, max_targets=1)))
        self.harness.caller.last.answer(500)
        self.assertEqual([], self.watch.whole)
