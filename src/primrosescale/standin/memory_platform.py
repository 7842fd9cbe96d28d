"""The platform interface on an object store in memory, without a network."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.transport.platform import HostList
from primrosescale.process.transport.platform import Platform
from primrosescale.process.transport.platform import StoredObject
from primrosescale.process.transport.platform import WatchResult

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Clock
    from primrosescale.connection.wire.ttypes import HostEntry
    from primrosescale.standin.object_store import ObjectStore

WATCH_POLL_SECONDS = 0.05


class MemoryPlatform(Platform):
    """Performs calls on an object store in memory, after the store's latency.

    Parameters
    ----------
    store : ObjectStore
        The object store.
    clock : Clock
        Source of time and timers.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    @property
    def store(self) -> ObjectStore:
        """Return the object store."""
        return self._store

    def get(self, key: str) -> Deferred[StoredObject | None]:
        """Read an object; see `Platform.get`."""
        return self._call_after_latency(lambda: self._store.get(key, self._now()))

    def put(self, key: str, value: bytes, expected: int) -> Deferred[int]:
        """Write an object; see `Platform.put`."""
        return self._call_after_latency(
            lambda: self._store.put(key, value, expected, self._now()),
            is_write=True,
        )

    def delete(self, key: str) -> Deferred[None]:
        """Delete an object; see `Platform.delete`."""
        return self._call_after_latency(
            lambda: self._store.delete(key, self._now()), is_write=True
        )

    def list(self, prefix: str, after: str, limit: int) -> Deferred[list[StoredObject]]:
        """Read objects; see `Platform.list`."""
        return self._call_after_latency(
            lambda: self._store.list(prefix, after, limit, self._now())
        )

    def watch(self, prefix: str, since: int, wait: float) -> Deferred[WatchResult]:
        """Wait for a change; see `Platform.watch`."""
        result: Deferred[WatchResult] = Deferred()
        try:
            self._store.begin_watch(self._now())
        except PlatformError:
            self._clock.callLater(
                self._store.settings.latency, result.errback, Failure()
            )
            return result
        self._poll(result, prefix, since, self._now() + wait)
        return result

    def hosts(self, since: int) -> Deferred[HostList]:
        """Read the list of hosts; see `Platform.hosts`."""
        return self._call_after_latency(lambda: self._store.hosts(since, self._now()))

    def announce(self, entry: HostEntry) -> Deferred[None]:
        """Put a host on the list; see `Platform.announce`."""
        return self._call_after_latency(
            lambda: self._store.announce(entry, self._now()),
            is_write=True,
        )

    def _poll(
        self,
        result: Deferred[WatchResult],
        prefix: str,
        since: int,
        until: float,
    ) -> None:
        found = self._store.changes(prefix, since)
        if found.changes or self._now() >= until:
            result.callback(found)
            return
        self._clock.callLater(
            WATCH_POLL_SECONDS, self._poll, result, prefix, since, until
        )

    def _now(self) -> float:
        return self._clock.seconds()

    def _call_after_latency(
        self, operation: Callable[[], Any], *, is_write: bool = False
    ) -> Deferred[Any]:
        result: Deferred[Any] = Deferred()
        half_latency = self._store.settings.latency / 2
        self._clock.callLater(
            half_latency, self._run_operation, operation, result, is_write, half_latency
        )
        return result

    def _run_operation(
        self,
        operation: Callable[[], Any],
        result: Deferred[Any],
        is_write: bool,
        half_latency: float,
    ) -> None:
        try:
            value = operation()
        except PlatformError:
            self._clock.callLater(half_latency, result.errback, Failure())
            return
        settings = self._store.settings
        if is_write and settings.lost_answers > 0:
            settings.lost_answers -= 1
            lost = Failure(PlatformAnswerLostError("lost by the stand-in's settings"))
            self._clock.callLater(half_latency, result.errback, lost)
            return
        self._clock.callLater(half_latency, result.callback, value)
