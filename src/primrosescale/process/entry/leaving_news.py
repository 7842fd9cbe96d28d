"""What routers tell each other of targets that said in an answer that they leave.

The pattern it answers: the store is away, and only the routers that a leaving target
has answered know of it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.events import Event

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.target_state import TargetState

# Targets in one message, at 5 bytes each; a release replaces some at a time.
MOST_IN_MESSAGE = 40


class LeavingNews:
    """Tells other routers which targets leave by their own word, and hears of theirs.

    Each router tells all that it knows for as long as it knows it, also what it was
    told, so that it spreads by whatever way news goes and a datagram may be lost.

    Parameters
    ----------
    targets : TargetList
        Targets and their states.
    log : Any
        Where events are told.
    """

    def __init__(self, targets: TargetList, log: Any) -> None:
        self._targets = targets
        self._log = log

    def to_tell(self) -> list[int]:
        """Return the short names of targets whose entries do not tell it yet."""
        leaving = [
            state
            for state in self._targets.states
            if state.statements.is_leaving and not state.target.is_draining
        ]
        # The latest first: what was said long ago is known everywhere.
        leaving.sort(key=lambda state: -state.statements.leaving_since)
        return [target_key(*state.incarnation) for state in leaving[:MOST_IN_MESSAGE]]

    def take(
        self,
        leaving: Iterable[int],
        states: Mapping[int, TargetState],
        told_by: str,
        now: float,
    ) -> None:
        """Take in which targets another router knows to leave.

        Parameters
        ----------
        leaving : Iterable[int]
            Their short names.
        states : Mapping[int, TargetState]
            States of the targets that are known here, by short name.
        told_by : str
            The other router.
        now : float
            Present time in seconds.
        """
        for key in leaving:
            state = states.get(key)
            if state is not None and state.statements.hear_leaving(now):
                self._log.emit(
                    Event.TARGET_SAID,
                    target=state.target.name,
                    is_leaving=True,
                    rest=None,
                    told_by=told_by,
                )
