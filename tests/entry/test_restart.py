"""State and requests of a target's former incarnation after it has restarted."""

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
from primrosescale.process.entry.target_list import IncarnationStart
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.freshness import Freshness
from primrosescale.request.target.target_state import LoadReport

# Start times as targets report them, in the order of the incarnations.
FIRST, SECOND, THIRD = 1_790_000_000_123, 1_790_000_000_124, 1_790_000_003_000
WANTED = prompt(("tariffs", 9000), ("chat", 20))


class IncarnationOrderTest(TestCase):
    """Which of two incarnations is the current one."""

    def setUp(self):
        super().setUp()
        self.starts = []
        self.targets = TargetList(2.0, self.starts.append)
        self.targets.put(target("m1", started_at=FIRST), START)

    def state(self):
        return self.targets.state("m1")

    def test_a_later_start_is_a_new_incarnation_and_is_reported_once(self):
        before, generation = self.state(), self.targets.generation
        self.assertTrue(self.targets.put(target("m1", started_at=SECOND), START))
        self.assertIsNot(before, self.state())
        self.assertGreater(self.targets.generation, generation)
        self.assertFalse(self.targets.put(target("m1", started_at=SECOND), START))
        former, present = make_incarnation("m1", FIRST), make_incarnation("m1", SECOND)
        self.assertEqual(
            [
                IncarnationStart(former, None, "store"),
                IncarnationStart(present, former, "store"),
            ],
            self.starts,
        )

    def test_the_same_start_is_the_same_incarnation_at_any_address(self):
        before = self.state()
        moved = target("m1", started_at=FIRST, endpoint=Endpoint("127.0.0.1", 1))
        self.assertTrue(self.targets.put(moved, START))
        self.assertIs(before, self.state())
        self.assertEqual(moved, self.state().target)

    def test_a_report_with_an_earlier_start_is_ignored(self):
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

    def test_an_earlier_start_does_not_restore_a_removed_target(self):
        self.targets.put(target("m1", started_at=SECOND), START)
        self.targets.put(target("m2"), START)
        self.targets.remove("m1", START)
        self.targets.put(target("m1", started_at=FIRST), START)
        names = [state.target.name for state in self.targets.of_service("model")]
        self.assertEqual(["m2"], names)
        self.assertEqual(
            [make_incarnation("m1", SECOND)], self.targets.forget_expired(START + 2)
        )

    def test_a_report_without_start_keeps_the_known_one(self):
        before = self.state()
        self.targets.put(target("m1", is_draining=True), START)
        self.assertIs(before, self.state())
        self.assertTrue(before.target.is_draining)
        self.assertEqual(FIRST, before.target.started_at)
        self.assertFalse(self.targets.put(target("m1", started_at=FIRST - 1), START))

    def test_without_any_start_the_state_is_kept(self):
        self.targets.put(target("m2"), START)
        before = self.targets.state("m2")
        before.sent(START)
        self.assertFalse(self.targets.put(target("m2"), START))
        self.targets.put(target("m2", is_draining=True), START)
        self.assertIs(before, self.targets.state("m2"))

    def test_the_first_reported_start_is_a_new_incarnation(self):
        self.targets.put(target("m2"), START)
        before = self.targets.state("m2")
        self.targets.put(target("m2", started_at=FIRST), START)
        self.assertIsNot(before, self.targets.state("m2"))

    def test_removing_the_former_entry_keeps_the_new_incarnation(self):
        self.targets.put(target("m1", started_at=FIRST, is_draining=True), START)
        self.targets.remove("m1", START)
        self.targets.put(target("m1", started_at=SECOND), START)
        self.assertEqual([], self.targets.forget_expired(START + 60))
        self.assertIsNotNone(self.state())

    def test_an_unlisted_incarnation_outlives_the_removal_of_the_former_entry(self):
        self.targets.put(target("m1", started_at=FIRST, is_draining=True), START)
        self.targets.put(target("m1", started_at=SECOND), START, told_by="target")
        self.targets.remove("m1", START)
        self.assertEqual([], self.targets.forget_expired(START + 1.5))
        self.targets.put(target("m1", started_at=SECOND), START + 1.5)
        self.assertEqual([], self.targets.forget_expired(START + 60))


