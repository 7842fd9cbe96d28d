"""What a target says of itself in its answers, which no entry of a list revokes.

The patterns it answers: the store is away, or its entry comes late, and a target's own
answers are the only word of what it may be given; and a target that is overloaded
asks for some seconds without requests, while all that it turned away waits to return.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.forwarding_interfaces import AnswerHead
    from primrosescale.request.target_incarnation import TargetIncarnation

# Targets that are no longer listed whose statements are kept; those kept first go.
MOST_KEPT = 1000
# Seconds after which a rested target is asked again that has not answered the
# requests sent to it since its rest.
ASK_AGAIN_SECONDS = 1.0
# Seconds until it is worth looking again at a target that has got, for now, all the
# requests it may have.
LOOK_AGAIN_SECONDS = 0.05
# Requests that each answer after a rest makes room for.
ROOM_PER_ANSWER = 2


class TargetSelfReports:
    """What one incarnation of a target has said of itself.

    After a rest it gets one request, and two more for each that it answers, until
    that is as many as it runs at once.
    """

    __slots__ = ("_cold_until", "_leaving_since", "_rests_until", "_room", "_sent_at")

    def __init__(self) -> None:
        self._cold_until = -math.inf
        self._leaving_since = -math.inf
        self._rests_until = 0.0
        # Requests it may get since its last rest; None for any number.
        self._room: int | None = None
        self._sent_at = 0.0

    @property
    def is_leaving(self) -> bool:
        """Tell whether it has said that it leaves; it cannot take that back."""
        return self._leaving_since > -math.inf

    @property
    def leaving_since(self) -> float:
        """Return when it first said that it leaves, in seconds; long ago for never."""
        return self._leaving_since

    @property
    def cold_until(self) -> float:
        """Return until when it is cold, in seconds; long ago where it did not say."""
        return self._cold_until

    @property
    def is_limited(self) -> bool:
        """Tell whether it rests, or rested lately, so that it may get few requests."""
        return self._room is not None

    def set_leaving(self, now: float) -> bool:
        """Take in that it said that it leaves, here or to another router.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether that is news.
        """
        if self.is_leaving:
            return False
        self._leaving_since = now
        return True

    def is_in_force(self, now: float) -> bool:
        """Tell whether anything it said still bears on what it may be given.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False where nothing is lost by forgetting it.
        """
        return self.is_leaving or self.is_limited or now < self._cold_until

    def has_requested_pause(self, now: float) -> bool:
        """Tell whether it wants no requests now.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True until the end of its rest.
        """
        return now < self._rests_until

    def wait(self, now: float) -> float:
        """Return after how long a request may be sent there.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 for now.
        """
        if self._room is None:
            return 0.0
        if now < self._rests_until:
            return self._rests_until - now
        if self._room > 0 or now - self._sent_at >= ASK_AGAIN_SECONDS:
            return 0.0
        return LOOK_AGAIN_SECONDS

    def sent(self, now: float) -> None:
        """Take in that a request is sent there.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if self._room is not None:
            self._room = max(0, self._room - 1)
            self._sent_at = now

    def take(self, head: AnswerHead, slots: int, now: float) -> bool:
        """Take in the head of an answer.

        Parameters
        ----------
        head : AnswerHead
            The head, of an answer of this incarnation.
        slots : int
            Requests that it runs at once.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether it says something new that bears on what it may be given.
        """
        if head.cold_for is not None:
            self._cold_until = now + head.cold_for
        is_worth_sharing = head.is_leaving and self.set_leaving(now)
        if head.rest is not None:
            is_worth_sharing = is_worth_sharing or now >= self._rests_until
            self._rests_until = max(self._rests_until, now + head.rest)
            self._room = 1
        elif not head.is_not_run:
            self._make_room(slots, now)
        return is_worth_sharing

    def _make_room(self, slots: int, now: float) -> None:
        """Take in an answer that may be one to a request since the rest."""
        if self._room is None or now < self._rests_until:
            return
        self._room += ROOM_PER_ANSWER
        if self._room > slots:
            self._room = None


class RetainedSelfReports:
    """Statements of targets that are not listed at the moment, by incarnation.

    An entry may lapse and be written again while its target lives.
    """

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept: dict[TargetIncarnation, TargetSelfReports] = {}

    def __len__(self) -> int:
        """Return of how many targets there are any."""
        return len(self._kept)

    def keep(
        self,
        incarnation: TargetIncarnation,
        self_reports: TargetSelfReports,
        now: float,
    ) -> None:
        """Keep what a target said whose entry is gone.

        Parameters
        ----------
        incarnation : TargetIncarnation
            The target.
        self_reports : TargetSelfReports
            What it said.
        now : float
            Present time in seconds.
        """
        if not self_reports.is_in_force(now):
            return
        self._kept[incarnation] = self_reports
        if len(self._kept) > MOST_KEPT:
            del self._kept[next(iter(self._kept))]

    def pop(self, incarnation: TargetIncarnation) -> TargetSelfReports:
        """Return what a target said that is listed now; empty for a new one.

        Parameters
        ----------
        incarnation : TargetIncarnation
            The target.

        Returns
        -------
        TargetSelfReports
            Its statements, kept here no longer.
        """
        return self._kept.pop(incarnation, None) or TargetSelfReports()
