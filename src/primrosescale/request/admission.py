"""An agent's decision about a call: run it, queue it or refuse it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Generic
from typing import TypeVar

from primrosescale.connection.wire.ttypes import Reason
from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.fair_queue import FairQueue

if TYPE_CHECKING:
    from primrosescale.request.fair_queue import QueuedCall
    from primrosescale.request.load_bound import LoadBound
    from primrosescale.request.target_health import TargetHealth

T = TypeVar("T")

NEWCOMER_WEIGHT = 1
RATE_LEARNING = 0.1
MINIMUM_RETRY_AFTER = 0.25


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Limits of an agent."""

    slots: int = option(
        COUNT,
        "calls the target runs at once",
        16,
    )
    reserve: int = option(
        COUNT,
        "slots that organisations over their share may not take",
        2,
    )
    queue_limit: int = option(
        COUNT,
        "calls that may wait",
        256,
    )
    rate_default: float = option(
        SECONDS,
        "work units a second the target is taken to do before it was seen",
        1000.0,
    )


class VerdictKind(Enum):
    """What becomes of an offered call."""

    ADMITTED = "admitted"
    REFUSED = "refused"


@dataclass(slots=True)
class Verdict(Generic[T]):
    """The decision about an offered call.

    Parameters
    ----------
    kind : VerdictKind
        Whether it was taken.
    reason : Reason | None
        Why it was refused.
    retry_after : float
        Seconds after which asking again is worth it.
    displaced : list[QueuedCall[T]]
        Waiting calls that gave way and will not run.
    """

    kind: VerdictKind
    reason: Reason | None = None
    retry_after: float = 0.0
    displaced: list[QueuedCall[T]] = field(default_factory=list)

    @property
    def is_admitted(self) -> bool:
        """Tell whether the call was taken."""
        return self.kind is VerdictKind.ADMITTED


