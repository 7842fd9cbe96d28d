"""Following objects of the platform's store, whatever becomes of the store."""

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

# Pause after a failed call, growing by half to the most. An outage is asked
# through two or three times a second, which finds its end soon enough for a
# bound of 2 s and is a thousandth of the store's rate for four routers.
MIN_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 0.5
PAUSE_GROWTH = 1.5
# The same of a watch that leaves asking to another one, which wakes it.
DEFERRED_PAUSE_SECONDS = 4.0
# Pause after a fault of this program's own, which reading anew may not mend.
FAULT_PAUSE_SECONDS = 1.0
# A change answers the watches of all routers at once; drawing each wait anew
# keeps their next questions apart, so that one of them is always recent.
MIN_WAIT_SHARE = 0.6


class WatchHandler(ABC):
    """Told of what a watch finds."""

    @abstractmethod
    def replaced(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Handle all objects at once.

        Parameters
        ----------
        objects : tuple[StoredObject, ...]
            All objects.
        asked_at : float
            When the question was sent, in seconds.
        """

    @abstractmethod
    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Handle changes, which may be none.

        Parameters
        ----------
        objects : tuple[StoredObject, ...]
            Changed objects.
        asked_at : float
            When the question was sent, in seconds.
        """

    @abstractmethod
    def failed(self, error: PlatformError) -> None:
        """Handle that the store could not be asked.

        Parameters
        ----------
        error : PlatformError
            Why.
        """


@dataclass(frozen=True, slots=True)
class WatchedPrefix:
    """What to watch.

    Parameters
    ----------
    prefix : str
        What the objects' names begin with.
    wait : float
        Seconds that the store may keep the question waiting.
    longest_wait : float
        The same while other routers ask often.
    rest : float
        Seconds after a change before the next question, so that changes that
        come together are read together.
    reads_after_failure : bool
        Whether all objects are read after a failed question. That is answered
        at once, while a watch may be kept waiting by a store that has not
        caught up; it suits prefixes with few objects.
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
        What to follow.
    handler : WatchHandler
        Told of what is found.
    reactor : Any
        Twisted's reactor.
    rng : Random
        Source of chance for pauses.
    on_fault : Callable[[Failure], None]
        Told of what should not have been raised; the watch goes on.
    wait : Callable[[], float] | None
        Returns the seconds that the store may keep the next question waiting;
        None for what `watched` says.
    defers_polling : Callable[[], bool]
        Returns whether another watch asks a store that does not answer, and
        renews this one when it does: three that ask through an outage cost three
        times as much and know it no sooner.
    """

    def __init__(
        self,
        platform: Platform,
        watched: WatchedPrefix,
        handler: WatchHandler,
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
        """Follow no more; the question that waits is withdrawn, not lost."""
        self._is_stopped = True
        self.renew()

    def renew(self) -> None:
        """Ask again at once: the question that waits may never be answered."""
        asked, self._pending_poll = self._pending_poll, None
        if asked is not None:
            asked.cancel()
        if self._pausing is not None:
            self._pausing.cancel()

    @inlineCallbacks
    def run(self) -> Generator[Any, Any, None]:
        """Follow changes until stopped, whatever is met on the way."""
        while not self._is_stopped:
            try:
                yield self._follow()
            except Exception:  # noqa: BLE001 - a watch that ends is missed by nobody
                self._on_fault(Failure())
                # What was taken in by half is read anew.
                self._revision = 0
                yield self._sleep(FAULT_PAUSE_SECONDS)

    @inlineCallbacks
    def _follow(self) -> Generator[Any, Any, None]:
        """Follow changes until stopped or something unexpected is raised."""
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
            tell = self._handler.changed if is_change else self._handler.replaced
            tell(found.changes, asked_at)
            is_news = is_change and bool(found.changes)
            if is_news and self._watched.rest:
                yield deferLater(self._reactor, self._watched.rest, lambda: None)

    @inlineCallbacks
    def _poll(self, wait: float) -> Generator[Any, Any, WatchResult | None]:
        """Return what the store answers; None when the question was renewed."""
        asked = self._platform.watch(self._watched.prefix, self._revision, wait)
        self._pending_poll = asked
        try:
            found: WatchResult = yield asked
        except (CancelledError, PlatformError):
            # A store may tell a cancelled question as a failure of its own.
            if self._pending_poll is asked:
                raise
            return None
        finally:
            if self._pending_poll is asked:
                self._pending_poll = None
        return found

    @inlineCallbacks
    def _pause(self, seconds: float) -> Generator[Any, Any, None]:
        """Wait after a failed question, until it is renewed at the longest."""
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
