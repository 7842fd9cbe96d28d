"""A version comes into force whole, once, and never goes back."""

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


class Observer(VersionObserver):
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


class Source(SectionSource):
    def __init__(self, tree=None):
        self.tree = tree
        self.asked = []
        self.altered = set()
        self.held = None

    def fetch(self, digest):
        self.asked.append(digest)
        if self.held is not None:
            waiting = Deferred()
            self.held.append((waiting, digest))
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
        self.observer = Observer()
        public = SIGNING.public_key().public_bytes_raw()
        self.assertTrue(PUBLIC)
        check = HeadVerifier({"approver": public})
        self.keeper = VersionManager(check, self.observer, needs_organisations=True)

    def test_a_version_is_pulled_and_put_in_force(self):
        tree, head = make_version(1)
        self.keeper.pull_if_newer(head, Source(tree))
        self.assertEqual([1], self.observer.versions)
        self.assertEqual("small", self.keeper.view.organisation_of("small").name)
        self.assertIsNone(self.keeper.view.organisation_of("nobody"))

    def test_a_lower_version_is_never_taken(self):
        old_tree, old = make_version(1)
        tree, head = make_version(2)
        self.keeper.pull_if_newer(head, Source(tree))
        self.keeper.pull_if_newer(old, Source(old_tree))
        self.assertEqual([2], self.observer.versions)

    def test_only_what_changed_is_pulled(self):
        tree, head = make_version(1)
        self.keeper.pull_if_newer(head, Source(tree))
        tree, head = make_version(2, "[organisation x]\nkey_hashes =\n")
        source = Source(tree)
        self.keeper.pull_if_newer(head, source)
        self.assertEqual(5, len(source.asked))
        self.assertEqual([1, 2], self.observer.versions)

    def test_an_altered_section_keeps_the_old_version_in_force(self):
        tree, head = make_version(1)
        self.keeper.pull_if_newer(head, Source(tree))
        tree, head = make_version(2, "[organisation x]\nkey_hashes =\n")
        source = Source(tree)
        source.altered = set(tree.sections)
        self.keeper.pull_if_newer(head, source)
        self.assertEqual([1], self.observer.versions)
        self.assertEqual(1, len(self.observer.failed))
        self.keeper.pull_if_newer(head, Source(tree))
        self.assertEqual([1, 2], self.observer.versions)

    def test_a_source_without_the_sections_is_no_harm(self):
        tree, head = make_version(1)
        empty, _ = make_version(9, "[organisation y]\nkey_hashes =\n")
        self.keeper.pull_if_newer(head, Source(empty))
        self.assertEqual(1, len(self.observer.failed))
        self.keeper.pull_if_newer(head, Source(tree))
        self.assertEqual([1], self.observer.versions)

    def test_an_unsigned_head_is_refused_whoever_sends_it(self):
        tree, head = make_version(5)
        forged = VersionHead(5, head.digest, "approver", b"x" * 64)
        self.keeper.pull_if_newer(forged, Source(tree))
        self.assertEqual([], self.observer.versions)
        self.assertEqual(1, len(self.observer.refused))

    def test_a_signature_cannot_be_moved_to_another_number(self):
        tree, head = make_version(3)
        moved = VersionHead(99, head.digest, "approver", head.signature)
        self.keeper.pull_if_newer(moved, Source(tree))
        self.assertEqual([], self.observer.versions)
        self.assertEqual(1, len(self.observer.failed))

    def test_an_older_pull_that_ends_late_changes_nothing(self):
        tree, head = make_version(1)
        slow = Source(tree)
        slow.held = []
        self.keeper.pull_if_newer(head, slow)
        newer_tree, newer = make_version(2)
        self.keeper.pull_if_newer(newer, Source(newer_tree))
        held, slow.held = slow.held, None
        for waiting, digest in held:
            waiting.callback(slow.data(digest))
        self.keeper.pull_if_newer(newer, Source(newer_tree))
        self.assertEqual([1, 2], self.observer.versions)

    def test_a_request_keeps_its_version_and_the_last_one_drops_it(self):
        tree, head = make_version(1)
        self.keeper.pull_if_newer(head, Source(tree))
        pinned = self.keeper.view.pin()
        tree, head = make_version(2)
        self.keeper.pull_if_newer(head, Source(tree))
        self.assertEqual(1, self.keeper.retired)
        self.assertEqual(1, pinned.version)
        pinned.unpin()
        self.assertEqual(0, self.keeper.retired)

    def test_sections_of_the_version_before_are_still_served(self):
        tree, head = make_version(1)
        self.keeper.pull_if_newer(head, Source(tree))
        newer, newer_head = make_version(2, "[organisation x]\nkey_hashes =\n")
        self.keeper.pull_if_newer(newer_head, Source(newer))
        for digest in [*tree.sections, *newer.sections]:
            self.assertIsNotNone(self.keeper.section(digest))

    def test_agents_do_not_pull_organisations(self):
        tree, head = make_version(1)
        public = SIGNING.public_key().public_bytes_raw()
        check = HeadVerifier({"approver": public})
        keeper = VersionManager(check, self.observer, needs_organisations=False)
        source = Source(tree)
        keeper.pull_if_newer(head, source)
        self.assertIn("chat", keeper.view.services)
        self.assertIsNone(keeper.view.organisation("small"))
        self.assertTrue(len(source.asked) < len(tree.sections))