class FormerStateTest(TestCase):
    """Each kind of state about the former incarnation, one test each."""

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

    def chosen_and_held(self):
        choice = self.choose()
        return choice.state.target.name, choice.held

    def test_cached_prompt_parts(self):
        self.parts.record_own_request(self.former.incarnation, WANTED.parts, START)
        self.assertEqual(("m1", 9020), self.chosen_and_held())
        state = self.restart()
        self.assertEqual(0, self.parts.held(state.incarnation, WANTED.parts, START))
        choice = self.choose()
        self.assertEqual((0, None), (choice.held, choice.fetch_from))

    def test_the_size_of_its_cache(self):
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

    def test_pending_updates_to_peers_about_its_cache(self):
        self.parts.record_own_request(self.former.incarnation, WANTED.parts, START)
        self.parts.take_updates()
        self.parts.record_own_request(self.former.incarnation, WANTED.parts, START)
        self.parts.forget_target(self.former.incarnation)
        self.assertEqual([], self.parts.take_updates())

    def test_requests_of_this_router(self):
        self.former.sent(START)
        state = self.restart()
        self.assertEqual(0, state.own_running)
        # The end of a request there does not decrease the count here.
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

    def test_outcomes_reported_by_peers(self):
        self.former.set_peer_outcomes("r2", 0.0, 9.0, START + 9)
        self.assertEqual(0.0, self.restart().failure_share(START))

    def test_the_pause_after_failed_connections(self):
        for step in range(4):
            self.former.unreachable(START + 5 * step)
        later = START + 15
        self.assertTrue(self.former.is_paused(later))
        self.targets.put(target("m1", started_at=SECOND), later)
        state = self.targets.state("m1")
        self.assertFalse(state.is_avoided(later))
        # And a first failure does not continue the earlier backoff.
        state.unreachable(later)
        self.assertFalse(state.is_paused(later + 0.6))

    def test_its_silence(self):
        self.former.sent(START)
        later = START + 2.0
        self.assertTrue(self.former.is_avoided(later))
        self.targets.put(target("m1", started_at=SECOND), later)
        self.assertEqual(0.0, self.targets.state("m1").silence(later))

    def test_callers_that_pause_reading_its_answers(self):
        self.former.sent(START)
        self.former.pause_reading()
        state = self.restart()
        state.sent(START)
        self.assertAlmostEqual(1.0, state.silence(START + 1.0))

    def test_draining(self):
        self.targets.put(target("m1", started_at=FIRST, is_draining=True), START)
        self.assertFalse(self.restart().target.is_draining)

    def test_warm_up(self):
        state = self.restart(warm_up_seconds=3.0)
        self.assertEqual(3.0, state.target.warm_up_seconds)
        self.targets.put(target("m1", started_at=THIRD), START)
        self.assertEqual(0.0, self.targets.state("m1").target.warm_up_seconds)


class PeerSetup:
    """The state of one router that exchanges updates with a peer."""

    def __init__(self, name, started_at):
        self.targets = TargetList(2.0)
        self.parts = PrefixCacheIndex()
        self.state_exchange = StateExchange(
            name, 1, self.targets, self.parts, Freshness(5.0)
        )
        self.put_target(started_at)
        for number, other in enumerate(("a", "b")):
            endpoint = Endpoint("127.0.0.1", 7000 + number)
            self.state_exchange.put(PeerRouter(other, endpoint), START)

    def put_target(self, started_at):
        self.targets.put(target("m1", started_at=started_at), START)

    def make_reports(self):
        """Create reports on the target as it is known here."""
        state = self.targets.state("m1")
        state.sent(START)
        for _ in range(4):
            state.succeeded(START)
        state.failed(START)
        self.parts.record_own_request(state.incarnation, WANTED.parts, START)

    def applied_reports(self):
        state = self.targets.state("m1")
        return (
            state.load(START),
            state.failure_share(START) > 0,
            self.parts.held(state.incarnation, WANTED.parts, START),
        )

    def send_update(self, other):
        [(_, message)] = self.state_exchange.compose(1, START)
        other.state_exchange.receive(decode(encode(message)), 1, START)


