"""One router's share of the limits on the retries of all routers together.

The limits allow a number of retries for each request and a fixed number in each window.
Requests are counted by the router that received them. The fixed number is divided among
the routers, and each router saves its share up over time, beginning with nothing: one
that has started again does not know what its former process has sent, nor what targets
have not read of it. So it spends little after a start while targets read late, until
all of that has been read or given up. All of its processes together thus spend no more
than one that never ends.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from primrosescale.request.capacity.router_shares import SETTLING_SECONDS

# Part of the limit by requests that is used: retries arrive up to 0.4 s later than they
# are counted, which is a twenty-fifth of a window.
REQUESTS_SAFETY_FACTOR = 0.95
# Part of the fixed number that is used; less, as routers learn with a delay how many
# share it.
SAFETY_FACTOR = 0.8
# Part of a share that can be saved up, for many failures at once. The rest is what can
# be sent meanwhile, so that both together stay within the share in any window.
SAVED_PART = 0.5
# A target that has answered nothing for longer is taken to have ended, with what it has
# not read.
MAX_UNREAD_SECONDS = 20.0
# Part of the limit by requests that is used after a start if targets read late: the
# retries that a former process left unread can be 0.375 of the limit, and those of
# further processes that end meanwhile add to them.
STARTING_PART = 1 / 3


@dataclass(frozen=True, slots=True)
class SharedRetryLimits:
    """Limits on the retries of all routers together.

    Parameters
    ----------
    ratio : float
        Retries per request.
    window : float
        Seconds over which requests and retries are counted.
    extra : float
        Further retries per window, whatever the number of requests.
    """

    ratio: float
    window: float
    extra: float


class RetryShare:
    """The share of one router, which is the same for each service.

    Parameters
    ----------
    limits : SharedRetryLimits
        The limits for all routers together.
    is_first_start : bool
        Whether the whole deployment starts for the first time, so that no former
        process can have sent retries.
    """

    __slots__ = (
        "_counts",
        "_is_first_start",
        "_limits",
        "_saves_since",
        "_started_at",
    )

    def __init__(
        self, limits: SharedRetryLimits, *, is_first_start: bool = False
    ) -> None:
        self._limits = limits
        self._is_first_start = is_first_start
        # Numbers of routers with the time when each was last in force, the largest
        # first; only those that a later, larger one does not outdate.
        self._counts: deque[tuple[float, int]] = deque()
        self._saves_since = 0.0
        # When the first list of routers was known; None before that.
        self._started_at: float | None = None

    @property
    def limits(self) -> SharedRetryLimits:
        """Return the limits for all routers together."""
        return self._limits

    @property
    def routers(self) -> int | None:
        """Return how many routers the fixed number is divided by; None if unknown."""
        return self._counts[0][1] if self._counts else None

    def configure(self, limits: SharedRetryLimits) -> None:
        """Replace the limits.

        Parameters
        ----------
        limits : SharedRetryLimits
            The limits.
        """
        self._limits = limits

    def set_routers(
        self, count: int | None, now: float, *, was_listed: bool = False
    ) -> None:
        """Record how many routers share the limits.

        What a router that has gone sent before counts for one more window, so the
        largest number of the last window is used.

        Parameters
        ----------
        count : int | None
            Number of routers, including this one; None if it is not known, or is too
            old to rely on.
        now : float
            Present time in seconds.
        was_listed : bool
            Whether this router was listed before it started, so that the others
            already count it.
        """
        if count is None:
            self._counts.clear()
            return
        if self._started_at is None:
            self._started_at = now
            if self._is_first_start:
                # No former process has sent anything: all is saved up, none reserved.
                self._started_at -= MAX_UNREAD_SECONDS + self._limits.window
        if not self._counts:
            self._saves_since = now + self._saves_after(was_listed=was_listed)
            self._is_first_start = False
        while self._counts and self._counts[-1][1] <= count:
            self._counts.pop()
        self._counts.append((now, count))
        while self._counts[0][0] < now - self._limits.window:
            self._counts.popleft()

    def _saves_after(self, *, was_listed: bool) -> float:
        """Return after which time from its first list on the router saves."""
        if self._is_first_start:
            return -self._limits.window
        # Routers that start together have not read each other's new entries yet.
        return 0.0 if was_listed else SETTLING_SECONDS

    def reserves_unread(self, now: float) -> bool:
        """Return whether a former process may have left retries that count now.

        They are read within `MAX_UNREAD_SECONDS` after its end, and count for a window
        then.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True for some time after a start, and before the first list of routers.
        """
        if self._started_at is None:
            return True
        return now < self._started_at + MAX_UNREAD_SECONDS + self._limits.window

    def retries_per_request(self, *, is_reserved: bool = False) -> float:
        """Return how many retries a request allows.

        Parameters
        ----------
        is_reserved : bool
            Whether retries of a former process are to be expected.

        Returns
        -------
        float
            Retries.
        """
        allowed = REQUESTS_SAFETY_FACTOR * self._limits.ratio
        return STARTING_PART * allowed if is_reserved else allowed

    def fixed_retries(
        self, since: float, now: float, *, is_reserved: bool = False
    ) -> float:
        """Return how many retries may be sent without requests in a period.

        Parameters
        ----------
        since : float
            Begin of the period, in seconds; it is at most a window ago.
        now : float
            Present time in seconds.
        is_reserved : bool
            Whether retries of a former process are to be expected.

        Returns
        -------
        float
            What was saved up at its begin, and what has been added since.
        """
        routers = self.routers
        if routers is None:
            return 0.0
        share = SAFETY_FACTOR * self._limits.extra / routers
        added_per_second = (1 - SAVED_PART) * share / self._limits.window
        saves_since = self._saves_since
        if is_reserved and self._started_at is not None:
            saves_since = max(saves_since, self._started_at + MAX_UNREAD_SECONDS)
        saving = max(0.0, since - saves_since)
        saved = min(SAVED_PART * share, added_per_second * saving)
        return saved + added_per_second * (max(0.0, now - saves_since) - saving)
