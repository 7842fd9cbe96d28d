"""Records of the store that cannot be decoded: logged once per change, and counted."""

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
    """What a record of the store describes; the value is its name in logs."""

    TARGET = "target"
    ROUTER = "router"
    CONFIGURATION = "configuration"
    EVACUATION = "evacuation"


_EVENTS = {
    RecordKind.TARGET: Event.TARGET_REFUSED,
    RecordKind.ROUTER: Event.ROUTER_REFUSED,
    RecordKind.CONFIGURATION: Event.TABLE_REFUSED,
    RecordKind.EVACUATION: Event.EVACUATION_REFUSED,
}


class RefusedRecords:
    """The records of one kind that cannot be decoded in their present state.

    A record that is read repeatedly without a change is logged once.

    Parameters
    ----------
    kind : RecordKind
        What the records describe.
    log : Any
        Log for events.
    metrics : EntryMetrics
        Metrics in which refusals are counted.
    """

    __slots__ = ("_kind", "_log", "_metrics", "_refused")

    def __init__(self, kind: RecordKind, log: Any, metrics: EntryMetrics) -> None:
        self._kind = kind
        self._log = log
        self._metrics = metrics
        # By key: version and hash of the refused record.
        self._refused: dict[str, tuple[int, int]] = {}

    def __len__(self) -> int:
        """Return how many records cannot be decoded at present."""
        return len(self._refused)

    def refuse(self, stored: StoredObject, error: UnreadableRecordError) -> None:
        """Record that a record cannot be decoded.

        Parameters
        ----------
        stored : StoredObject
            The record.
        error : UnreadableRecordError
            The reason.
        """
        content_key = (stored.version, hash(stored.value))
        if self._refused.get(stored.key) == content_key:
            return
        self._refused[stored.key] = content_key
        self._metrics.record_refused(self._kind.value)
        self._update_metric()
        details = {
            self._kind.value: escape_for_log(stored.name),
            "field": escape_for_log(error.field),
            "reason": escape_for_log(error.reason),
            "remedy": error.remedy,
        }
        self._log.emit(_EVENTS[self._kind], **details)

    def clear(self, key: str) -> bool:
        """Record that a record can be decoded again, or is gone.

        Parameters
        ----------
        key : str
            Its key.

        Returns
        -------
        bool
            Whether it could not be decoded until now.
        """
        if self._refused.pop(key, None) is None:
            return False
        self._update_metric()
        return True

    def retain_only(self, keys: Iterable[str]) -> None:
        """Drop records that no longer exist.

        Parameters
        ----------
        keys : Iterable[str]
            All existing keys of the kind.
        """
        for key in self._refused.keys() - set(keys):
            self.clear(key)

    def _update_metric(self) -> None:
        self._metrics.unreadable_records(self._kind.value, len(self._refused))
