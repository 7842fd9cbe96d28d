"""Forecasts how long calls of one service wait, and when refused callers return."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.capacity.expected_returns import ExpectedReturns
from primrosescale.request.capacity.wait_forecast import RETRY_JITTER
from primrosescale.request.capacity.wait_forecast import forecast_wait
from primrosescale.request.capacity.wait_forecast import latest_start
from primrosescale.request.capacity.wait_forecast import retry_after

if TYPE_CHECKING:
    from random import Random

    from primrosescale.request.capacity.admission_record import AdmissionRecord
    from primrosescale.request.capacity.capacity_view import Allowance
    from primrosescale.request.capacity.capacity_view import CapacityView
    from primrosescale.request.capacity.request_queue import RequestQueue


class ServiceForecast:
    """Forecasts from the queue, the allowance and the answer time of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    capacity : CapacityView
        Knows the answer time.
    queue : RequestQueue[AdmissionRecord]
        The waiting calls.
    rng : Random
        Random generator for the jitter.
    """

    __slots__ = ("_capacity", "_queue", "_returns", "_rng", "_service")

    def __init__(
        self,
        service: str,
        capacity: CapacityView,
        queue: RequestQueue[AdmissionRecord],
        rng: Random,
    ) -> None:
        self._service = service
        self._capacity = capacity
        self._queue = queue
        self._rng = rng
        self._returns = ExpectedReturns()

    def latest_start(
        self, record: AdmissionRecord, wait_share: float, now: float
    ) -> float:
        """Return until when a call may wait.

        Parameters
        ----------
        record : AdmissionRecord
            The call.
        wait_share : float
            Fraction of the latency objective for which first-time callers wait.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Time in seconds.
        """
        return latest_start(
            record.call.request,
            now,
            is_returning=record.is_returning,
            answer_time=self._capacity.answer_time(self._service),
            wait_share=wait_share,
        )

    def wait(self, record: AdmissionRecord, allowance: Allowance | None) -> float:
        """Return how long a call would wait if it joined the queue now.

        Parameters
        ----------
        record : AdmissionRecord
            The call.
        allowance : Allowance | None
            The router's allowance; None for no limit.

        Returns
        -------
        float
            Seconds; infinite if nothing can be started.
        """
        ahead = self._calls_ahead(record, is_returning=record.is_returning)
        return self._time_to_start(ahead, allowance)

    def refused(
        self, record: AdmissionRecord, allowance: Allowance | None, now: float
    ) -> float:
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
        float
            Seconds from now.
        """
        request = record.call.request
        ahead = self._calls_ahead(record, is_returning=True)
        ahead += self._returns.ahead(request.organisation, now)
        delay = retry_after(
            # It needs a place itself, which is never free while the allowance is 0.
            self._time_to_start(ahead + 1, allowance),
            request.route.latency_objective,
            request.deadline - now,
            self._rng.uniform(*RETRY_JITTER),
        )
        # Callers return only once.
        if not record.is_returning:
            self._returns.add(request.organisation, now + delay)
        return delay

    def shift_times(self, seconds: float) -> None:
        """Move the times of expected returns, after the clock was set.

        Parameters
        ----------
        seconds : float
            By how much the clock was set forward; negative if it was set back.
        """
        self._returns.shift_times(seconds)

    def _calls_ahead(self, record: AdmissionRecord, *, is_returning: bool) -> float:
        request = record.call.request
        return self._queue.calls_ahead(
            request.organisation, request.priority, is_returning=is_returning
        )

    def _time_to_start(self, calls: float, allowance: Allowance | None) -> float:
        answer_time = self._capacity.answer_time(self._service)
        return forecast_wait(calls, allowance, answer_time)
