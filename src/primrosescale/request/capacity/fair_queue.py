"""Start-time fair queueing of calls between organisations, within a priority.

Calls of a lower priority number go first. Within a priority, organisations share
the target in proportion to their weights, measured in work units; calls whose turn is
the same go in the order of their arrival.
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")

MAX_HEAP_ENTRIES_PER_FLOW = 4


@dataclass(slots=True, eq=False)
class QueuedCall(Generic[T]):
    """A call waiting in the queue.

    Parameters
    ----------
    organisation : str
        Organisation that sent the call.
    weight : int
        Weight of the organisation, at least 1.
    priority : int
        Priority class; a lower number goes first.
    work : int
        Estimated work units.
    deadline : float
        Time at which the caller stops waiting, in seconds.
    item : T
        Object associated with the call by the user of the queue.
    start_tag : float
        Virtual start time; set by the queue.
    number : int
        Position in the order of arrival; set by the queue.
    """

    organisation: str
    weight: int
    priority: int
    work: int
    deadline: float
    item: T
    start_tag: float = 0.0
    number: int = 0

    @property
    def position(self) -> tuple[float, int]:
        """Return by what it is compared with other calls of its priority."""
        return self.start_tag, self.number


class _PriorityClass(Generic[T]):
    """Queues of the organisations within one priority, and their virtual time.

    The heap may hold stale entries; `head` drops those whose position is no longer
    that of the first call of its organisation.
    """

    __slots__ = ("arrivals", "finish_tags", "flows", "heap", "virtual_time")

    def __init__(self) -> None:
        self.flows: dict[str, deque[QueuedCall[T]]] = {}
        self.finish_tags: dict[str, float] = {}
        self.heap: list[tuple[tuple[float, int], str]] = []
        self.virtual_time = 0.0
        self.arrivals = 0

    def push(self, call: QueuedCall[T]) -> None:
        """Add a call to the queue of its organisation."""
        name = call.organisation
        start = self.next_tag(name)
        call.start_tag = start
        self.arrivals += 1
        call.number = self.arrivals
        self.finish_tags[name] = start + call.work / max(1, call.weight)
        flow = self.flows.get(name)
        if flow is None:
            self.flows[name] = deque((call,))
            heapq.heappush(self.heap, (call.position, name))
        else:
            flow.append(call)

    def head(self) -> QueuedCall[T] | None:
        """Return the call that is started first."""
        while self.heap:
            position, name = self.heap[0]
            flow = self.flows.get(name)
            if flow is not None and flow[0].position == position:
                return flow[0]
            heapq.heappop(self.heap)
        return None

    def next_tag(self, organisation: str) -> float:
        """Return the start tag that a new call of an organisation would get."""
        return max(self.virtual_time, self.finish_tags.get(organisation, 0.0))

    def last(self) -> QueuedCall[T] | None:
        """Return the call that is started last."""
        ends = (flow[-1] for flow in self.flows.values())
        return max(ends, key=lambda call: call.position, default=None)

    def start(self, call: QueuedCall[T]) -> None:
        """Remove the first call of its organisation and advance virtual time."""
        self.virtual_time = max(self.virtual_time, call.start_tag)
        flow = self.flows[call.organisation]
        flow.popleft()
        self._reinsert_flow(call.organisation, flow)

    def discard(self, call: QueuedCall[T]) -> bool:
        """Remove a call that will not run, wherever it stands in its queue."""
        flow = self.flows.get(call.organisation)
        if flow is None or call not in flow:
            return False
        was_head = flow[0] is call
        flow.remove(call)
        self._refund(call, flow)
        if was_head or not flow:
            self._reinsert_flow(call.organisation, flow)
        return True

    def expired(self, now: float) -> list[QueuedCall[T]]:
        """Remove and return the calls whose deadline has passed.

        Discarding them one by one takes time in proportion to the square of their
        number: 0.6 s for 4000 calls.
        """
        late: list[QueuedCall[T]] = []
        for name, flow in list(self.flows.items()):
            kept: deque[QueuedCall[T]] = deque()
            refund = 0.0
            for call in flow:
                if call.deadline <= now:
                    late.append(call)
                    refund += call.work / max(1, call.weight)
                else:
                    call.start_tag -= refund
                    kept.append(call)
            if len(kept) < len(flow):
                self.flows[name] = kept
                self.finish_tags[name] -= refund
                self._reinsert_flow(name, kept)
        return late

    def work_ahead(self, organisation: str) -> float:
        """Return the work that would be started before a new call.

        The calls of an organisation have consecutive tags, so that the difference of
        its tags is its work in proportion to its weight. The last of its calls that go
        first is taken to be as long as the first one.
        """
        start = self.next_tag(organisation)
        ahead = 0.0
        for name, flow in self.flows.items():
            first = flow[0]
            if first.start_tag <= start:
                weight = max(1, first.weight)
                all_work = (self.finish_tags[name] - first.start_tag) * weight
                until_start = (start - first.start_tag) * weight
                ahead += min(all_work, until_start + first.work)
        return ahead

    def _reinsert_flow(self, name: str, flow: deque[QueuedCall[T]]) -> None:
        if flow:
            heapq.heappush(self.heap, (flow[0].position, name))
            self._drop_stale_entries()
            return
        del self.flows[name]
        if not self.flows:
            self.virtual_time = max(
                self.finish_tags.values(), default=self.virtual_time
            )
            self.finish_tags = {}

    def _drop_stale_entries(self) -> None:
        """Rebuild the heap when most of it is stale.

        A priority from which calls are only discarded would otherwise add an entry
        for each of them.
        """
        if len(self.heap) <= MAX_HEAP_ENTRIES_PER_FLOW * len(self.flows):
            return
        self.heap = [(flow[0].position, name) for name, flow in self.flows.items()]
        heapq.heapify(self.heap)

    def _refund(self, call: QueuedCall[T], flow: deque[QueuedCall[T]]) -> None:
        """Undo the charge for a call that did not run."""
        share = call.work / max(1, call.weight)
        self.finish_tags[call.organisation] -= share
        for later in flow:
            if later.start_tag > call.start_tag:
                later.start_tag -= share


class FairQueue(Generic[T]):
    """Queue of calls that is fair between organisations by weight and work.

    The queue itself has no size limit; admission bounds it.
    """

    def __init__(self) -> None:
        self._classes: dict[int, _PriorityClass[T]] = {}
        self._work_by_organisation: dict[str, int] = {}
        self._total_work = 0
        self._count = 0

    def __len__(self) -> int:
        """Return the number of waiting calls."""
        return self._count

    @property
    def work(self) -> int:
        """Return the work units of all waiting calls."""
        return self._total_work

    @property
    def organisations(self) -> int:
        """Return the number of organisations with waiting calls."""
        return len(self._work_by_organisation)

    def work_of(self, organisation: str) -> int:
        """Return the work units of an organisation's waiting calls.

        Parameters
        ----------
        organisation : str
            Name of the organisation.

        Returns
        -------
        int
            Work units.
        """
        return self._work_by_organisation.get(organisation, 0)

    def count_of(self, organisation: str, priority: int) -> int:
        """Return the number of waiting calls of an organisation and priority.

        Parameters
        ----------
        organisation : str
            Name of the organisation.
        priority : int
            The priority.

        Returns
        -------
        int
            Number of calls.
        """
        found = self._classes.get(priority)
        return 0 if found is None else len(found.flows.get(organisation, ()))

    def push(self, call: QueuedCall[T]) -> None:
        """Add a call to the queue of its organisation.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.
        """
        found = self._classes.get(call.priority)
        if found is None:
            found = self._classes[call.priority] = _PriorityClass()
        found.push(call)
        self._update_totals(call, 1)

    def head(self) -> QueuedCall[T] | None:
        """Return the next call without removing it.

        Returns
        -------
        QueuedCall[T] | None
            The call; None when the queue is empty.
        """
        for priority in sorted(self._classes):
            call = self._classes[priority].head()
            if call is not None:
                return call
        return None

    def head_from(self, priority: int) -> QueuedCall[T] | None:
        """Return the next call of a priority or of less urgent ones.

        Parameters
        ----------
        priority : int
            The most urgent priority that counts.

        Returns
        -------
        QueuedCall[T] | None
            The call, which stays in the queue; None when none waits.
        """
        for other in sorted(self._classes):
            call = self._classes[other].head() if other >= priority else None
            if call is not None:
                return call
        return None

    def head_where(
        self,
        may_start: Callable[[QueuedCall[T]], bool],
    ) -> QueuedCall[T] | None:
        """Return the next call that may start, without removing it.

        Parameters
        ----------
        may_start : Callable[[QueuedCall[T]], bool]
            Predicate applied to the first call of each organisation.

        Returns
        -------
        QueuedCall[T] | None
            The call; None when no call may start.
        """
        for priority in sorted(self._classes):
            flows = self._classes[priority].flows.values()
            heads = [flow[0] for flow in flows if may_start(flow[0])]
            if heads:
                return min(heads, key=lambda call: call.position)
        return None

    def discard_started(self, call: QueuedCall[T]) -> None:
        """Remove a call that is being started.

        Parameters
        ----------
        call : QueuedCall[T]
            The call, as returned by `head` or `head_where`.
        """
        self._classes[call.priority].start(call)
        self._update_totals(call, -1)

    def pop(self) -> QueuedCall[T] | None:
        """Remove and return the next call.

        Returns
        -------
        QueuedCall[T] | None
            The call; None when the queue is empty.
        """
        call = self.head()
        if call is not None:
            self.discard_started(call)
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
            Whether the call was in the queue.
        """
        found = self._classes.get(call.priority)
        if found is None or not found.discard(call):
            return False
        self._update_totals(call, -1)
        return True

    def expired(self, now: float) -> list[QueuedCall[T]]:
        """Remove and return the calls whose deadline has passed.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[QueuedCall[T]]
            The removed calls.
        """
        late = [call for found in self._classes.values() for call in found.expired(now)]
        for call in late:
            self._update_totals(call, -1)
        return late

    def clear(self) -> list[QueuedCall[T]]:
        """Remove and return all calls.

        Returns
        -------
        list[QueuedCall[T]]
            The removed calls.
        """
        return self.expired(math.inf)

    def most_over_share(self, least_priority: int = 0) -> QueuedCall[T] | None:
        """Return the last call of the organisation with most work for its weight.

        Parameters
        ----------
        least_priority : int
            Organisations with calls of this priority or less urgent ones count.

        Returns
        -------
        QueuedCall[T] | None
            The call; None when the queue is empty.
        """
        worst: QueuedCall[T] | None = None
        most = -1.0
        for priority, found in self._classes.items():
            if priority < least_priority:
                continue
            for flow in found.flows.values():
                last = flow[-1]
                share = self.work_of(last.organisation) / max(1, last.weight)
                if share > most:
                    worst = last
                    most = share
        return worst

    def last_from(self, priority: int) -> QueuedCall[T] | None:
        """Return the call of a priority that would be started last.

        Parameters
        ----------
        priority : int
            The priority.

        Returns
        -------
        QueuedCall[T] | None
            The call, which stays in the queue; None when none waits.
        """
        found = self._classes.get(priority)
        return None if found is None else found.last()

    def is_before(self, organisation: str, call: QueuedCall[T]) -> bool:
        """Return whether a new call would be started before one that waits.

        Parameters
        ----------
        organisation : str
            Organisation of the new call, which has the same priority.
        call : QueuedCall[T]
            The waiting call.

        Returns
        -------
        bool
            Whether the share of its organisation has the new call started first.
        """
        return self._classes[call.priority].next_tag(organisation) < call.start_tag

    def work_ahead(self, organisation: str, priority: int) -> float:
        """Return the work within a priority that would be started before a new call.

        Parameters
        ----------
        organisation : str
            Organisation of the new call.
        priority : int
            Priority of the new call.

        Returns
        -------
        float
            Work units.
        """
        found = self._classes.get(priority)
        if found is None:
            return 0.0
        return found.work_ahead(organisation)

    def calls_ahead(self, organisation: str, priority: int) -> float:
        """Return how many calls of a priority would be started before a new one.

        Parameters
        ----------
        organisation : str
            Organisation of the new call.
        priority : int
            Priority of the new call.

        Returns
        -------
        float
            Number of calls, computed from their work and the mean work of a call.
        """
        if not self._count:
            return 0.0
        mean_work = self._total_work / self._count
        return self.work_ahead(organisation, priority) / mean_work

    def calls(self) -> list[QueuedCall[T]]:
        """Return all waiting calls, in no particular order.

        Returns
        -------
        list[QueuedCall[T]]
            The calls, which stay in the queue.
        """
        return self._all()

    def _all(self) -> list[QueuedCall[T]]:
        return [
            call
            for found in self._classes.values()
            for flow in found.flows.values()
            for call in flow
        ]

    def _update_totals(self, call: QueuedCall[T], sign: int) -> None:
        self._count += sign
        self._total_work += sign * call.work
        left = self._work_by_organisation.get(call.organisation, 0) + sign * call.work
        if left:
            self._work_by_organisation[call.organisation] = left
        else:
            del self._work_by_organisation[call.organisation]
