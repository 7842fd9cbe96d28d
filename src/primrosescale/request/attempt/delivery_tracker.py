"""Tracks which requests the targets have read, for the budgets of their retries.

What is sent to a target that stands still, or over a link that is interrupted, waits in
the buffers of the network and of the target's host, also after the connection has been
aborted. The target reads it when it goes on. A request is known to have been read when
its answer begins, or the answer to one that was sent to the target later.

Of a request that is sent several times, the target that reads it last gets a retry,
whichever it was sent to first. So the retries of a request that are still to be read
are as many as its unread attempts, or one less while none has been read.
"""

from __future__ import annotations

from collections import deque
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
        self.budget.delays.sent(now)
        before = max(0, self.unread_retries)
        self.sent += 1
        self.unread += 1
        if self.unread_retries > before:
            self.budget.sent(now)

    def read(self, sent_at: float, now: float, *, is_answered: bool) -> None:
        """Count an attempt that has been read, and was sent at a given time."""
        self.budget.delays.read(sent_at, now)
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

    __slots__ = ("_deliveries", "_is_read", "_sent_at", "_target")

    def __init__(
        self, deliveries: _RequestDeliveries, target: TargetIncarnation, sent_at: float
    ) -> None:
        self._deliveries = deliveries
        self._target = target
        self._sent_at = sent_at
        self._is_read = False

    @property
    def target(self) -> TargetIncarnation:
        """Return the incarnation that it was sent to."""
        return self._target

    @property
    def sent_at(self) -> float:
        """Return when it was sent, in seconds."""
        return self._sent_at

    def read(self, now: float, *, is_answered: bool = False) -> None:
        """Record that the target has read it, or never will.

        Parameters
        ----------
        now : float
            Present time in seconds.
        is_answered : bool
            Whether its own answer shows that.
        """
        if not self._is_read:
            self._is_read = True
            self._deliveries.read(self._sent_at, now, is_answered=is_answered)


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
        self._unread: dict[str, deque[SentAttempt]] = {}
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
        deliveries.add(now)
        attempt = SentAttempt(deliveries, target, now)
        unread = self._unread.setdefault(target.name, deque())
        while unread and unread[0].target.is_followed_by(target):
            unread.popleft().read(now)
        unread.append(attempt)
        return attempt

    def answered(self, attempt: SentAttempt, now: float) -> None:
        """Record that the answer to an attempt has begun.

        Parameters
        ----------
        attempt : SentAttempt
            The attempt. Those that were sent to its target before have been read too.
        now : float
            Present time in seconds.
        """
        attempt.read(now, is_answered=True)
        unread = self._unread.get(attempt.target.name)
        while unread and unread[0].sent_at <= attempt.sent_at:
            unread.popleft().read(now)

    def _expire(self, now: float) -> None:
        """Give up attempts that are still unread, and forget requests that ended."""
        self._expires_at = now + EXPIRY_INTERVAL_SECONDS
        for name, unread in list(self._unread.items()):
            while unread and unread[0].sent_at < now - MAX_UNREAD_SECONDS:
                unread.popleft().read(now)
            if not unread:
                del self._unread[name]
        for key, deliveries in list(self._requests.items()):
            if not deliveries.unread and deliveries.request.give_up_at < now:
                del self._requests[key]
