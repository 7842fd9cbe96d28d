"""Keeps the evacuated failure domains in sync with the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.process.entry.store_watch import WatchListener
from primrosescale.process.entry.target_list import STORE
from primrosescale.process.exceptions import UnreadableRecordError
from primrosescale.request.target.evacuations import EvacuationList

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from primrosescale.process.entry.codec import RecordDecoder
    from primrosescale.process.entry.refused_records import RefusedRecords
    from primrosescale.process.exceptions import PlatformError
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.request.target.evacuations import Evacuations


# Each state update to another router contains all of them.
MAX_DOMAINS = 64


class EvacuationListSync(WatchListener):
    """Applies entries of the store's list of evacuations to `Evacuations`.

    Parameters
    ----------
    evacuations : Evacuations
        The evacuated domains.
    decoder : RecordDecoder
        Decodes the entries.
    refused : RefusedRecords
        Counts and logs the entries that cannot be decoded.
    own_domains : Callable[[], Collection[str]]
        Returns the failure domains of the deployment, as far as they are known. They
        go first if more than `MAX_DOMAINS` are listed.
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
        decoder: RecordDecoder,
        refused: RefusedRecords,
        own_domains: Callable[[], Collection[str]],
        revision: Callable[[], int],
        now: Callable[[], float],
        on_list: Callable[[], None],
    ) -> None:
        self._evacuations = evacuations
        self._decoder = decoder
        self._refused = refused
        self._own_domains = own_domains
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
        self._refused.retain_only(stored.key for stored in objects)
        self._listed = set()
        for stored in objects:
            self._update(stored)
        self._apply()
        self._is_complete = True
        self._on_list()

    def changed(self, objects: tuple[StoredObject, ...], asked_at: float) -> None:
        """Apply changed entries; see `WatchListener.changed`."""
        for stored in objects:
            self._update(stored)
        self._apply()

    def failed(self, error: PlatformError) -> None:
        """Do nothing: the watch of the configuration logs outages."""

    def _update(self, stored: StoredObject) -> None:
        if stored.is_deleted:
            self._refused.clear(stored.key)
            self._listed.discard(stored.name)
            return
        try:
            self._listed.add(self._decoder.evacuated_domain(stored))
        except UnreadableRecordError as error:
            self._refused.refuse(stored, error)

    def _apply(self) -> None:
        own = self._own_domains()
        # All routers choose the same ones, as they tell each other what they chose.
        ordered = sorted(self._listed, key=lambda name: (name not in own, name))
        domains = frozenset(ordered[:MAX_DOMAINS])
        listed = EvacuationList(domains, self._revision(), STORE)
        self._evacuations.update(listed, self._now())
