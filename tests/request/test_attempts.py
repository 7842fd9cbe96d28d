"""Tests of the plan of attempts, the retry budget and the back-off."""

from __future__ import annotations

import random

from testtools import TestCase

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.connection.wire.ttypes import Reason
from primrosescale.request.attempt.attempts import AttemptFailure
from primrosescale.request.attempt.attempts import AttemptPlan
from primrosescale.request.attempt.attempts import StepKind
from primrosescale.request.attempt.backoff import Backoff
from primrosescale.request.attempt.backoff import BackoffSettings
from primrosescale.request.attempt.retry_budget import MAX_BUDGETS
from primrosescale.request.attempt.retry_budget import RetryBudget
from primrosescale.request.attempt.retry_budget import RetryBudgets
from primrosescale.request.attempt.retry_budget import RetryBudgetSettings
from primrosescale.request.choice.candidates import Target

NOT_RUN = Outcome.NOT_RUN
UNKNOWN = Outcome.UNKNOWN


def target(name):
    return Target(name, Endpoint("127.0.0.1", 1), "s", "d", "r")


def make(count=3, *, idempotent=True, deadline=10.0, burst=5.0):
    return AttemptPlan(
        [target(f"t{number}") for number in range(count)],
        is_idempotent=idempotent,
        deadline=deadline,
        budget=RetryBudget(RetryBudgetSettings(burst=burst)),
        backoff=Backoff(BackoffSettings(), random.Random(1)),
    )


class AttemptPlanTest(TestCase):
    def test_a_refused_call_goes_to_the_next_candidate_at_once(self):
        plan = make()
        self.assertEqual("t0", plan.first(0.0).target.name)
        step = plan.after(AttemptFailure(NOT_RUN, Reason.OVER_BOUND), None, 0.1)
        self.assertEqual("t1", step.target.name)
        self.assertEqual(0.0, step.wait)

    def test_the_last_refusal_is_final_with_the_shortest_retry_after(self):
        plan = make(2)
        plan.first(0.0)
        plan.after(AttemptFailure(NOT_RUN, Reason.OVER_BOUND, 0.5), None, 0.0)
        step = plan.after(AttemptFailure(NOT_RUN, Reason.OVER_BOUND, 2.0), None, 0.0)
        self.assertEqual(StepKind.GIVE_UP, step.kind)
        self.assertEqual(0.5, step.failure.retry_after)
        self.assertEqual(NOT_RUN, step.failure.outcome)

    def test_a_non_idempotent_call_is_not_retried_when_it_may_have_run(self):
        plan = make(idempotent=False)
        plan.first(0.0)
        step = plan.after(AttemptFailure(UNKNOWN, Reason.LINK_LOST), None, 0.1)
        self.assertEqual(StepKind.GIVE_UP, step.kind)
        self.assertEqual(UNKNOWN, step.failure.outcome)

    def test_an_idempotent_retry_waits_and_costs_budget(self):
        plan = make(burst=1.0)
        plan.first(0.0)
        step = plan.after(AttemptFailure(UNKNOWN, Reason.LINK_LOST), None, 0.1)
        self.assertTrue(step.wait > 0)
        step = plan.after(AttemptFailure(UNKNOWN, Reason.LINK_LOST), None, 0.2)
        self.assertEqual(StepKind.GIVE_UP, step.kind)

    def test_after_an_unknown_outcome_not_run_is_never_reported(self):
        plan = make(2)
        plan.first(0.0)
        plan.after(AttemptFailure(UNKNOWN, Reason.LINK_LOST), None, 0.1)
        step = plan.after(AttemptFailure(NOT_RUN, Reason.OVER_BOUND), None, 0.2)
        self.assertEqual(StepKind.GIVE_UP, step.kind)
        self.assertEqual(UNKNOWN, step.failure.outcome)

    def test_a_directory_is_followed_once_then_its_order_is_tried(self):
        plan = make()
        plan.first(0.0)
        elsewhere = AttemptFailure(NOT_RUN, Reason.ELSEWHERE, place="t1")
        step = plan.after(elsewhere, target("t1"), 0.0)
        self.assertEqual("t1", step.target.name)
        self.assertTrue(step.is_directed)
        step = plan.after(AttemptFailure(NOT_RUN, Reason.OVER_BOUND), None, 0.0)
        self.assertEqual("t0", step.target.name)
        self.assertTrue(step.is_directed)
        step = plan.after(elsewhere, target("t1"), 0.0)
        self.assertEqual("t2", step.target.name)

    def test_a_directory_that_names_an_unusable_target_gets_the_call_itself(self):
        plan = make()
        plan.first(0.0)
        elsewhere = AttemptFailure(NOT_RUN, Reason.ELSEWHERE, place="gone")
        step = plan.after(elsewhere, None, 0.0)
        self.assertEqual("t0", step.target.name)
        self.assertTrue(step.is_directed)

    def test_final_reasons_are_final(self):
        for reason in (Reason.DEADLINE, Reason.DISPLACED, Reason.STORE_UNAVAILABLE):
            plan = make()
            plan.first(0.0)
            step = plan.after(AttemptFailure(NOT_RUN, reason), None, 0.0)
            self.assertEqual(StepKind.GIVE_UP, step.kind, reason)

    def test_a_non_idempotent_call_that_a_failed_target_did_not_run_is_refused(self):
        plan = make(idempotent=False)
        plan.first(0.0)
        step = plan.after(AttemptFailure(NOT_RUN, Reason.TARGET_FAILED), None, 0.0)
        self.assertEqual((StepKind.GIVE_UP, NOT_RUN), (step.kind, step.failure.outcome))

    def test_no_attempt_starts_after_the_deadline(self):
        plan = make(deadline=1.0)
        plan.first(0.0)
        step = plan.after(AttemptFailure(NOT_RUN, Reason.OVER_BOUND), None, 1.0)
        self.assertEqual(StepKind.GIVE_UP, step.kind)

    def test_a_service_without_targets_is_refused_as_not_run(self):
        step = make(0).first(0.0)
        self.assertEqual(StepKind.GIVE_UP, step.kind)
        self.assertEqual(NOT_RUN, step.failure.outcome)


