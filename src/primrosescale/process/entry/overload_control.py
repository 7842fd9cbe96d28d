"""Overload control of an entry router: its parts and what the router asks of them.

Which requests are started, wait or are refused is decided in
`primrosescale.request.capacity`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.process.entry.overload_report import OverloadReport
from primrosescale.request.answer.usual_times import UsualTimes
from primrosescale.request.capacity.connection_shares import ConnectionShares
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.request_admission import RequestAdmission
from primrosescale.request.capacity.service_capacity import CapacitySources
from primrosescale.request.capacity.service_capacity import ServiceCapacity
from primrosescale.request.target.target_work import TargetWork

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.state_exchange import StateExchange
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.attempt.forwarded_call import ForwardedCall
    from primrosescale.request.capacity.admission_record import AdmissionRecord
    from primrosescale.request.capacity.overload_settings import OverloadSettings
    from primrosescale.request.capacity.router_shares import RouterShares
    from primrosescale.version.routing_table import Service


class OverloadControl:
    """Admits requests, and limits the connections of this router to targets.

    Parameters
    ----------
    settings : OverloadSettings
        Settings of overload control.
    parts : EntryDependencies
        Collaborators of the router.
    shares : RouterShares
        The lists of routers.
    service_of : Callable[[str], Service | None]
        Returns a service by name, if the configuration version in force has it.
    """

    def __init__(
        self,
        settings: OverloadSettings,
        parts: EntryDependencies,
        shares: RouterShares,
        service_of: Callable[[str], Service | None],
    ) -> None:
        self._parts = parts
        self._service_of = service_of
        self._scope = OverloadScope(settings)
        self._connection_shares = ConnectionShares(
            settings, shares, service_of, self._scope
        )
        self._work = TargetWork(self._scope)
        self._usual_times = UsualTimes()
        self._capacity: ServiceCapacity
        self._admission: RequestAdmission

    @property
    def scope(self) -> OverloadScope:
        """Return the services for which it is in force."""
        return self._scope

    @property
    def connection_shares(self) -> ConnectionShares:
        """Return the share of this router in the connections to targets."""
        return self._connection_shares

    @property
    def work(self) -> TargetWork:
        """Return the prefill backlog and the pace of targets."""
        return self._work

    @property
    def usual_times(self) -> UsualTimes:
        """Return how long answers of each route take."""
        return self._usual_times

    def connect(
        self, targets: TargetList, routers: Callable[[], int], exchange: StateExchange
    ) -> None:
        """Begin to use what is known of targets and other routers; called once.

        Parameters
        ----------
        targets : TargetList
            The targets.
        routers : Callable[[], int]
            Returns the number of listed routers, including this one.
        exchange : StateExchange
            The state of other routers.
        """
        parts = self._parts
        self._capacity = ServiceCapacity(
            self._scope,
            CapacitySources(
                targets.of_service,
                self._service_of,
                routers,
                exchange.waiting_elsewhere,
                exchange.has_current_loads,
                self._work.pace_of,
            ),
            parts.rng,
        )
        report = OverloadReport(
            parts.log, parts.metrics.overload, self._work.usual_pace
        )
        self._admission = RequestAdmission(
            self._capacity, self._usual_times, parts.reactor, parts.rng, report
        )

    def configure(self, settings: OverloadSettings) -> None:
        """Apply changed settings.

        Parameters
        ----------
        settings : OverloadSettings
            Settings of overload control.
        """
        self._scope.configure(settings)
        self._connection_shares.configure(settings)

    def submit(self, call: ForwardedCall, now: float) -> None:
        """Start, queue or refuse a call.

        Parameters
        ----------
        call : ForwardedCall
            The call, which was not submitted before.
        now : float
            Current time in seconds.
        """
        self._capacity.request_received(call.request)
        self._admission.submit(call, now)

    def ended(self, call: ForwardedCall, now: float) -> AdmissionRecord | None:
        """Handle the end of a call.

        Parameters
        ----------
        call : ForwardedCall
            The call.
        now : float
            Current time in seconds.

        Returns
        -------
        AdmissionRecord | None
            How it was admitted; None if overload control was not in force.
        """
        self._capacity.call_ended(call)
        return self._admission.ended(call, now)

    def waiting_by_service(self) -> dict[str, int]:
        """Return how many requests of each service wait in this router.

        Returns
        -------
        dict[str, int]
            Numbers by the names of services, of those that have any.
        """
        return self._admission.waiting_by_service()

    def unserved_by_service(self) -> dict[str, int]:
        """Return the demand of this router that others do not see at the targets.

        Returns
        -------
        dict[str, int]
            Waiting requests, and the refused callers that count, by the names of
            services that have any.
        """
        now = self._parts.reactor.seconds()
        waiting = self.waiting_by_service()
        returning = self._admission.returning_by_service(now)
        return {
            name: self._capacity.unseen_demand(
                name, waiting.get(name, 0), returning.get(name, 0), now
            )
            for name in waiting.keys() | returning.keys()
        }

    def refresh_metrics(self, now: float) -> None:
        """Set the gauges of overload control.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        metrics = self._parts.metrics
        returning = self._admission.returning_by_service(now)
        levels = self._capacity.levels(self.waiting_by_service(), now, returning)
        for service, (capacity, demand) in levels.items():
            metrics.capacity(service, capacity, demand)
        metrics.overload.refresh(self._admission.services)

    def stop(self, now: float) -> None:
        """Refuse all waiting requests, since the router is stopping.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._admission.stop(now)

    def close(self) -> None:
        """Stop its timer."""
        self._admission.close()
