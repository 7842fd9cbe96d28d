"""Tells the index of cached prompts how much each target can keep."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.process.entry.store_state import StoreState
    from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.target.serving_target import ServingTarget


class CacheLimits:
    """Applies the cache sizes of the configuration to the known targets.

    Parameters
    ----------
    index : PrefixCacheIndex
        Index of the prompts that targets have cached.
    store_state : StoreState
        The configuration and the targets.
    """

    __slots__ = ("_applied_for", "_index", "_store_state")

    def __init__(self, index: PrefixCacheIndex, store_state: StoreState) -> None:
        self._index = index
        self._store_state = store_state
        # Configuration version and target list generation of the last update.
        self._applied_for = (0, 0)

    def update(self) -> None:
        """Set the cache size of each target, whenever it may have changed."""
        table = self._store_state.table
        targets = self._store_state.targets
        if table is None or self._applied_for == (table.version, targets.generation):
            return
        self._applied_for = (table.version, targets.generation)
        for state in targets.states:
            service = table.service(state.target.service)
            if service is not None:
                self._index.limit(state.incarnation, service.cache_tokens)

    def has_cache(self, target: ServingTarget) -> bool:
        """Return whether a target caches prompts.

        Parameters
        ----------
        target : ServingTarget
            The target.

        Returns
        -------
        bool
            False also while its service is not known.
        """
        table = self._store_state.table
        service = None if table is None else table.service(target.service)
        return service is not None and bool(service.cache_tokens)
