"""Estimates by when answers usually begin and end, for each route.

Callers may expect what targets usually do for such requests. The estimate is that of
RFC 6298 for retransmission timeouts: the mean plus four mean deviations. It covers a
slowdown of all targets, which raises the estimate. An answer is late by what is usual
for its route, and for its target.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.answer.target_speeds import TargetSpeeds
from primrosescale.request.answer.time_estimate import TimeEstimate

if TYPE_CHECKING:
    from primrosescale.request.target.target_incarnation import TargetIncarnation

# Assumed for a route without answers; RFC 6298, section 2.1.
INITIAL_SECONDS = 1.0
# A bound on the memory only.
MAX_ROUTES = 4096


@dataclass(frozen=True, slots=True)
class AnswerTime:
    """Times of an answer, from sending the request to a target.

    Parameters
    ----------
    beginning : float
        Seconds until the first byte that can be passed on.
    end : float
        Seconds until it is complete.
    """

    beginning: float
    end: float


class _Estimates:
    """Estimates of the routes that were used last."""

    __slots__ = ("_by_route",)

    def __init__(self) -> None:
        self._by_route: OrderedDict[str, TimeEstimate] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of routes."""
        return len(self._by_route)

    def add(self, route: str, seconds: float) -> None:
        """Include a time of a route; a clock that was set back measures none."""
        if seconds < 0:
            return
        known = self._by_route.get(route)
        if known is not None:
            known.add(seconds)
            self._by_route.move_to_end(route)
            return
        self._by_route[route] = TimeEstimate(seconds)
        if len(self._by_route) > MAX_ROUTES:
            self._by_route.popitem(last=False)

    def of(self, route: str) -> TimeEstimate | None:
        """Return the estimate of a route; None for a route without times."""
        return self._by_route.get(route)


class UsualTimes:
    """Usual times of answers by route, from sending a request to a target."""

    __slots__ = ("_beginnings", "_ends", "_speeds")

    def __init__(self) -> None:
        self._beginnings = _Estimates()
        self._ends = _Estimates()
        self._speeds = TargetSpeeds()

    @property
    def speeds(self) -> TargetSpeeds:
        """Return how fast the targets begin their answers."""
        return self._speeds

    def __len__(self) -> int:
        """Return the number of routes of which times are known."""
        return max(len(self._beginnings), len(self._ends))

    def began(
        self,
        route: str,
        seconds: float,
        target: TargetIncarnation | None = None,
        now: float = 0.0,
    ) -> bool:
        """Record the first byte of an answer, or that none had come for some time.

        Parameters
        ----------
        route : str
            Name of the route.
        seconds : float
            Time from sending the request to the first byte that could be passed on.
        target : TargetIncarnation | None
            The target; None to learn nothing of one.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether it was later than is usual, also for this target.
        """
        is_late = seconds > self.beginning_at(route, target)
        mean = self.mean(route).beginning
        if target is not None and mean > 0 and seconds >= 0:
            self._speeds.record(target, seconds / mean, now)
        self._beginnings.add(route, seconds)
        return is_late

    def beginning_at(self, route: str, target: TargetIncarnation | None) -> float:
        """Return the time to the first byte that few answers of a target exceed.

        Parameters
        ----------
        route : str
            Name of the route.
        target : TargetIncarnation | None
            The target; None for all.

        Returns
        -------
        float
            Seconds, no less than what is usual for the route.
        """
        usual = self.usual(route).beginning
        if target is None:
            return usual
        return max(usual, self.mean(route).beginning * self._speeds.usual(target))

    def ended(self, route: str, seconds: float) -> None:
        """Record the end of a complete answer.

        Parameters
        ----------
        route : str
            Name of the route.
        seconds : float
            Time from sending the request to the end of the answer.
        """
        self._ends.add(route, seconds)

    def usual(self, route: str) -> AnswerTime:
        """Return the times that few answers exceed.

        Parameters
        ----------
        route : str
            Name of the route.

        Returns
        -------
        AnswerTime
            For a route without answers, `INITIAL_SECONDS` to the beginning and 0 to the
            end, since nothing is known for which a request would be too late.
        """
        beginning, end = self._beginnings.of(route), self._ends.of(route)
        return AnswerTime(
            INITIAL_SECONDS if beginning is None else beginning.usual,
            0.0 if end is None else end.usual,
        )

    def mean(self, route: str) -> AnswerTime:
        """Return the mean times of answers.

        Parameters
        ----------
        route : str
            Name of the route.

        Returns
        -------
        AnswerTime
            The means; 0 for a route without answers.
        """
        beginning, end = self._beginnings.of(route), self._ends.of(route)
        return AnswerTime(
            0.0 if beginning is None else beginning.mean,
            0.0 if end is None else end.mean,
        )
