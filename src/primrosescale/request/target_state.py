"""What a router knows of one target: its load, its health, when it was heard.

It answers three patterns of load and failure: a surge, in which reports of
load are old when they are read; a target that is lost without a word; and one
that fails part of its requests while its health probe is good. Grounds for the
figures stand beside them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primrosescale.request.decaying_outcomes import DecayingOutcomes
from primrosescale.request.target_statements import TargetSelfReports
from primrosescale.request.told_counts import ToldCounts

if TYPE_CHECKING:
    from primrosescale.request.forwarding_interfaces import AnswerHead
    from primrosescale.request.serving_target import ServingTarget
    from primrosescale.request.target_incarnation import TargetIncarnation

# Seconds. A report of load tells of the moment at which the answer began: most
# plain requests that it counted have ended since, and streams are counted again
# by the next answers.
REPORT_HALF_LIFE = 0.5
# Seconds in which outcomes lose half of their influence. All routers tell theirs, so
# that it covers a dozen or more at each target; a longer time would send callers
# to a target that has begun to fail.
OUTCOME_HALF_LIFE = 2.0
# Seconds for which a target that could not be reached is left out at first, and
# twice as long after each further failure, up to the most: a restart takes some
# seconds.
FIRST_PAUSE = 0.5
LONGEST_PAUSE = 4.0
# Seconds. A target that works sends something to each stream many times as often;
# reading a long prompt keeps one silent for about as long, so that silence is a
# reason to ask others, no proof that a target is lost.
SILENT_SECONDS = 0.45
# Seconds for which a target is taken to end what it has, after it said in an answer
# that it leaves, or after its entry went without notice.
ASSUMED_DRAIN_SECONDS = 3.0
# Share of failures from which on a target whose entry is gone is taken to have
# crashed: what it had was lost.
CRASHED_SHARE = 0.25
# A late answer is worth half of one in time.
LATE_WEIGHT = 0.5
# Pseudo-outcomes that hold a target to be good before it was tried.
PRIOR_GOOD = 2.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as a target tells it with an answer.

    Parameters
    ----------
    running : int
        Requests it runs.
    waiting : int
        Requests that wait there.
    slots : int
        Requests it can run at once.
    """

    running: int
    waiting: int
    slots: int


