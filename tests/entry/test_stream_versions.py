"""Streams among targets of two software versions.

Guards against a stream whose events come from two versions: a router that resumed an
interrupted stream chose among all targets of the service, whatever their version, both
within one answer and when the caller took the stream up again at another router.
"""

from __future__ import annotations

import math
from dataclasses import replace

from testtools import TestCase
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.task import deferLater

from entry.fakes import FRAGILE_STREAM
from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import ForwardingHarness
from entry.fakes import event
from entry.fakes import head
from entry.fakes import prompt
from entry.fakes import request
from entry.fakes import target
from primrosescale.platform import records
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.stream.stream_origin import StreamOrigin
from primrosescale.request.stream.stream_origin import stream_key
from primrosescale.request.stream.version_doubts import VersionDoubts
from primrosescale.standin.scripted_engine import EngineScript
from support.entry_site import Caller
from support.entry_site import ask
from support.entry_site import configuration
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

    # A router that the store turned away continued streams at targets that had come
    # back with other software.
    def test_a_stream_does_not_continue_where_the_version_is_in_doubt(self):
        harness = self.harness({f"m{n}": "v1" for n in range(1, 6)})
        lost_for = [0.0]
        doubts = VersionDoubts(lambda _: lost_for[0])
        harness.tools.version_doubts = doubts
        run, sink = self.begin(harness)
        self.pass_first_event(run)
        lost_for[0] = 2.0
        sound = next(name for name in ("m4", "m5") if name != run.name)
        for state in harness.states:
            if state.target.name != sound:
                doubts.connection_lost(state.incarnation, harness.clock.seconds())
        run.observer.response_lost("reset")
        second = harness.caller.last
        self.assertEqual(sound, second.name)
        second.observer.response_head(head())
        second.observer.response_lost("reset")
        doubts.connection_lost(second.sending.target.incarnation, START)
        self.assertTrue(sink.is_broken)

    def test_a_stream_that_begins_where_the_version_is_in_doubt_has_none(self):
        harness = self.harness()
        doubts = harness.tools.version_doubts = VersionDoubts(lambda _: 2.0)
        began = []
        harness.tools.stream_began = lambda call, _: began.append(call.stream_origin)
        for state in harness.states:
            doubts.connection_lost(state.incarnation, harness.clock.seconds())
        run, _ = self.begin(harness)
        self.pass_first_event(run)
        self.assertEqual([None], [origin.software_version for origin in began])

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


class TakenUpStreamTest(TestCase):
    """A request that takes a stream up whose version is known."""

    def resume(self, versions, version, route=STREAM):
        harness = ForwardingHarness(
            [target(name, software_version=item) for name, item in versions.items()]
        )
        now = harness.clock.seconds()
        origin = StreamOrigin("model", version)
        values = {"last_event": 2, "deadline": now + 9.0, "stream_origin": origin}
        call, sink = harness.call(request(route, now=now, **values))
        return harness, call, sink

    # Guards against leaving the version when one of its two targets fails.
    def test_with_two_targets_of_its_version_it_may_change_between_them(self):
        harness, _, sink = self.resume(VERSIONS, "v2")
        first = harness.caller.last
        first.observer.response_lost("reset")
        second = harness.caller.last
        self.assertEqual({"m3", "m4"}, {first.name, second.name})
        self.assertEqual(2, second.sending.resume_after)
        second.observer.response_lost("reset")
        self.assertEqual(2, len(harness.caller.runs))
        self.assertEqual(Refusal.CUT, sink.refusal)

    def test_with_one_target_of_its_version_it_goes_there(self):
        harness, _, sink = self.resume({"m1": "v1", "m2": "v2", "m3": "v1"}, "v2")
        self.assertEqual(["m2"], [run.name for run in harness.caller.runs])
        harness.caller.last.observer.response_lost("reset")
        self.assertEqual(["m2"], [run.name for run in harness.caller.runs])
        self.assertEqual(Refusal.CUT, sink.refusal)

    # Guards against holding a request that no target can serve.
    def test_without_a_target_of_its_version_it_is_refused_at_once(self):
        for versions in ({"m1": "v1"}, {"m1": "v1", "m2": ""}):
            harness, call, sink = self.resume(versions, "v2")
            self.assertEqual([], harness.caller.runs)
            self.assertTrue(call.is_over)
            self.assertEqual(Refusal.VERSION_GONE, sink.refusal)
            self.assertTrue(sink.refusal.is_not_run)

    # Guards against a stream of a route that does not allow the router to resume it.
    def test_a_caller_may_take_up_what_the_router_may_not(self):
        versions = {"m1": "v1", "m2": "v2", "m3": "v1"}
        harness, _, _ = self.resume(versions, "v2", route=FRAGILE_STREAM)
        self.assertEqual(["m2"], [run.name for run in harness.caller.runs])

    def test_targets_without_a_version_continue_streams_among_themselves(self):
        harness, _, _ = self.resume({"m1": "", "m2": ""}, "")
        harness.caller.last.observer.response_lost("reset")
        self.assertEqual({"m1", "m2"}, {run.name for run in harness.caller.runs})


