"""Decides whether each target may be sent a request now.

It is the only place that combines the target's entry, its self-reports, evacuations,
cold starts, connections and silence.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primrosescale.request.capacity.connection_capacity import CONNECTION_CHECK_SECONDS

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primrosescale.request.capacity.cold_targets import ColdTargets
    from primrosescale.request.capacity.cold_targets import Reservation
    from primrosescale.request.capacity.connection_capacity import ConnectionCapacity
    from primrosescale.request.target.target_state import TargetState


class TargetCondition(Enum):
    """Whether a target may be sent requests; the first member that applies counts."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    RESTING = "resting"
    COLD = "cold"
    # It is sent requests only where no other target can take them.
    SUSPECT = "suspect"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class AvailableTargets:
    """Targets that may be sent a request now, and how many others may not yet.

    Parameters
    ----------
    states : list[TargetState]
        The targets.
    cold : int
        Cold targets that have already received all requests they may for now.
    resting : int
        Targets in a requested pause, or whose requests are still limited after one.
    unconnected : int
        Targets to which this router may have no further connection for now.
    """

    states: list[TargetState]
    cold: int
    resting: int
    unconnected: int


class TargetAvailability:
    """Decides whether targets may be sent requests, and if not, when.

    Parameters
    ----------
    cold : ColdTargets | None
        Limits the requests to cold targets; None where no target is ever cold.
    connections : ConnectionCapacity | None
        Limits the connections to targets; None where they are not limited.
    """

    __slots__ = ("_cold", "_connections")

    def __init__(
        self,
        cold: ColdTargets | None = None,
        connections: ConnectionCapacity | None = None,
    ) -> None:
        self._cold = cold
        self._connections = connections

    def condition(self, state: TargetState, now: float) -> TargetCondition:
        """Return the condition of a target.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        TargetCondition
            Its condition.
        """
        if state.is_leaving:
            return TargetCondition.LEAVING
        if not state.takes_work:
            return TargetCondition.EVACUATED
        if state.self_reports.has_requested_pause(now):
            return TargetCondition.RESTING
        if self._cold is not None and self._cold.is_cold(state, now):
            return TargetCondition.COLD
        return (
            TargetCondition.SUSPECT if state.is_avoided(now) else TargetCondition.READY
        )

    def select_available(
        self, states: Sequence[TargetState], now: float
    ) -> AvailableTargets:
        """Return which of the given targets may be sent a request now.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of one service that take requests.
        now : float
            Current time in seconds.

        Returns
        -------
        AvailableTargets
            Those for which a request need not wait.
        """
        unpaused = [state for state in states if not state.self_reports.wait(now)]
        available = (
            unpaused
            if self._cold is None
            else self._cold.select_available(unpaused, now)
        )
        cold = len(unpaused) - len(available)
        connected = available
        limits = self._limits_of(available[0]) if available else None
        if limits is not None:
            connected = [s for s in available if limits.has_capacity(s.target, now)]
        return AvailableTargets(
            connected,
            cold,
            resting=len(states) - len(unpaused),
            unconnected=len(available) - len(connected),
        )

    def wait(self, state: TargetState, now: float) -> float:
        """Return after how long a target that takes requests may be sent one.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 for now.
        """
        wait = self._wait_without_connections(state, now)
        if not wait and not self._has_connection(state, now):
            return CONNECTION_CHECK_SECONDS
        return wait

    def lacks_connections(self, states: Iterable[TargetState], now: float) -> bool:
        """Return whether some target would get a request if it had a connection.

        Parameters
        ----------
        states : Iterable[TargetState]
            The targets.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether only the limit of connections to it keeps a target from getting
            a request.
        """
        return any(
            state.takes_work
            and not self._wait_without_connections(state, now)
            and not self._has_connection(state, now)
            for state in states
        )

    def wait_for_connection(self, states: Iterable[TargetState], now: float) -> float:
        """Return after how long a request that lacks a connection looks again.

        Parameters
        ----------
        states : Iterable[TargetState]
            The targets.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 if no target lacks a connection.
        """
        lacks = self.lacks_connections(states, now)
        return CONNECTION_CHECK_SECONDS if lacks else 0.0

    def shortest_wait(self, states: Iterable[TargetState], now: float) -> float | None:
        """Return after how long the first of the given targets may be sent a request.

        Parameters
        ----------
        states : Iterable[TargetState]
            The targets.
        now : float
            Current time in seconds.

        Returns
        -------
        float | None
            Seconds; None where no target takes requests.
        """
        waits = [self.wait(state, now) for state in states if state.takes_work]
        return min(waits, default=None)

    def reserve(self, states: Iterable[TargetState], now: float) -> Reservation | None:
        """Reserve a request to the target that may be sent one first.

        Parameters
        ----------
        states : Iterable[TargetState]
            The targets.
        now : float
            Current time in seconds.

        Returns
        -------
        Reservation | None
            To be released when the request is sent or ends; None where the number of
            requests to that target is not limited.
        """
        if self._cold is None:
            return None
        serving = [state for state in states if state.takes_work]
        if not serving:
            return None
        first = min(serving, key=lambda state: self.wait(state, now))
        return self._cold.reserve(first, now)

    def release(self, reservation: Reservation) -> None:
        """Release a reservation, since its request is sent or has ended.

        Parameters
        ----------
        reservation : Reservation
            The reservation.
        """
        if self._cold is not None:
            self._cold.release(reservation)

    def sent(self, state: TargetState, now: float) -> None:
        """Count a request that is sent to a target.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Current time in seconds.
        """
        if self._cold is not None:
            self._cold.sent(state, now)

    def _wait_without_connections(self, state: TargetState, now: float) -> float:
        pause = state.self_reports.wait(now)
        return pause if self._cold is None else max(pause, self._cold.wait(state, now))

    def _limits_of(self, state: TargetState) -> ConnectionCapacity | None:
        """Return what limits the connections to a target; None for no limit."""
        connections = self._connections
        if connections is None or not connections.is_limited(state.target.service):
            return None
        return connections

    def _has_connection(self, state: TargetState, now: float) -> bool:
        limits = self._limits_of(state)
        return limits is None or limits.has_capacity(state.target, now)
