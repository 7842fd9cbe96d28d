"""Requests that may run once are not lost to a target's limit of connections.

Each of them opened a new connection, which then stayed idle in its router's pool. Many
routers together exceeded the limits of targets, which reset the new connections.
"""

from __future__ import annotations

import random

from testtools import TestCase

from entry.fakes import CONFIRMATION
from entry.fakes import FRAGILE_STREAM
from entry.fakes import LOOKUP
from entry.fakes import STREAM
from entry.fakes import FakeSink
from entry.fakes import ForwardingHarness
from entry.fakes import head
from entry.fakes import learn
from entry.fakes import request
from entry.fakes import target
from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform.http_codec import PlatformCodec
from primrosescale.process.entry.target_client import HttpTargetClient
from primrosescale.request.attempt.forwarded_call import ForwardedCall
from primrosescale.request.attempt.forwarding_context import ForwardingContext
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.attempt.retry_share import SharedRetryLimits
from primrosescale.request.capacity.connection_capacity import CONNECTION_CHECK_SECONDS
from primrosescale.request.capacity.connection_shares import ConnectionShares
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.capacity.router_shares import RouterShares
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.target.target_availability import TargetAvailability
from primrosescale.request.target.target_state import LoadReport
from primrosescale.request.target.target_state import TargetState
from primrosescale.version.routing_table import Service
from support.memory_targets import LimitedTarget
from support.memory_targets import MemoryReactor
from support.retry_fleet import retry_budget

WORK = 0.1

WITH_PACE = LoadReport(0, 0, 6, 1.0)
CROWDED = LoadReport(6, 7, 6, 1.0)
STEP_SECONDS = 0.0005
PORTS = {"p1": 9001, "p2": 9002, "p3": 9003}
HOST = (b"Host", b"desk.example")


class Router:
    """One router's forwarding objects and connections, without its state exchange."""

    def __init__(self, reactor, name, listed, *, limit, targets, mode):
        self.reactor = reactor
        settings = OverloadSettings(mode=mode)
        self.scope = OverloadScope(settings)
        self.routers = RouterShares(name)
        self.routers.set_routers(listed, reactor.seconds(), was_listed=True)
        service = Service(name="portal", slots=6, cache_tokens=0, max_connections=limit)
        shares = ConnectionShares(
            settings, self.routers, {"portal": service}.get, self.scope
        )
        self.client = HttpTargetClient(reactor, PlatformCodec(), shares)
        availability = TargetAvailability(connections=self.client)
        now = reactor.seconds()
        self.states = [
            TargetState(
                target(n, "portal", endpoint=Endpoint("127.0.0.1", PORTS[n]), slots=6),
                now,
            )
            for n in targets
        ]
        rng = random.Random(name)
        parts = PrefixCacheIndex()
        budget = retry_budget(
            SharedRetryLimits(0.2, 10.0, 20.0), len(listed), reactor.seconds()
        )
        self.outcomes = {}
        self.tools = ForwardingContext(
            settings=ForwardingHarness([]).tools.settings,
            clock=reactor,
            rng=rng,
            client=self.client,
            chooser=TargetChooser(
                ChoiceSettings(), parts, rng, availability=availability
            ),
            parts=parts,
            states_of=lambda _: self.states,
            budget_of=lambda _: budget,
            parts_changed=lambda: None,
            availability=availability,
            overload_scope=self.scope,
        )

    def call(self, number, route=CONFIRMATION, **fields):
        name = f"q{number}"
        incoming = request(
            route,
            now=self.reactor.seconds(),
            request_id=name,
            headers=((b"Primrosescale-Request-Id", name.encode()), HOST),
            **fields,
        )
        sink = FakeSink()

        def ended(_, outcome):
            self.outcomes[name] = outcome

        call = ForwardedCall(incoming, sink, self.tools, ended)
        call.start(self.reactor.seconds())
        return call, sink


class ConnectionTest(TestCase):
    limit = 4
    crowded_limit = None
    targets = ("p1",)
    routers = 1
    mode = OverloadMode.ON

    def setUp(self):
        super().setUp()
        self.reactor = MemoryReactor()
        self.reactor.advance(1000.0)
        self.servers = {
            name: LimitedTarget(
                self.reactor,
                PORTS[name],
                limit=self.limit,
                crowded_limit=self.crowded_limit,
            )
            for name in self.targets
        }
        listed = frozenset(f"r{number}" for number in range(self.routers))
        self.fleet = [
            Router(
                self.reactor,
                name,
                listed,
                limit=self.limit,
                targets=self.targets,
                mode=self.mode,
            )
            for name in sorted(listed)
        ]
        self.router = self.fleet[0]
        self.server = self.servers["p1"]
        for router in self.fleet:
            router.scope.record("portal", WITH_PACE)

    def pass_time(self, seconds):
        for _ in range(round(seconds / STEP_SECONDS)):
            self.reactor.advance(STEP_SECONDS)

    def answered(self, number, **fields):
        """Send a request and wait for its answer."""
        _, sink = self.router.call(number, **fields)
        self.pass_time(0.1)
        self.assertTrue(sink.is_finished)


