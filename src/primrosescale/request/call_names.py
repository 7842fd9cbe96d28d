"""Names of calls an agent has seen, so that none is taken twice.

A call is named by its router's incarnation and its number there. The name is
kept until no copy of the call can still arrive; a name may be barred before
its call was ever seen, which makes "not run" true for good.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class CallId:
    """The name of a call.

    Parameters
    ----------
    router : int
        Incarnation of the router that made it.
    number : int
        Its number there.
    """

    router: int
    number: int


class CallIdState(Enum):
    """What is known of a name."""

    FRESH = "fresh"
    TAKEN = "taken"
    BARRED = "barred"


@dataclass(slots=True)
class _Entry:
    """A remembered name."""

    state: CallIdState
    until: float


class CallIdRegistry:
    """Bounded memory of call names.

    Parameters
    ----------
    keep : float
        Seconds a name is kept after its call's deadline.
    limit : int
        Names at the most; at the limit no new call may be taken.
    """

    def __init__(self, keep: float, limit: int) -> None:
        self._keep = keep
        self._limit = limit
        self._entries: dict[CallId, _Entry] = {}
        self._due: dict[int, list[CallId]] = {}

    def __len__(self) -> int:
        """Return how many names are kept."""
        return len(self._entries)

    @property
    def is_full(self) -> bool:
        """Tell whether no new name fits."""
        return len(self._entries) >= self._limit

    def state(self, name: CallId) -> CallIdState:
        """Return what is known of a name.

        Parameters
        ----------
        name : CallId
            The name.

        Returns
        -------
        CallIdState
            `CallIdState.FRESH` for one never seen.
        """
        entry = self._entries.get(name)
        return CallIdState.FRESH if entry is None else entry.state

    def take(self, name: CallId, deadline: float) -> None:
        """Remember that a call has arrived.

        Parameters
        ----------
        name : CallId
            Its name.
        deadline : float
            When its caller stops waiting, in seconds.
        """
        self._put(name, CallIdState.TAKEN, deadline)

    def block(self, name: CallId, deadline: float) -> None:
        """Remember that a call must never run.

        Parameters
        ----------
        name : CallId
            Its name.
        deadline : float
            When its caller stops waiting, in seconds.
        """
        self._put(name, CallIdState.BARRED, deadline)

    def remove_expired(self, now: float) -> int:
        """Forget names whose time is over.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int
            How many were forgotten.
        """
        forgotten = 0
        for second in [due for due in self._due if due < now]:
            for name in self._due.pop(second):
                entry = self._entries.get(name)
                if entry is not None and entry.until <= now:
                    del self._entries[name]
                    forgotten += 1
        return forgotten

    def _put(self, name: CallId, state: CallIdState, deadline: float) -> None:
        until = deadline + self._keep
        self._entries[name] = _Entry(state, until)
        self._due.setdefault(math.ceil(until), []).append(name)
