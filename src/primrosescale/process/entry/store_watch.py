"""Watches objects of the platform's store, through outages and faults of the store."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import CancelledError
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from primrosescale.process.exceptions import PlatformError
from primrosescale.process.exceptions import PlatformHistoryGoneError

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Generator
    from random import Random

    from primrosescale.process.transport.platform import Platform
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.process.transport.platform import WatchResult

# Pause after a failed request, growing by half up to the maximum. During an outage each
# router polls the store two or three times a second. That detects the end of the outage
# soon enough for a bound of 2 s; with four routers it is a thousandth of the store's
# request rate.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.5
PAUSE_GROWTH = 1.5
# The same for a watch that leaves polling to another one, which renews it.
DEFERRED_PAUSE_SECONDS = 4.0
# Pause after a fault of this program itself, which reading again may not fix.
FAULT_PAUSE_SECONDS = 1.0
# A change answers the watches of all routers at once. Drawing each wait at random keeps
# their next requests apart, so that one of them is always recent.
MIN_WAIT_SHARE = 0.6


class WatchListener(ABC):
    """Receives the results of a watch."""

    @abstractmethod
    def replaced(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Handle a complete listing of the objects.

        Parameters
        ----------
        objects : tuple[StoredObject, ...]
            All objects.
        asked_at : float
            When the request was sent, in seconds.
        """

    @abstractmethod
    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Handle changes, of which there may be none.

        Parameters
        ----------
        objects : tuple[StoredObject, ...]
            Changed objects.
        asked_at : float
            When the request was sent, in seconds.
        """

    @abstractmethod
    def failed(self, error: PlatformError) -> None:
        """Handle a failed request to the store.

        Parameters
        ----------
        error : PlatformError
            The reason.
        """


@dataclass(frozen=True, slots=True)
class WatchedPrefix:
    """What to watch, and how long each request may wait.

    Parameters
    ----------
    prefix : str
        What the objects' names begin with.
    wait : float
        Seconds that the store may hold a request open while nothing changes.
    longest_wait : float
        The same while other routers poll often.
    rest : float
        Seconds between a change and the next request, so that changes that arrive
        together are read together. The time that a large answer takes to read counts
        as part of them.
    reads_after_failure : bool
        Whether all objects are read after a failed request. Such a read is answered
        at once, whereas a watch may be held open by a store that has not caught up.
        Suitable for prefixes with few objects.
    """

    prefix: str
    wait: float
    longest_wait: float = 0.0
    rest: float = 0.0
    reads_after_failure: bool = False


class StoreWatch:
    """Reads all objects below a prefix, then follows their changes.

    Parameters
    ----------
    platform : Platform
        The store.
    watched : WatchedPrefix
        What to watch.
    handler : WatchListener
        Receives the results.
    reactor : Any
        Twisted's reactor.
    rng : Random
        Source of randomness for pauses.
    on_fault : Callable[[Failure], None]
        Called with unexpected exceptions; the watch continues.
    wait : Callable[[], float] | None
        Returns the seconds that the store may hold the next request open; None for
        the value in `watched`.
    defers_polling : Callable[[], bool]
        Returns whether another watch polls a store that does not answer, and renews
        this one when the store answers again: three watches that poll through an
        outage cost three times as much and detect its end no sooner.
    """

    def __init__(
        self,
        platform: Platform,
        watched: WatchedPrefix,
        handler: WatchListener,
        reactor: Any,
        rng: Random,
        on_fault: Callable[[Failure], None],
        wait: Callable[[], float] | None = None,
        defers_polling: Callable[[], bool] = lambda: False,
    ) -> None:
        self._wait = wait
        self._defers_polling = defers_polling
        self._on_fault = on_fault
        self._platform = platform
        self._watched = watched
        self._handler = handler
        self._reactor = reactor
        self._rng = rng
        self._is_stopped = False
        self._revision = 0
        self._pending_poll: Deferred[WatchResult] | None = None
        self._pausing: Deferred[None] | None = None

    @property
    def revision(self) -> int:
        """Return up to which revision of the store all changes are known."""
        return self._revision

    def stop(self) -> None:
        """Stop watching; the pending request is cancelled, not reported as failed."""
        self._is_stopped = True
        self.renew()

    def renew(self) -> None:
        """Send a new request at once, since the pending one may never be answered."""
        pending, self._pending_poll = self._pending_poll, None
        if pending is not None:
            pending.cancel()
        if self._pausing is not None:
            self._pausing.cancel()

    @inlineCallbacks
    def run(self) -> Generator[Any, Any, None]:
        """Follow changes until stopped, and resume after faults."""
        while not self._is_stopped:
            try:
                yield self._follow()
            except Exception:  # noqa: BLE001 - nobody would notice that a watch ended
                self._on_fault(Failure())
                # What was applied only in part is read again.
                self._revision = 0
                yield self._sleep(FAULT_PAUSE_SECONDS)

    @inlineCallbacks
    def _follow(self) -> Generator[Any, Any, None]:
        """Follow changes until stopped or an unexpected exception is raised."""
        pause = MIN_PAUSE_SECONDS
        while not self._is_stopped:
            asked_at = self._reactor.seconds()
            try:
                wait = self._wait() if self._wait is not None else self._watched.wait
                wait *= self._rng.uniform(MIN_WAIT_SHARE, 1.0)
                found = yield self._poll(wait)
            except PlatformHistoryGoneError as error:
                self._handler.failed(error)
                self._revision = 0
                continue
            except PlatformError as error:
                self._handler.failed(error)
                if self._watched.reads_after_failure:
                    self._revision = 0
                yield self._pause(
                    DEFERRED_PAUSE_SECONDS if self._defers_polling() else pause
                )
                pause = min(MAX_PAUSE_SECONDS, pause * PAUSE_GROWTH)
                continue
            if found is None:
                continue
            pause = MIN_PAUSE_SECONDS
            is_change = bool(self._revision)
            self._revision = found.revision
            notify = self._handler.changed if is_change else self._handler.replaced
            notify(found.changes, asked_at)
            has_changes = is_change and bool(found.changes)
            rest = self._watched.rest - found.read_seconds
            if has_changes and rest > 0:
                yield deferLater(self._reactor, rest, lambda: None)

    @inlineCallbacks
    def _poll(self, wait: float) -> Generator[Any, Any, WatchResult | None]:
        """Return the store's answer; None if the request was cancelled or renewed."""
        pending = self._platform.watch(self._watched.prefix, self._revision, wait)
        self._pending_poll = pending
        try:
            found: WatchResult = yield pending
        except (CancelledError, PlatformError):
            # A store may report a cancelled request as a failure of its own.
            if self._pending_poll is pending:
                raise
            return None
        finally:
            if self._pending_poll is pending:
                self._pending_poll = None
        return found

    @inlineCallbacks
    def _pause(self, seconds: float) -> Generator[Any, Any, None]:
        """Wait after a failed request, at most until the watch is renewed."""
        self._pausing = self._sleep(seconds)
        try:
            yield self._pausing
        except CancelledError:
            pass
        finally:
            self._pausing = None

    def _sleep(self, seconds: float) -> Any:
        drawn = seconds * self._rng.uniform(0.5, 1.0)
        return deferLater(self._reactor, drawn, lambda: None)
