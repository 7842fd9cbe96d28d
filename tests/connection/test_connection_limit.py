"""A pool keeps all its connections to a target within a limit that may change.

A target resets connections in excess of its limit. Idle ones count as well: they were
what exceeded it while few requests were in progress.
"""

from __future__ import annotations

import random

from testtools import TestCase
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure
from twisted.web._newclient import Request
from twisted.web.client import readBody
from twisted.web.http_headers import Headers

from primrosescale.connection.connection_limit import ConnectionLimit
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.exceptions import ConnectionLimitError
from primrosescale.connection.idle_limit import IdleLimit
from primrosescale.connection.target_channel import MAX_IDLE_CHANNELS
from primrosescale.connection.target_channel import ChannelPool
from support.memory_targets import MemoryReactor

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=9\r\n\r\nok"
ENDPOINT = Endpoint("127.0.0.1", 9001)
OPERATIONS = 10_000


class ChangeableLimit(ConnectionLimit):
    """A limit that the test sets; counts connections that were closed for it."""

    def __init__(self, number):
        self.number = number
        self.closed = 0
        self.resets = []

    def allowed(self, now):
        return self.number

    def idle_closed(self):
        self.closed += 1

    def connection_reset(self, connections, now):
        self.resets.append(connections)

    def queue_is_long(self, now):
        pass


class PoolTest(TestCase):
    def setUp(self):
        super().setUp()
        self.reactor = MemoryReactor()
        self.limit = ChangeableLimit(3)
        self.pool = ChannelPool(
            self.reactor, ENDPOINT, 0.4, IdleLimit(), "p1", self.limit
        )

    @property
    def now(self):
        return self.reactor.seconds()

    def open(self, *, is_probe=False):
        """Open a connection that the target accepts; return it."""
        opened = []
        self.pool.open(is_probe=is_probe).addCallback(opened.append)
        self.reactor.connectors[-1].accept()
        return opened[0]

    def begin(self, channel):
        """Send a request on a connection."""
        headers = Headers({"Host": ["target"]})
        request = Request._construct(b"GET", b"/", headers, None, persistent=True)
        channel.begin(request).addCallback(readBody).addErrback(lambda _: None)

    def answer(self, channel):
        """Answer the request on a connection and release it."""
        channel.dataReceived(ANSWER)
        self.pool.release(channel, self.now)

    def keep(self, number):
        """Leave idle connections, each idle for longer than the next."""
        channels = [self.open() for _ in range(number)]
        for channel in channels:
            self.begin(channel)
        for channel in channels:
            self.answer(channel)
            self.reactor.advance(0.02)
        return channels


