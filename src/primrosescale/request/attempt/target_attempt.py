"""One attempt of a request at one target: its progress, buffer and log record."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.answer.event_stream import EventSplitter
from primrosescale.request.answer.head_check import OTHER_ANSWER
from primrosescale.request.attempt.forwarding_interfaces import ResponseObserver
from primrosescale.request.harm.answer_beginning import AnswerBeginning

if TYPE_CHECKING:
    from primrosescale.request.answer.event_stream import StreamEvent
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
    from primrosescale.request.attempt.forwarding_interfaces import InFlightRequest
    from primrosescale.request.attempt.forwarding_interfaces import OutgoingRequest
    from primrosescale.request.attempt.forwarding_interfaces import TargetClient
    from primrosescale.request.choice.target_choice import Choice
    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import LoadReport
    from primrosescale.request.target.target_state import TargetState
    from primrosescale.request.target.target_work import OpenPrefill
    from primrosescale.request.trace_span import TraceSpan

RUNNING = "running"
# An error is answered without prefilling the prompt.
MIN_ERROR_STATUS = 400


@dataclass(slots=True)
class AttemptRecord:
    """Log record of one attempt of a request at one target.

    Parameters
    ----------
    target : str
        Name of the target.
    began_at : float
        When it began, in seconds.
    load : float
        Estimated number of requests at the target when it was chosen.
    mean : float
        Mean load of the targets of the service, which its load was compared with.
    load_age : float
        Age in seconds of the information about other routers' requests.
    held : int
        Leading tokens of the prompt that it was assumed to have cached.
    is_home : bool
        Whether it is the home target of the prompt, where other routers expect the
        prompt to be cached without a report.
    fetched_from : str
        Target whose cache was to be copied; empty for none.
    outcome : str
        How it ended.
    ended_at : float | None
        When it ended, in seconds; None while it runs.
    passed_cold : int
        Number of cold targets passed over because they had no permit left.
    passed_resting : int
        Number of targets passed over because of a pause that they had requested.
    said_leaving : bool
        Whether the answer stated that the target is leaving.
    asked_rest : float | None
        Pause that the answer requested (Retry-After), in seconds.
    is_rest_odd : bool
        Whether that pause had to be bounded or could not be parsed.
    report : LoadReport | None
        Load that the target reported with the answer, if any.
    software_version : str | None
        The software version of the target; empty when not stated, None if the target
        may have been replaced by one of another version.
    resumed_after : int | None
        Id of the last event that the caller had when it began; None for a request
        that started from the beginning.
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
    report: LoadReport | None = None
    software_version: str | None = ""
    resumed_after: int | None = None

    @classmethod
    def of_choice(
        cls, choice: Choice, resumed_after: int | None, now: float
    ) -> AttemptRecord:
        """Return the record of an attempt that begins.

        Parameters
        ----------
        choice : Choice
            The chosen target.
        resumed_after : int | None
            Id of the last event that the caller has; None for none.
        now : float
            Present time in seconds.

        Returns
        -------
        AttemptRecord
            The record.
        """
        source = choice.fetch_from
        return cls(
            choice.state.target.name,
            now,
            round(choice.load, 1),
            round(choice.mean, 1),
            choice.load_age,
            choice.held,
            choice.is_home,
            source.target.name if source is not None else "",
            passed_cold=choice.passed_cold,
            passed_resting=choice.passed_resting,
            software_version=choice.state.target.software_version,
            resumed_after=resumed_after,
        )


