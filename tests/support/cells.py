"""Runs one cell of the fault matrix: a call with faults injected at its steps."""

from __future__ import annotations

from support.faults import FAULTS
from support.world import SimulatedFleet

STEPS = (
    "accept",
    "pin version",
    "order",
    "dial",
    "send",
    "admit",
    "queue",
    "claim write",
    "claim answer",
    "hand to target",
    "first byte",
    "mid-stream",
    "last byte",
    "acknowledge",
    "record outcome",
)
CLAIM_STEPS = frozenset({"claim write", "claim answer", "record outcome"})
SUBJECT = "subject"
KEY = "key-of-subject"


def steps_of(kind):
    """Return the steps of a kind of call."""
    if kind == "keyed":
        return STEPS
    return tuple(step for step in STEPS if step not in CLAIM_STEPS)


def run_cell(kind, injections):
    """Run one call with faults injected; return the simulated fleet.

    Parameters
    ----------
    kind : str
        ``keyed`` for a non-idempotent call, ``chat`` for a streamed one.
    injections : list
        Pairs of step and fault to inject there.
    """
    world = SimulatedFleet(service="case" if kind == "keyed" else "chat")
    world.subject = SUBJECT
    if any(step == "queue" for step, _ in injections):
        _occupy_slots(world)
    for step, fault in injections:
        _inject_at(world, step, fault)
    _submit(world, kind, SUBJECT, "r1")
    world.run(0.5)
    _submit(world, kind, "neighbour", "r2")
    world.run(14)
    if kind == "keyed":
        _submit(world, kind, "repeat", "r2")
        world.run(12)
    world.network.heal()
    _submit(world, kind, "after", "r2")
    world.run(14)
    return world


def _occupy_slots(world):
    """Occupy every slot for a while, so that the subject is queued."""
    chat = "c" if world.service == "chat" else ""
    waves = 1.5 if chat else 3
    for number in range(int(waves * world.slots * len(world.agents))):
        world.submit("r2", f"filler{number}", chat=chat)
    for target in world.targets.values():
        target.gap = 0.1
    world.run(0.1)


def _inject_at(world, step, fault):
    def inject(party):
        name = getattr(party, "name", None)
        if name is None and party is not None:
            name = party._settings.process.name
        world.struck.append((step, fault))
        FAULTS[fault](world, name or _serving(world))

    if not hasattr(world, "struck"):
        world.struck = []
    previous = world.hooks.get((step, SUBJECT))

    def both(party):
        if previous is not None:
            previous(party)
        inject(party)

    world.on(step, SUBJECT, both)


def _serving(world):
    """Return the agent that handles the subject; the first if there is none."""
    for name, agent in world.agents.items():
        for call in agent.core._calls.values():
            if call.call.body.decode() == SUBJECT:
                return name
    return "a1"


def _submit(world, kind, name, router):
    if router not in world.routers:
        return
    if kind == "keyed":
        key = KEY if name in {SUBJECT, "repeat"} else f"key-{name}"
        text = SUBJECT if name == "repeat" else name
        world.submit(router, name, key=key, text=text)
        return
    world.submit(router, name, chat="c", is_streamed=True)
