"""Which software version began a stream: records, inference and who keeps copies.

The tests cover failures of what a router knows: a record that is lost, expired or
contradicted, peers that are silent or of an older release, a list of targets that is
outdated, and targets that state no version.
"""

from __future__ import annotations

from testtools import TestCase

from entry.fakes import target
from primrosescale.request.stream import stream_origin
from primrosescale.request.stream.origin_holders import MAX_UNANSWERED_PROBES
from primrosescale.request.stream.origin_holders import OriginHolders
from primrosescale.request.stream.origin_search import ANSWER_TIMEOUT_SECONDS
from primrosescale.request.stream.origin_search import OriginSearch
from primrosescale.request.stream.origin_search import OriginSource
from primrosescale.request.stream.software_versions import MAX_LIST_AGE_SECONDS
from primrosescale.request.stream.software_versions import SEVERAL_VERSIONS
from primrosescale.request.stream.software_versions import UNKNOWN_VERSIONS
from primrosescale.request.stream.software_versions import VersionHistory
from primrosescale.request.stream.software_versions import VersionView
from primrosescale.request.stream.software_versions import targets_of_other_versions
from primrosescale.request.stream.stream_origin import StreamOrigin
from primrosescale.request.stream.stream_origin import StreamOriginRecords
from primrosescale.request.stream.stream_origin import stream_key
from primrosescale.request.target.target_state import TargetState

NOW = 1000.0
WINDOW = 27.0
TIMED_OUT = ANSWER_TIMEOUT_SECONDS + 0.01
V1 = StreamOrigin("model", "v1")
V2 = StreamOrigin("model", "v2")


def states(**versions):
    return [
        TargetState(target(name, software_version=version), NOW)
        for name, version in versions.items()
    ]


class RecordsTest(TestCase):
    """Records of the origins of streams."""

    def setUp(self):
        super().setUp()
        self.records = StreamOriginRecords()

    def test_a_record_is_found_until_it_expires(self):
        self.records.record(b"a", V1, NOW + 10.0, NOW)
        self.assertEqual(V1, self.records.find(b"a", NOW + 9.9))
        self.assertIsNone(self.records.find(b"a", NOW + 10.0))
        self.assertIsNone(self.records.find(b"b", NOW))

    def test_a_repeated_record_extends_the_time(self):
        self.records.record(b"a", V1, NOW + 10.0, NOW)
        self.records.record(b"a", V1, NOW + 20.0, NOW + 5.0)
        self.records.record(b"a", V1, NOW + 7.0, NOW + 6.0)
        self.assertEqual(V1, self.records.find(b"a", NOW + 19.0))

    # Guards against resuming a stream whose events may be of either of two versions.
    def test_contradicting_records_leave_no_version(self):
        self.records.record(b"a", V1, NOW + 10.0, NOW)
        self.records.record(b"a", V2, NOW + 5.0, NOW)
        self.assertIsNone(self.records.find(b"a", NOW + 9.0).software_version)
        self.records.record(b"a", V1, NOW + 10.0, NOW)
        self.assertIsNone(self.records.find(b"a", NOW + 9.0).software_version)

    # Guards against memory that grows with the streams of one long burst.
    def test_the_oldest_records_yield(self):
        self.patch(stream_origin, "MAX_RECORDS", 100)
        for number in range(300):
            self.records.record(b"%d" % number, V1, NOW + 10.0, NOW)
        self.assertEqual(100, len(self.records))
        self.assertIsNone(self.records.find(b"199", NOW))
        self.assertEqual(V1, self.records.find(b"200", NOW))

    # Guards against a caller that names a stream of another organisation.
    def test_keys_differ_between_organisations(self):
        self.assertNotEqual(stream_key("bakery", "r1"), stream_key("mill", "r1"))
        self.assertNotEqual(stream_key("a", "b\0c"), stream_key("a\0b", "c"))
        # An id that was received as bytes may contain any character.
        self.assertEqual(stream_origin.KEY_BYTES, len(stream_key("", "\xff\ud800")))


