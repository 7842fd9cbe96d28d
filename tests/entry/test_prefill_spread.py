"""Prompts to prefill are spread over targets that have just started.

All caches are empty, and what routers know of each other is up to 0.25 s old. Seeds are
fixed; each figure is the mean of five of them.
"""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.capacity.overload_settings import OverloadMode
from support.prefill_fleet import KINDS
from support.prefill_fleet import TARGET_RATE
from support.prefill_fleet import PrefillFleet

SEEDS = range(1, 6)
SECONDS = 2.0
WINDOWS = 4
# Twice as long as an idle target prefills the longest prompt.
LATE_SECONDS = 2 * max(sum(tokens) for tokens, _ in KINDS) / TARGET_RATE


def measure(routers, targets, rate, mode):
    """Return the mean skew and the mean share of late first bytes."""
    skew = late = 0.0
    for seed in SEEDS:
        fleet = PrefillFleet(routers, targets, mode, seed)
        fleet.run(SECONDS, rate)
        skew += fleet.skew(WINDOWS) / len(SEEDS)
        late += fleet.late_share(LATE_SECONDS) / len(SEEDS)
    return skew, late


class PrefillSpreadTest(TestCase):
    def check(self, routers, targets, rate):
        skew_before, late_before = measure(routers, targets, rate, OverloadMode.OFF)
        skew, late = measure(routers, targets, rate, OverloadMode.ON)
        figures = f"skew {skew_before:.2f} -> {skew:.2f}"
        figures += f", late {late_before:.4f} -> {late:.4f}"
        self.assertTrue(skew < 0.95 * skew_before, figures)
        self.assertTrue(late < 0.7 * late_before, figures)

    # Guards against a target that gets several times the mean while others are idle.
    def test_of_8_routers(self):
        self.check(routers=8, targets=20, rate=180)

    # Guards against many routers that all send to the target without a backlog: with
    # the backlog alone, more first bytes were late than without it.
    def test_of_27_routers(self):
        self.check(routers=27, targets=49, rate=420)
