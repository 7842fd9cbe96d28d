"""The platform's object API and host list, as the product uses them."""

from __future__ import annotations

import json
from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from primrosescale.connection.wire.ttypes import HostEntry

MUST_NOT_EXIST = 0
MAX_VALUE = 1_000_000


class StoredObject:
    """An object of the platform.

    Parameters
    ----------
    key : str
        Its name.
    version : int
        Raised by each update.
    value : bytes | None
        Its content, at most 1 MB; None where only its fields are known.
    is_deleted : bool
        Whether a watch tells that it is gone.
    fields : Any
        What its content says, where that was read already; None for not known.
    """

    __slots__ = ("_fields", "_is_deleted", "_key", "_value", "_version")

    def __init__(
        self,
        key: str,
        version: int,
        value: bytes | None,
        is_deleted: bool = False,  # noqa: FBT002 - as the store's answers have it
        fields: Any = None,
    ) -> None:
        self._key = key
        self._version = version
        self._value = value
        self._is_deleted = is_deleted
        self._fields = fields

    def __eq__(self, other: object) -> bool:
        """Tell whether another object is the same at the same version."""
        if not isinstance(other, StoredObject):
            return NotImplemented
        return self._comparison_key() == other._comparison_key()

    def __hash__(self) -> int:
        """Return a number that equal objects share."""
        return hash(self._comparison_key())

    def __repr__(self) -> str:
        """Return what it is, for people."""
        return f"StoredObject{self._comparison_key()}"

    @property
    def key(self) -> str:
        """Return its name."""
        return self._key

    @property
    def version(self) -> int:
        """Return the number that each update raises."""
        return self._version

    @property
    def is_deleted(self) -> bool:
        """Tell whether a watch says that it is gone."""
        return self._is_deleted

    @property
    def fields(self) -> Any:
        """Return what its content says, where that was read already."""
        return self._fields

    @property
    def value(self) -> bytes:
        """Return its content, written when it is first asked for."""
        if self._value is None:
            self._value = json.dumps(self._fields).encode()
        return self._value

    def _comparison_key(self) -> tuple[str, int, bytes, bool]:
        return (self._key, self._version, self.value, self._is_deleted)

    @property
    def name(self) -> str:
        """Return its name within its kind; empty when it has none."""
        return self.key.partition("/")[2]


@dataclass(frozen=True, slots=True)
class WatchResult:
    """What changed below a prefix.

    Parameters
    ----------
    revision : int
        Where to watch from next.
    changes : tuple[StoredObject, ...]
        Changed objects as they are now.
    """

    revision: int
    changes: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class HostList:
    """The platform's list of hosts, or what changed in it.

    Parameters
    ----------
    version : int
        Version of the list.
    is_full : bool
        Whether the entries are the whole list.
    entries : tuple[HostEntry, ...]
        The entries; those with ``gone`` set have left.
    unreadable : tuple[str, ...]
        What was wrong with entries that name no host to use.
    """

    version: int
    is_full: bool
    entries: tuple[HostEntry, ...]
    unreadable: tuple[str, ...] = ()


class Platform(ABC):
    """The platform's service.

    Every method may fail with `PlatformUnavailableError` (nothing changed),
    and a write also with `PlatformAnswerLostError` (it may have taken
    effect).
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
            The object, unless it does not exist.
        """

    @abstractmethod
    def put(self, key: str, value: bytes, expected: int) -> Deferred[int]:
        """Write an object if it is still at a version.

        Parameters
        ----------
        key : str
            Its name.
        value : bytes
            Its new content.
        expected : int
            Version it must have; `MUST_NOT_EXIST` to create it.

        Returns
        -------
        Deferred[int]
            Its new version; fails with `PlatformConflictError` or
            `PlatformLimitError`.
        """

    @abstractmethod
    def delete(self, key: str) -> Deferred[None]:
        """Delete an object; one that does not exist is no error.

        Parameters
        ----------
        key : str
            Its name.

        Returns
        -------
        Deferred[None]
            When it is gone.
        """

    @abstractmethod
    def list(self, prefix: str, after: str, limit: int) -> Deferred[list[StoredObject]]:
        """Read objects in the order of their names.

        Parameters
        ----------
        prefix : str
            What their names begin with.
        after : str
            Name after which to begin; empty for the first.
        limit : int
            How many at the most.

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
            What the objects' names begin with.
        since : int
            Revision after which changes count; 0 for all objects at once.
        wait : float
            Seconds to wait at the most.

        Returns
        -------
        Deferred[WatchResult]
            The changes; none when the time is over. Fails with
            `PlatformHistoryGoneError` when the changes are not kept so long.
        """

    @abstractmethod
    def hosts(self, since: int) -> Deferred[HostList]:
        """Read the list of hosts, which lags behind the truth.

        Parameters
        ----------
        since : int
            Version of the list that is known; 0 for none.

        Returns
        -------
        Deferred[HostList]
            What changed, or the whole list when that is not known.
        """

    @abstractmethod
    def announce(self, entry: HostEntry) -> Deferred[None]:
        """Put a host on the list, or mark it as leaving or gone.

        Parameters
        ----------
        entry : HostEntry
            The host.

        Returns
        -------
        Deferred[None]
            When the platform has taken it.
        """
