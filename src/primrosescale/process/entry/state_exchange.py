"""Composes state updates for other routers and applies those received from them.

Updates let a router know what it cannot see itself: which targets hold the prompts of
returning chats that other routers served; the load of a target over all routers; and
the configuration, if this router is cut off from the store and another one is not.
Updates carry state, not changes: what one lost datagram contained, the next one
contains again. The exception is which targets prompt parts went to; losing that costs
one prompt that is prefilled twice.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import NewsScope
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.process.entry.load_codec import LoadCodec
from primrosescale.process.entry.load_codec import most_waiting
from primrosescale.process.entry.peer_router import PeerState
from primrosescale.process.entry.relay_topology import RelayTopology
from primrosescale.process.entry.relay_topology import StateExchangeSettings
from primrosescale.process.entry.state_relay import StateRelay
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.entry.waiting_reports import WaitingReports
from primrosescale.request.choice.prefix_cache_index import PartUse
from primrosescale.request.target.evacuations import EvacuationList

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
    from primrosescale.process.entry.leaving_exchange import LeavingTargetExchange
    from primrosescale.process.entry.load_sum import LoadSum
    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.entry.state_relay import RelayedUpdate
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.freshness import Freshness
    from primrosescale.request.target.evacuations import Evacuations
    from primrosescale.request.target.target_work import TargetWork

# Keeps datagrams below the size at which links fragment them.
MAX_PARTS = 36
# Bytes a second that a router spends on updates to all others; the limit for all
# control traffic is 22 KB/s.
DIRECT_BYTES_PER_SECOND = 12_000.0
TYPICAL_DATAGRAM_BYTES = 180
MIN_INTERVAL_SECONDS = 0.25
# Routers that poll the store often on behalf of all. With four, polling independently
# of each other, the newest answer is half as old as with two, at the cost of one more
# call a second in all.
POLLING_ROUTERS = 4
# An update of another router is valid for this many of its intervals.
VALID_INTERVALS = 4
# A listed router that has been silent for so long is removed from the list. Network
# cuts and restarts last some seconds; a router that is alive after all lists itself
# again.
SILENT_REMOVAL_SECONDS = 60.0
# Number of routers no longer listed whose addresses are kept.
MAX_FORMER_ROUTERS = 64
# In messages, the age of a configuration that was never read.
UNKNOWN = -1
# The origin under which target states store load received from relays.
RELAYED_ORIGIN = "relays"


class StateExchange:
    """Composes state updates for other routers and applies theirs.

    Parameters
    ----------
    name : str
        Name of this router's host.
    incarnation : int
        Number of this incarnation of the process.
    targets : TargetList
        Targets and their states.
    parts : PrefixCacheIndex
        Where prompt parts are cached.
    freshness : Freshness
        Age of the configuration known here.
    domain : str
        Failure domain of this router.
    settings : StateExchangeSettings | None
        Limits and intervals; None for the defaults.
    harm : HarmReportExchange | None
        Exchange of reports on targets that ended while they ran requests; None to
        exchange none.
    evacuations : Evacuations | None
        Failure domains that get no requests; None if evacuations are not followed.
    leaving : LeavingTargetExchange | None
        Exchange of targets that announced that they are leaving; None to exchange
        none.
    target_work : TargetWork | None
        Counts the tokens that other routers sent to targets; None to count none.
    waiting_by_service : Callable[[], dict[str, int]]
        Returns how many requests wait in this router, and refused callers are still to
        return to it or another one, by service; by default none.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        targets: TargetList,
        parts: PrefixCacheIndex,
        freshness: Freshness,
        domain: str = "",
        settings: StateExchangeSettings | None = None,
        harm: HarmReportExchange | None = None,
        evacuations: Evacuations | None = None,
        leaving: LeavingTargetExchange | None = None,
        target_work: TargetWork | None = None,
        waiting_by_service: Callable[[], dict[str, int]] = dict,
    ) -> None:
        settings = settings or StateExchangeSettings()
        self._harm = harm
        self._evacuations = evacuations
        self._leaving = leaving
        self._target_work = target_work
        self._waiting_by_service = waiting_by_service
        self._waiting_reports = WaitingReports()
        self._settings = settings
        self._name = name
        self._incarnation = incarnation
        self._parts = parts
        self._freshness = freshness
        self._codec = LoadCodec(targets)
        self._peers: dict[str, PeerState] = {}
        self._former: dict[str, PeerRouter] = {}
        self._topology = RelayTopology(name, domain, settings)
        self._relay = StateRelay(name, self._topology, settings)
        self._sequence = 0
        self._round_messages = 0
        # Time of the oldest load in the sum last received from relays, and the keys of
        # the targets with requests in that sum.
        self._known_at = -math.inf
        self._relayed_targets: frozenset[int] = frozenset()
        # Since when this router has been the first relay, to which all routers of its
        # domain report.
        self._first_relay_since = math.inf

    @property
    def interval(self) -> float:
        """Return the seconds between two rounds of updates."""
        if self._topology.is_relayed:
            settings = self._settings
            bytes_a_round = self._round_messages * self._codec.typical_bytes
            return max(settings.interval, bytes_a_round / settings.bytes_per_second)
        bytes_a_round = len(self._peers) * TYPICAL_DATAGRAM_BYTES
        return max(MIN_INTERVAL_SECONDS, bytes_a_round / DIRECT_BYTES_PER_SECOND)

    @property
    def is_relayed(self) -> bool:
        """Return whether updates are sent through relays."""
        return self._topology.is_relayed

    @property
    def is_urgent(self) -> bool:
        """Return whether an update should be sent before the next round.

        Always true without relays. With relays, true only for prompts that were sent
        elsewhere than to their homes, and for new harm reports.
        """
        if not self._topology.is_relayed or self._parts.has_away_from_home:
            return True
        return self._harm is not None and self._harm.is_urgent

    @property
    def others(self) -> list[PeerRouter]:
        """Return the other routers that the store lists."""
        return [peer.router for peer in self._peers.values()]

    def age(self, now: float) -> float:
        """Return how old the known load of other routers may be.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; with relays the age of the oldest load received, which grows while
            relays are silent.
        """
        return now - self._known_at if self._topology.is_relayed else self.interval

    def relay_rank(self, now: float) -> int | None:
        """Return this router's rank among the relays of its domain.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int | None
            0 for the first; None if it is not a relay.
        """
        return self._topology.rank(now) if self._topology.is_relayed else None

    def upstream_relay(self, now: float) -> str | None:
        """Return the relay from which this router receives the load of all others.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        str | None
            Its name; None if all routers send updates to all.
        """
        return self._topology.upstream_relay(now) if self._topology.is_relayed else None

    def recent_peers(self, now: float) -> int:
        """Return how many other routers have valid updates here.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Number of routers.
        """
        if self._topology.is_relayed:
            return self._relay.others(now).routers
        return len(self._recent_peers(now))

    def has_current_loads(self, now: float) -> bool:
        """Return whether the load of other routers is known at present.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False if others are listed and none of their reports is valid any more.
        """
        return not self._peers or self.recent_peers(now) > 0

    def waiting_elsewhere(
        self, service: str, max_per_router: float, now: float
    ) -> float:
        """Return how many requests for a service wait at other routers.

        Parameters
        ----------
        service : str
            Name of the service.
        max_per_router : float
            Number up to which the requests of one router are counted.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Their sum by the reports that are valid, which they are for as long as the
            loads at targets in the same messages.
        """
        return self._waiting_reports.total(service, max_per_router, now)

    def peers_reach_store(self, now: float) -> bool:
        """Return whether callers are better served by other routers during an outage.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True if another router reports that it reaches the store, or if no updates
            arrive any more, so that this router's network has probably failed.
        """
        if all(peer.received_at is None for peer in self._peers.values()):
            return False
        peers = self._recent_peers(now)
        return not peers or any(not peer.is_store_lost for peer in peers)

    def newest_version(self, now: float) -> int:
        """Return the newest version that another router has recently reported.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int
            The version; 0 for none.
        """
        return max((peer.version for peer in self._recent_peers(now)), default=0)

    def newest_list_revision(self) -> int:
        """Return the newest change of the target list that other routers reported.

        Returns
        -------
        int
            The store's revision of it; 0 for none.
        """
        return max((peer.list_revision for peer in self._peers.values()), default=0)

    def polls_store(self, now: float) -> bool:
        """Return whether this router is one of the few that poll the store often.

        The others rely on the answers that these get. Which routers poll follows from
        an order of names that all routers derive alike. If two routers have valid
        updates from different peers, one more router may poll.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True for the first few of those that reach the store. With relays, true for
            the first relay of each domain, and for a router without recent updates.
        """
        if self._topology.is_relayed:
            is_alone = not self.recent_peers(now)
            return is_alone or self._topology.rank(now) == 0
        own_key = target_key(self._name)
        before = sum(
            target_key(peer.router.name) < own_key and not peer.is_store_lost
            for peer in self._recent_peers(now)
        )
        return before < POLLING_ROUTERS

    def _recent_peers(self, now: float) -> list[PeerState]:
        """Return the other routers with valid updates."""
        oldest = now - self._validity_seconds
        return [
            peer
            for peer in self._peers.values()
            if peer.received_at is not None and peer.received_at >= oldest
        ]

    @property
    def _validity_seconds(self) -> float:
        """Return the seconds for which an update of another router is valid."""
        if self._topology.is_relayed:
            return self._settings.keep
        return VALID_INTERVALS * self.interval

    def silent_routers(self, now: float) -> list[str]:
        """Return listed routers from which nothing has been received for long.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[str]
            Their names. Empty if there are no updates from any router: then this
            router itself is probably cut off.
        """
        if not self.recent_peers(now):
            return []
        names: Iterable[str] = self._peers
        since = 0.0
        if self._topology.is_relayed:
            names = filter(self._topology.is_own_domain, self._peers)
            since = self._first_relay_since
        return [
            name
            for name in names
            if now - max(since, self._last_seen(name)) > SILENT_REMOVAL_SECONDS
        ]

    def _last_seen(self, name: str) -> float:
        peer = self._peers[name]
        return max(peer.listed_at, peer.received_at or 0.0)

    def put(self, router: PeerRouter, now: float) -> None:
        """Add another router of the list, or replace its entry.

        Parameters
        ----------
        router : PeerRouter
            The router; this router itself is ignored.
        now : float
            Present time in seconds.
        """
        if router.name == self._name:
            return
        known = self._peers.get(router.name)
        if known is None or known.router != router:
            self._peers[router.name] = PeerState(router, now)
            self._topology.put(router.name, router.domain)

    def remove(self, name: str) -> None:
        """Remove a router that is no longer listed.

        Parameters
        ----------
        name : str
            Its name.
        """
        peer = self._peers.pop(name, None)
        if peer is None:
            return
        self._topology.remove(name)
        self._relay.forget(name)
        self._former.pop(name, None)
        self._former[name] = peer.router
        if len(self._former) > MAX_FORMER_ROUTERS:
            del self._former[next(iter(self._former))]

    def find(self, name: str) -> PeerRouter | None:
        """Return another router that is listed, or was until recently.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        PeerRouter | None
            Its present or last entry.
        """
        peer = self._peers.get(name)
        return self._former.get(name) if peer is None else peer.router

    def compose(
        self,
        version: int,
        now: float,
        *,
        is_store_lost: bool = False,
        list_revision: int = 0,
        is_urgent: bool = False,
    ) -> list[tuple[PeerRouter, wire.RouterNews]]:
        """Return the updates to send to other routers now.

        Parameters
        ----------
        version : int
            Version of the configuration in force here; 0 for none.
        now : float
            Present time in seconds.
        is_store_lost : bool
            Whether the store did not answer this router's last request.
        list_revision : int
            The store's revision of the newest change of the target list that is
            known here.
        is_urgent : bool
            Whether only what cannot wait for the next round is sent, to relays.

        Returns
        -------
        list[tuple[PeerRouter, wire.RouterNews]]
            Messages, each for one router.
        """
        header = _RoundHeader(
            version,
            self._freshness.age(now),
            is_store_lost,
            list_revision,
            self._leaving.to_send() if self._leaving else [],
            self._own_waiting(),
        )
        is_relayed = self._topology.is_relayed
        take_uses = (
            self._parts.take_away_from_home if is_relayed else self._parts.take_updates
        )
        parts = [_part_update(use, now) for use in take_uses()]
        ends = self._harm.reports_to_send(now) if self._harm else []
        held = (
            self._harm.held_reports_to_send(now) if self._harm and not is_urgent else []
        )
        if is_relayed:
            own = self._codec.own_load(
                header.waiting, now, reaches_store=not is_store_lost
            )
            updates = self._relay.compose(own, parts, ends, now, is_urgent=is_urgent)
            if not is_urgent:
                self._round_messages = len(updates)
                self._update_rank(now)
                self._apply_relayed_load(now)
            return [self._relayed_message(item, header, held, now) for item in updates]
        targets = self._codec.own_targets(now)
        messages = []
        for peer in self._peers.values():
            message = self._new_message(peer, header, now)
            message.targets = targets
            # Harm reports are few; they take the place of as many prompt parts, and
            # the waiting requests of two services that of one.
            others = len(ends) + len(held) + (len(header.waiting) + 1) // 2
            message.parts = parts[-max(1, MAX_PARTS - others) :]
            message.waiting = header.waiting or None
            message.ends = ends or None
            message.held = held or None
            messages.append((peer.router, message))
        return messages

    def _own_waiting(self) -> dict[int, int]:
        """Return how many requests wait in this router, by the key of their service."""
        waiting = self._waiting_by_service()
        return most_waiting({target_key(name): n for name, n in waiting.items()})

    def _update_rank(self, now: float) -> None:
        """Record since when this router is the first relay of its domain."""
        if self._topology.rank(now) != 0:
            self._first_relay_since = math.inf
        else:
            self._first_relay_since = min(self._first_relay_since, now)

    def _new_message(
        self, peer: PeerState, header: _RoundHeader, now: float
    ) -> wire.RouterNews:
        self._sequence += 1
        peer.record_sent(self._sequence, now)
        message = wire.RouterNews(
            self._name,
            self._incarnation,
            self._sequence,
            peer.heard,
            header.version,
            UNKNOWN if header.age is None else _milliseconds(header.age),
            [],
            [],
            header.is_store_lost,
            header.list_revision,
        )
        evacuations = self._evacuations
        if evacuations is not None and evacuations.is_worth_sharing:
            message.evacuated = sorted(evacuations.domains)
            message.evacuated_revision = evacuations.revision
        message.leaving = header.leaving or None
        return message

    def _relayed_message(
        self,
        item: RelayedUpdate,
        header: _RoundHeader,
        held: list[wire.EndNews],
        now: float,
    ) -> tuple[PeerRouter, wire.RouterNews]:
        """Return the message for an update that is sent through relays."""
        peer = self._peers[item.name]
        message = self._new_message(peer, header, now)
        message.scope = item.scope
        message.wants_fleet = item.wants_fleet
        message.parts = item.parts
        message.ends = item.ends or None
        if item.scope != NewsScope.ROUTER:
            message.held = held or None
        self._codec.write(item.loads, message, peer.targets_digest, now)
        return peer.router, message

    def receive(self, message: wire.RouterNews, version: int, now: float) -> bool:
        """Apply an update of another router.

        Parameters
        ----------
        message : wire.RouterNews
            The update.
        version : int
            Version of the configuration in force here; 0 for none.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False if the router is not listed or the update is outdated.
        """
        peer = self._peers.get(message.origin)
        if peer is None or not peer.accept_sequence(
            message.incarnation, message.sequence
        ):
            return False
        peer.received_at = now
        peer.is_store_lost = message.store_lost
        peer.version = message.version
        peer.list_revision = message.targets_revision or 0
        peer.targets_digest = message.targets_digest
        self._apply_freshness(peer, message, version)
        self._apply_evacuations(message, now)
        if self._leaving is not None and message.leaving:
            states = self._codec.keys.states
            self._leaving.receive(message.leaving, states, message.origin, now)
        loads = self._codec.read(message, now)
        if message.scope is not None:
            self._relay.receive(message, loads, now)
        if message.scope in {None, NewsScope.ROUTER} and loads is not None:
            self._apply_own_load(peer, loads, now)
        if message.scope == NewsScope.FLEET:
            self._apply_relayed_load(now)
        self._apply_parts(message, now)
        if self._harm is not None:
            self._harm.receive(message, self._codec.keys.states, now)
        return True

    def _apply_freshness(
        self, peer: PeerState, message: wire.RouterNews, version: int
    ) -> None:
        """Count the peer's last request to the store as one of this router's own.

        The peer's newest answer belongs to a request that it sent no earlier than the
        reported age before this router sent the message that is replied to here. That
        holds whatever delay the network adds to either message, and over any chain of
        routers that rely on each other in this way. If the peer has another version in
        force, that proves nothing about this router's version.
        """
        if message.version != version or message.knowledge_age_ms < 0:
            return
        replied_to = peer.sent_at.get(message.heard)
        if replied_to is not None:
            age = message.knowledge_age_ms / MILLISECONDS_PER_SECOND
            self._freshness.answered(replied_to - age)

    def _apply_evacuations(self, message: wire.RouterNews, now: float) -> None:
        if self._evacuations is None or message.evacuated_revision is None:
            return
        domains = frozenset(message.evacuated or ())
        received = EvacuationList(domains, message.evacuated_revision, message.origin)
        self._evacuations.update(received, now)

    def _apply_own_load(self, peer: PeerState, loads: LoadSum, now: float) -> None:
        """Apply the load of one router."""
        origin = peer.router.name
        if self._topology.is_relayed:
            if self._topology.is_own_domain(origin):
                self._relay.receive_load(NewsScope.ROUTER, origin, loads, now)
            return
        self._set_load(origin, loads, peer.reported_targets, now)
        peer.reported_targets = frozenset(loads.running)

    def _apply_relayed_load(self, now: float) -> None:
        """Apply the best sum received from relays to the states of targets."""
        loads = self._relay.others(now)
        if not loads.routers:
            return
        self._set_load(RELAYED_ORIGIN, loads, self._relayed_targets, now)
        self._relayed_targets = frozenset(loads.running)
        self._known_at = loads.known_at

    def _set_load(
        self, origin: str, loads: LoadSum, before: frozenset[int], now: float
    ) -> None:
        """Replace the load of an origin in the states of targets."""
        valid_until = now + self._validity_seconds
        routers = 1
        if origin == RELAYED_ORIGIN:
            routers = max(1, min(loads.routers, len(self._peers)))
        self._waiting_reports.put(origin, loads.waiting, routers, valid_until)
        states = self._codec.keys.states
        for key in before.union(loads.running):
            state = states.get(key)
            if state is not None:
                state.set_peer_requests(origin, loads.running.get(key, 0), valid_until)
        for key, (good, bad) in loads.outcomes.items():
            state = states.get(key)
            if state is not None:
                state.set_peer_outcomes(origin, good, bad, valid_until)

    def _apply_parts(self, message: wire.RouterNews, now: float) -> None:
        states = self._codec.keys.states
        for item in message.parts:
            state = states.get(item.target)
            if state is not None:
                used_at = now - item.age_ms / MILLISECONDS_PER_SECOND
                use = PartUse(
                    item.part,
                    state.incarnation,
                    item.tokens,
                    used_at,
                    tuple(item.before or ()),
                )
                is_new = self._parts.record_use(use)
                if is_new and self._target_work is not None:
                    self._target_work.peer_started(state, item.tokens, used_at, now)


class _RoundHeader:
    """Fields that are the same in all messages of a round."""

    __slots__ = (
        "age",
        "is_store_lost",
        "leaving",
        "list_revision",
        "version",
        "waiting",
    )

    def __init__(
        self,
        version: int,
        age: float | None,
        is_store_lost: bool,
        list_revision: int,
        leaving: list[int],
        waiting: dict[int, int],
    ) -> None:
        self.version = version
        self.age = age
        self.is_store_lost = is_store_lost
        self.list_revision = list_revision
        self.leaving = leaving
        self.waiting = waiting


def _part_update(use: PartUse, now: float) -> wire.PartNews:
    return wire.PartNews(
        use.part,
        target_key(*use.target),
        use.tokens,
        _milliseconds(now - use.used_at),
        list(use.before) or None,
    )


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * MILLISECONDS_PER_SECOND))
