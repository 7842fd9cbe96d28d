"""Measure the processor time of choosing a target, in microseconds.

    python benchmarks/choice_cost.py

The state is that of one service at one router of a fleet: peer routers have reported
loads and outcomes, some targets are cold, and some have prompt parts cached. Printed
is the best of several rounds for a request without a prompt, one with a prompt, and
one that is retried after an attempt at another target; first without overload control,
then with it, where all targets have reported their pace and have a prefill backlog.
"""

from __future__ import annotations

import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "src"))

from primrosescale.connection.endpoint import Endpoint
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.answer.target_speeds import TargetSpeeds
from primrosescale.request.capacity.cold_targets import ColdSettings
from primrosescale.request.capacity.cold_targets import ColdTargets
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.capacity.router_shares import RouterShares
from primrosescale.request.choice.prefill_cost import PrefillCost
from primrosescale.request.choice.prefix_cache_index import PartUse
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.incoming_request import Prompt
from primrosescale.request.incoming_request import PromptPart
from primrosescale.request.target.serving_target import ServingTarget
from primrosescale.request.target.target_availability import TargetAvailability
from primrosescale.request.target.target_state import LoadReport
from primrosescale.request.target.target_work import TargetWork
from primrosescale.version.routing_table import Service

TARGET_COUNTS = (4, 28, 100)
ROUTERS = 30
ROUNDS = 9
CHOICES = 2000
NOW = 1000.0
SEED = 5


class RouterState:
    """A target chooser with the state that one router has of a service."""

    def __init__(self, targets, *, has_overload_control):
        rng = random.Random(SEED)
        self.targets = TargetList(2.0)
        for number in range(targets):
            endpoint = Endpoint("127.0.0.1", 9000 + number)
            entry = ServingTarget(
                name=f"t{number}",
                endpoint=endpoint,
                service="model",
                domain="a",
                slots=64,
            )
            self.targets.put(entry, NOW)
        self.parts = PrefixCacheIndex()
        self.scope = OverloadScope(OverloadSettings())
        self.work = TargetWork(self.scope)
        self.speeds = TargetSpeeds()
        for state in self.targets.states:
            self.add_reports(state, rng)
            if has_overload_control:
                self.add_work(state, rng)
        service = Service(
            name="model", slots=64, cache_tokens=0, cold_rate=10.0, cold_seconds=5.0
        )
        shares = RouterShares("r0")
        shares.set_routers(
            frozenset(f"r{n}" for n in range(ROUTERS)), NOW, was_listed=True
        )
        cold = ColdTargets(ColdSettings(), shares, lambda _: service)
        self.chooser = TargetChooser(
            ChoiceSettings(),
            self.parts,
            random.Random(SEED),
            lambda: 0.3,
            availability=TargetAvailability(cold),
            recently_delisted=self.targets.recently_delisted,
            prefill_cost=PrefillCost(self.work, "a", self.speeds),
        )
        parts = (PromptPart("tariffs", 10_000), PromptPart("chat", 900))
        self.prompt = Prompt(parts, 10_900, 100, "m")

    def add_reports(self, state, rng):
        for router in range(1, ROUTERS):
            state.set_peer_requests(f"r{router}", rng.randrange(3), NOW + 99)
            state.set_peer_outcomes(f"r{router}", rng.random(), 0.01, NOW + 99)
        if rng.random() < 0.2:
            self.parts.record_use(PartUse("tariffs", state.incarnation, 10_000, NOW))
        if rng.random() < 0.1:
            state.set_cold_for(9.0, NOW)

    def add_work(self, state, rng):
        # One in three reports no pace, so that its speed counts.
        report = LoadReport(0, 0, 64, rng.choice((None, 1.0, 2.5)))
        self.speeds.record(state.incarnation, rng.uniform(0.5, 2.0), NOW)
        self.scope.record("model", report)
        self.work.reported(state, report, NOW + 0.9)
        self.work.peer_started(state, rng.randrange(90_000), NOW + 1, NOW + 1)

    def choose(self, prompt, tried=frozenset()):
        states = self.targets.of_service("model")
        return self.chooser.choose(states, tried, prompt, NOW + 1)


def microseconds(function):
    """Return the microseconds of one call in the fastest round."""
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        for _ in range(CHOICES):
            function()
        best = min(best, time.process_time() - began)
    return 1e6 * best / CHOICES


def measure(size, *, has_overload_control):
    """Return the microseconds of the three kinds of choice at a number of targets."""
    router = RouterState(size, has_overload_control=has_overload_control)
    tried = frozenset([router.targets.state("t0").incarnation])
    return (
        microseconds(lambda: router.choose(None)),
        microseconds(lambda: router.choose(router.prompt)),
        microseconds(lambda: router.choose(None, tried)),
    )


def main():
    for has_overload_control in (False, True):
        print("with" if has_overload_control else "without", "overload control")
        print("targets | plain | prompt | retried")
        for size in TARGET_COUNTS:
            plain, prompt, retried = measure(
                size, has_overload_control=has_overload_control
            )
            print(f"{size:7} | {plain:5.1f} | {prompt:6.1f} | {retried:8.1f}")


if __name__ == "__main__":
    main()
