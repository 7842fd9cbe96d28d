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

    def engage(self, target: TargetIncarnation) -> None:
        """Take in that it is on its way to a target, which counts from now on.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        """
        self._engaged.add(target)
        self._spare.discard(target)

    def sent(self, target: TargetIncarnation) -> None:
        """Take in that it was sent.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        """
        self._sent.add(target)

    def not_sent(self, target: TargetIncarnation) -> None:
        """Take in that the target could not be reached; it does not count.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
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
            The incarnation of the target.
        """
        self._spare.add(target)

    def excluded(self, states: Sequence[TargetState]) -> set[TargetIncarnation]:
        """Return incarnations of a target that it must not go to.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of the service.

        Returns
        -------
        set[TargetIncarnation]
            Those where it was, and once its number of targets is reached all
            others too; never those that were spared.
        """
        excluded = set(self._engaged)
        if len(self._engaged) >= self._most:
            excluded.update(state.incarnation for state in states)
        return (excluded - self._spare) | self._unreachable
