"""Tests the choice of targets with returning chats, surges and failing targets."""

from __future__ import annotations

import random

from testtools import TestCase

from entry.fakes import START
from entry.fakes import make_incarnation
from entry.fakes import prompt
from entry.fakes import target
from primrosescale.request.choice.prefix_cache_index import MAX_USE_AGE_SECONDS
from primrosescale.request.choice.prefix_cache_index import PartUse
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.target.target_state import LoadReport
from primrosescale.request.target.target_state import TargetState


class ChoiceTest(TestCase):
    def setUp(self):
        super().setUp()
        self.parts = PrefixCacheIndex()
        self.chooser = TargetChooser(ChoiceSettings(), self.parts, random.Random(3))
        self.states = [TargetState(target(f"m{n}"), START) for n in range(1, 6)]

    def choose(self, wanted, tried=(), now=START):
        return self.chooser.choose(self.states, tried, wanted, now)

    def state(self, name):
        return next(s for s in self.states if s.target.name == name)

    def test_a_returning_chat_goes_where_its_prompt_is_cached(self):
        wanted = prompt(("tariffs", 10000), ("chat", 900))
        self.parts.record_use(PartUse("tariffs", make_incarnation("m4"), 10000, START))
        self.assertEqual("m4", self.choose(wanted).state.target.name)
        self.assertEqual(10000, self.choose(wanted).held)

    def test_routers_without_knowledge_choose_the_same_target(self):
        wanted = prompt(("tariffs", 10000), ("chat", 900))
        other = TargetChooser(ChoiceSettings(), PrefixCacheIndex(), random.Random(99))
        alike = other.choose(self.states, (), wanted, START).state.target.name
        self.assertEqual(alike, self.choose(wanted).state.target.name)

    def test_a_part_without_those_before_it_saves_nothing(self):
        wanted = prompt(("terms", 500), ("tariffs", 10000), ("chat", 900))
        self.parts.record_use(PartUse("tariffs", make_incarnation("m4"), 10000, START))
        self.assertEqual(
            0, self.parts.held(make_incarnation("m4"), wanted.parts, START)
        )

    def test_a_part_used_long_ago_is_not_relied_on(self):
        self.parts.record_use(PartUse("tariffs", make_incarnation("m4"), 10000, START))
        wanted = prompt(("tariffs", 10000), ("chat", 900))
        later = START + MAX_USE_AGE_SECONDS + 1
        self.assertEqual(
            0, self.parts.held(make_incarnation("m4"), wanted.parts, later)
        )

    def test_a_hot_part_spreads_with_copies_once_its_target_is_over_the_bound(self):
        wanted = prompt(("tariffs", 10000), ("chat", 900))
        self.parts.record_use(PartUse("tariffs", make_incarnation("m4"), 10000, START))
        for _ in range(20):
            self.state("m4").sent(START)
        choice = self.choose(wanted)
        self.assertNotEqual("m4", choice.state.target.name)
        self.assertEqual("m4", choice.fetch_from.target.name)

    def test_no_target_is_loaded_over_the_bound_in_a_surge_on_one_part(self):
        wanted = prompt(("tariffs", 10000), ("chat", 900))
        for _ in range(200):
            choice = self.choose(wanted)
            choice.state.sent(START)
            self.parts.record_own_request(choice.state.incarnation, wanted.parts, START)
            loads = [state.load(START) for state in self.states]
            mean = sum(loads) / len(loads)
            self.assertTrue(max(loads) <= 2 * mean + 3, loads)

    def test_many_routers_with_stale_loads_keep_a_hot_part_within_twice_the_mean(self):
        names = [f"m{n}" for n in range(1, 28)]
        wanted = prompt(("tariffs", 10000), ("chat", 900))
        routers = []
        for number in range(23):
            parts = PrefixCacheIndex()
            parts.record_use(PartUse("tariffs", make_incarnation("m1"), 10000, START))
            chooser = TargetChooser(ChoiceSettings(), parts, random.Random(number))
            states = [TargetState(target(name), START) for name in names]
            routers.append((chooser, states))
        for state in (s for _, states in routers for s in states):
            # Six requests are at every target, as reported by one more router.
            state.set_peer_requests("others", 6, START + 99)
        total = dict.fromkeys(names, 6)
        over = 0
        for step in range(300):
            now = START + step / 45
            if step % 15 == 0:
                self.exchange_loads(routers, now)
            chooser, states = routers[step % 23]
            choice = chooser.choose(states, (), wanted, now)
            choice.state.sent(now)
            total[choice.state.target.name] += 1
            mean = sum(total.values()) / len(total)
            over += total[choice.state.target.name] > 2 * mean + 3
        self.assertTrue(over <= 0.03 * 300, over)

    def exchange_loads(self, routers, now):
        for number, (_, states) in enumerate(routers):
            for other, (_, theirs) in enumerate(routers):
                if other != number:
                    for mine, their in zip(states, theirs, strict=True):
                        mine.set_peer_requests(str(other), their.own_running, now + 99)

    def test_a_leaving_target_gets_nothing_but_its_cache_is_copied(self):
        self.parts.record_use(PartUse("tariffs", make_incarnation("m4"), 10000, START))
        leaving = target("m4", is_draining=True)
        self.state("m4").update_entry(leaving)
        choice = self.choose(prompt(("tariffs", 10000), ("chat", 900)))
        self.assertNotEqual("m4", choice.state.target.name)
        self.assertEqual("m4", choice.fetch_from.target.name)

    def test_an_unreachable_target_is_left_out_for_a_while(self):
        self.parts.record_use(PartUse("tariffs", make_incarnation("m4"), 10000, START))
        self.state("m4").unreachable(START)
        wanted = prompt(("tariffs", 10000), ("chat", 900))
        choice = self.choose(wanted)
        self.assertNotEqual("m4", choice.state.target.name)
        self.assertIsNone(choice.fetch_from)
        later = self.choose(wanted, now=START + 10)
        self.assertEqual("m4", later.state.target.name)

    def test_a_target_that_fails_two_in_five_is_avoided(self):
        self.parts.record_use(PartUse("tariffs", make_incarnation("m4"), 10000, START))
        for turn in range(10):
            if turn % 5 < 2:
                self.state("m4").failed(START)
            else:
                self.state("m4").succeeded(START)
        choice = self.choose(prompt(("tariffs", 2000), ("chat", 90)))
        self.assertNotEqual("m4", choice.state.target.name)

    def test_a_new_target_does_not_get_all_requests_while_most_lose_some_answers(self):
        wanted = prompt(("tariffs", 3000), ("chat", 900))
        self.parts.record_use(PartUse("tariffs", make_incarnation("m4"), 3000, START))
        for state in self.states:
            for _ in range(3):
                state.succeeded(START)
            state.failed(START)
        self.states.append(TargetState(target("m6"), START))
        self.assertEqual("m4", self.choose(wanted).state.target.name)

    def test_all_paused_is_better_than_none(self):
        for state in self.states:
            state.unreachable(START)
        self.assertIsNotNone(self.choose(None))

    def test_a_tried_target_is_not_tried_again(self):
        tried = {state.incarnation for state in self.states}
        self.assertIsNone(self.choose(None, tried=tried))
        left = self.choose(None, tried=tried - {make_incarnation("m2")})
        self.assertEqual("m2", left.state.target.name)

    def test_plain_requests_go_to_the_least_loaded(self):
        for state in self.states:
            if state.target.name != "m3":
                state.sent(START)
        self.assertEqual("m3", self.choose(None).state.target.name)


