"""Decides which requests a router still accepts while it stops.

A stopping router cuts whatever has not ended when its time is over. A caller whose
answer is cut has lost it, and may not repeat a request that may run only once. One that
is refused loses a round trip: the refusal says that nothing ran, and another router
serves the request.

While the load balancer still sends new connections here, and until these have brought
their first requests, callers cannot know that they should go elsewhere, and most of the
time is left. A request is then refused only if answers of its route have lately taken
about as long as what is left. Later requests come on connections that callers have
kept. Their callers reach another router with the next connection, so a request is
accepted only if it certainly ends in time: its caller's or its route's time limit is
over before requests are cut.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.capacity.isolated_retry import MAX_JITTER_SECONDS
from primrosescale.request.capacity.longest_answers import LongestAnswers

if TYPE_CHECKING:
    from random import Random

    from primrosescale.request.incoming_request import IncomingRequest

# The load balancer polls once a second and removes a router after two failed checks.
# New connections may still arrive shortly afterwards.
BALANCER_REMOVAL_SECONDS = 2.6
# At most this share of the time for a stop is spent waiting for the load balancer.
MAX_REMOVAL_SHARE = 0.5
# The last new connections bring their first requests within this time.
FIRST_REQUEST_SECONDS = 0.3
# An answer may take longer than all recent ones of its route.
LONGEST_ANSWER_FACTOR = 1.25
# Reserved before SIGKILL for closing connections.
STOP_MARGIN_SECONDS = 0.5


@dataclass(frozen=True, slots=True)
class StopSchedule:
    """Times of a planned stop, in seconds.

    Parameters
    ----------
    began_at : float
        When it began.
    listens_until : float
        Until when new connections are accepted.
    cuts_at : float
        When the requests that are still in flight are cut.
    """

    began_at: float
    listens_until: float
    cuts_at: float

    @classmethod
    def of(cls, stop_within: float, now: float) -> StopSchedule:
        """Return the schedule of a stop that begins now.

        Parameters
        ----------
        stop_within : float
            Seconds until the process is killed.
        now : float
            Present time in seconds.

        Returns
        -------
        StopSchedule
            The schedule.
        """
        time = max(0.0, stop_within - STOP_MARGIN_SECONDS)
        removal = min(BALANCER_REMOVAL_SECONDS, MAX_REMOVAL_SHARE * time)
        return cls(now, now + removal, now + time)


class StopAdmission:
    """Accepts or refuses requests while a router stops; accepts all before that."""

    __slots__ = ("_longest_answers", "_schedule")

    def __init__(self) -> None:
        self._longest_answers = LongestAnswers()
        self._schedule: StopSchedule | None = None

    @property
    def is_stopping(self) -> bool:
        """Return whether the router is stopping."""
        return self._schedule is not None

    def begin(self, schedule: StopSchedule) -> None:
        """Begin to refuse requests.

        Parameters
        ----------
        schedule : StopSchedule
            Times of the stop.
        """
        self._schedule = schedule

    def answered(self, request: IncomingRequest, now: float) -> None:
        """Record that a request has been answered completely.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        now : float
            Present time in seconds.
        """
        seconds = now - request.received_at
        self._longest_answers.record(request.route.name, seconds, now)

    def accepts(self, request: IncomingRequest, now: float) -> bool:
        """Return whether a request can still be served here.

        Parameters
        ----------
        request : IncomingRequest
            The request, which was received now.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False if it is to be refused, so that another router serves it.
        """
        schedule = self._schedule
        if schedule is None or request.give_up_at <= schedule.cuts_at:
            return True
        if now >= schedule.listens_until + FIRST_REQUEST_SECONDS:
            return False
        longest = self._longest_answers.longest(request.route.name, now)
        if longest is None:
            return True
        return now + LONGEST_ANSWER_FACTOR * longest <= schedule.cuts_at


def stop_retry_delay(rng: Random) -> float:
    """Return the Retry-After of a request that a stopping router refuses.

    Parameters
    ----------
    rng : Random
        Source of the jitter.

    Returns
    -------
    float
        Seconds; short, since another router serves the request.
    """
    return rng.uniform(0.0, MAX_JITTER_SECONDS)
