"""Learning after a start what model engines hold from before it.

Requests that wait for the start come in a burst; without this knowledge each of
their prompts would be read again somewhere.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList

from primrosescale.process.entry.target_list import TARGET
from primrosescale.process.events import Event
from primrosescale.request.prefix_cache_index import PartUse
from primrosescale.request.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from primrosescale.process.entry.cache_ownership import CacheOwnership
    from primrosescale.process.entry.codec import EngineCacheContents
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.router_datagrams import StateExchangeProtocol
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.serving_target import ServingTarget

# Model engines tell what they hold within 20-40 ms, other routers within 10 ms;
# one that is silent must not keep callers waiting.
PATIENCE = 0.1
LOOK_PAUSE = 0.01
# Routers that have not answered by then are still down, or gone.
ANSWER_SECONDS = 0.06
# Engines of their shares that are asked in all by routers that start together: in
# a small fleet each share is a large part of what is held; in a large one, what
# the hash order of targets says is relied on for it.
READS_FOR_OTHERS = 12
# A timer may fire this much before the time that it was set for, by rounding.
TIMER_SLACK = 0.001
# Pauses before routers that have not answered are asked again: of those that were
# killed together, hosts with half a core answer a second after the first.
ASK_AGAIN_SECONDS = (0.3, 0.6, 1.2)
# Telling delays a model engine's work, and each answer takes a connection; for
# the rest, what the hash order of targets says is relied on.
MAX_ENGINES_READ = 96


class CacheDiscovery:
    """Asks engines for this router's share, and other routers for theirs.

    Parameters
    ----------
    shares : CacheOwnership
        Which targets are this router's to ask.
    exchange : StateExchangeProtocol
        Sends to other routers.
    targets : TargetList
        Targets and their states.
    directory : PrefixCacheIndex
        Where parts of prompts are cached.
    parts : EntryDependencies
        What the router is built with.
    """

    def __init__(
        self,
        shares: CacheOwnership,
        exchange: StateExchangeProtocol,
        targets: TargetList,
        directory: PrefixCacheIndex,
        parts: EntryDependencies,
    ) -> None:
        self._shares = shares
        self._exchange = exchange
        self._targets = targets
        self._directory = directory
        self._reactor = parts.reactor
        self._reader = parts.caches
        self._rng = parts.rng
        self._log = parts.log
        self._began_at = 0.0
        self._on_done: Callable[[], None] = lambda: None
        self._is_read = False

    def skip(self) -> None:
        """Take in that there is nothing to learn."""
        self._exchange.know_caches()

    def start(
        self, has_cache: Callable[[ServingTarget], bool], on_done: Callable[[], None]
    ) -> None:
        """Ask engines and routers.

        Parameters
        ----------
        has_cache : Callable[[ServingTarget], bool]
            Tells whether a target is an engine that holds parts of prompts.
        on_done : Callable[[], None]
            Called once, when all have answered or callers have waited enough.
        """
        self._began_at = self._reactor.seconds()
        self._on_done = on_done
        own = [state.target for state in self._shares.own() if has_cache(state.target)]
        if len(own) > MAX_ENGINES_READ:
            own = self._rng.sample(own, MAX_ENGINES_READ)
        read = DeferredList([self._read(target) for target in own])
        read.addCallback(lambda _: self._know())
        self._exchange.ask_caches()

        self._reactor.callLater(ANSWER_SECONDS, self._read_for_others, has_cache)
        self._look()
        self._ask_again(ASK_AGAIN_SECONDS)

    def _read_for_others(self, has_cache: Callable[[ServingTarget], bool]) -> None:
        untold = [state.target for state in self._shares.untold()]
        most = READS_FOR_OTHERS // self._shares.routers
        for target in list(filter(has_cache, untold))[:most]:
            self._read(target)

    def _look(self) -> None:
        """Let callers go on when nothing is missing, or they have waited enough."""
        is_complete = self._is_read and not self._shares.unanswered
        left = self._began_at + PATIENCE - self._reactor.seconds()
        if is_complete or left < TIMER_SLACK:
            self._done()
        else:
            self._reactor.callLater(min(LOOK_PAUSE, left), self._look)

    def _ask_again(self, pauses: tuple[float, ...]) -> None:
        if not pauses:
            return

        def ask() -> None:
            if self._shares.unanswered:
                self._exchange.ask_caches()
                self._ask_again(pauses[1:])

        self._reactor.callLater(pauses[0], ask)

    def _know(self) -> None:
        self._is_read = True
        self._exchange.know_caches()

    def _done(self) -> None:
        self._log.emit(
            Event.CACHES_LEARNED,
            parts=len(self._directory),
            unanswered=[router.name for router in self._shares.unanswered],
            took=round(self._reactor.seconds() - self._began_at, 3),
        )
        self._on_done()

    def _read(self, target: ServingTarget) -> Deferred[None]:
        """Learn what a model engine holds from before this process's start."""
        reading = self._reader.read(target)

        def failed(failure: Failure) -> None:
            detail = failure.getErrorMessage()
            self._log.emit(Event.CACHE_NOT_READ, target=target.name, detail=detail)

        return reading.addCallbacks(self._learn, failed, callbackArgs=(target,))

    def _learn(self, held: EngineCacheContents, target: ServingTarget) -> None:
        """Take in what a target told; it may be of another incarnation."""
        now = self._reactor.seconds()
        told = target.incarnation
        if held.started_at is not None:
            told = TargetIncarnation(target.name, held.started_at)
        state = self._targets.state(target.name)
        if state is not None and state.incarnation.is_followed_by(told):
            # The store's word on a leave or a slow start was of the former.
            begun = replace(
                state.target,
                started_at=told.started_at,
                is_draining=False,
                warm_up_seconds=0.0,
            )
            self._targets.put(begun, now, told_by=TARGET)
        elif state is None or state.incarnation != told:
            detail = f"not of the incarnation that is known: start {told.started_at}"
            self._log.emit(Event.CACHE_NOT_READ, target=target.name, detail=detail)
            return
        for part in held.parts:
            self._directory.record_use(PartUse(part.name, told, part.tokens, now))
        self._log.emit(Event.CACHE_READ, target=target.name, parts=len(held.parts))
