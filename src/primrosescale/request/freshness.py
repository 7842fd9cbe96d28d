"""How old the knowledge of the configuration is, and what it still allows.

The pattern it answers: a router that is cut off from the store, or whose
store has gone silent, while a key is withdrawn. What counts is when the last
answered question was *sent*: a change made after that may not be in the
answer. The clock must go on while the host is suspended.
"""

from __future__ import annotations

# Part of the bound that is left unused, in seconds: timers fire late, and a
# request takes a moment from the check to the target.
MARGIN_SECONDS = 0.3


class Freshness:
    """Age of the newest linearizable answer about the configuration.

    Parameters
    ----------
    bound : float
        Seconds after which a withdrawn key must not be accepted.
    """

    __slots__ = ("_asked_at", "_bound")

    def __init__(self, bound: float) -> None:
        self._bound = bound
        self._asked_at: float | None = None

    @property
    def bound(self) -> float:
        """Return the seconds for which an answer may be relied on."""
        return self._bound - MARGIN_SECONDS

    def configure(self, bound: float) -> None:
        """Take in a changed bound.

        Parameters
        ----------
        bound : float
            Seconds after which a withdrawn key must not be accepted.
        """
        self._bound = bound

    def answered(self, asked_at: float) -> None:
        """Take in that a question was answered.

        Parameters
        ----------
        asked_at : float
            When it was sent, in seconds of the same clock as `now` below.
        """
        if self._asked_at is None or asked_at > self._asked_at:
            self._asked_at = asked_at

    def age(self, now: float) -> float | None:
        """Return how old the knowledge is.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float | None
            Seconds; None before the first answer.
        """
        return None if self._asked_at is None else now - self._asked_at

    def allows_keys(self, now: float) -> bool:
        """Tell whether a key that was good may still be accepted.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False once a withdrawal could have gone unnoticed too long.
        """
        return self._asked_at is not None and now - self._asked_at < self.bound
