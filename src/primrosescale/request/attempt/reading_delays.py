"""Whether targets of a service have stood still, by how late they answered.

A target that has answered an attempt, or a later one, has been running since that was
sent. It need not have read all that was sent to it before.
"""

from __future__ import annotations

import math

# A target that works answers most requests sooner.
LATE_SECONDS = 1.0
# Targets stand still if this part of the recent attempts is late, and so many. Single
# ones are late without: after an abort, the target has to answer another request.
STANDSTILL_PART = 0.25
MIN_LATE_ATTEMPTS = 3
# Attempts are counted by periods of this length; these are recent.
PERIOD_SECONDS = 0.25
RECENT_PERIODS = 10


class ReadingDelays:
    """Counts the attempts of a service by when they were sent and answered."""

    __slots__ = ("_answered", "_late", "_open", "_stood_still_at")

    def __init__(self) -> None:
        # By period: open ones by when they were sent, the others by when they or later
        # ones were answered. Late ones are counted in both of the latter.
        self._open: dict[int, int] = {}
        self._answered: dict[int, int] = {}
        self._late: dict[int, int] = {}
        self._stood_still_at = -math.inf

    def sent(self, now: float) -> None:
        """Record that an attempt is being sent.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        _count(self._open, now)

    def answered(self, sent_at: float, now: float) -> None:
        """Record that the target of an attempt has answered it or a later one.

        Parameters
        ----------
        sent_at : float
            When it was sent, in seconds.
        now : float
            Present time in seconds.
        """
        self.given_up(sent_at)
        self._drop_old(now)
        _count(self._answered, now)
        if now - sent_at >= LATE_SECONDS:
            _count(self._late, now)
            self._check_standstill(now)

    def given_up(self, sent_at: float) -> None:
        """Record that no answer to an attempt is awaited any more.

        Parameters
        ----------
        sent_at : float
            When it was sent, in seconds.
        """
        left = self._open.pop(_period(sent_at)) - 1
        if left:
            self._open[_period(sent_at)] = left

    def stood_still(self, since: float, now: float) -> bool:
        """Return whether targets stand still, or did in a given time.

        Parameters
        ----------
        since : float
            Begin of the time, in seconds.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True if many attempts were late at once.
        """
        self._drop_old(now)
        self._check_standstill(now)
        return self._stood_still_at >= since

    def _check_standstill(self, now: float) -> None:
        newest_late = _period(now - LATE_SECONDS)
        late = sum(count for sent, count in self._open.items() if sent < newest_late)
        late += sum(self._late.values())
        attempts = sum(self._open.values()) + sum(self._answered.values())
        if late >= max(MIN_LATE_ATTEMPTS, STANDSTILL_PART * attempts):
            self._stood_still_at = now

    def _drop_old(self, now: float) -> None:
        oldest = _period(now) - RECENT_PERIODS
        for counts in (self._answered, self._late):
            for period in [each for each in counts if each < oldest]:
                del counts[period]


def _period(at: float) -> int:
    """Return the number of the period that contains a time."""
    return int(at // PERIOD_SECONDS)


def _count(counts: dict[int, int], at: float) -> None:
    period = _period(at)
    counts[period] = counts.get(period, 0) + 1
