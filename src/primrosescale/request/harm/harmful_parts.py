"""Decides which prompt parts are harmful, as each target ends that begins to answer.

Requests with a harmful part differ in everything else, so none of them is recognised by
its content. Harmless requests of the same caller share the other parts of their
prompts. Ends of targets are therefore counted by part too, from the reports of all
routers, and only under requests whose answer had not begun long before: a target that
goes on writing an answer has survived the parts of its prompt. Such an answer voids the
ends under all parts of its prompt, so that parts of many harmless requests hardly ever
have more than one.

Where several parts were on board at the same ends, only requests with all of them are
held back; one with some of them is tried alone, which tells them apart. A part counts
by organisation, so that no caller can have the parts of another refused, and for all
organisations together once targets ended under the requests of several.
"""

from __future__ import annotations

from collections import Counter
from itertools import pairwise
from typing import TYPE_CHECKING

from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.part_evidence import PartEnd
from primrosescale.request.harm.part_evidence import PartEvidence
from primrosescale.request.harm.part_evidence import PartTable
from primrosescale.request.harm.part_fingerprint import common_half

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterator
    from collections.abc import Mapping

    from primrosescale.request.harm.harm_reports import PartsAnswered
    from primrosescale.request.harm.harm_reports import SuspectTrial
    from primrosescale.request.harm.harm_settings import HarmSettings

# Additional ends required of a part that was answered before, and while targets end
# often.
EXTRA_PART_ENDS = 1
# Parts of one prompt in a report. Long chats have more, of which most were answered.
MAX_REPORTED_PARTS = 8
# Ends under other organisations than the one with the most, from which on a part counts
# for all of them.
MIN_ENDS_OF_OTHERS = 2
# Time within which a trial shows whether its target ends. The request may wait at the
# target before its answer begins.
PART_TRIAL_SECONDS = 4.0
# Factor by which each failed trial lengthens the hold.
PART_HOLD_GROWTH_FACTOR = 12.0
# Share of the first hold after which an end is that of a trial, not of a request that
# was already under way.
MIN_TRIAL_GAP_SHARE = 0.5


