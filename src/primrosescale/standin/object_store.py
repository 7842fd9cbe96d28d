"""The object store and host list of the stand-in platform, with limits and faults."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformLimitError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.platform import MAX_VALUE_BYTES
from primrosescale.process.transport.platform import HostList
from primrosescale.process.transport.platform import StoredObject
from primrosescale.process.transport.platform import WatchResult

if TYPE_CHECKING:
    from primrosescale.connection.wire.ttypes import HostEntry

MAX_HOST_CHANGES = 2000


@dataclass(slots=True)
class StoreSettings:
    """Limits and faults of the store; all may be changed while it runs.

    Parameters
    ----------
    writes_per_second : float
        Writes accepted per second.
    reads_per_second : float
        Reads accepted per second; a watch counts as one.
    latency : float
        Seconds from a call to its answer.
    is_down : bool
        Whether it refuses every call.
    lost_answers : int
        Number of coming writes that take effect while their answer is lost.
    host_lag : float
        Seconds until an announced host shows on the list of hosts.
    """

    writes_per_second: float = 400.0
    reads_per_second: float = 2000.0
    latency: float = 0.002
    is_down: bool = False
    lost_answers: int = 0
    host_lag: float = 0.0


class TokenBucket:
    """A token bucket whose burst is one second of its rate.

    Parameters
    ----------
    now : float
        Present time in seconds.
    """

    def __init__(self, now: float) -> None:
        self._tokens: float | None = None
        self._updated_at = now

    def take(self, rate: float, now: float) -> bool:
        """Take one token.

        Parameters
        ----------
        rate : float
            Tokens added per second, and the bucket's capacity.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False when no token is left.
        """
        held = rate if self._tokens is None else self._tokens
        held = min(rate, held + (now - self._updated_at) * rate)
        self._updated_at = now
        self._tokens = held
        if held < 1.0:
            return False
        self._tokens = held - 1.0
        return True


@dataclass(frozen=True, slots=True)
class _HostChange:
    """One change of the list of hosts and the time from which it is visible."""

    version: int
    visible_at: float
    entry: HostEntry


class ObjectStore:
    """Objects with versions, conditional updates and a lagging host list.

    Parameters
    ----------
    settings : StoreSettings
        Limits and faults.
    now : float
        Present time in seconds.
    """

    def __init__(self, settings: StoreSettings, now: float = 0.0) -> None:
        self._settings = settings
        self._objects: dict[str, StoredObject] = {}
        self._revision = 0
        self._reads = TokenBucket(now)
        self._writes = TokenBucket(now)
        self._host_changes: list[_HostChange] = []
        self._host_version = 0
        # Entries of another writer, served beside the announced hosts.
        self.foreign_hosts: list[Any] = []
        self._read_count = 0
        self._write_count = 0

    @property
    def settings(self) -> StoreSettings:
        """Return the limits and faults, to be changed in place."""
        return self._settings

    @property
    def revision(self) -> int:
        """Return the revision of the last change."""
        return self._revision

    @property
    def read_count(self) -> int:
        """Return the number of reads accepted so far."""
        return self._read_count

    @property
    def write_count(self) -> int:
        """Return the number of writes accepted so far."""
        return self._write_count

    def get(self, key: str, now: float) -> StoredObject | None:
        """Read an object.

        Parameters
        ----------
        key : str
            The object's key.
        now : float
            Present time in seconds.

        Returns
        -------
        StoredObject | None
            The object; None when it does not exist.
        """
        self._count_read(now)
        return self._objects.get(key)

    def put(self, key: str, value: bytes, expected: int, now: float) -> int:
        """Write an object if it still has an expected version.

        Parameters
        ----------
        key : str
            The object's key.
        value : bytes
            Its new content.
        expected : int
            Version that it must have; 0 to create it.
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Its new version.

        Raises
        ------
        PlatformConflictError
            When it has another version.
        PlatformLimitError
            When the value is too large.
        """
        self._count_write(now)
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformLimitError(key, len(value))
        found = self._objects.get(key)
        current = found.version if found is not None else 0
        if current != expected:
            raise PlatformConflictError(key, current)
        self._revision += 1
        self._objects[key] = StoredObject(key, self._revision, bytes(value))
        return self._revision

    def delete(self, key: str, now: float) -> None:
        """Delete an object.

        Parameters
        ----------
        key : str
            The object's key.
        now : float
            Present time in seconds.
        """
        self._count_write(now)
        if self._objects.pop(key, None) is not None:
            self._revision += 1

    def list(
        self, prefix: str, after: str, limit: int, now: float
    ) -> list[StoredObject]:
        """Read objects in the order of their keys.

        Parameters
        ----------
        prefix : str
            Prefix of their keys.
        after : str
            Key after which to begin.
        limit : int
            Maximum number of objects.
        now : float
            Present time in seconds.

        Returns
        -------
        list[StoredObject]
            The objects.
        """
        self._count_read(now)
        names = sorted(k for k in self._objects if k.startswith(prefix) and k > after)
        return [self._objects[name] for name in names[:limit]]

    def begin_watch(self, now: float) -> None:
        """Count a watch as a read.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._count_read(now)

    def changes(self, prefix: str, since: int) -> WatchResult:
        """Return the objects that changed below a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the objects' keys.
        since : int
            Revision after which changes count.

        Returns
        -------
        WatchResult
            Changed objects; empty when nothing changed.
        """
        found = [
            item
            for item in self._objects.values()
            if item.version > since and item.key.startswith(prefix)
        ]
        found.sort(key=lambda item: item.version)
        return WatchResult(self._revision, tuple(found))

    def announce(self, entry: HostEntry, now: float) -> None:
        """Add or update a host on the list; it is visible after the lag.

        Parameters
        ----------
        entry : HostEntry
            The host's entry.
        now : float
            Present time in seconds.
        """
        self._count_write(now)
        self._host_version += 1
        entry.version = self._host_version
        visible_at = now + self._settings.host_lag
        self._host_changes.append(_HostChange(self._host_version, visible_at, entry))

    def hosts(self, since: int, now: float) -> HostList:
        """Return the visible changes of the list of hosts.

        Parameters
        ----------
        since : int
            Version that the caller has.
        now : float
            Present time in seconds.

        Returns
        -------
        HostList
            Changes since that version, or the whole list.
        """
        self._count_read(now)
        visible = [c for c in self._host_changes if c.visible_at <= now]
        version = visible[-1].version if visible else 0
        is_full = since == 0 or version - since > MAX_HOST_CHANGES
        latest: dict[str, HostEntry] = {}
        for change in visible:
            if is_full or change.version > since:
                latest[change.entry.name] = change.entry
        entries = tuple(e for e in latest.values() if not (is_full and e.gone))
        return HostList(version, is_full, entries)

    def _count_read(self, now: float) -> None:
        self._refuse_when_down()
        if not self._reads.take(self._settings.reads_per_second, now):
            raise PlatformUnavailableError("too many reads")
        self._read_count += 1

    def _count_write(self, now: float) -> None:
        self._refuse_when_down()
        if not self._writes.take(self._settings.writes_per_second, now):
            raise PlatformUnavailableError("too many writes")
        self._write_count += 1

    def _refuse_when_down(self) -> None:
        if self._settings.is_down:
            raise PlatformUnavailableError("outage")
