"""Closes new connections unread while this router is behind with its work."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.clock import cancel_timer
from primrosescale.process.events import Event
from primrosescale.request.capacity.connection_acceptance import ConnectionAcceptance

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.process.entry.entry_dependencies import EntryDependencies

# Interval of the timer whose lateness is measured.
INTERVAL_SECONDS = 0.1
# It runs until no new connection has come for this long.
IDLE_SECONDS = 1.0


class ConnectionAdmission:
    """Measures how far the router is behind, and decides on new connections.

    Parameters
    ----------
    parts : EntryDependencies
        Collaborators of the router.
    processor_time : Callable[[], float]
        Returns the processor time that the process has used, in seconds.
    """

    def __init__(
        self,
        parts: EntryDependencies,
        processor_time: Callable[[], float] = time.process_time,
    ) -> None:
        self._processor_time = processor_time
        self._reactor: Any = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics
        self._acceptance = ConnectionAcceptance()
        self._timer: Timer | None = None
        self._due_at = 0.0
        self._last_came_at = 0.0
        # Since the router was last behind.
        self._closed = 0
        self._longest_delay = 0.0

    def accepts(self) -> bool:
        """Return whether to accept a new connection; count those that are closed.

        Returns
        -------
        bool
            False if it is to be closed before its request is read.
        """
        now = self._last_came_at = self._reactor.seconds()
        if self._timer is None:
            self._acceptance.begin(self._processor_time(), now)
            self._schedule(now)
        if self._acceptance.accepts(now):
            return True
        self._closed += 1
        self._metrics.connection_closed_unread()
        return False

    def request_came(self, *, is_first: bool) -> None:
        """Count a request that was read.

        Parameters
        ----------
        is_first : bool
            Whether it is the first one of its connection.
        """
        self._acceptance.request_came(is_first=is_first)

    def completed(self) -> None:
        """Count a request that was answered or refused."""
        self._acceptance.completed()

    def stop(self) -> None:
        """Stop to measure."""
        cancel_timer(self._timer)
        self._timer = None

    def _schedule(self, now: float) -> None:
        self._due_at = now + INTERVAL_SECONDS
        self._timer = self._reactor.callLater(INTERVAL_SECONDS, self._timer_ran)

    def _timer_ran(self) -> None:
        now = self._reactor.seconds()
        delay = now - self._due_at
        was_limited = self._acceptance.is_limited
        self._acceptance.timer_ran(delay, self._processor_time(), now)
        self._report(delay, was_limited=was_limited)
        if self._acceptance.is_limited or now - self._last_came_at < IDLE_SECONDS:
            self._schedule(now)
        else:
            self._timer = None

    def _report(self, delay: float, *, was_limited: bool) -> None:
        """Log when the router begins to close connections, and when it ends."""
        if self._acceptance.is_limited:
            self._longest_delay = max(self._longest_delay, delay)
            if not was_limited:
                self._log.emit(
                    Event.ROUTER_BEHIND,
                    delay=round(delay, 3),
                    requests_per_second=round(self._acceptance.rate or 0.0, 1),
                )
        elif was_limited:
            self._log.emit(
                Event.ROUTER_CAUGHT_UP,
                closed=self._closed,
                longest_delay=round(self._longest_delay, 3),
            )
            self._closed, self._longest_delay = 0, 0.0
