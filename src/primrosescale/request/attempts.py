"""What a router does after an attempt at a call has failed."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.connection.wire.ttypes import Reason

if TYPE_CHECKING:
    from primrosescale.request.backoff import Backoff
    from primrosescale.request.candidates import Target
    from primrosescale.request.retry_budget import RetryBudget

FINAL_REASONS = frozenset(
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
    """Why an attempt brought no answer.

    Parameters
    ----------
    outcome : Outcome
        Whether the call may have run.
    reason : Reason
        Why.
    retry_after : float
        Seconds after which asking again is worth it.
    place : str
        Target that holds the chat's cache; empty when not said.
    detail : str
        For people.
    """

    outcome: Outcome
    reason: Reason
    retry_after: float = 0.0
    place: str = ""
    detail: str = ""


class StepKind(Enum):
    """What comes next for a call."""

    TRY = "try"
    GIVE_UP = "give up"


@dataclass(frozen=True, slots=True)
class Step:
    """The next step of a call.

    Parameters
    ----------
    kind : StepKind
        What to do.
    target : Target | None
        Whom to try.
    wait : float
        Seconds to wait before trying.
    is_directed : bool
        Whether the target was named by the chat's directory.
    failure : AttemptFailure | None
        What to tell the caller, when giving up.
    """

    kind: StepKind
    target: Target | None = None
    wait: float = 0.0
    is_directed: bool = False
    failure: AttemptFailure | None = None


class AttemptPlan:
    """The attempts of one call: whom, in which order, and when to stop.

    A call that did not run goes to the next candidate at once; there are few
    candidates, a refusal costs an agent little, and attempts do not multiply
    across hops because only the router makes them. Every repeat of a call
    that may have run is paid for from the retry budget, and a call that is
    not idempotent is never repeated then.

    Parameters
    ----------
    candidates : list[Target]
        In order.
    is_idempotent : bool
        Whether running the call twice is harmless.
    deadline : float
        When the caller stops waiting, in seconds.
    budget : RetryBudget
        The router's budget.
    backoff : Backoff
        Waits between repeats.
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
        self._next = 0
        self._was_directed = False
        self._skip = ""
        self._was_over_bound = False
        self._may_have_run = False
        self._attempts = 0
        self._shortest_retry: float | None = None

    @property
    def attempts(self) -> int:
        """Return how many attempts were planned."""
        return self._attempts

    @property
    def may_have_run(self) -> bool:
        """Tell whether some attempt may have run the call."""
        return self._may_have_run

    @property
    def first_candidate(self) -> Target | None:
        """Return the first candidate, the chat's directory."""
        return self._candidates[0] if self._candidates else None

    def first(self, now: float) -> Step:
        """Return the first step.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        Step
            What to do.
        """
        self._budget.earn()
        nobody = AttemptFailure(
            Outcome.NOT_RUN,
            Reason.NO_CANDIDATE,
            retry_after=1.0,
            detail="no target of the service is known",
        )
        return self._try_next(now, nobody, 0.0)

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
            What went wrong.
        directed : Target | None
            The target that the failure names as the chat's place, if known.
        now : float
            Present time in seconds.

        Returns
        -------
        Step
            What to do.
        """
        self._note(failure)
        if failure.outcome is not Outcome.NOT_RUN:
            return self._after_unknown(failure, now)
        if failure.reason in FINAL_REASONS:
            return self._give_up(failure)
        if failure.reason == Reason.TARGET_FAILED and not self._is_idempotent:
            # Its claim is being given back; another agent would find it held.
            return self._give_up(failure)
        if failure.reason == Reason.ELSEWHERE:
            return self._follow(failure, directed, now)
        return self._try_next(now, failure, 0.0)

    def _note(self, failure: AttemptFailure) -> None:
        if failure.outcome is not Outcome.NOT_RUN:
            self._may_have_run = True
        if failure.reason == Reason.OVER_BOUND:
            self._was_over_bound = True
        if failure.retry_after > 0:
            known = self._shortest_retry
            after = failure.retry_after
            self._shortest_retry = after if known is None else min(known, after)

    def _after_unknown(self, failure: AttemptFailure, now: float) -> Step:
        if not self._is_idempotent or not self._budget.spend():
            return self._give_up(failure)
        return self._try_next(now, failure, self._backoff.next_wait())

    def _follow(
        self,
        failure: AttemptFailure,
        directed: Target | None,
        now: float,
    ) -> Step:
        if self._was_directed:
            return self._try_next(now, failure, 0.0)
        self._was_directed = True
        self._next = 0
        if directed is None:
            return self._try_next(now, failure, 0.0)
        self._skip = directed.name
        self._attempts += 1
        return Step(StepKind.TRY, target=directed, is_directed=True)

    def _try_next(self, now: float, failure: AttemptFailure, wait: float) -> Step:
        self._skip_directed()
        if self._next >= len(self._candidates):
            return self._give_up(failure)
        if now + wait >= self._deadline:
            return self._give_up(failure)
        target = self._candidates[self._next]
        self._next += 1
        self._attempts += 1
        return Step(
            StepKind.TRY,
            target=target,
            wait=wait,
            is_directed=self._was_directed,
        )

    def _skip_directed(self) -> None:
        """Pass over the candidate that the directory has named already."""
        if self._next >= len(self._candidates):
            return
        if self._candidates[self._next].name == self._skip:
            self._next += 1

    def _give_up(self, failure: AttemptFailure) -> Step:
        """Stop at once, and never say "not run" after an unknown attempt."""
        outcome = Outcome.UNKNOWN if self._may_have_run else failure.outcome
        after = self._shortest_retry
        reason = failure.reason
        if self._was_over_bound and reason == Reason.DRAINING:
            reason = Reason.OVER_BOUND
        told = AttemptFailure(
            outcome,
            reason,
            retry_after=failure.retry_after if after is None else after,
            place=failure.place,
            detail=failure.detail,
        )
        return Step(StepKind.GIVE_UP, failure=told)
