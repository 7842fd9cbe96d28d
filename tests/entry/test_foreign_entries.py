"""An entry of the store that cannot be decoded removes its target; all others stay."""

from __future__ import annotations

import json
import os
import random
from dataclasses import replace
from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from entry.fakes import make_incarnation
from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform.entry import PlatformRecordDecoder
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.entry_settings import WatchedPrefixes
from primrosescale.process.entry.log_writer import LogWriter
from primrosescale.process.entry.refused_records import RecordKind
from primrosescale.process.entry.refused_records import RefusedRecords
from primrosescale.process.entry.router_datagrams import RouterRegistry
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.store_state import StoreState
from primrosescale.process.entry.store_watch import FAULT_PAUSE_SECONDS
from primrosescale.process.entry.store_watch import StoreWatch
from primrosescale.process.entry.store_watch import WatchedPrefix
from primrosescale.process.entry.store_watch import WatchListener
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.entry.target_list_sync import TargetListSync
from primrosescale.process.events import Event
from primrosescale.process.log_text import escape_for_log
from primrosescale.process.transport.platform import StoredObject
from primrosescale.process.transport.platform import WatchResult
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.freshness import Freshness
from support.drawn import drawn
from support.foreign import CONFIGURATION
from support.foreign import ROUTER
from support.foreign import TARGET
from support.foreign import contents
from support.foreign import names

SERVICE = TARGET["service"]
DRAIN_SECONDS = 2.0
UNREADABLE = {**TARGET, "slots": "64"}


class Log:
    def __init__(self):
        self.lines = []

    def emit(self, event, **details):
        self.lines.append((event, details))

    def of(self, event):
        return [details for found, details in self.lines if found is event]


def entry(name, fields=TARGET, version=1, *, gone=False):
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return StoredObject(f"servers/{name}", version, value, gone)


def router_entry(fields, *, gone=False):
    """Return the entry of the router r-0, whose present incarnation is 1."""
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return StoredObject("routers/r-0", 1, value, gone)


class ListedTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.log = Log()
        self.metrics = EntryMetrics()
        self.targets = TargetList(DRAIN_SECONDS)
        self.listed = TargetListSync(
            self.targets,
            0.0,
            PlatformRecordDecoder(),
            RefusedRecords(RecordKind.TARGET, self.log, self.metrics),
            self.log,
            lambda: self.now,
            lambda: None,
        )
        self.listed.replaced((entry("i-1"), entry("i-2")), self.now)

    def usable(self):
        return sorted(s.target.name for s in self.targets.of_service(SERVICE))

    def change(self, *entries):
        self.listed.changed(entries, self.now)

    def metric(self, name):
        line = f'primrosescale_{name}{{kind="target"}} '
        text = self.metrics.text().decode()
        found = [each for each in text.splitlines() if each.startswith(line)]
        return float(found[0].split()[-1]) if found else 0.0

    def test_an_entry_that_becomes_unreadable_removes_its_target_at_once(self):
        before = self.targets.generation
        self.change(entry("i-1", UNREADABLE, 2))
        self.assertEqual(["i-2"], self.usable())
        self.assertIsNone(self.targets.state("i-1"))
        self.assertEqual((1, before + 1), (len(self.targets), self.targets.generation))

    def test_it_is_not_used_when_there_is_no_other_either(self):
        self.change(entry("i-1", UNREADABLE, 2), entry("i-2", b"\xff", 2))
        self.assertEqual([], self.usable())

    def test_a_complete_list_has_the_same_effect_as_a_change(self):
        self.listed.replaced((entry("i-1", UNREADABLE, 2), entry("i-2")), self.now)
        self.assertEqual(["i-2"], self.usable())
        self.listed.replaced(
            (entry("i-1", UNREADABLE, 2), entry("i-2", UNREADABLE, 2)), self.now
        )
        self.assertEqual([], self.usable())

    def test_one_that_vanished_and_comes_back_unreadable_is_not_used(self):
        self.change(entry("i-1", gone=True), entry("i-2", gone=True))
        self.assertEqual(["i-1", "i-2"], self.usable())
        self.change(entry("i-1", UNREADABLE, 3))
        self.assertEqual(["i-2"], self.usable())

    def test_one_that_is_unreadable_and_then_vanishes_is_not_used(self):
        self.change(entry("i-1", UNREADABLE, 2), entry("i-2", UNREADABLE, 2))
        self.change(entry("i-1", gone=True))
        self.listed.replaced((entry("i-2", UNREADABLE, 2),), self.now)
        self.assertEqual([], self.usable())

    def test_a_target_whose_entry_is_readable_again_keeps_its_state(self):
        state = self.targets.state("i-1")
        self.change(entry("i-1", UNREADABLE, 2))
        self.now += DRAIN_SECONDS / 4
        self.change(entry("i-1", TARGET, 3))
        self.assertEqual(["i-1", "i-2"], self.usable())
        self.assertIs(state, self.targets.state("i-1"))
        listed = [details["target"] for details in self.log.of(Event.TARGET_LISTED)]
        self.assertEqual(["i-1", "i-2", "i-1"], listed)
        self.assertEqual([], self.listed.forget_expired(self.now + DRAIN_SECONDS))

    def test_one_that_stays_unreadable_is_forgotten(self):
        state = self.targets.state("i-1")
        self.change(entry("i-1", UNREADABLE, 2))
        self.now += DRAIN_SECONDS
        self.assertEqual(
            [make_incarnation("i-1", TARGET["born"])],
            self.listed.forget_expired(self.now),
        )
        self.assertEqual([], self.listed.forget_expired(self.now))
        self.change(entry("i-1", TARGET, 3))
        self.assertEqual(["i-1", "i-2"], self.usable())
        self.assertIsNot(state, self.targets.state("i-1"))

    def test_an_entry_of_a_former_incarnation_does_not_restore_an_unreadable_one(self):
        self.change(entry("i-1", UNREADABLE, 2))
        self.change(entry("i-1", {**TARGET, "born": TARGET["born"] - 1}, 3))
        self.assertEqual(["i-2"], self.usable())
        self.change(entry("i-1", TARGET, 4))
        self.assertEqual(["i-1", "i-2"], self.usable())

    def test_a_target_s_self_report_does_not_restore_an_unreadable_entry(self):
        state = self.targets.state("i-1")
        self.change(entry("i-1", UNREADABLE, 2))
        begun = replace(state.target, started_at=TARGET["born"] + 1)
        self.assertFalse(self.targets.put(begun, self.now, told_by="target"))
        self.assertEqual(["i-2"], self.usable())

    def test_an_unreadable_entry_does_not_hide_its_neighbours(self):
        self.change(entry("i-0"), entry("i-x", UNREADABLE), entry("i-3"))
        self.assertEqual(["i-0", "i-1", "i-2", "i-3"], self.usable())

    def test_a_refusal_is_logged_once_per_change(self):
        for _ in range(3):
            self.change(entry("i-1", UNREADABLE, 2))
            self.listed.replaced((entry("i-1", UNREADABLE, 2), entry("i-2")), self.now)
        [details] = self.log.of(Event.TARGET_REFUSED)
        self.assertEqual(
            ("i-1", "slots", "a text, no number"),
            (details["target"], details["field"], details["reason"]),
        )
        self.assertEqual(1, self.metric("refused_records_total"))
        self.change(entry("i-1", UNREADABLE, 3))
        self.assertEqual(2, len(self.log.of(Event.TARGET_REFUSED)))
        self.assertEqual(2, self.metric("refused_records_total"))
        self.assertEqual(1, self.metric("unreadable_records"))

    def test_unreadable_records_are_counted(self):
        self.change(
            entry("i-1", UNREADABLE, 2),
            entry("i-2", UNREADABLE, 2),
            entry("i-3", UNREADABLE, 2),
        )
        self.assertEqual(3, self.metric("unreadable_records"))
        self.change(entry("i-1", TARGET, 3), entry("i-2", UNREADABLE, 3, gone=True))
        self.assertEqual(1, self.metric("unreadable_records"))
        self.listed.replaced((entry("i-1"),), self.now)
        self.assertEqual(0, self.metric("unreadable_records"))

    def test_log_lines_about_invalid_names_are_short_and_encodable(self):
        self.change(
            entry("\ud800\r\n\x00"), entry("x" * 100_000), entry(""), entry("é")
        )
        lines = self.log.of(Event.TARGET_REFUSED)
        self.assertEqual(4, len(lines))
        for details in lines:
            self.assertEqual("name", details["field"])
            self.assertLess(len(json.dumps(details)), 600)
            json.dumps(details, ensure_ascii=False).encode()
        self.assertEqual(["i-1", "i-2"], self.usable())

    @drawn(200)
    @given(st.lists(st.tuples(names, contents(TARGET)), max_size=5), st.booleans())
    def test_drawn_entries_leave_the_others_in_use(self, unreadable, is_full_list):
        self.setUp_again()
        unreadable = [
            entry(name, value, 2) for name, value in unreadable if name != "i-1"
        ]
        notify = self.listed.replaced if is_full_list else self.listed.changed
        notify((*unreadable, entry("i-1", TARGET, 2)), self.now)
        notify((entry("i-1", TARGET, 3), *unreadable), self.now)
        self.assertIn("i-1", self.usable())
        self.assertLessEqual(
            len(self.log.of(Event.TARGET_REFUSED)), 2 * len(unreadable)
        )

    def setUp_again(self):
        """Reset the state for each example; hypothesis runs them in one test."""
        self.log.lines.clear()
        self.listed.replaced((entry("i-1"), entry("i-2")), self.now)
        self.listed.changed((entry("i-1"), entry("i-2")), self.now)
        self.log.lines.clear()


