"""Decodes the start time and the cache contents that a model engine reports."""

from __future__ import annotations

import json

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource

from entry.fakes import target
from primrosescale.platform.engine_calls import EngineCacheReader
from primrosescale.process.entry.codec import EngineCacheContents
from primrosescale.process.exceptions import TargetError
from primrosescale.request.incoming_request import PromptPart
from support.live import DeploymentRunTest
from support.live import LiveTest

BORN = 1_790_000_000_123
HELD = [["", "9c41d07b", 1460, "m"]]
PARTS = (PromptPart("9c41d07b", 1460),)


class Engine(Resource):
    """Gives the same answer to every request."""

    isLeaf = True

    def __init__(self, fields):
        super().__init__()
        self._fields = fields

    def render_GET(self, request):
        return json.dumps(self._fields).encode()


class HeldPartsTest(LiveTest):
    run_tests_with = DeploymentRunTest.make_factory(timeout=10.0)

    def read(self, **fields):
        endpoint = self.serve(Engine({"epoch": 1, "next": 2, "held": HELD, **fields}))
        return EngineCacheReader(reactor).read(target("m1", endpoint=endpoint))

    @inlineCallbacks
    def test_the_start_time_is_decoded_with_the_parts(self):
        found = yield self.read(born=BORN)
        self.assertEqual(EngineCacheContents(PARTS, BORN), found)

    @inlineCallbacks
    def test_the_start_time_is_optional(self):
        found = yield self.read()
        self.assertEqual(EngineCacheContents(PARTS, None), found)

    @inlineCallbacks
    def test_an_invalid_start_time_raises_target_error(self):
        for invalid in (True, "64", 1.5, -1, [], {}):
            try:
                yield self.read(born=invalid)
            except TargetError:
                continue
            self.fail(invalid)
