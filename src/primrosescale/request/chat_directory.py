"""Where the cache of returning chats lies."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class ChatRecord:
    """What an agent knows of one chat.

    Parameters
    ----------
    place : str
        Target that served the chat last.
    tokens : int
        Tokens of its prompt and answer then; 0 when served elsewhere.
    seen_at : float
        When, in seconds.
    """

    place: str
    tokens: int
    seen_at: float


class ChatDirectory:
    """Bounded memory of chats, the least recently seen forgotten first.

    Parameters
    ----------
    limit : int
        Chats at the most.
    keep : float
        Seconds a record is kept without use.
    """

    def __init__(self, limit: int, keep: float) -> None:
        self._limit = limit
        self._keep = keep
        self._records: OrderedDict[str, ChatRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return how many chats are known."""
        return len(self._records)

    def find(self, chat: str, now: float) -> ChatRecord | None:
        """Return what is known of a chat.

        Parameters
        ----------
        chat : str
            The chat.
        now : float
            Present time in seconds.

        Returns
        -------
        ChatRecord | None
            The record, unless unknown or too old.
        """
        record = self._records.get(chat)
        if record is None:
            return None
        if now - record.seen_at > self._keep:
            del self._records[chat]
            return None
        return record

    def record_served(self, chat: str, place: str, tokens: int, now: float) -> None:
        """Remember where a chat was served.

        Parameters
        ----------
        chat : str
            The chat.
        place : str
            The target.
        tokens : int
            Tokens in its cache; 0 when not this agent's target.
        now : float
            Present time in seconds.
        """
        self._records[chat] = ChatRecord(place, tokens, now)
        self._records.move_to_end(chat)
        while len(self._records) > self._limit:
            self._records.popitem(last=False)

    def forget(self, chat: str) -> None:
        """Forget a chat.

        Parameters
        ----------
        chat : str
            The chat.
        """
        self._records.pop(chat, None)

    def most_recent(self, place: str, count: int) -> list[str]:
        """Return the chats served last at a place.

        Parameters
        ----------
        place : str
            The target.
        count : int
            How many at the most.

        Returns
        -------
        list[str]
            The most recent first.
        """
        found: list[str] = []
        for chat in reversed(self._records):
            if self._records[chat].place == place:
                found.append(chat)
            if len(found) >= count:
                break
        return found