class LimitTest(PoolTest):
    # Closing the connection used last would leave those that the target closes first.
    def test_the_connection_idle_longest_is_closed_for_a_new_one(self):
        first, second, third = self.keep(3)
        self.open()
        self.reactor.advance(0)
        self.assertTrue(first.is_lost)
        self.assertFalse(second.is_lost or third.is_lost)
        self.assertEqual((3, 1), (self.pool.connections, self.limit.closed))

    # A connection opened although all are busy is the one that the target resets.
    def test_none_is_opened_while_all_are_busy(self):
        for _ in range(3):
            self.begin(self.open())
        self.assertFalse(self.pool.has_capacity(self.now))
        failures = []
        self.pool.open().addErrback(failures.append)
        self.assertTrue(failures[0].check(ConnectionLimitError))
        self.assertEqual(3, len(self.reactor.connectors))

    # A surge opens many connections before the first of them is connected.
    def test_connections_that_are_being_opened_count(self):
        for _ in range(3):
            self.pool.open()
        self.assertEqual(3, self.pool.connections)
        self.assertFalse(self.pool.has_capacity(self.now))

    # Places that a failure or a cancelled request keeps are never free again.
    def test_a_failed_and_a_cancelled_opening_free_their_places(self):
        failures = []
        for _ in range(3):
            self.pool.open().addErrback(failures.append)
        self.reactor.connectors[0].refuse()
        self.assertEqual(2, self.pool.connections)
        opening = self.pool.open()
        opening.addErrback(failures.append)
        opening.cancel()
        self.assertEqual(2, len(failures))
        self.assertEqual(2, self.pool.connections)
        self.assertTrue(self.pool.has_capacity(self.now))

    # An error while socket options are set ends a connection that is not ready yet.
    def test_a_connection_lost_before_it_is_ready_frees_its_place(self):
        failures = []
        self.pool.open().addErrback(failures.append)
        factory = self.reactor.connectors[0].factory
        factory.buildProtocol(None)
        factory.clientConnectionLost(
            self.reactor.connectors[0], Failure(ConnectionLost())
        )
        self.assertEqual((1, 0), (len(failures), self.pool.connections))

    # The transport may connect in the turn in which the request was cancelled.
    def test_a_connection_opened_after_it_was_cancelled_is_closed(self):
        opening = self.pool.open()
        opening.addErrback(lambda _: None)
        connector = self.reactor.connectors[0]
        opening.cancel()
        channel = connector.accept()
        self.reactor.advance(0)
        self.assertTrue(channel.is_lost)
        self.assertEqual(0, self.pool.connections)

    # A lost connection that still counts takes capacity away for good.
    def test_a_lost_connection_frees_its_place(self):
        busy = self.open()
        self.begin(busy)
        (idle,) = self.keep(1)
        busy.transport.reset()
        idle.transport.reset()
        self.reactor.advance(0)
        self.assertEqual(0, self.pool.connections)
        self.limit.number = 1
        self.assertTrue(self.pool.has_capacity(self.now))

    # A target that accepts fewer would be sent as many new connections as before.
    def test_the_limit_learns_of_a_reset_of_a_new_connection(self):
        self.keep(1)
        busy = self.open()
        self.begin(busy)
        busy.transport.reset()
        self.reactor.advance(0)
        self.pool.lost(busy, self.now)
        self.assertEqual([1], self.limit.resets)

    # An idle connection that has died says nothing about what the target accepts.
    def test_a_lost_pooled_connection_and_an_orderly_close_are_no_reset(self):
        (idle,) = self.keep(1)
        self.assertIs(idle, self.pool.idle(self.now))
        self.begin(idle)
        idle.transport.reset()
        closed = self.open()
        self.begin(closed)
        closed.transport.close(ConnectionDone())
        self.reactor.advance(0)
        self.pool.lost(idle, self.now)
        self.pool.lost(closed, self.now)
        self.assertEqual([], self.limit.resets)

    # The end of a target resets connections whose first requests are being served.
    def test_a_reset_of_a_connection_that_has_been_open_for_some_time_does_not_count(
        self,
    ):
        busy = self.open()
        self.begin(busy)
        self.reactor.advance(0.3)
        busy.transport.reset()
        self.reactor.advance(0)
        self.pool.lost(busy, self.now)
        self.assertEqual([], self.limit.resets)

    # Routers that join reduce the share, also where idle connections fill it.
    def test_idle_connections_are_closed_when_the_limit_falls(self):
        first, second, third = self.keep(3)
        self.limit.number = 1
        self.pool.sweep(self.now)
        self.reactor.advance(0)
        self.assertEqual(
            [True, True, False], [c.is_lost for c in (first, second, third)]
        )
        self.assertEqual(1, self.pool.connections)

    # A request in progress must not be lost for the sake of the limit.
    def test_busy_connections_stay_when_the_limit_falls(self):
        channels = [self.open() for _ in range(3)]
        for channel in channels:
            self.begin(channel)
        self.limit.number = 1
        self.pool.sweep(self.now)
        self.assertEqual(3, self.pool.connections)
        for channel in channels:
            self.answer(channel)
        self.reactor.advance(0)
        self.assertEqual(1, self.pool.connections)

    # A share of none must not be used by way of a connection that is idle.
    def test_an_idle_connection_is_no_capacity_where_none_is_allowed(self):
        self.keep(1)
        self.limit.number = 0
        self.assertFalse(self.pool.has_capacity(self.now))

    # A target all of whose connections are busy would seem to be lost.
    def test_a_probe_may_exceed_the_limit_and_leaves_nothing_above_it(self):
        for _ in range(3):
            self.begin(self.open())
        probe = self.open(is_probe=True)
        self.assertEqual(4, self.pool.connections)
        self.pool.release(probe, self.now)
        self.assertEqual(3, self.pool.connections)

    # Pools without a limit keep as many idle connections as before, and no more.
    def test_without_a_limit_only_idle_connections_are_bounded(self):
        self.limit.number = None
        channels = [self.open() for _ in range(MAX_IDLE_CHANNELS + 4)]
        for channel in channels:
            self.begin(channel)
        self.assertTrue(self.pool.has_capacity(self.now))
        for channel in channels:
            self.answer(channel)
        self.reactor.advance(0)
        self.assertEqual(MAX_IDLE_CHANNELS, self.pool.connections)
        self.assertEqual(0, self.limit.closed)

    # A closed pool that still counts connections would never be dropped as empty.
    def test_a_closed_pool_has_no_connections_once_its_requests_have_ended(self):
        self.keep(2)
        busy = self.open()
        self.begin(busy)
        self.pool.close()
        self.assertEqual(1, self.pool.connections)
        self.answer(busy)
        self.reactor.advance(0)
        self.assertEqual(0, self.pool.connections)


