"""Simulates many routers that choose targets and exchange state, on one virtual clock.

The load is that of model engines of a large deployment: prompts share long parts, and
callers are spread over all routers. A target has a number of slots and a bounded
cache. State exchange, lists of targets and the choice of targets are the real code of
the routers; only sockets, callers and targets are simulated. No test waits: time is
that of the virtual clock.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import OrderedDict

from primrosescale.connection.endpoint import Endpoint
from primrosescale.process.entry.cache_ownership import CacheOwnership
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.router_datagrams import StateExchangeProtocol
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.capacity.router_shares import RouterShares
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.freshness import Freshness
from primrosescale.request.incoming_request import Prompt
from primrosescale.request.incoming_request import PromptPart
from primrosescale.request.target.serving_target import ServingTarget
from primrosescale.request.target.target_state import LoadReport

START = 1000.0
SERVICE = "model"
SLOTS = 16
CACHE_TOKENS = 310_000
LINK_SECONDS = 0.001
# Share of datagrams that are lost.
LOST_SHARE = 0.001
# Speed of an engine: a step per token, which takes longer for each concurrent request,
# and the prefill of prompts.
STEP_SECONDS = 0.0029
STEP_SECONDS_A_REQUEST = 0.0001
READ_TOKENS_A_SECOND = 55_000
FETCHED_TOKENS_A_SECOND = 880_000
# Mean duration of a plain request.
PLAIN_SECONDS = 0.09
# Share of requests of a kind that ask for its hot subject, if it has one.
HOT_SHARE = 0.28
STARTS_AT = 1_790_000_000_000


class Timer:
    """A scheduled call."""

    __slots__ = ("act", "arguments", "is_due")

    def __init__(self, act, arguments):
        self.act = act
        self.arguments = arguments
        self.is_due = True

    def active(self):
        return self.is_due

    def cancel(self):
        self.is_due = False


class HeapClock:
    """Virtual clock with timers that is fast with many of them."""

    def __init__(self):
        self._now = START
        self._order = itertools.count()
        self._timers = []

    def seconds(self):
        return self._now

    def callLater(self, delay, act, *arguments):
        timer = Timer(act, arguments)
        heapq.heappush(self._timers, (self._now + delay, next(self._order), timer))
        return timer

    def run(self, until):
        while self._timers and self._timers[0][0] <= until:
            self._now, _, timer = heapq.heappop(self._timers)
            if timer.is_due:
                timer.is_due = False
                timer.act(*timer.arguments)
        self._now = until


class Kind:
    """A kind of request.

    Parameters
    ----------
    rate : float
        Its share of all requests.
    subjects : int
        Number of long shared prompt parts; 0 for plain requests.
    shared_tokens : int
        Mean length of these.
    own_permits : int
        Mean length of the part that is unique to a request.
    output_tokens : int
        Mean length of an answer.
    """

    def __init__(self, name, rate, subjects, shared_tokens, own_permits, output_tokens):
        self.name = name
        self.rate = rate
        self.subjects = subjects
        self.shared_tokens = shared_tokens
        self.own_permits = own_permits
        self.output_tokens = output_tokens


# An office application that drafts contracts, narrates meter histories and tags
# complaints: shares of requests, number of subjects and tokens of such a deployment.
DESK = (
    Kind("draft", 0.263, 217, 10_000, 1300, 384),
    Kind("story", 0.307, 380, 580, 130, 288),
    Kind("tag", 0.43, 797, 1700, 360, 24),
)


# Customer portals that look up readings and confirm changes.
PORTAL = (Kind("lookup", 1.0, 0, 0, 0, 0),)


class Engine:
    """A target: its requests in flight and the contents of its cache."""

    def __init__(self, name):
        self.name = name
        self.running = 0
        self.cache = OrderedDict()
        self.cached_tokens = 0

    def holds(self, parts):
        """Return the leading tokens that it has cached."""
        tokens = 0
        for part in parts:
            if part.name not in self.cache:
                break
            tokens += part.tokens
        return tokens

    def keep(self, parts):
        for part in parts:
            known = self.cache.pop(part.name, 0)
            self.cache[part.name] = part.tokens
            self.cached_tokens += part.tokens - known
        while self.cached_tokens > CACHE_TOKENS:
            _, tokens = self.cache.popitem(last=False)
            self.cached_tokens -= tokens


class QuietLog:
    """Discards events."""

    def emit(self, *arguments, **fields):
        pass


class ExchangeParts:
    """Collaborators of the exchange protocol."""

    def __init__(self, clock):
        self.reactor = clock
        self.log = QuietLog()


class Wire:
    """Transport of one router's datagrams."""

    def __init__(self, fleet, router):
        self._fleet = fleet
        self._router = router

    def write(self, frame, address):
        self._fleet.carry(self._router, frame, address[1])


