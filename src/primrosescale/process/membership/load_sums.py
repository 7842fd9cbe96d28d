"""Aggregates loads, versions and member notices of agents across the fleet.

An agent sends its heartbeat to one router of its failure domain. Each router
sums up its agents and reports to its domain's two aggregators, the first two
routers of the domain by rendezvous hashing. Aggregators exchange the sums of
their domains. Every sum is stored by its origin, and a later one replaces it,
so that nothing is added twice, no leader is needed, and a lost message causes
only a delay.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import MemberState
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.process.membership.pending_notices import MAX_NOTICES
from primrosescale.process.membership.pending_notices import PendingNotices

if TYPE_CHECKING:
    from collections.abc import Iterable

MILLISECONDS_PER_SECOND = 1000
MAX_LAGGARDS = 20
AGGREGATORS_PER_DOMAIN = 2
OVERDUE_INTERVALS = 1.5


@dataclass(frozen=True, slots=True)
class LoadReportSettings:
    """Intervals and time-outs of heartbeats and load reports."""

    interval: float = option(
        SECONDS,
        "seconds between two heartbeats or two reports",
        1.0,
    )
    agent_lost_after: float = option(
        SECONDS,
        "seconds without a heartbeat after which an agent counts as down",
        3.0,
    )
    report_keep: float = option(
        SECONDS,
        "seconds for which the report of a router or a domain is valid",
        5.0,
    )
    notice_keep: float = option(
        SECONDS,
        "seconds for which a notice of an agent's state is forwarded",
        6.0,
    )


class _LastHeartbeat:
    """The last heartbeat of an agent and when it was received."""

    __slots__ = ("heartbeat", "received_at")

    def __init__(self, heartbeat: wire.Heartbeat, received_at: float) -> None:
        self.heartbeat = heartbeat
        self.received_at = received_at


class AgentSums:
    """Sums over the agents that send their heartbeats to this router.

    Parameters
    ----------
    settings : LoadReportSettings
        Intervals and time-outs.
    origin : str
        This router's name.
    """

    def __init__(self, settings: LoadReportSettings, origin: str) -> None:
        self._settings = settings
        self._origin = origin
        self._agents: dict[str, _LastHeartbeat] = {}
        self._pending_notices = PendingNotices(settings.notice_keep)

    def __len__(self) -> int:
        """Return the number of agents that report to this router."""
        return len(self._agents)

    def record_heartbeat(
        self, heartbeat: wire.Heartbeat, now: float
    ) -> wire.MemberNotice | None:
        """Record a heartbeat.

        Parameters
        ----------
        heartbeat : wire.Heartbeat
            The heartbeat; ignored when it is older than the recorded one.
        now : float
            Current time in seconds.

        Returns
        -------
        wire.MemberNotice | None
            Notice of the agent's state when it is new or has changed, else None.
        """
        known = self._agents.get(heartbeat.agent)
        if known is not None:
            old = known.heartbeat
            if (heartbeat.incarnation, heartbeat.sequence) <= (
                old.incarnation,
                old.sequence,
            ):
                return None
        self._agents[heartbeat.agent] = _LastHeartbeat(heartbeat, now)
        if known is not None and known.heartbeat.incarnation == heartbeat.incarnation:
            if known.heartbeat.state == heartbeat.state:
                return None
        return self._post_notice(
            heartbeat.agent, heartbeat.incarnation, heartbeat.state, now
        )

    def expire(self, now: float) -> list[wire.MemberNotice]:
        """Remove the agents whose heartbeats have stopped.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            For each of them, a notice that it is down.
        """
        limit = now - self._settings.agent_lost_after
        lost = [n for n, last in self._agents.items() if last.received_at <= limit]
        notices: list[wire.MemberNotice] = []
        for name in lost:
            heartbeat = self._agents.pop(name).heartbeat
            notice = self._post_notice(
                name, heartbeat.incarnation, MemberState.DOWN, now
            )
            notices.append(notice)
        return notices

    def accept_notice(self, notice: wire.MemberNotice, now: float) -> bool:
        """Check a peer router's notice of an agent against this router's heartbeats.

        An agent whose heartbeats are overdue here and that is ready at a peer now
        reports to that peer, and is removed here. A notice that an agent is down
        while its heartbeats arrive here is rejected, and a notice of its state is
        posted instead, unless the notice is about a later incarnation.

        Parameters
        ----------
        notice : wire.MemberNotice
            The notice.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the notice is to be applied.
        """
        known = self._agents.get(notice.name)
        if known is None or notice.origin == self._origin:
            return True
        is_overdue = (
            now - known.received_at > self._settings.interval * OVERDUE_INTERVALS
        )
        if notice.state == MemberState.READY and is_overdue:
            del self._agents[notice.name]
        if notice.state != MemberState.DOWN or is_overdue:
            return True
        heartbeat = known.heartbeat
        if notice.incarnation <= heartbeat.incarnation:
            self._post_notice(notice.name, heartbeat.incarnation, heartbeat.state, now)
            return False
        return True

    def notices(self, now: float) -> list[wire.MemberNotice]:
        """Return the notices that are still forwarded.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            At most `MAX_NOTICES`.
        """
        return self._pending_notices.current(now)

    def sums(self) -> list[wire.ServiceSum]:
        """Return the load and number of targets of each service.

        Returns
        -------
        list[wire.ServiceSum]
            A leaving agent adds to its service's load, not to its number of
            targets.
        """
        found: dict[str, wire.ServiceSum] = {}
        for last in self._agents.values():
            heartbeat = last.heartbeat
            total = found.get(heartbeat.service_name)
            if total is None:
                total = found[heartbeat.service_name] = wire.ServiceSum(
                    heartbeat.service_name,
                    0,
                    0,
                )
            total.load += heartbeat.load
            if heartbeat.state == MemberState.READY:
                total.targets += 1
        return list(found.values())

    def lowest_version(self) -> int:
        """Return the lowest configuration version in force at these agents.

        Returns
        -------
        int
            The version; -1 when there is no agent.
        """
        versions = [last.heartbeat.version for last in self._agents.values()]
        return min(versions, default=-1)

    def laggards(self, version: int) -> list[wire.Laggard]:
        """Return the agents whose configuration is older than a version.

        Parameters
        ----------
        version : int
            The version.

        Returns
        -------
        list[wire.Laggard]
            At most `MAX_LAGGARDS`.
        """
        behind = [
            wire.Laggard(name, last.heartbeat.version)
            for name, last in self._agents.items()
            if last.heartbeat.version < version
        ]
        return behind[:MAX_LAGGARDS]

    def _post_notice(
        self,
        name: str,
        incarnation: int,
        state: MemberState,
        now: float,
    ) -> wire.MemberNotice:
        notice = wire.MemberNotice(name, incarnation, state, self._origin)
        self._pending_notices.post(notice, now)
        return notice


class DomainSums:
    """Sums of the reports of a failure domain's routers, at an aggregator.

    Parameters
    ----------
    settings : LoadReportSettings
        Intervals and time-outs.
    domain : str
        The domain.
    origin : str
        This router's name.
    """

    def __init__(self, settings: LoadReportSettings, domain: str, origin: str) -> None:
        self._settings = settings
        self._domain = domain
        self._origin = origin
        self._reports: dict[str, wire.PeerReport] = {}
        self._received_at: dict[str, float] = {}
        self._pending_notices = PendingNotices(settings.notice_keep)
        self._sequence = 0

    def __len__(self) -> int:
        """Return the number of routers that report to this one."""
        return len(self._reports)

    def record_report(
        self, report: wire.PeerReport, now: float
    ) -> list[wire.MemberNotice]:
        """Record a router's report.

        Parameters
        ----------
        report : wire.PeerReport
            The report; ignored when it is older than the recorded one.
        now : float
            Current time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            Notices in it that are new to this router.
        """
        known = self._reports.get(report.origin)
        if known is not None:
            newer = (report.incarnation, report.sequence)
            if newer <= (known.incarnation, known.sequence):
                return []
        self._reports[report.origin] = report
        self._received_at[report.origin] = now
        return [n for n in report.notices if self._pending_notices.post(n, now)]

    def at_version(self, version: int) -> list[str]:
        """Return the routers that have reported a version or a later one.

        Parameters
        ----------
        version : int
            The version.

        Returns
        -------
        list[str]
            Names, in the order of the routers' first reports.
        """
        return [n for n, report in self._reports.items() if report.version >= version]

    def summary(self, now: float) -> wire.DomainReport:
        """Return the sums of the domain as a report.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        wire.DomainReport
            Sums of the reports that are still valid.
        """
        self._expire(now)
        self._sequence += 1
        reports = list(self._reports.values())
        agents = [r.lowest_agent_version for r in reports if r.agents]
        laggards = [item for r in reports for item in r.laggards]
        return wire.DomainReport(
            domain=self._domain,
            origin=self._origin,
            sequence=self._sequence,
            sums=add_sums(report.sums for report in reports),
            lowest_version=min((r.version for r in reports), default=-1),
            lowest_agent_version=min(agents, default=-1),
            routers=len(reports),
            agents=sum(report.agents for report in reports),
            laggards=laggards[:MAX_LAGGARDS],
            notices=self._pending_notices.current(now),
            rates=add_rates(report.rates for report in reports),
            age_ms=0,
        )

    def _expire(self, now: float) -> None:
        limit = now - self._settings.report_keep
        for name in [n for n, at in self._received_at.items() if at <= limit]:
            del self._received_at[name]
            del self._reports[name]


class FleetSums:
    """The latest report of every failure domain.

    Parameters
    ----------
    settings : LoadReportSettings
        Intervals and time-outs.
    """

    def __init__(self, settings: LoadReportSettings) -> None:
        self._settings = settings
        self._reports: dict[str, wire.DomainReport] = {}
        self._received_at: dict[str, float] = {}

    def record_report(self, report: wire.DomainReport, now: float) -> None:
        """Record a domain's report from any of its aggregators.

        A report from another aggregator that covers fewer routers does not
        replace a recent one.

        Parameters
        ----------
        report : wire.DomainReport
            The report.
        now : float
            Current time in seconds.
        """
        known = self._reports.get(report.domain)
        if known is not None and known.origin != report.origin:
            is_recent = (
                now - self._received_at[report.domain] < self._settings.interval * 2
            )
            if is_recent and known.routers > report.routers:
                return
        self._reports[report.domain] = report
        self._received_at[report.domain] = now - report.age_ms / MILLISECONDS_PER_SECOND

    def domains(self, now: float) -> list[wire.DomainReport]:
        """Return the reports that are still valid, with their age.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[wire.DomainReport]
            One for each domain that has reported within `report_keep`.
        """
        found: list[wire.DomainReport] = []
        for name, report in self._reports.items():
            age = now - self._received_at[name]
            if age <= self._settings.report_keep:
                report.age_ms = int(age * MILLISECONDS_PER_SECOND)
                found.append(report)
        return found

    def means(self, now: float) -> list[wire.ServiceMean]:
        """Return the load and number of targets of every service.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[wire.ServiceMean]
            Sums over all domains with a valid report, with the age of the
            oldest report.
        """
        reports = self.domains(now)
        age = max((report.age_ms for report in reports), default=0)
        return [
            wire.ServiceMean(total.service_name, total.load, total.targets, age)
            for total in add_sums(report.sums for report in reports)
        ]

    def rates(self, now: float) -> list[wire.RateReport]:
        """Return the demand of organisations close to their limit.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[wire.RateReport]
            Sums over all domains.
        """
        return add_rates(report.rates for report in self.domains(now))

    def notices(self, now: float) -> list[wire.MemberNotice]:
        """Return the notices of agents from all domains.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            At most `MAX_NOTICES`.
        """
        found = [n for report in self.domains(now) for n in report.notices]
        return found[:MAX_NOTICES]


def add_sums(parts: Iterable[list[wire.ServiceSum]]) -> list[wire.ServiceSum]:
    """Add up sums by service.

    Parameters
    ----------
    parts : Iterable[list[wire.ServiceSum]]
        Sums of disjoint sets of agents.

    Returns
    -------
    list[wire.ServiceSum]
        One for each service.
    """
    found: dict[str, wire.ServiceSum] = {}
    for part in parts:
        for item in part:
            total = found.get(item.service_name)
            if total is None:
                total = found[item.service_name] = wire.ServiceSum(
                    item.service_name,
                    0,
                    0,
                )
            total.load += item.load
            total.targets += item.targets
    return list(found.values())


def add_rates(parts: Iterable[list[wire.RateReport]]) -> list[wire.RateReport]:
    """Add up demands by organisation.

    Parameters
    ----------
    parts : Iterable[list[wire.RateReport]]
        Demands at disjoint sets of routers.

    Returns
    -------
    list[wire.RateReport]
        One for each organisation.
    """
    found: dict[str, int] = {}
    for part in parts:
        for item in part:
            known = found.get(item.organisation, 0)
            found[item.organisation] = known + item.demand_permille
    return [wire.RateReport(name, demand) for name, demand in found.items()]
