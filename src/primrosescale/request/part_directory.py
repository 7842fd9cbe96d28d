"""Which target holds which part of a prompt in its cache, as far as known.

The pattern it answers: chats that return. A part that a target has read is
not read again there, so the directory remembers where parts went, from this
router's own requests and from what other routers tell. Targets forget the
least recently used parts when their memory is full, and so does the directory.
What is known is about one life of a target: one that starts again holds nothing.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primrosescale.request.incoming import PromptPart
    from primrosescale.request.target_incarnation import TargetIncarnation

# What was used longer ago is not relied on, whatever the memory: other
# routers' use of it may have gone unheard.
HELD_SECONDS = 60.0
# Of a target's memory. Shared parts of running requests are held once for all,
# and what a router does not hear of (other routers' chats) is left out here.
CACHE_SHARE = 1.0
# Parts remembered for one target whose memory is not known.
MOST_PARTS = 4096


@dataclass(frozen=True, slots=True)
class PartUse:
    """That a target was given a part.

    Parameters
    ----------
    part : str
        The part.
    target : TargetIncarnation
        The life of the target.
    tokens : int
        Its length.
    used_at : float
        When, in seconds.
    """

    part: str
    target: TargetIncarnation
    tokens: int
    used_at: float


class _Holder:
    """What one life of a target is taken to hold, least recently used first."""

    __slots__ = ("parts", "tokens")

    def __init__(self) -> None:
        self.parts: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self.tokens = 0

    def note(self, part: str, tokens: int, used_at: float, capacity: int) -> bool:
        """Take in the use of a part; tell whether it was not held."""
        known = self.parts.pop(part, None)
        if known is not None:
            self.tokens -= known[1]
            used_at = max(used_at, known[0])
        self.parts[part] = (used_at, tokens)
        self.tokens += tokens
        while len(self.parts) > 1 and (
            len(self.parts) > MOST_PARTS or (capacity and self.tokens > capacity)
        ):
            _, (_, dropped) = self.parts.popitem(last=False)
            self.tokens -= dropped
        return known is None


class PartDirectory:
    """Remembers which target has read which part, and when."""

    __slots__ = ("_again", "_capacity", "_holders", "_news")

    def __init__(self) -> None:
        self._again: dict[tuple[str, TargetIncarnation], PartUse] = {}
        self._holders: dict[TargetIncarnation, _Holder] = {}
        self._capacity: dict[TargetIncarnation, int] = {}
        self._news: dict[tuple[str, TargetIncarnation], PartUse] = {}

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

    def note(self, use: PartUse) -> bool:
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
        holder = self._holders.get(use.target)
        if holder is None:
            holder = self._holders[use.target] = _Holder()
        capacity = self._capacity.get(use.target, 0)
        return holder.note(use.part, use.tokens, use.used_at, capacity)

    def note_own(
        self, target: TargetIncarnation, parts: Sequence[PromptPart], now: float
    ) -> bool:
        """Take in that a request of this router went to a target.

        The last part belongs to the request or its chat alone and is no news
        for others.

        Parameters
        ----------
        target : str
            The target.
        parts : Sequence[PromptPart]
            The request's parts.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether some shared part was not known to be there.
        """
        is_new = False
        for place, part in enumerate(parts):
            use = PartUse(part.name, target, part.tokens, now)
            was_unknown = self.note(use)
            if place < len(parts) - 1:
                is_new = was_unknown or is_new
                self._news[(part.name, target)] = use
        return is_new

    def take_news(self) -> list[PartUse]:
        """Return what this router noted since the call before the last.

        All is told twice, since datagrams are lost now and then and a lost one
        costs a prompt that is read again.

        Returns
        -------
        list[PartUse]
            Uses of shared parts.
        """
        news, self._news = self._news, {}
        told = {**self._again, **news}
        self._again = news
        return list(told.values())

    def forget_target(self, target: TargetIncarnation) -> None:
        """Take in that a life of a target has ended with all it held.

        Parameters
        ----------
        target : str
            The target.
        """
        self._holders.pop(target, None)
        self._capacity.pop(target, None)
        for told in (self._news, self._again):
            for key in [key for key in told if key[1] == target]:
                del told[key]

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
        tokens = 0
        for part in parts:
            found = holder.parts.get(part.name)
            if found is None or now - found[0] > HELD_SECONDS:
                break
            tokens += part.tokens
        return tokens
