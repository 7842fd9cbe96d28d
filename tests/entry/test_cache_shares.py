"""Routers that start again learn what engines hold from each other.

The load: a fleet of thirty routers before as many engines whose routers are killed
one by one or all at once, while callers come back with prompts that engines hold.
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
from primrosescale.process.entry.cache_discovery import PATIENCE
from primrosescale.process.entry.cache_discovery import READS_FOR_OTHERS
from primrosescale.process.entry.cache_discovery import CacheDiscovery
from primrosescale.process.entry.cache_ownership import MOST_CACHED_PARTS
from primrosescale.process.entry.cache_ownership import CacheOwnership
from primrosescale.process.entry.codec import CacheReader
from primrosescale.process.entry.codec import EngineCacheContents
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.incoming_request import PromptPart
from primrosescale.request.prefix_cache_index import PartUse
from primrosescale.request.prefix_cache_index import PrefixCacheIndex
from support.router_fleet import START as FLEET_START
from support.router_fleet import ExchangeParts
from support.router_fleet import Fleet

BYTES_IN_ONE_PIECE = 1400
READ_SECONDS = 0.03
# Routers of one fleet are restarted within this time of each other.
RESTARTS_SECONDS = 1.2


class Engines(CacheReader):
    """Tells what the engines of a fleet hold, and counts the questions."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.asked = []

    def read(self, target):
        self.asked.append(target.name)
        held = self.fleet.engines[target.name].cache.items()
        parts = tuple(PromptPart(name, tokens) for name, tokens in held)
        answer = Deferred()
        told = EngineCacheContents(parts, target.started_at)
        self.fleet.clock.callLater(READ_SECONDS, answer.callback, told)
        return answer


class RestartedFleet(TestCase):
    """A fleet that has served for a while, whose routers can be restarted."""

    ROUTERS, ENGINES, DOMAINS = 30, 29, 3

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(self.ROUTERS, self.ENGINES, self.DOMAINS, 100.0, 3)
        for router in self.fleet.routers:
            router.shares.know(FLEET_START)
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
        """Return the part of all tokens that engines hold that a router knows."""
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
    def test_one_that_starts_alone_asks_its_share_and_is_told_the_rest(self):
        router = self.fleet.routers[4]
        self.restart(router)
        self.fleet.run(PATIENCE)
        share = {state.target.name for state in router.shares.own()}
        self.assertEqual(share, set(self.engines.asked))
        self.assertLess(len(share), self.ENGINES / 4)
        self.assertGreater(self.known_share(router), 0.95)
        self.assertLess(self.served[router.name], PATIENCE)

    def test_all_that_start_at_once_ask_each_engine_once(self):
        self.restart_all()
        self.assertEqual(sorted(self.fleet.engines), sorted(self.engines.asked))
        for router in self.fleet.routers:
            self.assertGreater(self.known_share(router), 0.95, router.name)

    def test_one_that_is_stopped_and_started_is_told_before_it_is_listed(self):
        router = self.fleet.routers[4]
        for other in self.fleet.routers:
            if other is not router:
                other.news.remove(router.name)
        self.restart(router)
        self.fleet.run(PATIENCE)
        self.assertGreater(self.known_share(router), 0.95)
        self.assertLess(self.served[router.name], PATIENCE)

    def test_callers_do_not_wait_for_routers_that_are_gone(self):
        lost, router = self.fleet.routers[:2]
        self.fleet.lose(lost)
        self.restart(router)
        self.fleet.run(2 * PATIENCE)
        self.assertAlmostEqual(PATIENCE, self.served[router.name], places=2)
        self.assertEqual([lost.name], [r.name for r in router.shares.unanswered])

    def test_one_that_wakes_late_is_asked_again(self):
        lost, router = self.fleet.routers[:2]
        self.fleet.lose(lost)
        self.restart(router)
        self.fleet.run(0.5)
        self.fleet.wake(lost)
        self.fleet.run(1.0)
        self.assertEqual([], router.shares.unanswered)
        self.assertGreater(self.known_share(router), 0.95)


