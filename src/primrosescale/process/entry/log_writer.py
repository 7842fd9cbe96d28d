"""Writes log lines to standard output with bounded rate and memory, never blocking."""

from __future__ import annotations

import json
import os
from typing import TYPE_CHECKING
from typing import Any

import orjson
from eliot import add_destinations
from twisted.logger import ILogObserver
from twisted.logger import LogLevel
from twisted.logger import eventAsText
from twisted.logger import globalLogBeginner
from zope.interface import implementer

from primrosescale.process.events import Event

if TYPE_CHECKING:
    from primrosescale.clock import Clock
    from primrosescale.clock import Timer
    from primrosescale.process.events import EventLog

STANDARD_OUTPUT = 1
# One line of about 600 bytes per request. A router serves at most 400 requests per
# second, ten times its usual load.
MAX_LINES_PER_SECOND = 400.0
MAX_BURST_LINES = 800.0
# Lines buffered while the reader of the pipe is slow.
MAX_BUFFER_BYTES = 512 * 1024
WRITE_RETRY_SECONDS = 0.05
# Only events in this range, which occur once per request, are rate-limited. Events
# with lower numbers concern the process itself.
FIRST_RATE_LIMITED_EVENT = Event.CALL_REFUSED.value
LAST_RATE_LIMITED_EVENT = Event.REQUEST_ENDED.value


class LineRateLimiter:
    """Token bucket that limits the rate of log lines.

    Parameters
    ----------
    now : float
        Current time in seconds.
    """

    __slots__ = ("_at", "_dropped", "_lines")

    def __init__(self, now: float) -> None:
        self._lines = MAX_BURST_LINES
        self._at = now
        self._dropped = 0

    def acquire(self, now: float) -> bool:
        """Take the token for one line, or count the line as dropped.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False when the line is to be dropped.
        """
        earned = (now - self._at) * MAX_LINES_PER_SECOND
        self._lines = min(MAX_BURST_LINES, self._lines + max(0.0, earned))
        self._at = now
        if self._lines < 1.0:
            self._dropped += 1
            return False
        self._lines -= 1.0
        return True

    def count_dropped(self) -> None:
        """Count a line that was dropped for another reason."""
        self._dropped += 1

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call.

        Returns
        -------
        int
            Number of lines.
        """
        dropped, self._dropped = self._dropped, 0
        return dropped


class LogWriter:
    """An eliot destination that writes JSON lines without blocking.

    Parameters
    ----------
    clock : Clock
        Source of time and timers.
    descriptor : int
        File descriptor to write to; it is made non-blocking.
    """

    def __init__(self, clock: Clock, descriptor: int = STANDARD_OUTPUT) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._timer: Timer | None = None
        self._rate_limiter = LineRateLimiter(clock.seconds())
        os.set_blocking(descriptor, False)

    def install(self) -> None:
        """Register as a destination of eliot."""
        add_destinations(self)

    def take_dropped(self) -> int:
        """Return the number of lines dropped since the last call.

        Returns
        -------
        int
            Number of lines.
        """
        return self._rate_limiter.take_dropped()

    def __call__(self, message: dict[str, Any]) -> None:
        """Write one line, or drop it.

        Parameters
        ----------
        message : dict[str, Any]
            Fields of the message.
        """
        number = message.get("number", 0)
        is_rate_limited = FIRST_RATE_LIMITED_EVENT <= number <= LAST_RATE_LIMITED_EVENT
        if is_rate_limited and not self._rate_limiter.acquire(self._clock.seconds()):
            return
        fields = {
            name: value
            for name, value in message.items()
            if name not in {"task_uuid", "task_level"}
        }
        line = _json(fields) + b"\n"
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self._rate_limiter.count_dropped()
            return
        self._buffer += line
        if self._timer is None:
            self._flush()

    def _flush(self) -> None:
        self._timer = None
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # The pipe has no reader any more; callers are still served.
            self._buffer.clear()
            return
        del self._buffer[:written]
        if self._buffer:
            self._timer = self._clock.callLater(WRITE_RETRY_SECONDS, self._flush)


def _json(fields: dict[str, Any]) -> bytes:
    try:
        return orjson.dumps(fields, default=str)
    except TypeError:
        # orjson rejects lone surrogates in texts from outside and integers of more
        # than 64 bits.
        return json.dumps(fields, default=str).encode()


@implementer(ILogObserver)
class FailureObserver:
    """Copies failures that twisted logs into the event log.

    Parameters
    ----------
    log : EventLog
        Log of numbered events.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log

    def install(self) -> None:
        """Register as the only observer of twisted's log."""
        observer: Any = self
        globalLogBeginner.beginLoggingTo([observer], redirectStandardIO=False)

    def __call__(self, event: dict[str, Any]) -> None:
        """Log a twisted event if it is a failure.

        Parameters
        ----------
        event : dict[str, Any]
            The event; those below the error level are ignored.
        """
        level = event.get("log_level")
        if level is None or level < LogLevel.error:
            return
        self._log.emit(Event.LOOP_FAILED, detail=eventAsText(event))
