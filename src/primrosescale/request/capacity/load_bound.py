"""Load bound: limits a target's load to a multiple of its service's mean load.

Follows consistent hashing with bounded loads: a target at its bound refuses work,
which then goes to the next candidate.
"""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import Number
from primrosescale.ini.options import option


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """How far a target's load may exceed the mean load."""

    multiple: float = option(
        SECONDS,
        "maximum load, as a multiple of the service's mean load",
        1.5,
    )
    margin: float = option(
        Number(0.1, 1.0),
        "fraction of the multiple that is used, to compensate for stale mean loads",
        0.92,
    )
    floor: int = option(
        COUNT,
        "load that is always allowed, in work units, so that an idle service can start",
        1000,
    )
    stale_after: float = option(
        SECONDS,
        "seconds without an update of the mean load until the cap starts to fall",
        5.0,
    )
    stale_half_life: float = option(
        SECONDS,
        "half-life in seconds of a stale cap, which falls down to the floor",
        60.0,
    )
    slow_start: float = option(
        SECONDS,
        "seconds over which a joining target's cap grows from the floor",
        10.0,
    )


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of a service as last reported to an agent.

    Parameters
    ----------
    load : int
        Outstanding work units on all targets, including this one.
    targets : int
        Number of targets that the load is spread over.
    own_load : int
        This target's part of that load when it was summed.
    measured_at : float
        Time to which the report applies, in seconds.
    """

    load: int
    targets: int
    own_load: int
    measured_at: float


class LoadBound:
    """Decides how much load a target may have.

    Parameters
    ----------
    settings : BoundSettings
        The bound.
    started_at : float
        Time at which the target joined, in seconds.
    """

    def __init__(self, settings: BoundSettings, started_at: float) -> None:
        self._settings = settings
        self._started_at = started_at
        self._view: ServiceLoad | None = None
        self._multiple = settings.multiple
        self._floor = settings.floor

    @property
    def view(self) -> ServiceLoad | None:
        """Return the latest report of the service's load."""
        return self._view

    def configure(self, multiple: float, floor: int) -> None:
        """Apply the service's bound from a version of the configuration.

        Parameters
        ----------
        multiple : float
            Maximum load, as a multiple of the mean load.
        floor : int
            Load that is always allowed, in work units.
        """
        self._multiple = multiple
        self._floor = floor

    def update(self, view: ServiceLoad) -> None:
        """Store a report of the service's load; older and empty ones are ignored.

        Parameters
        ----------
        view : ServiceLoad
            The report.
        """
        if view.targets < 1:
            return
        if self._view is None or view.measured_at >= self._view.measured_at:
            self._view = view

    def cap(self, own: int, work: int, now: float) -> float:
        """Return the load that this target may reach by admitting some work.

        The offered work and this target's exact load are included in the mean,
        as in consistent hashing with bounded loads, so that a service whose load
        grows is not limited by a report that is a second old. Once the report is
        stale they are not included, and the cap only falls.

        Parameters
        ----------
        own : int
            Outstanding work units of this target.
        work : int
            Offered work units.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Work units.
        """
        floor = float(self._floor)
        view = self._view
        if view is None:
            return floor
        multiple = max(1.0, self._multiple * self._settings.margin)
        age = now - view.measured_at
        if age <= self._settings.stale_after:
            total = max(0, view.load - view.own_load) + own + work
            cap = multiple * total / view.targets
        else:
            cap = multiple * view.load / view.targets
            overdue = age - self._settings.stale_after
            cap *= 0.5 ** (overdue / self._settings.stale_half_life)
        return max(floor, floor + (cap - floor) * self._slow_start_fraction(now))

    def admits(self, own: int, work: int, now: float) -> bool:
        """Return whether some work may be admitted.

        Parameters
        ----------
        own : int
            Outstanding work units of this target.
        work : int
            Offered work units.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True when the load would not exceed the cap.
        """
        return own + work <= self.cap(own, work, now)

    def _slow_start_fraction(self, now: float) -> float:
        if self._settings.slow_start <= 0:
            return 1.0
        fraction = (now - self._started_at) / self._settings.slow_start
        return min(1.0, max(0.0, fraction))
