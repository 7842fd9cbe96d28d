"""Tests of restarts and silences of the scripted stand-in engine."""

from __future__ import annotations

import json

from testtools import TestCase
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from primrosescale.standin.scripted_engine import EngineScript
from primrosescale.standin.scripted_engine import ScriptedEngine

FIRST_START = 1_790_000_000_000


class ScriptedEngineTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.script = EngineScript(name="i-1", events=3, gap=0.1, health_path=b"/up")
        self.engine = ScriptedEngine(self.script, self.clock)

    def ask(self, path, method=b"POST"):
        """Send a request on a connection of its own; return its transport."""
        channel = self.channel = self.engine.buildProtocol(None)
        transport = StringTransport()
        # Twisted calls it when a connection is made.
        transport.setTcpNoDelay = lambda _: None
        channel.makeConnection(transport)
        channel.dataReceived(
            b"%b %b HTTP/1.1\r\nHost: e\r\nPrimrosescale-Request-Id: r1\r\n"
            b"Content-Length: 0\r\n\r\n" % (method, path)
        )
        self.addCleanup(channel.setTimeout, None)
        return transport

    def description(self, path):
        return json.loads(self.ask(path, b"GET").value().partition(b"\r\n\r\n")[2])

    def test_it_reports_its_start_in_each_report_of_itself(self):
        self.engine.restart(FIRST_START)
        for path in (b"/api/report", b"/api/kv-list", b"/up"):
            self.assertEqual(FIRST_START, self.description(path)["born"], path)

    def test_without_a_start_it_reports_none(self):
        for path in (b"/api/report", b"/api/kv-list", b"/up"):
            self.assertNotIn("born", self.description(path), path)

    def test_a_new_incarnation_has_forgotten_all(self):
        self.engine.restart(FIRST_START)
        incarnation = self.script.current_incarnation
        incarnation.sequence = 5
        incarnation.held.append(("aa", 200))
        self.ask(b"/story/x")
        self.assertEqual(1, self.script.running)
        self.engine.restart(FIRST_START + 1)
        report = self.description(b"/api/report")
        self.assertEqual(
            [0, 0, 0], [report[n] for n in ("sequence", "running", "kv_used")]
        )
        self.assertEqual([], self.description(b"/api/kv-list")["held"])
        self.assertEqual("i-1", self.script.name)

    def test_what_was_running_is_gone(self):
        transport = self.ask(b"/story/x")
        self.clock.pump([0.1, 0.1])
        self.assertIn(b"id: 2\n", transport.value())
        self.engine.restart(FIRST_START)
        self.assertTrue(transport.disconnecting or transport.aborting)
        self.assertEqual(0, self.script.running)

    def test_the_end_of_the_former_incarnation_takes_nothing_off_the_new_one(self):
        self.ask(b"/story/x")
        former = self.channel
        self.engine.restart(FIRST_START)
        self.ask(b"/story/y")
        former.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(1, self.script.running)

    def test_a_silent_engine_sends_nothing_to_anyone_and_goes_on(self):
        transport = self.ask(b"/story/x")
        self.clock.pump([0.1])
        self.engine.fall_silent(0.8)
        before = transport.value()
        late = self.ask(b"/story/y")
        self.clock.pump([0.1] * 7)
        self.assertEqual((before, b""), (transport.value(), late.value()))
        self.assertEqual([True, True], [a.has_run for a in self.script.arrivals])
        self.clock.pump([0.1] * 8)
        for stream in (transport, late):
            self.assertIn(b"id: 3\n", stream.value())
            self.assertTrue(stream.value().endswith(b"0\r\n\r\n"))

    def limit(self, slots, max_waiting):
        self.script.events = 0
        self.script.delay = 1.0
        self.script.slots = slots
        self.script.max_waiting = max_waiting

    # Guards against a stand-in that never has a queue, whatever the demand.
    def test_requests_over_its_slots_wait_in_order_and_more_are_declined(self):
        self.limit(slots=1, max_waiting=1)
        first, second, third = (self.ask(b"/plain/x") for _ in range(3))
        self.assertIn(b" 503 ", third.value())
        self.assertIn(b"Primrosescale-Not-Executed", third.value())
        self.assertEqual([True, True, False], [a.has_run for a in self.script.arrivals])
        slots = self.script.current_incarnation.slots
        self.assertEqual((1, 1), (slots.running, slots.waiting))
        self.clock.advance(1.0)
        self.assertIn(b"done", first.value())
        self.assertEqual(b"", second.value())
        self.clock.advance(1.0)
        self.assertIn(b"done", second.value())
        self.assertEqual((0, 0), (slots.running, slots.waiting))

    # Guards against slots that stay taken by callers who have left.
    def test_a_caller_that_leaves_frees_its_place(self):
        self.limit(slots=1, max_waiting=2)
        channels = []
        for _ in range(3):
            transport = self.ask(b"/plain/x")
            channels.append(self.channel)
        for channel in (channels[1], channels[0]):
            channel.connectionLost(Failure(ConnectionLost()))
        self.clock.advance(1.0)
        self.assertIn(b"done", transport.value())

    # Guards against a slow period that does not lengthen the work.
    def test_work_takes_longer_at_a_slow_pace(self):
        self.limit(slots=0, max_waiting=0)
        self.script.pace = lambda: 2.5
        transport = self.ask(b"/plain/x")
        self.clock.advance(2.4)
        self.assertEqual(b"", transport.value())
        self.clock.advance(0.1)
        self.assertIn(b"done", transport.value())
