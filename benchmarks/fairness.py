"""Simulate the wait of a small organisation during the surge of a large one.

Drives the product's admission, load bound and fair queue for one engine on a virtual
clock. The wait is the time to the first token: queueing for a slot, then prefill.
"""

from __future__ import annotations

import heapq
import random

from primrosescale.request.capacity.admission import AdmissionController
from primrosescale.request.capacity.admission import AdmissionSettings
from primrosescale.request.capacity.fair_queue import QueuedCall
from primrosescale.request.capacity.load_bound import BoundSettings
from primrosescale.request.capacity.load_bound import LoadBound
from primrosescale.request.capacity.load_bound import ServiceLoad
from primrosescale.request.target.target_health import HealthSettings
from primrosescale.request.target.target_health import TargetHealth
from support import percentile
from support import save

SIMULATED_SECONDS = 3600
SLOTS = 16
TOKENS_PER_SECOND = 20.0
PREFILL_SECONDS = 0.3
MEAN_OUTPUT_TOKENS = 250
SMALL_REQUESTS_PER_SECOND = 0.05
LARGE_REQUESTS_PER_SECOND = 0.4
SURGE_FACTOR = 50
DEADLINE_SECONDS = 60.0
SEED = 5


class Fifo(AdmissionController):
    """The baseline: one first-in-first-out queue without displacement."""

    def offer(self, call, now):
        call.organisation = "all"
        return super().offer(call, now)


def run(admission_class, reserve, small, large, surge):
    """Return wait percentiles of the small organisation and rejected shares of both."""
    rng = random.Random(SEED)
    bound = LoadBound(BoundSettings(floor=12_000, slow_start=0), 0.0)
    bound.update(ServiceLoad(0, 1, 0, 0.0))
    settings = AdmissionSettings(slots=SLOTS, reserve=reserve, queue_limit=256)
    admission = admission_class(settings, bound, TargetHealth(HealthSettings()))
    events = []
    count = 0
    for name, rate in (("small", small), ("large", large * surge)):
        at = rng.expovariate(rate) if rate else SIMULATED_SECONDS
        while at < SIMULATED_SECONDS:
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
            work = max(20, int(rng.expovariate(1 / MEAN_OUTPUT_TOKENS)))
            call = QueuedCall(item, 1, 5, work, now + DEADLINE_SECONDS, (item, now))
            verdict = admission.offer(call, now)
            if not verdict.is_admitted:
                refused[item] += 1
            for displaced in verdict.displaced:
                refused[displaced.item[0]] += 1
        for expired in admission.expired(now):
            refused[expired.item[0]] += 1
        for call in admission.start_next(now):
            name, since = call.item
            waits[name].append(now - since + PREFILL_SECONDS)
            count += 1
            end = now + PREFILL_SECONDS + call.work / TOKENS_PER_SECOND
            heapq.heappush(events, (end, count, "end", call))
    return {
        "small_p50": percentile(waits["small"], 0.5),
        "small_p99": percentile(waits["small"], 0.99),
        "small_refused": refused["small"] / offered["small"],
        "large_refused": refused["large"] / max(1, offered["large"]),
    }


def main():
    figures = {"surge": SURGE_FACTOR, "slots": SLOTS}
    figures["alone"] = run(AdmissionController, 2, SMALL_REQUESTS_PER_SECOND, 0, 1)
    figures["calm"] = run(
        AdmissionController, 2, SMALL_REQUESTS_PER_SECOND, LARGE_REQUESTS_PER_SECOND, 1
    )
    for reserve in (0, 1, 2, 4):
        figures[f"surge_fair_reserve_{reserve}"] = run(
            AdmissionController,
            reserve,
            SMALL_REQUESTS_PER_SECOND,
            LARGE_REQUESTS_PER_SECOND,
            SURGE_FACTOR,
        )
    figures["surge_fifo"] = run(
        Fifo, 0, SMALL_REQUESTS_PER_SECOND, LARGE_REQUESTS_PER_SECOND, SURGE_FACTOR
    )
    alone = figures["alone"]["small_p99"]
    figures["ratio_fair"] = figures["surge_fair_reserve_2"]["small_p99"] / alone
    figures["ratio_fifo"] = figures["surge_fifo"]["small_p99"] / alone
    save("fairness", figures)


if __name__ == "__main__":
    main()
