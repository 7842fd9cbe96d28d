"""A consumer sends its next request on a kept channel while its router is stopping."""

import asyncio
import signal
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import BOUNDS
from standins import MODEL
from standins import Consumer
from standins import Engine
from standins import RouterProcess
from standins import Store
from standins import configuration
from standins import main
from standins import new_number

CONSUMERS = 6
# A stream lasts 4.4 s (sheet: up to 160 events, pauses of at most 0.8 s).
EVENTS = 110
GAP_SECONDS = 0.04
# The streams end from 3.2 s after SIGTERM on.
TERM_AT_SECONDS = 1.2
PLAYED_SECONDS = 14
GRACE_SECONDS = BOUNDS["grace_s"]


async def play(record, routers, *, is_troubled):
    """Play the case; return whether the rule was broken."""
    with tempfile.TemporaryDirectory() as folder:
        store = Store(record)
        await store.listen()
        engines = [
            Engine(f"i-{n}", MODEL, store, record, events=EVENTS, gap=GAP_SECONDS)
            for n in range(3)
        ]
        for engine in engines:
            await engine.start()
        store.write("config", "main", configuration(1))
        routers += [RouterProcess(n, folder, store, record) for n in range(2)]
        for router in routers:
            router.start()
        for router in routers:
            await router.wait_ready()
        # Longer than contact_ms without any disruption.
        await asyncio.sleep(4)
        outcomes = []
        began = record.now
        consumers = [
            asyncio.create_task(_consume(routers[0], record, outcomes, n, began))
            for n in range(CONSUMERS)
        ]
        await asyncio.sleep(TERM_AT_SECONDS)
        term_at = record.now
        if is_troubled:
            routers[0].signal(signal.SIGTERM)
            if not await routers[0].wait_ended(GRACE_SECONDS):
                routers[0].signal(signal.SIGKILL)
        await asyncio.gather(*consumers)
        for engine in engines:
            await engine.stop()
        await store.close()
    return _is_broken(record, outcomes, engines, term_at)


async def _consume(router, record, outcomes, number, began):
    """Send streams one after the other on one kept channel, until it is closed."""
    await asyncio.sleep(number * 0.2)
    consumer = Consumer(router, record)
    while record.now - began < PLAYED_SECONDS - 5:
        outcome = await consumer.send(new_number("draft"), "/draft/x")
        outcomes.append(outcome)
        if not consumer.has_channel:
            return
    consumer.close()


def _is_broken(record, outcomes, engines, term_at):
    """Return whether a request was cut that the rule doesn't excuse."""
    ran = {number for engine in engines for number, _ in engine.ran}
    lost = [
        outcome
        for outcome in outcomes
        if not outcome.is_complete
        and outcome.number in ran
        # Requests sent up to 3 s after SIGTERM may be cut in the last sixth of grace_s.
        and outcome.sent_at > term_at + 3
        and outcome.ended_at <= term_at + GRACE_SECONDS + 1
        and outcome.ended_at - outcome.sent_at < 11.5
    ]
    for outcome in lost:
        record.line(
            f"LOST: {outcome.number}, sent {outcome.sent_at - term_at:.2f} s after "
            f"SIGTERM, passed on, cut {outcome.ended_at - outcome.sent_at:.2f} s later"
        )
    return bool(lost)


sys.exit(main(play, Path(__file__).resolve().parent))
