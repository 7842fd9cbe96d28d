"""Relays an answer to its caller and tracks how much of it the caller has.

A stream may come from several targets in turn. Its head is sent once, and events
that the caller has already received are skipped.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.answer.event_stream import StreamEvent
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
    from primrosescale.request.attempt.forwarding_interfaces import CallerSink
    from primrosescale.request.attempt.forwarding_interfaces import Refusal


class AnswerRelay:
    """Sends an answer to its caller, whichever targets it comes from.

    Parameters
    ----------
    sink : CallerSink
        Sends it to the caller.
    last_event : int | None
        Id of the event after which the caller wants a stream to resume.
    """

    __slots__ = ("_first_byte_at", "_has_begun", "_is_stream", "_last_event", "_sink")

    def __init__(self, sink: CallerSink, last_event: int | None) -> None:
        self._sink = sink
        self._last_event = last_event
        self._has_begun = False
        self._is_stream = False
        self._first_byte_at: float | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether a head was sent to the caller."""
        return self._has_begun

    @property
    def is_stream(self) -> bool:
        """Return whether the head of a stream was sent to the caller."""
        return self._is_stream

    @property
    def last_event(self) -> int | None:
        """Return the id of the last event that the caller has, if any."""
        return self._last_event

    @property
    def first_byte_at(self) -> float | None:
        """Return when the first byte was sent to the caller, in seconds."""
        return self._first_byte_at

    def begin_stream(self, head: AnswerHead) -> None:
        """Send the head of a stream, once; heads of later targets are ignored.

        Parameters
        ----------
        head : AnswerHead
            Status and headers from the target.
        """
        if not self._has_begun:
            self._has_begun = True
            self._is_stream = True
            self._sink.begin(head)

    def pass_events(self, events: list[StreamEvent], now: float) -> bool:
        """Send the events that the caller has not received yet.

        Parameters
        ----------
        events : list[StreamEvent]
            Complete events, in order.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether any was sent.
        """
        unsent = []
        for event in events:
            if event.number is not None:
                if self._last_event is not None and event.number <= self._last_event:
                    continue
                self._last_event = event.number
            unsent.append(event.data)
        if not unsent:
            return False
        self._record_first_byte(now)
        self._sink.write(b"".join(unsent))
        return True

    def begin(self, head: AnswerHead, buffered: list[bytes], now: float) -> None:
        """Send the head of a plain answer and the buffered part of its body.

        Parameters
        ----------
        head : AnswerHead
            Status and headers from the target.
        buffered : list[bytes]
            Bytes of the body received so far.
        now : float
            Present time in seconds.
        """
        self._has_begun = True
        self._record_first_byte(now)
        self._sink.begin(head)
        if buffered:
            self._sink.write(b"".join(buffered))

    def write(self, data: bytes) -> None:
        """Send more of a plain answer.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        self._sink.write(data)

    def finish(self) -> None:
        """End a complete answer."""
        self._sink.finish()

    def abort(self) -> None:
        """Abort the answer so that the caller sees that it is truncated."""
        self._sink.abort()

    def refuse(self, refusal: Refusal, retry_after: float | None) -> None:
        """Send an answer of the router's own.

        Parameters
        ----------
        refusal : Refusal
            Why the request was refused.
        retry_after : float | None
            Seconds after which the caller should try again; None to state no time.
        """
        self._sink.refuse(refusal, retry_after)

    def _record_first_byte(self, now: float) -> None:
        if self._first_byte_at is None:
            self._first_byte_at = now
