"""Decides which targets a request may still be sent to, by its former attempts.

A target that was tried is excluded, and so are all others once the route's maximum
number of targets is reached.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState


class TriedTargets:
    """Targets that one request was sent to, or could not be sent to.

    Targets are distinguished by incarnation: one that has restarted is another target.

    Parameters
    ----------
    max_targets : int
        Maximum number of targets that it may be sent to.
    """

    __slots__ = ("_attempted", "_max_targets", "_reusable", "_sent", "_unreachable")

    def __init__(self, max_targets: int) -> None:
        self._max_targets = max_targets
        self._attempted: set[TargetIncarnation] = set()
        self._sent: set[TargetIncarnation] = set()
        self._reusable: set[TargetIncarnation] = set()
        self._unreachable: set[TargetIncarnation] = set()

    def attempted(self, target: TargetIncarnation) -> None:
        """Record that an attempt at a target starts; it counts towards the maximum.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        """
        self._attempted.add(target)
        self._reusable.discard(target)

    def sent(self, target: TargetIncarnation) -> None:
        """Record that the request was sent to a target.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        """
        self._sent.add(target)

    def not_sent(self, target: TargetIncarnation) -> None:
        """Record that a target could not be reached.

        It does not count towards the maximum, unless it was sent the request before.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        """
        if target not in self._sent:
            self._attempted.discard(target)
        self._unreachable.add(target)

    def allow_again(self, target: TargetIncarnation) -> None:
        """Record that an attempt was closed only because it was not needed.

        The request may be sent to this target again, which does not count as a
        further target.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        """
        self._reusable.add(target)

    def excluded(self, states: Sequence[TargetState]) -> set[TargetIncarnation]:
        """Return the targets that the request must not be sent to.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of the service.

        Returns
        -------
        set[TargetIncarnation]
            The unreachable ones; those that were attempted and, once the maximum
            number is reached, all others, except those allowed again.
        """
        excluded = set(self._attempted)
        if len(self._attempted) >= self._max_targets:
            excluded.update(state.incarnation for state in states)
        return (excluded - self._reusable) | self._unreachable
