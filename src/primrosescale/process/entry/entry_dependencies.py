"""The collaborators that an entry router is constructed with."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    import socket
    from collections.abc import Callable
    from random import Random

    from primrosescale.process.entry.codec import CacheReader
    from primrosescale.process.entry.codec import EntryCodec
    from primrosescale.process.entry.codec import RecordDecoder
    from primrosescale.process.entry.entry_metrics import EntryMetrics
    from primrosescale.process.entry.entry_settings import EntrySettings
    from primrosescale.process.entry.log_writer import LogWriter
    from primrosescale.process.events import EventLog
    from primrosescale.process.transport.platform import Platform


class EntryDependencies:
    """Collaborators of an entry router; its settings are passed separately.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    platform : Platform
        Access to the platform's store.
    codec : EntryCodec
        Converts HTTP heads of requests and responses.
    decoder : RecordDecoder
        Decodes records of the store.
    log : EventLog
        Log of numbered events.
    writer : LogWriter | None
        Destination of the log lines when it is rate-limited, else None.
    metrics : EntryMetrics
        Metrics of the router.
    rng : Random
        Source of randomness.
    caches : CacheReader
        Reads from model engines which prompt parts they have cached.
    read_settings : Callable[[], EntrySettings]
        Reads the settings file again; raises a `PrimrosescaleError` if it is
        invalid.
    listening_socket : socket.socket | None
        A socket that already listens for callers; None to open one.
    """

    __slots__ = (
        "caches",
        "codec",
        "decoder",
        "listening_socket",
        "log",
        "metrics",
        "platform",
        "reactor",
        "read_settings",
        "rng",
        "writer",
    )

    def __init__(
        self,
        *,
        reactor: Any,
        platform: Platform,
        codec: EntryCodec,
        decoder: RecordDecoder,
        log: EventLog,
        writer: LogWriter | None,
        metrics: EntryMetrics,
        rng: Random,
        caches: CacheReader,
        read_settings: Callable[[], EntrySettings],
        listening_socket: socket.socket | None = None,
    ) -> None:
        self.listening_socket = listening_socket
        self.read_settings = read_settings
        self.caches = caches
        self.reactor = reactor
        self.platform = platform
        self.codec = codec
        self.decoder = decoder
        self.log = log
        self.writer = writer
        self.metrics = metrics
        self.rng = rng
