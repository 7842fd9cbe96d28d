"""The datagram protocol between entry routers, and this router's entry in the store."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.protocol import DatagramProtocol
from twisted.internet.task import deferLater

from primrosescale.clock import cancel_timer
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.exceptions import FrameError
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.refused_records import RecordKind
from primrosescale.process.entry.refused_records import RefusedRecords
from primrosescale.process.entry.store_watch import WatchListener
from primrosescale.process.events import Event
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.exceptions import UnreadableRecordError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator
    from collections.abc import Sequence

    from twisted.python.failure import Failure

    from primrosescale.clock import Timer
    from primrosescale.connection.codec import Message
    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.process.entry.cache_ownership import CacheOwnership
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.entry_settings import EntrySettings
    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.entry.start_version_exchange import StartVersionExchange
    from primrosescale.process.entry.state_exchange import StateExchange
    from primrosescale.process.entry.stream_origin_exchange import StreamOriginExchange
    from primrosescale.process.transport.platform import StoredObject

# Urgent state, such as where a prompt part was sent, is sent after this delay, together
# with everything else that becomes urgent within it.
URGENT_DELAY_SECONDS = 0.005
ANNOUNCE_RETRY_SECONDS = 0.5


class StateExchangeProtocol(DatagramProtocol):
    """Sends this router's state updates in rounds and receives those of other routers.

    Parameters
    ----------
    exchange : StateExchange
        Composes and applies updates.
    version : Callable[[], int]
        Returns the version in force here; 0 for none.
    is_store_lost : Callable[[], bool]
        Returns whether the store did not answer the last request.
    list_revision : Callable[[], int]
        Returns the newest change of the target list that is known here.
    parts : EntryDependencies
        Collaborators of the router.
    shares : CacheOwnership
        Requests and answers about the cache contents of targets.
    stream_origins : StreamOriginExchange | None
        Origins of streams that are known here; None to exchange none.
    start_versions : StartVersionExchange | None
        Versions that routers ask for at their start; None to exchange none.
    """

    def __init__(
        self,
        exchange: StateExchange,
        version: Callable[[], int],
        is_store_lost: Callable[[], bool],
        list_revision: Callable[[], int],
        parts: EntryDependencies,
        shares: CacheOwnership,
        stream_origins: StreamOriginExchange | None = None,
        start_versions: StartVersionExchange | None = None,
    ) -> None:
        self._exchange = exchange
        self._shares = shares
        self._stream_origins = stream_origins
        self._start_versions = start_versions
        self._version = version
        self._is_store_lost = is_store_lost
        self._list_revision = list_revision
        self._reactor = parts.reactor
        self._log = parts.log
        self._timer: Timer | None = None
        self._urgent_timer: Timer | None = None
        self._is_stopped = False
        self._bytes_out = 0
        self._upstream_relay: str | None = None

    @property
    def bytes_out(self) -> int:
        """Return the bytes sent in datagrams."""
        return self._bytes_out

    def startProtocol(self) -> None:
        """Start the rounds of updates."""
        self._timer = self._reactor.callLater(self._exchange.interval, self._round)

    def stop(self) -> None:
        """Stop sending."""
        self._is_stopped = True
        cancel_timer(self._timer)
        cancel_timer(self._urgent_timer)

    def send_soon(self) -> None:
        """Send urgent state within milliseconds, without waiting for the next round."""
        if (
            self._urgent_timer is None
            and self._exchange.is_urgent
            and not self._is_stopped
        ):
            self._urgent_timer = self._reactor.callLater(
                URGENT_DELAY_SECONDS, self._urgent_round
            )

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Process a datagram; one that cannot be decoded is dropped.

        Parameters
        ----------
        datagram : bytes
            The datagram.
        addr : Any
            Address of the sender.
        """
        try:
            message = decode(datagram)
        except FrameError as error:
            detail = f"{addr}: {error}"
            self._log.emit(Event.NEWS_REFUSED, detail=detail)
            return
        now = self._reactor.seconds()
        if isinstance(message, wire.RouterNews):
            self._exchange.receive(message, self._version(), now)
        elif isinstance(message, wire.CacheQuestion):
            self._write_all(self._shares.receive_request(message, now))
        elif isinstance(message, wire.CacheAnswer):
            self._shares.receive_answer(message, now)
        elif isinstance(message, wire.VersionQuestion | wire.VersionAnswer):
            self._receive_version(message, addr, now)
        elif self._stream_origins is not None:
            self._receive_origin(self._stream_origins, message, addr, now)

    def _receive_version(
        self, message: wire.VersionQuestion | wire.VersionAnswer, addr: Any, now: float
    ) -> None:
        if self._start_versions is None:
            return
        if isinstance(message, wire.VersionAnswer):
            self._start_versions.receive(message, now)
        else:
            # Sent to where the question came from, as its sender may not be listed yet.
            answer = self._start_versions.answer()
            self._write(encode(answer), addr, message.origin)

    def _receive_origin(
        self, origins: StreamOriginExchange, message: Message, addr: Any, now: float
    ) -> None:
        if isinstance(message, wire.StreamOriginReport):
            origins.receive_report(message, now)
        elif isinstance(message, wire.StreamOriginAnswer):
            origins.receive_answer(message, now)
        elif isinstance(message, wire.StreamOriginQuestion):
            # Sent to where the question came from: a router that has just started asks
            # before its entry is known here.
            answer = origins.receive_question(message, now)
            self._write(encode(answer), addr, message.origin)

    def send(self, messages: Sequence[tuple[PeerRouter, Message]]) -> None:
        """Send messages to other routers at once; one that cannot be sent is dropped.

        Parameters
        ----------
        messages : Sequence[tuple[PeerRouter, Message]]
            The messages with their receivers.
        """
        if not self._is_stopped:
            self._write_all(messages)

    def request_caches(self) -> None:
        """Ask the routers that have not answered yet what their targets have cached."""
        request = self._shares.new_request()
        self._write_all([(other, request) for other in self._shares.unanswered])

    def answer_cache_requests(self) -> None:
        """Answer pending requests, now that this router has read its own share."""
        self._write_all(self._shares.mark_share_read(self._reactor.seconds()))

    def _urgent_round(self) -> None:
        if not self._exchange.is_relayed:
            cancel_timer(self._timer)
            self._round()
            return
        self._urgent_timer = None
        self._send(is_urgent=True)

    def _round(self) -> None:
        cancel_timer(self._urgent_timer)
        self._urgent_timer = None
        if self._is_stopped:
            return
        # Scheduled first, so that a round that fails is not the last.
        self._timer = self._reactor.callLater(self._exchange.interval, self._round)
        self._send(is_urgent=False)
        self._log_relay_change()

    def _log_relay_change(self) -> None:
        """Log a change of the relay from which this router gets the others' load."""
        now = self._reactor.seconds()
        upstream_relay = self._exchange.upstream_relay(now)
        if upstream_relay != self._upstream_relay:
            age = self._exchange.age(now)
            self._log.emit(
                Event.RELAY_CHANGED,
                relay=upstream_relay,
                former=self._upstream_relay,
                news_age=round(age, 2) if math.isfinite(age) else None,
                routers=self._exchange.recent_peers(now),
            )
            self._upstream_relay = upstream_relay

    def _send(self, *, is_urgent: bool) -> None:
        messages = self._exchange.compose(
            self._version(),
            self._reactor.seconds(),
            is_store_lost=self._is_store_lost(),
            list_revision=self._list_revision(),
            is_urgent=is_urgent,
        )
        self._write_all(messages)

    def _write_all(self, messages: Sequence[tuple[PeerRouter, Message]]) -> None:
        for router, message in messages:
            address = (router.endpoint.address, router.endpoint.port)
            self._write(encode(message), address, router.name)

    def _write(self, frame: bytes, address: tuple[str, int], router: str) -> None:
        transport: Any = self.transport
        try:
            transport.write(frame, address)
        except OSError as error:
            # State is sent again with the next round, and questions are asked again.
            detail = f"{router}: {error}"
            self._log.emit(Event.NEWS_NOT_SENT, detail=detail)
            return
        self._bytes_out += len(frame)


