"""Routers that admit, queue and refuse calls in an overload, on a virtual clock.

Capacity, admission, state exchange and choice of targets are the real code; callers and
plain targets are simulated.
"""

from __future__ import annotations

import random
from dataclasses import replace
from types import SimpleNamespace

from entry.fakes import LOOKUP
from entry.fakes import request
from primrosescale.request.answer.usual_times import UsualTimes
from primrosescale.request.capacity.request_admission import RequestAdmission
from support.capacity_fleet import CapacityFleet
from support.capacity_fleet import CapacityRouter
from support.overload import RecordedOverloads
from support.router_fleet import LINK_SECONDS
from support.router_fleet import SERVICE

ROUTE = replace(LOOKUP, timeout=60.0)
BUDGET_SECONDS = 2.0
ORGANISATIONS = 4


class AdmittedCall:
    """A call that a router starts or refuses."""

    def __init__(self, router, now):
        self.router = router
        self.submitted_at = now
        organisation = f"o{router.fleet.rng.randrange(ORGANISATIONS)}"
        self.request = request(
            ROUTE,
            now,
            service=SERVICE,
            organisation=organisation,
            deadline=now + BUDGET_SECONDS,
        )
        # Seconds until it was started or refused.
        self.waited = None
        self.refused_after = None

    def start(self, now):
        self.waited = now - self.submitted_at
        router = self.router
        choice = router.chooser.choose(
            router.targets.of_service(SERVICE), (), None, now
        )
        choice.state.sent(now)
        router.fleet.clock.callLater(
            LINK_SECONDS, router.fleet.arrive, router, choice.state, (self, now)
        )

    def refuse(self, refusal, retry_after):
        now = self.router.fleet.clock.seconds()
        self.refused_after = now - self.submitted_at
        self.router.call_ended(self, now, None, [])


class AdmittingRouter(CapacityRouter):
    def begin(self, incarnation):
        super().begin(incarnation)
        self.usual_times = UsualTimes()
        self.admission = RequestAdmission(
            self.capacity,
            self.usual_times,
            self.fleet.clock,
            random.Random(f"admission {self.number} {incarnation}"),
            RecordedOverloads(),
        )

    def unserved(self):
        now = self.fleet.clock.seconds()
        waiting = self.admission.waiting_by_service().get(SERVICE, 0)
        returning = self.admission.returning_by_service(now).get(SERVICE, 0)
        return {SERVICE: self.capacity.unseen_demand(SERVICE, waiting, returning, now)}

    def submit(self, now):
        call = AdmittedCall(self, now)
        self.fleet.calls.append(call)
        self.capacity.request_received(call.request)
        self.admission.submit(call, now)

    def answered(self, state, began_at, report):
        call, began_at = began_at
        now = self.fleet.clock.seconds()
        state.set_load(report, now)
        state.succeeded(now)
        state.ended()
        self.usual_times.ended(ROUTE.name, now - began_at)
        attempt = SimpleNamespace(outcome="answered", began_at=began_at, ended_at=now)
        self.call_ended(call, now, 200, [attempt])

    def call_ended(self, call, now, status, attempts):
        self.capacity.call_ended(
            SimpleNamespace(request=call.request, status=status, attempts=attempts)
        )
        self.admission.ended(call, now)


class AdmittingFleet(CapacityFleet):
    """Routers whose callers have two seconds each and do not return."""

    router_class = AdmittingRouter

    def __init__(self, *arguments):
        self.calls = []
        super().__init__(*arguments)

    def play(self, onset, seconds):
        """Return the calls of some seconds that begin after others."""
        self.begin()
        self.run(onset)
        since = self.clock.seconds()
        self.samples.clear()
        self.run(seconds)
        return [
            call
            for call in self.calls
            if since <= call.submitted_at < self.clock.seconds() - BUDGET_SECONDS
        ]
