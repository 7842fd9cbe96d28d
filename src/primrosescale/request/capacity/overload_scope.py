"""Determines for which services overload control is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.capacity.overload_settings import OverloadMode

if TYPE_CHECKING:
    from primrosescale.request.capacity.overload_settings import OverloadSettings
    from primrosescale.request.target.target_state import LoadReport


class OverloadScope:
    """Services for which overload control is in force.

    By default these are the services whose targets share their hosts with other
    workloads, which they show by reporting the pace of their host. Other services
    are served without it, as long as the operator does not ask for it.

    Parameters
    ----------
    settings : OverloadSettings
        The configured mode.
    """

    __slots__ = ("_mode", "_reporting_pace", "_reporting_slots")

    def __init__(self, settings: OverloadSettings) -> None:
        self._mode = settings.mode
        self._reporting_pace: set[str] = set()
        self._reporting_slots: set[str] = set()

    @property
    def is_any_in_force(self) -> bool:
        """Return whether overload control is in force for any service."""
        return any(map(self.is_in_force, self._reporting_slots | self._reporting_pace))

    def configure(self, settings: OverloadSettings) -> None:
        """Apply changed settings.

        Parameters
        ----------
        settings : OverloadSettings
            The configured mode.
        """
        self._mode = settings.mode

    def record(self, service: str, report: LoadReport) -> None:
        """Record a load report of a target.

        Parameters
        ----------
        service : str
            The target's service.
        report : LoadReport
            The report.
        """
        if report.slots:
            self._reporting_slots.add(service)
        if report.pace is not None:
            self._reporting_pace.add(service)

    def is_in_force(self, service: str) -> bool:
        """Return whether overload control is in force for a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            False until a target of the service has reported what the mode requires.
        """
        if self._mode is OverloadMode.OFF:
            return False
        if self._mode is OverloadMode.ON:
            return service in self._reporting_slots
        return service in self._reporting_pace
