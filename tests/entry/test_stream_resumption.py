"""Requests that wait for the origin of their stream.

Guards against a caller that is held longer than peers may take to answer, a call that
is started twice or after its caller has left, and searches that are kept for ever.
"""

from __future__ import annotations

from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.task import Clock

from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import request
from entry.fakes import target
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.stream_origin_exchange import StreamOriginExchange
from primrosescale.process.entry.stream_resumption import ASK_AGAIN_SECONDS
from primrosescale.process.entry.stream_resumption import StreamResumption
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.freshness import Freshness
from primrosescale.request.stream.origin_search import ANSWER_TIMEOUT_SECONDS
from primrosescale.request.stream.stream_origin import StreamOrigin
from primrosescale.request.stream.stream_origin import stream_key

KEY = stream_key("bakery", "first")


class FakeCall:
    def __init__(self, incoming):
        self.request = incoming
        self.is_over = False
        self.refusal = None

    def refuse(self, refusal, retry_after):
        self.refusal = refusal
        self.is_over = True


class StreamResumptionTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.clock.advance(START)
        self.sent, self.started, self.events = [], [], []
        peers = {
            name: PeerRouter(name, Endpoint("127.0.0.1", 1), name)
            for name in ("r2", "r3")
        }
        targets = TargetList(2.0)
        for name, version in (("m1", "v1"), ("m2", "v2")):
            targets.put(target(name, software_version=version), START)
        freshness = Freshness(5.0)
        freshness.answered(START)
        self.exchange = StreamOriginExchange(
            "r1", lambda: list(peers.values()), peers.get, targets, freshness
        )
        parts = SimpleNamespace(
            reactor=self.clock,
            log=SimpleNamespace(emit=lambda event, **f: self.events.append((event, f))),
            metrics=EntryMetrics(),
        )
        self.resumption = StreamResumption(
            self.exchange,
            SimpleNamespace(send=self.sent.extend),
            lambda call, now: self.started.append(call),
            parts,
        )
        self.resumption.refresh(START)
        self.sent.clear()

    def submit(self, **fields):
        values = {"request_id": "next", "last_event": 2, "first_attempt_id": "first"}
        call = FakeCall(request(STREAM, now=START, **{**values, **fields}))
        self.resumption.submit(call, self.clock.seconds())
        return call

    def answer(self, peer, origin=None):
        service, version = origin or (None, None)
        answer = wire.StreamOriginAnswer(peer, KEY, service, version, None, None)
        self.exchange.receive_answer(answer, self.clock.seconds())

    def asked(self):
        return [router.name for router, _ in self.sent]

    def test_a_new_stream_starts_at_once(self):
        call = self.submit(last_event=None, first_attempt_id="")
        self.assertEqual([call], self.started)
        self.assertEqual([], self.sent)

    def test_the_first_answer_with_a_version_starts_the_call_once(self):
        call = self.submit()
        self.assertEqual({"r2", "r3"}, set(self.asked()))
        self.assertEqual([], self.started)
        self.answer("r3", ("model", "v2"))
        self.answer("r2", ("model", "v2"))
        self.clock.advance(1.0)
        self.assertEqual([call], self.started)
        self.assertEqual(StreamOrigin("model", "v2"), call.request.stream_origin)

    # Guards against waiting for a lost datagram.
    def test_routers_that_have_not_answered_are_asked_again(self):
        self.submit()
        self.answer("r2")
        self.sent.clear()
        self.clock.advance(ASK_AGAIN_SECONDS)
        self.assertEqual(["r3"], self.asked())

    # Guards against holding a caller for routers that do not answer.
    def test_without_an_answer_it_is_refused_after_the_timeout(self):
        call = self.submit()
        for _ in range(10):
            self.clock.advance(ASK_AGAIN_SECONDS)
            if call.is_over:
                break
        self.assertEqual(Refusal.ORIGIN_UNKNOWN, call.refusal)
        waited = self.clock.seconds() - START
        self.assertTrue(waited <= ANSWER_TIMEOUT_SECONDS + ASK_AGAIN_SECONDS, waited)
        self.assertEqual([], self.started)
        self.assertEqual([], self.clock.getDelayedCalls())

    def test_it_is_refused_at_once_when_all_have_answered_without_it(self):
        call = self.submit()
        self.answer("r2")
        self.assertFalse(call.is_over)
        self.answer("r3")
        self.assertEqual(Refusal.ORIGIN_UNKNOWN, call.refusal)

    # Guards against a request that is sent to a target after its caller has left.
    def test_a_call_whose_caller_leaves_meanwhile_is_not_started(self):
        call = self.submit()
        call.is_over = True
        self.answer("r2", ("model", "v1"))
        self.clock.advance(1.0)
        self.assertEqual([], self.started)
        self.assertIsNone(call.refusal)
        self.assertEqual([], self.clock.getDelayedCalls())

    # Guards against an answer that serves only one of two calls for the same stream.
    def test_two_calls_for_one_stream_get_the_same_answer(self):
        calls = [self.submit(request_id=f"next{n}") for n in range(2)]
        self.answer("r2", ("model", "v1"))
        self.assertEqual(calls, self.started)
        self.assertEqual({}, self.exchange._searches)

    def test_an_own_record_needs_no_question(self):
        origin = StreamOrigin("model", "v1")
        began = request(STREAM, now=START, request_id="first", stream_origin=origin)
        self.resumption.began(began, START)
        self.sent.clear()
        call = self.submit()
        self.assertEqual([call], self.started)
        self.assertEqual([], self.sent)
