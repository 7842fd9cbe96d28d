"""Backlog and pace change the choice of a target, within all other rules."""

from __future__ import annotations

import random
from collections import Counter

from testtools import TestCase

from entry.fakes import START
from entry.fakes import head
from entry.fakes import make_incarnation
from entry.fakes import prompt
from entry.fakes import target
from primrosescale.request.answer.target_speeds import TargetSpeeds
from primrosescale.request.capacity.cold_targets import ColdSettings
from primrosescale.request.capacity.cold_targets import ColdTargets
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.capacity.router_shares import RouterShares
from primrosescale.request.choice.prefill_cost import PrefillCost
from primrosescale.request.choice.prefix_cache_index import PartUse
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.target.target_availability import TargetAvailability
from primrosescale.request.target.target_state import LoadReport
from primrosescale.request.target.target_state import TargetState
from primrosescale.request.target.target_work import TargetWork
from primrosescale.version.routing_table import Service

PROMPT = prompt(("tariffs", 10_000), ("chat", 900))
LATER = START + 0.3


class CountingCost(PrefillCost):
    """Counts how often all targets are ranked."""

    def __init__(self, work, domain, speeds=None):
        super().__init__(work, domain, speeds)
        self.rankings = 0

    def preferences(self, *args):
        self.rankings += 1
        return super().preferences(*args)


class Router:
    """A chooser and its targets, two in each of three failure domains."""

    def __init__(
        self,
        mode=OverloadMode.ON,
        pace=1.0,
        seed=3,
        *,
        domain="b",
        has_cost=True,
        availability=None,
        speeds=None,
    ):
        self.scope = OverloadScope(OverloadSettings(mode=mode))
        self.scope.record("model", LoadReport(0, 0, 8, pace))
        self.work = TargetWork(self.scope)
        self.cost = CountingCost(self.work, domain, speeds) if has_cost else None
        self.parts = PrefixCacheIndex()
        self.age = 0.0
        self.relies_on_homes = False
        self.chooser = TargetChooser(
            ChoiceSettings(),
            self.parts,
            random.Random(seed),
            lambda: self.age,
            lambda: self.relies_on_homes,
            availability,
            prefill_cost=self.cost,
        )
        self.states = [
            TargetState(target(f"m{n}", domain="abc"[n % 3]), START)
            for n in range(1, 7)
        ]

    def state(self, name):
        return next(s for s in self.states if s.target.name == name)

    def choose(self, wanted, now=START):
        return self.chooser.choose(self.states, (), wanted, now)

    def name(self, wanted, now=START):
        return self.choose(wanted, now).state.target.name

    def report(self, name, pace, now=START):
        report = LoadReport(0, 0, 8, pace)
        self.scope.record("model", report)
        self.work.reported(self.state(name), report, now)

    def add_backlog(self, name, tokens, now=START):
        self.work.prefill_of(self.state(name), tokens).sent(now)


def random_choices(router, seed):
    """Return what a router chooses for a sequence of random requests and events."""
    rng = random.Random(seed)
    chosen = []
    now = START
    for number in range(300):
        now += rng.expovariate(50)
        router.age = rng.choice((0.0, 0.3, 0.9))
        router.relies_on_homes = rng.random() < 0.3
        text = f"text{rng.randrange(5)}"
        wanted = prompt((text, 5000), (f"own{number}", 300))
        choice = router.choose(rng.choice((None, wanted)), now)
        state = choice.state
        chosen.append((state.target.name, choice.held, choice.load, choice.prefill))
        chosen.append(choice.fetch_from and choice.fetch_from.target.name)
        state.sent(now)
        router.parts.record_own_request(state.incarnation, wanted.parts, now)
        prefill = router.work.prefill_of(state, choice.prefill)
        if prefill is not None:
            prefill.sent(now)
        router.work.peer_started(rng.choice(router.states), 4000, now, now)
        if rng.random() < 0.8:
            ending = rng.choice(router.states)
            ending.ended()
            report = LoadReport(rng.randrange(9), 0, 8)
            ending.set_load(report, now)
            router.work.reported(ending, report, now)
        if rng.random() < 0.1:
            rng.choice(router.states).failed(now)
    return chosen


