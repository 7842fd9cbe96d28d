"""Routers together never have more connections to a target than it accepts.

A target resets connections in excess of its limit, and the requests on them are lost.
Routers divide the limit without messages, by lists of routers that may differ.
"""

from __future__ import annotations

from collections import defaultdict

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.request.capacity.connection_shares import ConnectionShares
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.capacity.router_shares import SETTLING_SECONDS
from primrosescale.request.capacity.router_shares import RouterShares
from primrosescale.request.target.target_state import LoadReport
from primrosescale.version.routing_table import Service
from support.drawn import drawn

START = 1000.0
WITH_PACE = LoadReport(0, 0, 6, 1.0)
# New routers within the settling time, as a multiple of the others, for which the
# reserve suffices.
MAX_GROWTH = 1.7
# A router that is no longer listed ends before others rely on its absence.
DRAIN_SECONDS = SETTLING_SECONDS - 0.05
# Routers that start at once and learn of each other at once, in large fleets.
START_GROUPS = 4


def names(count, first=0):
    return frozenset(f"r{number}" for number in range(first, first + count))


def connection_shares(shares, accepted, settings=None):
    settings = settings or OverloadSettings()
    scope = OverloadScope(settings)
    scope.record("portal", WITH_PACE)
    service = Service(name="portal", slots=6, cache_tokens=0, max_connections=accepted)
    return ConnectionShares(settings, shares, {"portal": service}.get, scope)


class Router:
    """The connection shares of one router."""

    def __init__(self, name, listed, now, accepted, *, was_listed):
        self.routers = RouterShares(name)
        self.routers.set_routers(listed | {name}, now, was_listed=was_listed)
        self.shares = connection_shares(self.routers, accepted)

    def limit(self, now, target="p1"):
        return self.shares.limit(target, "portal", now)


