"""Versions of a configuration with many routes follow each other quickly.

1,400 routes are added, then versions follow a third of a second apart, each with a few
routes changed, on hosts with 0.4 of a core. Without a cache of decoded routes, each
version took a host 85 ms, as it was parsed, serialised, parsed again and every route
decoded, which delayed requests on small hosts as long as versions kept coming.
"""

from __future__ import annotations

import copy
import json
from unittest import mock

from testtools import TestCase

from primrosescale.platform import records
from primrosescale.platform.entry import PlatformRecordDecoder
from primrosescale.platform.exceptions import RecordError
from primrosescale.platform.records import RouteCache
from primrosescale.platform.records import decode_routing_table
from primrosescale.platform.store_answer import answer_fields
from primrosescale.platform.store_answer import stored_object
from support.entry_site import configuration
from support.entry_site import route

ROUTES = 1400


def large_configuration(version=1):
    fields = configuration(version)
    fields["routes"] += [route(f"more{n}", "safe", "portal") for n in range(ROUTES)]
    return fields


def as_stored(fields, revision=1):
    """Return an object as decoded from an answer of the store."""
    meta = {"name": "main", "revision": revision}
    answer = {"items": [{"metadata": meta, "spec": fields}]}
    items = answer_fields(json.dumps(answer).encode())["items"]
    return stored_object("config", items[0])


class LargeConfigurationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.cache = RouteCache()
        self.fields = large_configuration()

    def read(self, fields):
        """Decode a version; return it and the number of routes decoded."""
        with mock.patch.object(records, "_route", wraps=records._route) as decode_route:
            table = decode_routing_table(as_stored(fields), (), self.cache)
        return table, decode_route.call_count

    def test_only_changed_routes_are_decoded(self):
        _, count = self.read(self.fields)
        self.assertEqual(ROUTES + 4, count)
        changed = copy.deepcopy(self.fields)
        changed["version"] = 2
        changed["routes"][7]["timeout_ms"] = 900
        table, count = self.read(changed)
        self.assertEqual(1, count)
        self.assertEqual(0.9, table.route("desk.example", "/more3/x").timeout)

    def test_the_table_equals_that_of_a_version_decoded_without_cache(self):
        self.read(self.fields)
        changed = copy.deepcopy(self.fields)
        changed["routes"][7]["service"] = "model"
        changed["routes"][9]["kind"] = "unsafe"
        del changed["routes"][11]
        changed["routes"].insert(0, route("first", "streaming", "model"))
        table, _ = self.read(changed)
        uncached = decode_routing_table(as_stored(changed))
        for path in ("/more3/", "/more5/", "/more7/", "/first/", "/more1399/"):
            found = table.route("desk.example", path)
            self.assertEqual(uncached.route("desk.example", path), found)

    def test_a_removed_route_leaves_the_cache(self):
        self.read(self.fields)
        fewer = copy.deepcopy(self.fields)
        del fewer["routes"][9:]
        self.read(fewer)
        _, count = self.read(self.fields)
        self.assertEqual(ROUTES + 4 - 9, count)

    def test_an_unreadable_version_keeps_the_cache(self):
        self.read(self.fields)
        invalid = copy.deepcopy(self.fields)
        invalid["routes"][-1]["service"] = None
        self.assertRaises(RecordError, self.read, invalid)
        _, count = self.read(self.fields)
        self.assertEqual(0, count)

    def test_an_invalid_route_is_refused_each_time(self):
        invalid = copy.deepcopy(self.fields)
        invalid["routes"][3]["max_attempts"] = True
        for _ in range(2):
            self.assertRaises(RecordError, self.read, invalid)

    def test_equal_values_of_other_types_are_distinguished(self):
        self.read(self.fields)
        for field, value in (("priority", True), ("skip_auth", 0), ("sticky", "false")):
            invalid = copy.deepcopy(self.fields)
            invalid["routes"][5][field] = value
            self.assertRaises(RecordError, self.read, invalid)

    def test_the_decoder_caches_routes_across_versions(self):
        decoder = PlatformRecordDecoder()
        decoder.table(as_stored(self.fields))
        with mock.patch.object(records, "_route") as decode_route:
            decoder.table(as_stored({**self.fields, "version": 2}))
        decode_route.assert_not_called()


class StoredObjectTest(TestCase):
    def test_its_content_is_serialised_on_demand(self):
        found = as_stored({"a": [1, None, "é"]})
        self.assertEqual({"a": [1, None, "é"]}, found.fields)
        self.assertEqual(b'{"a": [1, null, "\\u00e9"]}', found.value)

    def test_objects_with_equal_content_are_equal(self):
        one, other = as_stored({"a": 1}), as_stored({"a": 1})
        self.assertEqual(one, other)
        self.assertEqual(hash(one), hash(other))
        self.assertNotEqual(one, as_stored({"a": 1}, revision=2))
        self.assertNotEqual(one, as_stored({"a": 2}))

    def test_nan_is_never_serialised_as_another_value(self):
        answer = b'{"items": [{"metadata": {"name": "x"}, "spec": {"slots": NaN}}]}'
        [item] = answer_fields(answer)["items"]
        found = stored_object("servers", item)
        self.assertIsNone(found.fields)
        self.assertIn(b"NaN", found.value)
