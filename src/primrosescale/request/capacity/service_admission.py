"""Admission of the calls of one service: each is started, queued or refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.capacity.admission_record import AdmissionState
from primrosescale.request.capacity.fair_queue import QueuedCall
from primrosescale.request.capacity.overload_episode import OverloadEpisodes
from primrosescale.request.capacity.overload_episode import OverloadReason
from primrosescale.request.capacity.request_queue import ORGANISATION_WEIGHT
from primrosescale.request.capacity.request_queue import RequestQueue
from primrosescale.request.capacity.request_queue import max_burst
from primrosescale.request.capacity.request_queue import work_of
from primrosescale.request.capacity.service_forecast import ServiceForecast
from primrosescale.request.capacity.standing_queue import StandingQueue
from primrosescale.request.capacity.standing_queue import max_standing
from primrosescale.request.capacity.stop_admission import stop_retry_delay

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from primrosescale.request.answer.usual_times import UsualTimes
    from primrosescale.request.capacity.admission_record import AdmissionRecord
    from primrosescale.request.capacity.capacity_view import Allowance
    from primrosescale.request.capacity.capacity_view import CapacityView
    from primrosescale.request.capacity.overload_episode import OverloadObserver


class ServiceAdmission:
    """Starts, queues or refuses the calls of one service.

    A submitted call is started if the router has fewer calls at the targets than its
    allowance and none waits. Otherwise it waits if it can be answered in its caller's
    time. While the queue stands, only as many wait as keep the places busy. `process`
    starts waiting calls when places are free and refuses those whose time is over.

    Parameters
    ----------
    service : str
        Name of the service.
    capacity : CapacityView
        Determines the allowance.
    usual_times : UsualTimes
        How long answers of each route take.
    observer : OverloadObserver
        Receives what happens during overloads.
    rng : Random
        Random generator for the jitter.
    raise_later : Callable[[Exception], None]
        Raises an error of a call where it affects no other call.
    """

    __slots__ = (
        "_allowance",
        "_arriving",
        "_capacity",
        "_episodes",
        "_forecast",
        "_is_processing",
        "_queue",
        "_raise_later",
        "_rng",
        "_running",
        "_service",
        "_standing_queue",
    )

    def __init__(
        self,
        service: str,
        capacity: CapacityView,
        usual_times: UsualTimes,
        observer: OverloadObserver,
        rng: Random,
        raise_later: Callable[[Exception], None],
    ) -> None:
        self._service = service
        self._capacity = capacity
        self._rng = rng
        self._raise_later = raise_later
        self._queue: RequestQueue[AdmissionRecord] = RequestQueue()
        self._episodes = OverloadEpisodes(service, observer)
        self._forecast = ServiceForecast(
            service, capacity, usual_times, self._queue, rng
        )
        self._standing_queue = StandingQueue()
        self._running = 0
        self._allowance: Allowance | None = None
        # Calls that are neither at a target nor in the queue yet.
        self._arriving = 0
        self._is_processing = False

    @property
    def running(self) -> int:
        """Return the number of calls that were started and have not ended."""
        return self._running

    @property
    def waiting(self) -> int:
        """Return the number of waiting calls."""
        return len(self._queue)

    @property
    def is_active(self) -> bool:
        """Return whether calls wait or an overload has not ended yet."""
        return bool(len(self._queue)) or self._episodes.ends_at is not None

    @property
    def last_allowance(self) -> Allowance | None:
        """Return the allowance that was last determined; None for no limit."""
        return self._allowance

    @property
    def next_expiry(self) -> float:
        """Return a time before which no call has waited for too long."""
        return self._queue.next_expiry

    @property
    def episode_ends_at(self) -> float | None:
        """Return when the present overload ends at the earliest; None for none."""
        return self._episodes.ends_at

    def returning(self, now: float) -> int:
        """Return how many refused callers are still to return.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Number of callers.
        """
        return self._forecast.returning(now)

    def submit(self, record: AdmissionRecord, now: float, *, is_stopping: bool) -> None:
        """Start, queue or refuse a call.

        Parameters
        ----------
        record : AdmissionRecord
            The call.
        now : float
            Current time in seconds.
        is_stopping : bool
            Whether the router is stopping, so that no call may wait.
        """
        self._arriving += 1
        try:
            if len(self._queue):
                self.process(now)
            else:
                self._update_allowance(now)
        finally:
            self._arriving -= 1
        until = self._forecast.latest_start(record)
        self._count_asked(until, now)
        if not len(self._queue) and self._has_place():
            self._start(record, now)
        elif is_stopping:
            self._refuse(record, OverloadReason.STOPPING, now)
        else:
            self._queue_or_refuse(record, until, now)

    def ended(self, record: AdmissionRecord, now: float) -> None:
        """Handle that a call has ended: start the next one, or free its place.

        Parameters
        ----------
        record : AdmissionRecord
            The call.
        now : float
            Current time in seconds.
        """
        if record.state is AdmissionState.STARTED:
            self._running -= 1
            if len(self._queue):
                self.process(now)
        elif record.state is AdmissionState.WAITING and record.queued is not None:
            # It is no longer in the queue if it is about to be refused with others.
            self._queue.discard(record.queued)
            self._leave_queue(record, AdmissionState.LEFT, now)

    def process(self, now: float) -> None:
        """Refuse calls that have waited for too long, and start those that may.

        A call may end while it is being started; its end does not start others
        before the present one has been handled.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if self._is_processing:
            return
        self._is_processing = True
        try:
            self._update_allowance(now)
            for queued in self._queue.expired(now):
                self._refuse_removed(queued.item, OverloadReason.WAITED, now)
            while self._has_place():
                queued_next = self._queue.pop()
                if queued_next is None:
                    break
                self._start_removed(queued_next.item, now)
            self._trim(now)
        finally:
            self._is_processing = False
        self._episodes.check_end(len(self._queue), now)

    def refuse_waiting(self, now: float) -> None:
        """Refuse all waiting calls because the router is stopping.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        for queued in self._queue.clear():
            self._refuse_removed(queued.item, OverloadReason.STOPPING, now)

    def shift_times(self, seconds: float) -> None:
        """Move the times of waiting calls, after the clock was set.

        Parameters
        ----------
        seconds : float
            By how much the clock was set forward; negative if it was set back.
        """
        self._queue.shift_expiry(seconds)
        self._episodes.shift_times(seconds)
        self._forecast.shift_times(seconds)
        self._standing_queue.shift_times(seconds)

    def _update_allowance(self, now: float) -> None:
        if self._capacity.is_in_force(self._service):
            waiting = len(self._queue) + self._arriving
            self._allowance = self._capacity.allowance(
                self._service, waiting, now, self._forecast.returning(now)
            )
        else:
            self._allowance = None

    def _has_place(self) -> bool:
        """Return whether the allowance permits one more call at the targets."""
        allowance = self._allowance
        return allowance is None or self._running < allowance.requests

    def _start(self, record: AdmissionRecord, now: float) -> None:
        self._running += 1
        if record.state is AdmissionState.WAITING:
            self._leave_queue(record, AdmissionState.STARTED, now)
        record.state = AdmissionState.STARTED
        record.call.start(now)

    def _count_asked(self, until: float, now: float) -> None:
        """Count a call that arrives while the targets have no room for all calls."""
        allowance = self._allowance
        if allowance is not None:
            work = self._forecast.time_to_start(1, allowance)
            most = max_standing(allowance.mean)
            slack = self._forecast.time_to_start(most, allowance)
            self._standing_queue.asked(work, until - now, slack, now)

    def _queue_or_refuse(
        self, record: AdmissionRecord, until: float, now: float
    ) -> None:
        request = record.call.request
        wait = self._forecast.wait(request, self._allowance)
        if until <= now or now + wait > until:
            self._refuse(record, OverloadReason.FORECAST, now)
            return
        organisation, priority = request.organisation, request.priority
        allowance = self._allowance
        if allowance is not None and self._standing_queue.stands(now):
            ahead = self._queue.calls_ahead_within(organisation, priority)
            if ahead >= max_standing(allowance.mean):
                self._refuse(record, OverloadReason.STANDING, now)
                return
        displaced = None
        if self._excess() >= 0:
            displaced = self._queue.displaceable_by(organisation, priority)
            if displaced is None:
                self._refuse(record, OverloadReason.QUEUE_FULL, now)
                return
            self._queue.discard(displaced)
        self._push(record, self._forecast.expires_at(record), now)
        if displaced is not None:
            self._refuse_removed(displaced.item, OverloadReason.DISPLACED, now)

    def _excess(self) -> float:
        """Return by how many more calls wait than can be started in their time."""
        longest = max_burst(
            self._allowance, self._forecast.answer_time, self._standing_queue.patience
        )
        return len(self._queue) - longest

    def _push(self, record: AdmissionRecord, until: float, now: float) -> None:
        request = record.call.request
        record.queued = QueuedCall(
            request.organisation,
            ORGANISATION_WEIGHT,
            request.priority,
            work_of(request),
            until,
            record,
        )
        record.longest_wait = until - now
        record.state = AdmissionState.WAITING
        self._queue.push(record.queued)
        self._episodes.delayed(self._allowance, len(self._queue), now)

    def _trim(self, now: float) -> None:
        """Refuse calls that have no chance any more, the last ones first.

        Calls that go before them may have come since they were queued, or the
        allowance may have decreased.
        """
        while True:
            last = self._queue.displaceable()
            if last is None:
                return
            if self._excess() > 0:
                reason = OverloadReason.DISPLACED
            elif (
                now + self._forecast.least_wait_of_last(last, self._allowance)
                > last.deadline
            ):
                reason = OverloadReason.FORECAST
            else:
                return
            self._queue.discard(last)
            self._refuse_removed(last.item, reason, now)

    def _refuse(
        self, record: AdmissionRecord, reason: OverloadReason, now: float
    ) -> None:
        if record.state is AdmissionState.WAITING:
            self._leave_queue(record, AdmissionState.REFUSED, now)
        record.state = AdmissionState.REFUSED
        organisation = record.call.request.organisation
        waiting = len(self._queue)
        self._episodes.refused(organisation, reason, self._allowance, waiting, now)
        record.call.refuse(Refusal.OVERLOADED, self._retry_delay(record, reason, now))

    def _retry_delay(
        self, record: AdmissionRecord, reason: OverloadReason, now: float
    ) -> float | None:
        if reason is OverloadReason.STOPPING:
            return stop_retry_delay(self._rng)
        return self._forecast.refused(record, self._allowance, now)

    def _start_removed(self, record: AdmissionRecord, now: float) -> None:
        """Start a call that waited; an error in it affects no other call."""
        try:
            self._start(record, now)
        except Exception as error:  # noqa: BLE001 - raised later
            self._raise_later(error)

    def _refuse_removed(
        self, record: AdmissionRecord, reason: OverloadReason, now: float
    ) -> None:
        """Refuse a call that waited; an error in it affects no other call."""
        if record.state is AdmissionState.LEFT:
            return
        try:
            self._refuse(record, reason, now)
        except Exception as error:  # noqa: BLE001 - raised later
            self._raise_later(error)

    def _leave_queue(
        self, record: AdmissionRecord, state: AdmissionState, now: float
    ) -> None:
        """Record for how long a call waited."""
        record.state = state
        if record.queued is not None:
            left = record.queued.deadline - now
            record.waited = max(0.0, record.longest_wait - left)
        self._forecast.left_queue(record.call.request, state, now)
        self._episodes.waited(record.waited, now)
