"""Runs one call from a router through agents: its attempts, its answer and its end.

When a connection to an agent is lost, the router asks the same agent for the rest
of the answer on a new connection before it counts the attempt as failed.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.connection.wire.ttypes import Reason
from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.answer.answer_check import AnswerCheck
from primrosescale.request.answer.answer_check import answer_digest
from primrosescale.request.answer.answer_check import checked_status
from primrosescale.request.attempt.attempts import AttemptFailure
from primrosescale.request.attempt.attempts import StepKind
from primrosescale.request.exceptions import AnswerCutError

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from primrosescale.clock import Clock
    from primrosescale.clock import Timer
    from primrosescale.connection.codec import Message
    from primrosescale.connection.link import Link
    from primrosescale.request.answer.answer_sink import AnswerSink
    from primrosescale.request.attempt.attempts import AttemptPlan
    from primrosescale.request.attempt.attempts import Step
    from primrosescale.request.call_request import CallRequest
    from primrosescale.request.choice.candidates import Target

MILLISECONDS_PER_SECOND = 1000
FINAL_MESSAGES = (wire.Answer, wire.AnswerEnd, wire.CallFailed)


@dataclass(frozen=True, slots=True)
class RoutedCallSettings:
    """Timeouts and limits of a call in a router."""

    grace: float = option(
        SECONDS,
        "seconds after the deadline for which the agent's final message is awaited",
        0.25,
    )
    resume_attempts: int = option(
        COUNT,
        "maximum number of attempts to resume an answer whose connection was lost",
        2,
    )
    resume_pause: float = option(
        SECONDS,
        "seconds between attempts to resume an answer",
        0.3,
    )
    credit_step: int = option(
        COUNT,
        "bytes of an answer after which its receipt is acknowledged to the agent",
        64 * 1024,
    )


@dataclass(slots=True)
class CallReport:
    """Result of a call, for metrics, logs and limits.

    Parameters
    ----------
    outcome : Outcome
        Whether the call ran.
    reason : Reason | None
        Why there is no complete answer; None when there is one.
    attempts : int
        Number of attempts planned.
    target : str
        Name of the target that answered; empty when none did.
    cached_tokens : int
        Number of prompt tokens read from the target's cache.
    """

    outcome: Outcome
    reason: Reason | None
    attempts: int
    target: str
    cached_tokens: int


class CallContext(ABC):
    """What a call needs of the router that it runs in."""

    @abstractmethod
    def register(self, call: RoutedCall) -> int:
        """Assign a number to a new attempt, which the agent's messages carry.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        int
            A number not used before in this process.
        """

    @abstractmethod
    def unregister(self, number: int) -> None:
        """Ignore further messages for an attempt.

        Parameters
        ----------
        number : int
            Number of the attempt.
        """

    @property
    @abstractmethod
    def incarnation(self) -> int:
        """Return this router's incarnation."""

    @abstractmethod
    def connect(self, target: Target) -> Deferred[Link]:
        """Return a connection to a target's agent.

        Parameters
        ----------
        target : Target
            The target.

        Returns
        -------
        Deferred[Link]
            The connection; fails with `DialError`.
        """

    @abstractmethod
    def open_link(self, target: Target) -> Link | None:
        """Return the connection to a target's agent, if it is open.

        Parameters
        ----------
        target : Target
            The target.

        Returns
        -------
        Link | None
            The connection; None when it must first be opened with `connect`.
        """

    @abstractmethod
    def find_target(self, service: str, name: str) -> Target | None:
        """Return a usable target by name.

        Parameters
        ----------
        service : str
            Name of the service.
        name : str
            Name of the target.

        Returns
        -------
        Target | None
            The target; None when it is unknown, down or leaving.
        """

    @abstractmethod
    def suspect(self, target: Target) -> None:
        """Mark a target that could not be reached as suspect.

        Parameters
        ----------
        target : Target
            The target.
        """

    @abstractmethod
    def load_reported(self, target: Target, load: int) -> None:
        """Record a target's load, reported with an answer or a refusal.

        Parameters
        ----------
        target : Target
            The target.
        load : int
            Outstanding work units of the target.
        """

    @abstractmethod
    def call_ended(self, call: RoutedCall, report: CallReport) -> None:
        """Handle the end of a call.

        Parameters
        ----------
        call : RoutedCall
            The call.
        report : CallReport
            Result of the call.
        """


