"""The backlog of a target counts each token once and does not outlive its cause."""

from __future__ import annotations

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.request.target.prefill_backlog import MAX_PEER_SECONDS
from primrosescale.request.target.prefill_backlog import PrefillBacklog
from primrosescale.request.target.prefill_rate import INITIAL_TOKENS_PER_SECOND
from primrosescale.request.target.prefill_rate import MAX_SAMPLES
from primrosescale.request.target.prefill_rate import PrefillRate

START = 1000.0
RATE = INITIAL_TOKENS_PER_SECOND

TOKENS = st.integers(0, 20_000)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("start"), TOKENS),
        st.tuples(st.just("end"), st.integers(0, 50)),
        st.tuples(st.just("peer"), TOKENS),
        st.tuples(st.just("late peer"), TOKENS),
        st.tuples(st.just("time"), st.floats(-5.0, 5.0)),
    ),
    max_size=40,
)


class PrefillBacklogTest(TestCase):
    def setUp(self):
        super().setUp()
        self.backlog = PrefillBacklog(PrefillRate())

    # Guards against own tokens that drain before the target has answered.
    def test_own_tokens_stay_until_the_first_byte(self):
        self.backlog.started(9000, START)
        self.assertEqual(9000, self.backlog.tokens(START + 2))
        self.backlog.first_byte(9000, START + 2)
        self.assertEqual(0, self.backlog.tokens(START + 2))

    # Guards against copies of prompts to avoid a wait that makes no answer late.
    def test_only_what_takes_longer_than_a_time_is_in_excess(self):
        self.backlog.started(9000, START)
        seconds = 9000 / RATE
        self.assertAlmostEqual(0, self.backlog.excess_tokens(seconds, START), 3)
        self.assertAlmostEqual(4500, self.backlog.excess_tokens(seconds / 2, START), 3)
        self.assertEqual(0, self.backlog.excess_tokens(2 * seconds, START))

    # Guards against peers' tokens that are never removed.
    def test_tokens_of_peers_drain_at_the_rate(self):
        self.backlog.peer_started(10_000, START, START)
        self.assertAlmostEqual(5000, self.backlog.tokens(START + 5000 / RATE), 3)
        self.assertEqual(0, self.backlog.tokens(START + 1))

    # Guards against a target passed over for 80 s by tokens counted at a higher rate.
    def test_tokens_of_peers_stay_within_their_time_when_the_rate_falls(self):
        rate = PrefillRate()
        for _ in range(MAX_SAMPLES):
            rate.record(20_000, 0.1)
        backlog = PrefillBacklog(rate)
        for _ in range(100):
            backlog.peer_started(20_000, START, START)
        for _ in range(MAX_SAMPLES):
            rate.record(10_000, 1.0)
        self.assertLessEqual(backlog.tokens(START), MAX_PEER_SECONDS * 10_000)
        self.assertEqual(0, backlog.tokens(START + MAX_PEER_SECONDS + 0.001))

    # Guards against a late report that counts tokens already prefilled.
    def test_what_drained_before_the_report_is_not_counted(self):
        self.backlog.peer_started(10_000, START - 0.1, START)
        left = 10_000 - 0.1 * RATE
        self.assertAlmostEqual(left, self.backlog.tokens(START), 3)

    # Guards against each of several late reports being reduced by the same time.
    def test_the_same_time_drains_tokens_once(self):
        for _ in range(4):
            self.backlog.peer_started(10_000, START - 0.3, START)
        left = 40_000 - 0.3 * RATE
        self.assertAlmostEqual(left, self.backlog.tokens(START), 3)

    # Guards against time before a request was sent draining its tokens.
    def test_idle_time_before_the_sending_drains_nothing(self):
        self.backlog.peer_started(1000, START - 9, START - 9)
        self.backlog.peer_started(10_000, START, START)
        self.assertAlmostEqual(10_000, self.backlog.tokens(START), 3)

    # Guards against a wrong report that bars a target for minutes.
    def test_tokens_of_peers_are_bounded(self):
        self.backlog.peer_started(2**31, START, START)
        self.assertEqual(MAX_PEER_SECONDS * RATE, self.backlog.tokens(START))
        self.assertEqual(0, self.backlog.tokens(START + MAX_PEER_SECONDS + 0.01))

    # Guards against a clock that was set back and keeps peers' tokens for as long.
    def test_tokens_drain_after_the_clock_was_set_back(self):
        self.backlog.peer_started(10_000, START, START)
        self.assertEqual(10_000, self.backlog.tokens(START - 600))
        self.assertEqual(0, self.backlog.tokens(START - 599))

    # Guards against reports from after a backward jump that count for less.
    def test_reports_count_fully_after_the_clock_was_set_back(self):
        self.backlog.peer_started(1000, START, START)
        self.backlog.tokens(START + 1)
        self.backlog.peer_started(10_000, START - 600, START - 600)
        self.assertEqual(10_000, self.backlog.tokens(START - 600))

    # Guards against a report of a time to come that counts more than its tokens.
    def test_a_sending_time_to_come_counts_as_now(self):
        self.backlog.peer_started(10_000, START + 60, START)
        self.assertEqual(10_000, self.backlog.tokens(START))
        self.assertEqual(0, self.backlog.tokens(START + 1))

    # Guards against negative backlogs, and tokens that are lost or counted twice in
    # any order of events, with clocks that jump.
    @settings(max_examples=300, deadline=None)
    @given(STEPS)
    def test_it_is_never_negative_and_ends_as_the_sum_of_open_attempts(self, steps):
        backlog = PrefillBacklog(PrefillRate())
        now, still_open = START, []
        for kind, value in steps:
            if kind == "start":
                backlog.started(value, now)
                still_open.append(value)
            elif kind == "end" and still_open:
                ended = still_open.pop(value % len(still_open))
                backlog.first_byte(ended, now)
            elif kind == "peer":
                backlog.peer_started(value, now, now)
            elif kind == "late peer":
                backlog.peer_started(value, now - 0.2, now)
            elif kind == "time":
                now += value
            self.assertTrue(backlog.tokens(now) >= sum(still_open))
        backlog.tokens(now)
        drained_at = now + MAX_PEER_SECONDS + 0.01
        self.assertEqual(sum(still_open), backlog.tokens(drained_at))
