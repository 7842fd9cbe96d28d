"""Limits how many requests a stand-in engine runs at once; the others wait."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class EngineSlots:
    """The slots of one incarnation of an engine, and the requests that wait for them.

    Requests start in the order in which they were received.
    """

    __slots__ = ("_running", "_waiting")

    def __init__(self) -> None:
        self._running = 0
        self._waiting: deque[Callable[[], None]] = deque()

    @property
    def running(self) -> int:
        """Return how many requests run."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def submit(self, start: Callable[[], None], slots: int) -> None:
        """Start a request now, or once a slot is free.

        Parameters
        ----------
        start : Callable[[], None]
            Starts the request; it also identifies it.
        slots : int
            Number of slots; 0 for no limit.
        """
        if slots and self._running >= slots:
            self._waiting.append(start)
            return
        self._running += 1
        start()

    def end(self, start: Callable[[], None]) -> None:
        """Remove a request that has ended or whose caller has left.

        Parameters
        ----------
        start : Callable[[], None]
            The function with which it was submitted.
        """
        if start in self._waiting:
            self._waiting.remove(start)
            return
        self._running -= 1
        if self._waiting:
            self._running += 1
            self._waiting.popleft()()
