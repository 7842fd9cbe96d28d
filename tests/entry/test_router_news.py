"""State updates between routers, over a network that loses and delays datagrams."""

from __future__ import annotations

from testtools import TestCase

from entry.fakes import START
from entry.fakes import make_incarnation
from entry.fakes import prompt
from entry.fakes import target
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.endpoint import Endpoint
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.relay_topology import StateExchangeSettings
from primrosescale.process.entry.state_exchange import DIRECT_BYTES_PER_SECOND
from primrosescale.process.entry.state_exchange import MAX_FORMER_ROUTERS
from primrosescale.process.entry.state_exchange import MAX_PARTS
from primrosescale.process.entry.state_exchange import TYPICAL_DATAGRAM_BYTES
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.freshness import Freshness

MAX_DATAGRAM_BYTES = 1400


class ExchangingRouter:
    def __init__(self, name, incarnation=1, settings=None):
        self.targets = TargetList(2.0)
        self.parts = PrefixCacheIndex()
        self.fresh = Freshness(5.0)
        self.state_exchange = StateExchange(
            name,
            incarnation,
            self.targets,
            self.parts,
            self.fresh,
            settings=settings,
        )
        for number in range(1, 6):
            self.targets.put(target(f"m{number}"), START)

    def knows(self, *names, domains=1):
        for number, name in enumerate(names):
            endpoint = Endpoint("127.0.0.1", 7000 + number)
            self.state_exchange.put(
                PeerRouter(name, endpoint, str(number % domains)), START
            )

    def message(self, version=1, now=START):
        [(_, message)] = self.state_exchange.compose(version, now)
        return decode(encode(message))


class StateExchangeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.a, self.b = ExchangingRouter("a"), ExchangingRouter("b")
        self.a.knows("a", "b")
        self.b.knows("a", "b")

    def test_loads_and_prompt_parts_are_sent(self):
        self.a.targets.state("m1").sent(START)
        parts = prompt(("tariffs", 9000), ("chat", 10)).parts
        self.a.parts.record_own_request(make_incarnation("m3"), parts, START)
        self.assertTrue(self.b.state_exchange.receive(self.a.message(), 1, START))
        self.assertEqual(1.0, self.b.targets.state("m1").load(START))
        self.assertEqual(9000, self.b.parts.held(make_incarnation("m3"), parts, START))

    def test_of_many_targets_the_most_loaded_are_sent(self):
        for number in range(1, 81):
            self.a.targets.put(target(f"x{number}"), START)
            self.b.targets.put(target(f"x{number}"), START)
            self.a.targets.state(f"x{number}").succeeded(START)
        for _ in range(2):
            self.a.targets.state("x80").sent(START)
        self.a.targets.state("x79").failed(START)
        self.b.state_exchange.receive(self.a.message(), 1, START)
        self.assertEqual(2.0, self.b.targets.state("x80").load(START))
        self.assertGreater(self.b.targets.state("x79").failure_share(START), 0)

    def test_outdated_updates_and_unlisted_routers_are_ignored(self):
        first, second = self.a.message(), self.a.message()
        self.assertTrue(self.b.state_exchange.receive(second, 1, START))
        self.assertFalse(self.b.state_exchange.receive(first, 1, START))
        stranger = ExchangingRouter("c")
        stranger.knows("b")
        self.assertFalse(self.b.state_exchange.receive(stranger.message(), 1, START))

    def test_updates_of_a_former_incarnation_are_ignored(self):
        before = self.a.message()
        again = ExchangingRouter("a", incarnation=2)
        again.knows("b")
        self.assertTrue(self.b.state_exchange.receive(again.message(), 1, START))
        self.assertFalse(self.b.state_exchange.receive(before, 1, START))

    def test_another_router_s_request_to_the_store_counts_after_a_reply(self):
        self.a.fresh.answered(START - 10)
        self.b.fresh.answered(START - 1)
        self.b.state_exchange.receive(self.a.message(now=START), 1, START)
        self.a.state_exchange.receive(self.b.message(now=START + 0.1), 1, START + 9)
        # b's age was 1.1 s when it replied, and it replied after START.
        self.assertAlmostEqual(10.1, self.a.fresh.age(START + 9))

    def test_without_a_reply_it_counts_for_nothing(self):
        self.a.fresh.answered(START - 10)
        self.b.fresh.answered(START - 1)
        self.a.state_exchange.receive(self.b.message(), 1, START)
        self.assertAlmostEqual(10.0, self.a.fresh.age(START))

    def test_another_version_proves_nothing(self):
        self.a.fresh.answered(START - 10)
        self.b.fresh.answered(START - 1)
        self.b.state_exchange.receive(self.a.message(version=1), 2, START)
        self.a.state_exchange.receive(self.b.message(version=2), 1, START)
        self.assertAlmostEqual(10.0, self.a.fresh.age(START))

    def test_a_router_without_the_store_knows_whether_others_reach_it(self):
        self.assertFalse(self.a.state_exchange.peers_reach_store(START))
        self.a.state_exchange.receive(self.b.message(version=2), 1, START)
        self.assertTrue(self.a.state_exchange.peers_reach_store(START))

    def test_an_outage_that_all_routers_see_is_not_one_router_s(self):
        [(_, message)] = self.b.state_exchange.compose(1, START, is_store_lost=True)
        self.a.state_exchange.receive(message, 1, START)
        self.assertFalse(self.a.state_exchange.peers_reach_store(START))

    def test_a_router_that_receives_no_more_updates_is_cut_off(self):
        [(_, message)] = self.b.state_exchange.compose(1, START, is_store_lost=True)
        self.a.state_exchange.receive(message, 1, START)
        self.assertTrue(self.a.state_exchange.peers_reach_store(START + 4))

    def test_outcomes_of_a_router_whose_requests_fail_everywhere_are_ignored(self):
        for number in range(1, 6):
            self.a.targets.state(f"m{number}").failed(START)
        self.b.state_exchange.receive(self.a.message(), 1, START)
        self.assertEqual(0.0, self.b.targets.state("m1").failure_share(START))

    def test_a_target_that_only_this_router_cannot_reach_stays_good_for_others(self):
        for number in range(1, 6):
            self.a.targets.state(f"m{number}").succeeded(START)
        self.a.targets.state("m1").unreachable(START)
        self.b.state_exchange.receive(self.a.message(), 1, START)
        self.assertEqual(0.0, self.b.targets.state("m1").failure_share(START))

    def test_a_datagram_is_not_fragmented(self):
        many = [(f"{number:016x}", 100) for number in range(200)]
        self.a.parts.record_own_request(
            make_incarnation("m1"), prompt(*many).parts, START
        )
        for number in range(1, 6):
            self.a.targets.state(f"m{number}").sent(START)
        message = self.a.message()
        self.assertEqual(MAX_PARTS, len(message.parts))
        self.assertTrue(len(encode(message)) < MAX_DATAGRAM_BYTES)

    def test_four_routers_poll_the_store_for_all(self):
        names = ["a", "b", "c", "d", "e", "f", "g"]
        routers_by_name = {name: ExchangingRouter(name) for name in names}
        for side in routers_by_name.values():
            side.knows(*names)
        for side in routers_by_name.values():
            for router, message in side.state_exchange.compose(1, START):
                routers_by_name[router.name].state_exchange.receive(
                    decode(encode(message)), 1, START
                )
        polling = [
            n
            for n, side in routers_by_name.items()
            if side.state_exchange.polls_store(START)
        ]
        self.assertEqual(4, len(polling))
        # When no updates of these arrive any more, every router polls.
        self.assertTrue(
            all(
                s.state_exchange.polls_store(START + 9)
                for s in routers_by_name.values()
            )
        )

    def test_a_newer_version_of_another_router_is_noticed(self):
        self.b.state_exchange.receive(self.a.message(version=7), 3, START)
        self.assertEqual(7, self.b.state_exchange.newest_version(START))
        self.assertEqual(0, self.b.state_exchange.newest_version(START + 9))

    def test_silent_routers_are_reported_unless_all_are_silent(self):
        self.a.knows("a", "b", "c")
        self.assertEqual([], self.a.state_exchange.silent_routers(START + 100))
        self.a.state_exchange.receive(self.b.message(), 1, START + 100)
        self.assertEqual(["c"], self.a.state_exchange.silent_routers(START + 100))
        self.assertEqual([], self.a.state_exchange.silent_routers(START + 59))

    def test_load_missing_from_an_update_is_removed(self):
        for number in range(1, 81):
            self.a.targets.put(target(f"x{number}"), START)
            self.b.targets.put(target(f"x{number}"), START)
        for number in range(1, 81):
            self.a.targets.state(f"x{number}").succeeded(START)
        self.a.targets.state("x80").sent(START)
        self.b.state_exchange.receive(self.a.message(), 1, START)
        self.a.targets.state("x80").ended()
        for number in range(1, 51):
            self.a.targets.state(f"x{number}").sent(START)
        self.b.state_exchange.receive(self.a.message(), 1, START)
        self.assertEqual(0.0, self.b.targets.state("x80").load(START))

    def test_many_routers_get_updates_less_often(self):
        direct = ExchangingRouter("a", settings=StateExchangeSettings(most_direct=1000))
        direct.knows("a", "b")
        self.assertEqual(0.25, direct.state_exchange.interval)
        direct.knows(*(f"r{number}" for number in range(420)))
        sent = (
            (len(direct.state_exchange.others))
            * TYPICAL_DATAGRAM_BYTES
            / direct.state_exchange.interval
        )
        self.assertTrue(len(direct.state_exchange.others) >= 420)
        self.assertAlmostEqual(DIRECT_BYTES_PER_SECOND, sent)

    def test_updates_to_many_routers_stay_within_the_bytes_allowed(self):
        self.assertEqual(0.25, self.a.state_exchange.interval)
        self.a.targets.state("m1").sent(START)
        names = [f"r{number}" for number in range(420)]
        self.a.knows(*names, domains=8)
        self.assertTrue(len(self.a.state_exchange.others) >= 420)
        messages = self.a.state_exchange.compose(1, START)
        sent = sum(len(encode(message)) for _, message in messages)
        self.assertLess(sent / self.a.state_exchange.interval, DIRECT_BYTES_PER_SECOND)
        self.assertLess(3 * self.a.state_exchange.interval, 0.8)


