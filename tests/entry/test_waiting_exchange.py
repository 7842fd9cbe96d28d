"""Exchange of the numbers of waiting requests, directly and through relays."""

from __future__ import annotations

import math

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from entry.fakes import START
from entry.fakes import prompt
from entry.fakes import target
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire.ttypes import NewsScope
from primrosescale.process.entry.load_codec import MAX_COUNTED_ROUTERS
from primrosescale.process.entry.load_codec import MAX_WAITING_PER_ROUTER
from primrosescale.process.entry.load_codec import MAX_WAITING_SERVICES
from primrosescale.process.entry.load_codec import LoadCodec
from primrosescale.process.entry.load_sum import LoadSum
from primrosescale.process.entry.load_sum import total_load
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.relay_topology import StateExchangeSettings
from primrosescale.process.entry.state_exchange import VALID_INTERVALS
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.freshness import Freshness
from support.drawn import drawn
from support.router_fleet import Fleet
from support.router_fleet import FleetRouter

MAX_DATAGRAM_BYTES = 1400
SERVICE = "orders"
RELAYED = StateExchangeSettings(most_direct=6)
NO_BOUND = math.inf


class ExchangingRouter:
    def __init__(self, name, names):
        self.waiting = {}
        self.targets = TargetList(2.0)
        self.parts = PrefixCacheIndex()
        self.exchange = StateExchange(
            name,
            1,
            self.targets,
            self.parts,
            Freshness(5.0),
            waiting_by_service=lambda: self.waiting,
        )
        for number, other in enumerate(names):
            router = PeerRouter(other, Endpoint("127.0.0.1", 7000 + number), "a")
            self.exchange.put(router, START)

    def messages(self, now=START):
        sent = self.exchange.compose(1, now)
        return {router.name: decode(encode(message)) for router, message in sent}

    def seen(self, now=START, service=SERVICE, bound=NO_BOUND):
        return self.exchange.waiting_elsewhere(service, bound, now)


