"""Age of the configuration, acceptance of requests, retry budgets, list of targets."""

from __future__ import annotations

import random
from dataclasses import replace

from testtools import TestCase

from entry.fakes import FRAGILE_STREAM
from entry.fakes import LOOKUP
from entry.fakes import START
from entry.fakes import make_incarnation
from entry.fakes import target
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.answer.event_stream import EventSplitter
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.attempt.retry_share import SharedRetryLimits
from primrosescale.request.freshness import Freshness
from primrosescale.request.request_resolver import CallerHead
from primrosescale.request.request_resolver import RequestResolver
from primrosescale.version.routing_table import CallerLimits
from primrosescale.version.routing_table import Organisation
from primrosescale.version.routing_table import RoutingTable
from primrosescale.version.routing_table import WeightedService
from support.retry_fleet import retry_budget

LIMITS = CallerLimits(
    header_bytes=1000, body_bytes=1000, header_timeout=1.0, idle_timeout=5.0
)


def table(version=1, routes=(LOOKUP,), keys=(("k", 2),)):
    owners = {key: Organisation("bakery", rank) for key, rank in keys}
    return RoutingTable(version, routes, (), owners, LIMITS)


def caller_head(**fields):
    values = {
        "method": b"GET",
        "path": b"/lookup/7?x=1",
        "host": "Desk.example:80",
        "request_id": "r1",
        "key": "k",
        "time_left": 1.5,
        "prompt": None,
        "last_event": None,
        "headers": (),
    }
    return CallerHead(**{**values, **fields})


class FreshnessTest(TestCase):
    def test_the_age_counts_from_when_the_request_was_sent(self):
        fresh = Freshness(5.0)
        self.assertFalse(fresh.allows_keys(START))
        fresh.answered(START)
        self.assertTrue(fresh.allows_keys(START + 4.6))
        self.assertFalse(fresh.allows_keys(START + 4.8))

    def test_an_answer_to_an_older_request_does_not_increase_the_age(self):
        fresh = Freshness(5.0)
        fresh.answered(START + 2)
        fresh.answered(START)
        self.assertEqual(1.0, fresh.age(START + 3))


class GateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fresh = Freshness(5.0)
        self.fresh.answered(START)
        self.resolver = RequestResolver(self.fresh, 2.0, random.Random(1))

    def resolve(self, now=START + 1, known=None, **fields):
        known = table() if known is None else known
        return self.resolver.resolve(caller_head(**fields), b"", known, now)

    def test_a_proper_request_is_accepted(self):
        found = self.resolve()
        self.assertEqual(("lookup", "bakery", 2, 1), self.parts(found))
        self.assertEqual(START + 1 + 0.8, found.give_up_at)

    def parts(self, found):
        return found.route.name, found.organisation, found.priority, found.version

    def test_the_longest_prefix_of_the_host_wins(self):
        longer = replace(LOOKUP, name="longer", path_prefix="/lookup/7/")
        elsewhere = replace(LOOKUP, name="else", host="x", path_prefix="/lookup/7/8/")
        known = table(routes=(LOOKUP, longer, elsewhere))
        self.assertEqual(
            "longer", self.resolve(path=b"/lookup/7/8/", known=known).route.name
        )
        self.assertEqual(
            "lookup", self.resolve(path=b"/lookup/70/", known=known).route.name
        )

    def test_unknown_routes_and_keys_are_refused_while_knowledge_is_recent(self):
        self.assertEqual(Refusal.NO_ROUTE, self.resolve(path=b"/none/"))
        self.assertEqual(Refusal.UNKNOWN_KEY, self.resolve(key="x"))
        self.assertEqual(Refusal.UNKNOWN_KEY, self.resolve(key=""))

    def test_routes_and_keys_that_may_have_been_added_can_be_retried(self):
        later = START + 2.5
        self.assertEqual(Refusal.STALE, self.resolve(later, path=b"/none/"))
        self.assertEqual(Refusal.STALE, self.resolve(later, key="x"))

    def test_a_key_is_not_accepted_once_its_withdrawal_may_be_unknown(self):
        self.assertNotEqual(Refusal.STALE, self.resolve(START + 4.6))
        self.assertEqual(Refusal.STALE, self.resolve(START + 4.8))

    # Revoked and unknown keys, and none, were accepted once no key was left.
    def test_without_any_key_left_nobody_is_admitted(self):
        known = table(keys=())
        for key in ("k", "x", ""):
            self.assertEqual(Refusal.UNKNOWN_KEY, self.resolve(known=known, key=key))

    def test_a_version_without_organisations_admits_everybody(self):
        known = RoutingTable(1, (LOOKUP,), (), None, LIMITS)
        self.assertEqual("", self.resolve(START + 60, known=known, key="").organisation)

    def test_an_open_route_needs_no_key_and_no_recent_configuration(self):
        known = table(routes=(replace(LOOKUP, allows_anonymous=True),))
        found = self.resolve(START + 60, known=known, key="")
        self.assertEqual("", found.organisation)

    def test_requests_before_the_first_configuration_are_refused(self):
        found = self.resolver.resolve(caller_head(), b"", None, START)
        self.assertEqual(Refusal.NO_CONFIGURATION, found)

    def test_a_request_without_an_id_is_refused(self):
        self.assertEqual(Refusal.NO_REQUEST_ID, self.resolve(request_id=""))

    def test_a_split_route_leads_to_its_services_by_weight(self):
        split = replace(
            FRAGILE_STREAM,
            path_prefix="/lookup/",
            services=(WeightedService("a", 90.0), WeightedService("b", 10.0)),
        )
        known = table(routes=(split,))
        found = [self.resolve(known=known).service for _ in range(1000)]
        self.assertTrue(850 < found.count("a") < 950, found.count("a"))


