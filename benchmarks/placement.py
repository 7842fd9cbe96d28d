"""Compare placement policies by prefix cache reuse, load skew and rejections.

Drives the product's rendezvous order, load bound and chat directory for one model on
a virtual clock, while engines are replaced. An engine is simulated as a number of
slots and a prefix cache. Every policy gets the same arrivals.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections import deque

from primrosescale.connection.endpoint import Endpoint
from primrosescale.request.capacity.load_bound import BoundSettings
from primrosescale.request.capacity.load_bound import LoadBound
from primrosescale.request.capacity.load_bound import ServiceLoad
from primrosescale.request.capacity.work_estimate import WorkEstimator
from primrosescale.request.capacity.work_estimate import WorkSettings
from primrosescale.request.choice.candidates import Locality
from primrosescale.request.choice.candidates import ServiceTargets
from primrosescale.request.choice.candidates import Target
from primrosescale.request.choice.chat_directory import ChatDirectory
from primrosescale.standin.engine import PrefixCache
from support import percentile
from support import save

ENGINES = 100
SIMULATED_SECONDS = 900
WARM_UP_SECONDS = 300
SLOTS = 16
TOKENS_PER_SECOND = 20.0
REQUESTS_PER_ENGINE = 0.75
CHATS_PER_ENGINE = 120
CACHE_TOKENS = 400_000
LOAD_FLOOR = 1000
BOUND_MULTIPLE = 1.5
BOUND_MARGIN = 0.92
REPORT_LAG_SECONDS = 2
CANDIDATES = 8
REPLACEMENTS_PER_ENGINE_HOUR = 740 / 11_000 / 24
SEED = 11


class Engine:
    def __init__(self, name, now, multiple):
        self.name = name
        self.cache = PrefixCache(CACHE_TOKENS)
        settings = BoundSettings(multiple=multiple, margin=1.0, floor=LOAD_FLOOR)
        self.bound = LoadBound(settings, now)
        self.directory = ChatDirectory(8192, 14_400.0)
        self.load = 0
        self.running = 0
        self.waiting = deque()
        self.reports = deque(
            [0] * (REPORT_LAG_SECONDS + 1), maxlen=REPORT_LAG_SECONDS + 1
        )


class Call:
    __slots__ = ("chat", "engine", "output", "prompt", "work")

    def __init__(self, chat, prompt, output):
        self.chat = chat
        self.prompt = prompt
        self.output = output
        self.engine = None
        self.work = 0


def arrivals(rng, seconds=SIMULATED_SECONDS):
    """Return time, chat, prompt and output tokens; most chats return within minutes."""
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


class Simulation:
    """Simulates one policy over one list of arrivals."""

    def __init__(
        self,
        policy,
        calls,
        churn,
        multiple=BOUND_MULTIPLE,
        margin=BOUND_MARGIN,
        count=CANDIDATES,
    ):
        self.candidates = count
        self.policy = policy
        self.calls = calls
        self.multiple = multiple * margin
        self.rng = random.Random(SEED)
        self.engines = {}
        self.targets = ServiceTargets(Locality("r", "d0"))
        self.estimator = WorkEstimator(WorkSettings())
        self.reported_loads = {}
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
            self.add_engine()
        rng = self.rng
        at = rng.expovariate(churn * ENGINES / 3600) if churn else SIMULATED_SECONDS * 2
        while at < SIMULATED_SECONDS:
            self.schedule(at, self.replace_engine)
            at += rng.expovariate(churn * ENGINES / 3600)
        for second in range(1, SIMULATED_SECONDS):
            self.schedule(second, self.report_loads)

    def schedule(self, when, function, *args):
        self.count += 1
        heapq.heappush(self.events, (when, self.count, function, args))

    def add_engine(self):
        name = f"e{self.next_name}"
        self.next_name += 1
        self.engines[name] = Engine(name, self.now, self.multiple)
        target = Target(name, Endpoint("127.0.0.1", self.next_name), "m", "d0", "r")
        self.targets.put(target)

    def replace_engine(self):
        """Replace an engine, whose cache and work are lost, by a new one."""
        name = self.rng.choice(sorted(self.engines))
        self.targets.remove(name)
        del self.engines[name]
        self.add_engine()

    def report_loads(self):
        """Update the agents with the load sums of ``REPORT_LAG_SECONDS`` ago."""
        engines = list(self.engines.values())
        for engine in engines:
            engine.reports.append(engine.load)
        total = sum(engine.reports[0] for engine in engines)
        for engine in engines:
            view = ServiceLoad(total, len(engines), engine.reports[0], self.now)
            engine.bound.update(view)
            self.reported_loads[engine.name] = engine.reports[0]
        if self.now > WARM_UP_SECONDS:
            loads = [engine.load for engine in engines]
            self.skews.append(max(loads) * len(loads) / max(1, sum(loads)))

    def run(self):
        for when, chat, prompt, output in self.calls:
            while self.events and self.events[0][0] <= when:
                self.now, _, function, args = heapq.heappop(self.events)
                function(*args)
            self.now = when
            self.dispatch(Call(chat, prompt, output))
        return self

    def dispatch(self, call):
        engine = getattr(self, f"choose_{self.policy}")(call)
        if engine is None:
            self.refused += 1
            return
        self.assign(call, engine)

    def assign(self, call, engine):
        cached = engine.cache.hit(call.chat, call.prompt)
        if self.now > WARM_UP_SECONDS and call.prompt > 1350:
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
        uncached = call.prompt - engine.cache.hit(call.chat, call.prompt)
        seconds = (uncached * 0.05 + call.output) / TOKENS_PER_SECOND
        self.schedule(self.now + seconds, self.end, call)

    def end(self, call):
        engine = call.engine
        engine.running -= 1
        engine.load -= call.work
        engine.cache.store(call.chat, call.prompt + call.output)
        self.estimator.learn(call.output)
        if engine.waiting:
            self.start(engine.waiting.popleft())

    def estimate_work(self, call, engine):
        record = engine.directory.find(call.chat, self.now)
        known = record.tokens if record is not None else 0
        return self.estimator.estimate(call.prompt, known, 0)

    def admits(self, call, engine):
        self.hops += 1
        work = self.estimate_work(call, engine)
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

    # The policies, which are called by name.

    def choose_random(self, call):
        return self.engines[self.rng.choice(list(self.engines))]

    def choose_round_robin(self, call):
        self.turn += 1
        names = list(self.engines)
        return self.engines[names[self.turn % len(names)]]

    def choose_least_lagging(self, call):
        name = min(self.engines, key=lambda n: self.reported_loads.get(n, 0))
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
        holder = self.engines.get(record.place) if record is not None else None
        if holder is not None and holder is not home:
            self.hops += 1
            order = [holder, *[e for e in order if e is not holder]]
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
    figures = {"requests": len(calls), "engines": ENGINES, "multiple": BOUND_MULTIPLE}
    for factor in (1, 10, 100):
        churn = REPLACEMENTS_PER_ENGINE_HOUR * factor
        for policy in POLICIES:
            run = Simulation(policy, calls, churn).run()
            figures[f"churn_x{factor}_{policy}"] = run.figures()
    for count in (2, 4, 8, 12):
        for policy in ("bounded", "directory"):
            run = Simulation(
                policy, calls, REPLACEMENTS_PER_ENGINE_HOUR, count=count
            ).run()
            figures[f"candidates_{count}_{policy}"] = run.figures()
    for margin in (1.0, 0.92):
        for multiple in (1.25, 1.5, 2.0):
            run = Simulation(
                "directory", calls, REPLACEMENTS_PER_ENGINE_HOUR, multiple, margin
            ).run()
            figures[f"multiple_{multiple}_margin_{margin}"] = run.figures()
    save("placement", figures)


if __name__ == "__main__":
    sys.exit(main())
