"""Divides the connections that a target accepts among all routers.

A target accepts a limited number of connections from all routers together and resets
those in excess, so that their requests are lost. Each router therefore keeps to its own
share, which follows from the list of routers without messages between them.

All routers that know each other divide the larger part of the limit evenly. A router
divides by the longest list that any of them may still use, so that the shares never add
up to more than this part while lists differ. A new router, which its peers do not know
yet, uses a share of the rest. The rest is sufficient for all new routers as long as the
fleet grows by a factor of no more than 2.7 within the time in which lists differ.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.request.capacity.overload_scope import OverloadScope
    from primrosescale.request.capacity.overload_settings import OverloadSettings
    from primrosescale.request.capacity.router_shares import RouterShares
    from primrosescale.version.routing_table import Service


class ConnectionShares:
    """Share of this router in the connections to each target.

    Parameters
    ----------
    settings : OverloadSettings
        States which part of the limit the routers divide.
    shares : RouterShares
        The lists of routers.
    service_of : Callable[[str], Service | None]
        Returns a service by name, if the configuration version in force has it.
    scope : OverloadScope
        Determines for which services connections are limited.
    """

    __slots__ = ("_scope", "_service_of", "_settings", "_shares")

    def __init__(
        self,
        settings: OverloadSettings,
        shares: RouterShares,
        service_of: Callable[[str], Service | None],
        scope: OverloadScope,
    ) -> None:
        self._settings = settings
        self._shares = shares
        self._service_of = service_of
        self._scope = scope

    def configure(self, settings: OverloadSettings) -> None:
        """Apply changed settings.

        Parameters
        ----------
        settings : OverloadSettings
            States which part of the limit the routers divide.
        """
        self._settings = settings

    def is_limited(self, service_name: str) -> bool:
        """Return whether the connections to the targets of a service are limited.

        Parameters
        ----------
        service_name : str
            Name of the service.

        Returns
        -------
        bool
            Whether overload control is in force for it and its limit is stated.
        """
        return self._accepted(service_name) > 0

    def limit(self, target: str, service_name: str, now: float) -> int | None:
        """Return how many connections this router may have to a target.

        Parameters
        ----------
        target : str
            Name of the target.
        service_name : str
            Name of its service.
        now : float
            Current time in seconds.

        Returns
        -------
        int | None
            Connections, busy, being opened and idle; None if they are not limited,
            or while no list of routers has been read.
        """
        accepted = self._accepted(service_name)
        routers = self._shares.largest_list(now) if accepted else 0
        if not routers:
            return None
        # At least one, so that a target that accepts a single connection is used.
        divided = max(1, int(accepted * self._settings.connection_share))
        if not self._shares.is_settled(now):
            return (accepted - divided) // routers
        if routers <= divided:
            return divided // routers
        # At most one, as routers with shorter lists may have one each.
        return min(1, self._shares.own_permits(target, divided, now))

    def _accepted(self, service_name: str) -> int:
        """Return how many connections one target accepts; 0 for no limit."""
        if not self._scope.is_in_force(service_name):
            return 0
        service = self._service_of(service_name)
        return 0 if service is None else service.max_connections
