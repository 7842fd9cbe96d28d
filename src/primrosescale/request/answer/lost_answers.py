"""Requests whose answer was lost, until it is known whether their target has ended.

An answer can be lost for many reasons: a network fault, an error of the target with
one request, a connection that was closed for its age. Only if the target has ended
are the requests that were in flight there suspected of having caused it.
"""

from __future__ import annotations

from typing import NamedTuple

# Seconds for which a lost answer waits for the end of its target to be reported. The
# entry of a target that has ended is removed after three heartbeats.
MAX_WAIT_SECONDS = 8.0
# Seconds after the end of a target within which bytes that it sent earlier may still be
# read.
MAX_BUFFERED_SECONDS = 0.2
# Maximum number of lost answers that wait at a target, and of ended targets that are
# remembered for losses reported later.
MAX_WAITING = 1024
MAX_ENDED = 256


class LostAnswer(NamedTuple):
    """The loss of an answer.

    Parameters
    ----------
    at : float
        When, in seconds.
    parts : tuple[int, ...]
        Fingerprints of the prompt parts on which the target may have ended.
    """

    at: float
    parts: tuple[int, ...] = ()


class LostAnswers:
    """Requests whose answer was lost, by the incarnation of the target."""

    __slots__ = ("_ended", "_waiting")

    def __init__(self) -> None:
        self._waiting: dict[int, dict[int, LostAnswer]] = {}
        self._ended: dict[int, float] = {}

    def __len__(self) -> int:
        """Return the number of targets with lost answers that wait."""
        return len(self._waiting)

    def lost(
        self, fingerprint: int, target: int, now: float, parts: tuple[int, ...] = ()
    ) -> None:
        """Record that an answer was lost.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request's content.
        target : int
            Short name of the target's incarnation.
        now : float
            Present time in seconds.
        parts : tuple[int, ...]
            Fingerprints of the prompt parts on which the target may have ended.
        """
        self._drop_expired(now)
        waiting = self._waiting.setdefault(target, {})
        if len(waiting) < MAX_WAITING:
            waiting[fingerprint] = LostAnswer(now, parts)

    def has_ended(self, target: int, now: float) -> bool:
        """Return whether a target is known to have ended recently.

        Parameters
        ----------
        target : int
            Short name of its incarnation.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True for `MAX_WAIT_SECONDS` after its end was recorded.
        """
        return now - self._ended.get(target, -MAX_WAIT_SECONDS) < MAX_WAIT_SECONDS

    def is_waiting(self, target: int, now: float) -> bool:
        """Return whether lost answers of a target wait.

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
        self._drop_expired(now)
        return target in self._waiting

    def ended(self, target: int, now: float) -> dict[int, LostAnswer]:
        """Record that a target has ended, and return its lost answers.

        Parameters
        ----------
        target : int
            Short name of its incarnation.
        now : float
            Present time in seconds.

        Returns
        -------
        dict[int, LostAnswer]
            The losses, by the requests' fingerprints.
        """
        self._drop_expired(now)
        self._ended.pop(target, None)
        self._ended[target] = now
        if len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
        return self._waiting.pop(target, {})

    def seen_alive(self, target: int, at: float) -> None:
        """Record that a target was alive at a time; earlier losses have other causes.

        Parameters
        ----------
        target : int
            Short name of its incarnation.
        at : float
            When, in seconds.
        """
        self._ended.pop(target, None)
        self._drop_before(target, at)

    def _drop_expired(self, now: float) -> None:
        for target in list(self._waiting):
            self._drop_before(target, now - MAX_WAIT_SECONDS)

    def _drop_before(self, target: int, at: float) -> None:
        waiting = self._waiting.get(target, {})
        for fingerprint in [each for each, lost in waiting.items() if lost.at < at]:
            del waiting[fingerprint]
        if not waiting:
            self._waiting.pop(target, None)
