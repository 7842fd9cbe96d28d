"""The router on a platform where it calls its targets itself."""

from __future__ import annotations

import math
import socket
from collections import Counter
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks

from primrosescale.clock import cancel_timer
from primrosescale.connection.early_listener import BACKLOG
from primrosescale.connection.endpoint import Endpoint
from primrosescale.exceptions import PrimrosescaleError
from primrosescale.process.entry.cache_discovery import CacheDiscovery
from primrosescale.process.entry.cache_ownership import CacheOwnership
from primrosescale.process.entry.caller_site import FIRST_LIMITS
from primrosescale.process.entry.caller_site import CallerConnection
from primrosescale.process.entry.caller_site import EntryFactory
from primrosescale.process.entry.caller_site import EntryHandler
from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
from primrosescale.process.entry.harm_watch import EntryHarmMonitor
from primrosescale.process.entry.leaving_exchange import LeavingTargetExchange
from primrosescale.process.entry.router_datagrams import RouterRegistry
from primrosescale.process.entry.router_datagrams import StateExchangeProtocol
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.store_state import StoreState
from primrosescale.process.entry.target_client import HttpTargetClient
from primrosescale.process.entry.target_list import TARGET
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.entry.target_restarts import TargetRestarts
from primrosescale.process.entry.text_site import Text
from primrosescale.process.entry.text_site import TextSite
from primrosescale.process.events import Event
from primrosescale.process.incarnation import new_incarnation
from primrosescale.process.log_text import MAX_LOGGED_CHARACTERS
from primrosescale.request.cold_targets import ColdTargets
from primrosescale.request.content_fingerprint import fingerprint_text
from primrosescale.request.evacuations import Evacuations
from primrosescale.request.forward_tools import ForwardingContext
from primrosescale.request.forwarded_call import ForwardedCall
from primrosescale.request.forwarding_interfaces import Refusal
from primrosescale.request.freshness import Freshness
from primrosescale.request.harmful_requests import HarmfulRequests
from primrosescale.request.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.request_resolver import RequestResolver
from primrosescale.request.router_shares import RouterShares
from primrosescale.request.shared_retry_budget import SharedRetryBudget
from primrosescale.request.target_availability import TargetAvailability
from primrosescale.request.target_availability import TargetCondition
from primrosescale.request.target_choice import TargetChooser
from primrosescale.request.trace_span import NO_SPAN

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.clock import Timer
    from primrosescale.process.entry.caller_site import EntryRequest
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.entry_settings import EntrySettings
    from primrosescale.process.entry.entry_settings import WatchedPrefixes
    from primrosescale.process.tracing import Tracing
    from primrosescale.request.evacuations import EvacuationList
    from primrosescale.request.forwarding_interfaces import AnswerHead
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.request_resolver import CallerHead
    from primrosescale.request.serving_target import ServingTarget
    from primrosescale.request.silent_target import SilenceReport
    from primrosescale.request.target_incarnation import TargetIncarnation
    from primrosescale.request.target_state import TargetState
    from primrosescale.request.trace_span import TraceSpan
    from primrosescale.version.routing_table import CallerLimits
    from primrosescale.version.routing_table import Service

OK = 200
UNAVAILABLE = 503
PLAIN = b"text/plain"
METRICS_TYPE = b"text/plain; version=0.0.4"
HOUSEKEEPING_SECONDS = 0.25
# The balancer asks once a second and takes a router out after two misses; a
# new connection may still come a little later.
STILL_CHOSEN_SECONDS = 2.6
# Routers that are taken to share the budget of repeats before the list came.
UNLISTED_ROUTERS = 8
# A request that comes before the store has been read waits this long: reading
# takes some 10 ms, and 0.25 s while the store is slow.
START_PATIENCE = 0.5
# Many routers learn nothing of caches at their start: what they send where is at
# its home by hash already.
# The list of routers tells which holds. It normally comes within the 4 ms that the
# store takes to answer; callers do not wait for it longer than for caches.
LIST_PAUSE = 0.005
LIST_PATIENCE = 0.05
# A router that alone has not reached the store for this long sends its callers
# to others. The balancer needs up to 3 s to move them, and keys may be relied
# on for 5 s; in an outage for all, routers notice up to 2 s apart.
LOST_SECONDS = 1.0
# The settings file may change without a signal; reading its 2 KB takes 0.1 ms.
REREAD_SECONDS = 2.0
# Left before SIGKILL for closing connections.
STOP_MARGIN_SECONDS = 0.5


