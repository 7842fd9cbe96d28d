"""A small organisation's wait while a large one surges, on one engine.

Drives the product's admission, bound and fair queue on a virtual clock. The
wait is the time until the first token: waiting for a slot, then prefill.
"""

from __future__ import annotations

import heapq
import random

from primrosescale.request.admission import AdmissionController
from primrosescale.request.admission import AdmissionSettings
from primrosescale.request.fair_queue import QueuedCall
from primrosescale.request.load_bound import BoundSettings
from primrosescale.request.load_bound import LoadBound
from primrosescale.request.load_bound import ServiceLoad
from primrosescale.request.target_health import HealthSettings
from primrosescale.request.target_health import TargetHealth
from support import percentile
from support import save

SECONDS = 3600
SLOTS = 16
RATE = 20.0
PREFILL = 0.3
WORK = 250
SMALL_RATE = 0.05
LARGE_RATE = 0.4
SURGE = 50
DEADLINE = 60.0
SEED = 5


class Fifo(AdmissionController):
    """The baseline: one queue in order of arrival, no displacement."""

    def offer(self, call, now):
        call.organisation = "all"
        return super().offer(call, now)


def run(make, reserve, small, large, surge):
    """Return waits of the small organisation and refusals of both."""
    rng = random.Random(SEED)
    bound = LoadBound(BoundSettings(floor=12_000, slow_start=0), 0.0)
    bound.update(ServiceLoad(0, 1, 0, 0.0))
    settings = AdmissionSettings(slots=SLOTS, reserve=reserve, queue_limit=256)
    admission = make(settings, bound, TargetHealth(HealthSettings()))
    events = []
    count = 0
    for name, rate in (("small", small), ("large", large * surge)):
        at = rng.expovariate(rate) if rate else SECONDS
        while at < SECONDS:
            count += 1
            heapq.heappush(events, (at, count, "offer", name))
            at += rng.expovariate(rate)
    waits = {"small": [], "large": []}
    refused = {"small": 0, "large": 0}
    offered = {"small": 0, "large": 0}
    while events:
        now, _, kind, item = heapq.heappop(events)
        if kind == "end":
            admission.finished(item, now)
        else:
            offered[item] += 1
            work = max(20, int(rng.expovariate(1 / WORK)))
            call = QueuedCall(item, 1, 5, work, now + DEADLINE, (item, now))
            verdict = admission.offer(call, now)
            if not verdict.is_admitted:
                refused[item] += 1
            for given in verdict.displaced:
                refused[given.item[0]] += 1
        for late in admission.expired(now):
            refused[late.item[0]] += 1
        for call in admission.start_next(now):
            name, since = call.item
            waits[name].append(now - since + PREFILL)
            count += 1
            end = now + PREFILL + call.work / RATE
            heapq.heappush(events, (end, count, "end", call))
    return {
        "small_p50": percentile(waits["small"], 0.5),
        "small_p99": percentile(waits["small"], 0.99),
        "small_refused": refused["small"] / offered["small"],
        "large_refused": refused["large"] / max(1, offered["large"]),
    }


def main():
    figures = {"surge": SURGE, "slots": SLOTS}
    figures["alone"] = run(AdmissionController, 2, SMALL_RATE, 0, 1)
    figures["calm"] = run(AdmissionController, 2, SMALL_RATE, LARGE_RATE, 1)
    for reserve in (0, 1, 2, 4):
        figures[f"surge_fair_reserve_{reserve}"] = run(
            AdmissionController,
            reserve,
            SMALL_RATE,
            LARGE_RATE,
            SURGE,
        )
    figures["surge_fifo"] = run(Fifo, 0, SMALL_RATE, LARGE_RATE, SURGE)
    alone = figures["alone"]["small_p99"]
    figures["ratio_fair"] = figures["surge_fair_reserve_2"]["small_p99"] / alone
    figures["ratio_fifo"] = figures["surge_fifo"]["small_p99"] / alone
    save("fairness", figures)


if __name__ == "__main__":
    main()
