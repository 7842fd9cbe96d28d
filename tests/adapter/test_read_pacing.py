"""Reading large answers of the store leaves a share of the link to streams.

Versions of 500 kB used a link of 5 Mbit/s alone for 0.8 s each, and the events of
streams that arrived meanwhile were late.
"""

from __future__ import annotations

import json

from testtools import TestCase
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.target_channel import REUSE_DELAY_SECONDS
from primrosescale.platform.object_platform import ObjectPlatform
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.http_client import MAX_ANSWER_SECONDS
from primrosescale.process.transport.http_client import HttpClient
from primrosescale.process.transport.read_pacing import DEFAULT_MAX_PACED_SECONDS
from primrosescale.process.transport.read_pacing import LINK_SHARE
from primrosescale.process.transport.read_pacing import PORTION_BYTES
from primrosescale.process.transport.read_pacing import AnswerPacing
from primrosescale.process.transport.read_pacing import LinkPacing
from primrosescale.standin.object_platform_store import ObjectPlatformStore
from support.live import LiveTest
from support.paced_link import SlowLink
from support.paced_link import http_answer

RATE = 5 * 125_000.0
MAX_SECONDS = 1.5
LARGE = 500_000
TIMEOUT = 0.5


class LinkPacingTest(TestCase):
    def test_portions_use_their_share_of_the_link(self):
        # Guards against pauses in addition to the time that the bytes themselves take.
        for on_the_way in (0.0, PORTION_BYTES / RATE):
            link, now = LinkPacing(RATE), 10.0
            for _ in range(30):
                now += on_the_way
                now += link.pause_after(PORTION_BYTES, now)
            expected = 30 * PORTION_BYTES / (RATE * LINK_SHARE)
            self.assertAlmostEqual(expected, now - 10.0, delta=0.03)

    def test_answers_share_one_share_of_the_link(self):
        # Guards against two answers at once that use four thirds of the link.
        link = LinkPacing(RATE)
        first = link.pause_after(PORTION_BYTES, 10.0)
        second = link.pause_after(PORTION_BYTES, 10.0)
        portion = PORTION_BYTES / (RATE * LINK_SHARE)
        self.assertAlmostEqual(portion, second - first)

    def test_an_unknown_or_fast_link_is_not_paced(self):
        # Guards against pauses where other traffic hardly waits.
        for rate in (None, PORTION_BYTES / 0.0019, 130000 * 125_000.0):
            link = LinkPacing(rate)
            self.assertFalse(link.is_active)
            self.assertEqual(0.0, link.pause_after(LARGE, 10.0))

    def test_a_small_answer_has_no_pause(self):
        # Guards against delays of the answers that are not worth pacing.
        answer = AnswerPacing(LinkPacing(RATE), 10.0)
        for _ in range(16):
            self.assertEqual(0.0, answer.pause_after(PORTION_BYTES // 16, 10.0))
        self.assertEqual(0.0, answer.read_seconds(11.0))
        self.assertGreater(answer.pause_after(1, 10.0), 0.0)
        self.assertEqual(1.0, answer.read_seconds(11.0))

    def test_pauses_end_when_an_answer_takes_too_long(self):
        # Guards against a slower link on which pauses exceed the time for an answer.
        answer = AnswerPacing(LinkPacing(RATE / 100), 10.0)
        self.assertEqual(DEFAULT_MAX_PACED_SECONDS, answer.pause_after(LARGE, 10.0))
        late = 10.0 + DEFAULT_MAX_PACED_SECONDS
        self.assertEqual(0.0, answer.pause_after(LARGE, late))


class PacedClientTest(TestCase):
    def setUp(self):
        super().setUp()
        self.link = SlowLink(RATE)
        self.client = HttpClient(self.link, Endpoint("10.0.0.1", 80), TIMEOUT)
        self.client.pace_reads(RATE, MAX_SECONDS)

    def ask(self, size, sent=None):
        """Request an answer of a size, of which the store sends only some bytes."""
        self.replies, self.errors = [], []
        self.asked = self.client.call("GET", "/x")
        self.asked.addCallbacks(self.replies.append, self.errors.append)
        self.link.run(0.01)
        answer = http_answer(bytes(size))
        self.connection = self.link.connections[-1]
        self.connection.in_flight += answer[:sent]

    def run_into_pause(self):
        """Read until a pause."""
        for _ in range(1000):
            self.link.run(0.002)
            if self.connection.producerState == "paused":
                return
        self.fail("no pause")

    def assert_no_timers(self):
        self.link.run(0.01)
        self.assertEqual([], self.link.getDelayedCalls())

    def test_a_large_answer_uses_two_thirds_of_the_link(self):
        # Guards against bytes that are read faster than the share of the link.
        self.ask(LARGE)
        began_at = self.link.seconds()
        self.link.run(2.0)
        [reply] = self.replies
        self.assertEqual(LARGE, len(reply.body))
        self.assertAlmostEqual(
            LARGE / (RATE * LINK_SHARE), reply.read_seconds, delta=0.1
        )
        self.assertLessEqual(max(size for _, size in self.link.portions), PORTION_BYTES)
        for begin in range(10):
            since = began_at + begin / 10
            read = sum(n for at, n in self.link.portions if since <= at < since + 0.3)
            self.assertLessEqual(read, 0.3 * RATE * LINK_SHARE + 2 * PORTION_BYTES)
        self.assert_no_timers()

    def test_a_small_answer_is_read_without_a_pause(self):
        # Guards against later answers than before for all that is small.
        self.ask(PORTION_BYTES - 100)
        self.link.run(PORTION_BYTES / RATE + 0.004)
        [reply] = self.replies
        self.assertEqual(0.0, reply.read_seconds)

    def test_without_a_rate_a_large_answer_is_read_at_once(self):
        # Guards against pauses on hosts whose settings name no rate.
        self.client.pace_reads(None)
        self.ask(LARGE)
        self.link.run(LARGE / RATE + 0.01)
        self.assertEqual(1, len(self.replies))

    def test_the_connection_is_reused_after_a_large_answer(self):
        # Guards against a connection that stays paused when the answer is complete.
        self.ask(LARGE)
        self.link.run(2.0)
        self.ask(10)
        self.link.run(0.1)
        self.assertEqual((1, 1), (len(self.replies), len(self.link.connections)))

    def test_the_connection_is_reused_after_an_answer_of_unknown_length(self):
        # Guards against a pause that begins with the last bytes of an answer.
        self.ask(0, sent=0)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        size = 2 * PORTION_BYTES
        last = b"%x\r\n%b\r\n0\r\n\r\n" % (size, bytes(size))
        self.connection.protocol.dataReceived(head + last)
        [reply] = self.replies
        self.assertEqual(size, len(reply.body))
        self.assertEqual("producing", self.connection.producerState)
        self.link.run(2 * REUSE_DELAY_SECONDS)
        self.ask(10)
        self.link.run(0.1)
        self.assertEqual((1, 1), (len(self.replies), len(self.link.connections)))

    def test_the_stall_time_out_does_not_fire_in_a_pause(self):
        # Guards against a large answer that fails because its reader pauses.
        self.client.pace_reads(RATE / 60, MAX_SECONDS)
        self.ask(4 * PORTION_BYTES)
        self.run_into_pause()
        self.link.run(2 * TIMEOUT)
        self.assertEqual("paused", self.connection.producerState)
        self.assertEqual([], self.errors)
        self.link.run(1.0)
        self.assertEqual(1, len(self.replies))

    def test_a_store_that_has_gone_silent_is_noticed(self):
        # Guards against a stall time-out that a pause has ended for good.
        self.ask(LARGE, sent=LARGE // 2)
        self.link.run(LARGE / 2 / (RATE * LINK_SHARE) + 0.1)
        self.assertEqual([], self.errors)
        self.link.run(TIMEOUT)
        [failure] = self.errors
        self.assertTrue(failure.check(PlatformUnavailableError))
        self.assertFalse(self.client.is_receiving)
        self.assert_no_timers()

    def test_a_call_can_be_cancelled_in_a_pause(self):
        # Guards against timers that a cancelled watch leaves behind.
        self.ask(LARGE)
        self.run_into_pause()
        self.assertTrue(self.client.is_receiving)
        self.asked.cancel()
        self.assertEqual(1, len(self.errors))
        self.assertFalse(self.client.is_receiving)
        self.assert_no_timers()
        self.assertTrue(self.connection.is_lost)

    def test_a_connection_lost_in_a_pause_fails_the_call(self):
        # Guards against a call that waits for the rest of a lost answer.
        self.ask(LARGE)
        self.run_into_pause()
        self.connection.lose()
        [failure] = self.errors
        self.assertTrue(failure.check(PlatformUnavailableError))
        self.assert_no_timers()

    def test_an_endless_answer_is_given_up(self):
        # Guards against pauses that extend the limit for a complete answer.
        self.ask(int(RATE * (MAX_ANSWER_SECONDS + 2)))
        self.link.run(MAX_ANSWER_SECONDS + 0.1)
        self.assertEqual(1, len(self.errors))
        self.assert_no_timers()


class SocketTest(LiveTest):
    @inlineCallbacks
    def test_a_large_answer_over_a_socket_takes_its_share_of_the_time(self):
        # Guards against a kernel that receives a whole answer during the first pause.
        platform = ObjectPlatform(reactor, self.serve(ObjectPlatformStore()), TIMEOUT)
        platform.pace_reads(RATE)
        value = json.dumps({"a": "x" * 200_000}).encode()
        yield platform.put("x/a", value, 0)
        yield deferLater(reactor, 2 * REUSE_DELAY_SECONDS, lambda: None)
        began_at = reactor.seconds()
        found = yield platform.get("x/a")
        taken = reactor.seconds() - began_at
        self.assertEqual(value, found.value)
        # The first two portions are read before the first pause.
        least = (len(value) - 4 * PORTION_BYTES) / (RATE * LINK_SHARE)
        self.assertGreater(taken, least)
        yield deferLater(reactor, 2 * REUSE_DELAY_SECONDS, lambda: None)
        again = yield platform.get("x/a")
        self.assertEqual(value, again.value)
        self.assertEqual(1, platform._client._pool.opened)
        yield platform.close()