class RouterRegistry(WatchListener):
    """Keeps this router's entry in the store and follows the entries of the others.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the router.
    incarnation : int
        Number of this incarnation of the process.
    exchange : StateExchange
        Notified of changes of the list of other routers.
    parts : EntryDependencies
        Collaborators of the router.
    on_change : Callable[[], None]
        Called after entries were read.
    """

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: int,
        exchange: StateExchange,
        parts: EntryDependencies,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self._settings = settings
        self._on_change = on_change
        self._incarnation = incarnation
        self._exchange = exchange
        self._parts = parts
        self._is_announcing = False
        self._is_stopped = False
        self._has_list = False
        self._was_listed = False
        self._links = settings.links
        self._overwritten_value: bytes | None = None
        # Silent routers whose removal the store has not confirmed.
        self._unconfirmed_removals: set[str] = set()
        self._refused = RefusedRecords(RecordKind.ROUTER, parts.log, parts.metrics)

    @property
    def routers(self) -> int | None:
        """Return how many routers share limits; None before the list was received."""
        names = self.names
        return None if names is None else len(names)

    @property
    def names(self) -> frozenset[str] | None:
        """Return the routers that share limits; None before the list was received.

        Routers whose entries were to be removed count until the store has confirmed
        it: they may be alive and reach the store, unlike this one.
        """
        if not self._has_list:
            return None
        others = (router.name for router in self._exchange.others)
        return frozenset({self._settings.name, *others, *self._unconfirmed_removals})

    @property
    def was_listed(self) -> bool:
        """Return whether the first list had an entry of an earlier incarnation.

        An entry that this incarnation wrote before it read the list does not count:
        the other routers may not have read it yet.
        """
        return self._was_listed

    def start(self, links: Endpoint) -> None:
        """Write this router's entry to the store.

        Parameters
        ----------
        links : Endpoint
            Where it receives state updates.
        """
        self._links = links
        self._announce()

    @inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Remove this router's entry from the store."""
        self._is_stopped = True
        try:
            yield self._parts.platform.announce(
                self._entry(self._settings.name, gone=True)
            )
        except PlatformError as error:
            # The entry stays; the others stop relying on this router anyway once it is
            # silent.
            self._parts.log.emit(Event.ANNOUNCE_FAILED, detail=str(error))

    def replaced(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Apply the whole list; see `WatchListener.replaced`."""
        names = {stored.name for stored in objects if not stored.is_deleted}
        if not self._has_list:
            self._was_listed = any(map(self._is_of_earlier_incarnation, objects))
        self._has_list = True
        self._unconfirmed_removals.clear()
        self._refused.retain_only(stored.key for stored in objects)
        for stored in objects:
            self._apply(stored)
        for router in self._exchange.others:
            if router.name not in names:
                self._exchange.remove(router.name)
        if self._settings.name not in names:
            self._announce()
        self._on_change()

    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Apply changed entries; see `WatchListener.changed`."""
        for stored in objects:
            self._apply(stored)
            if stored.is_deleted and stored.name == self._settings.name:
                self._announce()
        self._on_change()

    def remove_silent(self, now: float) -> None:
        """Remove the entries of routers that have been silent for long.

        Only routers that poll the store do so.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if not self._exchange.polls_store(now):
            return
        for name in self._exchange.silent_routers(now):
            self._exchange.remove(name)
            self._unconfirmed_removals.add(name)
            gone = self._parts.platform.announce(self._entry(name, gone=True))
            gone.addCallbacks(self._removed, self._removal_failed, (name,))

    def _removed(self, _: object, name: str) -> None:
        self._unconfirmed_removals.discard(name)

    def _removal_failed(self, failure: Failure) -> None:
        failure.trap(PlatformError)
        detail = failure.getErrorMessage()
        self._parts.log.emit(Event.ANNOUNCE_FAILED, detail=detail)

    def failed(self, error: PlatformError) -> None:
        """Do nothing: the watch of the configuration logs outages."""

    def _is_of_earlier_incarnation(self, stored: StoredObject) -> bool:
        """Return whether an earlier incarnation of this router wrote an entry."""
        if stored.name != self._settings.name or stored.is_deleted:
            return False
        try:
            router = self._parts.decoder.router(stored)
        except UnreadableRecordError:
            return False
        return router.incarnation != self._incarnation

    def _apply(self, stored: StoredObject) -> None:
        if stored.is_deleted:
            self._refused.clear(stored.key)
            self._unconfirmed_removals.discard(stored.name)
            self._exchange.remove(stored.name)
            return
        try:
            router = self._parts.decoder.router(stored)
        except UnreadableRecordError as error:
            # The last readable entry stays in force, so that the router's share of
            # common budgets is not given to others. If the router is gone, it is
            # removed because of its silence.
            self._refused.refuse(stored, error)
            if stored.name == self._settings.name:
                self._rewrite_entry(stored)
            return
        self._refused.clear(stored.key)
        if router.name == self._settings.name:
            self._overwritten_value = None
        self._unconfirmed_removals.discard(router.name)
        self._exchange.put(router, self._parts.reactor.seconds())

    def _rewrite_entry(self, stored: StoredObject) -> None:
        """Write this router's entry again after something else has overwritten it.

        If the same content is read twice in a row, it is what this router wrote itself
        and writing it again would not help.
        """
        if stored.value != self._overwritten_value:
            self._overwritten_value = stored.value
            self._announce()

    @inlineCallbacks
    def _announce(self) -> Generator[Any, Any, None]:
        """Write this router's entry, trying again until the store accepts it."""
        if self._is_announcing:
            return
        self._is_announcing = True
        while not self._is_stopped:
            try:
                yield self._parts.platform.announce(
                    self._entry(self._settings.name, gone=False)
                )
                break
            except PlatformError as error:
                self._parts.log.emit(Event.ANNOUNCE_FAILED, detail=str(error))
                yield deferLater(
                    self._parts.reactor, ANNOUNCE_RETRY_SECONDS, lambda: None
                )
        self._is_announcing = False

    def _entry(self, name: str, *, gone: bool) -> wire.HostEntry:
        links = self._links
        return wire.HostEntry(
            name,
            "router",
            links.address,
            links.port,
            self._settings.domain,
            "",
            "",
            leaving=gone,
            gone=gone,
            version=0,
            incarnation=self._incarnation,
        )
