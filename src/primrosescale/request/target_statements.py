"""What a target says of itself in its answers, which no entry of a list revokes.

The pattern it answers: the store is away, or its entry comes late, and a target's own
answers are the only word of what it may be given.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.direct_port import AnswerHead
    from primrosescale.request.target_incarnation import TargetIncarnation

# Targets that are no longer listed whose statements are kept; those kept first go.
MOST_KEPT = 1000


class TargetStatements:
    """What one incarnation of a target has said of itself."""

    __slots__ = ("_is_leaving",)

    def __init__(self) -> None:
        self._is_leaving = False

    @property
    def is_leaving(self) -> bool:
        """Tell whether it has said that it leaves; it cannot take that back."""
        return self._is_leaving

    def take(self, head: AnswerHead) -> bool:
        """Take in the head of an answer.

        Parameters
        ----------
        head : AnswerHead
            The head, of an answer of this incarnation.

        Returns
        -------
        bool
            Whether it says something new that bears on what it may be given.
        """
        if self._is_leaving or not head.is_leaving:
            return False
        self._is_leaving = True
        return True


class KeptStatements:
    """Statements of targets that are not listed at the moment, by incarnation.

    An entry may lapse and be written again while its target lives.
    """

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept: dict[TargetIncarnation, TargetStatements] = {}

    def __len__(self) -> int:
        """Return of how many targets there are any."""
        return len(self._kept)

    def keep(
        self, incarnation: TargetIncarnation, statements: TargetStatements
    ) -> None:
        """Keep what a target said whose entry is gone.

        Parameters
        ----------
        incarnation : TargetIncarnation
            The target.
        statements : TargetStatements
            What it said.
        """
        if not statements.is_leaving:
            return
        self._kept[incarnation] = statements
        if len(self._kept) > MOST_KEPT:
            del self._kept[next(iter(self._kept))]

    def take_back(self, incarnation: TargetIncarnation) -> TargetStatements:
        """Return what a target said that is listed now; empty for a new one.

        Parameters
        ----------
        incarnation : TargetIncarnation
            The target.

        Returns
        -------
        TargetStatements
            Its statements, kept here no longer.
        """
        return self._kept.pop(incarnation, None) or TargetStatements()