class AdmissionController(Generic[T]):
    """Takes calls within the bound and starts them in fair order.

    Parameters
    ----------
    settings : AdmissionSettings
        Limits.
    bound : LoadBound
        The bound on the load.
    health : TargetHealth
        Whether the target answers well.
    """

    def __init__(
        self,
        settings: AdmissionSettings,
        bound: LoadBound,
        health: TargetHealth,
    ) -> None:
        self._settings = settings
        self._bound = bound
        self._health = health
        self._queue: FairQueue[T] = FairQueue()
        self._running: dict[str, list[QueuedCall[T]]] = {}
        self._running_count = 0
        self._running_weight = 0
        self._running_work = 0
        self._rate = settings.rate_default
        self._is_draining = False
        self._rests_until = 0.0
        self._busy_since: float | None = None
        self._done_work = 0

    @property
    def load(self) -> int:
        """Return the work units outstanding, waiting and running."""
        return self._queue.work + self._running_work

    @property
    def running(self) -> int:
        """Return how many calls run."""
        return self._running_count

    @property
    def waiting(self) -> int:
        """Return how many calls wait."""
        return len(self._queue)

    @property
    def rate(self) -> float:
        """Return the work units a second the target was seen to do."""
        return self._rate

    @property
    def is_draining(self) -> bool:
        """Tell whether the target takes no new calls."""
        return self._is_draining

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing waits and nothing runs."""
        return not self._running_count and not len(self._queue)

    def drain(self) -> None:
        """Take no new calls from now on."""
        self._is_draining = True

    def pause(self, seconds: float, now: float) -> None:
        """Take and start no calls for a while, as the target asked.

        Parameters
        ----------
        seconds : float
            How long; a later end that was asked for before stays.
        now : float
            Present time in seconds.
        """
        self._rests_until = max(self._rests_until, now + seconds)

    def offer(self, call: QueuedCall[T], now: float) -> Verdict[T]:
        """Decide about a call; an admitted one is queued.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.
        now : float
            Present time in seconds.

        Returns
        -------
        Verdict[T]
            The decision.
        """
        if self._is_draining:
            return self._refuse(Reason.DRAINING, 0.0)
        if call.deadline <= now:
            return self._refuse(Reason.DEADLINE, 0.0)
        if now < self._rests_until:
            return self._refuse(Reason.TARGET_UNHEALTHY, self._rests_until - now)
        if not self._health.admits(now):
            return self._refuse(Reason.TARGET_UNHEALTHY, self._health.retry_after(now))
        wait = self.expected_wait(call)
        if now + wait >= call.deadline:
            return self._refuse(Reason.DEADLINE, wait)
        displaced = self._make_room(call, now)
        if displaced is None:
            reason = Reason.OVER_BOUND
            if len(self._queue) >= self._settings.queue_limit:
                reason = Reason.QUEUE_FULL
            return self._refuse(reason, max(wait, self._drain_time(call.work)))
        self._queue.push(call)
        return Verdict(VerdictKind.ADMITTED, displaced=displaced)

    def start_next(self, now: float) -> list[QueuedCall[T]]:
        """Return the calls that start now, in order.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[QueuedCall[T]]
            The calls; each must be given to `finished` once.
        """
        started: list[QueuedCall[T]] = []
        while now >= self._rests_until:
            call = self._next_call()
            if call is None:
                break
            self._queue.discard_started(call)
            if not self._running_count:
                self._busy_since = now
            own = self._running.get(call.organisation)
            if own is None:
                own = self._running[call.organisation] = []
                self._running_weight += max(1, call.weight)
            own.append(call)
            self._running_count += 1
            self._running_work += call.work
            started.append(call)
        return started

    def finished(self, call: QueuedCall[T], now: float) -> None:
        """Take in that a started call no longer runs.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.
        now : float
            Present time in seconds.
        """
        calls = self._running.get(call.organisation, [])
        if call not in calls:
            return
        calls.remove(call)
        if not calls:
            del self._running[call.organisation]
            self._running_weight -= max(1, call.weight)
        self._running_count -= 1
        self._running_work -= call.work
        self._learn_rate(call.work, now)

    def withdraw(self, call: QueuedCall[T]) -> bool:
        """Remove a waiting call.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.

        Returns
        -------
        bool
            True when it waited, so that it never ran.
        """
        return self._queue.discard(call)

    def expired(self, now: float) -> list[QueuedCall[T]]:
        """Remove and return waiting calls whose deadline has passed.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[QueuedCall[T]]
            The calls; none of them ran.
        """
        return self._queue.expired(now)

    def expected_wait(self, call: QueuedCall[T]) -> float:
        """Return how long a call would wait under fair queueing.

        Parameters
        ----------
        call : QueuedCall[T]
            The call.

        Returns
        -------
        float
            Seconds.
        """
        if self._running_count < self._settings.slots and not len(self._queue):
            return 0.0
        own = self._queue.work_of(call.organisation)
        flows = self._queue.organisations + (0 if own else 1)
        ahead = min(self._queue.work, own * flows)
        return ahead / self._rate

    def _refuse(self, reason: Reason, retry_after: float) -> Verdict[T]:
        after = max(MINIMUM_RETRY_AFTER, retry_after)
        return Verdict(VerdictKind.REFUSED, reason=reason, retry_after=after)

    def _make_room(
        self,
        call: QueuedCall[T],
        now: float,
    ) -> list[QueuedCall[T]] | None:
        """Return who gives way to a call; None when it does not fit.

        Only an organisation that has more waiting than the caller's, by
        weight, gives way, its last call first: its calls never ran.
        """
        displaced: list[QueuedCall[T]] = []
        while not self._fits(call, now):
            last = self._queue.most_over_share()
            if last is None or not self._outweighs(last, call):
                for given in displaced:
                    self._queue.push(given)
                return None
            self._queue.discard(last)
            displaced.append(last)
        return displaced

    def _fits(self, call: QueuedCall[T], now: float) -> bool:
        if len(self._queue) >= self._settings.queue_limit:
            return False
        return self._bound.admits(self.load, call.work, now)

    def _outweighs(self, last: QueuedCall[T], call: QueuedCall[T]) -> bool:
        if last.organisation == call.organisation:
            return False
        theirs = self._queue.work_of(last.organisation) / max(1, last.weight)
        ours = self._queue.work_of(call.organisation) + call.work
        return theirs > ours / max(1, call.weight)

    def _next_call(self) -> QueuedCall[T] | None:
        """Return the call that may start now; the last slots are reserved."""
        free = self._settings.slots - self._running_count
        if free <= 0:
            return None
        if free > self._settings.reserve:
            return self._queue.head()
        return self._queue.head_where(self._is_under_share)

    def _is_under_share(self, call: QueuedCall[T]) -> bool:
        """Tell whether an organisation runs less than its part.

        One more organisation than those that run is reckoned with: the one
        that has not come yet is whom the reserve is for.
        """
        own = self._running.get(call.organisation, ())
        weight = max(1, call.weight)
        weights = self._running_weight + NEWCOMER_WEIGHT
        if not own:
            weights += weight
        share = self._settings.slots * weight / weights
        return len(own) + 1 <= share

    def _drain_time(self, work: int) -> float:
        return work / self._rate

    def _learn_rate(self, work: int, now: float) -> None:
        self._done_work += work
        since = self._busy_since
        if since is None or now - since < 1.0:
            return
        seen = self._done_work / (now - since)
        self._rate += RATE_LEARNING * (seen - self._rate)
        self._done_work = 0
        self._busy_since = now
