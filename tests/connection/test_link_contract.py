"""Contract tests of links: in memory, over TCP and over TCP with TLS."""

from __future__ import annotations

import datetime as dt
import ipaddress
import tempfile
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from primrosescale.connection.codec import CLASS_BY_KIND
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.dialer import TcpDialer
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.exceptions import DialError
from primrosescale.connection.exceptions import FrameError
from primrosescale.connection.exceptions import TlsError
from primrosescale.connection.link import LinkHandler
from primrosescale.connection.link import LinkSettings
from primrosescale.connection.pool import LinkPool
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.daemons.daemon import LinkFactory
from primrosescale.process.settings import TlsSettings
from primrosescale.process.transport.tls import LinkTls
from support.drawn import drawn
from support.live import LiveTest
from support.memory_network import MemoryDialer
from support.memory_network import MemoryNetwork


def hello(name, protocol=1):
    return wire.Hello(protocol, name, 1, "d")


class Handler(LinkHandler):
    def __init__(self):
        self.messages = []
        self.lost = []
        self.ready = []
        self.changed = Deferred()

    def _change(self):
        changed, self.changed = self.changed, Deferred()
        changed.callback(None)

    def link_ready(self, link):
        self.ready.append(link)

    def link_message(self, link, message):
        self.messages.append(message)
        if isinstance(message, wire.Cancel) and message.number == 1:
            link.send(wire.Cancel(message.router, 2))
        self._change()

    def link_lost(self, link, detail):
        self.lost.append(detail)
        self._change()


class CodecTest(TestCase):
    @drawn(500)
    @given(st.binary(max_size=200))
    def test_junk_is_refused_and_nothing_else_happens(self, data):
        try:
            message = decode(data)
        except FrameError:
            return
        self.assertIn(type(message), CLASS_BY_KIND.values())

    @drawn(200)
    @given(st.integers(0, 400), st.integers(0, 255))
    def test_a_damaged_message_is_refused_or_another_message(self, place, value):
        frame = bytearray(encode(wire.AnswerChunk(1, 2, 3, b"data" * 20)))
        frame[place % len(frame)] = value
        try:
            message = decode(bytes(frame))
        except FrameError:
            return
        self.assertIn(type(message), CLASS_BY_KIND.values())

    def test_every_kind_has_a_class(self):
        self.assertEqual(set(wire.MessageKind), set(CLASS_BY_KIND))

    def test_a_message_without_a_required_field_is_refused(self):
        frame = encode(wire.Credit(1, 2, 3))
        self.assertRaises(FrameError, decode, frame[:1] + b"\x00")


class MemoryLinkTest(TestCase):
    """Time limits of links, on a virtual clock."""

    def setUp(self):
        super().setUp()
        self.network = MemoryNetwork()
        self.clock = self.network.clock
        self.near, self.far = Handler(), Handler()
        factory = LinkFactory(hello("far"), self.far, self.clock, LinkSettings())
        self.endpoint = Endpoint("127.0.0.1", self.network.listen("far", factory))
        dialer = MemoryDialer(self.network, "near")
        self.pool = LinkPool(
            hello("near"),
            self.near,
            dialer,
            self.clock,
            LinkSettings(),
            30.0,
        )

    def run_for(self, seconds):
        for _ in range(int(seconds / 0.01)):
            self.clock.advance(0.01)

    def open(self):
        links = []
        self.pool.get(self.endpoint).addCallback(links.append)
        self.run_for(0.1)
        return links[0]

    def test_two_callers_share_one_connection(self):
        links = []
        self.pool.get(self.endpoint).addCallback(links.append)
        self.pool.get(self.endpoint).addCallback(links.append)
        self.run_for(0.1)
        self.assertEqual(1, len(set(links)))
        self.assertEqual("far", links[0].peer.name)

    def test_a_silent_connection_with_pending_calls_is_aborted(self):
        link = self.open()
        link.expect()
        self.network.silence("far", "near")
        self.run_for(2.5)
        self.assertEqual([], self.near.lost)
        self.run_for(1.0)
        self.assertEqual(1, len(self.near.lost))

    def test_a_connection_whose_peer_answers_pings_is_kept(self):
        link = self.open()
        link.expect()
        self.run_for(20.0)
        self.assertEqual([], self.near.lost)

    def test_an_idle_connection_costs_no_bytes_and_is_closed(self):
        link = self.open()
        before = link.bytes_out + link.bytes_in
        self.run_for(20.0)
        self.assertEqual(before, link.bytes_out + link.bytes_in)
        self.assertEqual(0, self.pool.close_idle(self.clock.seconds()))
        self.run_for(15.0)
        self.assertEqual(1, self.pool.close_idle(self.clock.seconds()))
        self.run_for(0.1)
        self.assertEqual(0, self.pool.size)

    def test_a_peer_of_another_protocol_version_is_rejected(self):
        factory = LinkFactory(hello("new", 2), self.far, self.clock, LinkSettings())
        endpoint = Endpoint("127.0.0.1", self.network.listen("new", factory))
        failures = []
        self.pool.get(endpoint).addErrback(failures.append)
        self.run_for(0.1)
        self.assertTrue(failures[0].check(DialError))

    def test_a_peer_that_sends_no_hello_is_rejected(self):
        mute = Endpoint(
            "127.0.0.1", self.network.listen("m", Factory.forProtocol(Protocol))
        )
        failures = []
        self.pool.get(mute).addErrback(failures.append)
        self.run_for(6.0)
        self.assertTrue(failures[0].check(DialError))


