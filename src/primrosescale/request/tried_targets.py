"""Where one request has been, which says where it may still go."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primrosescale.request.target_incarnation import TargetIncarnation
    from primrosescale.request.target_state import TargetState


class TriedTargets:
    """Targets that one request was sent to, or could not be sent to.

    A target that has started again is another one here.

    Parameters
    ----------
    most : int
        Targets that it may be sent to.
    """

    __slots__ = ("_engaged", "_most", "_sent", "_spare", "_unreachable")

    def __init__(self, most: int) -> None:
        self._most = most
        self._engaged: set[TargetIncarnation] = set()
        self._sent: set[TargetIncarnation] = set()
        self._spare: set[TargetIncarnation] = set()
        self._unreachable: set[TargetIncarnation] = set()

    @property
    def excluded(self) -> set[TargetIncarnation]:
        """Return lives of targets that it must not go to."""
        return (self._engaged - self._spare) | self._unreachable

    def engage(self, target: TargetIncarnation) -> None:
        """Take in that it is on its way to a target, which counts from now on.

        Parameters
        ----------
        target : TargetIncarnation
            The life of the target.
        """
        self._engaged.add(target)
        self._spare.discard(target)

    def sent(self, target: TargetIncarnation) -> None:
        """Take in that it was sent.

        Parameters
        ----------
        target : TargetIncarnation
            The life of the target.
        """
        self._sent.add(target)

    def not_sent(self, target: TargetIncarnation) -> None:
        """Take in that the target could not be reached; it does not count.

        Parameters
        ----------
        target : TargetIncarnation
            The life of the target.
        """
        if target not in self._sent:
            self._engaged.discard(target)
        self._unreachable.add(target)

    def spare(self, target: TargetIncarnation) -> None:
        """Take in that it was left there only since another target went on.

        It may be asked again, and is no further target then.

        Parameters
        ----------
        target : TargetIncarnation
            The life of the target.
        """
        self._spare.add(target)

    def open_to(self, states: Sequence[TargetState]) -> Sequence[TargetState]:
        """Return the targets that its number of targets still lets it go to.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of the service.

        Returns
        -------
        Sequence[TargetState]
            All of them, or once the number is reached those that were spared.
        """
        if len(self._engaged) < self._most:
            return states
        return [state for state in states if state.incarnation in self._spare]
