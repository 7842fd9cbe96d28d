"""Prompts that targets began to read, until it is known whether a target survived them.

A target that ends under a part of a prompt may end some time after it began to answer:
after it has answered completely, after its caller has left, or without closing its
connections. So each prompt that was sent to a target is kept until the target has
outlived its beginning, or has ended.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from primrosescale.request.harm.answer_beginning import BEGINNING_SECONDS
from primrosescale.request.harm.answer_beginning import LASTING_SECONDS
from primrosescale.request.harm.part_fingerprint import common_half

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.request.attempt.target_attempt import TargetAttempt
    from primrosescale.request.target.target_state import TargetState

# Time after which the entry of a target that has ended would have been removed, or a
# later start of it would have been told.
END_KNOWN_SECONDS = 3.5
MAX_EXPOSURES = 4096


class PromptExposure:
    """A prompt that was sent to a target.

    Parameters
    ----------
    attempt : TargetAttempt
        The attempt that sent it.
    content : int
        Fingerprint of the request's content.
    parts : tuple[int, ...]
        Fingerprints of parts of the prompt that are not known to be harmless.
    """

    __slots__ = ("_attempt", "_content", "_parts")

    def __init__(
        self, attempt: TargetAttempt, content: int, parts: tuple[int, ...]
    ) -> None:
        self._attempt = attempt
        self._content = content
        self._parts = parts

    @property
    def content(self) -> int:
        """Return the fingerprint of the request's content."""
        return self._content

    @property
    def parts(self) -> tuple[int, ...]:
        """Return the fingerprints of the parts."""
        return self._parts

    @property
    def state(self) -> TargetState:
        """Return what is known of the target."""
        return self._attempt.state

    @property
    def began_at(self) -> float | None:
        """Return when the answer began, in seconds; None if it has not."""
        return self._attempt.answer_began_at

    @property
    def is_open(self) -> bool:
        """Return whether the attempt goes on."""
        return self._attempt.ended_at is None

    @property
    def is_unanswered(self) -> bool:
        """Return whether the target has neither answered nor refused it."""
        return not (self._attempt.is_complete or self._attempt.is_without_answer)

    def is_answered(self, now: float) -> bool:
        """Return whether the target answered it a moment ago, and may have survived it.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True for an answer that is complete, or goes on, and began at least
            `BEGINNING_SECONDS` ago.
        """
        began_at, attempt = self.began_at, self._attempt
        if began_at is None or attempt.is_without_answer:
            return False
        last = now if attempt.is_complete else attempt.last_received_at
        return last is not None and last - began_at >= BEGINNING_SECONDS

    def may_have_ended_target(self, ended_at: float | None) -> bool:
        """Return whether its target, which has ended, may have ended under it.

        Parameters
        ----------
        ended_at : float | None
            Earliest time at which the target may have ended, in seconds; None where
            only what was received for the prompt itself tells.

        Returns
        -------
        bool
            True unless the target had declined it, or had outlived the beginning of
            its answer.
        """
        attempt = self._attempt
        if attempt.is_without_answer:
            return False
        began_at, last = self.began_at, attempt.last_received_at
        if began_at is None:
            # If it was given up, the target may have begun to answer afterwards.
            began_at = last = attempt.ended_at
        until = last if ended_at is None else ended_at
        if began_at is None or until is None:
            return True
        return until - began_at < LASTING_SECONDS

    def is_lasting(self, now: float, *, is_listed: bool) -> bool:
        """Return whether the target has survived the complete answer.

        Parameters
        ----------
        now : float
            Current time in seconds.
        is_listed : bool
            Whether an up-to-date list of targets has this incarnation.

        Returns
        -------
        bool
            Whether it was alive when the beginning of the answer was over.
        """
        began_at = self.began_at
        if began_at is None or not self._attempt.is_complete:
            return False
        lasting_at = began_at + LASTING_SECONDS
        if self.state.incarnation.has_unique_name:
            if self.state.last_received_at >= lasting_at:
                return True
        return is_listed and now >= lasting_at + END_KNOWN_SECONDS

    def is_expired(self, now: float) -> bool:
        """Return whether an end of the target would be known by now.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True some time after the attempt was given up, or was declined.
        """
        attempt = self._attempt
        if attempt.ended_at is None:
            return False
        if attempt.is_without_answer:
            return True
        wait = LASTING_SECONDS + 2 * END_KNOWN_SECONDS
        return now - attempt.ended_at >= wait


class PromptExposures:
    """The prompts whose targets may still end under them, by target."""

    __slots__ = ("_by_target", "_count")

    def __init__(self) -> None:
        self._by_target: dict[int, list[PromptExposure]] = {}
        self._count = 0

    def __len__(self) -> int:
        """Return how many there are."""
        return self._count

    def add(self, target: int, exposure: PromptExposure) -> None:
        """Add one; it is left out when there are too many.

        Parameters
        ----------
        target : int
            Key of the target's incarnation.
        exposure : PromptExposure
            The prompt.
        """
        if self._count < MAX_EXPOSURES:
            self._by_target.setdefault(target, []).append(exposure)
            self._count += 1

    def take(
        self, target: int, is_taken: Callable[[PromptExposure], bool]
    ) -> list[PromptExposure]:
        """Remove and return some of the prompts sent to a target.

        Parameters
        ----------
        target : int
            Key of its incarnation.
        is_taken : Callable[[PromptExposure], bool]
            Returns whether one is removed.

        Returns
        -------
        list[PromptExposure]
            The removed ones, the oldest first.
        """
        found = self._by_target.get(target, [])
        taken = [each for each in found if is_taken(each)]
        if taken:
            removed = set(taken)
            kept = [each for each in found if each not in removed]
            self._count -= len(taken)
            if kept:
                self._by_target[target] = kept
            else:
                del self._by_target[target]
        return taken

    def has_unanswered(self, target: int) -> bool:
        """Return whether a target owes an answer, also one that nobody waits for.

        Parameters
        ----------
        target : int
            Key of its incarnation.

        Returns
        -------
        bool
            Whether there is a prompt without a complete answer or a refusal.
        """
        return any(each.is_unanswered for each in self._by_target.get(target, ()))

    def answering(self, now: float) -> dict[int, int]:
        """Return how many targets answered parts a moment ago and are not known to end.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        dict[int, int]
            Numbers of targets, by fingerprint of the part and by its common half.
        """
        counts: Counter[int] = Counter()
        for exposures in self._by_target.values():
            parts: set[int] = set()
            for each in exposures:
                if each.is_answered(now):
                    parts.update(each.parts)
            counts.update(parts | {common_half(part) for part in parts})
        return counts

    def targets(self) -> list[tuple[int, TargetState]]:
        """Return the targets, with what is known of each.

        Returns
        -------
        list[tuple[int, TargetState]]
            Keys of their incarnations, and their states.
        """
        return [(key, found[0].state) for key, found in self._by_target.items()]
