"""Loads of targets in news, by the order of a list or by name."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from entry.fakes import START
from entry.fakes import target
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.load_codec import MAX_BYTE_COUNT
from primrosescale.process.entry.load_codec import MIN_DEFLATED_TARGETS
from primrosescale.process.entry.load_codec import LoadCodec
from primrosescale.process.entry.load_sum import LoadSum
from primrosescale.process.entry.load_sum import total_load
from primrosescale.process.entry.target_list import TargetList
from support.drawn import drawn

BYTES_IN_ONE_PIECE = 1400


def codec(count, first=0):
    targets = TargetList(2.0)
    for number in range(first, first + count):
        targets.put(target(f"m{number}"), START)
    return LoadCodec(targets)


def message(**fields):
    values = {"store_lost": False, "targets_revision": 0, **fields}
    return wire.RouterNews("a", 1, 1, 0, 1, -1, [], [], **values)


def carry(writer, reader, loads, now=START):
    said = message()
    writer.write(loads, said, reader.keys.digest, now)
    return decode(encode(said))


class LoadCodecTest(TestCase):
    def loads(self, known, running):
        found = LoadSum(START - 0.3, 7, reaches_store=True)
        keys = known.keys.order
        found.running = dict(zip(keys, running, strict=False))
        return found

    def test_who_knows_the_same_targets_needs_no_names(self):
        for count in (3, MIN_DEFLATED_TARGETS, 3 * MIN_DEFLATED_TARGETS):
            a, b = codec(count), codec(count)
            told = self.loads(a, [n % 9 + 1 for n in range(count)])
            told.outcomes[a.keys.order[1]] = (2.0, 5.0)
            said = carry(a, b, told)
            heard = b.read(said, START)
            self.assertEqual(told.running, heard.running)
            self.assertEqual((7, True), (heard.routers, heard.reaches_store))
            self.assertAlmostEqual(START - 0.3, heard.known_at)
            self.assertLess(len(encode(said)), 70 + count)

    def test_who_knows_other_targets_is_told_by_name(self):
        a, b = codec(10), codec(10, first=1)
        told = self.loads(a, [4] * 10)
        heard = b.read(carry(a, b, told), START)
        self.assertEqual(told.running, heard.running)

    def test_a_list_that_changed_on_the_way_is_not_misread(self):
        a, b = codec(10), codec(10)
        said = carry(a, b, self.loads(a, [4] * 10))
        self.assertIsNone(codec(11).read(said, START))

    def test_of_many_targets_the_most_loaded_are_told_by_name(self):
        a, b = codec(400), codec(400, first=1)
        told = self.loads(a, [1] * 399 + [90])
        said = carry(a, b, told)
        self.assertLess(len(encode(said)), BYTES_IN_ONE_PIECE)
        self.assertIn(90, b.read(said, START).running.values())

    def test_more_than_a_byte_tells_is_told_as_much_as_it_can(self):
        a, b = codec(2), codec(2)
        heard = b.read(carry(a, b, self.loads(a, [900, 1])), START)
        self.assertEqual([MAX_BYTE_COUNT, 1], list(heard.running.values()))

    @drawn(200)
    @given(st.binary(max_size=300), st.booleans())
    def test_odd_bytes_are_no_loads(self, odd, is_packed):
        known = codec(MIN_DEFLATED_TARGETS)
        digest = known.keys.digest
        said = message(running=odd, is_packed=is_packed, targets_digest=digest)
        heard = known.read(said, START)
        self.assertTrue(heard is None or is_packed or len(odd) == MIN_DEFLATED_TARGETS)

    def test_a_router_to_which_all_targets_fail_is_no_witness(self):
        a, b = codec(3), codec(3)
        told = self.loads(a, [1, 1, 1])
        told.outcomes = dict.fromkeys(a.keys.order, (1.0, 9.0))
        self.assertEqual({}, b.read(carry(a, b, told), START).outcomes)


class LoadSumTest(TestCase):
    def test_what_was_added_can_be_left_out(self):
        parts = []
        for number in range(1, 4):
            part = LoadSum(START - number, 1, reaches_store=number == 2)
            part.running = {5: number, number: 1}
            part.outcomes = {5: (1.0, float(number))}
            parts.append(part)
        total = total_load(parts, START)
        self.assertEqual(
            (START - 3, 3, True),
            (
                total.known_at,
                total.routers,
                total.reaches_store,
            ),
        )
        rest = total.without(parts[2])
        self.assertEqual({5: 3, 1: 1, 2: 1, 3: 0}, rest.running)
        self.assertEqual({5: (2.0, 3.0)}, rest.outcomes)
        self.assertEqual(2, rest.routers)