class SmallRestartTest(RestartedFleet):
    """Four routers before five engines: each share is a large part."""

    ROUTERS, ENGINES = 4, 5

    def test_the_share_of_one_that_is_gone_is_asked_for_by_others(self):
        lost, router = sorted(
            self.fleet.routers, key=lambda router: -len(router.shares.own())
        )[:2]
        share = {state.target.name for state in lost.shares.own()}
        own = {state.target.name for state in router.shares.own()}
        self.fleet.lose(lost)
        self.restart(router)
        self.fleet.run(2 * PATIENCE)
        self.assertTrue(share)
        self.assertEqual(own | share, set(self.engines.asked))
        self.assertGreater(self.known_share(router), 0.95)

    def test_all_that_start_at_once_ask_little_more_than_each_engine(self):
        self.restart_all()
        most = self.ENGINES + READS_FOR_OTHERS
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
        self.own = self.shares.own()[0].incarnation

    def sharing(self, name, others):
        def find(wanted):
            return {router.name: router for router in others()}.get(wanted)

        return CacheOwnership(name, self.targets, self.parts, others, find)

    def asked(self, origin="b", now=START):
        return self.shares.take_question(wire.CacheQuestion(origin), now)

    def told(self, origin="b", *, part="tariffs", key=None, is_last=True):
        cached = [wire.CachedPart(part, 9000, 50)]
        cache = wire.TargetCache(key or target_key("m1"), cached)
        self.shares.record_answer(wire.CacheAnswer(origin, [cache], is_last), START)

    def held(self, name="m1", part="tariffs"):
        return self.parts.held(
            make_incarnation(name), prompt((part, 9000)).parts, START
        )

    def test_each_target_is_the_share_of_one_router(self):
        first = PeerRouter("a", Endpoint("127.0.0.1", 7000))
        other = self.sharing("b", lambda: [first])
        own = [state.target.name for state in self.shares.own()]
        theirs = [state.target.name for state in other.own()]
        self.assertEqual([f"m{number}" for number in range(8)], sorted(own + theirs))
        self.assertTrue(own)
        self.assertTrue(theirs)

    def test_who_asks_one_that_has_just_started_is_told_once_that_knows(self):
        self.assertEqual([], self.asked())
        [(asker, message)] = self.shares.know(START)
        self.assertEqual(("b", True), (asker.name, message.is_last))
        self.assertEqual([], self.shares.know(START))
        self.assertEqual(1, len(self.asked()))

    def test_a_stranger_is_told_nothing_and_tells_nothing(self):
        self.shares.know(START)
        self.assertEqual([], self.asked("c"))
        self.told("c")
        self.assertEqual(0, self.held())

    def test_what_is_told_counts_for_the_incarnation_that_it_is_told_of(self):
        self.told(key=target_key("m1", 77))
        self.assertEqual(0, self.held())
        self.told()
        self.assertEqual(9000, self.held())

    def test_an_answer_that_goes_on_is_not_whole(self):
        self.told(is_last=False)
        self.assertEqual(self.others, self.shares.unanswered)
        self.told()
        self.assertEqual([], self.shares.unanswered)

    def test_what_one_chat_has_alone_is_not_told(self):
        parts = prompt(("tariffs", 9000), ("chat", 10)).parts
        self.parts.record_own_request(self.own, parts, START)
        self.shares.know(START)
        [(_, message)] = self.asked()
        [cache] = message.caches
        self.assertEqual(["tariffs"], [part.part for part in cache.parts])

    def test_a_long_answer_comes_in_datagrams_of_one_piece(self):
        count = 3 * MOST_CACHED_PARTS + 1
        for number in range(count):
            use = PartUse(f"{number:08x}", self.own, 9000, START - 30)
            self.parts.record_use(use)
        self.shares.know(START)
        frames = [encode(message) for _, message in self.asked()]
        self.assertEqual(math.ceil(count / MOST_CACHED_PARTS), len(frames))
        self.assertLess(max(map(len, frames)), BYTES_IN_ONE_PIECE)
        messages = [decode(frame) for frame in frames]
        ends = [message.is_last for message in messages]
        self.assertEqual([False, False, False, True], ends)
        told = [p.part for m in messages for c in m.caches for p in c.parts]
        self.assertEqual([f"{number:08x}" for number in range(count)], told)
