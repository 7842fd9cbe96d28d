"""What goes wrong in a soak, and when; all of it follows from the seed."""

from __future__ import annotations

from dataclasses import dataclass

# Seconds of trouble and of planned work alone, by turns; within the trouble,
# faults overlap.
FAULT_SPELL_SECONDS = 9.0
PLANNED_SPELL_SECONDS = 5.0
FAULT_INTERVAL_SECONDS = 0.7
PLANNED_INTERVAL_SECONDS = 1.2
FAULT_KINDS = {
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
# Drawn in a series of their own beside the others, in the same spells.
EXTRA_KINDS = {"reborn": 3, "foreign": 3, "lone_silence": 1}
EXTRA_INTERVAL_SECONDS = 1.5
# What happens to failure domains, in a series of its own where it is asked for.
DOMAIN_KINDS = {"evacuate": 3, "chill": 2, "cold_return": 2}
DOMAIN_INTERVAL_SECONDS = 4.0
# What targets say in their answers, in a series of its own where it is asked for.
SELF_REPORT_KINDS = {"say_leaving": 3, "ask_rest": 4, "all_ask_rest": 1}
SELF_REPORT_INTERVAL_SECONDS = 3.0
PLANNED_KINDS = {
    "term": 3,
    "term_two": 1,
    "hup": 2,
    "change": 4,
    "withdraw": 3,
    "drain": 2,
}


@dataclass(frozen=True)
class Step:
    """Something to do at a time, for a while, to something drawn."""

    at: float
    kind: str
    duration: float
    choice: float
    how: float


def draw(rng, seconds, extra_rng=None, without=()):
    """Return the steps of a soak, in order.

    What `extra_rng` draws leaves the other series of the seed as it is.
    """
    steps = _draw_main_series(rng, seconds)
    kinds = {kind: n for kind, n in EXTRA_KINDS.items() if kind not in without}
    at = 0.0
    while extra_rng is not None and kinds:
        at += extra_rng.expovariate(1 / EXTRA_INTERVAL_SECONDS)
        if at >= seconds:
            break
        kind = extra_rng.choices(list(kinds), list(kinds.values()))[0]
        duration = extra_rng.uniform(0.5, 5.0)
        step = Step(at, kind, duration, extra_rng.random(), extra_rng.random())
        if at % (FAULT_SPELL_SECONDS + PLANNED_SPELL_SECONDS) < FAULT_SPELL_SECONDS:
            steps.append(step)
    return sorted(steps, key=lambda step: step.at)


def draw_domains(rng, seconds):
    """Return what happens to failure domains in a soak, in order."""
    return _draw_series(rng, seconds, DOMAIN_KINDS, DOMAIN_INTERVAL_SECONDS)


def draw_self_reports(rng, seconds):
    """Return when targets say in a soak that they leave or want rest, in order."""
    return _draw_series(rng, seconds, SELF_REPORT_KINDS, SELF_REPORT_INTERVAL_SECONDS)


def _draw_series(rng, seconds, kinds, mean_interval):
    steps = []
    at = rng.uniform(0.5, 2.0)
    while at < seconds:
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        steps.append(Step(at, kind, rng.uniform(0.5, 5.0), rng.random(), rng.random()))
        at += rng.expovariate(1 / mean_interval)
    return steps


def _draw_main_series(rng, seconds):
    steps = []
    at = rng.uniform(1.0, 2.0)
    while at < seconds:
        has_faults = (
            at % (FAULT_SPELL_SECONDS + PLANNED_SPELL_SECONDS) < FAULT_SPELL_SECONDS
        )
        kinds = {**FAULT_KINDS, **PLANNED_KINDS} if has_faults else PLANNED_KINDS
        kind = rng.choices(list(kinds), list(kinds.values()))[0]
        duration = rng.uniform(0.5, 5.0)
        steps.append(Step(at, kind, duration, rng.random(), rng.random()))
        at += rng.expovariate(
            1 / (FAULT_INTERVAL_SECONDS if has_faults else PLANNED_INTERVAL_SECONDS)
        )
    return steps
