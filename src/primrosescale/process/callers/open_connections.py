"""Bounds the open connections of callers, and selects which are closed for new ones.

Descriptors are needed for targets and the store too, so a crowd of callers must not use
them up.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod

# Connections that are read at once, before one of them is closed for a new one.
MAX_READS = 4
# Share of the connections that may be new, without a request so far, before they are
# closed rather than idle ones and those whose clients do not read.
NEW_SHARE = 0.1


class OpenConnection(ABC):
    """A connection of a caller."""

    @abstractmethod
    def read_now(self) -> None:
        """Process what has been received and was not read yet."""

    @abstractmethod
    def make_room(self) -> None:
        """Close the connection at once."""


class OpenConnections:
    """The open connections, by what their callers have done on them.

    Parameters
    ----------
    limit : int
        Connections that may be open.
    """

    __slots__ = (
        "_blocked",
        "_busy",
        "_closed_for_others",
        "_idle",
        "_limit",
        "_unproven",
    )

    def __init__(self, limit: int) -> None:
        self._limit = limit
        # In order of their opening, of their last answer, and of the time since when
        # their clients do not read an answer.
        self._unproven: dict[OpenConnection, None] = {}
        self._idle: dict[OpenConnection, None] = {}
        self._blocked: dict[OpenConnection, None] = {}
        # With requests that are being answered, blocked ones included.
        self._busy: set[OpenConnection] = set()
        self._closed_for_others = 0

    def __len__(self) -> int:
        """Return how many connections are open."""
        return len(self._unproven) + len(self._idle) + len(self._busy)

    @property
    def closed_for_others(self) -> int:
        """Return how many connections were closed in favour of others so far."""
        return self._closed_for_others

    def configure(self, limit: int) -> None:
        """Replace the limit.

        Parameters
        ----------
        limit : int
            Connections that may be open.
        """
        self._limit = limit

    def opened(self, connection: OpenConnection) -> None:
        """Add a connection; beyond the limit, close another one or, if none, this one.

        Those go first that have not sent a complete request for the longest time,
        then those that have been idle for the longest time, and last those whose
        clients do not read their answers.

        Parameters
        ----------
        connection : OpenConnection
            The new connection.
        """
        self._unproven[connection] = None
        for _ in range(MAX_READS):
            if len(self) <= self._limit:
                return
            oldest = next(iter(self._unproven))
            oldest.read_now()
            if oldest in self._unproven:
                break
        if len(self) > self._limit:
            candidates = self._unproven
            if len(candidates) <= max(1, self._limit * NEW_SHARE):
                candidates = self._idle or self._blocked or candidates
            self._close(next(iter(candidates)))

    def close_blocked(self) -> bool:
        """Close the connection whose client has not read its answer for longest.

        Returns
        -------
        bool
            Whether there was one.
        """
        if not self._blocked:
            return False
        self._close(next(iter(self._blocked)))
        return True

    def blocked(self, connection: OpenConnection) -> None:
        """Record that the client of a connection does not read its answer.

        Parameters
        ----------
        connection : OpenConnection
            The connection.
        """
        if connection in self._busy:
            self._blocked.setdefault(connection)

    def unblocked(self, connection: OpenConnection) -> None:
        """Record that the client of a connection reads again.

        Parameters
        ----------
        connection : OpenConnection
            The connection.
        """
        self._blocked.pop(connection, None)

    def request_received(self, connection: OpenConnection) -> None:
        """Record that a complete request has been received.

        Parameters
        ----------
        connection : OpenConnection
            Its connection.
        """
        self._unproven.pop(connection, None)
        self._idle.pop(connection, None)
        self._busy.add(connection)

    def request_answered(self, connection: OpenConnection) -> None:
        """Record that a request has been answered.

        Parameters
        ----------
        connection : OpenConnection
            Its connection.
        """
        if connection in self._busy:
            self._busy.discard(connection)
            self._blocked.pop(connection, None)
            self._idle[connection] = None

    def closed(self, connection: OpenConnection) -> None:
        """Remove a connection; a second call does nothing.

        Parameters
        ----------
        connection : OpenConnection
            The connection.
        """
        self._unproven.pop(connection, None)
        self._idle.pop(connection, None)
        self._blocked.pop(connection, None)
        self._busy.discard(connection)

    def _close(self, connection: OpenConnection) -> None:
        self._closed_for_others += 1
        self.closed(connection)
        connection.make_room()