class DirectExchangeTest(TestCase):
    def setUp(self):
        super().setUp()
        names = ("a", "b", "c")
        self.routers = {name: ExchangingRouter(name, names) for name in names}

    def exchange(self, now=START, lost=()):
        for name, router in self.routers.items():
            for receiver, message in router.messages(now).items():
                if (name, receiver) not in lost:
                    self.routers[receiver].exchange.receive(message, 1, now)

    def test_the_requests_that_wait_at_others_are_summed_by_service(self):
        # Guards against counting this router's own requests or those of a service
        # under another one.
        self.routers["a"].waiting = {SERVICE: 3, "model": 2}
        self.routers["b"].waiting = {SERVICE: 4}
        self.exchange()
        self.assertEqual([4, 3, 7], [r.seen() for r in self.routers.values()])
        self.assertEqual(2, self.routers["c"].seen(service="model"))

    def test_a_report_replaces_the_previous_one(self):
        # Guards against requests that stay counted after they have started.
        self.routers["a"].waiting = {SERVICE: 3, "model": 2}
        self.exchange()
        self.routers["a"].waiting = {"model": 1}
        self.exchange(START + 0.25)
        self.assertEqual(0, self.routers["b"].seen(START + 0.25))
        self.routers["a"].waiting = {}
        self.exchange(START + 0.5)
        self.assertEqual(0, self.routers["b"].seen(START + 0.5, "model"))

    def test_the_requests_of_a_killed_router_expire_with_its_loads(self):
        # Guards against a share that stays reserved for a router that is gone.
        self.routers["a"].waiting = {SERVICE: 30}
        self.exchange()
        b = self.routers["b"]
        valid = VALID_INTERVALS * b.exchange.interval
        self.assertEqual(30, b.seen(START + valid))
        self.assertTrue(b.exchange.has_current_loads(START + valid))
        self.assertEqual(0, b.seen(START + valid + 0.01))
        self.assertFalse(b.exchange.has_current_loads(START + valid + 0.01))

    def test_updates_lost_one_way_affect_only_their_receiver(self):
        # Guards against state that needs an answer to be applied.
        self.routers["a"].waiting = {SERVICE: 5}
        self.exchange(lost={("a", "b")})
        self.assertEqual([0, 5], [self.routers[name].seen() for name in "bc"])

    def test_an_update_without_the_field_counts_as_none_waiting(self):
        # Guards against an error, or a stale number, after a router has changed to
        # the previous release.
        a, b = self.routers["a"], self.routers["b"]
        a.waiting = {SERVICE: 5}
        b.exchange.receive(a.messages()["b"], 1, START)
        older = a.messages()["b"]
        older.waiting = None
        self.assertTrue(b.exchange.receive(older, 1, START))
        self.assertEqual(0, b.seen())

    def test_no_field_is_sent_while_nothing_waits(self):
        # Guards against costs where overload control is not in force.
        self.routers["a"].waiting = {SERVICE: 0}
        self.assertIsNone(self.routers["a"].messages()["b"].waiting)

    def test_a_router_alone_knows_all_loads(self):
        # Guards against an equal share for the only router of a deployment.
        self.assertTrue(ExchangingRouter("a", ["a"]).exchange.has_current_loads(START))

    def test_nonsense_is_bounded(self):
        # Guards against one faulty router that takes the whole capacity, and against
        # negative numbers that hide the requests of others.
        a, b = self.routers["a"], self.routers["b"]
        message = a.messages()["b"]
        message.waiting = {target_key(SERVICE): 2**31 - 1, target_key("x"): -(2**31)}
        message.routers = 2**31 - 1
        b.exchange.receive(decode(encode(message)), 1, START)
        self.assertEqual(MAX_WAITING_PER_ROUTER, b.seen())
        self.assertEqual(40, b.seen(bound=40))
        self.assertEqual(0, b.seen(service="x"))

    def test_a_full_message_with_waiting_requests_fits_into_a_datagram(self):
        # Guards against datagrams that links fragment, and thus lose more often.
        a = self.routers["a"]
        for number in range(60):
            a.targets.put(target(f"m{number}"), START)
        for state in a.targets.states:
            state.sent(START)
            state.failed(START)
        for number, state in enumerate(a.targets.states):
            wanted = prompt((f"{number:08x}", 9000), ("chat", 10)).parts
            a.parts.record_own_request(state.incarnation, wanted, START)
        a.waiting = {f"service-{n}": MAX_WAITING_PER_ROUTER for n in range(40)}
        [(_, message), *_] = a.exchange.compose(1, START)
        self.assertEqual(MAX_WAITING_SERVICES, len(message.waiting))
        self.assertLess(len(encode(message)), MAX_DATAGRAM_BYTES)


class WaitingSumTest(TestCase):
    def loads(self, waiting, routers=1):
        loads = LoadSum(START, routers)
        loads.waiting = waiting
        return loads

    def test_sums_are_added_and_subtracted(self):
        # Guards against relays that count a router twice, or its requests back to it.
        parts = [self.loads({1: 2, 2: 3}), self.loads({1: 4}), self.loads({})]
        total = total_load(parts, START)
        self.assertEqual({1: 6, 2: 3}, total.waiting)
        self.assertEqual({1: 2, 2: 3}, total.without(parts[1]).waiting)
        self.assertEqual({1: 4, 2: 0}, total.without(parts[0]).waiting)

    @drawn(200)
    @given(
        st.dictionaries(
            st.integers(-(2**31), 2**31 - 1),
            st.integers(-(2**31), 2**31 - 1),
            max_size=40,
        ),
        st.integers(-(2**31), 2**31 - 1),
    )
    def test_what_is_read_is_bounded_and_can_be_sent_again(self, waiting, routers):
        # Guards against sums that exceed 32 bits, which would end a relay's round.
        codec = LoadCodec(TargetList(2.0))
        [message, *_] = ExchangingRouter("a", ["a", "b"]).messages().values()
        message.waiting, message.routers = waiting, routers
        message.scope = NewsScope.DOMAIN
        read = codec.read(decode(encode(message)), START)
        self.assertLessEqual(len(read.waiting), MAX_WAITING_SERVICES)
        most = MAX_WAITING_PER_ROUTER * max(1, min(routers, MAX_COUNTED_ROUTERS))
        for count in read.waiting.values():
            self.assertTrue(0 < count <= most)
        total = total_load([read] * 300, START)
        codec.write(total, message, None, START)
        message.routers = 1
        decode(encode(message))


