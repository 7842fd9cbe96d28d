"""Targets that a request may be sent to: regions, earlier attempts and versions.

Guards against a version that counts as served where the request may not go.
"""

from __future__ import annotations

from testtools import TestCase

from entry.fakes import STREAM
from entry.fakes import ForwardingHarness
from entry.fakes import request
from entry.fakes import target
from primrosescale.request.attempt.candidate_targets import CandidateTargets
from primrosescale.request.stream.stream_origin import StreamOrigin


class CandidateTargetsTest(TestCase):
    def candidates(self, version=None, **fields):
        self.harness = ForwardingHarness(
            [
                target("m1", domain="a", software_version="v1"),
                target("m2", domain="b", software_version="v2"),
                target("m3", domain="b", software_version="v1"),
            ]
        )
        self.harness.tools.regions = {"a": "north", "b": "south"}
        origin = None if version is None else StreamOrigin("model", version)
        found = request(STREAM, stream_origin=origin, **fields)
        return CandidateTargets(found, self.harness.tools)

    def names(self, states):
        return [state.target.name for state in states]

    def test_before_the_first_event_all_versions_are_left(self):
        candidates = self.candidates()
        self.assertEqual(["m1", "m2", "m3"], self.names(candidates.left()))
        self.assertTrue(candidates.has_version())

    def test_only_targets_of_its_version_that_were_not_tried_are_left(self):
        candidates = self.candidates("v1")
        candidates.tried.attempted(self.harness.state("m1").incarnation)
        self.assertEqual(["m3"], self.names(candidates.left()))
        self.assertEqual(["m1", "m3"], self.names(candidates.of_version()))

    # Guards against waiting for targets in a region that it must not be sent to.
    def test_a_version_in_another_region_is_not_there(self):
        for region, has_version in (("north", False), ("south", True)):
            allowed = frozenset({region})
            candidates = self.candidates("v2", allowed_regions=allowed)
            self.assertEqual(has_version, candidates.has_version())

    # Guards against counting a target that leaves as one that could continue it.
    def test_a_version_that_only_a_leaving_target_has_is_not_there(self):
        candidates = self.candidates("v2")
        state = self.harness.state("m2")
        state.update_entry(target("m2", software_version="v2", is_draining=True))
        self.assertFalse(candidates.has_version())
        self.assertIsNone(candidates.choose(self.harness.clock.seconds()))
