"""A target that starts again under its name: what is left of its former life."""

from __future__ import annotations

import random
from dataclasses import replace

from testtools import TestCase

from entry.fakes import CONFIRMATION
from entry.fakes import FRAGILE_STREAM
from entry.fakes import LOOKUP
from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import ForwardingHarness
from entry.fakes import event
from entry.fakes import head
from entry.fakes import make_incarnation
from entry.fakes import prompt
from entry.fakes import request
from entry.fakes import target
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.endpoint import Endpoint
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.target_list import BegunIncarnation
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.forwarding_interfaces import Refusal
from primrosescale.request.freshness import Freshness
from primrosescale.request.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.target_choice import ChoiceSettings
from primrosescale.request.target_choice import TargetChooser
from primrosescale.request.target_state import LoadReport

# Starts as targets tell them, in the order of a target's lives.
FIRST, SECOND, THIRD = 1_790_000_000_123, 1_790_000_000_124, 1_790_000_003_000
WANTED = prompt(("tariffs", 9000), ("chat", 20))


class ListTest(TestCase):
    """Which of two lives is the present one."""

    def setUp(self):
        super().setUp()
        self.told = []
        self.targets = TargetList(2.0, self.told.append)
        self.targets.put(target("m1", started_at=FIRST), START)

    def state(self):
        return self.targets.state("m1")

    def test_a_later_start_is_a_new_life_and_is_told_once(self):
        before, generation = self.state(), self.targets.generation
        self.assertTrue(self.targets.put(target("m1", started_at=SECOND), START))
        self.assertIsNot(before, self.state())
        self.assertGreater(self.targets.generation, generation)
        self.assertFalse(self.targets.put(target("m1", started_at=SECOND), START))
        former, present = make_incarnation("m1", FIRST), make_incarnation("m1", SECOND)
        self.assertEqual(
            [
                BegunIncarnation(former, None, "store"),
                BegunIncarnation(present, former, "store"),
            ],
            self.told,
        )

    def test_the_same_start_is_the_same_life_wherever_it_listens(self):
        before = self.state()
        moved = target("m1", started_at=FIRST, endpoint=Endpoint("127.0.0.1", 1))
        self.assertTrue(self.targets.put(moved, START))
        self.assertIs(before, self.state())
        self.assertEqual(moved, self.state().target)

    def test_an_earlier_start_is_old_news(self):
        self.targets.put(target("m1", started_at=SECOND), START)
        before = self.state()
        old = target(
            "m1",
            started_at=FIRST,
            is_draining=True,
            endpoint=Endpoint("127.0.0.1", 1),
        )
        self.assertFalse(self.targets.put(old, START))
        self.assertIs(before, self.state())
        self.assertFalse(self.state().target.is_draining)
        self.assertEqual(target("m1").endpoint, self.state().target.endpoint)

    def test_an_earlier_start_brings_back_nothing_that_is_gone(self):
        self.targets.put(target("m1", started_at=SECOND), START)
        self.targets.put(target("m2"), START)
        self.targets.remove("m1", START)
        self.targets.put(target("m1", started_at=FIRST), START)
        names = [state.target.name for state in self.targets.of_service("model")]
        self.assertEqual(["m2"], names)
        self.assertEqual(
            [make_incarnation("m1", SECOND)], self.targets.forget_expired(START + 2)
        )

    def test_where_nothing_is_told_the_known_start_stays(self):
        before = self.state()
        self.targets.put(target("m1", is_draining=True), START)
        self.assertIs(before, self.state())
        self.assertTrue(before.target.is_draining)
        self.assertEqual(FIRST, before.target.started_at)
        self.assertFalse(self.targets.put(target("m1", started_at=FIRST - 1), START))

    def test_without_any_start_all_is_as_before(self):
        self.targets.put(target("m2"), START)
        before = self.targets.state("m2")
        before.sent(START)
        self.assertFalse(self.targets.put(target("m2"), START))
        self.targets.put(target("m2", is_draining=True), START)
        self.assertIs(before, self.targets.state("m2"))

    def test_the_first_start_that_is_told_is_of_a_new_life(self):
        self.targets.put(target("m2"), START)
        before = self.targets.state("m2")
        self.targets.put(target("m2", started_at=FIRST), START)
        self.assertIsNot(before, self.targets.state("m2"))

    def test_the_end_of_the_former_entry_does_not_take_the_new_life_away(self):
        self.targets.put(target("m1", started_at=FIRST, is_draining=True), START)
        self.targets.remove("m1", START)
        self.targets.put(target("m1", started_at=SECOND), START)
        self.assertEqual([], self.targets.forget_expired(START + 60))
        self.assertIsNotNone(self.state())

    def test_a_new_life_that_the_store_has_not_listed_yet_outlives_a_leave(self):
        self.targets.put(target("m1", started_at=FIRST, is_draining=True), START)
        self.targets.put(target("m1", started_at=SECOND), START, told_by="target")
        self.targets.remove("m1", START)
        self.assertEqual([], self.targets.forget_expired(START + 1.5))
        self.targets.put(target("m1", started_at=SECOND), START + 1.5)
        self.assertEqual([], self.targets.forget_expired(START + 60))


