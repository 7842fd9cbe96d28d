"""What each target may be given now, by all that is known of it.

Entries, answers of the target's own, evacuations, cold starts and silence each have
their say; this is the one place that puts them together.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primrosescale.request.cold_targets import ColdTargets
    from primrosescale.request.target_state import TargetState


class TargetCondition(Enum):
    """What a target may be given; the first that holds counts."""

    LEAVING = "leaving"
    EVACUATED = "evacuated"
    RESTING = "resting"
    COLD = "cold"
    # It may be given work where no other can take it.
    SUSPECT = "suspect"
    READY = "ready"


@dataclass(frozen=True, slots=True)
class OpenTargets:
    """Targets that may be sent a request now, and how many others wait.

    Parameters
    ----------
    states : list[TargetState]
        The targets.
    cold : int
        Targets that have got all they bear for now.
    resting : int
        Targets that asked for a rest, or have rested a moment ago.
    """

    states: list[TargetState]
    cold: int
    resting: int


class TargetAvailability:
    """Says what each target may be given.

    Parameters
    ----------
    cold : ColdTargets | None
        Counts what cold targets are sent; None where no target is ever cold.
    """

    __slots__ = ("_cold",)

    def __init__(self, cold: ColdTargets | None = None) -> None:
        self._cold = cold

    def condition(self, state: TargetState, now: float) -> TargetCondition:
        """Return the standing of a target.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Present time in seconds.

        Returns
        -------
        TargetCondition
            Its standing.
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

    def open(self, states: Sequence[TargetState], now: float) -> OpenTargets:
        """Return those of some targets that may be sent a request now.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of one service that take work.
        now : float
            Present time in seconds.

        Returns
        -------
        OpenTargets
            Those that need not be waited for.
        """
        rested = [state for state in states if not state.self_reports.wait(now)]
        warm = rested if self._cold is None else self._cold.open(rested, now)
        return OpenTargets(warm, len(rested) - len(warm), len(states) - len(rested))

    def wait(self, state: TargetState, now: float) -> float:
        """Return after how long a target that takes work may be sent a request.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 for now.
        """
        rest = state.self_reports.wait(now)
        return rest if self._cold is None else max(rest, self._cold.wait(state, now))

    def shortest_wait(self, states: Iterable[TargetState], now: float) -> float | None:
        """Return after how long one of some targets may be sent a request.

        Parameters
        ----------
        states : Iterable[TargetState]
            The targets.
        now : float
            Present time in seconds.

        Returns
        -------
        float | None
            Seconds; None where none takes work.
        """
        waits = [self.wait(state, now) for state in states if state.takes_work]
        return min(waits, default=None)

    def sent(self, state: TargetState, now: float) -> None:
        """Take in that a request goes out to a target.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Present time in seconds.
        """
        if self._cold is not None:
            self._cold.sent(state, now)
