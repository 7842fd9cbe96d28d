"""Determines how many requests of a service its targets can take, and one's share.

Requests at the targets beyond their capacity would only wait there, where the order
cannot be chosen and the caller cannot be told. All routers together should therefore
have about as many requests there as the targets can run, and for plain targets as many
more as keep them busy.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from types import MappingProxyType
from typing import TYPE_CHECKING

from primrosescale.request.capacity.answer_times import AnswerTimes
from primrosescale.request.capacity.capacity_view import Allowance
from primrosescale.request.capacity.capacity_view import CapacityView
from primrosescale.request.capacity.demand_share import DemandShare
from primrosescale.request.capacity.fraction_rounding import FractionRounding

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from random import Random

    from primrosescale.request.attempt.forwarded_call import ForwardedCall
    from primrosescale.request.capacity.overload_scope import OverloadScope
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.target_state import TargetState
    from primrosescale.version.routing_table import Service

# The sums over all targets of a service are computed at most this often. This router's
# own demand is known exactly in between.
SUM_SECONDS = 0.05
# Factor between capacity and the largest demand of others that is believed, and the
# number that is believed in any case. A longer queue hardly changes the shares, while a
# router that reports nonsense must not take the whole capacity from the others.
MAX_BELIEVED_FACTOR = 8.0
MIN_BELIEVED = 16.0
# Share of the requests that may wait at a target which is planned for. Those that other
# routers have not reported yet come on top.
PLANNED_SHARE = 0.7
ANSWERED = "answered"
NONE_RETURNING: Mapping[str, int] = MappingProxyType({})
MIN_SUCCESS_STATUS = 200
MAX_SUCCESS_STATUS = 299


def _usual_pace(_: TargetState, __: float) -> float:
    return 1.0


@dataclass(frozen=True, slots=True)
class CapacitySources:
    """Where the capacity of services and the demand for them are known from.

    Parameters
    ----------
    states_of : Callable[[str], Iterable[TargetState]]
        Returns the targets of a service.
    service_of : Callable[[str], Service | None]
        Returns a service by its name; None if it is not configured.
    routers : Callable[[], int]
        Returns the number of listed routers, including this one.
    waiting_elsewhere : Callable[[str, float, float], float]
        Returns how many requests for a service wait at other routers, and refused
        callers are to return there, given the number up to which those of one router
        count, and the present time.
    has_current_loads : Callable[[float], bool]
        Returns whether the load of other routers is known at a time.
    pace_of : Callable[[TargetState, float], float]
        Returns how long work is expected to take at a target, as a multiple of the
        usual time, at a time.
    """

    states_of: Callable[[str], Iterable[TargetState]]
    service_of: Callable[[str], Service | None]
    routers: Callable[[], int]
    waiting_elsewhere: Callable[[str, float, float], float]
    has_current_loads: Callable[[float], bool]
    pace_of: Callable[[TargetState, float], float] = _usual_pace


@dataclass(frozen=True, slots=True)
class _Sums:
    """Sums over the targets of a service at a time.

    Parameters
    ----------
    taken_at : float
        The time in seconds.
    capacity : float
        Requests that the targets can take.
    own : int
        Requests of this router at them.
    own_at_leaving : int
        Requests of this router at targets that are leaving or evacuated. Those at
        avoided ones do not count: these soon get requests again.
    others : float
        Requests of other routers, at the targets and waiting, and their refused callers
        that are to return.
    routers : int
        Number of listed routers then, including this one.
    has_current_loads : bool
        Whether the load of other routers was known then.
    unwaiting_calls : int
        Calls of this router at that time, except those that waited here.
    """

    taken_at: float
    capacity: float
    own: int
    own_at_leaving: int
    others: float
    routers: int
    has_current_loads: bool
    unwaiting_calls: int


class ServiceCapacity(CapacityView):
    """The capacity of services, and this router's share of it.

    Parameters
    ----------
    scope : OverloadScope
        Services for which it is in force.
    sources : CapacitySources
        Where capacity and demand are known from.
    rng : Random
        Random generator for rounding.
    """

    __slots__ = (
        "_answer_times",
        "_calls",
        "_requested",
        "_rng",
        "_roundings",
        "_scope",
        "_sources",
        "_sums",
    )

    def __init__(
        self,
        scope: OverloadScope,
        sources: CapacitySources,
        rng: Random,
    ) -> None:
        self._scope = scope
        self._sources = sources
        self._rng = rng
        self._answer_times = AnswerTimes()
        self._calls: Counter[str] = Counter()
        # Services in force of which a request has been received.
        self._requested: set[str] = set()
        self._sums: dict[str, _Sums] = {}
        self._roundings: dict[str, FractionRounding] = {}

    def request_received(self, request: IncomingRequest) -> None:
        """Count a request that this router has accepted.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        """
        self._calls[request.service] += 1
        if self._scope.is_in_force(request.service):
            self._requested.add(request.service)

    def call_ended(self, call: ForwardedCall) -> None:
        """Count a request as ended, and learn from its answer.

        Parameters
        ----------
        call : ForwardedCall
            The request, whose attempts have ended.
        """
        service = call.request.service
        self._calls[service] -= 1
        if not self._scope.is_in_force(service) or call.status is None:
            return
        if not MIN_SUCCESS_STATUS <= call.status <= MAX_SUCCESS_STATUS:
            return
        for attempt in call.attempts:
            if attempt.outcome == ANSWERED and attempt.ended_at is not None:
                seconds = attempt.ended_at - attempt.began_at
                # Other times are measured only if the clock was set meanwhile.
                if 0 <= seconds <= call.request.deadline - call.request.received_at:
                    self._answer_times.record(service, seconds)

    def is_in_force(self, service: str) -> bool:
        """Return whether requests may have to wait; see `CapacityView`."""
        return self._scope.is_in_force(service)

    def allowance(
        self, service: str, waiting: int, now: float, returning: int = 0
    ) -> Allowance | None:
        """Return how many requests it may have at targets; see `CapacityView`.

        There is no limit either while no target takes requests, since the choice of a
        target then refuses the request with the exact reason.
        """
        if not self._scope.is_in_force(service):
            return None
        share = self._share(service, waiting, returning, now)
        mean = share.mean_allowance()
        if mean is None or not share.capacity:
            return None
        rounding = self._roundings.get(service)
        if rounding is None:
            rounding = self._roundings[service] = FractionRounding(self._rng)
        running = self._at_targets(service, waiting)
        requests = rounding.round(mean, running, self.answer_time(service), now)
        requests += self._sums[service].own_at_leaving
        return Allowance(requests, mean, share.capacity, share.demand)

    def answer_time(self, service: str) -> float | None:
        """Return for how long a request occupies its place; see `CapacityView`."""
        return self._answer_times.mean(service)

    def unseen_demand(
        self, service: str, waiting: int, returning: int, now: float
    ) -> int:
        """Return the demand of this router that others do not see at the targets.

        A router that refuses at once has few waiting requests to show, and would lose
        its part of the targets to those whose queues are long. So refused callers count
        as well, until the router has as much demand as the others have on average. One
        that has more of them gets no larger part of the targets for it, or an excess at
        one router would be taken from the callers of all.

        Parameters
        ----------
        service : str
            Name of the service.
        waiting : int
            Requests for it that wait in this router.
        returning : int
            Callers that this router has refused and that are still to return.
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Waiting requests, and the callers that count.
        """
        share = self._share(service, waiting, returning, now)
        return max(0, round(share.own - self._at_targets(service, waiting)))

    def levels(
        self,
        waiting_by_service: Mapping[str, int],
        now: float,
        returning_by_service: Mapping[str, int] = NONE_RETURNING,
    ) -> dict[str, tuple[float, float]]:
        """Return capacity and demand of the services where it is in force.

        Parameters
        ----------
        waiting_by_service : Mapping[str, int]
            Requests that wait in this router.
        now : float
            Current time in seconds.
        returning_by_service : Mapping[str, int]
            Callers that this router has refused and that are still to return.

        Returns
        -------
        dict[str, tuple[float, float]]
            By service of which a request has been received: the requests that all
            routers should have at its targets, and the demand: those that they have
            there and that wait, and the refused callers that count.
        """
        found = {}
        for service in self._requested:
            if self._scope.is_in_force(service):
                waiting = waiting_by_service.get(service, 0)
                returning = returning_by_service.get(service, 0)
                share = self._share(service, waiting, returning, now)
                found[service] = (share.capacity, share.demand)
        return found

    def _share(
        self, service: str, waiting: int, returning: int, now: float
    ) -> DemandShare:
        sums = self._sums.get(service)
        if sums is None or not 0 <= now - sums.taken_at < SUM_SECONDS:
            sums = self._sums[service] = self._sum(service, waiting, now)
        own = self._at_targets(service, waiting) + max(0, waiting)
        mean_of_others = sums.others / max(1, sums.routers - 1)
        return DemandShare(
            sums.capacity,
            own + max(0.0, min(returning, mean_of_others - own)),
            sums.others,
            sums.routers,
            sums.has_current_loads,
        )

    def _at_targets(self, service: str, waiting: int) -> int:
        """Return the requests of this router at the targets, by the last sums."""
        sums = self._sums[service]
        # Calls that have begun and ended since the sums were computed.
        unwaiting = self._calls[service] - waiting - sums.unwaiting_calls
        return max(0, sums.own + unwaiting)

    def _sum(self, service: str, waiting: int, now: float) -> _Sums:
        """Compute the sums over the targets of a service."""
        capacity = others = 0.0
        own = 0
        routers = self._sources.routers()
        states = list(self._sources.states_of(service))
        for state in _usable(states, now):
            capacity += self._capacity_of(state, routers, now)
            own += state.own_running
            others += max(0.0, state.load(now) - state.own_running)
        most = MIN_BELIEVED + MAX_BELIEVED_FACTOR * capacity
        others = min(others, most)
        others += self._sources.waiting_elsewhere(service, most, now)
        return _Sums(
            now,
            capacity,
            own,
            sum(state.own_running for state in states if not state.takes_work),
            others,
            routers,
            self._sources.has_current_loads(now),
            self._calls[service] - waiting,
        )

    def _capacity_of(self, state: TargetState, routers: int, now: float) -> float:
        """Return how many requests a target can take.

        A slot that becomes free would be idle until the next request arrives. Routers
        learn late which target has a free one, so that each of them may have a request
        there that the others do not know of, up to as many as there are slots; fewer
        where slots become free more slowly. None may wait at model engines: a stream
        keeps its slot for seconds.
        """
        known = self._sources.service_of(state.target.service)
        if known is not None and known.cache_tokens:
            return float(state.slots)
        pace = self._sources.pace_of(state, now)
        if not 0 < pace < math.inf:
            pace = 1.0
        waiting = PLANNED_SHARE * min(state.slots, max(1, routers)) / pace
        return state.slots + min(float(state.slots), waiting)


def _usable(states: list[TargetState], now: float) -> list[TargetState]:
    """Return the targets that get new requests.

    Avoided ones are included only where all are avoided, as in the choice.
    """
    found = [
        state
        for state in states
        if state.takes_work and not state.self_reports.has_requested_pause(now)
    ]
    return [state for state in found if not state.is_avoided(now)] or found