class RaisingHandler(WatchListener):
    """Handler that raises unexpected exceptions, once each."""

    def __init__(self, faults):
        self.faults = faults
        self.results = []

    def replaced(self, objects, asked_at):
        self.results.append(("all", objects))
        self.raise_next()

    def changed(self, objects, asked_at):
        self.results.append(("some", objects))
        self.raise_next()

    def raise_next(self):
        if self.faults:
            raise self.faults.pop(0)

    def failed(self, error):
        self.results.append(("failed", error))


class Store:
    """Answers with the given results at once, then never."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.asked = []

    def watch(self, prefix, since, wait):
        self.asked.append((prefix, since))
        if not self.answers:
            return Deferred()
        answer = self.answers.pop(0)
        return fail(answer) if isinstance(answer, Exception) else succeed(answer)


class WatchTest(TestCase):
    def watch(self, store, handler):
        self.clock = Clock()
        self.faults = []
        watch = StoreWatch(
            store,
            WatchedPrefix("servers/", 1.0),
            handler,
            self.clock,
            random.Random(1),
            self.faults.append,
        )
        watch.run()
        return watch

    def test_an_exception_of_a_handler_does_not_end_the_watch(self):
        for fault in (ValueError("x"), RecursionError("x"), OverflowError("x")):
            answers = [WatchResult(3, ()), WatchResult(4, ()), WatchResult(5, ())]
            handler = RaisingHandler([fault])
            store = Store(*answers)
            self.watch(store, handler)
            self.assertEqual([fault], [each.value for each in self.faults])
            self.clock.advance(FAULT_PAUSE_SECONDS)
            self.assertEqual(
                ["all", "all", "some"], [kind for kind, _ in handler.results]
            )
            self.assertEqual([0, 0, 4, 5], [since for _, since in store.asked])

    def test_an_exception_of_the_store_s_client_does_not_end_the_watch(self):
        handler = RaisingHandler([])
        self.watch(Store(UnicodeError("x"), WatchResult(3, ())), handler)
        self.clock.advance(FAULT_PAUSE_SECONDS)
        self.assertEqual(["all"], [kind for kind, _ in handler.results])

    def test_a_persistent_fault_is_retried_with_pauses(self):
        store = Store(*[WatchResult(3, ())] * 1000)
        watch = self.watch(store, RaisingHandler([ValueError("x")] * 1000))
        for _ in range(100):
            self.clock.advance(0.1)
        self.assertLessEqual(len(store.asked), 1 + 10 / (FAULT_PAUSE_SECONDS / 2))
        watch.stop()
        self.clock.advance(FAULT_PAUSE_SECONDS)
        asked = len(store.asked)
        self.clock.advance(60.0)
        self.assertEqual(asked, len(store.asked))


class ConfigurationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.log = Log()
        parts = SimpleNamespace(
            reactor=Clock(),
            platform=Store(),
            rng=random.Random(1),
            decoder=PlatformRecordDecoder(),
            log=self.log,
            metrics=EntryMetrics(),
        )
        watches = WatchedPrefixes(
            configuration=WatchedPrefix("config/main", 1.5),
            targets=WatchedPrefix("servers/", 8.0),
            routers=WatchedPrefix("routers/", 20.0),
        )
        self.store_state = StoreState(
            SimpleNamespace(revoke=5.0, drain=2.0),
            watches,
            parts,
            Freshness(5.0),
            TargetList(2.0),
            RaisingHandler([]),
            lambda: True,
        )
        self.receive(CONFIGURATION, 1)

    def receive(self, fields, version, name="main"):
        value = json.dumps(fields).encode()
        stored = StoredObject(f"config/{name}", version, value)
        self.store_state._handler.replaced((stored,), 0.0)

    def test_an_unreadable_version_is_logged_once_per_change(self):
        for _ in range(5):
            self.receive({**CONFIGURATION, "version": "8"}, 2)
        [details] = self.log.of(Event.TABLE_REFUSED)
        self.assertEqual(
            ("main", "version"), (details["configuration"], details["field"])
        )
        self.assertTrue(self.store_state.is_behind)
        self.assertEqual(7, self.store_state.table.version)
        self.receive({**CONFIGURATION, "version": 9}, 3)
        self.assertFalse(self.store_state.is_behind)
        self.assertEqual(9, self.store_state.table.version)

    def test_an_object_with_a_longer_name_is_no_configuration(self):
        self.receive({**CONFIGURATION, "version": 99}, 2, name="main-of-another")
        self.receive({"version": "odd"}, 3, name="maintenance")
        self.assertEqual(7, self.store_state.table.version)
        self.assertFalse(self.store_state.is_behind)


class RoutersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.log = Log()
        self.announced = []
        self.state_exchange = StateExchange(
            "r-0", 1, TargetList(2.0), PrefixCacheIndex(), Freshness(5.0)
        )
        parts = SimpleNamespace(
            reactor=self.clock,
            platform=SimpleNamespace(announce=self.announce),
            decoder=PlatformRecordDecoder(),
            log=self.log,
            metrics=EntryMetrics(),
        )
        settings = SimpleNamespace(
            name="r-0", domain="a", links=Endpoint("127.0.0.1", 1)
        )
        self.registry = RouterRegistry(settings, 1, self.state_exchange, parts)
        self.receive("r-1", ROUTER)

    def announce(self, listed):
        self.announced.append(listed)
        return succeed(None)

    def receive(self, name, fields, version=1):
        value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        stored = StoredObject(f"routers/{name}", version, value)
        self.registry.changed((stored,), 0.0)

    def test_an_unreadable_router_entry_hides_no_other_and_is_logged_once(self):
        for _ in range(3):
            self.receive("r-2", {**ROUTER, "port": 99_999})
        self.receive("r-3", ROUTER)
        self.assertEqual(
            ["r-1", "r-3"], [router.name for router in self.state_exchange.others]
        )
        [details] = self.log.of(Event.ROUTER_REFUSED)
        self.assertEqual(("r-2", "port"), (details["router"], details["field"]))

    def test_a_router_whose_entry_becomes_unreadable_still_counts(self):
        self.receive("r-1", {**ROUTER, "port": "7340"}, 2)
        self.assertEqual(
            ["r-1"], [router.name for router in self.state_exchange.others]
        )
        unreadable = StoredObject("routers/r-1", 2, b"\xff")
        self.registry.replaced((unreadable,), 0.0)
        self.assertEqual(2, self.registry.routers)

    def was_listed(self, *objects):
        self.registry.replaced(objects, 0.0)
        return self.registry.was_listed

    def test_a_new_router_was_not_listed_although_it_reads_its_own_entry(self):
        # Guards against a new router that takes its full share at once, although the
        # others do not know it yet.
        self.assertFalse(self.was_listed(router_entry({**ROUTER, "incarnation": 1})))
        self.registry.replaced((router_entry({**ROUTER, "incarnation": 9}),), 0.0)
        self.assertFalse(self.registry.was_listed)

    def test_a_router_that_restarts_was_listed(self):
        # Guards against a share that a router lacks for seconds after each restart.
        self.assertTrue(self.was_listed(router_entry(ROUTER)))
        self.registry.replaced((router_entry({**ROUTER, "incarnation": 1}),), 0.0)
        self.assertTrue(self.registry.was_listed)

    def test_an_unreadable_or_deleted_entry_is_not_that_of_an_incarnation(self):
        # Guards against a full share by an entry that the others do not count.
        for stored in (router_entry(b"\xff"), router_entry(ROUTER, gone=True)):
            self.registry._has_list = False
            self.assertFalse(self.was_listed(stored))

    def test_a_router_whose_own_entry_was_overwritten_writes_it_again(self):
        self.receive("r-0", ROUTER)
        self.assertEqual([], self.announced)
        self.receive("r-0", {**ROUTER, "address": 7}, 2)
        self.assertEqual(["r-0"], [listed.name for listed in self.announced])

    def test_an_entry_that_stays_unreadable_is_not_written_again_and_again(self):
        unreadable = {**ROUTER, "address": "host.example"}
        for version in range(2, 9):
            self.receive("r-0", unreadable, version)
        self.assertEqual(1, len(self.announced))
        self.receive("r-0", ROUTER, 9)
        self.receive("r-0", unreadable, 10)
        self.assertEqual(2, len(self.announced))

    @drawn(100)
    @given(st.lists(st.tuples(names, contents(ROUTER)), max_size=4))
    def test_drawn_entries_leave_the_others(self, unreadable):
        for name, value in unreadable:
            self.receive(name, value)
        self.receive("r-9", ROUTER)
        self.assertIn("r-9", [router.name for router in self.state_exchange.others])
        for router in self.state_exchange.others:
            self.assertTrue(0 < router.endpoint.port < 65536)


class LogTest(TestCase):
    def test_foreign_text_is_escaped_and_truncated(self):
        self.assertEqual("i-1", escape_for_log("i-1"))
        self.assertEqual("\\ud800\\r\\n", escape_for_log("\ud800\r\n"))
        self.assertEqual("x" * 80 + "...", escape_for_log("x" * 81))
        self.assertLess(len(escape_for_log("\x00" * 80)), 90)

    def test_a_line_with_a_lone_surrogate_is_written(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        LogWriter(Clock(), writing)({"number": 1, "detail": "\ud800", "n": 2**70})
        line = json.loads(os.read(reading, 1000))
        self.assertEqual(("\ud800", 2**70), (line["detail"], line["n"]))
