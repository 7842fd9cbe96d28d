"""Tests of the series of steps that a seed draws."""

from __future__ import annotations

import random

from testtools import TestCase

from soak import schedule

SECONDS = 200.0


class ScheduleTest(TestCase):
    def draw(self, extra=None, without=()):
        return schedule.draw(random.Random(7), SECONDS, extra, without)

    def test_the_second_series_leaves_the_first_as_it_is(self):
        first = self.draw()
        both = self.draw(random.Random(8))
        extra = [step for step in both if step.kind in schedule.EXTRA_KINDS]
        self.assertEqual(first, [step for step in both if step not in extra])
        self.assertEqual(set(schedule.EXTRA_KINDS), {step.kind for step in extra})
        self.assertEqual(sorted(both, key=lambda step: step.at), both)

    def test_domains_have_a_series_of_their_own(self):
        steps = schedule.draw_domains(random.Random(8), SECONDS)
        self.assertEqual(set(schedule.DOMAIN_KINDS), {step.kind for step in steps})
        self.assertEqual(sorted(steps, key=lambda step: step.at), steps)
        self.assertEqual(steps, schedule.draw_domains(random.Random(8), SECONDS))

    def test_statements_have_a_series_of_their_own(self):
        steps = schedule.draw_self_reports(random.Random(8), SECONDS)
        self.assertEqual(set(schedule.SELF_REPORT_KINDS), {step.kind for step in steps})
        self.assertEqual(steps, schedule.draw_self_reports(random.Random(8), SECONDS))

    def test_what_is_left_out_is_not_drawn(self):
        steps = self.draw(random.Random(8), ["foreign", "lone_silence"])
        drawn = {step.kind for step in steps} & set(schedule.EXTRA_KINDS)
        self.assertEqual({"reborn"}, drawn)
        self.assertEqual(
            self.draw(), self.draw(random.Random(8), list(schedule.EXTRA_KINDS))
        )
