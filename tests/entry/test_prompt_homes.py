"""Tests where unreported prompts are expected while targets come and go."""

from __future__ import annotations

import random

from testtools import TestCase

from entry.fakes import START
from entry.fakes import prompt
from entry.fakes import target
from primrosescale.request.choice.prefix_cache_index import PartUse
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.prompt_homes import ESTABLISHED_SECONDS
from primrosescale.request.choice.prompt_homes import SETTLED_SECONDS
from primrosescale.request.choice.prompt_homes import established_home
from primrosescale.request.choice.prompt_homes import expected_source
from primrosescale.request.choice.prompt_homes import home_of
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.target.target_state import TargetState

TARGETS = 12
WANTED = prompt(("terms", 500), ("tariffs", 10_000), ("chat", 900))


class HomesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.states = [
            TargetState(target(f"m{number}"), START + number / 10)
            for number in range(TARGETS)
        ]
        self.home = home_of(WANTED, self.states)
        self.others = [state for state in self.states if state is not self.home]

    def newcomer(self, since):
        """Return a later target that is the prompt's home from then on."""
        names = (f"n{number}" for number in range(1000))
        states = (TargetState(target(name), since) for name in names)
        return next(s for s in states if home_of(WANTED, [*self.states, s]) is s)

    def test_a_router_that_has_just_started_takes_all_targets_for_settled(self):
        self.assertIs(self.home, established_home(WANTED, self.states, START + 1))
        self.assertIsNone(expected_source(WANTED, self.states, self.home, START + 1))

    def test_what_goes_elsewhere_is_copied_from_home(self):
        found = expected_source(WANTED, self.states, self.others[0], START + 1)
        self.assertIs(self.home, found)

    def test_a_new_home_copies_from_the_one_before_until_it_is_settled(self):
        new = self.newcomer(START + 100)
        states = [*self.states, new]
        soon = START + 100 + ESTABLISHED_SECONDS + 1
        late = START + 100 + SETTLED_SECONDS + 1
        self.assertIs(self.home, expected_source(WANTED, states, new, soon))
        self.assertIsNone(expected_source(WANTED, states, new, late))

    def test_a_home_that_is_a_second_old_holds_nothing_yet(self):
        new = self.newcomer(START + 100)
        states = [*self.states, new]
        self.assertIs(self.home, established_home(WANTED, states, START + 101))
        found = expected_source(WANTED, states, self.others[0], START + 101)
        self.assertIs(self.home, found)

    def test_a_leaving_home_is_copied_from(self):
        left = [state for state in self.states if state is not self.home]
        chosen = home_of(WANTED, left)
        self.assertIs(
            self.home, expected_source(WANTED, self.states, chosen, START + 9)
        )

    def test_a_new_target_moves_no_prompts_between_others(self):
        new = self.newcomer(START + 100)
        wanted = [prompt((f"file{n}", 900), ("own", 9)) for n in range(300)]
        before = [home_of(item, self.states) for item in wanted]
        after = [home_of(item, [*self.states, new]) for item in wanted]
        moved = [b for b, a in zip(before, after, strict=True) if b is not a]
        self.assertEqual([new] * len(moved), [a for a in after if a is new])


class ChoiceByHomesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.parts = PrefixCacheIndex()
        self.states = [TargetState(target(f"m{n}"), START) for n in range(TARGETS)]
        self.home = home_of(WANTED, self.states)

    def chooser(self, seed=1, age=0.4):
        return TargetChooser(
            ChoiceSettings(),
            self.parts,
            random.Random(seed),
            lambda: age,
            lambda: True,
        )

    def choose(self, seed=1):
        return self.chooser(seed).choose(self.states, (), WANTED, START + 1)

    def test_a_prompt_without_known_holder_goes_home(self):
        # Most targets hold the first part, which many prompts share.
        for state in self.states[::2]:
            self.parts.record_use(PartUse("terms", state.incarnation, 500, START))
        for seed in range(20):
            choice = self.choose(seed)
            self.assertIs(self.home, choice.state)
            self.assertTrue(choice.is_home)
            self.assertIsNone(choice.fetch_from)

    def test_over_the_bound_at_home_it_goes_elsewhere_with_a_copy(self):
        for _ in range(9):
            self.home.sent(START + 0.9)
        choice = self.choose()
        self.assertIsNot(self.home, choice.state)
        self.assertIs(self.home, choice.fetch_from)
        self.assertFalse(choice.is_home)

    def test_a_known_copy_shares_the_load_of_home(self):
        other = next(state for state in self.states if state is not self.home)
        for name, tokens in (("terms", 500), ("tariffs", 10_000)):
            self.parts.record_use(PartUse(name, other.incarnation, tokens, START))
        self.home.sent(START + 0.9)
        self.assertIs(other, self.choose().state)
        for _ in range(2):
            other.sent(START + 0.9)
        choice = self.choose()
        self.assertIs(self.home, choice.state)
        # The home may have evicted it; a copy of what it still holds costs nothing.
        self.assertIs(other, choice.fetch_from)

    def test_an_unreachable_home_is_no_source(self):
        self.home.unreachable(START + 1)
        self.assertIsNot(self.home, self.choose().fetch_from)

    def test_a_prompt_of_one_part_has_a_home_too(self):
        wanted = prompt(("chat", 900))
        choice = self.chooser().choose(self.states, (), wanted, START + 1)
        self.assertIs(home_of(wanted, self.states), choice.state)


class SharedPrefixesTest(TestCase):
    """Prompts with the same first part, followed by one of many long parts.

    All targets hold the first part, and routers that know different loads receive a
    new long part at the same time.
    """

    ROUTERS = 20

    def setUp(self):
        super().setUp()
        self.states = [
            TargetState(target(f"m{number}"), START) for number in range(TARGETS)
        ]
        self.parts = PrefixCacheIndex()
        for state in self.states:
            self.parts.record_use(PartUse("terms", state.incarnation, 500, START))

    def chosen_names(self, wanted):
        """Return the targets that routers choose that know different loads."""
        names = set()
        for number in range(self.ROUTERS):
            chooser = TargetChooser(ChoiceSettings(), self.parts, random.Random(number))
            busy = self.states[number % TARGETS]
            busy.set_peer_requests("other", 1, START + 1)
            names.add(chooser.choose(self.states, (), wanted, START).state.target.name)
            busy.set_peer_requests("other", 0, START + 1)
        return names

    def test_all_routers_send_a_new_remainder_to_one_target(self):
        home = home_of(WANTED, self.states)
        self.assertEqual({home.target.name}, self.chosen_names(WANTED))

    def test_a_prompt_that_is_held_completely_goes_to_its_holder(self):
        home = home_of(WANTED, self.states)
        holder = next(state for state in self.states if state is not home)
        self.parts.record_use(PartUse("tariffs", holder.incarnation, 10_000, START))
        self.assertEqual({holder.target.name}, self.chosen_names(WANTED))
