"""The bound on an agent's load: a multiple of its service's mean."""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import Number
from primrosescale.ini.options import option


@dataclass(frozen=True, slots=True)
class BoundSettings:
    """How far above the mean a target may be loaded."""

    multiple: float = option(
        SECONDS,
        "load allowed, as a multiple of the service's mean",
        1.5,
    )
    margin: float = option(
        Number(0.1, 1.0),
        "part of the multiple up to which work is taken, to make up for old news",
        0.92,
    )
    floor: int = option(
        COUNT,
        "work units always allowed, so that an idle service can start",
        1000,
    )
    stale_after: float = option(
        SECONDS,
        "seconds without news of the mean until the cap starts to fall",
        5.0,
    )
    stale_half_life: float = option(
        SECONDS,
        "seconds in which a stale cap falls by half, down to the floor",
        60.0,
    )
    slow_start: float = option(
        SECONDS,
        "seconds over which a joining target's cap grows from the floor",
        10.0,
    )


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """A service's load as an agent last heard it.

    Parameters
    ----------
    load : int
        Work units outstanding on all targets, this one's included.
    targets : int
        How many targets the load is spread over.
    own_load : int
        This target's part of that load.
    measured_at : float
        When it was heard, in seconds.
    """

    load: int
    targets: int
    own_load: int
    measured_at: float


class LoadBound:
    """Says how much work a target may carry now.

    Parameters
    ----------
    settings : BoundSettings
        The bound.
    started_at : float
        When the target joined, in seconds.
    """

    def __init__(self, settings: BoundSettings, started_at: float) -> None:
        self._settings = settings
        self._started_at = started_at
        self._view: ServiceLoad | None = None
        self._multiple = settings.multiple
        self._floor = settings.floor

    @property
    def view(self) -> ServiceLoad | None:
        """Return the mean last heard."""
        return self._view

    def configure(self, multiple: float, floor: int) -> None:
        """Take the service's bound from a version of the configuration.

        Parameters
        ----------
        multiple : float
            Load allowed, as a multiple of the mean.
        floor : int
            Work units always allowed.
        """
        self._multiple = multiple
        self._floor = floor

    def update(self, view: ServiceLoad) -> None:
        """Take in news of the mean; older news than known is ignored.

        Parameters
        ----------
        view : ServiceLoad
            The news.
        """
        if view.targets < 1:
            return
        if self._view is None or view.measured_at >= self._view.measured_at:
            self._view = view

    def cap(self, own: int, work: int, now: float) -> float:
        """Return the load this target may reach by taking some work.

        The work itself and this target's exact load count into the mean, as
        in consistent hashing with bounded loads, so that a service whose
        load grows is not held back by a report a second old. When the news
        is stale they no longer do, and the cap only falls.

        Parameters
        ----------
        own : int
            Work units outstanding here.
        work : int
            Work units offered.
        now : float
            Present time in seconds.

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
            late = age - self._settings.stale_after
            cap *= 0.5 ** (late / self._settings.stale_half_life)
        return max(floor, floor + (cap - floor) * self._joined(now))

    def admits(self, own: int, work: int, now: float) -> bool:
        """Tell whether some work may be taken.

        Parameters
        ----------
        own : int
            Work units outstanding here.
        work : int
            Work units offered.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True when the load stays under the cap.
        """
        return own + work <= self.cap(own, work, now)

    def _joined(self, now: float) -> float:
        if self._settings.slow_start <= 0:
            return 1.0
        grown = (now - self._started_at) / self._settings.slow_start
        return min(1.0, max(0.0, grown))