class BeliefTest(TestCase):
    """Each belief about the former life, one test each."""

    def setUp(self):
        super().setUp()
        self.targets = TargetList(2.0)
        for name in ("m1", "m2", "m3"):
            self.targets.put(target(name, started_at=FIRST), START)
        self.former = self.targets.state("m1")
        self.parts = PrefixCacheIndex()
        self.chooser = TargetChooser(ChoiceSettings(), self.parts, random.Random(3))

    def restart(self, **fields):
        self.targets.put(target("m1", started_at=SECOND, **fields), START)
        return self.targets.state("m1")

    def choose(self):
        return self.chooser.choose(list(self.targets.states), (), WANTED, START)

    def held_where(self):
        choice = self.choose()
        return choice.state.target.name, choice.held

    def test_cached_parts(self):
        self.parts.record_own_request(self.former.incarnation, WANTED.parts, START)
        self.assertEqual(("m1", 9020), self.held_where())
        state = self.restart()
        self.assertEqual(0, self.parts.held(state.incarnation, WANTED.parts, START))
        choice = self.choose()
        self.assertEqual((0, None), (choice.held, choice.fetch_from))

    def test_the_size_of_its_memory(self):
        self.parts.limit(self.former.incarnation, 100)
        state = self.restart()
        for part in ("a", "b"):
            self.parts.record_own_request(
                state.incarnation, prompt((part, 90)).parts, START
            )
        held = [
            self.parts.held(state.incarnation, prompt((part, 90)).parts, START)
            for part in ("a", "b")
        ]
        self.assertEqual([90, 90], held)

    def test_what_is_told_others_of_its_parts(self):
        self.parts.record_own_request(self.former.incarnation, WANTED.parts, START)
        self.parts.take_updates()
        self.parts.record_own_request(self.former.incarnation, WANTED.parts, START)
        self.parts.forget_target(self.former.incarnation)
        self.assertEqual([], self.parts.take_updates())

    def test_requests_of_this_router(self):
        self.former.sent(START)
        state = self.restart()
        self.assertEqual(0, state.own_running)
        # What ends there is not counted off here.
        state.sent(START)
        self.former.ended()
        self.assertEqual(1, state.own_running)

    def test_its_own_report_of_load(self):
        self.former.set_load(LoadReport(5, 9, 2), START)
        state = self.restart()
        self.assertEqual(0.0, state.load(START))
        self.assertEqual(8, state.slots)

    def test_requests_of_other_routers(self):
        self.former.set_peer_requests("r2", 7, START + 9)
        self.assertEqual(0.0, self.restart().load(START))

    def test_outcomes(self):
        for _ in range(5):
            self.former.failed(START)
        state = self.restart()
        self.assertEqual((0.0, 0.0), state.outcomes(START))

    def test_outcomes_that_others_tell(self):
        self.former.set_peer_outcomes("r2", 0.0, 9.0, START + 9)
        self.assertEqual(0.0, self.restart().failure_share(START))

    def test_the_pause_after_failing_to_reach_it(self):
        for step in range(4):
            self.former.unreachable(START + 5 * step)
        later = START + 15
        self.assertTrue(self.former.is_paused(later))
        self.targets.put(target("m1", started_at=SECOND), later)
        state = self.targets.state("m1")
        self.assertFalse(state.is_avoided(later))
        # Nor is a first failure taken for the next of many.
        state.unreachable(later)
        self.assertFalse(state.is_paused(later + 0.6))

    def test_its_silence(self):
        self.former.sent(START)
        later = START + 2.0
        self.assertTrue(self.former.is_avoided(later))
        self.targets.put(target("m1", started_at=SECOND), later)
        self.assertEqual(0.0, self.targets.state("m1").silence(later))

    def test_callers_that_hold_its_answers_up(self):
        self.former.sent(START)
        self.former.pause_reading()
        state = self.restart()
        state.sent(START)
        self.assertAlmostEqual(1.0, state.silence(START + 1.0))

    def test_draining(self):
        self.targets.put(target("m1", started_at=FIRST, is_draining=True), START)
        self.assertFalse(self.restart().target.is_draining)

    def test_warming(self):
        state = self.restart(warm_up_seconds=3.0)
        self.assertEqual(3.0, state.target.warm_up_seconds)
        self.targets.put(target("m1", started_at=THIRD), START)
        self.assertEqual(0.0, self.targets.state("m1").target.warm_up_seconds)


