"""Whether targets of a service have read requests late, as ones that stand still do."""

from __future__ import annotations

import math

# A target that works reads within milliseconds, and answers most requests sooner.
LATE_SECONDS = 1.0
SLOT_SECONDS = 0.25


class ReadingDelays:
    """The attempts of a service that are unread, and when one was last read late."""

    __slots__ = ("_late_at", "_unread")

    def __init__(self) -> None:
        self._late_at = -math.inf
        # Number of unread attempts by the period in which they were sent.
        self._unread: dict[int, int] = {}

    def sent(self, now: float) -> None:
        """Record that an attempt is being sent.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        slot = int(now // SLOT_SECONDS)
        self._unread[slot] = self._unread.get(slot, 0) + 1

    def read(self, sent_at: float, now: float) -> None:
        """Record that an attempt has been read.

        Parameters
        ----------
        sent_at : float
            When it was sent, in seconds.
        now : float
            Present time in seconds.
        """
        slot = int(sent_at // SLOT_SECONDS)
        left = self._unread.pop(slot) - 1
        if left:
            self._unread[slot] = left
        if now - sent_at >= LATE_SECONDS:
            self._late_at = now

    def were_late(self, since: float, now: float) -> bool:
        """Return whether an attempt was read late, or is unread for as long.

        Parameters
        ----------
        since : float
            Begin of the time that counts, in seconds.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True if one was read late since then, or has not been read yet.
        """
        if self._late_at >= since:
            return True
        latest = (now - LATE_SECONDS) // SLOT_SECONDS
        return any(slot <= latest for slot in self._unread)
