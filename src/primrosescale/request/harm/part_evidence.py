"""Records under which prompt parts targets ended, and which parts were answered."""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING
from typing import NamedTuple

if TYPE_CHECKING:
    from primrosescale.request.harm.harm_settings import HarmSettings

# An end counts only if it came later than this after an answer to the part: requests
# with a part that ends targets are not answered in between.
ANSWER_VALID_SECONDS = 2.0
# Maximum of ends that are remembered for one part.
MAX_PART_ENDS = 16
# When the limit is reached, the part with the fewest ends among this many of the oldest
# is evicted.
EVICTION_CANDIDATES = 16
# Contents that are told apart for one part.
MAX_CONTENTS = 2


class PartEnd(NamedTuple):
    """A target that ended as it began to answer a prompt with a part.

    Parameters
    ----------
    at : float
        When, in seconds.
    content : int
        Fingerprint of the request's content.
    part : int
        Fingerprint of the part for the request's organisation.
    """

    at: float
    content: int
    part: int


class PartEvidence:
    """What is known against one part.

    Attributes
    ----------
    ends : dict[int, PartEnd]
        The ends since the last answer, by target.
    contents : set[int]
        Contents of the first few different requests.
    trial_at : float
        When a request with it was last sent as a trial; 0 for never.
    """

    __slots__ = ("contents", "ends", "trial_at")

    def __init__(self) -> None:
        self.ends: dict[int, PartEnd] = {}
        self.contents: set[int] = set()
        self.trial_at = 0.0

    @property
    def last_end(self) -> float:
        """Return when the last target ended, in seconds."""
        return max((end.at for end in self.ends.values()), default=0.0)

    @property
    def is_of_unlike_requests(self) -> bool:
        """Return whether the ends came under more than one content."""
        return len(self.contents) == MAX_CONTENTS


