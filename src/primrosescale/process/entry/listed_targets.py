"""Keeps the list of targets in step with the store."""

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
    from primrosescale.request.serving_target import ServingTarget
    from primrosescale.request.target_incarnation import TargetIncarnation


class ListedTargets(WatchListener):
    """Takes entries of the store's list of targets into a `TargetList`.

    Parameters
    ----------
    targets : TargetList
        Targets and their states.
    rest : float
        Seconds that the watch rests after a change.
    decoder : RecordDecoder
        Reads entries.
    refused : RefusedRecords
        Entries that cannot be read.
    log : Any
        Where events are told.
    now : Callable[[], float]
        Returns the present time in seconds.
    on_list : Callable[[], None]
        Called when the whole list has come.
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
        # By name: the revision of each entry and when it was first told here.
        self._told: dict[str, tuple[int, float]] = {}

    @property
    def is_complete(self) -> bool:
        """Tell whether the whole list has come once."""
        return self._is_complete

    @property
    def revision(self) -> int:
        """Return the store's revision of the newest known change of the list."""
        return self._revision

    def replaced(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Take in the whole list; see `WatchListener.replaced`."""
        self._connection.regained()
        now = self._now()
        listed = [item for item in objects if not item.is_deleted]
        self._refused.keep(item.key for item in listed)
        for item in listed:
            self._take(item, now)
        names = {item.name for item in listed}
        for state in list(self._targets.states):
            if state.target.name not in names:
                self._remove(state.target.name, now)
        self._is_complete = True
        self._on_list()

    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Take in changed entries; see `WatchListener.changed`."""
        self._connection.regained()
        now = self._now()
        for stored in objects:
            self._revision = max(self._revision, stored.version)
            if stored.is_deleted:
                self._refused.settle(stored.key)
                self._remove(stored.name, now)
            else:
                self._take(stored, now)

    def failed(self, error: PlatformError) -> None:
        """Note that the store could not be asked; see `WatchListener.failed`."""
        self._connection.lost(error)

    def forget_expired(self, now: float) -> list[TargetIncarnation]:
        """Forget targets whose entry stayed gone.

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

    def _take(self, stored: StoredObject, now: float) -> None:
        """Take in an entry; one that cannot be read names no target."""
        try:
            target = self._decoder.target(stored)
        except UnreadableRecordError as error:
            # Not the way of an entry that is gone, whose target may still be
            # used when there is no other: this one may lead anywhere.
            self._targets.drop(stored.name, now)
            self._refused.refuse(stored, error)
            return
        target = self._counted_down(target, stored.version, now)
        is_back = self._refused.settle(stored.key)
        if self._targets.put(target, now) or is_back:
            self._log.emit(
                Event.TARGET_LISTED,
                target=target.name,
                service=target.service,
                endpoint=str(target.endpoint),
                is_draining=target.is_draining,
                started_at=target.started_at,
            )

    def _counted_down(
        self, target: ServingTarget, revision: int, now: float
    ) -> ServingTarget:
        """Return a target with what is left of its time, if its entry was known.

        A list that is read again tells entries that were written long ago.
        """
        known = self._told.get(target.name)
        if known is None or known[0] != revision:
            self._told[target.name] = (revision, now)
            return target
        left = max(0.0, target.warm_up_seconds - (now - known[1]))
        return replace(target, warm_up_seconds=left)

    def _remove(self, name: str, now: float) -> None:
        self._told.pop(name, None)
        # It may have happened while the watch rested.
        if self._targets.remove(name, now - self._rest):
            self._log.emit(Event.TARGET_DELISTED, target=name)