# What shows that a target has ended, besides a refused connection.
GONE = "entry gone"
STARTED_AGAIN = "started again"


class EntryRouter(EntryHandler):
    """Accepts callers' requests and sends them to targets.

    Parameters
    ----------
    settings : EntrySettings
        Its settings.
    watches : WatchedPrefixes
        What it follows in the store.
    parts : EntryDependencies
        What it is built with.
    """

    def __init__(
        self,
        settings: EntrySettings,
        watches: WatchedPrefixes,
        parts: EntryDependencies,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._reactor = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics
        incarnation = new_incarnation()
        freshness = Freshness(settings.revoke)
        self._caller = HttpTargetClient(parts.reactor, parts.codec)
        self._directory = PrefixCacheIndex()
        restarts = TargetRestarts(
            self._caller, self._directory, parts, self._target_ended
        )
        targets = TargetList(settings.drain, restarts.began)
        self._evacuations = Evacuations(self._domains_evacuated)
        self._shares = RouterShares(settings.name)
        self._cold = ColdTargets(settings.cold, self._shares, self._service)
        self._room = TargetAvailability(self._cold)
        self._leaving = LeavingTargetExchange(targets, parts.log)
        self._harmful = HarmfulRequests(settings.harm)
        harm_news = HarmReportExchange(self._harmful, parts.log)
        self._news = StateExchange(
            settings.name,
            incarnation,
            targets,
            self._directory,
            freshness,
            settings.domain,
            settings.news,
            harm_news,
            self._evacuations,
            self._leaving,
        )
        self._registry = RouterRegistry(settings, incarnation, self._news, parts)
        shares = CacheOwnership(
            settings.name,
            targets,
            self._directory,
            lambda: self._news.others,
            self._news.find,
        )
        self._exchange = StateExchangeProtocol(
            self._news,
            self._version,
            self._is_store_lost,
            lambda: self._store_state.listed.revision,
            parts,
            shares,
        )
        self._learning = CacheDiscovery(
            shares, self._exchange, targets, self._directory, parts
        )
        self._store_state = StoreState(
            settings,
            watches,
            parts,
            freshness,
            targets,
            self._registry,
            lambda: self._news.polls_store(self._now()),
            self._evacuations,
        )
        self._harm = EntryHarmMonitor(
            self._harmful,
            harm_news,
            targets,
            self._caller,
            parts,
            self._exchange.send_soon,
        )
        self._budgets: dict[str, SharedRetryBudget] = {}
        self._gate = RequestResolver(
            self._store_state.freshness, settings.not_found_max_age, parts.rng
        )
        self._tools = ForwardingContext(
            settings=settings.forward,
            clock=parts.reactor,
            rng=parts.rng,
            caller=self._caller,
            chooser=TargetChooser(
                settings.choice,
                self._directory,
                parts.rng,
                lambda: self._news.age(self._now()),
                lambda: self._news.is_relayed,
                self._room,
                targets.recently_delisted,
                self._shares.own_permits,
            ),
            parts=self._directory,
            states_of=targets.of_service,
            budget_of=self._budget_of,
            routers=self._routers,
            parts_changed=self._exchange.send_soon,
            start_span=self._start_hop,
            silence_judged=self._silence_judged,
            self_report_received=self._statement_made,
            harm=self._harm,
            availability=self._room,
            regions=settings.regions,
        )
        self._tracing: Tracing | None = None
        self._factory = EntryFactory(self, parts.reactor)
        self._calls: set[ForwardedCall] = set()
        self._ports: dict[Endpoint, Any] = {}
        self._is_stopping = False
        self._early: list[EntryRequest] = []
        self._patient_until = 0.0
        self._was_ready = False
        self._housekeeping: Timer | None = None
        self._lines_dropped = 0
        self._settings_fault = ""
        # Version and list of targets by which the directory was last limited.
        self._limited = (0, 0)
        self._reread_at = self._now() + REREAD_SECONDS

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        table = self._store_state.table
        return FIRST_LIMITS if table is None else table.limits

    @property
    def bound(self) -> dict[Endpoint, Endpoint]:
        """Return where it listens, by the endpoints of the settings."""
        hosts = {wanted: port.getHost() for wanted, port in self._ports.items()}
        return {
            wanted: Endpoint(host.host, host.port) for wanted, host in hosts.items()
        }

    @property
    def sends_callers_away(self) -> bool:
        """Tell whether connections are to end with their next answer."""
        return self._is_stopping or self._is_cut_off(self._now())

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return not self._unready_reason(self._now())

    def start(self) -> None:
        """Listen, and follow the store."""
        settings = self._settings
        self._listen(settings.readiness, TextSite(self._readiness))
        if settings.metrics is not None:
            self._listen(settings.metrics, TextSite(self._metrics_text))
        self._listen_for_callers(settings.callers)
        links = settings.links
        self._ports[links] = self._reactor.listenUDP(
            links.port, self._exchange, links.address
        )
        self._registry.start(self.bound[links])
        self._patient_until = self._now() + START_PATIENCE
        self._reactor.callLater(START_PATIENCE, self._serve_early)
        self._store_state.start(self._learned)
        self._keep_house()
        self._log.emit(Event.PROCESS_STARTED, host=settings.name)

    @inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Stop without cutting a request, as far as the time allows."""
        began = self._now()
        self._is_stopping = True
        self._log.emit(Event.PROCESS_STOPPING, under_way=len(self._calls))
        latest = began + self._settings.stop_within - STOP_MARGIN_SECONDS
        yield self._pause(STILL_CHOSEN_SECONDS)
        self._ports.pop(self._settings.callers).stopListening()
        while self._now() < latest:
            self._factory.close_idle()
            if not self._calls and not self._factory.open_channels:
                break
            yield self._pause(0.05)
        if self._calls:
            self._log.emit(Event.STOP_CUT, requests=len(self._calls))
        self._store_state.stop()
        self._exchange.stop()
        yield self._registry.stop()
        self._close()
        self._log.emit(Event.PROCESS_STOPPED, took=round(self._now() - began, 2))

    def reload(self, *, is_asked: bool = True) -> None:
        """Take in the settings file anew; a bad one changes nothing.

        Parameters
        ----------
        is_asked : bool
            Whether somebody asked; otherwise only news is logged.
        """
        try:
            settings = self._parts.read_settings()
        except PrimrosescaleError as error:
            if is_asked or str(error) != self._settings_fault:
                self._log.emit(Event.SETTINGS_REFUSED, detail=str(error))
            self._settings_fault = str(error)
            return
        self._settings_fault = ""
        # It goes on listening where it does; other addresses need a restart.
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
            self._gate.configure(settings.not_found_max_age)
            self._tools.configure(settings.forward, settings.choice)
            self._tools.regions = settings.regions
            self._harmful.configure(settings.harm)
            self._cold.configure(settings.cold)
            self._budgets.clear()
        if is_asked or is_changed:
            self._log.emit(Event.SETTINGS_RELOADED, is_changed=is_changed)

    def _close(self) -> None:
        """Let go of everything, whether or not the stop was planned."""
        cancel_timer(self._housekeeping)
        # Its rounds would go on without a port to send from.
        self._exchange.stop()
        for port in self._ports.values():
            port.stopListening()
        self._ports.clear()

    def handle(self, request: EntryRequest) -> None:
        """Answer or forward a request; see `EntryHandler.handle`."""
        if self._now() >= self._patient_until:
            self._serve(request)
        else:
            self._early.append(request)

    def _serve_early(self) -> None:
        """Serve the requests that came before the first knowledge."""
        self._patient_until = 0.0
        listening_socket, self._early = self._early, []
        for request in listening_socket:
            if not request.is_gone:
                self._serve(request)

    def _serve(self, request: EntryRequest) -> None:
        now = self._now()
        headers: Any = request.requestHeaders
        head = self._parts.codec.caller_head(request.method, request.uri, headers)
        body = request.content.getvalue()
        judged = self._gate.resolve(head, body, self._store_state.table, now)
        if len(self._calls) >= self._settings.max_requests:
            judged = Refusal.ROUTER_FULL
        sink = self._sink(request, head.request_id)
        if isinstance(judged, Refusal):
            forward = self._settings.forward
            sink.refuse(judged, forward.retry_delay(judged, self._parts.rng))
            self._log_refused(judged, head, now)
            return
        call = ForwardedCall(judged, sink, self._tools, self._ended)
        self._calls.add(call)
        request.answered_by(call)
        sink.paced_by(call)
        call.start(now)

    def too_large(self, request: EntryRequest) -> None:
        """Answer a request that is too large; see `EntryHandler.too_large`."""
        self._sink(request, "").refuse(Refusal.TOO_LARGE, None)
        headers: Any = request.requestHeaders
        head = self._parts.codec.caller_head(b"", b"", headers)
        self._log_refused(Refusal.TOO_LARGE, head, self._now())

    def _sink(self, request: EntryRequest, request_id: str) -> CallerConnection:
        def headers(
            refusal: Refusal,
            retry_after: float | None,
        ) -> list[tuple[bytes, bytes]]:
            return self._parts.codec.refusal_headers(refusal, request_id, retry_after)

        return CallerConnection(request, self, headers)

    def _log_refused(self, refusal: Refusal, head: CallerHead, now: float) -> None:
        self._metrics.refused(refusal.name.lower())
        table = self._store_state.table
        self._log.emit(
            Event.REQUEST_ENDED,
            request=head.request_id,
            host=head.host[:MAX_LOGGED_CHARACTERS],
            path=head.path.decode("latin-1")[:MAX_LOGGED_CHARACTERS],
            has_key=bool(head.key),
            outcome=f"refused: {refusal.name.lower()}",
            version=None if table is None else table.version,
            knowledge_age=self._store_state.rounded_age(now),
        )

    def _ended(self, call: ForwardedCall, outcome: str) -> None:
        self._calls.discard(call)
        now = self._now()
        self._metrics.ended(call, outcome, now)
        request = call.request
        first = call.first_byte_at
        self._log.emit(
            Event.REQUEST_ENDED,
            request=request.request_id,
            route=request.route.name,
            service=request.service,
            organisation=request.organisation,
            version=request.version,
            knowledge_age=self._store_state.rounded_age(now),
            outcome=outcome,
            status=call.status,
            fingerprint=(
                fingerprint_text(request.fingerprint) if call.is_suspect else None
            ),
            prompt_tokens=0 if request.prompt is None else request.prompt.prompt_tokens,
            took=round(now - request.received_at, 3),
            first_byte=None if first is None else round(first - request.received_at, 3),
            attempts=[
                {
                    "target": item.target,
                    "after": round(item.began_at - request.received_at, 3),
                    "until": round((item.ended_at or now) - request.received_at, 3),
                    "load": item.load,
                    "mean": item.mean,
                    "load_age": _told_age(item.load_age),
                    "cached_tokens": item.held,
                    "is_home": item.is_home,
                    "passed_cold": item.passed_cold,
                    "passed_resting": item.passed_resting,
                    "fetched_from": item.fetched_from,
                    "said_leaving": item.said_leaving,
                    "asked_rest": item.asked_rest,
                    "is_rest_odd": item.is_rest_odd,
                    "outcome": item.outcome,
                }
                for item in call.attempts
            ],
        )

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

    def _statement_made(
        self, request: IncomingRequest, state: TargetState, head: AnswerHead
    ) -> None:
        if head.is_leaving:
            self._leaving.record(state.incarnation)
        self._log.emit(
            Event.TARGET_SAID,
            target=state.target.name,
            request=request.request_id,
            status=head.status,
            is_leaving=head.is_leaving,
            rest=head.rest,
            told_by=TARGET,
        )

    def _start_hop(self, name: str, traceparent: str) -> TraceSpan:
        """Start a hop; the library for it is loaded for the first traced one."""
        if not traceparent:
            return NO_SPAN
        if self._tracing is None:
            from primrosescale.process.tracing import Tracing  # noqa: PLC0415

            self._tracing = Tracing(self._log, 0.0, self._parts.rng)
        return self._tracing.start(name, traceparent, may_begin=False)

    def _target_ended(self, former: TargetIncarnation) -> None:
        self._harm.target_ended(former, STARTED_AGAIN, self._now())

    def _domains_evacuated(self, told: EvacuationList, now: float) -> None:
        self._store_state.targets.evacuate(told.domains, now)
        self._log.emit(
            Event.DOMAINS_EVACUATED,
            domains=sorted(told.domains),
            revision=told.revision,
            told_by=told.told_by,
        )

    def _budget_of(self, service: str) -> SharedRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SharedRetryBudget(self._settings.repeats)
        return budget

    def _routers(self) -> int:
        listed = self._registry.routers
        return UNLISTED_ROUTERS if listed is None else listed

    def _list_routers(self, now: float) -> None:
        """Have rates that all routers share divided among those listed now."""
        if self._registry.routers is None:
            return
        others = {router.name for router in self._news.others}
        names = frozenset({self._settings.name, *others})
        self._shares.set_routers(names, now, was_listed=self._registry.was_listed)

    def _service(self, name: str) -> Service | None:
        table = self._store_state.table
        return None if table is None else table.service(name)

    def _is_store_lost(self) -> bool:
        return self._store_state.lost_for(self._now()) > 0

    def _version(self) -> int:
        table = self._store_state.table
        return 0 if table is None else table.version

    def _keep_house(self) -> None:
        now = self._now()
        self._housekeeping = self._reactor.callLater(
            HOUSEKEEPING_SECONDS, self._keep_house
        )
        self._caller.sweep(now)
        if now >= self._reread_at:
            self._reread_at = now + REREAD_SECONDS
            self.reload(is_asked=False)
        self._limit_caches()
        self._registry.remove_silent(now)
        self._list_routers(now)
        self._store_state.poll_if_stale(
            self._news.newest_version(now), self._news.newest_list_revision(), now
        )
        for incarnation in self._store_state.listed.forget_expired(now):
            self._directory.forget_target(incarnation)
            self._harm.target_ended(incarnation, GONE, now)
            self._caller.forget(incarnation.name)
            self._cold.forget(incarnation.name)
        self._note_readiness(now)
        dropped = self._parts.writer.take_dropped() if self._parts.writer else 0
        if dropped:
            self._lines_dropped += dropped
            self._log.emit(Event.LOG_DROPPED, lines=dropped)

    def _learned(self, patience: float = LIST_PATIENCE) -> None:
        """Take in that routes and targets are known for the first time.

        How many routers there are decides whether caches are read; their list
        was asked for together with that of the targets.
        """
        if self._registry.routers is None and patience > 0:
            self._reactor.callLater(LIST_PAUSE, self._learned, patience - LIST_PAUSE)
            return
        if not self._settings.reads_caches or self._news.is_relayed:
            self._learning.skip()
            self._serve_early()
            return
        self._learning.start(self._has_cache, self._serve_early)

    def _limit_caches(self) -> None:
        """Take in how much each target holds, whenever that may have changed."""
        table = self._store_state.table
        seen = (self._version(), self._store_state.targets.generation)
        if table is None or seen == self._limited:
            return
        self._limited = seen
        for state in self._store_state.targets.states:
            service = table.service(state.target.service)
            if service is not None:
                self._directory.limit(state.incarnation, service.cache_tokens)

    def _has_cache(self, target: ServingTarget) -> bool:
        service = self._service(target.service)
        return service is not None and bool(service.cache_tokens)

    def _is_cut_off(self, now: float) -> bool:
        """Tell whether callers are better served by other routers."""
        if self._store_state.lost_for(now) < LOST_SECONDS:
            return False
        return self._news.peers_reach_store(now)

    def _unready_reason(self, now: float) -> str:
        if self._is_stopping:
            return "stopping"
        if self._is_cut_off(now):
            return "cut off from the store"
        return self._store_state.missing(now)

    def _note_readiness(self, now: float) -> None:
        if self.is_ready == self._was_ready:
            return
        self._was_ready = not self._was_ready
        self._log.emit(
            Event.READINESS_CHANGED,
            is_ready=self._was_ready,
            reason=self._unready_reason(now),
            knowledge_age=self._store_state.rounded_age(now),
        )

    def _readiness(self) -> Text:
        if self.is_ready:
            return Text(OK, PLAIN, b"ready\n")
        return Text(UNAVAILABLE, PLAIN, b"not ready\n")

    def _metrics_text(self) -> Text:
        self._refresh_gauges()
        return Text(OK, METRICS_TYPE, self._metrics.text())

    def _refresh_gauges(self) -> None:
        now = self._now()
        table = self._store_state.table
        age = self._store_state.freshness.age(now)
        rank = self._news.relay_rank(now)
        standings = Counter(
            self._room.condition(state, now)
            for state in self._store_state.targets.states
        )
        values: dict[str, float] = {
            "version": 0 if table is None else table.version,
            "knowledge_age_seconds": -1.0 if age is None else age,
            "targets": len(self._store_state.targets),
            "cold_targets": sum(
                self._cold.is_cold(state, now)
                for state in self._store_state.targets.states
            ),
            "leaving_targets": standings[TargetCondition.LEAVING],
            "resting_targets": standings[TargetCondition.RESTING],
            "suspect_targets": standings[TargetCondition.SUSPECT],
            "evacuated_domains": len(self._evacuations.domains),
            "caller_connections": self._factory.open_channels,
            "requests_under_way": len(self._calls),
            "peers": self._news.recent_peers(now),
            "news_bytes": self._exchange.bytes_out,
            "news_age_seconds": self._news.age(now),
            "relay_rank": -1.0 if rank is None else rank,
            "store_calls": self._store_state.store_calls,
            "requests_held_back": len(self._harmful.held(now)),
            "requests_suspected": len(self._harmful),
            "is_ready": float(self.is_ready),
            "log_lines_dropped": self._lines_dropped,
        }
        for name, value in values.items():
            self._metrics.gauge(name, value)

    def _listen(self, endpoint: Endpoint, factory: Any) -> None:
        self._ports[endpoint] = self._reactor.listenTCP(
            endpoint.port, factory, BACKLOG, endpoint.address
        )

    def _listen_for_callers(self, endpoint: Endpoint) -> None:
        listening_socket = self._parts.listening_socket
        if listening_socket is None:
            self._listen(endpoint, self._factory)
            return
        self._ports[endpoint] = self._reactor.adoptStreamPort(
            listening_socket.fileno(), socket.AF_INET, self._factory
        )
        # The reactor listens on a copy.
        listening_socket.close()

    def _pause(self, seconds: float) -> Deferred[None]:
        result: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, result.callback, None)
        return result

    def _now(self) -> float:
        return float(self._reactor.seconds())


def _told_age(seconds: float) -> float | None:
    """Return an age as the log has it; None where nothing was ever heard."""
    return round(seconds, 2) if math.isfinite(seconds) else None