class WaitingRouter(FleetRouter):
    """A router of a fleet in which requests wait."""

    waiting = 0

    def _build_state_exchange(self, incarnation):
        return StateExchange(
            self.name,
            incarnation,
            self.targets,
            self.parts,
            self.freshness,
            self.domain,
            self.fleet.settings,
            waiting_by_service=lambda: {SERVICE: self.waiting},
        )

    def seen(self, bound=NO_BOUND):
        now = self.fleet.clock.seconds()
        return self.state_exchange.waiting_elsewhere(SERVICE, bound, now)


class WaitingFleet(Fleet):
    router_class = WaitingRouter


class RelayedExchangeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = WaitingFleet(18, 10, 3, 1.0, 7, settings=RELAYED)
        for number, router in enumerate(self.fleet.routers):
            router.waiting = number
        self.total = sum(range(18))
        self.fleet.run(3.0)

    def assert_all_know(self, total):
        for router in self.fleet.routers:
            if router.is_up:
                self.assertEqual(total - router.waiting, router.seen(), router.name)

    def test_each_request_is_counted_once_by_every_router(self):
        # Guards against relays that add a sum to one which contains it.
        self.assertTrue(all(r.state_exchange.is_relayed for r in self.fleet.routers))
        self.assert_all_know(self.total)

    def test_the_requests_of_killed_relays_expire(self):
        # Guards against sums that keep a router that is gone. A router may know less
        # for some time: a relay that stays does not know the one that has just become
        # one.
        now = self.fleet.clock.seconds()
        lost = [
            router
            for router in self.fleet.routers
            if router.state_exchange.relay_rank(now) == 0
        ]
        self.assertEqual(3, len(lost))
        for router in lost:
            self.fleet.lose(router)
        self.fleet.run(6.0)
        left = self.total - sum(router.waiting for router in lost)
        for router in self.fleet.routers:
            if router.is_up:
                self.assertLessEqual(router.seen(), left - router.waiting, router.name)

    def test_waiting_requests_are_known_exactly_as_far_as_loads(self):
        # Guards against numbers that are valid longer or shorter than the loads in the
        # same messages, while relays are lost and replaced.
        now = self.fleet.clock.seconds()
        for router in self.fleet.routers:
            for _ in range(router.waiting):
                router.targets.state("target-3").sent(now)
        self.fleet.run(2.0)
        for router in self.fleet.routers:
            if router.state_exchange.relay_rank(self.fleet.clock.seconds()) == 0:
                self.fleet.lose(router)
        for _ in range(24):
            self.fleet.run(0.25)
            now = self.fleet.clock.seconds()
            for router in self.fleet.routers:
                if router.is_up:
                    load = router.targets.state("target-3").load(now)
                    self.assertEqual(load, router.seen() + router.waiting, router.name)

    def test_a_router_cut_off_knows_that_it_knows_nothing(self):
        # Guards against stale numbers after all updates are lost.
        alone = self.fleet.routers[5]
        for other in self.fleet.routers:
            self.fleet.cuts.add((other.name, alone.name))
        self.fleet.run(4.0)
        now = self.fleet.clock.seconds()
        self.assertEqual(0, alone.seen())
        self.assertFalse(alone.state_exchange.has_current_loads(now))
