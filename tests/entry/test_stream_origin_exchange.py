"""Routers that exchange which software version began streams, among failures.

Guards against a stream that continues at another version, or not at all although its
version still serves, after routers were killed, restarted or cut off from each other or
from the store, and in fleets of two releases. Messages pass through the real codec.
"""

from __future__ import annotations

import random

from testtools import TestCase

from entry.fakes import STREAM
from entry.fakes import request
from entry.fakes import target
from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.stream_origin_exchange import StreamOriginExchange
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.freshness import Freshness
from primrosescale.request.stream.origin_search import ANSWER_TIMEOUT_SECONDS
from primrosescale.request.stream.origin_search import OriginSource
from primrosescale.request.stream.stream_origin import StreamOrigin

NOW = 1000.0
STREAMS = 300
TIMED_OUT = ANSWER_TIMEOUT_SECONDS + 0.01
# Of the streams that are taken up again, at least half as large a share as of new ones
# has to go on.
MIN_RESUMED_SHARE = 0.5
# A router begins 19.5 streams a second at the design size, and may spend 22 KB a second
# on all that it tells others.
STREAMS_PER_SECOND = 19.5
MAX_CONTROL_BYTES = 22_000


class Router:
    def __init__(self, fleet, name, domain, versions):
        self.name = name
        self.entry = PeerRouter(name, Endpoint("127.0.0.1", 1), domain)
        self.fleet = fleet
        self.is_old = False
        self.targets = TargetList(2.0)
        for number, version in enumerate(versions):
            item = target(f"m{number}", software_version=version)
            self.targets.put(item, NOW)
        self.freshness = Freshness(5.0)
        self.start()

    def start(self):
        self.exchange = StreamOriginExchange(
            self.name, self.others, self.find, self.targets, self.freshness
        )

    def find(self, name):
        return self.fleet[name].entry

    def others(self):
        return [item.entry for item in self.fleet.values() if item is not self]


class Fleet(dict):
    """Routers by name, with links that lose what `loses` says."""

    def __init__(self, count, versions=("v1", "v1", "v2", "v2"), domains="abc"):
        self.rng = random.Random(7)
        self.now = NOW
        self.dead = set()
        self.cuts = set()
        self.loss = 0.0
        self.bytes = 0
        self.messages = 0
        for number in range(count):
            domain = domains[number % len(domains)]
            name = f"r{number}"
            self[name] = Router(self, name, domain, versions)
        self.pass_time(2.0)

    def pass_time(self, seconds, *, has_store=True):
        for _ in range(round(seconds / 0.25)):
            self.now += 0.25
            for router in self.values():
                if has_store:
                    router.freshness.answered(self.now - 1.0)
                if router.name not in self.dead and not router.is_old:
                    self.send(router, router.exchange.refresh(self.now))

    def send(self, sender, messages):
        for peer, message in messages:
            frame = encode(message)
            self.bytes += len(frame)
            self.messages += 1
            receiver = self[peer.name]
            if not self.passes(sender, receiver):
                continue
            answer = self.receive(receiver, decode(frame))
            if answer is not None and self.passes(receiver, sender):
                sender.exchange.receive_answer(decode(encode(answer)), self.now)

    def passes(self, sender, receiver):
        if {sender.name, receiver.name} & self.dead or receiver.is_old:
            return False
        domains = frozenset({sender.entry.domain, receiver.entry.domain})
        return domains not in self.cuts and self.rng.random() >= self.loss

    def receive(self, router, message):
        if isinstance(message, wire.StreamOriginReport):
            router.exchange.receive_report(message, self.now)
            return None
        return router.exchange.receive_question(message, self.now)

    def begin(self, router, request_id, version, organisation="bakery"):
        began = request(
            STREAM,
            now=self.now,
            deadline=self.now + 12.0,
            request_id=request_id,
            organisation=organisation,
            stream_origin=StreamOrigin("model", version),
        )
        if not router.is_old:
            self.send(router, router.exchange.began(began, self.now))

    def resume(self, router, first_id, organisation="bakery"):
        """Return the origin under which a router resumes a stream, and its source."""
        taken_up = request(
            STREAM,
            now=self.now,
            request_id=f"{first_id}-2",
            organisation=organisation,
            last_event=2,
            first_attempt_id="" if first_id is None else first_id,
        )
        origin = router.exchange.known(taken_up, self.now)
        if origin is not None:
            return origin.software_version, OriginSource.OWN_RECORD
        search = router.exchange.search(taken_up, lambda: None, self.now)
        for _ in range(4):
            if search.result(self.now) is None:
                self.send(router, router.exchange.questions(taken_up, search))
        found = search.result(self.now) or search.result(self.now + TIMED_OUT)
        router.exchange.end_search(taken_up, search)
        version = None if found.origin is None else found.origin.software_version
        return version, found.source

    def alive(self):
        return [item for item in self.values() if item.name not in self.dead]


