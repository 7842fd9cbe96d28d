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
class CallName:
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


class NameState(Enum):
    """What is known of a name."""

    FRESH = "fresh"
    TAKEN = "taken"
    BARRED = "barred"


@dataclass(slots=True)
class _NameRecord:
    """A remembered name."""

    state: NameState
    expires_at: float


class CallNames:
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
        self._records: dict[CallName, _NameRecord] = {}
        self._names_by_expiry: dict[int, list[CallName]] = {}

    def __len__(self) -> int:
        """Return how many names are kept."""
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Tell whether no new name fits."""
        return len(self._records) >= self._limit

    def state(self, name: CallName) -> NameState:
        """Return what is known of a name.

        Parameters
        ----------
        name : CallName
            The name.

        Returns
        -------
        NameState
            `NameState.FRESH` for one never seen.
        """
        record = self._records.get(name)
        return NameState.FRESH if record is None else record.state

    def take(self, name: CallName, deadline: float) -> None:
        """Remember that a call has arrived.

        Parameters
        ----------
        name : CallName
            Its name.
        deadline : float
            When its caller stops waiting, in seconds.
        """
        self._put(name, NameState.TAKEN, deadline)

    def bar(self, name: CallName, deadline: float) -> None:
        """Remember that a call must never run.

        Parameters
        ----------
        name : CallName
            Its name.
        deadline : float
            When its caller stops waiting, in seconds.
        """
        self._put(name, NameState.BARRED, deadline)

    def forget_old(self, now: float) -> int:
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
        for second in [expiry for expiry in self._names_by_expiry if expiry < now]:
            for name in self._names_by_expiry.pop(second):
                record = self._records.get(name)
                if record is not None and record.expires_at <= now:
                    del self._records[name]
                    forgotten += 1
        return forgotten

    def _put(self, name: CallName, state: NameState, deadline: float) -> None:
        expires_at = deadline + self._keep
        self._records[name] = _NameRecord(state, expires_at)
        self._names_by_expiry.setdefault(math.ceil(expires_at), []).append(name)
