"""Estimates which target holds which parts of prompts in its prefix cache.

A target does not prefill a part again that it holds, which matters for returning
chats. The index therefore records where parts went, from this router's own requests
and from the reports of peer routers. Targets evict the least recently used parts when
their cache is full, and so does the index. Each record belongs to one
incarnation of a target: a target that restarts holds nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primrosescale.request.incoming_request import PromptPart
    from primrosescale.request.target.target_incarnation import TargetIncarnation

# Parts last used longer ago are not relied on, whatever the cache size: peer routers
# may have caused evictions that were not reported here.
MAX_USE_AGE_SECONDS = 60.0
# Share of a target's cache that the parts recorded here are assumed to fill before the
# target evicts any. Running requests share one copy of their common parts; parts that
# are not reported to this router (the chats of peer routers) are not counted.
CACHE_SHARE = 1.0
# Parts recorded for one target, also where the size of its cache is not known.
MAX_PARTS_PER_TARGET = 4096
# The use of a part is reported to peer routers again once half of the time for which
# they rely on it has passed: early enough to tolerate one lost datagram, and less often
# than with each use.
REPORT_AGAIN_SECONDS = MAX_USE_AGE_SECONDS / 2
# Prefilling a shorter shared prefix takes about as long as copying it, so that a large
# fleet need not report which target holds it.
MIN_REPORTED_TOKENS = 1000


@dataclass(frozen=True, slots=True)
class PartUse:
    """Records that a target was sent a part of a prompt.

    Parameters
    ----------
    part : str
        Name of the part.
    target : TargetIncarnation
        The incarnation of the target.
    tokens : int
        Length of the part.
    used_at : float
        When, in seconds.
    before : tuple[str, ...]
        Names of the parts before it, which were used with it, where they are not
        reported themselves.
    """

    part: str
    target: TargetIncarnation
    tokens: int
    used_at: float
    before: tuple[str, ...] = ()


class _HeldPart:
    """A part that a target is assumed to hold."""

    __slots__ = ("is_shared", "reported_at", "tokens", "used_at")

    def __init__(self, tokens: int, used_at: float) -> None:
        self.tokens = tokens
        self.used_at = used_at
        # Whether requests of peer routers may contain it.
        self.is_shared = True
        # When its use was last reported to peer routers, by this router or another.
        self.reported_at = used_at


class _HeldParts:
    """Parts that one incarnation of a target is assumed to hold, in LRU order."""

    __slots__ = ("parts", "tokens")

    def __init__(self) -> None:
        self.parts: OrderedDict[str, _HeldPart] = OrderedDict()
        self.tokens = 0

    def record(self, use: PartUse, capacity: int) -> tuple[_HeldPart, bool]:
        """Record a use; return the part, and whether it was not held before."""
        known = self.parts.get(use.part)
        if known is None:
            held = self.parts[use.part] = _HeldPart(use.tokens, use.used_at)
        else:
            held = known
            self.tokens -= held.tokens
            held.tokens = max(held.tokens, use.tokens)
            held.used_at = max(held.used_at, use.used_at)
            self.parts.move_to_end(use.part)
        self.tokens += held.tokens
        while len(self.parts) > 1 and (
            len(self.parts) > MAX_PARTS_PER_TARGET
            or (capacity and self.tokens > capacity)
        ):
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped.tokens
        return held, known is None


class PrefixCacheIndex:
    """Records which incarnation of a target holds which parts, and their last use."""

    __slots__ = (
        "_away_from_home",
        "_capacity",
        "_holders",
        "_previous_updates",
        "_updates",
    )

    def __init__(self) -> None:
        self._previous_updates: dict[tuple[str, TargetIncarnation], PartUse] = {}
        self._holders: dict[TargetIncarnation, _HeldParts] = {}
        self._capacity: dict[TargetIncarnation, int] = {}
        self._updates: dict[tuple[str, TargetIncarnation], PartUse] = {}
        # Prompts elsewhere than at their homes, by their last shared part.
        self._away_from_home: dict[tuple[str, TargetIncarnation], PartUse] = {}

    def __len__(self) -> int:
        """Return how many parts are recorded, summed over targets."""
        return sum(len(holder.parts) for holder in self._holders.values())

    def limit(self, target: TargetIncarnation, tokens: int) -> None:
        """Set the size of a target's cache.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        tokens : int
            Tokens that it can hold; 0 when not reported.
        """
        self._capacity[target] = int(tokens * CACHE_SHARE)

    def record_use(self, use: PartUse) -> bool:
        """Record a use that a peer router or the target itself reported.

        Parameters
        ----------
        use : PartUse
            The use.

        Returns
        -------
        bool
            Whether the part was not known to be there.
        """
        for name in use.before:
            # Their tokens are counted where they are reported or sent themselves.
            self._record(PartUse(name, use.target, 0, use.used_at))
        held, is_new = self._record(use)
        held.reported_at = max(held.reported_at, use.used_at)
        return is_new

    def _record(self, use: PartUse) -> tuple[_HeldPart, bool]:
        holder = self._holders.get(use.target)
        if holder is None:
            holder = self._holders[use.target] = _HeldParts()
        return holder.record(use, self._capacity.get(use.target, 0))

    @property
    def has_away_from_home(self) -> bool:
        """Return whether any prompt that went elsewhere than home is yet unreported."""
        return bool(self._away_from_home)

    def record_own_request(
        self,
        target: TargetIncarnation,
        parts: Sequence[PromptPart],
        now: float,
        *,
        is_expected: bool = False,
    ) -> bool:
        """Record that a request of this router went to a target.

        The last part belongs to the request or its chat alone and is not reported to
        peer routers. Of the shared parts, those that were not known to be there are
        reported, and from time to time the last one, whose use implies the use of
        those before it.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        parts : Sequence[PromptPart]
            The parts of the request's prompt.
        now : float
            Current time in seconds.
        is_expected : bool
            Whether peer routers expect the parts there without a report.

        Returns
        -------
        bool
            Whether any shared part was not known to be there.
        """
        any_is_new = False
        last_shared = len(parts) - 2
        for place, part in enumerate(parts):
            use = PartUse(part.name, target, part.tokens, now)
            held, was_unknown = self._record(use)
            if place > last_shared:
                held.is_shared = held.is_shared and not was_unknown
                continue
            held.is_shared = True
            any_is_new = any_is_new or was_unknown
            is_old = now - held.reported_at >= REPORT_AGAIN_SECONDS
            if was_unknown or (is_old and place == last_shared):
                held.reported_at = now
                self._updates[(part.name, target)] = use
                if place == last_shared and not is_expected:
                    self._record_away_from_home(use, parts)
        return any_is_new

    def _record_away_from_home(self, use: PartUse, parts: Sequence[PromptPart]) -> None:
        shared = parts[:-1]
        if sum(part.tokens for part in shared) >= MIN_REPORTED_TOKENS:
            before = tuple(part.name for part in shared[:-1])
            use_with_prefix = replace(use, before=before)
            self._away_from_home[(use.part, use.target)] = use_with_prefix

    def take_updates(self) -> list[PartUse]:
        """Return the uses recorded since the last call but one.

        Each use is reported twice, since datagrams are sometimes lost and a lost one
        causes a prompt to be prefilled again.

        Returns
        -------
        list[PartUse]
            Uses of shared parts.
        """
        current, self._updates = self._updates, {}
        previous, self._previous_updates = self._previous_updates, current
        self._away_from_home.clear()
        return list({**previous, **current}.values())

    def take_away_from_home(self) -> list[PartUse]:
        """Return the prompts that went elsewhere than to their homes.

        Each is reported once, since the report reaches peer routers by two paths,
        by its last shared part with the names of the parts before it.

        Returns
        -------
        list[PartUse]
            Uses of the last shared parts.
        """
        current, self._away_from_home = self._away_from_home, {}
        self._updates.clear()
        self._previous_updates.clear()
        return list(current.values())

    def forget_target(self, target: TargetIncarnation) -> None:
        """Drop all records of an incarnation of a target, since it has ended.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        """
        self._holders.pop(target, None)
        self._capacity.pop(target, None)
        for pending in (self._updates, self._away_from_home, self._previous_updates):
            for key in [key for key in pending if key[1] == target]:
                del pending[key]

    def shared(self, target: TargetIncarnation, now: float) -> list[PartUse]:
        """Return the parts that a target holds and that any request may share.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        now : float
            Current time in seconds.

        Returns
        -------
        list[PartUse]
            Their last known uses, the least recent first.
        """
        holder = self._holders.get(target)
        if holder is None:
            return []
        return [
            PartUse(name, target, part.tokens, part.used_at)
            for name, part in holder.parts.items()
            if part.is_shared and now - part.used_at <= MAX_USE_AGE_SECONDS
        ]

    def held(
        self, target: TargetIncarnation, parts: Iterable[PromptPart], now: float
    ) -> int:
        """Return how many leading tokens of a prompt a target need not prefill.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        parts : Iterable[PromptPart]
            The parts of the prompt in order.
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Tokens of the parts before the first that it does not hold, up to the last
            one that was used recently.
        """
        holder = self._holders.get(target)
        if holder is None:
            return 0
        tokens = usable = 0
        for part in parts:
            found = holder.parts.get(part.name)
            if found is None:
                break
            tokens += part.tokens
            # A part that was used recently was used with all parts before it.
            if now - found.used_at <= MAX_USE_AGE_SECONDS:
                usable = tokens
        return usable
