"""Decides which router reads the cache contents of a target, and answers for it.

Routers may restart one by one or all at once. Routers that kept running know what
targets have cached, and reading it from a target costs the target work. If each router
read each target, a restarted fleet of 30 routers and 30 targets would send 900 requests
in the second in which callers come back. So each target belongs to the share of one
router, by an order that all routers derive alike. That router reads the target's cache
when it starts itself, and answers other routers for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.membership.rendezvous import first_by_rendezvous
from primrosescale.request.choice.prefix_cache_index import PartUse

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.target.target_state import TargetState

# Keeps datagrams below the size at which links fragment them: a prompt part takes 18
# bytes.
MAX_PARTS_PER_ANSWER = 60


class CacheOwnership:
    """Requests and answers of one router about the cache contents of targets.

    Parameters
    ----------
    name : str
        This router.
    targets : TargetList
        Targets and their states.
    parts : PrefixCacheIndex
        Where prompt parts are cached.
    others : Callable[[], Sequence[PeerRouter]]
        Returns the other routers that are listed.
    find : Callable[[str], PeerRouter | None]
        Returns a router by name that is listed, or was until recently: a router that
        is stopped removes its entry, and after its restart sends requests some seconds
        before the others see its new entry.
    """

    __slots__ = (
        "_answered",
        "_find",
        "_is_own_share_read",
        "_name",
        "_others",
        "_parts",
        "_pending_requesters",
        "_targets",
    )

    def __init__(
        self,
        name: str,
        targets: TargetList,
        parts: PrefixCacheIndex,
        others: Callable[[], Sequence[PeerRouter]],
        find: Callable[[str], PeerRouter | None],
    ) -> None:
        self._name = name
        self._targets = targets
        self._parts = parts
        self._others = others
        self._find = find
        self._answered: set[str] = set()
        self._pending_requesters: set[str] = set()
        self._is_own_share_read = False

    @property
    def routers(self) -> int:
        """Return how many routers are listed, including this one."""
        return 1 + len(self._others())

    @property
    def unanswered(self) -> list[PeerRouter]:
        """Return the listed routers that have not answered yet."""
        return [item for item in self._others() if item.name not in self._answered]

    def own_targets(self) -> list[TargetState]:
        """Return the targets in this router's share.

        Returns
        -------
        list[TargetState]
            Those for which it is the first in the order of routers.
        """
        names = [self._name, *(router.name for router in self._others())]
        return [
            state
            for state in self._targets.states
            if first_by_rendezvous(names, state.target.name, 1) == [self._name]
        ]

    def unanswered_targets(self) -> list[TargetState]:
        """Return the targets whose cache contents no router has reported.

        Returns
        -------
        list[TargetState]
            The shares of routers that have not answered, in an order that differs from
            router to router.
        """
        silent = {router.name for router in self.unanswered}
        names = [self._name, *(router.name for router in self._others())]
        found = {
            state.target.name: state
            for state in self._targets.states
            if first_by_rendezvous(names, state.target.name, 1)[0] in silent
        }
        return [
            found[name] for name in first_by_rendezvous(found, self._name, len(found))
        ]

    def new_request(self) -> wire.CacheQuestion:
        """Return the request to other routers after a start.

        Returns
        -------
        wire.CacheQuestion
            The message.
        """
        return wire.CacheQuestion(self._name)

    def receive_request(
        self, message: wire.CacheQuestion, now: float
    ) -> list[tuple[PeerRouter, wire.CacheAnswer]]:
        """Process a request of another router that has started.

        Parameters
        ----------
        message : wire.CacheQuestion
            Its request.
        now : float
            Present time in seconds.

        Returns
        -------
        list[tuple[PeerRouter, wire.CacheAnswer]]
            The answer; empty, with the answer sent later, if this router has just
            started itself, and empty for a router that was never listed.
        """
        if self._find(message.origin) is None:
            return []
        self._pending_requesters.add(message.origin)
        return self._pending_answers(now) if self._is_own_share_read else []

    def mark_share_read(self, now: float) -> list[tuple[PeerRouter, wire.CacheAnswer]]:
        """Record that this router has read its own share.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[tuple[PeerRouter, wire.CacheAnswer]]
            Answers to the routers that have sent requests meanwhile.
        """
        self._is_own_share_read = True
        return self._pending_answers(now)

    def receive_answer(self, message: wire.CacheAnswer, now: float) -> None:
        """Record what another router reports on its share.

        Parameters
        ----------
        message : wire.CacheAnswer
            Its answer, or a part of it.
        now : float
            Present time in seconds.
        """
        if all(router.name != message.origin for router in self._others()):
            return
        if message.is_last:
            self._answered.add(message.origin)
        reported = {cache.target: cache.parts for cache in message.caches}
        for state in self._targets.states:
            for part in reported.get(target_key(*state.incarnation), ()):
                used_at = now - part.age_ms / MILLISECONDS_PER_SECOND
                self._parts.record_use(
                    PartUse(part.part, state.incarnation, part.tokens, used_at)
                )

    def _pending_answers(self, now: float) -> list[tuple[PeerRouter, wire.CacheAnswer]]:
        found = [self._find(name) for name in sorted(self._pending_requesters)]
        askers = [router for router in found if router is not None]
        self._pending_requesters.clear()
        if not askers:
            return []
        messages = self._messages(now)
        return [(asker, message) for asker in askers for message in messages]

    def _messages(self, now: float) -> list[wire.CacheAnswer]:
        """Return the messages that make up one complete answer."""
        uses = [
            use
            for state in self.own_targets()
            for use in self._parts.shared(state.incarnation, now)
        ]
        begins = range(0, len(uses), MAX_PARTS_PER_ANSWER) or (0,)
        return [
            wire.CacheAnswer(
                self._name,
                _by_target(uses[begin : begin + MAX_PARTS_PER_ANSWER], now),
                is_last=begin == begins[-1],
            )
            for begin in begins
        ]


def _by_target(uses: Sequence[PartUse], now: float) -> list[wire.TargetCache]:
    caches: dict[int, list[wire.CachedPart]] = {}
    for use in uses:
        caches.setdefault(target_key(*use.target), []).append(_cached_part(use, now))
    return [wire.TargetCache(key, parts) for key, parts in caches.items()]


def _cached_part(use: PartUse, now: float) -> wire.CachedPart:
    age_ms = max(0, round((now - use.used_at) * MILLISECONDS_PER_SECOND))
    return wire.CachedPart(use.part, use.tokens, age_ms)