class RoutedCall:
    """Runs the attempts of one call and forwards its answer to the caller.

    Parameters
    ----------
    request : CallRequest
        The request to run.
    plan : AttemptPlan
        Decides about the attempts.
    sink : AnswerSink
        Receives the answer for the caller.
    context : CallContext
        The router that it runs in.
    clock : Clock
        Source of time and timers.
    settings : RoutedCallSettings
        Timeouts and limits.
    """

    __slots__ = (
        "_answer_check",
        "_attempt_epoch",
        "_attempt_number",
        "_cached_tokens",
        "_clock",
        "_context",
        "_credited",
        "_deadline_timer",
        "_is_directed",
        "_is_done",
        "_is_in_flight",
        "_link",
        "_plan",
        "_request",
        "_resume_count",
        "_sent_at",
        "_settings",
        "_sink",
        "_target",
        "_target_incarnation",
        "_wait_timer",
    )

    def __init__(
        self,
        request: CallRequest,
        plan: AttemptPlan,
        sink: AnswerSink,
        context: CallContext,
        clock: Clock,
        settings: RoutedCallSettings,
    ) -> None:
        self._request = request
        self._plan = plan
        self._sink = sink
        self._context = context
        self._clock = clock
        self._settings = settings
        self._answer_check = AnswerCheck()
        self._link: Link | None = None
        self._target: Target | None = None
        self._target_incarnation = 0
        self._attempt_number = 0
        # Incremented when an attempt begins and when it fails, so that callbacks of
        # earlier attempts are recognised and ignored.
        self._attempt_epoch = 0
        self._resume_count = 0
        self._credited = 0
        self._cached_tokens = 0
        self._sent_at = 0.0
        self._is_done = False
        self._is_directed = False
        self._is_in_flight = False
        self._wait_timer: Timer | None = None
        self._deadline_timer: Timer | None = None

    @property
    def request(self) -> CallRequest:
        """Return the request that is run."""
        return self._request

    @property
    def plan(self) -> AttemptPlan:
        """Return the plan of attempts."""
        return self._plan

    @property
    def is_done(self) -> bool:
        """Return whether the call has ended."""
        return self._is_done

    def start(self) -> None:
        """Make the first attempt."""
        now = self._clock.seconds()
        remaining = max(0.0, self._request.deadline - now)
        self._deadline_timer = self._clock.callLater(remaining, self._deadline_passed)
        self._execute(self._plan.first(now))

    def cancel(self) -> None:
        """Cancel the call because the caller has disconnected."""
        if self._is_done:
            return
        self._cancel_attempt()
        self._end(Outcome.UNKNOWN, Reason.CANCELLED)

    def caller_ready(self) -> None:
        """Resume acknowledging the answer because the caller accepts bytes again."""
        self._give_credit()

    def link_lost(self, link: Link, detail: str) -> None:
        """Try to resume the answer if the lost connection carries this call.

        Parameters
        ----------
        link : Link
            The lost connection.
        detail : str
            Why it was lost.
        """
        if self._is_done or link is not self._link:
            return
        self._link = None
        self._schedule_resume(detail)

    def message(self, message: Message) -> None:
        """Handle a message of the agent about the current attempt.

        Parameters
        ----------
        message : Message
            Part of an answer, or a failure.
        """
        if self._is_done:
            return
        if isinstance(message, FINAL_MESSAGES) and self._target is not None:
            self._context.load_reported(self._target, message.load)
        try:
            self._dispatch(message)
        except AnswerCutError as error:
            self._cancel_attempt()
            self._fail(
                AttemptFailure(Outcome.UNKNOWN, Reason.ANSWER_CUT, detail=str(error)),
            )

    def _dispatch(self, message: Message) -> None:
        if isinstance(message, wire.AnswerChunk):
            self._sink.data(self._answer_check.accept(message.offset, message.data))
            self._give_credit()
        elif isinstance(message, wire.Answer):
            self._receive_complete(message)
        elif isinstance(message, wire.AnswerHead):
            self._sink.head(checked_status(message.status), message.headers)
        elif isinstance(message, wire.AnswerEnd):
            self._answer_check.finish(message.length, message.digest)
            self._finish(message.cached_tokens)
        elif isinstance(message, wire.CallFailed):
            self._fail(_failure_from(message))

    def _receive_complete(self, message: wire.Answer) -> None:
        if answer_digest(message.body) != message.digest:
            raise AnswerCutError("the digest differs")
        self._sink.head(checked_status(message.status), message.headers)
        self._sink.data(message.body)
        self._finish(message.cached_tokens)

    def _finish(self, cached_tokens: int) -> None:
        self._cached_tokens = cached_tokens
        self._release_link()
        self._sink.finish()
        self._end(Outcome.RAN, None)

    def _execute(self, step: Step) -> None:
        if step.kind is StepKind.GIVE_UP or step.target is None:
            self._give_up(step.failure)
            return
        self._target = step.target
        self._is_directed = step.is_directed
        if step.wait > 0:
            self._wait_timer = self._clock.callLater(step.wait, self._connect)
            return
        self._connect()

    def _connect(self) -> None:
        self._wait_timer = None
        target = self._target
        if self._is_done or target is None:
            return
        self._attempt_epoch += 1
        epoch = self._attempt_epoch
        link = self._context.open_link(target)
        if link is not None:
            self._connected(link, epoch)
            return
        connecting = self._context.connect(target)
        connecting.addCallbacks(
            self._connected,
            self._dial_failed,
            callbackArgs=(epoch,),
            errbackArgs=(epoch, target),
        )

    def _connected(self, link: Link, epoch: int) -> None:
        if self._is_done or epoch != self._attempt_epoch or link.peer is None:
            return
        self._attempt_number = self._context.register(self)
        self._answer_check = AnswerCheck()
        self._credited = 0
        self._resume_count = 0
        self._sent_at = self._clock.seconds()
        self._target_incarnation = link.peer.incarnation
        self._link = link
        self._is_in_flight = True
        link.expect()
        link.send(self._wire_call(link.peer.incarnation))

    def _dial_failed(self, failure: Failure, epoch: int, target: Target) -> None:
        if self._is_done or epoch != self._attempt_epoch:
            return
        self._context.suspect(target)
        detail = failure.getErrorMessage()
        self._fail(AttemptFailure(Outcome.NOT_RUN, Reason.LINK_LOST, detail=detail))

    def _wire_call(self, target_incarnation: int) -> wire.Call:
        request = self._request
        remaining = max(0.0, request.deadline - self._sent_at)
        return wire.Call(
            router=self._context.incarnation,
            number=self._attempt_number,
            target_incarnation=target_incarnation,
            service_name=request.service,
            organisation=request.organisation,
            chat=request.chat,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_ms=int(remaining * MILLISECONDS_PER_SECOND),
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            priority=request.priority,
            weight=request.weight,
            key=request.key,
            idempotent=request.is_idempotent,
            directed=self._is_directed,
            version=request.version,
            traceparent=request.traceparent,
            attempt=self._attempt_epoch,
            ledger=request.ledger,
            streamed=request.is_streamed,
        )

    def _schedule_resume(self, detail: str) -> None:
        """Schedule resuming the answer on a new connection.

        The first attempt to resume is made at once, further ones after a pause.
        """
        if self._resume_count >= self._settings.resume_attempts:
            self._lost(detail)
            return
        pause = self._settings.resume_pause if self._resume_count else 0.0
        self._resume_count += 1
        epoch = self._attempt_epoch
        self._wait_timer = self._clock.callLater(pause, self._resume, epoch)

    def _resume(self, epoch: int) -> None:
        self._wait_timer = None
        target = self._target
        if self._is_done or epoch != self._attempt_epoch or target is None:
            return
        connecting = self._context.connect(target)
        connecting.addCallbacks(
            self._resumed,
            self._resume_failed,
            callbackArgs=(epoch,),
            errbackArgs=(epoch,),
        )

    def _resumed(self, link: Link, epoch: int) -> None:
        if self._is_done or epoch != self._attempt_epoch or link.peer is None:
            return
        if link.peer.incarnation != self._target_incarnation:
            self._lost("the agent was replaced")
            return
        self._link = link
        link.expect()
        age = self._clock.seconds() - self._sent_at
        link.send(
            wire.Resume(
                router=self._context.incarnation,
                number=self._attempt_number,
                offset=self._answer_check.offset,
                target_incarnation=self._target_incarnation,
                age_ms=int(age * MILLISECONDS_PER_SECOND),
            ),
        )

    def _resume_failed(self, failure: Failure, epoch: int) -> None:
        if self._is_done or epoch != self._attempt_epoch:
            return
        self._schedule_resume(failure.getErrorMessage())

    def _lost(self, detail: str) -> None:
        if self._target is not None:
            self._context.suspect(self._target)
        self._fail(AttemptFailure(Outcome.UNKNOWN, Reason.LINK_LOST, detail=detail))

    def _fail(self, failure: AttemptFailure) -> None:
        """End the current attempt and take the next step of the plan."""
        self._context.unregister(self._attempt_number)
        self._release_link()
        self._is_in_flight = False
        self._attempt_epoch += 1
        if self._sink.has_begun:
            self._sink.cut(failure)
            self._end(Outcome.UNKNOWN, failure.reason)
            return
        self._sink.reset()
        directed = None
        if failure.place:
            directed = self._context.find_target(self._request.service, failure.place)
        now = self._clock.seconds()
        self._execute(self._plan.after(failure, directed, now))

    def _give_up(self, failure: AttemptFailure | None) -> None:
        final = failure or AttemptFailure(Outcome.UNKNOWN, Reason.NO_CANDIDATE)
        self._sink.refuse(final)
        self._end(final.outcome, final.reason)

    def _deadline_passed(self) -> None:
        """End the call at its deadline.

        An agent that has received the call is asked to cancel it, and may report
        the outcome within the grace period.
        """
        if self._is_done:
            return
        if self._link is not None and self._deadline_timer is not None:
            self._deadline_timer = None
            self._cancel_attempt()
            self._clock.callLater(self._settings.grace, self._deadline_passed)
            return
        may_run = self._is_in_flight or self._plan.may_have_run
        outcome = Outcome.UNKNOWN if may_run else Outcome.NOT_RUN
        failure = AttemptFailure(outcome, Reason.DEADLINE, detail="deadline passed")
        if self._sink.has_begun:
            self._sink.cut(failure)
        else:
            self._sink.refuse(failure)
        self._end(outcome, Reason.DEADLINE)

    def _cancel_attempt(self) -> None:
        if self._link is not None:
            self._link.send(
                wire.Cancel(self._context.incarnation, self._attempt_number)
            )

    def _give_credit(self) -> None:
        if self._link is None or self._sink.is_blocked:
            return
        received = self._answer_check.offset
        if received - self._credited >= self._settings.credit_step:
            self._credited = received
            self._link.send(
                wire.Credit(self._context.incarnation, self._attempt_number, received),
            )

    def _release_link(self) -> None:
        if self._link is not None:
            self._link.settle()
            self._link = None

    def _end(self, outcome: Outcome, reason: Reason | None) -> None:
        if self._is_done:
            return
        self._is_done = True
        self._release_link()
        self._context.unregister(self._attempt_number)
        for timer in (self._deadline_timer, self._wait_timer):
            cancel_timer(timer)
        name = self._target.name if self._target and outcome is Outcome.RAN else ""
        report = CallReport(
            outcome, reason, self._plan.attempts, name, self._cached_tokens
        )
        self._context.call_ended(self, report)


def _failure_from(message: wire.CallFailed) -> AttemptFailure:
    return AttemptFailure(
        Outcome(message.outcome),
        Reason(message.reason),
        retry_after=message.retry_after_ms / MILLISECONDS_PER_SECOND,
        place=message.place,
        detail=message.detail,
    )
