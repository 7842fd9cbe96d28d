"""Targets that send bytes without end, in place of an answer or in one.

Guards against a router whose memory or processor time such bytes use up: requests of
other callers wait, and the process is ended for its memory.
"""

from __future__ import annotations

from pathlib import Path

from testtools.matchers import GreaterThan
from testtools.matchers import LessThan
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.task import deferLater

from primrosescale.connection.bounded_http import MAX_PROCESSOR_SECONDS
from primrosescale.standin.scripted_engine import EngineScript
from support.endless_target import EndlessTarget
from support.entry_site import Caller
from support.entry_site import ask
from support.entry_site import target_entry
from support.entry_site import text
from support.router_site import LoopbackRouterTest

PAGE_BYTES = 4096
KEPT_BYTES = 1024
MAX_GROWTH_BYTES = 40 * 1024 * 1024
# Longest time that a request of another caller may take meanwhile.
MAX_OTHER_SECONDS = 0.5
PLAIN_TIMEOUT_SECONDS = 1.5
REQUESTS = 60
# A tenth of an even part.
MAX_FAILED = REQUESTS // 20
LONG_EVENTS = 5000
LONG_BODY_BYTES = 4_000_000
TIMEOUT_SLACK_SECONDS = 1.0
HEAD = (
    b"HTTP/1.1 200 OK\r\nPrimrosescale-Request-Id: r1\r\n"
    b"Primrosescale-Response-Signature: sig\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n"
# What a target sends first, and what it repeats until the connection is closed.
IN_A_HEAD = {
    "garbage without lines": (b"", b"\x00" * 8000),
    "garbage in lines": (b"", b"\x00garbage\r\n" * 800),
    "status line": (b"HTTP/1.1 200 ", b"O" * 8000),
    "header line": (HEAD + b"X: ", b"x" * 8000),
    "many headers": (HEAD, b"X-Header: value\r\n" * 500),
    "continued header": (HEAD + b"X: 1\r\n", b" continued\r\n" * 700),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 300),
}
IN_A_BODY = {
    "no length": (HEAD + b"\r\n", b"x" * 8000),
    "huge length": (HEAD + b"Content-Length: 999999999999\r\n\r\n", b"x" * 8000),
    "chunks": (CHUNKED + b"\r\n", b"1f40\r\n" + b"x" * 8000 + b"\r\n"),
    "smallest chunks": (CHUNKED + b"\r\n", b"1\r\nx\r\n" * 1300),
    "size of a chunk": (CHUNKED + b"\r\n", b"0" * 8000),
    "extension of a chunk": (CHUNKED + b"\r\n1;", b"x" * 8000),
    "trailers": (CHUNKED + b"\r\n0\r\n", b"X-Trailer: value\r\n" * 400),
    "past the length": (HEAD + b"Content-Length: 2\r\n\r\n", b"ok" * 4000),
}
IN_A_STREAM = {
    "event without end": (CHUNKED + b"\r\n", b"1f40\r\n" + b"x" * 8000 + b"\r\n"),
    "small parts of an event": (CHUNKED + b"\r\n", b"1\r\nx\r\n" * 1300),
    "events": (CHUNKED + b"\r\n", b"e\r\ndata: abcdef\n\n\r\n" * 400),
}


