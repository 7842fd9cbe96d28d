"""The order in which waiting calls of one service are started, and its bounds.

Calls are started by priority; within a priority, returning callers go first; among
these, organisations share the starts fairly by work. Every eighth start goes to the
least urgent priority that has waiting calls.
"""

from __future__ import annotations

import math
from collections import Counter
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from primrosescale.request.capacity.fair_queue import FairQueue
from primrosescale.request.capacity.fair_queue import QueuedCall

if TYPE_CHECKING:
    from primrosescale.request.capacity.capacity_view import Allowance
    from primrosescale.request.incoming_request import IncomingRequest

T = TypeVar("T")

# Every so many starts, one goes to the least urgent priority.
LEAST_URGENT_INTERVAL = 8
# Returning callers and first-time callers have a rank each within a priority.
RANKS_PER_PRIORITY = 2
MAX_WAITING_PER_ALLOWED = 4
MIN_MAX_WAITING = 16
ORGANISATION_WEIGHT = 1
# In the units of `WorkSettings`: a plain request, and a prompt token to prefill.
PLAIN_WORK = 100
PREFILL_WORK = 0.05


def max_waiting(allowance: Allowance | None) -> int:
    """Return how many calls of a service may wait.

    Parameters
    ----------
    allowance : Allowance | None
        The router's allowance; None for no limit.

    Returns
    -------
    int
        Number of calls.
    """
    mean = 0.0 if allowance is None else allowance.mean
    return max(MIN_MAX_WAITING, int(MAX_WAITING_PER_ALLOWED * mean))


def work_of(request: IncomingRequest) -> int:
    """Return the work of a request, for the fairness between organisations.

    Shared parts of a prompt are taken to be cached.

    Parameters
    ----------
    request : IncomingRequest
        The request.

    Returns
    -------
    int
        Work units, at least 1.
    """
    prompt = request.prompt
    if prompt is None:
        return PLAIN_WORK
    own_tokens = prompt.parts[-1].tokens if prompt.parts else prompt.prompt_tokens
    return max(1, round(own_tokens * PREFILL_WORK + prompt.output_tokens))


def rank_of(priority: int, *, is_returning: bool) -> int:
    """Return the rank of a call; calls of a lower rank are started first.

    Parameters
    ----------
    priority : int
        Priority of the request; 0 is the most urgent.
    is_returning : bool
        Whether its caller returns after a refusal.

    Returns
    -------
    int
        The rank.
    """
    return priority * RANKS_PER_PRIORITY + (0 if is_returning else 1)


