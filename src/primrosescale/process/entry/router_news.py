"""What entry routers tell each other, and what follows from hearing it.

The patterns it answers: returning chats that come back on another router; a
target's load that no single router sees; and a router that is cut off from the
store while another is not. News is state, not change: what one datagram loses,
the next brings again, save for where parts of prompts went, whose loss costs
one prompt that is read twice.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest

from primrosescale.connection.wire import ttypes as wire
from primrosescale.request.part_directory import PartUse

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.freshness import Freshness
    from primrosescale.request.part_directory import PartDirectory
    from primrosescale.request.target_state import TargetState

# Datagrams stay under what every link carries in one piece.
MOST_PARTS = 36
MOST_TARGETS = 40
# Short names that are remembered.
MOST_KEYS = 16384
# Failures that are worth telling.
LEAST_TOLD = 0.05
# Bytes a second that a router spends on telling; the users allow 22 KB/s for
# all control.
BYTES_PER_SECOND = 12_000.0
USUAL_DATAGRAM = 180
SHORTEST_INTERVAL = 0.25
# Routers that ask the store often for all. Four at times of their own leave the
# newest answer half as old as two do, for one call more a second in all.
ASKING_ROUTERS = 4
# News of another router is relied on for this many of its intervals.
FRESH_INTERVALS = 4
# Own messages whose sending time is remembered for each other router.
REMEMBERED_SENDINGS = 64
# A router that sees more than half of its requests fail everywhere has a
# trouble of its own and is no witness.
WITNESS_MOST_FAILURES = 0.5
# A listed router that has been silent for so long is taken off the list. Cuts
# and restarts of today last some seconds; one that lives lists itself again.
GONE_SECONDS = 60.0
PERCENT = 100
MILLISECONDS = 1000
UNKNOWN = -1


@dataclass(frozen=True, slots=True)
class OtherRouter:
    """Another router as the store lists it.

    Parameters
    ----------
    name : str
        Name of its host.
    endpoint : Endpoint
        Where it takes news.
    """

    name: str
    endpoint: Endpoint


class _Peer:
    """What is known of one other router."""

    __slots__ = (
        "heard",
        "heard_at",
        "incarnation",
        "is_store_lost",
        "list_revision",
        "listed_at",
        "router",
        "sent_at",
        "version",
    )

    def __init__(self, router: OtherRouter, now: float) -> None:
        self.router = router
        self.listed_at = now
        self.incarnation = 0
        self.heard = 0
        self.heard_at: float | None = None
        self.is_store_lost = False
        self.version = 0
        self.list_revision = 0
        self.sent_at: OrderedDict[int, float] = OrderedDict()


class RouterNews:
    """Composes news for other routers and takes in theirs.

    Parameters
    ----------
    name : str
        Name of this router's host.
    incarnation : int
        Number of this life of the process.
    targets : TargetList
        Targets and their states.
    parts : PartDirectory
        Where parts of prompts are cached.
    freshness : Freshness
        How old the knowledge of the configuration is.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        targets: TargetList,
        parts: PartDirectory,
        freshness: Freshness,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._targets = targets
        self._parts = parts
        self._freshness = freshness
        self._peers: dict[str, _Peer] = {}
        self._sequence = 0
        self._generation = -1
        self._by_key: dict[int, TargetState] = {}

    @property
    def interval(self) -> float:
        """Return the seconds between two rounds of news."""
        bytes_a_round = len(self._peers) * USUAL_DATAGRAM
        return max(SHORTEST_INTERVAL, bytes_a_round / BYTES_PER_SECOND)

    @property
    def others(self) -> list[OtherRouter]:
        """Return the other routers that the store lists."""
        return [peer.router for peer in self._peers.values()]

    def heard_lately(self, now: float) -> int:
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
        return len(self._heard(now))

    def others_reach_store(self, now: float) -> bool:
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

    def newest_list(self) -> int:
        """Return the newest change of the target list that others told of.

        Returns
        -------
        int
            The store's revision of it; 0 for none.
        """
        return max((peer.list_revision for peer in self._peers.values()), default=0)

    def asks_often(self, now: float) -> bool:
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
            True for the first few of those that reach the store.
        """
        own_place = target_key(self._name)
        before = sum(
            target_key(peer.router.name) < own_place and not peer.is_store_lost
            for peer in self._heard(now)
        )
        return before < ASKING_ROUTERS

    def _heard(self, now: float) -> list[_Peer]:
        """Return the other routers that were heard of lately."""
        oldest = now - FRESH_INTERVALS * self.interval
        return [
            peer
            for peer in self._peers.values()
            if peer.heard_at is not None and peer.heard_at >= oldest
        ]

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
        if not self.heard_lately(now):
            return []
        return [
            name
            for name, peer in self._peers.items()
            if now - max(peer.listed_at, peer.heard_at or 0.0) > GONE_SECONDS
        ]

    def put(self, router: OtherRouter, now: float) -> None:
        """Take in another router of the list.

        Parameters
        ----------
        router : OtherRouter
            The router; this router itself is passed over.
        now : float
            Present time in seconds.
        """
        if router.name == self._name:
            return
        known = self._peers.get(router.name)
        if known is None or known.router != router:
            self._peers[router.name] = _Peer(router, now)

    def remove(self, name: str) -> None:
        """Take in that a router is no longer listed.

        Parameters
        ----------
        name : str
            Its name.
        """
        self._peers.pop(name, None)

    def compose(
        self,
        version: int,
        now: float,
        *,
        is_store_lost: bool = False,
        list_revision: int = 0,
    ) -> list[tuple[OtherRouter, wire.RouterNews]]:
        """Return what to tell each other router now.

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

        Returns
        -------
        list[tuple[OtherRouter, wire.RouterNews]]
            Messages, each for one router.
        """
        states = [
            state
            for state in self._targets.states
            if state.own_running or state.has_outcomes(now)
        ]
        # The bound concerns the most loaded ones; failures come after them.
        states.sort(key=lambda state: (-state.own_running, -state.outcomes(now)[1]))
        told = [_target_news(state, now) for state in states[:MOST_TARGETS]]
        parts = [
            wire.PartNews(
                use.part,
                target_key(*use.target),
                use.tokens,
                _milliseconds(now - use.used_at),
            )
            for use in self._parts.take_news()[-MOST_PARTS:]
        ]
        age = self._freshness.age(now)
        self._sequence += 1
        messages = []
        for peer in self._peers.values():
            peer.sent_at[self._sequence] = now
            if len(peer.sent_at) > REMEMBERED_SENDINGS:
                peer.sent_at.popitem(last=False)
            message = wire.RouterNews(
                self._name,
                self._incarnation,
                self._sequence,
                peer.heard,
                version,
                UNKNOWN if age is None else _milliseconds(age),
                told,
                parts,
                is_store_lost,
                list_revision,
            )
            messages.append((peer.router, message))
        return messages

    def take(self, message: wire.RouterNews, version: int, now: float) -> bool:
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
        if peer is None:
            return False
        if message.incarnation != peer.incarnation:
            if message.incarnation < peer.incarnation:
                return False
            peer.incarnation = message.incarnation
            peer.heard = 0
        if message.sequence <= peer.heard:
            return False
        peer.heard = message.sequence
        peer.heard_at = now
        peer.is_store_lost = message.store_lost
        peer.version = message.version
        peer.list_revision = message.targets_revision or 0
        self._take_freshness(peer, message, version)
        self._take_targets(message, now)
        self._take_parts(message, now)
        return True

    def _take_freshness(
        self, peer: _Peer, message: wire.RouterNews, version: int
    ) -> None:
        """Rely on the other router's question to the store as on an own one.

        It was asked no earlier than its age before the message that this one
        replies to went out from here. That holds whatever the network did to
        either message. Another version there proves nothing about this one.
        """
        if message.version != version or message.knowledge_age_ms < 0:
            return
        replied_to = peer.sent_at.get(message.heard)
        if replied_to is not None:
            age = message.knowledge_age_ms / MILLISECONDS
            self._freshness.answered(replied_to - age)

    def _take_targets(self, message: wire.RouterNews, now: float) -> None:
        fresh_until = now + FRESH_INTERVALS * self.interval
        states = self._states_by_key()
        good = sum(item.good_percent or 0 for item in message.targets)
        bad = sum(item.bad_percent or 0 for item in message.targets)
        is_witness = bad <= WITNESS_MOST_FAILURES * (good + bad)
        for item in message.targets:
            state = states.get(item.target)
            if state is None:
                continue
            state.hear_router(message.origin, item.running, fresh_until)
            if is_witness:
                state.hear_outcomes(
                    message.origin,
                    (item.good_percent or 0) / PERCENT,
                    (item.bad_percent or 0) / PERCENT,
                    fresh_until,
                )

    def _take_parts(self, message: wire.RouterNews, now: float) -> None:
        states = self._states_by_key()
        for item in message.parts:
            state = states.get(item.target)
            if state is not None:
                used_at = now - item.age_ms / MILLISECONDS
                use = PartUse(item.part, state.incarnation, item.tokens, used_at)
                self._parts.note(use)

    def _states_by_key(self) -> dict[int, TargetState]:
        if self._generation != self._targets.generation:
            self._generation = self._targets.generation
            self._by_key = {
                target_key(*state.incarnation): state for state in self._targets.states
            }
        return self._by_key


@lru_cache(maxsize=MOST_KEYS)
def target_key(name: str, started_at: int | None = None) -> int:
    """Return the short name of a life of a target in news.

    News of a life that a router does not know as the present one match nothing
    there, whether it is a former one or one that it has yet to hear of.

    Parameters
    ----------
    name : str
        The target.
    started_at : int | None
        Its start in its own Unix milliseconds; None where nothing tells it.

    Returns
    -------
    int
        32 bits. Two of 11,000 targets share one in about one fleet of seventy;
        then a load is counted for the wrong one of them.
    """
    text = name if started_at is None else f"{name}\0{started_at}"
    return int(xxh32_intdigest(text.encode())) - 2**31


def _target_news(state: TargetState, now: float) -> wire.TargetNews:
    good, bad = state.outcomes(now)
    is_worth_telling = bad > LEAST_TOLD
    return wire.TargetNews(
        target_key(*state.incarnation),
        state.own_running,
        round(good * PERCENT) if is_worth_telling else None,
        round(bad * PERCENT) if is_worth_telling else None,
    )


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * MILLISECONDS))
