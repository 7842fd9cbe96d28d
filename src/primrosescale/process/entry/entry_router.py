"""The entry router: accepts callers' HTTP requests and forwards them to targets.

It is used on platforms where routers connect to targets directly. `EntryRouter` wires
the parts together and decides when the process is ready, when callers are sent to its
peers, and how it stops. Which target a request goes to is decided in
`primrosescale.request`.
"""

from __future__ import annotations

import socket
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks

from primrosescale.clock import cancel_timer
from primrosescale.connection.early_listener import BACKLOG
from primrosescale.connection.early_listener import limit_receive_buffers
from primrosescale.connection.endpoint import Endpoint
from primrosescale.exceptions import PrimrosescaleError
from primrosescale.process.callers.caller_connections import EntryFactory
from primrosescale.process.callers.caller_guard import CallerGuard
from primrosescale.process.callers.caller_site import DEFAULT_LIMITS
from primrosescale.process.callers.caller_site import EntryHandler
from primrosescale.process.callers.connection_admission import ConnectionAdmission
from primrosescale.process.callers.guard_reports import GuardReports
from primrosescale.process.callers.text_site import KeptText
from primrosescale.process.callers.text_site import TextResponse
from primrosescale.process.callers.text_site import TextSite
from primrosescale.process.entry.cache_discovery import CacheDiscovery
from primrosescale.process.entry.cache_limits import CacheLimits
from primrosescale.process.entry.cache_ownership import CacheOwnership
from primrosescale.process.entry.entry_harm_monitor import EntryHarmMonitor
from primrosescale.process.entry.guard_gauges import guard_gauges
from primrosescale.process.entry.harm_gauges import harm_gauges
from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
from primrosescale.process.entry.harm_section import HarmSection
from primrosescale.process.entry.leaving_exchange import LeavingTargetExchange
from primrosescale.process.entry.overload_control import OverloadControl
from primrosescale.process.entry.planned_stop import PlannedStop
from primrosescale.process.entry.request_intake import RequestIntake
from primrosescale.process.entry.request_log import call_fields
from primrosescale.process.entry.retry_reports import RetryReports
from primrosescale.process.entry.router_archive import RouterArchive
from primrosescale.process.entry.router_datagrams import RouterRegistry
from primrosescale.process.entry.router_datagrams import StateExchangeProtocol
from primrosescale.process.entry.start_hold import MAX_START_WAIT_SECONDS
from primrosescale.process.entry.start_hold import StartHold
from primrosescale.process.entry.start_version_exchange import StartVersionExchange
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.store_state import StoreState
from primrosescale.process.entry.stream_origin_exchange import StreamOriginExchange
from primrosescale.process.entry.stream_origin_section import StreamOriginSection
from primrosescale.process.entry.stream_resumption import StreamResumption
from primrosescale.process.entry.target_client import HttpTargetClient
from primrosescale.process.entry.target_list import TARGET
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.entry.target_restarts import TargetRestarts
from primrosescale.process.events import Event
from primrosescale.process.incarnation import new_incarnation
from primrosescale.request.attempt.forwarded_call import ForwardedCall
from primrosescale.request.attempt.forwarding_context import ForwardingContext
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.attempt.shared_retry_budgets import SharedRetryBudgets
from primrosescale.request.capacity.cold_targets import ColdTargets
from primrosescale.request.capacity.router_shares import RouterShares
from primrosescale.request.capacity.service_capacity import ANSWERED
from primrosescale.request.choice.prefill_cost import PrefillCost
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.freshness import Freshness
from primrosescale.request.harm.harmful_requests import HarmfulRequests
from primrosescale.request.request_resolver import RequestResolver
from primrosescale.request.stream.version_doubts import VersionDoubts
from primrosescale.request.target.evacuations import Evacuations
from primrosescale.request.target.target_availability import TargetAvailability
from primrosescale.request.target.target_availability import TargetCondition
from primrosescale.request.trace_span import NO_SPAN

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.clock import Timer
    from primrosescale.process.callers.caller_site import EntryRequest
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.entry_settings import EntrySettings
    from primrosescale.process.entry.entry_settings import WatchedPrefixes
    from primrosescale.process.entry.target_list import IncarnationStart
    from primrosescale.process.tracing import Tracing
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
    from primrosescale.request.attempt.silent_target import SilenceReport
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.evacuations import EvacuationList
    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState
    from primrosescale.request.trace_span import TraceSpan
    from primrosescale.version.routing_table import CallerLimits
    from primrosescale.version.routing_table import Service

