"""Numbered log events, written through eliot; docs/events.md lists them."""

from __future__ import annotations

import sys
from enum import Enum
from pathlib import Path
from typing import Any

from eliot import FileDestination
from eliot import add_destinations
from eliot import log_message
from eliot import remove_destination


class Event(Enum):
    """Kind of a log event; the value is its number."""

    PROCESS_STARTED = 100
    PROCESS_STOPPING = 101
    PROCESS_STOPPED = 102
    STOP_CUT = 103
    LOOP_FAILED = 104
    LOG_DROPPED = 105
    READINESS_CHANGED = 110
    SETTINGS_RELOADED = 111
    SETTINGS_REFUSED = 112
    CALL_REFUSED = 201
    REQUEST_ENDED = 202
    SILENCE_JUDGED = 203
    REQUEST_HELD_BACK = 204
    REQUEST_CLEARED = 205
    OVERLOAD_BEGAN = 206
    OVERLOAD_ENDED = 207
    PART_HELD_BACK = 208
    PART_CLEARED = 209
    ROUTER_BEHIND = 210
    ROUTER_CAUGHT_UP = 211
    RETRIES_USED = 212
    CALLERS_LIMITED = 213
    PART_ENDS_VOIDED = 214
    TARGET_SUSPECT = 300
    TARGET_NEWS = 301
    AGENT_DUPLICATE = 302
    CACHE_HANDED_OVER = 303
    CACHE_IMPORT_FAILED = 304
    TARGET_CLOSED = 305
    TARGET_LISTED = 310
    TARGET_DELISTED = 311
    TARGET_FORGOTTEN = 312
    TARGET_REFUSED = 313
    VERSION_ADOPTED = 400
    HEAD_REFUSED = 401
    PULL_FAILED = 402
    BUNDLE_CREATED = 410
    BUNDLE_SIGNED = 411
    BUNDLE_ROLLED_OUT = 412
    ADMIN_REFUSED = 413
    CACHE_READ = 314
    CACHE_NOT_READ = 315
    TARGET_RESTARTED = 316
    CACHES_LEARNED = 317
    TARGET_ENDED = 318
    DOMAINS_EVACUATED = 319
    TARGET_SAID = 320
    STREAM_RESUMED = 321
    ARCHIVE_RESTORED = 322
    ARCHIVE_UNREADABLE = 323
    EVACUATION_REFUSED = 324
    TABLE_ADOPTED = 420
    TABLE_REFUSED = 421
    START_VERSION_CHECKED = 422
    ORDER_SENT = 500
    ORDER_FAILED = 501
    ROLL_OUT_HELD = 502
    PLATFORM_FAILED = 600
    HOST_REFUSED = 601
    STORE_LOST = 610
    STORE_REGAINED = 611
    ANNOUNCE_FAILED = 612
    WATCH_RENEWED = 613
    NEWS_REFUSED = 620
    NEWS_NOT_SENT = 621
    ROUTER_REFUSED = 622
    RELAY_CHANGED = 623
    SPAN = 700


class EventLog:
    """Writes events through eliot.

    Parameters
    ----------
    process : str
        Name of the process, a field of every event.
    """

    def __init__(self, process: str) -> None:
        self._process = process

    def emit(self, event: Event, **fields: Any) -> None:
        """Write one event.

        Parameters
        ----------
        event : Event
            Kind of the event.
        **fields : Any
            Further fields of the event.
        """
        log_message(
            message_type=event.name.lower(),
            number=event.value,
            process=self._process,
            **fields,
        )


class LogFile:
    """Destination of log events: a file or standard output.

    Parameters
    ----------
    path : str
        File to append to; empty for standard output.
    """

    def __init__(self, path: str) -> None:
        self._file: Any = sys.stdout.buffer
        if path:
            self._file = Path(path).open("ab")  # noqa: SIM115 - closed by close()
        self._destination = FileDestination(file=self._file)
        add_destinations(self._destination)

    def close(self) -> None:
        """Remove the destination and flush it; close it when it is a file."""
        remove_destination(self._destination)
        self._file.flush()
        if self._file is not sys.stdout.buffer:
            self._file.close()
