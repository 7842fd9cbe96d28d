"""The agent process: forwards the calls of routers to the target on its host.

It reports its load to a router by heartbeats, follows the accepted version of the
configuration, and orders the engine to run the model that this version assigns to
it. When it is stopped, it drains and hands the caches of recent chats over to the
targets that serve them next.
"""

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
from primrosescale.process.daemons.agent_core_settings import AgentCoreSettings
from primrosescale.process.daemons.agent_observer import AgentObserver
from primrosescale.process.daemons.daemon import DaemonContext
from primrosescale.process.daemons.daemon import LinkFactory
from primrosescale.process.daemons.engine_orders import EngineOrders
from primrosescale.process.daemons.engine_orders import OrderObserver
from primrosescale.process.daemons.engine_orders import OrderSettings
from primrosescale.process.daemons.engine_orders import desired_state_of
from primrosescale.process.events import Event
from primrosescale.process.exceptions import SettingsError
from primrosescale.process.ledger.remote_ledger import RemoteLedger
from primrosescale.process.membership.heartbeat import AgentState
from primrosescale.process.membership.heartbeat import Heartbeat
from primrosescale.process.membership.heartbeat import HeartbeatAgent
from primrosescale.process.metrics import Metric
from primrosescale.process.settings import parse_endpoint
from primrosescale.request.choice.candidates import TargetRing
from primrosescale.version.head import HeadVerifier

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.connection.codec import Message
    from primrosescale.connection.link import Link
    from primrosescale.process.daemons.engine_orders import DesiredEngineState
    from primrosescale.process.settings import AgentSettings
    from primrosescale.process.settings import Settings
    from primrosescale.process.transport.local_engine_client import LocalEngineClient
    from primrosescale.process.transport.platform import Platform
    from primrosescale.request.attempt.agent_call import AgentCall
    from primrosescale.request.attempt.call_id_registry import CallId
    from primrosescale.request.capacity.load_bound import ServiceLoad
    from primrosescale.request.trace_span import TraceSpan
    from primrosescale.version.exceptions import HeadError
    from primrosescale.version.head import VersionHead
    from primrosescale.version.view import VersionView

ROLE = "agent"
TICK_INTERVAL_SECONDS = 0.2
ORDER_INTERVAL_SECONDS = 1.0
STOP_POLL_SECONDS = 0.05
MAX_HAND_OVER_WAIT_SECONDS = 2.0
MAX_LINK_IDLE_SECONDS = 60.0
DIAL_TIMEOUT_SECONDS = 1.0


