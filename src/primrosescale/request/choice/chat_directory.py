"""Records which target's cache holds the prompt prefix of a chat."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass


@dataclass(slots=True)
class ChatRecord:
    """Where a chat was last served.

    Parameters
    ----------
    place : str
        Name of the target that last served the chat.
    tokens : int
        Number of tokens of its prompt and answer; 0 when another agent's target
        served it.
    served_at : float
        Time at which it was served, in seconds.
    """

    place: str
    tokens: int
    served_at: float


class ChatDirectory:
    """Bounded map from chats to targets, evicting the least recently served chats.

    Parameters
    ----------
    limit : int
        Maximum number of chats.
    keep : float
        Seconds after which a record expires.
    """

    def __init__(self, limit: int, keep: float) -> None:
        self._limit = limit
        self._keep = keep
        self._records: OrderedDict[str, ChatRecord] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of recorded chats."""
        return len(self._records)

    def find(self, chat: str, now: float) -> ChatRecord | None:
        """Return the record of a chat.

        Parameters
        ----------
        chat : str
            The chat.
        now : float
            Current time in seconds.

        Returns
        -------
        ChatRecord | None
            The record; None when there is none or it has expired.
        """
        record = self._records.get(chat)
        if record is None:
            return None
        if now - record.served_at > self._keep:
            del self._records[chat]
            return None
        return record

    def record_served(
        self, chat: str, target_name: str, tokens: int, now: float
    ) -> None:
        """Record the target that served a chat.

        Parameters
        ----------
        chat : str
            The chat.
        target_name : str
            Name of the target.
        tokens : int
            Number of tokens in its cache; 0 when it is another agent's target.
        now : float
            Current time in seconds.
        """
        self._records[chat] = ChatRecord(target_name, tokens, now)
        self._records.move_to_end(chat)
        while len(self._records) > self._limit:
            self._records.popitem(last=False)

    def forget(self, chat: str) -> None:
        """Remove the record of a chat.

        Parameters
        ----------
        chat : str
            The chat.
        """
        self._records.pop(chat, None)

    def most_recent(self, target_name: str, count: int) -> list[str]:
        """Return the chats that a target served most recently.

        Parameters
        ----------
        target_name : str
            Name of the target.
        count : int
            Maximum number of chats.

        Returns
        -------
        list[str]
            Chats, the most recent first.
        """
        found: list[str] = []
        for chat in reversed(self._records):
            if self._records[chat].place == target_name:
                found.append(chat)
            if len(found) >= count:
                break
        return found
