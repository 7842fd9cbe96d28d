"""A service with a fixed number of places behind admission, on a virtual clock."""

from __future__ import annotations

import random
from dataclasses import replace
from types import SimpleNamespace

from twisted.internet.task import Clock

from entry.fakes import CONFIRMATION
from entry.fakes import START
from entry.fakes import request
from primrosescale.request.answer.usual_times import UsualTimes
from primrosescale.request.capacity.capacity_view import Allowance
from primrosescale.request.capacity.capacity_view import CapacityView
from primrosescale.request.capacity.overload_episode import OverloadObserver
from primrosescale.request.capacity.request_admission import RequestAdmission

ORDER = replace(CONFIRMATION, name="order", timeout=60.0)
BUDGET = 4.2
# The time that callers have when they first ask, in proportion to `BUDGET`.
BUDGET_SHARES = (0.84, 1.0)
WORK_SECONDS = 0.09


class FakeCapacity(CapacityView):
    """An allowance and an answer time that the test sets."""

    def __init__(self, requests=6, answer_time=WORK_SECONDS):
        self.requests = requests
        self.time = answer_time
        self.in_force = True
        self.asked = 0

    def is_in_force(self, service):
        return self.in_force

    def allowance(self, service, waiting, now, returning=0):
        self.asked += 1
        if self.requests is None:
            return None
        return Allowance(self.requests, float(self.requests), 50.0, 70.0)

    def answer_time(self, service):
        return self.time


class RecordedOverloads(OverloadObserver):
    def __init__(self):
        self.begun = []
        self.over = []
        self.delays = 0
        self.waits = []
        self.reasons = []

    def began(self, episode, allowance, waiting):
        self.begun.append((episode, allowance, waiting))

    def ended(self, episode):
        self.over.append(episode)

    def delayed(self, service):
        self.delays += 1

    def waited(self, service, seconds):
        self.waits.append(seconds)

    def refused(self, service, reason):
        self.reasons.append(reason)


class FakeCall:
    """A call that occupies a place for some time, or until `end`."""

    def __init__(self, site, incoming, seconds):
        self.site = site
        self.request = incoming
        self.seconds = seconds
        self.submitted_at = site.clock.seconds()
        self.started = []
        self.refusals = []
        self.retry_after = None
        self.refused_at = None
        self.record = None
        self.on_refused = None
        self.is_over = False

    def start(self, now):
        self.started.append(now)
        self.site.started.append(self)
        if self.seconds is not None:
            self.site.clock.callLater(self.seconds, self.end)

    def refuse(self, refusal, retry_after):
        self.refusals.append(refusal)
        self.retry_after = retry_after
        self.refused_at = self.site.clock.seconds()
        self.end()
        if self.on_refused is not None:
            self.on_refused(self)

    def end(self):
        if not self.is_over:
            self.is_over = True
            if self.started:
                self.site.answered(self)
            self.record = self.site.admission.ended(self, self.site.clock.seconds())

    @property
    def organisation(self):
        return self.request.organisation

    @property
    def is_waiting(self):
        return not self.started and not self.is_over

    @property
    def waited(self):
        return self.started[0] - self.submitted_at


class OverloadSite:
    """Admission of one router, its callers and a service."""

    def __init__(self, requests=6, answer_time=WORK_SECONDS):
        self.clock = Clock()
        self.clock.advance(START)
        self.rng = random.Random(11)
        self.capacity = FakeCapacity(requests, answer_time)
        self.overloads = RecordedOverloads()
        self.usual_times = UsualTimes()
        if answer_time is not None:
            self.usual_times.ended(ORDER.name, answer_time)
        self.admission = RequestAdmission(
            self.capacity, self.usual_times, self.clock, self.rng, self.overloads
        )
        self.started = []
        self.calls = []

    def call(self, organisation="bakery", route=ORDER, budget=BUDGET, **fields):
        """Submit a call; it occupies its place for `seconds`, None for until `end`."""
        now = self.clock.seconds()
        seconds = fields.pop("seconds", None)
        fields = {"deadline": now + budget, **fields}
        incoming = request(route, now, organisation=organisation, **fields)
        call = FakeCall(self, incoming, seconds)
        self.calls.append(call)
        self.admission.submit(call, now)
        return call

    def answered(self, call):
        """Learn how long the answer to a call took."""
        seconds = self.clock.seconds() - call.started[0]
        self.usual_times.ended(call.request.route.name, seconds)

    def fill(self, number=None):
        """Occupy the places, so that further calls wait; return the calls."""
        number = self.capacity.requests if number is None else number
        return [self.call("filler", budget=BUDGET) for _ in range(number)]

    def pass_time(self, seconds, step=0.005):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)

    def waiting(self):
        return sum(self.admission.waiting_by_service().values())

    def running(self):
        return sum(len(c.started) > 0 and not c.is_over for c in self.calls)


class Surge:
    """Callers of several organisations that return once when they are refused.

    `patience` is the multiple of Retry-After after which they return.
    """

    def __init__(self, site, seed=5):
        self.site = site
        self.rng = random.Random(seed)
        self.budget_rng = random.Random(seed + 1000)
        self.patience = lambda: 1.0
        self.callers = []

    def arrive(self, organisation, per_second, until, **fields):
        """Let callers of an organisation arrive at random until a time."""
        pause = self.rng.expovariate(per_second)
        if self.site.clock.seconds() + pause < until:
            self.site.clock.callLater(
                pause, self._arrived, organisation, per_second, until, fields
            )

    def _arrived(self, organisation, per_second, until, fields):
        self.arrive(organisation, per_second, until, **fields)
        fields = dict(fields)
        budget = fields.pop("budget", BUDGET) * self.budget_rng.uniform(*BUDGET_SHARES)
        caller = SimpleNamespace(organisation=organisation, calls=[], fields=fields)
        caller.gives_up_at = self.site.clock.seconds() + budget
        self.callers.append(caller)
        self._ask(caller)

    def _ask(self, caller):
        now = self.site.clock.seconds()
        budget = caller.gives_up_at - now
        fields = {"seconds": WORK_SECONDS, **caller.fields}
        index = len(self.site.calls)
        call = self.site.call(caller.organisation, budget=budget, **fields)
        assert self.site.calls[index] is call
        caller.calls.append(call)
        if len(caller.calls) > 1:
            return
        call.on_refused = lambda _: self._return_later(caller)
        if call.refusals:
            self._return_later(caller)

    def _return_later(self, caller):
        delay = caller.calls[0].retry_after * self.patience()
        if self.site.clock.seconds() + delay < caller.gives_up_at:
            self.site.clock.callLater(delay, self._ask, caller)

    def share_served(self, organisation, *, first_only=False):
        callers = [c for c in self.callers if c.organisation == organisation]
        served = sum(
            any(call.started for call in (c.calls[:1] if first_only else c.calls))
            for c in callers
        )
        return served / len(callers)