class ReuseTest(ConnectionTest):
    # A new connection for each request fills the target's limit with idle ones.
    def test_one_that_may_run_once_uses_a_connection_that_has_just_answered(self):
        self.answered(1)
        self.pass_time(0.1)
        self.answered(2)
        self.assertEqual(1, self.server.opened)

    # On a connection that was lost without notice, it would be lost as well.
    def test_one_that_may_run_once_never_uses_a_stale_connection(self):
        self.answered(1)
        self.pass_time(0.16)
        self.answered(2)
        self.assertEqual(2, self.server.opened)

    # A stream that may run once used any pooled connection to a target heard lately.
    def test_a_stream_that_may_run_once_is_given_a_maximum_idle_time(self):
        harness = ForwardingHarness([target("m1")])
        harness.tools.overload_scope.record("model", WITH_PACE)
        harness.call(request(FRAGILE_STREAM, deadline=1012.0))
        sending = harness.caller.last.sending
        self.assertTrue(sending.needs_new_connection)
        self.assertEqual(0.15, sending.max_idle_seconds)

    # One that may be repeated is sent again if its connection was stale.
    def test_one_that_may_be_repeated_uses_a_stale_connection(self):
        self.answered(1)
        self.pass_time(0.5)
        self.answered(2, route=LOOKUP)
        self.assertEqual(1, self.server.opened)

    # Each hedge opens a connection, also to a target that accepts few at the moment.
    def test_a_hedge_to_a_target_with_a_long_queue_uses_an_idle_connection(self):
        for load, max_idle in ((WITH_PACE, 0.0), (CROWDED, float("inf"))):
            harness = ForwardingHarness([target("m1"), target("m2")])
            harness.tools.overload_scope.record("model", WITH_PACE)
            harness.call(request(STREAM, deadline=1012.0))
            harness.pass_time(0.3)
            for state in harness.states:
                state.set_load(load, harness.clock.seconds())
            harness.pass_time(0.3)
            hedge = harness.caller.last.sending
            self.assertTrue(hedge.needs_new_connection)
            self.assertEqual(max_idle, hedge.max_idle_seconds)

    # A report of a queue that has long been worked off says nothing about the present.
    def test_an_old_report_of_a_long_queue_does_not_count(self):
        state = TargetState(target("p1", "portal"), 1000.0)
        state.set_load(CROWDED, 1000.0)
        self.assertTrue(state.has_long_queue(1000.9))
        self.assertFalse(state.has_long_queue(1001.0))
        state.set_load(LoadReport(6, 6, 6, 1.0), 1001.0)
        self.assertFalse(state.has_long_queue(1001.0))


class BusyConnectionsTest(ConnectionTest):
    """All of the router's connections to the only target are in use."""

    def fill(self):
        """Use the three connections that this router may have."""
        return [self.router.call(number)[1] for number in range(3)]

    # It was sent on a connection that the target reset, and ended with 502.
    def test_a_request_waits_for_a_connection(self):
        sinks = self.fill()
        _, sink = self.router.call(3)
        self.assertIsNone(sink.refusal)
        self.assertEqual(3, self.router.client.connections)
        self.pass_time(0.25)
        self.assertTrue(all(item.is_finished for item in [*sinks, sink]))
        self.assertEqual((3, 0), (self.server.opened, self.server.resets))

    # A request that waits until its deadline has lost the time to go elsewhere.
    def test_one_that_waits_for_too_long_is_refused_as_not_run(self):
        self.server.work = 0.7
        learn(self.router, CONFIRMATION, WORK)
        self.fill()
        _, sink = self.router.call(3)
        # A connection is looked for again, and for as long as an answer may take.
        patience = CONNECTION_CHECK_SECONDS + 2 * WORK
        self.pass_time(patience - 0.03)
        self.assertIsNone(sink.refusal)
        self.pass_time(0.03)
        self.assertIs(Refusal.CONNECTIONS_IN_USE, sink.refusal)
        self.assertTrue(sink.refusal.is_not_run)
        self.assertGreater(sink.retry_after, 0.0)
        self.pass_time(1.5)
        self.assertNotIn(b"q3", self.server.served)

    # A caller that has gone must not be sent to a target later.
    def test_a_caller_that_leaves_while_it_waits_is_forgotten(self):
        self.fill()
        call, _ = self.router.call(3)
        call.caller_gone()
        self.pass_time(0.5)
        self.assertNotIn(b"q3", self.server.served)

    # A new pool beside the requests in progress had the whole share once more.
    def test_a_target_that_is_listed_again_has_no_second_share(self):
        sinks = self.fill()
        self.router.client.forget("p1")
        self.pass_time(0.01)
        sinks.append(self.router.call(3)[1])
        self.assertEqual(3, self.router.client.connections)
        self.pass_time(0.3)
        self.assertTrue(all(sink.refusal is None for sink in sinks))
        self.assertEqual((3, 0), (self.server.highest, self.server.resets))

    # A caller that leaves while its connection is opened must free the place at once.
    def test_a_request_cancelled_while_its_connection_is_opened_frees_it(self):
        call, _ = self.router.call(1)
        self.assertEqual(1, self.router.client.connections)
        call.caller_gone()
        self.assertEqual(0, self.router.client.connections)

    # An operator could not tell it from targets that are cold or resting.
    def test_a_target_that_rests_as_well_is_not_taken_to_lack_connections(self):
        self.fill()
        now = self.reactor.seconds()
        availability = self.router.tools.availability
        self.assertTrue(availability.lacks_connections(self.router.states, now))
        resting = head(503, is_not_run=True, rest=5.0)
        self.router.states[0].answered(resting, now)
        self.assertFalse(availability.lacks_connections(self.router.states, now))


