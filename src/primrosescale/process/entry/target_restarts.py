"""What follows when a target has started again under its name."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.events import Event

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.target_list import BegunIncarnation
    from primrosescale.request.forwarding_interfaces import TargetClient
    from primrosescale.request.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.target_incarnation import TargetIncarnation


class TargetRestarts:
    """Ends what is under way at former incarnations of targets, and says so.

    What is known of an incarnation is found under that one alone, so nothing here has
    to be reset for a new one to begin with nothing.

    Parameters
    ----------
    caller : TargetClient
        Has the requests that are under way.
    directory : PrefixCacheIndex
        Where parts of prompts are cached.
    parts : EntryDependencies
        What the router is built with.
    on_end : Callable[[TargetIncarnation], None]
        Told of each former incarnation, after what was under way there.
    """

    def __init__(
        self,
        caller: TargetClient,
        directory: PrefixCacheIndex,
        parts: EntryDependencies,
        on_end: Callable[[TargetIncarnation], None],
    ) -> None:
        self._caller = caller
        self._directory = directory
        self._on_end = on_end
        self._reactor: Any = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics
        self._begun: list[BegunIncarnation] = []

    def began(self, begun: BegunIncarnation) -> None:
        """Take in that an incarnation of a target became known.

        Parameters
        ----------
        begun : BegunIncarnation
            The incarnation, and the one that it replaces.
        """
        if begun.former is not None:
            self._metrics.target_restarted()
            self._log.emit(
                Event.TARGET_RESTARTED,
                target=begun.present.name,
                started_at=begun.present.started_at,
                former=begun.former.started_at,
                told_by=begun.told_by,
            )
        if not self._begun:
            # Once the whole list is known, so that what ends at one target
            # does not go to another that has ended too.
            self._reactor.callLater(0, self._end_former)
        self._begun.append(begun)

    def _end_former(self) -> None:
        known, self._begun = self._begun, []
        for begun in known:
            # A target that was forgotten meanwhile may have requests too.
            self._caller.abort_former(begun.present)
            if begun.former is not None:
                self._directory.forget_target(begun.former)
                self._on_end(begun.former)
