"""Tests of routers with a store and plain targets over loopback sockets."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from primrosescale.process.entry.entry_router import EntryRouter
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


class LoopbackRouterTest(LiveTest):
    """A store with a configuration, and whatever routers and targets a test starts."""

    run_tests_with = DeploymentRunTest.make_factory(timeout=60.0)

    def setUp(self):
        super().setUp()
        self.store = UsersStore()
        self.store.write("config", "main", configuration())
        self.endpoint = self.serve(self.store)
        self.events = []
        self.asked = 0

    def start_target(self, script, **fields):
        """Have a plain target listen and be listed; return its entry."""
        port = reactor.listenTCP(0, UsersEngine(script), interface=LOOPBACK)
        self.addCleanup(port.stopListening)
        address = f"{LOOPBACK}:{port.getHost().port}"
        entry = target_entry("portal", address, **fields)
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
        """Tell whether a router is ready and knows so many targets."""
        return router.is_ready and len(router._store_state.targets) == targets

    @inlineCallbacks
    def until(self, test):
        for _ in range(800):
            if test():
                return
            yield deferLater(reactor, 0.01, lambda: None)
        self.fail("it did not come about")

    def ask(self, router):
        """Send a plain request of a name of its own; return the answer."""
        self.asked += 1
        headers = b"Connection: close\r\n"
        return ask(router, text(headers=headers, rid=b"r%d" % self.asked))
