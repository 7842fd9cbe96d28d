"""Identifies one incarnation of a target."""

from __future__ import annotations

from typing import NamedTuple


class TargetIncarnation(NamedTuple):
    """One incarnation of a target, from a start to its end.

    A target may restart under the same name and has then lost all its state. The
    start that it reports of itself is compared only with other starts that it
    reported, never with a clock of this host. This is a named tuple for speed, since
    each choice looks one up for each target of a service.

    Parameters
    ----------
    name : str
        Name of the target.
    started_at : int | None
        Its start, in Unix milliseconds of the target's own clock; None where it
        is not reported.
    """

    name: str
    started_at: int | None = None

    @property
    def has_unique_name(self) -> bool:
        """Return whether the name alone identifies it, as no start is reported."""
        return self.started_at is None

    def is_followed_by(self, other: TargetIncarnation) -> bool:
        """Return whether another incarnation of the target came after this one.

        Parameters
        ----------
        other : TargetIncarnation
            An incarnation of the same target.

        Returns
        -------
        bool
            True for a later start, and for the first start that is reported.
            False where the other's start is not reported.
        """
        if other.started_at is None:
            return False
        return self.started_at is None or other.started_at > self.started_at
