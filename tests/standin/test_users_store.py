"""Tests of stale reads, late watches and foreign entries of the stand-in store."""

from __future__ import annotations

import json

from testtools import TestCase
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from primrosescale.process.transport.http_client import HttpClient
from primrosescale.standin.object_platform_store import ObjectPlatformStore
from primrosescale.standin.object_platform_store import RawContent
from primrosescale.standin.object_platform_store import foreign_entries
from support.live import LiveTest

ENTRY = {
    "service": "portal",
    "address": "127.0.0.1:80",
    "zone": "a",
    "state": "ready",
    "slots": 16,
    "born": 1_790_000_000_000,
}
LIST = "/api/objects/servers"


class ForeignEntriesTest(TestCase):
    def test_each_differs_from_the_good_one(self):
        found = foreign_entries(ENTRY)
        self.assertTrue(len(found) > 40)
        for label, content in found.items():
            self.assertNotEqual(ENTRY, content, label)

    def test_each_field_is_missing_once_and_of_another_type(self):
        found = foreign_entries(ENTRY)
        for name in ENTRY:
            affected = [c for c in found.values() if isinstance(c, dict) and name in c]
            types = {type(c[name]) for c in affected}
            self.assertTrue(len(types) > 2, name)
            self.assertEqual(name != "born", f"no {name}" in found)


class LaggingStoreTest(LiveTest):
    def setUp(self):
        super().setUp()
        self.store = ObjectPlatformStore()
        self.caller = HttpClient(reactor, self.serve(self.store), 2.0)
        self.addCleanup(self.caller.close)
        self.store.write("servers", "t1", ENTRY)

    @inlineCallbacks
    def read(self, path):
        reply = yield self.caller.call("GET", path)
        return json.loads(reply.body)

    @inlineCallbacks
    def test_only_reads_that_allow_it_are_stale(self):
        self.store.fall_behind()
        self.store.write("servers", "t2", ENTRY)
        for path, names in ((LIST, ["t1", "t2"]), (f"{LIST}?allow_stale=1", ["t1"])):
            found = yield self.read(path)
            self.assertEqual(names, [i["metadata"]["name"] for i in found["items"]])
        self.store.catch_up()
        found = yield self.read(f"{LIST}?allow_stale=1")
        self.assertEqual(2, len(found["items"]))

    @inlineCallbacks
    def test_an_older_entry_may_be_written_after_a_newer_one(self):
        former = self.store.content("servers", "t1")
        self.store.write("servers", "t1", {**ENTRY, "born": ENTRY["born"] + 1})
        self.store.write("servers", "t1", former)
        found = yield self.read(f"{LIST}/t1")
        self.assertEqual(ENTRY, found["spec"])

    @inlineCallbacks
    def test_watches_receive_late_what_was_written_while_it_lagged(self):
        self.store.faults.drops_watch_events = True
        found = []
        watching = self.read(f"{LIST}?watch=2&wait_ms=2000").addCallback(found.append)
        while not self.store.waiting("servers"):
            yield deferLater(reactor, 0.01, lambda: None)
        self.store.write("servers", "t2", ENTRY)
        yield deferLater(reactor, 0.05, lambda: None)
        self.assertEqual([], found)
        self.store.catch_up()
        yield watching
        self.assertEqual("t2", found[0]["events"][0]["object"]["metadata"]["name"])

    # An empty answer made routers accept keys longer than the bound after their end.
    @inlineCallbacks
    def test_a_lagging_store_does_not_answer_that_nothing_has_changed(self):
        self.store.faults.drops_watch_events = True
        found = []
        for wait in (0, 100):
            path = f"{LIST}?watch=2&wait_ms={wait}"
            self.read(path).addCallback(found.append)
        self.store.write("servers", "t2", ENTRY)
        yield deferLater(reactor, 0.3, lambda: None)
        self.assertEqual([], found)
        self.store.catch_up()
        yield deferLater(reactor, 0.1, lambda: None)
        names = [a["events"][0]["object"]["metadata"]["name"] for a in found]
        self.assertEqual(["t2", "t2"], names)

    @inlineCallbacks
    def test_bytes_that_cannot_be_read_are_answered_as_they_are(self):
        self.store.write("servers", "t2", RawContent(b'"\xff"'))
        reply = yield self.caller.call("GET", LIST)
        self.assertIn(b'"spec": "\xff"', reply.body)
        self.assertIn(b'"t1"', reply.body)
