"""Bytes without end from the store and from a target behind an agent.

Guards against a process that collects them until its memory is used up.
"""

from __future__ import annotations

from testtools.matchers import LessThan
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.web._newclient import Request
from twisted.web.http_headers import Headers

from primrosescale.connection.bounded_http import MAX_HEAD_BYTES
from primrosescale.connection.bounded_http import MAX_PROCESSOR_SECONDS
from primrosescale.connection.bounded_http import BoundedHttpProtocol
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.exceptions import TargetError
from primrosescale.process.transport.http_bodies import MAX_BODY_BYTES
from primrosescale.process.transport.http_bodies import read_body
from primrosescale.process.transport.http_client import HttpClient
from primrosescale.process.transport.http_target import HttpTarget
from primrosescale.request.attempt.local_target_client import TargetReceiver
from support.endless_target import EndlessTarget
from support.live import LiveTest

HEAD = b"HTTP/1.1 200 OK\r\n"
KINDS = {
    "many headers": (HEAD, b"X-Header: value\r\n" * 500),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
    "no length": (HEAD + b"\r\n", b"x" * 8000),
    "huge length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"x" * 8000),
    "smallest chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
        b"1\r\nx\r\n" * 1300,
    ),
}
MAX_SECONDS = 4.0


class Receiver(TargetReceiver):
    """Discards an answer and tells how it ended."""

    def __init__(self):
        self.ended = Deferred()

    def target_head(self, status, headers):
        pass

    def target_data(self, data):
        pass

    def target_done(self, cached_tokens):
        self.ended.callback(None)

    def target_failed(self, outcome, detail):
        self.ended.callback(outcome)


class EndlessAnswerTest(LiveTest):
    def serve_endless(self, kind):
        endless = EndlessTarget(*kind)
        self.addCleanup(endless.close)
        address, port = endless.address.split(":")
        return endless, Endpoint(address, int(port))

    @inlineCallbacks
    def fails(self, endless, answer):
        """Wait until a call has failed and its connection is closed."""
        began = reactor.seconds()
        errors = []
        yield answer.addErrback(lambda failure: errors.append(failure.value))
        self.assertEqual(1, len(errors))
        self.assertThat(reactor.seconds() - began, LessThan(MAX_SECONDS))
        for _ in range(100):
            if endless.longest_seconds:
                return errors[0]
            yield from_now(0.02)
        self.fail("the connection stays open")

    @inlineCallbacks
    def test_answers_of_the_store(self):
        for kind in KINDS.values():
            endless, endpoint = self.serve_endless(kind)
            client = HttpClient(reactor, endpoint, 0.5)
            error = yield self.fails(endless, client.call("GET", "/x"))
            self.assertIsInstance(error, PlatformError)

    @inlineCallbacks
    def test_states_orders_and_caches_of_a_target_at_an_agent(self):
        for kind in KINDS.values():
            endless, endpoint = self.serve_endless(kind)
            target = HttpTarget(reactor, endpoint, must_echo=False, timeout=0.5)
            yield self.fails(endless, target.state())

    @inlineCallbacks
    def test_calls_of_a_target_at_an_agent(self):
        kinds = ("many headers", "interim answers", "smallest chunks")
        for kind in map(KINDS.get, kinds):
            _, endpoint = self.serve_endless(kind)
            target = HttpTarget(reactor, endpoint, must_echo=False, timeout=0.5)
            receiver = Receiver()
            call = wire.Call(
                *(1, 7, 1, "s", "o", "", "GET", "/x", [], b"", 1000, 0, 0, 5, 1),
                *("", True, False, 1, "", 1, "", False),
            )
            target.start(call, receiver)
            outcome = yield receiver.ended
            self.assertEqual(Outcome.UNKNOWN, outcome)


def from_now(seconds):
    done = Deferred()
    reactor.callLater(seconds, done.callback, None)
    return done


class FakeResponse:
    """An answer whose body a test gives."""

    def deliverBody(self, reader):
        self.reader = reader
        reader.makeConnection(AbortableTransport())


class BodyTest(LiveTest):
    # Guards against a body that is read whole, fast and with little work.
    def test_a_body_beyond_the_bound_is_given_up(self):
        response = FakeResponse()
        errors = []
        read_body(response, Clock()).addErrback(errors.append)
        for _ in range(MAX_BODY_BYTES // 65536):
            response.reader.dataReceived(b"x" * 65536)
        self.assertEqual([], errors)
        response.reader.dataReceived(b"x")
        self.assertTrue(errors[0].check(TargetError))
        self.assertTrue(response.reader.transport.is_aborted)


class AbortableTransport(StringTransport):
    is_aborted = False

    def abortConnection(self):
        self.is_aborted = True


class BoundedHttpTest(LiveTest):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.protocol = BoundedHttpProtocol(lambda _: None, self.clock.seconds)
        self.transport = AbortableTransport()
        self.protocol.makeConnection(self.transport)
        self.begin()

    def begin(self):
        host = Headers({b"Host": [b"x"]})
        request = Request(b"GET", b"/", host, None, persistent=True)
        self.protocol.request(request).addErrback(lambda _: None)

    def receive(self, data, seconds=0.0):
        def parse(received):
            self.clock.advance(seconds)
            return real(received)

        real = self.protocol._parser.dataReceived
        self.protocol._parser.dataReceived = parse
        self.protocol.dataReceived(data)

    def test_a_head_within_the_bound_is_taken(self):
        self.receive(HEAD + b"X: y\r\n" * (MAX_HEAD_BYTES // 8))
        self.assertFalse(self.transport.is_aborted)
        self.receive(b"X: y\r\n" * (MAX_HEAD_BYTES // 8))
        self.assertTrue(self.transport.is_aborted)

    def test_a_large_body_that_takes_little_time_is_taken(self):
        self.receive(HEAD + b"Content-Length: 9999999\r\n\r\n")
        for _ in range(99):
            self.receive(b"x" * 65536)
        self.assertFalse(self.transport.is_aborted)

    def test_the_processor_time_of_an_answer_is_bounded(self):
        self.receive(HEAD + b"Content-Length: 9999999\r\n\r\n")
        self.receive(b"x", 0.6 * MAX_PROCESSOR_SECONDS)
        self.assertFalse(self.transport.is_aborted)
        self.receive(b"x", 0.6 * MAX_PROCESSOR_SECONDS)
        self.assertTrue(self.transport.is_aborted)

    def test_each_answer_is_counted_anew(self):
        for _ in range(3):
            self.receive(HEAD + b"Content-Length: 0\r\n\r\n", 0.6)
            self.begin()
        self.assertFalse(self.transport.is_aborted)
