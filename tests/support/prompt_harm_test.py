"""Base of tests on a simulated fleet with requests that end targets by one part."""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import GreaterThan
from testtools.matchers import LessThan

from support.prompt_harm_fleet import PromptHarmFleet

PROPAGATION_SECONDS = 3.0
MAX_ENDS_BEFORE_HOLD = 5
MAX_ARRIVALS_AFTERWARDS = 3
# Harmless requests must begin at least half as often as before, from twice the time of
# propagation on.
MIN_BEGUN_SHARE = 0.5


class PromptHarmTest(TestCase):
    def fleet(self, routers, targets, rate, seed, **options):
        fleet = PromptHarmFleet(routers, targets, rate, seed, **options)
        fleet.begin()
        fleet.run(15)
        return fleet

    def check_held_back(self, fleet, *parts):
        for part in parts:
            self.assertTrue(fleet.part_ends[part], part)
            more = fleet.part_arrivals_after(
                part, MAX_ENDS_BEFORE_HOLD, PROPAGATION_SECONDS
            )
            self.assertThat(more, LessThan(MAX_ARRIVALS_AFTERWARDS + 1), part)

    def check_others(self, fleet, began_at, part):
        """Check harmless requests of the same organisation, and all of them."""
        ends = fleet.part_ends[part]
        known_at = ends[min(len(ends), MAX_ENDS_BEFORE_HOLD) - 1]
        since = known_at + 2 * PROPAGATION_SECONDS
        until = fleet.clock.seconds() - 1.0
        for organisation in ("org-0", None):
            before = fleet.begun_share(began_at - 10, began_at, organisation)
            after = fleet.begun_share(since, until, organisation)
            self.assertThat(after, GreaterThan(MIN_BEGUN_SHARE * before))

    def play(self, fleet, rate, place, seconds, **options):
        began_at = fleet.clock.seconds()
        fleet.send_harmful_part_repeatedly("bad", rate, place, **options)
        fleet.run(seconds)
        self.check_held_back(fleet, "bad")
        self.check_others(fleet, began_at, "bad")
