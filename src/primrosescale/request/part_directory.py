"""Which target holds which part of a prompt in its cache, as far as known.

The pattern it answers: chats that return. A part that a target has read is
not read again there, so the directory remembers where parts went, from this
router's own requests and from what other routers tell.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primrosescale.request.incoming import PromptPart

# Targets forget the least recently used parts. On the deployments of today
# all shared parts of a minute fit into one target's cache.
HELD_SECONDS = 60.0
# At 132 parts a minute on the deployments of today; 16,384 entries of about
# 200 bytes are 3 MB.
MOST_PARTS = 16384


class PartDirectory:
    """Remembers which target has read which part, and when."""

    __slots__ = ("_news", "_parts")

    def __init__(self) -> None:
        self._parts: OrderedDict[str, dict[str, float]] = OrderedDict()
        self._news: dict[tuple[str, str], float] = {}

    def __len__(self) -> int:
        """Return how many parts are known."""
        return len(self._parts)

    def note(self, target: str, part: str, used_at: float) -> bool:
        """Take in that a target has a part.

        Parameters
        ----------
        target : str
            The target.
        part : str
            The part.
        used_at : float
            When it was used there, in seconds.

        Returns
        -------
        bool
            Whether this was not known.
        """
        holders = self._parts.get(part)
        if holders is None:
            holders = self._parts[part] = {}
            if len(self._parts) > MOST_PARTS:
                self._parts.popitem(last=False)
        self._parts.move_to_end(part)
        before = holders.get(target)
        if before is None or used_at > before:
            holders[target] = used_at
        return before is None

    def note_own(self, target: str, parts: Iterable[PromptPart], now: float) -> bool:
        """Take in that a request of this router went to a target.

        Parameters
        ----------
        target : str
            The target.
        parts : Iterable[PromptPart]
            The request's parts.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether some part was not known to be there.
        """
        is_new = False
        for part in parts:
            is_new = self.note(target, part.name, now) or is_new
            self._news[(part.name, target)] = now
        return is_new

    def take_news(self) -> list[tuple[str, str, float]]:
        """Return what this router noted since the last call.

        Returns
        -------
        list[tuple[str, str, float]]
            Part, target, and when it was used in seconds.
        """
        news, self._news = self._news, {}
        return [(part, target, at) for (part, target), at in news.items()]

    def forget_target(self, target: str) -> None:
        """Take in that a target is gone with all it held.

        Parameters
        ----------
        target : str
            The target.
        """
        for holders in self._parts.values():
            holders.pop(target, None)

    def held(self, target: str, parts: Sequence[PromptPart], now: float) -> int:
        """Return how many leading tokens a target need not read.

        Parameters
        ----------
        target : str
            The target.
        parts : Sequence[PromptPart]
            Parts in order.
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Tokens of the parts up to the first that it does not have.
        """
        tokens = 0
        for part in parts:
            used_at = self._parts.get(part.name, {}).get(target)
            if used_at is None or now - used_at > HELD_SECONDS:
                break
            tokens += part.tokens
        return tokens
