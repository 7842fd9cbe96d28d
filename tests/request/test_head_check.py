"""Heads of answers that a router must not pass on as the answer of a request."""

from __future__ import annotations

from testtools import TestCase

from entry.fakes import head
from primrosescale.request.answer.head_check import fault_of


class HeadCheckTest(TestCase):
    def fault(self, continues_stream=False, **fields):
        return fault_of(head(**fields), "r1", continues_stream=continues_stream)

    # Guards against an answer that reaches the caller of another request.
    def test_an_answer_of_another_request_is_a_fault_whatever_its_status(self):
        for status in (200, 404, 500):
            self.assertNotEqual("", self.fault(status=status, request_id="r2"))

    # Guards against a success that the target did not sign.
    def test_only_a_success_needs_the_receipt(self):
        for status, is_fault in ((200, True), (204, True), (302, False), (500, False)):
            found = self.fault(status=status, has_receipt=False)
            self.assertEqual(is_fault, bool(found), status)
            self.assertEqual("", self.fault(status=status))

    # Guards against the body of an error in the middle of a stream.
    def test_an_error_cannot_continue_a_stream(self):
        self.assertNotEqual("", self.fault(continues_stream=True, status=404))
        self.assertEqual("", self.fault(continues_stream=True))
