"""Failure domains whose targets get no new requests until they are taken back."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(frozen=True, slots=True)
class EvacuationList:
    """Which failure domains were evacuated at a revision of the store.

    Parameters
    ----------
    domains : frozenset[str]
        The domains.
    revision : int
        The store's revision.
    told_by : str
        The router that told of it, or "store".
    """

    domains: frozenset[str]
    revision: int
    told_by: str


class Evacuations:
    """The evacuated failure domains by the newest word of anybody.

    The store's revision orders what is heard: a router that is cut off from the
    store goes by what others tell, and an answer that comes late changes nothing.

    Parameters
    ----------
    on_change : Callable[[EvacuationList, float], None]
        Told of the list whenever its domains change, and of the present time.
    """

    __slots__ = ("_has_had_any", "_known", "_on_change")

    def __init__(self, on_change: Callable[[EvacuationList, float], None]) -> None:
        self._on_change = on_change
        self._known = EvacuationList(frozenset(), 0, "")
        self._has_had_any = False

    @property
    def domains(self) -> frozenset[str]:
        """Return the domains that are evacuated."""
        return self._known.domains

    @property
    def revision(self) -> int:
        """Return the store's revision at which that was so; 0 for never told."""
        return self._known.revision

    @property
    def is_worth_sharing(self) -> bool:
        """Tell whether other routers should hear of it: some domain ever was."""
        return self._has_had_any

    def update(self, told: EvacuationList, now: float) -> bool:
        """Take in which domains were evacuated.

        Parameters
        ----------
        told : EvacuationList
            The list as it was told.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether the evacuated domains changed.
        """
        known = self._known
        if told.revision < known.revision:
            return False
        self._known = told
        if told.domains == known.domains:
            return False
        self._has_had_any = True
        self._on_change(told, now)
        return True
