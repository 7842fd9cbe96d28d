"""Routers of one service whose targets have empty caches, on a virtual clock.

The targets prefill one prompt after another. The routers exchange their state at fixed
intervals, so that what they know of each other is old by up to one of them.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter

from entry.fakes import START
from entry.fakes import prompt
from entry.fakes import target
from primrosescale.connection.endpoint import Endpoint
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.choice.prefill_cost import PrefillCost
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.freshness import Freshness
from primrosescale.request.target.target_state import LoadReport
from primrosescale.request.target.target_work import TargetWork

INTERVAL = 0.25
WINDOW = 0.5
TARGET_RATE = 62_000
STREAM_SECONDS = 0.6
COPY_SHARE = 0.05
# Shared and own tokens of the kinds of prompts, with their shares of the requests.
KINDS = (((10_512, 1300), 0.24), ((2041, 360), 0.35), ((699, 130), 0.41))


class PrefillRouter:
    """One router with everything that its choices rest on."""

    def __init__(self, name, names, mode, rng):
        self.targets = TargetList(2.0)
        for item in names:
            self.targets.put(target(item, slots=64), START)
        self.parts = PrefixCacheIndex()
        self.scope = OverloadScope(OverloadSettings(mode=mode))
        self.scope.record("model", LoadReport(0, 0, 64, 1.0))
        self.work = TargetWork(self.scope)
        self.state_exchange = StateExchange(
            name,
            1,
            self.targets,
            self.parts,
            Freshness(5.0),
            target_work=self.work,
        )
        self.chooser = TargetChooser(
            ChoiceSettings(),
            self.parts,
            rng,
            lambda: INTERVAL,
            prefill_cost=PrefillCost(self.work),
        )


class PrefillFleet:
    """Sends prompts through routers to simulated targets."""

    def __init__(self, routers, targets, mode=OverloadMode.ON, seed=1):
        self.rng = random.Random(seed)
        self.names = [f"m{number}" for number in range(1, targets + 1)]
        names = [f"r{number}" for number in range(routers)]
        self.routers = {
            name: PrefillRouter(name, self.names, mode, random.Random(f"{seed}{name}"))
            for name in names
        }
        for router in self.routers.values():
            for number, name in enumerate(names):
                peer = PeerRouter(name, Endpoint("127.0.0.1", 7000 + number), "a")
                router.state_exchange.put(peer, START)
        self.cached = {name: set() for name in self.names}
        self.free_at = dict.fromkeys(self.names, START)
        self.sent = Counter()
        self.first_bytes = []
        self._events = []
        self._order = itertools.count()

    def run(self, seconds, requests_per_second, texts=300):
        """Send prompts at random times over some seconds."""
        at = START
        while at < START + seconds:
            at += self.rng.expovariate(requests_per_second)
            self.at(at, self.send, texts)
        for step in range(int(seconds / INTERVAL)):
            self.at(START + step * INTERVAL, self.exchange)
        while self._events:
            now, _, function, arguments = heapq.heappop(self._events)
            function(now, *arguments)

    def at(self, when, function, *arguments):
        heapq.heappush(self._events, (when, next(self._order), function, arguments))

    def exchange(self, now):
        for router in self.routers.values():
            for peer, message in router.state_exchange.compose(1, now):
                self.routers[peer.name].state_exchange.receive(message, 1, now)

    def send(self, now, texts):
        router = self.rng.choice(list(self.routers.values()))
        weights = [weight for _, weight in KINDS]
        [kind] = self.rng.choices(range(len(KINDS)), weights)
        shared, own = KINDS[kind][0]
        text = f"{kind}.{self.rng.randrange(texts)}"
        wanted = prompt((text, shared), (f"own{next(self._order)}", own))
        states = router.targets.of_service("model")
        choice = router.chooser.choose(states, (), wanted, now)
        name = choice.state.target.name
        tokens = own
        if text not in self.cached[name]:
            source = choice.fetch_from
            is_copied = source is not None and text in self.cached[source.target.name]
            tokens += shared * COPY_SHARE if is_copied else shared
            self.cached[name].add(text)
        self.sent[name, int((now - START) / WINDOW)] += tokens
        prefill = router.work.prefill_of(choice.state, choice.prefill)
        choice.state.sent(now)
        router.parts.record_own_request(choice.state.incarnation, wanted.parts, now)
        if prefill is not None:
            prefill.sent(now)
        begin = max(now, self.free_at[name])
        self.free_at[name] = begin + tokens / TARGET_RATE
        self.first_bytes.append(self.free_at[name] - now)
        self.at(self.free_at[name], self.answer, choice.state, prefill)

    def answer(self, now, state, prefill):
        state.bytes_received(now)
        if prefill is not None:
            prefill.answered(now)
        self.at(now + STREAM_SECONDS, lambda _: state.ended())

    def skew(self, windows):
        """Return the most tokens of a target in half a second, over the mean."""
        counted = [
            tokens for (_, window), tokens in self.sent.items() if window < windows
        ]
        return max(counted) * windows * len(self.names) / sum(counted)

    def late_share(self, seconds):
        """Return the share of first bytes that came after a number of seconds."""
        late = sum(took > seconds for took in self.first_bytes)
        return late / len(self.first_bytes)
