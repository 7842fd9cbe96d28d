"""Forecasts how long calls of one service wait, and when refused callers return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.capacity.admission_record import AdmissionState
from primrosescale.request.capacity.expected_returns import ExpectedReturns
from primrosescale.request.capacity.start_intervals import StartIntervals
from primrosescale.request.capacity.wait_forecast import RETRY_JITTER
from primrosescale.request.capacity.wait_forecast import forecast_wait
from primrosescale.request.capacity.wait_forecast import latest_start
from primrosescale.request.capacity.wait_forecast import retry_after

if TYPE_CHECKING:
    from random import Random

    from primrosescale.request.answer.usual_times import UsualTimes
    from primrosescale.request.capacity.admission_record import AdmissionRecord
    from primrosescale.request.capacity.capacity_view import Allowance
    from primrosescale.request.capacity.capacity_view import CapacityView
    from primrosescale.request.capacity.fair_queue import QueuedCall
    from primrosescale.request.capacity.request_queue import RequestQueue
    from primrosescale.request.incoming_request import IncomingRequest


class ServiceForecast:
    """Forecasts from the queue, the allowance and the answer times of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    capacity : CapacityView
        Knows the answer time.
    usual_times : UsualTimes
        Knows how long answers of each route take.
    queue : RequestQueue[AdmissionRecord]
        The waiting calls.
    rng : Random
        Random generator for the jitter.
    """

    __slots__ = (
        "_capacity",
        "_intervals",
        "_queue",
        "_returns",
        "_rng",
        "_service",
        "_usual_times",
    )

    def __init__(
        self,
        service: str,
        capacity: CapacityView,
        usual_times: UsualTimes,
        queue: RequestQueue[AdmissionRecord],
        rng: Random,
    ) -> None:
        self._service = service
        self._capacity = capacity
        self._usual_times = usual_times
        self._queue = queue
        self._rng = rng
        self._returns = ExpectedReturns()
        self._intervals = StartIntervals()

    @property
    def answer_time(self) -> float | None:
        """Return for how long a request occupies its place; None if not known."""
        return self._capacity.answer_time(self._service)

    def latest_start(self, record: AdmissionRecord) -> float:
        """Return by when a call has to be started to be answered in time.

        Parameters
        ----------
        record : AdmissionRecord
            The call.

        Returns
        -------
        float
            Time in seconds; few answers take longer than what is left then.
        """
        request = record.call.request
        return latest_start(request, self._usual_times.usual(request.route.name))

    def expires_at(self, record: AdmissionRecord) -> float:
        """Return until when a call that waits is kept.

        Forecasts are not exact. A call that has waited is given up only when most
        answers take longer than what is left.

        Parameters
        ----------
        record : AdmissionRecord
            The call.

        Returns
        -------
        float
            Time in seconds, no earlier than `latest_start`.
        """
        request = record.call.request
        return latest_start(request, self._usual_times.mean(request.route.name))

    def wait(self, request: IncomingRequest, allowance: Allowance | None) -> float:
        """Return how long a call would wait if it joined the queue now.

        Parameters
        ----------
        request : IncomingRequest
            Its request.
        allowance : Allowance | None
            The router's allowance; None for no limit.

        Returns
        -------
        float
            Seconds; infinite if nothing can be started.
        """
        organisation, priority = request.organisation, request.priority
        ahead = self._queue.calls_ahead(organisation, priority)
        own = self._queue.waiting_of(organisation, priority)
        return max(
            self.time_to_start(ahead, allowance),
            own * self._intervals.interval(organisation, priority),
        )

    def least_wait_of_last(
        self, last: QueuedCall[AdmissionRecord], allowance: Allowance | None
    ) -> float:
        """Return how long the call that would be started last will wait at least.

        Parameters
        ----------
        last : QueuedCall[AdmissionRecord]
            The call.
        allowance : Allowance | None
            The router's allowance; None for no limit.

        Returns
        -------
        float
            Seconds; infinite if nothing can be started.
        """
        organisation, priority = last.organisation, last.priority
        own = self._queue.waiting_of(organisation, priority)
        # The calls that run may all be about to end.
        others = self.time_to_start(len(self._queue) - 1, allowance)
        return max(
            others - (self.answer_time or 0.0),
            (own - 1) * self._intervals.least_interval(organisation, priority),
        )

    def left_queue(
        self, request: IncomingRequest, state: AdmissionState, now: float
    ) -> None:
        """Learn from a call that waits no more, and is no longer in the queue.

        Parameters
        ----------
        request : IncomingRequest
            Its request.
        state : AdmissionState
            What has been done with it.
        now : float
            Current time in seconds.
        """
        organisation, priority = request.organisation, request.priority
        waiting = self._queue.waiting_of(organisation, priority)
        if state is AdmissionState.STARTED:
            self._intervals.started(organisation, priority, waiting, now)
        elif not waiting:
            self._intervals.left(organisation, priority)

    def refused(
        self, record: AdmissionRecord, allowance: Allowance | None, now: float
    ) -> float | None:
        """Return when the caller of a refused call should return, and expect it then.

        Parameters
        ----------
        record : AdmissionRecord
            The call.
        allowance : Allowance | None
            The router's allowance; None for no limit.
        now : float
            Current time in seconds.

        Returns
        -------
        float | None
            Seconds from now; None if nothing is known that it follows from.
        """
        request = record.call.request
        ahead = self._queue.calls_ahead(request.organisation, request.priority)
        ahead += self._returns.ahead(request.organisation, now)
        # It needs a place itself, which is never free while the allowance is 0.
        room_in = self.time_to_start(ahead + 1, allowance)
        if not room_in:
            return None
        jitter = self._rng.uniform(*RETRY_JITTER)
        delay = retry_after(room_in, request.deadline - now, jitter)
        if now + delay < self.latest_start(record):
            self._returns.add(request.organisation, now + delay)
        return delay

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
        return self._returns.count(now)

    def time_to_start(self, calls: float, allowance: Allowance | None) -> float:
        """Return after which time a number of calls have been started.

        Parameters
        ----------
        calls : float
            The number.
        allowance : Allowance | None
            The router's allowance; None for no limit.

        Returns
        -------
        float
            Seconds; infinite if nothing can be started, 0 if nothing limits it or the
            answer time is not known.
        """
        return forecast_wait(calls, allowance, self.answer_time)

    def shift_times(self, seconds: float) -> None:
        """Move the times of expected returns, after the clock was set.

        Parameters
        ----------
        seconds : float
            By how much the clock was set forward; negative if it was set back.
        """
        self._returns.shift_times(seconds)
        self._intervals.shift_times(seconds)
