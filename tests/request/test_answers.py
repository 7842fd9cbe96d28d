"""Answers arrive complete, in order and unaltered, and can be resumed."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.request.answer.answer_buffer import AnswerBuffer
from primrosescale.request.answer.answer_check import AnswerCheck
from primrosescale.request.attempt.call_id_registry import CallId
from primrosescale.request.attempt.call_id_registry import CallIdRegistry
from primrosescale.request.attempt.call_id_registry import CallIdState
from primrosescale.request.exceptions import AnswerCutError
from support.drawn import drawn


class AnswerBufferTest(TestCase):
    def test_no_more_is_sent_than_credit_allows(self):
        buffer = AnswerBuffer(window=10, keep=100)
        buffer.append(b"x" * 50)
        self.assertEqual(10, len(buffer.take(100).data))
        self.assertIsNone(buffer.take(100))
        buffer.credit(10)
        self.assertEqual(10, buffer.take(100).offset)

    def test_memory_stays_within_keep_and_window(self):
        buffer = AnswerBuffer(window=10, keep=20)
        for _ in range(100):
            buffer.append(b"y" * 10)
            while buffer.take(10):
                buffer.credit(buffer.sent)
        self.assertTrue(buffer.buffered_bytes <= 30)

    def test_a_reader_resumes_at_its_offset(self):
        buffer = AnswerBuffer(window=100, keep=100)
        buffer.append(b"abcdef")
        buffer.take(100)
        buffer.resume(2)
        self.assertEqual(b"cdef", buffer.take(100).data)

    def test_bytes_no_longer_kept_are_an_error(self):
        buffer = AnswerBuffer(window=10, keep=5)
        for _ in range(10):
            buffer.append(b"z" * 10)
            buffer.take(10)
            buffer.credit(buffer.sent)
        self.assertRaises(AnswerCutError, buffer.resume, 0)

    @drawn(200)
    @given(
        st.lists(st.binary(min_size=1, max_size=40), min_size=1, max_size=20),
        st.integers(0, 10_000),
    )
    def test_any_interleaving_of_sends_losses_and_resumes_is_complete(
        self, parts, seed
    ):
        rng = random.Random(seed)
        buffer = AnswerBuffer(window=64, keep=10_000)
        check = AnswerCheck()
        received = b""
        queue = list(parts)
        while queue or not buffer.is_sent:
            if queue and rng.random() < 0.5:
                buffer.append(queue.pop(0))
                continue
            piece = buffer.take(rng.randrange(1, 50))
            if piece is None:
                buffer.credit(check.offset)
                continue
            if rng.random() < 0.2:
                buffer.resume(check.offset)
                continue
            received += check.accept(piece.offset, piece.data)
            if rng.random() < 0.2:
                received += check.accept(piece.offset, piece.data)
            buffer.credit(check.offset)
        check.finish(buffer.length, buffer.digest)
        self.assertEqual(b"".join(parts), received)


class AnswerCheckTest(TestCase):
    def test_a_gap_is_an_error(self):
        check = AnswerCheck()
        check.accept(0, b"ab")
        self.assertRaises(AnswerCutError, check.accept, 3, b"d")

    def test_a_short_answer_is_incomplete(self):
        check = AnswerCheck()
        check.accept(0, b"ab")
        self.assertRaises(AnswerCutError, check.finish, 3, b"")

    def test_an_altered_answer_is_an_error(self):
        buffer, check = AnswerBuffer(10, 10), AnswerCheck()
        buffer.append(b"ab")
        check.accept(0, b"aB")
        self.assertRaises(AnswerCutError, check.finish, 2, buffer.digest)


class CallNamesTest(TestCase):
    def test_a_name_is_known_until_no_copy_can_arrive(self):
        names = CallIdRegistry(keep=60.0, limit=10)
        name = CallId(1, 1)
        names.take(name, deadline=10.0)
        names.remove_expired(69.0)
        self.assertEqual(CallIdState.TAKEN, names.state(name))
        names.remove_expired(72.0)
        self.assertEqual(CallIdState.FRESH, names.state(name))

    def test_a_barred_name_stays_barred(self):
        names = CallIdRegistry(keep=60.0, limit=10)
        names.block(CallId(1, 2), 0.0)
        self.assertEqual(CallIdState.BARRED, names.state(CallId(1, 2)))

    def test_it_is_full_at_the_limit(self):
        names = CallIdRegistry(keep=60.0, limit=2)
        names.take(CallId(1, 1), 0.0)
        names.take(CallId(1, 2), 0.0)
        self.assertTrue(names.is_full)
