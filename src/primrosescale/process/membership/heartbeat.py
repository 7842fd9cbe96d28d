"""Sends an agent's heartbeats to a router of its failure domain."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.configuration.wire_head import from_wire
from primrosescale.process.membership.rendezvous import first_by_rendezvous
from primrosescale.request.capacity.load_bound import ServiceLoad

if TYPE_CHECKING:
    from primrosescale.clock import Clock
    from primrosescale.connection.link import Link
    from primrosescale.connection.pool import LinkPool
    from primrosescale.process.membership.load_sums import LoadReportSettings
    from primrosescale.version.head import VersionHead

MILLISECONDS_PER_SECOND = 1000
MAX_MISSED_HEARTBEATS = 2
AVOID_SECONDS = 10.0
MAX_LOADS_KEPT = 8


@dataclass(frozen=True, slots=True)
class AgentState:
    """An agent's report of its own state.

    Parameters
    ----------
    load : int
        Outstanding work in work units.
    state : wire.MemberState
        Whether the agent accepts new work.
    version : int
        Configuration version in force at the agent.
    error_share : float
        Share of recent answers that failed.
    """

    load: int
    state: wire.MemberState
    version: int
    error_share: float


class HeartbeatAgent(ABC):
    """Interface of the agent whose heartbeats are sent."""

    @abstractmethod
    def describe(self) -> AgentState:
        """Return the agent's current state."""

    @abstractmethod
    def update_mean(self, view: ServiceLoad) -> None:
        """Update the mean load of the agent's service.

        Parameters
        ----------
        view : ServiceLoad
            Mean load of the service.
        """

    @abstractmethod
    def update_head(self, head: VersionHead, link: Link) -> None:
        """Handle the head of the accepted version.

        Parameters
        ----------
        head : VersionHead
            The head.
        link : Link
            Connection to a router that holds that version.
        """

    @abstractmethod
    def set_known_targets(self, targets: list[wire.HostEntry]) -> None:
        """Set the targets of the service, which routers send to a leaving agent.

        Parameters
        ----------
        targets : list[wire.HostEntry]
            The targets.
        """


class Heartbeat:
    """Reports an agent's load and receives the mean load and the head.

    The agent reports to the first router of its domain by rendezvous hashing. A
    router that does not answer is avoided for `AVOID_SECONDS`, and the next one
    in that order is used.

    Parameters
    ----------
    agent : str
        Name of the agent.
    service : str
        Name of its service.
    incarnation : int
        Its incarnation.
    seeds : list[Endpoint]
        Routers to report to before the list of routers is received.
    settings : LoadReportSettings
        Heartbeat interval.
    pool : LinkPool
        Connections to routers.
    host : HeartbeatAgent
        The agent: supplies its state and receives updates.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        agent: str,
        service: str,
        incarnation: int,
        seeds: list[Endpoint],
        settings: LoadReportSettings,
        pool: LinkPool,
        host: HeartbeatAgent,
        clock: Clock,
    ) -> None:
        self._agent_name = agent
        self._service = service
        self._incarnation = incarnation
        self._seeds = seeds
        self._settings = settings
        self._pool = pool
        self._agent = host
        self._clock = clock
        self._routers: list[Endpoint] = []
        self._list_version = 0
        self._sequence = 0
        self._answered_sequence = 0
        self._avoided_until: dict[Endpoint, float] = {}
        self._reported_loads: deque[int] = deque([0], maxlen=MAX_LOADS_KEPT)
        self._current: Endpoint | None = None

    @property
    def router(self) -> Endpoint | None:
        """Return the router that the agent reports to; None before the first."""
        return self._current

    @property
    def has_recent_reply(self) -> bool:
        """Return whether at most `MAX_MISSED_HEARTBEATS` heartbeats are unanswered."""
        return self._sequence - self._answered_sequence <= MAX_MISSED_HEARTBEATS

    def send(self) -> None:
        """Send a heartbeat; avoid a router that left too many unanswered."""
        now = self._clock.seconds()
        if not self.has_recent_reply and self._current is not None:
            self._avoided_until[self._current] = now + AVOID_SECONDS
            self._pool.drop(self._current, "router did not answer the last heartbeats")
            self._answered_sequence = self._sequence
        endpoint = self._choose_router(now)
        if endpoint is None:
            return
        self._current = endpoint
        self._sequence += 1
        state = self._agent.describe()
        self._reported_loads.append(state.load)
        message = wire.Heartbeat(
            agent=self._agent_name,
            incarnation=self._incarnation,
            sequence=self._sequence,
            service_name=self._service,
            load=state.load,
            state=state.state,
            version=state.version,
            error_permille=int(state.error_share * MILLISECONDS_PER_SECOND),
            list_version=self._list_version,
        )
        connecting = self._pool.get(endpoint)
        connecting.addCallbacks(
            lambda link: link.send(message),
            self._avoid_unreachable,
            errbackArgs=(endpoint,),
        )

    def handle_reply(self, link: Link, message: wire.HeartbeatReply) -> None:
        """Handle a router's reply to a heartbeat.

        Parameters
        ----------
        link : Link
            Connection that the reply came on.
        message : wire.HeartbeatReply
            The reply.
        """
        now = self._clock.seconds()
        self._answered_sequence = max(self._answered_sequence, message.sequence)
        for mean in message.means:
            if mean.service_name == self._service:
                self._agent.update_mean(self._pair_with_own_load(mean, now))
        head = message.head
        if head.version:
            self._agent.update_head(from_wire(head), link)
        if message.routers:
            self._routers = [
                Endpoint(entry.address, entry.port) for entry in message.routers
            ]
        self._list_version = message.list_version
        if message.targets:
            self._agent.set_known_targets(message.targets)

    def _pair_with_own_load(self, mean: wire.ServiceMean, now: float) -> ServiceLoad:
        """Pair the mean load with this agent's load at the time of the reports."""
        age = mean.age_ms / MILLISECONDS_PER_SECOND
        intervals_ago = 1 + round(age / self._settings.interval)
        index = max(0, len(self._reported_loads) - 1 - intervals_ago)
        return ServiceLoad(
            load=mean.load,
            targets=mean.targets,
            own_load=self._reported_loads[index],
            measured_at=now - age,
        )

    def _choose_router(self, now: float) -> Endpoint | None:
        choice = self._not_avoided(self._routers, now) or self._not_avoided(
            self._seeds, now
        )
        choice = choice or self._routers or self._seeds
        by_name = {str(endpoint): endpoint for endpoint in choice}
        first = first_by_rendezvous(by_name, self._agent_name, 1)
        return by_name[first[0]] if first else None

    def _not_avoided(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        return [e for e in endpoints if self._avoided_until.get(e, 0.0) <= now]

    def _avoid_unreachable(self, _: Any, endpoint: Endpoint) -> None:
        self._avoided_until[endpoint] = self._clock.seconds() + AVOID_SECONDS