def resident_bytes():
    """Return the memory that this process has in use."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE_BYTES


class FrugalCaller(Caller):
    """A caller that keeps only the begin and the end of its answer."""

    def dataReceived(self, data):
        self.data = (self.data + data)[:KEPT_BYTES] + data[-8:]


class EndlessAnswerTest(LoopbackRouterTest):
    @inlineCallbacks
    def play(self, kind, path, *, method=b"GET", service="portal"):
        """Send a request to such a target; return its answer, while others ask too."""
        endless = EndlessTarget(*kind)
        self.addCleanup(endless.close)
        script = EngineScript(name="i-good", body=b"done")
        other = "model" if service == "portal" else "portal"
        if other == "model":
            script.events = 2
        self.start_target(script, service=other)
        entry = target_entry(service, endless.address)
        self.store.write("servers", "i-endless", entry)
        router = self.start_router("r1")
        yield self.until(lambda: self.knows(router, 2))
        before = resident_bytes()
        began = reactor.seconds()
        caller = yield self.connect(router)
        headers = b"Connection: close\r\n"
        caller.transport.write(text(path, method=method, headers=headers))
        slowest = grown = 0.0
        while not caller.is_closed:
            asked_at = reactor.seconds()
            good = b"/story/x" if other == "model" else b"/plain/x"
            data = yield ask(
                router, text(good, headers=b"Connection: close\r\n", rid=b"o")
            )
            self.assertIn(b"200 OK", data)
            slowest = max(slowest, reactor.seconds() - asked_at)
            grown = max(grown, resident_bytes() - before)
            yield deferLater(reactor, 0.02, lambda: None)
        took = reactor.seconds() - began
        self.assertEqual(1, endless.requests)
        self.assertThat(slowest, LessThan(MAX_OTHER_SECONDS))
        self.assertThat(grown, LessThan(MAX_GROWTH_BYTES))
        yield self.until(lambda: endless.longest_seconds)
        return caller.data, took, router

    def connect(self, router):
        bound = router.bound[router._settings.callers]
        client = TCP4ClientEndpoint(reactor, bound.address, bound.port)
        return connectProtocol(client, FrugalCaller())

    @inlineCallbacks
    def check(self, kinds, path, max_seconds, **options):
        for name, kind in kinds.items():
            data, took, router = yield self.play(kind, path, **options)
            self.assertNotIn(b"\r\n0\r\n\r\n", data[-7:], name)
            self.assertThat(took, LessThan(max_seconds), name)
            self.assertThat(router._target_client.connections, LessThan(3), name)
            router._store_state.stop()
            router._close()
            self.store.remove("servers", "i-endless")

    @inlineCallbacks
    def test_a_head_without_end_of_a_plain_answer(self):
        limit = PLAIN_TIMEOUT_SECONDS + TIMEOUT_SLACK_SECONDS
        yield self.check(IN_A_HEAD, b"/plain/x", limit)

    @inlineCallbacks
    def test_a_head_without_end_of_a_request_that_may_run_once(self):
        limit = PLAIN_TIMEOUT_SECONDS + TIMEOUT_SLACK_SECONDS
        yield self.check(IN_A_HEAD, b"/once/x", limit, method=b"POST")

    @inlineCallbacks
    def test_a_body_without_end_of_a_plain_answer(self):
        limit = PLAIN_TIMEOUT_SECONDS + TIMEOUT_SLACK_SECONDS
        yield self.check(IN_A_BODY, b"/plain/x", limit)

    @inlineCallbacks
    def test_a_stream_without_end(self):
        limit = MAX_PROCESSOR_SECONDS + 3 * TIMEOUT_SLACK_SECONDS
        yield self.check(
            {**IN_A_HEAD, **IN_A_STREAM}, b"/draft/x", limit, service="model"
        )

    # Guards against such a target getting its whole part of the requests for ever.
    @inlineCallbacks
    def test_a_target_that_sends_without_end_is_avoided(self):
        # Bytes past a whole answer do not spoil it.
        sound = {"past the length"}
        for name, kind in {**IN_A_HEAD, **IN_A_BODY}.items():
            endless = EndlessTarget(*kind)
            self.addCleanup(endless.close)
            self.start_target(EngineScript(name="i-good", body=b"done"))
            self.store.write(
                "servers", "i-endless", target_entry("portal", endless.address)
            )
            router = self.start_router("r1")
            yield self.until(lambda router=router: self.knows(router, 2))
            failed = 0
            for _ in range(REQUESTS):
                headers = b"Connection: close\r\n"
                data = yield ask(router, text(b"/plain/x", headers=headers))
                failed += b" 200 OK" not in data
            self.assertThat(failed, LessThan(MAX_FAILED + 1), name)
            if name in sound:
                self.assertEqual(0, failed, name)
            else:
                self.assertThat(endless.requests, LessThan(MAX_FAILED + 1), name)
            router._store_state.stop()
            router._close()
            self.store.remove("servers", "i-endless")

    # Guards against a bound that a sound answer exceeds.
    @inlineCallbacks
    def test_long_answers_are_passed_on_whole(self):
        event = b"data: " + b"x" * 400 + b"\n\n"
        events = b"".join(b"id: %d\n" % n + event for n in range(1, LONG_EVENTS + 1))
        stream = HEAD + b"Content-Length: %d\r\n\r\n" % len(events) + events
        body = b"y" * LONG_BODY_BYTES
        plain = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
        for answer, service in ((stream, "model"), (plain, "portal")):
            target = EndlessTarget(answer, b"")
            self.addCleanup(target.close)
            entry = target_entry(service, target.address)
            self.store.write("servers", f"i-{service}", entry)
        router = self.start_router("r1")
        yield self.until(lambda: self.knows(router, 2))
        for content, path in ((events, b"/story/x"), (body, b"/plain/x")):
            data = yield ask(router, text(path, headers=b"Connection: close\r\n"))
            self.assertIn(content[-1000:], data)
            self.assertThat(len(data), GreaterThan(len(content)))
