"""What entry routers tell each other, and what follows from hearing it.

The patterns it answers: returning chats that come back on another router; a
target's load that no single router sees; and a router that is cut off from the
store while another is not. News is state, not change: what one datagram loses,
the next brings again, save for where parts of prompts went, whose loss costs
one prompt that is read twice.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import NewsScope
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.process.entry.load_codec import LoadCodec
from primrosescale.process.entry.news_relay import StateRelay
from primrosescale.process.entry.peer_router import RouterPeer
from primrosescale.process.entry.relay_topology import RelayTopology
from primrosescale.process.entry.relay_topology import StateExchangeSettings
from primrosescale.process.entry.target_keys import target_key
from primrosescale.request.evacuations import EvacuationList
from primrosescale.request.prefix_cache_index import PartUse

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
    from primrosescale.process.entry.leaving_exchange import LeavingTargetExchange
    from primrosescale.process.entry.load_sum import LoadSum
    from primrosescale.process.entry.news_relay import Telling
    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.evacuations import Evacuations
    from primrosescale.request.freshness import Freshness
    from primrosescale.request.prefix_cache_index import PrefixCacheIndex

# Datagrams stay under what every link carries in one piece.
MOST_PARTS = 36
# Bytes a second that a router spends on telling all others; the users allow 22
# KB/s for all control.
BYTES_PER_SECOND = 12_000.0
USUAL_DATAGRAM = 180
SHORTEST_INTERVAL = 0.25
# Routers that ask the store often for all. Four at times of their own leave the
# newest answer half as old as two do, for one call more a second in all.
ASKING_ROUTERS = 4
# News of another router is relied on for this many of its intervals.
FRESH_INTERVALS = 4
# A listed router that has been silent for so long is taken off the list. Cuts
# and restarts of today last some seconds; one that lives lists itself again.
GONE_SECONDS = 60.0
# Routers that left the list whose addresses are remembered.
MOST_FORMER = 64
UNKNOWN = -1
# Under which targets' states keep what relays tell.
RELAYED = "relays"


class StateExchange:
    """Composes news for other routers and takes in theirs.

    Parameters
    ----------
    name : str
        Name of this router's host.
    incarnation : int
        Number of this incarnation of the process.
    targets : TargetList
        Targets and their states.
    parts : PrefixCacheIndex
        Where parts of prompts are cached.
    freshness : Freshness
        How old the knowledge of the configuration is.
    domain : str
        Failure domain of this router.
    settings : StateExchangeSettings | None
        Sizes and times; None for the usual ones.
    harm : HarmReportExchange | None
        What is told of targets that ended with requests on board; None for
        nothing.
    evacuations : Evacuations | None
        Failure domains that get no requests; None for a router that follows none.
    leaving : LeavingTargetExchange | None
        What is told of targets that leave by their own word; None for nothing.
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
    ) -> None:
        settings = settings or StateExchangeSettings()
        self._harm = harm
        self._evacuations = evacuations
        self._leaving = leaving
        self._settings = settings
        self._name = name
        self._incarnation = incarnation
        self._parts = parts
        self._freshness = freshness
        self._codec = LoadCodec(targets)
        self._peers: dict[str, RouterPeer] = {}
        self._former: dict[str, PeerRouter] = {}
        self._paths = RelayTopology(name, domain, settings)
        self._relay = StateRelay(name, self._paths, settings)
        self._sequence = 0
        self._round_messages = 0
        # When the oldest load that relays told was true, and at which targets.
        self._known_at = -math.inf
        self._relayed_targets: frozenset[int] = frozenset()
        # Since when routers of the own domain should be heard of here.
        self._judges_since = math.inf

    @property
    def interval(self) -> float:
        """Return the seconds between two rounds of news."""
        if self._paths.is_relayed:
            settings = self._settings
            bytes_a_round = self._round_messages * self._codec.usual_bytes
            return max(settings.interval, bytes_a_round / settings.bytes_per_second)
        bytes_a_round = len(self._peers) * USUAL_DATAGRAM
        return max(SHORTEST_INTERVAL, bytes_a_round / BYTES_PER_SECOND)

    @property
    def is_relayed(self) -> bool:
        """Tell whether news goes by relays."""
        return self._paths.is_relayed

    @property
    def is_urgent(self) -> bool:
        """Tell whether there is something that others should not wait for."""
        if not self._paths.is_relayed or self._parts.has_away_from_home:
            return True
        return self._harm is not None and self._harm.is_urgent

    @property
    def others(self) -> list[PeerRouter]:
        """Return the other routers that the store lists."""
        return [peer.router for peer in self._peers.values()]

    def age(self, now: float) -> float:
        """Return how old the news of other routers' requests may be.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; of relayed news the age of the oldest load in it, which
            grows while relays are silent.
        """
        return now - self._known_at if self._paths.is_relayed else self.interval

    def relay_rank(self, now: float) -> int | None:
        """Return this router's place among the relays of its domain.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int | None
            0 for the first; None for a router that is none of them.
        """
        return self._paths.rank(now) if self._paths.is_relayed else None

    def teller(self, now: float) -> str | None:
        """Return the relay that tells this router of all others.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        str | None
            Its name; None where all routers tell all.
        """
        return self._paths.teller(now) if self._paths.is_relayed else None

    def recent_peers(self, now: float) -> int:
        """Return how many other routers were heard of lately.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Routers.
        """
        if self._paths.is_relayed:
            return self._relay.others(now).routers
        return len(self._heard(now))

    def peers_reach_store(self, now: float) -> bool:
        """Tell whether other routers are better off than one without the store.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True when another router says that it reaches the store, or when
            none is heard of any more, so that the network fails here.
        """
        if all(peer.heard_at is None for peer in self._peers.values()):
            return False
        heard = self._heard(now)
        return not heard or any(not peer.is_store_lost for peer in heard)

    def newest_version(self, now: float) -> int:
        """Return the newest version that another router has lately told of.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        int
            The version; 0 for none.
        """
        return max((peer.version for peer in self._heard(now)), default=0)

    def newest_list_revision(self) -> int:
        """Return the newest change of the target list that others told of.

        Returns
        -------
        int
            The store's revision of it; 0 for none.
        """
        return max((peer.list_revision for peer in self._peers.values()), default=0)

    def polls_store(self, now: float) -> bool:
        """Tell whether this router is one of the few that ask the store often.

        The others rely on the questions of these. Which ones they are follows
        from an order of names that all agree on; where two routers have heard
        of different ones, one more asks.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True for the first few of those that reach the store; with relays
            for the first relay of each domain.
        """
        if self._paths.is_relayed:
            is_alone = not self.recent_peers(now)
            return is_alone or self._paths.rank(now) == 0
        own_place = target_key(self._name)
        before = sum(
            target_key(peer.router.name) < own_place and not peer.is_store_lost
            for peer in self._heard(now)
        )
        return before < ASKING_ROUTERS

    def _heard(self, now: float) -> list[RouterPeer]:
        """Return the other routers that were heard of lately."""
        oldest = now - self._kept_for
        return [
            peer
            for peer in self._peers.values()
            if peer.heard_at is not None and peer.heard_at >= oldest
        ]

    @property
    def _kept_for(self) -> float:
        """Return the seconds for which news of another router is relied on."""
        if self._paths.is_relayed:
            return self._settings.keep
        return FRESH_INTERVALS * self.interval

    def unheard(self, now: float) -> list[str]:
        """Return listed routers that have not been heard of for long.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[str]
            Their names. Empty while no router is heard of: then the silence
            is this router's own.
        """
        if not self.recent_peers(now):
            return []
        names: Iterable[str] = self._peers
        since = 0.0
        if self._paths.is_relayed:
            names = filter(self._paths.is_own_domain, self._peers)
            since = self._judges_since
        return [
            name
            for name in names
            if now - max(since, self._last_sign(name)) > GONE_SECONDS
        ]

    def _last_sign(self, name: str) -> float:
        peer = self._peers[name]
        return max(peer.listed_at, peer.heard_at or 0.0)

    def put(self, router: PeerRouter, now: float) -> None:
        """Take in another router of the list.

        Parameters
        ----------
        router : PeerRouter
            The router; this router itself is passed over.
        now : float
            Present time in seconds.
        """
        if router.name == self._name:
            return
        known = self._peers.get(router.name)
        if known is None or known.router != router:
            self._peers[router.name] = RouterPeer(router, now)
            self._paths.put(router.name, router.domain)

    def remove(self, name: str) -> None:
        """Take in that a router is no longer listed.

        Parameters
        ----------
        name : str
            Its name.
        """
        peer = self._peers.pop(name, None)
        if peer is None:
            return
        self._paths.remove(name)
        self._relay.forget(name)
        self._former.pop(name, None)
        self._former[name] = peer.router
        if len(self._former) > MOST_FORMER:
            del self._former[next(iter(self._former))]

    def find(self, name: str) -> PeerRouter | None:
        """Return another router that is listed, or one of the last that were.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        PeerRouter | None
            As it is or was listed.
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
        """Return what to tell other routers now.

        Parameters
        ----------
        version : int
            Version of the configuration in force here; 0 for none.
        now : float
            Present time in seconds.
        is_store_lost : bool
            Whether the store did not answer this router's last question.
        list_revision : int
            The store's revision of the newest change of the target list that
            is known here.
        is_urgent : bool
            Whether only what relays should hear before the next round is told.

        Returns
        -------
        list[tuple[PeerRouter, wire.RouterNews]]
            Messages, each for one router.
        """
        head = _Head(
            version,
            self._freshness.age(now),
            is_store_lost,
            list_revision,
            self._leaving.to_tell() if self._leaving else [],
        )
        is_relayed = self._paths.is_relayed
        take_uses = (
            self._parts.take_away_from_home if is_relayed else self._parts.take_updates
        )
        parts = [_part_news(use, now) for use in take_uses()]
        ends = self._harm.ends(now) if self._harm else []
        held = self._harm.held(now) if self._harm and not is_urgent else []
        if is_relayed:
            own = self._codec.own_sum(now, reaches_store=not is_store_lost)
            told = self._relay.compose(own, parts, ends, now, is_urgent=is_urgent)
            if not is_urgent:
                self._round_messages = len(told)
                self._note_rank(now)
                self._adopt_relayed(now)
            return [self._summed(item, head, held, now) for item in told]
        targets = self._codec.own_news(now)
        messages = []
        for peer in self._peers.values():
            message = self._message(peer, head, now)
            message.targets = targets
            # Ends are few, and a datagram has room for as many parts less.
            message.parts = parts[-(MOST_PARTS - len(ends) - len(held)) :]
            message.ends = ends or None
            message.held = held or None
            messages.append((peer.router, message))
        return messages

    def _note_rank(self, now: float) -> None:
        """Note since when this router is the one that all of its domain report to."""
        if self._paths.rank(now) != 0:
            self._judges_since = math.inf
        else:
            self._judges_since = min(self._judges_since, now)

    def _message(self, peer: RouterPeer, head: _Head, now: float) -> wire.RouterNews:
        self._sequence += 1
        peer.sends(self._sequence, now)
        message = wire.RouterNews(
            self._name,
            self._incarnation,
            self._sequence,
            peer.heard,
            head.version,
            UNKNOWN if head.age is None else _milliseconds(head.age),
            [],
            [],
            head.is_store_lost,
            head.list_revision,
        )
        evacuations = self._evacuations
        if evacuations is not None and evacuations.is_worth_sharing:
            message.evacuated = sorted(evacuations.domains)
            message.evacuated_revision = evacuations.revision
        message.leaving = head.leaving or None
        return message

    def _summed(
        self, item: Telling, head: _Head, held: list[wire.EndNews], now: float
    ) -> tuple[PeerRouter, wire.RouterNews]:
        """Return the message for what a router is told by relays."""
        peer = self._peers[item.name]
        message = self._message(peer, head, now)
        message.scope = item.scope
        message.wants_fleet = item.wants_fleet
        message.parts = item.parts
        message.ends = item.ends or None
        if item.scope != NewsScope.ROUTER:
            message.held = held or None
        self._codec.write(item.loads, message, peer.targets_digest, now)
        return peer.router, message

    def receive(self, message: wire.RouterNews, version: int, now: float) -> bool:
        """Take in the news of another router.

        Parameters
        ----------
        message : wire.RouterNews
            Its news.
        version : int
            Version of the configuration in force here; 0 for none.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False for a router that is not listed, and for old news.
        """
        peer = self._peers.get(message.origin)
        if peer is None or not peer.is_new(message.incarnation, message.sequence):
            return False
        peer.heard_at = now
        peer.is_store_lost = message.store_lost
        peer.version = message.version
        peer.list_revision = message.targets_revision or 0
        peer.targets_digest = message.targets_digest
        self._take_freshness(peer, message, version)
        self._take_evacuations(message, now)
        if self._leaving is not None and message.leaving:
            states = self._codec.keys.states
            self._leaving.receive(message.leaving, states, message.origin, now)
        loads = self._codec.read(message, now)
        if message.scope is not None:
            self._relay.hear_from(message, loads, now)
        if message.scope in {None, NewsScope.ROUTER} and loads is not None:
            self._take_own(peer, loads, now)
        if message.scope == NewsScope.FLEET:
            self._adopt_relayed(now)
        self._take_parts(message, now)
        if self._harm is not None:
            self._harm.receive(message, self._codec.keys.states, now)
        return True

    def _take_freshness(
        self, peer: RouterPeer, message: wire.RouterNews, version: int
    ) -> None:
        """Rely on the other router's question to the store as on an own one.

        It was asked no earlier than its age before the message that this one
        replies to went out from here. That holds whatever the network did to
        either message, and through any number of routers that rely on each
        other so. Another version there proves nothing about this one.
        """
        if message.version != version or message.knowledge_age_ms < 0:
            return
        replied_to = peer.sent_at.get(message.heard)
        if replied_to is not None:
            age = message.knowledge_age_ms / MILLISECONDS_PER_SECOND
            self._freshness.answered(replied_to - age)

    def _take_evacuations(self, message: wire.RouterNews, now: float) -> None:
        if self._evacuations is None or message.evacuated_revision is None:
            return
        domains = frozenset(message.evacuated or ())
        told = EvacuationList(domains, message.evacuated_revision, message.origin)
        self._evacuations.update(told, now)

    def _take_own(self, peer: RouterPeer, loads: LoadSum, now: float) -> None:
        """Take in the requests of one router."""
        origin = peer.router.name
        if self._paths.is_relayed:
            if self._paths.is_own_domain(origin):
                self._relay.hear(NewsScope.ROUTER, origin, loads, now)
            return
        self._keep(origin, loads, peer.told_targets, now)
        peer.told_targets = frozenset(loads.running)

    def _adopt_relayed(self, now: float) -> None:
        """Let targets' states have the best sum that relays told."""
        loads = self._relay.others(now)
        if not loads.routers:
            return
        self._keep(RELAYED, loads, self._relayed_targets, now)
        self._relayed_targets = frozenset(loads.running)
        self._known_at = loads.known_at

    def _keep(
        self, origin: str, loads: LoadSum, before: frozenset[int], now: float
    ) -> None:
        """Let targets' states have a sum in place of the one told before."""
        fresh_until = now + self._kept_for
        states = self._codec.keys.states
        for key in before.union(loads.running):
            state = states.get(key)
            if state is not None:
                state.set_peer_requests(origin, loads.running.get(key, 0), fresh_until)
        for key, (good, bad) in loads.outcomes.items():
            state = states.get(key)
            if state is not None:
                state.set_peer_outcomes(origin, good, bad, fresh_until)

    def _take_parts(self, message: wire.RouterNews, now: float) -> None:
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
                self._parts.record_use(use)


class _Head:
    """What each message of a round begins with."""

    __slots__ = ("age", "is_store_lost", "leaving", "list_revision", "version")

    def __init__(
        self,
        version: int,
        age: float | None,
        is_store_lost: bool,
        list_revision: int,
        leaving: list[int],
    ) -> None:
        self.version = version
        self.age = age
        self.is_store_lost = is_store_lost
        self.list_revision = list_revision
        self.leaving = leaving


def _part_news(use: PartUse, now: float) -> wire.PartNews:
    return wire.PartNews(
        use.part,
        target_key(*use.target),
        use.tokens,
        _milliseconds(now - use.used_at),
        list(use.before) or None,
    )


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * MILLISECONDS_PER_SECOND))
