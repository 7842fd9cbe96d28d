"""What an entry router is built with besides its settings."""

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
    """What an entry router is built with besides its settings.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    platform : Platform
        The platform's store.
    codec : EntryCodec
        Translates heads.
    decoder : RecordDecoder
        Translates records of the store.
    log : EventLog
        Numbered events.
    writer : LogWriter | None
        Where their lines go, when it is bounded.
    metrics : EntryMetrics
        Counters and histograms.
    rng : Random
        Source of chance.
    caches : CacheReader
        Asks model engines which parts of prompts they hold.
    read_settings : Callable[[], EntrySettings]
        Reads the settings anew; fails with a `PrimrosescaleError`.
    listening_socket : socket.socket | None
        A socket that listens for callers already; None to open one.
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
