"""A target that announces in its answers that it leaves, while its entry says ready.

Guards against requests to a leaving target during an outage of the store: routers once
learnt only from the store's list that a target leaves. For eleven seconds all of them
went on sending requests to a target whose answers already announced it.
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
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.freshness import Freshness
from primrosescale.standin.scripted_engine import EngineScript
from support.entry_site import LOOPBACK
from support.router_site import LoopbackRouterTest

# Seconds after which a leaving target must get no new requests; the routers' setting.
DRAIN = 0.5


class LeavingAnswerTest(TestCase):
    """Requests of each kind after an answer that announced that their target leaves."""

    def harness(self, route, count=3):
        service = route.services[0].service
        return ForwardingHarness(
            [target(f"m{n}", service) for n in range(1, count + 1)]
        )

    def leave(self, harness, route, status=200, **fields):
        """Let the target of a request announce that it leaves; return its name."""
        harness.call(request(route))
        run = harness.caller.last
        run.observer.response_head(head(status, is_leaving=True, **fields))
        return run.name

    def sent_to(self, harness, route, count=20):
        before = len(harness.caller.runs)
        for _ in range(count):
            harness.call(request(route, now=harness.clock.seconds()))
        return {run.name for run in harness.caller.runs[before:]}

    # Guards against requests to a target whose entry does not show yet that it leaves.
    def test_nothing_new_is_sent_there(self):
        for route in (LOOKUP, CONFIRMATION, STREAM, FRAGILE_STREAM):
            harness = self.harness(route)
            left = self.leave(harness, route)
            self.assertNotIn(left, self.sent_to(harness, route))
            harness.pass_time(30.0, step=1.0)
            self.assertNotIn(left, self.sent_to(harness, route))

    # Guards against evaluating the header only in successful answers.
    def test_failed_and_declined_requests_announce_it_too(self):
        for status, fields in ((500, {}), (404, {}), (503, {"is_not_run": True})):
            harness = self.harness(LOOKUP)
            left = self.leave(harness, LOOKUP, status, **fields)
            self.assertNotIn(left, self.sent_to(harness, LOOKUP))

    # Guards against resuming a stream at a target that leaves.
    def test_a_cut_stream_goes_on_elsewhere(self):
        harness = self.harness(STREAM)
        left = self.leave(harness, STREAM)
        harness.call(request(STREAM, now=harness.clock.seconds()))
        run = harness.caller.last
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        run.observer.response_lost("reset")
        self.assertNotIn(harness.caller.last.name, {left, run.name})

    # Guards against applying the self-report of another incarnation.
    def test_a_self_report_of_another_incarnation_is_ignored(self):
        harness = self.harness(LOOKUP, count=1)
        self.leave(harness, LOOKUP, 421, is_not_run=True, is_other_incarnation=True)
        harness.restart("m1", 1_790_000_000_000)
        self.assertEqual({"m1"}, self.sent_to(harness, LOOKUP, count=1))

    # Guards against applying a self-report to a later incarnation.
    def test_it_holds_for_that_incarnation_alone(self):
        harness = self.harness(LOOKUP, count=1)
        self.leave(harness, LOOKUP)
        self.assertEqual(set(), self.sent_to(harness, LOOKUP, count=3))
        harness.restart("m1", 1_790_000_000_000)
        self.assertEqual({"m1"}, self.sent_to(harness, LOOKUP, count=1))

    # Guards against requests that wait although the last target of a service leaves.
    def test_a_request_without_another_target_is_refused_at_once(self):
        harness = self.harness(LOOKUP, count=1)
        self.leave(harness, LOOKUP)
        _, sink = harness.call(request(LOOKUP, now=harness.clock.seconds()))
        self.assertEqual(Refusal.NO_TARGET, sink.refusal)


class ExchangingRouter:
    """One router's state exchange, and targets that all routers know."""

    def __init__(self, name, names, settings=None, entries=()):
        self.targets = TargetList(2.0)
        for entry in entries:
            self.targets.put(entry, START)
        self.events = []
        log = EventLog(name)
        log.emit = lambda event, **fields: self.events.append((event, fields))
        self.leaving_exchange = LeavingTargetExchange(self.targets, log)
        self.state_exchange = StateExchange(
            name,
            1,
            self.targets,
            PrefixCacheIndex(),
            Freshness(5.0),
            "x",
            settings,
            leaving=self.leaving_exchange,
        )
        for number, other in enumerate(names):
            endpoint = Endpoint(LOOPBACK, 7000 + number)
            self.state_exchange.put(PeerRouter(other, endpoint, "x"), START)

    def receive_leaving(self, name, now=START):
        """Process an answer in which a target announces that it leaves."""
        state = self.targets.state(name)
        if state.answered(head(is_leaving=True), now):
            self.leaving_exchange.record(state.incarnation)

    @property
    def leaving(self):
        return {s.target.name for s in self.targets.states if s.is_leaving}


