"""Streams among targets of two software versions.

Guards against a stream whose events come from two versions: a router that resumed an
interrupted stream chose among all targets of the service, whatever their version, both
within one answer and when the caller took the stream up again at another router.
"""

from __future__ import annotations

from testtools import TestCase
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol

from entry.fakes import STREAM
from entry.fakes import ForwardingHarness
from entry.fakes import event
from entry.fakes import head
from entry.fakes import prompt
from entry.fakes import request
from entry.fakes import target
from primrosescale.standin.scripted_engine import EngineScript
from support.entry_site import Caller
from support.entry_site import ask
from support.entry_site import text
from support.router_site import LoopbackRouterTest

VERSIONS = {"m1": "v1", "m2": "v1", "m3": "v2", "m4": "v2"}
# Prompts with homes at different targets.
PROMPTS = 12


class ContinuedStreamTest(TestCase):
    """A router that continues a stream within one answer."""

    def harness(self, versions=VERSIONS):
        return ForwardingHarness(
            [target(name, software_version=item) for name, item in versions.items()]
        )

    def begin(self, harness, number=0, **fields):
        """Send a stream of its own prompt; return its first run and its sink."""
        now = harness.clock.seconds()
        values = {"prompt": prompt((f"p{number}", 500)), "deadline": now + 9.0}
        _, sink = harness.call(request(STREAM, now=now, **{**values, **fields}))
        return harness.caller.last, sink

    def pass_first_event(self, run):
        run.observer.response_head(head())
        run.observer.response_data(event(1))

    # Guards against resuming an interrupted stream at another version.
    def test_an_interrupted_stream_continues_at_its_version(self):
        harness = self.harness()
        for number in range(PROMPTS):
            run, _ = self.begin(harness, number)
            self.pass_first_event(run)
            run.observer.response_lost("reset")
            second = harness.caller.last
            self.assertIsNot(run, second)
            self.assertEqual(1, second.sending.resume_after)
            self.assertEqual(VERSIONS[run.name], VERSIONS[second.name])
            second.observer.response_head(head())
            second.observer.response_done()

    # Guards against resuming at another version when no target of its own is left.
    def test_a_stream_without_another_target_of_its_version_ends_at_once(self):
        for number in range(PROMPTS):
            harness = self.harness({"m1": "v1", "m2": "v2", "m3": "v3"})
            run, sink = self.begin(harness, number)
            self.pass_first_event(run)
            run.observer.response_lost("reset")
            self.assertEqual([run], harness.caller.runs)
            self.assertTrue(sink.is_broken)

    # Guards against a hedge at another version beside a target that falls silent.
    def test_a_hedge_of_a_begun_stream_goes_to_its_version(self):
        for number in range(PROMPTS):
            harness = self.harness()
            run, _ = self.begin(harness, number)
            self.pass_first_event(run)
            harness.pass_time(3.0)
            hedges = harness.caller.runs[1:]
            self.assertNotEqual([], hedges)
            for hedge in hedges:
                self.assertEqual(VERSIONS[run.name], VERSIONS[hedge.name])

    # Guards against binding a stream to the version of a target that sent no event.
    def test_a_stream_without_an_event_may_go_to_any_version(self):
        harness = self.harness({"m1": "v1", "m2": "v2"})
        run, sink = self.begin(harness)
        run.observer.response_head(head())
        run.observer.response_lost("reset")
        second = harness.caller.last
        self.assertNotEqual(run.name, second.name)
        self.pass_first_event(second)
        second.observer.response_done()
        self.assertTrue(sink.is_finished)


