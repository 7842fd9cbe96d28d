"""Tests of the idle time after which kept connections are still reused."""

from __future__ import annotations

from testtools import TestCase
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater
from twisted.web._newclient import Request
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.idle_limit import LOSS_RETENTION_SECONDS
from primrosescale.connection.idle_limit import IdleLimit
from primrosescale.connection.target_channel import ChannelPool
from support.live import DeploymentRunTest
from support.live import LiveTest

START = 100.0
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"


class IdleLimitTest(TestCase):
    def setUp(self):
        super().setUp()
        self.limit = IdleLimit()

    def test_any_idle_time_is_allowed_until_a_loss(self):
        self.assertTrue(self.limit.allows(60.0, START))
        self.limit.lost(1.0, START)
        self.assertFalse(self.limit.allows(0.9, START))
        self.assertTrue(self.limit.allows(0.2, START))

    def test_the_shortest_idle_time_before_a_loss_counts(self):
        self.limit.lost(0.4, START)
        self.limit.lost(2.0, START)
        self.assertFalse(self.limit.allows(0.2, START))
        self.assertTrue(self.limit.allows(0.05, START))

    def test_a_loss_after_a_short_idle_time_is_ignored(self):
        self.limit.lost(0.05, START)
        self.assertTrue(self.limit.allows(60.0, START))

    def test_losses_expire(self):
        self.limit.lost(0.4, START)
        later = START + LOSS_RETENTION_SECONDS
        self.assertTrue(self.limit.allows(60.0, later))
        self.limit.lost(2.0, later)
        self.assertTrue(self.limit.allows(0.4, later))


class IdleLimitSourcesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.limit = IdleLimit()
        self.limit.lost(0.4, 100.0, "p1")
        self.limit.lost(2.0, 105.0, "p2")

    def test_forgetting_a_source_keeps_the_losses_of_others(self):
        self.limit.forget("p1")
        self.assertTrue(self.limit.allows(0.4, 106.0))
        self.assertFalse(self.limit.allows(0.6, 106.0))
        self.limit.forget("p2")
        self.assertTrue(self.limit.allows(60.0, 106.0))

    def test_forgetting_the_latest_source_brings_the_expiry_forward(self):
        self.limit.forget("p2")
        self.assertFalse(self.limit.allows(0.4, 100.0 + LOSS_RETENTION_SECONDS - 0.1))
        self.assertTrue(self.limit.allows(0.4, 100.0 + LOSS_RETENTION_SECONDS))


class ResettingServer(Protocol):
    """Answers the first request of a connection and resets it at the second."""

    answered = False

    def dataReceived(self, data):
        if self.answered:
            self.transport.abortConnection()
        else:
            self.answered = True
            self.transport.write(ANSWER)


class KeptConnectionsTest(LiveTest):
    run_tests_with = DeploymentRunTest.make_factory(timeout=10.0)

    def setUp(self):
        super().setUp()
        port = reactor.listenTCP(
            0, Factory.forProtocol(ResettingServer), 50, "127.0.0.1"
        )
        self.addCleanup(port.stopListening)
        endpoint = Endpoint("127.0.0.1", port.getHost().port)
        self.limit = IdleLimit()
        self.pool = ChannelPool(reactor, endpoint, 1.0, self.limit)
        self.addCleanup(self.pool.close)

    def ask(self, channel):
        headers = Headers({"Host": ["target"]})
        request = Request._construct(b"GET", b"/", headers, None, persistent=True)
        return channel.begin(request)

    @inlineCallbacks
    def keep_one(self):
        channel = yield self.pool.open()
        response = yield self.ask(channel)
        yield readBody(response)
        self.assertIsNone(channel.idle_before_request)
        self.pool.release(channel, reactor.seconds())

    @inlineCallbacks
    def test_after_a_loss_on_a_kept_one_others_that_rested_are_left(self):
        for _ in range(2):
            yield self.keep_one()
        yield deferLater(reactor, 0.15, lambda: None)
        channel = self.pool.idle(reactor.seconds())
        lost = []
        yield self.ask(channel).addErrback(lost.append)
        self.assertEqual(1, len(lost))
        self.assertGreaterEqual(channel.idle_before_request, 0.1)
        self.pool.lost(channel, reactor.seconds())
        self.assertIsNone(self.pool.idle(reactor.seconds()))

    @inlineCallbacks
    def test_a_closed_pool_keeps_nothing_that_is_given_back(self):
        channel = yield self.pool.open()
        response = yield self.ask(channel)
        yield readBody(response)
        self.pool.close()
        self.pool.release(channel, reactor.seconds())
        yield deferLater(reactor, 0.02, lambda: None)
        self.assertTrue(channel.is_lost)

    @inlineCallbacks
    def test_a_loss_on_a_new_connection_does_not_affect_kept_ones(self):
        yield self.keep_one()
        new = yield self.pool.open()
        self.pool.lost(new, reactor.seconds())
        yield deferLater(reactor, 0.15, lambda: None)
        self.assertIsNotNone(self.pool.idle(reactor.seconds()))