class RetryBudgetTest(TestCase):
    def test_retries_stay_a_share_of_first_attempts(self):
        budget = RetryBudget(RetryBudgetSettings(share=0.1, burst=5.0))
        retries = 0
        for _ in range(1000):
            budget.earn()
            retries += budget.spend()
        self.assertTrue(retries <= 105, retries)

    def test_one_organisation_does_not_spend_the_budget_of_another(self):
        budgets = RetryBudgets(RetryBudgetSettings(burst=1.0))
        self.assertTrue(budgets.of("large").spend())
        self.assertFalse(budgets.of("large").spend())
        self.assertTrue(budgets.of("small").spend())

    # A router that had restarted, or evicted a budget, granted the whole burst again.
    def test_a_budget_that_was_forgotten_begins_with_one_retry(self):
        budgets = RetryBudgets(RetryBudgetSettings(share=0.1, burst=20.0))
        for _ in range(3):
            self.assertTrue(budgets.of("bakery").spend())
            self.assertFalse(budgets.of("bakery").spend())
            for number in range(MAX_BUDGETS):
                budgets.of(f"other-{number}")


class BackoffTest(TestCase):
    def test_waits_grow_within_limits_and_differ_between_callers(self):
        one = Backoff(BackoffSettings(), random.Random(1))
        other = Backoff(BackoffSettings(), random.Random(2))
        waits = [one.next_wait() for _ in range(50)]
        self.assertTrue(all(0.02 <= wait <= 1.0 for wait in waits))
        self.assertNotEqual(waits, [other.next_wait() for _ in range(50)])
