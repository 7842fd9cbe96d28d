"""Routers that share the capacity of plain targets in an overload, on a virtual clock.

Each router has a queue in order of arrival, as a stand-in for the real one, and the
real capacity, state exchange and choice of targets. Targets have slots and a queue.
"""

from __future__ import annotations

import random
from collections import deque
from types import SimpleNamespace

from entry.fakes import LOOKUP
from entry.fakes import request
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.capacity.service_capacity import CapacitySources
from primrosescale.request.capacity.service_capacity import ServiceCapacity
from primrosescale.request.target.target_state import LoadReport
from primrosescale.version.routing_table import Service
from support.router_fleet import LINK_SECONDS
from support.router_fleet import PLAIN_SECONDS
from support.router_fleet import PORTAL
from support.router_fleet import SERVICE
from support.router_fleet import SLOTS
from support.router_fleet import Fleet
from support.router_fleet import FleetRouter

QUEUE_TICK_SECONDS = 0.025
SAMPLE_SECONDS = 0.05
# A request that has waited so long is dropped.
PATIENCE_SECONDS = 2.0
PLAIN = Service(name=SERVICE, slots=SLOTS, cache_tokens=0)
ON = OverloadSettings(OverloadMode.ON)
ASKED = request(LOOKUP, service=SERVICE)


class CapacityRouter(FleetRouter):
    """A router whose requests wait while it has reached its allowance."""

    def begin(self, incarnation):
        self.queue = deque()
        self.running = 0
        self.started = 0
        self.submitted = 0
        super().begin(incarnation)
        scope = OverloadScope(ON)
        scope.record(SERVICE, LoadReport(0, 0, SLOTS))
        self.capacity = ServiceCapacity(
            scope,
            CapacitySources(
                self.targets.of_service,
                lambda _: PLAIN,
                lambda: len(self.fleet.routers),
                self.state_exchange.waiting_elsewhere,
                self.state_exchange.has_current_loads,
                lambda _, __: self.fleet.pace,
            ),
            random.Random(f"capacity {self.number} {incarnation}"),
        )

    def _build_state_exchange(self, incarnation):
        return StateExchange(
            self.name,
            incarnation,
            self.targets,
            self.parts,
            self.freshness,
            self.domain,
            self.fleet.settings,
            waiting_by_service=self.unserved,
        )

    def unserved(self):
        """Return the demand that other routers learn from this one."""
        return {SERVICE: len(self.queue)}

    def submit(self, now):
        self.submitted += 1
        if not self.queue:
            self.fleet.clock.callLater(QUEUE_TICK_SECONDS, self._tick)
        self.queue.append(now)
        self.capacity.request_received(ASKED)
        self.process(now)

    def _tick(self):
        now = self.fleet.clock.seconds()
        while self.queue and now - self.queue[0] > PATIENCE_SECONDS:
            self.queue.popleft()
            self._end_call(None)
        self.process(now)
        if self.queue:
            self.fleet.clock.callLater(QUEUE_TICK_SECONDS, self._tick)

    def process(self, now):
        while self.queue and self.is_up:
            found = self.capacity.allowance(SERVICE, len(self.queue), now)
            if found is not None and self.running >= found.requests:
                return
            choice = self.chooser.choose(
                self.targets.of_service(SERVICE), (), None, now
            )
            if choice is None:
                return
            self.queue.popleft()
            self.started += 1
            choice.state.sent(now)
            self.running += 1
            self.fleet.clock.callLater(
                LINK_SECONDS, self.fleet.arrive, self, choice.state, now
            )

    def answered(self, state, began_at, report):
        now = self.fleet.clock.seconds()
        state.set_load(report, now)
        state.succeeded(now)
        state.ended()
        self.running -= 1
        attempt = SimpleNamespace(
            outcome="answered", began_at=began_at, ended_at=now, report=report
        )
        self._end_call(attempt)
        self.process(now)

    def _end_call(self, attempt):
        attempts = [] if attempt is None else [attempt]
        status = None if attempt is None else 200
        self.capacity.call_ended(
            SimpleNamespace(request=ASKED, status=status, attempts=attempts)
        )


class CapacityFleet(Fleet):
    """Routers, plain targets, and callers whose rate at each router may change.

    Parameters
    ----------
    usual_share : float
        Usual demand as a share of what the targets can do.
    """

    router_class = CapacityRouter

    def __init__(self, routers, targets, domains, seed, usual_share=0.6, settings=None):
        self.pace = 1.0
        self.samples = []
        self.weight = lambda _, __: 1.0
        self.can_do = targets * SLOTS / PLAIN_SECONDS
        super().__init__(
            routers, targets, domains, usual_share * self.can_do, seed, PORTAL, settings
        )
        self.queues = {name: deque() for name in self.engines}

    def begin(self):
        """Start the callers of each router, once targets are listed."""
        self.run(1.0)
        for router in self.routers:
            self._schedule(router)
        self._sample()

    def _schedule(self, router):
        now = self.clock.seconds()
        rate = self.rate / len(self.routers) * self.weight(router, now)
        self.clock.callLater(self.rng.expovariate(rate), self._submit, router)

    def _submit(self, router):
        self._schedule(router)
        if router.is_up:
            router.submit(self.clock.seconds())

    def arrive(self, router, state, began_at):
        engine = self.engines[state.target.name]
        work = self.rng.expovariate(1 / PLAIN_SECONDS)
        self.queues[engine.name].append((router, state, began_at, work))
        self._run_next(engine)

    def _run_next(self, engine):
        queue = self.queues[engine.name]
        while queue and engine.running < SLOTS:
            engine.running += 1
            router, state, began_at, work = queue.popleft()
            self.clock.callLater(
                work * self.pace, self._finish, engine, router, state, began_at
            )

    def _finish(self, engine, router, state, began_at):
        engine.running -= 1
        report = LoadReport(engine.running, len(self.queues[engine.name]), SLOTS)
        self._run_next(engine)
        if router.is_up:
            self.clock.callLater(LINK_SECONDS, router.answered, state, began_at, report)

    def _sample(self):
        self.clock.callLater(SAMPLE_SECONDS, self._sample)
        running = sum(engine.running for engine in self.engines.values())
        at_targets = [
            engine.running + len(self.queues[name])
            for name, engine in self.engines.items()
        ]
        waiting = sum(len(router.queue) for router in self.routers if router.is_up)
        self.samples.append(Sample(running, sum(at_targets), waiting))


class Sample:
    """State of the targets and queues at a time.

    Parameters
    ----------
    running : int
        Requests that run at all targets.
    at_targets : int
        Requests that run or wait there.
    waiting : int
        Requests that wait at all routers.
    """

    def __init__(self, running, at_targets, waiting):
        self.running = running
        self.at_targets = at_targets
        self.waiting = waiting
