"""Splits a server-sent event stream into events, each with its id.

A stream that breaks can be resumed at another target after the last complete event.
"""

from __future__ import annotations

from dataclasses import dataclass

BLANK_LINE = b"\n\n"
ID_FIELD = b"id:"
# Limits the memory for an incomplete event. Events of present model engines have a few
# hundred bytes.
MAX_EVENT_BYTES = 256 * 1024


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One event of a stream.

    Parameters
    ----------
    number : int | None
        Its id; None when it has none or one that is not a number.
    data : bytes
        All of its bytes, including the blank line that ends it.
    """

    number: int | None
    data: bytes


class EventSplitter:
    """Buffers bytes of a stream and returns complete events."""

    __slots__ = ("_remainder",)

    def __init__(self) -> None:
        self._remainder = bytearray()

    @property
    def remainder(self) -> bytes:
        """Return the bytes of the last, incomplete event."""
        return bytes(self._remainder)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add bytes of the stream.

        Parameters
        ----------
        data : bytes
            The next bytes of the stream.

        Returns
        -------
        list[StreamEvent]
            Events that are complete now, in order.

        Raises
        ------
        ValueError
            When an event exceeds `MAX_EVENT_BYTES`.
        """
        text = self._remainder
        # What was there before holds no blank line, except for its first half.
        searched = max(0, len(text) - len(BLANK_LINE) + 1)
        text += data
        events: list[StreamEvent] = []
        start = 0
        while True:
            end = text.find(BLANK_LINE, max(start, searched))
            if end < 0:
                break
            end += len(BLANK_LINE)
            piece = bytes(text[start:end])
            events.append(StreamEvent(_number(piece), piece))
            start = end
        del text[:start]
        if len(self._remainder) > MAX_EVENT_BYTES:
            raise ValueError(f"event over {MAX_EVENT_BYTES} bytes")
        return events


def _number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            text = line[len(ID_FIELD) :].strip()
            return int(text) if text.isdigit() else None
    return None
