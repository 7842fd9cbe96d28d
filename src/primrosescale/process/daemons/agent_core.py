"""An agent's handling of calls, from the router's request to the target's answer.

It drops duplicates, admits, queues or refuses each call, claims idempotency keys in
the ledger before a call runs, sends calls to the target in the queue's order, and
streams their answers back over the routers' connections. A call outlives its
connection: a router that reconnects may resume its answer for a while.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

from primrosescale.connection.link import LinkHandler
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import ClaimState
from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.connection.wire.ttypes import Reason
from primrosescale.request.attempt.agent_call import AgentCall
from primrosescale.request.attempt.agent_call import CallPhase
from primrosescale.request.attempt.call_id_registry import CallId
from primrosescale.request.attempt.call_id_registry import CallIdRegistry
from primrosescale.request.attempt.call_id_registry import CallIdState
from primrosescale.request.capacity.admission import AdmissionController
from primrosescale.request.capacity.fair_queue import QueuedCall
from primrosescale.request.capacity.load_bound import LoadBound
from primrosescale.request.capacity.work_estimate import WorkEstimator
from primrosescale.request.capacity.work_estimate import estimate_tokens
from primrosescale.request.choice.chat_directory import ChatDirectory
from primrosescale.request.claim import Claim
from primrosescale.request.claim import claim_key
from primrosescale.request.claim import request_fingerprint
from primrosescale.request.target.target_health import TargetHealth

if TYPE_CHECKING:
    from primrosescale.clock import Clock
    from primrosescale.connection.codec import Message
    from primrosescale.connection.link import Link
    from primrosescale.process.daemons.agent_core_settings import AgentCoreSettings
    from primrosescale.process.daemons.agent_observer import AgentObserver
    from primrosescale.request.attempt.local_target_client import LocalTargetClient
    from primrosescale.request.claim import Ledger

MILLISECONDS_PER_SECOND = 1000
CLAIM_TOKEN_BYTES = 16
FIRST_SERVER_ERROR = 500


class AgentCore(LinkHandler):
    """Admits calls of routers, runs them at the target and returns their answers.

    Parameters
    ----------
    settings : AgentCoreSettings
        Limits and retention times.
    incarnation : int
        This agent's incarnation.
    target : LocalTargetClient
        Client of the target.
    ledger : Ledger
        Ledger of claims on idempotency keys.
    observer : AgentObserver
        Notified of the events of calls.
    clock : Clock
        Source of time and timers.
    """

    def __init__(
        self,
        settings: AgentCoreSettings,
        incarnation: int,
        target: LocalTargetClient,
        ledger: Ledger,
        observer: AgentObserver,
        clock: Clock,
    ) -> None:
        now = clock.seconds()
        self._settings = settings
        self._incarnation = incarnation
        self._target = target
        self._ledger = ledger
        self._observer = observer
        self._clock = clock
        self._bound = LoadBound(settings.bound, now)
        self._health = TargetHealth(settings.health)
        self._admission: AdmissionController[AgentCall] = AdmissionController(
            settings.admission,
            self._bound,
            self._health,
        )
        self._call_ids = CallIdRegistry(
            settings.call_id_keep_seconds, settings.max_call_ids
        )
        self._directory = ChatDirectory(settings.chats, settings.chat_keep)
        self._estimator = WorkEstimator(settings.work)
        self._calls: dict[CallId, AgentCall] = {}
        self._ended: dict[CallId, float] = {}
        self._answer_bytes = 0
        self._body_bytes = 0
        self._unflushed: dict[AgentCall, None] = {}
        self._flush_pending = False

    @property
    def admission(self) -> AdmissionController[AgentCall]:
        """Return the admission controller."""
        return self._admission

    @property
    def bound(self) -> LoadBound:
        """Return the bound on the load."""
        return self._bound

    @property
    def health(self) -> TargetHealth:
        """Return the target's circuit breaker."""
        return self._health

    @property
    def directory(self) -> ChatDirectory:
        """Return the chat directory."""
        return self._directory

    @property
    def incarnation(self) -> int:
        """Return this agent's incarnation."""
        return self._incarnation

    @property
    def is_idle(self) -> bool:
        """Return whether no call is queued, runs or still has bytes to send."""
        if not self._admission.is_idle:
            return False
        return all(call.phase is CallPhase.ENDED for call in self._calls.values())

    def link_ready(self, link: Link) -> None:
        """Do nothing: routers open calls by messages."""

    def link_lost(self, link: Link, detail: str) -> None:
        """Keep the calls of an ended connection running."""
        for call in self._calls.values():
            call.detach(link)

    def link_message(self, link: Link, message: Message) -> None:
        """Handle one message from a router."""
        if isinstance(message, wire.Call):
            self._call(link, message)
        elif isinstance(message, wire.Credit):
            found = self._find(message.router, message.number)
            if found is not None:
                found.credit(message.offset)
        elif isinstance(message, wire.Cancel):
            self._cancel(message)
        elif isinstance(message, wire.Resume):
            self._resume(link, message)
        elif isinstance(message, wire.Placed):
            self._placed(message)
        elif isinstance(message, wire.CacheImport):
            self._import(message)

    def drain(self) -> None:
        """Refuse new calls from now on; admitted calls continue."""
        self._admission.drain()

    def tick(self) -> None:
        """Remove expired identifiers and answers, and start queued calls."""
        now = self._clock.seconds()
        self._call_ids.remove_expired(now)
        limit = now - self._settings.answer_keep
        while self._ended:
            call_id, ended_at = next(iter(self._ended.items()))
            if ended_at > limit:
                break
            self._evict(call_id)
        self._start_next()

    def _call(self, link: Link, message: wire.Call) -> None:
        now = self._clock.seconds()
        call_id = CallId(message.router, message.number)
        if message.target_incarnation != self._incarnation:
            self._refuse(link, call_id, Reason.REPLACED, detail="agent was replaced")
            return
        state = self._call_ids.state(call_id)
        if state is not CallIdState.FRESH:
            # A duplicate of a known call: only the first copy is answered.
            self._observer.duplicate(call_id)
            return
        deadline = now + message.deadline_ms / MILLISECONDS_PER_SECOND
        if self._is_memory_full(message):
            self._refuse(link, call_id, Reason.MEMORY_FULL, retry_after=1.0)
            return
        self._call_ids.take(call_id, deadline)
        place = self._find_other_place(message, now)
        if place:
            self._call_ids.block(call_id, deadline)
            self._refuse(link, call_id, Reason.ELSEWHERE, place=place)
            return
        self._offer(link, call_id, message, deadline, now)

    def _is_memory_full(self, message: wire.Call) -> bool:
        if self._call_ids.is_full:
            return True
        if self._answer_bytes > self._settings.max_kept_answer_bytes:
            return True
        total = self._body_bytes + len(message.body)
        return self._body_bytes > 0 and total > self._settings.max_body_bytes

    def _offer(
        self,
        link: Link,
        call_id: CallId,
        message: wire.Call,
        deadline: float,
        now: float,
    ) -> None:
        call = AgentCall(
            call_id,
            message,
            link,
            deadline,
            self._settings.stream,
            self._call_ended,
            self._data_available,
            self._load,
        )
        queued = QueuedCall(
            organisation=message.organisation,
            weight=max(1, message.weight),
            priority=message.priority,
            work=self._estimate_work(message, now),
            deadline=deadline,
            item=call,
        )
        call.queued = queued
        verdict = self._admission.offer(queued, now)
        if verdict.reason is not None:
            # Blocked, so that a router that did not receive this refusal and resumes
            # the call gets the same result.
            self._call_ids.block(call_id, deadline)
            self._refuse(link, call_id, verdict.reason, retry_after=verdict.retry_after)
            return
        self._calls[call_id] = call
        self._body_bytes += len(message.body)
        self._observer.admitted(call, self._admission.load, now)
        call.deadline_timer = self._clock.callLater(
            max(0.0, deadline - now),
            self._deadline_passed,
            call,
        )
        for displaced_call in verdict.displaced:
            displaced_call.item.fail(
                Outcome.NOT_RUN,
                Reason.DISPLACED,
                "gave way to an organisation with less waiting",
                self._admission.expected_wait(displaced_call),
            )
        self._start_next()

    def _find_other_place(self, message: wire.Call, now: float) -> str:
        """Return the other target that holds a chat's cache; empty if none."""
        if not message.chat or message.directed:
            return ""
        record = self._directory.find(message.chat, now)
        if record is None or record.place == self._settings.name:
            return ""
        return record.place

    def _estimate_work(self, message: wire.Call, now: float) -> int:
        if not message.prompt_tokens:
            return self._estimator.estimate_plain()
        record = None
        if message.chat:
            record = self._directory.find(message.chat, now)
        cached = record.tokens if record is not None else 0
        return self._estimator.estimate(
            message.prompt_tokens,
            cached,
            message.output_tokens,
        )

    def _refuse(
        self,
        link: Link,
        call_id: CallId,
        reason: Reason,
        *,
        retry_after: float = 0.0,
        place: str = "",
        detail: str = "",
    ) -> None:
        """Send a refusal: the call has not run and never will."""
        self._observer.refused(call_id, reason)
        link.send(
            wire.CallFailed(
                router=call_id.router,
                number=call_id.number,
                outcome=Outcome.NOT_RUN,
                reason=reason,
                retry_after_ms=int(retry_after * MILLISECONDS_PER_SECOND),
                place=place,
                detail=detail,
                load=self._load(),
            ),
        )

    def _start_next(self) -> None:
        now = self._clock.seconds()
        for queued in self._admission.given_up(now):
            queued.item.fail(
                Outcome.NOT_RUN,
                Reason.DEADLINE,
                "can no longer be answered in time",
                self._admission.expected_wait(queued),
            )
        for queued in self._admission.start_next(now):
            self._start(queued.item, now)

    def _start(self, call: AgentCall, now: float) -> None:
        call.started_at = now
        if call.call.idempotent or not call.call.key:
            self._run(call)
            return
        message = call.call
        claim = Claim(
            key=claim_key(message.service_name, message.organisation, message.key),
            token=secrets.token_bytes(CLAIM_TOKEN_BYTES),
            fingerprint=request_fingerprint(message.method, message.path, message.body),
            writer=message.ledger,
        )
        call.begin_claim(claim)
        claiming = self._ledger.claim(claim, call.link)
        claiming.addCallback(self._claimed, call, claim)

    def _claimed(self, reply: wire.ClaimReply, call: AgentCall, claim: Claim) -> None:
        state = reply.state
        if call.phase is not CallPhase.CLAIMING:
            # The caller has meanwhile been answered "not run", so it must not run.
            if state in {ClaimState.GRANTED, ClaimState.UNAVAILABLE}:
                self._ledger.abandon(claim)
            return
        if state == ClaimState.GRANTED:
            self._run(call)
        elif state == ClaimState.RECORDED and reply.answer is not None:
            self._replay(call, reply.answer)
        elif state == ClaimState.REUSED:
            detail = "the key was used for another request"
            call.fail(Outcome.NOT_RUN, Reason.KEY_REUSED, detail)
        elif state == ClaimState.UNAVAILABLE:
            self._ledger.abandon(claim)
            call.fail(Outcome.NOT_RUN, Reason.STORE_UNAVAILABLE, "no claim", 1.0)
        else:
            detail = "an earlier request with the key may be running or have run"
            call.fail(Outcome.UNKNOWN, Reason.KEY_HELD, detail)

    def _replay(self, call: AgentCall, answer: wire.StoredAnswer) -> None:
        if answer.whole:
            call.replay(answer)
            return
        detail = "an earlier request with the key ran; its answer was too long to keep"
        call.fail(Outcome.UNKNOWN, Reason.KEY_HELD, detail)

    def _run(self, call: AgentCall) -> None:
        call.mark_running()
        self._observer.started(call)
        call.begin_run(self._target.start(call.call, call))

    def _call_ended(self, call: AgentCall, is_answered: bool) -> None:
        now = self._clock.seconds()
        queued = call.queued
        if queued is not None:
            if not self._admission.withdraw(queued):
                self._admission.finished(queued, now)
        self._ended[call.call_id] = now
        self._answer_bytes += call.buffered_bytes
        self._unflushed.pop(call, None)
        self._record_health(call, is_answered, now)
        self._settle_claim(call, is_answered)
        if is_answered and call.call.chat and call.call.prompt_tokens:
            output = estimate_tokens(call.length)
            self._estimator.learn(output)
            tokens = call.call.prompt_tokens + output
            name = self._settings.name
            self._directory.record_served(call.call.chat, name, tokens, now)
        self._observer.ended(call, is_answered, now)
        # The answer is kept for a while, the body is not needed any more.
        self._body_bytes -= len(call.call.body)
        call.call.body = b""
        self._start_next()

    def _record_health(self, call: AgentCall, is_answered: bool, now: float) -> None:
        if call.requested_pause is not None:
            self._admission.pause(call.requested_pause, now)
        if is_answered and call.status < FIRST_SERVER_ERROR:
            self._health.succeeded(now)
            return
        failure = call.failure
        if is_answered or (failure and failure.reason == Reason.TARGET_FAILED):
            self._health.failed(now)

    def _settle_claim(self, call: AgentCall, is_answered: bool) -> None:
        claim = call.claim
        if claim is None:
            return
        if is_answered and not call.is_replay:
            answer = call.stored_answer(self._settings.recorded_answer)
            self._ledger.record(claim, answer)
            return
        failure = call.failure
        if failure is not None and failure.reason == Reason.TARGET_FAILED:
            if failure.outcome is Outcome.NOT_RUN:
                self._ledger.abandon(claim)

    def _data_available(self, call: AgentCall) -> None:
        """Send the first bytes at once; batch the bytes that follow."""
        if call.call.prompt_tokens and not call.first_byte_at:
            call.first_byte_at = self._clock.seconds()
            if call.call.streamed:
                call.flush()
                return
        self._unflushed[call] = None
        if not self._flush_pending:
            self._flush_pending = True
            self._clock.callLater(self._settings.stream.coalesce, self._flush)

    def _flush(self) -> None:
        self._flush_pending = False
        dirty, self._unflushed = self._unflushed, {}
        for call in dirty:
            call.flush()

    def _deadline_passed(self, call: AgentCall) -> None:
        call.deadline_timer = None
        self._stop(call, Reason.DEADLINE)

    def _cancel(self, message: wire.Cancel) -> None:
        call = self._find(message.router, message.number)
        if call is not None:
            self._stop(call, Reason.CANCELLED)

    def _stop(self, call: AgentCall, reason: Reason) -> None:
        """End a call early; one that has not started is reported as not run."""
        if call.phase is CallPhase.RUNNING:
            call.fail(Outcome.UNKNOWN, reason)
        else:
            call.fail(Outcome.NOT_RUN, reason)

    def _resume(self, link: Link, message: wire.Resume) -> None:
        call_id = CallId(message.router, message.number)
        if message.target_incarnation != self._incarnation:
            self._report_unknown(link, call_id, Reason.REPLACED)
            return
        call = self._calls.get(call_id)
        if call is not None:
            call.resume(link, message.offset)
            return
        now = self._clock.seconds()
        if self._call_ids.state(call_id) is CallIdState.TAKEN:
            self._report_unknown(link, call_id, Reason.ANSWER_EVICTED)
            return
        if (
            message.age_ms / MILLISECONDS_PER_SECOND
            > self._settings.call_id_keep_seconds
        ):
            self._report_unknown(link, call_id, Reason.ANSWER_EVICTED)
            return
        self._call_ids.block(call_id, now + self._settings.call_id_keep_seconds)
        self._refuse(link, call_id, Reason.NEVER_ARRIVED)

    def _report_unknown(self, link: Link, call_id: CallId, reason: Reason) -> None:
        link.send(
            wire.CallFailed(
                router=call_id.router,
                number=call_id.number,
                outcome=Outcome.UNKNOWN,
                reason=reason,
                retry_after_ms=0,
                place="",
                detail="the call's state is not kept here",
                load=self._load(),
            ),
        )

    def _placed(self, message: wire.Placed) -> None:
        now = self._clock.seconds()
        if message.service_name == self._settings.service and message.chat:
            self._directory.record_served(message.chat, message.place, 0, now)

    def _import(self, message: wire.CacheImport) -> None:
        importing = self._target.import_cache(message.chat, message.data)
        importing.addCallbacks(
            self._imported,
            lambda failure: self._observer.import_failed(failure.getErrorMessage()),
            callbackArgs=(message,),
        )

    def _imported(self, is_imported: bool, message: wire.CacheImport) -> None:
        if is_imported:
            now = self._clock.seconds()
            name = self._settings.name
            self._directory.record_served(message.chat, name, message.tokens, now)

    def _load(self) -> int:
        return self._admission.load

    def _find(self, router: int, number: int) -> AgentCall | None:
        return self._calls.get(CallId(router, number))

    def _evict(self, call_id: CallId) -> None:
        del self._ended[call_id]
        call = self._calls.pop(call_id, None)
        if call is not None:
            self._answer_bytes = max(0, self._answer_bytes - call.buffered_bytes)