class AttemptListener(ABC):
    """Receives the progress of a request's attempts and decides how to proceed."""

    @abstractmethod
    def attempt_sent(self, attempt: TargetAttempt) -> None:
        """Handle that the request is being sent: from now on it may run.

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
        """Handle the status and headers of an answer.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        head : AnswerHead
            The head.
        """

    @abstractmethod
    def attempt_data(self, attempt: TargetAttempt, data: bytes) -> None:
        """Handle bytes of an answer body.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        data : bytes
            The bytes.
        """

    @abstractmethod
    def attempt_done(self, attempt: TargetAttempt) -> None:
        """Handle that an answer is complete.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        """

    @abstractmethod
    def attempt_cut(self, attempt: TargetAttempt, detail: str) -> None:
        """Handle that an answer was truncated or never arrived.

        Parameters
        ----------
        attempt : TargetAttempt
            The attempt.
        detail : str
            Why.
        """


class TargetAttempt(ResponseObserver):
    """One attempt of a request at one target.

    Parameters
    ----------
    listener : AttemptListener
        Receives its progress until it is closed.
    state : TargetState
        What is known of the target.
    record : AttemptRecord
        Its record for the log.
    span : TraceSpan
        Its span.
    prefill : OpenPrefill | None
        Counts its uncached tokens at the target; None if they are not counted.
    """

    __slots__ = (
        "_beginning",
        "_buffered",
        "_buffered_bytes",
        "_in_flight",
        "_is_complete",
        "_is_over",
        "_is_paused",
        "_listener",
        "_prefill",
        "_record",
        "_span",
        "_splitter",
        "_state",
        "_was_sent",
        "_without_answer",
        "head",
    )

    def __init__(
        self,
        listener: AttemptListener,
        state: TargetState,
        record: AttemptRecord,
        span: TraceSpan,
        prefill: OpenPrefill | None = None,
    ) -> None:
        self._listener = listener
        self._prefill = prefill
        self._state = state
        self._record = record
        self._span = span
        self._in_flight: InFlightRequest | None = None
        self._request_id = ""
        self._was_sent = False
        self._is_paused = False
        self._is_over = False
        self._is_complete = False
        self._without_answer = False
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._splitter = EventSplitter()
        self._beginning = AnswerBeginning()
        self.head: AnswerHead | None = None

    @property
    def is_home(self) -> bool:
        """Return whether its target is the home target of the prompt."""
        return self._record.is_home

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self._record.target

    @property
    def software_version(self) -> str | None:
        """Return the software version of the target; None if it is uncertain."""
        return self._record.software_version

    @property
    def continues_stream(self) -> bool:
        """Return whether the caller had events of the stream when it began."""
        return self._record.resumed_after is not None

    @property
    def incarnation(self) -> TargetIncarnation:
        """Return the incarnation of the target that it was sent to."""
        return self._state.incarnation

    @property
    def state(self) -> TargetState:
        """Return what is known of the target."""
        return self._state

    @property
    def answer_began_at(self) -> float | None:
        """Return when the body of the answer began, in seconds; None if it has not."""
        return self._beginning.at

    @property
    def last_received_at(self) -> float | None:
        """Return when bytes of the body were last received, in seconds."""
        return self._beginning.last_at

    @property
    def began_at(self) -> float:
        """Return when it began, in seconds."""
        return self._record.began_at

    @property
    def ended_at(self) -> float | None:
        """Return when it ended, in seconds; None while it runs."""
        return self._record.ended_at

    @property
    def is_complete(self) -> bool:
        """Return whether it has ended with a complete answer."""
        return self._is_complete

    @property
    def is_without_answer(self) -> bool:
        """Return whether the target declined the request or answered with an error."""
        return self._without_answer

    @property
    def traceparent(self) -> str:
        """Return the trace context for the target; empty for none."""
        return self._span.traceparent

    @property
    def was_sent(self) -> bool:
        """Return whether the request was sent and may run."""
        return self._was_sent

    @property
    def is_inside_event(self) -> bool:
        """Return whether the last event received is incomplete."""
        return bool(self._splitter.remainder)

    @property
    def buffered_bytes(self) -> int:
        """Return how many bytes of the body are buffered."""
        return self._buffered_bytes

    def version_uncertain(self) -> None:
        """Record that the target may have had another version when it answered."""
        self._record.software_version = None

    def begin(self, client: TargetClient, sending: OutgoingRequest, now: float) -> None:
        """Send the request.

        Parameters
        ----------
        client : TargetClient
            Sends requests to targets.
        sending : OutgoingRequest
            The request.
        now : float
            Present time in seconds.
        """
        self._request_id = sending.request.request_id
        self._state.sent(now)
        if self._prefill is not None:
            self._prefill.sent(now)
        in_flight = client.send(sending, self)
        if self._is_over:
            in_flight.cancel()
        else:
            self._in_flight = in_flight

    def close(self, outcome: str, now: float, *, is_complete: bool = False) -> None:
        """End the attempt; the listener is not called again.

        Parameters
        ----------
        outcome : str
            How it ended.
        now : float
            Present time in seconds.
        is_complete : bool
            Whether its answer is complete, so that the connection can be reused.
        """
        if self._is_over:
            return
        self._is_over = True
        self._is_complete = is_complete
        self._record.outcome = outcome
        self._record.ended_at = now
        self._span.end(target=self.name, outcome=outcome)
        if self._is_paused:
            self._state.resume_reading(now)
        self._state.ended()
        if self._prefill is not None:
            self._prefill.ended(now)
        if self._in_flight is not None and not is_complete:
            self._in_flight.cancel()
        self.take_buffered()

    def pause(self) -> None:
        """Stop reading the answer while the caller is not reading."""
        if self._is_over or self._is_paused:
            return
        self._is_paused = True
        self._state.pause_reading()
        if self._in_flight is not None:
            self._in_flight.pause()

    def resume(self, now: float) -> None:
        """Read the answer again.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if self._is_over or not self._is_paused:
            return
        self._is_paused = False
        self._beginning.resumed(now)
        self._state.resume_reading(now)
        if self._in_flight is not None:
            self._in_flight.resume()

    def bytes_received(self, now: float) -> bool:
        """Record that bytes of the body were received.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether a success has outlived one more stage of its beginning.
        """
        self._state.bytes_received(now)
        prefill, self._prefill = self._prefill, None
        is_answer = self.head is not None and self.head.status < MIN_ERROR_STATUS
        if prefill is not None and is_answer:
            prefill.answered(now)
        elif prefill is not None:
            prefill.ended(now)
        return self._beginning.received(now) and is_answer

    def buffer(self, data: bytes) -> None:
        """Buffer bytes of the body that are not sent to the caller yet.

        Parameters
        ----------
        data : bytes
            The bytes.
        """
        self._buffered.append(data)
        self._buffered_bytes += len(data)

    def take_buffered(self) -> list[bytes]:
        """Remove and return the buffered part of the body."""
        buffered, self._buffered = self._buffered, []
        self._buffered_bytes = 0
        return buffered

    def split(self, data: bytes) -> list[StreamEvent]:
        """Return the events of a stream that are complete now.

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
            When an event is too long; see `EventSplitter.feed`.
        """
        return self._splitter.feed(data)

    def request_sent(self) -> None:
        """Report that it is being sent; see `ResponseObserver.request_sent`."""
        self._was_sent = True
        if not self._is_over:
            self._listener.attempt_sent(self)

    def request_not_sent(self, detail: str) -> None:
        """Report that nothing was sent; see `ResponseObserver.request_not_sent`."""
        if not self._is_over:
            self._listener.attempt_not_sent(self, detail)

    def response_head(self, head: AnswerHead) -> None:
        """Report the status and headers; see `ResponseObserver.response_head`."""
        if self._is_over:
            return
        if head.request_id != self._request_id:
            # Whatever it states, the request may be running.
            self._listener.attempt_cut(self, OTHER_ANSWER)
            return
        is_error = head.status >= MIN_ERROR_STATUS
        self._without_answer = is_error or head.is_not_run
        self._record.said_leaving = head.is_leaving
        self._record.asked_rest = head.rest
        self._record.is_rest_odd = head.is_rest_odd
        self._record.report = head.load
        self._listener.attempt_head(self, head)

    def response_data(self, data: bytes) -> None:
        """Report bytes of the body; see `ResponseObserver.response_data`."""
        if not self._is_over:
            self._listener.attempt_data(self, data)

    def response_done(self) -> None:
        """Report that the answer is complete; see `ResponseObserver.response_done`."""
        if not self._is_over:
            self._listener.attempt_done(self)

    def response_lost(self, detail: str) -> None:
        """Report a truncated answer; see `ResponseObserver.response_lost`."""
        if not self._is_over:
            self._listener.attempt_cut(self, detail)
