"""Routers that restart learn the engines' cache contents from each other.

Thirty routers in front of as many engines are killed one by one or all at once, while
callers return with prompts that engines have cached.
"""

from __future__ import annotations

import math
import random

from testtools import TestCase
from twisted.internet.defer import Deferred

from entry.fakes import START
from entry.fakes import make_incarnation
from entry.fakes import prompt
from entry.fakes import target
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.cache_discovery import EXTRA_READS
from primrosescale.process.entry.cache_discovery import MAX_WAIT_SECONDS
from primrosescale.process.entry.cache_discovery import CacheDiscovery
from primrosescale.process.entry.cache_ownership import MAX_PARTS_PER_ANSWER
from primrosescale.process.entry.cache_ownership import CacheOwnership
from primrosescale.process.entry.codec import CacheReader
from primrosescale.process.entry.codec import EngineCacheContents
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.choice.prefix_cache_index import PartUse
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.incoming_request import PromptPart
from support.router_fleet import START as FLEET_START
from support.router_fleet import ExchangeParts
from support.router_fleet import Fleet

MAX_DATAGRAM_BYTES = 1400
READ_SECONDS = 0.03
# Routers of one fleet are restarted within this time of each other.
RESTARTS_SECONDS = 1.2


class Engines(CacheReader):
    """Reports the cache contents of a fleet's engines, and counts the requests."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.asked = []

    def read(self, target):
        self.asked.append(target.name)
        held = self.fleet.engines[target.name].cache.items()
        parts = tuple(PromptPart(name, tokens) for name, tokens in held)
        answer = Deferred()
        held_parts = EngineCacheContents(parts, target.started_at)
        self.fleet.clock.callLater(READ_SECONDS, answer.callback, held_parts)
        return answer


class RestartedFleet(TestCase):
    """A fleet that has served requests for a while and whose routers can restart."""

    ROUTERS, ENGINES, DOMAINS = 30, 29, 3

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(self.ROUTERS, self.ENGINES, self.DOMAINS, 100.0, 3)
        for router in self.fleet.routers:
            router.shares.mark_share_read(FLEET_START)
        self.fleet.begin()
        self.fleet.run(8.0)
        self.engines = Engines(self.fleet)
        self.served = {}

    def restart(self, router):
        self.fleet.restart(router, 2)
        parts = ExchangeParts(self.fleet.clock)
        parts.caches = self.engines
        parts.rng = random.Random(1)
        learning = CacheDiscovery(
            router.shares, router.exchange, router.targets, router.parts, parts
        )
        began = self.fleet.clock.seconds()

        def done():
            self.served[router.name] = self.fleet.clock.seconds() - began

        learning.start(lambda _: True, done)

    def known_share(self, router):
        """Return the share of cached tokens of all engines that a router knows."""
        now, held, known = self.fleet.clock.seconds(), 0, 0
        for engine in self.fleet.engines.values():
            incarnation = router.targets.state(engine.name).incarnation
            shared = {part for part in engine.cache if part[0] in "dst"}
            held += sum(engine.cache[part] for part in shared)
            uses = router.parts.shared(incarnation, now)
            known += sum(use.tokens for use in uses if use.part in shared)
        return known / held

    def restart_all(self):
        rng = random.Random(5)
        for router in self.fleet.routers:
            self.fleet.lose(router)
            delay = rng.random() * RESTARTS_SECONDS
            self.fleet.clock.callLater(delay, self.restart, router)
        self.fleet.run(2 * RESTARTS_SECONDS)


class RestartTest(RestartedFleet):
    def test_a_router_that_restarts_alone_reads_its_share_and_receives_the_rest(self):
        router = self.fleet.routers[4]
        self.restart(router)
        self.fleet.run(MAX_WAIT_SECONDS)
        share = {state.target.name for state in router.shares.own_targets()}
        self.assertEqual(share, set(self.engines.asked))
        self.assertLess(len(share), self.ENGINES / 4)
        self.assertGreater(self.known_share(router), 0.95)
        self.assertLess(self.served[router.name], MAX_WAIT_SECONDS)

    def test_routers_that_restart_together_read_each_engine_once(self):
        self.restart_all()
        self.assertEqual(sorted(self.fleet.engines), sorted(self.engines.asked))
        for router in self.fleet.routers:
            self.assertGreater(self.known_share(router), 0.95, router.name)

    def test_a_stopped_router_that_restarts_gets_answers_before_it_is_listed(self):
        router = self.fleet.routers[4]
        for other in self.fleet.routers:
            if other is not router:
                other.state_exchange.remove(router.name)
        self.restart(router)
        self.fleet.run(MAX_WAIT_SECONDS)
        self.assertGreater(self.known_share(router), 0.95)
        self.assertLess(self.served[router.name], MAX_WAIT_SECONDS)

    def test_callers_do_not_wait_for_routers_that_are_gone(self):
        lost, router = self.fleet.routers[:2]
        self.fleet.lose(lost)
        self.restart(router)
        self.fleet.run(2 * MAX_WAIT_SECONDS)
        self.assertAlmostEqual(MAX_WAIT_SECONDS, self.served[router.name], places=2)
        self.assertEqual([lost.name], [r.name for r in router.shares.unanswered])

    def test_a_router_that_resumes_late_is_asked_again(self):
        lost, router = self.fleet.routers[:2]
        self.fleet.lose(lost)
        self.restart(router)
        self.fleet.run(0.5)
        self.fleet.wake(lost)
        self.fleet.run(1.0)
        self.assertEqual([], router.shares.unanswered)
        self.assertGreater(self.known_share(router), 0.95)


class SmallRestartTest(RestartedFleet):
    """Four routers in front of five engines: each share is a large part."""

    ROUTERS, ENGINES = 4, 5

    def test_the_share_of_a_router_that_is_gone_is_read_by_others(self):
        lost, router = sorted(
            self.fleet.routers, key=lambda router: -len(router.shares.own_targets())
        )[:2]
        share = {state.target.name for state in lost.shares.own_targets()}
        own_targets = {state.target.name for state in router.shares.own_targets()}
        self.fleet.lose(lost)
        self.restart(router)
        self.fleet.run(2 * MAX_WAIT_SECONDS)
        self.assertTrue(share)
        self.assertEqual(own_targets | share, set(self.engines.asked))
        self.assertGreater(self.known_share(router), 0.95)

    def test_routers_that_restart_together_send_few_extra_requests(self):
        self.restart_all()
        most = self.ENGINES + EXTRA_READS
        self.assertLessEqual(len(self.engines.asked), most)
        for router in self.fleet.routers:
            self.assertGreater(self.known_share(router), 0.95, router.name)


class SharesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.targets, self.parts = TargetList(2.0), PrefixCacheIndex()
        self.others = [PeerRouter("b", Endpoint("127.0.0.1", 7001))]
        self.shares = self.sharing("a", lambda: self.others)
        for number in range(8):
            self.targets.put(target(f"m{number}"), START)
        self.own_target = self.shares.own_targets()[0].incarnation

    def sharing(self, name, others):
        def find(wanted):
            return {router.name: router for router in others()}.get(wanted)

        return CacheOwnership(name, self.targets, self.parts, others, find)

    def request(self, origin="b", now=START):
        return self.shares.receive_request(wire.CacheQuestion(origin), now)

    def receive(self, origin="b", *, part="tariffs", key=None, is_last=True):
        cached = [wire.CachedPart(part, 9000, 50)]
        cache = wire.TargetCache(key or target_key("m1"), cached)
        self.shares.receive_answer(wire.CacheAnswer(origin, [cache], is_last), START)

    def held(self, name="m1", part="tariffs"):
        return self.parts.held(
            make_incarnation(name), prompt((part, 9000)).parts, START
        )

    def test_each_target_is_the_share_of_one_router(self):
        first = PeerRouter("a", Endpoint("127.0.0.1", 7000))
        other = self.sharing("b", lambda: [first])
        own_targets = [state.target.name for state in self.shares.own_targets()]
        theirs = [state.target.name for state in other.own_targets()]
        self.assertEqual(
            [f"m{number}" for number in range(8)], sorted(own_targets + theirs)
        )
        self.assertTrue(own_targets)
        self.assertTrue(theirs)

    def test_a_request_to_a_router_that_has_just_started_is_answered_later(self):
        self.assertEqual([], self.request())
        [(asker, message)] = self.shares.mark_share_read(START)
        self.assertEqual(("b", True), (asker.name, message.is_last))
        self.assertEqual([], self.shares.mark_share_read(START))
        self.assertEqual(1, len(self.request()))

    def test_an_unlisted_router_gets_no_answer_and_its_answers_are_ignored(self):
        self.shares.mark_share_read(START)
        self.assertEqual([], self.request("c"))
        self.receive("c")
        self.assertEqual(0, self.held())

    def test_an_answer_applies_only_to_the_incarnation_that_it_names(self):
        self.receive(key=target_key("m1", 77))
        self.assertEqual(0, self.held())
        self.receive()
        self.assertEqual(9000, self.held())

    def test_an_answer_is_incomplete_until_its_last_message(self):
        self.receive(is_last=False)
        self.assertEqual(self.others, self.shares.unanswered)
        self.receive()
        self.assertEqual([], self.shares.unanswered)

    def test_parts_of_a_single_chat_are_not_reported(self):
        parts = prompt(("tariffs", 9000), ("chat", 10)).parts
        self.parts.record_own_request(self.own_target, parts, START)
        self.shares.mark_share_read(START)
        [(_, message)] = self.request()
        [cache] = message.caches
        self.assertEqual(["tariffs"], [part.part for part in cache.parts])

    def test_a_long_answer_is_split_into_datagrams_that_are_not_fragmented(self):
        count = 3 * MAX_PARTS_PER_ANSWER + 1
        for number in range(count):
            use = PartUse(f"{number:08x}", self.own_target, 9000, START - 30)
            self.parts.record_use(use)
        self.shares.mark_share_read(START)
        frames = [encode(message) for _, message in self.request()]
        self.assertEqual(math.ceil(count / MAX_PARTS_PER_ANSWER), len(frames))
        self.assertLess(max(map(len, frames)), MAX_DATAGRAM_BYTES)
        messages = [decode(frame) for frame in frames]
        ends = [message.is_last for message in messages]
        self.assertEqual([False, False, False, True], ends)
        names = [p.part for m in messages for c in m.caches for p in c.parts]
        self.assertEqual([f"{number:08x}" for number in range(count)], names)
