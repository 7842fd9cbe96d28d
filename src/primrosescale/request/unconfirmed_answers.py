"""Whole answers that prove nothing yet: their target may end in a moment.

A request that ends its target may be answered whole first. So an answer clears a
request only once its target has been heard from later, or would have been found to
have ended by then; and the target that ends just after an answer ends under it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from primrosescale.request.target_state import TargetState

# A target that is heard from so many seconds after an answer did not end under it.
CONFIRMATION_SECONDS = 0.25
# Seconds after which an answer counts though nothing was heard since: by then the
# entry of a target that had ended would be gone.
MAX_UNCONFIRMED_SECONDS = 5.0
MOST_FRESH = 2048


class UnconfirmedAnswer(NamedTuple):
    """A request that was answered whole, and where.

    Parameters
    ----------
    fingerprint : int
        What it asked for.
    target : int
        Short name of the target's incarnation.
    at : float
        When, in seconds.
    state : TargetState
        What is known of the target.
    """

    fingerprint: int
    target: int
    at: float
    state: TargetState

    def is_proved(self, now: float) -> bool:
        """Tell whether the target did not end under it.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether it lived on, or its end would be known by now.
        """
        is_sure = self.state.incarnation.has_unique_name
        if is_sure and self.state.last_received_at >= self.at + CONFIRMATION_SECONDS:
            return True
        return now - self.at >= MAX_UNCONFIRMED_SECONDS

    def may_have_ended_target(self, lost_at: float | None) -> bool:
        """Tell whether its target, which has ended, ended just after it.

        Parameters
        ----------
        lost_at : float | None
            When the first answer was lost there, in seconds; None where none was.
            Then what was last heard from it is the latest that is known.

        Returns
        -------
        bool
            Whether the target may have ended under it.
        """
        last = self.state.last_received_at if lost_at is None else lost_at
        return last < self.at + CONFIRMATION_SECONDS


class UnconfirmedAnswers:
    """The last whole answers, the oldest first."""

    __slots__ = ("_answers",)

    def __init__(self) -> None:
        self._answers: list[UnconfirmedAnswer] = []

    def __len__(self) -> int:
        """Return how many have proved nothing yet."""
        return len(self._answers)

    def add(self, answer: UnconfirmedAnswer) -> None:
        """Take in an answer; the oldest makes room.

        Parameters
        ----------
        answer : UnconfirmedAnswer
            The answer.
        """
        self._answers.append(answer)
        if len(self._answers) > MOST_FRESH:
            del self._answers[0]

    def take_confirmed(self, now: float) -> list[UnconfirmedAnswer]:
        """Return the answers whose targets did not end under them, once.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[UnconfirmedAnswer]
            The answers, the oldest first.
        """
        proved = [answer for answer in self._answers if answer.is_proved(now)]
        if proved:
            self._answers = [a for a in self._answers if not a.is_proved(now)]
        return proved

    def has_from(self, target: int) -> bool:
        """Tell whether a target has answered just now.

        Parameters
        ----------
        target : int
            Short name of its incarnation.

        Returns
        -------
        bool
            Whether any of its answers has proved nothing yet.
        """
        return any(answer.target == target for answer in self._answers)

    def take_from(self, target: int) -> list[UnconfirmedAnswer]:
        """Return the answers of a target that has ended, once.

        Parameters
        ----------
        target : int
            Short name of its incarnation.

        Returns
        -------
        list[UnconfirmedAnswer]
            The answers, the oldest first.
        """
        there = [answer for answer in self._answers if answer.target == target]
        if there:
            self._answers = [a for a in self._answers if a.target != target]
        return there
