"""Admission control of an agent: decides whether a call is queued or refused.

Calls are admitted while the target's load stays within its bound, and admitted
calls start by priority and in fair order between organisations. A call of an
organisation that is under its share may displace a waiting call of one that is over
its share. While more is asked for than the target can do in its callers' time, only as
many calls wait as keep it busy.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from primrosescale.connection.wire.ttypes import Reason
from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.capacity.fair_queue import FairQueue
from primrosescale.request.capacity.priority_turns import PriorityTurns
from primrosescale.request.capacity.standing_queue import StandingQueue
from primrosescale.request.capacity.standing_queue import max_standing
from primrosescale.request.capacity.wait_forecast import MAX_RETRY_AFTER_SHARE
from primrosescale.request.capacity.work_rate import WorkRate

if TYPE_CHECKING:
    from primrosescale.request.capacity.fair_queue import QueuedCall
    from primrosescale.request.capacity.load_bound import LoadBound
    from primrosescale.request.target.target_health import TargetHealth

T = TypeVar("T")

RESERVED_ORGANISATION_WEIGHT = 1
# Told where nothing tells when there is room: without any, callers return at once.
UNKNOWN_RETRY_AFTER_SECONDS = 0.25


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Admission limits of an agent."""

    slots: int = option(
        COUNT,
        "maximum number of calls running at the target",
        16,
    )
    reserve: int = option(
        COUNT,
        "slots not available to organisations that are over their share",
        2,
    )
    queue_limit: int = option(
        COUNT,
        "maximum number of waiting calls",
        256,
    )
    rate_default: float = option(
        SECONDS,
        "assumed work units a second of the target before a rate has been measured; "
        "0 to refuse no call by a forecast before",
        0.0,
    )


class VerdictKind(Enum):
    """Whether an offered call was admitted."""

    ADMITTED = "admitted"
    REFUSED = "refused"


@dataclass(slots=True)
class Verdict(Generic[T]):
    """The decision about an offered call.

    Parameters
    ----------
    kind : VerdictKind
        Whether the call was admitted.
    reason : Reason | None
        Why the call was refused; None when it was admitted.
    retry_after : float
        Seconds after which a retry may succeed.
    displaced : list[QueuedCall[T]]
        Waiting calls that were removed in favour of this one and will not run.
    """

    kind: VerdictKind
    reason: Reason | None = None
    retry_after: float = 0.0
    displaced: list[QueuedCall[T]] = field(default_factory=list)

    @property
    def is_admitted(self) -> bool:
        """Return whether the call was admitted."""
        return self.kind is VerdictKind.ADMITTED


