"""Keeps the list of targets in sync with the store."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.store_connection import StoreConnection
from primrosescale.process.entry.store_watch import WatchListener
from primrosescale.process.events import Event
from primrosescale.process.exceptions import UnreadableRecordError

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.process.entry.codec import RecordDecoder
    from primrosescale.process.entry.refused_records import RefusedRecords
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.process.exceptions import PlatformError
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.request.target.serving_target import ServingTarget
    from primrosescale.request.target.target_incarnation import TargetIncarnation


class TargetListSync(WatchListener):
    """Applies entries of the store's list of targets to a `TargetList`.

    Parameters
    ----------
    targets : TargetList
        Targets and their states.
    rest : float
        Seconds that the watch pauses after a change.
    decoder : RecordDecoder
        Decodes entries.
    refused : RefusedRecords
        Entries that cannot be decoded.
    log : Any
        Log for events.
    now : Callable[[], float]
        Returns the present time in seconds.
    on_list : Callable[[], None]
        Called when the whole list has been received.
    """

    def __init__(
        self,
        targets: TargetList,
        rest: float,
        decoder: RecordDecoder,
        refused: RefusedRecords,
        log: Any,
        now: Callable[[], float],
        on_list: Callable[[], None],
    ) -> None:
        self._targets = targets
        self._rest = rest
        self._decoder = decoder
        self._refused = refused
        self._log = log
        self._now = now
        self._on_list = on_list
        self._connection = StoreConnection("targets", log, now)
        self._is_complete = False
        self._revision = 0
        # By name: the revision of each entry and when that was first received here.
        self._first_seen: dict[str, tuple[int, float]] = {}

    @property
    def is_complete(self) -> bool:
        """Return whether the whole list has been received once."""
        return self._is_complete

    @property
    def revision(self) -> int:
        """Return the store's revision of the newest change of the list received here.

        It is 0 before the first change; receiving the whole list does not count.
        """
        return self._revision

    def replaced(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Apply the whole list; see `WatchListener.replaced`."""
        self._connection.record_success()
        now = self._now()
        listed = [item for item in objects if not item.is_deleted]
        self._refused.retain_only(item.key for item in listed)
        for item in listed:
            self._apply(item, now)
        names = {item.name for item in listed}
        for state in list(self._targets.states):
            if state.target.name not in names:
                self._remove(state.target.name, now)
        self._is_complete = True
        self._on_list()

    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Apply changed entries; see `WatchListener.changed`."""
        self._connection.record_success()
        now = self._now()
        for stored in objects:
            self._revision = max(self._revision, stored.version)
            if stored.is_deleted:
                self._refused.clear(stored.key)
                self._remove(stored.name, now)
            else:
                self._apply(stored, now)

    def failed(self, error: PlatformError) -> None:
        """Record a failed request to the store; see `WatchListener.failed`."""
        self._connection.record_failure(error)

    def forget_expired(self, now: float) -> list[TargetIncarnation]:
        """Forget targets whose entry has not returned.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[TargetIncarnation]
            Their last known incarnations.
        """
        gone = self._targets.forget_expired(now)
        for incarnation in gone:
            self._log.emit(Event.TARGET_FORGOTTEN, target=incarnation.name)
        return gone

    def _apply(self, stored: StoredObject, now: float) -> None:
        """Apply an entry; one that cannot be decoded removes its target."""
        try:
            target = self._decoder.target(stored)
        except UnreadableRecordError as error:
            # Stricter than for a deleted entry, whose target may still be used if there
            # is no other: an unreadable entry may lead anywhere.
            self._targets.mark_unreadable(stored.name, now)
            self._refused.refuse(stored, error)
            return
        target = self._with_remaining_warm_up(target, stored.version, now)
        is_back = self._refused.clear(stored.key)
        if self._targets.put(target, now) or is_back:
            self._log.emit(
                Event.TARGET_LISTED,
                target=target.name,
                service=target.service,
                endpoint=str(target.endpoint),
                is_draining=target.is_draining,
                started_at=target.started_at,
                software_version=target.software_version,
            )

    def _with_remaining_warm_up(
        self, target: ServingTarget, revision: int, now: float
    ) -> ServingTarget:
        """Return a target with the rest of its warm-up time, if its entry was known.

        A list that is read again contains entries that were written long ago.
        """
        known = self._first_seen.get(target.name)
        if known is None or known[0] != revision:
            self._first_seen[target.name] = (revision, now)
            return target
        left = max(0.0, target.warm_up_seconds - (now - known[1]))
        return replace(target, warm_up_seconds=left)

    def _remove(self, name: str, now: float) -> None:
        self._first_seen.pop(name, None)
        # The entry may have been deleted while the watch paused.
        if self._targets.remove(name, now - self._rest):
            self._log.emit(Event.TARGET_DELISTED, target=name)
