"""Routers on sockets stay within the retry budget that they share.

Guards against retries that pile up beyond the bound of a service: what a router had
sent was forgotten when it started again or read new settings, the others' shares grew
as soon as it stopped, and what targets had not read yet did not count when they did,
or only until its connection was reset. All targets decline all requests, so that each
budget is used up.
"""

from __future__ import annotations

import itertools
import random

from testtools.matchers import GreaterThan
from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import LoopingCall
from twisted.internet.task import deferLater

from primrosescale.platform.http_codec import REQUEST_ID
from primrosescale.request.attempt.retry_share import SharedRetryLimits
from primrosescale.standin.scripted_engine import EngineFault
from primrosescale.standin.scripted_engine import EngineScript
from soak.fault_proxy import FaultProxy
from soak.fault_proxy import LinkFault
from support.entry_site import LOOPBACK
from support.entry_site import router_settings
from support.retry_rule import worst_excess
from support.router_site import LoopbackRouterTest

ROUTERS = 4


class EveryRequest(list):
    """Faults of an engine that declines all requests."""

    def __bool__(self):
        return True

    def pop(self, index=0):
        return EngineFault.DECLINE


class RetryBudgetPlay(LoopbackRouterTest):
    """Plays requests that all need retries, and judges the retries by their bound."""

    limits = SharedRetryLimits(ratio=0.2, window=2.0, extra=30.0)
    targets = 3
    requests_per_second = 80
    warm_up_seconds = 2.5
    play_seconds = 4.0

    @inlineCallbacks
    def setUp(self):
        super().setUp()
        self.rng = random.Random(7)
        self.requests = []
        self.arrivals = []
        self.retries = []
        self.seen = set()
        for number in range(self.targets):
            script = EngineScript(
                name=f"i-{number}", faults=EveryRequest(), on_arrival=self.arrived
            )
            self.start_target(script, slots=64)
        self.routers = {}
        self.numbers = itertools.count(1)
        self.hosts = [f"r{next(self.numbers)}" for _ in range(ROUTERS)]
        for name in self.hosts:
            self.begin(name)
        yield self.until(
            lambda: all(
                self.knows(each, self.targets) for each in self.routers.values()
            )
        )

    def begin(self, name):
        self.routers[name] = self.start_router(
            name, repeats=self.limits, is_first_start=not self.requests
        )

    def arrived(self, received):
        now = reactor.seconds()
        self.arrivals.append(now)
        request_id = received.headers[REQUEST_ID.lower()]
        if request_id in self.seen:
            self.retries.append(now)
        self.seen.add(request_id)

    def send(self):
        ready = [each for each in self.routers.values() if each.is_ready]
        if ready:
            self.requests.append(reactor.seconds())
            self.ask(self.rng.choice(ready)).addErrback(lambda _: None)

    @inlineCallbacks
    def play(self, disturb, interval):
        """Send requests while one router after the other is disturbed."""
        callers = LoopingCall(self.send)
        callers.start(1 / self.requests_per_second)
        try:
            yield deferLater(reactor, self.warm_up_seconds, lambda: None)
            until = reactor.seconds() + self.play_seconds
            while reactor.seconds() < until:
                self.hosts.append(self.hosts.pop(0))
                yield disturb(self.hosts[-1])
                yield deferLater(reactor, interval, lambda: None)
        finally:
            callers.stop()
        self.assertThat(len(self.retries), GreaterThan(0.1 * len(self.requests)))
        self.assertEqual(0, worst_excess(self.requests, self.retries, self.limits))

    def end(self, router):
        """End a router as a kill does; its entry stays in the store."""
        router._store_state.stop()
        router._close()


class RetryBudgetTest(RetryBudgetPlay):
    def kill(self, name):
        self.end(self.routers[name])
        self.begin(name)

    def replace(self, name):
        """Kill a router whose host is removed, and start one on a new host."""
        self.end(self.routers.pop(name))
        self.store.remove("routers", name)
        self.hosts = [each for each in self.hosts if each != name]
        self.hosts.append(f"r{next(self.numbers)}")
        self.begin(self.hosts[-1])

    def change_settings(self, name):
        router = self.routers[name]
        settings = router_settings(
            name, repeats=self.limits, max_requests=self.rng.randrange(90, 110)
        )
        router._dependencies.read_settings = lambda: settings
        router.reload()

    def test_routers_that_nothing_happens_to(self):
        return self.play(lambda name: None, 0.2)

    # Each start gave a router its whole share anew.
    def test_routers_that_are_killed_one_after_the_other(self):
        return self.play(self.kill, 0.2)

    # The shares of the others grew while what a removed router had sent still counted.
    def test_routers_that_are_removed_and_added(self):
        return self.play(self.replace, 0.2)

    # Routers that start together were each given a whole share anew.
    def test_routers_that_are_all_killed_at_once(self):
        def kill_all(_):
            for name in self.hosts:
                self.kill(name)

        return self.play(kill_all, 1.0)

    # A change of any setting dropped the counts.
    def test_routers_whose_settings_change(self):
        return self.play(self.change_settings, 0.1)


class StandstillTest(RetryBudgetPlay):
    """Targets stand still, as stopped processes do, and then read what was sent."""

    limits = SharedRetryLimits(ratio=0.2, window=4.0, extra=30.0)
    # With many targets, requests at silent ones are sent to others that fall silent.
    targets = 16
    requests_per_second = 50
    warm_up_seconds = 5.0
    play_seconds = 7.5
    standstill_seconds = 3.5
    reset_interval = 0.5

    def setUp(self):
        self.links = []
        return super().setUp()

    def start_target(self, script, **fields):
        """Start a target behind a link that can be interrupted."""
        entry = super().start_target(script, **fields)
        link = FaultProxy(int(entry["address"].rpartition(":")[2]))
        self.addCleanup(link.close)
        self.links.append(link)
        address = f"{LOOPBACK}:{link.port}"
        self.store.write("servers", script.name, {**entry, "address": address})

    @inlineCallbacks
    def stand_still(self, links, *, is_reset=False):
        for link in links:
            link.set(LinkFault.SILENT)
        until = reactor.seconds() + self.standstill_seconds
        while reactor.seconds() < until:
            yield deferLater(reactor, self.reset_interval, lambda: None)
            for link in links if is_reset else ():
                link.reset_callers()
        for link in links:
            link.set(LinkFault.NONE)

    # Retries counted when they were sent, and were all read when the targets went on.
    def test_all_targets_stand_still_and_go_on(self):
        return self.play(lambda _: self.stand_still(self.links), self.limits.window)

    # Requests that were sent to other targets too were read late by the first ones.
    def test_some_targets_stand_still_and_go_on(self):
        links = self.links[::2]
        return self.play(lambda _: self.stand_still(links), self.limits.window)

    # A reset counted as read, and targets read the request when they went on.
    def test_connections_are_reset_while_all_targets_stand_still(self):
        return self.play(
            lambda _: self.stand_still(self.links, is_reset=True), self.limits.window
        )
