"""Prompts that targets may still end under, without a network."""

from __future__ import annotations

from types import SimpleNamespace

from testtools import TestCase

from primrosescale.request.harm.answer_beginning import BEGINNING_SECONDS
from primrosescale.request.harm.answer_beginning import LASTING_SECONDS
from primrosescale.request.harm.part_fingerprint import common_half
from primrosescale.request.harm.prompt_exposures import END_KNOWN_SECONDS
from primrosescale.request.harm.prompt_exposures import MAX_EXPOSURES
from primrosescale.request.harm.prompt_exposures import PromptExposure
from primrosescale.request.harm.prompt_exposures import PromptExposures
from primrosescale.request.target.target_incarnation import TargetIncarnation

NOW = 500.0


def attempt(**fields):
    state = SimpleNamespace(
        incarnation=TargetIncarnation("t1", fields.pop("started_at", None)),
        last_received_at=fields.pop("target_received_at", 0.0),
    )
    usual = {
        "state": state,
        "answer_began_at": None,
        "last_received_at": None,
        "ended_at": None,
        "is_complete": False,
        "is_without_answer": False,
    }
    return SimpleNamespace(**{**usual, **fields})


def exposure(**fields):
    return PromptExposure(attempt(**fields), 1, (5,))


def complete(**fields):
    times = {"answer_began_at": NOW, "last_received_at": NOW, "ended_at": NOW}
    return exposure(**times, is_complete=True, **fields)


class PromptExposureTest(TestCase):
    def may_have_ended(self, found, *times):
        return [found.may_have_ended_target(at) for at in times]

    def test_a_target_may_end_under_a_prompt_that_it_has_not_answered(self):
        self.assertEqual([True, True], self.may_have_ended(exposure(), None, NOW))

    def test_it_may_for_a_time_after_it_began_to_answer(self):
        times = NOW + 0.5, NOW + LASTING_SECONDS - 0.1, NOW + LASTING_SECONDS
        for found in (complete(), exposure(answer_began_at=NOW, last_received_at=NOW)):
            self.assertEqual([True, True, False], self.may_have_ended(found, *times))

    def test_it_may_for_a_time_after_the_prompt_was_given_up(self):
        found = exposure(ended_at=NOW)
        times = None, NOW + LASTING_SECONDS - 0.1, NOW + LASTING_SECONDS
        self.assertEqual([True, True, False], self.may_have_ended(found, *times))

    # A stream that has gone on for long, at a target that falls silent.
    def test_an_answer_that_has_outlived_its_beginning_counts_for_it(self):
        last = NOW + LASTING_SECONDS
        found = exposure(answer_began_at=NOW, last_received_at=last)
        self.assertEqual([False], self.may_have_ended(found, None))

    def test_a_prompt_that_was_declined_does_not_count(self):
        found = exposure(is_without_answer=True)
        self.assertEqual([False, False], self.may_have_ended(found, None, NOW))

    def test_data_of_an_identified_target_shows_that_it_survived(self):
        early = NOW + LASTING_SECONDS - 0.1
        for received_at, is_lasting in ((early, False), (early + 0.1, True)):
            found = complete(target_received_at=received_at)
            self.assertEqual(is_lasting, found.is_lasting(NOW + 4, is_listed=False))

    # Data under its name may be of the next process.
    def test_only_the_list_shows_it_where_starts_are_told(self):
        known_at = NOW + LASTING_SECONDS + END_KNOWN_SECONDS
        found = complete(started_at=7, target_received_at=NOW + 9)
        self.assertFalse(found.is_lasting(known_at - 0.1, is_listed=True))
        self.assertTrue(found.is_lasting(known_at, is_listed=True))
        self.assertFalse(found.is_lasting(known_at, is_listed=False))

    def test_an_answer_that_is_not_complete_shows_nothing(self):
        found = exposure(answer_began_at=NOW, ended_at=NOW, target_received_at=NOW + 9)
        self.assertFalse(found.is_lasting(NOW + 99, is_listed=True))

    def test_it_is_kept_until_an_end_would_be_known(self):
        self.assertFalse(exposure().is_expired(NOW + 99))
        found = exposure(ended_at=NOW)
        wait = LASTING_SECONDS + 2 * END_KNOWN_SECONDS
        self.assertFalse(found.is_expired(NOW + wait - 0.1))
        self.assertTrue(found.is_expired(NOW + wait))
        declined = exposure(ended_at=NOW, is_without_answer=True)
        self.assertTrue(declined.is_expired(NOW))


class PromptExposuresTest(TestCase):
    def test_they_are_taken_by_target(self):
        found = PromptExposures()
        given_up, waiting = exposure(ended_at=NOW), exposure()
        for each in (given_up, waiting):
            found.add(1, each)
        found.add(2, exposure())
        self.assertEqual([given_up], found.take(1, lambda each: not each.is_open))
        self.assertEqual([waiting], found.take(1, lambda _: True))
        self.assertEqual([], found.take(1, lambda _: True))
        self.assertEqual([2], [key for key, _ in found.targets()])
        self.assertEqual(1, len(found))

    def test_it_is_known_which_targets_owe_an_answer(self):
        found = PromptExposures()
        found.add(1, complete())
        found.add(2, exposure(ended_at=NOW))
        found.add(3, exposure(is_without_answer=True))
        owing = [key for key in (1, 2, 3, 4) if found.has_unanswered(key)]
        self.assertEqual([2], owing)

    def test_targets_speak_for_what_they_answered_a_moment_ago(self):
        found = PromptExposures()
        for target in (1, 1, 2):
            found.add(target, complete())
        found.add(3, exposure(answer_began_at=NOW, last_received_at=NOW))
        self.assertEqual({}, found.answering(NOW + BEGINNING_SECONDS - 0.1))
        found.add(4, exposure(answer_began_at=NOW, last_received_at=NOW + 1))
        answering = found.answering(NOW + BEGINNING_SECONDS)
        self.assertEqual({5: 3, common_half(5): 3}, answering)
        found.take(1, lambda _: True)
        self.assertEqual(2, found.answering(NOW + BEGINNING_SECONDS)[5])

    def test_their_number_is_limited(self):
        found = PromptExposures()
        for number in range(MAX_EXPOSURES + 5):
            found.add(number, exposure())
        self.assertEqual(MAX_EXPOSURES, len(found))
