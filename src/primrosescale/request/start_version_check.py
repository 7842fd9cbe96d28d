"""Decides when a router that has started may rely on the version that it has read.

A store may come back from a copy that is some seconds old. Routers that run keep the
newer version that they know, but one that starts would take the copy for the newest
version, and accept keys that have been withdrawn. So it asks other routers for their
versions first, and relies on its own once that is no older than any of theirs.

If some have not answered within `MAX_WAIT_SECONDS`, the answers of the others decide:
they may have ended, and callers wait meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Datagrams take up to 0.2 s between regions and back, and some get lost.
MAX_WAIT_SECONDS = 0.4
# Most other routers have the newest version, so that a few of a large fleet suffice.
MAX_ASKED_ROUTERS = 16


class StartVersionCheck:
    """Compares the version read at the start with those of other routers."""

    __slots__ = ("_asked", "_asked_at", "_newest", "_unanswered")

    def __init__(self) -> None:
        self._asked = 0
        self._asked_at: float | None = None
        self._newest = 0
        self._unanswered: set[str] = set()

    @property
    def has_begun(self) -> bool:
        """Return whether other routers have been asked."""
        return self._asked_at is not None

    @property
    def asked(self) -> int:
        """Return the number of routers that were asked."""
        return self._asked

    @property
    def newest(self) -> int:
        """Return the newest version of those that answered; 0 for none."""
        return self._newest

    @property
    def unanswered(self) -> frozenset[str]:
        """Return the names of the routers that have not answered."""
        return frozenset(self._unanswered)

    def begin(self, routers: Iterable[str], now: float) -> None:
        """Record that routers are asked.

        Parameters
        ----------
        routers : Iterable[str]
            Their names.
        now : float
            Present time in seconds.
        """
        self._unanswered = set(routers)
        self._asked = len(self._unanswered)
        self._asked_at = now

    def answered(self, router: str, version: int) -> None:
        """Record an answer.

        Parameters
        ----------
        router : str
            Name of the router; others than those asked are ignored.
        version : int
            The version that it has in force; 0 for none.
        """
        if router in self._unanswered:
            self._unanswered.discard(router)
            self._newest = max(self._newest, version)

    def is_over(self, now: float) -> bool:
        """Return whether no more answers are awaited.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False also before any router has been asked.
        """
        if self._asked_at is None:
            return False
        return not self._unanswered or now - self._asked_at >= MAX_WAIT_SECONDS

    def confirms(self, version: int, now: float) -> bool:
        """Return whether to rely on a version.

        Parameters
        ----------
        version : int
            The version in force at this router; 0 for none.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True once it is known to be no older than the others.
        """
        return self.is_over(now) and version > 0 and version >= self._newest
