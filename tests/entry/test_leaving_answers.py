"""A target that says in its answers that it leaves, while its entry says ready.

What was seen: the store was away when a target began to leave. Its answers said so,
and for eleven seconds all routers went on sending it requests.

Cause: routers took from the store's list alone that a target leaves.
"""

from __future__ import annotations

from testtools import TestCase
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from entry.fakes import CONFIRMATION
from entry.fakes import FRAGILE_STREAM
from entry.fakes import LOOKUP
from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import ForwardingHarness
from entry.fakes import event
from entry.fakes import head
from entry.fakes import request
from entry.fakes import target
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.endpoint import Endpoint
from primrosescale.process.entry.leaving_exchange import LeavingTargetExchange
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.relay_topology import StateExchangeSettings
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.events import Event
from primrosescale.process.events import EventLog
from primrosescale.request.forwarding_interfaces import Refusal
from primrosescale.request.freshness import Freshness
from primrosescale.request.prefix_cache_index import PrefixCacheIndex
from primrosescale.standin.users_engine import EngineScript
from support.entry_site import LOOPBACK
from support.router_site import LoopbackRouterTest

# Seconds after which a leaving target must get no new work, as routers are told.
DRAIN = 0.5


class LeavingAnswerTest(TestCase):
    """Requests of each kind after one answer of their target said that it leaves."""

    def desk(self, route, count=3):
        service = route.services[0].service
        return ForwardingHarness(
            [target(f"m{n}", service) for n in range(1, count + 1)]
        )

    def leave(self, desk, route, status=200, **said):
        """Have the target of a first request say that it leaves; return its name."""
        desk.call(request(route))
        run = desk.caller.last
        run.observer.response_head(head(status, is_leaving=True, **said))
        return run.name

    def sent_to(self, desk, route, count=20):
        before = len(desk.caller.runs)
        for _ in range(count):
            desk.call(request(route, now=desk.clock.seconds()))
        return {run.name for run in desk.caller.runs[before:]}

    # Guards against requests to a target whose entry does not tell yet that it leaves.
    def test_nothing_new_is_sent_there(self):
        for route in (LOOKUP, CONFIRMATION, STREAM, FRAGILE_STREAM):
            desk = self.desk(route)
            left = self.leave(desk, route)
            self.assertNotIn(left, self.sent_to(desk, route))
            desk.pass_time(30.0, step=1.0)
            self.assertNotIn(left, self.sent_to(desk, route))

    # Guards against reading the header in answers of success alone.
    def test_failures_and_declined_requests_say_it_too(self):
        for status, said in ((500, {}), (404, {}), (503, {"is_not_run": True})):
            desk = self.desk(LOOKUP)
            left = self.leave(desk, LOOKUP, status, **said)
            self.assertNotIn(left, self.sent_to(desk, LOOKUP))

    # Guards against a stream that goes on at a target that leaves.
    def test_a_cut_stream_goes_on_elsewhere(self):
        desk = self.desk(STREAM)
        left = self.leave(desk, STREAM)
        desk.call(request(STREAM, now=desk.clock.seconds()))
        run = desk.caller.last
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        run.observer.response_lost("reset")
        self.assertNotIn(desk.caller.last.name, {left, run.name})

    # Guards against reading what another incarnation says of itself.
    def test_another_incarnation_s_word_is_not_the_target_s(self):
        desk = self.desk(LOOKUP, count=1)
        self.leave(desk, LOOKUP, 421, is_not_run=True, is_other_incarnation=True)
        desk.restart("m1", 1_790_000_000_000)
        self.assertEqual({"m1"}, self.sent_to(desk, LOOKUP, count=1))

    # Guards against holding a later start to what the former one said.
    def test_it_holds_for_that_incarnation_alone(self):
        desk = self.desk(LOOKUP, count=1)
        self.leave(desk, LOOKUP)
        self.assertEqual(set(), self.sent_to(desk, LOOKUP, count=3))
        desk.restart("m1", 1_790_000_000_000)
        self.assertEqual({"m1"}, self.sent_to(desk, LOOKUP, count=1))

    # Guards against requests that wait for the last target of a service that leaves.
    def test_a_request_without_another_target_is_refused_at_once(self):
        desk = self.desk(LOOKUP, count=1)
        self.leave(desk, LOOKUP)
        _, sink = desk.call(request(LOOKUP, now=desk.clock.seconds()))
        self.assertEqual(Refusal.NO_TARGET, sink.refusal)


class Side:
    """One router's news of targets that all know."""

    def __init__(self, name, names, settings=None, entries=()):
        self.targets = TargetList(2.0)
        for entry in entries:
            self.targets.put(entry, START)
        self.events = []
        log = EventLog(name)
        log.emit = lambda event, **said: self.events.append((event, said))
        self.leaving_news = LeavingTargetExchange(self.targets, log)
        self.news = StateExchange(
            name,
            1,
            self.targets,
            PrefixCacheIndex(),
            Freshness(5.0),
            "x",
            settings,
            leaving=self.leaving_news,
        )
        for number, other in enumerate(names):
            endpoint = Endpoint(LOOPBACK, 7000 + number)
            self.news.put(PeerRouter(other, endpoint, "x"), START)

    def hears(self, name, now=START):
        """Take in an answer of a target that says that it leaves."""
        state = self.targets.state(name)
        if state.answered(head(is_leaving=True), now):
            self.leaving_news.note(state.incarnation)

    @property
    def leaving(self):
        return {s.target.name for s in self.targets.states if s.is_leaving}