class TargetState:
    """What this router knows of one incarnation of a target.

    It is replaced whole when the target has started again, so that nothing
    that was true of the former incarnation is left.

    Parameters
    ----------
    target : ServingTarget
        The target.
    now : float
        Present time in seconds.
    self_reports : TargetSelfReports | None
        What this incarnation of it said of itself while it was listed before.
    """

    __slots__ = (
        "_cold_until",
        "_evacuated_at",
        "_failures",
        "_heard_at",
        "_held_up",
        "_incarnation",
        "_outcomes",
        "_own",
        "_own_at_report",
        "_paused_until",
        "_report",
        "_report_at",
        "_returned_at",
        "_self_reports",
        "_since",
        "_target",
        "_told",
        "_told_bad",
        "_told_good",
        "_waited_for_since",
    )

    def __init__(
        self,
        target: ServingTarget,
        now: float,
        self_reports: TargetSelfReports | None = None,
    ) -> None:
        self._target = target
        self._self_reports = self_reports or TargetSelfReports()
        self._incarnation = target.incarnation
        self._since = now
        self._own = 0
        self._held_up = 0
        self._report = LoadReport(0, 0, target.slots)
        self._report_at = now - 60.0
        self._own_at_report = 0
        self._told = ToldCounts()
        self._told_good = ToldCounts()
        self._told_bad = ToldCounts()
        self._outcomes = DecayingOutcomes(OUTCOME_HALF_LIFE, now)
        self._failures = 0
        self._paused_until = 0.0
        self._heard_at = now
        self._waited_for_since = now
        self._evacuated_at: float | None = None
        self._cold_until = now + target.warm_up_seconds
        # Since when it may have been unseen no longer; it is taken to be cold then.
        self._returned_at = -math.inf

    @property
    def target(self) -> ServingTarget:
        """Return the target as listed."""
        return self._target

    @property
    def incarnation(self) -> TargetIncarnation:
        """Return which incarnation of the target this is about."""
        return self._incarnation

    @property
    def own_running(self) -> int:
        """Return how many requests of this router are there."""
        return self._own

    @property
    def last_received_at(self) -> float:
        """Return when bytes last came from it, in seconds."""
        return self._heard_at

    @property
    def since(self) -> float:
        """Return when it was first listed here, in seconds."""
        return self._since

    @property
    def takes_work(self) -> bool:
        """Tell whether it gets new requests: it neither leaves nor is evacuated."""
        if self._evacuated_at is not None or self._target.is_draining:
            return False
        return not self._self_reports.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Tell whether it leaves, by its entry or by an answer of its own."""
        return self._target.is_draining or self._self_reports.is_leaving

    def is_departing(self, now: float) -> bool:
        """Tell whether it leaves and is known to run still.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True while its entry says so, and for a while after an answer did.
        """
        if self._target.is_draining:
            return True
        return now - self._self_reports.leaving_since < ASSUMED_DRAIN_SECONDS

    def seems_sound(self, now: float) -> bool:
        """Tell whether nothing known of it speaks for its having crashed.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False for one that is avoided, or of which answers were lost lately.
        """
        return not self.is_avoided(now) and self.failure_share(now) < CRASHED_SHARE

    @property
    def self_reports(self) -> TargetSelfReports:
        """Return what it said of itself."""
        return self._self_reports

    @property
    def slots(self) -> int:
        """Return how many requests it runs at once; at least 1."""
        return max(1, self._report.slots or self._target.slots)

    def update_entry(self, target: ServingTarget) -> None:
        """Take in a changed entry of the list.

        Parameters
        ----------
        target : ServingTarget
            The same incarnation of the target as listed now; its start stays known
            where the entry does not tell it.
        """
        if target.started_at is None:
            target = replace(target, started_at=self._incarnation.started_at)
        self._target = target

    def evacuate(self, now: float) -> None:
        """Take in that its failure domain gets no new requests.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if self._evacuated_at is None:
            self._evacuated_at = now

    def end_evacuation(self, now: float) -> None:
        """Take in that its failure domain gets requests again.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if self._evacuated_at is not None:
            self._evacuated_at = None
            self.assume_cold_from(now)

    def assume_cold_from(self, now: float) -> None:
        """Take in that it may have lost its caches while it was not seen.

        Parameters
        ----------
        now : float
            When it may be seen again, in seconds.
        """
        self._returned_at = max(self._returned_at, now)

    def set_cold_for(self, cold_for: float, now: float) -> None:
        """Take in how long its entry says that it stays cold.

        Parameters
        ----------
        cold_for : float
            Seconds.
        now : float
            Present time in seconds.
        """
        self._cold_until = now + cold_for

    def cold_until(self, cold_seconds: float) -> float:
        """Return until when it is taken to be cold.

        Parameters
        ----------
        cold_seconds : float
            Seconds for which a target of its service is cold after a start.

        Returns
        -------
        float
            Time in seconds.
        """
        return max(
            self._cold_until,
            self._self_reports.cold_until,
            self._returned_at + cold_seconds,
        )

    def may_be_copied_from(self, now: float, grace: float) -> bool:
        """Tell whether other targets may copy what it has read.

        Parameters
        ----------
        now : float
            Present time in seconds.
        grace : float
            Seconds for which they may after its domain was evacuated.

        Returns
        -------
        bool
            True unless it is avoided, or evacuated for longer.
        """
        if self.is_avoided(now):
            return False
        return self._evacuated_at is None or now - self._evacuated_at <= grace

    def sent(self, now: float) -> None:
        """Count a request that is sent there.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._wait_from(now)
        self._own += 1
        self._self_reports.sent(now)

    def ended(self) -> None:
        """Count a request that is no longer there."""
        self._own = max(0, self._own - 1)

    def pause_reading(self) -> None:
        """Take in that no bytes of a request there are read: its caller is slow.

        A target whose bytes nobody reads must not be taken for a silent one.
        """
        self._held_up += 1

    def resume_reading(self, now: float) -> None:
        """Take in that bytes of a request that was held up are read again.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._wait_from(now)
        self._held_up = max(0, self._held_up - 1)

    def _wait_from(self, now: float) -> None:
        """Count silence from now on, unless it counts already."""
        if self._own <= self._held_up:
            self._waited_for_since = now

    def answered(self, head: AnswerHead, now: float) -> bool:
        """Take in what the head of an answer of its own says of it.

        Parameters
        ----------
        head : AnswerHead
            The head.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether it says something new that bears on what it may be given.
        """
        self.bytes_received(now)
        if head.load is not None:
            self.set_load(head.load, now)
        return self._self_reports.take(head, self.slots, now)

    def bytes_received(self, now: float) -> None:
        """Take in that bytes came from it.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._heard_at = now

    def set_load(self, report: LoadReport, now: float) -> None:
        """Take in a report of its load.

        Parameters
        ----------
        report : LoadReport
            The report.
        now : float
            Present time in seconds.
        """
        self._report = report
        self._report_at = now
        self._own_at_report = self._own

    def set_peer_requests(self, router: str, running: int, fresh_until: float) -> None:
        """Take in how many requests another router has there.

        Parameters
        ----------
        router : str
            The other router.
        running : int
            Its requests.
        fresh_until : float
            When this stops to count, in seconds.
        """
        self._told.put(router, running, fresh_until)

    def set_peer_outcomes(
        self, router: str, good: float, bad: float, fresh_until: float
    ) -> None:
        """Take in what outcomes another router has seen lately.

        Parameters
        ----------
        router : str
            The other router.
        good : float
            Its good outcomes, fading as this router's own.
        bad : float
            Its bad ones.
        fresh_until : float
            When this stops to count, in seconds.
        """
        self._told_good.put(router, good, fresh_until)
        self._told_bad.put(router, bad, fresh_until)

    def load(self, now: float) -> float:
        """Return how many requests are there by the best knowledge.

        The larger of two estimates counts: what routers tell of themselves,
        and the last report less what this router then had, fading.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Requests, running and waiting.
        """
        total = self._report.running + self._report.waiting
        others = max(0, total - self._own_at_report)
        faded = others * 0.5 ** ((now - self._report_at) / REPORT_HALF_LIFE)
        return float(self._own + max(self._told.total(now), faded))

    def failure_share(self, now: float) -> float:
        """Return the share of failures among recent outcomes.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            0 to 1.
        """
        own_good, own_bad = self.outcomes(now)
        good = own_good + self._told_good.total(now)
        bad = own_bad + self._told_bad.total(now)
        return bad / (good + bad + PRIOR_GOOD)

    def outcomes(self, now: float) -> tuple[float, float]:
        """Return this router's own recent outcomes.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        tuple[float, float]
            Good and bad ones, fading.
        """
        return self._outcomes.counts(now)

    def succeeded(self, now: float) -> None:
        """Take in a good outcome.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._outcomes.add_good(now)
        self._failures = 0
        self._paused_until = 0.0
        self._heard_at = now

    def failed(self, now: float) -> None:
        """Take in an outcome that is the target's fault.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._outcomes.add_bad(now)

    def unreachable(self, now: float) -> None:
        """Take in that no connection could be opened, or that it went silent.

        It is no outcome that others are told: the way there may be cut from
        here alone.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if now < self._paused_until:
            return
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2.0**self._failures)
        self._failures += 1
        self._paused_until = now + pause
        # A target that was lost may have started again under its name.
        self.assume_cold_from(self._paused_until)

    def answered_late(self, now: float) -> None:
        """Take in an answer that began after its objective.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._outcomes.add_bad(now, LATE_WEIGHT)

    def silence(self, now: float) -> float:
        """Return how long nothing has come though bytes of requests are waited for.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 while there are no such requests of this router.
        """
        if self._own <= self._held_up:
            return 0.0
        return max(0.0, now - max(self._heard_at, self._waited_for_since))

    def is_avoided(self, now: float) -> bool:
        """Tell whether it is left out: unreachable lately, or silent now.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True while others should get its requests.
        """
        return self.is_paused(now) or self.silence(now) > SILENT_SECONDS

    def is_paused(self, now: float) -> bool:
        """Tell whether it is left out after it could not be reached.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True while it gets no requests.
        """
        return now < self._paused_until
