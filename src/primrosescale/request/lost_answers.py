"""Answers that were lost, until it is known whether their target has ended.

An answer is lost for many reasons: a link, a fault of the target with one request,
a connection that was closed for its age. Only the end of the target speaks against
the requests that were there.
"""

from __future__ import annotations

# Seconds for which a lost answer waits to be explained. The entry of a target that
# has ended goes after three heartbeats.
MAX_WAIT_SECONDS = 8.0
# Bytes that a target sent before it ended are read up to so many seconds later.
MAX_BUFFERED_SECONDS = 0.2
# Lost answers that wait, and targets whose end is remembered for those still to come.
MOST_WAITING = 1024
MOST_ENDED = 256


class LostAnswers:
    """Requests whose answer was lost, by the incarnation of the target."""

    __slots__ = ("_ended", "_waiting")

    def __init__(self) -> None:
        self._waiting: dict[int, dict[int, float]] = {}
        self._ended: dict[int, float] = {}

    def __len__(self) -> int:
        """Return at how many targets lost answers wait."""
        return len(self._waiting)

    def lost(self, fingerprint: int, target: int, now: float) -> None:
        """Take in that an answer was lost.

        Parameters
        ----------
        fingerprint : int
            What the request asked for.
        target : int
            Short name of the target's incarnation.
        now : float
            Present time in seconds.
        """
        self._forget_old(now)
        waiting = self._waiting.setdefault(target, {})
        if len(waiting) < MOST_WAITING:
            waiting[fingerprint] = now

    def has_ended(self, target: int, now: float) -> bool:
        """Tell whether a target is known to have ended lately.

        Parameters
        ----------
        target : int
            Short name of its incarnation.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True for some seconds after its end.
        """
        return now - self._ended.get(target, -MAX_WAIT_SECONDS) < MAX_WAIT_SECONDS

    def is_waiting(self, target: int, now: float) -> bool:
        """Tell whether lost answers wait at a target.

        Parameters
        ----------
        target : int
            Short name of its incarnation.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether there are any.
        """
        self._forget_old(now)
        return target in self._waiting

    def ended(self, target: int, now: float) -> dict[int, float]:
        """Take in that a target has ended.

        Parameters
        ----------
        target : int
            Short name of its incarnation.
        now : float
            Present time in seconds.

        Returns
        -------
        dict[int, float]
            When the answers there were lost, by the requests' fingerprints.
        """
        self._forget_old(now)
        self._ended.pop(target, None)
        self._ended[target] = now
        if len(self._ended) > MOST_ENDED:
            del self._ended[next(iter(self._ended))]
        return self._waiting.pop(target, {})

    def seen_alive(self, target: int, at: float) -> None:
        """Take in that a target was there at some time: no answer before ended it.

        Parameters
        ----------
        target : int
            Short name of its incarnation.
        at : float
            When, in seconds.
        """
        self._ended.pop(target, None)
        self._drop_before(target, at)

    def _forget_old(self, now: float) -> None:
        for target in list(self._waiting):
            self._drop_before(target, now - MAX_WAIT_SECONDS)

    def _drop_before(self, target: int, at: float) -> None:
        waiting = self._waiting.get(target, {})
        for fingerprint in [each for each, lost in waiting.items() if lost < at]:
            del waiting[fingerprint]
        if not waiting:
            self._waiting.pop(target, None)
