"""Exchanges which targets announced in an answer that they are leaving.

While the store is unavailable, only the routers that a leaving target has answered
know that it is leaving.
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
    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState

# Targets in one message, at 5 bytes each; a release replaces a few at a time.
MAX_TARGETS_PER_MESSAGE = 40
# Targets that are remembered; the ones recorded first are dropped.
MAX_REMEMBERED_TARGETS = 1000


class LeavingTargetExchange:
    """Exchanges with other routers which targets announced that they are leaving.

    Each router sends all that it knows for as long as it knows it, including what it
    received. So the information reaches all routers, whichever of them exchange
    updates, and despite lost datagrams.

    Parameters
    ----------
    targets : TargetList
        Targets and their states.
    log : Any
        Log for events.
    """

    def __init__(self, targets: TargetList, log: Any) -> None:
        self._targets = targets
        self._log = log
        # By name of the target, in the order in which the names were first recorded.
        self._leaving: dict[str, TargetIncarnation] = {}

    def record(self, target: TargetIncarnation) -> None:
        """Record that a target announced, here or elsewhere, that it is leaving.

        Parameters
        ----------
        target : TargetIncarnation
            The target.
        """
        self._leaving[target.name] = target
        if len(self._leaving) > MAX_REMEMBERED_TARGETS:
            del self._leaving[next(iter(self._leaving))]

    def to_send(self) -> list[int]:
        """Return the keys of leaving targets whose entries do not show it yet."""
        keys = []
        # The last recorded first: the other routers already know earlier ones.
        for name, target in reversed(list(self._leaving.items())):
            state = self._targets.state(name)
            if state is None:
                # Its entry may return.
                continue
            if state.incarnation != target or state.target.is_draining:
                del self._leaving[name]
            else:
                keys.append(target_key(*target))
        return keys[:MAX_TARGETS_PER_MESSAGE]

    def receive(
        self,
        leaving: Iterable[int],
        states: Mapping[int, TargetState],
        told_by: str,
        now: float,
    ) -> None:
        """Apply what another router reports on leaving targets.

        Parameters
        ----------
        leaving : Iterable[int]
            Their keys.
        states : Mapping[int, TargetState]
            States of the targets that are known here, by key.
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
