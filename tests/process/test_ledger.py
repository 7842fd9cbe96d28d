"""Claims are granted once and never taken over, also when writes conflict or fail."""

from __future__ import annotations

from testtools import TestCase
from twisted.internet.task import Clock

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import ClaimState
from primrosescale.connection.wire.ttypes import ClaimVerb
from primrosescale.process.ledger.claim_writer import ClaimWriter
from primrosescale.process.ledger.ledger_bucket import FORMAT
from primrosescale.process.ledger.ledger_bucket import LedgerFormatError
from primrosescale.process.ledger.ledger_bucket import LedgerSettings
from primrosescale.process.ledger.ledger_bucket import SealedIndex
from primrosescale.process.ledger.ledger_bucket import decide
from primrosescale.process.ledger.ledger_bucket import decode_segment
from primrosescale.process.ledger.ledger_bucket import encode_segment
from primrosescale.process.ledger.ledger_bucket import tail_name
from primrosescale.request.claim import claim_key
from primrosescale.request.claim import request_fingerprint
from primrosescale.standin.memory_platform import MemoryPlatform
from primrosescale.standin.object_store import ObjectStore
from primrosescale.standin.object_store import StoreSettings

KEY = b"k" * 16
FINGERPRINT = b"f" * 16


def make_request(
    verb=ClaimVerb.CLAIM, token=b"A", key=KEY, fingerprint=FINGERPRINT, answer=None
):
    return wire.ClaimRequest(1, verb, key, token, fingerprint, answer)


def make_entry(state, token=b"A", answer=None):
    return wire.LedgerEntry(KEY, token, FINGERPRINT, state, 0, answer)


ANSWER = wire.StoredAnswer(200, [], b"done", True)

# Stored entry, request, state of the reply, and whether an entry is stored.
DECISIONS = [
    (None, make_request(), ClaimState.GRANTED, True),
    (make_entry(ClaimState.GRANTED), make_request(), ClaimState.GRANTED, False),
    (make_entry(ClaimState.GRANTED, b"B"), make_request(), ClaimState.HELD, False),
    (make_entry(ClaimState.RECORDED, b"B"), make_request(), ClaimState.RECORDED, False),
    (make_entry(ClaimState.ABANDONED, b"B"), make_request(), ClaimState.GRANTED, True),
    (make_entry(ClaimState.ABANDONED), make_request(), ClaimState.ABANDONED, False),
    (
        make_entry(ClaimState.GRANTED, b"B"),
        make_request(fingerprint=b"g" * 16),
        ClaimState.REUSED,
        False,
    ),
    (
        make_entry(ClaimState.GRANTED),
        make_request(ClaimVerb.RECORD),
        ClaimState.RECORDED,
        True,
    ),
    (
        make_entry(ClaimState.GRANTED, b"B"),
        make_request(ClaimVerb.RECORD),
        ClaimState.HELD,
        False,
    ),
    (
        make_entry(ClaimState.ABANDONED),
        make_request(ClaimVerb.RECORD),
        ClaimState.HELD,
        False,
    ),
    (
        make_entry(ClaimState.RECORDED),
        make_request(ClaimVerb.RECORD),
        ClaimState.RECORDED,
        False,
    ),
    (None, make_request(ClaimVerb.RECORD), ClaimState.HELD, False),
    (
        make_entry(ClaimState.GRANTED),
        make_request(ClaimVerb.ABANDON),
        ClaimState.ABANDONED,
        True,
    ),
    (
        make_entry(ClaimState.GRANTED, b"B"),
        make_request(ClaimVerb.ABANDON),
        ClaimState.HELD,
        False,
    ),
    (
        make_entry(ClaimState.RECORDED),
        make_request(ClaimVerb.ABANDON),
        ClaimState.RECORDED,
        False,
    ),
    (None, make_request(ClaimVerb.ABANDON), ClaimState.ABANDONED, True),
]


