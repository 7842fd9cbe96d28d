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
    from primrosescale.request.target_incarnation import TargetIncarnation
    from primrosescale.request.target_state import TargetState

# Targets in one message, at 5 bytes each; a release replaces some at a time.
MAX_REPORTS_PER_MESSAGE = 40
# Targets that are remembered; those noted first make room.
MOST_NOTED = 1000


class LeavingTargetExchange:
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
        # By name of the target, the latest last.
        self._leaving: dict[str, TargetIncarnation] = {}

    def record(self, target: TargetIncarnation) -> None:
        """Take in that a target said so, here or to another router.

        Parameters
        ----------
        target : TargetIncarnation
            The target.
        """
        self._leaving[target.name] = target
        if len(self._leaving) > MOST_NOTED:
            del self._leaving[next(iter(self._leaving))]

    def to_tell(self) -> list[int]:
        """Return the short names of targets whose entries do not tell it yet."""
        told = []
        # The latest first: what was said long ago is known everywhere.
        for name, target in reversed(list(self._leaving.items())):
            state = self._targets.state(name)
            if state is None:
                # Its entry may return.
                continue
            if state.incarnation != target or state.target.is_draining:
                del self._leaving[name]
            else:
                told.append(target_key(*target))
        return told[:MAX_REPORTS_PER_MESSAGE]

    def receive(
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
            if state is not None and state.self_reports.set_leaving(now):
                self.record(state.incarnation)
                self._log.emit(
                    Event.TARGET_SAID,
                    target=state.target.name,
                    is_leaving=True,
                    rest=None,
                    told_by=told_by,
                )
