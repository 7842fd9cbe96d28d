"""Measure bytes of an entry router's state updates and the time to choose a target."""

from __future__ import annotations

import random
import time
from dataclasses import replace

from primrosescale.connection.codec import encode
from primrosescale.connection.endpoint import Endpoint
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.freshness import Freshness
from primrosescale.request.incoming_request import Prompt
from primrosescale.request.incoming_request import PromptPart
from primrosescale.request.target.serving_target import ServingTarget
from primrosescale.request.target.target_state import LoadReport
from support import save

START_TIME = 1000.0
TARGETS = 27
ROUTER_COUNTS = (23, 68)
RESTARTS = 5
ROUNDS = 40
FIRST_STARTED_AT = 1_790_000_000_000
CHOICES = 1500


def make_target(number, started_at):
    return ServingTarget(
        name=f"i-{number:010x}",
        endpoint=Endpoint("127.0.0.1", 9000 + number),
        service="model",
        domain="a",
        slots=8,
        started_at=started_at,
    )


def incarnation_of(state):
    return state.incarnation


def random_parts(rng):
    shared = [PromptPart(f"{rng.randrange(400):08x}", 300) for _ in range(2)]
    return (*shared, PromptPart(f"{rng.getrandbits(32):08x}", 20))


class Router:
    """A router with requests in flight at all targets."""

    def __init__(self, routers):
        self.rng = random.Random(5)
        self.targets = TargetList(2.0)
        self.parts = PrefixCacheIndex()
        self.state_exchange = StateExchange(
            "r0", 1, self.targets, self.parts, Freshness(5.0)
        )
        for number in range(TARGETS):
            self.targets.put(make_target(number, FIRST_STARTED_AT + number), START_TIME)
        for number in range(1, routers):
            endpoint = Endpoint("127.0.0.1", 7000 + number)
            self.state_exchange.put(PeerRouter(f"r{number}", endpoint), START_TIME)

    def send_requests(self, now):
        for state in self.targets.states:
            for _ in range(self.rng.randrange(3)):
                state.sent(now)
            state.succeeded(now)
            if self.rng.random() < 0.1:
                state.failed(now)
        for state in self.rng.sample(list(self.targets.states), 6):
            self.parts.record_own_request(
                incarnation_of(state), random_parts(self.rng), now
            )

    def finish_requests(self):
        for state in self.targets.states:
            while state.own_running:
                state.ended()

    def restart(self, count, now):
        for state in self.rng.sample(list(self.targets.states), count):
            restarted = replace(state.target, started_at=state.target.started_at + 5000)
            self.parts.forget_target(incarnation_of(state))
            self.targets.put(restarted, now)


def bytes_per_round(routers, restarts):
    router = Router(routers)
    total = 0
    for number in range(ROUNDS):
        now = START_TIME + number * router.state_exchange.interval
        router.send_requests(now)
        if number == ROUNDS // 2:
            router.restart(restarts, now)
        total += sum(
            len(encode(message)) for _, message in router.state_exchange.compose(1, now)
        )
        router.finish_requests()
    return total / ROUNDS


def choice_microseconds(has_prompt):
    router = Router(1)
    rng = router.rng
    states = list(router.targets.states)
    for state in states:
        for _ in range(200):
            router.parts.record_own_request(
                incarnation_of(state), random_parts(rng), START_TIME
            )
        state.set_load(LoadReport(3, 0, 8), START_TIME)
    chooser = TargetChooser(ChoiceSettings(), router.parts, rng, lambda: 0.25)
    prompts = [Prompt(random_parts(rng), 620, 100, "m") for _ in range(300)]
    best = float("inf")
    for _ in range(5):
        began = time.process_time()
        for number in range(CHOICES):
            prompt = prompts[number % 300] if has_prompt else None
            chooser.choose(
                states, {incarnation_of(states[3])}, prompt, START_TIME + 0.1
            )
        best = min(best, time.process_time() - began)
    return 1e6 * best / CHOICES


def main():
    figures = {
        f"round_bytes_{routers}_routers_{restarts}_restarts": bytes_per_round(
            routers, restarts
        )
        for routers in ROUTER_COUNTS
        for restarts in (0, RESTARTS)
    }
    figures["choose_plain_us"] = choice_microseconds(has_prompt=False)
    figures["choose_prompt_us"] = choice_microseconds(has_prompt=True)
    save("entry_news", figures)


if __name__ == "__main__":
    main()