class DecideTest(TestCase):
    def test_every_request_against_every_state(self):
        for known, request, state, is_stored in DECISIONS:
            decision = decide(request, known, 5)
            label = (known, request)
            self.assertEqual(state, decision.reply.state, label)
            self.assertEqual(is_stored, decision.entry is not None, label)

    def test_keys_of_two_organisations_differ(self):
        self.assertNotEqual(claim_key("s", "a", "k"), claim_key("s", "b", "k"))
        self.assertNotEqual(claim_key("s", "ab", "c"), claim_key("s", "a", "bc"))

    def test_fingerprints_of_different_requests_differ(self):
        one = request_fingerprint("POST", "/a", b"x")
        self.assertNotEqual(one, request_fingerprint("POST", "/a", b"y"))
        self.assertNotEqual(one, request_fingerprint("PUT", "/a", b"x"))


class SegmentTest(TestCase):
    def test_a_segment_of_another_format_is_refused(self):
        data = encode_segment(wire.LedgerSegment(FORMAT + 1, [], []))
        self.assertRaises(LedgerFormatError, decode_segment, "x", data)
        self.assertRaises(LedgerFormatError, decode_segment, "x", b"junk")

    def test_an_index_finds_exactly_the_keys_of_its_segment(self):
        entries = [
            wire.LedgerEntry(bytes([n]) * 16, b"t", FINGERPRINT, ClaimState.GRANTED, n)
            for n in range(0, 200, 2)
        ]
        index = SealedIndex("s", wire.LedgerSegment(FORMAT, entries, []))
        for number in range(200):
            self.assertEqual(number % 2 == 0, index.holds(bytes([number]) * 16))


class ClaimWriterTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.store = ObjectStore(StoreSettings(), 0.0)
        self.platform = MemoryPlatform(self.store, self.clock)

    def writer(self, **options):
        settings = LedgerSettings(buckets=1, **options)
        return ClaimWriter(settings, self.platform, self.clock, self.clock.seconds)

    def run_for(self, seconds):
        for _ in range(int(seconds / 0.01)):
            self.clock.advance(0.01)

    def submit(self, writer, request, replies):
        writer.submit(request).addCallback(lambda reply: replies.append(reply.state))

    def test_pending_claims_are_stored_in_one_write(self):
        writer = self.writer()
        replies = []
        for number in range(100):
            key = bytes([number]) * 16
            self.submit(writer, make_request(key=key, token=key), replies)
        self.run_for(1.0)
        self.assertEqual([ClaimState.GRANTED] * 100, replies)
        self.assertTrue(writer.writes <= 2)

    def test_two_claimants_in_one_batch_get_one_grant(self):
        writer = self.writer()
        replies = []
        self.submit(writer, make_request(token=b"A"), replies)
        self.submit(writer, make_request(token=b"B"), replies)
        self.run_for(1.0)
        self.assertEqual([ClaimState.GRANTED, ClaimState.HELD], replies)

    def test_two_writers_of_a_bucket_grant_once(self):
        one, other = self.writer(), self.writer()
        replies = []
        self.submit(one, make_request(token=b"A"), replies)
        self.submit(other, make_request(token=b"B"), replies)
        self.run_for(2.0)
        self.assertEqual([ClaimState.HELD, ClaimState.GRANTED], sorted(replies)[::-1])

    def test_a_write_whose_answer_is_lost_is_read_back(self):
        self.store.settings.lost_answers = 1
        writer = self.writer()
        replies = []
        self.submit(writer, make_request(), replies)
        self.run_for(1.0)
        self.assertEqual([ClaimState.GRANTED], replies)
        self.assertEqual(1, writer.writes)

    def test_an_outage_is_reported_within_the_time_limit(self):
        self.store.settings.is_down = True
        writer = self.writer(claim_timeout=1.0)
        replies = []
        self.submit(writer, make_request(), replies)
        self.run_for(1.5)
        self.assertEqual([ClaimState.UNAVAILABLE], replies)

    def test_a_retry_at_another_writer_receives_the_recorded_answer(self):
        one, other = self.writer(), self.writer()
        found = []
        one.submit(make_request())
        self.run_for(1.0)
        one.submit(make_request(ClaimVerb.RECORD, answer=ANSWER))
        self.run_for(1.0)
        other.submit(make_request(token=b"B")).addCallback(found.append)
        self.run_for(1.0)
        self.assertEqual(b"done", found[0].answer.body)

    def test_a_new_writer_finds_sealed_keys(self):
        writer = self.writer(seal_entries=5, write_interval=0.05)
        replies = []
        for number in range(30):
            key = bytes([number]) * 16
            self.submit(writer, make_request(key=key, token=key), replies)
            self.run_for(0.1)
        self.assertEqual([ClaimState.GRANTED] * 30, replies)
        again = []
        fresh = self.writer()
        for number in range(30):
            key = bytes([number]) * 16
            self.submit(fresh, make_request(key=key, token=b"other"), again)
        self.run_for(3.0)
        self.assertEqual([ClaimState.HELD] * 30, again)

    def test_segments_past_their_retention_are_deleted(self):
        writer = self.writer(seal_entries=5, write_interval=0.05, retention=2.0)
        replies = []
        for number in range(60):
            key = bytes([number]) * 16
            self.submit(writer, make_request(key=key, token=key), replies)
            self.run_for(0.1)
        self.assertTrue(writer.key_count < 40, writer.key_count)
        names = [
            o.key for o in self.store.list("ledger/", "", 999, self.clock.seconds())
        ]
        self.assertTrue(len(names) < 8, names)

    def test_a_paused_writer_does_not_overwrite_its_successor(self):
        one, other = self.writer(), self.writer()
        replies = []
        self.submit(one, make_request(key=b"a" * 16), replies)
        self.run_for(1.0)
        self.submit(other, make_request(key=b"b" * 16), replies)
        self.run_for(1.0)
        self.submit(one, make_request(key=b"b" * 16, token=b"late"), replies)
        self.run_for(1.0)
        self.assertEqual(
            [ClaimState.GRANTED, ClaimState.GRANTED, ClaimState.HELD],
            replies,
        )

    def test_a_tail_of_an_unknown_format_refuses_claims_and_is_not_overwritten(self):
        data = encode_segment(wire.LedgerSegment(FORMAT + 1, [], []))
        self.store.put(tail_name(0, 1), data, 0, 0.0)
        writer = self.writer()
        replies = []
        self.submit(writer, make_request(), replies)
        self.run_for(1.0)
        self.assertEqual([ClaimState.UNAVAILABLE], replies)
        self.assertEqual(data, self.store.get(tail_name(0, 1), 5.0).value)

    def test_writers_with_different_bucket_numbers_do_not_grant_a_key_twice(self):
        one = self.writer()
        settings = LedgerSettings(buckets=2)
        other = ClaimWriter(settings, self.platform, self.clock, self.clock.seconds)
        replies = []
        self.submit(one, make_request(token=b"A"), replies)
        self.run_for(1.0)
        self.submit(other, make_request(token=b"B"), replies)
        self.run_for(1.0)
        self.assertEqual([ClaimState.GRANTED, ClaimState.UNAVAILABLE], replies)

    def test_a_segment_is_deleted_only_when_no_tail_refers_to_it(self):
        writer = self.writer(seal_entries=5, write_interval=0.05, retention=2.0)
        named = []
        delete = self.store.delete

        def checked(key, now):
            tail = self.store._objects[tail_name(0, 1)]
            named.append(key in decode_segment("tail", tail.value).sealed)
            delete(key, now)

        self.store.delete = checked
        for number in range(60):
            key = bytes([number]) * 16
            self.submit(writer, make_request(key=key, token=key), [])
            if number % 7 == 0:
                self.store.settings.lost_answers += 1
            self.run_for(0.1)
        self.assertTrue(named)
        self.assertEqual({False}, set(named))

    def test_a_writer_with_a_stale_tail_reloads_it_when_a_segment_is_missing(self):
        old = self.writer(seal_entries=5, write_interval=0.05, retention=2.0)
        replies = []
        for number in range(20):
            key = bytes([number]) * 16
            self.submit(old, make_request(key=key, token=key), replies)
            self.run_for(0.05)
        self.run_for(5.0)
        new = self.writer(seal_entries=5, write_interval=0.05, retention=2.0)
        for number in range(100, 130):
            key = bytes([number]) * 16
            self.submit(new, make_request(key=key, token=key), [])
            self.run_for(0.1)
        late = []
        for _ in range(3):
            self.submit(old, make_request(key=bytes(16), token=b"late"), late)
            self.run_for(1.0)
        self.assertEqual(ClaimState.GRANTED, late[-1])
