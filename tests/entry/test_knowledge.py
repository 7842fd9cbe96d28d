"""Tests of when a router asks the store for what others know already."""

from __future__ import annotations

import random
from collections import Counter
from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import fail
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.entry_settings import WatchedPrefixes
from primrosescale.process.entry.store_state import ASK_AGAIN_SECONDS
from primrosescale.process.entry.store_state import LIST_PATIENCE
from primrosescale.process.entry.store_state import VERSION_PATIENCE
from primrosescale.process.entry.store_state import StoreState
from primrosescale.process.entry.store_watch import FIRST_PAUSE
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

    def failed(self, error):
        """Do nothing."""


class KnowledgeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = self.make_store()
        self.told = []
        parts = SimpleNamespace(
            reactor=self.clock,
            platform=self.store,
            rng=random.Random(1),
            decoder=None,
            metrics=EntryMetrics(),
            log=SimpleNamespace(emit=lambda event, **said: self.told.append(event)),
        )
        watches = WatchedPrefixes(
            configuration=WatchedPrefix("versions/", 1.5, reads_after_failure=True),
            targets=WatchedPrefix("targets/", 8.0, rest=REST),
            routers=WatchedPrefix("routers/", 20.0),
        )
        self.knowledge = StoreState(
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

    def make_store(self):
        return QuietStore()

    def pass_time(self, seconds, version=0, listed=0):
        for _ in range(int(seconds / TICK)):
            self.knowledge.freshness.answered(self.clock.seconds())
            self.knowledge.poll_if_stale(version, listed, self.clock.seconds())
            self.clock.advance(TICK)


class LookAfterTest(KnowledgeTest):
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


class LostStore(QuietStore):
    """Fails each question while it is down, and keeps watches waiting else."""

    def __init__(self):
        super().__init__()
        self.is_down = False
        self.asked = []

    def watch(self, prefix, since, wait):
        self.asked.append(prefix)
        if self.is_down:
            return fail(PlatformUnavailableError("status 503"))
        return super().watch(prefix, since, wait)

    def fall(self):
        """Go down: what waits is answered with a failure."""
        self.is_down = True
        waiting, self.watches = self.watches, []
        for _, asked in waiting:
            asked.errback(PlatformUnavailableError("connection lost"))
        self.asked.clear()


class OutageTest(KnowledgeTest):
    """A store that is away for long, asked by hundreds of routers."""

    OUTAGE = 10.0
    # The watch of the configuration asks two or three times a second.
    MOST_ASKED_A_SECOND = 4

    def make_store(self):
        return LostStore()

    def pass_outage(self, seconds):
        for _ in range(int(seconds / TICK)):
            self.knowledge.poll_if_stale(1, 0, self.clock.seconds())
            self.clock.advance(TICK)

    def test_one_watch_asks_for_all(self):
        self.store.fall()
        self.pass_outage(self.OUTAGE)
        asked = Counter(self.store.asked)
        self.assertLess(len(self.store.asked), self.MOST_ASKED_A_SECOND * self.OUTAGE)
        self.assertGreater(asked["versions/"], 3 * asked["targets/"])
        self.assertGreater(asked["versions/"], 3 * asked["routers/"])

    def test_the_end_of_an_outage_wakes_the_others_at_once(self):
        self.store.fall()
        self.pass_outage(self.OUTAGE)
        self.store.asked.clear()
        self.store.is_down = False
        while "versions/" not in self.store.asked:
            self.clock.advance(0.01)
        self.assertEqual({"versions/", "targets/", "routers/"}, set(self.store.asked))

    def test_a_failure_of_one_watch_alone_is_asked_through(self):
        [asked] = [a for prefix, a in self.store.watches if prefix == "targets/"]
        self.store.asked.clear()
        asked.errback(PlatformUnavailableError("status 429"))
        self.clock.advance(FIRST_PAUSE)
        self.assertEqual(["targets/"], self.store.asked)
