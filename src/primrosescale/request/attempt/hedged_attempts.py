"""The attempt whose answer the caller receives, and a hedged one beside it.

When the target of the primary attempt falls silent, the request is sent to another
target as well. The first of the two that sends more of the answer becomes the
primary attempt, and the other one is closed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.attempt.target_attempt import TargetAttempt


class HedgedAttempts:
    """At most two attempts of one request: the primary one and its hedge."""

    __slots__ = ("_hedge", "_primary")

    def __init__(self) -> None:
        self._primary: TargetAttempt | None = None
        self._hedge: TargetAttempt | None = None

    @property
    def primary(self) -> TargetAttempt | None:
        """Return the attempt whose answer is sent to the caller."""
        return self._primary

    @property
    def hedge(self) -> TargetAttempt | None:
        """Return the attempt that was started beside the primary one."""
        return self._hedge

    def set_primary(self, attempt: TargetAttempt) -> None:
        """Set the primary attempt; there was none, or it has ended.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        """
        self._primary = attempt

    def set_hedge(self, attempt: TargetAttempt) -> None:
        """Add an attempt beside the primary one.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        """
        self._hedge = attempt

    def promote_hedge(self, outcome: str, now: float) -> None:
        """Make the hedge the primary attempt, and close the former primary.

        Parameters
        ----------
        outcome : str
            Outcome of the former primary attempt, unless it has already ended.
        now : float
            Present time in seconds.
        """
        former, self._primary = self._primary, self._hedge
        self._hedge = None
        if former is not None:
            former.close(outcome, now)

    def drop_hedge(self, outcome: str, now: float) -> TargetAttempt | None:
        """Close the hedge, if there is one.

        Parameters
        ----------
        outcome : str
            Its outcome.
        now : float
            Present time in seconds.

        Returns
        -------
        TargetAttempt | None
            The attempt that was closed.
        """
        former, self._hedge = self._hedge, None
        if former is not None:
            former.close(outcome, now)
        return former

    def remove(self, attempt: TargetAttempt, now: float) -> bool:
        """Remove an attempt that has ended.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether another attempt continues; it is the primary one then.
        """
        if attempt is self._hedge:
            self._hedge = None
            return True
        if self._hedge is not None:
            self.promote_hedge("", now)
            return True
        self._primary = None
        return False

    def close_all(self, outcome: str, now: float) -> None:
        """Close both attempts.

        Parameters
        ----------
        outcome : str
            Their outcome.
        now : float
            Present time in seconds.
        """
        for attempt in (self._primary, self._hedge):
            if attempt is not None:
                attempt.close(outcome, now)
        self._primary = None
        self._hedge = None
