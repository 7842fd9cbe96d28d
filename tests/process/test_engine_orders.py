"""Orders bring an engine to the desired state; late orders have no lasting effect."""

from __future__ import annotations

import json

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from primrosescale.process.daemons.engine_orders import DesiredEngineState
from primrosescale.process.daemons.engine_orders import EngineOrders
from primrosescale.process.daemons.engine_orders import OrderObserver
from primrosescale.process.daemons.engine_orders import OrderSettings
from primrosescale.process.exceptions import TargetError
from primrosescale.standin.memory_platform import MemoryPlatform
from primrosescale.standin.object_store import ObjectStore
from primrosescale.standin.object_store import StoreSettings


def desired(version="1", domains=()):
    return DesiredEngineState("m", version, (), "mixed", domains, 0.2)


class Engine:
    """An engine with or without checks of fencing numbers."""

    def __init__(self, checks):
        self.checks = checks
        self.fence = 0
        self.now = {"model": "", "version": "", "adapters": [], "role": "mixed"}
        self.lose_answer = False
        self.held = None
        self.orders = 0

    def state(self):
        return succeed(json.dumps(self.now).encode())

    def order(self, body):
        if self.held is not None:
            waiting = Deferred()
            self.held.append((waiting, body))
            return waiting
        return self.apply(body)

    def apply(self, body):
        fields = json.loads(body)
        fence = fields.pop("fence")
        if self.checks and fence < self.fence:
            return fail(TargetError("old fence"))
        self.fence = max(self.fence, fence)
        self.now.update(fields)
        self.orders += 1
        if self.lose_answer:
            self.lose_answer = False
            return fail(TargetError("answer lost"))
        return succeed(b"{}")


class Observer(OrderObserver):
    def __init__(self):
        self.failed = []
        self.held = []

    def order_sent(self, desired, fence):
        pass

    def order_failed(self, detail):
        self.failed.append(detail)

    def roll_out_held(self, desired, domain):
        self.held.append(domain)


class EngineOrdersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = ObjectStore(StoreSettings(), 0.0)
        self.platform = MemoryPlatform(self.store, self.clock)
        self.errors = 0.0

    def agent(self, engine, incarnation=1, name="a", domain="d1"):
        settings = OrderSettings(name, "s", domain, incarnation, engine.checks)
        observer = Observer()
        orders = EngineOrders(
            settings,
            engine,
            self.platform,
            observer,
            lambda: self.errors,
            self.clock.seconds,
        )
        orders.observer = observer
        return orders

    def rounds(self, orders, desired_state, count=1):
        for _ in range(count):
            orders.tick(desired_state)
            for _ in range(20):
                self.clock.advance(0.01)

    def test_an_engine_reaches_the_desired_state_and_gets_no_more_orders(self):
        engine = Engine(True)
        orders = self.agent(engine)
        self.rounds(orders, desired("2"), 5)
        self.assertEqual("2", engine.now["version"])
        self.assertEqual(1, engine.orders)

    def test_a_lost_answer_is_seen_in_the_state(self):
        engine = Engine(True)
        engine.lose_answer = True
        orders = self.agent(engine)
        self.rounds(orders, desired("2"), 3)
        self.assertEqual("2", engine.now["version"])
        self.assertEqual(1, engine.orders)

    def test_a_restarted_engine_is_ordered_again(self):
        engine = Engine(True)
        orders = self.agent(engine)
        self.rounds(orders, desired("2"), 2)
        engine.now["version"] = "factory"
        self.rounds(orders, desired("2"), 2)
        self.assertEqual("2", engine.now["version"])

    def test_an_outage_of_the_platform_delays_and_breaks_nothing(self):
        engine = Engine(True)
        orders = self.agent(engine)
        self.store.settings.is_down = True
        self.rounds(orders, desired("2"), 2)
        self.assertEqual(0, engine.orders)
        self.store.settings.is_down = False
        self.rounds(orders, desired("2"), 2)
        self.assertEqual("2", engine.now["version"])

    def test_a_successor_has_a_higher_fence_although_an_answer_was_lost(self):
        engine = Engine(True)
        first = self.agent(engine, 1)
        self.rounds(first, desired("1"), 2)
        self.store.settings.lost_answers = 1
        second = self.agent(engine, 2)
        self.rounds(second, desired("2"), 4)
        self.assertTrue(second.fence > first.fence)
        self.assertEqual("2", engine.now["version"])

    def late_order(self, checks):
        """Deliver an order of a paused agent after the order of its successor."""
        engine = Engine(checks)
        old = self.agent(engine, 1)
        engine.held = []
        self.rounds(old, desired("1"), 1)
        ((waiting, body),) = engine.held
        engine.held = None
        new = self.agent(engine, 2)
        self.rounds(new, desired("2"), 2)
        self.assertEqual("2", engine.now["version"])
        engine.apply(body).chainDeferred(waiting)
        return engine, old, new

    def test_an_engine_that_checks_fences_refuses_a_late_order(self):
        engine, old, _ = self.late_order(True)
        self.assertEqual("2", engine.now["version"])
        self.assertEqual(1, len(old.observer.failed))

    def test_a_late_order_at_an_engine_without_fence_checks_is_corrected(self):
        engine, old, new = self.late_order(False)
        self.assertEqual("1", engine.now["version"])
        self.rounds(new, desired("2"), 2)
        self.assertEqual("2", engine.now["version"])
        self.rounds(old, desired("1"), 3)
        self.assertTrue(old.is_replaced)
        self.assertEqual("2", engine.now["version"])

    def test_a_roll_out_goes_domain_by_domain_and_stops_when_errors_rise(self):
        first, second = Engine(True), Engine(True)
        one = self.agent(first, name="a", domain="d1")
        other = self.agent(second, name="b", domain="d2")
        desired_state = desired("2", ("d1", "d2"))
        self.errors = 0.5
        for _ in range(8):
            self.rounds(one, desired_state)
            self.rounds(other, desired_state)
        self.assertEqual("2", first.now["version"])
        self.assertEqual("", second.now["version"])
        self.assertIn("d1", other.observer.held)
        self.errors = 0.0
        for _ in range(8):
            self.rounds(one, desired_state)
            self.rounds(other, desired_state)
        self.assertEqual("2", second.now["version"])

    def test_a_domain_missing_from_the_order_goes_last(self):
        engine = Engine(True)
        orders = self.agent(engine, domain="d9")
        self.rounds(orders, desired("2", ("d1",)), 3)
        self.assertEqual(0, engine.orders)

    def test_slots_limit_how_many_engines_load_weights_at_once(self):
        engines = [Engine(True) for _ in range(10)]
        agents = [self.agent(e, name=f"a{n}") for n, e in enumerate(engines)]
        for engine in engines:
            engine.held = []
        for orders in agents:
            self.rounds(orders, desired("2"))
        self.assertEqual(8, sum(len(engine.held) for engine in engines))
        for engine in engines:
            held, engine.held = engine.held, None
            for waiting, body in held:
                engine.apply(body).chainDeferred(waiting)
        for _ in range(3):
            for orders in agents:
                self.rounds(orders, desired("2"))
        self.assertEqual({"2"}, {engine.now["version"] for engine in engines})

    def test_the_lease_of_a_slot_whose_holder_died_expires(self):
        engine = Engine(True)
        value = json.dumps({"agent": "dead", "until": 30.0}).encode()
        for number in range(8):
            self.store.put(f"weights/slot-{number}", value, 0, 0.0)
        orders = self.agent(engine)
        self.rounds(orders, desired("2"), 2)
        self.assertEqual(0, engine.orders)
        self.clock.advance(31.0)
        self.rounds(orders, desired("2"), 2)
        self.assertEqual(1, engine.orders)