class IdleTimeTest(PoolTest):
    # A connection lost without notice takes a request with it that may run once.
    def test_a_connection_that_has_been_idle_for_longer_is_not_taken(self):
        self.keep(1)
        self.reactor.advance(0.2)
        self.assertIsNone(self.pool.idle(self.now, 0.15))
        self.assertIsNotNone(self.pool.idle(self.now))

    # With the limit reached it has to be closed, not kept beside the new one.
    def test_one_idle_within_the_time_is_taken(self):
        _, recent = self.keep(2)
        self.reactor.advance(0.12)
        self.assertIs(recent, self.pool.idle(self.now, 0.15))
        self.assertIsNone(self.pool.idle(self.now, 0.15))


class RandomOperationsTest(PoolTest):
    """Sequences of operations in any order, as callers and targets cause them."""

    def setUp(self):
        super().setUp()
        self.rng = random.Random(5)
        self.busy = []
        self.opening = []

    def start_opening(self):
        if not self.pool.has_capacity(self.now):
            return
        opened = []
        deferred = self.pool.open()
        deferred.addCallbacks(opened.append, lambda _: None)
        self.opening.append((self.reactor.connectors.pop(), deferred, opened))

    def accept(self):
        if self.opening:
            connector, _, opened = self.take(self.opening)
            connector.accept()
            self.begin(opened[0])
            self.busy.append(opened[0])

    def refuse(self):
        if self.opening:
            self.take(self.opening)[0].refuse()

    def cancel(self):
        if self.opening:
            self.take(self.opening)[1].cancel()

    def reuse(self):
        if self.pool.has_capacity(self.now):
            channel = self.pool.idle(self.now, self.rng.choice([0.15, 9.0]))
            if channel is not None:
                self.begin(channel)
                self.busy.append(channel)

    def complete(self):
        if self.busy:
            self.answer(self.take(self.busy))

    def reset(self):
        if self.busy:
            self.take(self.busy).transport.reset()

    def abort(self):
        if self.busy:
            self.take(self.busy).abort_now()

    def reset_idle(self):
        if self.pool._idle:
            self.rng.choice(self.pool._idle).transport.reset()

    def change_limit(self):
        self.limit.number = self.rng.randint(0, 8)

    def sweep(self):
        self.pool.sweep(self.now)

    def take(self, items):
        return items.pop(self.rng.randrange(len(items)))

    def in_use(self):
        return len(self.busy) + len(self.opening)

    # One place lost in ten thousand operations is an outage after some days.
    def test_nothing_leaks(self):
        operations = [
            *[self.start_opening, self.accept, self.complete, self.reuse] * 4,
            *[self.refuse, self.cancel, self.reset, self.abort, self.reset_idle],
            *[self.change_limit, self.sweep],
        ]
        counts = {}
        for _ in range(OPERATIONS):
            operation = self.rng.choice(operations)
            before = self.in_use()
            operation()
            self.reactor.advance(self.rng.choice([0.0, 0.005, 0.05, 0.4]))
            counts[operation.__name__] = counts.get(operation.__name__, 0) + 1
            if self.in_use() > before:
                self.assertLessEqual(self.pool.connections, self.limit.number)
            idle = [channel for channel in self.pool._idle if not channel.is_lost]
            self.assertEqual(self.in_use() + len(idle), self.pool.connections)
        self.assertEqual(set(counts), {item.__name__ for item in operations})
        while self.busy:
            self.complete()
        while self.opening:
            self.cancel()
        self.pool.close()
        self.reactor.advance(1.0)
        self.assertEqual(0, self.pool.connections)
        self.assertEqual([], self.reactor.getDelayedCalls())