class LeavingNewsTest(TestCase):
    """Routers that the target has not answered hear of it from the others."""

    def sides(self, count, settings=None, entries=None):
        names = [f"r{n}" for n in range(count)]
        entries = entries or [target(f"m{n}") for n in range(5)]
        return {name: Side(name, names, settings, entries) for name in names}

    def rounds(self, sides, count, now=START, lost=()):
        """Have all tell all that they tell, some rounds of 0.2 s."""
        for number in range(count):
            at = now + 0.2 * number
            told = [
                (router.name, message)
                for name, side in sides.items()
                if name not in lost
                for router, message in side.news.compose(1, at)
            ]
            for name, message in told:
                if name in sides:
                    sides[name].news.receive(decode(encode(message)), 1, at)

    # Guards against requests of routers that the leaving target has not answered.
    def test_all_hear_of_it_in_time(self):
        for count, settings, rounds in (
            (4, None, 1),
            (30, None, 1),
            (68, None, 6),
            (300, None, 6),
            (40, StateExchangeSettings(most_direct=2), 6),
        ):
            sides = self.sides(count, settings)
            sides["r1"].hears("m3")
            self.rounds(sides, rounds)
            self.assertLess(0.2 * rounds, 2.0)
            known = {frozenset(side.leaving) for side in sides.values()}
            self.assertEqual({frozenset({"m3"})}, known, count)

    # Guards against a router that starts while the store is away.
    def test_one_that_starts_later_hears_of_it(self):
        sides = self.sides(3)
        sides["r0"].hears("m3")
        self.rounds(sides, 1)
        late = self.sides(3)["r2"]
        sides["r2"] = late
        self.assertEqual(set(), late.leaving)
        self.rounds(sides, 1, START + 20)
        self.assertEqual({"m3"}, late.leaving)
        self.assertEqual([Event.TARGET_SAID], [event for event, _ in late.events])

    # Guards against holding a later start to what others heard of the former one.
    def test_it_is_told_of_that_incarnation_alone(self):
        sides = self.sides(2, entries=[target("m1", started_at=5)])
        sides["r0"].hears("m1")
        sides["r1"].targets.put(target("m1", started_at=9), START)
        self.rounds(sides, 2)
        self.assertEqual(set(), sides["r1"].leaving)

    # Guards against telling for ever what all know from the store.
    def test_what_the_entry_says_is_not_told(self):
        sides = self.sides(2)
        sides["r0"].hears("m3")
        sides["r0"].targets.put(target("m3", is_draining=True), START)
        [(_, message)] = sides["r0"].news.compose(1, START)
        self.assertIsNone(message.leaving)

    # Guards against messages that grow with the fleet.
    def test_a_message_names_the_latest_few(self):
        sides = self.sides(2, entries=[target(f"m{n}") for n in range(200)])
        for number in range(200):
            sides["r0"].hears(f"m{number}", START + number / 100)
        [(_, message)] = sides["r0"].news.compose(1, START + 3)
        self.assertEqual(40, len(message.leaving))
        sides["r1"].news.receive(decode(encode(message)), 1, START + 3)
        self.assertIn("m199", sides["r1"].leaving)


class LeavingTargetTest(LoopbackRouterTest):
    """A router, a store and two targets over sockets."""

    def setUp(self):
        super().setUp()
        self.scripts = {name: EngineScript(name=name) for name in ("i-1", "i-2")}
        self.entries = {
            name: self.start_target(script) for name, script in self.scripts.items()
        }
        self.router = self.start_router("r0", drain=DRAIN)

    @inlineCallbacks
    def ask_for(self, seconds):
        until = reactor.seconds() + seconds
        while reactor.seconds() < until:
            answer = yield self.ask(self.router)
            self.assertIn(b"HTTP/1.1 200", answer)
            yield deferLater(reactor, 0.01, lambda: None)

    @inlineCallbacks
    def leave(self, name):
        """Have a target say that it leaves until an answer was passed on."""
        yield self.until(lambda: self.knows(self.router, 2))
        self.scripts[name].is_leaving = True
        seen = len(self.scripts[name].arrivals)
        while len(self.scripts[name].arrivals) == seen:
            yield self.ask_for(0.01)

    # Guards against requests to a target whose entry stands as ready.
    @inlineCallbacks
    def test_an_entry_that_says_ready_does_not_count(self):
        yield self.leave("i-1")
        yield self.ask_for(DRAIN)
        self.scripts["i-1"].arrivals.clear()
        yield self.ask_for(0.3)
        self.store.write("servers", "i-1", {**self.entries["i-1"], "slots": 9})
        yield self.ask_for(0.3)
        self.assertEqual([], self.scripts["i-1"].arrivals)

    # Guards against forgetting it with an entry that lapses and is written again.
    @inlineCallbacks
    def test_an_entry_that_lapses_and_returns_does_not_count(self):
        yield self.leave("i-1")
        self.store.remove("servers", "i-1")
        yield self.until(lambda: self.knows(self.router, 1))
        self.scripts["i-1"].arrivals.clear()
        self.store.write("servers", "i-1", self.entries["i-1"])
        yield self.until(lambda: self.knows(self.router, 2))
        yield self.ask_for(0.3)
        self.assertEqual([], self.scripts["i-1"].arrivals)
