"""Entries of the store that cannot be read: told once a change, and counted."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.events import Event
from primrosescale.process.log_text import escape_for_log

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.process.entry.entry_metrics import EntryMetrics
    from primrosescale.process.exceptions import UnreadableRecordError
    from primrosescale.process.transport.platform import StoredObject


class RecordKind(Enum):
    """What a record of the store describes; the value names it in logs."""

    TARGET = "target"
    ROUTER = "router"
    CONFIGURATION = "configuration"


_EVENTS = {
    RecordKind.TARGET: Event.TARGET_REFUSED,
    RecordKind.ROUTER: Event.ROUTER_REFUSED,
    RecordKind.CONFIGURATION: Event.TABLE_REFUSED,
}


class RefusedRecords:
    """The records of a kind that cannot be read as they stand now.

    A record that is read again and again unchanged is told of once.

    Parameters
    ----------
    kind : RecordKind
        What the records describe.
    log : Any
        Where events are told.
    metrics : EntryMetrics
        Where refusals are counted.
    """

    __slots__ = ("_kind", "_log", "_metrics", "_standing")

    def __init__(self, kind: RecordKind, log: Any, metrics: EntryMetrics) -> None:
        self._kind = kind
        self._log = log
        self._metrics = metrics
        # By key, what the refused record looked like.
        self._standing: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        """Return how many records cannot be read now."""
        return len(self._standing)

    def refuse(self, stored: StoredObject, error: UnreadableRecordError) -> None:
        """Take in that a record cannot be read.

        Parameters
        ----------
        stored : StoredObject
            The record.
        error : UnreadableRecordError
            Why.
        """
        look = (stored.version, hash(stored.value))
        if self._standing.get(stored.key) == look:
            return
        self._standing[stored.key] = look
        self._metrics.record_refused(self._kind.value)
        self._told()
        said = {
            self._kind.value: escape_for_log(stored.name),
            "field": escape_for_log(error.field),
            "reason": escape_for_log(error.reason),
            "remedy": error.remedy,
        }
        self._log.emit(_EVENTS[self._kind], **said)

    def settle(self, key: str) -> bool:
        """Take in that a record can be read, or is gone.

        Parameters
        ----------
        key : str
            Its key.

        Returns
        -------
        bool
            Whether it could not be read until now.
        """
        if self._standing.pop(key, None) is None:
            return False
        self._told()
        return True

    def keep(self, keys: Iterable[str]) -> None:
        """Take in which records there are at all.

        Parameters
        ----------
        keys : Iterable[str]
            All keys of the kind.
        """
        for key in self._standing.keys() - set(keys):
            self.settle(key)

    def _told(self) -> None:
        self._metrics.unreadable_records(self._kind.value, len(self._standing))
