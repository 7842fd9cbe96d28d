"""Determines which failure domains are evacuated: their targets get no new requests."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class EvacuationList:
    """The failure domains that were evacuated at a revision of the store.

    Parameters
    ----------
    domains : frozenset[str]
        The evacuated domains.
    revision : int
        The store's revision.
    told_by : str
        The router that reported it, or "store".
    """

    domains: frozenset[str]
    revision: int
    told_by: str


class Evacuations:
    """The evacuated failure domains by the newest list from any source.

    Lists are ordered by the store's revision: a router that is cut off from the store
    uses the lists that peer routers report, and an older list that arrives late
    changes nothing.

    Parameters
    ----------
    on_change : Callable[[EvacuationList, float], None]
        Called with the list and the current time whenever the domains change.
    """

    __slots__ = ("_has_had_any", "_known", "_on_change")

    def __init__(self, on_change: Callable[[EvacuationList, float], None]) -> None:
        self._on_change = on_change
        self._known = EvacuationList(frozenset(), 0, "")
        self._has_had_any = False

    @property
    def domains(self) -> frozenset[str]:
        """Return the failure domains that are evacuated."""
        return self._known.domains

    @property
    def revision(self) -> int:
        """Return the store's revision of the newest list; 0 before the first one."""
        return self._known.revision

    @property
    def is_worth_sharing(self) -> bool:
        """Return whether to report the list: only once it has ever had a domain."""
        return self._has_had_any

    def update(self, received: EvacuationList, now: float) -> bool:
        """Replace the known list of evacuated domains, unless the new one is older.

        Parameters
        ----------
        received : EvacuationList
            The list as received.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the evacuated domains changed.
        """
        known = self._known
        if received.revision < known.revision:
            return False
        self._known = received
        if received.domains == known.domains:
            return False
        self._has_had_any = True
        self._on_change(received, now)
        return True