class HistoryTest(TestCase):
    """Versions that a service had lately."""

    def setUp(self):
        super().setUp()
        self.history = VersionHistory()
        self.generation = 0

    def list(self, listed, now, age=0.5):
        self.generation += 1
        self.history.update(listed, self.generation, age, now)

    def view(self, now, window=WINDOW):
        return self.history.view("model", window, now)

    def test_the_only_version_is_known_after_the_window(self):
        self.list(states(m1="v1", m2="v1"), NOW)
        self.assertEqual(UNKNOWN_VERSIONS, self.view(NOW + WINDOW - 1.0))
        self.assertEqual(VersionView(only="v1"), self.view(NOW + WINDOW))

    # Guards against refusing what callers take up in the first seconds of a deployment.
    def test_no_stream_began_before_the_first_start(self):
        self.history = VersionHistory(is_first_start=True)
        self.list([], NOW, age=None)
        listed = states(m1="v1")
        self.list(listed, NOW + 0.5)
        self.assertEqual(VersionView(only="v1"), self.view(NOW + 1.0))
        self.list(listed, NOW + 9.0, age=MAX_LIST_AGE_SECONDS + 0.1)
        self.list(listed, NOW + 10.0)
        self.assertEqual(UNKNOWN_VERSIONS, self.view(NOW + 10.0))

    def test_a_version_that_left_counts_for_the_window(self):
        self.list(states(m1="v1", m2="v2"), NOW)
        self.list(states(m1="v1"), NOW + 40.0)
        self.assertEqual(SEVERAL_VERSIONS, self.view(NOW + 40.0 + WINDOW))
        self.assertEqual(VersionView(only="v1"), self.view(NOW + 41.0 + WINDOW))

    # Guards against a version that was replaced while the list was not received.
    def test_nothing_is_inferred_across_a_time_without_the_list(self):
        listed = states(m1="v1")
        self.list(listed, NOW)
        self.list(listed, NOW + 50.0, age=MAX_LIST_AGE_SECONDS + 0.1)
        self.assertEqual(UNKNOWN_VERSIONS, self.view(NOW + 50.0))
        self.list(listed, NOW + 51.0)
        self.assertEqual(UNKNOWN_VERSIONS, self.view(NOW + 52.0))
        self.assertEqual(VersionView(only="v1"), self.view(NOW + 51.0 + WINDOW))

    def test_several_versions_are_known_at_once(self):
        self.list(states(m1="v1", m2="v2"), NOW, age=None)
        self.assertEqual(SEVERAL_VERSIONS, self.view(NOW))

    def test_versions_of_other_services_do_not_count(self):
        other = TargetState(target("p1", "portal", software_version="v9"), NOW)
        self.list([*states(m1="v1"), other], NOW)
        self.assertEqual(VersionView(only="v1"), self.view(NOW + WINDOW))
        self.assertEqual(UNKNOWN_VERSIONS, self.history.view("none", 1.0, NOW + 9.0))

    def test_targets_that_state_no_version_are_alike_only_among_themselves(self):
        self.list(states(m1="", m2=""), NOW)
        self.assertEqual(VersionView(only=""), self.view(NOW + WINDOW))
        for listed, version, left in (
            (states(m1="", m2=""), "", {"m1", "m2"}),
            (states(m1="", m2="", m3="v1"), "", set()),
            (states(m1="", m2="v1", m3="v2"), "v1", {"m2"}),
            (states(m1="", m2="v1"), None, set()),
            (states(m1="", m2="v1"), "v3", set()),
        ):
            others = targets_of_other_versions(listed, version)
            found = {s.target.name for s in listed if s.incarnation not in others}
            self.assertEqual(left, found)


