"""How much is sent to targets that have just started or come back.

The pattern it answers: a target without caches and with nothing to do looks better
than all others, so that every router sends to it at once, and it ends under what it
is sent. While it is cold, all routers together send it no more in a second than it
bears, whether they reach the store and each other or not: each sends on the tokens
that are its own by the list of routers, and counts them over any second.

Half of what a target bears is divided, so that the bound holds too while two lists
of routers are in force that have nothing in common.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from primrosescale.request.router_shares import RouterShares
    from primrosescale.request.target_state import TargetState
    from primrosescale.version.routing_table import Service

# The time over which requests to a cold target are counted, in seconds; longer than
# the second that is promised by what timers and links may shift.
WINDOW_SECONDS = 1.05
# Part of the bound that is divided among routers.
DIVIDED_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ColdSettings:
    """How far a cold target may be loaded over the rate that its service names."""

    over: float = option(
        SECONDS,
        "requests a second that a cold target may get, as a multiple of its "
        "service's rate",
        1.0,
    )
    slack: float = option(
        SECONDS,
        "requests a second that it may get besides",
        0.0,
    )

    def permits(self, service: Service) -> int:
        """Return how many requests a second all routers send to a cold target.

        Parameters
        ----------
        service : Service
            Its service.

        Returns
        -------
        int
            Requests; 1 at least where the bound allows one.
        """
        bound = service.cold_rate * self.over + self.slack
        divided = int(min(service.cold_rate, bound * DIVIDED_SHARE))
        return max(divided, 1 if bound >= 1 else 0)


class ColdTargets:
    """Counts what this router sends to targets that may be cold.

    Parameters
    ----------
    settings : ColdSettings
        The bound.
    shares : RouterShares
        Which tokens are this router's.
    service_of : Callable[[str], Service | None]
        Returns a service by name, if the version in force has it.
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
        # When requests were sent lately, by the name of the target.
        self._sent: dict[str, deque[float]] = {}

    def configure(self, settings: ColdSettings) -> None:
        """Take in a changed bound.

        Parameters
        ----------
        settings : ColdSettings
            The bound.
        """
        self._settings = settings

    def is_cold(self, state: TargetState, now: float) -> bool:
        """Tell whether a target may be cold, and its service bounds such ones.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether what it is sent is counted.
        """
        service = self._bounded(state)
        return service is not None and now < state.cold_until(service.cold_seconds)

    def open(self, states: Sequence[TargetState], now: float) -> list[TargetState]:
        """Return those of some targets that may be sent a request now.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of one service.
        now : float
            Present time in seconds.

        Returns
        -------
        list[TargetState]
            Those that are not cold, and cold ones that bear another request.
        """
        service = self._bounded(states[0]) if states else None
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
            Present time in seconds.

        Returns
        -------
        float
            Seconds; at the most until the target is warm.
        """
        service = self._bounded(state)
        return 0.0 if service is None else self._wait(state, service, now)

    def _wait(self, state: TargetState, service: Service, now: float) -> float:
        warm_in = state.cold_until(service.cold_seconds) - now
        if warm_in <= 0:
            return 0.0
        permits = self._settings.permits(service)
        own = self._shares.own_permits(state.target.name, permits, now)
        sent = self._lately(state.target.name, now)
        if len(sent) < own:
            return 0.0
        if not own:
            return warm_in
        return min(warm_in, sent[-own] + WINDOW_SECONDS - now)

    def sent(self, state: TargetState, now: float) -> None:
        """Count a request that goes out.

        Parameters
        ----------
        state : TargetState
            Where it goes.
        now : float
            Present time in seconds.
        """
        if self._bounded(state) is not None:
            # What was sent before it became known to be cold counts too.
            self._lately(state.target.name, now).append(now)

    def forget(self, name: str) -> None:
        """Forget a target that is gone.

        Parameters
        ----------
        name : str
            The target.
        """
        self._sent.pop(name, None)

    def _bounded(self, state: TargetState) -> Service | None:
        service = self._service_of(state.target.service)
        return service if service is not None and service.cold_rate > 0 else None

    def _lately(self, name: str, now: float) -> deque[float]:
        sent = self._sent.get(name)
        if sent is None:
            sent = self._sent[name] = deque()
        while sent and sent[0] <= now - WINDOW_SECONDS:
            sent.popleft()
        return sent
