"""Interface of the platform's object store and host list, with its records."""

from __future__ import annotations

import json
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.transport.read_pacing import DEFAULT_MAX_PACED_SECONDS

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from primrosescale.connection.wire.ttypes import HostEntry

MUST_NOT_EXIST = 0
MAX_VALUE_BYTES = 1_000_000


class StoredObject:
    """A versioned object of the platform's store.

    Parameters
    ----------
    key : str
        Its name.
    version : int
        Version number, increased by each update.
    value : bytes | None
        Its content, at most 1 MB; None if only `fields` is given.
    is_deleted : bool
        Whether a watch reported it as deleted.
    fields : Any
        Its decoded content, if known; otherwise None.
    """

    __slots__ = ("_fields", "_is_deleted", "_key", "_value", "_version")

    def __init__(
        self,
        key: str,
        version: int,
        value: bytes | None,
        is_deleted: bool = False,  # noqa: FBT002 - like the fields of the store's answers
        fields: Any = None,
    ) -> None:
        self._key = key
        self._version = version
        self._value = value
        self._is_deleted = is_deleted
        self._fields = fields

    def __eq__(self, other: object) -> bool:
        """Return whether key, version, content and deletion mark are equal."""
        if not isinstance(other, StoredObject):
            return NotImplemented
        return self._comparison_key() == other._comparison_key()

    def __hash__(self) -> int:
        """Return a hash consistent with equality."""
        return hash(self._comparison_key())

    def __repr__(self) -> str:
        """Return a representation for debugging."""
        return f"StoredObject{self._comparison_key()}"

    @property
    def key(self) -> str:
        """Return the object's name."""
        return self._key

    @property
    def version(self) -> int:
        """Return the version number, which each update increases."""
        return self._version

    @property
    def is_deleted(self) -> bool:
        """Return whether a watch reported it as deleted."""
        return self._is_deleted

    @property
    def fields(self) -> Any:
        """Return its decoded content, if known."""
        return self._fields

    @property
    def value(self) -> bytes:
        """Return its content; encoded from `fields` on first use if needed."""
        if self._value is None:
            self._value = json.dumps(self._fields).encode()
        return self._value

    def _comparison_key(self) -> tuple[str, int, bytes, bool]:
        return (self._key, self._version, self.value, self._is_deleted)

    @property
    def name(self) -> str:
        """Return the part of the key after the first slash; empty if none."""
        return self.key.partition("/")[2]


@dataclass(frozen=True, slots=True)
class WatchResult:
    """The changes of objects below a prefix.

    Parameters
    ----------
    revision : int
        Revision from which to continue watching.
    changes : tuple[StoredObject, ...]
        The changed objects in their current state.
    read_seconds : float
        Seconds that reading the answer took; 0 for a small one.
    """

    revision: int
    changes: tuple[StoredObject, ...]
    read_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of hosts, or the changes to it.

    Parameters
    ----------
    version : int
        Version of the list.
    is_full : bool
        Whether the entries are the complete list.
    entries : tuple[HostEntry, ...]
        The entries; those with ``gone`` set have left.
    unreadable : tuple[str, ...]
        Descriptions of the errors in entries that could not be parsed.
    """

    version: int
    is_full: bool
    entries: tuple[HostEntry, ...]
    unreadable: tuple[str, ...] = ()


class Platform(ABC):
    """Interface of the platform's service.

    Every method may fail with `PlatformUnavailableError` (nothing was changed);
    a write may also fail with `PlatformAnswerLostError` (it may have taken
    effect).
    """

    @property
    def is_receiving(self) -> bool:
        """Return whether a large answer is being received."""
        return False

    def pace_reads(  # noqa: B027 - optional
        self,
        link_rate: float | None,
        max_seconds: float = DEFAULT_MAX_PACED_SECONDS,
    ) -> None:
        """Read large answers with pauses, where the platform is reached over a link.

        Parameters
        ----------
        link_rate : float | None
            Rate of the link in bytes a second; None to read without pauses.
        max_seconds : float
            Seconds after which the rest of an answer is read without pauses.
        """

    @abstractmethod
    def get(self, key: str) -> Deferred[StoredObject | None]:
        """Read an object.

        Parameters
        ----------
        key : str
            Its name.

        Returns
        -------
        Deferred[StoredObject | None]
            The object; None if it does not exist.
        """

    @abstractmethod
    def put(self, key: str, value: bytes, expected: int) -> Deferred[int]:
        """Write an object if its version is the expected one.

        Parameters
        ----------
        key : str
            Its name.
        value : bytes
            Its new content.
        expected : int
            Version that it must have; `MUST_NOT_EXIST` to create it.

        Returns
        -------
        Deferred[int]
            Its new version; fails with `PlatformConflictError` or
            `PlatformLimitError`.
        """

    @abstractmethod
    def delete(self, key: str) -> Deferred[None]:
        """Delete an object; a missing object is not an error.

        Parameters
        ----------
        key : str
            Its name.

        Returns
        -------
        Deferred[None]
            Fires when it is deleted.
        """

    @abstractmethod
    def list(self, prefix: str, after: str, limit: int) -> Deferred[list[StoredObject]]:
        """List objects in the order of their names.

        Parameters
        ----------
        prefix : str
            Prefix of their names.
        after : str
            Name after which the listing begins; empty to begin at the first.
        limit : int
            Maximum number of objects.

        Returns
        -------
        Deferred[list[StoredObject]]
            The objects.
        """

    @abstractmethod
    def watch(self, prefix: str, since: int, wait: float) -> Deferred[WatchResult]:
        """Wait for a change below a prefix.

        Parameters
        ----------
        prefix : str
            Prefix of the objects' names.
        since : int
            Revision after which changes are reported; 0 for all objects at once.
        wait : float
            Maximum seconds to wait.

        Returns
        -------
        Deferred[WatchResult]
            The changes; empty if there were none in time. Fails with
            `PlatformHistoryGoneError` if the changes are no longer kept.
        """

    @abstractmethod
    def hosts(self, since: int) -> Deferred[HostList]:
        """Read the list of hosts, which may lag behind the actual state.

        Parameters
        ----------
        since : int
            Version of the list that the caller has; 0 for none.

        Returns
        -------
        Deferred[HostList]
            The changes since then, or the complete list if they are not known.
        """

    @abstractmethod
    def announce(self, entry: HostEntry) -> Deferred[None]:
        """Write a host to the list, or mark it as leaving or gone.

        Parameters
        ----------
        entry : HostEntry
            The host.

        Returns
        -------
        Deferred[None]
            Fires when the platform has stored it.
        """
