"""One call on its way through a router: attempts, answer, end."""

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
from primrosescale.request.answer_check import AnswerCheck
from primrosescale.request.answer_check import answer_digest
from primrosescale.request.attempts import AttemptFailure
from primrosescale.request.attempts import StepKind
from primrosescale.request.exceptions import AnswerCutError

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from primrosescale.clock import Clock
    from primrosescale.clock import Timer
    from primrosescale.connection.codec import Message
    from primrosescale.connection.link import Link
    from primrosescale.request.answer_sink import AnswerSink
    from primrosescale.request.attempts import AttemptPlan
    from primrosescale.request.attempts import Step
    from primrosescale.request.call_request import CallRequest
    from primrosescale.request.candidates import Target

MILLISECONDS_PER_SECOND = 1000
ENDS = (wire.Answer, wire.AnswerEnd, wire.CallFailed)


@dataclass(frozen=True, slots=True)
class RoutedCallSettings:
    """Timing and limits of a call in a router."""

    grace: float = option(
        SECONDS,
        "seconds after the deadline within which the agent's word is awaited",
        0.25,
    )
    resume_attempts: int = option(
        COUNT,
        "new connections tried for an answer whose connection was lost",
        2,
    )
    resume_pause: float = option(
        SECONDS,
        "seconds between such tries",
        0.3,
    )
    credit_step: int = option(
        COUNT,
        "bytes after which the agent is told how far the answer was taken",
        64 * 1024,
    )


@dataclass(slots=True)
class CallReport:
    """What became of a call, for metrics, logs and the limits.

    Parameters
    ----------
    outcome : Outcome
        Whether it ran.
    reason : Reason | None
        Why there is no answer; None with a whole answer.
    attempts : int
        Attempts made.
    target : str
        Target that answered; empty when none did.
    cached_tokens : int
        Prompt tokens served from the target's cache.
    """

    outcome: Outcome
    reason: Reason | None
    attempts: int
    target: str
    cached_tokens: int


class CallHost(ABC):
    """What a routed call needs of the router it runs in."""

    @abstractmethod
    def register(self, call: RoutedCall) -> int:
        """Give a new attempt a number that its answer will carry.

        Parameters
        ----------
        call : RoutedCall
            The call.

        Returns
        -------
        int
            A number never used before in this process.
        """

    @abstractmethod
    def unregister(self, number: int) -> None:
        """Drop whatever still comes for an attempt.

        Parameters
        ----------
        number : int
            The attempt's number.
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
            None when it must be opened first, by `connect`.
        """

    @abstractmethod
    def find_target(self, service: str, name: str) -> Target | None:
        """Return a usable target by name.

        Parameters
        ----------
        service : str
            Its service.
        name : str
            Its name.

        Returns
        -------
        Target | None
            The target, unless it is unknown, down or leaving.
        """

    @abstractmethod
    def suspect(self, target: Target) -> None:
        """Take in that a target could not be reached.

        Parameters
        ----------
        target : Target
            The target.
        """

    @abstractmethod
    def load_reported(self, target: Target, load: int) -> None:
        """Take in a target's load, told with an answer or a refusal.

        Parameters
        ----------
        target : Target
            The target.
        load : int
            Work units outstanding there.
        """

    @abstractmethod
    def call_ended(self, call: RoutedCall, report: CallReport) -> None:
        """Take in that a call has ended.

        Parameters
        ----------
        call : RoutedCall
            The call.
        report : CallReport
            What became of it.
        """


