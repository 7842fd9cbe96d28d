"""Measure the cost of overload control in time, bytes and memory.

    python benchmarks/overload_cost.py [RUNS]

Printed are microseconds of processor time, of which the least of several rounds, and of
all runs (1 by default), counts:

- one request through `RequestAdmission.submit` and `ended` with the real
  `ServiceCapacity`, in five cases, the sums over the targets being known;
- these sums, which are computed at most every 50 ms for each service;
- one choice of a target with and without overload control;

and the bytes that waiting requests add to a state update, and those that the state of
calls, targets and routes takes up in memory.
"""

from __future__ import annotations

import gc
import itertools
import random
import sys
import time
import tracemalloc
from pathlib import Path
from types import SimpleNamespace

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "src"))

from twisted.internet.task import Clock

from choice_cost import RouterState
from primrosescale.connection.codec import encode_struct
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.load_codec import MAX_WAITING_SERVICES
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.entry.waiting_reports import WaitingReports
from primrosescale.request.answer.target_speeds import TargetSpeeds
from primrosescale.request.answer.usual_times import UsualTimes
from primrosescale.request.capacity.admission_record import AdmissionRecord
from primrosescale.request.capacity.overload_episode import OverloadObserver
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.capacity.request_admission import RequestAdmission
from primrosescale.request.capacity.service_capacity import SUM_SECONDS
from primrosescale.request.capacity.service_capacity import CapacitySources
from primrosescale.request.capacity.service_capacity import ServiceCapacity
from primrosescale.request.target.serving_target import ServingTarget
from primrosescale.request.target.target_state import LoadReport
from primrosescale.request.target.target_state import TargetState
from primrosescale.request.target.target_work import TargetWork
from primrosescale.version.routing_table import Service
from support import fit

TARGET_COUNTS = (3, 28, 100, 1000, 3000)
CHOICE_TARGET_COUNTS = (28, 100, 1000, 3000)
ROUTER_COUNTS = (4, 30, 420)
CASES = ("not in force", "no limit", "within allowance", "waits", "refused")
ROUNDS = 5
REQUESTS = 100
WAITING = 100
ORGANISATIONS = 30
MEMORY_ITEMS = 1000
# With more routers, one sum over all of them comes from the relays.
MOST_DIRECT = 32
RELAYED_ORIGIN = "relays"
SERVICE = "portal"
SLOTS = 12
OWN_REQUESTS = 20
BUDGET = 4.2
USUAL_ANSWER_SECONDS = 0.09
# Forecasts with it exceed the longest wait, so that each call is refused.
LONG_ANSWER_SECONDS = 60.0
NOW = 1000.0
VALID = NOW + 1e6


class SilentObserver(OverloadObserver):
    """Does nothing; log lines and metrics are not part of the cost."""

    def began(self, episode, allowance, waiting):
        pass

    def ended(self, episode):
        pass

    def delayed(self, service):
        pass

    def waited(self, service, seconds):
        pass

    def refused(self, service, reason):
        pass


class Call:
    """A call that does nothing when it is started or refused."""

    __slots__ = ("attempts", "is_started", "request", "status")

    def __init__(self, request):
        self.request = request
        self.attempts = ()
        self.status = None
        self.is_started = False

    def start(self, now):
        self.is_started = True

    def refuse(self, refusal, retry_after):
        pass


