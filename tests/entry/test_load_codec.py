"""Encoding of the load of targets in messages, by the order of a list or by key."""

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

MAX_DATAGRAM_BYTES = 1400


def codec(count, first=0):
    targets = TargetList(2.0)
    for number in range(first, first + count):
        targets.put(target(f"m{number}"), START)
    return LoadCodec(targets)


def message(**fields):
    values = {"store_lost": False, "targets_revision": 0, **fields}
    return wire.RouterNews("a", 1, 1, 0, 1, -1, [], [], **values)


def carry(writer, reader, loads, now=START):
    sent = message()
    writer.write(loads, sent, reader.keys.digest, now)
    return decode(encode(sent))


class LoadCodecTest(TestCase):
    def loads(self, known, running):
        found = LoadSum(START - 0.3, 7, reaches_store=True)
        keys = known.keys.order
        found.running = dict(zip(keys, running, strict=False))
        return found

    def test_routers_that_know_the_same_targets_need_no_keys(self):
        for count in (3, MIN_DEFLATED_TARGETS, 3 * MIN_DEFLATED_TARGETS):
            a, b = codec(count), codec(count)
            loads = self.loads(a, [n % 9 + 1 for n in range(count)])
            loads.outcomes[a.keys.order[1]] = (2.0, 5.0)
            sent = carry(a, b, loads)
            decoded = b.read(sent, START)
            self.assertEqual(loads.running, decoded.running)
            self.assertEqual((7, True), (decoded.routers, decoded.reaches_store))
            self.assertAlmostEqual(START - 0.3, decoded.known_at)
            self.assertLess(len(encode(sent)), 70 + count)

    def test_routers_that_know_other_targets_get_keys(self):
        a, b = codec(10), codec(10, first=1)
        loads = self.loads(a, [4] * 10)
        decoded = b.read(carry(a, b, loads), START)
        self.assertEqual(loads.running, decoded.running)

    def test_a_sum_in_the_order_of_another_list_is_not_decoded(self):
        a, b = codec(10), codec(10)
        sent = carry(a, b, self.loads(a, [4] * 10))
        self.assertIsNone(codec(11).read(sent, START))

    def test_of_many_targets_the_most_loaded_are_sent_by_key(self):
        a, b = codec(400), codec(400, first=1)
        loads = self.loads(a, [1] * 399 + [90])
        sent = carry(a, b, loads)
        self.assertLess(len(encode(sent)), MAX_DATAGRAM_BYTES)
        self.assertIn(90, b.read(sent, START).running.values())

    def test_counts_that_exceed_a_byte_are_capped(self):
        a, b = codec(2), codec(2)
        decoded = b.read(carry(a, b, self.loads(a, [900, 1])), START)
        self.assertEqual([MAX_BYTE_COUNT, 1], list(decoded.running.values()))

    @drawn(200)
    @given(st.binary(max_size=300), st.booleans())
    def test_arbitrary_bytes_are_not_decoded_as_loads(self, drawn_bytes, is_packed):
        known = codec(MIN_DEFLATED_TARGETS)
        digest = known.keys.digest
        sent = message(running=drawn_bytes, is_packed=is_packed, targets_digest=digest)
        decoded = known.read(sent, START)
        self.assertTrue(
            decoded is None or is_packed or len(drawn_bytes) == MIN_DEFLATED_TARGETS
        )

    def test_outcomes_of_a_router_whose_requests_fail_everywhere_are_ignored(self):
        a, b = codec(3), codec(3)
        loads = self.loads(a, [1, 1, 1])
        loads.outcomes = dict.fromkeys(a.keys.order, (1.0, 9.0))
        self.assertEqual({}, b.read(carry(a, b, loads), START).outcomes)


class LoadSumTest(TestCase):
    def test_a_sum_that_was_added_can_be_subtracted(self):
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