class PeerUpdateTest(TestCase):
    def test_a_report_on_the_same_incarnation_is_applied(self):
        a, b = PeerSetup("a", FIRST), PeerSetup("b", FIRST)
        a.make_reports()
        a.send_update(b)
        self.assertEqual((1.0, True, 9000), b.applied_reports())

    def test_a_report_on_a_former_incarnation_is_ignored(self):
        a, b = PeerSetup("a", FIRST), PeerSetup("b", SECOND)
        a.make_reports()
        a.send_update(b)
        self.assertEqual((0.0, False, 0), b.applied_reports())

    def test_a_report_on_a_later_incarnation_is_ignored(self):
        a, b = PeerSetup("a", SECOND), PeerSetup("b", FIRST)
        a.make_reports()
        a.send_update(b)
        self.assertEqual((0.0, False, 0), b.applied_reports())

    def test_reports_from_before_a_restart_are_gone_after_it(self):
        a, b = PeerSetup("a", FIRST), PeerSetup("b", FIRST)
        a.make_reports()
        a.send_update(b)
        b.put_target(SECOND)
        self.assertEqual((0.0, False, 0), b.applied_reports())
        # The peer continues to report until it has detected the restart too.
        a.send_update(b)
        self.assertEqual((0.0, False, 0), b.applied_reports())
        a.put_target(SECOND)
        a.make_reports()
        a.send_update(b)
        self.assertEqual((1.0, True, 9000), b.applied_reports())

    def test_a_start_time_costs_no_bytes_on_the_wire(self):
        sizes = []
        for started_at in (None, FIRST):
            side = PeerSetup("a", started_at)
            side.make_reports()
            [(_, message)] = side.state_exchange.compose(1, START)
            sizes.append(len(encode(message)))
        # A 32-bit hash takes up to 5 bytes, and each is sent twice here.
        self.assertAlmostEqual(sizes[0], sizes[1], delta=2)


MODEL = [target(name, started_at=FIRST) for name in ("m1", "m2", "m3")]
ALONE = [target("m1", started_at=FIRST)]
PORTAL = [target(name, "portal", started_at=FIRST) for name in ("p1", "p2")]
PORTAL_ALONE = PORTAL[:1]


