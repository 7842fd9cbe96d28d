"""Tracks which requests the targets have read, for the budgets of their retries.

What is sent to a target that stands still, or over a connection that is interrupted,
waits in the buffers of the network and of the target's host, also after the connection
has ended. The target reads it when it goes on. Only the answer to an attempt shows that
this attempt has been read: another connection to the same target has buffers of its
own, and a connection can be reset by anything on its way.

Of a request that is sent several times, the target that reads it last gets a retry,
whichever it was sent to first. So the retries of a request that are still to be read
are as many as its unread attempts, or one less while none has been read.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.attempt.retry_share import MAX_UNREAD_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.request.attempt.shared_retry_budget import SharedRetryBudget
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.target_incarnation import TargetIncarnation

EXPIRY_INTERVAL_SECONDS = 1.0


class _RequestDeliveries:
    """How often one request was sent, and how often it has not been read.

    Parameters
    ----------
    request : IncomingRequest
        The request; kept so that no other one has its identity.
    budget : SharedRetryBudget
        Pays for its retries.
    """

    __slots__ = ("budget", "request", "sent", "unread")

    def __init__(self, request: IncomingRequest, budget: SharedRetryBudget) -> None:
        self.request = request
        self.budget = budget
        self.sent = 0
        self.unread = 0

    @property
    def unread_retries(self) -> int:
        """Return how many of its retries are still to be read."""
        return min(self.sent - 1, self.unread)

    def add(self, now: float) -> None:
        """Count an attempt that is sent."""
        before = max(0, self.unread_retries)
        self.sent += 1
        self.unread += 1
        if self.unread_retries > before:
            self.budget.sent(now)

    def read(self, now: float, *, is_answered: bool) -> None:
        """Count an attempt that has been read."""
        before = self.unread_retries
        self.unread -= 1
        if self.unread_retries < before:
            self.budget.read(now, is_answered=is_answered)


class SentAttempt:
    """One attempt of a request that was sent to a target.

    Parameters
    ----------
    deliveries : _RequestDeliveries
        All attempts of the request.
    target : TargetIncarnation
        The incarnation that it was sent to.
    sent_at : float
        When it was sent, in seconds.
    """

    __slots__ = ("_deliveries", "_is_followed", "_sent_at", "_target")

    def __init__(
        self, deliveries: _RequestDeliveries, target: TargetIncarnation, sent_at: float
    ) -> None:
        self._deliveries = deliveries
        self._target = target
        self._sent_at = sent_at
        # Whether its target has answered it or a later one.
        self._is_followed = False
        deliveries.budget.delays.sent(sent_at)
        deliveries.add(sent_at)

    @property
    def target(self) -> TargetIncarnation:
        """Return the incarnation that it was sent to."""
        return self._target

    @property
    def sent_at(self) -> float:
        """Return when it was sent, in seconds."""
        return self._sent_at

    def followed(self, now: float) -> None:
        """Record that its target has answered it or a later one.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if not self._is_followed:
            self._is_followed = True
            self._deliveries.budget.delays.answered(self._sent_at, now)

    def read(self, now: float, *, is_answered: bool = False) -> None:
        """Record that the target has read it, or never will; called once.

        Parameters
        ----------
        now : float
            Present time in seconds.
        is_answered : bool
            Whether its own answer shows that.
        """
        if is_answered:
            self.followed(now)
        elif not self._is_followed:
            self._deliveries.budget.delays.given_up(self._sent_at)
        self._deliveries.read(now, is_answered=is_answered)


class DeliveryTracker:
    """Settles the retries of all requests once targets have read them.

    Parameters
    ----------
    budget_of : Callable[[str], SharedRetryBudget]
        Returns the retry budget of a service.
    """

    __slots__ = ("_budget_of", "_expires_at", "_requests", "_unread")

    def __init__(self, budget_of: Callable[[str], SharedRetryBudget]) -> None:
        self._budget_of = budget_of
        # By identity of the request.
        self._requests: dict[int, _RequestDeliveries] = {}
        # By name of the target, in the order in which they were sent.
        self._unread: dict[str, dict[SentAttempt, None]] = {}
        self._expires_at = 0.0

    def sent(
        self, request: IncomingRequest, target: TargetIncarnation, now: float
    ) -> SentAttempt:
        """Record that a request is being sent to a target.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        target : TargetIncarnation
            The target.
        now : float
            Present time in seconds.

        Returns
        -------
        SentAttempt
            The attempt.
        """
        if now >= self._expires_at:
            self._expire(now)
        deliveries = self._requests.get(id(request))
        if deliveries is None:
            budget = self._budget_of(request.service)
            deliveries = _RequestDeliveries(request, budget)
            self._requests[id(request)] = deliveries
        attempt = SentAttempt(deliveries, target, now)
        unread = self._unread.setdefault(target.name, {})
        for former in [each for each in unread if each.target.is_followed_by(target)]:
            del unread[former]
            former.read(now)
        unread[attempt] = None
        return attempt

    def answered(self, attempt: SentAttempt, now: float) -> None:
        """Record that the answer to an attempt has begun.

        Parameters
        ----------
        attempt : SentAttempt
            The attempt. Its target has been running since those before it were sent.
        now : float
            Present time in seconds.
        """
        unread = self._unread.get(attempt.target.name, {})
        if attempt not in unread:
            return
        del unread[attempt]
        attempt.read(now, is_answered=True)
        for former in unread:
            if former.sent_at > attempt.sent_at:
                break
            former.followed(now)

    def _expire(self, now: float) -> None:
        """Give up attempts that are still unread, and forget requests that ended."""
        self._expires_at = now + EXPIRY_INTERVAL_SECONDS
        oldest = now - MAX_UNREAD_SECONDS
        for name, unread in list(self._unread.items()):
            for expired in [each for each in unread if each.sent_at < oldest]:
                del unread[expired]
                expired.read(now)
            if not unread:
                del self._unread[name]
        for key, deliveries in list(self._requests.items()):
            if not deliveries.unread and deliveries.request.give_up_at < now:
                del self._requests[key]