class OriginTest(TestCase):
    """Begins streams and takes them up again."""

    def begin_all(self, fleet, beginners=None):
        """Begin streams of both versions; return their versions by id."""
        beginners = beginners or list(fleet.values())
        versions = {f"s{n}": f"v{1 + n % 2}" for n in range(STREAMS)}
        for number, (first_id, version) in enumerate(versions.items()):
            fleet.begin(beginners[number % len(beginners)], first_id, version)
        return versions

    def resumed_share(self, fleet, versions, routers=None):
        """Return the share of streams that go on; none may at another version."""
        resumed = 0
        for first_id, version in versions.items():
            router = fleet.rng.choice(routers or fleet.alive())
            found, _ = fleet.resume(router, first_id)
            self.assertIn(found, {version, None})
            resumed += found is not None
        return resumed / len(versions)


class OriginExchangeTest(OriginTest):
    def test_a_stream_is_known_at_every_router(self):
        for count in (2, 4, 30):
            fleet = Fleet(count)
            self.assertEqual(1.0, self.resumed_share(fleet, self.begin_all(fleet)))

    # Guards against losing the versions of streams together with their router.
    def test_a_killed_router_takes_no_versions_with_it(self):
        for count in (4, 30):
            fleet = Fleet(count)
            versions = self.begin_all(fleet, [fleet["r0"]])
            fleet.dead = {"r0"}
            self.assertEqual(1.0, self.resumed_share(fleet, versions))

    # Guards against copies that lie in one failure domain only.
    def test_a_lost_domain_takes_no_versions_with_it(self):
        fleet = Fleet(30)
        versions = self.begin_all(fleet, [r for r in fleet.values() if r.name != "r0"])
        fleet.dead = {r.name for r in fleet.values() if r.entry.domain == "a"}
        self.assertEqual(1.0, self.resumed_share(fleet, versions))

    def test_after_six_in_ten_were_killed_at_once_most_streams_go_on(self):
        for count in (10, 30, 60):
            fleet = Fleet(count)
            versions = self.begin_all(fleet)
            fleet.dead = set(fleet.rng.sample(sorted(fleet), 6 * count // 10))
            share = self.resumed_share(fleet, versions)
            self.assertTrue(share >= MIN_RESUMED_SHARE, (count, share))

    def test_domains_that_are_cut_off_from_each_other_know_the_versions(self):
        fleet = Fleet(30)
        fleet.cuts = {frozenset("ab")}
        share = self.resumed_share(fleet, self.begin_all(fleet))
        self.assertEqual(1.0, share)

    def test_lost_datagrams_are_made_up_for(self):
        fleet = Fleet(30)
        fleet.loss = 0.2
        share = self.resumed_share(fleet, self.begin_all(fleet))
        self.assertTrue(share >= MIN_RESUMED_SHARE, share)

    # Guards against a guess where no router remembers.
    def test_after_all_routers_restarted_nothing_is_guessed(self):
        fleet = Fleet(10)
        versions = self.begin_all(fleet)
        for router in fleet.values():
            router.start()
        fleet.pass_time(1.0)
        self.assertEqual(0.0, self.resumed_share(fleet, versions))

    # Guards against relying on the store for what routers can tell each other.
    def test_versions_are_known_while_the_store_is_away(self):
        fleet = Fleet(10)
        fleet.pass_time(20.0, has_store=False)
        versions = self.begin_all(fleet)
        self.assertEqual(1.0, self.resumed_share(fleet, versions))
        self.assertEqual(0.0, self.resumed_share(fleet, {"unheard-of": "v1"}))

    # Guards against a router that has not heard of a new version and goes on at the
    # only one that it knows.
    def test_a_router_that_is_cut_off_does_not_rely_on_its_list(self):
        fleet = Fleet(6, versions=("v1", "v1"))
        fleet.pass_time(60.0)
        for name in sorted(fleet)[1:]:
            fleet[name].targets.put(target("new", software_version="v2"), fleet.now)
        fleet.pass_time(0.5)
        found, _ = fleet.resume(fleet["r0"], "unheard-of")
        self.assertIsNone(found, "others know of a second version")
        fleet.dead = set(sorted(fleet)[1:])
        found, _ = fleet.resume(fleet["r0"], "unheard-of")
        self.assertIsNone(found, "no other router answers")

    # Guards against refusing streams in deployments whose callers name no attempt.
    def test_without_a_named_attempt_the_only_version_goes_on(self):
        fleet = Fleet(6, versions=("v1", "v1"))
        fleet.pass_time(60.0)
        known = ("v1", OriginSource.ONLY_VERSION)
        self.assertEqual(known, fleet.resume(fleet["r0"], None))
        # The last of its fleet still has a list that is 1 s old, but not one of 3 s.
        fleet.dead = set(sorted(fleet)[1:])
        self.assertEqual(known, fleet.resume(fleet["r0"], None))
        fleet.pass_time(2.0, has_store=False)
        self.assertIsNone(fleet.resume(fleet["r0"], None)[0])
        several = Fleet(6)
        several.pass_time(60.0)
        self.assertIsNone(several.resume(several["r0"], None)[0])

    def test_with_one_version_a_stream_without_a_record_goes_on(self):
        fleet = Fleet(6, versions=("v1", "v1"))
        found, _ = fleet.resume(fleet["r0"], "unheard-of")
        self.assertIsNone(found, "another version may have left just before the start")
        fleet.pass_time(60.0)
        self.assertEqual(
            ("v1", OriginSource.ONLY_VERSION), fleet.resume(fleet["r0"], "unheard-of")
        )
        # A router that has just started learns it from the others.
        fleet["r1"].start()
        fleet.pass_time(0.5)
        self.assertEqual(
            ("v1", OriginSource.ONLY_VERSION), fleet.resume(fleet["r1"], "unheard-of")
        )

    # Guards against copies sent to routers of a release that drops them.
    def test_in_a_fleet_of_two_releases_the_newer_routers_know_the_versions(self):
        fleet = Fleet(30)
        for router in list(fleet.values())[::2]:
            router.is_old = True
            router.start()
        for router in fleet.values():
            router.start()
        fleet.pass_time(3.0)
        newer = [router for router in fleet.values() if not router.is_old]
        versions = self.begin_all(fleet, newer)
        self.assertEqual(1.0, self.resumed_share(fleet, versions, newer))
        older = [router for router in fleet.values() if router.is_old]
        versions = {f"old{n}": "v1" for n in range(20)}
        for first_id in versions:
            fleet.begin(older[0], first_id, "v1")
        self.assertEqual(0.0, self.resumed_share(fleet, versions, newer))

    # Guards against a caller that names a stream of another organisation.
    def test_a_stream_of_another_organisation_is_not_known(self):
        fleet = Fleet(4)
        fleet.begin(fleet["r0"], "s1", "v1", "bakery")
        for router in fleet.values():
            found, _ = fleet.resume(router, "s1", "mill")
            self.assertIsNone(found)

    # Guards against a stream of one version and its namesake of another.
    def test_an_id_that_began_streams_of_two_versions_names_none(self):
        fleet = Fleet(4)
        fleet.begin(fleet["r0"], "s1", "v1")
        fleet.begin(fleet["r1"], "s1", "v2")
        for router in fleet.values():
            self.assertIsNone(fleet.resume(router, "s1")[0])

    def test_what_streams_cost_stays_a_small_part_of_the_control_traffic(self):
        fleet = Fleet(30)
        fleet.bytes = fleet.messages = 0
        self.begin_all(fleet)
        per_stream = fleet.bytes / STREAMS
        self.assertEqual(3 * STREAMS, fleet.messages)
        share = per_stream * STREAMS_PER_SECOND / MAX_CONTROL_BYTES
        self.assertTrue(share < 0.3, (per_stream, share))
