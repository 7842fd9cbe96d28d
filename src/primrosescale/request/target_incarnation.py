"""Which incarnation of a target something is about."""

from __future__ import annotations

from typing import NamedTuple


class TargetIncarnation(NamedTuple):
    """One incarnation of a target, from a start to its end.

    A target may start again under its name; it then holds and knows nothing of
    before. The start that it tells of itself is compared with others that it
    told, never with a clock of this host. A named tuple, since each decision
    looks one up for each target of a service.

    Parameters
    ----------
    name : str
        Name of the target.
    started_at : int | None
        Its start, in Unix milliseconds of the target's own clock; None where
        nothing tells it.
    """

    name: str
    started_at: int | None = None

    @property
    def has_unique_name(self) -> bool:
        """Tell whether no other start can have its name: starts are not told."""
        return self.started_at is None

    def is_followed_by(self, other: TargetIncarnation) -> bool:
        """Tell whether another incarnation of the target came after this one.

        Parameters
        ----------
        other : TargetIncarnation
            An incarnation of the same target.

        Returns
        -------
        bool
            True for a later start, and for the first start that is told.
            False where nothing tells the other's start.
        """
        if other.started_at is None:
            return False
        return self.started_at is None or other.started_at > self.started_at
