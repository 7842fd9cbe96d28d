"""Decisions on prompt parts that end targets, without a network."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.request.harm.answer_beginning import BEGINNING_SECONDS
from primrosescale.request.harm.answer_beginning import LASTING_SECONDS
from primrosescale.request.harm.answer_beginning import AnswerBeginning
from primrosescale.request.harm.answer_beginning import may_have_ended_target
from primrosescale.request.harm.harm_reports import PartsAnswered
from primrosescale.request.harm.harm_reports import SuspectTrial
from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.harm_settings import HarmSettings
from primrosescale.request.harm.harmful_parts import MAX_REPORTED_PARTS
from primrosescale.request.harm.harmful_parts import PART_HOLD_GROWTH_FACTOR
from primrosescale.request.harm.harmful_parts import PART_TRIAL_SECONDS
from primrosescale.request.harm.part_evidence import ANSWER_VALID_SECONDS
from primrosescale.request.harm.part_evidence import MAX_PART_ENDS
from primrosescale.request.harm.part_fingerprint import common_half
from primrosescale.request.harm.part_fingerprint import part_fingerprint
from primrosescale.request.harm.suspect_parts import SuspectParts

NOW = 1000.0
ENDS = 4
HOLD = 30.0
SETTINGS = HarmSettings(
    part_ends=ENDS,
    part_hold=HOLD,
    longest_hold=5000.0,
    remembered_parts=32,
    answered_parts=64,
)


def part(name, organisation="bakery"):
    return part_fingerprint(organisation, "m", name)


class PartsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.is_widespread = False
        self.parts = SuspectParts(SETTINGS, lambda _: self.is_widespread)
        self.targets = 0
        self.contents = 0

    def names(self, names, organisation="bakery"):
        return tuple(part(name, organisation) for name in names.split())

    def end(
        self,
        names,
        at=NOW,
        target=None,
        organisation="bakery",
        content=None,
        *,
        is_late=False,
    ):
        """End a new target under a new request whose prompt has some parts."""
        self.targets += 1
        self.contents += 1
        end = TargetEnd(
            self.contents if content is None else content,
            self.targets if target is None else target,
            at,
            parts=self.names(names, organisation),
            is_late=is_late,
        )
        return self.parts.record_end(end)

    def answer(self, names, at=NOW, organisation="bakery", *, is_lasting=False):
        answered = PartsAnswered(self.names(names, organisation), at, is_lasting)
        return self.parts.record_answer(answered)

    def held_for(self, names, now=NOW, organisation="bakery"):
        return self.parts.held_for(self.names(names, organisation), now)

    def test_requests_with_the_part_are_held_back_and_no_others(self):
        for number in range(ENDS):
            self.assertEqual(0, self.held_for("bad"))
            self.end(f"a{number} bad b{number}")
        for names in ("bad", "bad x", "x bad y", "a0 bad b0"):
            self.assertEqual(HOLD, self.held_for(names))
        for names in ("", "x", "a0 b0"):
            self.assertEqual(0, self.held_for(names))
        self.assertEqual([part("bad")], self.parts.held(NOW))

    def test_repeats_of_one_request_do_not_count_against_its_parts(self):
        for _ in range(ENDS + 2):
            self.end("a bad", content=-1)
        self.assertEqual(0, self.held_for("a bad"))
        self.end("a bad")
        self.assertEqual(HOLD, self.held_for("a bad"))

    def test_an_end_that_is_reported_again_is_not_new(self):
        for number in range(ENDS):
            self.assertTrue(self.end("bad", target=number))
        self.assertFalse(self.end("bad", NOW + 5, target=0))
        self.assertEqual(HOLD, self.held_for("bad"))

    def test_one_more_end_is_required_while_targets_end_often(self):
        self.is_widespread = True
        for _ in range(ENDS):
            self.end("bad")
        self.assertEqual(0, self.held_for("bad"))
        self.end("bad")
        self.assertEqual(HOLD, self.held_for("bad"))

    def test_one_more_end_is_required_of_a_part_that_was_answered(self):
        self.answer("bad", NOW - 100)
        for _ in range(ENDS):
            self.end("bad")
        self.assertEqual(0, self.held_for("bad"))
        self.end("bad")
        self.assertEqual(HOLD, self.held_for("bad"))

    # Targets that end all at once, for reasons of their own.
    def test_ends_soon_after_an_answer_do_not_count(self):
        self.answer("a")
        for _ in range(2 * ENDS):
            self.assertFalse(self.end("a", NOW + ANSWER_VALID_SECONDS))
        self.assertEqual(0, self.held_for("a", NOW + ANSWER_VALID_SECONDS))
        self.assertTrue(self.end("a", NOW + ANSWER_VALID_SECONDS + 0.1))

    def test_an_answer_that_arrives_later_voids_the_ends_before(self):
        for _ in range(ENDS):
            self.end("a")
        self.assertEqual(HOLD, self.held_for("a"))
        self.assertFalse(self.answer("a", NOW - ANSWER_VALID_SECONDS - 0.1))
        self.assertTrue(self.answer("a", NOW - ANSWER_VALID_SECONDS))
        self.assertEqual(0, self.held_for("a"))
        self.assertEqual(0, len(self.parts))

    # A target that ends half a second after a whole answer voided the ends of all.
    def test_an_answer_that_its_target_may_not_survive_voids_no_late_end(self):
        self.answer("proven", NOW - 900, is_lasting=True)
        for _ in range(ENDS):
            self.end("bad", is_late=True)
            self.assertFalse(self.answer("bad"))
        self.assertEqual(HOLD, self.held_for("bad"))

    def test_it_voids_early_ends(self):
        for _ in range(ENDS + 1):
            self.end("a")
        self.assertTrue(self.answer("a"))
        self.assertEqual(0, self.held_for("a"))

    def test_early_and_late_ends_are_not_added(self):
        for _ in range(ENDS - 1):
            self.end("a")
            self.end("a", is_late=True)
        self.assertEqual(0, self.held_for("a"))

    def test_late_ends_hold_back_a_part_that_no_target_has_survived(self):
        self.answer("proven", NOW - 900, is_lasting=True)
        for _ in range(ENDS):
            self.assertTrue(self.end("bad", is_late=True))
        self.assertEqual(HOLD, self.held_for("bad"))
        ends = self.parts.sufficient_ends(part("bad"))
        self.assertEqual([True] * ENDS, [end.is_late for end in ends])

    # A bad release ends every target soon after it has answered harmless requests.
    def test_late_ends_do_not_count_against_a_part_that_a_target_has_survived(self):
        self.answer("a", NOW - 900, is_lasting=True)
        for _ in range(4 * ENDS):
            self.assertFalse(self.end("a", is_late=True))
        self.assertEqual((), self.parts.unproven(self.names("a")))
        self.assertEqual(self.names("b"), self.parts.unproven(self.names("a b")))

    def test_a_lasting_answer_voids_all_late_ends(self):
        self.answer("proven", NOW - 900, is_lasting=True)
        for _ in range(ENDS):
            self.end("a", NOW, is_late=True)
        self.assertTrue(self.answer("a", NOW - 100, is_lasting=True))
        self.assertEqual(0, self.held_for("a"))

    # After a start of all routers the parts of harmless requests are not proven yet.
    def test_late_ends_say_nothing_while_no_part_is_proven(self):
        for _ in range(2 * ENDS):
            self.end("a", is_late=True)
        self.assertEqual((0, []), (self.held_for("a"), self.parts.held(NOW)))
        self.answer("b", NOW - 900, is_lasting=True)
        self.assertEqual(HOLD, self.held_for("a"))

    # All harmless requests have a part in common that is not proven yet.
    def test_targets_that_go_on_answering_a_part_outweigh_late_ends(self):
        self.answer("proven", NOW - 900, is_lasting=True)
        key = part("a")
        self.parts.set_answering({key: 2, common_half(key): 2})
        for _ in range(ENDS + 1):
            self.end("a", is_late=True)
        self.assertEqual(0, self.held_for("a"))
        self.end("a", is_late=True)
        self.assertEqual(HOLD, self.held_for("a"))

    def test_they_do_not_change_what_early_ends_require(self):
        self.parts.set_answering({part("a"): 2})
        for _ in range(ENDS):
            self.end("a")
        self.assertEqual(HOLD, self.held_for("a"))

    # Harmless requests with the same other parts were refused until a target was known
    # to have survived these.
    def test_a_request_with_some_parts_of_late_ends_is_sent(self):
        self.answer("proven", NOW - 900, is_lasting=True)
        for _ in range(ENDS):
            self.end("a bad", is_late=True)
        self.assertEqual(HOLD, self.held_for("x a y bad"))
        self.assertEqual((), self.parts.suspects(self.names("a x"), NOW))
        self.assertEqual(
            self.names("a bad"), self.parts.suspects(self.names("a bad"), NOW)
        )
        self.parts.record_trial(SuspectTrial(99, NOW, self.names("a bad")), NOW)
        self.assertEqual(0, self.held_for("a x"))

    def test_a_lasting_answer_to_another_organisation_does_not_release_its_own(self):
        self.answer("proven", NOW - 900, is_lasting=True)
        for _ in range(ENDS):
            self.end("bad", is_late=True)
        self.answer("bad", NOW - 100, organisation="port", is_lasting=True)
        self.assertEqual(HOLD, self.held_for("bad"))
        self.assertEqual(0, self.held_for("bad", organisation="port"))

    # All harmless requests of a route share the part before the harmful one.
    def test_a_part_of_answered_requests_is_not_held_with_the_harmful_one(self):
        for _ in range(ENDS):
            self.end("a bad")
            self.answer("a")
        self.assertEqual(HOLD, self.held_for("a bad"))
        self.assertEqual(0, self.held_for("a x"))

    def test_parts_with_the_same_ends_are_held_together_only(self):
        for _ in range(ENDS):
            self.end("a bad")
        self.assertEqual(HOLD, self.held_for("x a y bad"))
        self.assertEqual(0, self.held_for("a"))
        self.assertEqual(0, self.held_for("bad"))

    def test_a_request_with_some_of_them_is_tried_alone(self):
        for _ in range(ENDS):
            self.end("a bad")
        suspects = self.parts.suspects(self.names("a x"), NOW)
        self.assertEqual(self.names("a"), suspects)
        trial = SuspectTrial(99, NOW, suspects)
        self.assertTrue(self.parts.record_trial(trial, NOW))
        self.assertFalse(self.parts.record_trial(trial, NOW))
        self.assertEqual(PART_TRIAL_SECONDS, self.held_for("a y"))
        self.assertEqual(0, self.held_for("bad"))
        self.answer("a", NOW + 1)
        self.assertEqual(0, self.held_for("a y", NOW + 1))
        self.assertEqual(HOLD, self.held_for("bad", NOW))

    def test_a_trial_that_ends_its_target_tells_them_apart(self):
        for _ in range(ENDS):
            self.end("a bad")
        self.end("bad c")
        self.assertEqual(HOLD, self.held_for("bad"))
        self.assertEqual(HOLD, self.held_for("a bad"))
        self.assertEqual(0, self.held_for("a"))

    def test_parts_beside_one_with_more_ends_are_not_held(self):
        for number in range(ENDS + 1):
            self.end("bad")
            if number:
                self.end("beside", target=self.targets)
        self.assertEqual(HOLD, self.held_for("bad"))
        self.assertEqual(0, self.held_for("beside"))
        self.assertEqual((), self.parts.suspects(self.names("beside"), NOW))

    def test_several_harmful_parts_are_held_each(self):
        for _ in range(ENDS):
            self.end("one")
            self.end("two")
        for name in ("one", "two"):
            self.assertEqual(HOLD, self.held_for(name))

    # No caller may have the parts of another refused.
    def test_another_organisation_is_not_concerned(self):
        for _ in range(4 * ENDS):
            self.end("a")
        self.assertEqual(HOLD, self.held_for("a"))
        self.assertEqual(0, self.held_for("a", organisation="mill"))
        self.end("a", organisation="mill")
        self.assertEqual(0, self.held_for("a", organisation="inn"))

    def test_a_part_of_several_organisations_is_held_for_all(self):
        for organisation in ("bakery", "mill", "inn", "bank"):
            self.end("bad", organisation=organisation)
        self.assertEqual(HOLD, self.held_for("bad"))
        self.assertEqual(HOLD, self.held_for("bad", organisation="port"))
        self.assertEqual(1, self.parts.tied_with(part("bad")) + 1)

    def test_but_not_for_one_whose_requests_with_it_were_answered(self):
        self.answer("bad", NOW - 100, organisation="port")
        for organisation in ("bakery", "mill", "inn", "bank", "dairy"):
            self.end("bad", organisation=organisation)
        self.assertEqual(HOLD, self.held_for("bad"))
        self.assertEqual(0, self.held_for("bad", organisation="port"))

    def test_an_answer_to_any_organisation_releases_the_others(self):
        for organisation in ("bakery", "mill", "inn", "bank"):
            self.end("bad", organisation=organisation)
        self.answer("bad", organisation="port")
        self.assertEqual(0, self.held_for("bad"))

    def test_each_failed_trial_lengthens_the_hold(self):
        at = NOW
        for _ in range(ENDS):
            self.end("bad", at)
        hold = HOLD
        for _ in range(2):
            self.assertAlmostEqual(0.1, self.held_for("bad", at + hold - 0.1))
            self.assertEqual(0, self.held_for("bad", at + hold))
            at += hold + 1
            self.end("bad", at)
            hold *= PART_HOLD_GROWTH_FACTOR
        self.end("bad", at + hold + 1)
        longest = SETTINGS.longest_hold
        self.assertEqual(longest, self.held_for("bad", at + hold + 1))

    def test_requests_under_way_do_not_lengthen_it(self):
        for number in range(ENDS + 6):
            self.end("bad", NOW + number / 10)
        self.assertAlmostEqual(HOLD, self.held_for("bad", NOW + 0.9))

    def test_a_trial_keeps_other_routers_from_trying(self):
        for _ in range(ENDS):
            self.end("bad")
        later = NOW + HOLD
        trial = SuspectTrial(1, later, self.names("bad other"))
        self.assertTrue(self.parts.record_trial(trial, later))
        self.assertEqual(PART_TRIAL_SECONDS, self.held_for("bad", later))
        self.assertEqual(0, self.held_for("other", later))
        self.assertEqual(0, self.held_for("bad", later + PART_TRIAL_SECONDS))

    def test_a_target_that_runs_on_takes_its_ends_back(self):
        for _ in range(ENDS):
            self.end("bad")
        self.parts.retract_ends(1)
        self.assertEqual(0, self.held_for("bad"))
        self.parts.retract_ends(77)
        self.assertEqual(ENDS - 1, self.parts.ends_under(part("bad")))

    def test_the_ends_that_another_router_needs(self):
        for number in range(MAX_PART_ENDS):
            self.end("a bad" if number % 2 else "bad", NOW + number)
        other = SuspectParts(SETTINGS, lambda _: True)
        for end in self.parts.sufficient_ends(part("bad")):
            self.assertTrue(other.record_end(end))
        now = NOW + MAX_PART_ENDS
        self.assertLess(0, other.held_for(self.names("bad"), now))

    def test_all_that_may_be_known_of_a_part_is_bounded(self):
        for _ in range(3 * MAX_PART_ENDS):
            self.end("bad")
        self.assertEqual(MAX_PART_ENDS, self.parts.ends_under(part("bad")))
        for number in range(4 * SETTINGS.remembered_parts):
            self.end(f"p{number}")
        self.assertEqual(SETTINGS.remembered_parts, len(self.parts))
        # Many parts with a single end do not displace one that is held back.
        self.assertEqual(HOLD, self.held_for("bad"))
        self.assertEqual(MAX_PART_ENDS, self.parts.ends_under(part("bad")))

    def test_the_oldest_answers_are_forgotten(self):
        for number in range(SETTINGS.answered_parts + 1):
            self.answer(f"p{number}")
        self.assertTrue(self.end("p0"))
        self.assertFalse(self.end("p1"))

    def test_unanswered_parts_are_reported_first(self):
        count = MAX_REPORTED_PARTS + 4
        chat = self.names(" ".join(f"p{number}" for number in range(count)))
        self.answer("p0 p1 p2", NOW - 50)
        self.answer("p5", NOW)
        reported = self.parts.to_report(chat, NOW + 0.1)
        self.assertEqual(MAX_REPORTED_PARTS, len(reported))
        for name in ("p0", "p1", "p2", "p5"):
            self.assertNotIn(part(name), reported)

    def test_new_settings_hold_for_what_is_known(self):
        for _ in range(2):
            self.end("bad")
        self.assertFalse(self.parts.may_hold)
        self.parts.configure(HarmSettings(part_ends=2, part_hold=7.0))
        self.assertTrue(self.parts.may_hold)
        self.assertEqual(7.0, self.held_for("bad"))


class AnswerBeginningTest(TestCase):
    def test_each_stage_is_over_once(self):
        beginning = AnswerBeginning()
        self.assertIsNone(beginning.at)
        found = [
            beginning.received(NOW + seconds)
            for seconds in (
                0,
                BEGINNING_SECONDS / 2,
                BEGINNING_SECONDS,
                BEGINNING_SECONDS + 0.1,
                LASTING_SECONDS,
                LASTING_SECONDS + 5,
            )
        ]
        self.assertEqual([False, False, True, False, True, False], found)
        self.assertEqual(NOW, beginning.at)
        self.assertEqual(NOW + LASTING_SECONDS + 5, beginning.last_at)

    # What is read after a pause may have been sent before it, by a target that ended.
    def test_a_pause_in_reading_is_no_part_of_it(self):
        beginning = AnswerBeginning()
        beginning.resumed(NOW)
        self.assertIsNone(beginning.at)
        beginning.received(NOW)
        beginning.resumed(NOW + 9)
        self.assertFalse(beginning.received(NOW + 9 + BEGINNING_SECONDS / 2))
        self.assertTrue(beginning.received(NOW + 9 + BEGINNING_SECONDS))

    def test_a_target_may_end_before_it_is_over(self):
        self.assertTrue(may_have_ended_target(None, NOW))
        self.assertTrue(may_have_ended_target(NOW - BEGINNING_SECONDS / 2, NOW))
        self.assertFalse(may_have_ended_target(NOW - BEGINNING_SECONDS, NOW))
