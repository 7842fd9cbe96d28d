"""Tests of when a router asks the store for what others know already."""

from __future__ import annotations

import random
from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.entry_settings import EntryWatches
from primrosescale.process.entry.knowledge import ASK_AGAIN_SECONDS
from primrosescale.process.entry.knowledge import LIST_PATIENCE
from primrosescale.process.entry.knowledge import VERSION_PATIENCE
from primrosescale.process.entry.knowledge import Knowledge
from primrosescale.process.entry.store_watch import WatchedPrefix
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.platform import WatchResult
from primrosescale.request.freshness import Freshness

TICK = 0.25
REST = 0.6


class QuietStore:
    """Answers reads at once with nothing new, and watches never."""

    def __init__(self):
        self.reads = []
        self.watches = []

    def watch(self, prefix, since, wait):
        if since:
            asked = Deferred()
            self.watches.append((prefix, asked))
            return asked
        self.reads.append(prefix)
        return succeed(WatchResult(1, ()))


class Ignorant:
    """Follows nothing."""

    def replaced(self, objects, asked_at):
        """Do nothing."""

    changed = replaced


class LookAfterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = QuietStore()
        self.told = []
        parts = SimpleNamespace(
            reactor=self.clock,
            platform=self.store,
            rng=random.Random(1),
            decoder=None,
            metrics=EntryMetrics(),
            log=SimpleNamespace(emit=lambda event, **said: self.told.append(event)),
        )
        watches = EntryWatches(
            configuration=WatchedPrefix("versions/", 1.5),
            targets=WatchedPrefix("targets/", 8.0, rest=REST),
            routers=WatchedPrefix("routers/", 20.0),
        )
        self.knowledge = Knowledge(
            SimpleNamespace(revoke=5.0, drain=2.0),
            watches,
            parts,
            Freshness(5.0),
            TargetList(2.0),
            Ignorant(),
            lambda: True,
        )
        self.knowledge.start(lambda: None)
        self.store.reads.clear()

    def pass_time(self, seconds, version=0, listed=0):
        for _ in range(int(seconds / TICK)):
            self.knowledge.freshness.answered(self.clock.seconds())
            self.knowledge.look_after(version, listed, self.clock.seconds())
            self.clock.advance(TICK)

    def test_a_version_on_its_way_is_not_asked_for(self):
        self.pass_time(VERSION_PATIENCE - TICK, version=1)
        self.assertEqual([], self.store.reads)

    def test_a_version_the_store_does_not_give_is_asked_for_with_pauses(self):
        self.pass_time(7.0, version=1)
        self.assertIn("versions/", self.store.reads)
        self.assertLessEqual(len(self.store.reads), 7.0 / ASK_AGAIN_SECONDS)

    def test_a_list_that_others_know_better_is_asked_for_with_pauses(self):
        self.pass_time(REST + LIST_PATIENCE - TICK, listed=9)
        before = [prefix for prefix, _ in self.store.watches].count("targets/")
        self.pass_time(REST + LIST_PATIENCE + TICK, listed=9)
        after = [prefix for prefix, _ in self.store.watches].count("targets/")
        self.assertEqual((1, 2), (before, after))

    def test_what_ends_after_the_stop_is_no_failure(self):
        self.knowledge.stop()
        for _, asked in self.store.watches:
            asked.errback(PlatformUnavailableError("connection lost"))
        self.clock.advance(60.0)
        self.assertEqual([], self.told)
        self.assertEqual(3, len(self.store.watches))

    def test_a_renewed_question_is_no_failure(self):
        self.knowledge.renew_watches()
        self.assertEqual([], self.told)
        self.assertEqual(6, len(self.store.watches))
