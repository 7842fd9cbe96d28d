"""A router's control traffic: agents' heartbeats, load reports, versions, hosts.

Agents send heartbeats to a router of their failure domain, and routers report to the
aggregators of the domain. Aggregators are chosen by rendezvous hashing; they send the
sums of their domain to the aggregators of the other domains, and watch the platform
for new version heads and changes of the list of hosts. Replies to reports contain
mean loads, the accepted version head, changes of the list, notices of agents and
request rates of organisations. While no aggregator answers, a router asks the platform
and its seed routers itself.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.failure_text import failure_text
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import MemberState
from primrosescale.process.configuration.section_sources import PlatformSource
from primrosescale.process.configuration.wire_head import from_wire
from primrosescale.process.configuration.wire_head import to_wire
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.membership.host_changes import MAX_CHANGES_PER_MESSAGE
from primrosescale.process.membership.host_changes import HostChanges
from primrosescale.process.membership.load_sums import AGGREGATORS_PER_DOMAIN
from primrosescale.process.membership.load_sums import AgentSums
from primrosescale.process.membership.load_sums import DomainSums
from primrosescale.process.membership.load_sums import FleetSums
from primrosescale.process.membership.rendezvous import first_by_rendezvous
from primrosescale.request.capacity.rate_limit import DemandRate
from primrosescale.version.exceptions import HeadError
from primrosescale.version.head import NO_HEAD
from primrosescale.version.head import VersionHead

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.clock import Clock
    from primrosescale.connection.codec import Message
    from primrosescale.connection.link import Link
    from primrosescale.connection.pool import LinkPool
    from primrosescale.process.configuration.section_sources import LinkSources
    from primrosescale.process.configuration.version_manager import VersionManager
    from primrosescale.process.membership.load_sums import LoadReportSettings
    from primrosescale.process.membership.members import Member
    from primrosescale.process.membership.members import Members
    from primrosescale.process.transport.platform import Platform
    from primrosescale.request.capacity.rate_limit import OrganisationRateLimiter

HEAD_KEY = "config/head"
# Unreadable entries of one list of hosts; another writer may leave thousands.
MAX_HOSTS_LOGGED = 100
WATCH_TIMEOUT_SECONDS = 20.0
RETRY_PAUSE_SECONDS = 1.0
MIN_LIST_INTERVAL_SECONDS = 2.0
AGGREGATOR_TIMEOUT_SECONDS = 5.0
PERMILLE = 1000
MAX_PULLS_FROM_AGGREGATOR = 3
DOMAIN_REPORTS_WANTED_SECONDS = 10.0
MAX_REFRESH_INTERVALS = 3
AGGREGATOR_HASH_KEY = "aggregators"


@dataclass(frozen=True, slots=True)
class Identity:
    """Name, incarnation and failure domain of a router.

    Parameters
    ----------
    name : str
        Name of the router.
    incarnation : int
        Incarnation of the router.
    domain : str
        Failure domain of the router.
    """

    name: str
    incarnation: int
    domain: str


class ControlObserver(ABC):
    """Receives the events of control traffic."""

    @abstractmethod
    def host_unreadable(self, detail: str) -> None:
        """Handle an entry of the list of hosts that cannot be read.

        Parameters
        ----------
        detail : str
            Why the entry cannot be read.
        """

    @abstractmethod
    def platform_failed(self, detail: str) -> None:
        """Handle a failed request to the platform.

        Parameters
        ----------
        detail : str
            Why the request failed.
        """

    @abstractmethod
    def agent_notice_received(self, notice: wire.MemberNotice) -> None:
        """Handle a notice that the state of an agent has changed.

        Parameters
        ----------
        notice : wire.MemberNotice
            Notice of the state.
        """


class RouterControl:
    """Exchanges control traffic between a router and the other processes.

    Parameters
    ----------
    identity : Identity
        Identity of this router.
    settings : LoadReportSettings
        Intervals and time-outs of heartbeats and reports.
    members : Members
        Known hosts.
    version_manager : VersionManager
        Manager of configuration versions.
    limiter : OrganisationRateLimiter
        Request rate limits of organisations.
    platform : Platform
        Client of the platform's object store and list of hosts.
    pool : LinkPool
        Connections to peer routers.
    sources : LinkSources
        Sources of version sections, by connection.
    seeds : list[Endpoint]
        Routers to ask while no aggregator answers.
    observer : ControlObserver
        Notified of control traffic.
    clock : Clock
        Source of time and timers.
    """

    def __init__(
        self,
        identity: Identity,
        settings: LoadReportSettings,
        members: Members,
        version_manager: VersionManager,
        limiter: OrganisationRateLimiter,
        platform: Platform,
        pool: LinkPool,
        sources: LinkSources,
        seeds: list[Endpoint],
        observer: ControlObserver,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._settings = settings
        self._members = members
        self._version_manager = version_manager
        self._limiter = limiter
        self._platform = platform
        self._pool = pool
        self._sources = sources
        self._seeds = seeds
        self._observer = observer
        self._clock = clock
        self._agents = AgentSums(settings, identity.name)
        self._domain = DomainSums(settings, identity.domain, identity.name)
        self._fleet = FleetSums(settings)
        self._changes = HostChanges()
        self._platform_source = PlatformSource(platform)
        self._means: list[wire.ServiceMean] = []
        self._means_at = 0.0
        self._domains: list[wire.DomainReport] = []
        self._domains_at = -1.0e9
        self._domains_wanted_until = -1.0e9
        self._sequence = 0
        self._assigned_pulls = 0
        self._assigned_version = 0
        self._stored_head = NO_HEAD
        self._is_watching = False
        self._watch_revision = 0
        self._is_listing = False
        # Reported to the observer only when it changes, not at each reading of the
        # list.
        self._unreadable: frozenset[str] = frozenset()
        self._listed_at = -1.0e9
        self._last_reply_at = clock.seconds()
        self._is_stopped = False

    @property
    def agents(self) -> AgentSums:
        """Return the agents whose heartbeats reach this router."""
        return self._agents

    @property
    def domains(self) -> list[wire.DomainReport]:
        """Return the latest report of each failure domain."""
        return self._domains

    @inlineCallbacks
    def refresh_domains(self) -> Generator[Any, Any, None]:
        """Ask the aggregators for the reports of all failure domains.

        The reports are long and are only read through the administration API, so
        they are not part of every reply.

        Returns
        -------
        Deferred[None]
            Fires when the reports are recent, or after a few intervals at the
            latest.
        """
        now = self._clock.seconds()
        self._domains_wanted_until = now + DOMAIN_REPORTS_WANTED_SECONDS
        for _ in range(MAX_REFRESH_INTERVALS):
            age = self._clock.seconds() - self._domains_at
            if age <= MAX_REFRESH_INTERVALS * self._settings.interval:
                return
            yield deferLater(cast("Any", self._clock), self._settings.interval)

    @property
    def load_report_age(self) -> float:
        """Return the seconds since the mean loads were received."""
        return self._clock.seconds() - self._means_at

    @property
    def is_aggregator(self) -> bool:
        """Return whether this router is an aggregator of its failure domain."""
        return self._identity.name in self._aggregators(self._identity.domain)

    def stop(self) -> None:
        """Stop sending control traffic."""
        self._is_stopped = True

    @inlineCallbacks
    def start(self) -> Generator[Any, Any, None]:
        """Read the list of hosts and the version head, then send the first report.

        Returns
        -------
        Deferred[None]
            Fires when both have been requested; a failure of the platform is
            reported to the observer.
        """
        yield self._list_hosts()
        try:
            yield self._read_head()
        except PlatformError as error:
            self._observer.platform_failed(str(error))
        self.tick()

    def tick(self) -> None:
        """Do the periodic work of one interval."""
        if self._is_stopped:
            return
        now = self._clock.seconds()
        for notice in self._agents.expire(now):
            self._members.apply_notice(notice, now)
            self._observer.agent_notice_received(notice)
        self._members.readmit_targets(now)
        aggregators = self._aggregators(self._identity.domain)
        report = self._make_report(now)
        self._domain.record_report(report, now)
        others = [name for name in aggregators if name != self._identity.name]
        if others:
            self._send_to_router(self._next_aggregator(others), report)
        if self._identity.name in aggregators:
            self._aggregate(now)
        elif now - self._last_reply_at > AGGREGATOR_TIMEOUT_SECONDS:
            self._fall_back()

    def message(self, link: Link, message: Message) -> bool:
        """Handle one message of an agent or a peer router.

        Parameters
        ----------
        link : Link
            Connection on which it was received.
        message : Message
            Message.

        Returns
        -------
        bool
            False when the message is not control traffic.
        """
        if isinstance(message, wire.Heartbeat):
            self._handle_heartbeat(link, message)
        elif isinstance(message, wire.PeerReport):
            self._handle_peer_report(link, message)
        elif isinstance(message, wire.PeerReply):
            self._handle_peer_reply(link, message)
        elif isinstance(message, wire.DomainSums):
            self._handle_domain_sums(link, message)
        elif isinstance(message, wire.SectionRequest):
            self._handle_section_request(link, message)
        elif isinstance(message, wire.SectionReply):
            self._sources.of(link).reply(message)
        else:
            return False
        return True

    def _make_report(self, now: float) -> wire.PeerReport:
        self._sequence += 1
        count = max(1, len(self._members.routers("", now)))
        demands = self._limiter.demands_to_report(count, now)
        version = self._version_manager.version
        return wire.PeerReport(
            origin=self._identity.name,
            incarnation=self._identity.incarnation,
            sequence=self._sequence,
            sums=self._agents.sums(),
            list_version=self._members.list_version,
            version=version,
            lowest_agent_version=self._agents.lowest_version(),
            agents=len(self._agents),
            laggards=self._agents.laggards(version),
            notices=self._agents.notices(now),
            rates=[
                wire.RateReport(item.organisation, int(item.rate * PERMILLE))
                for item in demands
            ],
            wants_domains=now < self._domains_wanted_until,
        )

    def _handle_heartbeat(self, link: Link, beat: wire.Heartbeat) -> None:
        now = self._clock.seconds()
        notice = self._agents.record_heartbeat(beat, now)
        if notice is not None:
            self._members.apply_notice(notice, now)
            self._observer.agent_notice_received(notice)
        version = self._members.list_version
        routers: list[wire.HostEntry] = []
        if beat.list_version != version:
            domain = self._identity.domain if link.peer is None else link.peer.domain
            members = self._members.routers(domain, now)
            members = members or self._members.routers(self._identity.domain, now)
            routers = [member.entry for member in members]
        targets: list[wire.HostEntry] = []
        if beat.state == MemberState.LEAVING:
            members = self._members.targets_of(beat.service_name)
            targets = [member.entry for member in members]
        elapsed_ms = int((now - self._means_at) * PERMILLE)
        link.send(
            wire.HeartbeatReply(
                sequence=beat.sequence,
                means=[
                    wire.ServiceMean(
                        mean.service_name,
                        mean.load,
                        mean.targets,
                        mean.age_ms + elapsed_ms,
                    )
                    for mean in self._means
                    if mean.service_name == beat.service_name
                ],
                head=self._head_for(beat.version),
                list_version=version,
                routers=routers,
                targets=targets,
            ),
        )

    def _handle_peer_report(self, link: Link, report: wire.PeerReport) -> None:
        now = self._clock.seconds()
        for notice in self._domain.record_report(report, now):
            self._apply_notice(notice, now)
        changes = self._changes.since(report.list_version)
        entries = changes
        if entries is None:
            # The changes are no longer retained, and the platform may be down, so the
            # entries known here are sent.
            known = report.list_version
            entries = self._members.entries_after(known, MAX_CHANGES_PER_MESSAGE)
        link.send(
            wire.PeerReply(
                sequence=report.sequence,
                means=self._means,
                head=self._head_for(report.version),
                changes=entries,
                list_version=self._changes.version,
                list_gap=changes is None,
                notices=self._fleet.notices(now),
                rates=self._fleet.rates(now),
                domains=self._fleet.domains(now) if report.wants_domains else [],
                source=self._pull_source_for(report),
            ),
        )

    def _pull_source_for(self, report: wire.PeerReport) -> str:
        """Return the endpoint to pull a new version from; empty for this router.

        The first few routers pull from this aggregator, the others from routers
        that have already reported the version, so that no router serves the whole
        domain.
        """
        version = self._version_manager.version
        if report.version >= version:
            return ""
        if self._assigned_version != version:
            self._assigned_version = version
            self._assigned_pulls = 0
        self._assigned_pulls += 1
        if self._assigned_pulls <= MAX_PULLS_FROM_AGGREGATOR:
            return ""
        names = [
            name
            for name in self._domain.at_version(version)
            if name not in {report.origin, self._identity.name}
        ]
        if not names:
            return ""
        member = self._members.get(names[self._assigned_pulls % len(names)])
        return "" if member is None else str(member.endpoint)

    def _handle_peer_reply(self, link: Link, reply: wire.PeerReply) -> None:
        now = self._clock.seconds()
        self._last_reply_at = now
        if reply.source and reply.head.version:
            self._pull_from(reply)
        else:
            self._update_head(reply.head, link)
        if reply.list_gap:
            self._list_hosts_if_due(now)
        if reply.changes:
            version = reply.changes[-1].version
            self._members.apply_list(reply.changes, version, now, is_full=False)
        for notice in reply.notices:
            self._apply_notice(notice, now)
        for rate in reply.rates:
            total = DemandRate(rate.organisation, rate.demand_permille / PERMILLE)
            self._limiter.update_total(total, now)
        if reply.means:
            self._means = reply.means
            self._means_at = now
        if reply.domains:
            self._domains = reply.domains
            self._domains_at = now

    def _pull_from(self, reply: wire.PeerReply) -> None:
        address, _, port = reply.source.rpartition(":")
        connecting = self._pool.get(Endpoint(address, int(port)))
        connecting.addCallbacks(
            lambda link: self._update_head(reply.head, link),
            lambda _: None,
        )

    def _handle_domain_sums(self, link: Link, message: wire.DomainSums) -> None:
        now = self._clock.seconds()
        self._update_head(message.head, link)
        self._fleet.record_report(message.report, now)
        for notice in message.report.notices:
            self._apply_notice(notice, now)

    def _handle_section_request(self, link: Link, message: wire.SectionRequest) -> None:
        section = self._version_manager.section(message.digest)
        data = b"" if section is None else section.data
        link.send(wire.SectionReply(message.digest, section is not None, data))

    def _apply_notice(self, notice: wire.MemberNotice, now: float) -> None:
        if self._agents.accept_notice(notice, now):
            self._members.apply_notice(notice, now)

    def _aggregate(self, now: float) -> None:
        """Sum up the domain and send the sums to aggregators of other domains."""
        summary = self._domain.summary(now)
        self._fleet.record_report(summary, now)
        self._means = self._fleet.means(now)
        self._means_at = now
        self._domains = self._fleet.domains(now)
        self._domains_at = now
        self._last_reply_at = now
        for rate in self._fleet.rates(now):
            total = DemandRate(rate.organisation, rate.demand_permille / PERMILLE)
            self._limiter.update_total(total, now)
        message = wire.DomainSums(summary, to_wire(self._version_manager.head))
        for domain in self._members.domains():
            others = self._aggregators(domain)
            if self._identity.name in others:
                others.remove(self._identity.name)
            if others:
                self._send_to_router(self._next_aggregator(others), message)
        if self._stored_head.version > self._version_manager.version:
            self._version_manager.pull_if_newer(
                self._stored_head, self._platform_source
            )
        self._watch()
        self._list_hosts_if_due(now)

    def _next_aggregator(self, names: list[str]) -> str:
        """Return one of some aggregators, the next one in each interval.

        With two aggregators, each receives every second report and this router has
        a reply in every interval, at half the bytes of reporting to both.
        """
        return names[self._sequence % len(names)]

    def _aggregators(self, domain: str) -> list[str]:
        now = self._clock.seconds()
        names = [member.entry.name for member in self._members.routers(domain, now)]
        return first_by_rendezvous(names, AGGREGATOR_HASH_KEY, AGGREGATORS_PER_DOMAIN)

    def _send_to_router(self, name: str, message: Message) -> None:
        member = self._members.get(name)
        if member is None:
            return
        connecting = self._pool.get(member.endpoint)
        connecting.addCallbacks(
            lambda link: link.send(message),
            self._suspect_router,
            errbackArgs=(member,),
        )

    def _suspect_router(self, _: Any, member: Member) -> None:
        self._members.suspect(member.entry.name, self._clock.seconds())

    def _fall_back(self) -> None:
        """Ask the platform and the seed routers while no aggregator answers."""
        now = self._clock.seconds()
        self._last_reply_at = now - AGGREGATOR_TIMEOUT_SECONDS + RETRY_PAUSE_SECONDS
        self._list_hosts_if_due(now)
        reading = self._read_head()
        reading.addErrback(self._report_platform_failure)
        report = self._make_report(now)
        for endpoint in self._seeds:
            connecting = self._pool.get(endpoint)
            connecting.addCallbacks(
                lambda link: link.send(report),
                lambda _: None,
            )

    def _list_hosts_if_due(self, now: float) -> None:
        if not self._is_listing and now - self._listed_at >= MIN_LIST_INTERVAL_SECONDS:
            self._list_hosts()

    @inlineCallbacks
    def _list_hosts(self) -> Generator[Any, Any, None]:
        self._is_listing = True
        self._listed_at = self._clock.seconds()
        try:
            found = yield self._platform.hosts(self._members.list_version)
        except PlatformError as error:
            self._observer.platform_failed(str(error))
            return
        finally:
            self._is_listing = False
        self._log_unreadable(found.unreadable)
        if found.is_full or found.entries:
            now = self._clock.seconds()
            entries = list(found.entries)
            self._members.apply_list(entries, found.version, now, is_full=found.is_full)
            self._changes.record(entries, found.version, is_full=found.is_full)

    def _log_unreadable(self, details: tuple[str, ...]) -> None:
        """Log entries that were not unreadable in the last list; not too many."""
        known, self._unreadable = self._unreadable, frozenset(details)
        fresh = [detail for detail in details if detail not in known]
        for detail in fresh[:MAX_HOSTS_LOGGED]:
            self._observer.host_unreadable(detail)

    @inlineCallbacks
    def _read_head(self) -> Generator[Any, Any, None]:
        found = yield self._platform.get(HEAD_KEY)
        if found is not None:
            yield self._update_stored_head(found.value)

    def _watch(self) -> None:
        """Watch the platform for the next accepted version."""
        if self._is_watching or self._is_stopped:
            return
        self._is_watching = True
        watching = self._platform.watch(
            HEAD_KEY, self._watch_revision, WATCH_TIMEOUT_SECONDS
        )
        watching.addCallback(self._watch_succeeded)
        watching.addErrback(self._watch_failed)
        watching.addCallback(self._schedule_watch)

    def _watch_succeeded(self, found: Any) -> None:
        self._watch_revision = found.revision
        if found.changes:
            self._update_stored_head(found.changes[-1].value)

    def _watch_failed(self, failure: Any) -> float:
        # Whatever the fault is, the versions must be followed further.
        self._observer.platform_failed(failure_text(failure))
        return RETRY_PAUSE_SECONDS

    def _schedule_watch(self, pause: Any) -> None:
        self._clock.callLater(pause or 0.0, self._restart_watch)

    def _restart_watch(self) -> None:
        self._is_watching = False
        if self.is_aggregator:
            self._watch()

    def _report_platform_failure(self, failure: Any) -> None:
        failure.trap(PlatformError)
        self._observer.platform_failed(failure.getErrorMessage())

    def _update_stored_head(self, data: bytes) -> Any:
        try:
            head = VersionHead.decode(data)
        except HeadError as error:
            self._observer.platform_failed(str(error))
            return None
        self._stored_head = head
        return self._version_manager.pull_if_newer(head, self._platform_source)

    def _head_for(self, version: int) -> wire.Head:
        """Return the head for a process at a version; `NO_HEAD` if it is current."""
        head = self._version_manager.head
        return to_wire(head if head.version > version else NO_HEAD)

    def _update_head(self, head: wire.Head, link: Link) -> None:
        if head.version:
            self._version_manager.pull_if_newer(from_wire(head), self._sources.of(link))
