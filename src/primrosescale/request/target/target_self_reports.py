"""Decides from a target's self-reports in answers when it may be sent requests.

A target may report that it is leaving or cold, or request a pause.
No entry in the list of targets revokes a self-report. While the store is unavailable,
or a target's entry is late, its own answers are the only information on what it may
be sent. An overloaded target requests a pause, some seconds without requests; the
requests that it refused would all return at the end of the pause, so that the rate is
raised step by step afterwards.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
    from primrosescale.request.target.target_incarnation import TargetIncarnation

# Unlisted targets whose self-reports are retained; the oldest are dropped first.
MAX_RETAINED = 1000
# A target that has not answered the requests sent to it since its requested pause gets
# another one after this time.
PROBE_AGAIN_SECONDS = 1.0
# Wait before checking again a target that has received all requests it may have for
# now.
RECHECK_SECONDS = 0.05
# Further requests that each answer after a requested pause allows.
ALLOWED_PER_ANSWER = 2


class TargetSelfReports:
    """What one incarnation of a target has reported of itself.

    After a requested pause it gets one request, and two more for each that it answers,
    until more are allowed than it can run at once; then the limit ends.
    """

    __slots__ = (
        "_allowance",
        "_cold_until",
        "_leaving_since",
        "_pause_until",
        "_sent_at",
    )

    def __init__(self) -> None:
        self._cold_until = -math.inf
        self._leaving_since = -math.inf
        self._pause_until = 0.0
        # Requests that it may still get after its last pause; None for no limit.
        self._allowance: int | None = None
        self._sent_at = 0.0

    @property
    def is_leaving(self) -> bool:
        """Return whether it has reported that it is leaving; this is final."""
        return self._leaving_since > -math.inf

    @property
    def leaving_since(self) -> float:
        """Return when it first reported leaving, in seconds; -inf for never."""
        return self._leaving_since

    @property
    def cold_until(self) -> float:
        """Return until when it is cold, in seconds; -inf if it did not report it."""
        return self._cold_until

    @property
    def is_limited(self) -> bool:
        """Return whether its requests are limited by a present or recent pause."""
        return self._allowance is not None

    def set_leaving(self, now: float) -> bool:
        """Record that it reported leaving, to this or to a peer router.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether this was not known yet.
        """
        if self.is_leaving:
            return False
        self._leaving_since = now
        return True

    def is_in_force(self, now: float) -> bool:
        """Return whether anything it reported still affects what it may be sent.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False if all of it may be dropped.
        """
        return self.is_leaving or self.is_limited or now < self._cold_until

    def has_requested_pause(self, now: float) -> bool:
        """Return whether it has asked for no requests at present.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True until the end of its requested pause.
        """
        return now < self._pause_until

    def wait(self, now: float) -> float:
        """Return after how long it may be sent a request.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 for now.
        """
        if self._allowance is None:
            return 0.0
        if now < self._pause_until:
            return self._pause_until - now
        if self._allowance > 0 or now - self._sent_at >= PROBE_AGAIN_SECONDS:
            return 0.0
        return RECHECK_SECONDS

    def sent(self, now: float) -> None:
        """Count a request that is sent to it.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if self._allowance is not None:
            self._allowance = max(0, self._allowance - 1)
            self._sent_at = now

    def record_answer(self, head: AnswerHead, slots: int, now: float) -> bool:
        """Record what the head of an answer reports.

        Parameters
        ----------
        head : AnswerHead
            The head of an answer of this incarnation.
        slots : int
            Requests that it can run at once.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether it reports something new that affects what it may be sent.
        """
        if head.cold_for is not None:
            self._cold_until = now + head.cold_for
        is_new = head.is_leaving and self.set_leaving(now)
        if head.rest is not None:
            is_new = is_new or now >= self._pause_until
            self._pause_until = max(self._pause_until, now + head.rest)
            self._allowance = 1
        elif not head.is_not_run:
            self._raise_allowance(slots, now)
        return is_new

    def _raise_allowance(self, slots: int, now: float) -> None:
        """Allow more requests, for an answer that came after the pause."""
        if self._allowance is None or now < self._pause_until:
            return
        self._allowance += ALLOWED_PER_ANSWER
        if self._allowance > slots:
            self._allowance = None


class RetainedSelfReports:
    """Self-reports of targets that are not listed at present, by incarnation.

    An entry may expire and be written again while its target keeps running.
    """

    __slots__ = ("_kept",)

    def __init__(self) -> None:
        self._kept: dict[TargetIncarnation, TargetSelfReports] = {}

    def __len__(self) -> int:
        """Return for how many targets they are kept."""
        return len(self._kept)

    def keep(
        self,
        incarnation: TargetIncarnation,
        self_reports: TargetSelfReports,
        now: float,
    ) -> None:
        """Keep what a target reported whose entry is gone.

        Parameters
        ----------
        incarnation : TargetIncarnation
            The target's incarnation.
        self_reports : TargetSelfReports
            What it reported.
        now : float
            Current time in seconds.
        """
        if not self_reports.is_in_force(now):
            return
        self._kept[incarnation] = self_reports
        if len(self._kept) > MAX_RETAINED:
            del self._kept[next(iter(self._kept))]

    def pop(self, incarnation: TargetIncarnation) -> TargetSelfReports:
        """Remove and return what a target reported that is listed again.

        Parameters
        ----------
        incarnation : TargetIncarnation
            The target's incarnation.

        Returns
        -------
        TargetSelfReports
            Its self-reports; empty for one of which none are kept.
        """
        return self._kept.pop(incarnation, None) or TargetSelfReports()