OK = 200
UNAVAILABLE = 503
PLAIN = b"text/plain"
METRICS_TYPE = b"text/plain; version=0.0.4"
HOUSEKEEPING_SECONDS = 0.25
KEPT_METRICS_SECONDS = 0.5
# Number of routers assumed to share the retry budget until their list has been read.
ASSUMED_ROUTERS = 8
# Where many routers share a deployment, each skips reading the caches of engines at
# its start, because it sends prompts to the target that their hash selects anyway.
# Whether this applies follows from the list of routers, which normally arrives within
# the 4 ms that the store takes to answer. Callers do not wait for it longer than for
# the caches.
LIST_POLL_SECONDS = 0.005
MAX_LIST_WAIT_SECONDS = 0.05
# A router that has not reached the store for this long, while its peers still reach it,
# sends its callers to them. The load balancer needs up to 3 s to move the callers, and
# keys may be accepted for 5 s. In an outage that affects all routers, they notice it up
# to 2 s apart.
STORE_LOST_SECONDS = 1.0
# The settings file is polled because it may change without a signal. Reading its 2 KB
# takes 0.1 ms.
REREAD_SECONDS = 2.0

# Evidence that a target has ended, other than a refused connection, for the log.
ENTRY_GONE = "entry gone"
STARTED_AGAIN = "started again"