class TcpLinkTest(LiveTest):
    tls = None
    dial_tls = None

    def listen(self, handler):
        factory = LinkFactory(hello("far"), handler, reactor, LinkSettings())
        if self.tls is None:
            port = reactor.listenTCP(0, factory, interface="127.0.0.1")
        else:
            port = reactor.listenSSL(0, factory, self.tls.server, interface="127.0.0.1")
        self.addCleanup(port.stopListening)
        return Endpoint("127.0.0.1", port.getHost().port)

    def pool(self, handler, tls):
        client = None if tls is None else tls.client
        dialer = TcpDialer(reactor, 5.0, client)
        pool = LinkPool(hello("near"), handler, dialer, reactor, LinkSettings(), 30.0)
        self.addCleanup(self.end, pool)
        return pool

    @inlineCallbacks
    def end(self, pool):
        for link in pool.links():
            link.abandon("test ends")
        yield self.pause(0.05)

    def pause(self, seconds):
        result = Deferred()
        reactor.callLater(seconds, result.callback, None)
        return result

    @inlineCallbacks
    def test_messages_go_both_ways(self):
        near, far = Handler(), Handler()
        pool = self.pool(near, self.dial_tls)
        link = yield pool.get(self.listen(far))
        link.send(wire.Cancel(5, 1))
        yield near.changed
        self.assertEqual([2], [message.number for message in near.messages])
        self.assertEqual(1, len(far.ready))

    @inlineCallbacks
    def test_a_refused_connection_is_a_dial_error(self):
        port = reactor.listenTCP(0, Factory(), interface="127.0.0.1")
        endpoint = Endpoint("127.0.0.1", port.getHost().port)
        yield port.stopListening()
        pool = self.pool(Handler(), self.dial_tls)
        try:
            yield pool.get(endpoint)
        except DialError:
            return
        self.fail("connected to a port without a listener")

    @inlineCallbacks
    def test_junk_ends_the_connection(self):
        near, far = Handler(), Handler()
        pool = self.pool(near, self.dial_tls)
        link = yield pool.get(self.listen(far))
        link.sendString(b"\xffjunk")
        yield far.changed
        self.assertIn("frame refused", far.lost[0])


class Authority:
    """A certificate authority for tests."""

    def __init__(self, folder, name):
        self.folder = Path(folder)
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        self.own = self._certificate(
            self.name, self.key.public_key(), is_authority=True
        )
        self.path = self._write(f"{name}.pem", self.own)

    def _certificate(self, name, public, *, is_authority):
        now = dt.datetime.now(dt.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(self.name)
            .public_key(public)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - dt.timedelta(days=1))
            .not_valid_after(now + dt.timedelta(days=1))
            .add_extension(x509.BasicConstraints(is_authority, None), critical=True)
            .add_extension(
                x509.SubjectAlternativeName(
                    [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))],
                ),
                critical=False,
            )
            .sign(self.key, hashes.SHA256())
        )

    def _write(self, name, certificate):
        path = self.folder / name
        path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
        return str(path)

    def issue(self, name):
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name([x509.NameAttribute(x509.NameOID.COMMON_NAME, name)])
        certificate = self._certificate(subject, key.public_key(), is_authority=False)
        key_path = self.folder / f"{name}.key"
        key_path.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
        )
        path = self._write(f"{name}.crt", certificate)
        return TlsSettings(certificate=path, key=str(key_path), authority=self.path)


class TlsLinkTest(TcpLinkTest):
    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        authority = Authority(folder.name, "fleet")
        self.tls = LinkTls(authority.issue("far"))
        self.dial_tls = LinkTls(authority.issue("near"))
        self.other = Authority(folder.name, "other")
        self.authority = authority

    @inlineCallbacks
    def assert_rejected(self, tls):
        near, far = Handler(), Handler()
        pool = self.pool(near, tls)
        try:
            yield pool.get(self.listen(far))
        except DialError:
            self.assertEqual([], far.ready)
            self.assertEqual([], far.messages)
            return
        self.fail("a peer without a valid certificate got a link")

    def test_a_client_with_a_certificate_of_another_authority_gets_no_link(self):
        return self.assert_rejected(LinkTls(self.other.issue("eve")))

    def test_a_client_without_tls_gets_no_link(self):
        return self.assert_rejected(None)

    def test_a_listener_with_a_certificate_of_another_authority_gets_no_link(self):
        near = self.dial_tls
        self.tls = LinkTls(self.other.issue("eve"))
        return self.assert_rejected(near)

    def test_unusable_certificate_files_are_an_error_with_a_remedy(self):
        bad = TlsSettings(
            certificate=self.authority.path,
            key=self.authority.path,
            authority=self.authority.path,
        )
        error = self.assertRaises(TlsError, LinkTls, bad)
        self.assertIn("[tls]", error.remedy)
