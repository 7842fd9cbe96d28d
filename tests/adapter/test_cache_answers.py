"""Cache contents reported by a model engine are decoded or raise `TargetError`."""

from __future__ import annotations

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource

from entry.fakes import target
from primrosescale.platform.engine_calls import EngineCacheReader
from primrosescale.process.exceptions import TargetError
from support.foreign import DEEP
from support.live import DeploymentRunTest
from support.live import LiveTest


class Engine(Resource):
    isLeaf = True

    def __init__(self):
        super().__init__()
        self.answer = b""

    def render_GET(self, request):
        return self.answer


class EngineCachesTest(LiveTest):
    run_tests_with = DeploymentRunTest.make_factory(timeout=30.0)

    def setUp(self):
        super().setUp()
        self.engine = Engine()
        self.target = target("m1", endpoint=self.serve(self.engine))
        self.caches = EngineCacheReader(reactor)

    @inlineCallbacks
    def test_cache_contents_are_decoded(self):
        self.engine.answer = b'{"held": [["", "5c1e", 800, "m"]]}'
        found = yield self.caches.read(self.target)
        [part] = found.parts
        self.assertEqual(("5c1e", 800), (part.name, part.tokens))

    @inlineCallbacks
    def test_a_malformed_answer_raises_target_error(self):
        for malformed in (
            b"",
            b"\xff",
            b"[]",
            b"{}",
            b'{"held": 7}',
            b'{"held": [[]]}',
            b'{"held": [["", "a", "many"]]}',
            b'{"held": [["", "a", 1e999]]}',
            b"[" * DEEP,
        ):
            self.engine.answer = malformed
            try:
                yield self.caches.read(self.target)
            except TargetError:
                continue
            self.fail(f"{malformed[:40]!r} was accepted")
