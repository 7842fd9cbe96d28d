"""Draws the faults and planned work of a soak, and their times, from its seed."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

# Periods with faults and planned work alternate with periods of planned work alone;
# faults may overlap.
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
# Drawn as a separate series, in the periods with faults.
EXTRA_KINDS = {"reborn": 3, "foreign": 3, "lone_silence": 1}
EXTRA_INTERVAL_SECONDS = 1.5
# Events of failure domains; an optional separate series.
DOMAIN_KINDS = {"evacuate": 3, "chill": 2, "cold_return": 2}
DOMAIN_INTERVAL_SECONDS = 4.0
# Self-reports of targets in their answers; an optional separate series.
SELF_REPORT_KINDS = {"say_leaving": 3, "ask_rest": 4, "all_ask_rest": 1}
SELF_REPORT_INTERVAL_SECONDS = 3.0
# Surges of one organisation; an optional separate series.
SURGE_KINDS = {"surge": 1}
SURGE_INTERVAL_SECONDS = 5.0
# Planned stops beside long streams; an optional separate series.
STOP_KINDS = {"term": 3, "term_two": 1}
STOP_INTERVAL_SECONDS = 5.0
# Restarts and new settings while targets decline requests; an optional separate series.
RESTART_KINDS = {"kill": 3, "kill_all": 1, "term": 2, "settings": 3}
RESTART_INTERVAL_SECONDS = 0.8
# Targets that stand still and go on; an optional separate series.
STALL_KINDS = {"stall": 1}
# The same, while connections are reset, and routers killed too.
RESET_STALL_KINDS = {"reset_stall": 3, "kill_stall": 1}
STALL_INTERVAL_SECONDS = 14.0
MIN_STALL_SECONDS = 3.0
MAX_STALL_SECONDS = 9.0
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
    """One event of a soak.

    `choice` and `how` are fractions below 1: one chooses the object that the event
    affects, the other the variant of the event.
    """

    at: float
    kind: str
    duration: float
    choice: float
    how: float


def draw(rng, seconds, extra_rng=None, without=()):
    """Return the steps of a soak, in order of time.

    Steps drawn with `extra_rng` do not change the main series of the seed.
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
    """Return the steps of failure domains, in order of time."""
    return _draw_series(rng, seconds, DOMAIN_KINDS, DOMAIN_INTERVAL_SECONDS)


def draw_self_reports(rng, seconds):
    """Return the steps in which targets report leaving or request pauses, in order."""
    return _draw_series(rng, seconds, SELF_REPORT_KINDS, SELF_REPORT_INTERVAL_SECONDS)


def draw_surges(rng, seconds):
    """Return the steps in which an organisation surges, in order of time."""
    return _draw_series(rng, seconds, SURGE_KINDS, SURGE_INTERVAL_SECONDS)


def draw_stops(rng, seconds):
    """Return the steps in which routers are stopped as planned, in order of time."""
    return _draw_series(rng, seconds, STOP_KINDS, STOP_INTERVAL_SECONDS)


def draw_restarts(rng, seconds):
    """Return the steps in which routers restart or get new settings, in order."""
    return _draw_series(rng, seconds, RESTART_KINDS, RESTART_INTERVAL_SECONDS)


def draw_stalls(rng, seconds, *, has_resets=False):
    """Return the steps in which targets stand still for a while, in order of time."""
    kinds = RESET_STALL_KINDS if has_resets else STALL_KINDS
    steps = _draw_series(rng, seconds, kinds, STALL_INTERVAL_SECONDS)
    return [
        replace(step, duration=rng.uniform(MIN_STALL_SECONDS, MAX_STALL_SECONDS))
        for step in steps
    ]


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
