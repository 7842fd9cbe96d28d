"""Start-time fair queueing between organisations, within a priority."""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

T = TypeVar("T")


@dataclass(slots=True, eq=False)
class QueuedCall(Generic[T]):
    """A call that waits for its turn.

    Parameters
    ----------
    organisation : str
        Whose call it is.
    weight : int
        The organisation's weight, at least 1.
    priority : int
        Class; a lower number goes first.
    work : int
        Work units.
    deadline : float
        When the caller stops waiting, in seconds.
    item : T
        What the caller of the queue wants back.
    start_tag : float
        Virtual time at which it is due; set by the queue.
    """

    organisation: str
    weight: int
    priority: int
    work: int
    deadline: float
    item: T
    start_tag: float = 0.0


class _PriorityClass(Generic[T]):
    """The flows of one priority and their virtual time."""

    __slots__ = ("finish_tags", "flows", "heap", "virtual_time")

    def __init__(self) -> None:
        self.flows: dict[str, deque[QueuedCall[T]]] = {}
        self.finish_tags: dict[str, float] = {}
        self.heap: list[tuple[float, str]] = []
        self.virtual_time = 0.0

    def push(self, call: QueuedCall[T]) -> None:
        """Append a call to its organisation's flow."""
        name = call.organisation
        start = max(self.virtual_time, self.finish_tags.get(name, 0.0))
        call.start_tag = start
        self.finish_tags[name] = start + call.work / max(1, call.weight)
        flow = self.flows.get(name)
        if flow is None:
            self.flows[name] = deque((call,))
            heapq.heappush(self.heap, (start, name))
        else:
            flow.append(call)

    def head(self) -> QueuedCall[T] | None:
        """Return the call that is due next."""
        while self.heap:
            start, name = self.heap[0]
            flow = self.flows.get(name)
            if flow is not None and flow[0].start_tag == start:
                return flow[0]
            heapq.heappop(self.heap)
        return None

    def start(self, call: QueuedCall[T]) -> None:
        """Remove the first call of its flow and move virtual time on."""
        self.virtual_time = max(self.virtual_time, call.start_tag)
        flow = self.flows[call.organisation]
        flow.popleft()
        self._reinsert_flow(call.organisation, flow)

    def discard(self, call: QueuedCall[T]) -> bool:
        """Remove a call from the middle of its flow."""
        flow = self.flows.get(call.organisation)
        if flow is None or call not in flow:
            return False
        was_head = flow[0] is call
        flow.remove(call)
        self._refund(call, flow)
        if was_head or not flow:
            self._reinsert_flow(call.organisation, flow)
        return True

    def _reinsert_flow(self, name: str, flow: deque[QueuedCall[T]]) -> None:
        if flow:
            heapq.heappush(self.heap, (flow[0].start_tag, name))
            return
        del self.flows[name]
        if not self.flows:
            self.virtual_time = max(
                self.finish_tags.values(), default=self.virtual_time
            )
            self.finish_tags = {}

    def _refund(self, call: QueuedCall[T], flow: deque[QueuedCall[T]]) -> None:
        """Give a call's share back to its organisation: it never ran."""
        share = call.work / max(1, call.weight)
        self.finish_tags[call.organisation] -= share
        for later in flow:
            if later.start_tag > call.start_tag:
                later.start_tag -= share


class FairQueue(Generic[T]):
    """Bounded queue, fair between organisations by weight and work."""

    def __init__(self) -> None:
        self._classes: dict[int, _PriorityClass[T]] = {}
        self._work_by_organisation: dict[str, int] = {}
        self._total_work = 0
        self._count = 0

    def __len__(self) -> int:
        """Return how many calls wait."""
        return self._count

    @property
    def work(self) -> int:
        """Return the work units that wait."""
        return self._total_work

    @property
    def organisations(self) -> int:
        """Return how many organisations have calls waiting."""
        return len(self._work_by_organisation)

    def work_of(self, organisation: str) -> int:
        """Return the work units of an organisation that wait.

        Parameters
        ----------
        organisation : str
            Its name.

        Returns
        -------
        int
            Work units.
        """
        return self._work_by_organisation.get(organisation, 0)

    def push(self, call: QueuedCall[T]) -> None:
        """Append a call.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.
        """
        found = self._classes.get(call.priority)
        if found is None:
            found = self._classes[call.priority] = _PriorityClass()
        found.push(call)
        self._account(call, 1)

    def head(self) -> QueuedCall[T] | None:
        """Return the call that is due next and leave it there.

        Returns
        -------
        QueuedCall[T] | None
            The call, if any waits.
        """
        for priority in sorted(self._classes):
            call = self._classes[priority].head()
            if call is not None:
                return call
        return None

    def head_where(
        self,
        may_start: Callable[[QueuedCall[T]], bool],
    ) -> QueuedCall[T] | None:
        """Return the first call in order that may start, if any does.

        Parameters
        ----------
        may_start : Callable[[QueuedCall[T]], bool]
            Asked about the first call of each organisation.

        Returns
        -------
        QueuedCall[T] | None
            The call, left in the queue.
        """
        for priority in sorted(self._classes):
            flows = self._classes[priority].flows.values()
            heads = [flow[0] for flow in flows if may_start(flow[0])]
            if heads:
                return min(heads, key=lambda call: call.start_tag)
        return None

    def discard_started(self, call: QueuedCall[T]) -> None:
        """Remove the first call of its organisation because it starts.

        Parameters
        ----------
        call : QueuedCall[T]
            The call, as `head` or `head_where` returned it.
        """
        self._classes[call.priority].start(call)
        self._account(call, -1)

    def pop(self) -> QueuedCall[T] | None:
        """Remove and return the call that is due next.

        Returns
        -------
        QueuedCall[T] | None
            The call, if any waits.
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
            Whether it was waiting.
        """
        found = self._classes.get(call.priority)
        if found is None or not found.discard(call):
            return False
        self._account(call, -1)
        return True

    def expired(self, now: float) -> list[QueuedCall[T]]:
        """Remove and return the calls whose deadline has passed.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[QueuedCall[T]]
            The calls.
        """
        late = [call for call in self._all() if call.deadline <= now]
        for call in late:
            self.discard(call)
        return late

    def clear(self) -> list[QueuedCall[T]]:
        """Remove and return all calls.

        Returns
        -------
        list[QueuedCall[T]]
            The calls.
        """
        calls = self._all()
        for call in calls:
            self.discard(call)
        return calls

    def most_over_share(self) -> QueuedCall[T] | None:
        """Return the last call of the organisation furthest over its share.

        Returns
        -------
        QueuedCall[T] | None
            The call, if any waits.
        """
        worst: QueuedCall[T] | None = None
        most = -1.0
        for found in self._classes.values():
            for flow in found.flows.values():
                last = flow[-1]
                share = self.work_of(last.organisation) / max(1, last.weight)
                if share > most:
                    worst = last
                    most = share
        return worst

    def _all(self) -> list[QueuedCall[T]]:
        return [
            call
            for found in self._classes.values()
            for flow in found.flows.values()
            for call in flow
        ]

    def _account(self, call: QueuedCall[T], sign: int) -> None:
        self._count += sign
        self._total_work += sign * call.work
        left = self._work_by_organisation.get(call.organisation, 0) + sign * call.work
        if left:
            self._work_by_organisation[call.organisation] = left
        else:
            del self._work_by_organisation[call.organisation]
