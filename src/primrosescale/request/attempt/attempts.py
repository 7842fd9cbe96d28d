"""Decides which target each attempt at a call goes to, and when to stop retrying.

It plans the calls that a router sends through agents, see `RoutedCall`.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.connection.wire.ttypes import Reason

if TYPE_CHECKING:
    from primrosescale.request.attempt.backoff import Backoff
    from primrosescale.request.attempt.retry_budget import RetryBudget
    from primrosescale.request.choice.candidates import Target

NON_RETRYABLE_REASONS = frozenset(
    {
        Reason.DEADLINE,
        Reason.KEY_HELD,
        Reason.KEY_REUSED,
        Reason.STORE_UNAVAILABLE,
        Reason.DISPLACED,
        Reason.CANCELLED,
        Reason.ANSWER_TOO_LARGE,
    },
)


@dataclass(frozen=True, slots=True)
class AttemptFailure:
    """Why an attempt ended without an answer.

    Parameters
    ----------
    outcome : Outcome
        Whether the call may have run.
    reason : Reason
        Cause of the failure.
    retry_after : float
        Seconds after which a retry may succeed.
    place : str
        Name of the target whose cache holds the chat; empty when not reported.
    detail : str
        Human-readable description.
    """

    outcome: Outcome
    reason: Reason
    retry_after: float = 0.0
    place: str = ""
    detail: str = ""


class StepKind(Enum):
    """Whether a call is attempted again or given up."""

    TRY = "try"
    GIVE_UP = "give up"


@dataclass(frozen=True, slots=True)
class Step:
    """The next step of a call.

    Parameters
    ----------
    kind : StepKind
        Whether to make another attempt.
    target : Target | None
        Target of the attempt.
    wait : float
        Seconds to wait before the attempt.
    is_directed : bool
        Whether an agent has already looked the chat up in the directory, so that this
        attempt is not redirected again.
    failure : AttemptFailure | None
        Failure to report to the caller when giving up.
    """

    kind: StepKind
    target: Target | None = None
    wait: float = 0.0
    is_directed: bool = False
    failure: AttemptFailure | None = None


class AttemptPlan:
    """Plans the attempts of one call: their targets, their order and their end.

    A call that did not run goes to the next candidate at once: there are few
    candidates, a refusal costs an agent little, and attempts do not multiply
    across hops because only the router retries. A call that may have run is
    retried only if it is idempotent, and each such retry is charged to the retry
    budget.

    Parameters
    ----------
    candidates : list[Target]
        Targets in the order in which they are tried.
    is_idempotent : bool
        Whether the call may safely run twice.
    deadline : float
        Time at which the caller stops waiting, in seconds.
    budget : RetryBudget
        Retry budget that these retries are charged to.
    backoff : Backoff
        Waits before these retries.
    """

    def __init__(
        self,
        candidates: list[Target],
        *,
        is_idempotent: bool,
        deadline: float,
        budget: RetryBudget,
        backoff: Backoff,
    ) -> None:
        self._candidates = candidates
        self._is_idempotent = is_idempotent
        self._deadline = deadline
        self._budget = budget
        self._backoff = backoff
        self._next_index = 0
        self._was_directed = False
        self._directed_name = ""
        self._was_over_bound = False
        self._may_have_run = False
        self._attempts = 0
        self._shortest_retry_after: float | None = None

    @property
    def attempts(self) -> int:
        """Return the number of attempts planned so far."""
        return self._attempts

    @property
    def may_have_run(self) -> bool:
        """Return whether the call may have run in some attempt."""
        return self._may_have_run

    @property
    def first_candidate(self) -> Target | None:
        """Return the first candidate, whose agent keeps the chat's directory record."""
        return self._candidates[0] if self._candidates else None

    def first(self, now: float) -> Step:
        """Return the first step.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        Step
            The first attempt, or giving up when there is no candidate.
        """
        self._budget.earn()
        no_candidate = AttemptFailure(
            Outcome.NOT_RUN,
            Reason.NO_CANDIDATE,
            retry_after=1.0,
            detail="no target of the service is known",
        )
        return self._try_next(now, no_candidate, 0.0)

    def after(
        self,
        failure: AttemptFailure,
        directed: Target | None,
        now: float,
    ) -> Step:
        """Return the step after a failed attempt.

        Parameters
        ----------
        failure : AttemptFailure
            The failure of the attempt.
        directed : Target | None
            Target that the failure names as the one holding the chat's cache;
            None when it names none that is usable.
        now : float
            Current time in seconds.

        Returns
        -------
        Step
            The next attempt, or giving up.
        """
        self._record_failure(failure)
        if failure.outcome is not Outcome.NOT_RUN:
            return self._after_unknown(failure, now)
        if failure.reason in NON_RETRYABLE_REASONS:
            return self._give_up(failure)
        if failure.reason == Reason.TARGET_FAILED and not self._is_idempotent:
            # The claim is still being released, so that another agent would find it
            # held.
            return self._give_up(failure)
        if failure.reason == Reason.ELSEWHERE:
            return self._follow_directory(failure, directed, now)
        return self._try_next(now, failure, 0.0)

    def _record_failure(self, failure: AttemptFailure) -> None:
        if failure.outcome is not Outcome.NOT_RUN:
            self._may_have_run = True
        if failure.reason == Reason.OVER_BOUND:
            self._was_over_bound = True
        if failure.retry_after > 0:
            known = self._shortest_retry_after
            after = failure.retry_after
            self._shortest_retry_after = after if known is None else min(known, after)

    def _after_unknown(self, failure: AttemptFailure, now: float) -> Step:
        if not self._is_idempotent or not self._budget.spend():
            return self._give_up(failure)
        return self._try_next(now, failure, self._backoff.next_wait())

    def _follow_directory(
        self,
        failure: AttemptFailure,
        directed: Target | None,
        now: float,
    ) -> Step:
        if self._was_directed:
            return self._try_next(now, failure, 0.0)
        self._was_directed = True
        self._next_index = 0
        if directed is None:
            return self._try_next(now, failure, 0.0)
        self._directed_name = directed.name
        self._attempts += 1
        return Step(StepKind.TRY, target=directed, is_directed=True)

    def _try_next(self, now: float, failure: AttemptFailure, wait: float) -> Step:
        self._skip_directed()
        if self._next_index >= len(self._candidates):
            return self._give_up(failure)
        if now + wait >= self._deadline:
            return self._give_up(failure)
        target = self._candidates[self._next_index]
        self._next_index += 1
        self._attempts += 1
        return Step(
            StepKind.TRY,
            target=target,
            wait=wait,
            is_directed=self._was_directed,
        )

    def _skip_directed(self) -> None:
        """Skip the candidate that was already tried as directed."""
        if self._next_index >= len(self._candidates):
            return
        if self._candidates[self._next_index].name == self._directed_name:
            self._next_index += 1

    def _give_up(self, failure: AttemptFailure) -> Step:
        """Give up; "not run" is never reported once an attempt may have run."""
        outcome = Outcome.UNKNOWN if self._may_have_run else failure.outcome
        after = self._shortest_retry_after
        reason = failure.reason
        if self._was_over_bound and reason == Reason.DRAINING:
            reason = Reason.OVER_BOUND
        final = AttemptFailure(
            outcome,
            reason,
            retry_after=failure.retry_after if after is None else after,
            place=failure.place,
            detail=failure.detail,
        )
        return Step(StepKind.GIVE_UP, failure=final)
