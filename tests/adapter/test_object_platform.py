"""`ObjectPlatform` against a stand-in for the object store, with each of its faults."""

from __future__ import annotations

import io
import json

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.web.server import NOT_DONE_YET

from primrosescale.connection.wire import ttypes as wire
from primrosescale.platform.object_platform import ObjectPlatform
from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformHistoryGoneError
from primrosescale.process.exceptions import PlatformLimitError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.standin.object_platform_store import ObjectPlatformStore
from primrosescale.standin.object_platform_store import StoreFault
from support.live import LiveTest

TIMEOUT = 0.3


class DelayingStore(ObjectPlatformStore):
    """A store that can delay a write past the caller's time-out, or send slowly."""

    def __init__(self):
        super().__init__()
        self.write_delay = None
        self.gaps = []

    def render(self, request):
        if self.gaps:
            gaps, self.gaps = self.gaps, []
            self.send_slowly(request, b'{"items": [], "truncated": false', gaps)
            return NOT_DONE_YET
        if self.write_delay is None or request.method == b"GET":
            return super().render(request)
        write_delay, self.write_delay = self.write_delay, None
        body = request.content.read()

        def handle_write():
            # The connection and the request's content are closed by then.
            request.content = io.BytesIO(body)
            self._act(request, "x", "a")

        reactor.callLater(write_delay, handle_write)
        return NOT_DONE_YET

    def send_slowly(self, request, text, gaps):
        """Send one byte after each gap, and the rest of the list after the last gap."""
        if request._disconnected:
            return
        if gaps:
            request.write(text[:1])
            reactor.callLater(gaps[0], self.send_slowly, request, text[1:], gaps[1:])
            return
        request.write(text + b', "current_rev": 7}')
        request.finish()


