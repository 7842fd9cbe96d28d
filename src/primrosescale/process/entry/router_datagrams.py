"""Datagrams between entry routers, and the list of these routers."""

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
    from primrosescale.process.entry.state_exchange import StateExchange
    from primrosescale.process.transport.platform import StoredObject

# Where a part of a prompt went is told at once, with what else comes up in
# these milliseconds.
URGENT_SECONDS = 0.005
ANNOUNCE_PAUSE = 0.5


class StateExchangeProtocol(DatagramProtocol):
    """Sends this router's news in rounds and takes in that of others.

    Parameters
    ----------
    news : StateExchange
        Composes and takes in news.
    version : Callable[[], int]
        Returns the version in force here; 0 for none.
    is_store_lost : Callable[[], bool]
        Returns whether the store did not answer the last question.
    list_revision : Callable[[], int]
        Returns the newest change of the target list that is known here.
    parts : EntryDependencies
        What the router is built with.
    shares : CacheOwnership
        What is asked and told of the caches of targets.
    """

    def __init__(
        self,
        news: StateExchange,
        version: Callable[[], int],
        is_store_lost: Callable[[], bool],
        list_revision: Callable[[], int],
        parts: EntryDependencies,
        shares: CacheOwnership,
    ) -> None:
        self._news = news
        self._shares = shares
        self._version = version
        self._is_store_lost = is_store_lost
        self._list_revision = list_revision
        self._reactor = parts.reactor
        self._log = parts.log
        self._timer: Timer | None = None
        self._urgent: Timer | None = None
        self._is_stopped = False
        self._bytes_out = 0
        self._teller: str | None = None

    @property
    def bytes_out(self) -> int:
        """Return the bytes of news sent."""
        return self._bytes_out

    def startProtocol(self) -> None:
        """Begin the rounds."""
        self._timer = self._reactor.callLater(self._news.interval, self._round)

    def stop(self) -> None:
        """Send no more."""
        self._is_stopped = True
        cancel_timer(self._timer)
        cancel_timer(self._urgent)

    def send_soon(self) -> None:
        """Tell within milliseconds what others should not have to wait for."""
        if self._urgent is None and self._news.is_urgent and not self._is_stopped:
            self._urgent = self._reactor.callLater(URGENT_SECONDS, self._urgent_round)

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        """Take in a datagram; what cannot be read is dropped.

        Parameters
        ----------
        datagram : bytes
            The datagram.
        addr : Any
            Where it comes from.
        """
        try:
            message = decode(datagram)
        except FrameError as error:
            detail = f"{addr}: {error}"
            self._log.emit(Event.NEWS_REFUSED, detail=detail)
            return
        now = self._reactor.seconds()
        if isinstance(message, wire.RouterNews):
            self._news.take(message, self._version(), now)
        elif isinstance(message, wire.CacheQuestion):
            self._write_all(self._shares.take_question(message, now))
        elif isinstance(message, wire.CacheAnswer):
            self._shares.record_answer(message, now)

    def ask_caches(self) -> None:
        """Ask the routers that have not answered yet what targets hold."""
        question = self._shares.question()
        self._write_all([(other, question) for other in self._shares.unanswered])

    def know_caches(self) -> None:
        """Tell those who have asked: this router knows its share by now."""
        self._write_all(self._shares.know(self._reactor.seconds()))

    def _urgent_round(self) -> None:
        if not self._news.is_relayed:
            cancel_timer(self._timer)
            self._round()
            return
        self._urgent = None
        self._send(is_urgent=True)

    def _round(self) -> None:
        cancel_timer(self._urgent)
        self._urgent = None
        if self._is_stopped:
            return
        # Before anything that may fail: a round that fails must not be the last.
        self._timer = self._reactor.callLater(self._news.interval, self._round)
        self._send(is_urgent=False)
        self._note_teller()

    def _note_teller(self) -> None:
        """Log from whom this router hears of all others, when that changes."""
        now = self._reactor.seconds()
        teller = self._news.teller(now)
        if teller != self._teller:
            age = self._news.age(now)
            self._log.emit(
                Event.RELAY_CHANGED,
                relay=teller,
                former=self._teller,
                news_age=round(age, 2) if math.isfinite(age) else None,
                routers=self._news.recent_peers(now),
            )
            self._teller = teller

    def _send(self, *, is_urgent: bool) -> None:
        messages = self._news.compose(
            self._version(),
            self._reactor.seconds(),
            is_store_lost=self._is_store_lost(),
            list_revision=self._list_revision(),
            is_urgent=is_urgent,
        )
        self._write_all(messages)

    def _write_all(self, messages: Sequence[tuple[PeerRouter, Message]]) -> None:
        transport: Any = self.transport
        for router, message in messages:
            frame = encode(message)
            address = (router.endpoint.address, router.endpoint.port)
            try:
                transport.write(frame, address)
            except OSError as error:
                # The next round brings the same news.
                detail = f"{router.name}: {error}"
                self._log.emit(Event.NEWS_NOT_SENT, detail=detail)
                continue
            self._bytes_out += len(frame)


