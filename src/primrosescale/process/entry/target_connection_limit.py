"""Limits the connections to one target by this router's share and by its resets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.connection.connection_limit import ConnectionLimit
from primrosescale.connection.reset_backoff import ResetBackoff

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.request.capacity.connection_shares import ConnectionShares


class TargetConnectionLimit(ConnectionLimit):
    """Share of this router in the connections to a target, less after resets.

    Parameters
    ----------
    shares : ConnectionShares
        Determines the share.
    target : str
        Name of the target.
    service : str
        Name of its service.
    on_idle_closed : Callable[[], None]
        Called for each idle connection that was closed to stay within the share.
    """

    __slots__ = ("_backoff", "_on_idle_closed", "_service", "_shares", "_target")

    def __init__(
        self,
        shares: ConnectionShares,
        target: str,
        service: str,
        on_idle_closed: Callable[[], None],
    ) -> None:
        self._shares = shares
        self._target = target
        self._service = service
        self._on_idle_closed = on_idle_closed
        self._backoff = ResetBackoff()

    def allowed(self, now: float) -> int | None:
        """Return the present limit; see `ConnectionLimit.allowed`."""
        share = self._shares.limit(self._target, self._service, now)
        return None if share is None else self._backoff.reduce(share, now)

    def idle_closed(self) -> None:
        """Count it; see `ConnectionLimit.idle_closed`."""
        self._on_idle_closed()

    def connection_reset(self, connections: int, now: float) -> None:
        """Reduce the limit; see `ConnectionLimit.connection_reset`."""
        if self._shares.is_limited(self._service):
            self._backoff.connection_reset(connections, now)

    def queue_is_long(self, now: float) -> None:
        """Keep a reduced limit; see `ConnectionLimit.queue_is_long`."""
        self._backoff.queue_is_long(now)