class ResumedStreamTest(LoopbackRouterTest):
    """A caller that takes its stream up again, at the same or at another router."""

    @inlineCallbacks
    def start(self, routers, versions=VERSIONS):
        self.scripts = {name: EngineScript(name=name, events=9) for name in versions}
        for name, version in versions.items():
            script = self.scripts[name]
            script.gap = 0.05
            self.start_target(script, service="model", version=version)
        self.versions = versions
        self.routers = [self.start_router(f"r{n}") for n in range(1, routers + 1)]
        yield self.until(lambda: self.all_known(routers, len(versions)))

    def all_known(self, routers, targets):
        return all(
            self.knows(router, targets)
            and len(router._state_exchange.others) == routers - 1
            for router in self.routers
        )

    def story(self, request_id, headers=b""):
        return text(
            b"/story/x", method=b"POST", body=b"b", rid=request_id, headers=headers
        )

    @inlineCallbacks
    def interrupt(self, router, request_id):
        """Begin a stream and reset the caller's connection after its second event."""
        bound = router.bound[router._settings.callers]
        client = TCP4ClientEndpoint(reactor, bound.address, bound.port)
        caller = yield connectProtocol(client, Caller())
        caller.transport.write(self.story(request_id))
        yield caller.until(lambda c: c.is_closed or b"id: 2\n" in c.data)
        self.assertFalse(caller.is_closed, caller.data)
        caller.transport.abortConnection()

    @inlineCallbacks
    def resume(self, router, request_id, first_id):
        """Take a stream up again; return the status line of the answer."""
        headers = b"Connection: close\r\nLast-Event-Id: 2\r\nResumes: %b\r\n" % first_id
        answer = yield ask(router, self.story(request_id, headers))
        return answer.partition(b"\r\n")[0]

    def version_of(self, request_id):
        """Return the version that ran a request; None if no target got it."""
        for name, script in self.scripts.items():
            for arrival in script.arrivals:
                if arrival.headers[b"primrosescale-request-id"] == request_id:
                    return self.versions[name]
        return None

    @inlineCallbacks
    def check_resumed(self, first, second, streams=PROMPTS):
        """Interrupt streams at one router and resume them at another."""
        for number in range(streams):
            first_id, next_id = b"first%d" % number, b"next%d" % number
            yield self.interrupt(first, first_id)
            status = yield self.resume(second, next_id, first_id)
            self.assertEqual(b"HTTP/1.1 200 OK", status)
            self.assertEqual(self.version_of(first_id), self.version_of(next_id))

    # Guards against resuming at another version at the router that began the stream.
    @inlineCallbacks
    def test_a_stream_resumes_at_its_version_at_the_same_router(self):
        yield self.start(1)
        yield self.check_resumed(self.routers[0], self.routers[0])

    # Guards against resuming at another version at a router that did not begin it.
    @inlineCallbacks
    def test_a_stream_resumes_at_its_version_at_another_router(self):
        yield self.start(3)
        yield self.check_resumed(self.routers[0], self.routers[2])

    # Guards against losing the version of a stream together with the router that
    # began it.
    @inlineCallbacks
    def test_a_stream_resumes_at_its_version_after_its_router_was_killed(self):
        yield self.start(3)
        for number in range(PROMPTS):
            yield self.interrupt(self.routers[0], b"first%d" % number)
        self.routers[0]._close()
        for number in range(PROMPTS):
            next_id, first_id = b"next%d" % number, b"first%d" % number
            status = yield self.resume(self.routers[1], next_id, first_id)
            self.assertEqual(b"HTTP/1.1 200 OK", status)
            self.assertEqual(self.version_of(first_id), self.version_of(next_id))

    # Guards against guessing the version of a stream whose first attempt is not known.
    @inlineCallbacks
    def test_a_stream_with_an_unknown_first_attempt_is_refused(self):
        yield self.start(2)
        for number, first_id in enumerate(
            (b"unheard-of", b"", b"\xff\xfe", b"x" * 900)
        ):
            next_id = b"next%d" % number
            status = yield self.resume(self.routers[0], next_id, first_id)
            self.assertIn(b" 503 ", status)
            self.assertIs(None, self.version_of(next_id))
