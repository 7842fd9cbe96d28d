"""The router on a platform where it calls its targets itself."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.web.resource import Resource
from twisted.web.server import Site

from primrosescale.exceptions import PrimrosescaleError
from primrosescale.process.entry.caller_site import FIRST_LIMITS
from primrosescale.process.entry.caller_site import CallerConnection
from primrosescale.process.entry.caller_site import EntryFactory
from primrosescale.process.entry.caller_site import EntryHandler
from primrosescale.process.entry.entry_metrics import MetricsResource
from primrosescale.process.entry.knowledge import Knowledge
from primrosescale.process.entry.router_exchange import NewsExchange
from primrosescale.process.entry.router_exchange import RouterRegistry
from primrosescale.process.entry.router_news import RouterNews
from primrosescale.process.entry.target_caller import HttpTargetCaller
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.events import Event
from primrosescale.process.incarnation import new_incarnation
from primrosescale.request.direct_port import Refusal
from primrosescale.request.forwarded_call import ForwardedCall
from primrosescale.request.forwarded_call import ForwardTools
from primrosescale.request.freshness import Freshness
from primrosescale.request.gate import Gate
from primrosescale.request.part_directory import PartDirectory
from primrosescale.request.repeat_budget import RepeatBudget
from primrosescale.request.target_choice import TargetChooser

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.process.entry.caller_site import EntryRequest
    from primrosescale.process.entry.entry_parts import EntryParts
    from primrosescale.process.entry.entry_settings import EntrySettings
    from primrosescale.process.entry.entry_settings import EntryWatches
    from primrosescale.version.routing_table import CallerLimits

OK = 200
UNAVAILABLE = 503
BACKLOG = 1024
HOUSEKEEPING_SECONDS = 0.25
# The balancer asks once a second and takes a router out after two misses; a
# new connection may still come a little later.
STILL_CHOSEN_SECONDS = 2.6
# Routers that are taken to share the budget of repeats before the list came.
UNLISTED_ROUTERS = 8
# Left before SIGKILL for closing connections.
STOP_MARGIN_SECONDS = 0.5


class ReadyResource(Resource):
    """Tells the balancer whether to send callers, on every path.

    Parameters
    ----------
    is_ready : Any
        Returns whether the router is ready.
    """

    isLeaf = True

    def __init__(self, is_ready: Any) -> None:
        super().__init__()
        self._is_ready = is_ready

    def render_GET(self, request: Any) -> bytes:
        """Answer 200 when ready, else 503.

        Parameters
        ----------
        request : Any
            The request.

        Returns
        -------
        bytes
            A word for people.
        """
        if self._is_ready():
            return b"ready\n"
        request.setResponseCode(UNAVAILABLE)
        return b"not ready\n"


class EntryRouter(EntryHandler):
    """Accepts callers' requests and sends them to targets.

    Parameters
    ----------
    settings : EntrySettings
        Its settings.
    watches : EntryWatches
        What it follows in the store.
    parts : EntryParts
        What it is built with.
    """

    def __init__(
        self,
        settings: EntrySettings,
        watches: EntryWatches,
        parts: EntryParts,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._reactor = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics
        incarnation = new_incarnation()
        freshness = Freshness(settings.revoke)
        targets = TargetList(settings.drain)
        self._caller = HttpTargetCaller(parts.reactor, parts.codec)
        self._directory = PartDirectory()
        self._news = RouterNews(
            settings.name, incarnation, targets, self._directory, freshness
        )
        self._registry = RouterRegistry(settings, incarnation, self._news, parts)
        self._exchange = NewsExchange(self._news, self._version, parts)
        self._knowledge = Knowledge(
            settings, watches, parts, freshness, targets, self._registry
        )
        self._budgets: dict[str, RepeatBudget] = {}
        self._gate = Gate(self._knowledge.freshness, settings.config_apply, parts.rng)
        self._tools = ForwardTools(
            settings=settings.forward,
            clock=parts.reactor,
            rng=parts.rng,
            caller=self._caller,
            chooser=TargetChooser(settings.choice, self._directory, parts.rng),
            parts=self._directory,
            states_of=targets.of_service,
            budget_of=self._budget_of,
            routers=self._routers,
            parts_changed=self._exchange.tell_soon,
        )
        self._factory = EntryFactory(self, parts.reactor)
        self._calls: set[ForwardedCall] = set()
        self._ports: list[Any] = []
        self._caller_port: Any = None
        self._is_stopping = False
        self._was_ready = False
        self._lines_dropped = 0

    @property
    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        table = self._knowledge.table
        return FIRST_LIMITS if table is None else table.limits

    @property
    def is_stopping(self) -> bool:
        """Tell whether connections are to end with their next answer."""
        return self._is_stopping

    @property
    def is_ready(self) -> bool:
        """Tell whether callers should be sent here."""
        return not self._is_stopping and not self._knowledge.missing(self._now())

    def start(self) -> None:
        """Listen, and follow the store."""
        settings = self._settings
        ready = Site(ReadyResource(lambda: self.is_ready))
        ready.noisy = False
        self._listen(settings.readiness, ready)
        if settings.metrics is not None:
            site = Site(MetricsResource(self._metrics, self._refresh_gauges))
            site.noisy = False
            self._listen(settings.metrics, site)
        self._caller_port = self._listen(settings.callers, self._factory)
        links = settings.links
        self._reactor.listenUDP(links.port, self._exchange, links.address)
        self._registry.start()
        self._knowledge.start()
        self._reactor.callLater(HOUSEKEEPING_SECONDS, self._keep_house)
        self._log.emit(Event.PROCESS_STARTED, host=settings.name)

    @inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Stop without cutting a request, as far as the time allows."""
        began = self._now()
        self._is_stopping = True
        self._log.emit(Event.PROCESS_STOPPING, under_way=len(self._calls))
        latest = began + self._settings.stop_within - STOP_MARGIN_SECONDS
        yield self._pause(STILL_CHOSEN_SECONDS)
        self._caller_port.stopListening()
        while self._now() < latest:
            self._factory.close_idle()
            if not self._calls and not self._factory.open_channels:
                break
            yield self._pause(0.05)
        if self._calls:
            self._log.emit(Event.STOP_CUT, requests=len(self._calls))
        self._knowledge.stop()
        self._exchange.stop()
        yield self._registry.stop()
        self._log.emit(Event.PROCESS_STOPPED, took=round(self._now() - began, 2))

    def reload(self) -> None:
        """Take in the settings file anew; a bad one changes nothing."""
        try:
            settings = self._parts.reread()
        except PrimrosescaleError as error:
            self._log.emit(Event.SETTINGS_REFUSED, detail=str(error))
            return
        is_changed = settings != self._settings
        if is_changed:
            self._settings = settings
            self._knowledge.configure(settings)
            self._budgets.clear()
        self._log.emit(Event.SETTINGS_RELOADED, is_changed=is_changed)

    def handle(self, request: EntryRequest) -> ForwardedCall | None:
        """Answer or forward a request; see `EntryHandler.handle`."""
        now = self._now()
        headers: Any = request.requestHeaders
        head = self._parts.codec.caller_head(request.method, request.uri, headers)
        body = request.content.getvalue()
        judged = self._gate.judge(head, body, self._knowledge.table, now)
        sink = self._sink(request, head.request_id)
        if isinstance(judged, Refusal):
            sink.refuse(judged, self._come_back_after(judged))
            self._log_refused(judged, head.request_id, now)
            return None
        call = ForwardedCall(judged, sink, self._tools, self._ended)
        self._calls.add(call)
        sink.paced_by(call)
        call.start(now)
        return call

    def too_large(self, request: EntryRequest) -> None:
        """Answer a request that is too large; see `EntryHandler.too_large`."""
        self._sink(request, "").refuse(Refusal.TOO_LARGE, None)
        self._log_refused(Refusal.TOO_LARGE, "", self._now())

    def _sink(self, request: EntryRequest, request_id: str) -> CallerConnection:
        def headers(
            refusal: Refusal,
            retry_after: float | None,
        ) -> list[tuple[bytes, bytes]]:
            return self._parts.codec.refusal_headers(refusal, request_id, retry_after)

        return CallerConnection(request, self, headers)

    def _come_back_after(self, refusal: Refusal) -> float | None:
        if not refusal.is_not_run:
            return None
        return self._settings.forward.retry_after * self._parts.rng.uniform(0.5, 1.5)

    def _log_refused(self, refusal: Refusal, request_id: str, now: float) -> None:
        self._metrics.refused(refusal.name.lower())
        table = self._knowledge.table
        self._log.emit(
            Event.REQUEST_ENDED,
            request=request_id,
            outcome=f"refused: {refusal.name.lower()}",
            version=None if table is None else table.version,
            knowledge_age=self._knowledge.rounded_age(now),
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
            knowledge_age=self._knowledge.rounded_age(now),
            outcome=outcome,
            took=round(now - request.received_at, 3),
            first_byte=None if first is None else round(first - request.received_at, 3),
            attempts=[
                {
                    "target": item.target,
                    "after": round(item.began_at - request.received_at, 3),
                    "load": item.load,
                    "cached_tokens": item.held,
                    "fetched_from": item.fetched_from,
                    "outcome": item.outcome,
                }
                for item in call.attempts
            ],
        )

    def _budget_of(self, service: str) -> RepeatBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = RepeatBudget(self._settings.repeats)
        return budget

    def _routers(self) -> int:
        listed = self._registry.routers
        return UNLISTED_ROUTERS if listed is None else listed

    def _version(self) -> int:
        table = self._knowledge.table
        return 0 if table is None else table.version

    def _keep_house(self) -> None:
        now = self._now()
        self._reactor.callLater(HOUSEKEEPING_SECONDS, self._keep_house)
        self._caller.sweep(now)
        for name in self._knowledge.forget_gone(now):
            self._directory.forget_target(name)
            self._caller.forget(name)
        self._note_readiness(now)
        dropped = self._parts.writer.take_dropped() if self._parts.writer else 0
        if dropped:
            self._lines_dropped += dropped
            self._log.emit(Event.LOG_DROPPED, lines=dropped)

    def _note_readiness(self, now: float) -> None:
        if self.is_ready == self._was_ready:
            return
        self._was_ready = not self._was_ready
        self._log.emit(
            Event.READINESS_CHANGED,
            is_ready=self._was_ready,
            reason="stopping" if self._is_stopping else self._knowledge.missing(now),
            knowledge_age=self._knowledge.rounded_age(now),
        )

    def _refresh_gauges(self) -> None:
        now = self._now()
        table = self._knowledge.table
        age = self._knowledge.freshness.age(now)
        values: dict[str, float] = {
            "version": 0 if table is None else table.version,
            "knowledge_age_seconds": -1.0 if age is None else age,
            "targets": len(self._knowledge.targets),
            "caller_connections": self._factory.open_channels,
            "requests_under_way": len(self._calls),
            "peers": self._news.heard_lately(now),
            "news_bytes": self._exchange.bytes_out,
            "store_calls": self._knowledge.store_calls,
            "is_ready": float(self.is_ready),
            "log_lines_dropped": self._lines_dropped,
        }
        for name, value in values.items():
            self._metrics.gauge(name, value)

    def _listen(self, endpoint: Any, factory: Any) -> Any:
        port = self._reactor.listenTCP(
            endpoint.port, factory, BACKLOG, endpoint.address
        )
        self._ports.append(port)
        return port

    def _pause(self, seconds: float) -> Deferred[None]:
        result: Deferred[None] = Deferred()
        self._reactor.callLater(seconds, result.callback, None)
        return result

    def _now(self) -> float:
        return float(self._reactor.seconds())
