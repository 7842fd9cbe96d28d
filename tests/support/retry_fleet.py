"""Simulates the retry budgets of many routers on a virtual clock.

Only the budgets are real. Each request fails as often as it is sent, so that each
budget is used up; the routers start, end and learn of each other as a test says. The
targets may stand still, or some connections may hold their bytes: what is sent then is
read when that ends, also where the connection has been reset meanwhile.
"""

from __future__ import annotations

import heapq
import itertools
import random

from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
from primrosescale.request.attempt.forwarding_interfaces import InFlightRequest
from primrosescale.request.attempt.forwarding_interfaces import OutgoingRequest
from primrosescale.request.attempt.forwarding_interfaces import ResponseObserver
from primrosescale.request.attempt.forwarding_interfaces import TargetClient
from primrosescale.request.attempt.shared_retry_budgets import SharedRetryBudgets
from primrosescale.request.target.target_incarnation import TargetIncarnation
from support.retry_rule import largest_used_share
from support.retry_rule import worst_excess

SERVICE = "portal"
START = 1000.0
STEP_SECONDS = 0.05
# After this time a router knows of a change of the list, if it reaches the store.
LIST_DELAY_SECONDS = 1.0


def retry_budget(limits, routers, now):
    """Return the budget of one of some routers, with its share saved up."""
    budgets = SharedRetryBudgets(limits, is_first_start=True)
    budgets.set_routers(routers, now)
    return budgets.of(SERVICE)


class _Request:
    """A request of a caller, as far as budgets look at it."""

    __slots__ = ("give_up_at", "has_arrived", "request_id", "service")

    def __init__(self, number, now):
        self.request_id = f"r{number}"
        self.service = SERVICE
        self.give_up_at = now + 1.0
        self.has_arrived = False


class _Target:
    """A target, as far as budgets look at it."""

    __slots__ = ("incarnation",)

    def __init__(self, number):
        self.incarnation = TargetIncarnation(f"i-{number}")


class _Attempt(InFlightRequest):
    """One attempt at a target, which the target has read or not."""

    __slots__ = ("is_lost", "observer", "request", "router")

    def __init__(self, router, request, observer):
        self.router = router
        self.request = request
        self.observer = observer
        self.is_lost = False

    def cancel(self):
        self.is_lost = True

    def pause(self):
        """Do nothing: answers have no body."""

    def resume(self):
        """Do nothing: answers have no body."""


class _FleetTargets(TargetClient):
    """Sends the attempts of one router to the targets."""

    def __init__(self, fleet, router):
        self._fleet = fleet
        self._router = router

    def send(self, sending, observer):
        attempt = _Attempt(self._router, sending.request, observer)
        observer.request_sent()
        self._fleet.sent(attempt)
        return attempt

    def check(self, target, on_check):
        """Do nothing: targets are not checked."""

    def abort_former(self, present):
        """Do nothing: targets do not start again."""


class _NoObserver(ResponseObserver):
    """Ignores the progress of an attempt; the fleet decides on retries."""

    def request_sent(self):
        pass

    def request_not_sent(self, detail):
        pass

    def response_head(self, head):
        pass

    def response_data(self, data):
        pass

    def response_done(self):
        pass

    def response_lost(self, detail):
        pass


class BudgetRouter:
    """One router: its budgets and the number of routers that it knows of."""

    def __init__(self, name, fleet, known, *, was_listed):
        self.name = name
        self.reaches_store = True
        self.budgets = SharedRetryBudgets(fleet.limits)
        self.budgets.set_routers(known, fleet.now, was_listed=was_listed)
        self._client = self.budgets.tracked(_FleetTargets(fleet, self), fleet)

    def requested(self, request, target, now):
        """Receive a request and send it to a target."""
        self.budgets.of(SERVICE).requested(now)
        self._send(request, target)

    def send_retry(self, request, target, now):
        """Send a retry if the budget allows it; return whether it does."""
        if not self.budgets.of(SERVICE).spend(now):
            return False
        self._send(request, target)
        return True

    def _send(self, request, target):
        sending = OutgoingRequest(
            request=request,
            target=target,
            time_left=1.0,
            resume_after=None,
            fetch_from=None,
            needs_new_connection=False,
        )
        self._client.send(sending, _NoObserver())


