"""Tests the load bound where routers learn late of each other's requests."""

from __future__ import annotations

import heapq
import itertools
import random

from testtools import TestCase

from entry.fakes import START
from entry.fakes import prompt
from entry.fakes import target
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.target.target_state import LoadReport
from primrosescale.request.target.target_state import TargetState

ROUTERS = 60
TARGETS = 60
REPORT_INTERVAL_SECONDS = 1.5
VALID_INTERVALS = 4
REQUESTS_PER_SECOND = 200.0
REQUEST_SECONDS = 1.0
ANSWER_SECONDS = 0.05
COUNTED_FROM_SECONDS = 2.0
RUN_SECONDS = 6.0
MAX_OVER_SHARE = 0.03


class Router:
    """The knowledge and the choices of one router."""

    def __init__(self, number):
        self.name = str(number)
        self.parts = PrefixCacheIndex()
        self.chooser = TargetChooser(
            ChoiceSettings(),
            self.parts,
            random.Random(number),
            lambda: REPORT_INTERVAL_SECONDS,
        )
        self.states = [TargetState(target(f"m{n}"), START) for n in range(TARGETS)]


class Simulation:
    """Simulates requests and the load reports between routers on a virtual clock."""

    def __init__(self, draw_prompt):
        self.rng = random.Random(8)
        self.draw_prompt = draw_prompt
        self.routers = [Router(number) for number in range(ROUTERS)]
        self.total = dict.fromkeys([f"m{n}" for n in range(TARGETS)], 0)
        self.over = 0
        self.sent = 0
        self._order = itertools.count()
        self._events = []

    def at(self, now, act, *arguments):
        heapq.heappush(self._events, (now, next(self._order), act, arguments))

    def run(self):
        for router in self.routers:
            self.at(
                START + self.rng.random() * REPORT_INTERVAL_SECONDS, self.report, router
            )
        self.at(START, self.send_request)
        while self._events[0][0] < START + RUN_SECONDS:
            now, _, act, arguments = heapq.heappop(self._events)
            act(now, *arguments)
        return self.over / self.sent

    def report(self, now, router):
        fresh_until = now + VALID_INTERVALS * REPORT_INTERVAL_SECONDS
        for other in self.routers:
            if other is not router:
                for mine, theirs in zip(router.states, other.states, strict=True):
                    theirs.set_peer_requests(router.name, mine.own_running, fresh_until)
        self.at(now + REPORT_INTERVAL_SECONDS, self.report, router)

    def send_request(self, now):
        self.at(now + self.rng.expovariate(REQUESTS_PER_SECOND), self.send_request)
        router = self.rng.choice(self.routers)
        wanted = self.draw_prompt(self.rng)
        state = router.chooser.choose(router.states, (), wanted, now).state
        name = state.target.name
        state.sent(now)
        self.total[name] += 1
        if wanted is not None:
            router.parts.record_own_request(state.incarnation, wanted.parts, now)
        self.at(now + ANSWER_SECONDS, self.answer, state)
        lasts = self.rng.expovariate(1 / REQUEST_SECONDS)
        self.at(now + lasts, self.end, state)
        if now > START + COUNTED_FROM_SECONDS:
            mean = sum(self.total.values()) / TARGETS
            self.sent += 1
            self.over += self.total[name] > 2 * mean + 3

    def answer(self, now, state):
        state.set_load(LoadReport(self.total[state.target.name], 0, 64), now)

    def end(self, now, state):
        state.ended()
        self.total[state.target.name] -= 1


class StaleLoadReportsTest(TestCase):
    """The load bound holds where peer routers' load reports are 1.5 s old."""

    def test_prompts_with_few_shared_parts_stay_within_the_bound(self):
        def draw(rng):
            shared = min(int(rng.paretovariate(0.8)), 20)
            chat = f"chat{rng.getrandbits(32)}"
            return prompt((f"shared{shared}", 3000), (chat, 300))

        self.assertLess(Simulation(draw).run(), MAX_OVER_SHARE)

    def test_plain_requests_stay_within_the_bound(self):
        self.assertLess(Simulation(lambda _: None).run(), MAX_OVER_SHARE)
