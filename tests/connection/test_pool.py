"""Tests of the pool of framed connections."""

from __future__ import annotations

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from primrosescale.connection.dialer import Dialer
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.exceptions import DialError
from primrosescale.connection.link import LinkHandler
from primrosescale.connection.link import LinkSettings
from primrosescale.connection.pool import LinkPool
from primrosescale.connection.wire import ttypes as wire

HERE = Endpoint("127.0.0.1", 7)
IDLE_AFTER = 30.0


class SlowDialer(Dialer):
    """Records dials; only the test completes them."""

    def __init__(self):
        self.dials = []
        self.cancelled = 0

    def dial(self, endpoint, link):
        def cancel(_):
            self.cancelled += 1

        dial = Deferred(cancel)
        self.dials.append((link, dial))
        return dial


class RecordingHandler(LinkHandler):
    """Records the ends of connections."""

    def __init__(self):
        self.lost = []

    def link_ready(self, link):
        """Do nothing."""

    def link_message(self, link, message):
        """Do nothing."""

    def link_lost(self, link, detail):
        self.lost.append(detail)


class OpeningTest(TestCase):
    """Connections that are closed or fail while they are being opened."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.dialer = SlowDialer()
        self.handler = RecordingHandler()
        self.pool = LinkPool(
            wire.Hello(),
            self.handler,
            self.dialer,
            self.clock,
            LinkSettings(),
            IDLE_AFTER,
        )
        self.failures = []
        self.pool.get(HERE).addErrback(self.failures.append)

    def assert_refused(self):
        self.assertEqual([DialError], [failure.type for failure in self.failures])
        self.assertEqual(0, self.pool.size)
        self.assertEqual(1, self.dialer.cancelled)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_close_ends_a_connection_that_is_being_opened(self):
        self.pool.close()
        self.assert_refused()

    def test_drop_ends_a_connection_that_is_being_opened(self):
        self.pool.drop(HERE, "not needed")
        self.assert_refused()
        self.assertIn("not needed", str(self.failures[0].value))

    def test_a_connection_that_opens_after_the_close_is_closed(self):
        self.pool.close()
        transport = StringTransport()
        link, _ = self.dialer.dials[0]
        link.makeConnection(transport)
        self.assertTrue(transport.disconnecting)
        self.assertEqual(b"", transport.value())
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_a_cancelled_dial_does_not_fail_later_callers(self):
        self.pool.drop(HERE, "not needed")
        later = []
        self.pool.get(HERE).addErrback(later.append)
        self.assertEqual([], later)
        self.assertEqual(1, self.pool.size)
