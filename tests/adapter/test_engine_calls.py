"""Calls to model engines besides callers' requests."""

from __future__ import annotations

import json

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource

from entry.fakes import target
from primrosescale.platform.engine_calls import EngineCaches
from primrosescale.process.entry.codec import EngineCacheContents
from primrosescale.process.exceptions import TargetError
from primrosescale.request.incoming_request import PromptPart
from support.live import DeploymentRunTest
from support.live import LiveTest

BORN = 1_790_000_000_123
HELD = [["", "9c41d07b", 1460, "m"]]
PARTS = (PromptPart("9c41d07b", 1460),)


class Engine(Resource):
    """Says one thing, whatever it is asked."""

    isLeaf = True

    def __init__(self, said):
        super().__init__()
        self._said = said

    def render_GET(self, request):
        return json.dumps(self._said).encode()


class HeldPartsTest(LiveTest):
    run_tests_with = DeploymentRunTest.make_factory(timeout=10.0)

    def read(self, **said):
        endpoint = self.serve(Engine({"epoch": 1, "next": 2, "held": HELD, **said}))
        return EngineCaches(reactor).read(target("m1", endpoint=endpoint))

    @inlineCallbacks
    def test_the_start_is_read_with_the_parts(self):
        found = yield self.read(born=BORN)
        self.assertEqual(EngineCacheContents(PARTS, BORN), found)

    @inlineCallbacks
    def test_it_need_not_be_told(self):
        found = yield self.read()
        self.assertEqual(EngineCacheContents(PARTS, None), found)

    @inlineCallbacks
    def test_an_odd_start_makes_the_answer_odd(self):
        for odd in (True, "64", 1.5, -1, [], {}):
            try:
                yield self.read(born=odd)
            except TargetError:
                continue
            self.fail(odd)
