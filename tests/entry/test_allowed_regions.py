"""Tests routes and organisations whose requests may go to some regions only."""

from __future__ import annotations

import json
import random
from dataclasses import replace

from testtools import TestCase

from entry.fakes import LOOKUP
from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import ForwardingHarness
from entry.fakes import event
from entry.fakes import head
from entry.fakes import make_incarnation
from entry.fakes import prompt
from entry.fakes import request
from entry.fakes import target
from primrosescale.platform.exceptions import RecordError
from primrosescale.platform.records import decode_routing_table
from primrosescale.process.transport.platform import StoredObject
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.choice.prefix_cache_index import PartUse
from primrosescale.request.freshness import Freshness
from primrosescale.request.request_resolver import CallerHead
from primrosescale.request.request_resolver import RequestResolver
from primrosescale.version.routing_table import Organisation
from primrosescale.version.routing_table import RoutingTable
from support.entry_site import configuration

REGIONS = {"a": "north", "b": "north", "c": "south"}
NORTH = frozenset({"north"})
SOUTH = frozenset({"south"})


class AllowedByTest(TestCase):
    def allowed(self, of_route, of_organisation):
        table = RoutingTable(
            1,
            [replace(LOOKUP, allowed_regions=of_route)],
            [],
            {"k1": Organisation("bakery", None, of_organisation)},
            None,
        )
        freshness = Freshness(5.0)
        freshness.answered(START)
        caller = CallerHead(
            method=b"GET",
            path=b"/lookup/x",
            host="desk.example",
            request_id="r1",
            key="k1",
            time_left=1.0,
            prompt=None,
            last_event=None,
            headers=(),
        )
        judged = RequestResolver(freshness, 3.0, random.Random(1)).resolve(
            caller, b"", table, START
        )
        return judged.allowed_regions

    def test_regions_of_route_and_organisation_both_apply(self):
        none = frozenset()
        self.assertIsNone(self.allowed(none, none))
        self.assertEqual(NORTH, self.allowed(NORTH, none))
        self.assertEqual(SOUTH, self.allowed(none, SOUTH))
        self.assertEqual(SOUTH, self.allowed(NORTH | SOUTH, SOUTH))
        self.assertEqual(none, self.allowed(NORTH, SOUTH))


class AllowedRegionsOfTableTest(TestCase):
    def decode(self, route=None, organisation=None, regions=("north", "south")):
        fields = configuration()
        if route is not None:
            fields["routes"][0]["allowed_regions"] = route
        if organisation is not None:
            fields["tenants"][0]["allowed_regions"] = organisation
        stored = StoredObject("config/main", 1, json.dumps(fields).encode())
        return decode_routing_table(stored, regions)

    def test_allowed_regions_are_read(self):
        table = self.decode(["north"], ["south", "north"])
        found = table.route("desk.example", "/plain/x").allowed_regions
        self.assertEqual(NORTH, found)
        self.assertEqual(NORTH | SOUTH, table.organisation("k1").allowed_regions)

    def test_an_unknown_region_is_an_error_and_the_version_is_not_taken(self):
        for wrong in ({"route": ["east"]}, {"organisation": ["north", "east"]}):
            error = self.assertRaises(RecordError, self.decode, **wrong)
            self.assertIn("east", str(error))
            self.assertIn("allowed_regions", str(error))

    def test_malformed_regions_are_errors(self):
        for malformed in ("north", [7], [""], {"north": 1}):
            self.assertRaises(RecordError, self.decode, malformed)

    def test_where_regions_are_not_known_none_is_unknown(self):
        table = self.decode(["east"], regions=())
        found = table.route("desk.example", "/plain/x").allowed_regions
        self.assertEqual(frozenset({"east"}), found)


class AllowedCallTest(TestCase):
    def setUp(self):
        super().setUp()
        targets = [
            target(f"{kind}{n}", service, domain=domain)
            for kind, service in (("p", "portal"), ("m", "model"))
            for n, domain in enumerate("abc", 1)
        ]
        self.harness = ForwardingHarness([*targets, target("m9", domain="unknown")])
        self.harness.tools.regions = REGIONS

    def test_requests_go_to_allowed_targets_only(self):
        for _ in range(20):
            self.harness.call(request(LOOKUP, allowed_regions=SOUTH))
            self.assertEqual("p3", self.harness.caller.last.name)

    def test_repeats_go_to_allowed_targets_only(self):
        _, sink = self.harness.call(request(LOOKUP, allowed_regions=SOUTH))
        self.harness.caller.last.observer.response_lost("reset")
        self.assertEqual(1, len(self.harness.caller.runs))
        self.assertIs(Refusal.CUT, sink.refusal)

    def test_a_resumed_stream_goes_to_allowed_targets_only(self):
        self.harness.call(request(STREAM, allowed_regions=NORTH))
        first = self.harness.caller.last
        first.observer.response_head(head())
        first.observer.response_data(event(1))
        first.observer.response_lost("reset")
        names = {run.name for run in self.harness.caller.runs}
        self.assertEqual({"m1", "m2"}, names)

    def test_a_prompt_is_copied_from_allowed_targets_only(self):
        wanted = prompt(("tariffs", 10000), ("chat", 900))
        self.harness.parts.record_use(
            PartUse("tariffs", make_incarnation("m3"), 10000, START)
        )
        self.harness.call(request(STREAM, allowed_regions=NORTH, prompt=wanted))
        self.assertIsNone(self.harness.caller.last.sending.fetch_from)

    def test_a_target_of_an_unknown_domain_gets_none(self):
        for region in ("north", "south"):
            allowed = frozenset({region})
            for _ in range(20):
                self.harness.call(request(STREAM, allowed_regions=allowed))
                self.assertNotEqual("m9", self.harness.caller.last.name)

    def test_where_no_region_is_allowed_it_is_refused_at_once(self):
        _, sink = self.harness.call(request(LOOKUP, allowed_regions=frozenset()))
        self.assertIs(Refusal.NO_TARGET, sink.refusal)
        self.assertEqual([], self.harness.caller.runs)
