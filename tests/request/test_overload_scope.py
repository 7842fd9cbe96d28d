"""Overload control applies where targets tell how many requests they run at once."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.target.target_state import LoadReport

WITHOUT_PACE = LoadReport(3, 1, 8)
WITH_PACE = LoadReport(3, 1, 8, 1.0)
WITHOUT_SLOTS = LoadReport(3, 1, 0)


def services_in_force(settings, *reports):
    scope = OverloadScope(settings)
    for number, report in enumerate(reports):
        scope.record(f"s{number}", report)
    return {number for number in range(len(reports)) if scope.is_in_force(f"s{number}")}


class OverloadScopeTest(TestCase):
    # Callers of targets that report no pace were sent to full targets, and the
    # requests of one organisation crowded out those of others.
    def test_it_does_not_depend_on_whether_targets_report_their_pace(self):
        reports = (WITHOUT_PACE, WITH_PACE, WITHOUT_SLOTS)
        self.assertEqual({0, 1}, services_in_force(OverloadSettings(), *reports))

    def test_an_operator_can_turn_it_off(self):
        off = OverloadSettings(mode=OverloadMode.OFF)
        self.assertEqual(set(), services_in_force(off, WITHOUT_PACE, WITH_PACE))

    def test_one_answer_without_slots_does_not_turn_it_off(self):
        # Answers of some versions of a target lack the figure.
        scope = OverloadScope(OverloadSettings())
        scope.record("model", WITHOUT_PACE)
        scope.record("model", WITHOUT_SLOTS)
        self.assertTrue(scope.is_in_force("model"))

    def test_a_changed_mode_applies_at_once(self):
        scope = OverloadScope(OverloadSettings())
        scope.record("model", WITH_PACE)
        scope.configure(OverloadSettings(mode=OverloadMode.OFF))
        self.assertFalse(scope.is_in_force("model"))
