"""Overload control applies where configuration and targets call for it."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.target.target_state import LoadReport

WITHOUT_PACE = LoadReport(3, 1, 8)
WITH_PACE = LoadReport(3, 1, 8, 1.0)
WITHOUT_SLOTS = LoadReport(3, 1, 0)


def services_in_force(mode, *reports):
    scope = OverloadScope(OverloadSettings(mode=mode))
    for number, report in enumerate(reports):
        scope.record(f"s{number}", report)
    return {number for number in range(len(reports)) if scope.is_in_force(f"s{number}")}


class OverloadScopeTest(TestCase):
    def test_services_without_paces_are_served_as_before(self):
        reports = (WITHOUT_PACE, WITH_PACE, WITHOUT_SLOTS)
        self.assertEqual({1}, services_in_force(OverloadMode.AUTO, *reports))

    def test_an_operator_can_turn_it_on_and_off(self):
        reports = (WITHOUT_PACE, WITH_PACE, WITHOUT_SLOTS)
        self.assertEqual({0, 1}, services_in_force(OverloadMode.ON, *reports))
        self.assertEqual(set(), services_in_force(OverloadMode.OFF, *reports))

    def test_one_answer_without_a_pace_does_not_turn_it_off(self):
        # Answers of some versions of a target lack the figure.
        scope = OverloadScope(OverloadSettings())
        scope.record("model", WITH_PACE)
        scope.record("model", WITHOUT_PACE)
        self.assertTrue(scope.is_in_force("model"))

    def test_a_changed_mode_applies_at_once(self):
        scope = OverloadScope(OverloadSettings())
        scope.record("model", WITH_PACE)
        scope.configure(OverloadSettings(mode=OverloadMode.OFF))
        self.assertFalse(scope.is_in_force("model"))
