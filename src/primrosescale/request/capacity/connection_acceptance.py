"""Decides which new connections a router accepts when it is itself the limit.

The platform may hand most new connections of a region to one router. One that reads
more requests than it has processor time for serves all of them late or not at all,
while other routers have room. A connection that is closed before its request is read
costs its caller one short retry at another router.

How far the router is behind shows in how late its timers run: between two of them it
does what has become ready, and a request waits as long before it is read. What it can
do follows from the processor time that a request takes and from what it gets while it
is behind. Only new connections are closed: requests on open ones are served, and
returning chats with them, and count.
"""

from __future__ import annotations

# Delay from which on the router is behind. It is spent several times on the way of a
# request, and callers leave a router that has not read theirs within a second.
MAX_DELAY_SECONDS = 0.1
# The router is behind once several timers were late for this long together; a large
# configuration or a suspension of the process delays one of them.
BEHIND_AFTER_SECONDS = 0.2
# Delay from which on only the least share of what it can do may come, to catch up.
CATCH_UP_DELAY_SECONDS = 0.3
# Greatest and least share of what it can do that may come while it is behind.
MAX_SHARE = 0.9
MIN_SHARE = 0.05
# Weight of the newest measurement of what it can do.
NEWEST_WEIGHT = 0.5
# Once the router is not behind, what may come rises to what it could do last within
# about this time, and beyond by this factor per second.
RETURN_SECONDS = 0.5
RISE_PER_SECOND = 1.25
# Requests that may come at once, in seconds of the permitted rate.
BURST_SECONDS = 0.2
# The limit ends once it has closed no connection for this long.
UNUSED_SECONDS = 1.0
# A request counts by half when it is read, and by half when it is completed.
HALF_REQUEST = 0.5
# Requests by which the processor time of one is known, and by which it is averaged.
MIN_REQUESTS = 20.0
AVERAGED_REQUESTS = 500.0


class ConnectionAcceptance:
    """Limits new connections by how late the router's timers run."""

    __slots__ = (
        "_capacity",
        "_closed_at",
        "_late_since",
        "_measured_at",
        "_permits",
        "_processor_time",
        "_rate",
        "_refilled_at",
        "_requests",
        "_spent",
    )

    def __init__(self) -> None:
        # Requests per second that may come; None without a limit.
        self._rate: float | None = None
        # Requests per second that it could do when it was last behind.
        self._capacity = 0.0
        self._permits = 0.0
        self._refilled_at = 0.0
        self._closed_at = 0.0
        # Requests of late, and the processor time spent meanwhile, in seconds.
        self._requests = 0.0
        self._spent = 0.0
        self._processor_time = 0.0
        self._measured_at = 0.0
        # Since when all timers were late, in seconds; None if the last was in time.
        self._late_since: float | None = None

    @property
    def rate(self) -> float | None:
        """Return how many requests per second may come; None without a limit."""
        return self._rate

    @property
    def is_limited(self) -> bool:
        """Return whether new connections may be closed."""
        return self._rate is not None

    def begin(self, processor_time: float, now: float) -> None:
        """Begin to measure, after a time in which no timer ran.

        Parameters
        ----------
        processor_time : float
            Processor time that the process has used, in seconds.
        now : float
            Current time in seconds.
        """
        self._processor_time, self._measured_at = processor_time, now
        self._late_since = None

    def request_came(self, *, is_first: bool) -> None:
        """Count a request that was read.

        Parameters
        ----------
        is_first : bool
            Whether it is the first one of its connection.
        """
        self._requests += HALF_REQUEST
        if self._rate is not None and not is_first:
            self._permits -= 1.0

    def completed(self) -> None:
        """Count a request that was answered or refused."""
        self._requests += HALF_REQUEST

    def timer_ran(self, delay: float, processor_time: float, now: float) -> None:
        """Handle that a timer ran.

        Parameters
        ----------
        delay : float
            How late it was, in seconds.
        processor_time : float
            Processor time that the process has used, in seconds.
        now : float
            Current time in seconds.
        """
        elapsed = now - self._measured_at
        spent = processor_time - self._processor_time
        self._processor_time, self._measured_at = processor_time, now
        self._spent += spent
        if self._requests > AVERAGED_REQUESTS:
            self._spent *= AVERAGED_REQUESTS / self._requests
            self._requests = AVERAGED_REQUESTS
        if delay <= MAX_DELAY_SECONDS:
            self._late_since = None
            self._recover(elapsed, now)
        elif self._late_since is None:
            # The process may only have been suspended.
            self._late_since = now - delay
        elif now - self._late_since >= BEHIND_AFTER_SECONDS and elapsed > 0:
            self._limit(spent / elapsed, delay, now)

    def accepts(self, now: float) -> bool:
        """Return whether to accept the next new connection.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False if it is to be closed before its request is read.
        """
        if self._rate is None:
            return True
        most = max(1.0, self._rate * BURST_SECONDS)
        new = self._rate * max(0.0, now - self._refilled_at)
        self._permits = min(most, self._permits + new)
        self._refilled_at = now
        if self._permits < 1.0:
            self._closed_at = now
            return False
        self._permits -= 1.0
        return True

    def _limit(self, processor_share: float, delay: float, now: float) -> None:
        """Let as many requests come as the router can do, fewer the later it is."""
        if self._requests < MIN_REQUESTS or self._spent <= 0:
            return
        capacity = processor_share * self._requests / self._spent
        if self._rate is None:
            self._permits, self._refilled_at = 0.0, now
            self._closed_at = now
            self._capacity = capacity
        self._capacity += NEWEST_WEIGHT * (capacity - self._capacity)
        share = MAX_SHARE * (CATCH_UP_DELAY_SECONDS - delay) / CATCH_UP_DELAY_SECONDS
        self._rate = self._capacity * max(MIN_SHARE, share)

    def _recover(self, elapsed: float, now: float) -> None:
        if self._rate is None:
            return
        usual = MAX_SHARE * self._capacity
        if self._rate < usual:
            part = min(1.0, elapsed / RETURN_SECONDS)
            self._rate += part * (usual - self._rate)
        self._rate *= RISE_PER_SECOND**elapsed
        if now - self._closed_at >= UNUSED_SECONDS:
            self._rate = None
