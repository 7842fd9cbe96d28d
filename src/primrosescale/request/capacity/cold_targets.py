"""Limits the rate of requests to cold targets, which have empty caches.

A target is cold for some time after it has started or become reachable again.
A target with empty caches and no load looks better than all others, so that every
router sends to it at once, and it crashes under the load. While it is cold, all
routers together send it no more requests in a second than it can handle, whether or
not they reach the store and each other: each router uses only the permits that the
list of routers assigns to it, and counts them over any one second.

Only half of what a target can handle is divided into permits, so that the bound also
holds while two lists of routers are in force that have nothing in common.
"""

from __future__ import annotations

from bisect import insort
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primrosescale.request.capacity.router_shares import RouterShares
    from primrosescale.request.target.target_state import TargetState
    from primrosescale.version.routing_table import Service

# Time over which requests to a cold target are counted; longer than the one second
# that the bound is defined for, by as much as timers and links may shift requests.
WINDOW_SECONDS = 1.05
# Share of the bound that is divided among routers.
DIVIDED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ColdSettings:
    """How far requests to a cold target may exceed the cold rate of its service."""

    over: float = option(
        SECONDS,
        "requests a second that a cold target may get, as a multiple of the cold "
        "rate of its service",
        1.0,
    )
    slack: float = option(
        SECONDS,
        "requests a second that it may get in addition to that",
        0.0,
    )

    def permits(self, service: Service) -> int:
        """Return how many requests a second all routers may send to a cold target.

        Parameters
        ----------
        service : Service
            Its service.

        Returns
        -------
        int
            Permits a second, to be divided among the routers; at least 1 where the
            bound allows one request.
        """
        bound = service.cold_rate * self.over + self.slack
        divided = int(min(service.cold_rate, bound * DIVIDED_SHARE))
        return max(divided, 1 if bound >= 1 else 0)


@dataclass(frozen=True, slots=True)
class Reservation:
    """A request to a cold target that will be sent once it may.

    Parameters
    ----------
    target : str
        Name of the target.
    at : float
        When it may be sent, in seconds.
    """

    target: str
    at: float


class ColdTargets:
    """Limits and counts the requests of this router to targets that may be cold.

    Parameters
    ----------
    settings : ColdSettings
        The bound.
    shares : RouterShares
        Determines which permits are this router's.
    service_of : Callable[[str], Service | None]
        Returns a service by name, if the configuration version in force has it.
    """

    __slots__ = ("_sent", "_service_of", "_settings", "_shares")

    def __init__(
        self,
        settings: ColdSettings,
        shares: RouterShares,
        service_of: Callable[[str], Service | None],
    ) -> None:
        self._settings = settings
        self._shares = shares
        self._service_of = service_of
        # When requests were sent recently or will be, by name of the target, in order.
        self._sent: dict[str, deque[float]] = {}

    def configure(self, settings: ColdSettings) -> None:
        """Replace the bound.

        Parameters
        ----------
        settings : ColdSettings
            The bound.
        """
        self._settings = settings

    def is_cold(self, state: TargetState, now: float) -> bool:
        """Return whether a target may be cold and its service limits cold targets.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether requests to it are limited now.
        """
        service = self._limited_service(state)
        return service is not None and now < state.cold_until(service.cold_seconds)

    def select_available(
        self, states: Sequence[TargetState], now: float
    ) -> list[TargetState]:
        """Return which of the given targets may be sent a request now.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of one service.
        now : float
            Current time in seconds.

        Returns
        -------
        list[TargetState]
            Those that are not cold, and cold ones for which a permit is left.
        """
        service = self._limited_service(states[0]) if states else None
        if service is None:
            return list(states)
        return [state for state in states if not self._wait(state, service, now)]

    def wait(self, state: TargetState, now: float) -> float:
        """Return how long a request to a target has to wait.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; at most until the target is no longer cold.
        """
        service = self._limited_service(state)
        return 0.0 if service is None else self._wait(state, service, now)

    def _wait(self, state: TargetState, service: Service, now: float) -> float:
        warm_in = state.cold_until(service.cold_seconds) - now
        if warm_in <= 0:
            return 0.0
        permits = self._settings.permits(service)
        own = self._shares.own_permits(state.target.name, permits, now)
        sent = self._recently_sent(state.target.name, now)
        if len(sent) < own:
            return 0.0
        if not own:
            return warm_in
        return min(warm_in, sent[-own] + WINDOW_SECONDS - now)

    def sent(self, state: TargetState, now: float) -> None:
        """Count a request that is sent.

        Parameters
        ----------
        state : TargetState
            The target it is sent to.
        now : float
            Current time in seconds.
        """
        if self._limited_service(state) is not None:
            # Requests sent before the target was known to be cold count too.
            insort(self._recently_sent(state.target.name, now), now)

    def reserve(self, state: TargetState, now: float) -> Reservation | None:
        """Count a request that waits until the target may be sent it.

        Other requests wait longer by it, so that none waits for a permit that another
        one gets.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        Reservation | None
            To be released when the request is sent or ends; None if the target may be
            sent it now.
        """
        wait = self.wait(state, now)
        if not wait:
            return None
        name = state.target.name
        insort(self._recently_sent(name, now), now + wait)
        return Reservation(name, now + wait)

    def release(self, reservation: Reservation) -> None:
        """Count a reserved request no longer.

        Parameters
        ----------
        reservation : Reservation
            As returned by `reserve`.
        """
        sent = self._sent.get(reservation.target)
        if sent is not None and reservation.at in sent:
            sent.remove(reservation.at)

    def sweep(self, now: float) -> None:
        """Drop the counts of targets to which nothing was sent recently.

        Counts are kept while they are in the window, also those of a forgotten target:
        its entry may be written again, and the requests sent before still count.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        since = now - WINDOW_SECONDS
        idle = [
            name for name, sent in self._sent.items() if not sent or sent[-1] <= since
        ]
        for name in idle:
            del self._sent[name]

    def _limited_service(self, state: TargetState) -> Service | None:
        service = self._service_of(state.target.service)
        return service if service is not None and service.cold_rate > 0 else None

    def _recently_sent(self, name: str, now: float) -> deque[float]:
        sent = self._sent.get(name)
        if sent is None:
            sent = self._sent[name] = deque()
        while sent and sent[0] <= now - WINDOW_SECONDS:
            sent.popleft()
        return sent