class Side:
    """A router that tells others its news."""

    def __init__(self, name, started_at):
        self.targets = TargetList(2.0)
        self.parts = PrefixCacheIndex()
        self.news = StateExchange(name, 1, self.targets, self.parts, Freshness(5.0))
        self.know(started_at)
        for number, other in enumerate(("a", "b")):
            endpoint = Endpoint("127.0.0.1", 7000 + number)
            self.news.put(PeerRouter(other, endpoint), START)

    def know(self, started_at):
        self.targets.put(target("m1", started_at=started_at), START)

    def work(self):
        """Have something to tell of the target as it is known here."""
        state = self.targets.state("m1")
        state.sent(START)
        for _ in range(4):
            state.succeeded(START)
        state.failed(START)
        self.parts.record_own_request(state.incarnation, WANTED.parts, START)

    def beliefs(self):
        state = self.targets.state("m1")
        return (
            state.load(START),
            state.failure_share(START) > 0,
            self.parts.held(state.incarnation, WANTED.parts, START),
        )

    def tell(self, other):
        [(_, message)] = self.news.compose(1, START)
        other.news.receive(decode(encode(message)), 1, START)


class NewsOfAnotherLifeTest(TestCase):
    def test_of_the_same_life_all_is_believed(self):
        a, b = Side("a", FIRST), Side("b", FIRST)
        a.work()
        a.tell(b)
        self.assertEqual((1.0, True, 9000), b.beliefs())

    def test_of_a_former_life_nothing_is_believed(self):
        a, b = Side("a", FIRST), Side("b", SECOND)
        a.work()
        a.tell(b)
        self.assertEqual((0.0, False, 0), b.beliefs())

    def test_of_a_later_life_nothing_is_believed_of_the_one_known_here(self):
        a, b = Side("a", SECOND), Side("b", FIRST)
        a.work()
        a.tell(b)
        self.assertEqual((0.0, False, 0), b.beliefs())

    def test_news_told_before_a_restart_is_gone_after_it(self):
        a, b = Side("a", FIRST), Side("b", FIRST)
        a.work()
        a.tell(b)
        b.know(SECOND)
        self.assertEqual((0.0, False, 0), b.beliefs())
        # The other router tells on until it has learned of the restart too.
        a.tell(b)
        self.assertEqual((0.0, False, 0), b.beliefs())
        a.know(SECOND)
        a.work()
        a.tell(b)
        self.assertEqual((1.0, True, 9000), b.beliefs())

    def test_a_start_costs_no_byte(self):
        sizes = []
        for started_at in (None, FIRST):
            side = Side("a", started_at)
            side.work()
            [(_, message)] = side.news.compose(1, START)
            sizes.append(len(encode(message)))
        # A hash of 32 bits takes up to 5 bytes; each is told twice here.
        self.assertAlmostEqual(sizes[0], sizes[1], delta=2)