class PartTable:
    """Ends of targets and answers, by part.

    Parameters
    ----------
    settings : HarmSettings
        How many parts are remembered, and how many ends make one suspect.
    answer_valid_seconds : float
        Time after an answer to a part in which ends under it do not count.
    """

    __slots__ = (
        "_answer_valid_seconds",
        "_answered",
        "_evidence",
        "_on_board",
        "_settings",
        "_with_enough_ends",
    )

    def __init__(self, settings: HarmSettings, answer_valid_seconds: float) -> None:
        self._settings = settings
        self._answer_valid_seconds = answer_valid_seconds
        # The one whose last new end was recorded longest ago comes first.
        self._evidence: OrderedDict[int, PartEvidence] = OrderedDict()
        # When requests with a part were last answered, the oldest first.
        self._answered: OrderedDict[int, float] = OrderedDict()
        # Parts of the requests that each ended target ran.
        self._on_board: dict[int, set[int]] = {}
        self._with_enough_ends: set[int] = set()

    def __len__(self) -> int:
        """Return for how many parts ends are remembered."""
        return len(self._evidence)

    @property
    def with_enough_ends(self) -> frozenset[int]:
        """Return the parts with as many ends as make a part suspect."""
        return frozenset(self._with_enough_ends)

    @property
    def may_hold(self) -> bool:
        """Return whether any part has as many ends as make a part suspect."""
        return bool(self._with_enough_ends)

    def configure(self, settings: HarmSettings) -> None:
        """Replace the settings.

        Parameters
        ----------
        settings : HarmSettings
            How many parts are remembered, and how many ends make one suspect.
        """
        self._settings = settings
        self._with_enough_ends = {
            part
            for part, evidence in self._evidence.items()
            if len(evidence.ends) >= settings.part_ends
        }

    def get(self, part: int) -> PartEvidence | None:
        """Return what is known against a part.

        Parameters
        ----------
        part : int
            The part.

        Returns
        -------
        PartEvidence | None
            The evidence; None if no end counts.
        """
        return self._evidence.get(part)

    def ends_under(self, part: int) -> int:
        """Return how many ends count against a part.

        Parameters
        ----------
        part : int
            The part.

        Returns
        -------
        int
            Targets.
        """
        evidence = self._evidence.get(part)
        return 0 if evidence is None else len(evidence.ends)

    def answered_at(self, part: int) -> float:
        """Return when a request with a part was last answered.

        Parameters
        ----------
        part : int
            The part.

        Returns
        -------
        float
            Time in seconds; 0 if no answer is remembered.
        """
        return self._answered.get(part, 0.0)

    def is_void(self, part: int, at: float) -> bool:
        """Return whether an answer to the part voids an end.

        Parameters
        ----------
        part : int
            The part.
        at : float
            Time of the end in seconds.

        Returns
        -------
        bool
            True up to some time after the last answer.
        """
        answered_at = self._answered.get(part)
        return (
            answered_at is not None and at <= answered_at + self._answer_valid_seconds
        )

    def record_end(self, part: int, target: int, end: PartEnd) -> bool:
        """Record that a target ended under a request with a part.

        Parameters
        ----------
        part : int
            The part.
        target : int
            Key of the target's incarnation.
        end : PartEnd
            The end.

        Returns
        -------
        bool
            Whether the target is new for the part, and the end counts.
        """
        if self.is_void(part, end.at):
            return False
        evidence = self._evidence.get(part)
        if evidence is None:
            evidence = self._add(part)
        if len(evidence.contents) < MAX_CONTENTS:
            evidence.contents.add(end.content)
        if target in evidence.ends:
            return False
        if len(evidence.ends) >= MAX_PART_ENDS:
            oldest = min(evidence.ends, key=lambda each: evidence.ends[each].at)
            self._drop_end(part, evidence, oldest)
        evidence.ends[target] = end
        self._on_board.setdefault(target, set()).add(part)
        self._evidence.move_to_end(part)
        if len(evidence.ends) >= self._settings.part_ends:
            self._with_enough_ends.add(part)
        return True

    def record_answer(self, part: int, at: float) -> bool:
        """Record that a request with a part was answered, which voids earlier ends.

        Parameters
        ----------
        part : int
            The part.
        at : float
            When, in seconds.

        Returns
        -------
        bool
            Whether an end was voided.
        """
        known = self._answered.pop(part, 0.0)
        self._answered[part] = max(known, at)
        if len(self._answered) > self._settings.answered_parts:
            self._answered.popitem(last=False)
        evidence = self._evidence.get(part)
        if evidence is None:
            return False
        void = [
            target
            for target, end in evidence.ends.items()
            if end.at <= at + self._answer_valid_seconds
        ]
        for target in void:
            self._drop_end(part, evidence, target)
        return bool(void)

    def retract_ends(self, target: int) -> None:
        """Retract the ends of a target that was reported as ended but still runs.

        Parameters
        ----------
        target : int
            Key of its incarnation.
        """
        for part in list(self._on_board.get(target, ())):
            self._drop_end(part, self._evidence[part], target)

    def is_explained(self, part: int) -> bool:
        """Return whether a part with more ends was on board at each end of a part.

        Parameters
        ----------
        part : int
            A part for which ends are remembered.

        Returns
        -------
        bool
            Whether other parts explain all its ends better.
        """
        ends = self._evidence[part].ends
        return all(
            any(self.ends_under(other) > len(ends) for other in self._on_board[target])
            for target in ends
        )

    def tied_with(self, part: int) -> frozenset[int]:
        """Return the parts that can't be told apart from a part by its ends.

        Parameters
        ----------
        part : int
            A part for which ends are remembered.

        Returns
        -------
        frozenset[int]
            Those that were on board at all its ends, in the same prompts or others.
        """
        on_board = [self._on_board[target] for target in self._evidence[part].ends]
        return frozenset(set.intersection(*on_board) - {part})

    def _add(self, part: int) -> PartEvidence:
        if len(self._evidence) >= self._settings.remembered_parts:
            oldest = list(islice(self._evidence, EVICTION_CANDIDATES))
            fewest = min(oldest, key=self.ends_under)
            for target in list(self._evidence[fewest].ends):
                self._drop_end(fewest, self._evidence[fewest], target)
        evidence = self._evidence[part] = PartEvidence()
        return evidence

    def _drop_end(self, part: int, evidence: PartEvidence, target: int) -> None:
        """Drop an end, and the part with its last one."""
        del evidence.ends[target]
        on_board = self._on_board[target]
        on_board.discard(part)
        if not on_board:
            del self._on_board[target]
        if len(evidence.ends) < self._settings.part_ends:
            self._with_enough_ends.discard(part)
        if not evidence.ends:
            del self._evidence[part]
