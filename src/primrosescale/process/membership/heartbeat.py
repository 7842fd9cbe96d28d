"""An agent's heartbeat to one router of its failure domain."""

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
from primrosescale.request.load_bound import ServiceLoad

if TYPE_CHECKING:
    from primrosescale.clock import Clock
    from primrosescale.connection.link import Link
    from primrosescale.connection.pool import LinkPool
    from primrosescale.process.membership.load_sums import LoadReportSettings
    from primrosescale.version.head import VersionHead

MILLISECONDS_PER_SECOND = 1000
MISSED_BEATS = 2
AVOID_FOR = 10.0
LOADS_KEPT = 8


@dataclass(frozen=True, slots=True)
class AgentState:
    """What an agent says of itself.

    Parameters
    ----------
    load : int
        Work units outstanding.
    state : wire.MemberState
        Whether it takes new work.
    version : int
        Version of the configuration in force.
    error_share : float
        Share of failed answers lately.
    """

    load: int
    state: wire.MemberState
    version: int
    error_share: float


class HeartbeatAgent(ABC):
    """What the heartbeat needs of its agent."""

    @abstractmethod
    def describe(self) -> AgentState:
        """Return what the agent says of itself now."""

    @abstractmethod
    def update_mean(self, view: ServiceLoad) -> None:
        """Take in the service's mean.

        Parameters
        ----------
        view : ServiceLoad
            The mean.
        """

    @abstractmethod
    def update_head(self, head: VersionHead, link: Link) -> None:
        """Take in which version is accepted.

        Parameters
        ----------
        head : VersionHead
            Its head.
        link : Link
            Connection to a router that has it.
        """

    @abstractmethod
    def set_known_targets(self, targets: list[wire.HostEntry]) -> None:
        """Take in the service's targets, told to a leaving agent.

        Parameters
        ----------
        targets : list[wire.HostEntry]
            The targets.
        """


class Heartbeat:
    """Sends an agent's load and hears mean and head.

    The router is the first of the domain's by rendezvous hashing; one that
    does not answer is avoided for a while, and the next is asked.

    Parameters
    ----------
    agent : str
        The agent's name.
    service : str
        Its service.
    incarnation : int
        Its incarnation.
    seeds : list[Endpoint]
        Routers to report to before the list is known.
    settings : LoadReportSettings
        Times.
    pool : LinkPool
        Connections to routers.
    host : HeartbeatAgent
        The agent.
    clock : Clock
        Source of time.
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
        self._agent = agent
        self._service = service
        self._incarnation = incarnation
        self._seeds = seeds
        self._settings = settings
        self._pool = pool
        self._host = host
        self._clock = clock
        self._routers: list[Endpoint] = []
        self._list_version = 0
        self._sequence = 0
        self._answered = 0
        self._avoided: dict[Endpoint, float] = {}
        self._loads: deque[int] = deque([0], maxlen=LOADS_KEPT)
        self._current: Endpoint | None = None

    @property
    def router(self) -> Endpoint | None:
        """Return the router that is reported to."""
        return self._current

    @property
    def has_recent_reply(self) -> bool:
        """Tell whether some router has answered lately."""
        return self._sequence - self._answered <= MISSED_BEATS

    def send(self) -> None:
        """Send one heartbeat; change the router when the last ones failed."""
        now = self._clock.seconds()
        if not self.has_recent_reply and self._current is not None:
            self._avoided[self._current] = now + AVOID_FOR
            self._pool.drop(self._current, "heartbeats were not answered")
            self._answered = self._sequence
        endpoint = self._choose(now)
        if endpoint is None:
            return
        self._current = endpoint
        self._sequence += 1
        state = self._host.describe()
        self._loads.append(state.load)
        message = wire.Heartbeat(
            agent=self._agent,
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
            self._unreachable,
            errbackArgs=(endpoint,),
        )

    def handle_reply(self, link: Link, message: wire.HeartbeatReply) -> None:
        """Take in what the router answers.

        Parameters
        ----------
        link : Link
            The connection.
        message : wire.HeartbeatReply
            The answer.
        """
        now = self._clock.seconds()
        self._answered = max(self._answered, message.sequence)
        for mean in message.means:
            if mean.service_name == self._service:
                self._host.update_mean(self._view(mean, now))
        head = message.head
        if head.version:
            self._host.update_head(from_wire(head), link)
        if message.routers:
            self._routers = [
                Endpoint(entry.address, entry.port) for entry in message.routers
            ]
        self._list_version = message.list_version
        if message.targets:
            self._host.set_known_targets(message.targets)

    def _view(self, mean: wire.ServiceMean, now: float) -> ServiceLoad:
        """Match the mean with the load this agent reported for it."""
        age = mean.age_ms / MILLISECONDS_PER_SECOND
        behind = 1 + round(age / self._settings.interval)
        place = max(0, len(self._loads) - 1 - behind)
        return ServiceLoad(
            load=mean.load,
            targets=mean.targets,
            own_load=self._loads[place],
            measured_at=now - age,
        )

    def _choose(self, now: float) -> Endpoint | None:
        choice = self._usable(self._routers, now) or self._usable(self._seeds, now)
        choice = choice or self._routers or self._seeds
        by_name = {str(endpoint): endpoint for endpoint in choice}
        first = first_by_rendezvous(by_name, self._agent, 1)
        return by_name[first[0]] if first else None

    def _usable(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        return [e for e in endpoints if self._avoided.get(e, 0.0) <= now]

    def _unreachable(self, _: Any, endpoint: Endpoint) -> None:
        self._avoided[endpoint] = self._clock.seconds() + AVOID_FOR
