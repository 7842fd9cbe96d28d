"""Decides by the age of the known configuration whether API keys are still accepted.

A router may be cut off from the store, or its store may not answer, while a key is
withdrawn. The age is counted from when the last answered read was *sent*: a change
made after that may not be in the answer. The clock must continue while the host is
suspended.
"""

from __future__ import annotations

# Part of the bound that is left unused: timers fire late, and a request takes some time
# from the check to the target.
MARGIN_SECONDS = 0.3


class Freshness:
    """Age of the newest linearizable read of the configuration.

    Parameters
    ----------
    bound : float
        Seconds after which a withdrawn key must not be accepted.
    is_trusted : bool
        Whether answers of the store count from the start. If not, they count once
        `trust` has been called: the store may have come back from an older copy.
    """

    __slots__ = ("_asked_at", "_bound", "_is_trusted")

    def __init__(self, bound: float, *, is_trusted: bool = True) -> None:
        self._bound = bound
        self._asked_at: float | None = None
        self._is_trusted = is_trusted

    @property
    def is_trusted(self) -> bool:
        """Return whether answers of the store count."""
        return self._is_trusted

    @property
    def bound(self) -> float:
        """Return for how many seconds after a read was sent keys are accepted."""
        return self._bound - MARGIN_SECONDS

    def trust(self) -> None:
        """Count the answers of the store, also those recorded before."""
        self._is_trusted = True

    def configure(self, bound: float) -> None:
        """Replace the bound.

        Parameters
        ----------
        bound : float
            Seconds after which a withdrawn key must not be accepted.
        """
        self._bound = bound

    def answered(self, asked_at: float) -> None:
        """Record that a read was answered.

        Parameters
        ----------
        asked_at : float
            When it was sent, in seconds of the same clock as `now` below.
        """
        if self._asked_at is None or asked_at > self._asked_at:
            self._asked_at = asked_at

    def age(self, now: float) -> float | None:
        """Return how old the known configuration is.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float | None
            Seconds; None before the first answered read that counts.
        """
        if self._asked_at is None or not self._is_trusted:
            return None
        return now - self._asked_at

    def allows_keys(self, now: float) -> bool:
        """Return whether a key that was valid may still be accepted.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False once a withdrawal could have gone unnoticed for the bound.
        """
        age = self.age(now)
        return age is not None and age < self.bound