MODEL = [target(name, started_at=FIRST) for name in ("m1", "m2", "m3")]
ALONE = [target("m1", started_at=FIRST)]
PORTAL = [target(name, "portal", started_at=FIRST) for name in ("p1", "p2")]
PORTAL_ALONE = PORTAL[:1]


class RestartOfACallTest(TestCase):
    """What becomes of a request whose target starts again."""

    def lives(self, harness):
        return [run.sending.target.incarnation for run in harness.caller.runs]

    # Between choice and sending

    def test_what_was_not_sent_goes_to_the_new_life_too(self):
        for route in (CONFIRMATION, LOOKUP):
            harness = ForwardingHarness(PORTAL_ALONE, extra=0.0)
            harness.caller.opening = {"p1"}
            _, sink = harness.call(request(route))
            harness.caller.opening = set()
            harness.restart("p1", SECOND)
            self.assertEqual(
                [make_incarnation("p1", FIRST), make_incarnation("p1", SECOND)],
                self.lives(harness),
            )
            harness.caller.last.answer(200, b"ok")
            self.assertEqual(b"ok", sink.body)

    # Between sending and head

    def test_one_that_may_run_once_is_not_sent_again_nor_called_not_run(self):
        for targets in (PORTAL_ALONE, PORTAL):
            harness = ForwardingHarness(targets)
            _, sink = harness.call(request(CONFIRMATION))
            harness.restart(harness.caller.last.name, SECOND)
            self.assertEqual(1, len(harness.caller.runs))
            self.assertEqual(Refusal.CUT, sink.refusal)
            self.assertFalse(sink.refusal.is_not_run)
            self.assertIsNone(sink.retry_after)

    def test_a_stream_that_may_run_once_is_not_sent_again(self):
        harness = ForwardingHarness(MODEL)
        _, sink = harness.call(request(FRAGILE_STREAM, deadline=START + 12))
        harness.restart(harness.caller.last.name, SECOND)
        self.assertEqual((1, Refusal.CUT), (len(harness.caller.runs), sink.refusal))

    def test_the_new_life_s_word_that_it_did_not_run_it_promises_nothing(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        harness.restart("p1", SECOND)
        harness.caller.last.observer.response_head(head(503, is_not_run=True))
        self.assertEqual(Refusal.CUT, sink.refusal)
        self.assertFalse(sink.refusal.is_not_run)

    def test_one_that_may_be_repeated_goes_on_at_the_new_life(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        harness.restart("p1", SECOND)
        harness.caller.last.answer(200, b"ok")
        self.assertEqual(b"ok", sink.body)
        self.assertEqual(
            [make_incarnation("p1", FIRST), make_incarnation("p1", SECOND)],
            self.lives(harness),
        )

    def test_it_goes_on_within_the_budget_only(self):
        harness = ForwardingHarness(PORTAL, extra=0.0)
        _, sink = harness.call(request(LOOKUP))
        harness.restart(harness.caller.last.name, SECOND)
        self.assertEqual((1, Refusal.CUT), (len(harness.caller.runs), sink.refusal))

    # Midway in a stream

    def test_a_stream_goes_on_after_its_last_whole_event(self):
        for targets in (ALONE, MODEL):
            harness = ForwardingHarness(targets)
            _, sink = harness.call(request(STREAM, deadline=START + 12))
            first = harness.caller.last
            first.observer.response_head(head())
            first.observer.response_data(event(1) + event(2) + event(3)[:4])
            harness.restart(first.name, SECOND)
            second = harness.caller.last
            self.assertEqual(2, second.sending.resume_after)
            second.observer.response_head(head())
            # What the former life still says reaches nobody.
            first.observer.response_data(event(3)[4:] + event(4))
            first.observer.response_done()
            second.observer.response_data(event(3))
            second.observer.response_done()
            self.assertEqual(event(1) + event(2) + event(3), sink.body)
            self.assertTrue(sink.is_finished)

    def test_a_stream_that_may_not_go_on_is_broken_off(self):
        harness = ForwardingHarness(MODEL)
        _, sink = harness.call(request(FRAGILE_STREAM, deadline=START + 12))
        run = harness.caller.last
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        harness.restart(run.name, SECOND)
        self.assertTrue(sink.is_broken)
        self.assertEqual(1, len(harness.caller.runs))

    def test_a_late_answer_of_the_former_life_reaches_nobody(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        first = harness.caller.last
        harness.restart("p1", SECOND)
        first.answer(200, b"late")
        self.assertEqual((None, b""), (sink.head, sink.body))
        harness.caller.last.answer(200, b"ok")
        self.assertEqual(b"ok", sink.body)

    # While it leaves, and twice

    def test_a_target_that_starts_again_while_it_leaves_gets_new_work(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        _, once = harness.call(request(CONFIRMATION))
        leaving = target("p1", "portal", started_at=FIRST, is_draining=True)
        harness.state("p1").update_entry(leaving)
        harness.restart("p1", SECOND)
        self.assertEqual(Refusal.CUT, once.refusal)
        harness.caller.last.answer(200, b"ok")
        self.assertEqual(b"ok", sink.body)

    def test_each_life_counts_towards_the_number_of_targets(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        harness.restart("p1", SECOND)
        harness.pass_time(0.2)
        harness.restart("p1", THIRD)
        self.assertEqual(2, len(harness.caller.runs))
        self.assertEqual(Refusal.CUT, sink.refusal)

    def test_after_two_restarts_within_a_second_only_the_last_life_serves(self):
        harness = ForwardingHarness(ALONE)
        route = replace(STREAM, max_targets=3)
        _, sink = harness.call(request(route, deadline=START + 12))
        first = harness.caller.last
        first.observer.response_head(head())
        first.observer.response_data(event(1))
        harness.restart("m1", SECOND)
        harness.pass_time(0.2)
        second = harness.caller.last
        harness.restart("m1", THIRD)
        expected = [make_incarnation("m1", start) for start in (FIRST, SECOND, THIRD)]
        self.assertEqual(expected, self.lives(harness))
        second.observer.response_head(head())
        second.observer.response_data(event(2) + event(3))
        third = harness.caller.last
        third.observer.response_head(head())
        third.observer.response_data(event(2))
        third.observer.response_done()
        self.assertEqual(event(1) + event(2), sink.body)

    def test_a_request_leaves_no_count_behind_at_either_life(self):
        for route, targets in ((LOOKUP, PORTAL), (CONFIRMATION, PORTAL)):
            harness = ForwardingHarness(targets)
            harness.call(request(route))
            former = harness.state(harness.caller.last.name)
            harness.restart(former.target.name, SECOND)
            if not harness.ended:
                harness.caller.last.answer(200, b"ok")
            counts = [state.own_running for state in (former, *harness.states)]
            self.assertEqual([0] * 3, counts)
            self.assertEqual([], harness.clock.getDelayedCalls())

    # With a successor on trial

    def test_a_successor_takes_over_when_the_silent_target_starts_again(self):
        harness, sink, silent, successor = self.on_trial()
        harness.restart(silent.name, SECOND)
        self.assertTrue(silent.is_cancelled)
        successor.observer.response_head(head())
        successor.observer.response_data(event(2))
        successor.observer.response_done()
        self.assertEqual(event(1) + event(2), sink.body)
        self.assertEqual(2, len(harness.caller.runs))

    def test_the_silent_target_goes_on_when_its_successor_starts_again(self):
        harness, sink, silent, successor = self.on_trial()
        harness.restart(successor.name, SECOND)
        self.assertFalse(silent.is_cancelled)
        silent.observer.response_data(event(2))
        silent.observer.response_done()
        self.assertEqual(event(1) + event(2), sink.body)

    def on_trial(self):
        harness = ForwardingHarness(MODEL)
        _, sink = harness.call(request(STREAM, deadline=START + 12))
        silent = harness.caller.last
        silent.observer.response_head(head())
        silent.observer.response_data(event(1))
        harness.pass_time(0.5)
        successor = harness.caller.last
        self.assertIsNot(silent, successor)
        return harness, sink, silent, successor
