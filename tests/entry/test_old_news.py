"""Many routers that hear of each other's requests late, on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random

from testtools import TestCase

from entry.fakes import START
from entry.fakes import prompt
from entry.fakes import target
from primrosescale.request.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.target_choice import ChoiceSettings
from primrosescale.request.target_choice import TargetChooser
from primrosescale.request.target_state import LoadReport
from primrosescale.request.target_state import TargetState

ROUTERS = 60
TARGETS = 60
NEWS_INTERVAL = 1.5
FRESH_INTERVALS = 4
REQUESTS_PER_SECOND = 200.0
REQUEST_SECONDS = 1.0
ANSWER_AFTER = 0.05
SETTLED_AFTER = 2.0
ENDS_AFTER = 6.0
MOST_OVER = 0.03


class Router:
    """What one router knows and decides."""

    def __init__(self, number):
        self.name = str(number)
        self.parts = PrefixCacheIndex()
        self.chooser = TargetChooser(
            ChoiceSettings(),
            self.parts,
            random.Random(number),
            lambda: NEWS_INTERVAL,
        )
        self.states = [TargetState(target(f"m{n}"), START) for n in range(TARGETS)]


class Play:
    """Requests that come, are answered and end, and news between routers."""

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
            self.at(START + self.rng.random() * NEWS_INTERVAL, self.tell, router)
        self.at(START, self.ask)
        while self._events[0][0] < START + ENDS_AFTER:
            now, _, act, arguments = heapq.heappop(self._events)
            act(now, *arguments)
        return self.over / self.sent

    def tell(self, now, router):
        fresh_until = now + FRESH_INTERVALS * NEWS_INTERVAL
        for other in self.routers:
            if other is not router:
                for mine, theirs in zip(router.states, other.states, strict=True):
                    theirs.set_peer_requests(router.name, mine.own_running, fresh_until)
        self.at(now + NEWS_INTERVAL, self.tell, router)

    def ask(self, now):
        self.at(now + self.rng.expovariate(REQUESTS_PER_SECOND), self.ask)
        router = self.rng.choice(self.routers)
        wanted = self.draw_prompt(self.rng)
        state = router.chooser.choose(router.states, (), wanted, now).state
        name = state.target.name
        state.sent(now)
        self.total[name] += 1
        if wanted is not None:
            router.parts.record_own_request(state.incarnation, wanted.parts, now)
        self.at(now + ANSWER_AFTER, self.answer, state)
        lasts = self.rng.expovariate(1 / REQUEST_SECONDS)
        self.at(now + lasts, self.end, state)
        if now > START + SETTLED_AFTER:
            mean = sum(self.total.values()) / TARGETS
            self.sent += 1
            self.over += self.total[name] > 2 * mean + 3

    def answer(self, now, state):
        state.set_load(LoadReport(self.total[state.target.name], 0, 64), now)

    def end(self, now, state):
        state.ended()
        self.total[state.target.name] -= 1


class OldNewsTest(TestCase):
    """The bound on the load where news of others is 1.5 s old."""

    def test_prompts_with_few_shared_parts_stay_within_the_bound(self):
        def draw(rng):
            shared = min(int(rng.paretovariate(0.8)), 20)
            chat = f"chat{rng.getrandbits(32)}"
            return prompt((f"shared{shared}", 3000), (chat, 300))

        self.assertLess(Play(draw).run(), MOST_OVER)

    def test_plain_requests_stay_within_the_bound(self):
        self.assertLess(Play(lambda _: None).run(), MOST_OVER)
