"""Connections to a target that starts again, over loopback sockets."""

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
from primrosescale.request.forwarding_interfaces import OutgoingRequest
from primrosescale.request.forwarding_interfaces import ResponseObserver
from support.live import DeploymentRunTest
from support.live import LiveTest

LOOPBACK = "127.0.0.1"
FIRST, SECOND, THIRD = 1_790_000_000_123, 1_790_000_000_124, 1_790_000_003_000
HOST = ((b"Host", b"desk.example"),)
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"


class Server(Protocol):
    """Answers when the test says so."""

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


class Heard(ResponseObserver):
    """Notes what becomes of a request."""

    def __init__(self):
        self.said = []
        self.detail = ""

    def request_sent(self):
        self.said.append("sent")

    def request_not_sent(self, detail):
        self.said.append("not sent")
        self.detail = detail

    def response_head(self, head):
        self.said.append("head")

    def response_data(self, data):
        self.said.append("data")

    def response_done(self):
        self.said.append("done")

    def response_lost(self, detail):
        self.said.append("cut")
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
        heard = Heard()
        endpoint = endpoint or self.servers[server].endpoint
        sending = OutgoingRequest(
            request=request(CONFIRMATION if is_new else LOOKUP, headers=HOST),
            target=target("p1", "portal", started_at=started_at, endpoint=endpoint),
            time_left=5.0,
            resume_after=None,
            fetch_from=None,
            needs_new_connection=is_new,
        )
        heard.run = self.caller.send(sending, heard)
        return heard

    @inlineCallbacks
    def eventually(self, test):
        for _ in range(300):
            if test():
                return
            yield deferLater(reactor, 0.01, lambda: None)
        self.fail("it never came true")

    @inlineCallbacks
    def arrived(self, server=0, place=0):
        channels = self.servers[server].channels
        yield self.eventually(
            lambda: len(channels) > place and b"\r\n\r\n" in channels[place].data
        )
        return channels[place]

    @inlineCallbacks
    def keep_one(self, started_at=FIRST):
        """Leave an idle connection to a life of the target."""
        heard = self.send(started_at)
        channel = yield self.arrived()
        channel.answer()
        yield self.eventually(lambda: "done" in heard.said)
        yield deferLater(reactor, 0.03, lambda: None)
        return channel

    @inlineCallbacks
    def test_what_was_sent_may_have_run(self):
        heard = self.send()
        channel = yield self.arrived()
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["sent", "cut"], heard.said)
        self.assertIn("started again", heard.detail)
        yield self.eventually(lambda: channel.is_closed)

    @inlineCallbacks
    def test_what_was_being_answered_ends_there(self):
        heard = self.send()
        channel = yield self.arrived()
        channel.transport.write(ANSWER[:-1])
        yield self.eventually(lambda: "data" in heard.said)
        self.caller.abort_former(make_incarnation("p1", SECOND))
        channel.transport.write(ANSWER[-1:])
        yield deferLater(reactor, 0.05, lambda: None)
        self.assertEqual(["sent", "head", "data", "cut"], heard.said)

    @inlineCallbacks
    def test_what_waits_for_a_connection_was_not_sent(self):
        heard = self.send()
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["not sent"], heard.said)
        yield deferLater(reactor, 0.05, lambda: None)
        self.assertEqual(["not sent"], heard.said)
        self.assertEqual(
            [b""] * len(self.channels()), [c.data for c in self.channels()]
        )

    def channels(self):
        return self.servers[0].channels

    @inlineCallbacks
    def test_the_present_life_and_other_targets_are_left_alone(self):
        heard = self.send(SECOND)
        channel = yield self.arrived()
        for present in (
            make_incarnation("p1", SECOND),
            make_incarnation("p1", FIRST),
            make_incarnation("p1"),
        ):
            self.caller.abort_former(present)
        self.caller.abort_former(make_incarnation("p2", THIRD))
        channel.answer()
        yield self.eventually(lambda: "done" in heard.said)

    @inlineCallbacks
    def test_a_kept_connection_is_not_used_for_another_life(self):
        kept = yield self.keep_one()
        # Also before it is told that the former life has ended.
        self.send(SECOND)
        yield self.arrived(place=1)
        self.assertEqual(1, kept.data.count(b"\r\n\r\n"))
        yield self.eventually(lambda: kept.is_closed)

    @inlineCallbacks
    def test_kept_connections_of_a_former_life_are_closed(self):
        kept = yield self.keep_one()
        self.caller.abort_former(make_incarnation("p1", SECOND))
        yield self.eventually(lambda: kept.is_closed)

    @inlineCallbacks
    def test_a_new_life_at_another_address_is_called_there(self):
        yield self.keep_one()
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.send(SECOND, server=1)
        yield self.arrived(server=1)
        self.assertEqual(1, len(self.servers[0].channels))

    @inlineCallbacks
    def test_the_same_life_at_another_address_is_called_there(self):
        yield self.keep_one()
        self.send(FIRST, server=1)
        yield self.arrived(server=1)

    @inlineCallbacks
    def test_an_answer_that_ends_after_its_target_was_forgotten_keeps_nothing(self):
        heard = self.send()
        channel = yield self.arrived()
        self.caller.forget("p1")
        channel.answer()
        yield self.eventually(lambda: "done" in heard.said)
        yield self.eventually(lambda: channel.is_closed)
        self.caller.sweep(reactor.seconds())
        self.assertEqual({}, self.caller._lives)

    @inlineCallbacks
    def test_a_former_life_ends_also_when_its_target_was_forgotten_meanwhile(self):
        heard = self.send()
        yield self.arrived()
        self.caller.forget("p1")
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["sent", "cut"], heard.said)

    @inlineCallbacks
    def test_what_was_sent_after_the_former_life_failed_is_at_the_new_one(self):
        lost = self.send(is_new=True)
        first = yield self.arrived()
        first.transport.abortConnection()
        yield self.eventually(lambda: "cut" in lost.said)
        heard = self.send(is_new=True)
        second = yield self.arrived(place=1)
        self.caller.abort_former(make_incarnation("p1", SECOND))
        second.answer()
        yield self.eventually(lambda: "done" in heard.said)
        yield self.eventually(lambda: second.is_closed)

    @inlineCallbacks
    def test_what_was_sent_before_the_former_life_failed_ends(self):
        early = self.send(is_new=True)
        yield self.arrived()
        lost = self.send(is_new=True)
        second = yield self.arrived(place=1)
        second.transport.abortConnection()
        yield self.eventually(lambda: "cut" in lost.said)
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["sent", "cut"], early.said)

    @inlineCallbacks
    def test_what_was_spared_once_ends_with_the_life_that_it_is_at(self):
        lost = self.send(is_new=True)
        first = yield self.arrived()
        first.transport.abortConnection()
        yield self.eventually(lambda: "cut" in lost.said)
        heard = self.send(is_new=True)
        yield self.arrived(place=1)
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertEqual(["sent"], heard.said)
        self.caller.abort_former(make_incarnation("p1", THIRD))
        self.assertEqual(["sent", "cut"], heard.said)

    @inlineCallbacks
    def test_what_a_former_life_taught_of_resting_goes_with_it(self):
        kept = yield self.keep_one()
        yield deferLater(reactor, 0.15, lambda: None)
        heard = self.send()
        yield self.eventually(lambda: kept.data.count(b"\r\n\r\n") == 2)
        kept.transport.abortConnection()
        yield self.eventually(lambda: "cut" in heard.said)
        limit = self.caller._rest_limit
        self.assertFalse(limit.allows(0.1, reactor.seconds()))
        self.caller.abort_former(make_incarnation("p1", SECOND))
        self.assertTrue(limit.allows(0.1, reactor.seconds()))
