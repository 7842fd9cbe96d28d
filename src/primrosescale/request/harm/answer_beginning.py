"""Tells whether an answer has outlived its beginning.

A target that ends under a part of a prompt does so soon after it began to write the
answer. Once it has gone on for a while, other causes are to blame for its end.
"""

from __future__ import annotations

# A target that is several times slower than usual ends within this time as well.
BEGINNING_SECONDS = 1.0
# Time in which a target may end under a part that no target is known to have survived:
# it may write some events, or the whole of a short answer, before it fails.
LASTING_SECONDS = 3.0
STAGES = (BEGINNING_SECONDS, LASTING_SECONDS)


class AnswerBeginning:
    """The beginning of one answer."""

    __slots__ = ("_at", "_last_at", "_stages_over")

    def __init__(self) -> None:
        self._at: float | None = None
        self._last_at: float | None = None
        self._stages_over = 0

    @property
    def at(self) -> float | None:
        """Return when the body began, in seconds; None if it has not.

        The time for which nothing was read does not count as part of the answer.
        """
        return self._at

    @property
    def last_at(self) -> float | None:
        """Return when bytes of the body were last received, in seconds."""
        return self._last_at

    def received(self, now: float) -> bool:
        """Record that bytes of the body were received.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether it has outlived one more of the `STAGES`; True once for each.
        """
        self._last_at = now
        if self._at is None:
            self._at = now
            return False
        over = self._stages_over
        while over < len(STAGES) and now - self._at >= STAGES[over]:
            over += 1
        is_new = over > self._stages_over
        self._stages_over = over
        return is_new

    def resumed(self, now: float) -> None:
        """Record that the answer is read again after a pause.

        What is read next may have been sent when the pause began.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if self._at is not None and self._last_at is not None:
            self._at += now - self._last_at
            self._last_at = now


def may_have_ended_target(answer_began_at: float | None, lost_at: float) -> bool:
    """Return whether a target may have ended as it began to write an answer.

    Parameters
    ----------
    answer_began_at : float | None
        When the body began, in seconds; None if it had not.
    lost_at : float
        When the answer was lost, in seconds.

    Returns
    -------
    bool
        True unless the answer had outlived its beginning.
    """
    return answer_began_at is None or lost_at - answer_began_at < BEGINNING_SECONDS
