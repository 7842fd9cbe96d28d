"""Tests which requests are held back as harmful, and for how long."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.request.harm.harm_reports import CompleteAnswer
from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.harm_settings import HarmSettings
from primrosescale.request.harm.harmful_requests import HOLD_GROWTH_FACTOR
from primrosescale.request.harm.harmful_requests import MAX_ENDS
from primrosescale.request.harm.harmful_requests import HarmfulRequests
from support.drawn import drawn

NOW = 1000.0
SETTINGS = HarmSettings(ends=3, hold=100.0, longest_hold=5000.0, remembered=64)
HARMFUL, HARMLESS, THIRD = 1, 2, 3


class HarmfulRequestsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.requests = HarmfulRequests(SETTINGS)

    def end(self, target, *fingerprints, at=NOW):
        for fingerprint in fingerprints:
            self.requests.record_end(TargetEnd(fingerprint, target, at))

    def answer(self, fingerprint, at=NOW):
        return self.requests.record_answer(CompleteAnswer(fingerprint, at))

    def held_for(self, fingerprint=HARMFUL, now=NOW):
        return self.requests.held_for(fingerprint, now)

    def test_it_takes_three_ends(self):
        for target in (1, 2):
            self.end(target, HARMFUL)
            self.assertEqual(0.0, self.held_for())
            self.assertFalse(self.requests.may_hold)
        self.end(3, HARMFUL)
        self.assertEqual(100.0, self.held_for())
        self.assertEqual([HARMFUL], self.requests.held(NOW))

    def test_one_end_that_many_routers_report_counts_once(self):
        for _ in range(5):
            self.end(1, HARMFUL)
        self.assertEqual(1, self.requests.ends_under(HARMFUL))

    def test_after_the_hold_one_more_end_holds_it_back_at_once_and_longer(self):
        for target in (1, 2, 3):
            self.end(target, HARMFUL)
        later = NOW + 101
        self.assertEqual(0.0, self.held_for(now=later))
        self.end(4, HARMFUL, at=later)
        self.assertEqual(100.0 * HOLD_GROWTH_FACTOR, self.held_for(now=later))
        self.end(5, HARMFUL, at=later)
        self.assertEqual(5000.0, self.held_for(now=later))

    def test_a_complete_answer_clears_earlier_ends(self):
        for target in (1, 2, 3):
            self.end(target, HARMLESS)
        self.assertTrue(self.answer(HARMLESS))
        self.assertEqual(0.0, self.held_for(HARMLESS))
        self.assertEqual(0, self.requests.ends_under(HARMLESS))
        self.end(4, HARMLESS, at=NOW - 1)
        self.assertEqual(0, self.requests.ends_under(HARMLESS))

    def test_a_request_answered_completely_takes_twice_as_many_ends(self):
        self.answer(HARMLESS, at=NOW - 50)
        for target in range(5):
            self.end(target, HARMLESS)
        self.assertEqual(0.0, self.held_for(HARMLESS))
        self.end(5, HARMLESS)
        self.assertEqual(100.0, self.held_for(HARMLESS))
        self.end(6, HARMLESS)
        self.assertEqual(100.0, self.held_for(HARMLESS))

    def test_a_popular_request_is_served_after_all_targets_ended_again_and_again(self):
        for _ in range(50):
            self.requests.count_answer(NOW)
        self.answer(HARMLESS, at=NOW - 50)
        for target in range(12):
            self.end(target, HARMLESS, HARMFUL)
            for _ in range(10):
                self.requests.count_end(NOW)
        self.assertEqual(0.0, self.held_for(HARMLESS))
        self.assertGreater(self.held_for(HARMFUL), 0)
        for _ in range(20):
            self.requests.count_answer(NOW + 5)
        self.answer(HARMLESS, at=NOW + 5)
        self.assertEqual(0.0, self.held_for(HARMLESS, now=NOW + 60))

    def test_one_complete_answer_does_not_let_a_request_end_targets_without_limit(self):
        self.answer(HARMFUL, at=NOW - 50)
        for target in range(MAX_ENDS):
            self.assertEqual(0.0, self.held_for())
            self.end(target, HARMFUL)
            for _ in range(20):
                self.requests.count_end(NOW)
        self.assertEqual(100.0, self.held_for())

    def test_a_target_that_has_not_ended_counts_against_no_request(self):
        for target in (1, 2, 3):
            self.end(target, HARMFUL, HARMLESS)
        self.requests.retract_ends(2)
        self.assertEqual(2, self.requests.ends_under(HARMFUL))
        self.assertEqual(0.0, self.held_for())
        self.assertEqual(2, self.requests.ends_under(HARMLESS))

    def test_a_request_that_ran_beside_a_harmful_one_each_time_is_not_held_back(self):
        self.end(1, HARMFUL)
        for target in (2, 3, 4):
            self.end(target, HARMFUL, HARMLESS)
        self.assertEqual(0.0, self.held_for(HARMLESS))
        self.assertGreater(self.held_for(HARMFUL), 0)
        self.end(5, HARMLESS)
        self.assertGreater(self.held_for(HARMLESS), 0)

    def test_one_end_that_no_other_explains_is_enough_to_hold_it_back(self):
        self.end(1, HARMFUL)
        for target in (2, 3):
            self.end(target, HARMFUL, THIRD)
        self.end(4, HARMFUL)
        self.end(5, THIRD)
        self.assertGreater(self.held_for(THIRD), 0)

    def test_reported_proof_suffices_at_another_router(self):
        for target in range(7):
            self.end(target, HARMFUL, at=NOW + target)
        other = HarmfulRequests(SETTINGS)
        for end in self.requests.sufficient_ends(HARMFUL):
            other.record_end(end)
        self.assertGreater(other.held_for(HARMFUL, NOW + 7), 0)
        self.assertEqual([], self.requests.sufficient_ends(THIRD))

    def test_many_single_ends_do_not_evict_a_nearly_proved_request(self):
        for target in (1, 2):
            self.end(target, HARMFUL)
        for number in range(10 * SETTINGS.remembered):
            self.end(100 + number, 1000 + number)
        self.assertEqual(SETTINGS.remembered, len(self.requests))
        self.assertEqual(2, self.requests.ends_under(HARMFUL))

    def test_ends_of_one_request_are_bounded(self):
        for target in range(10 * MAX_ENDS):
            self.end(target, HARMFUL, at=NOW + target)
        self.assertEqual(MAX_ENDS, self.requests.ends_under(HARMFUL))
        self.assertGreater(self.held_for(now=NOW + 10 * MAX_ENDS), 0)

    def test_changed_settings_apply_to_known_ends(self):
        for target in (1, 2):
            self.end(target, HARMFUL)
        self.requests.configure(HarmSettings(ends=2, hold=50.0))
        self.assertEqual(50.0, self.held_for())
        self.requests.configure(SETTINGS)
        self.assertEqual(0.0, self.held_for())

    @drawn(300)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["end", "answer", "lives"]),
                st.integers(0, 5),
                st.integers(0, 90),
                st.integers(0, 20),
            ),
            max_size=200,
        )
    )
    def test_random_reports_leave_nothing_of_dropped_requests(self, reports):
        self.requests = HarmfulRequests(SETTINGS)
        answered = set()
        for kind, target, fingerprint, age in reports:
            at = NOW - age
            if kind == "end":
                self.end(target, fingerprint, at=at)
            elif kind == "answer":
                answered.add(fingerprint)
                self.answer(fingerprint, at=NOW)
            else:
                self.requests.retract_ends(target)
        self.assertLessEqual(len(self.requests), SETTINGS.remembered)
        for fingerprint in answered:
            self.assertEqual(0, self.requests.ends_under(fingerprint))
        for target in range(6):
            self.requests.retract_ends(target)
        self.assertFalse(self.requests.may_hold)
        self.assertEqual({}, self.requests._running_at)
