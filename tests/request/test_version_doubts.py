"""Targets whose software version is in doubt while the store does not answer."""

from __future__ import annotations

from testtools import TestCase

from entry.fakes import START
from entry.fakes import make_incarnation
from primrosescale.request.stream.version_doubts import LIST_AGE_SECONDS
from primrosescale.request.stream.version_doubts import MAX_TARGETS
from primrosescale.request.stream.version_doubts import REREAD_SECONDS
from primrosescale.request.stream.version_doubts import VersionDoubts

A, B = make_incarnation("a", 1), make_incarnation("b", 1)


class VersionDoubtsTest(TestCase):
    def setUp(self):
        super().setUp()
        # When the store stopped answering; None while it answers.
        self.lost_at = None
        self.doubts = VersionDoubts(
            lambda now: 0.0 if self.lost_at is None else now - self.lost_at
        )

    def is_in_doubt(self, target, after):
        return self.doubts.is_in_doubt(target, START + after)

    def test_while_the_store_answers_nothing_is_in_doubt(self):
        self.doubts.connection_lost(A, START)
        self.assertFalse(self.is_in_doubt(A, 0.1))

    def test_a_loss_while_the_store_does_not_answer(self):
        self.lost_at = START
        self.doubts.connection_lost(A, START + 1)
        self.assertTrue(self.is_in_doubt(A, 9))
        self.assertFalse(self.is_in_doubt(B, 9))

    # The list is some seconds old when the store is lost.
    def test_a_loss_shortly_before_the_store_was_lost(self):
        self.doubts.connection_lost(A, START)
        self.doubts.connection_lost(B, START + 2)
        self.lost_at = START + LIST_AGE_SECONDS + 1
        self.assertFalse(self.is_in_doubt(A, 9))
        self.assertTrue(self.is_in_doubt(B, 9))

    def test_doubts_end_once_the_list_has_been_read_again(self):
        self.lost_at = START
        self.doubts.connection_lost(A, START + 1)
        self.assertTrue(self.is_in_doubt(A, 5))
        self.lost_at = None
        self.assertTrue(self.is_in_doubt(A, 5 + REREAD_SECONDS / 2))
        self.assertFalse(self.is_in_doubt(A, 5 + REREAD_SECONDS))

    def test_the_next_incarnation_is_not_in_doubt(self):
        self.lost_at = START
        self.doubts.connection_lost(A, START + 1)
        self.assertFalse(self.is_in_doubt(make_incarnation("a", 2), 2))

    def test_the_number_of_targets_is_limited(self):
        for number in range(MAX_TARGETS + 5):
            self.doubts.connection_lost(make_incarnation(f"m{number}"), START)
        self.assertEqual(MAX_TARGETS, len(self.doubts._lost_at))
