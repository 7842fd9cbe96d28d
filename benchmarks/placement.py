"""Placement compared: cache reuse while engines churn, and skew of load.

Drives the product's own ring, bound, directory and load table for one model
on a virtual clock; engines are a number of slots and a prefix cache. Every
policy sees the same arrivals.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import deque

from primrosescale.connection.endpoint import Endpoint
from primrosescale.request.candidates import Locality
from primrosescale.request.candidates import ServiceTargets
from primrosescale.request.candidates import Target
from primrosescale.request.chat_directory import ChatDirectory
from primrosescale.request.load_bound import BoundSettings
from primrosescale.request.load_bound import LoadBound
from primrosescale.request.load_bound import ServiceLoad
from primrosescale.request.work_estimate import WorkEstimator
from primrosescale.request.work_estimate import WorkSettings
from primrosescale.standin.engine import PrefixCache
from support import percentile
from support import save

ENGINES = 100
SECONDS = 900
WARM = 300
SLOTS = 16
RATE = 20.0
REQUESTS_PER_ENGINE = 0.75
CHATS_PER_ENGINE = 120
CACHE_TOKENS = 400_000
FLOOR = 1000
MULTIPLE = 1.5
MARGIN = 0.92
REPORT_LAG = 2
CANDIDATES = 8
CHURN_PER_ENGINE_HOUR = 740 / 11_000 / 24
SEED = 11


class Engine:
    def __init__(self, name, now, multiple):
        self.name = name
        self.cache = PrefixCache(CACHE_TOKENS)
        settings = BoundSettings(multiple=multiple, margin=1.0, floor=FLOOR)
        self.bound = LoadBound(settings, now)
        self.directory = ChatDirectory(8192, 14_400.0)
        self.load = 0
        self.running = 0
        self.waiting = deque()
        self.reports = deque([0] * (REPORT_LAG + 1), maxlen=REPORT_LAG + 1)


class Call:
    __slots__ = ("chat", "engine", "output", "prompt", "work")

    def __init__(self, chat, prompt, output):
        self.chat = chat
        self.prompt = prompt
        self.output = output
        self.engine = None
        self.work = 0


def arrivals(rng, seconds=SECONDS):
    """Return times and chats: most return within minutes."""
    chats = ENGINES * CHATS_PER_ENGINE
    now = 0.0
    found = []
    turns = {}
    rate = ENGINES * REQUESTS_PER_ENGINE
    while now < seconds:
        now += rng.expovariate(rate)
        chat = rng.randrange(chats)
        turn = turns[chat] = turns.get(chat, 0) + 1
        prompt = 1200 + 150 * turn
        found.append((now, f"c{chat}", prompt, max(20, int(rng.expovariate(1 / 244)))))
    return found


class Run:
    """One policy over one list of arrivals."""

    def __init__(
        self, policy, calls, churn, multiple=MULTIPLE, margin=MARGIN, count=CANDIDATES
    ):
        self.candidates = count
        self.policy = policy
        self.calls = calls
        self.multiple = multiple * margin
        self.rng = random.Random(SEED)
        self.engines = {}
        self.targets = ServiceTargets(Locality("r", "d0"))
        self.estimator = WorkEstimator(WorkSettings())
        self.lagged = {}
        self.next_name = 0
        self.turn = 0
        self.events = []
        self.count = 0
        self.hops = 0
        self.refused = 0
        self.prompt = 0
        self.cached = 0
        self.skews = []
        self.now = 0.0
        for _ in range(ENGINES):
            self.join()
        churns = self.rng
        at = churns.expovariate(churn * ENGINES / 3600) if churn else SECONDS * 2
        while at < SECONDS:
            self.at(at, self.replace)
            at += churns.expovariate(churn * ENGINES / 3600)
        for second in range(1, SECONDS):
            self.at(second, self.report)

    def at(self, when, act, *args):
        self.count += 1
        heapq.heappush(self.events, (when, self.count, act, args))

    def join(self):
        name = f"e{self.next_name}"
        self.next_name += 1
        self.engines[name] = Engine(name, self.now, self.multiple)
        place = Target(name, Endpoint("127.0.0.1", self.next_name), "m", "d0", "r")
        self.targets.put(place)

    def replace(self):
        """An engine goes, with its cache and its work; a new one comes."""
        name = self.rng.choice(sorted(self.engines))
        self.targets.remove(name)
        del self.engines[name]
        self.join()

    def report(self):
        """Agents hear the sums of some seconds ago."""
        engines = list(self.engines.values())
        for engine in engines:
            engine.reports.append(engine.load)
        total = sum(engine.reports[0] for engine in engines)
        for engine in engines:
            view = ServiceLoad(total, len(engines), engine.reports[0], self.now)
            engine.bound.update(view)
            self.lagged[engine.name] = engine.reports[0]
        if self.now > WARM:
            loads = [engine.load for engine in engines]
            self.skews.append(max(loads) * len(loads) / max(1, sum(loads)))

    def run(self):
        for when, chat, prompt, output in self.calls:
            while self.events and self.events[0][0] <= when:
                self.now, _, act, args = heapq.heappop(self.events)
                act(*args)
            self.now = when
            self.place(Call(chat, prompt, output))
        return self

    def place(self, call):
        engine = getattr(self, f"choose_{self.policy}")(call)
        if engine is None:
            self.refused += 1
            return
        self.give(call, engine)

    def give(self, call, engine):
        cached = engine.cache.hit(call.chat, call.prompt)
        if self.now > WARM and call.prompt > 1350:
            self.prompt += call.prompt
            self.cached += cached
        if not call.work:
            call.work = self.estimator.estimate(call.prompt, cached, 0)
        call.engine = engine
        engine.load += call.work
        if engine.running < SLOTS:
            self.start(call)
        else:
            engine.waiting.append(call)

    def start(self, call):
        engine = call.engine
        engine.running += 1
        fresh = call.prompt - engine.cache.hit(call.chat, call.prompt)
        seconds = (fresh * 0.05 + call.output) / RATE
        self.at(self.now + seconds, self.end, call)

    def end(self, call):
        engine = call.engine
        engine.running -= 1
        engine.load -= call.work
        engine.cache.store(call.chat, call.prompt + call.output)
        self.estimator.learn(call.output)
        if engine.waiting:
            self.start(engine.waiting.popleft())

    def work_at(self, call, engine):
        record = engine.directory.find(call.chat, self.now)
        known = record.tokens if record is not None else 0
        return self.estimator.estimate(call.prompt, known, 0)

    def admits(self, call, engine):
        self.hops += 1
        work = self.work_at(call, engine)
        if not engine.bound.admits(engine.load, work, self.now):
            return False
        call.work = work
        engine.directory.record_served(
            call.chat,
            engine.name,
            call.prompt + call.output,
            self.now,
        )
        return True

    def order(self, call, count=0):
        count = count or self.candidates
        return [self.engines[t.name] for t in self.targets.order(call.chat, count)]

    # The policies.

    def choose_random(self, call):
        return self.engines[self.rng.choice(list(self.engines))]

    def choose_round_robin(self, call):
        self.turn += 1
        names = list(self.engines)
        return self.engines[names[self.turn % len(names)]]

    def choose_least_lagging(self, call):
        name = min(self.engines, key=lambda n: self.lagged.get(n, 0))
        return self.engines[name]

    def choose_rendezvous(self, call):
        return self.order(call, 1)[0]

    def choose_oracle(self, call):
        return max(
            self.engines.values(),
            key=lambda e: (e.cache.tokens(call.chat), -e.load),
        )

    def choose_bounded(self, call):
        for engine in self.order(call):
            if self.admits(call, engine):
                return engine
        return None

    def choose_directory(self, call):
        order = self.order(call)
        home = order[0]
        record = home.directory.find(call.chat, self.now)
        place = self.engines.get(record.place) if record is not None else None
        if place is not None and place is not home:
            self.hops += 1
            order = [place, *[e for e in order if e is not place]]
        for engine in order:
            if self.admits(call, engine):
                if engine is not home:
                    home.directory.record_served(call.chat, engine.name, 0, self.now)
                return engine
        return None

    def figures(self):
        accepted = len(self.calls) - self.refused
        return {
            "reuse": self.cached / max(1, self.prompt),
            "skew_p50": percentile(self.skews, 0.5),
            "skew_p99": percentile(self.skews, 0.99),
            "skew_max": max(self.skews),
            "refused_share": self.refused / len(self.calls),
            "hops": self.hops / max(1, accepted),
        }


POLICIES = (
    "oracle",
    "random",
    "round_robin",
    "least_lagging",
    "rendezvous",
    "bounded",
    "directory",
)


def main():
    calls = arrivals(random.Random(SEED))
    figures = {"requests": len(calls), "engines": ENGINES, "multiple": MULTIPLE}
    for factor in (1, 10, 100):
        churn = CHURN_PER_ENGINE_HOUR * factor
        for policy in POLICIES:
            run = Run(policy, calls, churn).run()
            figures[f"churn_x{factor}_{policy}"] = run.figures()
    for count in (2, 4, 8, 12):
        for policy in ("bounded", "directory"):
            run = Run(policy, calls, CHURN_PER_ENGINE_HOUR, count=count).run()
            figures[f"candidates_{count}_{policy}"] = run.figures()
    for margin in (1.0, 0.92):
        for multiple in (1.25, 1.5, 2.0):
            run = Run("directory", calls, CHURN_PER_ENGINE_HOUR, multiple, margin).run()
            figures[f"multiple_{multiple}_margin_{margin}"] = run.figures()
    save("placement", figures)


if __name__ == "__main__":
    sys.exit(main())
