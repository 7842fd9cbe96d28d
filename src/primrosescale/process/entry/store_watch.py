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
FIRST_PAUSE = 0.1
LONGEST_PAUSE = 0.5
GROWTH = 1.5
# The same of a watch that leaves asking to another one, which wakes it.
LEFT_PAUSE = 4.0
# Pause after a fault of this program's own, which reading anew may not mend.
FAULT_PAUSE = 1.0
# A change answers the watches of all routers at once; drawing each wait anew
# keeps their next questions apart, so that one of them is always recent.
LEAST_WAIT_SHARE = 0.6


class WatchListener(ABC):
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
    handler : WatchListener
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
    leaves_asking : Callable[[], bool]
        Returns whether another watch asks a store that does not answer, and
        renews this one when it does: three that ask through an outage cost three
        times as much and know it no sooner.
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
        leaves_asking: Callable[[], bool] = lambda: False,
    ) -> None:
        self._wait = wait
        self._leaves_asking = leaves_asking
        self._on_fault = on_fault
        self._platform = platform
        self._watched = watched
        self._handler = handler
        self._reactor = reactor
        self._rng = rng
        self._is_stopped = False
        self._since = 0
        self._asked: Deferred[WatchResult] | None = None
        self._resting: Deferred[None] | None = None

    @property
    def revision(self) -> int:
        """Return up to which revision of the store all changes are known."""
        return self._since

    def stop(self) -> None:
        """Follow no more; the question that waits is withdrawn, not lost."""
        self._is_stopped = True
        self.renew()

    def renew(self) -> None:
        """Ask again at once: the question that waits may never be answered."""
        asked, self._asked = self._asked, None
        if asked is not None:
            asked.cancel()
        if self._resting is not None:
            self._resting.cancel()

    @inlineCallbacks
    def run(self) -> Generator[Any, Any, None]:
        """Follow changes until stopped, whatever is met on the way."""
        while not self._is_stopped:
            try:
                yield self._follow()
            except Exception:  # noqa: BLE001 - a watch that ends is missed by nobody
                self._on_fault(Failure())
                # What was taken in by half is read anew.
                self._since = 0
                yield self._sleep(FAULT_PAUSE)

    @inlineCallbacks
    def _follow(self) -> Generator[Any, Any, None]:
        """Follow changes until stopped or something unexpected is raised."""
        pause = FIRST_PAUSE
        while not self._is_stopped:
            asked_at = self._reactor.seconds()
            try:
                wait = self._wait() if self._wait is not None else self._watched.wait
                wait *= self._rng.uniform(LEAST_WAIT_SHARE, 1.0)
                found = yield self._ask(wait)
            except PlatformHistoryGoneError as error:
                self._handler.failed(error)
                self._since = 0
                continue
            except PlatformError as error:
                self._handler.failed(error)
                if self._watched.reads_after_failure:
                    self._since = 0
                yield self._rest(LEFT_PAUSE if self._leaves_asking() else pause)
                pause = min(LONGEST_PAUSE, pause * GROWTH)
                continue
            if found is None:
                continue
            pause = FIRST_PAUSE
            is_change = bool(self._since)
            self._since = found.revision
            tell = self._handler.changed if is_change else self._handler.replaced
            tell(found.changes, asked_at)
            is_worth_sharing = is_change and bool(found.changes)
            if is_worth_sharing and self._watched.rest:
                yield deferLater(self._reactor, self._watched.rest, lambda: None)

    @inlineCallbacks
    def _ask(self, wait: float) -> Generator[Any, Any, WatchResult | None]:
        """Return what the store answers; None when the question was renewed."""
        asked = self._platform.watch(self._watched.prefix, self._since, wait)
        self._asked = asked
        try:
            found: WatchResult = yield asked
        except (CancelledError, PlatformError):
            # A store may tell a cancelled question as a failure of its own.
            if self._asked is asked:
                raise
            return None
        finally:
            if self._asked is asked:
                self._asked = None
        return found

    @inlineCallbacks
    def _rest(self, seconds: float) -> Generator[Any, Any, None]:
        """Wait after a failed question, until it is renewed at the longest."""
        self._resting = self._sleep(seconds)
        try:
            yield self._resting
        except CancelledError:
            pass
        finally:
            self._resting = None

    def _sleep(self, seconds: float) -> Any:
        drawn = seconds * self._rng.uniform(0.5, 1.0)
        return deferLater(self._reactor, drawn, lambda: None)
