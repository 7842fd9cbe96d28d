"""Keeps the evacuated failure domains in sync with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.process.entry.store_watch import WatchListener
from primrosescale.process.entry.target_list import STORE
from primrosescale.request.target.evacuations import EvacuationList

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.process.exceptions import PlatformError
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.request.target.evacuations import Evacuations


class EvacuationListSync(WatchListener):
    """Applies entries of the store's list of evacuations to `Evacuations`.

    Only an entry's name matters: it is the evacuated domain, whatever the entry holds.

    Parameters
    ----------
    evacuations : Evacuations
        The evacuated domains.
    revision : Callable[[], int]
        Returns up to which revision of the store all changes have been read.
    now : Callable[[], float]
        Returns the present time in seconds.
    on_list : Callable[[], None]
        Called when the whole list has been received.
    """

    def __init__(
        self,
        evacuations: Evacuations,
        revision: Callable[[], int],
        now: Callable[[], float],
        on_list: Callable[[], None],
    ) -> None:
        self._evacuations = evacuations
        self._revision = revision
        self._now = now
        self._on_list = on_list
        self._listed: set[str] = set()
        self._is_complete = False

    @property
    def is_complete(self) -> bool:
        """Return whether the whole list has been received once."""
        return self._is_complete

    def replaced(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Apply the whole list; see `WatchListener.replaced`."""
        self._listed = {item.name for item in objects if not item.is_deleted}
        self._apply()
        self._is_complete = True
        self._on_list()

    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Apply changed entries; see `WatchListener.changed`."""
        for stored in objects:
            if stored.is_deleted:
                self._listed.discard(stored.name)
            else:
                self._listed.add(stored.name)
        self._apply()

    def failed(self, error: PlatformError) -> None:
        """Do nothing: the watch of the configuration logs outages."""

    def _apply(self) -> None:
        listed = EvacuationList(frozenset(self._listed), self._revision(), STORE)
        self._evacuations.update(listed, self._now())