class RetryFleet:
    """Routers, the list of them, and callers whose requests all fail.

    Parameters
    ----------
    routers : int
        How many.
    limits : SharedRetryLimits
        The bound for all of them.
    rate : float
        Requests a second.
    wanted : int
        Retries that each request needs.
    failure_delay : float
        Seconds from a request to its first failure.
    targets : int
        How many targets the requests are sent to.
    """

    def __init__(
        self, routers, limits, rate, *, wanted=3, failure_delay=0.0, targets=3
    ):
        self.limits = limits
        self.rate = rate
        self.wanted = wanted
        self.failure_delay = failure_delay
        self.now = START
        self.requests = []
        self.retries = []
        self.refused = 0
        self.rng = random.Random(f"{routers} {rate}")
        # Share of the requests of each router, by name; equal for all without an entry.
        self.weights = {}
        self.routers = {}
        self.listed = {f"r{number}" for number in range(routers)}
        self._lists = [(START - LIST_DELAY_SECONDS, frozenset(self.listed))]
        # Share of attempts that are not read at once: all while targets stand still.
        self.held_share = 0.0
        self._unread = []
        self._targets = [_Target(number) for number in range(targets)]
        self._numbers = itertools.count()
        self._failing = []
        self._order = itertools.count()
        self._open = 0.0
        for name in sorted(self.listed):
            self.start(name)

    def start(self, name, *, reaches_store=True):
        """Start a router, without what an earlier process of it knew."""
        known = len(self.listed) if reaches_store else None
        was_listed = name in self._known_list()
        self.routers[name] = BudgetRouter(name, self, known, was_listed=was_listed)
        self.routers[name].reaches_store = reaches_store

    def kill(self, name):
        self.routers.pop(name, None)

    def restart(self, name):
        self.kill(name)
        self.start(name)

    def list(self, name):
        self.listed.add(name)
        self._note_list()

    def delist(self, name):
        self.listed.discard(name)
        self._note_list()

    def _note_list(self):
        self._lists.append((self.now, frozenset(self.listed)))

    def _known_list(self):
        """Return the list as routers know it that reach the store."""
        known_since = self.now - LIST_DELAY_SECONDS
        return [names for at, names in self._lists if at <= known_since][-1]

    def seconds(self):
        """Return the present time in seconds."""
        return self.now

    def stand_still(self, seconds, disturb=None, interval=1.0):
        """Let time pass while the targets read nothing; then they read all."""
        self.hold(1.0, seconds, disturb, interval)

    def hold(self, share, seconds, disturb=None, interval=1.0):
        """Let time pass while a share of the connections deliver nothing until then."""
        self.held_share = share
        self.run(seconds, disturb, interval)
        self.held_share = 0.0
        unread, self._unread = self._unread, []
        for attempt in unread:
            self._read(attempt)

    def reset_connections(self):
        """Reset the connections of all attempts that are unread; they stay so."""
        for attempt in self._unread:
            if not attempt.is_lost:
                attempt.is_lost = True
                if self.routers.get(attempt.router.name) is attempt.router:
                    attempt.observer.response_lost("reset")

    def sent(self, attempt):
        """Have a target read an attempt, at once or later."""
        is_held = self.held_share > 0 and self.rng.random() < self.held_share
        if is_held:
            self._unread.append(attempt)
        else:
            self._read(attempt)

    def _read(self, attempt):
        if attempt.request.has_arrived:
            self.retries.append(self.now)
        attempt.request.has_arrived = True
        router = attempt.router
        if not attempt.is_lost and self.routers.get(router.name) is router:
            attempt.observer.response_head(_declined(attempt.request))

    def run(self, seconds, disturb=None, interval=1.0):
        """Let time pass; call `disturb` with a number at each interval."""
        until = self.now + seconds
        due, number = self.now, 0
        while self.now < until:
            if disturb is not None and self.now >= due:
                disturb(number)
                number += 1
                due += interval
            self._step()
            self.now += STEP_SECONDS

    def _step(self):
        known = len(self._known_list())
        for router in self.routers.values():
            if router.reaches_store:
                router.budgets.set_routers(known, self.now)
        self._open += self.rate * STEP_SECONDS
        names = list(self.routers)
        weights = [self.weights.get(name, 1.0) for name in names]
        while self._open >= 1.0:
            self._open -= 1.0
            self.requests.append(self.now)
            if names and sum(weights):
                router = self.routers[self.rng.choices(names, weights)[0]]
                request = _Request(next(self._numbers), self.now)
                router.requested(request, self._any_target(), self.now)
                self._fail_later(router, request)
        while self._failing and self._failing[0][0] <= self.now:
            self._fail(*heapq.heappop(self._failing)[2:])

    def _any_target(self):
        return self._targets[next(self._order) % len(self._targets)]

    def _fail_later(self, router, request):
        at = self.now + self.failure_delay
        heapq.heappush(self._failing, (at, next(self._order), router, request))

    def _fail(self, router, request):
        if self.routers.get(router.name) is not router:
            return
        for _ in range(self.wanted):
            if not router.send_retry(request, self._any_target(), self.now):
                self.refused += 1
                return

    @property
    def excess(self):
        """Return by how much the bound was exceeded; 0 if it held."""
        return worst_excess(self.requests, self.retries, self.limits)

    @property
    def used_share(self):
        """Return the largest share of the bound that was used."""
        return largest_used_share(self.requests, self.retries, self.limits)


def _declined(request):
    """Return the head of an answer that declines a request."""
    return AnswerHead(
        status=503,
        headers=(),
        request_id=request.request_id,
        has_receipt=False,
        is_not_run=True,
        is_other_incarnation=False,
        load=None,
        length=None,
    )
