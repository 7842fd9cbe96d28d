"""Base class of tests with routers, a store and targets on loopback sockets."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from primrosescale.process.entry.entry_router import EntryRouter
from primrosescale.standin.object_platform_store import ObjectPlatformStore
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


class LoopbackRouterTest(LiveTest):
    """Provides a store with a configuration; tests start routers and targets."""

    run_tests_with = DeploymentRunTest.make_factory(timeout=60.0)

    def setUp(self):
        super().setUp()
        self.store = ObjectPlatformStore()
        self.store.write("config", "main", configuration())
        self.endpoint = self.serve(self.store)
        self.events = []
        self.asked = 0

    def start_target(self, script, *, service="portal", **fields):
        """Start a target, list it in the store and return its entry."""
        port = reactor.listenTCP(0, ScriptedEngine(script), interface=LOOPBACK)
        self.addCleanup(port.stopListening)
        address = f"{LOOPBACK}:{port.getHost().port}"
        entry = target_entry(service, address, **fields)
        self.store.write("servers", script.name, entry)
        return entry

    def start_router(self, name, watches=None, **fields):
        settings = router_settings(name, **fields)
        parts = router_dependencies(self.endpoint, name, self.events, lambda: settings)
        router = EntryRouter(settings, watches or router_watches(), parts)
        router.start()
        self.addCleanup(router._close)
        return router

    def knows(self, router, targets):
        """Return whether a router is ready and knows a given number of targets."""
        return router.is_ready and len(router._store_state.targets) == targets

    @inlineCallbacks
    def until(self, test):
        for _ in range(800):
            if test():
                return
            yield deferLater(reactor, 0.01, lambda: None)
        self.fail("condition not met within 8 s")

    def ask(self, router):
        """Send a plain request with a new id; return the raw answer."""
        self.asked += 1
        headers = b"Connection: close\r\n"
        return ask(router, text(headers=headers, rid=b"r%d" % self.asked))
