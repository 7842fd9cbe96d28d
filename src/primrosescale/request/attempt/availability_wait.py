"""Lets a request wait for a target that may not be sent it yet, or refuses it.

Targets take no requests for a while when they are cold, have asked for a pause, or when
all connections that this router may have to them are in use. A request waits if it can
still be answered in its caller's time. Otherwise it is refused at once with the time at
which its caller should return.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.capacity.wait_forecast import RETRY_JITTER
from primrosescale.request.capacity.wait_forecast import latest_start

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.request.attempt.candidate_targets import CandidateTargets
    from primrosescale.request.attempt.forwarding_context import ForwardingContext
    from primrosescale.request.capacity.cold_targets import Reservation


class AvailabilityWait:
    """The wait of one request for an available target.

    It may have to wait more than once, as a target that ends its pause takes few
    requests at first, and a connection that is free may be taken. From the first time
    that a target is expected to take it, it waits for no longer than an answer usually
    takes, since then nothing tells when another place is free.

    Parameters
    ----------
    candidates : CandidateTargets
        The targets that it may be sent to.
    tools : ForwardingContext
        Settings and collaborators that all calls share.
    send : Callable[[float], None]
        Sends the request, or calls `begin` again; given the present time.
    fail : Callable[[Refusal, float | None], None]
        Refuses the request, given the Retry-After in seconds; None for the setting.
    """

    __slots__ = (
        "_candidates",
        "_fail",
        "_reservation",
        "_send",
        "_timer",
        "_tools",
        "_until",
    )

    def __init__(
        self,
        candidates: CandidateTargets,
        tools: ForwardingContext,
        send: Callable[[float], None],
        fail: Callable[[Refusal, float | None], None],
    ) -> None:
        self._candidates = candidates
        self._tools = tools
        self._send = send
        self._fail = fail
        self._timer: Timer | None = None
        self._reservation: Reservation | None = None
        # When it may start at the latest; None until it has to wait.
        self._until: float | None = None

    def begin(self, now: float) -> None:
        """Wait for a target, or refuse the request.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if not self._candidates.has_version():
            self._fail(Refusal.VERSION_GONE, None)
            return
        left = self._candidates.left()
        availability = self._tools.availability
        available_in = availability.shortest_wait(left, now)
        crowded = bool(
            not available_in
            and left
            and self._tools.chooser.is_crowded(self._candidates.states(), now)
        )
        if not available_in and not crowded:
            available_in = availability.wait_for_connection(left, now)
        if not available_in:
            refusal = Refusal.TARGETS_CROWDED if crowded else Refusal.NO_TARGET
            self._fail(refusal, None)
        elif now + available_in <= self._latest_start(available_in, now):
            self._reservation = availability.reserve(left, now)
            self._timer = self._tools.clock.callLater(available_in, self._wake)
        elif availability.lacks_connections(left, now):
            self._fail(Refusal.CONNECTIONS_IN_USE, None)
        elif all(state.self_reports.is_limited for state in left if state.takes_work):
            self.refuse_all_paused(available_in)
        else:
            jitter = self._tools.rng.uniform(*RETRY_JITTER)
            self._fail(Refusal.TARGETS_COLD, available_in * jitter)

    def refuse_all_paused(self, available_in: float) -> None:
        """Refuse it, with a jittered Retry-After after the first pause ends.

        Parameters
        ----------
        available_in : float
            Seconds until then.
        """
        refusal = Refusal.TARGETS_RESTING
        settings, rng = self._tools.settings, self._tools.rng
        jitter = settings.retry_delay(refusal, None, rng) or 0.0
        self._fail(refusal, available_in + jitter)

    def cancel(self) -> None:
        """Wait no more; a place that was reserved for it is free."""
        cancel_timer(self._timer)
        self._timer = None
        self._release()

    def _latest_start(self, available_in: float, now: float) -> float:
        """Return until when the request may wait, in seconds."""
        if self._until is None:
            request = self._candidates.request
            usual = self._tools.usual_times.usual(request.route.name)
            self._until = min(
                latest_start(request, usual), now + available_in + usual.beginning
            )
        return self._until

    def _wake(self) -> None:
        self._timer = None
        self._release()
        self._send(self._tools.clock.seconds())

    def _release(self) -> None:
        reservation, self._reservation = self._reservation, None
        if reservation is not None:
            self._tools.availability.release(reservation)
