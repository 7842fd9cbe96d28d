"""A configuration of many routes whose versions come in quick succession.

The pattern it plays: 1,400 routes are added, then versions follow a third of a second
apart, each with a few routes changed, on hosts of 0.4 of a core. What was seen: each
version took a host 85 ms, as it was parsed, written and parsed again and each route
read, so that requests began late on small hosts for as long as the changes came.
"""

from __future__ import annotations

import copy
import json
from unittest import mock

from testtools import TestCase

from primrosescale.platform import records
from primrosescale.platform.entry import PlatformRecords
from primrosescale.platform.exceptions import RecordError
from primrosescale.platform.records import RouteCache
from primrosescale.platform.records import decode_routing_table
from primrosescale.platform.store_answer import answer_fields
from primrosescale.platform.store_answer import stored_object
from support.entry_site import configuration
from support.entry_site import route

ROUTES = 1400


def large(version=1):
    fields = configuration(version)
    fields["routes"] += [route(f"more{n}", "safe", "portal") for n in range(ROUTES)]
    return fields


def as_stored(fields, revision=1):
    """Return an object as the store's answer brings it."""
    meta = {"name": "main", "revision": revision}
    answer = {"items": [{"metadata": meta, "spec": fields}]}
    items = answer_fields(json.dumps(answer).encode())["items"]
    return stored_object("config", items[0])


class LargeConfigurationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.known = RouteCache()
        self.fields = large()

    def read(self, fields):
        """Decode a version; return it and how many of its routes were read."""
        with mock.patch.object(records, "_route", wraps=records._route) as reading:
            table = decode_routing_table(as_stored(fields), (), self.known)
        return table, reading.call_count

    def test_only_routes_that_changed_are_read(self):
        _, count = self.read(self.fields)
        self.assertEqual(ROUTES + 4, count)
        changed = copy.deepcopy(self.fields)
        changed["version"] = 2
        changed["routes"][7]["timeout_ms"] = 900
        table, count = self.read(changed)
        self.assertEqual(1, count)
        self.assertEqual(0.9, table.route("desk.example", "/more3/x").timeout)

    def test_the_table_is_that_of_a_version_read_whole(self):
        self.read(self.fields)
        changed = copy.deepcopy(self.fields)
        changed["routes"][7]["service"] = "model"
        changed["routes"][9]["kind"] = "unsafe"
        del changed["routes"][11]
        changed["routes"].insert(0, route("first", "streaming", "model"))
        table, _ = self.read(changed)
        whole = decode_routing_table(as_stored(changed))
        for path in ("/more3/", "/more5/", "/more7/", "/first/", "/more1399/"):
            found = table.route("desk.example", path)
            self.assertEqual(whole.route("desk.example", path), found)

    def test_a_route_that_is_gone_is_known_no_more(self):
        self.read(self.fields)
        fewer = copy.deepcopy(self.fields)
        del fewer["routes"][9:]
        self.read(fewer)
        _, count = self.read(self.fields)
        self.assertEqual(ROUTES + 4 - 9, count)

    def test_a_version_that_cannot_be_read_leaves_what_is_known(self):
        self.read(self.fields)
        odd = copy.deepcopy(self.fields)
        odd["routes"][-1]["service"] = None
        self.assertRaises(RecordError, self.read, odd)
        _, count = self.read(self.fields)
        self.assertEqual(0, count)

    def test_an_odd_route_is_refused_each_time(self):
        odd = copy.deepcopy(self.fields)
        odd["routes"][3]["max_attempts"] = True
        for _ in range(2):
            self.assertRaises(RecordError, self.read, odd)

    def test_values_that_resemble_each_other_are_told_apart(self):
        self.read(self.fields)
        for field, value in (("priority", True), ("skip_auth", 0), ("sticky", "false")):
            odd = copy.deepcopy(self.fields)
            odd["routes"][5][field] = value
            self.assertRaises(RecordError, self.read, odd)

    def test_the_adapter_knows_routes_from_version_to_version(self):
        decoder = PlatformRecords()
        decoder.table(as_stored(self.fields))
        with mock.patch.object(records, "_route") as reading:
            decoder.table(as_stored({**self.fields, "version": 2}))
        reading.assert_not_called()


class StoredObjectTest(TestCase):
    def test_its_content_is_written_when_it_is_asked_for(self):
        found = as_stored({"a": [1, None, "é"]})
        self.assertEqual({"a": [1, None, "é"]}, found.fields)
        self.assertEqual(b'{"a": [1, null, "\\u00e9"]}', found.value)

    def test_equal_ones_are_equal_however_they_were_read(self):
        one, other = as_stored({"a": 1}), as_stored({"a": 1})
        self.assertEqual(one, other)
        self.assertEqual(hash(one), hash(other))
        self.assertNotEqual(one, as_stored({"a": 1}, revision=2))
        self.assertNotEqual(one, as_stored({"a": 2}))

    def test_what_is_no_number_is_never_written_as_another_value(self):
        answer = b'{"items": [{"metadata": {"name": "x"}, "spec": {"slots": NaN}}]}'
        [item] = answer_fields(answer)["items"]
        found = stored_object("servers", item)
        self.assertIsNone(found.fields)
        self.assertIn(b"NaN", found.value)
