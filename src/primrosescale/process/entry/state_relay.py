"""Aggregates the load of other routers and decides what a router relays to whom.

With many routers, no router can receive messages from all others often enough.
Reports are therefore summed by relays. Each sum is stored under the router that sent
it and replaced as a whole. If a relay fails, stalls or is cut off, its routers get no
updates until they have turned to the next one.

Besides loads, messages contain which targets prompt parts were sent to, and harm
reports: which targets ended while they ran which requests, and which of these requests
were answered completely or tried again since. Relays queue these and forward them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from primrosescale.connection.wire.ttypes import NewsScope
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.process.entry.load_sum import LoadSum
from primrosescale.process.entry.load_sum import total_load

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from primrosescale.connection.wire import ttypes as wire
    from primrosescale.process.entry.relay_topology import RelayTopology
    from primrosescale.process.entry.relay_topology import StateExchangeSettings

# Prompt parts that wait to be forwarded. Beyond that, the oldest are dropped; each of
# them may cost prefilling one prompt once more.
MAX_QUEUED_PARTS = 200
# Prompt parts in one message of a relay, which sends each receiver 27 of them (700
# bytes) a second. Loads, which become stale, are not delayed to send more of them.
MAX_PARTS_PER_MESSAGE = 4
# Harm reports that wait to be forwarded, and those in one message of a relay.
MAX_QUEUED_HARM_REPORTS = 200
MAX_HARM_REPORTS_PER_MESSAGE = 12
# For this many seconds a harm report is forwarded only once, however many routers send
# it; and the number of reports that are remembered for that.
END_DEDUPLICATION_SECONDS = 5.0
MAX_REMEMBERED_ENDS = 2048
# If two relays report the same domain, the one whose sum covers more routers is
# preferred for as long as it keeps reporting: a relay that has just become one covers
# few.
PREFERENCE_INTERVALS = 3


class _ReceivedSum:
    """The last sum received from a router, and when."""

    __slots__ = ("loads", "origin", "received_at")

    def __init__(self, origin: str, loads: LoadSum, received_at: float) -> None:
        self.origin = origin
        self.loads = loads
        self.received_at = received_at


class RelayedUpdate:
    """An update to one router in a round.

    Parameters
    ----------
    name : str
        The router.
    scope : NewsScope
        Which routers' load it contains.
    loads : LoadSum
        The load.
    parts : list[wire.PartNews]
        Which targets prompt parts were sent to.
    ends : list[wire.EndNews]
        Harm reports.
    wants_fleet : bool
        Whether the router is asked for the load of the whole fleet.
    """

    __slots__ = ("ends", "loads", "name", "parts", "scope", "wants_fleet")

    def __init__(
        self,
        name: str,
        scope: NewsScope,
        loads: LoadSum,
        parts: list[wire.PartNews],
        ends: list[wire.EndNews],
        *,
        wants_fleet: bool = False,
    ) -> None:
        self.name = name
        self.scope = scope
        self.loads = loads
        self.parts = parts
        self.ends = ends
        self.wants_fleet = wants_fleet


Item = TypeVar("Item")


class _QueuedItem(Generic[Item]):
    """An item to forward, and the router that it came from."""

    __slots__ = ("is_from_own_domain", "item", "origin")

    def __init__(self, origin: str, item: Item, *, is_from_own_domain: bool) -> None:
        self.origin = origin
        self.item = item
        self.is_from_own_domain = is_from_own_domain


class _ForwardQueue(Generic[Item]):
    """Items that wait to be forwarded, the oldest first.

    Parameters
    ----------
    max_queued : int
        How many may wait; the oldest is dropped.
    max_per_message : int
        How many go into one message.
    """

    __slots__ = ("_max_per_message", "_queued")

    def __init__(self, max_queued: int, max_per_message: int) -> None:
        self._max_per_message = max_per_message
        self._queued: deque[_QueuedItem[Item]] = deque(maxlen=max_queued)

    def add(
        self, origin: str, items: Iterable[Item], *, is_from_own_domain: bool
    ) -> None:
        """Queue items received from a router."""
        for item in items:
            self._queued.append(
                _QueuedItem(origin, item, is_from_own_domain=is_from_own_domain)
            )

    def take(self) -> list[_QueuedItem[Item]]:
        """Remove and return the items for the messages of this round."""
        count = min(self._max_per_message, len(self._queued))
        return [self._queued.popleft() for _ in range(count)]


_DeduplicationKey = tuple[int, int | None, bool | None, bool | None, int]


def _deduplication_key(end: wire.EndNews, now: float) -> _DeduplicationKey:
    """Return what is the same in reports of which only one is forwarded.

    Answers to a prompt are forwarded once per second, since each voids the ends of the
    next few seconds only.
    """
    is_answer = end.target is None and not end.is_try and bool(end.parts)
    second = int(now - end.age_ms / MILLISECONDS_PER_SECOND) if is_answer else 0
    return end.fingerprint, end.target, end.is_try, end.is_lasting, second


class _ForwardedEnds:
    """Harm reports that were forwarded recently, so that none is sent twice."""

    __slots__ = ("_forwarded_at",)

    def __init__(self) -> None:
        self._forwarded_at: OrderedDict[_DeduplicationKey, float] = OrderedDict()

    def filter_new(
        self, ends: Iterable[wire.EndNews], now: float
    ) -> Iterator[wire.EndNews]:
        """Yield the reports that were not forwarded recently, and record them."""
        for end in ends:
            key = _deduplication_key(end, now)
            forwarded_at = self._forwarded_at.get(key)
            if (
                forwarded_at is not None
                and now - forwarded_at < END_DEDUPLICATION_SECONDS
            ):
                continue
            self._forwarded_at.pop(key, None)
            self._forwarded_at[key] = now
            if len(self._forwarded_at) > MAX_REMEMBERED_ENDS:
                self._forwarded_at.popitem(last=False)
            yield end


def _from_own_domain(queued: list[_QueuedItem[Item]]) -> list[Item]:
    """Return the items to send to other domains."""
    return [each.item for each in queued if each.is_from_own_domain]


def _not_from_router(name: str, queued: list[_QueuedItem[Item]]) -> list[Item]:
    """Return the items to send to a router, without those that came from it."""
    return [each.item for each in queued if each.origin != name]


class StateRelay:
    """Load of other routers by router, by domain and in total, and items to forward.

    Parameters
    ----------
    name : str
        This router.
    topology : RelayTopology
        Who exchanges updates with whom.
    settings : StateExchangeSettings
        Limits and intervals.
    """

    def __init__(
        self, name: str, topology: RelayTopology, settings: StateExchangeSettings
    ) -> None:
        self._name = name
        self._topology = topology
        self._settings = settings
        # Load of routers of the own domain, by router.
        self._reports: dict[str, _ReceivedSum] = {}
        # Load of other domains, by domain.
        self._domains: dict[str, _ReceivedSum] = {}
        # Load of all routers but this one, by the relay that sent it.
        self._fleets: dict[str, _ReceivedSum] = {}
        # Routers that ask this one to answer as a relay, and until when.
        self._subscribers: dict[str, float] = {}
        self._parts: _ForwardQueue[wire.PartNews] = _ForwardQueue(
            MAX_QUEUED_PARTS, MAX_PARTS_PER_MESSAGE
        )
        self._ends: _ForwardQueue[wire.EndNews] = _ForwardQueue(
            MAX_QUEUED_HARM_REPORTS, MAX_HARM_REPORTS_PER_MESSAGE
        )
        self._forwarded_ends = _ForwardedEnds()

    def receive(
        self, message: wire.RouterNews, loads: LoadSum | None, now: float
    ) -> None:
        """Process a message of the exchange through relays.

        Parameters
        ----------
        message : wire.RouterNews
            The message.
        loads : LoadSum | None
            The load in it; None if it could not be decoded.
        now : float
            Present time in seconds.
        """
        origin = message.origin
        is_report = message.scope == NewsScope.ROUTER
        if message.scope is not None and not is_report:
            self._topology.answer_received(origin)
            if loads is not None:
                self.receive_load(message.scope, origin, loads, now)
        if message.wants_fleet or message.scope == NewsScope.DOMAIN:
            self._subscribers[origin] = now + self._settings.keep
        if not self._subscribers or message.scope == NewsScope.FLEET:
            return
        self._parts.add(origin, message.parts, is_from_own_domain=is_report)
        ends = self._forwarded_ends.filter_new(message.ends or (), now)
        self._ends.add(origin, ends, is_from_own_domain=is_report)

    def receive_load(
        self, scope: NewsScope, origin: str, loads: LoadSum, now: float
    ) -> None:
        """Store the load that another router reports.

        Parameters
        ----------
        scope : NewsScope
            Which routers' load it is.
        origin : str
            The router that reports it.
        loads : LoadSum
            The load.
        now : float
            Present time in seconds.
        """
        received = _ReceivedSum(origin, loads, now)
        if scope == NewsScope.FLEET:
            self._fleets[origin] = received
        elif scope == NewsScope.ROUTER:
            if self._topology.is_own_domain(origin):
                self._reports[origin] = received
        elif not self._topology.is_own_domain(origin):
            self._receive_domain_sum(self._topology.domain_of(origin), received, now)

    def _receive_domain_sum(
        self, domain: str, received: _ReceivedSum, now: float
    ) -> None:
        known = self._domains.get(domain)
        if known is not None and known.origin != received.origin:
            preferred_for = PREFERENCE_INTERVALS * self._settings.interval
            is_reporting = now - known.received_at < preferred_for
            if is_reporting and known.loads.routers > received.loads.routers:
                return
        self._domains[domain] = received

    def forget(self, name: str) -> None:
        """Remove a router that is no longer listed.

        Parameters
        ----------
        name : str
            The router.
        """
        self._reports.pop(name, None)
        self._fleets.pop(name, None)
        self._subscribers.pop(name, None)

    def others(self, now: float) -> LoadSum:
        """Return the best known load of all other routers.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        LoadSum
            What this router has aggregated itself or the latest total from a relay,
            whichever covers more routers.
        """
        aggregated = self._aggregated(now)
        totals = self._recent(self._fleets, now)
        if not totals:
            return aggregated
        best = max(
            totals, key=lambda received: (received.loads.routers, received.received_at)
        ).loads
        return aggregated if aggregated.routers >= best.routers else best

    def compose(
        self,
        own: LoadSum,
        parts: list[wire.PartNews],
        ends: list[wire.EndNews],
        now: float,
        *,
        is_urgent: bool,
    ) -> list[RelayedUpdate]:
        """Return what to send to which routers in a round.

        Parameters
        ----------
        own : LoadSum
            This router's own load.
        parts : list[wire.PartNews]
            Which targets this router sent prompt parts to.
        ends : list[wire.EndNews]
            Harm reports of this router.
        now : float
            Present time in seconds.
        is_urgent : bool
            Whether to send only to this router's relays, not to those it relays to.

        Returns
        -------
        list[RelayedUpdate]
            The updates. A relay may get two: this router's report and a sum.
        """
        self._parts.add(self._name, parts, is_from_own_domain=True)
        new_ends = self._forwarded_ends.filter_new(ends, now)
        self._ends.add(self._name, new_ends, is_from_own_domain=True)
        upstream_relay = self._topology.upstream_relay(now)
        updates = [
            RelayedUpdate(
                name,
                NewsScope.ROUTER,
                own,
                parts[-MAX_PARTS_PER_MESSAGE:],
                ends,
                wants_fleet=name == upstream_relay,
            )
            for name in self._topology.own_relays(now)
        ]
        if is_urgent:
            return updates
        if upstream_relay is not None:
            self._topology.expect_answer(upstream_relay, now)
        return updates + self._answers(own, now)

    def _answers(self, own: LoadSum, now: float) -> list[RelayedUpdate]:
        """Return the sums for routers that ask, and for relays of other domains.

        Empty if this router is not a relay and no router asks it to act as one.
        """
        self._subscribers = {
            n: until for n, until in self._subscribers.items() if now < until
        }
        others: set[str] = set()
        if self._subscribers or self._topology.is_relay(now):
            others.update(self._topology.peer_relays(now))
            for name in others:
                self._topology.expect_answer(name, now)
        others.update(
            n for n in self._subscribers if not self._topology.is_own_domain(n)
        )
        members = [
            name for name in self._subscribers if self._topology.is_own_domain(name)
        ]
        parts = self._parts.take()
        ends = self._ends.take()
        if not others and not members:
            return []
        reports = [received.loads for received in self._recent(self._reports, now)]
        domain = total_load([own, *reports], now)
        updates = [
            RelayedUpdate(
                name,
                NewsScope.DOMAIN,
                domain,
                _from_own_domain(parts),
                _from_own_domain(ends),
            )
            for name in others
        ]
        fleet = total_load([own, self._aggregated(now)], now)
        for name in members:
            report = self._reports.get(name)
            is_counted = report is not None and self._is_recent(report, now)
            loads = fleet.without(report.loads) if report and is_counted else fleet
            updates.append(
                RelayedUpdate(
                    name,
                    NewsScope.FLEET,
                    loads,
                    _not_from_router(name, parts),
                    _not_from_router(name, ends),
                )
            )
        return updates

    def _aggregated(self, now: float) -> LoadSum:
        reports = [received.loads for received in self._recent(self._reports, now)]
        domains = [received.loads for received in self._recent(self._domains, now)]
        return total_load([*reports, *domains], now)

    def _recent(self, sums: dict[str, _ReceivedSum], now: float) -> list[_ReceivedSum]:
        return [
            received for received in sums.values() if self._is_recent(received, now)
        ]

    def _is_recent(self, received: _ReceivedSum, now: float) -> bool:
        return now - received.received_at <= self._settings.keep
