"""Callers on slow links that keep to the limits are served whole."""

from __future__ import annotations

import socket
import time
from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.defer import gatherResults
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import Clock
from twisted.internet.threads import deferToThread

from clients.test_calm import CLOSE
from clients.test_calm import CalmRouterTest
from clients.test_calm import announced
from primrosescale.process.callers.caller_guard import CallerGuard
from primrosescale.process.callers.caller_port import CallerPort
from primrosescale.process.callers.guard_settings import GuardSettings
from primrosescale.process.callers.guarded_channel import GuardedChannel
from support.entry_site import text

SMALL_BUFFER = 4096
LARGE_ANSWER = 250_000


class SlowCallersTest(CalmRouterTest):
    def exchange(self, parts, *, read_bytes=65_536, read_pause=0.0):
        """Send parts, each with a pause before it, and then read the answer."""
        bound = self.router.bound[self.router._settings.callers]

        def run():
            with socket.socket() as connection:
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
                connection.settimeout(20)
                connection.connect((bound.address, bound.port))
                for pause, part in parts:
                    time.sleep(pause)
                    connection.sendall(part)
                answer = b""
                while data := connection.recv(read_bytes):
                    answer += data
                    time.sleep(read_pause)
                return answer

        return deferToThread(run)

    @inlineCallbacks
    def test_an_answer_that_is_read_slowly_is_whole(self):
        yield self.start(guard=GuardSettings(close_seconds=0.3))
        self.script.padding = {b"plain": LARGE_ANSWER}
        answer = yield self.exchange(
            [(0.0, text(headers=CLOSE))], read_bytes=8192, read_pause=0.05
        )
        head, _, body = answer.partition(b"\r\n\r\n")
        self.assertIn(b"200 OK", head)
        self.assertGreaterEqual(len(body), LARGE_ANSWER)

    @inlineCallbacks
    def test_a_stream_that_is_read_slowly_is_whole(self):
        yield self.start(guard=GuardSettings(close_seconds=0.3))
        self.start_target(self.stream_script, service="model")
        yield self.until(lambda: self.knows(self.router, 2))
        answer = yield self.exchange(
            [(0.0, text(path=b"/draft/x", headers=CLOSE))],
            read_bytes=2048,
            read_pause=0.02,
        )
        self.assertIn(b"200 OK", answer[:20])
        self.assertTrue(answer.endswith(b"0\r\n\r\n"), answer[-40:])
        self.assertEqual(self.stream_script.events, answer.count(b"id: "))

    # Bodies over slow links lost their room to each other, and none was completed.
    @inlineCallbacks
    def test_bodies_that_come_slowly_are_served_one_after_the_other(self):
        yield self.start(guard=GuardSettings(body_memory=1, stall_seconds=0.3))
        parts = [(0.0, announced(300_000))] + [(0.05, bytes(15_000))] * 20
        answers = yield gatherResults([self.exchange(parts) for _ in range(3)])
        self.assertEqual([b"HTTP/1.1 200"] * 3, [answer[:12] for answer in answers])

    @inlineCallbacks
    def test_an_idle_connection_is_used_again(self):
        yield self.start()
        limit = self.router.limits.idle_timeout
        answer = yield self.exchange(
            [(0.0, text()), (0.8 * limit, text(headers=CLOSE))]
        )
        self.assertEqual(2, answer.count(b"HTTP/1.1 200 OK"))

    # The refusal was lost with a reset, as its sender had not finished.
    @inlineCallbacks
    def test_a_sender_reads_that_its_request_cannot_be_parsed(self):
        yield self.start()
        rest = bytes(1_000_000)
        for request, status in (
            (b"nonsense\r\n\r\n", b"400"),
            (text(headers=b"Transfer-Encoding: chunked\r\n") + b"nonsense\r\n", b"400"),
            (text(headers=b"a:b\r\n" * 5000), b"431"),
            (text(headers=b"a:" + bytes(20_000)), b"431"),
        ):
            answer = yield self.exchange([(0.0, request + rest)])
            self.assertEqual(b"HTTP/1.1 " + status, answer[:12], request[:60])
            self.assertIn(b"Content-Length: 0\r\n", answer)
            self.assertTrue(answer.endswith(b"\r\n\r\n"))
        self.assertEqual([], self.script.arrivals)


class ClosingTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        guard = CallerGuard(GuardSettings(close_seconds=15.0), self.clock)
        self.channel = GuardedChannel(guard, CallerPort(self.clock, 10))
        handle = socket.socket()
        self.addCleanup(handle.close)
        self.aborted = []
        self.channel.transport = SimpleNamespace(
            dataBuffer=bytes(60_000),
            offset=0,
            _tempDataLen=0,
            getHandle=lambda: handle,
            loseConnection=lambda: None,
            abortConnection=lambda: self.aborted.append(self.clock.seconds()),
        )
        self.channel._networkProducer = SimpleNamespace(unregisterProducer=lambda: None)

    # A connection that was to be closed was aborted while its caller still read.
    def test_a_client_that_reads_slowly_is_waited_for(self):
        self.channel.loseConnection()
        for _ in range(5):
            self.channel.transport.offset += 1000
            self.clock.advance(15)
        self.assertEqual([], self.aborted)
        self.clock.advance(15)
        self.assertEqual([90.0], self.aborted)

    # The head of a request that had been refused timed out while its sender still sent:
    # the connection was lost at once, and an error was raised and logged for each.
    def test_a_connection_that_is_lost_at_once_is_not_watched(self):
        def lose():
            del self.channel.transport.getHandle
            self.channel.connectionLost()

        self.channel.transport.loseConnection = lose
        self.channel.loseConnection()
        self.clock.advance(100.0)
        self.assertEqual([], self.aborted)