class RequestQueue(Generic[T]):
    """Waiting calls of one service; the priority of a queued call is its rank."""

    __slots__ = (
        "_calls",
        "_next_expiry",
        "_starts",
        "_waiting_by_priority",
        "_work_by_rank",
    )

    def __init__(self) -> None:
        self._calls: FairQueue[T] = FairQueue()
        self._work_by_rank: Counter[int] = Counter()
        self._waiting_by_priority: Counter[int] = Counter()
        self._starts = 0
        # No call expires earlier; it may be the time of a call that waits no more.
        self._next_expiry = math.inf

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._calls)

    @property
    def next_expiry(self) -> float:
        """Return a time before which no call expires, in seconds."""
        return self._next_expiry

    def push(self, call: QueuedCall[T]) -> None:
        """Add a call.

        Parameters
        ----------
        call : QueuedCall[T]
            The call; its deadline is the time until which it may wait.
        """
        self._calls.push(call)
        self._work_by_rank[call.priority] += call.work
        self._waiting_by_priority[call.priority // RANKS_PER_PRIORITY] += 1
        self._next_expiry = min(self._next_expiry, call.deadline)

    def pop(self) -> QueuedCall[T] | None:
        """Remove and return the next call to be started.

        Returns
        -------
        QueuedCall[T] | None
            The call; None when none waits.
        """
        call = self._next()
        if call is None:
            return None
        self._starts += 1
        self._calls.discard_started(call)
        self._removed(call)
        return call

    def discard(self, call: QueuedCall[T]) -> bool:
        """Remove a call that will not run.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.

        Returns
        -------
        bool
            Whether it was waiting.
        """
        if not self._calls.discard(call):
            return False
        self._removed(call)
        return True

    def expired(self, now: float) -> list[QueuedCall[T]]:
        """Remove and return the calls that may not wait any longer.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[QueuedCall[T]]
            The removed calls.
        """
        if now < self._next_expiry:
            return []
        expired = self._calls.expired(now)
        for call in expired:
            self._removed(call)
        self._update_next_expiry()
        return expired

    def clear(self) -> list[QueuedCall[T]]:
        """Remove and return all calls.

        Returns
        -------
        list[QueuedCall[T]]
            The removed calls.
        """
        self._work_by_rank.clear()
        self._waiting_by_priority.clear()
        self._next_expiry = math.inf
        return self._calls.clear()

    def shift_expiry(self, seconds: float) -> None:
        """Move the times until which calls may wait, after the clock was set.

        Parameters
        ----------
        seconds : float
            By how much the clock was set forward; negative if it was set back.
        """
        for call in self._calls.calls():
            call.deadline += seconds
        self._update_next_expiry()

    def displaceable(self) -> QueuedCall[T] | None:
        """Return the call that gives up its place when the bound decreases.

        Returns
        -------
        QueuedCall[T] | None
            The last call of the organisation with the most waiting work for its
            weight, of the least urgent priority if that has more than its share of
            places; None if no call waits.
        """
        if not len(self._calls):
            return None
        least = max(self._work_by_rank) // RANKS_PER_PRIORITY
        rank = least * RANKS_PER_PRIORITY if self._is_over_share(least) else 0
        worst = self._calls.most_over_share(rank)
        return None if worst is None else self._calls.last_of(worst.organisation)

    def displaceable_by(self, organisation: str, rank: int) -> QueuedCall[T] | None:
        """Return the call that gives up its place to a new one in a full queue.

        The least urgent priority keeps as many places as it gets starts. A priority
        with fewer may displace any call.

        Parameters
        ----------
        organisation : str
            Organisation of the new call.
        rank : int
            Rank of the new call.

        Returns
        -------
        QueuedCall[T] | None
            A call of a less urgent priority, or else the last call of the
            organisation with the most waiting work for its weight; None if that has
            not more than the organisation of the new call, or is more urgent.
        """
        if not len(self._calls):
            return None
        priority = rank // RANKS_PER_PRIORITY
        least = max(self._work_by_rank) // RANKS_PER_PRIORITY
        if least > priority and self._is_over_share(least):
            return self.displaceable()
        is_over = self._is_over_share(priority)
        worst = self._calls.most_over_share(
            priority * RANKS_PER_PRIORITY if is_over else 0
        )
        if worst is None:
            return None
        own = self._calls.work_of(organisation) / ORGANISATION_WEIGHT
        theirs = self._calls.work_of(worst.organisation) / max(1, worst.weight)
        # The work of the new call does not count, or the largest would never fit.
        return self._calls.last_of(worst.organisation) if theirs > own else None

    def calls_ahead(self, organisation: str, rank: int) -> float:
        """Return how many calls would be started before a new one.

        Parameters
        ----------
        organisation : str
            Its organisation.
        rank : int
            Its rank.

        Returns
        -------
        float
            Number of calls, computed from the work ahead and the mean work of a call.
        """
        if not len(self._calls):
            return 0.0
        mean_work = self._calls.work / len(self._calls)
        ahead = self._calls.work_ahead(organisation, rank)
        priority = rank // RANKS_PER_PRIORITY
        same = ahead
        for other, work in self._work_by_rank.items():
            if other < rank:
                ahead += work
                if other // RANKS_PER_PRIORITY == priority:
                    same += work
        if priority >= max(self._work_by_rank) // RANKS_PER_PRIORITY:
            ahead = min(ahead, LEAST_URGENT_INTERVAL * (same + mean_work))
        return ahead / mean_work

    def _is_over_share(self, priority: int) -> bool:
        """Return whether a priority has more places than the least urgent is given."""
        waiting = self._waiting_by_priority[priority]
        return waiting * LEAST_URGENT_INTERVAL > len(self._calls)

    def _next(self) -> QueuedCall[T] | None:
        if (self._starts + 1) % LEAST_URGENT_INTERVAL == 0 and self._work_by_rank:
            least = max(self._work_by_rank) // RANKS_PER_PRIORITY
            if min(self._work_by_rank) // RANKS_PER_PRIORITY != least:
                return self._calls.head_from(least * RANKS_PER_PRIORITY)
        return self._calls.head()

    def _removed(self, call: QueuedCall[T]) -> None:
        self._waiting_by_priority[call.priority // RANKS_PER_PRIORITY] -= 1
        self._work_by_rank[call.priority] -= call.work
        if not self._work_by_rank[call.priority]:
            del self._work_by_rank[call.priority]

    def _update_next_expiry(self) -> None:
        self._next_expiry = min(
            (call.deadline for call in self._calls.calls()), default=math.inf
        )
