"""State exchange by relays that fail, stall, are cut off, restart or run older code."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from entry.fakes import prompt
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import NewsScope
from primrosescale.process.entry.relay_topology import SUSPICION_SECONDS
from primrosescale.process.entry.relay_topology import StateExchangeSettings
from primrosescale.process.entry.state_exchange import SILENT_REMOVAL_SECONDS
from primrosescale.process.entry.target_keys import target_key
from primrosescale.request.choice.target_choice import STALE_LOAD_SECONDS
from support.drawn import drawn
from support.router_fleet import Fleet

ROUTERS, TARGETS, DOMAINS = 18, 10, 3
SETTINGS = StateExchangeSettings(most_direct=6)
# A relay is considered lost after a second of silence; then another one is used.
TAKEOVER_SECONDS = 2.0
TARGET = "target-3"


class RelayedFleet(TestCase):
    """A small fleet whose routers exchange state by relays."""

    routers = ROUTERS

    def setUp(self):
        super().setUp()
        self.begin()

    def begin(self):
        self.fleet = Fleet(self.routers, TARGETS, DOMAINS, 1.0, 7, settings=SETTINGS)
        self.fleet.run(2.0)
        self.now = self.fleet.clock.seconds

    def send(self, router, target=TARGET):
        router.targets.state(target).sent(self.now())

    def seen(self, router, target=TARGET):
        return router.targets.state(target).load(self.now())

    def relays(self, domain):
        ranks = {
            router.state_exchange.relay_rank(self.now()): router
            for router in self.fleet.routers
            if router.domain == domain and router.is_up
        }
        ranks.pop(None, None)
        return [ranks[rank] for rank in sorted(ranks)]

    def members(self, domain):
        relays = self.relays(domain)
        return [
            router
            for router in self.fleet.routers
            if router.domain == domain and router.is_up and router not in relays
        ]


class RelayTest(RelayedFleet):
    def test_each_request_is_counted_once_by_every_router(self):
        for router in self.fleet.routers[::2]:
            self.send(router)
        self.fleet.run(1.0)
        for router in self.fleet.routers:
            self.assertEqual(ROUTERS / 2, self.seen(router), router.name)
            self.assertEqual(
                ROUTERS - 1, router.state_exchange.recent_peers(self.now())
            )

    def test_requests_that_ended_are_not_counted(self):
        first = self.fleet.routers[0]
        self.send(first)
        self.fleet.run(1.0)
        first.targets.state(TARGET).ended()
        self.fleet.run(1.0)
        self.assertEqual({0.0}, {self.seen(router) for router in self.fleet.routers})

    def test_all_agree_on_two_relays_a_domain(self):
        for domain in ("domain-0", "domain-1", "domain-2"):
            self.assertEqual(2, len(self.relays(domain)))

    def test_where_a_prompt_went_is_known_everywhere(self):
        wanted = prompt(("terms", 500), ("tariffs", 9000), ("chat", 10)).parts
        for router in (self.members("domain-0")[0], self.relays("domain-1")[0]):
            state = router.targets.state(TARGET)
            router.parts.record_own_request(state.incarnation, wanted, self.now())
            router.exchange.send_soon()
        self.fleet.run(1.0)
        for router in self.fleet.routers:
            incarnation = router.targets.state(TARGET).incarnation
            self.assertEqual(
                9500, router.parts.held(incarnation, wanted[:2], self.now())
            )

    def test_a_prompt_sent_to_its_home_is_not_reported(self):
        [member, *_] = self.members("domain-0")
        wanted = prompt(("tariffs", 9000), ("chat", 10)).parts
        incarnation = member.targets.state(TARGET).incarnation
        member.parts.record_own_request(
            incarnation, wanted, self.now(), is_expected=True
        )
        self.assertFalse(member.state_exchange.is_urgent)
        self.fleet.run(1.0)
        self.assertEqual(
            0, self.fleet.routers[1].parts.held(incarnation, wanted, self.now())
        )


class FaultTest(RelayedFleet):
    def assert_all_know(self, load, routers=None):
        for router in routers or self.fleet.routers:
            if router.is_up:
                self.assertEqual(load, self.seen(router), router.name)

    def test_a_lost_relay_is_replaced(self):
        lost = self.relays("domain-0")[0]
        self.fleet.lose(lost)
        self.send(self.members("domain-0")[0])
        self.fleet.run(TAKEOVER_SECONDS)
        self.assert_all_know(1.0)

    def test_two_lost_relays_of_a_domain_are_replaced(self):
        for lost in self.relays("domain-0"):
            self.fleet.lose(lost)
        left = self.members("domain-0")
        self.send(left[0])
        self.fleet.run(2 * TAKEOVER_SECONDS)
        self.assert_all_know(1.0)

    def test_a_stalled_relay_that_resumes_restores_no_stale_load(self):
        stalled = self.relays("domain-1")[0]
        gone = self.members("domain-1")[0]
        self.send(gone)
        self.fleet.run(1.0)
        self.fleet.lose(stalled)
        self.fleet.run(3.0)
        gone.targets.state(TARGET).ended()
        self.fleet.run(1.0)
        self.fleet.wake(stalled)
        self.fleet.run(SUSPICION_SECONDS + TAKEOVER_SECONDS)
        self.assert_all_know(0.0)
        self.send(gone)
        self.fleet.run(1.0)
        self.assert_all_know(1.0)

    def test_a_relay_that_receives_but_cannot_send_is_replaced(self):
        cut = self.relays("domain-2")[0]
        for router in self.fleet.routers:
            self.fleet.cuts.add((cut.name, router.name))
        self.send(self.members("domain-2")[0])
        self.fleet.run(2 * TAKEOVER_SECONDS)
        others = [router for router in self.fleet.routers if router is not cut]
        self.assert_all_know(1.0, others)

    def test_a_relay_that_restarts_under_its_name_is_used_again(self):
        again = self.relays("domain-0")[0]
        self.send(self.members("domain-0")[0])
        self.fleet.lose(again)
        self.fleet.run(0.3)
        self.fleet.restart(again, 2)
        self.fleet.run(TAKEOVER_SECONDS)
        self.assert_all_know(1.0)

    def test_two_domains_cut_off_from_each_other_know_the_rest(self):
        for one in self.fleet.routers:
            for other in self.fleet.routers:
                if {one.domain, other.domain} == {"domain-0", "domain-1"}:
                    self.fleet.cuts.add((one.name, other.name))
        for domain in ("domain-0", "domain-1", "domain-2"):
            self.send(self.members(domain)[0])
        self.fleet.run(2 * TAKEOVER_SECONDS)
        for router in self.fleet.routers:
            know = 3.0 if router.domain == "domain-2" else 2.0
            self.assertEqual(know, self.seen(router), router.name)

    def test_a_router_cut_off_from_all_relies_on_its_own_load(self):
        alone = self.members("domain-0")[0]
        for router in self.fleet.routers:
            self.fleet.cuts |= {(alone.name, router.name), (router.name, alone.name)}
        self.send(self.fleet.routers[1])
        self.send(alone)
        self.fleet.run(3.0)
        self.assertEqual(1.0, self.seen(alone))
        self.assertGreater(alone.state_exchange.age(self.now()), STALE_LOAD_SECONDS)
        self.assertEqual(0, alone.state_exchange.recent_peers(self.now()))
        self.assertTrue(alone.state_exchange.polls_store(self.now()))

    def test_loads_stay_recent_for_all_others_meanwhile(self):
        self.fleet.lose(self.relays("domain-0")[0])
        self.fleet.run(TAKEOVER_SECONDS)
        ages = [r.state_exchange.age(self.now()) for r in self.fleet.routers if r.is_up]
        # Two intervals more, while the last update of the lost relay is still valid.
        self.assertLess(max(ages), SETTINGS.keep + 4 * SETTINGS.interval)
        self.fleet.run(SETTINGS.keep)
        ages = [r.state_exchange.age(self.now()) for r in self.fleet.routers if r.is_up]
        self.assertLess(max(ages), 0.5)

    def test_a_new_relay_considers_no_router_gone(self):
        self.fleet.run(SILENT_REMOVAL_SECONDS)
        for lost in self.relays("domain-0"):
            self.fleet.lose(lost)
        self.fleet.run(2 * TAKEOVER_SECONDS)
        for router in self.members("domain-0"):
            self.assertEqual([], router.state_exchange.silent_routers(self.now()))

    def test_a_router_that_is_gone_is_noticed_by_its_domain_s_first_relay(self):
        [gone, *_] = self.members("domain-0")
        self.fleet.lose(gone)
        self.fleet.run(SILENT_REMOVAL_SECONDS + 1)
        first, second = self.relays("domain-0")
        self.assertEqual([gone.name], first.state_exchange.silent_routers(self.now()))
        self.assertEqual([], second.state_exchange.silent_routers(self.now()))

    def test_a_round_that_fails_is_not_the_last(self):
        [member, *_] = self.members("domain-0")
        compose, failed = member.state_exchange.compose, []

        def fail_once(*arguments, **fields):
            if not failed:
                failed.append(True)
                raise ZeroDivisionError
            return compose(*arguments, **fields)

        member.state_exchange.compose = fail_once
        self.assertRaises(ZeroDivisionError, self.fleet.run, 1.0)
        self.send(member)
        self.fleet.run(1.0)
        self.assert_all_know(1.0)


class ReleasesTest(RelayedFleet):
    """Routers of the release before relays send to all others, and receive no sums."""

    def former(self, number):
        """Return a message as sent by a router of the former release."""
        router = self.fleet.routers[number]
        return wire.RouterNews(
            router.name,
            1,
            1000,
            0,
            1,
            -1,
            [],
            [],
            store_lost=False,
            targets_revision=0,
        )

    def test_a_report_of_the_former_release_counts_in_its_domain_alone(self):
        self.send(self.fleet.routers[0])
        message = self.former(0)
        incarnation = self.fleet.routers[0].targets.state(TARGET).incarnation
        message.targets = [wire.TargetNews(target_key(*incarnation), 1)]
        self.fleet.lose(self.fleet.routers[0])
        self.fleet.run(SETTINGS.keep + 1)
        for _ in range(20):
            message.sequence += 1
            for other in self.fleet.routers[1:]:
                other.state_exchange.receive(decode(encode(message)), 1, self.now())
            self.fleet.run(0.15)
        for router in self.fleet.routers[1:]:
            self.assertEqual(1.0, self.seen(router), router.name)

    def test_no_sum_looks_like_a_router_s_own_load_to_the_former_release(self):
        relay = self.relays("domain-0")[0]
        self.send(self.members("domain-0")[0])
        self.fleet.run(1.0)
        for _, message in relay.state_exchange.compose(1, self.now()):
            if message.scope != NewsScope.ROUTER and message.running is not None:
                self.assertEqual([], [i for i in message.targets if i.running])


class FreshnessTest(RelayedFleet):
    """The age of a configuration confirmed by the store is kept when it is relayed."""

    routers = 12

    @drawn(15)
    @given(
        st.lists(
            st.tuples(st.integers(0, 11), st.floats(0.05, 1.5), st.booleans()),
            min_size=1,
            max_size=8,
        )
    )
    def test_no_answer_counts_as_more_recent_than_its_request(self, asked):
        self.begin()
        newest = -math.inf
        for number, pause, is_slow in asked:
            router = self.fleet.routers[number]
            requested_at = self.now() - (0.4 if is_slow else 0.0)
            router.freshness.answered(requested_at)
            newest = max(newest, requested_at)
            self.fleet.run(pause)
            for other in self.fleet.routers:
                age = other.freshness.age(self.now())
                if age is not None:
                    self.assertTrue(self.now() - age <= newest + 1e-3)

    def test_one_answer_reaches_all_within_a_second(self):
        self.fleet.routers[5].freshness.answered(self.now())
        self.fleet.run(1.0)
        for router in self.fleet.routers:
            self.assertLess(router.freshness.age(self.now()), 2.0)
