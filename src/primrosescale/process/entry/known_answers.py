"""Answers by which this router can void ends of targets that other routers reported.

A part of many prompts is answered at many routers, so that many of them could void the
same end. They reply in their next regular rounds, which are at different times, and not
if another one has replied before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.harm.harm_reports import PartsAnswered
from primrosescale.request.harm.part_evidence import ANSWER_VALID_SECONDS

if TYPE_CHECKING:
    from primrosescale.request.harm.harm_reports import TargetEnd
    from primrosescale.request.harm.suspect_parts import SuspectParts

MAX_KNOWN_ANSWERS = 256


class KnownAnswers:
    """Replies to reports on ends of targets.

    Parameters
    ----------
    parts : SuspectParts
        Knows which parts were answered.
    """

    def __init__(self, parts: SuspectParts) -> None:
        self._parts = parts
        # Time of the newest end that is to be voided, by part, and whether it is late.
        self._ended_at: dict[tuple[int, bool], float] = {}

    def ended(self, end: TargetEnd) -> None:
        """Queue replies to the report of an end.

        Parameters
        ----------
        end : TargetEnd
            The end, with the parts against which its reporter counts it.
        """
        is_late = end.is_late
        for part in end.parts:
            if self._parts.known_answer(part, end.at, is_late=is_late) is None:
                continue
            if len(self._ended_at) < MAX_KNOWN_ANSWERS:
                key = part, is_late
                self._ended_at[key] = max(end.at, self._ended_at.get(key, 0.0))

    def answered(self, answered: PartsAnswered) -> None:
        """Drop the replies that an answer which all routers know makes needless.

        Parameters
        ----------
        answered : PartsAnswered
            The answer.
        """
        for part in answered.parts:
            ended_at = self._ended_at.get((part, False))
            if ended_at is not None and ended_at <= answered.at + ANSWER_VALID_SECONDS:
                del self._ended_at[part, False]
            if answered.is_lasting:
                self._ended_at.pop((part, True), None)

    def take(self) -> list[PartsAnswered]:
        """Return the replies to send now.

        Returns
        -------
        list[PartsAnswered]
            One for each part.
        """
        ended, self._ended_at = self._ended_at, {}
        replies = []
        for (part, is_late), ended_at in ended.items():
            at = self._parts.known_answer(part, ended_at, is_late=is_late)
            if at is not None:
                replies.append(PartsAnswered((part,), at, is_lasting=is_late))
        return replies
