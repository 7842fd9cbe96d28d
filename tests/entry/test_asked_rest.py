"""Targets that decline requests and request a pause with Retry-After.

Guards against requests sent to a target during its pause. When Retry-After of a 503
was not read, a declined request counted as one failure only, which the long prompts
that the target had cached outweighed: two of five targets that had requested a pause
of 3 s received three or more requests from one router in that time, and their callers
were refused.
"""

from __future__ import annotations

from testtools import TestCase
from twisted.internet import reactor
from twisted.internet.defer import gatherResults
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from entry.fakes import CONFIRMATION
from entry.fakes import FRAGILE_STREAM
from entry.fakes import LOOKUP
from entry.fakes import STREAM
from entry.fakes import ForwardingHarness
from entry.fakes import event
from entry.fakes import head
from entry.fakes import request
from entry.fakes import target
from primrosescale.standin.scripted_engine import EngineScript
from support.router_site import LoopbackRouterTest

# Seconds after the answer from which on requests in the pause are counted.
PAUSE_BEGINS_SECONDS = 0.5
REST_SECONDS = 1.5
# Requests that a target may receive in the counted part of its pause.
MAX_REQUESTS_IN_PAUSE = 2
PAUSE_SECONDS = 3.0


class RequestedPauseTest(TestCase):
    """Requests of each kind after targets have requested a pause."""

    def harness(self, route, count=3):
        service = route.services[0].service
        return ForwardingHarness(
            [target(f"m{n}", service) for n in range(1, count + 1)]
        )

    def send(self, harness, route, **fields):
        """Send one request; return the runs that it started, and the sink."""
        before = len(harness.caller.runs)
        now = harness.clock.seconds()
        _, sink = harness.call(request(route, now=now, deadline=now + 1.5, **fields))
        return harness.caller.runs[before:], sink

    def decline(self, run, rest=PAUSE_SECONDS):
        run.observer.response_head(head(503, is_not_run=True, rest=rest))

    def pause_all(self, harness, route, rest=PAUSE_SECONDS):
        """Have all targets decline requests and request a pause."""
        count = len(harness.states)
        for _ in range(count):
            before = len(harness.caller.runs)
            self.send(harness, route)
            while before < len(harness.caller.runs):
                self.decline(harness.caller.runs[before], rest)
                before += 1

    # Guards against requests to a paused target that has the prompt cached.
    def test_a_paused_target_gets_nothing_until_its_pause_is_over(self):
        for route in (LOOKUP, CONFIRMATION, STREAM, FRAGILE_STREAM):
            harness = self.harness(route)
            [run], _ = self.send(harness, route)
            self.decline(run)
            for _ in range(9):
                harness.pass_time(0.3, step=0.1)
                for sent in self.send(harness, route)[0]:
                    self.assertNotEqual(run.name, sent.name)
                    sent.answer()

    # Guards against a retry at another paused target.
    def test_a_declined_request_goes_to_one_that_is_not_paused(self):
        harness = self.harness(LOOKUP)
        [first], _ = self.send(harness, LOOKUP)
        self.decline(first)
        second = harness.caller.last
        self.decline(second)
        for _ in range(5):
            [sent], _ = self.send(harness, LOOKUP)
            self.assertNotIn(sent.name, {first.name, second.name})

    # Guards against a stream that is resumed at a paused target.
    def test_a_cut_stream_resumes_at_one_that_is_not_paused(self):
        harness = self.harness(STREAM)
        [first], _ = self.send(harness, STREAM)
        self.decline(first)
        [run], _ = self.send(harness, STREAM)
        run.observer.response_head(head())
        run.observer.response_data(event(1))
        run.observer.response_lost("reset")
        self.assertNotIn(harness.caller.last.name, {first.name, run.name})

    # Guards against delaying or sending requests while all targets are paused.
    def test_a_request_is_refused_at_once_while_all_are_paused(self):
        for route in (LOOKUP, CONFIRMATION, STREAM, FRAGILE_STREAM):
            harness = self.harness(route)
            self.pause_all(harness, route)
            harness.pass_time(1.0, step=0.1)
            delays = set()
            for _ in range(10):
                sent, sink = self.send(harness, route)
                self.assertEqual([], sent)
                self.assertEqual(503, sink.refusal.status)
                delays.add(sink.retry_after)
            self.assertTrue(min(delays) >= PAUSE_SECONDS - 1.0, delays)
            self.assertTrue(max(delays) <= PAUSE_SECONDS, delays)
            self.assertTrue(len(delays) > 1, "all callers would return together")

    # Guards against requests that are refused beyond the end of the pause.
    def test_a_request_is_served_once_the_pause_is_over(self):
        harness = self.harness(LOOKUP)
        self.pause_all(harness, LOOKUP)
        harness.pass_time(PAUSE_SECONDS, step=0.1)
        sent, sink = self.send(harness, LOOKUP)
        self.assertEqual(1, len(sent))
        sent[0].answer()
        self.assertTrue(sink.is_finished)

    # Guards against a burst of all refused requests when the pause of a target ends.
    def test_after_a_pause_requests_increase_with_answers(self):
        harness = self.harness(LOOKUP, count=1)
        self.pause_all(harness, LOOKUP)
        harness.pass_time(PAUSE_SECONDS + 0.1, step=0.1)
        first = [run for _ in range(8) for run in self.send(harness, LOOKUP)[0]]
        self.assertTrue(1 <= len(first) <= 2, len(first))
        for run in first:
            run.answer()
        for _ in range(6):
            for run in [run for _ in range(8) for run in self.send(harness, LOOKUP)[0]]:
                run.answer()
        sent = [run for _ in range(8) for run in self.send(harness, LOOKUP)[0]]
        self.assertEqual(8, len(sent))

    # Guards against a pause being shortened by a later, shorter one.
    def test_the_latest_end_that_was_asked_for_counts(self):
        harness = self.harness(LOOKUP, count=1)
        runs = [self.send(harness, LOOKUP)[0][0] for _ in range(2)]
        self.decline(runs[0], rest=3.0)
        self.decline(runs[1], rest=0.5)
        harness.pass_time(2.0, step=0.1)
        self.assertEqual([], self.send(harness, LOOKUP)[0])

    # Guards against applying a pause to the next incarnation of the target.
    def test_it_holds_for_that_incarnation_alone(self):
        harness = self.harness(LOOKUP, count=1)
        self.pause_all(harness, LOOKUP)
        self.assertEqual([], self.send(harness, LOOKUP)[0])
        harness.restart("m1", 1_790_000_000_000)
        self.assertEqual(1, len(self.send(harness, LOOKUP)[0]))

    def test_a_pause_that_cannot_be_parsed_is_recorded_with_its_attempt(self):
        harness = self.harness(LOOKUP)
        call, _ = harness.call(request(LOOKUP))
        run = harness.caller.last
        run.observer.response_head(head(503, is_not_run=True, is_rest_odd=True))
        self.assertEqual([True, False], [a.is_rest_odd for a in call.attempts])


