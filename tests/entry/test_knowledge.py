"""When a router polls the store for state that other routers already have."""

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
from primrosescale.process.entry.store_state import LIST_ARRIVAL_SECONDS
from primrosescale.process.entry.store_state import POLL_PAUSE_SECONDS
from primrosescale.process.entry.store_state import VERSION_ARRIVAL_SECONDS
from primrosescale.process.entry.store_state import StoreState
from primrosescale.process.entry.store_watch import MIN_PAUSE_SECONDS
from primrosescale.process.entry.store_watch import WatchedPrefix
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.platform import WatchResult
from primrosescale.request.freshness import Freshness

TICK = 0.25
REST = 0.6


class QuietStore:
    """Answers reads at once with no changes, and never answers watches."""

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


class IgnoringHandler:
    """Ignores all results."""

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
        self.events = []
        parts = SimpleNamespace(
            reactor=self.clock,
            platform=self.store,
            rng=random.Random(1),
            decoder=None,
            metrics=EntryMetrics(),
            log=SimpleNamespace(
                emit=lambda event, **details: self.events.append(event)
            ),
        )
        watches = WatchedPrefixes(
            configuration=WatchedPrefix("versions/", 1.5, reads_after_failure=True),
            targets=WatchedPrefix("targets/", 8.0, rest=REST),
            routers=WatchedPrefix("routers/", 20.0),
        )
        self.store_state = StoreState(
            SimpleNamespace(revoke=5.0, drain=2.0),
            watches,
            parts,
            Freshness(5.0),
            TargetList(2.0),
            IgnoringHandler(),
            lambda: True,
        )
        self.store_state.start(lambda: None)
        self.store.reads.clear()

    def make_store(self):
        return QuietStore()

    def pass_time(self, seconds, version=0, listed=0):
        for _ in range(int(seconds / TICK)):
            self.store_state.freshness.answered(self.clock.seconds())
            self.store_state.poll_if_stale(version, listed, self.clock.seconds())
            self.clock.advance(TICK)


class PollingTest(KnowledgeTest):
    def test_a_version_that_may_still_arrive_is_not_requested(self):
        self.pass_time(VERSION_ARRIVAL_SECONDS - TICK, version=1)
        self.assertEqual([], self.store.reads)

    def test_a_version_the_store_does_not_send_is_requested_with_pauses(self):
        self.pass_time(7.0, version=1)
        self.assertIn("versions/", self.store.reads)
        self.assertLessEqual(len(self.store.reads), 7.0 / POLL_PAUSE_SECONDS)

    def test_a_list_that_is_newer_elsewhere_is_requested_with_pauses(self):
        self.pass_time(REST + LIST_ARRIVAL_SECONDS - TICK, listed=9)
        before = [prefix for prefix, _ in self.store.watches].count("targets/")
        self.pass_time(REST + LIST_ARRIVAL_SECONDS + TICK, listed=9)
        after = [prefix for prefix, _ in self.store.watches].count("targets/")
        self.assertEqual((1, 2), (before, after))

    def test_requests_that_fail_after_the_stop_are_not_logged(self):
        self.store_state.stop()
        for _, asked in self.store.watches:
            asked.errback(PlatformUnavailableError("connection lost"))
        self.clock.advance(60.0)
        self.assertEqual([], self.events)
        self.assertEqual(3, len(self.store.watches))

    def test_a_renewed_request_is_not_logged_as_failed(self):
        self.store_state.renew_watches()
        self.assertEqual([], self.events)
        self.assertEqual(6, len(self.store.watches))


class FailingStore(QuietStore):
    """Fails each request while it is down, and otherwise leaves watches pending."""

    def __init__(self):
        super().__init__()
        self.is_down = False
        self.asked = []

    def watch(self, prefix, since, wait):
        self.asked.append(prefix)
        if self.is_down:
            return fail(PlatformUnavailableError("status 503"))
        return super().watch(prefix, since, wait)

    def go_down(self):
        """Go down: pending requests fail."""
        self.is_down = True
        pending, self.watches = self.watches, []
        for _, asked in pending:
            asked.errback(PlatformUnavailableError("connection lost"))
        self.asked.clear()


class OutageTest(KnowledgeTest):
    """A long outage of a store that is used by hundreds of routers."""

    OUTAGE = 10.0
    # The watch of the configuration polls two or three times a second.
    MAX_REQUESTS_PER_SECOND = 4

    def make_store(self):
        return FailingStore()

    def pass_outage(self, seconds):
        for _ in range(int(seconds / TICK)):
            self.store_state.poll_if_stale(1, 0, self.clock.seconds())
            self.clock.advance(TICK)

    def test_one_watch_polls_on_behalf_of_all(self):
        self.store.go_down()
        self.pass_outage(self.OUTAGE)
        asked = Counter(self.store.asked)
        self.assertLess(
            len(self.store.asked), self.MAX_REQUESTS_PER_SECOND * self.OUTAGE
        )
        self.assertGreater(asked["versions/"], 3 * asked["targets/"])
        self.assertGreater(asked["versions/"], 3 * asked["routers/"])

    def test_the_end_of_an_outage_renews_the_other_watches_at_once(self):
        self.store.go_down()
        self.pass_outage(self.OUTAGE)
        self.store.asked.clear()
        self.store.is_down = False
        while "versions/" not in self.store.asked:
            self.clock.advance(0.01)
        self.assertEqual({"versions/", "targets/", "routers/"}, set(self.store.asked))

    def test_a_failure_of_a_single_watch_is_retried(self):
        [asked] = [a for prefix, a in self.store.watches if prefix == "targets/"]
        self.store.asked.clear()
        asked.errback(PlatformUnavailableError("status 429"))
        self.clock.advance(MIN_PAUSE_SECONDS)
        self.assertEqual(["targets/"], self.store.asked)
