"""Tokens of attempts and of peers are counted where overload control is in force."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase

from entry.fakes import FRAGILE_STREAM
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
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.attempt.target_attempt import RUNNING
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.choice.prefill_cost import PrefillCost
from primrosescale.request.choice.prefix_cache_index import PartUse
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.freshness import Freshness
from primrosescale.request.target.prefill_rate import INITIAL_TOKENS_PER_SECOND
from primrosescale.request.target.target_state import LoadReport
from primrosescale.request.target.target_work import TargetWork

WITH_PACE = LoadReport(0, 0, 8, 1.0)
WITHOUT_PACE = LoadReport(0, 0, 8)
TOKENS = 520


def make_scope(*, is_in_force=True):
    scope = OverloadScope(OverloadSettings())
    if is_in_force:
        scope.record("model", WITH_PACE)
    return scope


class WorkTestCase(TestCase):
    """A router's forwarding with overload control in force for its service."""

    def setUp(self):
        super().setUp()
        self.set_up(make_scope())

    def set_up(self, scope):
        self.scope = scope
        self.harness = ForwardingHarness([target("m1"), target("m2")])
        self.work = TargetWork(scope)
        tools = self.harness.tools
        tools.overload_scope, tools.target_work = scope, self.work
        tools.chooser = TargetChooser(
            ChoiceSettings(),
            self.harness.parts,
            tools.rng,
            prefill_cost=PrefillCost(self.work),
        )

    def backlogs(self):
        """Return the tokens at each target that has any."""
        now = self.harness.clock.seconds()
        found = {}
        for state in self.harness.states:
            backlog = state.prefill_backlog
            if backlog is not None and backlog.tokens(now):
                found[state.target.name] = backlog.tokens(now)
        return found

    def begin(self, route=STREAM, **fields):
        call, _ = self.harness.call(request(route, **fields))
        return call, self.harness.caller.last


