"""Contract tests of every platform client: in memory and over HTTP."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import Factory

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformLimitError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.http_platform import HttpPlatform
from primrosescale.standin.memory_platform import MemoryPlatform
from primrosescale.standin.object_store import ObjectStore
from primrosescale.standin.object_store import StoreSettings
from primrosescale.standin.platform_site import PlatformResource
from support.live import LiveTest


class PlatformContract:
    """The contract; a class below runs it for each client."""

    def make(self, store):
        raise NotImplementedError

    def setUp(self):
        super().setUp()
        self.store = ObjectStore(StoreSettings(latency=0.0), reactor.seconds())
        self.platform = self.make(self.store)

    @inlineCallbacks
    def assert_fails(self, kind, deferred):
        try:
            yield deferred
        except kind as error:
            return error
        self.fail(f"no {kind.__name__}")

    @inlineCallbacks
    def test_what_is_written_is_read(self):
        version = yield self.platform.put("a/b", b"\x00\xffvalue", 0)
        found = yield self.platform.get("a/b")
        self.assertEqual((version, b"\x00\xffvalue"), (found.version, found.value))

    @inlineCallbacks
    def test_an_object_that_does_not_exist_is_none(self):
        found = yield self.platform.get("nothing")
        self.assertIsNone(found)

    @inlineCallbacks
    def test_a_conditional_update_names_the_current_version(self):
        version = yield self.platform.put("a", b"1", 0)
        error = yield self.assert_fails(
            PlatformConflictError,
            self.platform.put("a", b"2", 0),
        )
        self.assertEqual(version, error.current)
        newer = yield self.platform.put("a", b"2", version)
        self.assertTrue(newer > version)
        error = yield self.assert_fails(
            PlatformConflictError,
            self.platform.put("none", b"2", 7),
        )
        self.assertEqual(0, error.current)

    @inlineCallbacks
    def test_a_value_over_a_megabyte_is_refused(self):
        yield self.assert_fails(
            PlatformLimitError,
            self.platform.put("a", b"x" * 1_000_001, 0),
        )
        yield self.platform.put("a", b"x" * 1_000_000, 0)

    @inlineCallbacks
    def test_a_write_whose_answer_is_lost_took_effect(self):
        self.store.settings.lost_answers = 1
        yield self.assert_fails(
            PlatformAnswerLostError,
            self.platform.put("a", b"1", 0),
        )
        found = yield self.platform.get("a")
        self.assertEqual(b"1", found.value)

    @inlineCallbacks
    def test_an_outage_fails_calls_and_changes_nothing(self):
        self.store.settings.is_down = True
        for call in (
            self.platform.get("a"),
            self.platform.put("a", b"1", 0),
            self.platform.list("", "", 10),
            self.platform.watch("", 0, 0.01),
            self.platform.hosts(0),
        ):
            yield self.assert_fails(PlatformUnavailableError, call)
        self.store.settings.is_down = False
        found = yield self.platform.get("a")
        self.assertIsNone(found)

    @inlineCallbacks
    def test_calls_over_the_rate_are_refused(self):
        self.store.settings.writes_per_second = 0.5
        yield self.assert_fails(
            PlatformUnavailableError,
            self.platform.put("a", b"1", 0),
        )

    @inlineCallbacks
    def test_objects_are_listed_in_order_and_in_pages(self):
        for name in ("p/c", "p/a", "p/b", "q/x"):
            yield self.platform.put(name, b"1", 0)
        first = yield self.platform.list("p/", "", 2)
        rest = yield self.platform.list("p/", "p/b", 2)
        self.assertEqual(["p/a", "p/b"], [item.key for item in first])
        self.assertEqual(["p/c"], [item.key for item in rest])

    @inlineCallbacks
    def test_a_watch_reports_a_change(self):
        start = yield self.platform.watch("w/", 0, 0.0)
        waiting = self.platform.watch("w/", start.revision, 10.0)
        yield self.platform.put("other", b"0", 0)
        yield self.platform.put("w/a", b"1", 0)
        found = yield waiting
        self.assertEqual(["w/a"], [item.key for item in found.changes])
        again = yield self.platform.watch("w/", found.revision, 0.0)
        self.assertEqual((), again.changes)

    @inlineCallbacks
    def test_a_deleted_object_is_gone_and_twice_is_no_error(self):
        yield self.platform.put("a", b"1", 0)
        yield self.platform.delete("a")
        yield self.platform.delete("a")
        found = yield self.platform.get("a")
        self.assertIsNone(found)

    @inlineCallbacks
    def test_the_host_list_reports_changes(self):
        yield self.platform.announce(self.host("a"))
        full = yield self.platform.hosts(0)
        self.assertTrue(full.is_full)
        yield self.platform.announce(self.host("b"))
        yield self.platform.announce(self.host("a", gone=True))
        changes = yield self.platform.hosts(full.version)
        self.assertFalse(changes.is_full)
        found = {entry.name: entry.gone for entry in changes.entries}
        self.assertEqual({"a": True, "b": False}, found)
        full = yield self.platform.hosts(0)
        self.assertEqual(["b"], [entry.name for entry in full.entries])

    @inlineCallbacks
    def test_the_host_list_lags(self):
        self.store.settings.host_lag = 3600.0
        yield self.platform.announce(self.host("a"))
        found = yield self.platform.hosts(0)
        self.assertEqual((), found.entries)

    def host(self, name, *, gone=False):
        return wire.HostEntry(
            name,
            "agent",
            "127.0.0.1",
            1,
            "d",
            "r",
            "s",
            leaving=False,
            gone=gone,
            version=0,
            incarnation=1,
        )


class MemoryPlatformTest(PlatformContract, LiveTest):
    def make(self, store):
        return MemoryPlatform(store, reactor)


class HttpPlatformTest(PlatformContract, LiveTest):
    def make(self, store):
        endpoint = self.serve(PlatformResource(MemoryPlatform(store, reactor)))
        platform = HttpPlatform(reactor, endpoint, 10.0)
        self.addCleanup(platform.close)
        return platform

    @inlineCallbacks
    def test_an_unreachable_platform_changed_nothing(self):
        port = reactor.listenTCP(0, Factory(), interface="127.0.0.1")
        number = port.getHost().port
        yield port.stopListening()
        platform = HttpPlatform(reactor, Endpoint("127.0.0.1", number), 1.0)
        yield self.assert_fails(
            PlatformUnavailableError,
            platform.put("a", b"1", 0),
        )
