"""An entry that cannot be read names no target; all others go on."""

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
from primrosescale.platform.entry import PlatformRecords
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.entry_settings import WatchedPrefixes
from primrosescale.process.entry.listed_targets import ListedTargets
from primrosescale.process.entry.log_writer import LogWriter
from primrosescale.process.entry.refused_records import RecordKind
from primrosescale.process.entry.refused_records import RefusedRecords
from primrosescale.process.entry.router_datagrams import RouterRegistry
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.store_state import StoreState
from primrosescale.process.entry.store_watch import FAULT_PAUSE
from primrosescale.process.entry.store_watch import StoreWatch
from primrosescale.process.entry.store_watch import WatchedPrefix
from primrosescale.process.entry.store_watch import WatchListener
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.events import Event
from primrosescale.process.log_text import escape_for_log
from primrosescale.process.transport.platform import StoredObject
from primrosescale.process.transport.platform import WatchResult
from primrosescale.request.freshness import Freshness
from primrosescale.request.prefix_cache_index import PrefixCacheIndex
from support.drawn import drawn
from support.foreign import CONFIGURATION
from support.foreign import ROUTER
from support.foreign import TARGET
from support.foreign import contents
from support.foreign import names

SERVICE = TARGET["service"]
HOLD = 2.0
ODD = {**TARGET, "slots": "64"}


class Log:
    def __init__(self):
        self.lines = []

    def emit(self, event, **said):
        self.lines.append((event, said))

    def of(self, event):
        return [said for found, said in self.lines if found is event]


def entry(name, fields=TARGET, version=1, *, gone=False):
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return StoredObject(f"servers/{name}", version, value, gone)


class ListedTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.log = Log()
        self.metrics = EntryMetrics()
        self.targets = TargetList(HOLD)
        self.listed = ListedTargets(
            self.targets,
            0.0,
            PlatformRecords(),
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

    def test_an_entry_that_becomes_unreadable_names_no_target_at_once(self):
        before = self.targets.generation
        self.change(entry("i-1", ODD, 2))
        self.assertEqual(["i-2"], self.usable())
        self.assertIsNone(self.targets.state("i-1"))
        self.assertEqual((1, before + 1), (len(self.targets), self.targets.generation))

    def test_it_is_not_used_when_there_is_no_other_either(self):
        self.change(entry("i-1", ODD, 2), entry("i-2", b"\xff", 2))
        self.assertEqual([], self.usable())

    def test_the_whole_list_says_the_same_as_a_change(self):
        self.listed.replaced((entry("i-1", ODD, 2), entry("i-2")), self.now)
        self.assertEqual(["i-2"], self.usable())
        self.listed.replaced((entry("i-1", ODD, 2), entry("i-2", ODD, 2)), self.now)
        self.assertEqual([], self.usable())

    def test_one_that_vanished_and_comes_back_unreadable_is_not_used(self):
        self.change(entry("i-1", gone=True), entry("i-2", gone=True))
        self.assertEqual(["i-1", "i-2"], self.usable())
        self.change(entry("i-1", ODD, 3))
        self.assertEqual(["i-2"], self.usable())

    def test_one_that_is_unreadable_and_then_vanishes_is_not_used(self):
        self.change(entry("i-1", ODD, 2), entry("i-2", ODD, 2))
        self.change(entry("i-1", gone=True))
        self.listed.replaced((entry("i-2", ODD, 2),), self.now)
        self.assertEqual([], self.usable())

    def test_when_it_can_be_read_again_what_runs_there_is_known(self):
        state = self.targets.state("i-1")
        self.change(entry("i-1", ODD, 2))
        self.now += HOLD / 4
        self.change(entry("i-1", TARGET, 3))
        self.assertEqual(["i-1", "i-2"], self.usable())
        self.assertIs(state, self.targets.state("i-1"))
        listed = [said["target"] for said in self.log.of(Event.TARGET_LISTED)]
        self.assertEqual(["i-1", "i-2", "i-1"], listed)
        self.assertEqual([], self.listed.forget_expired(self.now + HOLD))

    def test_one_that_stays_unreadable_is_forgotten(self):
        state = self.targets.state("i-1")
        self.change(entry("i-1", ODD, 2))
        self.now += HOLD
        self.assertEqual(
            [make_incarnation("i-1", TARGET["born"])],
            self.listed.forget_expired(self.now),
        )
        self.assertEqual([], self.listed.forget_expired(self.now))
        self.change(entry("i-1", TARGET, 3))
        self.assertEqual(["i-1", "i-2"], self.usable())
        self.assertIsNot(state, self.targets.state("i-1"))

    def test_an_entry_of_a_former_life_does_not_bring_an_unreadable_one_back(self):
        self.change(entry("i-1", ODD, 2))
        self.change(entry("i-1", {**TARGET, "born": TARGET["born"] - 1}, 3))
        self.assertEqual(["i-2"], self.usable())
        self.change(entry("i-1", TARGET, 4))
        self.assertEqual(["i-1", "i-2"], self.usable())

    def test_a_target_s_own_word_does_not_bring_an_unreadable_one_back(self):
        state = self.targets.state("i-1")
        self.change(entry("i-1", ODD, 2))
        begun = replace(state.target, started_at=TARGET["born"] + 1)
        self.assertFalse(self.targets.put(begun, self.now, told_by="target"))
        self.assertEqual(["i-2"], self.usable())

    def test_an_odd_entry_between_good_ones_hides_neither(self):
        self.change(entry("i-0"), entry("i-x", ODD), entry("i-3"))
        self.assertEqual(["i-0", "i-1", "i-2", "i-3"], self.usable())

    def test_a_refusal_is_told_once_a_change(self):
        for _ in range(3):
            self.change(entry("i-1", ODD, 2))
            self.listed.replaced((entry("i-1", ODD, 2), entry("i-2")), self.now)
        [said] = self.log.of(Event.TARGET_REFUSED)
        self.assertEqual(
            ("i-1", "slots", "a text, no number"),
            (said["target"], said["field"], said["reason"]),
        )
        self.assertEqual(1, self.metric("refused_records_total"))
        self.change(entry("i-1", ODD, 3))
        self.assertEqual(2, len(self.log.of(Event.TARGET_REFUSED)))
        self.assertEqual(2, self.metric("refused_records_total"))
        self.assertEqual(1, self.metric("unreadable_records"))

    def test_what_cannot_be_read_now_is_counted(self):
        self.change(entry("i-1", ODD, 2), entry("i-2", ODD, 2), entry("i-3", ODD, 2))
        self.assertEqual(3, self.metric("unreadable_records"))
        self.change(entry("i-1", TARGET, 3), entry("i-2", ODD, 3, gone=True))
        self.assertEqual(1, self.metric("unreadable_records"))
        self.listed.replaced((entry("i-1"),), self.now)
        self.assertEqual(0, self.metric("unreadable_records"))

    def test_lines_about_odd_names_are_short_and_whole(self):
        self.change(
            entry("\ud800\r\n\x00"), entry("x" * 100_000), entry(""), entry("é")
        )
        lines = self.log.of(Event.TARGET_REFUSED)
        self.assertEqual(4, len(lines))
        for said in lines:
            self.assertEqual("name", said["field"])
            self.assertLess(len(json.dumps(said)), 600)
            json.dumps(said, ensure_ascii=False).encode()
        self.assertEqual(["i-1", "i-2"], self.usable())

    @drawn(200)
    @given(st.lists(st.tuples(names, contents(TARGET)), max_size=5), st.booleans())
    def test_drawn_entries_leave_the_others_in_use(self, odd, is_whole):
        self.setUp_again()
        odd = [entry(name, value, 2) for name, value in odd if name != "i-1"]
        tell = self.listed.replaced if is_whole else self.listed.changed
        tell((*odd, entry("i-1", TARGET, 2)), self.now)
        tell((entry("i-1", TARGET, 3), *odd), self.now)
        self.assertIn("i-1", self.usable())
        self.assertLessEqual(len(self.log.of(Event.TARGET_REFUSED)), 2 * len(odd))

    def setUp_again(self):
        """Begin anew for each draw; hypothesis runs them in one test."""
        self.log.lines.clear()
        self.listed.replaced((entry("i-1"), entry("i-2")), self.now)
        self.listed.changed((entry("i-1"), entry("i-2")), self.now)
        self.log.lines.clear()


class Failing(WatchListener):
    """Raises what nobody expects, once."""

    def __init__(self, faults):
        self.faults = faults
        self.told = []

    def replaced(self, objects, asked_at):
        self.told.append(("all", objects))
        self.raise_next()

    def changed(self, objects, asked_at):
        self.told.append(("some", objects))
        self.raise_next()

    def raise_next(self):
        if self.faults:
            raise self.faults.pop(0)

    def failed(self, error):
        self.told.append(("failed", error))


class Store:
    """Answers at once what it is given, then never."""

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

    def test_what_a_handler_raises_ends_no_watch(self):
        for fault in (ValueError("x"), RecursionError("x"), OverflowError("x")):
            answers = [WatchResult(3, ()), WatchResult(4, ()), WatchResult(5, ())]
            handler = Failing([fault])
            store = Store(*answers)
            self.watch(store, handler)
            self.assertEqual([fault], [each.value for each in self.faults])
            self.clock.advance(FAULT_PAUSE)
            self.assertEqual(["all", "all", "some"], [kind for kind, _ in handler.told])
            self.assertEqual([0, 0, 4, 5], [since for _, since in store.asked])

    def test_what_the_store_s_client_raises_ends_no_watch(self):
        handler = Failing([])
        self.watch(Store(UnicodeError("x"), WatchResult(3, ())), handler)
        self.clock.advance(FAULT_PAUSE)
        self.assertEqual(["all"], [kind for kind, _ in handler.told])

    def test_a_fault_that_stays_is_met_with_pauses(self):
        store = Store(*[WatchResult(3, ())] * 1000)
        watch = self.watch(store, Failing([ValueError("x")] * 1000))
        for _ in range(100):
            self.clock.advance(0.1)
        self.assertLessEqual(len(store.asked), 1 + 10 / (FAULT_PAUSE / 2))
        watch.stop()
        self.clock.advance(FAULT_PAUSE)
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
            decoder=PlatformRecords(),
            log=self.log,
            metrics=EntryMetrics(),
        )
        watches = WatchedPrefixes(
            configuration=WatchedPrefix("config/main", 1.5),
            targets=WatchedPrefix("servers/", 8.0),
            routers=WatchedPrefix("routers/", 20.0),
        )
        self.knowledge = StoreState(
            SimpleNamespace(revoke=5.0, drain=2.0),
            watches,
            parts,
            Freshness(5.0),
            TargetList(2.0),
            Failing([]),
            lambda: True,
        )
        self.told(CONFIGURATION, 1)

    def told(self, fields, version, name="main"):
        value = json.dumps(fields).encode()
        stored = StoredObject(f"config/{name}", version, value)
        self.knowledge._handler.replaced((stored,), 0.0)

    def test_a_version_that_cannot_be_read_is_told_once_a_change(self):
        for _ in range(5):
            self.told({**CONFIGURATION, "version": "8"}, 2)
        [said] = self.log.of(Event.TABLE_REFUSED)
        self.assertEqual(("main", "version"), (said["configuration"], said["field"]))
        self.assertTrue(self.knowledge.is_behind)
        self.assertEqual(7, self.knowledge.table.version)
        self.told({**CONFIGURATION, "version": 9}, 3)
        self.assertFalse(self.knowledge.is_behind)
        self.assertEqual(9, self.knowledge.table.version)

    def test_an_object_with_a_longer_name_is_no_configuration(self):
        self.told({**CONFIGURATION, "version": 99}, 2, name="main-of-another")
        self.told({"version": "odd"}, 3, name="maintenance")
        self.assertEqual(7, self.knowledge.table.version)
        self.assertFalse(self.knowledge.is_behind)


class RoutersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.log = Log()
        self.announced = []
        self.news = StateExchange(
            "r-0", 1, TargetList(2.0), PrefixCacheIndex(), Freshness(5.0)
        )
        parts = SimpleNamespace(
            reactor=self.clock,
            platform=SimpleNamespace(announce=self.announce),
            decoder=PlatformRecords(),
            log=self.log,
            metrics=EntryMetrics(),
        )
        settings = SimpleNamespace(
            name="r-0", domain="a", links=Endpoint("127.0.0.1", 1)
        )
        self.registry = RouterRegistry(settings, 1, self.news, parts)
        self.told("r-1", ROUTER)

    def announce(self, listed):
        self.announced.append(listed)
        return succeed(None)

    def told(self, name, fields, version=1):
        value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        stored = StoredObject(f"routers/{name}", version, value)
        self.registry.changed((stored,), 0.0)

    def test_an_odd_entry_hides_no_other_and_is_told_once(self):
        for _ in range(3):
            self.told("r-2", {**ROUTER, "port": 99_999})
        self.told("r-3", ROUTER)
        self.assertEqual(["r-1", "r-3"], [router.name for router in self.news.others])
        [said] = self.log.of(Event.ROUTER_REFUSED)
        self.assertEqual(("r-2", "port"), (said["router"], said["field"]))

    def test_a_router_whose_entry_becomes_unreadable_still_counts(self):
        self.told("r-1", {**ROUTER, "port": "7340"}, 2)
        self.assertEqual(["r-1"], [router.name for router in self.news.others])
        odd = StoredObject("routers/r-1", 2, b"\xff")
        self.registry.replaced((odd,), 0.0)
        self.assertEqual(2, self.registry.routers)

    def test_a_router_whose_own_entry_was_spoiled_writes_it_again(self):
        self.told("r-0", ROUTER)
        self.assertEqual([], self.announced)
        self.told("r-0", {**ROUTER, "address": 7}, 2)
        self.assertEqual(["r-0"], [listed.name for listed in self.announced])

    def test_what_writing_does_not_mend_is_written_twice_at_most(self):
        odd = {**ROUTER, "address": "host.example"}
        for version in range(2, 9):
            self.told("r-0", odd, version)
        self.assertEqual(1, len(self.announced))
        self.told("r-0", ROUTER, 9)
        self.told("r-0", odd, 10)
        self.assertEqual(2, len(self.announced))

    @drawn(100)
    @given(st.lists(st.tuples(names, contents(ROUTER)), max_size=4))
    def test_drawn_entries_leave_the_others(self, odd):
        for name, value in odd:
            self.told(name, value)
        self.told("r-9", ROUTER)
        self.assertIn("r-9", [router.name for router in self.news.others])
        for router in self.news.others:
            self.assertTrue(0 < router.endpoint.port < 65536)


class LogTest(TestCase):
    def test_a_text_of_others_is_escaped_and_cut(self):
        self.assertEqual("i-1", escape_for_log("i-1"))
        self.assertEqual("\\ud800\\r\\n", escape_for_log("\ud800\r\n"))
        self.assertEqual("x" * 80 + "...", escape_for_log("x" * 81))
        self.assertLess(len(escape_for_log("\x00" * 80)), 90)

    def test_a_line_with_half_a_character_is_written(self):
        reading, writing = os.pipe()
        self.addCleanup(os.close, reading)
        self.addCleanup(os.close, writing)
        LogWriter(Clock(), writing)({"number": 1, "detail": "\ud800", "n": 2**70})
        line = json.loads(os.read(reading, 1000))
        self.assertEqual(("\ud800", 2**70), (line["detail"], line["n"]))