class RoutedCall:
    """Runs the attempts of one call and hands its answer on.

    Parameters
    ----------
    request : CallRequest
        What to run.
    plan : AttemptPlan
        Decides about attempts.
    sink : AnswerSink
        The caller.
    host : CallHost
        The router.
    clock : Clock
        Source of time and timers.
    settings : RoutedCallSettings
        Timing and limits.
    """

    __slots__ = (
        "_attempt",
        "_cached",
        "_check",
        "_clock",
        "_credited",
        "_host",
        "_is_directed",
        "_is_done",
        "_is_in_flight",
        "_link",
        "_number",
        "_plan",
        "_request",
        "_resumes",
        "_sent_at",
        "_settings",
        "_sink",
        "_target",
        "_target_incarnation",
        "_timer",
        "_wait_timer",
    )

    def __init__(
        self,
        request: CallRequest,
        plan: AttemptPlan,
        sink: AnswerSink,
        host: CallHost,
        clock: Clock,
        settings: RoutedCallSettings,
    ) -> None:
        self._request = request
        self._plan = plan
        self._sink = sink
        self._host = host
        self._clock = clock
        self._settings = settings
        self._check = AnswerCheck()
        self._link: Link | None = None
        self._target: Target | None = None
        self._target_incarnation = 0
        self._number = 0
        self._attempt = 0
        self._resumes = 0
        self._credited = 0
        self._cached = 0
        self._sent_at = 0.0
        self._is_done = False
        self._is_directed = False
        self._is_in_flight = False
        self._wait_timer: Timer | None = None
        self._timer: Timer | None = None

    @property
    def request(self) -> CallRequest:
        """Return what is run."""
        return self._request

    @property
    def plan(self) -> AttemptPlan:
        """Return the plan of attempts."""
        return self._plan

    @property
    def is_done(self) -> bool:
        """Tell whether the caller has its final answer."""
        return self._is_done

    def start(self) -> None:
        """Make the first attempt."""
        now = self._clock.seconds()
        left = max(0.0, self._request.deadline - now)
        self._timer = self._clock.callLater(left, self._deadline_passed)
        self._take(self._plan.first(now))

    def cancel(self) -> None:
        """Stop because the caller has gone away."""
        if self._is_done:
            return
        self._cancel_attempt()
        self._end(Outcome.UNKNOWN, Reason.CANCELLED)

    def caller_ready(self) -> None:
        """Take in that the caller takes bytes again."""
        self._give_credit()

    def link_lost(self, link: Link, detail: str) -> None:
        """Take in that a connection has ended.

        Parameters
        ----------
        link : Link
            The connection.
        detail : str
            Why it ended.
        """
        if self._is_done or link is not self._link:
            return
        self._link = None
        self._resume_later(detail)

    def message(self, message: Message) -> None:
        """Take in what the agent says of the present attempt.

        Parameters
        ----------
        message : Message
            Part of an answer or a refusal.
        """
        if self._is_done:
            return
        if isinstance(message, ENDS) and self._target is not None:
            self._host.load_reported(self._target, message.load)
        try:
            self._dispatch(message)
        except AnswerCutError as error:
            self._cancel_attempt()
            self._fail(
                AttemptFailure(Outcome.UNKNOWN, Reason.ANSWER_CUT, detail=str(error)),
            )

    def _dispatch(self, message: Message) -> None:
        if isinstance(message, wire.AnswerChunk):
            self._sink.data(self._check.accept(message.offset, message.data))
            self._give_credit()
        elif isinstance(message, wire.Answer):
            self._whole(message)
        elif isinstance(message, wire.AnswerHead):
            self._sink.head(message.status, message.headers)
        elif isinstance(message, wire.AnswerEnd):
            self._check.finish(message.length, message.digest)
            self._finish(message.cached_tokens)
        elif isinstance(message, wire.CallFailed):
            self._fail(_failure_of(message))

    def _whole(self, message: wire.Answer) -> None:
        if answer_digest(message.body) != message.digest:
            raise AnswerCutError("the digest differs")
        self._sink.head(message.status, message.headers)
        self._sink.data(message.body)
        self._finish(message.cached_tokens)

    def _finish(self, cached_tokens: int) -> None:
        self._cached = cached_tokens
        self._settle()
        self._sink.finish()
        self._end(Outcome.RAN, None)

    def _take(self, step: Step) -> None:
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
        self._attempt += 1
        attempt = self._attempt
        link = self._host.open_link(target)
        if link is not None:
            self._connected(link, attempt)
            return
        connecting = self._host.connect(target)
        connecting.addCallbacks(
            self._connected,
            self._dial_failed,
            callbackArgs=(attempt,),
            errbackArgs=(attempt, target),
        )

    def _connected(self, link: Link, attempt: int) -> None:
        if self._is_done or attempt != self._attempt or link.peer is None:
            return
        self._number = self._host.register(self)
        self._check = AnswerCheck()
        self._credited = 0
        self._resumes = 0
        self._sent_at = self._clock.seconds()
        self._target_incarnation = link.peer.incarnation
        self._link = link
        self._is_in_flight = True
        link.expect()
        link.send(self._wire_call(link.peer.incarnation))

    def _dial_failed(self, failure: Failure, attempt: int, target: Target) -> None:
        if self._is_done or attempt != self._attempt:
            return
        self._host.suspect(target)
        detail = failure.getErrorMessage()
        self._fail(AttemptFailure(Outcome.NOT_RUN, Reason.LINK_LOST, detail=detail))

    def _wire_call(self, target_incarnation: int) -> wire.Call:
        request = self._request
        left = max(0.0, request.deadline - self._sent_at)
        return wire.Call(
            router=self._host.incarnation,
            number=self._number,
            target_incarnation=target_incarnation,
            service_name=request.service,
            organisation=request.organisation,
            chat=request.chat,
            method=request.method,
            path=request.path,
            headers=request.headers,
            body=request.body,
            deadline_ms=int(left * MILLISECONDS_PER_SECOND),
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            priority=request.priority,
            weight=request.weight,
            key=request.key,
            idempotent=request.is_idempotent,
            directed=self._is_directed,
            version=request.version,
            traceparent=request.traceparent,
            attempt=self._attempt,
            ledger=request.ledger,
            streamed=request.is_streamed,
        )

    def _resume_later(self, detail: str) -> None:
        """Ask for the answer by name on a new connection, soon."""
        if self._resumes >= self._settings.resume_attempts:
            self._lost(detail)
            return
        pause = self._settings.resume_pause if self._resumes else 0.0
        self._resumes += 1
        attempt = self._attempt
        self._wait_timer = self._clock.callLater(pause, self._resume, attempt)

    def _resume(self, attempt: int) -> None:
        self._wait_timer = None
        target = self._target
        if self._is_done or attempt != self._attempt or target is None:
            return
        connecting = self._host.connect(target)
        connecting.addCallbacks(
            self._resumed,
            self._resume_failed,
            callbackArgs=(attempt,),
            errbackArgs=(attempt,),
        )

    def _resumed(self, link: Link, attempt: int) -> None:
        if self._is_done or attempt != self._attempt or link.peer is None:
            return
        if link.peer.incarnation != self._target_incarnation:
            self._lost("the agent was replaced")
            return
        self._link = link
        link.expect()
        age = self._clock.seconds() - self._sent_at
        link.send(
            wire.Resume(
                router=self._host.incarnation,
                number=self._number,
                offset=self._check.offset,
                target_incarnation=self._target_incarnation,
                age_ms=int(age * MILLISECONDS_PER_SECOND),
            ),
        )

    def _resume_failed(self, failure: Failure, attempt: int) -> None:
        if self._is_done or attempt != self._attempt:
            return
        self._resume_later(failure.getErrorMessage())

    def _lost(self, detail: str) -> None:
        if self._target is not None:
            self._host.suspect(self._target)
        self._fail(AttemptFailure(Outcome.UNKNOWN, Reason.LINK_LOST, detail=detail))

    def _fail(self, failure: AttemptFailure) -> None:
        """End the present attempt and take the next step."""
        self._host.unregister(self._number)
        self._settle()
        self._is_in_flight = False
        self._attempt += 1
        if self._sink.has_begun:
            self._sink.cut(failure)
            self._end(Outcome.UNKNOWN, failure.reason)
            return
        self._sink.reset()
        directed = None
        if failure.place:
            directed = self._host.find_target(self._request.service, failure.place)
        now = self._clock.seconds()
        self._take(self._plan.after(failure, directed, now))

    def _give_up(self, failure: AttemptFailure | None) -> None:
        told = failure or AttemptFailure(Outcome.UNKNOWN, Reason.NO_CANDIDATE)
        self._sink.refuse(told)
        self._end(told.outcome, told.reason)

    def _deadline_passed(self) -> None:
        """Stop waiting; an agent that has the call says what became of it."""
        if self._is_done:
            return
        if self._link is not None and self._timer is not None:
            self._timer = None
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
            self._link.send(wire.Cancel(self._host.incarnation, self._number))

    def _give_credit(self) -> None:
        if self._link is None or self._sink.is_blocked:
            return
        taken = self._check.offset
        if taken - self._credited >= self._settings.credit_step:
            self._credited = taken
            self._link.send(
                wire.Credit(self._host.incarnation, self._number, taken),
            )

    def _settle(self) -> None:
        if self._link is not None:
            self._link.settle()
            self._link = None

    def _end(self, outcome: Outcome, reason: Reason | None) -> None:
        if self._is_done:
            return
        self._is_done = True
        self._settle()
        self._host.unregister(self._number)
        for timer in (self._timer, self._wait_timer):
            cancel_timer(timer)
        name = self._target.name if self._target and outcome is Outcome.RAN else ""
        report = CallReport(outcome, reason, self._plan.attempts, name, self._cached)
        self._host.call_ended(self, report)


def _failure_of(message: wire.CallFailed) -> AttemptFailure:
    return AttemptFailure(
        Outcome(message.outcome),
        Reason(message.reason),
        retry_after=message.retry_after_ms / MILLISECONDS_PER_SECOND,
        place=message.place,
        detail=message.detail,
    )