class HarmfulParts:
    """Counts ends of targets by the prompt parts that they ran, and decides on holds.

    Parameters
    ----------
    settings : HarmSettings
        When a part is held back.
    ends_are_widespread : Callable[[float], bool]
        Returns whether targets end so often at a time that chance may explain ends.
    answer_valid_seconds : float
        Time after an answer to a part in which ends under it do not count.
    tries_some_alone : bool
        Whether a request with some of several parts that cannot be told apart is tried
        alone; otherwise it is sent like any other.
    """

    __slots__ = (
        "_answering",
        "_common",
        "_ends_are_widespread",
        "_own",
        "_settings",
        "_tries_some_alone",
    )

    def __init__(
        self,
        settings: HarmSettings,
        ends_are_widespread: Callable[[float], bool],
        answer_valid_seconds: float,
        *,
        tries_some_alone: bool,
    ) -> None:
        self._settings = settings
        self._tries_some_alone = tries_some_alone
        self._ends_are_widespread = ends_are_widespread
        # How many targets have answered a part a moment ago and go on, by its key.
        self._answering: Mapping[int, int] = {}
        # By part of one organisation, and by part of any.
        self._own = PartTable(settings, answer_valid_seconds)
        self._common = PartTable(settings, answer_valid_seconds)

    def __len__(self) -> int:
        """Return for how many parts ends are remembered."""
        return len(self._own)

    @property
    def may_hold(self) -> bool:
        """Return whether any part may have to be held back."""
        return self._own.may_hold or self._common.may_hold

    def configure(self, settings: HarmSettings) -> None:
        """Replace the settings.

        Parameters
        ----------
        settings : HarmSettings
            When a part is held back.
        """
        self._settings = settings
        self._own.configure(settings)
        self._common.configure(settings)

    def set_answering(self, targets: Mapping[int, int]) -> None:
        """Set how many targets speak for parts, as they answered and go on.

        Each raises the ends that are required by one: many targets that end at once, or
        one after the other, leave others behind that answer a harmless part.

        Parameters
        ----------
        targets : Mapping[int, int]
            Numbers of targets, by fingerprint of the part and by its common half.
        """
        self._answering = targets

    def record_end(self, end: TargetEnd) -> bool:
        """Record that a target ended as it began to answer a prompt.

        Parameters
        ----------
        end : TargetEnd
            The end, with the parts of the prompt.

        Returns
        -------
        bool
            Whether it is new for any of the parts.
        """
        is_new = False
        for part in end.parts:
            found = PartEnd(end.at, end.fingerprint, part)
            is_new |= self._own.record_end(part, end.target, found)
            is_new |= self._common.record_end(common_half(part), end.target, found)
        return is_new

    def record_answer(self, answered: PartsAnswered) -> bool:
        """Void the ends under the parts of a prompt that was answered.

        Parameters
        ----------
        answered : PartsAnswered
            The answer.

        Returns
        -------
        bool
            Whether any end was voided.
        """
        is_new = False
        for part in answered.parts:
            is_new |= self._own.record_answer(part, answered.at)
            is_new |= self._common.record_answer(common_half(part), answered.at)
        return is_new

    def record_trial(self, trial: SuspectTrial, now: float) -> bool:
        """Record that a request with suspect parts was sent to a target as a trial.

        Parameters
        ----------
        trial : SuspectTrial
            The trial, with the suspect parts.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether it was new, and about a part that is to be tried alone.
        """
        is_new = False
        for part in trial.parts:
            for _, _, evidence in self._suspected(part, now):
                is_new |= trial.at > evidence.trial_at
                evidence.trial_at = max(evidence.trial_at, trial.at)
        return is_new

    def retract_ends(self, target: int) -> None:
        """Retract the ends of a target that was reported as ended but still runs.

        Parameters
        ----------
        target : int
            Key of its incarnation.
        """
        self._own.retract_ends(target)
        self._common.retract_ends(target)

    def suspects(self, parts: tuple[int, ...], now: float) -> tuple[int, ...]:
        """Return the parts of a prompt that are to be tried alone.

        Parameters
        ----------
        parts : tuple[int, ...]
            Fingerprints of its parts.
        now : float
            Current time in seconds.

        Returns
        -------
        tuple[int, ...]
            Those with the required number of ends, which no others explain.
        """
        return tuple(
            part
            for part in parts
            if any(
                self._tries_some_alone or self._has_all_tied(table, key, parts)
                for table, key, _ in self._suspected(part, now)
            )
        )

    def held_for(self, parts: tuple[int, ...], now: float) -> float:
        """Return for how long a request with a prompt is held back.

        Parameters
        ----------
        parts : tuple[int, ...]
            Fingerprints of the prompt's parts.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 if it may be sent.
        """
        until = 0.0
        for part in parts:
            for table, key, evidence in self._suspected(part, now):
                has_all = self._has_all_tied(table, key, parts)
                if has_all or self._tries_some_alone:
                    until = max(until, evidence.trial_at + PART_TRIAL_SECONDS)
                if has_all:
                    until = max(until, self._held_until(evidence))
        return max(0.0, until - now)

    def held(self, now: float) -> list[int]:
        """Return the parts that are held back.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[int]
            Their fingerprints, one of each organisation that is concerned.
        """
        candidates = set(self._own.with_enough_ends)
        for key in self._common.with_enough_ends:
            evidence = self._common.get(key)
            if evidence is not None:
                candidates |= {end.part for end in evidence.ends.values()}
        return sorted(part for part in candidates if self.is_held(part, now))

    def is_held(self, part: int, now: float) -> bool:
        """Return whether any request with a part is held back.

        Parameters
        ----------
        part : int
            Fingerprint of the part.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether those are that have all parts which can't be told apart from it.
        """
        return any(
            self._held_until(evidence) > now
            for _, _, evidence in self._suspected(part, now)
        )

    def sufficient_ends(self, part: int) -> list[TargetEnd]:
        """Return the most recent ends that suffice to hold a part back.

        Parameters
        ----------
        part : int
            Fingerprint of the part.

        Returns
        -------
        list[TargetEnd]
            As many ends as any other router requires to hold it back too.
        """
        ends: dict[int, TargetEnd] = {}
        common = self._common.get(common_half(part))
        if common is not None:
            ends.update(self._newest(common, ()))
        own = self._own.get(part)
        if own is not None:
            tied = sorted(self._own.tied_with(part))
            ends.update(self._newest(own, tuple(tied[: MAX_REPORTED_PARTS - 1])))
        return list(ends.values())

    def ends_under(self, part: int) -> int:
        """Return how many ends count against a part, of whatever organisation.

        Parameters
        ----------
        part : int
            Fingerprint of the part.

        Returns
        -------
        int
            Targets.
        """
        common = self._common.ends_under(common_half(part))
        return max(self._own.ends_under(part), common)

    def tied_with(self, part: int) -> int:
        """Return how many other parts were on board at all ends of a part.

        Parameters
        ----------
        part : int
            Fingerprint of the part.

        Returns
        -------
        int
            Parts that can't be told apart from it yet.
        """
        return 0 if self._own.get(part) is None else len(self._own.tied_with(part))

    def to_report(self, parts: tuple[int, ...], ended_at: float) -> tuple[int, ...]:
        """Return the parts of a prompt against which an end counts.

        Parameters
        ----------
        parts : tuple[int, ...]
            Fingerprints of its parts.
        ended_at : float
            Time of the end in seconds.

        Returns
        -------
        tuple[int, ...]
            At most `MAX_REPORTED_PARTS`, those answered longest ago first.
        """
        counting = [part for part in parts if not self._own.is_void(part, ended_at)]
        counting.sort(key=self._own.answered_at)
        return tuple(counting[:MAX_REPORTED_PARTS])

    def known_answer(self, part: int, ended_at: float) -> float | None:
        """Return when a part was answered, if that voids an end.

        Parameters
        ----------
        part : int
            Fingerprint of the part.
        ended_at : float
            Time of the end in seconds.

        Returns
        -------
        float | None
            Time in seconds; None if the end counts.
        """
        if not self._own.is_void(part, ended_at):
            return None
        return self._own.answered_at(part)

    def _suspected(
        self, part: int, now: float
    ) -> Iterator[tuple[PartTable, int, PartEvidence]]:
        """Yield where a part has the required ends: for its organisation, for all."""
        own = self._own.get(part)
        if own is not None and self._suffices(self._own, part, own, now):
            yield self._own, part, own
        half = common_half(part)
        common = self._common.get(half)
        if common is None or not self._concerns_all(common, part):
            return
        if self._suffices(self._common, half, common, now):
            yield self._common, half, common

    def _has_all_tied(self, table: PartTable, key: int, parts: tuple[int, ...]) -> bool:
        """Return whether a prompt has all parts that can't be told apart from one."""
        prompt = parts
        if table is self._common:
            prompt = tuple(common_half(each) for each in parts)
        return table.tied_with(key).issubset(prompt)

    def _suffices(
        self, table: PartTable, key: int, evidence: PartEvidence, now: float
    ) -> bool:
        required = self._settings.part_ends
        if len(evidence.ends) < required or not evidence.is_of_unlike_requests:
            return False
        if table.answered_at(key) or self._ends_are_widespread(now):
            required += EXTRA_PART_ENDS
        required += self._answering.get(key, 0)
        return len(evidence.ends) >= required and not table.is_explained(key)

    def _concerns_all(self, evidence: PartEvidence, part: int) -> bool:
        """Return whether a part counts for organisations without enough ends too."""
        if len(evidence.ends) < self._settings.part_ends or self._own.answered_at(part):
            return False
        by_organisation = Counter(end.part for end in evidence.ends.values())
        return len(evidence.ends) - max(by_organisation.values()) >= MIN_ENDS_OF_OTHERS

    def _held_until(self, evidence: PartEvidence) -> float:
        settings = self._settings
        times = sorted(end.at for end in evidence.ends.values())
        shortest_gap = MIN_TRIAL_GAP_SHARE * settings.part_hold
        trials = sum(
            later - earlier >= shortest_gap
            for earlier, later in pairwise(times[settings.part_ends - 1 :])
        )
        hold = settings.part_hold * PART_HOLD_GROWTH_FACTOR**trials
        return evidence.last_end + min(settings.longest_hold, hold)

    def _newest(
        self, evidence: PartEvidence, tied: tuple[int, ...]
    ) -> dict[int, TargetEnd]:
        newest = sorted(evidence.ends.items(), key=lambda item: -item[1].at)
        required = self._settings.part_ends + EXTRA_PART_ENDS
        return {
            target: TargetEnd(end.content, target, end.at, parts=(end.part, *tied))
            for target, end in newest[:required]
        }
