"""Tracks what a router knows of one target: load, failures, last response.

It covers three patterns of load and failure: a surge, in which load reports are
out of date when they are used; a target that is lost without notice; and one that
fails part of its requests while its health probe succeeds. The reasons for the
constants stand beside them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primrosescale.request.target.decaying_outcomes import DecayingOutcomes
from primrosescale.request.target.reported_counts import ReportedCounts
from primrosescale.request.target.target_self_reports import TargetSelfReports

if TYPE_CHECKING:
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
    from primrosescale.request.target.prefill_backlog import PrefillBacklog
    from primrosescale.request.target.serving_target import ServingTarget
    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_pace import TargetPace

# A load report describes the moment at which the answer began: most plain requests
# that it counted have ended since, and streams are counted again by the next answers.
LOAD_REPORT_HALF_LIFE_SECONDS = 0.5
# Age up to which a load report shows that the queue at a target is long.
QUEUE_REPORT_SECONDS = 1.0
# Time in which outcomes lose half of their influence. All routers report theirs, so
# that it covers a dozen or more outcomes per target; a longer half-life would keep
# sending callers to a target that has begun to fail.
OUTCOME_HALF_LIFE_SECONDS = 2.0
# A target that could not be reached is avoided during the first pause, which doubles
# with each further failure up to the maximum: a restart takes some seconds.
FIRST_UNREACHABLE_PAUSE_SECONDS = 0.5
MAX_UNREACHABLE_PAUSE_SECONDS = 4.0
# A working target sends data on each stream many times in this time. Prefilling a long
# prompt keeps a target silent for about as long, so that silence is a reason to try
# other targets but no proof that this one is lost.
SILENT_SECONDS = 0.45
# A target is assumed to run for this long, completing its requests, after it reported
# in an answer that it is leaving, or after its entry vanished without notice.
ASSUMED_DRAIN_SECONDS = 3.0
# A target whose entry is gone is assumed to have crashed, and to have lost its
# requests, when its share of failures is at least this.
CRASHED_FAILURE_SHARE = 0.25
# Others would have answered sooner, but the caller of a late answer gets it.
LATE_WEIGHT = 0.5
# Good outcomes assumed for a target that has not been tried yet.
PRIOR_GOOD_OUTCOMES = 2.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that a target reports with an answer.

    Parameters
    ----------
    running : int
        Requests it runs.
    waiting : int
        Requests that wait at it.
    slots : int
        Requests it can run at once.
    pace : float | None
        How long work takes on its host at present, as a multiple of the usual time;
        None if it does not report that.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


class TargetState:
    """What this router knows of one incarnation of a target.

    It is replaced as a whole when the target has restarted, so that nothing that
    was true of the previous incarnation remains.

    Parameters
    ----------
    target : ServingTarget
        The target.
    now : float
        Current time in seconds.
    self_reports : TargetSelfReports | None
        What this incarnation reported of itself while it was listed earlier.
    """

    __slots__ = (
        "_assumed_cold_from",
        "_awaiting_since",
        "_cold_until",
        "_evacuated_at",
        "_failed_connections",
        "_incarnation",
        "_last_received_at",
        "_listed_at",
        "_outcomes",
        "_own_at_report",
        "_own_requests",
        "_paused_reads",
        "_paused_until",
        "_peer_bad",
        "_peer_good",
        "_peer_requests",
        "_report",
        "_reported_at",
        "_self_reports",
        "_target",
        "pace",
        "prefill_backlog",
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
        self._listed_at = now
        self._own_requests = 0
        self._paused_reads = 0
        self._report = LoadReport(0, 0, target.slots)
        self._reported_at = now - 60.0
        self._own_at_report = 0
        self._peer_requests = ReportedCounts()
        self._peer_good = ReportedCounts()
        self._peer_bad = ReportedCounts()
        self._outcomes = DecayingOutcomes(OUTCOME_HALF_LIFE_SECONDS, now)
        self._failed_connections = 0
        self._paused_until = 0.0
        self._last_received_at = now
        self._awaiting_since = now
        self._evacuated_at: float | None = None
        self._cold_until = now + target.warm_up_seconds
        # End of its last time without requests, when it was unreachable or evacuated;
        # it is assumed to be cold from then.
        self._assumed_cold_from = -math.inf
        # Set by `TargetWork` where overload control is in force.
        self.prefill_backlog: PrefillBacklog | None = None
        self.pace: TargetPace | None = None

    @property
    def target(self) -> ServingTarget:
        """Return the target as listed."""
        return self._target

    @property
    def incarnation(self) -> TargetIncarnation:
        """Return the incarnation of the target that this describes."""
        return self._incarnation

    @property
    def own_running(self) -> int:
        """Return how many requests of this router the target has."""
        return self._own_requests

    @property
    def last_received_at(self) -> float:
        """Return when bytes were last received from it, in seconds."""
        return self._last_received_at

    @property
    def since(self) -> float:
        """Return when this router first listed it, in seconds."""
        return self._listed_at

    @property
    def takes_work(self) -> bool:
        """Return whether it gets new requests: neither leaving nor evacuated."""
        if self._evacuated_at is not None or self._target.is_draining:
            return False
        return not self._self_reports.is_leaving

    @property
    def is_leaving(self) -> bool:
        """Return whether it is leaving, by its entry or by one of its answers."""
        return self._target.is_draining or self._self_reports.is_leaving

    def is_departing(self, now: float) -> bool:
        """Return whether it is leaving and is assumed to still run.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True while its entry marks it as leaving, and for some seconds after one
            of its answers reported it.
        """
        if self._target.is_draining:
            return True
        return now - self._self_reports.leaving_since < ASSUMED_DRAIN_SECONDS

    def seems_alive(self, now: float) -> bool:
        """Return whether nothing suggests that it has crashed.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False if it is avoided, or if its share of failures is high.
        """
        return (
            not self.is_avoided(now) and self.failure_share(now) < CRASHED_FAILURE_SHARE
        )

    @property
    def self_reports(self) -> TargetSelfReports:
        """Return what it reported of itself in its answers."""
        return self._self_reports

    @property
    def slots(self) -> int:
        """Return how many requests it can run at once; at least 1."""
        return max(1, self._report.slots or self._target.slots)

    def update_entry(self, target: ServingTarget) -> None:
        """Replace the entry of the target by a changed one.

        Parameters
        ----------
        target : ServingTarget
            The same incarnation of the target as listed now; a known start time is
            kept where the entry has none.
        """
        if target.started_at is None:
            target = replace(target, started_at=self._incarnation.started_at)
        self._target = target

    def evacuate(self, now: float) -> None:
        """Record that its failure domain gets no new requests.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if self._evacuated_at is None:
            self._evacuated_at = now

    def end_evacuation(self, now: float) -> None:
        """Record that its failure domain gets requests again.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if self._evacuated_at is not None:
            self._evacuated_at = None
            self.assume_cold_from(now)

    def assume_cold_from(self, now: float) -> None:
        """Record that it may have lost its caches while it got no requests.

        Parameters
        ----------
        now : float
            When it may get requests again, in seconds.
        """
        self._assumed_cold_from = max(self._assumed_cold_from, now)

    def set_cold_for(self, cold_for: float, now: float) -> None:
        """Set how long it stays cold according to its entry.

        Parameters
        ----------
        cold_for : float
            Seconds from now.
        now : float
            Current time in seconds.
        """
        self._cold_until = now + cold_for

    def cold_until(self, cold_seconds: float) -> float:
        """Return until when it is assumed to be cold.

        Parameters
        ----------
        cold_seconds : float
            Seconds for which targets of its service are cold after a start.

        Returns
        -------
        float
            Time in seconds.
        """
        return max(
            self._cold_until,
            self._self_reports.cold_until,
            self._assumed_cold_from + cold_seconds,
        )

    def may_be_copied_from(self, now: float, grace: float) -> bool:
        """Return whether other targets may copy prompts from its cache.

        Parameters
        ----------
        now : float
            Current time in seconds.
        grace : float
            Seconds for which they may after its failure domain was evacuated.

        Returns
        -------
        bool
            True unless it is avoided, or was evacuated longer ago than the grace
            period.
        """
        if self.is_avoided(now):
            return False
        return self._evacuated_at is None or now - self._evacuated_at <= grace

    def sent(self, now: float) -> None:
        """Count a request that is sent to it.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._await_from(now)
        self._own_requests += 1
        self._self_reports.sent(now)

    def ended(self) -> None:
        """Count a request of this router as ended."""
        self._own_requests = max(0, self._own_requests - 1)

    def pause_reading(self) -> None:
        """Record that reading one of its answers is paused, since the caller is slow.

        A target whose bytes are not read must not be taken for a silent one.
        """
        self._paused_reads += 1

    def resume_reading(self, now: float) -> None:
        """Record that reading one of its paused answers has resumed.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._await_from(now)
        self._paused_reads = max(0, self._paused_reads - 1)

    def _await_from(self, now: float) -> None:
        """Measure silence from now on, unless bytes are awaited already."""
        if self._own_requests <= self._paused_reads:
            self._awaiting_since = now

    def answered(self, head: AnswerHead, now: float) -> bool:
        """Record what the head of one of its answers reports of it.

        Parameters
        ----------
        head : AnswerHead
            The head.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether it reports something new that affects what it may be sent.
        """
        self.bytes_received(now)
        if head.load is not None:
            self.set_load(head.load, now)
        return self._self_reports.record_answer(head, self.slots, now)

    def bytes_received(self, now: float) -> None:
        """Record that bytes were received from it.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._last_received_at = now

    def set_load(self, report: LoadReport, now: float) -> None:
        """Replace its last load report.

        Parameters
        ----------
        report : LoadReport
            The report.
        now : float
            Current time in seconds.
        """
        self._report = report
        self._reported_at = now
        self._own_at_report = self._own_requests

    def has_long_queue(self, now: float) -> bool:
        """Return whether more requests wait at it than it can run at once.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False if it has not reported that lately.
        """
        is_recent = now - self._reported_at < QUEUE_REPORT_SECONDS
        return is_recent and self._report.waiting > self.slots

    def set_peer_requests(self, router: str, running: int, fresh_until: float) -> None:
        """Set how many requests a peer router has at it.

        Parameters
        ----------
        router : str
            The peer router.
        running : int
            That router's requests.
        fresh_until : float
            When this expires, in seconds.
        """
        self._peer_requests.put(router, running, fresh_until)

    def set_peer_outcomes(
        self, router: str, good: float, bad: float, fresh_until: float
    ) -> None:
        """Set the recent outcomes that a peer router reports.

        Parameters
        ----------
        router : str
            The peer router.
        good : float
            Its good outcomes, decayed like this router's own.
        bad : float
            Its bad outcomes.
        fresh_until : float
            When this expires, in seconds.
        """
        self._peer_good.put(router, good, fresh_until)
        self._peer_bad.put(router, bad, fresh_until)

    def load(self, now: float) -> float:
        """Return an estimate of the requests at it.

        This router's own requests are known. For those of peers the larger of two
        estimates is taken: the sum of what the peer routers report, and the target's
        last load report less this router's requests at that time, decaying.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Requests, running and waiting.
        """
        total = self._report.running + self._report.waiting
        others = max(0, total - self._own_at_report)
        decayed = others * 0.5 ** (
            (now - self._reported_at) / LOAD_REPORT_HALF_LIFE_SECONDS
        )
        return float(self._own_requests + max(self._peer_requests.total(now), decayed))

    def failure_share(self, now: float) -> float:
        """Return the share of failures among recent outcomes.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            0 to 1.
        """
        own_good, own_bad = self.outcomes(now)
        good = own_good + self._peer_good.total(now)
        bad = own_bad + self._peer_bad.total(now)
        return bad / (good + bad + PRIOR_GOOD_OUTCOMES)

    def outcomes(self, now: float) -> tuple[float, float]:
        """Return this router's own recent outcomes.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        tuple[float, float]
            Good and bad outcomes, decayed.
        """
        return self._outcomes.counts(now)

    def succeeded(self, now: float) -> None:
        """Record a good outcome, which also ends a pause after failed connections.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._outcomes.add_good(now)
        self._failed_connections = 0
        self._paused_until = 0.0
        self._last_received_at = now

    def failed(self, now: float) -> None:
        """Record a failure that is the target's fault.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._outcomes.add_bad(now)

    def unreachable(self, now: float) -> None:
        """Record that no connection could be opened, or that it went silent.

        This is not counted among the outcomes that peer routers receive: the target
        may be unreachable from this router alone.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if now < self._paused_until:
            return
        pause = min(
            MAX_UNREACHABLE_PAUSE_SECONDS,
            FIRST_UNREACHABLE_PAUSE_SECONDS * 2.0**self._failed_connections,
        )
        self._failed_connections += 1
        self._paused_until = now + pause
        # A target that was lost may have restarted under the same name.
        self.assume_cold_from(self._paused_until)

    def answered_late(self, now: float) -> None:
        """Record an answer that began later than is usual for its route and for it.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._outcomes.add_bad(now, LATE_WEIGHT)

    def silence(self, now: float) -> float:
        """Return for how long awaited bytes have not arrived.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 while this router awaits no bytes from it.
        """
        if self._own_requests <= self._paused_reads:
            return 0.0
        return max(0.0, now - max(self._last_received_at, self._awaiting_since))

    def is_avoided(self, now: float) -> bool:
        """Return whether it is avoided: unreachable recently, or silent now.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True while other targets should be preferred.
        """
        return self.is_paused(now) or self.silence(now) > SILENT_SECONDS

    def is_paused(self, now: float) -> bool:
        """Return whether it is paused after it could not be reached.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True until the end of the pause; it gets requests only where no other target
            can take them.
        """
        return now < self._paused_until
