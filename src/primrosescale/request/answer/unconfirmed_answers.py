"""Complete answers whose requests are not yet known to be harmless.

A request that crashes its target may receive a complete answer first. So an answer
clears its request only when the target has sent something later, or when enough time
has passed for the end of the target to be known. If a target ends just after an
answer, the request of that answer is among the possible causes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from primrosescale.request.target.target_state import TargetState

# A target that sends something at least this many seconds after an answer was not
# crashed by its request.
CONFIRMATION_SECONDS = 0.25
# Seconds after which an answer is confirmed although the target has sent nothing
# since: if the target had ended, its entry would have been removed by then.
MAX_UNCONFIRMED_SECONDS = 5.0
MAX_UNCONFIRMED = 2048


class UnconfirmedAnswer(NamedTuple):
    """A request that received a complete answer, and the target.

    Parameters
    ----------
    fingerprint : int
        Fingerprint of the request's content.
    target : int
        Short name of the target's incarnation.
    at : float
        When the answer was complete, in seconds.
    state : TargetState
        What is known of the target.
    parts : tuple[int, ...]
        Fingerprints of the parts of its prompt; none if it was not answered.
    is_short : bool
        Whether the answer did not outlive its beginning.
    """

    fingerprint: int
    target: int
    at: float
    state: TargetState
    parts: tuple[int, ...] = ()
    is_short: bool = False

    def is_confirmed(self, now: float) -> bool:
        """Tell whether the request did not crash its target.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether the target was alive later, or its end would be known by now.
        """
        is_identified = self.state.incarnation.has_unique_name
        if (
            is_identified
            and self.state.last_received_at >= self.at + CONFIRMATION_SECONDS
        ):
            return True
        return now - self.at >= MAX_UNCONFIRMED_SECONDS

    def may_have_ended_target(self, lost_at: float | None) -> bool:
        """Tell whether its target, which has ended, ended just after the answer.

        Parameters
        ----------
        lost_at : float | None
            When the first answer was lost there, in seconds; None when none was.
            The time of the last data from the target is used then.

        Returns
        -------
        bool
            Whether the request may have crashed the target.
        """
        last = self.state.last_received_at if lost_at is None else lost_at
        return last < self.at + CONFIRMATION_SECONDS


class UnconfirmedAnswers:
    """The most recent unconfirmed answers, the oldest first."""

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: list[UnconfirmedAnswer] = []

    def __len__(self) -> int:
        """Return how many answers are unconfirmed."""
        return len(self._answers)

    def add(self, answer: UnconfirmedAnswer) -> None:
        """Add an answer; the oldest is dropped when there are too many.

        Parameters
        ----------
        answer : UnconfirmedAnswer
            The answer.
        """
        self._answers.append(answer)
        if len(self._answers) > MAX_UNCONFIRMED:
            del self._answers[0]

    def take_confirmed(self, now: float) -> list[UnconfirmedAnswer]:
        """Remove and return the confirmed answers.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[UnconfirmedAnswer]
            The answers, the oldest first.
        """
        confirmed = [answer for answer in self._answers if answer.is_confirmed(now)]
        if confirmed:
            self._answers = [a for a in self._answers if not a.is_confirmed(now)]
        return confirmed

    def has_from(self, target: int) -> bool:
        """Tell whether any answer of a target is unconfirmed.

        Parameters
        ----------
        target : int
            Short name of its incarnation.

        Returns
        -------
        bool
            Whether there is one.
        """
        return any(answer.target == target for answer in self._answers)

    def take_from(self, target: int) -> list[UnconfirmedAnswer]:
        """Remove and return the answers of a target that has ended.

        Parameters
        ----------
        target : int
            Short name of its incarnation.

        Returns
        -------
        list[UnconfirmedAnswer]
            The answers, the oldest first.
        """
        removed = [answer for answer in self._answers if answer.target == target]
        if removed:
            self._answers = [a for a in self._answers if a.target != target]
        return removed
