"""Which routers share limits while the store cannot be asked."""

from __future__ import annotations

import json
from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform.entry import PlatformRecordDecoder
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.router_datagrams import RouterRegistry
from primrosescale.process.entry.state_exchange import SILENT_REMOVAL_SECONDS
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.platform import StoredObject
from primrosescale.request.attempt.shared_retry_budgets import MAX_LIST_AGE_SECONDS
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.freshness import Freshness
from support.router_site import LoopbackRouterTest

OTHERS = ("r-1", "r-2", "r-3")


class SharingRoutersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.removals = []
        exchange = StateExchange(
            "r-0", 1, TargetList(2.0), PrefixCacheIndex(), Freshness(5.0)
        )
        parts = SimpleNamespace(
            reactor=self.clock,
            platform=SimpleNamespace(announce=self.announce),
            decoder=PlatformRecordDecoder(),
            log=SimpleNamespace(emit=lambda *_, **__: None),
            metrics=EntryMetrics(),
        )
        settings = SimpleNamespace(
            name="r-0", domain="a", links=Endpoint("127.0.0.1", 1)
        )
        self.registry = RouterRegistry(settings, 1, exchange, parts)
        self.exchange = exchange
        exchange.polls_store = lambda now: True
        exchange.silent_routers = lambda now: ["r-2"]

    def announce(self, entry):
        done = Deferred()
        if entry.gone:
            self.removals.append(done)
        return done

    def receive_list(self, *names):
        self.registry.replaced(tuple(map(self.entry, names)), 0.0)

    def entry(self, name, *, gone=False):
        fields = {
            "name": name,
            "role": "router",
            "address": "127.0.0.1",
            "port": 7340,
            "domain": "a",
            "region": "",
            "service_name": "",
            "leaving": False,
            "gone": False,
            "version": 0,
            "incarnation": 5,
        }
        value = json.dumps(fields).encode()
        return StoredObject(f"routers/{name}", 0 if gone else 1, value)

    def test_before_the_first_list_they_are_not_known(self):
        self.assertIsNone(self.registry.names)

    # Each half of a fleet that was cut in two took the other half's shares.
    def test_a_silent_router_counts_until_the_store_confirms_its_removal(self):
        self.receive_list("r-0", *OTHERS)
        self.registry.remove_silent(100.0)
        self.assertEqual({"r-0", *OTHERS}, self.registry.names)
        self.assertEqual(4, self.registry.routers)
        self.removals.pop().errback(PlatformUnavailableError("cut off"))
        self.assertEqual({"r-0", *OTHERS}, self.registry.names)
        self.registry.remove_silent(101.0)
        self.removals.pop().callback(None)
        self.assertEqual({"r-0", "r-1", "r-3"}, self.registry.names)
        self.assertEqual(3, self.registry.routers)

    def test_the_next_list_of_the_store_decides(self):
        self.receive_list("r-0", *OTHERS)
        self.registry.remove_silent(100.0)
        self.receive_list("r-0", "r-1", "r-3")
        self.assertEqual({"r-0", "r-1", "r-3"}, self.registry.names)
        self.receive_list("r-0", *OTHERS)
        self.assertEqual({"r-0", *OTHERS}, self.registry.names)


class CutOffRouterTest(LoopbackRouterTest):
    # Those that reach the store use the share of one that they take off the list.
    def test_a_router_that_is_cut_off_for_long_gives_its_share_up_before(self):
        self.assertTrue(MAX_LIST_AGE_SECONDS < SILENT_REMOVAL_SECONDS)
        router = self.start_router("r1")
        done = self.until(lambda: router.is_ready)
        done.addCallback(lambda _: self.check_share(router))
        return done

    def check_share(self, router):
        state, now = router._store_state, router._now()
        for lost_for, routers in ((0.0, 1), (49.0, 1), (50.0, None)):
            state.lost_for = lambda _, lost_for=lost_for: lost_for
            router._set_routers(now)
            self.assertEqual(routers, router._retry_budgets.routers)