class Router:
    """Admission and capacity of one router for one service.

    The requests of other routers are a multiple of the capacity of the targets.
    """

    def __init__(self, targets, routers, case):
        is_in_force = case != "not in force"
        demand = {"waits": 4.0, "refused": 4.0, "within allowance": 1.0}.get(case, 0.0)
        settings = OverloadSettings(
            OverloadMode.ON if is_in_force else OverloadMode.OFF
        )
        scope = OverloadScope(settings)
        work = TargetWork(scope)
        scope.record(SERVICE, LoadReport(0, 0, SLOTS, 1.0))
        self.states = [_new_state(number) for number in range(targets)]
        self.reports = WaitingReports()
        origins = [f"r{number}" for number in range(1, routers)]
        if routers > MOST_DIRECT:
            origins = [RELAYED_ORIGIN]
        for state in self.states:
            work.reported(state, LoadReport(0, 0, SLOTS, 1.0), NOW)
            for number, origin in enumerate(origins):
                total = round(2 * SLOTS * demand)
                share = total // len(origins) + (number < total % len(origins))
                state.set_peer_requests(origin, share, VALID)
        for origin in origins:
            self.reports.put(origin, {target_key(SERVICE): 1}, 1, VALID)
        if case == "within allowance":
            for number in range(OWN_REQUESTS):
                self.states[number % targets].sent(NOW)
        service = Service(name=SERVICE, slots=SLOTS, cache_tokens=0)
        self.capacity = ServiceCapacity(
            scope,
            CapacitySources(
                lambda _: self.states,
                lambda _: service,
                lambda: routers,
                self.reports.total,
                lambda _: True,
                work.pace_of,
            ),
            random.Random(1),
        )
        self.clock = Clock()
        self.clock.advance(NOW)
        self.admission = RequestAdmission(
            self.capacity,
            UsualTimes(),
            self.clock,
            random.Random(2),
            SilentObserver(),
        )
        self.numbers = itertools.count()
        answer_seconds = {"waits": USUAL_ANSWER_SECONDS, "refused": LONG_ANSWER_SECONDS}
        if case in answer_seconds:
            self.fill(answer_seconds[case])

    def new_call(self):
        number = next(self.numbers)
        route = SimpleNamespace(name="order", is_stream=False)
        request = SimpleNamespace(
            service=SERVICE,
            route=route,
            organisation=f"o{number % ORGANISATIONS}",
            priority=1,
            prompt=None,
            received_at=NOW,
            deadline=NOW + BUDGET,
            give_up_at=NOW + BUDGET,
        )
        return Call(request)

    def submit(self, call):
        self.capacity.request_received(call.request)
        self.admission.submit(call, NOW)

    def run(self, call):
        self.submit(call)
        self.capacity.call_ended(call)
        self.admission.ended(call, NOW)

    def fill(self, answer_seconds):
        """Occupy the allowance and let calls wait; learn the time of answers then."""
        while sum(self.admission.waiting_by_service().values()) < WAITING:
            self.submit(self.new_call())
        call = self.new_call()
        self.capacity.request_received(call.request)
        call.status = 200
        call.attempts = (
            SimpleNamespace(
                outcome="answered",
                report=None,
                began_at=NOW,
                ended_at=NOW + answer_seconds,
            ),
        )
        self.capacity.call_ended(call)

    def add_sum(self, number):
        """Compute the sums at a time for which none are known."""
        self.capacity.allowance(SERVICE, 0, NOW + number * SUM_SECONDS * 1.01)


def _new_state(number):
    entry = ServingTarget(
        name=f"t{number}",
        endpoint=Endpoint("127.0.0.1", 9000 + number),
        service=SERVICE,
        domain="a",
        slots=SLOTS,
    )
    return TargetState(entry, NOW)


def least_microseconds(function, count):
    """Return the microseconds of one call in the fastest round."""
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        for number in range(count):
            function(number)
        best = min(best, time.process_time() - began)
    return round(1e6 * best / count, 2)


def request_cost(targets, routers, case):
    """Return the microseconds of one request in the fastest round."""
    router = Router(targets, routers, case)
    is_started = case not in {"waits", "refused"}
    # The first request computes the sums, which the others use.
    router.run(router.new_call())
    best = float("inf")
    for _ in range(ROUNDS):
        calls = [router.new_call() for _ in range(REQUESTS)]
        began = time.process_time()
        for call in calls:
            router.run(call)
        best = min(best, time.process_time() - began)
        assert all(call.is_started == is_started for call in calls), case
    if not is_started:
        # One may have been started, as allowances are rounded at random.
        waiting = sum(router.admission.waiting_by_service().values())
        assert WAITING - 1 <= waiting <= WAITING, waiting
    return round(1e6 * best / REQUESTS, 2)


