"""Connections to a target that restarts, over loopback sockets."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.task import deferLater

from entry.fakes import CONFIRMATION
from entry.fakes import LOOKUP
from entry.fakes import make_incarnation
from entry.fakes import request
from entry.fakes import target
from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform.http_codec import PlatformCodec
from primrosescale.process.entry.target_client import HttpTargetClient
from primrosescale.request.attempt.forwarding_interfaces import OutgoingRequest
from primrosescale.request.attempt.forwarding_interfaces import ResponseObserver
from support.live import DeploymentRunTest
from support.live import LiveTest

LOOPBACK = "127.0.0.1"
FIRST, SECOND, THIRD = 1_790_000_000_123, 1_790_000_000_124, 1_790_000_003_000
HOST = ((b"Host", b"desk.example"),)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"


class Server(Protocol):
    """Server connection that answers when the test requests it."""

    def connectionMade(self):
        self.data = b""
        self.is_closed = False
        self.factory.channels.append(self)

    def dataReceived(self, data):
        self.data += data

    def connectionLost(self, reason=None):
        self.is_closed = True

    def answer(self):
        self.transport.write(ANSWER)


class RecordingObserver(ResponseObserver):
    """Records the progress of a request."""

    def __init__(self):
        self.calls = []
        self.detail = ""

    def request_sent(self):
        self.calls.append("sent")

    def request_not_sent(self, detail):
        self.calls.append("not sent")
        self.detail = detail

    def response_head(self, head):
        self.calls.append("head")

    def response_data(self, data):
        self.calls.append("data")

    def response_done(self):
        self.calls.append("done")

    def response_lost(self, detail):
        self.calls.append("cut")
        self.detail = detail


class RestartedTargetTest(LiveTest):
    run_tests_with = DeploymentRunTest.make_factory(timeout=10.0)

    def setUp(self):
        super().setUp()
        self.caller = HttpTargetClient(reactor, PlatformCodec())
        self.addCleanup(self.caller.forget, "p1")
        self.servers = [self.listen(), self.listen()]

    def listen(self):
        server = Factory.forProtocol(Server)
        server.channels = []
        self.port = reactor.listenTCP(0, server, interface=LOOPBACK)
        self.addCleanup(self.port.stopListening)
        server.endpoint = Endpoint(LOOPBACK, self.port.getHost().port)
        return server

    def send(self, started_at=FIRST, *, server=0, endpoint=None, is_new=False):
        observer = RecordingObserver()
        endpoint = endpoint or self.servers[server].endpoint
        sending = OutgoingRequest(
            request=request(CONFIRMATION if is_new else LOOKUP, headers=HOST),
            target=target("p1", "portal", started_at=started_at, endpoint=endpoint),
            time_left=5.0,
            resume_after=None,
            fetch_from=None,
            needs_new_connection=is_new,
        )
        observer.run = self.caller.send(sending, observer)
        return observer

    @inlineCallbacks
    def eventually(self, test):
        for _ in range(300):
            if test():
                return
            yield deferLater(reactor, 0.01, lambda: None)
        self.fail("condition not met within 3 s")

    @inlineCallbacks
    def arrived(self, server=0, place=0):
        channels = self.servers[server].channels
        yield self.eventually(
            lambda: len(channels) > place and b"\r\n\r\n" in channels[place].data
        )
        return channels[place]

    @inlineCallbacks
    def leave_idle_connection(self, started_at=FIRST):
        """Leave an idle connection to an incarnation of the target."""
        observer = self.send(started_at)
        channel = yield self.arrived()
        channel.answer()
        yield self.eventually(lambda: "done" in observer.calls)
        yield deferLater(reactor, 0.03, lambda: None)
        return channel

    @inlineCallbacks
    def test_a_sent_request_is_reported_as_lost(self):
        observer = self.send()
        channel = yield self.arrived()
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["sent", "cut"], observer.calls)
        self.assertIn("started again", observer.detail)
        yield self.eventually(lambda: channel.is_closed)

    @inlineCallbacks
    def test_a_partly_answered_request_is_reported_as_lost(self):
        observer = self.send()
        channel = yield self.arrived()
        channel.transport.write(ANSWER[:-1])
        yield self.eventually(lambda: "data" in observer.calls)
        self.caller.abort_former(make_incarnation("p1", SECOND))
        channel.transport.write(ANSWER[-1:])
        yield deferLater(reactor, 0.05, lambda: None)
        self.assertEqual(["sent", "head", "data", "cut"], observer.calls)

    @inlineCallbacks
    def test_a_request_waiting_for_a_connection_is_reported_as_not_sent(self):
        observer = self.send()
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["not sent"], observer.calls)
        yield deferLater(reactor, 0.05, lambda: None)
        self.assertEqual(["not sent"], observer.calls)
        self.assertEqual(
            [b""] * len(self.channels()), [c.data for c in self.channels()]
        )

    def channels(self):
        return self.servers[0].channels

    @inlineCallbacks
    def test_the_current_incarnation_and_other_targets_are_unaffected(self):
        observer = self.send(SECOND)
        channel = yield self.arrived()
        for present in (
            make_incarnation("p1", SECOND),
            make_incarnation("p1", FIRST),
            make_incarnation("p1"),
        ):
            self.caller.abort_former(present)
        self.caller.abort_former(make_incarnation("p2", THIRD))
        channel.answer()
        yield self.eventually(lambda: "done" in observer.calls)

    @inlineCallbacks
    def test_an_idle_connection_is_not_used_for_another_incarnation(self):
        idle = yield self.leave_idle_connection()
        # Also before the end of the former incarnation is reported.
        self.send(SECOND)
        yield self.arrived(place=1)
        self.assertEqual(1, idle.data.count(b"\r\n\r\n"))
        yield self.eventually(lambda: idle.is_closed)

    @inlineCallbacks
    def test_idle_connections_of_a_former_incarnation_are_closed(self):
        idle = yield self.leave_idle_connection()
        self.caller.abort_former(make_incarnation("p1", SECOND))
        yield self.eventually(lambda: idle.is_closed)

    @inlineCallbacks
    def test_a_new_incarnation_at_another_address_is_called_there(self):
        yield self.leave_idle_connection()
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.send(SECOND, server=1)
        yield self.arrived(server=1)
        self.assertEqual(1, len(self.servers[0].channels))

    @inlineCallbacks
    def test_the_same_incarnation_at_another_address_is_called_there(self):
        yield self.leave_idle_connection()
        self.send(FIRST, server=1)
        yield self.arrived(server=1)

    @inlineCallbacks
    def test_an_answer_completed_after_its_target_was_forgotten_keeps_no_state(self):
        observer = self.send()
        channel = yield self.arrived()
        self.caller.forget("p1")
        channel.answer()
        yield self.eventually(lambda: "done" in observer.calls)
        yield self.eventually(lambda: channel.is_closed)
        self.caller.sweep(reactor.seconds())
        self.assertEqual({}, self.caller._states)

    @inlineCallbacks
    def test_a_former_incarnation_ends_also_if_its_target_was_forgotten(self):
        observer = self.send()
        yield self.arrived()
        self.caller.forget("p1")
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["sent", "cut"], observer.calls)

    @inlineCallbacks
    def test_a_request_sent_after_a_connection_failure_is_kept(self):
        lost = self.send(is_new=True)
        first = yield self.arrived()
        first.transport.abortConnection()
        yield self.eventually(lambda: "cut" in lost.calls)
        observer = self.send(is_new=True)
        second = yield self.arrived(place=1)
        self.caller.abort_former(make_incarnation("p1", SECOND))
        second.answer()
        yield self.eventually(lambda: "done" in observer.calls)
        yield self.eventually(lambda: second.is_closed)

    @inlineCallbacks
    def test_a_request_sent_before_a_connection_failure_is_aborted(self):
        early = self.send(is_new=True)
        yield self.arrived()
        lost = self.send(is_new=True)
        second = yield self.arrived(place=1)
        second.transport.abortConnection()
        yield self.eventually(lambda: "cut" in lost.calls)
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["sent", "cut"], early.calls)

    @inlineCallbacks
    def test_a_request_kept_once_is_aborted_with_the_next_incarnation(self):
        lost = self.send(is_new=True)
        first = yield self.arrived()
        first.transport.abortConnection()
        yield self.eventually(lambda: "cut" in lost.calls)
        observer = self.send(is_new=True)
        yield self.arrived(place=1)
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["sent"], observer.calls)
        self.caller.abort_former(make_incarnation("p1", THIRD))
        self.assertEqual(["sent", "cut"], observer.calls)

    @inlineCallbacks
    def test_idle_limits_learned_from_a_former_incarnation_are_discarded(self):
        idle = yield self.leave_idle_connection()
        yield deferLater(reactor, 0.15, lambda: None)
        observer = self.send()
        yield self.eventually(lambda: idle.data.count(b"\r\n\r\n") == 2)
        idle.transport.abortConnection()
        yield self.eventually(lambda: "cut" in observer.calls)
        limit = self.caller._idle_limit
        self.assertFalse(limit.allows(0.1, reactor.seconds()))
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertTrue(limit.allows(0.1, reactor.seconds()))