class AdmissionController(Generic[T]):
    """Admits calls within the load bound and starts them in fair order.

    Parameters
    ----------
    settings : AdmissionSettings
        Admission limits.
    bound : LoadBound
        Bound on the target's load.
    health : TargetHealth
        Circuit breaker of the target.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        bound: LoadBound,
        health: TargetHealth,
    ) -> None:
        self._settings = settings
        self._bound = bound
        self._health = health
        self._queue: FairQueue[T] = FairQueue()
        self._turns = PriorityTurns()
        self._standing_queue = StandingQueue()
        self._running: dict[str, list[QueuedCall[T]]] = {}
        self._running_count = 0
        self._running_weight = 0
        self._running_work = 0
        self._rate = WorkRate(settings.slots, settings.rate_default)
        self._is_draining = False
        self._paused_until = 0.0

    @property
    def load(self) -> int:
        """Return the work units of all waiting and running calls."""
        return self._queue.work + self._running_work

    @property
    def running(self) -> int:
        """Return the number of running calls."""
        return self._running_count

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""
        return len(self._queue)

    @property
    def rate(self) -> float | None:
        """Return the work units a second of the target; None if not known yet."""
        return self._rate.known

    @property
    def is_draining(self) -> bool:
        """Return whether new calls are refused because the target is draining."""
        return self._is_draining

    @property
    def is_idle(self) -> bool:
        """Return whether no call is waiting or running."""
        return not self._running_count and not len(self._queue)

    @property
    def _is_full(self) -> bool:
        """Return whether all slots are taken."""
        return self._running_count >= self._settings.slots

    def drain(self) -> None:
        """Refuse new calls from now on."""
        self._is_draining = True

    def pause(self, seconds: float, now: float) -> None:
        """Neither admit nor start calls during a pause that the target requested.

        Parameters
        ----------
        seconds : float
            Length of the pause. It never shortens a pause requested earlier.
        now : float
            Current time in seconds.
        """
        self._paused_until = max(self._paused_until, now + seconds)

    def offer(self, call: QueuedCall[T], now: float) -> Verdict[T]:
        """Admit and queue a call, or refuse it.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.
        now : float
            Current time in seconds.

        Returns
        -------
        Verdict[T]
            The decision.
        """
        if self._is_draining:
            return _refuse(Reason.DRAINING, UNKNOWN_RETRY_AFTER_SECONDS)
        if call.deadline <= now:
            return _refuse(Reason.DEADLINE, UNKNOWN_RETRY_AFTER_SECONDS)
        if now < self._paused_until:
            return _refuse(Reason.TARGET_UNHEALTHY, self._paused_until - now)
        if not self._health.admits(now):
            return _refuse(Reason.TARGET_UNHEALTHY, self._health.retry_after(now))
        wait = self.expected_wait(call)
        if now + wait + self._time_in_slot(call) >= call.deadline:
            return _refuse_busy(Reason.DEADLINE, wait, call, now)
        if self._would_stand(call, now):
            room_in = self._time_of_queue(call)
            return _refuse_busy(Reason.QUEUE_FULL, room_in, call, now)
        displaced = self._make_room(call, now)
        if displaced is None:
            reason = Reason.OVER_BOUND
            if len(self._queue) >= self._settings.queue_limit:
                reason = Reason.QUEUE_FULL
            room_in = max(wait, self._rate.seconds_for(call.work))
            return _refuse_busy(reason, room_in, call, now)
        self._push(call)
        return Verdict(VerdictKind.ADMITTED, displaced=displaced)

    def start_next(self, now: float) -> list[QueuedCall[T]]:
        """Start waiting calls while slots are free, and return them in order.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[QueuedCall[T]]
            The started calls; each must be passed to `finished` when it ends.
        """
        started: list[QueuedCall[T]] = []
        while now >= self._paused_until:
            call = self._next_call()
            if call is None:
                break
            self._queue.discard_started(call)
            self._turns.removed(call.priority, call.work)
            self._turns.started()
            own = self._running.get(call.organisation)
            if own is None:
                own = self._running[call.organisation] = []
                self._running_weight += max(1, call.weight)
            own.append(call)
            self._running_count += 1
            self._running_work += call.work
            started.append(call)
        is_busy = self._is_full or bool(len(self._queue))
        self._rate.set_busy(now, is_busy=is_busy and now >= self._paused_until)
        return started

    def finished(self, call: QueuedCall[T], now: float) -> None:
        """Free the slot of a call that has ended; a repeated report is ignored.

        Parameters
        ----------
        call : QueuedCall[T]
            The call, as returned by `start_next`.
        now : float
            Current time in seconds.
        """
        calls = self._running.get(call.organisation, [])
        if call not in calls:
            return
        calls.remove(call)
        if not calls:
            del self._running[call.organisation]
            self._running_weight -= max(1, call.weight)
        self._running_count -= 1
        self._running_work -= call.work
        self._rate.finished(call.work, now)

    def withdraw(self, call: QueuedCall[T]) -> bool:
        """Remove a waiting call.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.

        Returns
        -------
        bool
            True when the call was still waiting, and so did not run.
        """
        return self._discard(call)

    def expired(self, now: float) -> list[QueuedCall[T]]:
        """Remove and return waiting calls whose deadline has passed.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[QueuedCall[T]]
            The removed calls; none of them ran.
        """
        expired = self._queue.expired(now)
        for call in expired:
            self._turns.removed(call.priority, call.work)
        return expired

    def given_up(self, now: float) -> list[QueuedCall[T]]:
        """Remove and return waiting calls that can no longer be answered in time.

        Calls that go before them may have come since they were admitted, and the target
        may have become slower.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[QueuedCall[T]]
            The removed calls; none of them ran.
        """
        if self._rate.known is None or not len(self._queue):
            return []
        # Work that goes before the next call of a priority.
        same: Counter[int] = Counter()
        found: list[QueuedCall[T]] = []
        for call in sorted(self._queue.calls(), key=lambda call: call.position):
            ahead = self._turns.work_ahead(call.priority, same[call.priority])
            # The calls that run may all be about to end, which makes up for the time
            # that it needs itself.
            if now + self._rate.seconds_for(ahead) > call.deadline:
                self._discard(call)
                found.append(call)
            else:
                same[call.priority] += call.work
        return found

    def expected_wait(self, call: QueuedCall[T]) -> float:
        """Estimate how long a call would wait in the fair queue.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.

        Returns
        -------
        float
            Expected waiting time in seconds.
        """
        if not self._is_full and not len(self._queue):
            return 0.0
        same = self._queue.work_ahead(call.organisation, call.priority)
        ahead = self._turns.work_ahead(call.priority, same)
        # Organisations with fewer waiting calls may go first with those still to come.
        own = self._queue.work_of(call.organisation)
        flows = self._queue.organisations + (0 if own else 1)
        return self._rate.seconds_for(max(ahead, min(self._queue.work, own * flows)))

    def _would_stand(self, call: QueuedCall[T], now: float) -> bool:
        """Return whether a call would only make a queue longer that stands."""
        if not self._is_full:
            return False
        most = max_standing(self._settings.slots)
        work = self._rate.seconds_for(call.work)
        time_left = call.deadline - now - self._time_in_slot(call)
        self._standing_queue.asked(work, time_left, most * work, now)
        if not self._standing_queue.stands(now):
            return False
        return self._queue.calls_ahead(call.organisation, call.priority) >= most

    def _time_in_slot(self, call: QueuedCall[T]) -> float:
        """Return how long a call runs beside others; 0 if that is not known.

        While all slots are taken, the target does the work of all of them at its rate.
        """
        if not self._is_full:
            return 0.0
        return self._settings.slots * self._rate.seconds_for(call.work)

    def _time_of_queue(self, call: QueuedCall[T]) -> float:
        """Return after which time the target has done all that waits, and a call."""
        return self._rate.seconds_for(self._queue.work + call.work)

    def _make_room(
        self,
        call: QueuedCall[T],
        now: float,
    ) -> list[QueuedCall[T]] | None:
        """Remove waiting calls until a call fits; None when it cannot fit.

        Only calls of organisations with more waiting work for their weight than
        the caller's organisation are removed, the last call first. Running calls
        are never removed.
        """
        displaced: list[QueuedCall[T]] = []
        while not self._fits(call, now):
            last = self._queue.most_over_share()
            if last is None or not self._is_further_over_share(last, call):
                for removed in displaced:
                    self._push(removed)
                return None
            self._discard(last)
            displaced.append(last)
        return displaced

    def _push(self, call: QueuedCall[T]) -> None:
        self._queue.push(call)
        self._turns.added(call.priority, call.work)

    def _discard(self, call: QueuedCall[T]) -> bool:
        """Remove a waiting call; return whether it was waiting."""
        if not self._queue.discard(call):
            return False
        self._turns.removed(call.priority, call.work)
        return True

    def _fits(self, call: QueuedCall[T], now: float) -> bool:
        if len(self._queue) >= self._settings.queue_limit:
            return False
        return self._bound.admits(self.load, call.work, now)

    def _is_further_over_share(self, last: QueuedCall[T], call: QueuedCall[T]) -> bool:
        if last.organisation == call.organisation:
            return False
        theirs = self._queue.work_of(last.organisation) / max(1, last.weight)
        ours = self._queue.work_of(call.organisation) + call.work
        return theirs > ours / max(1, call.weight)

    def _next_call(self) -> QueuedCall[T] | None:
        """Return the next call that may start.

        The last `reserve` slots are open only to organisations under their share.
        """
        free = self._settings.slots - self._running_count
        if free <= 0:
            return None
        if self._turns.is_least_urgent_next:
            least = self._turns.least_urgent
            call = self._queue.head_where(
                lambda call: call.priority >= least and self._may_start(call)
            )
            if call is not None:
                return call
        if free > self._settings.reserve:
            return self._queue.head()
        return self._queue.head_where(self._is_under_share)

    def _may_start(self, call: QueuedCall[T]) -> bool:
        """Return whether one of the free slots is open to a call."""
        free = self._settings.slots - self._running_count
        return free > self._settings.reserve or self._is_under_share(call)

    def _is_under_share(self, call: QueuedCall[T]) -> bool:
        """Return whether an organisation would stay within its share of slots.

        Shares are computed as if one more organisation were running, because
        the reserved slots are meant for an organisation that has not sent a call
        yet.
        """
        own = self._running.get(call.organisation, ())
        weight = max(1, call.weight)
        weights = self._running_weight + RESERVED_ORGANISATION_WEIGHT
        if not own:
            weights += weight
        share = self._settings.slots * weight / weights
        return len(own) + 1 <= share


def _refuse(reason: Reason, retry_after: float) -> Verdict[T]:
    return Verdict(VerdictKind.REFUSED, reason=reason, retry_after=retry_after)


def _refuse_busy(
    reason: Reason, room_in: float, call: QueuedCall[T], now: float
) -> Verdict[T]:
    """Refuse a call that may return when there is room, within its time."""
    longest = MAX_RETRY_AFTER_SHARE * (call.deadline - now)
    return _refuse(reason, min(room_in or UNKNOWN_RETRY_AFTER_SECONDS, longest))
