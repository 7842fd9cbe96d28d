"""Which router asks a target what it holds, and tells the others.

The pattern it answers: routers that start again, one by one or all at once. What
targets have cached is known to routers that went on, and asking each target costs
it work; if each router asked each target, a fleet of 30 routers before 30 targets
that starts again would ask 900 times in the second in which callers come back. So
each target is the share of one router, by an order that all agree on: that one
asks it when it starts itself, and answers other routers for it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.membership.rendezvous import first_by_rendezvous
from primrosescale.request.prefix_cache_index import PartUse

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.target_state import TargetState

# Datagrams stay under what every link carries in one piece: a part takes 18 bytes.
MOST_CACHED_PARTS = 60


class CacheOwnership:
    """What one router asks and tells of the caches of targets.

    Parameters
    ----------
    name : str
        This router.
    targets : TargetList
        Targets and their states.
    parts : PrefixCacheIndex
        Where parts of prompts are cached.
    others : Callable[[], Sequence[PeerRouter]]
        Returns the other routers that are listed.
    find : Callable[[str], PeerRouter | None]
        Returns a router by name that is listed, or was until lately: one that is
        stopped takes itself off the list, and asks some seconds before the others
        hear that it is back.
    """

    __slots__ = (
        "_answered",
        "_find",
        "_is_known",
        "_name",
        "_others",
        "_parts",
        "_targets",
        "_waiting",
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
        self._waiting: set[str] = set()
        self._is_known = False

    @property
    def routers(self) -> int:
        """Return how many routers are listed, this one too."""
        return 1 + len(self._others())

    @property
    def unanswered(self) -> list[PeerRouter]:
        """Return the listed routers that have not answered yet."""
        return [item for item in self._others() if item.name not in self._answered]

    def own(self) -> list[TargetState]:
        """Return the targets that are this router's share.

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

    def untold(self) -> list[TargetState]:
        """Return the targets that no router has told of.

        Returns
        -------
        list[TargetState]
            Of the shares of routers that have not answered, in an order that
            differs from router to router.
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

    def question(self) -> wire.CacheQuestion:
        """Return what to ask other routers after a start.

        Returns
        -------
        wire.CacheQuestion
            The message.
        """
        return wire.CacheQuestion(self._name)

    def take_question(
        self, message: wire.CacheQuestion, now: float
    ) -> list[tuple[PeerRouter, wire.CacheAnswer]]:
        """Take in that another router has started.

        Parameters
        ----------
        message : wire.CacheQuestion
            Its question.
        now : float
            Present time in seconds.

        Returns
        -------
        list[tuple[PeerRouter, wire.CacheAnswer]]
            What to tell it now; it is told later by a router that has just
            started itself, and nothing when it was not listed.
        """
        if self._find(message.origin) is None:
            return []
        self._waiting.add(message.origin)
        return self._answers(now) if self._is_known else []

    def know(self, now: float) -> list[tuple[PeerRouter, wire.CacheAnswer]]:
        """Take in that this router knows what the targets of its share hold.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[tuple[PeerRouter, wire.CacheAnswer]]
            What to tell the routers that have asked meanwhile.
        """
        self._is_known = True
        return self._answers(now)

    def record_answer(self, message: wire.CacheAnswer, now: float) -> None:
        """Take in what another router tells of its share.

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
        told = {cache.target: cache.parts for cache in message.caches}
        for state in self._targets.states:
            for part in told.get(target_key(*state.incarnation), ()):
                used_at = now - part.age_ms / MILLISECONDS_PER_SECOND
                self._parts.record_use(
                    PartUse(part.part, state.incarnation, part.tokens, used_at)
                )

    def _answers(self, now: float) -> list[tuple[PeerRouter, wire.CacheAnswer]]:
        found = [self._find(name) for name in sorted(self._waiting)]
        askers = [router for router in found if router is not None]
        self._waiting.clear()
        if not askers:
            return []
        messages = self._messages(now)
        return [(asker, message) for asker in askers for message in messages]

    def _messages(self, now: float) -> list[wire.CacheAnswer]:
        """Return the messages of one whole answer."""
        uses = [
            use
            for state in self.own()
            for use in self._parts.shared(state.incarnation, now)
        ]
        begins = range(0, len(uses), MOST_CACHED_PARTS) or (0,)
        return [
            wire.CacheAnswer(
                self._name,
                _by_target(uses[begin : begin + MOST_CACHED_PARTS], now),
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
