"""Tests of what the soak's targets record of the requests that they receive."""

from __future__ import annotations

import random

from testtools import TestCase

from primrosescale.platform import http_codec as names
from primrosescale.standin.scripted_engine import ReceivedRequest
from soak.backends import MAX_CONNECTIONS
from soak.backends import Target
from soak.history import History

REQUESTED_PAUSE_SECONDS = 3.0


class RestingTargetTest(TestCase):
    def setUp(self):
        super().setUp()
        self.history = History()
        rng = random.Random(1)
        self.target = Target("t0", "portal", self.history, [], rng, None)
        self.addCleanup(self.target.close)
        self.target._peers.append(self.target)
        self.target.script.rest = REQUESTED_PAUSE_SECONDS
        self.target.script.is_resting = True

    def arrive(self, expected):
        headers = {names.REQUEST_ID.lower(): b"r1"}
        if expected:
            headers[names.EXPECTED_INCARNATION.lower()] = expected.encode()
        self.target._record_request(ReceivedRequest(b"POST", b"/plain/x", headers, b""))
        return len(self.history.pause_requests)

    def test_it_asks_for_a_rest_of_requests_that_are_meant_for_it(self):
        self.assertEqual(1, self.arrive(self.target.name))
        self.assertEqual(2, self.arrive(""))

    # Guards against recording a pause that no router was asked for: a misdirected
    # request is answered with the notice that another target has the address.
    def test_what_was_meant_for_a_former_target_is_asked_for_none(self):
        self.assertEqual(0, self.arrive("t0-0"))


class ColdTargetTest(TestCase):
    # Guards against judging routers by a state of a target that nothing reported: the
    # entry comes up to 2 s after the target became cold.
    def test_answers_report_for_how_long_it_is_cold(self):
        target = Target("t0", "model", History(), [], random.Random(1), None)
        self.addCleanup(target.close)
        self.assertEqual({}, target.script.state_headers())
        target.become_cold(3.0)
        reported = int(target.script.state_headers()[names.COLD_REMAINING])
        self.assertTrue(2900 <= reported <= 3000, reported)


class LimitedTargetTest(TestCase):
    # Guards against a limit that no connection meets, or that is not recorded.
    def test_it_accepts_a_number_of_connections_and_reports_its_pace(self):
        history = History()
        target = Target("t0", "portal", history, [], random.Random(1), None)
        self.addCleanup(target.close)
        self.assertTrue(target._accepts_connection(MAX_CONNECTIONS))
        target.limit(lambda: 2.5)
        self.assertEqual(b"0,0,2,250", target.script.state_headers()[names.LOAD])
        self.assertTrue(target._accepts_connection(MAX_CONNECTIONS - 1))
        self.assertEqual([], history.excess_connections)
        self.assertFalse(target._accepts_connection(MAX_CONNECTIONS))
        self.assertEqual(1, len(history.excess_connections))