class LeavingExchangeTest(TestCase):
    """Routers learn from others that a target leaves which has not answered them."""

    def routers_by_name(self, count, settings=None, entries=None):
        names = [f"r{n}" for n in range(count)]
        entries = entries or [target(f"m{n}") for n in range(5)]
        return {
            name: ExchangingRouter(name, names, settings, entries) for name in names
        }

    def run_rounds(self, routers_by_name, count, now=START, lost=()):
        """Let all routers send their updates, in some rounds of 0.2 s."""
        for number in range(count):
            at = now + 0.2 * number
            sent = [
                (router.name, message)
                for name, side in routers_by_name.items()
                if name not in lost
                for router, message in side.state_exchange.compose(1, at)
            ]
            for name, message in sent:
                if name in routers_by_name:
                    routers_by_name[name].state_exchange.receive(
                        decode(encode(message)), 1, at
                    )

    # Guards against requests of routers to which the leaving target has sent no answer.
    def test_all_routers_learn_of_it_in_time(self):
        for count, settings, rounds in (
            (4, None, 1),
            (30, None, 1),
            (68, None, 6),
            (300, None, 6),
            (40, StateExchangeSettings(most_direct=2), 6),
        ):
            routers_by_name = self.routers_by_name(count, settings)
            routers_by_name["r1"].receive_leaving("m3")
            self.run_rounds(routers_by_name, rounds)
            self.assertLess(0.2 * rounds, 2.0)
            known = {frozenset(side.leaving) for side in routers_by_name.values()}
            self.assertEqual({frozenset({"m3"})}, known, count)

    # Guards against a router that starts during an outage of the store.
    def test_a_router_that_starts_later_learns_of_it(self):
        routers_by_name = self.routers_by_name(3)
        routers_by_name["r0"].receive_leaving("m3")
        self.run_rounds(routers_by_name, 1)
        late = self.routers_by_name(3)["r2"]
        routers_by_name["r2"] = late
        self.assertEqual(set(), late.leaving)
        self.run_rounds(routers_by_name, 1, START + 20)
        self.assertEqual({"m3"}, late.leaving)
        self.assertEqual([Event.TARGET_SAID], [event for event, _ in late.events])

    # Guards against applying others' reports of a former incarnation to a later one.
    def test_reports_apply_to_that_incarnation_alone(self):
        routers_by_name = self.routers_by_name(2, entries=[target("m1", started_at=5)])
        routers_by_name["r0"].receive_leaving("m1")
        routers_by_name["r1"].targets.put(target("m1", started_at=9), START)
        self.run_rounds(routers_by_name, 2)
        self.assertEqual(set(), routers_by_name["r1"].leaving)

    # Guards against sending forever what all know from the store.
    def test_leaving_that_the_entry_shows_is_not_sent(self):
        routers_by_name = self.routers_by_name(2)
        routers_by_name["r0"].receive_leaving("m3")
        routers_by_name["r0"].targets.put(target("m3", is_draining=True), START)
        [(_, message)] = routers_by_name["r0"].state_exchange.compose(1, START)
        self.assertIsNone(message.leaving)

    # Guards against messages that grow with the fleet.
    def test_a_message_names_the_latest_few(self):
        routers_by_name = self.routers_by_name(
            2, entries=[target(f"m{n}") for n in range(200)]
        )
        for number in range(200):
            routers_by_name["r0"].receive_leaving(f"m{number}", START + number / 100)
        [(_, message)] = routers_by_name["r0"].state_exchange.compose(1, START + 3)
        self.assertEqual(40, len(message.leaving))
        routers_by_name["r1"].state_exchange.receive(
            decode(encode(message)), 1, START + 3
        )
        self.assertIn("m199", routers_by_name["r1"].leaving)


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
        """Let a target announce that it leaves until one answer was forwarded."""
        yield self.until(lambda: self.knows(self.router, 2))
        self.scripts[name].is_leaving = True
        seen = len(self.scripts[name].arrivals)
        while len(self.scripts[name].arrivals) == seen:
            yield self.ask_for(0.01)

    # Guards against requests to a target whose entry remains ready.
    @inlineCallbacks
    def test_an_entry_that_says_ready_does_not_count(self):
        yield self.leave("i-1")
        yield self.ask_for(DRAIN)
        self.scripts["i-1"].arrivals.clear()
        yield self.ask_for(0.3)
        self.store.write("servers", "i-1", {**self.entries["i-1"], "slots": 9})
        yield self.ask_for(0.3)
        self.assertEqual([], self.scripts["i-1"].arrivals)

    # Guards against forgetting it when the entry is deleted and written again.
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
