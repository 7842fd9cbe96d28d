"""State and answer of one call in an agent, from its arrival to its end.

A call waits in the queue, claims its idempotency key if it has one, runs at the
target, and its answer is sent to the router.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.connection.wire.ttypes import Reason
from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.answer.answer_buffer import AnswerBuffer
from primrosescale.request.answer.answer_check import answer_digest
from primrosescale.request.attempt.local_target_client import TargetReceiver
from primrosescale.request.exceptions import AnswerCutError
from primrosescale.request.target.retry_after import requested_pause

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.connection.link import Link
    from primrosescale.request.attempt.call_id_registry import CallId
    from primrosescale.request.attempt.local_target_client import TargetRun
    from primrosescale.request.capacity.fair_queue import QueuedCall
    from primrosescale.request.claim import Claim

MILLISECONDS_PER_SECOND = 1000
RETRY_AFTER_HEADER = "retry-after"


@dataclass(frozen=True, slots=True)
class StreamSettings:
    """How agents send answers."""

    window: int = option(
        COUNT,
        "maximum bytes sent beyond what the router has acknowledged",
        256 * 1024,
    )
    keep: int = option(
        COUNT,
        "bytes of an answer retained for a router that resumes",
        256 * 1024,
    )
    piece: int = option(
        COUNT,
        "maximum bytes of one chunk",
        64 * 1024,
    )
    whole_limit: int = option(
        COUNT,
        "maximum bytes of an unstreamed answer that is sent in one message",
        64 * 1024,
    )
    coalesce: float = option(
        SECONDS,
        "seconds for which bytes are collected into one chunk",
        0.03,
    )


class CallPhase(Enum):
    """Phase of a call in its agent."""

    WAITING = "waiting"
    CLAIMING = "claiming"
    RUNNING = "running"
    ENDED = "ended"


class AgentCall(TargetReceiver):
    """A call that an agent has accepted.

    Parameters
    ----------
    call_id : CallId
        Identifier of the call.
    call : wire.Call
        The call as received from the router.
    link : Link
        Connection on which it is answered.
    deadline : float
        Time at which its caller stops waiting, in seconds.
    settings : StreamSettings
        How the answer is sent.
    on_end : Callable[[AgentCall, bool], None]
        Called once when the call has ended, with whether it has a complete answer.
    on_data : Callable[[AgentCall], None]
        Called when there are bytes to send.
    load : Callable[[], int]
        Returns the outstanding work units of the agent.
    """

    __slots__ = (
        "_buffer",
        "_cached_tokens",
        "_call",
        "_call_id",
        "_claim",
        "_deadline",
        "_failure",
        "_head",
        "_head_sent",
        "_is_paused",
        "_is_replay",
        "_link",
        "_load",
        "_on_data",
        "_on_end",
        "_phase",
        "_requested_pause",
        "_run",
        "_settings",
        "deadline_timer",
        "first_byte_at",
        "queued",
        "started_at",
    )

    def __init__(
        self,
        call_id: CallId,
        call: wire.Call,
        link: Link,
        deadline: float,
        settings: StreamSettings,
        on_end: Callable[[AgentCall, bool], None],
        on_data: Callable[[AgentCall], None],
        load: Callable[[], int],
    ) -> None:
        self._load = load
        self._call_id = call_id
        self._call = call
        self._link: Link | None = link
        self._deadline = deadline
        self._settings = settings
        self._on_end = on_end
        self._on_data = on_data
        self._phase = CallPhase.WAITING
        self._buffer = AnswerBuffer(settings.window, settings.keep)
        self._head: wire.AnswerHead | None = None
        self._requested_pause: float | None = None
        self._head_sent = False
        self._cached_tokens = 0
        self._failure: wire.CallFailed | None = None
        self._run: TargetRun | None = None
        self._claim: Claim | None = None
        self._is_paused = False
        self._is_replay = False
        self.queued: QueuedCall[AgentCall] | None = None
        self.deadline_timer: Timer | None = None
        self.started_at = 0.0
        self.first_byte_at = 0.0

    @property
    def call_id(self) -> CallId:
        """Return the identifier of the call."""
        return self._call_id

    @property
    def call(self) -> wire.Call:
        """Return the call as received from the router."""
        return self._call

    @property
    def link(self) -> Link | None:
        """Return the connection on which the call is answered, if it is open."""
        return self._link

    @property
    def deadline(self) -> float:
        """Return the time at which the caller stops waiting, in seconds."""
        return self._deadline

    @property
    def phase(self) -> CallPhase:
        """Return the phase of the call."""
        return self._phase

    @property
    def claim(self) -> Claim | None:
        """Return the call's claim on its idempotency key, if it has one."""
        return self._claim

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes of the answer held in memory."""
        return self._buffer.buffered_bytes

    @property
    def length(self) -> int:
        """Return the number of bytes of the answer so far."""
        return self._buffer.length

    @property
    def cached_tokens(self) -> int:
        """Return the number of prompt tokens read from the target's cache."""
        return self._cached_tokens

    @property
    def is_replay(self) -> bool:
        """Return whether the answer is the recorded one of an earlier run."""
        return self._is_replay

    @property
    def failure(self) -> wire.CallFailed | None:
        """Return the failure sent to the router, if the call has failed."""
        return self._failure

    @property
    def status(self) -> int:
        """Return the HTTP status of the answer; 0 before it has arrived."""
        return 0 if self._head is None else self._head.status

    @property
    def requested_pause(self) -> float | None:
        """Return the pause in seconds that the target requested, if it did."""
        return self._requested_pause

    def begin_claim(self, claim: Claim) -> None:
        """Record that the call's idempotency key is being claimed.

        Parameters
        ----------
        claim : Claim
            The claim.
        """
        self._phase = CallPhase.CLAIMING
        self._claim = claim

    def begin_run(self, run: TargetRun) -> None:
        """Record the request at the target.

        Parameters
        ----------
        run : TargetRun
            The request in progress.
        """
        if self._phase is not CallPhase.ENDED:
            self._run = run

    def mark_running(self) -> None:
        """Record that the call may have run from now on."""
        self._phase = CallPhase.RUNNING

    def stored_answer(self, limit: int) -> wire.StoredAnswer:
        """Return the answer in the form stored in the ledger.

        Parameters
        ----------
        limit : int
            Maximum size of the body in bytes.

        Returns
        -------
        wire.StoredAnswer
            The answer; its body is empty when it exceeds the limit or is no longer
            completely in memory.
        """
        head = self._head
        body = self._buffer.snapshot()
        is_complete = body is not None and len(body) <= limit
        return wire.StoredAnswer(
            status=0 if head is None else head.status,
            headers=[] if head is None else head.headers,
            body=body if body is not None and is_complete else b"",
            whole=is_complete,
        )

    def replay(self, answer: wire.StoredAnswer) -> None:
        """Answer with the recorded answer of an earlier call with the same key.

        Parameters
        ----------
        answer : wire.StoredAnswer
            The recorded answer.
        """
        self._is_replay = True
        replayed = wire.Header("Idempotent-Replayed", "true")
        self.target_head(answer.status, [*answer.headers, replayed])
        self.target_data(answer.body)
        self.target_done(0)

    def fail(
        self,
        outcome: Outcome,
        reason: Reason,
        detail: str = "",
        retry_after: float = 0.0,
    ) -> None:
        """End the call without an answer and report the failure to the router.

        Parameters
        ----------
        outcome : Outcome
            Whether the call may have run.
        reason : Reason
            Cause of the failure.
        detail : str
            Human-readable description.
        retry_after : float
            Seconds after which a retry may succeed.
        """
        if self._phase is CallPhase.ENDED:
            return
        run, self._run = self._run, None
        if run is not None:
            run.cancel()
        self._failure = wire.CallFailed(
            router=self._call_id.router,
            number=self._call_id.number,
            outcome=outcome,
            reason=reason,
            retry_after_ms=int(retry_after * MILLISECONDS_PER_SECOND),
            place="",
            detail=detail,
            load=self._load(),
        )
        self._finish(is_answered=False)
        self._send(self._failure)

    def target_head(self, status: int, headers: list[wire.Header]) -> None:
        """Store the status and headers of the target's answer."""
        if self._phase is CallPhase.ENDED:
            return
        call_id = self._call_id
        self._head = wire.AnswerHead(call_id.router, call_id.number, status, headers)
        values = [
            header.value
            for header in headers
            if header.name.lower() == RETRY_AFTER_HEADER
        ]
        self._requested_pause = requested_pause(status, values)

    def target_data(self, data: bytes) -> None:
        """Buffer bytes; stop reading when two windows of them are unacknowledged."""
        if self._phase is CallPhase.ENDED:
            return
        self._buffer.append(data)
        if self._buffer.backlog > 2 * self._settings.window and self._run is not None:
            self._is_paused = True
            self._run.pause()
        self._on_data(self)

    def target_done(self, cached_tokens: int) -> None:
        """End the call with the target's complete answer."""
        if self._phase is CallPhase.ENDED:
            return
        self._run = None
        self._cached_tokens = cached_tokens
        self._buffer.end()
        self._finish(is_answered=True)
        if self._fits_one_message():
            self._send_in_one_message()
            return
        self.flush()

    def target_failed(self, outcome: Outcome, detail: str) -> None:
        """End the call because the target gave no complete answer."""
        self._run = None
        self.fail(outcome, Reason.TARGET_FAILED, detail)

    def credit(self, offset: int) -> None:
        """Record how much of the answer the router has received.

        Parameters
        ----------
        offset : int
            Number of bytes received.
        """
        self._buffer.credit(offset)
        if self._is_paused and self._buffer.backlog <= self._settings.window:
            self._is_paused = False
            if self._run is not None:
                self._run.resume()
        self.flush()

    def resume(self, link: Link, offset: int) -> None:
        """Continue answering on another connection.

        Parameters
        ----------
        link : Link
            The new connection.
        offset : int
            Number of bytes that the router has received.
        """
        self._link = link
        if self._failure is not None:
            self._send(self._failure)
            return
        try:
            self._buffer.resume(offset)
        except AnswerCutError as error:
            call_id = self._call_id
            self._send(
                wire.CallFailed(
                    router=call_id.router,
                    number=call_id.number,
                    outcome=Outcome.UNKNOWN,
                    reason=Reason.ANSWER_EVICTED,
                    retry_after_ms=0,
                    place="",
                    detail=str(error),
                    load=self._load(),
                ),
            )
            return
        self._head_sent = False
        self.flush()

    def detach(self, link: Link) -> None:
        """Stop sending on a connection that was lost; the call continues.

        Parameters
        ----------
        link : Link
            The lost connection.
        """
        if self._link is link:
            self._link = None

    def flush(self) -> None:
        """Send all bytes that the window allows, and the end after the last byte."""
        if self._link is None or self._head is None:
            return
        if not self._head_sent:
            self._head_sent = True
            self._send(self._head)
        call_id = self._call_id
        chunk = self._buffer.take(self._settings.piece)
        while chunk is not None:
            self._send(
                wire.AnswerChunk(
                    call_id.router, call_id.number, chunk.offset, chunk.data
                ),
            )
            chunk = self._buffer.take(self._settings.piece)
        if self._buffer.is_ended and self._buffer.is_sent:
            self._send_end()

    def _fits_one_message(self) -> bool:
        if self._link is None or self._head is None or self._head_sent:
            return False
        return self._buffer.length <= self._settings.whole_limit

    def _send_in_one_message(self) -> None:
        head = self._head
        body = self._buffer.snapshot()
        if head is None or body is None:
            return
        self._head_sent = True
        self._buffer.take(self._buffer.length)
        self._send(
            wire.Answer(
                head.router,
                head.number,
                head.status,
                head.headers,
                body,
                answer_digest(body),
                self._cached_tokens,
                self._load(),
            ),
        )

    def _send_end(self) -> None:
        call_id = self._call_id
        buffer = self._buffer
        self._send(
            wire.AnswerEnd(
                call_id.router,
                call_id.number,
                buffer.length,
                buffer.digest,
                self._cached_tokens,
                self._load(),
            ),
        )

    def _send(
        self,
        message: wire.Answer
        | wire.AnswerHead
        | wire.AnswerChunk
        | wire.AnswerEnd
        | wire.CallFailed,
    ) -> None:
        if self._link is not None:
            self._link.send(message)

    def _finish(self, *, is_answered: bool) -> None:
        self._phase = CallPhase.ENDED
        timer, self.deadline_timer = self.deadline_timer, None
        cancel_timer(timer)
        self._on_end(self, is_answered)