class NotInForceTest(TestCase):
    # Guards against any change of choices, or of the random draws that they take,
    # where overload control is not in force.
    def test_choices_are_as_without_the_cost(self):
        for seed in range(5):
            without = random_choices(Router(seed=seed, has_cost=False), seed)
            off = random_choices(Router(OverloadMode.OFF, seed=seed), seed)
            # Tokens to prefill are not determined either.
            self.assertEqual(without, off)
            self.assertEqual({0.0}, {item[3] for item in off[::2]})

    # Guards against targets that are taken for slow ones since they report no pace.
    def test_without_a_pace_choices_are_as_at_the_usual_pace(self):
        for seed in range(5):
            usual = random_choices(Router(pace=1.0, seed=seed), seed)
            no_pace = random_choices(Router(pace=None, seed=seed), seed)
            self.assertEqual(usual, no_pace)

    # Guards against backlog and pace from before the mode was changed.
    def test_turned_off_neither_backlog_nor_pace_counts(self):
        router = Router()
        home = router.name(PROMPT)
        router.add_backlog(home, 50_000)
        router.report(home, 2.5)
        self.assertNotEqual(home, router.name(PROMPT))
        router.scope.configure(OverloadSettings(mode=OverloadMode.OFF))
        self.assertEqual(home, router.name(PROMPT))
        self.assertEqual(1.0, router.work.pace_of(router.state(home), START))


class SlowTargetTest(TestCase):
    # Targets that differ in speed got as many requests each, or the slow ones none.
    def test_a_slow_target_gets_requests_once_others_have_more_to_do(self):
        speeds = TargetSpeeds()
        router = Router(pace=None, speeds=speeds)
        slow = router.state("m1")
        for _ in range(40):
            speeds.record(slow.incarnation, 4.0, START)
        chosen = []
        for _ in range(40):
            state = router.choose(None).state
            state.sent(START)
            chosen.append(state.target.name)
        counts = Counter(chosen)
        self.assertNotIn("m1", chosen[:15])
        self.assertTrue(1 <= counts["m1"] <= 3, counts)


class PromptCostTest(TestCase):
    def setUp(self):
        super().setUp()
        self.router = Router()
        self.home = self.router.name(PROMPT)

    # Guards against prompts that wait behind others while other targets are idle.
    def test_a_backlog_moves_a_prompt(self):
        self.router.add_backlog(self.home, 20_000)
        self.assertNotEqual(self.home, self.router.name(PROMPT))

    # Guards against prompts that are prefilled anew for a small backlog.
    def test_a_small_backlog_does_not_move_a_prompt(self):
        self.router.add_backlog(self.home, 1000)
        self.assertEqual(self.home, self.router.name(PROMPT))

    # Guards against a pace that is not multiplied with the prefill.
    def test_a_slow_host_moves_a_prompt(self):
        for name in ("m1", "m2", "m3", "m4", "m5", "m6"):
            self.router.report(name, 1.0)
        self.router.report(self.home, 2.5)
        self.assertNotEqual(self.home, self.router.name(PROMPT))
        self.assertEqual(self.home, self.router.name(PROMPT, START + 1))

    # Guards against all prompts that leave their homes going to the same target.
    def test_prompts_that_leave_their_home_are_spread(self):
        chosen = set()
        for number in range(40):
            router = Router()
            wanted = prompt((f"text{number}", 5000), ("own", 100))
            router.add_backlog(router.name(wanted), 50_000)
            chosen.add(router.name(wanted))
        self.assertEqual(6, len(chosen))

    # Guards against routers that choose different targets for one text, so that each
    # has it prefilled.
    def test_routers_agree_on_where_a_prompt_goes_instead(self):
        chosen = set()
        for seed in range(8):
            router = Router(seed=seed)
            router.add_backlog(self.home, 50_000)
            chosen.add(router.name(PROMPT))
        self.assertEqual(1, len(chosen))

    # Guards against a hash for each target where the order by hash has no effect.
    def test_targets_are_not_ranked_for_a_prompt_that_goes_to_a_holder(self):
        use = PartUse("tariffs", make_incarnation(self.home), 10_000, START)
        self.router.parts.record_use(use)
        self.router.cost.rankings = 0
        self.assertEqual(self.home, self.router.name(PROMPT))
        self.assertEqual(0, self.router.cost.rankings)
        self.router.add_backlog(self.home, 50_000)
        self.assertNotEqual(self.home, self.router.name(PROMPT))
        self.assertEqual(1, self.router.cost.rankings)

    # Guards against copied tokens that count in full.
    def test_tokens_of_a_copied_prompt_are_counted_by_a_tenth(self):
        use = PartUse("tariffs", make_incarnation(self.home), 10_000, START)
        self.router.parts.record_use(use)
        self.assertEqual(900, self.router.choose(PROMPT).prefill)
        self.router.add_backlog(self.home, 50_000)
        choice = self.router.choose(PROMPT)
        self.assertEqual(self.home, choice.fetch_from.target.name)
        self.assertEqual(900 + 1000, choice.prefill)

    # Guards against a cost that overrules evacuations and requested pauses.
    def test_a_target_that_gets_no_requests_is_not_chosen_for_its_short_backlog(self):
        for state in self.router.states[2:]:
            self.router.add_backlog(state.target.name, 90_000)
        self.router.states[0].evacuate(START)
        self.router.states[1].answered(head(503, is_not_run=True, rest=2.0), START)
        for number in range(20):
            wanted = prompt((f"text{number}", 5000), ("own", 100))
            self.assertNotIn(self.router.name(wanted), ("m1", "m2"))

    # Guards against a cost that overrules the limit on requests to cold targets.
    def test_a_cold_target_without_permits_is_not_chosen_for_its_short_backlog(self):
        service = Service(
            name="model", slots=8, cache_tokens=0, cold_rate=1.0, cold_seconds=5.0
        )
        shares = RouterShares("r0")
        shares.set_routers(frozenset({"r0"}), START, was_listed=True)
        cold = ColdTargets(ColdSettings(), shares, lambda _: service)
        availability = TargetAvailability(cold)
        router = Router(availability=availability)
        router.state("m1").set_cold_for(5.0, START)
        for state in router.states[1:]:
            router.add_backlog(state.target.name, 90_000)
        chosen = []
        for _ in range(20):
            state = router.choose(PROMPT).state
            chosen.append(state.target.name)
            availability.sent(state, START)
        self.assertTrue(1 <= chosen.count("m1") <= 2, chosen)

    # Guards against a cost that overrules the bound on load.
    def test_the_bound_on_load_holds_whatever_the_backlog(self):
        for state in self.router.states[1:]:
            self.router.add_backlog(state.target.name, 190_000)
        self.check_bound(PROMPT)

    def check_bound(self, wanted):
        for _ in range(200):
            self.router.choose(wanted).state.sent(START)
            loads = [state.load(START) for state in self.router.states]
            bound = 1.5 * sum(loads) / len(loads) + 2
            self.assertTrue(max(loads) <= bound, loads)

    # Guards against a preference that overloads the own failure domain.
    def test_the_bound_on_load_holds_for_plain_requests(self):
        for name in ("m1", "m4"):
            self.router.report(name, 0.5)
        self.check_bound(None)