class ReplacedTargetTest(TestCase):
    """A target that restarts at its address with another software version."""

    def harness(self):
        self.began = []
        harness = ForwardingHarness(
            [
                target("m1", software_version="v1", started_at=1),
                target("m2", software_version="v1"),
                target("m3", software_version="v2"),
            ]
        )
        harness.tools.stream_began = lambda item, _: self.began.append(
            item.stream_origin
        )
        return harness

    def begin(self, harness):
        """Begin a stream at the target that will be replaced; return call and run."""
        others = [harness.state("m2"), harness.state("m3")]
        for state in others:
            state.update_entry(replace(state.target, is_draining=True))
        now = harness.clock.seconds()
        call, sink = harness.call(request(STREAM, now=now, deadline=now + 9.0))
        for state in others:
            state.update_entry(replace(state.target, is_draining=False))
        run = harness.caller.last
        self.assertEqual("m1", run.name)
        return call, run, sink

    def replaced(self, harness, call, version):
        former = harness.state("m1").incarnation
        call.target_replaced(former, version, harness.clock.seconds())

    # Guards against continuing at v1 a stream that may have come from v2 already.
    def test_a_stream_that_may_have_come_from_either_version_does_not_continue(self):
        harness = self.harness()
        call, run, sink = self.begin(harness)
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        self.replaced(harness, call, "v2")
        run.observer.response_data(event(2))
        self.assertIn(event(2), sink.body)
        run.observer.response_lost("reset")
        self.assertTrue(sink.is_broken)
        versions = [origin.software_version for origin in self.began]
        self.assertEqual(["v1", None], versions)

    # Guards against recording the former version for the first event of the next.
    def test_a_stream_that_begins_later_has_no_known_version(self):
        harness = self.harness()
        call, run, _ = self.begin(harness)
        self.replaced(harness, call, "v2")
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        self.assertEqual([StreamOrigin("model", None)], self.began)

    def continue_at(self, harness, run, name):
        """Interrupt a stream after an event; return the run that continues it."""
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        run.observer.response_lost("reset")
        self.assertEqual(name, harness.caller.last.name)
        return harness.caller.last

    # Guards against appending events of the next version to those of the former.
    def test_a_stream_that_was_continued_at_the_replaced_target_ends(self):
        harness = self.harness()
        call, run, sink = self.begin(harness)
        second = self.continue_at(harness, run, "m2")
        second.observer.response_head(head())
        call.target_replaced(second.sending.target.incarnation, "v2", START)
        self.assertTrue(second.is_cancelled)
        self.assertTrue(sink.is_broken)
        self.assertIsNone(self.began[-1].software_version)

    # Guards against giving up a stream of which the replaced target sent nothing.
    def test_a_stream_that_the_replaced_target_has_not_answered_keeps_its_version(self):
        harness = self.harness()
        call, run, _ = self.begin(harness)
        second = self.continue_at(harness, run, "m2")
        call.target_replaced(second.sending.target.incarnation, "v2", START)
        self.assertTrue(second.is_cancelled)
        self.assertEqual(["v1"], [origin.software_version for origin in self.began])

    # Guards against a hedge that answers from the next version.
    def test_a_hedge_at_the_replaced_target_is_closed(self):
        harness = self.harness()
        call, run, _ = self.begin(harness)
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        harness.pass_time(0.6)
        hedge = harness.caller.last
        self.assertEqual("m2", hedge.name)
        call.target_replaced(hedge.sending.target.incarnation, "v1", START)
        self.assertFalse(hedge.is_cancelled)
        call.target_replaced(hedge.sending.target.incarnation, "v2", START)
        self.assertTrue(hedge.is_cancelled)
        self.assertFalse(run.is_cancelled)

    # Guards against giving up plain answers, which come whole from one target.
    def test_a_plain_request_at_the_replaced_target_goes_on(self):
        harness = ForwardingHarness([target("p1", "portal", software_version="v1")])
        call, sink = harness.call(request(last_event=2))
        run = harness.caller.last
        call.target_replaced(run.sending.target.incarnation, "v2", START)
        run.answer(200, b"whole")
        self.assertEqual(b"whole", sink.body)

    def test_a_restart_with_the_same_version_changes_nothing(self):
        harness = self.harness()
        call, run, _ = self.begin(harness)
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        self.replaced(harness, call, "v1")
        run.observer.response_lost("reset")
        self.assertEqual("m2", harness.caller.last.name)

    # Guards against taking the next process for the former one because its entry
    # states no start.
    def test_an_entry_with_another_version_is_another_incarnation(self):
        starts = []
        targets = TargetList(2.0, starts.append)
        targets.put(target("m1", software_version="v1"), 1.0)
        first = targets.state("m1")
        self.assertFalse(targets.put(target("m1", software_version="v1"), 2.0))
        self.assertIs(first, targets.state("m1"))
        # An entry of another writer that lacks the version says nothing of it.
        targets.put(target("m1"), 3.0)
        self.assertIs(first, targets.state("m1"))
        targets.put(target("m1", software_version="v1"), 4.0)
        self.assertIs(first, targets.state("m1"))
        targets.put(target("m1", software_version="v2"), 5.0)
        self.assertIsNot(first, targets.state("m1"))
        self.assertEqual(["v1", "v2"], [item.software_version for item in starts])


