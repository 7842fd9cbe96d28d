"""Counts the bytes that a process holds for connections, over all of them.

A limit on each request bounds no sum. When the sum passes its limit, the connection
that can release most gives way: the one with most bytes of a request that is still
being received, or of an answer that its peer does not read. So short requests are
served beside peers that send long ones or never finish them.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod


class MemoryHolder(ABC):
    """A connection for which bytes are held."""

    @abstractmethod
    def give_way(self) -> None:
        """Refuse the request that is being received, or close the connection."""


class Holding:
    """The bytes held for one connection.

    Parameters
    ----------
    account : MemoryAccount
        The account that they count against.
    holder : MemoryHolder
        The connection.
    base : int
        Bytes that the connection takes itself.
    """

    __slots__ = ("_account", "_base", "_holder", "_received", "_unsent")

    def __init__(self, account: MemoryAccount, holder: MemoryHolder, base: int) -> None:
        self._account = account
        self._holder = holder
        self._base = base
        self._received = 0
        self._unsent = 0

    @property
    def holder(self) -> MemoryHolder:
        """Return the connection."""
        return self._holder

    @property
    def total(self) -> int:
        """Return all bytes that count, including those of the connection."""
        return self._base + self.reclaimable

    @property
    def reclaimable(self) -> int:
        """Return the bytes that are released when the connection gives way."""
        return self._received + self._unsent

    def receive(self, size: int) -> None:
        """Set the bytes held of what the peer sends.

        Parameters
        ----------
        size : int
            Bytes received so far, with the overhead of their storage.
        """
        if size != self._received:
            self._account.change(size - self._received)
            self._received = size

    def leave_unsent(self, size: int) -> None:
        """Set the bytes of an answer that the peer has not read yet.

        Parameters
        ----------
        size : int
            Bytes; 0 once they have been sent.
        """
        self._account.change(size - self._unsent)
        self._unsent = size

    def close(self) -> None:
        """Release everything: the connection has ended."""
        self._account.remove(self)
        self._base = self._received = self._unsent = 0


class MemoryAccount:
    """The bytes held for all connections, and which of them gives way.

    Parameters
    ----------
    limit : int
        Bytes that may be held.
    """

    __slots__ = ("_given_way", "_holdings", "_limit", "_used")

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._used = 0
        self._given_way = 0
        self._holdings: set[Holding] = set()

    @property
    def used(self) -> int:
        """Return the bytes held."""
        return self._used

    @property
    def limit(self) -> int:
        """Return the bytes that may be held."""
        return self._limit

    @property
    def given_way(self) -> int:
        """Return how many connections have given way so far."""
        return self._given_way

    def configure(self, limit: int) -> None:
        """Replace the limit.

        Parameters
        ----------
        limit : int
            Bytes that may be held.
        """
        self._limit = limit

    def open(self, holder: MemoryHolder, base: int) -> Holding:
        """Count a new connection.

        Parameters
        ----------
        holder : MemoryHolder
            The connection.
        base : int
            Bytes that it takes without a request.

        Returns
        -------
        Holding
            Counts its bytes.
        """
        holding = Holding(self, holder, base)
        self._holdings.add(holding)
        self._used += base
        return holding

    def remove(self, holding: Holding) -> None:
        """Forget a connection; a second call does nothing.

        Parameters
        ----------
        holding : Holding
            Its bytes.
        """
        if holding in self._holdings:
            self._holdings.discard(holding)
            self._used -= holding.total

    def change(self, size: int) -> None:
        """Add to the bytes held.

        Parameters
        ----------
        size : int
            Bytes; negative for released ones.
        """
        self._used += size

    def reclaim(self) -> None:
        """Let the connections that can release most give way, one by one."""
        while self._used > self._limit:
            largest = max(
                self._holdings, key=lambda holding: holding.reclaimable, default=None
            )
            if largest is None or not largest.reclaimable:
                return
            self._given_way += 1
            largest.holder.give_way()
            # A holder that keeps its bytes must not be chosen for ever.
            largest.receive(0)
            largest.leave_unsent(0)