class OtherTargetTest(ConnectionTest):
    targets = ("p1", "p2")

    # Waiting for one target while another has connections left makes answers late.
    def test_a_target_without_connections_is_passed_over(self):
        sinks = [self.router.call(number)[1] for number in range(6)]
        self.pass_time(0.2)
        self.assertTrue(all(sink.is_finished for sink in sinks))
        self.assertEqual([3, 3], [item.opened for item in self.servers.values()])

    # Targets passed over for another reason are logged as cold or resting.
    def test_it_is_not_counted_as_cold_or_resting(self):
        for number in range(4):
            self.router.call(number)
        call, _ = self.router.call(4)
        self.assertEqual(0, call.attempts[0].passed_cold)
        self.assertEqual(0, call.attempts[0].passed_resting)


class LoadBoundTest(ConnectionTest):
    """The router has a connection left only at a target over the bound on load."""

    targets = ("p1", "p2", "p3")

    def setUp(self):
        super().setUp()
        now = self.reactor.seconds()
        self.router.states[0].set_peer_requests("r9", 30, now + 9.0)
        for number in range(6):
            self.router.call(number)
        self.assertEqual(0, self.server.opened)

    # It was sent beyond the bound although other targets are far below it.
    def test_a_request_waits_for_a_target_within_the_bound(self):
        _, sink = self.router.call(6)
        self.pass_time(0.2)
        self.assertIsNone(sink.refusal)
        self.assertTrue(sink.is_finished)
        self.assertEqual(0, self.server.opened)

    # A request that finds no place in time must be told so and not be lost.
    def test_it_is_refused_as_not_run_after_its_longest_wait(self):
        for name in ("p2", "p3"):
            self.servers[name].work = 9.0
        for number in range(6, 12):
            self.router.call(number)
        self.pass_time(0.2)
        learn(self.router, CONFIRMATION, WORK)
        _, sink = self.router.call(12)
        self.pass_time(CONNECTION_CHECK_SECONDS + 2 * WORK + 0.03)
        self.assertIs(Refusal.CONNECTIONS_IN_USE, sink.refusal)
        self.assertEqual(0, self.server.opened)


class FleetTest(ConnectionTest):
    """Nine routers and targets that accept 24 connections each."""

    limit = 24
    targets = ("p1", "p2", "p3")
    routers = 9
    seconds = 4.0

    def play(self, rate):
        """Have callers send requests that may run once; return the outcomes."""
        rng = random.Random(11)
        number = 0
        for _ in range(round(self.seconds / 0.01)):
            for router in self.fleet:
                if rng.random() < rate * 0.01:
                    number += 1
                    router.call(number)
            if number % 25 == 0:
                for router in self.fleet:
                    router.client.sweep(self.reactor.seconds())
            self.pass_time(0.01)
        self.pass_time(2.0)
        outcomes = [item for router in self.fleet for item in router.outcomes.values()]
        self.assertEqual(number, len(outcomes))
        return outcomes

    def check_nothing_is_lost(self, outcomes):
        self.assertNotIn("refused: cut", outcomes)
        for server in self.servers.values():
            self.assertEqual(0, server.resets)
            self.assertEqual(len(server.served), len(set(server.served)))
            self.assertLessEqual(server.highest, self.limit)
        refused = {item for item in outcomes if item.startswith("refused")}
        self.assertLessEqual(
            refused,
            {
                "refused: connections_in_use",
                "refused: timed_out",
                "refused: timed_out_unsent",
            },
        )

    # Orders ended with 502 while queues at the targets were short.
    def test_no_request_is_lost_while_targets_have_capacity(self):
        outcomes = self.play(rate=12.0)
        self.check_nothing_is_lost(outcomes)
        self.assertEqual({"answered"}, set(outcomes))

    # With more demand than capacity, resets add losses to what is refused.
    def test_no_request_is_lost_in_an_overload(self):
        outcomes = self.play(rate=40.0)
        self.check_nothing_is_lost(outcomes)
        answered = outcomes.count("answered")
        self.assertGreater(answered, 0.7 * self.seconds * 3 * 6 / 0.09)


