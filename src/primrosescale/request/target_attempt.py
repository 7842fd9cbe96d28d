"""One request at one target: what comes of it, and what was not passed on yet."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.event_stream import EventSplitter
from primrosescale.request.forwarding_interfaces import ResponseObserver

if TYPE_CHECKING:
    from primrosescale.request.event_stream import StreamEvent
    from primrosescale.request.forwarding_interfaces import AnswerHead
    from primrosescale.request.forwarding_interfaces import InFlightRequest
    from primrosescale.request.forwarding_interfaces import OutgoingRequest
    from primrosescale.request.forwarding_interfaces import TargetClient
    from primrosescale.request.target_incarnation import TargetIncarnation
    from primrosescale.request.target_state import TargetState
    from primrosescale.request.trace_span import TraceSpan

RUNNING = "running"


@dataclass(slots=True)
class AttemptRecord:
    """What became of a request at one target, for the log.

    Parameters
    ----------
    target : str
        The target.
    began_at : float
        Seconds.
    load : float
        Requests there by the best knowledge.
    mean : float
        Mean load that the target's was held against.
    load_age : float
        How old the knowledge of other routers' requests was, in seconds.
    held : int
        Leading tokens that it was taken to have cached.
    is_home : bool
        Whether other routers expect the prompt there without being told.
    fetched_from : str
        Target whose cache was to be copied; empty for none.
    outcome : str
        How it ended.
    ended_at : float | None
        Seconds; None while it runs.
    passed_cold : int
        Cold targets that were passed over.
    passed_resting : int
        Targets that were passed over since they had asked for a rest.
    said_leaving : bool
        Whether its answer said that the target leaves.
    asked_rest : float | None
        Seconds for which its answer asked for no more requests.
    is_rest_odd : bool
        Whether it asked in a way that had to be bounded, or could not be read.
    """

    target: str
    began_at: float
    load: float
    mean: float
    load_age: float
    held: int
    is_home: bool
    fetched_from: str
    outcome: str = RUNNING
    ended_at: float | None = None
    passed_cold: int = 0
    passed_resting: int = 0
    said_leaving: bool = False
    asked_rest: float | None = None
    is_rest_odd: bool = False


class AttemptListener(ABC):
    """Decides about a request by what its attempts tell."""

    @abstractmethod
    def attempt_sent(self, attempt: TargetAttempt) -> None:
        """Handle that the request goes out: from here on it may run.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        """

    @abstractmethod
    def attempt_not_sent(self, attempt: TargetAttempt, detail: str) -> None:
        """Handle that nothing was sent.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        detail : str
            Why.
        """

    @abstractmethod
    def attempt_head(self, attempt: TargetAttempt, head: AnswerHead) -> None:
        """Handle the head of an answer.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        head : AnswerHead
            The head.
        """

    @abstractmethod
    def attempt_data(self, attempt: TargetAttempt, data: bytes) -> None:
        """Handle bytes of an answer's body.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        data : bytes
            The bytes.
        """

    @abstractmethod
    def attempt_done(self, attempt: TargetAttempt) -> None:
        """Handle that an answer is whole.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        """

    @abstractmethod
    def attempt_cut(self, attempt: TargetAttempt, detail: str) -> None:
        """Handle that an answer ended early or never came.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        detail : str
            Why.
        """


class TargetAttempt(ResponseObserver):
    """One request at one target.

    Parameters
    ----------
    listener : AttemptListener
        Told of what becomes of it, until it is left.
    state : TargetState
        What is known of the target.
    record : AttemptRecord
        Its entry for the log.
    span : TraceSpan
        Its span.
    """

    __slots__ = (
        "_held",
        "_held_bytes",
        "_is_at_target",
        "_is_held_up",
        "_is_over",
        "_listener",
        "_record",
        "_run",
        "_span",
        "_splitter",
        "_state",
        "head",
    )

    def __init__(
        self,
        listener: AttemptListener,
        state: TargetState,
        record: AttemptRecord,
        span: TraceSpan,
    ) -> None:
        self._listener = listener
        self._state = state
        self._record = record
        self._span = span
        self._run: InFlightRequest | None = None
        self._is_at_target = False
        self._is_held_up = False
        self._is_over = False
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._splitter = EventSplitter()
        self.head: AnswerHead | None = None

    @property
    def is_home(self) -> bool:
        """Tell whether other routers expect the prompt at its target."""
        return self._record.is_home

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self._record.target

    @property
    def incarnation(self) -> TargetIncarnation:
        """Return the incarnation of the target that it was sent to."""
        return self._state.incarnation

    @property
    def state(self) -> TargetState:
        """Return what is known of the target."""
        return self._state

    @property
    def began_at(self) -> float:
        """Return when it began, in seconds."""
        return self._record.began_at

    @property
    def traceparent(self) -> str:
        """Return the trace context for the target; empty for none."""
        return self._span.traceparent

    @property
    def is_at_target(self) -> bool:
        """Tell whether the request was sent and may run."""
        return self._is_at_target

    @property
    def is_inside_event(self) -> bool:
        """Tell whether the last event that came has not ended."""
        return bool(self._splitter.rest)

    @property
    def held_bytes(self) -> int:
        """Return how much of the body is held back."""
        return self._held_bytes

    def begin(self, caller: TargetClient, sending: OutgoingRequest, now: float) -> None:
        """Send the request.

        Parameters
        ----------
        caller : TargetClient
            Sends requests to targets.
        sending : OutgoingRequest
            The request.
        now : float
            Present time in seconds.
        """
        self._state.sent(now)
        run = caller.send(sending, self)
        if self._is_over:
            run.cancel()
        else:
            self._run = run

    def leave(self, outcome: str, now: float, *, is_whole: bool = False) -> None:
        """End what goes on at the target; nothing more is told of it.

        Parameters
        ----------
        outcome : str
            How it ended.
        now : float
            Present time in seconds.
        is_whole : bool
            Whether its answer is whole, so that the connection can be kept.
        """
        if self._is_over:
            return
        self._is_over = True
        self._record.outcome = outcome
        self._record.ended_at = now
        self._span.end(target=self.name, outcome=outcome)
        if self._is_held_up:
            self._state.resume_reading(now)
        self._state.ended()
        if self._run is not None and not is_whole:
            self._run.cancel()

    def pause(self) -> None:
        """Take no more bytes for a while, since the caller takes none."""
        if self._is_over or self._is_held_up:
            return
        self._is_held_up = True
        self._state.pause_reading()
        if self._run is not None:
            self._run.pause()

    def resume(self, now: float) -> None:
        """Take bytes again.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if self._is_over or not self._is_held_up:
            return
        self._is_held_up = False
        self._state.resume_reading(now)
        if self._run is not None:
            self._run.resume()

    def hold(self, data: bytes) -> None:
        """Hold bytes of the body back.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        self._held.append(data)
        self._held_bytes += len(data)

    def take_held(self) -> list[bytes]:
        """Return what was held back, once."""
        held, self._held = self._held, []
        self._held_bytes = 0
        return held

    def split(self, data: bytes) -> list[StreamEvent]:
        """Return the events of a stream that are whole now.

        Parameters
        ----------
        data : bytes
            The next bytes of the stream.

        Returns
        -------
        list[StreamEvent]
            The events, in order.

        Raises
        ------
        ValueError
            When an event is longer than any that is expected.
        """
        return self._splitter.feed(data)

    def request_sent(self) -> None:
        """Tell that it goes out; see `ResponseObserver.request_sent`."""
        self._is_at_target = True
        if not self._is_over:
            self._listener.attempt_sent(self)

    def request_not_sent(self, detail: str) -> None:
        """Tell that nothing was sent; see `ResponseObserver.request_not_sent`."""
        if not self._is_over:
            self._listener.attempt_not_sent(self, detail)

    def response_head(self, head: AnswerHead) -> None:
        """Tell of the head; see `ResponseObserver.response_head`."""
        if self._is_over:
            return
        self._record.said_leaving = head.is_leaving
        self._record.asked_rest = head.rest
        self._record.is_rest_odd = head.is_rest_odd
        self._listener.attempt_head(self, head)

    def response_data(self, data: bytes) -> None:
        """Tell of bytes; see `ResponseObserver.response_data`."""
        if not self._is_over:
            self._listener.attempt_data(self, data)

    def response_done(self) -> None:
        """Tell that the answer is whole; see `ResponseObserver.response_done`."""
        if not self._is_over:
            self._listener.attempt_done(self)

    def response_lost(self, detail: str) -> None:
        """Tell that the answer ended early; see `ResponseObserver.response_lost`."""
        if not self._is_over:
            self._listener.attempt_cut(self, detail)