class FleetRouter:
    """One router: its lists, its choice of targets and its state exchange."""

    def __init__(self, number, domain, fleet):
        self.name = f"router-{number}"
        self.domain = domain
        self.number = number
        self.is_up = True
        self.fleet = fleet
        self.begin(1)

    def begin(self, incarnation):
        """Start an incarnation of the process, without state of a former one."""
        clock = self.fleet.clock
        self.targets = TargetList(2.0)
        self.parts = PrefixCacheIndex()
        self.freshness = Freshness(5.0)
        self.router_shares = RouterShares(self.name)
        self.state_exchange = self._build_state_exchange(incarnation)
        self.shares = CacheOwnership(
            self.name,
            self.targets,
            self.parts,
            lambda: self.state_exchange.others,
            self.state_exchange.find,
        )
        self.exchange = StateExchangeProtocol(
            self.state_exchange,
            lambda: 1,
            lambda: False,
            lambda: 0,
            ExchangeParts(clock),
            self.shares,
        )
        self.exchange.transport = Wire(self.fleet, self)
        self.chooser = TargetChooser(
            ChoiceSettings(),
            self.parts,
            random.Random(f"{self.number} {incarnation}"),
            lambda: self.state_exchange.age(clock.seconds()),
            lambda: self.state_exchange.is_relayed,
            recently_delisted=self.targets.recently_delisted,
            own_share=self.router_shares.own_permits,
        )

    def _build_state_exchange(self, incarnation):
        return StateExchange(
            self.name,
            incarnation,
            self.targets,
            self.parts,
            self.freshness,
            self.domain,
            self.fleet.settings,
        )

    def as_listed(self):
        endpoint = Endpoint("10.0.0.1", self.number)
        return PeerRouter(self.name, endpoint, self.domain)


