"""Formatting of failures of twisted's HTTP client for log lines."""

from __future__ import annotations

from testtools import TestCase
from twisted.internet.error import ConnectionDone
from twisted.python.failure import Failure
from twisted.web._newclient import ResponseFailed

from primrosescale.connection.failure_text import failure_text


class FailureTextTest(TestCase):
    def test_wrapped_causes_are_listed_in_order(self):
        inner = Failure(ConnectionDone("closed"))
        cut = Failure(ResponseFailed([inner, Failure(ValueError("half a chunk"))]))
        text = failure_text(cut)
        self.assertIn("ConnectionDone", text)
        self.assertTrue(text.endswith("; ValueError: half a chunk"), text)
        self.assertNotIn("Failure", text)

    def test_a_cause_without_message_is_shown_by_its_type(self):
        self.assertEqual("KeyError", failure_text(KeyError()))
