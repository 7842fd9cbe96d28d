"""Tells a burst of requests, which waiting serves, from a queue that stands.

The requests of a burst can all be done within the time that their callers have, so that
they had better wait than be refused. When more is asked for than can be done, a queue
stands: it adds its length to every answer and serves no one more (Nichols and Jacobson,
"Controlling Queue Delay"). Then only as many should wait as keep the targets busy.

CoDel tells the two apart by how long requests have waited for a whole interval. Here a
queue that is kept short would hide that it would stand again, so that a virtual backlog
is measured: what would wait if nobody had been refused. First tries and retries count
alike, since nothing tells them apart.
"""

from __future__ import annotations

import math

# Callers over which their time is averaged.
AVERAGED_CALLERS = 1000


def max_standing(places: float) -> float:
    """Return how many waiting calls keep places busy while more always arrive.

    The calls that arrive while all places become free once vary by the square root of
    that number; two standard deviations cover nearly all of it. Two more let in calls
    of organisations that have had fewer turns. Further waiting calls would only make
    each wait longer. At a router that has a place or less, each call waits for long,
    and the routers of a large fleet would together make a queue of seconds. There,
    three wait for each place, and one in any case.

    Parameters
    ----------
    places : float
        Calls that can be served at once.

    Returns
    -------
    float
        Number of calls.
    """
    varying = 2.0 * min(places, math.sqrt(places))
    return max(1.0, varying + min(2.0, places))


class StandingQueue:
    """Virtual backlog of one service, held against the time that its callers have."""

    __slots__ = ("_backlog", "_callers", "_log_time", "_since", "_updated_at")

    def __init__(self) -> None:
        # Seconds of work.
        self._backlog = 0.0
        # Since when there has been a backlog without a break.
        self._since = -math.inf
        self._updated_at = -math.inf
        self._callers = 0
        self._log_time = -math.inf

    @property
    def patience(self) -> float:
        """Return for how long callers can wait on average, in seconds.

        It is the geometric mean, which a few callers with far more time hardly move.
        """
        return math.exp(self._log_time)

    def asked(self, work: float, time_left: float, slack: float, now: float) -> None:
        """Count a request that arrives while the targets are fully used.

        Parameters
        ----------
        work : float
            Seconds until the targets have done as much.
        time_left : float
            Seconds for which it can wait and still be answered in time. A request
            without any could not be served by any queue and does not count.
        slack : float
            Seconds of backlog that may come on top of what callers can wait for. With
            more, a pause in the arrivals does not look like the end of an overload;
            with less, its end is noticed sooner.
        now : float
            Current time in seconds.
        """
        if time_left <= 0:
            return
        self._average(math.log(time_left))
        self._drain(now)
        if not self._backlog:
            self._since = now
        self._backlog = min(self._backlog + work, self.patience + slack)

    def stands(self, now: float) -> bool:
        """Return whether more is asked for than can be done in the callers' time.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True if callers could not wait for the end of the backlog, and there has
            been a backlog for longer than they can wait.
        """
        self._drain(now)
        patience = self.patience
        return self._backlog > patience and now - self._since > patience

    def shift_times(self, seconds: float) -> None:
        """Move its times, after the clock was set.

        Parameters
        ----------
        seconds : float
            By how much the clock was set forward; negative if it was set back.
        """
        self._since += seconds
        self._updated_at += seconds

    def _average(self, log_time: float) -> None:
        if self._callers < AVERAGED_CALLERS:
            self._callers += 1
        if self._callers == 1:
            self._log_time = log_time
        else:
            self._log_time += (log_time - self._log_time) / self._callers

    def _drain(self, now: float) -> None:
        elapsed = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._backlog = max(0.0, self._backlog - elapsed)