class ResumedStreamTest(LoopbackRouterTest):
    """A caller that takes its stream up again, at the same or at another router."""

    @inlineCallbacks
    def start(self, routers, versions=VERSIONS, **settings):
        self.scripts = {name: EngineScript(name=name, events=9) for name in versions}
        for name, version in versions.items():
            script = self.scripts[name]
            script.gap = 0.05
            self.start_target(script, service="model", version=version)
        self.versions = versions
        yield self.start_routers(routers, **settings)

    @inlineCallbacks
    def start_routers(self, count, **settings):
        self.routers = [
            self.start_router(f"r{n}", **settings) for n in range(1, count + 1)
        ]
        yield self.until(lambda: self.all_known(count, len(self.versions)))

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
        caller = yield self.begin(router, request_id)
        caller.transport.abortConnection()

    @inlineCallbacks
    def begin(self, router, request_id):
        """Begin a stream; return the caller's connection after its second event."""
        bound = router.bound[router._settings.callers]
        client = TCP4ClientEndpoint(reactor, bound.address, bound.port)
        caller = yield connectProtocol(client, Caller())
        caller.transport.write(self.story(request_id))
        yield caller.until(lambda c: c.is_closed or b"id: 2\n" in c.data)
        self.assertFalse(caller.is_closed, caller.data)
        return caller

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

    # Guards against losing the versions of all streams when all routers are killed.
    @inlineCallbacks
    def test_a_stream_resumes_at_its_version_after_all_routers_were_killed(self):
        yield self.start(2, archive=records.ARCHIVES)
        for number in range(PROMPTS):
            yield self.interrupt(self.routers[number % 2], b"first%d" % number)
        # Until the next write, and a little more.
        yield deferLater(reactor, 1.0, lambda: None)
        for router in self.routers:
            router._store_state.stop()
            router._close()
        yield self.start_routers(2, archive=records.ARCHIVES)
        yield self.until(
            lambda: all(r._stream_origins.records >= PROMPTS for r in self.routers)
        )
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

    # Guards against resuming at the former version what the next one may have sent.
    @inlineCallbacks
    def test_a_stream_whose_target_changed_its_version_meanwhile_is_refused(self):
        yield self.start(2, {"m1": "v1"})
        caller = yield self.begin(self.routers[0], b"first")
        entry = self.store.content("servers", "m1")
        self.store.write("servers", "m1", {**entry, "version": "v2"})
        self.start_target(EngineScript(name="m2"), service="model", version="v1")
        for router in self.routers:
            yield self.until(lambda router=router: self.knows(router, 2))
        caller.transport.abortConnection()
        for router in self.routers:
            status = yield self.resume(router, b"next", b"first")
            self.assertIn(b" 503 ", status)

    # Guards against a resumed stream that is sent to another service than its own.
    @inlineCallbacks
    def test_a_stream_whose_route_moved_to_another_service_is_refused(self):
        yield self.start(1)
        yield self.interrupt(self.routers[0], b"first")
        moved = configuration(2)
        moved["routes"][2]["service"] = "portal"
        self.store.write("config", "main", moved)
        yield self.until(lambda: self.routers[0]._version() == 2)
        status = yield self.resume(self.routers[0], b"next", b"first")
        self.assertIn(b" 503 ", status)

    # Guards against drawing a service of a split route for a resumed stream.
    @inlineCallbacks
    def test_a_stream_of_a_split_route_resumes_at_its_service(self):
        split = configuration()
        weights = [
            {"service": "model", "weight": 1},
            {"service": "portal", "weight": 9},
        ]
        split["routes"][2]["split"] = weights
        self.store.write("config", "main", split)
        yield self.start(1, VERSIONS)
        for number in range(PROMPTS):
            self.start_target(EngineScript(name=f"p{number}"), version="v1")
        router = self.routers[0]
        records = router._stream_origins._records
        origin = StreamOrigin("model", "v2")
        for number in range(PROMPTS):
            first_id, next_id = b"first%d" % number, b"next%d" % number
            key = stream_key("bakery", first_id.decode())
            records.record(key, origin, math.inf, 0.0)
            status = yield self.resume(router, next_id, first_id)
            self.assertEqual(b"HTTP/1.1 200 OK", status)
            self.assertEqual("v2", self.version_of(next_id))

    # Guards against guessing the service of a stream of a split route.
    @inlineCallbacks
    def test_a_stream_of_a_split_route_without_a_record_is_refused(self):
        split = configuration()
        weights = [
            {"service": "model", "weight": 1},
            {"service": "portal", "weight": 9},
        ]
        split["routes"][2]["split"] = weights
        self.store.write("config", "main", split)
        for service in ("model", "portal"):
            self.start_target(EngineScript(name=service), service=service, version="v1")
        router = self.start_router("r1", is_first_start=True)
        yield self.until(lambda: self.knows(router, 2))
        status = yield self.resume(router, b"next", b"unheard-of")
        self.assertIn(b" 503 ", status)

    # Guards against refusing streams where the service has had one version only.
    @inlineCallbacks
    def test_a_stream_without_a_record_goes_on_at_the_only_version(self):
        self.start_target(EngineScript(events=4), service="model", version="v1")
        router = self.start_router("r1", is_first_start=True)
        yield self.until(lambda: self.knows(router, 1))
        yield self.until(lambda: router._stream_origins._history._last_listed)
        for first_id in (b"unheard-of", b""):
            status = yield self.resume(router, b"next", first_id)
            self.assertEqual(b"HTTP/1.1 200 OK", status)
