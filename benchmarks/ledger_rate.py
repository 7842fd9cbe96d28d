"""Claims a store write, and the time of a claim, as the rate grows."""

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

SECONDS = 20
ANSWER = wire.StoredAnswer(200, [], b"x" * 200, True)


def run(rate, buckets):
    """Claim and record at a rate, one writer for all buckets."""
    rng = random.Random(3)
    clock = Clock()
    store = ObjectStore(StoreSettings(latency=0.004), 0.0)
    platform = MemoryPlatform(store, clock)
    writer = ClaimWriter(
        LedgerSettings(buckets=buckets), platform, clock, clock.seconds
    )
    waits = []
    states = []

    def claim():
        key = rng.randbytes(16)
        began = clock.seconds()
        asked = wire.ClaimRequest(1, ClaimVerb.CLAIM, key, key, key, None)

        def claimed(reply):
            waits.append(clock.seconds() - began)
            states.append(reply.state)
            if reply.state == ClaimState.GRANTED:
                verb = ClaimVerb.RECORD
                writer.submit(wire.ClaimRequest(2, verb, key, key, key, ANSWER))

        writer.submit(asked).addCallback(claimed)

    began = time.process_time()
    due = 0.0
    while clock.seconds() < SECONDS:
        clock.advance(0.002)
        while due < clock.seconds():
            claim()
            due += rng.expovariate(rate)
    used = time.process_time() - began
    granted = sum(state == ClaimState.GRANTED for state in states)
    return {
        "claims_per_second": len(states) / SECONDS,
        "granted_share": granted / max(1, len(states)),
        "claims_per_write": len(states) / max(1, writer.writes),
        "writes_per_second": writer.writes / SECONDS,
        "claim_p50_ms": 1000 * percentile(waits, 0.5),
        "claim_p99_ms": 1000 * percentile(waits, 0.99),
        "cpu_us_per_claim": 1e6 * used / max(1, len(states)),
    }


def main():
    figures = {}
    for rate in (10, 100, 400, 820):
        for buckets in (16, 64):
            figures[f"rate_{rate}_buckets_{buckets}"] = run(rate, buckets)
    save("ledger_rate", figures)


if __name__ == "__main__":
    main()
