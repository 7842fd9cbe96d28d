"""The agent: the process beside a target and the only way to it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.link import PROTOCOL_VERSION
from primrosescale.connection.link import LinkHandler
from primrosescale.connection.pool import LinkPool
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import MemberState
from primrosescale.process.configuration.section_sources import LinkSources
from primrosescale.process.configuration.version_manager import VersionManager
from primrosescale.process.configuration.version_manager import VersionObserver
from primrosescale.process.daemons.agent_core import AgentCore
from primrosescale.process.daemons.agent_core import AgentCoreSettings
from primrosescale.process.daemons.agent_observer import AgentObserver
from primrosescale.process.daemons.daemon import LinkFactory
from primrosescale.process.daemons.daemon import Tools
from primrosescale.process.daemons.engine_orders import EngineOrders
from primrosescale.process.daemons.engine_orders import OrderObserver
from primrosescale.process.daemons.engine_orders import OrderSettings
from primrosescale.process.daemons.engine_orders import wish_of
from primrosescale.process.events import Event
from primrosescale.process.exceptions import SettingsError
from primrosescale.process.ledger.remote_ledger import RemoteLedger
from primrosescale.process.membership.heartbeat import AgentState
from primrosescale.process.membership.heartbeat import Heartbeat
from primrosescale.process.membership.heartbeat import HeartbeatAgent
from primrosescale.process.metrics import Metric
from primrosescale.process.settings import parse_endpoint
from primrosescale.request.candidates import TargetRing
from primrosescale.version.head import HeadVerifier

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.connection.codec import Message
    from primrosescale.connection.link import Link
    from primrosescale.process.daemons.engine_orders import EngineWish
    from primrosescale.process.settings import AgentSettings
    from primrosescale.process.settings import Settings
    from primrosescale.process.transport.engine_port import EnginePort
    from primrosescale.process.transport.platform import Platform
    from primrosescale.request.agent_call import AgentCall
    from primrosescale.request.call_names import CallId
    from primrosescale.request.load_bound import ServiceLoad
    from primrosescale.request.trace_span import TraceSpan
    from primrosescale.version.exceptions import HeadError
    from primrosescale.version.head import VersionHead
    from primrosescale.version.view import VersionView

ROLE = "agent"
TICK_INTERVAL = 0.2
ORDER_INTERVAL = 1.0
STOP_POLL = 0.05
HAND_OVER_WAIT = 2.0
LINK_IDLE = 60.0
DIAL_TIMEOUT = 1.0


class Agent(
    LinkHandler,
    HeartbeatAgent,
    AgentObserver,
    VersionObserver,
    OrderObserver,
):
    """One agent process.

    Parameters
    ----------
    settings : Settings
        Its settings.
    tools : Tools
        Reactor, log, metrics and traces.
    platform : Platform
        The platform's service.
    """

    def __init__(self, settings: Settings, tools: Tools, platform: Platform) -> None:
        own = settings.agent
        if own is None:
            raise SettingsError("no section [agent]", "add it to the settings")
        process = settings.process
        self._settings = settings
        self._own: AgentSettings = own
        self._tools = tools
        self._platform = platform
        reactor = tools.reactor
        self._hello = wire.Hello(
            PROTOCOL_VERSION,
            process.name,
            tools.incarnation,
            process.domain,
        )
        self._pool = LinkPool(
            self._hello,
            self,
            tools.dialer(DIAL_TIMEOUT),
            reactor,
            settings.link,
            LINK_IDLE,
        )
        self._heartbeat = Heartbeat(
            process.name,
            own.service,
            tools.incarnation,
            [parse_endpoint(text) for text in own.routers],
            settings.sums,
            self._pool,
            self,
            reactor,
        )
        self._ledger = RemoteLedger(
            self._pool,
            reactor,
            settings.ledger.claim_timeout,
            lambda: self._heartbeat.router,
        )
        self._target = tools.target(
            Endpoint(own.target_address, own.target_port),
            must_echo=own.must_echo,
            timeout=DIAL_TIMEOUT,
        )
        self._core = AgentCore(
            _core_settings(settings, own),
            tools.incarnation,
            self._target,
            self._ledger,
            self,
            reactor,
        )
        self._keeper = VersionManager(
            HeadVerifier(settings.approvers),
            self,
            needs_organisations=False,
        )
        self._orders = EngineOrders(
            OrderSettings(
                process.name,
                own.service,
                process.domain,
                tools.incarnation,
                own.checks_fence,
            ),
            self._target,
            platform,
            self,
            lambda: self._core.health.failure_share,
            tools.wall_clock,
        )
        self._was_closed = False
        self._sources = LinkSources()
        self._hops: dict[CallId, TraceSpan] = {}
        self._state = MemberState.READY
        self._port: Any = None
        self._loops: list[Any] = []
        self._successors: list[wire.HostEntry] = []

    @property
    def core(self) -> AgentCore:
        """Return its handling of calls."""
        return self._core

    @property
    def keeper(self) -> VersionManager:
        """Return its versions."""
        return self._keeper

    @property
    def link_port(self) -> int:
        """Return the port for routers."""
        return int(self._port.getHost().port)

    @property
    def ledger(self) -> RemoteLedger:
        """Return its way to the ledger."""
        return self._ledger

    @property
    def target(self) -> EnginePort:
        """Return its target."""
        return self._target

    def listen(self) -> None:
        """Open the port for routers."""
        factory = LinkFactory(
            self._hello,
            self,
            self._tools.reactor,
            self._settings.link,
        )
        self._port = self._tools.listen(self._own.port, factory, self._own.address)

    @inlineCallbacks
    def start(self) -> Generator[Any, Any, None]:
        """Join the fleet.

        Returns
        -------
        Deferred[None]
            When the platform has been told.
        """
        if self._settings.platform.register:
            yield self._announce(is_leaving=False, is_gone=False)
        self._heartbeat.send()
        self._loops = [
            self._tools.repeat(self._settings.sums.interval, self._beat),
            self._tools.repeat(TICK_INTERVAL, self._core.tick),
        ]
        if self._own.takes_orders:
            self._loops.append(self._tools.repeat(ORDER_INTERVAL, self._order))
        self._log(Event.PROCESS_STARTED, incarnation=self._tools.incarnation)

    @inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Leave the fleet: refuse new work, finish what was taken.

        Returns
        -------
        Deferred[None]
            When all calls have ended, or the time for it is over.
        """
        self._state = MemberState.LEAVING
        self._core.drain()
        self._log(Event.PROCESS_STOPPING, waiting=self._core.admission.waiting)
        self._heartbeat.send()
        if self._settings.platform.register:
            yield self._announce(is_leaving=True, is_gone=False)
        until = self._now() + self._settings.process.stop_within
        yield self._hand_over()
        while not self._is_finished() and self._now() < until:
            yield self._tools.pause(STOP_POLL)
        if not self._is_finished():
            self._log(Event.STOP_CUT, running=self._core.admission.running)
        if self._settings.platform.register:
            yield self._announce(is_leaving=True, is_gone=True)
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._pool.close()
        yield self._port.stopListening()
        yield self._target.close()
        self._log(Event.PROCESS_STOPPED)

    def describe(self) -> AgentState:
        """Return what the heartbeat says; see `HeartbeatAgent.describe`."""
        return AgentState(
            self._core.admission.load,
            self._state,
            self._keeper.version,
            self._core.health.failure_share,
        )

    def update_mean(self, view: ServiceLoad) -> None:
        """Take in the mean; see `HeartbeatAgent.update_mean`."""
        self._core.bound.update(view)

    def update_head(self, head: VersionHead, link: Link) -> None:
        """Take in the head; see `HeartbeatAgent.update_head`."""
        self._keeper.pull_if_newer(head, self._sources.of(link))

    def set_known_targets(self, targets: list[wire.HostEntry]) -> None:
        """Take in the targets; see `HeartbeatAgent.set_known_targets`."""
        self._successors = targets

    def link_ready(self, link: Link) -> None:
        """Handle that a router has introduced itself."""
        self._core.link_ready(link)

    def link_lost(self, link: Link, detail: str) -> None:
        """Handle the end of a connection."""
        self._core.link_lost(link, detail)
        self._ledger.link_lost(link)
        self._sources.lost(link)

    def link_message(self, link: Link, message: Message) -> None:
        """Handle one message of a router."""
        if isinstance(message, wire.HeartbeatReply):
            self._heartbeat.handle_reply(link, message)
        elif isinstance(message, wire.ClaimReply):
            self._ledger.link_message(message)
        elif isinstance(message, wire.SectionReply):
            self._sources.of(link).reply(message)
        else:
            self._core.link_message(link, message)

    def admitted(self, call: AgentCall, load: int, now: float) -> None:
        """Count a call that was taken."""
        self._tools.metrics.count(Metric.ADMITTED)
        traceparent = call.call.traceparent
        if traceparent:
            tracing = self._tools.tracing
            hop = tracing.start("agent", traceparent, may_begin=False)
            self._hops[call.name] = hop
            call.call.traceparent = hop.traceparent

    def started(self, call: AgentCall) -> None:
        """Note that a call is handed to the target."""

    def ended(self, call: AgentCall, is_answered: bool, now: float) -> None:
        """Note the end of a call."""
        hop = self._hops.pop(call.name, None)
        if hop is not None:
            failure = call.failure
            reason = "" if failure is None else wire.Reason(failure.reason).name
            hop.end(answered=is_answered, reason=reason)

    def refused(self, name: CallId, reason: wire.Reason) -> None:
        """Count a call that was refused."""
        self._tools.metrics.count(Metric.REFUSED)

    def duplicate(self, name: CallId) -> None:
        """Log a copy of a known call."""
        self._tools.metrics.count(Metric.DUPLICATES)
        self._log(Event.AGENT_DUPLICATE, router=name.router, call=name.number)

    def import_failed(self, detail: str) -> None:
        """Log that a handed-over cache could not be taken."""
        self._log(Event.CACHE_IMPORT_FAILED, detail=detail)

    def adopted(self, view: VersionView) -> None:
        """Log that a version is in force here."""
        self._tools.metrics.gauge(Metric.VERSION, view.version)
        self._log(Event.VERSION_ADOPTED, version=view.version, digest=view.head.digest)
        service = view.services.get(self._own.service)
        if service is not None:
            self._core.bound.configure(service.multiple, service.floor)

    def head_refused(self, error: HeadError) -> None:
        """Log that a head was not taken."""
        self._log(Event.HEAD_REFUSED, detail=str(error))

    def pull_failed(self, version: int, detail: str) -> None:
        """Log that a version could not be pulled yet."""
        self._log(Event.PULL_FAILED, version=version, detail=detail)

    def order_sent(self, wish: EngineWish, fence: int) -> None:
        """Log an order."""
        self._log(
            Event.ORDER_SENT,
            model=wish.model,
            version=wish.version,
            fence=fence,
        )

    def order_failed(self, detail: str) -> None:
        """Log that an order failed."""
        self._log(Event.ORDER_FAILED, detail=detail)

    def roll_out_held(self, wish: EngineWish, domain: str) -> None:
        """Log that a roll-out waits for another domain."""
        self._log(
            Event.ROLL_OUT_HELD,
            model=wish.model,
            version=wish.version,
            waits_for=domain,
        )

    def _order(self) -> None:
        view = self._keeper.view
        if view is not None and self._state == MemberState.READY:
            name = self._settings.process.name
            self._orders.tick(wish_of(view, self._own.service, name))

    def _watch_health(self) -> None:
        is_closed = self._core.health.is_closed
        if is_closed and not self._was_closed:
            share = self._core.health.failure_share
            self._log(Event.TARGET_CLOSED, failure_share=round(share, 3))
        self._was_closed = is_closed

    def _beat(self) -> None:
        self._watch_health()
        self._heartbeat.send()
        admission = self._core.admission
        metrics = self._tools.metrics
        metrics.gauge(Metric.LOAD, admission.load)
        metrics.gauge(Metric.WAITING, admission.waiting)
        metrics.gauge(Metric.RUNNING, admission.running)
        metrics.gauge(Metric.UNSETTLED, self._ledger.unsettled)
        self._pool.close_idle(self._now())

    def _is_finished(self) -> bool:
        return self._core.is_idle and not self._ledger.unsettled

    @inlineCallbacks
    def _hand_over(self) -> Generator[Any, Any, None]:
        """Give the hottest chats' cache to those who serve them next."""
        chats = self._core.directory.most_recent(
            self._settings.process.name,
            self._own.hand_over,
        )
        until = self._now() + HAND_OVER_WAIT
        while chats and not self._successors and self._now() < until:
            yield self._tools.pause(STOP_POLL)
        entries = {
            entry.name: entry
            for entry in self._successors
            if entry.name != self._settings.process.name
            and entry.region == self._settings.process.region
        }
        ring = TargetRing()
        ring.fill(entries)
        handed = 0
        for chat in chats:
            names = ring.walk(chat, 1)
            if names:
                handed += yield self._hand_over_chat(chat, entries[names[0]])
        if chats:
            self._log(Event.CACHE_HANDED_OVER, chats=len(chats), handed=handed)

    @inlineCallbacks
    def _hand_over_chat(
        self,
        chat: str,
        entry: wire.HostEntry,
    ) -> Generator[Any, Any, int]:
        record = self._core.directory.find(chat, self._now())
        if record is None:
            return 0
        try:
            data = yield self._target.export_cache(chat)
            if not data:
                return 0
            link = yield self._pool.get(Endpoint(entry.address, entry.port))
        except Exception as error:  # noqa: BLE001 - any failure only costs the cache
            self._log(Event.CACHE_IMPORT_FAILED, chat=chat, detail=str(error))
            return 0
        link.send(wire.CacheImport(self._own.service, chat, record.tokens, data))
        return 1

    @inlineCallbacks
    def _announce(
        self, *, is_leaving: bool, is_gone: bool
    ) -> Generator[Any, Any, None]:
        process = self._settings.process
        entry = wire.HostEntry(
            name=process.name,
            role=ROLE,
            address=self._own.address,
            port=self.link_port,
            domain=process.domain,
            region=process.region,
            service_name=self._own.service,
            leaving=is_leaving,
            gone=is_gone,
            version=0,
            incarnation=self._tools.incarnation,
        )
        announced = self._platform.announce(entry)
        announced.addErrback(
            lambda failure: self._log(
                Event.PLATFORM_FAILED,
                detail=failure.getErrorMessage(),
            ),
        )
        yield announced

    def _now(self) -> float:
        return float(self._tools.reactor.seconds())

    def _log(self, event: Event, **fields: Any) -> None:
        self._tools.log.emit(event, **fields)


def _core_settings(settings: Settings, own: AgentSettings) -> AgentCoreSettings:
    return AgentCoreSettings(
        name=settings.process.name,
        service=own.service,
        admission=settings.admission,
        bound=settings.bound,
        health=settings.health,
        work=settings.work,
        stream=settings.stream,
        chats=own.chats,
        chat_keep=own.chat_keep,
        answer_keep=own.answer_keep,
        recorded_answer=own.recorded_answer,
    )
