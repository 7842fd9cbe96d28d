"""Tracks whether a watch gets answers from the store."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.process.exceptions import PlatformError


class StoreConnection:
    """Logs when the store stops answering a watch and when it answers again.

    Parameters
    ----------
    name : str
        What is watched.
    log : Any
        Log for events.
    now : Callable[[], float]
        Returns the present time in seconds.
    """

    __slots__ = ("_log", "_lost_at", "_name", "_now")

    def __init__(self, name: str, log: Any, now: Callable[[], float]) -> None:
        self._name = name
        self._log = log
        self._now = now
        self._lost_at: float | None = None

    @property
    def lost_at(self) -> float | None:
        """Return when requests began to fail; None while they are answered."""
        return self._lost_at

    def record_failure(self, error: PlatformError) -> None:
        """Record a failed request.

        Parameters
        ----------
        error : PlatformError
            Why it failed.
        """
        if self._lost_at is None:
            self._lost_at = self._now()
            self._log.emit(Event.STORE_LOST, watch=self._name, detail=str(error))

    def record_success(self) -> bool:
        """Record an answered request.

        Returns
        -------
        bool
            Whether the request before failed.
        """
        if self._lost_at is None:
            return False
        lost_for = round(self._now() - self._lost_at, 2)
        self._lost_at = None
        self._log.emit(Event.STORE_REGAINED, watch=self._name, lost_for=lost_for)
        return True
