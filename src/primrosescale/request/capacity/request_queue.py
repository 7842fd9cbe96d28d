"""The order in which waiting calls of one service are started, and its bounds.

Calls are started by priority; within a priority, organisations share the starts fairly
by work; within an organisation, calls are started in the order of their arrival. Every
eighth start goes to the least urgent priority that has waiting calls.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from primrosescale.request.capacity.fair_queue import FairQueue
from primrosescale.request.capacity.fair_queue import QueuedCall
from primrosescale.request.capacity.priority_turns import PriorityTurns

if TYPE_CHECKING:
    from primrosescale.request.capacity.capacity_view import Allowance
    from primrosescale.request.incoming_request import IncomingRequest

T = TypeVar("T")

ORGANISATION_WEIGHT = 1
# In the units of `WorkSettings`: a plain request, and a prompt token to prefill.
PLAIN_WORK = 100
PREFILL_WORK = 0.05


def max_burst(
    allowance: Allowance | None, answer_time: float | None, patience: float
) -> float:
    """Return how many calls can wait and be started in their callers' time.

    Parameters
    ----------
    allowance : Allowance | None
        The router's allowance; None for no limit.
    answer_time : float | None
        Seconds for which a request occupies its place; None if not known.
    patience : float
        Seconds for which callers can wait.

    Returns
    -------
    float
        Number of calls, at least 1; infinite if nothing is known that limits it.
    """
    if allowance is None or not answer_time:
        return math.inf
    return max(1.0, math.ceil(allowance.mean * patience / answer_time))


def work_of(request: IncomingRequest) -> int:
    """Return the work of a request, for the fairness between organisations.

    Its target is chosen when it starts. Shared parts of its prompt are taken to be in
    the cache of that target then.

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


class RequestQueue(Generic[T]):
    """Waiting calls of one service, in the order in which they are started.

    `FairQueue` orders the calls within a priority, `PriorityTurns` tells whose turn is
    next. This class adds the choice of the call that gives up its place in a full
    queue, and the time of expiry.
    """

    __slots__ = (
        "_calls",
        "_next_expiry",
        "_turns",
    )

    def __init__(self) -> None:
        self._calls: FairQueue[T] = FairQueue()
        self._turns = PriorityTurns()
        # No call expires earlier; it may be the time of a call that waits no more.
        self._next_expiry = math.inf

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return len(self._calls)

    @property
    def next_expiry(self) -> float:
        """Return a time before which no call expires, in seconds."""
        return self._next_expiry

    def waiting_of(self, organisation: str, priority: int) -> int:
        """Return how many calls of an organisation and priority wait.

        Parameters
        ----------
        organisation : str
            The organisation.
        priority : int
            The priority.

        Returns
        -------
        int
            Number of calls.
        """
        return self._calls.count_of(organisation, priority)

    def push(self, call: QueuedCall[T]) -> None:
        """Add a call.

        Parameters
        ----------
        call : QueuedCall[T]
            The call; its deadline is the time until which it may wait.
        """
        self._calls.push(call)
        self._turns.added(call.priority, call.work)
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
        self._turns.started()
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
        self._turns.clear()
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
            The call that would be started last, of the least urgent priority that has
            more than its share of places. None if no call waits.
        """
        waiting = self._turns.priorities
        over = [other for other in waiting if self._turns.is_over_share(other)]
        over = over or waiting
        return self._calls.last_from(max(over)) if over else None

    def displaceable_by(self, organisation: str, priority: int) -> QueuedCall[T] | None:
        """Return the call that gives up its place to a new one in a full queue.

        Each priority keeps as many places as the least urgent one gets starts. One with
        fewer may displace any call.

        Parameters
        ----------
        organisation : str
            Organisation of the new call.
        priority : int
            Priority of the new call.

        Returns
        -------
        QueuedCall[T] | None
            The last call of a less urgent priority, or else a call of the same priority
            that would be started after the new one; None if there is none.
        """
        last = self.displaceable()
        if last is None or last.priority > priority:
            return last
        if last.priority < priority and not self._turns.is_over_share(priority):
            return last
        same = self._calls.last_from(priority)
        if same is None or not self._calls.is_before(organisation, same):
            return None
        return same

    def calls_ahead(self, organisation: str, priority: int) -> float:
        """Return how many calls would be started before a new one.

        Parameters
        ----------
        organisation : str
            Its organisation.
        priority : int
            Its priority.

        Returns
        -------
        float
            Number of calls, computed from the work ahead and the mean work of a call.
        """
        if not len(self._calls):
            return 0.0
        mean_work = self._calls.work / len(self._calls)
        same = self._calls.work_ahead(organisation, priority)
        return self._turns.work_ahead(priority, same) / mean_work

    def calls_ahead_within(self, organisation: str, priority: int) -> float:
        """Return how many calls of its priority would be started before a new one.

        Parameters
        ----------
        organisation : str
            Its organisation.
        priority : int
            Its priority.

        Returns
        -------
        float
            Number of calls, as in `calls_ahead`.
        """
        return self._calls.calls_ahead(organisation, priority)

    def _next(self) -> QueuedCall[T] | None:
        """Return the next call to be started, which stays in the queue."""
        if self._turns.is_least_urgent_next:
            return self._calls.head_from(self._turns.least_urgent)
        return self._calls.head()

    def _removed(self, call: QueuedCall[T]) -> None:
        """Subtract a call that has been removed from the sums of its priority."""
        self._turns.removed(call.priority, call.work)

    def _update_next_expiry(self) -> None:
        self._next_expiry = min(
            (call.deadline for call in self._calls.calls()), default=math.inf
        )
