"""Tests the bound on what all routers together send to a cold target in any second.

Targets that start, or return after an evacuation, have empty caches and no load, so
that every router prefers them. The bound holds for all routers together, without
messages between them, while routers start, leave, restart, and use lists that differ.
"""

from __future__ import annotations

import random
from collections import defaultdict

from testtools import TestCase

from entry.fakes import LOOKUP
from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import ForwardingHarness
from entry.fakes import head
from entry.fakes import learn
from entry.fakes import request
from entry.fakes import target
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.capacity.cold_targets import WINDOW_SECONDS
from primrosescale.request.capacity.cold_targets import ColdSettings
from primrosescale.request.capacity.cold_targets import ColdTargets
from primrosescale.request.capacity.router_shares import SETTLING_SECONDS
from primrosescale.request.capacity.router_shares import RouterShares
from primrosescale.request.capacity.wait_forecast import RETRY_JITTER
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.target.target_availability import TargetAvailability
from primrosescale.request.target.target_state import TargetState
from primrosescale.version.routing_table import Service

RATE = 10.0
BOUND = ColdSettings(over=1.5, slack=5.0)
MAX_PER_SECOND = 20
COLD_SECONDS = 3.0
MODEL = Service(
    name="model",
    slots=64,
    cache_tokens=329_020,
    cold_rate=RATE,
    cold_seconds=COLD_SECONDS,
)
PORTAL = Service(name="portal", slots=6, cache_tokens=0)
SERVICES = {"model": MODEL, "portal": PORTAL}
FLEETS = (1, 4, 30, 68, 300)


def names(count, first=0):
    return frozenset(f"r{number}" for number in range(first, first + count))


class Router:
    """The cold-target limits of one router."""

    def __init__(self, name, listed, now, *, was_listed=True):
        self.name = name
        self.shares = RouterShares(name)
        self.cold = ColdTargets(BOUND, self.shares, SERVICES.get)
        self.shares.set_routers(listed, now, was_listed=was_listed)


class ColdFleet:
    """Routers that send to cold targets as much as they are allowed to."""

    def __init__(self, count, seed=1):
        targets = 3 if count <= 30 else 1
        self.step = 0.02 if count <= 30 else 0.15
        self.rng = random.Random(seed)
        self.now = START
        self.listed = names(count)
        self.routers = {
            name: Router(name, self.listed, self.now) for name in sorted(self.listed)
        }
        self.states = [
            TargetState(target(f"m{n}", warm_up_seconds=600.0), START)
            for n in range(targets)
        ]
        self.arrivals = defaultdict(list)

    def send_all_allowed(self, seconds):
        """Have all routers send to all targets continuously, in random order."""
        until = self.now + seconds
        while self.now < until:
            routers = list(self.routers.values())
            self.rng.shuffle(routers)
            for router in routers:
                for state in self.states:
                    if not router.cold.wait(state, self.now):
                        router.cold.sent(state, self.now)
                        self.arrivals[state.target.name].append(self.now)
            self.now += self.step

    def restart(self, name, *, was_listed=True):
        self.routers[name] = Router(name, self.listed, self.now, was_listed=was_listed)

    def update_router_lists(self, listed, *receivers):
        for name in receivers:
            self.routers[name].shares.set_routers(listed, self.now)

    def max_per_second(self):
        """Return the maximum number of requests that one target got in any second."""
        max_per_second = 0
        for times in self.arrivals.values():
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - 1.0:
                    first += 1
                max_per_second = max(max_per_second, last - first + 1)
        return max_per_second

    def rate(self):
        total = sum(len(times) for times in self.arrivals.values())
        return total / len(self.states) / (self.now - START)