class SearchTest(TestCase):
    """The answers of peers about one stream."""

    def search(self, asked=("r2", "r3"), view=UNKNOWN_VERSIONS, **fields):
        values = {"is_named": True, "relies_on_peers": True, **fields}
        return OriginSearch("model", asked, view, NOW, **values)

    def found(self, search, after=0.01):
        found = search.result(NOW + after)
        return None if found is None else (found.origin, found.source)

    def test_the_first_record_ends_the_search(self):
        search = self.search()
        self.assertIsNone(self.found(search))
        search.answered("r3", V2, SEVERAL_VERSIONS)
        self.assertEqual((V2, OriginSource.PEER_RECORD), self.found(search))

    def test_without_a_record_all_are_awaited_until_the_timeout(self):
        search = self.search(view=VersionView(only="v1"))
        search.answered("r2", None, VersionView(only="v1"))
        self.assertIsNone(self.found(search))
        self.assertEqual((V1, OriginSource.ONLY_VERSION), self.found(search, TIMED_OUT))

    # Guards against a guess while several versions serve, or may have.
    def test_nothing_is_inferred_from_contradicting_or_missing_views(self):
        for own, answer in (
            (VersionView(only="v1"), SEVERAL_VERSIONS),
            (SEVERAL_VERSIONS, VersionView(only="v1")),
            (VersionView(only="v1"), VersionView(only="v2")),
            (UNKNOWN_VERSIONS, UNKNOWN_VERSIONS),
        ):
            search = self.search(("r2",), own)
            search.answered("r2", None, answer)
            self.assertEqual((None, OriginSource.UNKNOWN), self.found(search))

    def test_a_router_that_has_just_started_relies_on_the_views_of_others(self):
        search = self.search(("r2",))
        search.answered("r2", None, VersionView(only="v1"))
        self.assertEqual((V1, OriginSource.ONLY_VERSION), self.found(search))

    # Guards against a router that is cut off and has missed a new version.
    def test_a_router_that_reaches_no_peer_infers_nothing(self):
        search = self.search(view=VersionView(only="v1"))
        unknown = (None, OriginSource.UNKNOWN)
        self.assertEqual(unknown, self.found(search, TIMED_OUT))
        alone = self.search((), VersionView(only="v1"), relies_on_peers=False)
        self.assertEqual((V1, OriginSource.ONLY_VERSION), self.found(alone, 0.0))

    # Guards against waiting for peers that are dead where no peer can have a record.
    def test_without_a_named_attempt_the_first_answer_that_decides_ends_the_search(
        self,
    ):
        for own, answer in (
            (VersionView(only="v1"), UNKNOWN_VERSIONS),
            (UNKNOWN_VERSIONS, VersionView(only="v1")),
        ):
            search = self.search(("r2", "r3"), own, is_named=False)
            self.assertIsNone(self.found(search))
            search.answered("r2", None, answer)
            self.assertEqual((V1, OriginSource.ONLY_VERSION), self.found(search))
        search = self.search(("r2", "r3"), VersionView(only="v1"), is_named=False)
        search.answered("r2", None, SEVERAL_VERSIONS)
        self.assertIsNone(self.found(search))
        search.answered("r3", None, VersionView(only="v1"))
        self.assertEqual((None, OriginSource.UNKNOWN), self.found(search))

    # Guards against resuming a stream whose version a peer knows to be uncertain.
    def test_records_that_contradict_or_name_no_version_end_the_search(self):
        for first, second in ((V1, V2), (None, StreamOrigin("model", None))):
            search = self.search()
            search.answered("r2", first, UNKNOWN_VERSIONS)
            search.answered("r3", second, UNKNOWN_VERSIONS)
            self.assertEqual((None, OriginSource.UNKNOWN), self.found(search))

    def test_answers_of_others_and_second_answers_are_ignored(self):
        search = self.search(("r2", "r3"))
        search.answered("r9", V1, UNKNOWN_VERSIONS)
        search.answered("r2", None, SEVERAL_VERSIONS)
        search.answered("r2", V1, UNKNOWN_VERSIONS)
        self.assertIsNone(self.found(search))
        self.assertEqual({"r3"}, search.unanswered)


class HoldersTest(TestCase):
    """The routers that keep copies."""

    def holders(self, domains):
        holders = OriginHolders()
        holders.set_routers(domains)
        return holders

    # Guards against losing all copies together with one failure domain.
    def test_copies_lie_in_different_domains(self):
        domains = {f"r{n}": "abc"[n % 3] for n in range(30)}
        holders = self.holders(domains)
        for number in range(50):
            names = holders.of(b"%d" % number, 3)
            self.assertEqual(set("abc"), {domains[name] for name in names})

    def test_one_domain_still_holds_all_copies(self):
        holders = self.holders({f"r{n}": "a" for n in range(5)})
        self.assertEqual(3, len(set(holders.of(b"k", 3))))
        self.assertEqual(["r1"], self.holders({"r1": "a"}).of(b"k", 3))
        self.assertEqual([], self.holders({}).of(b"k", 3))

    # Guards against a router that asks others than those that were sent copies.
    def test_routers_with_different_lists_agree_on_most_holders(self):
        domains = {f"r{n}": "abc"[n % 3] for n in range(30)}
        first = self.holders({n: d for n, d in domains.items() if n != "r0"})
        second = self.holders({n: d for n, d in domains.items() if n != "r1"})
        for number in range(200):
            key = b"%d" % number
            copies = set(first.of(key, 3))
            if "r1" not in copies:
                self.assertTrue(len(copies & set(second.of(key, 5))) >= 2)

    # Guards against copies sent to routers of a release that drops them.
    def test_a_router_that_does_not_answer_probes_gets_no_copies(self):
        holders = self.holders({"new": "a", "old": "b"})
        now = NOW
        for _ in range(2 * MAX_UNANSWERED_PROBES):
            for name in holders.to_probe(now):
                if name == "new":
                    holders.confirm(name, now)
            now += 0.3
        self.assertEqual(["new"], holders.of(b"k", 3))
        self.assertEqual([], holders.to_probe(now))
        # It is upgraded and asks something itself.
        holders.confirm("old", now)
        self.assertEqual({"new", "old"}, set(holders.of(b"k", 3)))

    def test_a_router_that_is_replaced_by_an_older_release_is_noticed(self):
        holders = self.holders({"r1": "a"})
        holders.to_probe(NOW)
        holders.confirm("r1", NOW)
        self.assertEqual([], holders.to_probe(NOW + 200.0))
        now = NOW + 300.0
        while holders.of(b"k", 3):
            holders.to_probe(now)
            now += 0.3
        self.assertTrue(now < NOW + 302.0, now)
