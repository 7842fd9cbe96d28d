"""The learned prefill rate follows the targets and stays within its bounds."""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.request.target.prefill_rate import INITIAL_TOKENS_PER_SECOND
from primrosescale.request.target.prefill_rate import MAX_TOKENS_PER_SECOND
from primrosescale.request.target.prefill_rate import MIN_TOKENS_PER_SECOND
from primrosescale.request.target.prefill_rate import PrefillRate


def learned(samples):
    rate = PrefillRate()
    for tokens, seconds in samples:
        rate.record(tokens, seconds)
    return rate.tokens_per_second


class PrefillRateTest(TestCase):
    # Guards against a rate taken from the first answer alone.
    def test_the_rate_is_assumed_until_three_answers_are_known(self):
        self.assertEqual(INITIAL_TOKENS_PER_SECOND, learned([(8000, 0.1)] * 2))
        self.assertAlmostEqual(80_000, learned([(8000, 0.1)] * 3))

    # Guards against a rate that measures latency in place of prefilling.
    def test_short_prompts_teach_nothing(self):
        self.assertEqual(INITIAL_TOKENS_PER_SECOND, learned([(999, 0.1)] * 50))

    # Guards against division by zero on a clock that stands still or jumps back.
    def test_times_that_are_not_positive_teach_nothing(self):
        samples = [(8000, 0.0), (8000, -3.0)] * 20
        self.assertEqual(INITIAL_TOKENS_PER_SECOND, learned(samples))

    # Guards against a rate that falls because prompts wait behind others.
    def test_waiting_prompts_hardly_lower_the_rate(self):
        rng = random.Random(5)
        queued = [(9000, 9000 / 62_000 * rng.uniform(1, 3)) for _ in range(50)]
        self.assertTrue(40_000 < learned(queued) < 62_000)

    # Guards against one cached prompt that seems to be prefilled in no time.
    def test_a_few_cached_prompts_do_not_raise_the_rate(self):
        samples = [(9000, 9000 / 62_000)] * 45 + [(9000, 0.005)] * 5
        self.assertAlmostEqual(62_000, learned(samples))

    # Guards against a rate from noise that empties or keeps the backlog at once.
    @given(
        st.lists(
            st.tuples(
                st.floats(allow_nan=False, allow_infinity=False, min_value=0),
                st.floats(allow_nan=False, allow_infinity=False),
            )
        )
    )
    def test_a_rate_learned_from_noise_stays_within_its_bounds(self, samples):
        rate = learned(samples)
        self.assertTrue(MIN_TOKENS_PER_SECOND <= rate <= MAX_TOKENS_PER_SECOND)
