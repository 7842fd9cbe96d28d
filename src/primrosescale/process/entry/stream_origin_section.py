"""Keeps which software version began streams, while a service has several.

Callers come back within seconds after all routers ended, and take their streams up. A
router that has read what it kept reports it to the others again, since whoever is asked
to resume a stream asks those that should have a copy.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.router_archive import ArchiveSection
from primrosescale.request.stream.archived_origins import decode_origins
from primrosescale.request.stream.archived_origins import encode_origins

if TYPE_CHECKING:
    from primrosescale.process.entry.stream_origin_exchange import Messages
    from primrosescale.process.entry.stream_origin_exchange import StreamOriginExchange

# Routers that start together do not hear the first report of each other.
REPORTS = 3
REPORT_INTERVAL_SECONDS = 1.0


class StreamOriginSection(ArchiveSection):
    """The origins of the streams that one router began.

    Parameters
    ----------
    exchange : StreamOriginExchange
        The records.
    """

    __slots__ = ("_exchange", "_pending", "_report_at", "_reports_left", "_written")

    def __init__(self, exchange: StreamOriginExchange) -> None:
        self._exchange = exchange
        # Numbers of the change of the records that is being written, and that was.
        self._pending = 0
        self._written = 0
        self._reports_left = 0
        self._report_at = -math.inf

    @property
    def name(self) -> str:
        """Return its name in the object."""
        return "streams"

    def has_changed(self, now: float) -> bool:
        """Return whether streams began; see `ArchiveSection.has_changed`."""
        exchange = self._exchange
        return exchange.changes != self._written and exchange.has_several_versions(now)

    def content(self, now: float) -> Any:
        """Return the records; see `ArchiveSection.content`."""
        self._pending = self._exchange.changes
        return encode_origins(self._exchange.own(now))

    def written(self) -> None:
        """Record that they are in the store; see `ArchiveSection.written`."""
        self._written = self._pending

    def restore(self, content: Any, age: float, now: float) -> int:
        """Keep the records again; see `ArchiveSection.restore`."""
        found = [
            item._replace(expires_in=item.expires_in - age)
            for item in decode_origins(content)
            if item.expires_in > age
        ]
        self._exchange.restore(found, now)
        self._written = self._exchange.changes
        self._reports_left = REPORTS if found else 0
        return len(found)

    def messages(self, now: float) -> Messages:
        """Return reports of the records; see `ArchiveSection.messages`."""
        if not self._reports_left or now < self._report_at:
            return []
        self._reports_left -= 1
        self._report_at = now + REPORT_INTERVAL_SECONDS
        return self._exchange.reports(now)
