"""Ends of targets under one part of many prompts that do not look like lost answers.

Guards against a service whose targets all end one after the other: what each end looks
like, and how long after the beginning of the answer it comes, must not matter.
"""

from __future__ import annotations

from support.prompt_harm_fleet import WayToEnd
from support.prompt_harm_test import PromptHarmTest


class WaysToEndTest(PromptHarmTest):
    def play_way(self, way, seed, rate=3.0, routers=4):
        fleet = self.fleet(routers, 10, 40.0, seed)
        fleet.way = way
        self.play(fleet, rate, 1, 25)

    # Targets that had answered whole before they ended were taken to have survived.
    def test_targets_that_end_some_time_after_a_whole_answer(self):
        for seed, pause in enumerate((0.3, 0.5, 1.0)):
            way = WayToEnd(8, is_whole=True, after=(pause, pause + 0.1))
            self.play_way(way, 100 + seed)
        self.play_way(WayToEnd(8, is_whole=True, after=(0.3, 0.4)), 103, routers=8)

    # Some answers were whole, which voided the ends at all other targets.
    def test_targets_that_end_before_or_after_a_whole_answer(self):
        for seed in range(3):
            fleet = self.fleet(4, 10, 40.0, 110 + seed)
            ways = [
                WayToEnd(8, is_whole=is_whole, after=(0.3, 0.4))
                for is_whole in (False, True)
            ]
            fleet.draw_way = lambda fleet=fleet, ways=ways: fleet.rng.choice(ways)
            self.play(fleet, 3.0, 1, 25)

    # Ends later than a second after the first event did not count.
    def test_targets_that_end_long_after_their_first_event(self):
        for seed, pause in enumerate((1.2, 1.6, 2.4)):
            self.play_way(WayToEnd(1, after=(pause, pause + 0.1)), 120 + seed)

    # A silent target loses no answer that could count.
    def test_targets_that_fall_silent(self):
        self.play_way(WayToEnd(is_silent=True), 130)

    # The same once they have begun to answer, or have answered.
    def test_targets_that_fall_silent_later(self):
        for seed, way in enumerate(
            (
                WayToEnd(1, after=(1.2, 1.3), is_silent=True),
                WayToEnd(8, is_whole=True, after=(0.3, 0.4), is_silent=True),
            )
        ):
            self.play_way(way, 131 + seed)

    # Callers that had left lost no answer that could count.
    def test_callers_that_leave_before_their_targets_end(self):
        for seed, way in enumerate(
            (
                WayToEnd(1, after=(1.5, 1.6), leaves_after=0.3),
                WayToEnd(0, after=(1.0, 1.1), leaves_after=0.3),
            )
        ):
            self.play_way(way, 140 + seed)
