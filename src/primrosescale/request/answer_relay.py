"""What a caller has got of its answer, and how the rest is handed on."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.event_stream import StreamEvent
    from primrosescale.request.forwarding_interfaces import AnswerHead
    from primrosescale.request.forwarding_interfaces import CallerSink
    from primrosescale.request.forwarding_interfaces import Refusal


class AnswerRelay:
    """Hands an answer on to its caller, whichever targets it comes from.

    Parameters
    ----------
    sink : CallerSink
        The caller.
    last_event : int | None
        Event after which the caller wants a stream to go on.
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
        """Tell whether the caller has got a head."""
        return self._has_begun

    @property
    def is_stream(self) -> bool:
        """Tell whether the caller has got the head of a stream."""
        return self._is_stream

    @property
    def last_event(self) -> int | None:
        """Return the event after which a stream has to go on."""
        return self._last_event

    @property
    def first_byte_at(self) -> float | None:
        """Return when the caller got the first byte, in seconds."""
        return self._first_byte_at

    def begin_stream(self, head: AnswerHead) -> None:
        """Send the head of a stream; that of a later target is not sent.

        Parameters
        ----------
        head : AnswerHead
            The target's head.
        """
        if not self._has_begun:
            self._has_begun = True
            self._is_stream = True
            self._sink.begin(head)

    def pass_events(self, events: list[StreamEvent], now: float) -> bool:
        """Send the events that the caller has not got yet.

        Parameters
        ----------
        events : list[StreamEvent]
            Whole events, in order.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether any was sent.
        """
        passed = []
        for event in events:
            if event.number is not None:
                if self._last_event is not None and event.number <= self._last_event:
                    continue
                self._last_event = event.number
            passed.append(event.data)
        if not passed:
            return False
        self._note_first_byte(now)
        self._sink.write(b"".join(passed))
        return True

    def begin(self, head: AnswerHead, held: list[bytes], now: float) -> None:
        """Send the head of a plain answer, and what was held back of its body.

        Parameters
        ----------
        head : AnswerHead
            The target's head.
        held : list[bytes]
            Bytes that have come of the body.
        now : float
            Present time in seconds.
        """
        self._has_begun = True
        self._note_first_byte(now)
        self._sink.begin(head)
        if held:
            self._sink.write(b"".join(held))

    def write(self, data: bytes) -> None:
        """Send more of a plain answer.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        self._sink.write(data)

    def finish(self) -> None:
        """End the answer as whole."""
        self._sink.finish()

    def abort(self) -> None:
        """End the answer so that it cannot be taken for whole."""
        self._sink.abort()

    def refuse(self, refusal: Refusal, retry_after: float | None) -> None:
        """Send an answer of the router's own.

        Parameters
        ----------
        refusal : Refusal
            Why.
        retry_after : float | None
            Seconds after which asking again is worth it.
        """
        self._sink.refuse(refusal, retry_after)

    def _note_first_byte(self, now: float) -> None:
        if self._first_byte_at is None:
            self._first_byte_at = now