class RouterRegistry(WatchListener):
    """Lists this router in the store and follows the list of the others.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the router.
    incarnation : int
        Number of this incarnation of the process.
    news : StateExchange
        Told of the other routers.
    parts : EntryDependencies
        What the router is built with.
    """

    def __init__(
        self,
        settings: EntrySettings,
        incarnation: int,
        news: StateExchange,
        parts: EntryDependencies,
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._news = news
        self._parts = parts
        self._is_announcing = False
        self._is_stopped = False
        self._has_list = False
        self._was_listed = False
        self._links = settings.links
        self._spoiled: bytes | None = None
        self._refused = RefusedRecords(RecordKind.ROUTER, parts.log, parts.metrics)

    @property
    def routers(self) -> int | None:
        """Return how many routers are listed; None before the list came."""
        return len(self._news.others) + 1 if self._has_list else None

    @property
    def was_listed(self) -> bool:
        """Tell whether this router's name was on the first list that it read."""
        return self._was_listed

    def start(self, links: Endpoint) -> None:
        """List this router.

        Parameters
        ----------
        links : Endpoint
            Where it takes news.
        """
        self._links = links
        self._announce()

    @inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Take this router off the list."""
        self._is_stopped = True
        try:
            yield self._parts.platform.announce(
                self._entry(self._settings.name, gone=True)
            )
        except PlatformError as error:
            # The entry stays; the others stop to rely on this router anyway.
            self._parts.log.emit(Event.ANNOUNCE_FAILED, detail=str(error))

    def replaced(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Take in the whole list; see `WatchListener.replaced`."""
        names = {stored.name for stored in objects if not stored.is_deleted}
        if not self._has_list:
            self._was_listed = self._settings.name in names
        self._has_list = True
        self._refused.keep(stored.key for stored in objects)
        for stored in objects:
            self._take(stored)
        for router in self._news.others:
            if router.name not in names:
                self._news.remove(router.name)
        if self._settings.name not in names:
            self._announce()

    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Take in changed entries; see `WatchListener.changed`."""
        for stored in objects:
            self._take(stored)
            if stored.is_deleted and stored.name == self._settings.name:
                self._announce()

    def remove_silent(self, now: float) -> None:
        """Take routers off the list that are gone for good.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if not self._news.polls_store(now):
            return
        for name in self._news.unheard(now):
            self._news.remove(name)
            gone = self._parts.platform.announce(self._entry(name, gone=True))
            gone.addErrback(self._not_forgotten)

    def _not_forgotten(self, failure: Failure) -> None:
        failure.trap(PlatformError)
        detail = failure.getErrorMessage()
        self._parts.log.emit(Event.ANNOUNCE_FAILED, detail=detail)

    def failed(self, error: PlatformError) -> None:
        """Do nothing: the watch of the configuration logs outages."""

    def _take(self, stored: StoredObject) -> None:
        if stored.is_deleted:
            self._refused.settle(stored.key)
            self._news.remove(stored.name)
            return
        try:
            router = self._parts.decoder.router(stored)
        except UnreadableRecordError as error:
            # What was known of the router holds, so that its part of shared
            # budgets is not given away; silence ends that.
            self._refused.refuse(stored, error)
            if stored.name == self._settings.name:
                self._mend(stored)
            return
        self._refused.settle(stored.key)
        if router.name == self._settings.name:
            self._spoiled = None
        self._news.put(router, self._parts.reactor.seconds())

    def _mend(self, stored: StoredObject) -> None:
        """Write this router's entry again that somebody spoiled.

        The same content twice in a row is what it wrote itself, which writing
        would not mend.
        """
        if stored.value != self._spoiled:
            self._spoiled = stored.value
            self._announce()

    @inlineCallbacks
    def _announce(self) -> Generator[Any, Any, None]:
        """Write this router's entry until the store has taken it."""
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
                yield deferLater(self._parts.reactor, ANNOUNCE_PAUSE, lambda: None)
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