class Agent(
    LinkHandler,
    HeartbeatAgent,
    AgentObserver,
    VersionObserver,
    OrderObserver,
):
    """The agent of one target.

    Parameters
    ----------
    settings : Settings
        Settings of the process, with a section ``[agent]``.
    context : DaemonContext
        Reactor, log, metrics and traces.
    platform : Platform
        Client of the platform's object store and list of hosts.

    Raises
    ------
    SettingsError
        When the settings have no section ``[agent]``.
    """

    def __init__(
        self, settings: Settings, context: DaemonContext, platform: Platform
    ) -> None:
        agent_settings = settings.agent
        if agent_settings is None:
            raise SettingsError("no section [agent]", "add it to the settings")
        process = settings.process
        self._settings = settings
        self._agent_settings: AgentSettings = agent_settings
        self._context = context
        self._platform = platform
        reactor = context.reactor
        self._hello = wire.Hello(
            PROTOCOL_VERSION,
            process.name,
            context.incarnation,
            process.domain,
        )
        self._pool = LinkPool(
            self._hello,
            self,
            context.dialer(DIAL_TIMEOUT_SECONDS),
            reactor,
            settings.link,
            MAX_LINK_IDLE_SECONDS,
        )
        self._heartbeat = Heartbeat(
            process.name,
            agent_settings.service,
            context.incarnation,
            [parse_endpoint(text) for text in agent_settings.routers],
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
        self._target = context.target(
            Endpoint(agent_settings.target_address, agent_settings.target_port),
            must_echo=agent_settings.must_echo,
            timeout=DIAL_TIMEOUT_SECONDS,
        )
        self._core = AgentCore(
            _core_settings(settings, agent_settings),
            context.incarnation,
            self._target,
            self._ledger,
            self,
            reactor,
        )
        self._version_manager = VersionManager(
            HeadVerifier(settings.approvers),
            self,
            needs_organisations=False,
        )
        self._orders = EngineOrders(
            OrderSettings(
                process.name,
                agent_settings.service,
                process.domain,
                context.incarnation,
                agent_settings.checks_fence,
            ),
            self._target,
            platform,
            self,
            lambda: self._core.health.failure_share,
            context.wall_clock,
        )
        self._was_tripped = False
        self._sources = LinkSources()
        self._spans: dict[CallId, TraceSpan] = {}
        self._state = MemberState.READY
        self._listening_port: Any = None
        self._loops: list[Any] = []
        self._known_targets: list[wire.HostEntry] = []

    @property
    def core(self) -> AgentCore:
        """Return the part that handles calls."""
        return self._core

    @property
    def version_manager(self) -> VersionManager:
        """Return the manager of configuration versions."""
        return self._version_manager

    @property
    def link_port(self) -> int:
        """Return the TCP port on which routers connect."""
        return int(self._listening_port.getHost().port)

    @property
    def ledger(self) -> RemoteLedger:
        """Return the client of the claim ledger."""
        return self._ledger

    @property
    def target(self) -> LocalEngineClient:
        """Return the client of the target."""
        return self._target

    def listen(self) -> None:
        """Open the TCP port on which routers connect."""
        factory = LinkFactory(
            self._hello,
            self,
            self._context.reactor,
            self._settings.link,
        )
        self._listening_port = self._context.listen(
            self._agent_settings.port, factory, self._agent_settings.address
        )

    @inlineCallbacks
    def start(self) -> Generator[Any, Any, None]:
        """Announce the agent and start its heartbeats and periodic work.

        Returns
        -------
        Deferred[None]
            Fires when the announcement to the platform has succeeded or failed.
        """
        if self._settings.platform.register:
            yield self._announce(is_leaving=False, is_gone=False)
        self._heartbeat.send()
        self._loops = [
            self._context.repeat(self._settings.sums.interval, self._heartbeat_tick),
            self._context.repeat(TICK_INTERVAL_SECONDS, self._core.tick),
        ]
        if self._agent_settings.takes_orders:
            self._loops.append(
                self._context.repeat(ORDER_INTERVAL_SECONDS, self._order_engine)
            )
        self._log(Event.PROCESS_STARTED, incarnation=self._context.incarnation)

    @inlineCallbacks
    def stop(self) -> Generator[Any, Any, None]:
        """Drain: refuse new calls and finish those already admitted.

        Returns
        -------
        Deferred[None]
            Fires when all calls have ended and the process has released its ports
            and connections; calls that still run after ``stop_within`` seconds
            are not waited for.
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
            yield self._context.pause(STOP_POLL_SECONDS)
        if not self._is_finished():
            self._log(Event.STOP_CUT, running=self._core.admission.running)
        if self._settings.platform.register:
            yield self._announce(is_leaving=True, is_gone=True)
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._pool.close()
        yield self._listening_port.stopListening()
        yield self._target.close()
        self._log(Event.PROCESS_STOPPED)

    def describe(self) -> AgentState:
        """Return the state to report; see `HeartbeatAgent.describe`."""
        return AgentState(
            self._core.admission.load,
            self._state,
            self._version_manager.version,
            self._core.health.failure_share,
        )

    def update_mean(self, view: ServiceLoad) -> None:
        """Update the mean load; see `HeartbeatAgent.update_mean`."""
        self._core.bound.update(view)

    def update_head(self, head: VersionHead, link: Link) -> None:
        """Pull the head's version if it is newer; see `HeartbeatAgent.update_head`."""
        self._version_manager.pull_if_newer(head, self._sources.of(link))

    def set_known_targets(self, targets: list[wire.HostEntry]) -> None:
        """Store the service's targets; see `HeartbeatAgent.set_known_targets`."""
        self._known_targets = targets

    def link_ready(self, link: Link) -> None:
        """Handle a connection whose router has sent its hello."""
        self._core.link_ready(link)

    def link_lost(self, link: Link, detail: str) -> None:
        """Handle a lost connection."""
        self._core.link_lost(link, detail)
        self._ledger.link_lost(link)
        self._sources.lost(link)

    def link_message(self, link: Link, message: Message) -> None:
        """Handle one message from a router."""
        if isinstance(message, wire.HeartbeatReply):
            self._heartbeat.handle_reply(link, message)
        elif isinstance(message, wire.ClaimReply):
            self._ledger.link_message(message)
        elif isinstance(message, wire.SectionReply):
            self._sources.of(link).reply(message)
        else:
            self._core.link_message(link, message)

    def admitted(self, call: AgentCall, load: int, now: float) -> None:
        """Count an admitted call and start its trace span."""
        self._context.metrics.count(Metric.ADMITTED)
        traceparent = call.call.traceparent
        if traceparent:
            tracing = self._context.tracing
            trace_span = tracing.start("agent", traceparent, may_begin=False)
            self._spans[call.call_id] = trace_span
            call.call.traceparent = trace_span.traceparent

    def started(self, call: AgentCall) -> None:
        """Ignore that a call was sent to the target."""

    def ended(self, call: AgentCall, is_answered: bool, now: float) -> None:
        """End the trace span of an ended call."""
        trace_span = self._spans.pop(call.call_id, None)
        if trace_span is not None:
            failure = call.failure
            reason = "" if failure is None else wire.Reason(failure.reason).name
            trace_span.end(answered=is_answered, reason=reason)

    def refused(self, call_id: CallId, reason: wire.Reason) -> None:
        """Count a refused call."""
        self._context.metrics.count(Metric.REFUSED)

    def duplicate(self, call_id: CallId) -> None:
        """Count and log a duplicate of a known call."""
        self._context.metrics.count(Metric.DUPLICATES)
        self._log(Event.AGENT_DUPLICATE, router=call_id.router, call=call_id.number)

    def import_failed(self, detail: str) -> None:
        """Log that a handed-over cache could not be imported."""
        self._log(Event.CACHE_IMPORT_FAILED, detail=detail)

    def adopted(self, view: VersionView) -> None:
        """Log a version that is now in force here; apply its load bound."""
        self._context.metrics.gauge(Metric.VERSION, view.version)
        self._log(Event.VERSION_ADOPTED, version=view.version, digest=view.head.digest)
        service = view.services.get(self._agent_settings.service)
        if service is not None:
            self._core.bound.configure(service.multiple, service.floor)

    def head_refused(self, error: HeadError) -> None:
        """Log a version head that failed verification."""
        self._log(Event.HEAD_REFUSED, detail=str(error))

    def pull_failed(self, version: int, detail: str) -> None:
        """Log a version whose sections could not be pulled yet."""
        self._log(Event.PULL_FAILED, version=version, detail=detail)

    def order_sent(self, desired: DesiredEngineState, fence: int) -> None:
        """Log an order sent to the engine."""
        self._log(
            Event.ORDER_SENT,
            model=desired.model,
            version=desired.version,
            fence=fence,
        )

    def order_failed(self, detail: str) -> None:
        """Log an order that failed."""
        self._log(Event.ORDER_FAILED, detail=detail)

    def roll_out_held(self, desired: DesiredEngineState, domain: str) -> None:
        """Log a roll-out that waits for an earlier failure domain."""
        self._log(
            Event.ROLL_OUT_HELD,
            model=desired.model,
            version=desired.version,
            waits_for=domain,
        )

    def _order_engine(self) -> None:
        view = self._version_manager.view
        if view is not None and self._state == MemberState.READY:
            name = self._settings.process.name
            self._orders.tick(
                desired_state_of(view, self._agent_settings.service, name)
            )

    def _log_circuit_breaker(self) -> None:
        is_tripped = self._core.health.is_tripped
        if is_tripped and not self._was_tripped:
            share = self._core.health.failure_share
            self._log(Event.TARGET_CLOSED, failure_share=round(share, 3))
        self._was_tripped = is_tripped

    def _heartbeat_tick(self) -> None:
        self._log_circuit_breaker()
        self._heartbeat.send()
        admission = self._core.admission
        metrics = self._context.metrics
        metrics.gauge(Metric.LOAD, admission.load)
        metrics.gauge(Metric.WAITING, admission.waiting)
        metrics.gauge(Metric.RUNNING, admission.running)
        metrics.gauge(Metric.UNSETTLED, self._ledger.unsettled)
        self._pool.close_idle(self._now())

    def _is_finished(self) -> bool:
        return self._core.is_idle and not self._ledger.unsettled

    @inlineCallbacks
    def _hand_over(self) -> Generator[Any, Any, None]:
        """Send the caches of the most recent chats to their next targets.

        A chat's next target is the first in hash order among the other targets of
        the service in this region.
        """
        chats = self._core.directory.most_recent(
            self._settings.process.name,
            self._agent_settings.hand_over,
        )
        until = self._now() + MAX_HAND_OVER_WAIT_SECONDS
        while chats and not self._known_targets and self._now() < until:
            yield self._context.pause(STOP_POLL_SECONDS)
        entries = {
            entry.name: entry
            for entry in self._known_targets
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
        link.send(
            wire.CacheImport(self._agent_settings.service, chat, record.tokens, data)
        )
        return 1

    @inlineCallbacks
    def _announce(
        self, *, is_leaving: bool, is_gone: bool
    ) -> Generator[Any, Any, None]:
        process = self._settings.process
        entry = wire.HostEntry(
            name=process.name,
            role=ROLE,
            address=self._agent_settings.address,
            port=self.link_port,
            domain=process.domain,
            region=process.region,
            service_name=self._agent_settings.service,
            leaving=is_leaving,
            gone=is_gone,
            version=0,
            incarnation=self._context.incarnation,
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
        return float(self._context.reactor.seconds())

    def _log(self, event: Event, **fields: Any) -> None:
        self._context.log.emit(event, **fields)


def _core_settings(
    settings: Settings, agent_settings: AgentSettings
) -> AgentCoreSettings:
    return AgentCoreSettings(
        name=settings.process.name,
        service=agent_settings.service,
        admission=settings.admission,
        bound=settings.bound,
        health=settings.health,
        work=settings.work,
        stream=settings.stream,
        chats=agent_settings.chats,
        chat_keep=agent_settings.chat_keep,
        answer_keep=agent_settings.answer_keep,
        recorded_answer=agent_settings.recorded_answer,
    )
