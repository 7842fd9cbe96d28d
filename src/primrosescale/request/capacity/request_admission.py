"""Admission of the calls of all services at one router, before their first attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer
from primrosescale.request.capacity.admission_record import AdmissionRecord
from primrosescale.request.capacity.service_admission import ServiceAdmission

if TYPE_CHECKING:
    from random import Random

    from primrosescale.clock import Clock
    from primrosescale.clock import Timer
    from primrosescale.request.answer.usual_times import UsualTimes
    from primrosescale.request.capacity.admission_record import AdmissibleCall
    from primrosescale.request.capacity.capacity_view import CapacityView
    from primrosescale.request.capacity.overload_episode import OverloadObserver

# Allowances change every 0.25 s, and whenever targets or other routers report.
PROCESS_SECONDS = 0.025


class RequestAdmission:
    """Starts, queues or refuses calls, within the allowance of each service.

    Parameters
    ----------
    capacity : CapacityView
        Determines allowances.
    usual_times : UsualTimes
        How long answers of each route take.
    clock : Clock
        Source of timers.
    rng : Random
        Random generator.
    observer : OverloadObserver
        Receives what happens during overloads.
    """

    def __init__(
        self,
        capacity: CapacityView,
        usual_times: UsualTimes,
        clock: Clock,
        rng: Random,
        observer: OverloadObserver,
    ) -> None:
        self._capacity = capacity
        self._usual_times = usual_times
        self._clock = clock
        self._rng = rng
        self._observer = observer
        self._services: dict[str, ServiceAdmission] = {}
        self._records: dict[AdmissibleCall, AdmissionRecord] = {}
        self._is_stopping = False
        self._is_closed = False
        self._timer: Timer | None = None
        self._timer_at = 0.0
        self._latest_time = 0.0

    @property
    def services(self) -> dict[str, ServiceAdmission]:
        """Return the services that overload control has been in force for."""
        return self._services

    def waiting_by_service(self) -> dict[str, int]:
        """Return the number of waiting calls of each service that has any.

        Returns
        -------
        dict[str, int]
            Numbers by the names of services.
        """
        return {
            name: service.waiting
            for name, service in self._services.items()
            if service.waiting
        }

    def returning_by_service(self, now: float) -> dict[str, int]:
        """Return the number of refused callers that are to return, by service.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        dict[str, int]
            Numbers by the names of services, of those that have any.
        """
        numbers = {
            name: service.returning(now) for name, service in self._services.items()
        }
        return {name: number for name, number in numbers.items() if number}

    def submit(self, call: AdmissibleCall, now: float) -> None:
        """Start a call, queue or refuse it.

        Parameters
        ----------
        call : AdmissibleCall
            The call.
        now : float
            Current time in seconds.
        """
        name = call.request.service
        is_in_force = self._capacity.is_in_force(name)
        if is_in_force or self._services:
            self._check_clock(now)
        if not is_in_force:
            call.start(now)
            return
        record = self._records[call] = AdmissionRecord(call)
        service = self._services.get(name) or self._new_service(name)
        service.submit(record, now, is_stopping=self._is_stopping)
        self._schedule(service, now)

    def ended(self, call: AdmissibleCall, now: float) -> AdmissionRecord | None:
        """Handle that a call has ended; a waiting one gives up its place.

        Parameters
        ----------
        call : AdmissibleCall
            The call.
        now : float
            Current time in seconds.

        Returns
        -------
        AdmissionRecord | None
            How it was admitted; None if overload control was not in force for it.
        """
        record = self._records.pop(call, None)
        if record is not None:
            self._check_clock(now)
            service = self._services[call.request.service]
            service.ended(record, now)
            self._schedule(service, now)
        return record

    def stop(self, now: float) -> None:
        """Refuse all waiting calls; from now on no call waits.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._is_stopping = True
        for service in self._services.values():
            service.refuse_waiting(now)

    def close(self) -> None:
        """Cancel the timer and set none any more."""
        self._is_closed = True
        cancel_timer(self._timer)
        self._timer = None

    def _new_service(self, name: str) -> ServiceAdmission:
        service = ServiceAdmission(
            name,
            self._capacity,
            self._usual_times,
            self._observer,
            self._rng,
            self._raise_later,
        )
        self._services[name] = service
        return service

    def _raise_later(self, error: Exception) -> None:
        """Raise an error in a turn of its own, in which the reactor logs it."""
        self._clock.callLater(0.0, _raise, error)

    def _check_clock(self, now: float) -> None:
        """Shift the times of waiting calls if the clock was set back.

        Otherwise they would wait for longer than they may, by as much.
        """
        step = now - self._latest_time
        self._latest_time = now
        if step >= 0:
            return
        for service in self._services.values():
            service.shift_times(step)
        if self._timer is not None:
            self._set_timer(now + PROCESS_SECONDS, now)

    def _schedule(self, service: ServiceAdmission, now: float) -> None:
        """Set the timer if it has to fire earlier for a service."""
        due = _due_at(service, now)
        if due is not None and (self._timer is None or due < self._timer_at):
            self._set_timer(due, now)

    def _set_timer(self, due: float, now: float) -> None:
        cancel_timer(self._timer)
        if self._is_closed:
            return
        self._timer_at = due
        self._timer = self._clock.callLater(max(0.0, due - now), self._process)

    def _process(self) -> None:
        self._timer = None
        now = self._clock.seconds()
        self._check_clock(now)
        try:
            for service in list(self._services.values()):
                if service.is_active:
                    service.process(now)
        finally:
            # An error in one call must not leave others waiting without a timer.
            for service in self._services.values():
                self._schedule(service, now)


def _raise(error: Exception) -> None:
    raise error


def _due_at(service: ServiceAdmission, now: float) -> float | None:
    """Return when a service is to be processed; None if nothing is due."""
    if service.waiting:
        return min(now + PROCESS_SECONDS, service.next_expiry)
    return service.episode_ends_at