class BudgetTest(TestCase):
    def test_routers_share_the_bound(self):
        budget = retry_budget(SharedRetryLimits(0.2, 10.0, 40.0), 4, START)
        spent = []
        found = set()
        for number in range(200):
            now = START + number / 5
            budget.requested(now)
            spent += [now] * sum(budget.spend(now) for _ in range(100))
            found.add(sum(at > now - 10 for at in spent))
        bound = 0.2 * 50 + 40 / 4
        self.assertTrue(0.75 * bound <= max(found) < bound, max(found))

    # Counts that were dropped too early would allow more, or less.
    def test_the_bound_holds_for_minutes(self):
        budget = retry_budget(SharedRetryLimits(0.5, 10.0, 0.0), 1, START)
        bound = 0.5 * 200
        spent = []
        for number in range(2400):
            now = START + number / 20
            budget.requested(now)
            spent += [now] * sum(budget.spend(now) for _ in range(9))
            in_window = sum(at > now - 10 for at in spent[-400:])
            self.assertTrue(in_window <= bound, (number, in_window))
            if number > 400:
                self.assertTrue(in_window >= 0.85 * bound, (number, in_window))

    def test_the_window_slides(self):
        budget = retry_budget(SharedRetryLimits(0.0, 10.0, 5.0), 1, START)
        # Half of the four at once, the others as time passes.
        self.assertEqual(2, sum(budget.spend(START) for _ in range(9)))
        self.assertEqual(2, sum(budget.spend(START + 10.3) for _ in range(9)))
        self.assertFalse(budget.spend(START + 14.0))
        self.assertTrue(budget.spend(START + 15.6))


class TargetListTest(TestCase):
    def setUp(self):
        super().setUp()
        self.targets = TargetList(2.0)
        for name in ("m1", "m2"):
            self.targets.put(target(name), START)

    def names(self):
        return [state.target.name for state in self.targets.of_service("model")]

    def test_a_gone_entry_is_avoided_at_once_and_forgotten_soon(self):
        self.targets.remove("m1", START)
        self.assertEqual(["m2"], self.names())
        self.assertEqual([], self.targets.forget_expired(START + 1.5))
        self.assertEqual(
            [make_incarnation("m1")], self.targets.forget_expired(START + 1.7)
        )

    def test_when_all_entries_lapse_the_targets_still_serve_for_a_while(self):
        self.targets.remove("m1", START)
        self.targets.remove("m2", START)
        self.assertEqual(["m1", "m2"], self.names())
        self.targets.forget_expired(START + 1.7)
        self.assertEqual([], self.names())

    def test_an_entry_that_comes_back_keeps_its_state(self):
        before = self.targets.state("m1")
        self.targets.remove("m1", START)
        self.targets.put(target("m1"), START + 1)
        self.assertIs(before, self.targets.state("m1"))
        self.assertEqual([], self.targets.forget_expired(START + 10))

    def test_a_target_that_was_leaving_is_forgotten_at_once(self):
        self.targets.put(target("m1", is_draining=True), START)
        self.targets.remove("m1", START)
        self.assertEqual([make_incarnation("m1")], self.targets.forget_expired(START))

    def test_only_real_changes_count_as_changes(self):
        self.assertFalse(self.targets.put(target("m1"), START))
        self.assertTrue(self.targets.put(target("m1", is_draining=True), START))


class EventSplitterTest(TestCase):
    def test_events_are_complete_however_the_bytes_are_split(self):
        text = b"id: 1\ndata: a\n\nid: 2\nversion: 3\ndata: b\n\n: note\n\n"
        for size in (1, 2, 7, 100):
            splitter = EventSplitter()
            found = []
            for start in range(0, len(text), size):
                found += splitter.feed(text[start : start + size])
            self.assertEqual([1, 2, None], [item.number for item in found])
            self.assertEqual(text, b"".join(item.data for item in found))
            self.assertEqual(b"", splitter.remainder)

    def test_an_event_without_end_is_an_error(self):
        self.assertRaises(ValueError, EventSplitter().feed, b"x" * 300_000)