class EntryRouter(EntryHandler):
    """Accepts callers' requests and forwards them to targets.

    Parameters
    ----------
    settings : EntrySettings
        Settings of the router.
    watches : WatchedPrefixes
        Store prefixes that it watches.
    parts : EntryDependencies
        Its collaborators.
    """

    def __init__(
        self,
        settings: EntrySettings,
        watches: WatchedPrefixes,
        parts: EntryDependencies,
    ) -> None:
        self._settings = settings
        self._dependencies = parts
        self._reactor = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics
        incarnation = new_incarnation()
        freshness = Freshness(settings.revoke, is_trusted=settings.is_first_start)
        self._shares = RouterShares(settings.name)
        self._overload = OverloadControl(
            settings.overload, parts, self._shares, self._service
        )
        self._target_client = HttpTargetClient(
            parts.reactor, parts.codec, self._overload.connection_shares
        )
        self._prefix_index = PrefixCacheIndex()
        restarts = TargetRestarts(
            self._target_client,
            self._prefix_index,
            parts,
            self._target_replaced,
            self._target_ended,
        )
        targets = TargetList(settings.drain, restarts.incarnation_started)
        self._evacuations = Evacuations(self._domains_evacuated)
        self._cold_targets = ColdTargets(settings.cold, self._shares, self._service)
        self._availability = TargetAvailability(self._cold_targets, self._target_client)
        self._leaving_exchange = LeavingTargetExchange(targets, parts.log)
        self._harmful_requests = HarmfulRequests(settings.harm)
        harm_reports = HarmReportExchange(self._harmful_requests, parts.log)
        self._state_exchange = StateExchange(
            settings.name,
            incarnation,
            targets,
            self._prefix_index,
            freshness,
            settings.domain,
            settings.news,
            harm_reports,
            self._evacuations,
            self._leaving_exchange,
            self._overload.work,
            self._overload.unserved_by_service,
        )
        self._overload.connect(targets, self._routers, self._state_exchange)
        self._registry = RouterRegistry(
            settings,
            incarnation,
            self._state_exchange,
            parts,
            self._routers_changed,
        )
        shares = CacheOwnership(
            settings.name,
            targets,
            self._prefix_index,
            lambda: self._state_exchange.others,
            self._state_exchange.find,
        )
        self._stream_origins = StreamOriginExchange(
            settings.name,
            lambda: self._state_exchange.others,
            self._state_exchange.find,
            targets,
            freshness,
            is_first_start=settings.is_first_start,
        )
        self._start_versions = StartVersionExchange(
            settings.name, freshness, self._state_exchange, self._version, parts
        )
        self._exchange_protocol = StateExchangeProtocol(
            self._state_exchange,
            self._version,
            self._is_store_lost,
            lambda: self._store_state.target_list_sync.revision,
            parts,
            shares,
            self._stream_origins,
            self._start_versions,
        )
        self._resumption = StreamResumption(
            self._stream_origins, self._exchange_protocol, self._overload.submit, parts
        )
        self._archive = RouterArchive(
            settings,
            (
                StreamOriginSection(self._stream_origins),
                HarmSection(harm_reports, self._state_exchange.polls_store),
            ),
            self._routers,
            parts,
        )
        self._cache_discovery = CacheDiscovery(
            shares, self._exchange_protocol, targets, self._prefix_index, parts
        )
        self._store_state = StoreState(
            settings,
            watches,
            parts,
            freshness,
            targets,
            self._registry,
            lambda: self._state_exchange.polls_store(self._now()),
            self._evacuations,
        )
        self._cache_limits = CacheLimits(self._prefix_index, self._store_state)
        self._harm_monitor = EntryHarmMonitor(
            self._harmful_requests,
            harm_reports,
            targets,
            self._target_client,
            parts,
            self._exchange_protocol.send_soon,
            self._is_store_lost,
        )
        self._retry_budgets = SharedRetryBudgets(
            settings.repeats, is_first_start=settings.is_first_start
        )
        version_doubts = VersionDoubts(self._store_state.lost_for)
        self._retry_reports = RetryReports(self._retry_budgets, parts)
        self._resolver = RequestResolver(
            self._store_state.freshness, settings.not_found_max_age, parts.rng
        )
        self._forwarding = ForwardingContext(
            settings=settings.forward,
            clock=parts.reactor,
            rng=parts.rng,
            client=self._retry_budgets.tracked(
                self._target_client, parts.reactor, version_doubts.connection_lost
            ),
            chooser=TargetChooser(
                settings.choice,
                self._prefix_index,
                parts.rng,
                lambda: self._state_exchange.age(self._now()),
                lambda: self._state_exchange.is_relayed,
                self._availability,
                targets.recently_delisted,
                self._shares.own_permits,
                PrefillCost(
                    self._overload.work,
                    settings.domain,
                    self._overload.usual_times.speeds,
                ),
            ),
            parts=self._prefix_index,
            states_of=targets.of_service,
            budget_of=self._retry_budgets.of,
            parts_changed=self._exchange_protocol.send_soon,
            start_span=self._start_span,
            silence_judged=self._silence_judged,
            self_report_received=self._self_report_received,
            harm=self._harm_monitor,
            availability=self._availability,
            regions=settings.regions,
            overload_scope=self._overload.scope,
            target_work=self._overload.work,
            usual_times=self._overload.usual_times,
            stream_began=self._resumption.began,
            version_doubts=version_doubts,
        )
        self._tracing: Tracing | None = None
        self._factory = EntryFactory(
            self,
            CallerGuard(settings.guard, parts.reactor),
            ConnectionAdmission(parts),
        )
        self._guard_reports = GuardReports(
            self._guard, self._factory.caller_port, parts.log
        )
        self._calls: set[ForwardedCall] = set()
        self._planned_stop = PlannedStop(parts, self._calls, self._factory)
        self._intake = RequestIntake(
            self,
            parts,
            self._resolver,
            self._store_state,
            self._planned_stop,
            self._calls,
            self._factory.caller_port.connections,
            lambda: self._settings,
            self._is_isolated,
        )
        self._ports: dict[Endpoint, Any] = {}
        self._start_hold = StartHold()
        self._was_ready = False
        self._housekeeping: Timer | None = None
        self._lines_dropped = 0
        self._settings_error = ""
        self._next_reread_at = self._now() + REREAD_SECONDS

    @property
    def _guard(self) -> CallerGuard:
        return self._factory.guard

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on connections and requests that are in force."""
        table = self._store_state.table
        return DEFAULT_LIMITS if table is None else table.limits

    @property
    def bound(self) -> dict[Endpoint, Endpoint]:
        """Return the actual addresses it listens on, by the configured endpoints."""
        hosts = {wanted: port.getHost() for wanted, port in self._ports.items()}
        return {
            wanted: Endpoint(host.host, host.port) for wanted, host in hosts.items()
        }

    @property
    def closes_connections(self) -> bool:
        """Return whether connections are to be closed after their next response."""
        return self._planned_stop.is_under_way or self._is_isolated(self._now())

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this router."""
        return not self._unready_reason(self._now())

    def start(self) -> None:
        """Start listening and watching the store."""
        settings = self._settings
        self._listen(settings.readiness, TextSite(self._readiness, self._guard))
        if settings.metrics is not None:
            kept = KeptText(self._metrics_text, KEPT_METRICS_SECONDS)
            metrics = TextSite(lambda: kept.get(self._now()), self._guard)
            self._listen(settings.metrics, metrics)
        self._listen_for_callers(settings.callers)
        links = settings.links
        self._ports[links] = self._reactor.listenUDP(
            links.port, self._exchange_protocol, links.address
        )
        self._registry.start(self.bound[links])
        self._start_hold.begin(self._now())
        self._reactor.callLater(MAX_START_WAIT_SECONDS, self._serve_held_requests)
        self._store_state.start(self._on_first_read)
        self._run_housekeeping()
        self._log.emit(Event.PROCESS_STARTED, host=settings.name)

    @inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Stop after the requests in flight have ended, as far as the time allows."""
        began = self._now()
        self._planned_stop.begin(self._settings.stop_within, began)
        self._overload.stop(began)
        yield self._planned_stop.finish(self._stop_listening)
        self._store_state.stop()
        self._exchange_protocol.stop()
        yield self._registry.stop()
        self._close()
        self._log.emit(Event.PROCESS_STOPPED, took=round(self._now() - began, 2))

    def _stop_listening(self) -> None:
        self._ports.pop(self._settings.callers).stopListening()

    def reload(self, *, is_requested: bool = True) -> None:
        """Read the settings file again; an invalid file changes nothing.

        Parameters
        ----------
        is_requested : bool
            Whether a reload was requested. If not, only changes and new errors are
            logged.
        """
        try:
            settings = self._dependencies.read_settings()
        except PrimrosescaleError as error:
            if is_requested or str(error) != self._settings_error:
                self._log.emit(Event.SETTINGS_REFUSED, detail=str(error))
            self._settings_error = str(error)
            return
        self._settings_error = ""
        # The listening addresses stay; changing them requires a restart.
        settings = replace(
            settings,
            callers=self._settings.callers,
            readiness=self._settings.readiness,
            metrics=self._settings.metrics,
            links=self._settings.links,
        )
        is_changed = settings != self._settings
        if is_changed:
            self._settings = settings
            self._store_state.configure(settings)
            self._dependencies.platform.pace_reads(
                settings.link_rate, settings.max_paced_read
            )
            self._resolver.configure(settings.not_found_max_age)
            self._forwarding.configure(settings.forward, settings.choice)
            self._forwarding.regions = settings.regions
            self._harmful_requests.configure(settings.harm)
            self._cold_targets.configure(settings.cold)
            self._overload.configure(settings.overload)
            self._guard.configure(settings.guard)
            self._factory.caller_port.connections.configure(settings.guard.connections)
            self._retry_budgets.configure(settings.repeats)
        if is_requested or is_changed:
            self._log.emit(Event.SETTINGS_RELOADED, is_changed=is_changed)

    def _close(self) -> None:
        """Stop timers and close all ports, after a planned stop or without one."""
        cancel_timer(self._housekeeping)
        self._overload.close()
        self._guard.stop()
        # Otherwise its rounds would continue without a port to send from.
        self._exchange_protocol.stop()
        for port in self._ports.values():
            port.stopListening()
        self._ports.clear()

    def handle(self, request: EntryRequest) -> None:
        """Answer or forward a request; see `EntryHandler.handle`."""
        if self._start_hold.is_over(self._now()):
            self._serve(request)
        else:
            self._start_hold.add(request)

    def _serve_held_requests(self) -> None:
        """Serve the requests that arrived before the store had been read."""
        for request in self._start_hold.end():
            self._serve(request)

    def _serve(self, request: EntryRequest) -> None:
        now = self._now()
        head = self._intake.head(request)
        resolved = self._intake.decide(head, request.content.getvalue(), now)
        if isinstance(resolved, Refusal):
            self._intake.refuse(request, head, resolved, now)
            return
        sink = self._intake.sink(request, head.request_id)
        call = ForwardedCall(resolved, sink, self._forwarding, self._call_ended)
        self._calls.add(call)
        request.attach_call(call)
        sink.apply_backpressure(call)
        self._resumption.submit(call, now)

    def refusal_by_head(self, request: EntryRequest) -> Refusal | None:
        """Decide by the head; see `EntryHandler.refusal_by_head`."""
        now = self._now()
        if not self._start_hold.is_over(now):
            return None
        resolved = self._intake.decide(self._intake.head(request), b"", now)
        return resolved if isinstance(resolved, Refusal) else None

    def refuse(self, request: EntryRequest, refusal: Refusal) -> None:
        """Refuse a request; see `EntryHandler.refuse`."""
        self._intake.refuse(request, self._intake.head(request), refusal, self._now())

    def _call_ended(self, call: ForwardedCall, outcome: str) -> None:
        self._calls.discard(call)
        now = self._now()
        admission = self._overload.ended(call, now)
        if outcome == ANSWERED:
            self._planned_stop.answered(call.request, now)
        self._metrics.ended(call, outcome, now)
        self._log.emit(
            Event.REQUEST_ENDED,
            knowledge_age=self._store_state.rounded_age(now),
            outcome=outcome,
            **call_fields(call, admission, now),
        )
        call.request.release_body()

    def _silence_judged(self, request: IncomingRequest, silence: SilenceReport) -> None:
        self._metrics.silence_judged(silence)
        self._log.emit(
            Event.SILENCE_JUDGED,
            request=request.request_id,
            target=silence.target,
            silent_for=round(silence.silent_for, 3),
            waited=round(silence.waited, 3),
            others=silence.others,
            verdict=silence.verdict.value,
        )

    def _self_report_received(
        self, request: IncomingRequest, state: TargetState, head: AnswerHead
    ) -> None:
        if head.is_leaving:
            self._leaving_exchange.record(state.incarnation)
        self._log.emit(
            Event.TARGET_SAID,
            target=state.target.name,
            request=request.request_id,
            status=head.status,
            is_leaving=head.is_leaving,
            rest=head.rest,
            told_by=TARGET,
        )

    def _start_span(self, name: str, traceparent: str) -> TraceSpan:
        """Start a span; tracing is imported for the first traced request."""
        if not traceparent:
            return NO_SPAN
        if self._tracing is None:
            from primrosescale.process.tracing import Tracing  # noqa: PLC0415

            self._tracing = Tracing(self._log, 0.0, self._dependencies.rng)
        return self._tracing.start(name, traceparent, may_begin=False)

    def _target_replaced(self, start: IncarnationStart) -> None:
        if start.former is None:
            return
        for call in tuple(self._calls):
            call.target_replaced(start.former, start.software_version, self._now())

    def _target_ended(self, former: TargetIncarnation) -> None:
        self._harm_monitor.target_ended(former, STARTED_AGAIN, self._now())

    def _domains_evacuated(self, evacuation_list: EvacuationList, now: float) -> None:
        self._store_state.targets.evacuate(evacuation_list.domains, now)
        self._log.emit(
            Event.DOMAINS_EVACUATED,
            domains=sorted(evacuation_list.domains),
            revision=evacuation_list.revision,
            told_by=evacuation_list.told_by,
        )

    def _routers(self) -> int:
        return self._registry.routers or ASSUMED_ROUTERS

    def _routers_changed(self) -> None:
        now = self._now()
        self._set_routers(now)
        self._resumption.refresh(now)
        self._start_versions.begin(self._exchange_protocol.send, now)

    def _set_routers(self, now: float) -> None:
        """Divide the rates that all routers share among the routers listed now."""
        names = self._registry.names
        if names is None:
            return
        was_listed = self._registry.was_listed
        self._shares.set_routers(names, now, was_listed=was_listed)
        age = self._store_state.lost_for(now)
        self._retry_budgets.set_routers(len(names), now, age, was_listed=was_listed)

    def _service(self, name: str) -> Service | None:
        table = self._store_state.table
        return None if table is None else table.service(name)

    def _is_store_lost(self) -> bool:
        return self._store_state.lost_for(self._now()) > 0

    def _version(self) -> int:
        table = self._store_state.table
        return 0 if table is None else table.version

    def _run_housekeeping(self) -> None:
        now = self._now()
        self._housekeeping = self._reactor.callLater(
            HOUSEKEEPING_SECONDS, self._run_housekeeping
        )
        self._target_client.sweep(now)
        if now >= self._next_reread_at:
            self._next_reread_at = now + REREAD_SECONDS
            self.reload(is_requested=False)
        self._cache_limits.update()
        self._registry.remove_silent(now)
        self._set_routers(now)
        self._resumption.refresh(now)
        self._exchange_protocol.send(self._archive.refresh(now))
        self._store_state.poll_if_stale(
            self._state_exchange.newest_version(now),
            self._state_exchange.newest_list_revision(),
            now,
        )
        for incarnation in self._store_state.target_list_sync.forget_expired(now):
            self._prefix_index.forget_target(incarnation)
            self._harm_monitor.target_ended(incarnation, ENTRY_GONE, now)
            self._target_client.forget(incarnation.name)
        self._cold_targets.sweep(now)
        self._retry_reports.emit_due(now)
        self._guard_reports.emit_due(now)
        self._log_readiness(now)
        writer = self._dependencies.writer
        dropped = writer.take_dropped() if writer else 0
        if dropped:
            self._lines_dropped += dropped
            self._log.emit(Event.LOG_DROPPED, lines=dropped)

    def _on_first_read(self, max_wait: float = MAX_LIST_WAIT_SECONDS) -> None:
        """Read the caches of engines once routes and targets have been read.

        The number of routers decides whether caches are read. Their list is requested
        together with that of the targets, so it is awaited for a short time.
        """
        if self._registry.routers is None and max_wait > 0:
            self._reactor.callLater(
                LIST_POLL_SECONDS, self._on_first_read, max_wait - LIST_POLL_SECONDS
            )
            return
        if not self._settings.reads_caches or self._state_exchange.is_relayed:
            self._cache_discovery.skip()
            self._serve_when_trusted()
            return
        self._cache_discovery.start(
            self._cache_limits.has_cache, self._serve_when_trusted
        )

    def _serve_when_trusted(self) -> None:
        self._start_versions.when_trusted(self._serve_held_requests)

    def _is_isolated(self, now: float) -> bool:
        """Return whether the store is lost here while peers still reach it."""
        is_store_lost = self._store_state.lost_for(now) >= STORE_LOST_SECONDS
        return is_store_lost and self._state_exchange.peers_reach_store(now)

    def _unready_reason(self, now: float) -> str:
        if self._planned_stop.is_under_way:
            return "stopping"
        if self._is_isolated(now):
            return "cut off from the store"
        return self._store_state.missing(now)

    def _log_readiness(self, now: float) -> None:
        if self.is_ready == self._was_ready:
            return
        self._was_ready = not self._was_ready
        self._log.emit(
            Event.READINESS_CHANGED,
            is_ready=self._was_ready,
            reason=self._unready_reason(now),
            knowledge_age=self._store_state.rounded_age(now),
        )

    def _readiness(self) -> TextResponse:
        if self.is_ready:
            return TextResponse(OK, PLAIN, b"ready\n")
        return TextResponse(UNAVAILABLE, PLAIN, b"not ready\n")

    def _metrics_text(self) -> TextResponse:
        self._refresh_gauges()
        return TextResponse(OK, METRICS_TYPE, self._metrics.text())

    def _refresh_gauges(self) -> None:
        now = self._now()
        table = self._store_state.table
        age = self._store_state.freshness.age(now)
        rank = self._state_exchange.relay_rank(now)
        conditions = Counter(
            self._availability.condition(state, now)
            for state in self._store_state.targets.states
        )
        values: dict[str, float] = {
            "version": 0 if table is None else table.version,
            "knowledge_age_seconds": -1.0 if age is None else age,
            "targets": len(self._store_state.targets),
            "cold_targets": sum(
                self._cold_targets.is_cold(state, now)
                for state in self._store_state.targets.states
            ),
            "leaving_targets": conditions[TargetCondition.LEAVING],
            "resting_targets": conditions[TargetCondition.RESTING],
            "suspect_targets": conditions[TargetCondition.SUSPECT],
            "evacuated_domains": len(self._evacuations.domains),
            "caller_connections": self._factory.open_channels,
            **guard_gauges(self._guard, self._factory.caller_port),
            "requests_under_way": len(self._calls),
            "target_connections": self._target_client.connections,
            "target_connections_closed": self._target_client.connections_closed,
            "peers": self._state_exchange.recent_peers(now),
            "news_bytes": self._exchange_protocol.bytes_out,
            "news_age_seconds": self._state_exchange.age(now),
            "relay_rank": -1.0 if rank is None else rank,
            "stream_origins": self._stream_origins.records,
            "store_calls": self._store_state.store_calls,
            **harm_gauges(self._harmful_requests, now),
            "is_ready": float(self.is_ready),
            "log_lines_dropped": self._lines_dropped,
        }
        for name, value in values.items():
            self._metrics.gauge(name, value)
        self._overload.refresh_metrics(now)

    def _listen(self, endpoint: Endpoint, factory: Any) -> None:
        port = self._reactor.listenTCP(
            endpoint.port, factory, BACKLOG, endpoint.address
        )
        limit_receive_buffers(port.socket)
        factory.caller_port.open(port)
        self._ports[endpoint] = port

    def _listen_for_callers(self, endpoint: Endpoint) -> None:
        listening_socket = self._dependencies.listening_socket
        if listening_socket is None:
            self._listen(endpoint, self._factory)
            return
        port = self._reactor.adoptStreamPort(
            listening_socket.fileno(), socket.AF_INET, self._factory
        )
        self._factory.caller_port.open(port)
        self._ports[endpoint] = port
        # The reactor listens on a duplicate of the descriptor.
        listening_socket.close()

    def _now(self) -> float:
        return float(self._reactor.seconds())
