"""An odd object in an answer of the store hides none of those beside it."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks

from primrosescale.platform.exceptions import RecordError
from primrosescale.platform.object_platform import ObjectPlatform
from primrosescale.platform.records import decode_target
from primrosescale.platform.store_answer import answer_fields
from primrosescale.platform.store_answer import stored_object
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.standin.users_store import UsersStore
from support.drawn import drawn
from support.foreign import DEEP
from support.foreign import TARGET
from support.foreign import values
from support.live import LiveTest

# Contents of an object that make the whole answer unreadable to a parser.
SPOILERS = (
    b"[" * DEEP + b"]" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b'{"slots": 1' + b"0" * 5000 + b"}",
    b'{"zone": "\xff\xfe"}',
    b'{"zone": "\xc3"}',
    b'"\xed\xa0\x80"',
    b'{"zone": "], \\"}, {", "slots": 1' + b"0" * 5000 + b"}",
)
# Contents that are odd in a place or another.
ODD_SPECS = (
    None,
    7,
    "text",
    [],
    {},
    {"encoding": "base64"},
    {"encoding": "base64", "data": 7},
    {"encoding": "base64", "data": "no base64 é"},
    {"encoding": "base64", "data": "/w=="},
)
ODD_ITEMS = (
    None,
    7,
    "text",
    [],
    {},
    {"metadata": None, "spec": TARGET},
    {"metadata": [], "spec": TARGET},
    {"metadata": {}, "spec": TARGET},
    {"metadata": {"name": None}, "spec": TARGET},
    {"metadata": {"name": 7}, "spec": TARGET},
    {"metadata": {"name": ""}, "spec": TARGET},
    {"metadata": {"name": "odd"}},
)
ODD_MEMBERS = (
    {"revision": "7"},
    {"revision": True},
    {"revision": -1},
    {"revision": 2**63},
    {"revision": 1e999},
    {"revision": 1.5},
    {"revision": []},
    {"deleting": "false"},
    {"deleting": 1},
)


def item(name, revision=5, spec=None):
    meta = {"name": name, "revision": revision, "deleting": False}
    return {"metadata": meta, "spec": TARGET if spec is None else spec}


def with_raw(fields, raw):
    """Return the JSON of an answer in which ``"?"`` stands for other bytes."""
    return json.dumps(fields).encode().replace(b'"?"', raw)


class RawStore(UsersStore):
    """A store that gives one answer as it is told."""

    def __init__(self):
        super().__init__()
        self.raw = []

    def render(self, request):
        if not self.raw:
            return super().render(request)
        request.setHeader(b"Content-Type", b"application/json")
        return self.raw.pop(0)


class AnswerTest(TestCase):
    def test_what_spoils_the_answer_spoils_one_object(self):
        for raw in SPOILERS:
            items = [item("a"), item("b", spec="?"), item("c")]
            fields = answer_fields(
                with_raw({"items": items, "truncated": False, "current_rev": 9}, raw)
            )
            found = [stored_object("servers", each) for each in fields["items"]]
            self.assertEqual(
                ["servers/a", "servers/b", "servers/c"], [o.key for o in found]
            )
            self.assertEqual((9, False), (fields["current_rev"], fields["truncated"]))
            self.assertEqual(["a", "c"], self.readable(found))

    def test_an_object_as_long_as_the_store_takes_is_passed_over(self):
        raw = b"[" * 500_000 + b"]" * 500_000
        items = [item("a"), item("b", spec="?"), item("c")]
        found = answer_fields(with_raw({"items": items}, raw))["items"]
        names = self.readable(stored_object("servers", each) for each in found)
        self.assertEqual(["a", "c"], names)

    def test_what_spoils_a_watch_spoils_one_event(self):
        for raw in SPOILERS:
            events = [
                {"deleted": False, "object": item("a")},
                {"deleted": False, "object": item("b", spec="?")},
                {"deleted": True, "object": item("c")},
            ]
            fields = answer_fields(with_raw({"events": events, "current_rev": 9}, raw))
            found = [
                stored_object("servers", each["object"], deleted=each["deleted"])
                for each in fields["events"]
            ]
            self.assertEqual([False, False, True], [o.is_deleted for o in found])
            self.assertEqual(["a", "c"], self.readable(found))

    def readable(self, found):
        names = []
        for each in found:
            try:
                names.append(decode_target(each).name)
            except RecordError:
                continue
        return names

    def test_odd_contents_and_members_are_never_a_target(self):
        odd = [{"metadata": {"name": "b"}, "spec": spec} for spec in ODD_SPECS]
        odd += [
            {"metadata": {"name": "b", **member}, "spec": TARGET}
            for member in ODD_MEMBERS
        ]
        for each in [*odd, *ODD_ITEMS]:
            self.assertEqual([], self.readable([stored_object("servers", each)]))
        late = stored_object("servers", item("b"), deleted="false")
        self.assertEqual([], self.readable([late]))

    def test_an_answer_that_is_none_is_one_clear_error(self):
        for odd in (
            b"",
            b"<html>",
            b"[]",
            b"7",
            b'{"items": [',
            b'{"items": [\xff',
            b'{"items": []}}\xff',
            b'{"items": "\xff"}',
            b'{"items": [], "current_rev": "\xff"}',
            b"[" * DEEP,
            b'{"items" [\xff]}',
            b"{\xff: 1}",
        ):
            self.assertRaises(PlatformUnavailableError, answer_fields, odd)

    def test_a_member_whose_name_is_none_leaves_the_neighbours(self):
        for raw in SPOILERS:
            fields = {"items": [item("a"), {"?": None}, item("c")]}
            found = answer_fields(with_raw(fields, raw))["items"]
            names = self.readable(stored_object("servers", each) for each in found)
            self.assertEqual(("a", "c"), (names[0], names[-1]), raw[:20])

    @drawn(200)
    @given(
        st.lists(
            st.one_of(
                values,
                st.builds(item, st.text(max_size=5), values, values),
                st.fixed_dictionaries(
                    {"object": values | st.builds(item, st.text(max_size=5))},
                    optional={"deleted": values},
                ),
            ),
            max_size=4,
        ),
        st.sampled_from(SPOILERS) | st.binary(max_size=8),
    )
    def test_drawn_objects_leave_their_neighbours(self, odd, raw):
        fields = {"items": [item("a"), item("b", spec="?"), *odd, item("c")]}
        try:
            found = answer_fields(with_raw(fields, raw))["items"]
        except PlatformUnavailableError:
            # Only bytes that break the brackets themselves hide the rest.
            self.assertNotIn(raw, SPOILERS)
            return
        if raw in SPOILERS:
            names = self.readable(stored_object("servers", each) for each in found)
            self.assertEqual(("a", "c"), (names[0], names[-1]))


class ObjectPlatformTest(LiveTest):
    def setUp(self):
        super().setUp()
        self.store = RawStore()
        self.platform = ObjectPlatform(reactor, self.serve(self.store), 0.5)
        self.addCleanup(self.platform.close)

    def answer(self, items, raw=b"null", *, more=False):
        fields = {"items": items, "truncated": more, "current_rev": 9}
        self.store.raw.append(with_raw(fields, raw))

    @inlineCallbacks
    def test_a_list_shows_all_beside_an_odd_one(self):
        for raw in SPOILERS:
            self.answer([item("a"), item("b", spec="?"), item("c")], raw)
            found = yield self.platform.watch("servers/", 0, 0.0)
            self.assertEqual(3, len(found.changes))
        for odd in ODD_ITEMS:
            self.answer([item("a"), odd, item("c")])
            found = yield self.platform.watch("servers/", 0, 0.0)
            keys = [each.key for each in found.changes]
            self.assertEqual(("servers/a", "servers/c"), (keys[0], keys[-1]))

    @inlineCallbacks
    def test_a_watch_shows_all_beside_an_odd_one(self):
        for odd in (*ODD_ITEMS, {"object": 7}, {"deleted": True}):
            events = [{"deleted": False, "object": item("a")}, odd]
            fields = {"events": events, "current_rev": 9}
            self.store.raw.append(json.dumps(fields).encode())
            found = yield self.platform.watch("servers/", 3, 0.0)
            self.assertEqual(("servers/a", 9), (found.changes[0].key, found.revision))

    @inlineCallbacks
    def test_odd_names_at_the_end_of_a_page_hide_no_later_page(self):
        for name in ("\ud800", "a b&c=d", "é", "x" * 3000, "a/b"):
            self.answer([item("a"), item(name)], more=True)
            self.answer([item("z")])
            found = yield self.platform.watch("servers/", 0, 0.0)
            self.assertEqual("servers/z", found.changes[-1].key)
        for odd in ODD_ITEMS[:-1]:
            self.answer([item("a"), odd], more=True)
            self.answer([odd, item("z")])
            found = yield self.platform.watch("servers/", 0, 0.0)
            self.assertEqual("servers/z", found.changes[-1].key)

    @inlineCallbacks
    def test_half_a_list_is_none(self):
        self.answer([item("a"), None], more=True)
        self.answer([None, None], more=True)
        try:
            yield self.platform.watch("servers/", 0, 0.0)
        except PlatformUnavailableError:
            return
        self.fail("half a list was taken for a whole one")

    @inlineCallbacks
    def test_an_odd_revision_of_the_store_is_one_clear_error(self):
        for odd in (None, "9", True, -1, 2**63, 1e999):
            self.store.raw.append(
                json.dumps({"events": [], "current_rev": odd}).encode()
            )
            try:
                yield self.platform.watch("servers/", 3, 0.0)
            except PlatformUnavailableError:
                continue
            self.fail(f"revision {odd!r} was taken")
