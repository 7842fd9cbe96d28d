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
from primrosescale.request.capacity.request_queue import max_waiting
from primrosescale.request.capacity.request_queue import work_of
from primrosescale.request.capacity.service_forecast import ServiceForecast

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from primrosescale.request.capacity.admission_record import AdmissionRecord
    from primrosescale.request.capacity.capacity_view import Allowance
    from primrosescale.request.capacity.capacity_view import CapacityView
    from primrosescale.request.capacity.overload_episode import OverloadObserver
    from primrosescale.request.capacity.overload_settings import OverloadSettings


class ServiceAdmission:
    """Starts, queues or refuses the calls of one service.

    A submitted call is started if the router has fewer calls at the targets than its
    allowance and none waits. Otherwise it waits, or is refused if the forecast of its
    wait is too long or the queue is full. `process` starts waiting calls when places
    are free and refuses those that have waited for too long.

    Parameters
    ----------
    service : str
        Name of the service.
    capacity : CapacityView
        Determines the allowance.
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
        "_running",
        "_service",
    )

    def __init__(
        self,
        service: str,
        capacity: CapacityView,
        observer: OverloadObserver,
        rng: Random,
        raise_later: Callable[[Exception], None],
    ) -> None:
        self._service = service
        self._capacity = capacity
        self._raise_later = raise_later
        self._queue: RequestQueue[AdmissionRecord] = RequestQueue()
        self._episodes = OverloadEpisodes(service, observer)
        self._forecast = ServiceForecast(service, capacity, self._queue, rng)
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

    def submit(
        self,
        record: AdmissionRecord,
        settings: OverloadSettings,
        now: float,
        *,
        is_stopping: bool,
    ) -> None:
        """Start, queue or refuse a call.

        Parameters
        ----------
        record : AdmissionRecord
            The call.
        settings : OverloadSettings
            How long it may wait.
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
        if not len(self._queue) and self._has_place():
            self._start(record, now)
        elif is_stopping:
            self._refuse(record, OverloadReason.STOPPING, now)
        else:
            self._queue_or_refuse(record, settings, now)

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

    def _update_allowance(self, now: float) -> None:
        if self._capacity.is_in_force(self._service):
            waiting = len(self._queue) + self._arriving
            self._allowance = self._capacity.allowance(self._service, waiting, now)
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

    def _queue_or_refuse(
        self, record: AdmissionRecord, settings: OverloadSettings, now: float
    ) -> None:
        until = self._forecast.latest_start(record, settings.queue_wait_share, now)
        wait = self._forecast.wait(record, self._allowance)
        if until <= now or now + wait > until:
            self._refuse(record, OverloadReason.FORECAST, now)
            return
        request = record.call.request
        displaced = None
        if len(self._queue) >= max_waiting(self._allowance):
            displaced = self._queue.displaceable_by(
                request.organisation, request.priority
            )
            if displaced is None:
                self._refuse(record, OverloadReason.QUEUE_FULL, now)
                return
            self._queue.discard(displaced)
        self._push(record, until, now)
        if displaced is not None:
            self._refuse_removed(displaced.item, OverloadReason.DISPLACED, now)

    def _push(self, record: AdmissionRecord, until: float, now: float) -> None:
        request = record.call.request
        record.queued = QueuedCall(
            request.organisation,
            ORGANISATION_WEIGHT,
            request.priority,
            work_of(request),
            until,
            record,
            is_preferred=record.is_returning,
        )
        record.longest_wait = until - now
        record.state = AdmissionState.WAITING
        self._queue.push(record.queued)
        self._episodes.delayed(self._allowance, len(self._queue), now)

    def _trim(self, now: float) -> None:
        """Displace calls until the queue is within a bound that has decreased."""
        bound = max_waiting(self._allowance)
        while len(self._queue) > bound:
            displaced = self._queue.displaceable()
            if displaced is None:
                return
            self._queue.discard(displaced)
            self._refuse_removed(displaced.item, OverloadReason.DISPLACED, now)

    def _refuse(
        self, record: AdmissionRecord, reason: OverloadReason, now: float
    ) -> None:
        if record.state is AdmissionState.WAITING:
            self._leave_queue(record, AdmissionState.REFUSED, now)
        record.state = AdmissionState.REFUSED
        organisation = record.call.request.organisation
        waiting = len(self._queue)
        self._episodes.refused(organisation, reason, self._allowance, waiting, now)
        delay = self._forecast.refused(record, self._allowance, now)
        record.call.refuse(Refusal.OVERLOADED, delay)

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
        self._episodes.waited(record.waited, now)