class PausedFleetTest(LoopbackRouterTest):
    """Routers, a store and targets over sockets, under continuous requests."""

    def setUp(self):
        super().setUp()
        self.statuses = []
        self.scripts = {}
        for number in range(3):
            script = EngineScript(name=f"i-{number}", rest=REST_SECONDS)
            self.start_target(script)
            self.scripts[script.name] = script
        # Routers that start again save up retries first, and few requests come here.
        self.routers = [
            self.start_router(f"r{n}", is_first_start=True) for n in range(2)
        ]

    @inlineCallbacks
    def callers(self, router, seconds):
        until = reactor.seconds() + seconds
        while reactor.seconds() < until:
            answer = yield self.ask(router)
            self.statuses.append((reactor.seconds(), answer[9:12]))
            yield deferLater(reactor, 0.02, lambda: None)

    def ask_all(self, seconds):
        return gatherResults(
            [self.callers(router, seconds) for router in self.routers for _ in "abc"]
        )

    @inlineCallbacks
    def watch(self, resting):
        """Ask while targets decline all; return when requests came to each of them."""
        yield self.until(lambda: all(self.knows(router, 3) for router in self.routers))
        yield self.ask_all(0.3)
        arrived = {name: [] for name in resting}
        for name in resting:
            script = self.scripts[name]
            script.is_resting = True
            script.on_arrival = lambda _, times=arrived[name]: times.append(
                reactor.seconds()
            )
        self.statuses.clear()
        yield self.ask_all(0.2 + PAUSE_BEGINS_SECONDS)
        yield self.ask_all(0.5)
        return list(arrived.values())

    def assert_paused(self, arrived):
        """Check how many requests came during each pause that a target requested.

        Both routers count together, although each has a pause of its own. Requests
        that can still be answered after a pause wait for its end.
        """
        for times in arrived:
            self.assertNotEqual([], times)
            for declined_at in times:
                begins = declined_at + PAUSE_BEGINS_SECONDS
                ends = declined_at + REST_SECONDS
                during = [at for at in times if begins < at < ends]
                self.assertTrue(len(during) <= MAX_REQUESTS_IN_PAUSE, times)

    # Guards against requests during a pause while other targets have capacity.
    @inlineCallbacks
    def test_one_of_three_is_paused(self):
        arrived = yield self.watch(["i-0"])
        self.assert_paused(arrived)
        served = [status for _, status in self.statuses if status == b"200"]
        self.assertEqual(len(self.statuses), len(served))

    # Guards against requests during a pause when no other target is available.
    @inlineCallbacks
    def test_all_are_paused_and_are_served_again(self):
        arrived = yield self.watch(list(self.scripts))
        self.assert_paused(arrived)
        for script in self.scripts.values():
            script.is_resting = False
        yield self.ask_all(1.5)
        self.statuses.clear()
        yield self.ask_all(0.3)
        self.assertEqual({b"200"}, {status for _, status in self.statuses})
