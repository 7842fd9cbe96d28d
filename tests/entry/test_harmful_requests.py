"""A request that ends each target that begins to run it, over loopback sockets.

Guards against a crash loop: a caller retries one request with new ids through four
routers, each target that runs it ends, and each end aborts the requests of a dozen
other callers. The platform starts a new target some seconds later. In one incident, 25
engines of a service of five ended within 80 s.

It occurs if routers record the failures of targets but not the request that was running
at the time, or do not share such records. Requests with equal content have the same
fingerprint, which event 202 of the log contains.
"""

from __future__ import annotations

from testtools.matchers import LessThan
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from primrosescale.process.entry.entry_router import EntryRouter
from primrosescale.standin.object_platform_store import ObjectPlatformStore
from primrosescale.standin.scripted_engine import EngineScript
from primrosescale.standin.scripted_engine import ScriptedEngine
from support.entry_site import LOOPBACK
from support.entry_site import ask
from support.entry_site import configuration
from support.entry_site import router_dependencies
from support.entry_site import router_settings
from support.entry_site import router_watches
from support.entry_site import target_entry
from support.entry_site import text
from support.live import DeploymentRunTest
from support.live import LiveTest

ROUTERS = 4
TARGETS = 5
HARMFUL = b"ends what runs it"
# Time from the arrival of the request to the end of the target, in the middle of its
# answer.
WORK_SECONDS = 0.05
ANSWER_SECONDS = 0.2
EVENTS = 4
# Time until a replacement starts, and until the entry of the ended target is removed.
START_SECONDS = 0.3
ENTRY_REMOVAL_SECONDS = 1.5
# Targets that may end before the request must be held back, the seconds that routers
# have to exchange their reports, and how often it may reach a target after that.
MAX_ENDS_BEFORE_HOLD = 3
PROPAGATION_SECONDS = 3.0
MAX_ARRIVALS_AFTERWARDS = 3


class WorkingTarget:
    """A listening target and its successive processes."""

    def __init__(self, test, service):
        self.service = service
        self.incarnation = 0
        self.script = EngineScript(name=test.next_name(), delay=ANSWER_SECONDS)
        if service == "model":
            self.script.events = EVENTS
            self.script.gap = ANSWER_SECONDS / EVENTS
        self.script.on_arrival = lambda arrival: test.arrived(self, arrival)
        self.engine = ScriptedEngine(self.script)
        self.port = reactor.listenTCP(0, self.engine, interface=LOOPBACK)
        self.number = self.port.getHost().port

    def entry(self, **fields):
        return target_entry(self.service, f"{LOOPBACK}:{self.number}", **fields)


class HarmfulRequestTest(LiveTest):
    run_tests_with = DeploymentRunTest.make_factory(timeout=60.0)

    def setUp(self):
        super().setUp()
        self.store = ObjectPlatformStore()
        self.store.write("config", "main", configuration())
        self.endpoint = self.serve(self.store)
        self.started = 0
        self.ends = []
        self.arrivals = []
        self.asked = 0
        self.events = []
        for service in ("model", "portal"):
            for _ in range(TARGETS):
                self.start_target(service)
        self.routers = [self.start_router(f"r{n}") for n in range(ROUTERS)]

    def start_router(self, name):
        settings = router_settings(name)
        parts = router_dependencies(self.endpoint, name, self.events, lambda: settings)
        router = EntryRouter(settings, router_watches(), parts)
        router.start()
        self.addCleanup(router._close)
        return router

    def start_target(self, service):
        target = WorkingTarget(self, service)
        self.addCleanup(target.port.stopListening)
        self.store.write("servers", target.script.name, self.first_entry(target))

    def first_entry(self, target):
        return target.entry()

    def next_name(self):
        self.started += 1
        return f"i-{self.started}"

    def arrived(self, target, arrival):
        if arrival.has_run and arrival.body.startswith(HARMFUL):
            self.arrivals.append((reactor.seconds(), arrival.body))
            incarnation = target.incarnation
            reactor.callLater(WORK_SECONDS, self.end, target, incarnation, arrival.body)

    def end(self, target, incarnation, body):
        """End a target in the middle of its answer, unless it has ended already."""
        if target.incarnation == incarnation:
            self.ends.append((reactor.seconds(), body))
            target.incarnation += 1
            self.replace(target)

    def replace(self, target):
        """Start the next process at another address."""
        target.port.stopListening()
        target.engine.restart(None)
        name = target.script.name
        reactor.callLater(ENTRY_REMOVAL_SECONDS, self.store.remove, "servers", name)
        reactor.callLater(START_SECONDS, self.start_target, target.service)

    def ask(self, router, path, body):
        """Send a request with a new id; return the raw answer."""
        self.asked += 1
        headers = b"Connection: close\r\n"
        rid = b"r%d" % self.asked
        return ask(
            router, text(path, method=b"POST", headers=headers, body=body, rid=rid)
        )

    @inlineCallbacks
    def ask_routers_in_turn(self, path, body, seconds):
        """Send the same request to the routers in turn for some seconds."""
        until = reactor.seconds() + seconds
        answers = []
        while reactor.seconds() < until:
            router = self.routers[self.asked % len(self.routers)]
            answers.append((yield self.ask(router, path, body)))
            yield deferLater(reactor, 0.1, lambda: None)
        return answers

    def arrivals_after_propagation(self, body):
        """Return how often a request arrived once all routers should hold it back."""
        ends = [at for at, ended_by in self.ends if ended_by == body]
        self.assertThat(MAX_ENDS_BEFORE_HOLD - 1, LessThan(len(ends)))
        known_at = ends[MAX_ENDS_BEFORE_HOLD - 1] + PROPAGATION_SECONDS
        return sum(at > known_at and sent == body for at, sent in self.arrivals)

    @inlineCallbacks
    def settled(self):
        """Wait until all routers are ready and list each other."""
        for _ in range(500):
            others = [len(router._state_exchange.others) for router in self.routers]
            if all(r.is_ready for r in self.routers) and min(others) == ROUTERS - 1:
                return
            yield deferLater(reactor, 0.01, lambda: None)
        self.fail("the routers did not settle")

    @inlineCallbacks
    def check(self, path):
        yield self.settled()
        yield self.ask_routers_in_turn(path, HARMFUL, PROPAGATION_SECONDS + 4.0)
        self.assertThat(
            self.arrivals_after_propagation(HARMFUL),
            LessThan(MAX_ARRIVALS_AFTERWARDS + 1),
        )
        for router in self.routers:
            response = yield self.ask(router, path, b"another of the same caller")
            self.assertIn(b"HTTP/1.1 200", response)

    def test_a_stream_that_its_caller_retries(self):
        return self.check(b"/draft/x")

    def test_a_resumable_stream(self):
        return self.check(b"/story/x")

    def test_an_idempotent_request(self):
        return self.check(b"/plain/x")

    def test_a_request_that_may_run_once(self):
        return self.check(b"/once/x")
