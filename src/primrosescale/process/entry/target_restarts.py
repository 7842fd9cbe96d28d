"""Ends the requests at former incarnations of a target that has restarted."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.target_list import IncarnationStart
    from primrosescale.request.attempt.forwarding_interfaces import TargetClient
    from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.target.target_incarnation import TargetIncarnation


class TargetRestarts:
    """Ends requests at former incarnations of targets, and logs the restarts.

    All state is keyed by incarnation, so that a new incarnation starts empty without
    anything being reset here.

    Parameters
    ----------
    target_client : TargetClient
        Holds the requests that are in flight.
    prefix_index : PrefixCacheIndex
        Prefix cache index of this router.
    parts : EntryDependencies
        Collaborators of the router.
    on_start : Callable[[IncarnationStart], None]
        Called with each incarnation that replaces another, before the requests of the
        former one are ended.
    on_end : Callable[[TargetIncarnation], None]
        Called with each former incarnation, after its requests have been ended.
    """

    def __init__(
        self,
        target_client: TargetClient,
        prefix_index: PrefixCacheIndex,
        parts: EntryDependencies,
        on_start: Callable[[IncarnationStart], None],
        on_end: Callable[[TargetIncarnation], None],
    ) -> None:
        self._target_client = target_client
        self._prefix_index = prefix_index
        self._on_start = on_start
        self._on_end = on_end
        self._reactor: Any = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics
        self._pending: list[IncarnationStart] = []

    def incarnation_started(self, start: IncarnationStart) -> None:
        """Handle an incarnation of a target that has become known.

        Parameters
        ----------
        start : IncarnationStart
            The incarnation, with the one that it replaces.
        """
        if start.former is not None:
            self._metrics.target_restarted()
            self._log.emit(
                Event.TARGET_RESTARTED,
                target=start.present.name,
                started_at=start.present.started_at,
                former=start.former.started_at,
                told_by=start.told_by,
            )
        if not self._pending:
            # Deferred until the whole list has been read, so that a request ended at
            # one target is not retried at another that has ended too.
            self._reactor.callLater(0, self._end_former)
        self._pending.append(start)

    def _end_former(self) -> None:
        known, self._pending = self._pending, []
        for start in known:
            if start.former is not None:
                self._on_start(start)
        for start in known:
            # Also without a former incarnation: a target that was forgotten in the
            # meantime may still have requests in flight.
            self._target_client.abort_former(start.present)
            if start.former is not None:
                self._prefix_index.forget_target(start.former)
                self._on_end(start.former)