def request_costs():
    found = {}
    for case in CASES:
        for targets in TARGET_COUNTS:
            found[f"request, {case}, {targets} targets"] = request_cost(
                targets, 30, case
            )
        for routers in ROUTER_COUNTS:
            found[f"request, {case}, {routers} routers"] = request_cost(
                28, routers, case
            )
    return found


def sum_costs():
    found = {}
    for routers in ROUTER_COUNTS:
        for targets in TARGET_COUNTS:
            router = Router(targets, routers, "within allowance")
            found[f"sums, {targets} targets, {routers} routers"] = least_microseconds(
                router.add_sum, max(2, 1000 // targets)
            )
    return found


def choice_costs():
    found = {}
    for targets in CHOICE_TARGET_COUNTS:
        for has_control in (False, True):
            router = RouterState(targets, has_overload_control=has_control)
            control = "with control" if has_control else "without"
            for kind, prompt in (("plain", None), ("prompt", router.prompt)):
                found[f"choice, {kind}, {targets} targets, {control}"] = (
                    least_microseconds(
                        lambda _, router=router, prompt=prompt: router.choose(prompt),
                        max(2, 2000 // targets),
                    )
                )
    return found


def field_bytes():
    """Return the bytes that the field adds to a state update."""
    found = {}
    for services in (1, 3, 11, MAX_WAITING_SERVICES):
        sizes = []
        for waiting in (
            None,
            {target_key(f"service{n}"): 100 for n in range(services)},
        ):
            message = wire.RouterNews("router", 1, 1, 1, 1, 100, [], [], False, 1)
            message.waiting = waiting
            sizes.append(len(encode_struct(message)))
        found[f"update, waiting for {services} services, bytes"] = sizes[1] - sizes[0]
    return found


def bytes_of(make):
    """Return the bytes of each of `MEMORY_ITEMS` items that a function makes."""
    gc.collect()
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = make()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0] - before
    tracemalloc.stop()
    del kept
    return round(used / MEMORY_ITEMS)


def _times_of_routes():
    times = UsualTimes()
    for route in range(MEMORY_ITEMS):
        times.began(f"route{route}", 0.1)
        times.ended(f"route{route}", 0.1)
    return times


def _speeds_of(states):
    speeds = TargetSpeeds()
    for state in states:
        speeds.record(state.incarnation, 1.5, NOW)
    return speeds


def memory():
    router = Router(100, 30, "waits")
    calls = [router.new_call() for _ in range(MEMORY_ITEMS)]
    scope = OverloadScope(OverloadSettings())
    report = LoadReport(0, 0, SLOTS, 1.0)
    scope.record(SERVICE, report)
    work = TargetWork(scope)
    states = [_new_state(number) for number in range(MEMORY_ITEMS)]

    def wait():
        # Straight to the queue, whose bound is less than this.
        admission = router.admission
        service = admission.services[SERVICE]
        for call in calls:
            record = AdmissionRecord(call)
            admission._records[call] = record
            service._push(record, NOW + 1, NOW)

    def record_pace():
        for state in states:
            work.reported(state, report, NOW)

    def add_backlogs():
        for state in states:
            work.peer_started(state, 10_000, NOW, NOW)

    return {
        "memory, waiting call, bytes": bytes_of(wait),
        "memory, pace of a target, bytes": bytes_of(record_pace),
        "memory, backlog of a target, bytes": bytes_of(add_backlogs),
        "memory, usual times of a route, bytes": bytes_of(_times_of_routes),
        "memory, speed of a target, bytes": bytes_of(lambda: _speeds_of(states)),
    }


def main():
    runs = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    costs = {}
    for _ in range(runs):
        for name, cost in (request_costs() | sum_costs() | choice_costs()).items():
            costs[name] = min(cost, costs.get(name, cost))
    for routers in ROUTER_COUNTS:
        points = [
            (n, costs[f"sums, {n} targets, {routers} routers"]) for n in TARGET_COUNTS
        ]
        slope = round(fit(points)["slope"], 2)
        costs[f"sums, each target, {routers} routers"] = slope
    for name, figure in (costs | field_bytes() | memory()).items():
        print(f"{name:45} {figure:10,}")


if __name__ == "__main__":
    main()
