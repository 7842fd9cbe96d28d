"""A version is put in force only when complete and never replaced by a lower one."""

from __future__ import annotations

from testtools import TestCase
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from primrosescale.process.configuration.version_manager import SectionSource
from primrosescale.process.configuration.version_manager import VersionManager
from primrosescale.process.configuration.version_manager import VersionObserver
from primrosescale.version.bundle import Bundle
from primrosescale.version.head import HeadVerifier
from primrosescale.version.head import VersionHead
from primrosescale.version.head import sign
from primrosescale.version.section import build_tree
from support.world import PUBLIC
from support.world import SIGNING
from support.world import bundle_text


class RecordingObserver(VersionObserver):
    def __init__(self):
        self.versions = []
        self.refused = []
        self.failed = []

    def adopted(self, view):
        self.versions.append(view.version)

    def head_refused(self, error):
        self.refused.append(str(error))

    def pull_failed(self, version, detail):
        self.failed.append(detail)


class FakeSource(SectionSource):
    def __init__(self, tree=None):
        self.tree = tree
        self.requested = []
        self.altered = set()
        self.delayed = None

    def fetch(self, digest):
        self.requested.append(digest)
        if self.delayed is not None:
            waiting = Deferred()
            self.delayed.append((waiting, digest))
            return waiting
        return succeed(self.data(digest))

    def data(self, digest):
        found = self.tree.sections.get(digest)
        if found is None:
            return None
        return found.data + b" " if digest in self.altered else found.data


def make_version(number, extra=""):
    bundle = Bundle.from_ini(bundle_text(extra), "test")
    tree = build_tree(bundle, number, "", "author", 0)
    signature = sign(tree.digest, SIGNING.private_bytes_raw())
    return tree, VersionHead(number, tree.digest, "approver", signature)


class VersionKeeperTest(TestCase):
    def setUp(self):
        super().setUp()
        self.observer = RecordingObserver()
        public = SIGNING.public_key().public_bytes_raw()
        self.assertTrue(PUBLIC)
        check = HeadVerifier({"approver": public})
        self.version_manager = VersionManager(
            check, self.observer, needs_organisations=True
        )

    def test_a_version_is_pulled_and_put_in_force(self):
        tree, head = make_version(1)
        self.version_manager.pull_if_newer(head, FakeSource(tree))
        self.assertEqual([1], self.observer.versions)
        self.assertEqual(
            "small", self.version_manager.view.organisation_of("small").name
        )
        self.assertIsNone(self.version_manager.view.organisation_of("nobody"))

    def test_a_lower_version_is_never_put_in_force(self):
        old_tree, old = make_version(1)
        tree, head = make_version(2)
        self.version_manager.pull_if_newer(head, FakeSource(tree))
        self.version_manager.pull_if_newer(old, FakeSource(old_tree))
        self.assertEqual([2], self.observer.versions)

    def test_only_what_changed_is_pulled(self):
        tree, head = make_version(1)
        self.version_manager.pull_if_newer(head, FakeSource(tree))
        tree, head = make_version(2, "[organisation x]\nkey_hashes =\n")
        source = FakeSource(tree)
        self.version_manager.pull_if_newer(head, source)
        self.assertEqual(5, len(source.requested))
        self.assertEqual([1, 2], self.observer.versions)

    def test_an_altered_section_keeps_the_old_version_in_force(self):
        tree, head = make_version(1)
        self.version_manager.pull_if_newer(head, FakeSource(tree))
        tree, head = make_version(2, "[organisation x]\nkey_hashes =\n")
        source = FakeSource(tree)
        source.altered = set(tree.sections)
        self.version_manager.pull_if_newer(head, source)
        self.assertEqual([1], self.observer.versions)
        self.assertEqual(1, len(self.observer.failed))
        self.version_manager.pull_if_newer(head, FakeSource(tree))
        self.assertEqual([1, 2], self.observer.versions)

    def test_a_version_missing_at_one_source_is_pulled_from_another(self):
        tree, head = make_version(1)
        empty, _ = make_version(9, "[organisation y]\nkey_hashes =\n")
        self.version_manager.pull_if_newer(head, FakeSource(empty))
        self.assertEqual(1, len(self.observer.failed))
        self.version_manager.pull_if_newer(head, FakeSource(tree))
        self.assertEqual([1], self.observer.versions)

    def test_a_head_with_a_forged_signature_is_refused(self):
        tree, head = make_version(5)
        forged = VersionHead(5, head.digest, "approver", b"x" * 64)
        self.version_manager.pull_if_newer(forged, FakeSource(tree))
        self.assertEqual([], self.observer.versions)
        self.assertEqual(1, len(self.observer.refused))

    def test_a_signature_is_not_valid_for_another_number(self):
        tree, head = make_version(3)
        reused = VersionHead(99, head.digest, "approver", head.signature)
        self.version_manager.pull_if_newer(reused, FakeSource(tree))
        self.assertEqual([], self.observer.versions)
        self.assertEqual(1, len(self.observer.failed))

    def test_an_older_pull_that_ends_late_changes_nothing(self):
        tree, head = make_version(1)
        slow = FakeSource(tree)
        slow.delayed = []
        self.version_manager.pull_if_newer(head, slow)
        newer_tree, newer = make_version(2)
        self.version_manager.pull_if_newer(newer, FakeSource(newer_tree))
        delayed, slow.delayed = slow.delayed, None
        for waiting, digest in delayed:
            waiting.callback(slow.data(digest))
        self.version_manager.pull_if_newer(newer, FakeSource(newer_tree))
        self.assertEqual([1, 2], self.observer.versions)

    def test_a_version_is_retired_until_its_last_request_unpins_it(self):
        tree, head = make_version(1)
        self.version_manager.pull_if_newer(head, FakeSource(tree))
        pinned = self.version_manager.view.pin()
        tree, head = make_version(2)
        self.version_manager.pull_if_newer(head, FakeSource(tree))
        self.assertEqual(1, self.version_manager.retired_count)
        self.assertEqual(1, pinned.version)
        pinned.unpin()
        self.assertEqual(0, self.version_manager.retired_count)

    def test_sections_of_the_previous_version_are_still_served(self):
        tree, head = make_version(1)
        self.version_manager.pull_if_newer(head, FakeSource(tree))
        newer, newer_head = make_version(2, "[organisation x]\nkey_hashes =\n")
        self.version_manager.pull_if_newer(newer_head, FakeSource(newer))
        for digest in [*tree.sections, *newer.sections]:
            self.assertIsNotNone(self.version_manager.section(digest))

    def test_agents_do_not_pull_organisations(self):
        tree, head = make_version(1)
        public = SIGNING.public_key().public_bytes_raw()
        check = HeadVerifier({"approver": public})
        version_manager = VersionManager(
            check, self.observer, needs_organisations=False
        )
        source = FakeSource(tree)
        version_manager.pull_if_newer(head, source)
        self.assertIn("chat", version_manager.view.services)
        self.assertIsNone(version_manager.view.organisation("small"))
        self.assertTrue(len(source.requested) < len(tree.sections))
