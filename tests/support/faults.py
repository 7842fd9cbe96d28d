"""The faults of the matrix, each as something done to a world."""

from __future__ import annotations

from primrosescale.connection.codec import CLASS_BY_KIND
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import MemberState

ANSWERS = (wire.Answer, wire.AnswerHead, wire.AnswerChunk, wire.AnswerEnd)
OUTAGE_SECONDS = 4.0
RESTART_SECONDS = 3.0


def router_dies(world, agent):
    if "r1" in world.routers:
        world.kill("r1")


def agent_dies(world, agent):
    if world.is_process_dead(agent):
        return
    world.kill(agent)
    world.clock.callLater(RESTART_SECONDS, world.start_agent, agent)


def target_dies(world, agent):
    target = world.targets[int(agent[1:])]
    target.is_dead = True
    world.clock.callLater(RESTART_SECONDS, revive, target)


def revive(target):
    target.is_dead = False
    target.incarnation += 1


def agent_replaced(world, agent):
    if not world.is_process_dead(agent):
        world.replace_agent(agent)


def silent_to_agent(world, agent):
    world.network.silence(world.owner("r1"), world.owner(agent))


def silent_to_router(world, agent):
    world.network.silence(world.owner(agent), world.owner("r1"))


def answer_late(world, agent):
    world.network.delay(world.owner(agent), world.owner("r1"), 4.0)


def answers_crossed(world, agent):
    """Bring answers under the names of other calls and other routers."""
    network = world.network

    def cross(sender, receiver, data):
        if not sender.startswith("a") or not data[4:5]:
            return
        if CLASS_BY_KIND.get(data[4]) not in ANSWERS:
            return
        true = decode(data[4:])
        for router, number in (
            (true.router + 1, true.number),
            (true.router, true.number + 1000),
            (true.router, max(1, true.number - 1)),
        ):
            crossed = decode(data[4:])
            crossed.router, crossed.number = router, number
            if isinstance(crossed, wire.AnswerChunk):
                crossed.data = b"x" * len(crossed.data)
            frame = encode(crossed)
            payload = len(frame).to_bytes(4, "big") + frame
            for transport in network.transports:
                ends = (transport.owner, transport.other.owner)
                if ends == (sender, receiver) and not transport.is_closed:
                    transport.pipe.carry(payload)
                    break

    network.on_frame.append(cross)


def answer_cut(world, agent):
    target = world.targets[int(agent[1:])]
    target.mode = "cut"
    world.clock.callLater(1.0, setattr, target, "mode", "good")


def store_down(world, agent):
    world.store.settings.is_down = True
    world.clock.callLater(
        OUTAGE_SECONDS, setattr, world.store.settings, "is_down", False
    )


def store_slow(world, agent):
    world.store.settings.latency = 1.5
    world.clock.callLater(
        OUTAGE_SECONDS, setattr, world.store.settings, "latency", 0.002
    )


def write_answer_lost(world, agent):
    world.store.settings.lost_answers += 1


def holder_paused(world, agent):
    owner = world.owner(agent)
    world.network.freeze(owner)
    world.clock.callLater(6.0, world.network.thaw, owner)


def lists_differ(world, agent):
    if "r1" in world.routers:
        members = world.routers["r1"].members
        incarnation = world.agents[agent].core.incarnation
        notice = wire.MemberNotice(agent, incarnation, MemberState.DOWN, "r9")
        members.apply_notice(notice, world.clock.seconds())


def target_leaves(world, agent):
    if not world.is_process_dead(agent):
        world.stop_agent(agent)


def engine_flaps(world, agent):
    target = world.targets[int(agent[1:])]
    for number in range(4):
        world.clock.callLater(0.4 * number, setattr, target, "is_dead", True)
        world.clock.callLater(0.4 * number + 0.2, revive, target)


def organisation_surges(world, agent):
    if "r1" not in world.routers:
        return
    for _ in range(40):
        # A surge may strike twice, and a name stands for one request.
        world.surged += 1
        name = f"surge{world.surged}"
        world.submit("r1", name, organisation="large", timeout=6.0)


FAULTS = {
    "router dies": router_dies,
    "agent dies": agent_dies,
    "target dies": target_dies,
    "agent replaced": agent_replaced,
    "silent to agent": silent_to_agent,
    "silent to router": silent_to_router,
    "answer late": answer_late,
    "answers crossed": answers_crossed,
    "answer cut": answer_cut,
    "store down": store_down,
    "store slow": store_slow,
    "write's answer lost": write_answer_lost,
    "holder paused": holder_paused,
    "lists differ": lists_differ,
    "target leaves": target_leaves,
    "engine flaps": engine_flaps,
    "organisation surges": organisation_surges,
}
