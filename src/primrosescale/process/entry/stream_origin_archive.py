"""Keeps the origins of streams in the store while a service has several versions.

Routers keep copies of each other's records, which are lost when all of them end at
once. Their callers come back within seconds and take their streams up. So each router
writes the records of the streams that it began to an object of its own, reads that
object when it starts, and reports its records again.

Nothing is written while no service has had a second version. A large fleet writes less
often, so that all routers together take a limited part of the store's rate.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks

from primrosescale.process.events import Event
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.transport.platform import MUST_NOT_EXIST
from primrosescale.request.stream.archived_origins import decode_origins
from primrosescale.request.stream.archived_origins import encode_origins

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator

    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.entry_settings import EntrySettings
    from primrosescale.process.entry.stream_origin_exchange import Messages
    from primrosescale.process.entry.stream_origin_exchange import StreamOriginExchange

# Streams last some seconds, and those begun since the last write may be lost.
MIN_WRITE_INTERVAL_SECONDS = 0.5
# Limit for all routers together; the store takes several hundred.
MAX_WRITES_PER_SECOND = 100.0
RETRY_SECONDS = 0.5
# A caller takes its stream up within this time or not at all.
MAX_READ_SECONDS = 20.0
# Routers that start together do not hear the first report of each other.
REPORTS = 3
REPORT_INTERVAL_SECONDS = 1.0


class StreamOriginArchive:
    """Writes the records of streams that this router began, and reads them at a start.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the router.
    exchange : StreamOriginExchange
        The records.
    routers : Callable[[], int]
        Returns how many routers share the store.
    parts : EntryDependencies
        Collaborators of the router.
    """

    __slots__ = (
        "_exchange",
        "_has_read",
        "_is_busy",
        "_key",
        "_log",
        "_next_at",
        "_platform",
        "_read_until",
        "_report_at",
        "_reports_left",
        "_revision",
        "_routers",
        "_written",
    )

    def __init__(
        self,
        settings: EntrySettings,
        exchange: StreamOriginExchange,
        routers: Callable[[], int],
        parts: EntryDependencies,
    ) -> None:
        self._key = settings.archive and settings.archive + settings.name
        self._exchange = exchange
        self._routers = routers
        self._platform = parts.platform
        self._log = parts.log
        self._is_busy = False
        self._has_read = settings.is_first_start
        self._read_until = math.inf
        self._next_at = -math.inf
        self._revision = MUST_NOT_EXIST
        # Number of the change of the records that was written last.
        self._written = 0
        self._reports_left = 0
        self._report_at = -math.inf

    def refresh(self, now: float) -> Messages:
        """Read or write the object if that is due; called several times a second.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        Messages
            Reports of the records that were read.
        """
        if self._key and not self._is_busy and now >= self._next_at:
            if not self._has_read:
                self._read(now)
            elif self._is_changed(now):
                self._write(now)
        if not self._reports_left or now < self._report_at:
            return []
        self._reports_left -= 1
        self._report_at = now + REPORT_INTERVAL_SECONDS
        return self._exchange.reports(now)

    def _is_changed(self, now: float) -> bool:
        exchange = self._exchange
        return exchange.changes != self._written and exchange.has_several_versions(now)

    def _interval(self) -> float:
        return max(MIN_WRITE_INTERVAL_SECONDS, self._routers() / MAX_WRITES_PER_SECOND)

    @inlineCallbacks
    def _read(self, now: float) -> Generator[Any, Any, None]:
        """Read what the former process wrote; give up after some time."""
        self._is_busy = True
        self._next_at = now + RETRY_SECONDS
        self._read_until = min(self._read_until, now + MAX_READ_SECONDS)
        try:
            stored = yield self._platform.get(self._key)
        except PlatformError:
            # The watch of the configuration logs outages.
            self._has_read = now >= self._read_until
        else:
            self._has_read = True
            if stored is not None:
                self._restore(stored.value, stored.version, now)
        self._is_busy = False

    def _restore(self, content: bytes, revision: int, now: float) -> None:
        self._revision = revision
        try:
            found = decode_origins(content)
        except ValueError as error:
            self._log.emit(Event.STREAM_ORIGINS_UNREADABLE, detail=str(error))
            return
        self._exchange.restore(found, now)
        self._reports_left = REPORTS if found else 0
        self._log.emit(Event.STREAM_ORIGINS_RESTORED, streams=len(found))

    @inlineCallbacks
    def _write(self, now: float) -> Generator[Any, Any, None]:
        self._is_busy = True
        self._next_at = now + self._interval()
        changes = self._exchange.changes
        content = encode_origins(self._exchange.own(now))
        try:
            self._revision = yield self._platform.put(
                self._key, content, self._revision
            )
            self._written = changes
        except PlatformConflictError as conflict:
            # Written by a former process, or by a call whose answer was lost.
            self._revision = conflict.current
        except PlatformError:
            self._next_at = max(self._next_at, now + RETRY_SECONDS)
        self._is_busy = False
