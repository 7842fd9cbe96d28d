"""What goes wrong in a soak, and when; all of it follows from the seed."""

from __future__ import annotations

from dataclasses import dataclass

# Seconds of trouble and of planned work alone, by turns; within the trouble,
# faults overlap.
ROUGH_SECONDS = 9.0
PLANNED_SECONDS = 5.0
ROUGH_PAUSE = 0.7
PLANNED_PAUSE = 1.2
ROUGH = {
    "kill": 3,
    "kill_all": 1,
    "pause": 3,
    "router_store": 4,
    "store": 4,
    "store_forgets": 1,
    "target_link": 4,
    "target_faults": 4,
    "target_crash": 2,
}
PLANNED = {"term": 3, "term_two": 1, "hup": 2, "change": 4, "withdraw": 3, "drain": 2}


@dataclass(frozen=True)
class Step:
    """Something to do at a time, for a while, to something drawn."""

    at: float
    kind: str
    lasts: float
    pick: float
    how: float


def draw(rng, seconds):
    """Return the steps of a soak, in order."""
    steps = []
    at = rng.uniform(1.0, 2.0)
    while at < seconds:
        is_rough = at % (ROUGH_SECONDS + PLANNED_SECONDS) < ROUGH_SECONDS
        kinds = {**ROUGH, **PLANNED} if is_rough else PLANNED
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        lasts = rng.uniform(0.5, 5.0)
        steps.append(Step(at, kind, lasts, rng.random(), rng.random()))
        at += rng.expovariate(1 / (ROUGH_PAUSE if is_rough else PLANNED_PAUSE))
    return steps