class PartDirectoryTest(TestCase):
    def test_the_least_recently_used_part_is_dropped_when_the_cache_is_full(self):
        parts = PrefixCacheIndex()
        parts.limit(make_incarnation("m1"), 6000)
        for turn, name in enumerate(("a", "b", "a", "c")):
            parts.record_use(PartUse(name, make_incarnation("m1"), 2500, START + turn))
        held = [
            name
            for name in ("a", "b", "c")
            if parts.held(make_incarnation("m1"), prompt((name, 2500)).parts, START + 4)
        ]
        self.assertEqual(["a", "c"], held)

    def test_a_gone_target_holds_nothing(self):
        parts = PrefixCacheIndex()
        parts.record_use(PartUse("a", make_incarnation("m1"), 100, START))
        parts.forget_target(make_incarnation("m1"))
        self.assertEqual(
            0, parts.held(make_incarnation("m1"), prompt(("a", 100)).parts, START)
        )

    def test_a_part_of_one_chat_alone_is_not_reported(self):
        parts = PrefixCacheIndex()
        self.assertTrue(
            parts.record_own_request(
                make_incarnation("m1"), prompt(("a", 9), ("own", 1)).parts, START
            )
        )
        for expected in (["a"], ["a"], []):
            self.assertEqual(expected, [use.part for use in parts.take_updates()])
        self.assertFalse(
            parts.record_own_request(
                make_incarnation("m1"), prompt(("a", 9), ("x", 1)).parts, START
            )
        )


class StateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.state = TargetState(target("m1"), START)

    def test_the_load_report_counts_others_and_decays(self):
        self.state.sent(START)
        self.state.set_load(LoadReport(5, 2, 8), START)
        self.assertEqual(7.0, self.state.load(START))
        self.assertEqual(1 + 3.0, self.state.load(START + 0.5))

    def test_counts_of_routers_apply_until_they_expire(self):
        self.state.set_peer_requests("r2", 4, START + 1)
        self.state.set_peer_requests("r3", 2, START + 1)
        self.state.set_peer_requests("r2", 3, START + 1)
        self.assertEqual(5.0, self.state.load(START))
        self.assertEqual(0.0, self.state.load(START + 1.1))

    def test_of_two_routers_counts_the_older_expires_first(self):
        self.state.set_peer_requests("r2", 4, START + 1)
        self.state.set_peer_requests("r3", 2, START + 5)
        self.assertEqual(2.0, self.state.load(START + 1.1))
        self.state.set_peer_requests("r2", 1, START + 3)
        self.assertEqual(3.0, self.state.load(START + 2.9))
        self.assertEqual(2.0, self.state.load(START + 3.1))
        self.assertEqual(0.0, self.state.load(START + 5.1))

    def test_pauses_double_and_a_success_ends_them(self):
        self.state.unreachable(START)
        self.assertTrue(self.state.is_paused(START + 0.4))
        self.assertFalse(self.state.is_paused(START + 0.6))
        self.state.unreachable(START + 1)
        self.assertTrue(self.state.is_paused(START + 1.9))
        self.state.succeeded(START + 1.9)
        self.assertFalse(self.state.is_paused(START + 1.9))

    def test_outcomes_reported_by_others_count(self):
        self.state.set_peer_outcomes("r2", 1.0, 7.0, START + 1)
        self.assertTrue(self.state.failure_share(START) > 0.5)
        self.assertEqual(0.0, self.state.failure_share(START + 2))