class AttemptTokensTest(WorkTestCase):
    # Guards against tokens that stay after the prompt was prefilled.
    def test_tokens_count_until_the_first_byte(self):
        _, run = self.begin()
        self.assertEqual({run.name: TOKENS}, self.backlogs())
        run.observer.response_head(head())
        self.assertEqual({run.name: TOKENS}, self.backlogs())
        run.observer.response_data(event(1))
        self.assertEqual({}, self.backlogs())

    # Guards against tokens that are returned with each event, and then again at the
    # end: other requests at the target would not count any more.
    def test_tokens_are_returned_once(self):
        _, run = self.begin()
        other = prompt(("shared", 500), ("other", 20))
        self.begin(request_id="r2", prompt=other)
        both = self.backlogs()
        run.observer.response_head(head())
        for number in range(1, 4):
            run.observer.response_data(event(number))
        run.observer.response_done()
        # The shared part is assumed to be cached at the target of the first request.
        self.assertEqual(20, sum(self.backlogs().values()))
        self.assertEqual(TOKENS + 20, sum(both.values()))

    # Guards against an end that returns the tokens of another request again.
    def test_a_prefill_returns_its_tokens_once(self):
        state = self.harness.state("m1")
        first, second = (self.work.prefill_of(state, 100) for _ in range(2))
        first.ended(START)
        first.sent(START)
        second.sent(START)
        first.answered(START + 0.1)
        first.answered(START + 0.1)
        first.ended(START + 0.1)
        self.assertEqual(100, state.prefill_backlog.tokens(START + 0.1))

    # Guards against cached tokens that count as backlog.
    def test_cached_tokens_do_not_count(self):
        for name in ("m1", "m2"):
            use = PartUse("shared", make_incarnation(name), 500, START)
            self.harness.parts.record_use(use)
        _, run = self.begin()
        self.assertEqual({run.name: 20}, self.backlogs())

    # Guards against copied tokens that count like those that are prefilled.
    def test_a_tenth_of_the_copied_tokens_counts(self):
        use = PartUse("shared", make_incarnation("m1"), 500, START)
        self.harness.parts.record_use(use)
        self.harness.state("m1").unreachable(START - 0.1)
        self.harness.tools.chooser.choose = self.copying_choice
        _, run = self.begin()
        self.assertEqual("m1", run.sending.fetch_from.name)
        self.assertEqual({"m2": 20 + 50}, self.backlogs())

    def copying_choice(self, states, tried, wanted, now):
        """Return the choice of the target that holds nothing."""
        state = self.harness.state("m1")
        state.succeeded(now)
        chooser = TargetChooser(
            ChoiceSettings(),
            self.harness.parts,
            self.harness.tools.rng,
            prefill_cost=PrefillCost(self.work),
        )
        return chooser.choose(states, {state.incarnation}, wanted, now)

    # Guards against tokens of an attempt that was cut.
    def test_a_lost_answer_returns_its_tokens(self):
        _, run = self.begin(FRAGILE_STREAM)
        run.observer.response_lost("reset")
        self.assertEqual({}, self.backlogs())

    # Guards against a retry that leaves the tokens at the first target.
    def test_a_retry_moves_the_tokens(self):
        _, first = self.begin()
        first.observer.response_lost("reset")
        second = self.harness.caller.last
        self.assertNotEqual(first.name, second.name)
        self.assertEqual([second.name], list(self.backlogs()))

    # Guards against tokens of a request that the target declined.
    def test_a_declined_attempt_returns_its_tokens(self):
        _, first = self.begin()
        first.observer.response_head(head(503, is_not_run=True))
        self.assertNotIn(first.name, self.backlogs())

    # Guards against tokens of a request that was never sent.
    def test_an_attempt_that_was_not_sent_returns_its_tokens(self):
        self.harness.caller.unreachable = {"m1", "m2"}
        self.begin()
        self.assertEqual({}, self.backlogs())

    # Guards against tokens of a request whose caller has left.
    def test_a_cancelled_attempt_returns_its_tokens(self):
        call, _ = self.begin()
        call.caller_gone()
        self.assertEqual({}, self.backlogs())

    # Guards against tokens that stay at a silent target that is asked no more.
    def test_of_two_hedged_attempts_each_returns_its_tokens(self):
        self.begin()
        self.harness.pass_time(1.3)
        first, second = self.harness.caller.runs
        self.assertEqual({first.name, second.name}, set(self.backlogs()))
        second.observer.response_head(head())
        self.assertEqual([second.name], list(self.backlogs()))
        second.observer.response_data(event(1))
        self.assertEqual({}, self.backlogs())

    # Guards against a target that never answers and keeps its backlog for ever.
    def test_an_attempt_at_a_silent_target_ends_with_its_deadline(self):
        self.begin(FRAGILE_STREAM)
        self.harness.pass_time(1.4)
        self.assertEqual(1, len(self.backlogs()))
        self.harness.pass_time(0.2)
        self.assertEqual(["refused: timed_out"], self.harness.ended)
        self.assertEqual({}, self.backlogs())

    # Guards against backlog and pace of a process that has ended.
    def test_a_restarted_target_has_neither_backlog_nor_pace(self):
        _, run = self.begin(FRAGILE_STREAM)
        now = self.harness.clock.seconds()
        state = self.harness.state(run.name)
        self.work.reported(state, LoadReport(0, 0, 8, 2.5), now)
        self.harness.restart(run.name, 5)
        present = self.harness.state(run.name)
        self.assertIs(None, present.prefill_backlog)
        self.assertIs(None, present.pace)
        self.assertEqual(2.5, self.work.pace_of(present, now))
        self.assertEqual(0, state.prefill_backlog.tokens(now))

    # Guards against tokens that are never returned after a change of the settings.
    def test_tokens_return_when_overload_control_is_turned_off(self):
        call, _ = self.begin()
        self.scope.configure(OverloadSettings(mode=OverloadMode.OFF))
        call.caller_gone()
        self.assertEqual({}, self.backlogs())

    # Guards against costs and changes for services in operation today.
    def test_nothing_is_recorded_where_it_is_not_in_force(self):
        self.set_up(make_scope(is_in_force=False))
        _, run = self.begin()
        run.answer(body=event(1), load=WITHOUT_PACE)
        for state in self.harness.states:
            self.assertIs(None, state.prefill_backlog)
            self.assertIs(None, state.pace)
            self.assertEqual(1.0, self.work.pace_of(state, START))

    # Guards against a pace that is reported and not used.
    def test_an_answer_reports_the_pace(self):
        _, run = self.begin()
        now = self.harness.clock.seconds()
        run.observer.response_head(head(load=replace(WITH_PACE, pace=2.5)))
        self.assertEqual(2.5, self.work.pace_of(self.harness.state(run.name), now))

    # Guards against errors, which prefill nothing, in the learned rate.
    def test_the_rate_is_learned_from_successful_answers(self):
        rates = []
        for status in (404, 200):
            self.set_up(make_scope())
            for number in range(3):
                long = prompt((f"s{number}", 9000), ("own", 1000))
                wanted = replace(request(STREAM), prompt=long)
                self.harness.call(wanted)
                run = self.harness.caller.last
                self.harness.clock.advance(0.1)
                run.answer(status, event(1))
            state = self.harness.state(run.name)
            probe = state.prefill_backlog
            now = self.harness.clock.seconds()
            probe.peer_started(50_000, now, now)
            rates.append(50_000 - probe.tokens(now + 0.1))
        self.assertAlmostEqual(INITIAL_TOKENS_PER_SECOND / 10, rates[0], 3)
        self.assertAlmostEqual(10_000, rates[1], 3)


RUN_STEPS = {
    "head": lambda observer: observer.response_head(head()),
    "declined": lambda observer: observer.response_head(head(503, is_not_run=True)),
    "error": lambda observer: observer.response_head(head(500)),
    "event": lambda observer: observer.response_data(event(1)),
    "done": lambda observer: observer.response_done(),
    "lost": lambda observer: observer.response_lost("reset"),
}
KINDS = ("call", "not sent", "left", "time", *RUN_STEPS)
PLAYS = st.lists(
    st.tuples(st.sampled_from(KINDS), st.integers(0, 20)),
    max_size=30,
)


