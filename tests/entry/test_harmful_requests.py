"""A request that ends each target that begins to run it.

What was seen: model engines ended one after the other, 25 in 80 s on a service of
five, and each took the requests of a dozen other callers with it. Under each of
them was a request for the same, sent again and again under ids of its own and by
four routers.

How it came about: its caller repeats it wherever it is let in, and the platform
starts a new engine some seconds after one has ended.

Cause: routers remembered what became of targets, never under which request, and
told each other nothing of it. So each arrival was a request like any other.

What proved it: here, over sockets, with four routers that know nothing of each
other but their news, the same request reaches a target at each arrival. Line 202
tells that the requests have one fingerprint.
"""

from __future__ import annotations

from testtools.matchers import LessThan
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from primrosescale.process.entry.entry_router import EntryRouter
from primrosescale.standin.users_engine import EngineScript
from primrosescale.standin.users_engine import UsersEngine
from primrosescale.standin.users_store import UsersStore
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
# From the beginning of the work to the end of the target, in the middle of its answer.
WORK_SECONDS = 0.05
ANSWER_SECONDS = 0.2
EVENTS = 4
# Until another target starts in its place, and until its entry is gone.
START_SECONDS = 0.3
LAPSE_SECONDS = 1.5
# Targets that may end before a request is known for what it is, the seconds that
# routers have to learn it from each other, and how often it may be sent after that.
ENOUGH_ENDS = 3
CONTACT_SECONDS = 3.0
MOST_MORE = 3


class WorkingTarget:
    """A target that listens, and the processes that run there one after another."""

    def __init__(self, test, service):
        self.service = service
        self.incarnation = 0
        self.script = EngineScript(name=test.next_name(), delay=ANSWER_SECONDS)
        if service == "model":
            self.script.events = EVENTS
            self.script.gap = ANSWER_SECONDS / EVENTS
        self.script.on_arrival = lambda arrival: test.arrived(self, arrival)
        self.engine = UsersEngine(self.script)
        self.port = reactor.listenTCP(0, self.engine, interface=LOOPBACK)
        self.number = self.port.getHost().port

    def entry(self, **fields):
        return target_entry(self.service, f"{LOOPBACK}:{self.number}", **fields)


class HarmfulRequestTest(LiveTest):
    run_tests_with = DeploymentRunTest.make_factory(timeout=60.0)

    def setUp(self):
        super().setUp()
        self.store = UsersStore()
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
        """Have a target end in the middle of its answer, if it has not ended."""
        if target.incarnation == incarnation:
            self.ends.append((reactor.seconds(), body))
            target.incarnation += 1
            self.replace(target)

    def replace(self, target):
        """Have the next process listen elsewhere."""
        target.port.stopListening()
        target.engine.restart(None)
        name = target.script.name
        reactor.callLater(LAPSE_SECONDS, self.store.remove, "servers", name)
        reactor.callLater(START_SECONDS, self.start_target, target.service)

    def ask(self, router, path, body):
        """Send a request under an id of its own; return the raw answer."""
        self.asked += 1
        headers = b"Connection: close\r\n"
        rid = b"r%d" % self.asked
        return ask(
            router, text(path, method=b"POST", headers=headers, body=body, rid=rid)
        )

    @inlineCallbacks
    def ask_in_turn(self, path, body, seconds):
        """Send the same request to one router after the other for a while."""
        until = reactor.seconds() + seconds
        answers = []
        while reactor.seconds() < until:
            router = self.routers[self.asked % len(self.routers)]
            answers.append((yield self.ask(router, path, body)))
            yield deferLater(reactor, 0.1, lambda: None)
        return answers

    def sent_after_contact(self, body):
        """Return how often it was sent once all routers should have known."""
        ends = [at for at, ended_by in self.ends if ended_by == body]
        self.assertThat(ENOUGH_ENDS - 1, LessThan(len(ends)))
        known_at = ends[ENOUGH_ENDS - 1] + CONTACT_SECONDS
        return sum(at > known_at and sent == body for at, sent in self.arrivals)

    @inlineCallbacks
    def settled(self):
        """Wait until all routers serve and hear each other."""
        for _ in range(500):
            others = [len(router._news.others) for router in self.routers]
            if all(r.is_ready for r in self.routers) and min(others) == ROUTERS - 1:
                return
            yield deferLater(reactor, 0.01, lambda: None)
        self.fail("the routers did not settle")

    @inlineCallbacks
    def check(self, path):
        yield self.settled()
        yield self.ask_in_turn(path, HARMFUL, CONTACT_SECONDS + 4.0)
        self.assertThat(self.sent_after_contact(HARMFUL), LessThan(MOST_MORE + 1))
        for router in self.routers:
            whole = yield self.ask(router, path, b"another of the same caller")
            self.assertIn(b"HTTP/1.1 200", whole)

    def test_a_stream_that_is_sent_again_by_its_caller(self):
        return self.check(b"/draft/x")

    def test_a_stream_that_may_go_on_elsewhere(self):
        return self.check(b"/story/x")

    def test_a_request_that_may_be_repeated(self):
        return self.check(b"/plain/x")

    def test_a_request_that_may_run_once(self):
        return self.check(b"/once/x")