class FormerTest(TestCase):
    def test_the_last_routers_that_left_the_list_are_found(self):
        side = ExchangingRouter("a")
        count = MAX_FORMER_ROUTERS + 1
        side.knows(*(f"r{number}" for number in range(count)))
        self.assertEqual("r0", side.state_exchange.find("r0").name)
        for number in range(count):
            side.state_exchange.remove(f"r{number}")
        self.assertIsNone(side.state_exchange.find("r0"))
        self.assertEqual("r1", side.state_exchange.find("r1").name)
        self.assertEqual([], side.state_exchange.others)


class OutcomesTest(TestCase):
    """Many routers, each of which sends few requests to each target."""

    ROUTERS, SENT_BY_EACH = 30, 2

    def setUp(self):
        super().setUp()
        names = [f"r{number}" for number in range(self.ROUTERS)]
        self.routers_by_name = [ExchangingRouter(name) for name in names]
        for side in self.routers_by_name:
            side.knows(*names)
            for _ in range(self.SENT_BY_EACH):
                for number in range(1, 6):
                    side.targets.state(f"m{number}").succeeded(START)

    def exchange_updates(self):
        for side in self.routers_by_name:
            _, message = side.state_exchange.compose(1, START)[0]
            frame = encode(message)
            self.assertLess(len(frame), MAX_DATAGRAM_BYTES)
            for other in self.routers_by_name:
                if other is not side:
                    other.state_exchange.receive(decode(frame), 1, START)

    def share(self, name):
        return self.routers_by_name[0].targets.state(name).failure_share(START)

    def test_a_single_failure_counts_as_one_of_all_requests_of_all_routers(self):
        self.routers_by_name[7].targets.state("m1").failed(START)
        self.exchange_updates()
        sent = self.ROUTERS * self.SENT_BY_EACH + 1
        self.assertLess(self.share("m1"), 1.1 / sent)

    def test_a_target_that_fails_two_in_five_is_known_everywhere(self):
        for side in self.routers_by_name:
            for _ in range(4 * self.SENT_BY_EACH // 3):
                side.targets.state("m1").failed(START)
        self.exchange_updates()
        self.assertAlmostEqual(0.4, self.share("m1"), delta=0.1)
        self.assertEqual(0.0, self.share("m2"))
