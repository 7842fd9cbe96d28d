"""Bounds the memory of the requests that are being answered.

The larger a request is, the earlier it is refused: large ones leave room for small
ones, which most callers send.
"""

from __future__ import annotations

# Share of the memory up to which the largest requests are accepted.
LARGEST_SHARE = 0.5


class RequestMemory:
    """The bytes of requests that are being answered, over all connections.

    Parameters
    ----------
    limit : int
        Bytes that they may take.
    largest : int
        Bytes from which on a request counts among the largest.
    """

    __slots__ = ("_largest", "_limit", "_refused", "_used")

    def __init__(self, limit: int, largest: int) -> None:
        self._limit = limit
        self._largest = largest
        self._used = 0
        self._refused = 0

    @property
    def used(self) -> int:
        """Return the bytes taken."""
        return self._used

    @property
    def refused(self) -> int:
        """Return how many requests were not accepted so far."""
        return self._refused

    def configure(self, limit: int, largest: int) -> None:
        """Replace the limits.

        Parameters
        ----------
        limit : int
            Bytes that requests may take.
        largest : int
            Bytes from which on a request counts among the largest.
        """
        self._limit = limit
        self._largest = largest

    def accepts(self, size: int) -> bool:
        """Return whether there is room for a request; one is accepted in any case.

        Parameters
        ----------
        size : int
            Its bytes, with those of copies.

        Returns
        -------
        bool
            False if it is to be refused.
        """
        share = 1.0 - (1.0 - LARGEST_SHARE) * min(1.0, size / self._largest)
        is_accepted = not self._used or self._used + size <= share * self._limit
        if not is_accepted:
            self._refused += 1
        return is_accepted

    def take(self, size: int) -> None:
        """Count a request that was accepted.

        Parameters
        ----------
        size : int
            Its bytes.
        """
        self._used += size

    def release(self, size: int) -> None:
        """Release bytes of a request.

        Parameters
        ----------
        size : int
            Bytes that were taken.
        """
        self._used -= size