class DrawnAttemptsTest(WorkTestCase):
    def play(self, kind, number, calls):
        """Let one of the calls, or one of the runs, make a step."""
        harness = self.harness
        if kind == "call":
            route = (STREAM, FRAGILE_STREAM)[number % 2]
            wanted = prompt((f"text{number % 3}", 5000), (f"own{number}", 100))
            calls.append(self.begin(route, prompt=wanted)[0])
        elif kind == "not sent":
            harness.caller.unreachable = {"m1"} if number % 2 else set()
        elif kind == "time":
            harness.pass_time(number / 50)
        elif kind == "left" and calls:
            calls[number % len(calls)].caller_gone()
        elif harness.caller.runs:
            run = harness.caller.runs[number % len(harness.caller.runs)]
            RUN_STEPS[kind](run.observer)

    # Guards against tokens that are returned twice or never, in any order of events of
    # several calls with retries and hedges.
    @settings(max_examples=200, deadline=None)
    @given(PLAYS)
    def test_tokens_at_targets_are_those_of_open_attempts(self, plays):
        self.set_up(make_scope())
        calls = []
        for kind, number in plays:
            self.play(kind, number, calls)
            running = {
                record.target
                for call in calls
                for record in call.attempts
                if record.outcome == RUNNING
            }
            self.assertEqual(set(), set(self.backlogs()) - running)
        self.harness.pass_time(2.0)
        self.assertEqual(len(calls), len(self.harness.ended))
        self.assertEqual({}, self.backlogs())


class ExchangingRouter:
    def __init__(self, name, scope):
        self.targets = TargetList(2.0)
        self.targets.put(target("m1"), START)
        self.parts = PrefixCacheIndex()
        self.state_exchange = StateExchange(
            name,
            1,
            self.targets,
            self.parts,
            Freshness(5.0),
            target_work=TargetWork(scope),
        )
        for number, other in enumerate(("a", "b")):
            endpoint = Endpoint("127.0.0.1", 7000 + number)
            self.state_exchange.put(PeerRouter(other, endpoint, "a"), START)

    def message(self, now):
        [(_, message)] = self.state_exchange.compose(1, now)
        return decode(encode(message))

    def sends(self, *parts, now=START):
        wanted = prompt(*parts).parts
        self.parts.record_own_request(make_incarnation("m1"), wanted, now)

    def tokens(self, now):
        backlog = self.targets.state("m1").prefill_backlog
        return 0 if backlog is None else backlog.tokens(now)


class PeerTokensTest(TestCase):
    def setUp(self):
        super().setUp()
        self.a = ExchangingRouter("a", make_scope())
        self.b = ExchangingRouter("b", make_scope())

    def receive(self, now):
        self.assertTrue(self.b.state_exchange.receive(self.a.message(now), 1, now))

    # Guards against routers that each send a prompt to the same target at once.
    def test_tokens_that_a_peer_sent_are_counted_and_drain(self):
        self.a.sends(("tariffs", 9000), ("chat", 10))
        self.receive(START)
        self.assertEqual(9000, self.b.tokens(START))
        drained = 0.1 * INITIAL_TOKENS_PER_SECOND
        self.assertAlmostEqual(9000 - drained, self.b.tokens(START + 0.1), 2)
        self.assertEqual(0, self.b.tokens(START + 1))

    # Guards against parts that are reported twice, since datagrams may be lost.
    def test_a_repeated_report_counts_once(self):
        self.a.sends(("tariffs", 9000), ("chat", 10))
        self.receive(START)
        self.receive(START)
        self.assertEqual(9000, self.b.tokens(START))

    # Guards against parts that the target holds and does not prefill again.
    def test_a_part_that_was_known_there_is_not_counted(self):
        self.b.sends(("tariffs", 9000), ("chat", 10))
        self.a.sends(("tariffs", 9000), ("chat", 10))
        self.receive(START)
        self.assertEqual(0, self.b.tokens(START))

    # Guards against tokens that were prefilled while the report waited to be sent.
    def test_a_late_report_counts_what_is_left(self):
        self.a.sends(("tariffs", 9000), ("chat", 10))
        self.receive(START + 0.1)
        left = 9000 - 0.1 * INITIAL_TOKENS_PER_SECOND
        self.assertAlmostEqual(left, self.b.tokens(START + 0.1), 2)

    # Guards against recording for services in operation today.
    def test_nothing_is_counted_where_it_is_not_in_force(self):
        self.b = ExchangingRouter("b", make_scope(is_in_force=False))
        self.a.sends(("tariffs", 9000), ("chat", 10))
        self.receive(START)
        self.assertIs(None, self.b.targets.state("m1").prefill_backlog)