class RestartDuringCallTest(TestCase):
    """Requests whose target restarts at various stages."""

    def incarnations(self, harness):
        return [run.sending.target.incarnation for run in harness.caller.runs]

    # Restart before the request is sent

    def test_an_unsent_request_goes_to_the_new_incarnation_too(self):
        for route in (CONFIRMATION, LOOKUP):
            harness = ForwardingHarness(PORTAL_ALONE, extra=0.0)
            harness.caller.opening = {"p1"}
            _, sink = harness.call(request(route))
            harness.caller.opening = set()
            harness.restart("p1", SECOND)
            self.assertEqual(
                [make_incarnation("p1", FIRST), make_incarnation("p1", SECOND)],
                self.incarnations(harness),
            )
            harness.caller.last.answer(200, b"ok")
            self.assertEqual(b"ok", sink.body)

    # Restart after sending, before the head of the answer

    def test_a_request_that_may_run_once_is_not_retried_nor_reported_as_not_run(self):
        for targets in (PORTAL_ALONE, PORTAL):
            harness = ForwardingHarness(targets)
            _, sink = harness.call(request(CONFIRMATION))
            harness.restart(harness.caller.last.name, SECOND)
            self.assertEqual(1, len(harness.caller.runs))
            self.assertEqual(Refusal.CUT, sink.refusal)
            self.assertFalse(sink.refusal.is_not_run)
            self.assertIsNone(sink.retry_after)

    def test_a_stream_that_may_run_once_is_not_retried(self):
        harness = ForwardingHarness(MODEL)
        _, sink = harness.call(request(FRAGILE_STREAM, deadline=START + 12))
        harness.restart(harness.caller.last.name, SECOND)
        self.assertEqual((1, Refusal.CUT), (len(harness.caller.runs), sink.refusal))

    def test_a_decline_by_the_new_incarnation_does_not_mean_not_run(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        harness.restart("p1", SECOND)
        harness.caller.last.observer.response_head(head(503, is_not_run=True))
        self.assertEqual(Refusal.CUT, sink.refusal)
        self.assertFalse(sink.refusal.is_not_run)

    def test_an_idempotent_request_is_retried_at_the_new_incarnation(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        harness.restart("p1", SECOND)
        harness.caller.last.answer(200, b"ok")
        self.assertEqual(b"ok", sink.body)
        self.assertEqual(
            [make_incarnation("p1", FIRST), make_incarnation("p1", SECOND)],
            self.incarnations(harness),
        )

    def test_it_is_retried_within_the_retry_budget_only(self):
        harness = ForwardingHarness(PORTAL, extra=0.0)
        _, sink = harness.call(request(LOOKUP))
        harness.restart(harness.caller.last.name, SECOND)
        self.assertEqual((1, Refusal.CUT), (len(harness.caller.runs), sink.refusal))

    # Restart during a stream

    def test_a_stream_is_resumed_after_its_last_complete_event(self):
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
            # Further data from the former incarnation is discarded.
            first.observer.response_data(event(3)[4:] + event(4))
            first.observer.response_done()
            second.observer.response_data(event(3))
            second.observer.response_done()
            self.assertEqual(event(1) + event(2) + event(3), sink.body)
            self.assertTrue(sink.is_finished)

    def test_a_stream_that_is_not_resumable_is_aborted(self):
        harness = ForwardingHarness(MODEL)
        _, sink = harness.call(request(FRAGILE_STREAM, deadline=START + 12))
        run = harness.caller.last
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        harness.restart(run.name, SECOND)
        self.assertTrue(sink.is_broken)
        self.assertEqual(1, len(harness.caller.runs))

    def test_a_late_answer_of_the_former_incarnation_is_discarded(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        first = harness.caller.last
        harness.restart("p1", SECOND)
        first.answer(200, b"late")
        self.assertEqual((None, b""), (sink.head, sink.body))
        harness.caller.last.answer(200, b"ok")
        self.assertEqual(b"ok", sink.body)

    # Restart while draining, and repeated restarts

    def test_a_target_that_restarts_while_draining_gets_new_requests(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        _, once = harness.call(request(CONFIRMATION))
        leaving = target("p1", "portal", started_at=FIRST, is_draining=True)
        harness.state("p1").update_entry(leaving)
        harness.restart("p1", SECOND)
        self.assertEqual(Refusal.CUT, once.refusal)
        harness.caller.last.answer(200, b"ok")
        self.assertEqual(b"ok", sink.body)

    def test_each_incarnation_counts_towards_the_maximum_of_targets(self):
        harness = ForwardingHarness(PORTAL_ALONE)
        _, sink = harness.call(request(LOOKUP))
        harness.restart("p1", SECOND)
        harness.pass_time(0.2)
        harness.restart("p1", THIRD)
        self.assertEqual(2, len(harness.caller.runs))
        self.assertEqual(Refusal.CUT, sink.refusal)

    def test_after_two_restarts_within_a_second_only_the_last_incarnation_serves(self):
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
        self.assertEqual(expected, self.incarnations(harness))
        second.observer.response_head(head())
        second.observer.response_data(event(2) + event(3))
        third = harness.caller.last
        third.observer.response_head(head())
        third.observer.response_data(event(2))
        third.observer.response_done()
        self.assertEqual(event(1) + event(2), sink.body)

    def test_a_request_leaves_no_count_at_either_incarnation(self):
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

    # Restart during a hedged attempt

    def test_a_hedge_takes_over_when_the_silent_target_restarts(self):
        harness, sink, silent, hedge = self.call_with_hedge()
        harness.restart(silent.name, SECOND)
        self.assertTrue(silent.is_cancelled)
        hedge.observer.response_head(head())
        hedge.observer.response_data(event(2))
        hedge.observer.response_done()
        self.assertEqual(event(1) + event(2), sink.body)
        self.assertEqual(2, len(harness.caller.runs))

    def test_the_silent_target_continues_when_the_hedge_s_target_restarts(self):
        harness, sink, silent, hedge = self.call_with_hedge()
        harness.restart(hedge.name, SECOND)
        self.assertFalse(silent.is_cancelled)
        silent.observer.response_data(event(2))
        silent.observer.response_done()
        self.assertEqual(event(1) + event(2), sink.body)

    def call_with_hedge(self):
        harness = ForwardingHarness(MODEL)
        _, sink = harness.call(request(STREAM, deadline=START + 12))
        silent = harness.caller.last
        silent.observer.response_head(head())
        silent.observer.response_data(event(1))
        harness.pass_time(0.5)
        hedge = harness.caller.last
        self.assertIsNot(silent, hedge)
        return harness, sink, silent, hedge
