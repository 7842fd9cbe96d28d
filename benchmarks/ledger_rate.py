"""Measure claims per store write and the latency of a claim at growing rates."""

from __future__ import annotations

import random
import time

from twisted.internet.task import Clock

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import ClaimState
from primrosescale.connection.wire.ttypes import ClaimVerb
from primrosescale.process.ledger.claim_writer import ClaimWriter
from primrosescale.process.ledger.ledger_bucket import LedgerSettings
from primrosescale.standin.memory_platform import MemoryPlatform
from primrosescale.standin.object_store import ObjectStore
from primrosescale.standin.object_store import StoreSettings
from support import percentile
from support import save

SIMULATED_SECONDS = 20
ANSWER = wire.StoredAnswer(200, [], b"x" * 200, True)


def run(rate, buckets):
    """Return figures of claims and records at a rate, one writer for all buckets."""
    rng = random.Random(3)
    clock = Clock()
    store = ObjectStore(StoreSettings(latency=0.004), 0.0)
    platform = MemoryPlatform(store, clock)
    writer = ClaimWriter(
        LedgerSettings(buckets=buckets), platform, clock, clock.seconds
    )
    latencies = []
    states = []

    def claim():
        key = rng.randbytes(16)
        began = clock.seconds()
        request = wire.ClaimRequest(1, ClaimVerb.CLAIM, key, key, key, None)

        def claimed(reply):
            latencies.append(clock.seconds() - began)
            states.append(reply.state)
            if reply.state == ClaimState.GRANTED:
                verb = ClaimVerb.RECORD
                writer.submit(wire.ClaimRequest(2, verb, key, key, key, ANSWER))

        writer.submit(request).addCallback(claimed)

    began = time.process_time()
    next_claim_at = 0.0
    while clock.seconds() < SIMULATED_SECONDS:
        clock.advance(0.002)
        while next_claim_at < clock.seconds():
            claim()
            next_claim_at += rng.expovariate(rate)
    elapsed = time.process_time() - began
    granted = sum(state == ClaimState.GRANTED for state in states)
    return {
        "claims_per_second": len(states) / SIMULATED_SECONDS,
        "granted_share": granted / max(1, len(states)),
        "claims_per_write": len(states) / max(1, writer.writes),
        "writes_per_second": writer.writes / SIMULATED_SECONDS,
        "claim_p50_ms": 1000 * percentile(latencies, 0.5),
        "claim_p99_ms": 1000 * percentile(latencies, 0.99),
        "cpu_us_per_claim": 1e6 * elapsed / max(1, len(states)),
    }


def main():
    figures = {}
    for rate in (10, 100, 400, 820):
        for buckets in (16, 64):
            figures[f"rate_{rate}_buckets_{buckets}"] = run(rate, buckets)
    save("ledger_rate", figures)


if __name__ == "__main__":
    main()
