"""The router process: accepts callers' requests and forwards them to agents.

For each request it chooses candidates among the targets of a service, records the
request's attempts, and reports metrics and log events. It also writes claims on
idempotency keys, exchanges control traffic with agents and peer routers, and serves
the administration API.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks

from primrosescale.connection.link import PROTOCOL_VERSION
from primrosescale.connection.link import LinkHandler
from primrosescale.connection.pool import LinkPool
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import MemberState
from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.process.administration.admin_resource import AdminResource
from primrosescale.process.administration.admin_resource import OperatorKeys
from primrosescale.process.administration.administration import Administration
from primrosescale.process.configuration.section_sources import LinkSources
from primrosescale.process.configuration.version_manager import VersionManager
from primrosescale.process.configuration.version_manager import VersionObserver
from primrosescale.process.daemons.daemon import DaemonContext
from primrosescale.process.daemons.daemon import LinkFactory
from primrosescale.process.daemons.router_control import ControlObserver
from primrosescale.process.daemons.router_control import Identity
from primrosescale.process.daemons.router_control import RouterControl
from primrosescale.process.daemons.router_sites import RouterSites
from primrosescale.process.events import Event
from primrosescale.process.ledger.claim_writer import ClaimWriter
from primrosescale.process.ledger.ledger_bucket import bucket_of
from primrosescale.process.membership.fleet_status import fleet_status
from primrosescale.process.membership.members import Members
from primrosescale.process.membership.rendezvous import first_by_rendezvous
from primrosescale.process.metrics import Metric
from primrosescale.process.settings import parse_endpoint
from primrosescale.process.transport.callers_resource import CallersResource
from primrosescale.process.transport.callers_resource import CallRouter
from primrosescale.request.attempt.attempts import AttemptPlan
from primrosescale.request.attempt.backoff import Backoff
from primrosescale.request.attempt.call_table import CallTable
from primrosescale.request.attempt.call_table import CallTableListener
from primrosescale.request.attempt.retry_budget import RetryBudgets
from primrosescale.request.attempt.routed_call import RoutedCall
from primrosescale.request.capacity.rate_limit import OrganisationRateLimiter
from primrosescale.request.choice.candidates import Locality
from primrosescale.request.choice.target_loads import TargetLoads
from primrosescale.request.claim import claim_key
from primrosescale.version.head import HeadVerifier

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.connection.codec import Message
    from primrosescale.connection.link import Link
    from primrosescale.process.settings import Settings
    from primrosescale.process.transport.http_sink import HttpSink
    from primrosescale.process.transport.platform import Platform
    from primrosescale.request.attempt.routed_call import CallReport
    from primrosescale.request.call_request import CallRequest
    from primrosescale.request.choice.candidates import Target
    from primrosescale.request.trace_span import TraceSpan
    from primrosescale.version.exceptions import HeadError
    from primrosescale.version.records import OrganisationRecord
    from primrosescale.version.records import ServiceRecord
    from primrosescale.version.view import VersionView

ROLE = "router"
CLOSE_IDLE_INTERVAL_SECONDS = 5.0
STOP_POLL_SECONDS = 0.05
RANDOM_KEY_BITS = 64


class _ActiveCall:
    """Version, trace span and start time of a call in flight."""

    __slots__ = ("start_time", "trace_span", "view")

    def __init__(
        self, view: VersionView, trace_span: TraceSpan, start_time: float
    ) -> None:
        self.view = view
        self.trace_span = trace_span
        self.start_time = start_time


class Router(
    LinkHandler, CallRouter, CallTableListener, ControlObserver, VersionObserver
):
    """A router.

    Parameters
    ----------
    settings : Settings
        Settings of the process.
    context : DaemonContext
        Reactor, log, metrics and traces.
    platform : Platform
        Client of the platform's object store and list of hosts.
    """

    def __init__(
        self, settings: Settings, context: DaemonContext, platform: Platform
    ) -> None:
        self._settings = settings
        self._context = context
        self._platform = platform
        process = settings.process
        reactor = context.reactor
        self._locality = Locality(process.region, process.domain)
        self._members = Members(settings.members, self._locality)
        self._version_manager = VersionManager(
            HeadVerifier(settings.approvers),
            self,
            needs_organisations=True,
        )
        self._limiter = OrganisationRateLimiter(settings.rates)
        self._loads = TargetLoads()
        self._budgets = RetryBudgets(settings.retry)
        self._sources = LinkSources()
        self._hello = wire.Hello(
            PROTOCOL_VERSION,
            process.name,
            context.incarnation,
            process.domain,
        )
        dialer = context.dialer(settings.router.dial_timeout)
        self._pool = LinkPool(
            self._hello,
            self,
            dialer,
            reactor,
            settings.link,
            settings.router.link_idle,
        )
        self._table = CallTable(context.incarnation, self._pool, self)
        self._claims = ClaimWriter(
            settings.ledger,
            platform,
            reactor,
            context.wall_clock,
        )
        self._control = RouterControl(
            Identity(process.name, context.incarnation, process.domain),
            settings.sums,
            self._members,
            self._version_manager,
            self._limiter,
            platform,
            self._pool,
            self._sources,
            [parse_endpoint(text) for text in settings.router.seeds],
            self,
            reactor,
        )
        self._sites = RouterSites(settings.router, context)
        self._active_calls: dict[RoutedCall, _ActiveCall] = {}
        self._inbound: set[Link] = set()
        self._ports: list[Any] = []
        self._loops: list[Any] = []
        self._is_stopping = False
        self._is_listed = False

    @property
    def members(self) -> Members:
        """Return the known hosts."""
        return self._members

    @property
    def version_manager(self) -> VersionManager:
        """Return the manager of configuration versions."""
        return self._version_manager

    @property
    def control(self) -> RouterControl:
        """Return the part that exchanges control traffic."""
        return self._control

    @property
    def claims(self) -> ClaimWriter:
        """Return the writer of this router's part of the claim ledger."""
        return self._claims

    @property
    def table(self) -> CallTable:
        """Return the table of attempts in flight."""
        return self._table

    @property
    def platform(self) -> Platform:
        """Return the client of the platform."""
        return self._platform

    @property
    def settings(self) -> Settings:
        """Return the settings of the process."""
        return self._settings

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self._active_calls)

    @property
    def control_bytes(self) -> int:
        """Return the bytes of frames sent and received on all open connections."""
        links = [*self._pool.links(), *self._inbound]
        return sum(link.bytes_in + link.bytes_out for link in links)

    @property
    def http_port(self) -> int:
        """Return the TCP port of callers' HTTP."""
        return int(self._ports[0].getHost().port)

    @property
    def link_port(self) -> int:
        """Return the TCP port on which agents and peer routers connect."""
        return int(self._ports[1].getHost().port)

    @property
    def admin_port(self) -> int:
        """Return the TCP port of the administration API."""
        return int(self._ports[2].getHost().port)

    @property
    def is_ready(self) -> bool:
        """Return whether requests are accepted."""
        return self._version_manager.view is not None and not self._is_stopping

    @property
    def view(self) -> VersionView | None:
        """Return the configuration version in force; None before there is one."""
        return self._version_manager.view

    @property
    def is_full(self) -> bool:
        """Return whether the limit of requests in flight is reached."""
        return len(self._active_calls) >= self._settings.router.calls_limit

    def listen(self) -> None:
        """Open the ports of callers, of connections and of the administration API."""
        router = self._settings.router
        resource = CallersResource(self, router.answer_limit)
        reactor = self._context.reactor
        self._ports = [
            self._sites.listen_callers(resource),
            self._context.listen(
                router.link_port,
                LinkFactory(self._hello, self, reactor, self._settings.link),
                router.address,
            ),
            self._sites.listen_operators(self._admin_resource()),
        ]

    @inlineCallbacks
    def start(self) -> Generator[Any, Any, None]:
        """Announce the router, start its control traffic and periodic work.

        Returns
        -------
        Deferred[None]
            Fires when the list of hosts and the version head have been requested.
        """
        if self._settings.platform.register:
            yield self._announce(is_leaving=False)
        yield self._control.start()
        context = self._context
        self._loops = [
            context.repeat(self._settings.sums.interval, self._tick),
            context.repeat(CLOSE_IDLE_INTERVAL_SECONDS, self._close_idle),
        ]
        self._log(Event.PROCESS_STARTED, incarnation=context.incarnation)

    @inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Stop accepting requests and finish those in flight.

        Returns
        -------
        Deferred[None]
            Fires when all requests have ended and the router has closed its ports;
            requests still in flight after ``stop_within`` seconds are not waited for.
        """
        self._is_stopping = True
        self._log(Event.PROCESS_STOPPING, under_way=len(self._active_calls))
        if self._settings.platform.register:
            yield self._announce(is_leaving=True)
        if self._ports:
            yield self._ports[0].stopListening()
        until = self.now() + self._settings.process.stop_within
        while self._active_calls and self.now() < until:
            yield self._context.pause(STOP_POLL_SECONDS)
        if self._active_calls:
            self._log(Event.STOP_CUT, under_way=len(self._active_calls))
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._sites.stop()
        self._control.stop()
        self._pool.close()
        for link in list(self._inbound):
            link.close()
        for port in self._ports[1:]:
            yield port.stopListening()
        self._log(Event.PROCESS_STOPPED)

    def now(self) -> float:
        """Return the current time in seconds."""
        return float(self._context.reactor.seconds())

    def limit(self, organisation: OrganisationRecord) -> float:
        """Count a request against its organisation's limit; see `CallRouter.limit`."""
        rate = organisation.requests_per_second
        return self._limiter.admit(organisation.name, rate, self.now())

    def ledger_endpoint(self, service: str, organisation: str, key: str) -> str:
        """Return the router that writes a key's claim; see `CallRouter`."""
        digest = claim_key(service, organisation, key)
        bucket = bucket_of(digest, self._settings.ledger.buckets)
        routers = self._members.routers("", self.now())
        names = [member.entry.name for member in routers]
        first = first_by_rendezvous(names, f"bucket {bucket}", 1)
        member = self._members.get(first[0]) if first else None
        return "" if member is None else str(member.endpoint)

    def route(
        self,
        request: CallRequest,
        service: ServiceRecord,
        view: VersionView,
        sink: HttpSink,
    ) -> None:
        """Route a call; see `CallRouter.route`."""
        now = self.now()
        context = self._context
        trace_span = context.tracing.start(
            "router", request.traceparent, may_begin=True
        )
        request.traceparent = trace_span.traceparent
        key = request.chat or str(context.rng.getrandbits(RANDOM_KEY_BITS))
        candidates = self._members.candidates(
            service.name,
            key,
            service.candidates,
            now,
        )
        if not request.chat:
            domain = self._locality.domain
            candidates = self._loads.order(candidates, domain, now)
        plan = AttemptPlan(
            candidates,
            is_idempotent=request.is_idempotent,
            deadline=request.deadline,
            budget=self._budgets.of(request.organisation),
            backoff=Backoff(self._settings.backoff, context.rng),
        )
        call = RoutedCall(
            request,
            plan,
            sink,
            self._table,
            context.reactor,
            self._settings.call,
        )
        self._active_calls[call] = _ActiveCall(view.pin(), trace_span, now)
        sink.bind(call)
        call.start()

    def find_target(self, service: str, name: str) -> Target | None:
        """Return a usable target; see `CallTableListener.find_target`."""
        return self._members.find_target(service, name, self.now())

    def suspect(self, target: Target) -> None:
        """Mark a target as suspect; see `CallTableListener.suspect`."""
        self._members.suspect(target.name, self.now())
        self._log(Event.TARGET_SUSPECT, target=target.name)

    def load_reported(self, target: Target, load: int) -> None:
        """Record a target's load; see `CallTableListener.load_reported`."""
        self._loads.record(target.name, load, self.now())

    def call_ended(self, call: RoutedCall, report: CallReport) -> None:
        """Handle the end of a call; see `CallTableListener.call_ended`."""
        active = self._active_calls.pop(call, None)
        if active is None:
            return
        active.view.unpin()
        # Reference cycles keep the call until the next garbage collection.
        call.request.body = b""
        self._report_placement(call, report)
        self._record_metrics(call, report, self.now() - active.start_time)
        reason = "" if report.reason is None else report.reason.name
        active.trace_span.end(
            outcome=report.outcome.name,
            reason=reason,
            attempts=report.attempts,
            target=report.target,
        )

    def host_unreadable(self, detail: str) -> None:
        """Log an entry of the list of hosts that cannot be read."""
        self._log(Event.HOST_REFUSED, detail=detail)

    def platform_failed(self, detail: str) -> None:
        """Log a failed request to the platform."""
        self._log(Event.PLATFORM_FAILED, detail=detail)

    def agent_notice_received(self, notice: wire.MemberNotice) -> None:
        """Log a notice of an agent's new state."""
        state = MemberState(notice.state).name
        self._log(Event.TARGET_NEWS, target=notice.name, state=state)

    def adopted(self, view: VersionView) -> None:
        """Log a version that is now in force here."""
        self._context.metrics.gauge(Metric.VERSION, view.version)
        self._log(Event.VERSION_ADOPTED, version=view.version, digest=view.head.digest)

    def head_refused(self, error: HeadError) -> None:
        """Log a version head that failed verification."""
        self._log(Event.HEAD_REFUSED, detail=str(error))

    def pull_failed(self, version: int, detail: str) -> None:
        """Log a version whose sections could not be pulled yet."""
        self._log(Event.PULL_FAILED, version=version, detail=detail)

    def link_ready(self, link: Link) -> None:
        """Handle a connection whose peer has sent its hello."""
        self._inbound.add(link)

    def link_lost(self, link: Link, detail: str) -> None:
        """Handle a lost connection."""
        self._inbound.discard(link)
        self._sources.lost(link)
        self._table.link_lost(link, detail)

    def link_message(self, link: Link, message: Message) -> None:
        """Handle one message of an agent or a peer router."""
        if self._table.message(message):
            return
        if self._control.message(link, message):
            return
        if isinstance(message, wire.ClaimRequest):
            decided = self._claims.submit(message)
            decided.addCallback(link.send)

    def _admin_resource(self) -> AdminResource:
        administration = Administration(
            self._platform,
            self._version_manager,
            HeadVerifier(self._settings.approvers),
            self._context.reactor,
            self._context.wall_clock,
        )
        keys = OperatorKeys(
            self._settings.trust.operators, lambda: self._version_manager.view
        )
        return AdminResource(administration, keys, self.status, self._context.log)

    @inlineCallbacks
    def status(self) -> Generator[Any, Any, dict[str, Any]]:
        """Return the versions in force by failure domain, as known to this router.

        Returns
        -------
        Deferred[dict[str, Any]]
            Answer of the administration API.
        """
        yield self._control.refresh_domains()
        return fleet_status(
            self._settings.process.name, self._version_manager, self._control
        )

    def _report_placement(self, call: RoutedCall, report: CallReport) -> None:
        """Report to a chat's first candidate which other target served the chat."""
        chat = call.request.chat
        home = call.plan.first_candidate
        if not chat or home is None or not report.target:
            return
        if report.target == home.name or report.attempts <= 1:
            return
        message = wire.Placed(call.request.service, chat, report.target)
        connecting = self._pool.get(home.endpoint)
        connecting.addCallbacks(lambda link: link.send(message), lambda _: None)

    def _record_metrics(
        self, call: RoutedCall, report: CallReport, seconds: float
    ) -> None:
        metrics = self._context.metrics
        metrics.count(Metric.CALLS)
        metrics.count(Metric.ATTEMPTS, report.attempts)
        metrics.timing(Metric.CALL_TIME, seconds)
        if report.outcome is Outcome.RAN:
            metrics.count(Metric.CALLS_WHOLE)
            metrics.count(Metric.PROMPT_TOKENS, call.request.prompt_tokens)
            metrics.count(Metric.CACHED_TOKENS, report.cached_tokens)
            return
        refused = report.outcome is Outcome.NOT_RUN
        metrics.count(Metric.CALLS_REFUSED if refused else Metric.CALLS_UNKNOWN)
        self._log(
            Event.CALL_REFUSED,
            organisation=call.request.organisation,
            service=call.request.service,
            outcome=report.outcome.name,
            reason="" if report.reason is None else report.reason.name,
            attempts=report.attempts,
        )

    def _tick(self) -> None:
        self._control.tick()
        metrics = self._context.metrics
        metrics.gauge(Metric.CALLS_UNDER_WAY, len(self._active_calls))
        metrics.gauge(Metric.CALLERS_MEMORY, self._sites.memory_used)
        self._sites.report(self.now())
        metrics.gauge(Metric.LINKS, self._pool.size)
        metrics.gauge(Metric.STRAYS, self._table.strays)
        metrics.gauge(Metric.CONTROL_BYTES, self.control_bytes)
        metrics.gauge(Metric.CLAIMS, self._claims.decided)
        metrics.gauge(Metric.CLAIM_WRITES, self._claims.writes)

    def _close_idle(self) -> None:
        self._pool.close_idle(self.now())

    def _announce(self, *, is_leaving: bool) -> Deferred[None]:
        """Announce this router to the platform's list of hosts; log a failure."""
        process = self._settings.process
        entry = wire.HostEntry(
            name=process.name,
            role=ROLE,
            address=self._settings.router.address,
            port=self.link_port,
            domain=process.domain,
            region=process.region,
            service_name="",
            leaving=is_leaving,
            gone=is_leaving,
            version=0,
            incarnation=self._context.incarnation,
        )
        announced = self._platform.announce(entry)
        announced.addErrback(
            lambda failure: self.platform_failed(failure.getErrorMessage()),
        )
        return announced

    def _log(self, event: Event, **fields: Any) -> None:
        self._context.log.emit(event, **fields)
