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
from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.freshness import Freshness
    from primrosescale.request.part_directory import PartDirectory
    from primrosescale.request.target_state import TargetState

# Datagrams stay under what every link carries in one piece.
MOST_PARTS = 36
MOST_TARGETS = 24
# Bytes a second that a router spends on telling; the users allow 22 KB/s for
# all control.
BYTES_PER_SECOND = 12_000.0
USUAL_DATAGRAM = 450
SHORTEST_INTERVAL = 0.25
# News of another router is relied on for this many of its intervals.
FRESH_INTERVALS = 4
# Own messages whose sending time is remembered for each other router.
REMEMBERED_SENDINGS = 64
# A router that sees more than half of its requests fail everywhere has a
# trouble of its own and is no witness.
WITNESS_MOST_FAILURES = 0.5
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
        "router",
        "sent_at",
    )

    def __init__(self, router: OtherRouter) -> None:
        self.router = router
        self.incarnation = 0
        self.heard = 0
        self.heard_at: float | None = None
        self.is_store_lost = False
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
        oldest = now - FRESH_INTERVALS * self.interval
        return sum(
            1
            for peer in self._peers.values()
            if peer.heard_at is not None and peer.heard_at >= oldest
        )

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
        known = [peer for peer in self._peers.values() if peer.heard_at is not None]
        if not known:
            return False
        oldest = now - FRESH_INTERVALS * self.interval
        heard = [peer for peer in known if (peer.heard_at or 0.0) >= oldest]
        return not heard or any(not peer.is_store_lost for peer in heard)

    def put(self, router: OtherRouter) -> None:
        """Take in another router of the list.

        Parameters
        ----------
        router : OtherRouter
            The router; this router itself is passed over.
        """
        if router.name == self._name:
            return
        known = self._peers.get(router.name)
        if known is None or known.router != router:
            self._peers[router.name] = _Peer(router)

    def remove(self, name: str) -> None:
        """Take in that a router is no longer listed.

        Parameters
        ----------
        name : str
            Its name.
        """
        self._peers.pop(name, None)

    def compose(
        self, version: int, now: float, *, is_store_lost: bool = False
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

        Returns
        -------
        list[tuple[OtherRouter, wire.RouterNews]]
            Messages, each for one router.
        """
        states = [
            state
            for state in self._targets.states
            if state.own_running or state.has_outcomes(now)
        ][:MOST_TARGETS]
        news = self._parts.take_news()[-MOST_PARTS:]
        names = [state.target.name for state in states]
        places = {name: place for place, name in enumerate(names)}
        told = [_target_news(state, now) for state in states]
        for _, target, _ in news:
            if target not in places:
                places[target] = len(told)
                told.append(wire.TargetNews(target, UNKNOWN, 0, 0))
        parts = [
            wire.PartNews(part, places[target], _milliseconds(now - at))
            for part, target, at in news
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
        good = sum(item.good_percent for item in message.targets)
        bad = sum(item.bad_percent for item in message.targets)
        is_witness = bad <= WITNESS_MOST_FAILURES * (good + bad)
        for item in message.targets:
            state = self._targets.state(item.name)
            if state is None or item.running < 0:
                continue
            state.hear_router(message.origin, item.running, fresh_until)
            if is_witness:
                state.hear_outcomes(
                    message.origin,
                    item.good_percent / PERCENT,
                    item.bad_percent / PERCENT,
                    fresh_until,
                )

    def _take_parts(self, message: wire.RouterNews, now: float) -> None:
        for item in message.parts:
            if 0 <= item.target < len(message.targets):
                target = message.targets[item.target].name
                used_at = now - item.age_ms / MILLISECONDS
                self._parts.note(target, item.part, used_at)


def _target_news(state: TargetState, now: float) -> wire.TargetNews:
    good, bad = state.outcomes(now)
    return wire.TargetNews(
        state.target.name,
        state.own_running,
        round(good * PERCENT),
        round(bad * PERCENT),
    )


def _milliseconds(seconds: float) -> int:
    return max(0, round(seconds * MILLISECONDS))
