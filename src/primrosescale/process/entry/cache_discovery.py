"""Learns after a start which prompt parts engines have cached.

Requests that wait for the start arrive in a burst. Without this knowledge each of their
prompts would be prefilled again on some engine.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList

from primrosescale.process.entry.target_list import TARGET
from primrosescale.process.events import Event
from primrosescale.request.choice.prefix_cache_index import PartUse
from primrosescale.request.target.target_incarnation import TargetIncarnation

if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure

    from primrosescale.process.entry.cache_ownership import CacheOwnership
    from primrosescale.process.entry.codec import EngineCacheContents
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.router_datagrams import StateExchangeProtocol
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.target.serving_target import ServingTarget

# Engines report their cache contents within 20-40 ms, other routers within 10 ms; one
# that does not answer must not keep callers waiting.
MAX_WAIT_SECONDS = 0.1
CHECK_INTERVAL_SECONDS = 0.01
# Routers that have not answered by then are still down, or gone.
PEER_ANSWER_SECONDS = 0.06
# Number of engines in the shares of such routers that are read instead, by all routers
# that start together. In a small fleet each share is a large part of all cache
# contents; in a large one, requests go to the targets chosen by hash order.
EXTRA_READS = 12
# A timer may fire this much before the time that it was set for, by rounding.
TIMER_SLACK_SECONDS = 0.001
# Pauses before routers that have not answered are asked again: of routers that were
# killed together, those on hosts with half a core answer a second after the first.
RETRY_PAUSES_SECONDS = (0.3, 0.6, 1.2)
# Reporting its cache delays an engine's work, and each answer takes a connection. For
# the remaining engines, requests go to the targets chosen by hash order.
MAX_ENGINES_READ = 96


class CacheDiscovery:
    """Reads the caches of this router's share of engines; asks peers for the rest.

    Parameters
    ----------
    shares : CacheOwnership
        Which targets this router reads.
    exchange : StateExchangeProtocol
        Sends to other routers.
    targets : TargetList
        Targets and their states.
    directory : PrefixCacheIndex
        Where prompt parts are cached.
    parts : EntryDependencies
        Collaborators of the router.
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
        """Finish without reading any engine."""
        self._exchange.answer_cache_requests()

    def start(
        self, has_cache: Callable[[ServingTarget], bool], on_done: Callable[[], None]
    ) -> None:
        """Ask this router's share of engines, and the other routers for theirs.

        Parameters
        ----------
        has_cache : Callable[[ServingTarget], bool]
            Returns whether a target is an engine that caches prompt parts.
        on_done : Callable[[], None]
            Called once, when all have answered or callers have waited long enough.
        """
        self._began_at = self._reactor.seconds()
        self._on_done = on_done
        own = [
            state.target
            for state in self._shares.own_targets()
            if has_cache(state.target)
        ]
        if len(own) > MAX_ENGINES_READ:
            own = self._rng.sample(own, MAX_ENGINES_READ)
        read = DeferredList([self._read(target) for target in own])
        read.addCallback(lambda _: self._finish_own_share())
        self._exchange.request_caches()

        self._reactor.callLater(PEER_ANSWER_SECONDS, self._read_for_others, has_cache)
        self._check_complete()
        self._schedule_retry(RETRY_PAUSES_SECONDS)

    def _read_for_others(self, has_cache: Callable[[ServingTarget], bool]) -> None:
        unanswered_targets = [
            state.target for state in self._shares.unanswered_targets()
        ]
        most = EXTRA_READS // self._shares.routers
        for target in list(filter(has_cache, unanswered_targets))[:most]:
            self._read(target)

    def _check_complete(self) -> None:
        """Finish when nothing is missing or callers have waited long enough."""
        is_complete = self._is_read and not self._shares.unanswered
        left = self._began_at + MAX_WAIT_SECONDS - self._reactor.seconds()
        if is_complete or left < TIMER_SLACK_SECONDS:
            self._finish()
        else:
            self._reactor.callLater(
                min(CHECK_INTERVAL_SECONDS, left), self._check_complete
            )

    def _schedule_retry(self, pauses: tuple[float, ...]) -> None:
        if not pauses:
            return

        def ask() -> None:
            if self._shares.unanswered:
                self._exchange.request_caches()
                self._schedule_retry(pauses[1:])

        self._reactor.callLater(pauses[0], ask)

    def _finish_own_share(self) -> None:
        self._is_read = True
        self._exchange.answer_cache_requests()

    def _finish(self) -> None:
        self._log.emit(
            Event.CACHES_LEARNED,
            parts=len(self._directory),
            unanswered=[router.name for router in self._shares.unanswered],
            took=round(self._reactor.seconds() - self._began_at, 3),
        )
        self._on_done()

    def _read(self, target: ServingTarget) -> Deferred[None]:
        """Read what an engine cached before this process started."""
        reading = self._reader.read(target)

        def failed(failure: Failure) -> None:
            detail = failure.getErrorMessage()
            self._log.emit(Event.CACHE_NOT_READ, target=target.name, detail=detail)

        return reading.addCallbacks(
            self._record_contents, failed, callbackArgs=(target,)
        )

    def _record_contents(
        self, held: EngineCacheContents, target: ServingTarget
    ) -> None:
        """Record what a target reported; it may be of another incarnation."""
        now = self._reactor.seconds()
        incarnation = target.incarnation
        if held.started_at is not None:
            incarnation = TargetIncarnation(target.name, held.started_at)
        state = self._targets.state(target.name)
        if state is not None and state.incarnation.is_followed_by(incarnation):
            # In the store's entry, draining and warm-up still concern the former
            # incarnation.
            begun = replace(
                state.target,
                started_at=incarnation.started_at,
                is_draining=False,
                warm_up_seconds=0.0,
            )
            self._targets.put(begun, now, told_by=TARGET)
        elif state is None or state.incarnation != incarnation:
            detail = f"not the known incarnation: started at {incarnation.started_at}"
            self._log.emit(Event.CACHE_NOT_READ, target=target.name, detail=detail)
            return
        for part in held.parts:
            self._directory.record_use(
                PartUse(part.name, incarnation, part.tokens, now)
            )
        self._log.emit(Event.CACHE_READ, target=target.name, parts=len(held.parts))
