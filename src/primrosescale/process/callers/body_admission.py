"""Admits long bodies one after the other, as far as there is memory for them.

Room for the whole body is reserved before it is read, so that what was admitted can
be completed. The others wait unread. While some wait, a body that stalls or comes more
slowly than over any usual link loses its room.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.process.callers.guard_settings import GuardSettings


class BodyReceiver(ABC):
    """A connection on which a long body is to be received."""

    @abstractmethod
    def room_granted(self) -> None:
        """Begin to read the body."""

    @abstractmethod
    def room_refused(self) -> None:
        """Refuse the request: its body waited, or took, too long."""


@dataclass(slots=True)
class _Room:
    """Memory for one body.

    Parameters
    ----------
    size : int
        Bytes reserved.
    since : float
        When it was asked for, and then when it was granted, in seconds.
    progressed_at : float
        When bytes of the body were last received, in seconds.
    received : int
        Bytes of the body that were received.
    is_complete : bool
        Whether the body has been received.
    """

    size: int
    since: float
    progressed_at: float
    received: int = 0
    is_complete: bool = False


class BodyAdmission:
    """Decides which long bodies are read.

    Parameters
    ----------
    settings : GuardSettings
        Limits.
    """

    __slots__ = ("_granted", "_refused", "_settings", "_used", "_waiting")

    def __init__(self, settings: GuardSettings) -> None:
        self._settings = settings
        self._granted: dict[BodyReceiver, _Room] = {}
        self._waiting: dict[BodyReceiver, _Room] = {}
        self._used = 0
        self._refused = 0

    @property
    def waiting(self) -> int:
        """Return how many bodies wait."""
        return len(self._waiting)

    @property
    def used(self) -> int:
        """Return the bytes granted."""
        return self._used

    @property
    def refused(self) -> int:
        """Return how many bodies were refused, or lost their room, so far."""
        return self._refused

    def configure(self, settings: GuardSettings) -> None:
        """Replace the limits.

        Parameters
        ----------
        settings : GuardSettings
            Limits.
        """
        self._settings = settings

    def ask(self, receiver: BodyReceiver, size: int, now: float) -> bool | None:
        """Ask for room for a body.

        Parameters
        ----------
        receiver : BodyReceiver
            The connection.
        size : int
            Bytes to be held for the body.
        now : float
            Present time in seconds.

        Returns
        -------
        bool | None
            True if it may be read now, False if it has to wait, and None if too many
            wait already.
        """
        room = _Room(size, now, now)
        if not self._waiting and self._fits(size):
            self._grant(receiver, room, now)
            return True
        if len(self._waiting) >= self._settings.waiting_bodies:
            self._refused += 1
            return None
        self._waiting[receiver] = room
        return False

    def progressed(self, receiver: BodyReceiver, received: int, now: float) -> None:
        """Record that bytes of a body were received.

        Parameters
        ----------
        receiver : BodyReceiver
            The connection.
        received : int
            Bytes of the body that have been received in all.
        now : float
            Present time in seconds.
        """
        room = self._granted.get(receiver)
        if room is not None and received > room.received:
            room.received = received
            room.progressed_at = now

    def completed(self, receiver: BodyReceiver, size: int) -> None:
        """Record that a body was received; its bytes are held until `left`.

        Parameters
        ----------
        receiver : BodyReceiver
            The connection.
        size : int
            Bytes that are held from now on.
        """
        room = self._granted.get(receiver)
        if room is not None:
            room.is_complete = True
            self._used += size - room.size
            room.size = size

    def left(self, receiver: BodyReceiver) -> None:
        """Release the room of a request that has ended.

        Parameters
        ----------
        receiver : BodyReceiver
            The connection.
        """
        self._waiting.pop(receiver, None)
        room = self._granted.pop(receiver, None)
        if room is not None:
            self._used -= room.size

    def update(self, now: float) -> None:
        """End slow bodies while others wait, admit waiting ones, refuse late ones.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if self._waiting:
            granted = self._granted.items()
            self._refuse([item for item, room in granted if self._is_slow(room, now)])
        self._admit(now)
        latest = now - self._settings.wait_seconds
        waiting = self._waiting.items()
        self._refuse([item for item, room in waiting if room.since <= latest])

    def _refuse(self, receivers: list[BodyReceiver]) -> None:
        for receiver in receivers:
            self._refused += 1
            self.left(receiver)
            receiver.room_refused()

    def _admit(self, now: float) -> None:
        while self._waiting:
            receiver, room = next(iter(self._waiting.items()))
            if not self._fits(room.size):
                return
            del self._waiting[receiver]
            self._grant(receiver, room, now)
            receiver.room_granted()

    def _grant(self, receiver: BodyReceiver, room: _Room, now: float) -> None:
        room.since = room.progressed_at = now
        self._granted[receiver] = room
        self._used += room.size

    def _fits(self, size: int) -> bool:
        """Return whether there is room; one body fits whatever its size."""
        return not self._used or self._used + size <= self._settings.body_memory

    def _is_slow(self, room: _Room, now: float) -> bool:
        stall = self._settings.stall_seconds
        if room.is_complete or now - room.since < stall:
            return False
        if now - room.progressed_at >= stall:
            return True
        return room.received < self._settings.body_rate * (now - room.since)
