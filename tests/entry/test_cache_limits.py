"""The cache sizes of the configuration reach the index of cached prompts.

Guards against limits that are not applied to new targets or after a new version.
"""

from __future__ import annotations

from types import SimpleNamespace

from testtools import TestCase

from entry.fakes import START
from entry.fakes import target
from primrosescale.process.entry.cache_limits import CacheLimits
from primrosescale.request.target.target_state import TargetState


class CacheLimitsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.limited = []
        self.tokens = {"model": 4000, "portal": 0}
        self.state = SimpleNamespace(table=None, targets=None)
        self.set_targets(1, "m1")
        self.limits = CacheLimits(self, self.state)

    def limit(self, incarnation, tokens):
        self.limited.append((incarnation.name, tokens))

    def set_targets(self, generation, *names):
        states = [TargetState(target(name), START) for name in names]
        self.state.targets = SimpleNamespace(generation=generation, states=states)

    def set_version(self, version):
        def service(name):
            tokens = self.tokens.get(name)
            return None if tokens is None else SimpleNamespace(cache_tokens=tokens)

        self.state.table = SimpleNamespace(version=version, service=service)

    def test_without_a_configuration_nothing_is_applied(self):
        self.limits.update()
        self.assertEqual([], self.limited)
        self.assertFalse(self.limits.has_cache(target("m1")))

    def test_limits_are_applied_once_for_each_version_and_list(self):
        self.set_version(1)
        self.limits.update()
        self.limits.update()
        self.assertEqual([("m1", 4000)], self.limited)
        self.set_targets(2, "m1", "m2")
        self.limits.update()
        self.assertEqual([("m1", 4000), ("m2", 4000)], self.limited[1:])
        self.set_version(2)
        self.limits.update()
        self.assertEqual(5, len(self.limited))

    def test_only_targets_with_a_known_cache_have_one(self):
        self.set_version(1)
        self.assertTrue(self.limits.has_cache(target("m1")))
        self.assertFalse(self.limits.has_cache(target("p1", "portal")))
        self.assertFalse(self.limits.has_cache(target("x1", "unknown")))
