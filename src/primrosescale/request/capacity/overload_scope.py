"""Determines for which services overload control is in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.capacity.overload_settings import OverloadMode

if TYPE_CHECKING:
    from primrosescale.request.capacity.overload_settings import OverloadSettings
    from primrosescale.request.target.target_state import LoadReport


class OverloadScope:
    """Services for which overload control is in force.

    These are the services whose targets report how many requests they run at once.
    Without that, nothing tells whether a request could be served in its caller's time.

    Parameters
    ----------
    settings : OverloadSettings
        The configured mode.
    """

    __slots__ = ("_mode", "_reporting_slots")

    def __init__(self, settings: OverloadSettings) -> None:
        self._mode = settings.mode
        self._reporting_slots: set[str] = set()

    @property
    def is_any_in_force(self) -> bool:
        """Return whether overload control is in force for any service."""
        return any(map(self.is_in_force, self._reporting_slots))

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

    def is_in_force(self, service: str) -> bool:
        """Return whether overload control is in force for a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            False until a target of the service has reported its slots.
        """
        return self._mode is OverloadMode.ON and service in self._reporting_slots
