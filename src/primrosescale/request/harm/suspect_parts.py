"""Judges prompt parts by all ends of targets, early and late.

Early ends are those under answers that had hardly begun. An answer that goes on for a
second, or is complete and survived by its target for a moment, voids them.

Some targets end only some time after they began to answer, without a loss of that
answer. Such late ends count separately, and only against parts that no target is known
to have survived: targets that end for other reasons end soon after many harmless
answers. One lasting answer, whose target was alive when the beginning of the answer
was long over, voids all late ends under its parts for good. While no part at all is
proven by one, as after a start of all routers, late ends say nothing.
"""

from __future__ import annotations

import math
from dataclasses import replace
from typing import TYPE_CHECKING

from primrosescale.request.harm.harmful_parts import HarmfulParts
from primrosescale.request.harm.part_evidence import ANSWER_VALID_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping

    from primrosescale.request.harm.harm_reports import PartsAnswered
    from primrosescale.request.harm.harm_reports import SuspectTrial
    from primrosescale.request.harm.harm_reports import TargetEnd
    from primrosescale.request.harm.harm_settings import HarmSettings


class SuspectParts:
    """Counts early and late ends of targets by prompt part, and decides on holds.

    Parameters
    ----------
    settings : HarmSettings
        When a part is held back.
    ends_are_widespread : Callable[[float], bool]
        Returns whether targets end so often at a time that chance may explain ends.
    """

    __slots__ = ("_by_early_ends", "_by_late_ends", "_judges_late_ends")

    def __init__(
        self, settings: HarmSettings, ends_are_widespread: Callable[[float], bool]
    ) -> None:
        self._by_early_ends = HarmfulParts(
            settings, ends_are_widespread, ANSWER_VALID_SECONDS, tries_some_alone=True
        )
        # Parts of harmless requests beside a harmful one are proven only after a while,
        # and are sent until then.
        self._by_late_ends = HarmfulParts(
            settings, ends_are_widespread, math.inf, tries_some_alone=False
        )
        self._judges_late_ends = False

    def __len__(self) -> int:
        """Return for how many parts early ends are remembered."""
        return len(self._by_early_ends)

    @property
    def may_hold(self) -> bool:
        """Return whether any part may have to be held back."""
        return any(judged.may_hold for judged in self._judging())

    def configure(self, settings: HarmSettings) -> None:
        """Replace the settings; see `HarmfulParts.configure`."""
        for judged in self._both():
            judged.configure(settings)

    def judge_late_ends(self) -> None:
        """Judge by late ends from now on, as another router does."""
        self._judges_late_ends = True

    def set_answering(self, targets: Mapping[int, int]) -> None:
        """Set which targets speak for parts; see `HarmfulParts.set_answering`."""
        self._by_late_ends.set_answering(targets)

    def record_end(self, end: TargetEnd) -> bool:
        """Record that a target ended some time after it received a prompt.

        Parameters
        ----------
        end : TargetEnd
            The end, with the parts of the prompt.

        Returns
        -------
        bool
            Whether it is new for any of the parts.
        """
        return self._judged_by(is_late=end.is_late).record_end(end)

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
        is_new = self._by_early_ends.record_answer(answered)
        if answered.is_lasting:
            self._judges_late_ends = True
            is_new |= self._by_late_ends.record_answer(answered)
        return is_new

    def record_trial(self, trial: SuspectTrial, now: float) -> bool:
        """Record that suspects are tried; see `HarmfulParts.record_trial`."""
        is_new = self._by_early_ends.record_trial(trial, now)
        return self._by_late_ends.record_trial(trial, now) or is_new

    def retract_ends(self, target: int) -> None:
        """Retract the ends of a target; see `HarmfulParts.retract_ends`."""
        for judged in self._both():
            judged.retract_ends(target)

    def suspects(self, parts: tuple[int, ...], now: float) -> tuple[int, ...]:
        """Return the parts to be tried alone; see `HarmfulParts.suspects`."""
        found = {
            part for judged in self._judging() for part in judged.suspects(parts, now)
        }
        return tuple(part for part in parts if part in found)

    def held_for(self, parts: tuple[int, ...], now: float) -> float:
        """Return how long a prompt is held back; see `HarmfulParts.held_for`."""
        return max(judged.held_for(parts, now) for judged in self._judging())

    def held(self, now: float) -> list[int]:
        """Return the parts that are held back; see `HarmfulParts.held`."""
        return sorted({part for judged in self._judging() for part in judged.held(now)})

    def is_held(self, part: int, now: float) -> bool:
        """Return whether a part is held back; see `HarmfulParts.is_held`."""
        return any(judged.is_held(part, now) for judged in self._judging())

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
        ends = self._by_early_ends.sufficient_ends(part)
        if self._judges_late_ends:
            late = self._by_late_ends.sufficient_ends(part)
            ends += [replace(end, is_late=True) for end in late]
        return ends

    def ends_under(self, part: int) -> int:
        """Return how many ends count, of either kind; see `HarmfulParts.ends_under`."""
        return max(judged.ends_under(part) for judged in self._both())

    def tied_with(self, part: int) -> int:
        """Return how many parts have the same ends; see `HarmfulParts.tied_with`."""
        return max(self._both(), key=lambda each: each.ends_under(part)).tied_with(part)

    def to_report(self, parts: tuple[int, ...], ended_at: float) -> tuple[int, ...]:
        """Return the parts of a prompt against which an early end counts.

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
        return self._by_early_ends.to_report(parts, ended_at)

    def unproven(self, parts: tuple[int, ...]) -> tuple[int, ...]:
        """Return the parts that no target is known to have survived.

        Parameters
        ----------
        parts : tuple[int, ...]
            Fingerprints of parts.

        Returns
        -------
        tuple[int, ...]
            Those against which late ends count.
        """
        late = self._by_late_ends
        return tuple(part for part in parts if late.known_answer(part, 0.0) is None)

    def known_answer(
        self, part: int, ended_at: float, *, is_late: bool = False
    ) -> float | None:
        """Return when a part was answered, if that voids an end.

        Parameters
        ----------
        part : int
            Fingerprint of the part.
        ended_at : float
            Time of the end in seconds.
        is_late : bool
            Whether it was a late end, so that only a lasting answer voids it.

        Returns
        -------
        float | None
            Time in seconds; None if the end counts.
        """
        return self._judged_by(is_late=is_late).known_answer(part, ended_at)

    def _judged_by(self, *, is_late: bool) -> HarmfulParts:
        return self._by_late_ends if is_late else self._by_early_ends

    def _judging(self) -> tuple[HarmfulParts, ...]:
        """Return by what parts are held back now."""
        return self._both() if self._judges_late_ends else (self._by_early_ends,)

    def _both(self) -> tuple[HarmfulParts, HarmfulParts]:
        return self._by_early_ends, self._by_late_ends
