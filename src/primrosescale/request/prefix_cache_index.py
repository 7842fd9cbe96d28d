"""Which target holds which part of a prompt in its cache, as far as known.

The pattern it answers: chats that return. A part that a target has read is
not read again there, so the directory remembers where parts went, from this
router's own requests and from what other routers tell. Targets forget the
least recently used parts when their memory is full, and so does the directory.
What is known is about one incarnation of a target: one that starts again holds nothing.
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
    from primrosescale.request.target_incarnation import TargetIncarnation

# Seconds. What was used longer ago is not relied on, whatever the memory: other
# routers' use of it may have gone unheard.
HELD_SECONDS = 60.0
# Of a target's memory. Shared parts of running requests are held once for all,
# and what a router does not hear of (other routers' chats) is left out here.
CACHE_SHARE = 1.0
# Parts remembered for one target whose memory is not known.
MOST_PARTS = 4096
# Others are told again that a part is still used once their knowledge of it has
# lost half of its time: early enough for one lost datagram, and not with each use.
TELL_AGAIN_SECONDS = HELD_SECONDS / 2
# Shorter shared parts are read about as soon as they are moved; where they went is
# not worth telling a large fleet.
LEAST_TOLD_TOKENS = 1000


@dataclass(frozen=True, slots=True)
class PartUse:
    """That a target was given a part.

    Parameters
    ----------
    part : str
        The part.
    target : TargetIncarnation
        The incarnation of the target.
    tokens : int
        Its length.
    used_at : float
        When, in seconds.
    before : tuple[str, ...]
        Parts before it, which were used with it, where they are not told
        themselves.
    """

    part: str
    target: TargetIncarnation
    tokens: int
    used_at: float
    before: tuple[str, ...] = ()


class _HeldPart:
    """A part that a target is taken to hold."""

    __slots__ = ("is_shared", "tokens", "told_at", "used_at")

    def __init__(self, tokens: int, used_at: float) -> None:
        self.tokens = tokens
        self.used_at = used_at
        # Whether requests of other routers may have it.
        self.is_shared = True
        # When other routers last heard of its use, from here or elsewhere.
        self.told_at = used_at


class _Holder:
    """What one incarnation of a target is taken to hold, least recently used first."""

    __slots__ = ("parts", "tokens")

    def __init__(self) -> None:
        self.parts: OrderedDict[str, _HeldPart] = OrderedDict()
        self.tokens = 0

    def note(self, use: PartUse, capacity: int) -> tuple[_HeldPart, bool]:
        """Take in the use of a part; return it and whether it was not held."""
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
            len(self.parts) > MOST_PARTS or (capacity and self.tokens > capacity)
        ):
            _, dropped = self.parts.popitem(last=False)
            self.tokens -= dropped.tokens
        return held, known is None


class PrefixCacheIndex:
    """Remembers which target has read which part, and when."""

    __slots__ = ("_again", "_capacity", "_holders", "_news", "_unexpected")

    def __init__(self) -> None:
        self._again: dict[tuple[str, TargetIncarnation], PartUse] = {}
        self._holders: dict[TargetIncarnation, _Holder] = {}
        self._capacity: dict[TargetIncarnation, int] = {}
        self._news: dict[tuple[str, TargetIncarnation], PartUse] = {}
        # Prompts that are elsewhere than others expect them, by their deepest part.
        self._unexpected: dict[tuple[str, TargetIncarnation], PartUse] = {}

    def __len__(self) -> int:
        """Return how many parts are known, counted for each target."""
        return sum(len(holder.parts) for holder in self._holders.values())

    def limit(self, target: TargetIncarnation, tokens: int) -> None:
        """Take in the size of a target's memory.

        Parameters
        ----------
        target : str
            The target.
        tokens : int
            Tokens it holds; 0 when not told.
        """
        self._capacity[target] = int(tokens * CACHE_SHARE)

    def record_use(self, use: PartUse) -> bool:
        """Take in that a target has a part.

        Parameters
        ----------
        use : PartUse
            The part and the target.

        Returns
        -------
        bool
            Whether this was not known.
        """
        for name in use.before:
            # Their tokens count where they are told or sent by themselves.
            self._note(PartUse(name, use.target, 0, use.used_at))
        held, is_new = self._note(use)
        held.told_at = max(held.told_at, use.used_at)
        return is_new

    def _note(self, use: PartUse) -> tuple[_HeldPart, bool]:
        holder = self._holders.get(use.target)
        if holder is None:
            holder = self._holders[use.target] = _Holder()
        return holder.note(use, self._capacity.get(use.target, 0))

    @property
    def has_away_from_home(self) -> bool:
        """Tell whether a prompt went elsewhere than others expect."""
        return bool(self._unexpected)

    def record_own_request(
        self,
        target: TargetIncarnation,
        parts: Sequence[PromptPart],
        now: float,
        *,
        is_expected: bool = False,
    ) -> bool:
        """Take in that a request of this router went to a target.

        The last part belongs to the request or its chat alone and is no news
        for others. Of the shared ones those that were not known to be there
        are, and now and then the deepest, whose use tells of those before it.

        Parameters
        ----------
        target : str
            The target.
        parts : Sequence[PromptPart]
            The request's parts.
        now : float
            Present time in seconds.
        is_expected : bool
            Whether other routers may expect the parts there untold.

        Returns
        -------
        bool
            Whether some shared part was not known to be there.
        """
        is_worth_sharing = False
        deepest = len(parts) - 2
        for place, part in enumerate(parts):
            use = PartUse(part.name, target, part.tokens, now)
            held, was_unknown = self._note(use)
            if place > deepest:
                held.is_shared = held.is_shared and not was_unknown
                continue
            held.is_shared = True
            is_worth_sharing = is_worth_sharing or was_unknown
            is_old = now - held.told_at >= TELL_AGAIN_SECONDS
            if was_unknown or (is_old and place == deepest):
                held.told_at = now
                self._news[(part.name, target)] = use
                if place == deepest and not is_expected:
                    self._note_unexpected(use, parts)
        return is_worth_sharing

    def _note_unexpected(self, use: PartUse, parts: Sequence[PromptPart]) -> None:
        shared = parts[:-1]
        if sum(part.tokens for part in shared) >= LEAST_TOLD_TOKENS:
            before = tuple(part.name for part in shared[:-1])
            found = replace(use, before=before)
            self._unexpected[(use.part, use.target)] = found

    def take_updates(self) -> list[PartUse]:
        """Return what this router noted since the call before the last.

        All is told twice, since datagrams are lost now and then and a lost one
        costs a prompt that is read again.

        Returns
        -------
        list[PartUse]
            Uses of shared parts.
        """
        news, self._news = self._news, {}
        again, self._again = self._again, news
        self._unexpected.clear()
        return list({**again, **news}.values())

    def take_away_from_home(self) -> list[PartUse]:
        """Return which prompts went elsewhere than others expect.

        Each is told once, since it goes to others by two ways, and by its
        deepest part with the names of those before it.

        Returns
        -------
        list[PartUse]
            Uses of the deepest shared parts.
        """
        news, self._unexpected = self._unexpected, {}
        self._news.clear()
        self._again.clear()
        return list(news.values())

    def forget_target(self, target: TargetIncarnation) -> None:
        """Take in that an incarnation of a target has ended with all it held.

        Parameters
        ----------
        target : str
            The target.
        """
        self._holders.pop(target, None)
        self._capacity.pop(target, None)
        for told in (self._news, self._unexpected, self._again):
            for key in [key for key in told if key[1] == target]:
                del told[key]

    def shared(self, target: TargetIncarnation, now: float) -> list[PartUse]:
        """Return the parts that a target has and that any request may share.

        Parameters
        ----------
        target : TargetIncarnation
            The incarnation of the target.
        now : float
            Present time in seconds.

        Returns
        -------
        list[PartUse]
            Their last uses that are known, the least recent first.
        """
        holder = self._holders.get(target)
        if holder is None:
            return []
        return [
            PartUse(name, target, part.tokens, part.used_at)
            for name, part in holder.parts.items()
            if part.is_shared and now - part.used_at <= HELD_SECONDS
        ]

    def held(
        self, target: TargetIncarnation, parts: Iterable[PromptPart], now: float
    ) -> int:
        """Return how many leading tokens a target need not read.

        Parameters
        ----------
        target : str
            The target.
        parts : Iterable[PromptPart]
            Parts in order.
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Tokens of the parts up to the first that it does not have.
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
            # A part that was used lately was used with all before it.
            if now - found.used_at <= HELD_SECONDS:
                usable = tokens
        return usable
