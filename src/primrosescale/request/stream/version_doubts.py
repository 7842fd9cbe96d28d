"""Tells which targets may have another software version than the list states.

A target may restart under its name with other software and writes that to the store.
A router that does not reach the store goes on with its last list. It does notice that
connections to such a target are lost or refused, which a restart cannot avoid. So while
the store does not answer, and shortly before, the version of such a target is in doubt.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState

# In steady state, the answers of the store are up to 3.5 s old.
LIST_AGE_SECONDS = 4.0
# The list is read again when the store answers; that takes 0.25 s while it is slow.
REREAD_SECONDS = 1.0
MAX_TARGETS = 20_000


class VersionDoubts:
    """When connections to targets were last lost, and what follows while the store is.

    Parameters
    ----------
    store_lost_for : Callable[[float], float]
        Returns for how many seconds the store has not answered; 0 while it does.
    """

    __slots__ = ("_lost_at", "_since", "_store_lost_for", "_until")

    def __init__(self, store_lost_for: Callable[[float], float]) -> None:
        self._store_lost_for = store_lost_for
        self._lost_at: dict[TargetIncarnation, float] = {}
        # Losses since this time count, until that time.
        self._since = math.inf
        self._until = -math.inf

    def connection_lost(self, target: TargetIncarnation, now: float) -> None:
        """Record that a connection to a target was lost or refused.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation that is known of it.
        now : float
            Present time in seconds.
        """
        self._lost_at.pop(target, None)
        self._lost_at[target] = now
        if len(self._lost_at) > MAX_TARGETS:
            del self._lost_at[next(iter(self._lost_at))]

    def is_in_doubt(self, target: TargetIncarnation, now: float) -> bool:
        """Return whether a target may have another version than the list states.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation that is known of it.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False while the store answers.
        """
        self._update(now)
        return now < self._until and self._lost_at.get(target, -math.inf) >= self._since

    def among(
        self, states: Iterable[TargetState], now: float
    ) -> set[TargetIncarnation]:
        """Return the targets whose version is in doubt.

        Parameters
        ----------
        states : Iterable[TargetState]
            Targets.
        now : float
            Present time in seconds.

        Returns
        -------
        set[TargetIncarnation]
            Those of them that may have another version than the list states.
        """
        self._update(now)
        if now >= self._until:
            return set()
        return {
            state.incarnation
            for state in states
            if self._lost_at.get(state.incarnation, -math.inf) >= self._since
        }

    def _update(self, now: float) -> None:
        lost_for = self._store_lost_for(now)
        if lost_for > 0:
            self._since = now - lost_for - LIST_AGE_SECONDS
            self._until = now + REREAD_SECONDS
