"""Identifiers of calls that an agent has received, so that none runs twice.

A call is identified by the incarnation of its router and its number there. The
identifier is kept until no copy of the call can still arrive. When the agent has
reported a call as not run, because it refused the call or has not received it, the
identifier is blocked: a copy that arrives later never runs, so that the report remains
true.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class CallId:
    """Identifier of a call.

    Parameters
    ----------
    router : int
        Incarnation of the router that sent the call.
    number : int
        Number of the call, unique within that incarnation.
    """

    router: int
    number: int


class CallIdState(Enum):
    """State of an identifier: not seen yet, call received, or blocked."""

    FRESH = "fresh"
    TAKEN = "taken"
    BARRED = "barred"


@dataclass(slots=True)
class _IdRecord:
    """State of an identifier and the time in seconds at which it expires."""

    state: CallIdState
    until: float


class CallIdRegistry:
    """Bounded record of call identifiers.

    Parameters
    ----------
    keep : float
        Seconds for which an identifier is kept after the deadline of its call.
    limit : int
        Maximum number of identifiers; at the limit no new call may be accepted.
    """

    def __init__(self, keep: float, limit: int) -> None:
        self._keep = keep
        self._limit = limit
        self._records: dict[CallId, _IdRecord] = {}
        self._ids_by_expiry: dict[int, list[CallId]] = {}

    def __len__(self) -> int:
        """Return the number of recorded identifiers."""
        return len(self._records)

    @property
    def is_full(self) -> bool:
        """Return whether the limit has been reached."""
        return len(self._records) >= self._limit

    def state(self, call_id: CallId) -> CallIdState:
        """Return the state of an identifier.

        Parameters
        ----------
        call_id : CallId
            The identifier.

        Returns
        -------
        CallIdState
            `CallIdState.FRESH` for an identifier that is not recorded.
        """
        record = self._records.get(call_id)
        return CallIdState.FRESH if record is None else record.state

    def take(self, call_id: CallId, deadline: float) -> None:
        """Record that a call has arrived.

        Parameters
        ----------
        call_id : CallId
            Identifier of the call.
        deadline : float
            Time at which its caller stops waiting, in seconds.
        """
        self._put(call_id, CallIdState.TAKEN, deadline)

    def block(self, call_id: CallId, deadline: float) -> None:
        """Record that a call must never run.

        Parameters
        ----------
        call_id : CallId
            Identifier of the call.
        deadline : float
            Time at which its caller stops waiting, in seconds.
        """
        self._put(call_id, CallIdState.BARRED, deadline)

    def remove_expired(self, now: float) -> int:
        """Remove expired identifiers.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Number of identifiers removed.
        """
        removed = 0
        for expiry_second in [expiry for expiry in self._ids_by_expiry if expiry < now]:
            for call_id in self._ids_by_expiry.pop(expiry_second):
                record = self._records.get(call_id)
                if record is not None and record.until <= now:
                    del self._records[call_id]
                    removed += 1
        return removed

    def _put(self, call_id: CallId, state: CallIdState, deadline: float) -> None:
        until = deadline + self._keep
        self._records[call_id] = _IdRecord(state, until)
        self._ids_by_expiry.setdefault(math.ceil(until), []).append(call_id)