class Fleet:
    """Routers that learn of joins and leaves at different times.

    Each change reaches a router after the lag of the class that its number falls into.
    """

    def __init__(self, count, accepted):
        self.now = START
        self.accepted = accepted
        self.next_number = count
        self.listed = names(count)
        self.alive = {
            name: Router(name, self.listed, START, accepted, was_listed=True)
            for name in sorted(self.listed)
        }
        self.due = defaultdict(list)
        self.ends = defaultdict(list)
        self.known_until = {}
        self.joined = []
        self.sizes = [(START, count)]

    def join(self, count, lags):
        """Add routers in groups; each group knows those before it."""
        left = min(count, self.joins_allowed())
        step = max(1, left // START_GROUPS)
        while left > 0:
            group = names(min(step, left), self.next_number)
            self.next_number += len(group)
            left -= len(group)
            self.listed |= group
            self.joined += [self.now] * len(group)
            for name in sorted(group):
                self.alive[name] = Router(
                    name, self.listed, self.now, self.accepted, was_listed=False
                )
            self.spread(lags)

    def joins_allowed(self):
        """Return how many routers may join within what the reserve is meant for."""
        since = self.now - SETTLING_SECONDS
        before = [size for at, size in self.sizes if at <= since][-1:]
        recent = [size for at, size in self.sizes if at > since]
        joined = sum(at > since for at in self.joined)
        return int(MAX_GROWTH * min([*before, *recent])) - joined

    def leave(self, count, lags):
        gone = sorted(self.listed)[: min(count, len(self.listed) - 1)]
        self.listed -= set(gone)
        # It finishes its requests, so that its connections remain for a while.
        self.ends[self.now + DRAIN_SECONDS] += gone
        self.spread(lags)

    def spread(self, lags):
        """Have each router learn of the list, in the order of the changes."""
        self.sizes.append((self.now, len(self.listed)))
        for name in self.alive:
            lag = lags[int(name[1:]) % len(lags)]
            at = max(self.known_until.get(name, 0.0), self.now + lag)
            self.known_until[name] = at
            self.due[at].append((name, self.listed))

    def advance(self, until, on_change):
        """Deliver the lists that are due, and look after each of them."""
        for at in sorted(at for at in {*self.due, *self.ends} if at <= until):
            self.now = at
            for name in self.ends.pop(at, ()):
                del self.alive[name]
            for name, listed in self.due.pop(at, ()):
                if name in self.alive:
                    self.alive[name].routers.set_routers(listed | {name}, at)
            on_change()
        self.now = until
        on_change()

    def total(self):
        return sum(router.limit(self.now) for router in self.alive.values())


LAGS = st.lists(st.floats(0.0, SETTLING_SECONDS - 0.01), min_size=3, max_size=3)
CHANGES = st.lists(
    st.tuples(
        st.sampled_from(["join", "leave"]),
        st.integers(1, 30),
        st.floats(0.0, 4.0),
        LAGS,
    ),
    max_size=6,
)
COUNTS = st.one_of(st.integers(1, 12), st.integers(1, 60))


class SumOfSharesTest(TestCase):
    def check_changes(self, count, accepted, changes):
        fleet = Fleet(count, accepted)

        def look():
            self.assertLessEqual(fleet.total(), accepted)

        look()
        for kind, number, pause, lags in changes:
            getattr(fleet, kind)(number, lags)
            look()
            fleet.advance(fleet.now + pause, look)
        fleet.advance(fleet.now + 2 * SETTLING_SECONDS, look)
        divided = max(1, int(accepted * 0.75))
        self.assertLessEqual(fleet.total(), divided)

    # A target resets connections while routers count each other differently.
    @drawn(100)
    @given(count=COUNTS, accepted=st.integers(1, 1000), changes=CHANGES)
    def test_it_stays_within_the_limit_while_lists_differ(
        self, count, accepted, changes
    ):
        self.check_changes(count, accepted, changes)

    # Near the number of routers some divide evenly and others by the ring.
    @drawn(100)
    @given(count=st.integers(2, 20), spare=st.integers(-3, 12), changes=CHANGES)
    def test_it_stays_within_a_limit_near_the_number_of_routers(
        self, count, spare, changes
    ):
        self.check_changes(count, max(1, count + spare), changes)

    # Large fleets use the ring, where a few names decide about many connections.
    @drawn(8)
    @given(count=st.integers(60, 500), accepted=st.integers(1, 1000), changes=CHANGES)
    def test_it_stays_within_the_limit_in_large_fleets(self, count, accepted, changes):
        self.check_changes(count, accepted, changes[:2])

    # All routers are new at once, so that none of them has an old list.
    @drawn(20)
    @given(count=st.integers(1, 500), accepted=st.integers(1, 1000))
    def test_a_fleet_that_starts_as_a_whole_stays_within_the_limit(
        self, count, accepted
    ):
        listed = names(count)
        routers = [
            Router(name, listed, START, accepted, was_listed=False) for name in listed
        ]
        self.assertLessEqual(sum(item.limit(START) for item in routers), accepted)


class ShareTest(TestCase):
    def limit(self, accepted, routers, *, was_listed=True, now=START):
        router = Router("r0", names(routers), START, accepted, was_listed=was_listed)
        return router.limit(now)

    # 27 routers kept up to 432 idle connections to a target that accepts 220.
    def test_most_of_the_limit_is_divided_evenly(self):
        self.assertEqual(6, self.limit(220, 27))
        self.assertEqual(17, self.limit(190, 8))
        self.assertEqual(165, self.limit(220, 1))

    # With nothing for any router, a target that accepts one connection gets none.
    def test_one_connection_can_be_used(self):
        self.assertEqual(1, self.limit(1, 1))

    # An even division among more routers than connections leaves none to anybody.
    def test_each_connection_has_a_router_where_there_are_more_routers(self):
        listed = names(300)
        routers = [Router(n, listed, START, 100, was_listed=True) for n in listed]
        limits = [router.limit(START) for router in routers]
        self.assertEqual({0, 1}, set(limits))
        self.assertGreater(sum(limits), 50)
        other = [router.limit(START, "p2") for router in routers]
        self.assertNotEqual(limits, other)

    # A new router used a full share while the others still divided without it.
    def test_a_new_router_has_a_share_of_the_reserve_until_others_know_it(self):
        self.assertEqual(2, self.limit(220, 27, was_listed=False))
        settled = START + SETTLING_SECONDS
        self.assertEqual(6, self.limit(220, 27, was_listed=False, now=settled))

    # A router that no longer lists a peer takes its share while the peer still has it.
    def test_a_shorter_list_raises_the_share_only_after_the_settling_time(self):
        router = Router("r0", names(27), START, 220, was_listed=True)
        router.routers.set_routers(names(9), START + 10)
        self.assertEqual(6, router.limit(START + 10 + SETTLING_SECONDS - 0.1))
        self.assertEqual(18, router.limit(START + 10 + SETTLING_SECONDS))

    # Before the list is read, the number of routers is not known: as without control.
    def test_nothing_is_limited_before_the_first_list(self):
        shares = connection_shares(RouterShares("r0"), 220)
        self.assertIsNone(shares.limit("p1", "portal", START))

    # Services that state no limit, or without overload control, are served as before.
    def test_nothing_is_limited_where_it_is_not_in_force(self):
        routers = RouterShares("r0")
        routers.set_routers(names(3), START, was_listed=True)
        unstated = connection_shares(routers, 0)
        off = connection_shares(routers, 220, OverloadSettings(mode=OverloadMode.OFF))
        for shares in (unstated, off):
            self.assertFalse(shares.is_limited("portal"))
            self.assertIsNone(shares.limit("p1", "portal", START))
        limited = connection_shares(routers, 220)
        self.assertTrue(limited.is_limited("portal"))
        self.assertFalse(limited.is_limited("other"))

    # A reload that leaves the old fraction in use goes unnoticed until a restart.
    def test_a_changed_fraction_applies_at_once(self):
        routers = RouterShares("r0")
        routers.set_routers(names(2), START, was_listed=True)
        shares = connection_shares(routers, 100)
        self.assertEqual(37, shares.limit("p1", "portal", START))
        shares.configure(OverloadSettings(connection_share=0.5))
        self.assertEqual(25, shares.limit("p1", "portal", START))