class ObjectPlatformTest(LiveTest):
    def setUp(self):
        super().setUp()
        self.store = DelayingStore()
        endpoint = self.serve(self.store)
        self.platform = ObjectPlatform(reactor, endpoint, TIMEOUT)
        self.addCleanup(self.platform.close)

    @inlineCallbacks
    def assert_fails(self, expected_error, deferred):
        try:
            yield deferred
        except expected_error as error:
            return error
        self.fail(f"no {expected_error.__name__}")

    @inlineCallbacks
    def test_a_value_written_is_read_back(self):
        for value in (b'{"a": 1}', b"\x00\xffbytes"):
            version = yield self.platform.put(f"x/{len(value)}", value, 0)
            found = yield self.platform.get(f"x/{len(value)}")
            self.assertEqual((version, value), (found.version, found.value))

    @inlineCallbacks
    def test_an_object_that_does_not_exist_is_none(self):
        found = yield self.platform.get("x/none")
        self.assertIsNone(found)

    @inlineCallbacks
    def test_a_conditional_update_names_the_current_version(self):
        version = yield self.platform.put("x/a", b"1", 0)
        for expected in (0, version + 7):
            error = yield self.assert_fails(
                PlatformConflictError, self.platform.put("x/a", b"2", expected)
            )
            self.assertEqual(version, error.current)
        newer = yield self.platform.put("x/a", b"2", version)
        self.assertTrue(newer > version)
        error = yield self.assert_fails(
            PlatformConflictError, self.platform.put("x/none", b"2", 7)
        )
        self.assertEqual(0, error.current)

    @inlineCallbacks
    def test_a_value_over_a_megabyte_is_refused(self):
        yield self.assert_fails(
            PlatformLimitError, self.platform.put("x/a", b"x" * 1_000_001, 0)
        )

    @inlineCallbacks
    def test_deleting_twice_is_no_error(self):
        yield self.platform.put("x/a", b"1", 0)
        yield self.platform.delete("x/a")
        yield self.platform.delete("x/a")

    @inlineCallbacks
    def test_each_fault_of_a_read_raises_and_the_next_call_works(self):
        for fault in StoreFault:
            for call in (
                lambda: self.platform.get("x/a"),
                lambda: self.platform.watch("x/", 0, 0.0),
                lambda: self.platform.watch("x/", 1, 0.0),
            ):
                self.store.faults.next_calls = [fault]
                yield self.assert_fails(PlatformUnavailableError, call())
                self.store.faults.next_calls = []
                yield call()

    @inlineCallbacks
    def test_a_refused_write_is_distinguished_from_a_lost_answer(self):
        for fault, expected_error in (
            (StoreFault.BUSY, PlatformUnavailableError),
            (StoreFault.MANY, PlatformUnavailableError),
            (StoreFault.SILENT, PlatformAnswerLostError),
            (StoreFault.RESET, PlatformAnswerLostError),
            (StoreFault.LOST, PlatformAnswerLostError),
        ):
            self.store.faults.next_calls = [fault]
            yield self.assert_fails(
                expected_error, self.platform.put(f"x/{fault.name}", b"1", 0)
            )
        lost = yield self.platform.get("x/LOST")
        self.assertEqual(b"1", lost.value)
        refused = yield self.platform.get("x/BUSY")
        self.assertIsNone(refused)

    @inlineCallbacks
    def test_a_delayed_write_does_not_overwrite_an_earlier_one(self):
        self.store.write_delay = TIMEOUT + 0.2
        yield self.assert_fails(
            PlatformAnswerLostError, self.platform.put("x/a", b"late", 0)
        )
        found = yield self.platform.get("x/a")
        self.assertIsNone(found)
        yield self.platform.put("x/a", b"sooner", 0)
        yield deferLater(reactor, 0.3, lambda: None)
        found = yield self.platform.get("x/a")
        self.assertEqual(b"sooner", found.value)

    @inlineCallbacks
    def test_a_delayed_write_conflicts_with_the_next_one(self):
        self.store.write_delay = TIMEOUT + 0.1
        yield self.assert_fails(
            PlatformAnswerLostError, self.platform.put("x/a", b"late", 0)
        )
        yield deferLater(reactor, 0.2, lambda: None)
        error = yield self.assert_fails(
            PlatformConflictError, self.platform.put("x/a", b"again", 0)
        )
        found = yield self.platform.get("x/a")
        self.assertEqual((b"late", error.current), (found.value, found.version))

    @inlineCallbacks
    def test_an_answer_may_take_long_as_long_as_bytes_come(self):
        self.store.gaps = [TIMEOUT * 0.5] * 5
        found = yield self.platform.watch("x/", 0, 0.0)
        self.assertEqual(7, found.revision)

    @inlineCallbacks
    def test_an_answer_that_stalls_times_out(self):
        self.store.gaps = [0.01, 0.01, TIMEOUT * 2]
        error = yield self.assert_fails(
            PlatformUnavailableError, self.platform.watch("x/", 0, 0.0)
        )
        self.assertIn("no byte", str(error))
        yield deferLater(reactor, TIMEOUT * 2, lambda: None)

    @inlineCallbacks
    def test_no_read_accepts_stale_data(self):
        yield self.platform.get("x/a")
        yield self.platform.list("x/", "", 5)
        yield self.platform.watch("x/", 0, 0.0)
        yield self.platform.watch("x/", 1, 0.0)
        self.assertEqual([], [call for call in self.store.calls if "stale" in call])

    @inlineCallbacks
    def test_a_long_list_is_read_page_by_page(self):
        self.store.faults.page = 2
        for number in range(5):
            self.store.write("x", f"n{number}", {"n": number})
        found = yield self.platform.watch("x/", 0, 0.0)
        self.assertEqual([f"x/n{n}" for n in range(5)], [o.key for o in found.changes])
        listed = yield self.platform.list("x/", "x/n1", 2)
        self.assertEqual(["x/n2", "x/n3"], [item.key for item in listed])

    @inlineCallbacks
    def test_a_watch_returns_changes_and_deletions(self):
        start = yield self.platform.watch("x/", 0, 0.0)
        waiting = self.platform.watch("x/", start.revision, 5.0)
        yield deferLater(reactor, 0.02, lambda: None)
        self.store.write("y", "other", {})
        self.store.write("x", "a", {"n": 1})
        found = yield waiting
        self.assertEqual([("x/a", False)], self.keys_and_deletions(found))
        self.store.remove("x", "a")
        found = yield self.platform.watch("x/", found.revision, 5.0)
        self.assertEqual([("x/a", True)], self.keys_and_deletions(found))

    def keys_and_deletions(self, found):
        return [(item.key, item.is_deleted) for item in found.changes]

    @inlineCallbacks
    def test_a_watch_waits_longer_than_other_calls_may_take(self):
        found = yield self.platform.watch("x/", 1, TIMEOUT * 2)
        self.assertEqual((), found.changes)

    @inlineCallbacks
    def test_a_lost_history_raises(self):
        start = yield self.platform.watch("x/", 0, 0.0)
        waiting = self.platform.watch("x/", start.revision, 5.0)
        yield deferLater(reactor, 0.02, lambda: None)
        self.store.write("y", "other", {})
        self.store.forget_history()
        yield self.assert_fails(PlatformUnavailableError, waiting)
        yield self.assert_fails(
            PlatformHistoryGoneError,
            self.platform.watch("x/", start.revision, 5.0),
        )
        again = yield self.platform.watch("x/", 0, 0.0)
        self.assertTrue(again.revision > start.revision)

    @inlineCallbacks
    def test_an_announced_router_is_listed_again_after_a_restart(self):
        for incarnation in (1, 2):
            yield self.platform.announce(self.router(incarnation))
        found = yield self.platform.hosts(0)
        self.assertEqual([("a", 2)], [(e.name, e.incarnation) for e in found.entries])
        yield self.platform.announce(self.router(2, gone=True))
        changes = yield self.platform.hosts(found.version)
        self.assertEqual([("a", True)], [(e.name, e.gone) for e in changes.entries])

    @inlineCallbacks
    def test_a_malformed_entry_raises_an_error_that_names_it(self):
        self.store.write("routers", "odd", {"unknown": 1})
        error = yield self.assert_fails(
            PlatformUnavailableError, self.platform.hosts(0)
        )
        self.assertIn("routers/odd", str(error))

    def router(self, incarnation, *, gone=False):
        return wire.HostEntry(
            "a",
            "router",
            "127.0.0.1",
            1,
            "d",
            "r",
            "s",
            leaving=gone,
            gone=gone,
            version=0,
            incarnation=incarnation,
        )

    @inlineCallbacks
    def test_values_of_the_operator_are_read_as_they_are(self):
        self.store.write("config", "main", {"version": 7})
        found = yield self.platform.get("config/main")
        self.assertEqual({"version": 7}, json.loads(found.value))
