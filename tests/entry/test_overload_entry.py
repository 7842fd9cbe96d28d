"""An overloaded service seen by callers of an entry router, over loopback sockets."""

from __future__ import annotations

import random

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.task import deferLater

from primrosescale.process.entry.overload_report import OverloadReport
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.capacity.request_admission import RequestAdmission
from primrosescale.standin.scripted_engine import EngineScript
from support.entry_site import Caller
from support.entry_site import text
from support.overload import FakeCapacity
from support.router_site import LoopbackRouterTest

STREAM_GAP_SECONDS = 0.05


class OverloadEntryTest(LoopbackRouterTest):
    @inlineCallbacks
    def start(self, **fields):
        self.script = EngineScript(name="m1", events=15, gap=STREAM_GAP_SECONDS)
        self.start_target(self.script, service="model")
        self.start_target(EngineScript(name="p1"))
        self.router = self.start_router("r1", **fields)
        yield self.until(lambda: self.knows(self.router, 2))

    @inlineCallbacks
    def start_overloaded(self, requests):
        """Start a router that may have some requests at the targets."""
        yield self.start()
        parts = self.router._dependencies
        report = OverloadReport(parts.log, parts.metrics.overload)
        self.router._overload._admission = RequestAdmission(
            FakeCapacity(requests, answer_time=None),
            self.router._overload.usual_times,
            reactor,
            random.Random(3),
            report,
        )

    @inlineCallbacks
    def connect(self):
        endpoint = self.router.bound[self.router._settings.callers]
        client = TCP4ClientEndpoint(reactor, endpoint.address, endpoint.port)
        caller = yield connectProtocol(client, Caller())
        return caller

    @inlineCallbacks
    def stream(self):
        """Occupy a place with a stream that takes 0.75 s."""
        caller = yield self.connect()
        caller.transport.write(text(b"/story/x", method=b"POST", body=b"b", rid=b"s"))
        yield caller.until(lambda c: b"id: 1" in c.data)
        return caller

    @inlineCallbacks
    def wait(self, rid=b"w"):
        """Send a request that has to wait."""
        caller = yield self.connect()
        caller.transport.write(text(b"/draft/x", method=b"POST", body=b"b", rid=rid))
        yield self.until(
            lambda: self.router._overload.waiting_by_service() == {"model": 1}
        )
        return caller

    def line(self, request):
        lines = [found for name, found in self.events if name == "REQUEST_ENDED"]
        return next(found for found in lines if found["request"] == request)

    def metric(self, name):
        self.router._refresh_gauges()
        metrics = self.router._metrics.text().decode().splitlines()
        prefix = f"primrosescale_overload_{name}"
        return {
            line.split()[0]: line.split()[1]
            for line in metrics
            if line.startswith(prefix)
        }

    # A request was held, or sent to a full target, in place of a truthful refusal.
    @inlineCallbacks
    def test_a_request_that_waited_too_long_is_refused_with_the_time_to_return(self):
        yield self.start_overloaded(requests=0)
        answer = yield self.ask(self.router)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        self.assertIn(b"Retry-After: 0.", answer)
        self.assertEqual([], self.script.arrivals)
        line = self.line("r1")
        self.assertEqual("refused: overloaded", line["outcome"])
        self.assertEqual([], line["attempts"])
        self.assertTrue(line["waited"] > 0)
        [began] = [found for name, found in self.events if name == "OVERLOAD_BEGAN"]
        self.assertEqual(
            ("portal", 1, 0, 50.0, 70.0),
            tuple(
                began[key]
                for key in ("service", "waiting", "allowance", "capacity", "demand")
            ),
        )
        refusals = self.metric("refusals_total")
        self.assertEqual(["1.0"], list(refusals.values()))
        self.assertIn('reason="waited"', next(iter(refusals)))
        yield self.until(lambda: "OVERLOAD_ENDED" in [name for name, _ in self.events])
        [over] = [found for name, found in self.events if name == "OVERLOAD_ENDED"]
        self.assertEqual({"bakery": 1}, over["most_refused"])
        self.assertEqual((1, 1), (over["refused"], over["delayed"]))

    # The place of a request that had ended was not given to the one that waited.
    @inlineCallbacks
    def test_a_waiting_request_is_sent_when_another_ends(self):
        yield self.start_overloaded(requests=1)
        running = yield self.stream()
        waiting = yield self.wait()
        self.assertEqual(1, len(self.script.arrivals))
        running.transport.loseConnection()
        yield waiting.answered(b"0\r\n\r\n")
        self.assertTrue(waiting.data.startswith(b"HTTP/1.1 200"), waiting.data)
        self.assertTrue(self.line("w")["waited"] > 0)
        self.assertEqual(0.0, self.line("s")["waited"])

    # A request whose caller had left was sent all the same.
    @inlineCallbacks
    def test_a_caller_that_leaves_while_waiting_frees_its_place(self):
        yield self.start_overloaded(requests=1)
        running = yield self.stream()
        waiting = yield self.wait()
        waiting.transport.abortConnection()
        yield self.until(lambda: not self.router._overload.waiting_by_service())
        yield running.answered(b"0\r\n\r\n")
        yield deferLater(reactor, 0.05, lambda: None)
        self.assertEqual(1, len(self.script.arrivals))
        self.assertEqual("caller_gone", self.line("w")["outcome"])

    # Requests that waited were held by the stopping router until the stop cut them.
    @inlineCallbacks
    def test_a_planned_stop_refuses_what_waits_and_finishes_what_runs(self):
        yield self.start_overloaded(requests=1)
        running = yield self.stream()
        waiting = yield self.wait()
        stopped = self.router.stop()
        yield waiting.answered()
        self.assertTrue(waiting.data.startswith(b"HTTP/1.1 503"), waiting.data)
        yield running.answered(b"0\r\n\r\n")
        self.assertIn(b"id: 15", running.data)
        yield stopped
        self.assertEqual(1, len(self.script.arrivals))
        self.assertNotIn("STOP_CUT", [name for name, _ in self.events])

    # A router without overload control wrote other lines than before.
    @inlineCallbacks
    def test_without_overload_control_lines_and_metrics_are_as_before(self):
        yield self.start(overload=OverloadSettings(OverloadMode.OFF))
        for _ in range(2):
            yield self.ask(self.router)
        self.assertNotIn("waited", self.line("r1"))
        self.assertNotIn("waited", self.line("r2"))
        self.assertEqual({}, self.metric("waiting{"))
        self.assertEqual({}, self.router._overload.waiting_by_service())