class ColdFleetTest(TestCase):
    def test_all_routers_together_keep_the_rate(self):
        for count in FLEETS:
            fleet = ColdFleet(count)
            fleet.send_all_allowed(4.0)
            self.assertTrue(
                fleet.max_per_second() <= MAX_PER_SECOND,
                (count, fleet.max_per_second()),
            )
            # The bound leaves a cold target most of its rate.
            self.assertTrue(fleet.rate() >= 0.85 * RATE, (count, fleet.rate()))

    def test_two_halves_with_disjoint_lists_keep_the_rate(self):
        for count in FLEETS[1:]:
            fleet = ColdFleet(count)
            halves = names(count // 2), names(count - count // 2, count // 2)
            fleet.now += 60.0
            for half in halves:
                fleet.update_router_lists(half, *half)
            fleet.now += SETTLING_SECONDS
            fleet.send_all_allowed(3.0)
            self.assertTrue(
                fleet.max_per_second() <= MAX_PER_SECOND,
                (count, fleet.max_per_second()),
            )

    def test_routers_that_learn_late_of_others_that_start(self):
        for count in FLEETS[1:]:
            fleet = ColdFleet(count)
            all_names = fleet.listed | names(count // 2, 1000)
            fleet.listed = all_names
            for name in sorted(all_names - set(fleet.routers)):
                fleet.restart(name, was_listed=False)
            receivers = sorted(fleet.routers)
            for part in range(8):
                fleet.send_all_allowed(0.3)
                fleet.update_router_lists(all_names, *receivers[part::8])
            fleet.send_all_allowed(SETTLING_SECONDS + 1.0)
            self.assertTrue(
                fleet.max_per_second() <= MAX_PER_SECOND,
                (count, fleet.max_per_second()),
            )

    def test_routers_that_learn_late_of_others_that_leave(self):
        for count in FLEETS[1:]:
            fleet = ColdFleet(count)
            left = names(count - count // 4)
            for name in sorted(left):
                if fleet.rng.random() < 0.5:
                    fleet.update_router_lists(left, name)
            fleet.send_all_allowed(SETTLING_SECONDS - 0.5)
            fleet.update_router_lists(left, *left)
            for name in set(fleet.routers) - left:
                del fleet.routers[name]
            fleet.send_all_allowed(SETTLING_SECONDS + 2.0)
            self.assertTrue(
                fleet.max_per_second() <= MAX_PER_SECOND,
                (count, fleet.max_per_second()),
            )

    def test_a_quarter_of_the_routers_restarts_once_a_second(self):
        for count in FLEETS[1:]:
            fleet = ColdFleet(count)
            for _ in range(4):
                fleet.send_all_allowed(1.0)
                for name in fleet.rng.sample(sorted(fleet.routers), count // 4):
                    fleet.restart(name)
            self.assertTrue(
                fleet.max_per_second() <= MAX_PER_SECOND,
                (count, fleet.max_per_second()),
            )

    def test_all_routers_restart_at_once(self):
        fleet = ColdFleet(30)
        fleet.send_all_allowed(1.0)
        for name in sorted(fleet.routers):
            fleet.restart(name)
        fleet.now += 1.0
        fleet.send_all_allowed(2.0)
        self.assertTrue(
            fleet.max_per_second() <= MAX_PER_SECOND, fleet.max_per_second()
        )
        self.assertTrue(fleet.rate() >= 0.6 * RATE, fleet.rate())


class RouterSharesTest(TestCase):
    def test_each_permit_has_one_owner(self):
        for count in FLEETS:
            listed = names(count)
            shares = [RouterShares(name) for name in sorted(listed)]
            for share in shares:
                share.set_routers(listed, START, was_listed=True)
            for key in ("m1", "m2", "m3"):
                owned = [share.own_permits(key, 10, START) for share in shares]
                self.assertEqual(10, sum(owned))

    def test_a_gained_permit_is_used_only_once_others_know(self):
        share = RouterShares("r0")
        share.set_routers(names(2), START, was_listed=True)
        before = share.own_permits("m1", 10, START)
        share.set_routers(names(1), START + 9)
        self.assertEqual(before, share.own_permits("m1", 10, START + 9))
        settled = START + 9 + SETTLING_SECONDS
        self.assertEqual(10, share.own_permits("m1", 10, settled))

    def test_a_lost_permit_is_given_up_at_once(self):
        share = RouterShares("r0")
        share.set_routers(names(1), START, was_listed=True)
        share.set_routers(names(8), START + 9)
        self.assertLess(share.own_permits("m1", 10, START + 9), 6)

    def test_a_list_that_goes_back_and_forth_adds_nothing(self):
        share = RouterShares("r0")
        share.set_routers(names(8), START, was_listed=True)
        least = share.own_permits("m1", 10, START)
        for step in range(20):
            now = START + step * 0.5
            share.set_routers(names(1 if step % 2 else 8), now)
            self.assertLessEqual(share.own_permits("m1", 10, now), least)

    def test_a_new_router_has_nothing_before_the_others_know_it(self):
        share = RouterShares("r0")
        self.assertEqual(0, share.own_permits("m1", 10, START))
        share.set_routers(names(1), START)
        self.assertEqual(0, share.own_permits("m1", 10, START))
        settled = START + SETTLING_SECONDS
        self.assertEqual(10, share.own_permits("m1", 10, settled))


class ColdSettingsTest(TestCase):
    def permits(self, rate, over, slack):
        service = Service(name="s", slots=1, cache_tokens=0, cold_rate=rate)
        return ColdSettings(over, slack).permits(service)

    def test_half_of_the_bound_and_no_more_than_the_rate(self):
        self.assertEqual(10, self.permits(10, 1.5, 5))
        self.assertEqual(7, self.permits(10, 1.5, 0))
        self.assertEqual(10, self.permits(10, 9, 9))

    def test_one_where_the_bound_allows_one(self):
        self.assertEqual(1, self.permits(0.5, 1.5, 0.5))
        self.assertEqual(0, self.permits(0.5, 1.5, 0.0))


def listed(entry):
    """Return a list of targets with one entry."""
    targets = TargetList(drain=2.0)
    targets.put(entry, START)
    return targets


class ColdKnowledgeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.router = Router("r0", names(30), START)

    def is_cold(self, state, now):
        return self.router.cold.is_cold(state, now)

    def test_cold_for_as_long_as_its_entry_says(self):
        state = TargetState(target("m1", warm_up_seconds=2.0), START)
        self.assertTrue(self.is_cold(state, START + 1.9))
        self.assertFalse(self.is_cold(state, START + 2.0))

    def test_cold_again_at_any_time(self):
        state = TargetState(target("m1"), START)
        self.assertFalse(self.is_cold(state, START))
        state.set_cold_for(1.5, START + 50)
        self.assertTrue(self.is_cold(state, START + 51))

    def test_cold_after_its_domain_was_evacuated_before_any_entry_says_so(self):
        state = TargetState(target("m1"), START)
        state.evacuate(START + 1)
        state.end_evacuation(START + 9)
        self.assertTrue(self.is_cold(state, START + 9 + COLD_SECONDS - 0.1))
        self.assertFalse(self.is_cold(state, START + 9 + COLD_SECONDS))

    def test_cold_after_it_could_not_be_reached(self):
        state = TargetState(target("m1"), START)
        state.unreachable(START)
        state.bytes_received(START + 0.6)
        self.assertTrue(self.is_cold(state, START + 2.0))
        self.assertFalse(self.is_cold(state, START + 9.0))

    def test_an_entry_that_comes_late_does_not_make_it_warm(self):
        state = TargetState(target("m1"), START)
        state.evacuate(START)
        state.end_evacuation(START + 9)
        state.set_cold_for(0.0, START + 9.5)
        self.assertTrue(self.is_cold(state, START + 10))

    # Guards against overloading a cold target once its entry is rewritten for another
    # reason, or arrives late.
    def test_an_entry_that_is_written_again_does_not_revoke_an_answer(self):
        targets = listed(target("m1"))
        targets.state("m1").answered(head(cold_for=5.0), START)
        targets.put(target("m1", slots=9), START + 1)
        self.assertTrue(self.is_cold(targets.state("m1"), START + 4.9))
        self.assertFalse(self.is_cold(targets.state("m1"), START + 5.0))

    # Guards against the same while the store is unavailable and returns.
    def test_an_entry_that_lapses_and_returns_does_not_revoke_an_answer(self):
        targets = listed(target("m1"))
        targets.state("m1").answered(head(cold_for=9.0), START)
        targets.remove("m1", START)
        targets.forget_expired(START + 5)
        self.assertIsNone(targets.state("m1"))
        targets.put(target("m1"), START + 6)
        self.assertTrue(self.is_cold(targets.state("m1"), START + 8.9))
        self.assertFalse(self.is_cold(targets.state("m1"), START + 9.0))

    # Guards against a full share of permits for a target whose entry is written again
    # just after it was forgotten, in addition to the requests sent before that.
    def test_what_was_sent_before_a_target_was_forgotten_counts(self):
        cold = Router("r0", names(1), START).cold
        targets = listed(target("m1"))
        targets.remove("m1", START)
        for sent in range(10):
            cold.sent(targets.state("m1"), START + 1.0 + sent * 0.05)
        forgotten_at = START + 1.61
        self.assertEqual(1, len(targets.forget_expired(forgotten_at)))
        cold.sweep(forgotten_at)
        targets.put(target("m1", warm_up_seconds=3.0), forgotten_at)
        state = targets.state("m1")
        self.assertAlmostEqual(
            1.0 + WINDOW_SECONDS - 1.61, cold.wait(state, forgotten_at), places=6
        )
        self.assertEqual(0, cold.wait(state, START + 1.0 + WINDOW_SECONDS))

    # Guards against counts that stay in memory for targets that are gone.
    def test_counts_that_are_older_than_the_window_are_dropped(self):
        cold = Router("r0", names(1), START).cold
        cold.sent(TargetState(target("m1"), START), START)
        cold.sweep(START + WINDOW_SECONDS - 0.01)
        self.assertEqual(1, len(cold._sent))
        cold.sweep(START + WINDOW_SECONDS)
        self.assertEqual({}, cold._sent)

    def test_a_later_answer_counts(self):
        state = TargetState(target("m1"), START)
        state.answered(head(cold_for=5.0), START)
        state.answered(head(cold_for=0.0), START + 1)
        self.assertFalse(self.is_cold(state, START + 1))

    def test_targets_of_a_service_without_a_cold_rate_are_never_cold(self):
        state = TargetState(target("p1", "portal", warm_up_seconds=9.0), START)
        self.assertFalse(self.is_cold(state, START))
        self.assertEqual(0, self.router.cold.wait(state, START))
        self.assertEqual([state], self.router.cold.select_available([state], START))

    def test_what_was_sent_while_it_was_warm_counts(self):
        router = Router("r0", names(1), START)
        state = TargetState(target("m1"), START)
        for _ in range(12):
            router.cold.sent(state, START + 1.0)
        state.set_cold_for(3.0, START + 1.1)
        self.assertNotEqual(0, router.cold.wait(state, START + 1.2))
        self.assertEqual([], router.cold.select_available([state], START + 1.2))
        self.assertEqual(0, router.cold.wait(state, START + 1.0 + WINDOW_SECONDS))


class ColdCallTest(TestCase):
    """Requests of each kind while some or all of their targets are cold."""

    def setUp(self):
        super().setUp()
        self.harness = ForwardingHarness([target(f"m{n}", slots=64) for n in (1, 2)])
        self.count_for("r0", 1)

    def count_for(self, name, routers):
        router = Router(name, names(routers), START)
        tools = self.harness.tools
        self.cold = router.cold
        tools.availability = TargetAvailability(router.cold)
        tools.chooser = TargetChooser(
            ChoiceSettings(),
            self.harness.parts,
            tools.rng,
            availability=tools.availability,
        )

    def make_cold(self, *targets, seconds=COLD_SECONDS):
        for name in targets:
            self.harness.state(name).set_cold_for(seconds, self.harness.clock.seconds())

    def count_sent_to(self, name):
        return sum(run.name == name for run in self.harness.caller.runs)

    def test_work_over_its_rate_goes_to_a_warm_one(self):
        self.make_cold("m1")
        for _ in range(60):
            self.harness.call(request(STREAM))
        self.assertLessEqual(self.count_sent_to("m1"), RATE)
        self.assertGreaterEqual(self.count_sent_to("m2"), 50)

    def test_repeats_and_resumed_streams_count(self):
        self.make_cold("m1", "m2")
        for _ in range(40):
            self.harness.call(request(STREAM))
            self.harness.caller.last.observer.response_lost("reset")
        for name in ("m1", "m2"):
            self.assertLessEqual(self.count_sent_to(name), RATE)

    def test_a_silent_target_is_helped_by_no_cold_one_over_its_rate(self):
        self.make_cold("m2", seconds=30)
        for _ in range(30):
            self.harness.call(request(STREAM))
        self.harness.pass_time(1.0)
        self.assertLessEqual(self.count_sent_to("m2"), 2 * RATE)

    def test_a_request_that_can_wait_waits_for_a_permit(self):
        self.make_cold("m1", "m2", seconds=30)
        sinks = [self.harness.call(request(STREAM))[1] for _ in range(20)]
        self.harness.pass_time(0.9)
        _, late = self.harness.call(request(STREAM, now=self.harness.clock.seconds()))
        self.assertIsNone(late.refusal)
        self.harness.pass_time(0.3)
        self.assertEqual(21, len(self.harness.caller.runs))
        self.assertTrue(all(sink.refusal is None for sink in sinks))

    def test_what_cannot_be_served_in_time_is_refused_at_once_with_the_time(self):
        self.make_cold("m1", "m2", seconds=30)
        for _ in range(20):
            self.harness.call(request(STREAM))
        self.harness.pass_time(0.2)
        now = self.harness.clock.seconds()
        _, sink = self.harness.call(request(STREAM, now=now, deadline=now + 0.8))
        self.assertIs(Refusal.TARGETS_COLD, sink.refusal)
        self.assert_told_from(WINDOW_SECONDS - 0.2, sink)
        self.assertEqual(20, len(self.harness.caller.runs))

    def test_a_router_without_a_permit_says_when_targets_are_warm(self):
        self.count_for("stranger", 3)
        self.make_cold("m1", "m2", seconds=2.0)
        _, sink = self.harness.call(request(STREAM))
        self.assertIs(Refusal.TARGETS_COLD, sink.refusal)
        self.assert_told_from(2.0, sink)

    def assert_told_from(self, earliest, sink):
        """Assert that a caller is to return from a time on, and soon after it."""
        first, last = (earliest * jitter for jitter in RETRY_JITTER)
        self.assertTrue(first - 0.005 <= sink.retry_after <= last, sink.retry_after)

    # All returned to the same permit at once, and all but one were refused again.
    def test_refused_callers_do_not_return_at_the_same_moment(self):
        self.count_for("stranger", 3)
        self.make_cold("m1", "m2", seconds=2.0)
        sinks = [self.harness.call(request(STREAM))[1] for _ in range(20)]
        self.assertEqual(20, len({sink.retry_after for sink in sinks}))

    def test_a_caller_that_leaves_while_it_waits_is_forgotten(self):
        self.make_cold("m1", "m2", seconds=0.2)
        self.count_for("stranger", 3)
        call, _ = self.harness.call(request(STREAM))
        call.caller_gone()
        self.harness.pass_time(0.5)
        self.assertEqual([], self.harness.caller.runs)
        self.assertEqual(["caller_gone"], self.harness.ended)

    def test_a_target_reports_itself_as_cold(self):
        self.harness.call(request(STREAM))
        run = self.harness.caller.last
        run.observer.response_head(head(cold_for=2.0))
        now = self.harness.clock.seconds()
        self.assertTrue(self.cold.is_cold(self.harness.state(run.name), now))

    # Requests were refused after half of the objective, with seconds of time left.
    def test_a_request_waits_if_it_can_still_be_answered_in_time(self):
        self.count_for("stranger", 3)
        learn(self.harness, STREAM, 0.2)
        self.make_cold("m1", "m2", seconds=1.0)
        for left, waits in ((1.5, True), (1.3, False)):
            _, sink = self.harness.call(request(STREAM, deadline=START + left))
            self.assertEqual(waits, sink.refusal is None, left)
        self.harness.pass_time(1.05)
        self.assertEqual(1, len(self.harness.caller.runs))

    # Requests that waited for the same permit were held, and then refused all the same.
    def test_a_request_does_not_wait_for_the_permit_of_another(self):
        self.make_cold("m1", "m2", seconds=30)
        for _ in range(20):
            self.harness.call(request(STREAM))
        sinks = [
            self.harness.call(request(STREAM, deadline=START + 1.6))[1]
            for _ in range(30)
        ]
        refused = [sink for sink in sinks if sink.refusal is not None]
        self.assertEqual(10, len(refused))
        self.assertTrue(all(s.refusal is Refusal.TARGETS_COLD for s in refused))
        self.assertTrue(all(s.retry_after > WINDOW_SECONDS for s in refused))
        self.harness.pass_time(1.1)
        self.assertEqual(40, len(self.harness.caller.runs))
        self.assertTrue(all(s.refusal is None for s in sinks if s not in refused))

    # A permit stayed reserved for a caller that had left.
    def test_a_caller_that_leaves_gives_its_permit_back(self):
        self.make_cold("m1", "m2", seconds=30)
        for _ in range(20):
            self.harness.call(request(STREAM))
        calls = [self.harness.call(request(STREAM))[0] for _ in range(20)]
        for call in calls:
            call.caller_gone()
        _, sink = self.harness.call(request(STREAM))
        self.assertIsNone(sink.refusal)
        self.harness.pass_time(1.1)
        self.assertEqual(21, len(self.harness.caller.runs))

    def test_plain_services_are_not_touched(self):
        self.harness.states = [TargetState(target("p1", "portal"), START)]
        self.make_cold("p1")
        for _ in range(50):
            _, sink = self.harness.call(request(LOOKUP))
            self.assertIsNone(sink.refusal)
