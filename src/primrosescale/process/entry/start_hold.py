"""Holds requests that arrive before the router has read the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.process.callers.caller_site import EntryRequest

# A request that arrives before the store has been read waits up to this long. Reading
# takes about 10 ms, and 0.25 s while the store is slow.
MAX_START_WAIT_SECONDS = 0.5


class StartHold:
    """The requests that wait until the router can decide on them."""

    __slots__ = ("_requests", "_until")

    def __init__(self) -> None:
        self._requests: list[EntryRequest] = []
        self._until = 0.0

    def begin(self, now: float) -> None:
        """Hold requests from now on, for a limited time.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._until = now + MAX_START_WAIT_SECONDS

    def is_over(self, now: float) -> bool:
        """Return whether requests are served as they arrive.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False if they are held.
        """
        return now >= self._until

    def add(self, request: EntryRequest) -> None:
        """Hold a request.

        Parameters
        ----------
        request : EntryRequest
            The request.
        """
        self._requests.append(request)

    def end(self) -> list[EntryRequest]:
        """Hold no more requests.

        Returns
        -------
        list[EntryRequest]
            Those held whose callers still wait.
        """
        self._until = 0.0
        held, self._requests = self._requests, []
        return [request for request in held if not request.is_disconnected]
