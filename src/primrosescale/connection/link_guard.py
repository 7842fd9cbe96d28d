"""Bounds what the peers of accepted connections take before they have sent a frame."""

from __future__ import annotations

from abc import abstractmethod

from primrosescale.connection.memory_account import Holding
from primrosescale.connection.memory_account import MemoryAccount
from primrosescale.connection.memory_account import MemoryHolder

# Bytes of incomplete frames that are held for all peers; a frame may have 4 MB.
MAX_HELD_BYTES = 32 * 1024 * 1024
# Memory taken by a connection itself.
CONNECTION_BYTES = 4 * 1024
# Connections whose peers have not introduced themselves.
MAX_STRANGERS = 256


class GuardedLink(MemoryHolder):
    """A connection that was accepted."""

    @abstractmethod
    def give_way(self) -> None:
        """Abort the connection."""


class LinkGuard:
    """The accepted connections of a process.

    Parameters
    ----------
    memory : int
        Bytes of incomplete frames that may be held.
    strangers : int
        Connections whose peers need not have introduced themselves.
    """

    __slots__ = ("_account", "_holdings", "_max_strangers", "_strangers")

    def __init__(
        self, memory: int = MAX_HELD_BYTES, strangers: int = MAX_STRANGERS
    ) -> None:
        self._account = MemoryAccount(memory)
        self._holdings: dict[GuardedLink, Holding] = {}
        self._max_strangers = strangers
        # In order of their opening.
        self._strangers: dict[GuardedLink, None] = {}

    @property
    def held(self) -> int:
        """Return the bytes that are held."""
        return self._account.used

    def opened(self, link: GuardedLink) -> None:
        """Add a connection; the oldest of too many without a Hello gives way.

        Parameters
        ----------
        link : GuardedLink
            The connection.
        """
        self._holdings[link] = self._account.open(link, CONNECTION_BYTES)
        self._strangers[link] = None
        if len(self._strangers) > self._max_strangers:
            oldest = next(iter(self._strangers))
            del self._strangers[oldest]
            oldest.give_way()

    def introduced(self, link: GuardedLink) -> None:
        """Record that the peer of a connection has introduced itself.

        Parameters
        ----------
        link : GuardedLink
            The connection.
        """
        self._strangers.pop(link, None)

    def hold(self, link: GuardedLink, size: int) -> None:
        """Count the incomplete frame of a connection.

        Parameters
        ----------
        link : GuardedLink
            The connection.
        size : int
            Bytes received of the frame.
        """
        holding = self._holdings.get(link)
        if holding is not None:
            holding.receive(size)
            self._account.reclaim()

    def lost(self, link: GuardedLink) -> None:
        """Remove a connection that has ended.

        Parameters
        ----------
        link : GuardedLink
            The connection.
        """
        self._strangers.pop(link, None)
        holding = self._holdings.pop(link, None)
        if holding is not None:
            holding.close()
