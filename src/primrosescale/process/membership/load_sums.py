"""Sums of load, versions and news on their way up and down the fleet.

An agent's heartbeat goes to one router of its failure domain. Each router
sums its agents and reports to its domain's two aggregators: the first two of
the domain's routers in an order that all agree on. Aggregators tell each
other their domain's sums. All sums are kept by origin and replaced, never
added up twice, so that no leader is needed and a lost message only delays.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import MemberState
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.process.membership.pending_notices import NOTICES_LIMIT
from primrosescale.process.membership.pending_notices import PendingNotices

if TYPE_CHECKING:
    from collections.abc import Iterable

MILLISECONDS_PER_SECOND = 1000
LAGGARDS_LIMIT = 20
AGGREGATORS_PER_DOMAIN = 2
QUIET_INTERVALS = 1.5


@dataclass(frozen=True, slots=True)
class LoadReportSettings:
    """Times of heartbeats and sums."""

    interval: float = option(
        SECONDS,
        "seconds between two heartbeats or reports",
        1.0,
    )
    agent_lost_after: float = option(
        SECONDS,
        "seconds without a heartbeat until an agent counts as down",
        3.0,
    )
    report_keep: float = option(
        SECONDS,
        "seconds for which a router's or a domain's report counts",
        5.0,
    )
    notice_keep: float = option(
        SECONDS,
        "seconds for which news of an agent is passed on",
        6.0,
    )


class _AgentNews:
    """The last heartbeat of one agent."""

    __slots__ = ("beat", "heard_at")

    def __init__(self, beat: wire.Heartbeat, heard_at: float) -> None:
        self.beat = beat
        self.heard_at = heard_at


class AgentSums:
    """The agents whose heartbeats come to this router.

    Parameters
    ----------
    settings : LoadReportSettings
        Times.
    origin : str
        This router's name.
    """

    def __init__(self, settings: LoadReportSettings, origin: str) -> None:
        self._settings = settings
        self._origin = origin
        self._agents: dict[str, _AgentNews] = {}
        self._board = PendingNotices(settings.notice_keep)

    def __len__(self) -> int:
        """Return how many agents report here."""
        return len(self._agents)

    def record_heartbeat(
        self, beat: wire.Heartbeat, now: float
    ) -> wire.MemberNotice | None:
        """Take in a heartbeat.

        Parameters
        ----------
        beat : wire.Heartbeat
            The heartbeat; an older one than known is ignored.
        now : float
            Present time in seconds.

        Returns
        -------
        wire.MemberNotice | None
            News about the agent, if there is any.
        """
        known = self._agents.get(beat.agent)
        if known is not None:
            old = known.beat
            if (beat.incarnation, beat.sequence) <= (old.incarnation, old.sequence):
                return None
        self._agents[beat.agent] = _AgentNews(beat, now)
        if known is not None and known.beat.incarnation == beat.incarnation:
            if known.beat.state == beat.state:
                return None
        return self._news(beat.agent, beat.incarnation, beat.state, now)

    def expire(self, now: float) -> list[wire.MemberNotice]:
        """Notice the agents whose heartbeats have stopped.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            News that they are down.
        """
        limit = now - self._settings.agent_lost_after
        lost = [n for n, news in self._agents.items() if news.heard_at <= limit]
        notices: list[wire.MemberNotice] = []
        for name in lost:
            beat = self._agents.pop(name).beat
            notice = self._news(name, beat.incarnation, MemberState.DOWN, now)
            notices.append(notice)
        return notices

    def accept_notice(self, notice: wire.MemberNotice, now: float) -> bool:
        """Take in news of an agent from another router.

        An agent that another router hears now has moved there. One that
        another router misses while its heartbeats come here is up.

        Parameters
        ----------
        notice : wire.MemberNotice
            The news.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether the news counts.
        """
        known = self._agents.get(notice.name)
        if known is None or notice.origin == self._origin:
            return True
        is_quiet = now - known.heard_at > self._settings.interval * QUIET_INTERVALS
        if notice.state == MemberState.READY and is_quiet:
            del self._agents[notice.name]
        if notice.state != MemberState.DOWN or is_quiet:
            return True
        beat = known.beat
        if notice.incarnation <= beat.incarnation:
            self._news(notice.name, beat.incarnation, beat.state, now)
            return False
        return True

    def notices(self, now: float) -> list[wire.MemberNotice]:
        """Return the news still to be passed on.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            The news.
        """
        return self._board.current(now)

    def sums(self) -> list[wire.ServiceSum]:
        """Return load and number of agents by service.

        Returns
        -------
        list[wire.ServiceSum]
            Leaving agents' load counts, but not they themselves.
        """
        found: dict[str, wire.ServiceSum] = {}
        for news in self._agents.values():
            beat = news.beat
            total = found.get(beat.service_name)
            if total is None:
                total = found[beat.service_name] = wire.ServiceSum(
                    beat.service_name,
                    0,
                    0,
                )
            total.load += beat.load
            if beat.state == MemberState.READY:
                total.targets += 1
        return list(found.values())

    def lowest_version(self) -> int:
        """Return the lowest version in force at these agents.

        Returns
        -------
        int
            -1 when there is no agent.
        """
        versions = [news.beat.version for news in self._agents.values()]
        return min(versions, default=-1)

    def laggards(self, version: int) -> list[wire.Laggard]:
        """Return the agents that have not reached a version.

        Parameters
        ----------
        version : int
            The version.

        Returns
        -------
        list[wire.Laggard]
            At most `LAGGARDS_LIMIT`.
        """
        behind = [
            wire.Laggard(name, news.beat.version)
            for name, news in self._agents.items()
            if news.beat.version < version
        ]
        return behind[:LAGGARDS_LIMIT]

    def _news(
        self,
        name: str,
        incarnation: int,
        state: MemberState,
        now: float,
    ) -> wire.MemberNotice:
        notice = wire.MemberNotice(name, incarnation, state, self._origin)
        self._board.post(notice, now)
        return notice


class DomainSums:
    """The reports of one failure domain's routers, at an aggregator.

    Parameters
    ----------
    settings : LoadReportSettings
        Times.
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
        self._heard_at: dict[str, float] = {}
        self._board = PendingNotices(settings.notice_keep)
        self._sequence = 0

    def __len__(self) -> int:
        """Return how many routers report here."""
        return len(self._reports)

    def record_report(
        self, report: wire.PeerReport, now: float
    ) -> list[wire.MemberNotice]:
        """Take in a router's report.

        Parameters
        ----------
        report : wire.PeerReport
            The report; an older one than known is ignored.
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            News in it that was not known.
        """
        known = self._reports.get(report.origin)
        if known is not None:
            newer = (report.incarnation, report.sequence)
            if newer <= (known.incarnation, known.sequence):
                return []
        self._reports[report.origin] = report
        self._heard_at[report.origin] = now
        return [n for n in report.notices if self._board.post(n, now)]

    def at_version(self, version: int) -> list[str]:
        """Return the routers that have reported a version.

        Parameters
        ----------
        version : int
            The version.

        Returns
        -------
        list[str]
            Names, in order of report.
        """
        return [n for n, report in self._reports.items() if report.version >= version]

    def summary(self, now: float) -> wire.DomainReport:
        """Return the domain's sums.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        wire.DomainReport
            Sums of the reports that still count.
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
            laggards=laggards[:LAGGARDS_LIMIT],
            notices=self._board.current(now),
            rates=add_rates(report.rates for report in reports),
            age_ms=0,
        )

    def _expire(self, now: float) -> None:
        limit = now - self._settings.report_keep
        for name in [n for n, at in self._heard_at.items() if at <= limit]:
            del self._heard_at[name]
            del self._reports[name]


class FleetSums:
    """The latest report of every failure domain.

    Parameters
    ----------
    settings : LoadReportSettings
        Times.
    """

    def __init__(self, settings: LoadReportSettings) -> None:
        self._settings = settings
        self._reports: dict[str, wire.DomainReport] = {}
        self._heard_at: dict[str, float] = {}

    def record_report(self, report: wire.DomainReport, now: float) -> None:
        """Take in a domain's report, from whichever of its aggregators.

        Parameters
        ----------
        report : wire.DomainReport
            The report.
        now : float
            Present time in seconds.
        """
        known = self._reports.get(report.domain)
        if known is not None and known.origin != report.origin:
            is_fresh = now - self._heard_at[report.domain] < self._settings.interval * 2
            if is_fresh and known.routers > report.routers:
                return
        self._reports[report.domain] = report
        self._heard_at[report.domain] = now - report.age_ms / MILLISECONDS_PER_SECOND

    def domains(self, now: float) -> list[wire.DomainReport]:
        """Return the reports that still count, with their age.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.DomainReport]
            One for each domain heard of lately.
        """
        found: list[wire.DomainReport] = []
        for name, report in self._reports.items():
            age = now - self._heard_at[name]
            if age <= self._settings.report_keep:
                report.age_ms = int(age * MILLISECONDS_PER_SECOND)
                found.append(report)
        return found

    def means(self, now: float) -> list[wire.ServiceMean]:
        """Return load and number of targets of every service.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.ServiceMean]
            Over all domains heard of lately, with the oldest part's age.
        """
        reports = self.domains(now)
        age = max((report.age_ms for report in reports), default=0)
        return [
            wire.ServiceMean(total.service_name, total.load, total.targets, age)
            for total in add_sums(report.sums for report in reports)
        ]

    def rates(self, now: float) -> list[wire.RateReport]:
        """Return the demand of organisations near their limit.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.RateReport]
            Sums over all domains.
        """
        return add_rates(report.rates for report in self.domains(now))

    def notices(self, now: float) -> list[wire.MemberNotice]:
        """Return the news of agents from all domains.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.MemberNotice]
            The news.
        """
        found = [n for report in self.domains(now) for n in report.notices]
        return found[:NOTICES_LIMIT]


def add_sums(parts: Iterable[list[wire.ServiceSum]]) -> list[wire.ServiceSum]:
    """Add sums up by service.

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
    """Add demands up by organisation.

    Parameters
    ----------
    parts : Iterable[list[wire.RateReport]]
        Demands seen by disjoint sets of routers.

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