class PlainCostTest(TestCase):
    # Guards against traffic between failure domains that saves nothing.
    def test_of_equal_targets_one_in_the_own_domain_is_chosen(self):
        for seed in range(30):
            self.assertIn(Router(seed=seed).name(None), ("m1", "m4"))

    # Guards against a preference that outweighs a request at the target.
    def test_a_less_loaded_target_elsewhere_is_preferred(self):
        for seed in range(30):
            router = Router(seed=seed)
            for name in ("m1", "m4"):
                router.state(name).sent(START)
            self.assertNotIn(router.name(None), ("m1", "m4"))

    # Guards against requests that wait at a slow host while another is as idle.
    def test_a_slow_host_is_avoided_for_a_part_of_a_second(self):
        router = Router()
        for name in ("m2", "m3", "m5", "m6"):
            router.report(name, 1.0)
        for name in ("m1", "m4"):
            router.report(name, 2.5)
        self.assertNotIn(router.name(None), ("m1", "m4"))
        self.assertIn(router.name(None, START + 1), ("m1", "m4"))


class ChangingPaceTest(TestCase):
    def largest_share(self, mode):
        """Return the largest share of a target in 0.35 s, in multiples of the mean.

        Twelve routers send to six targets, which change their pace every 0.35 s and
        report it with answers; loads of peers are reported every 0.25 s.
        """
        rng = random.Random(11)
        routers = [
            Router(mode, seed=seed, domain="abc"[seed % 3]) for seed in range(12)
        ]
        names = [state.target.name for state in routers[0].states]
        ending = []
        largest = 0.0
        for period in range(20):
            paces = {name: 2.5 if rng.random() < 0.3 else 1.0 for name in names}
            sent = dict.fromkeys(names, 0)
            for step in range(70):
                now = START + 0.35 * period + 0.005 * step
                if (period * 70 + step) % 50 == 0:
                    self.exchange(routers, now)
                while ending and ending[0][0] <= now:
                    _, router, state = ending.pop(0)
                    state.ended()
                    name = state.target.name
                    router.report(name, paces[name], now)
                router = rng.choice(routers)
                state = router.choose(None, now).state
                state.sent(now)
                sent[state.target.name] += 1
                ending.append((now + 0.09, router, state))
            largest = max(largest, max(sent.values()) * len(names) / 70)
        return largest

    def exchange(self, routers, now):
        for number, router in enumerate(routers):
            for other in routers:
                if other is not router:
                    for state, peer in zip(other.states, router.states, strict=True):
                        state.set_peer_requests(
                            str(number), peer.own_running, now + 1.0
                        )

    # Guards against all routers sending to the target that last reported 1.0.
    def test_no_stampede_to_the_target_that_last_reported_1(self):
        without = self.largest_share(OverloadMode.OFF)
        share = self.largest_share(OverloadMode.ON)
        self.assertTrue(share < max(2.0, 1.2 * without), (without, share))
