"""Short names of targets in news between routers, and an order of them."""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest

if TYPE_CHECKING:
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.target_state import TargetState

# Short names that are remembered.
MAX_CACHED_KEYS = 16384
SIGN_OFFSET = 2**31


@lru_cache(maxsize=MAX_CACHED_KEYS)
def target_key(name: str, started_at: int | None = None) -> int:
    """Return the short name of an incarnation of a target in news.

    News of an incarnation that a router does not know as the present one match
    nothing there, whether it is a former one or one that it has yet to hear of.

    Parameters
    ----------
    name : str
        The target.
    started_at : int | None
        Its start in its own Unix milliseconds; None where nothing tells it.

    Returns
    -------
    int
        32 bits. Two of 11,000 targets share one in about one fleet of seventy;
        then a load is counted for the wrong one of them.
    """
    text = name if started_at is None else f"{name}\0{started_at}"
    return int(xxh32_intdigest(text.encode())) - SIGN_OFFSET


class TargetKeys:
    """Short names of the known targets, in an order that all routers agree on.

    Where two routers know the same targets, loads need no names between them:
    1 byte a target in place of 9.

    Parameters
    ----------
    targets : TargetList
        Targets and their states.
    """

    __slots__ = ("_digest", "_generation", "_order", "_states", "_targets")

    def __init__(self, targets: TargetList) -> None:
        self._targets = targets
        self._generation = -1
        self._states: dict[int, TargetState] = {}
        self._order: list[int] = []
        self._digest = 0

    @property
    def states(self) -> dict[int, TargetState]:
        """Return the states of all known targets by short name."""
        self._refresh()
        return self._states

    @property
    def order(self) -> list[int]:
        """Return the short names in their common order."""
        self._refresh()
        return self._order

    @property
    def digest(self) -> int:
        """Return what tells apart two lists of targets; 32 bits."""
        self._refresh()
        return self._digest

    def _refresh(self) -> None:
        if self._generation == self._targets.generation:
            return
        self._generation = self._targets.generation
        self._states = {
            target_key(*state.incarnation): state for state in self._targets.states
        }
        self._order = sorted(self._states)
        text = ",".join(map(str, self._order))
        self._digest = int(xxh32_intdigest(text.encode())) - SIGN_OFFSET