class CrowdedFleetTest(FleetTest):
    """Targets accept fewer connections while more requests wait than they can run."""

    limit = 48
    crowded_limit = 16

    # Each router opened its share at such a target, and what it sent there was lost.
    def test_no_request_is_lost_in_an_overload(self):
        outcomes = self.play(rate=40.0)
        # 652 of 1,468 where the limit did not fall with resets, and 193 where it rose
        # while the queue was long.
        self.assertLess(outcomes.count("refused: cut"), 0.05 * len(outcomes))
        answered = outcomes.count("answered")
        self.assertGreater(answered, 0.7 * self.seconds * 3 * 6 / 0.09)
        for server in self.servers.values():
            self.assertEqual(len(server.served), len(set(server.served)))

    # With short queues, targets accept all that the routers may open.
    def test_no_request_is_lost_while_targets_have_capacity(self):
        outcomes = self.play(rate=12.0)
        self.check_nothing_is_lost(outcomes)
        self.assertEqual({"answered"}, set(outcomes))


class ResetTest(ConnectionTest):
    """One of two targets accepts fewer connections than the router may open."""

    targets = ("p1", "p2")
    limit = 8

    def setUp(self):
        super().setUp()
        self.server.limit = 2
        for number in range(6):
            self.router.call(number)
        # The target has reset the connections in excess of two.
        self.pass_time(0.01)
        self.resets = self.server.resets

    # The next one that may run once was sent on a connection that was reset as well.
    def test_the_next_requests_go_to_another_target_or_wait(self):
        self.assertEqual(1, self.resets)
        sinks = [self.router.call(number)[1] for number in range(6, 10)]
        self.pass_time(1.0)
        self.assertTrue(all(sink.is_finished for sink in sinks))
        self.assertTrue(all(sink.refusal is None for sink in sinks))
        self.assertEqual(self.resets, self.server.resets)

    # A target that was full for a moment must get its usual share again.
    def test_the_limit_rises_again_step_by_step(self):
        self.server.limit = self.limit
        state = self.router.states[0]
        limits = []
        for _ in range(6):
            pool = self.router.client._present(state.target).pool
            limits.append(pool._limit.allowed(self.reactor.seconds()))
            self.pass_time(0.5)
        self.assertEqual([2, 3, 4, 5, 6, 6], limits)


class FleetWithoutControlTest(FleetTest):
    mode = OverloadMode.OFF

    # The same fleet shows the fault without control: the target does reset.
    def test_no_request_is_lost_while_targets_have_capacity(self):
        outcomes = self.play(rate=12.0)
        self.assertIn("refused: cut", outcomes)

    def test_no_request_is_lost_in_an_overload(self):
        outcomes = self.play(rate=40.0)
        self.assertIn("refused: cut", outcomes)
        self.assertNotIn("refused: connections_in_use", outcomes)


class WithoutControlTest(ConnectionTest):
    """Targets report no pace, or overload control is off: everything is as before."""

    limit = 40
    mode = OverloadMode.OFF

    # Deployments in service must see no other connections than before.
    def test_each_request_that_may_run_once_opens_a_connection(self):
        for number in range(20):
            self.answered(number)
        self.assertEqual(20, self.server.opened)
        self.assertEqual(16, self.router.client.connections)
        self.assertEqual(0, self.router.client.connections_closed)

    # Nothing waits for a connection.
    def test_connections_are_not_limited(self):
        self.server.slots = 60
        for number in range(38):
            self.router.call(number)
        self.assertEqual(38, self.router.client.connections)
        self.assertFalse(self.router.client.is_limited("portal"))

    # A hedge and a stream that may run once are sent as before.
    def test_no_maximum_idle_time_is_stated(self):
        for route in (CONFIRMATION, FRAGILE_STREAM, LOOKUP):
            state = self.router.states[0]
            state.set_load(CROWDED, self.reactor.seconds())
            now = self.reactor.seconds()
            self.assertEqual(0.0, self.router.tools.max_idle_seconds(route, state, now))
        harness = ForwardingHarness([target("m1")])
        harness.call(request(FRAGILE_STREAM, deadline=1012.0))
        self.assertFalse(harness.caller.last.sending.needs_new_connection)
