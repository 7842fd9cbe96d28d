"""Cutting a stream into whole events, so that it can go on elsewhere."""

from __future__ import annotations

from dataclasses import dataclass

BLANK_LINE = b"\n\n"
ID_FIELD = b"id:"
# An event that does not end would be held in memory; the events of the model
# engines of today have some hundred bytes.
LONGEST_EVENT = 256 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    number : int | None
        Its id; None when it has none or one that is no number.
    data : bytes
        All of its bytes, with the blank line that ends it.
    """

    number: int | None
    data: bytes


class EventSplitter:
    """Collects bytes and returns whole events."""

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes of an event that has not ended."""
        return self._rest

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take in bytes.

        Parameters
        ----------
        data : bytes
            The next bytes of the stream.

        Returns
        -------
        list[StreamEvent]
            Events that are whole now, in order.

        Raises
        ------
        ValueError
            When an event is longer than any that is expected.
        """
        text = self._rest + data
        events: list[StreamEvent] = []
        start = 0
        while True:
            end = text.find(BLANK_LINE, start)
            if end < 0:
                break
            end += len(BLANK_LINE)
            piece = text[start:end]
            events.append(StreamEvent(_number(piece), piece))
            start = end
        self._rest = text[start:]
        if len(self._rest) > LONGEST_EVENT:
            raise ValueError(f"event over {LONGEST_EVENT} bytes")
        return events


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