class Fleet:
    """Routers, targets and callers.

    Parameters
    ----------
    routers : int
        How many.
    targets : int
        How many.
    domains : int
        Failure domains of the routers.
    rate : float
        Requests a second.
    seed : int
        Seed of all random numbers.
    """

    router_class = FleetRouter

    def __init__(
        self, routers, targets, domains, rate, seed, kinds=DESK, settings=None
    ):
        self.clock = HeapClock()
        self.rng = random.Random(seed)
        self.rate = rate
        self.kinds = kinds
        self.settings = settings
        self.engines = {}
        self.hot = None
        # Pairs of names of sender and receiver between which datagrams are dropped.
        self.cuts = set()
        self.sent = self.over = 0
        self.tokens = self.read = self.fetched = 0
        self.ages = []
        self.is_settled = False
        self.over_by_target = {}
        self.routers = [
            self.router_class(number, f"domain-{number % domains}", self)
            for number in range(routers)
        ]
        for number in range(targets):
            self.add_target(f"target-{number}", number)
        for router in self.routers:
            self.set_routers(router)
            delay = self.rng.random() * 0.3
            self.clock.callLater(delay, router.exchange.startProtocol)

    def set_routers(self, router):
        now = self.clock.seconds()
        for other in self.routers:
            router.state_exchange.put(other.as_listed(), now)
        names = frozenset(other.name for other in self.routers)
        router.router_shares.set_routers(names, now, was_listed=True)

    def add_target(self, name, number, delay=lambda: 0.0):
        """List a target, which each router sees at a time of its own."""
        self.engines[name] = Engine(name)
        entry = ServingTarget(
            name=name,
            endpoint=Endpoint("10.0.1.1", 9000 + number),
            service=SERVICE,
            domain="a",
            slots=SLOTS,
            started_at=STARTS_AT + number,
        )
        for router in self.routers:
            self.clock.callLater(delay(), self._list, router, entry)

    def _list(self, router, entry):
        router.targets.put(entry, self.clock.seconds())
        state = router.targets.state(entry.name)
        router.parts.limit(state.incarnation, CACHE_TOKENS)

    def remove_target(self, name, delay):
        """Remove a target with all requests that run there."""
        self.engines.pop(name)
        for router in self.routers:
            self.clock.callLater(delay(), self._delist, router, name)

    def _delist(self, router, name):
        router.targets.remove(name, 0.0)
        for incarnation in router.targets.forget_expired(self.clock.seconds() + 9):
            router.parts.forget_target(incarnation)

    def carry(self, sender, frame, number):
        """Deliver a datagram to another router, unless it is cut off or lost."""
        if (sender.name, self.routers[number].name) in self.cuts:
            return
        if sender.is_up and self.rng.random() >= LOST_SHARE:
            self.clock.callLater(LINK_SECONDS, self._deliver, number, frame)

    def _deliver(self, number, frame):
        router = self.routers[number]
        if router.is_up:
            router.exchange.datagramReceived(frame, ("10.0.0.1", 1))

    def lose(self, router):
        """Stop a router from sending and receiving, as if stalled or dead."""
        router.is_up = False

    def wake(self, router):
        """Let a stalled router continue with the state that it had."""
        router.is_up = True

    def restart(self, router, incarnation):
        """Restart a router under its name, with nothing but its lists."""
        router.exchange.stop()
        entries = [state.target for state in router.targets.states]
        router.begin(incarnation)
        self.set_routers(router)
        for entry in entries:
            self._list(router, entry)
        router.is_up = True
        router.exchange.startProtocol()

    def run(self, seconds):
        self.clock.run(self.clock.seconds() + seconds)

    def begin(self):
        """Start the callers, once targets are listed."""
        self.run(0.1)
        self._ask()

    def settle(self):
        """Count from now on."""
        self.is_settled = True

    def _ask(self):
        self.clock.callLater(self.rng.expovariate(self.rate), self._ask)
        router = self.rng.choice(self.routers)
        if not router.is_up:
            return
        now = self.clock.seconds()
        if self.is_settled:
            self.ages.append(router.state_exchange.age(now))
        kind, wanted = self._draw()
        choice = router.chooser.choose(
            router.targets.of_service(SERVICE), (), wanted, now
        )
        if choice is None:
            self._refuse()
            return
        state = choice.state
        state.sent(now)
        if wanted is not None and router.parts.record_own_request(
            state.incarnation, wanted.parts, now, is_expected=choice.is_home
        ):
            router.exchange.send_soon()
        source = choice.fetch_from
        self.clock.callLater(
            LINK_SECONDS, self._arrive, router, state, kind, wanted, source
        )

    def _refuse(self):
        """Handle a request for which no target was chosen."""
        raise AssertionError("no target was chosen")

    def _draw(self):
        [kind] = self.rng.choices(self.kinds, [kind.rate for kind in self.kinds])
        if not kind.subjects:
            return kind, None
        # A few subjects are requested much more often than the rest.
        place = int(kind.subjects * self.rng.random() ** 1.4)
        if self.hot is not None and kind is self.hot and self.rng.random() < HOT_SHARE:
            place = kind.subjects
        shuffled = random.Random(f"{kind.name} {place}")
        tokens = max(1, int(shuffled.expovariate(1 / kind.shared_tokens)))
        tokens = min(tokens, 3 * kind.shared_tokens)
        own = max(1, int(self.rng.expovariate(1 / kind.own_permits)))
        parts = (
            PromptPart(f"{kind.name[0]}{place % 8:07x}", 300),
            PromptPart(f"{kind.name[0]}{place + 8:07x}", tokens),
            PromptPart(f"{self.rng.getrandbits(32):08x}", own),
        )
        total = sum(part.tokens for part in parts)
        output = max(1, int(self.rng.expovariate(1 / kind.output_tokens)))
        return kind, Prompt(parts, total, output, "m")

    def _arrive(self, router, state, kind, wanted, source):
        now = self.clock.seconds()
        engine = self.engines.get(state.target.name)
        if engine is None:
            # A crashed target; its request would be sent elsewhere.
            state.unreachable(now)
            state.ended()
            return
        mean = sum(item.running for item in self.engines.values()) / len(self.engines)
        if self.is_settled:
            self.sent += 1
            if engine.running > 2 * mean + 3:
                self.over += 1
                name = engine.name
                self.over_by_target[name] = self.over_by_target.get(name, 0) + 1
        engine.running += 1
        first, lasts = self._serve(engine, wanted, source)
        self.clock.callLater(first, self._answer, state, engine)
        self.clock.callLater(lasts, self._end, state, engine)

    def _serve(self, engine, wanted, source):
        """Return the seconds until an answer begins and ends."""
        if wanted is None:
            lasts = self.rng.expovariate(1 / PLAIN_SECONDS)
            return lasts, lasts
        held = engine.holds(wanted.parts)
        moved = self._move(engine, wanted, held, source)
        read = wanted.prompt_tokens - held - moved
        if self.is_settled:
            shared = wanted.prompt_tokens - wanted.parts[-1].tokens
            self.tokens += shared
            self.read += max(0, shared - held - moved)
            self.fetched += moved
        engine.keep(wanted.parts)
        first = read / READ_TOKENS_A_SECOND + moved / FETCHED_TOKENS_A_SECOND
        step = STEP_SECONDS + STEP_SECONDS_A_REQUEST * engine.running
        return first + step, first + wanted.output_tokens * step

    def _move(self, engine, wanted, held, source):
        if source is None or source.target.name not in self.engines:
            return 0
        there = self.engines[source.target.name].holds(wanted.parts)
        return max(0, there - held)

    def _answer(self, state, engine):
        now = self.clock.seconds()
        if engine.name in self.engines:
            state.set_load(LoadReport(engine.running, 0, SLOTS), now)
            state.succeeded(now)

    def _end(self, state, engine):
        engine.running -= 1
        state.ended()

    @property
    def over_share(self):
        """Return the share of requests that were sent to a target over the bound."""
        return self.over / max(1, self.sent)

    @property
    def read_share(self):
        """Return the share of tokens of shared parts that were prefilled again."""
        return self.read / max(1, self.tokens)

    @property
    def fetched_share(self):
        """Return the share of tokens of shared parts that were copied."""
        return self.fetched / max(1, self.tokens)

    def bytes_out(self):
        """Return the bytes of state updates that each router has sent."""
        return [router.exchange.bytes_out for router in self.routers]
