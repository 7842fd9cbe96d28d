"""Bundles, sections, heads: checked, named by digest, never taken altered."""

from __future__ import annotations

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from testtools import TestCase

from primrosescale.ini.exceptions import FaultsError
from primrosescale.ini.exceptions import IniError
from primrosescale.version.bundle import Bundle
from primrosescale.version.diff import diff_text
from primrosescale.version.exceptions import HeadError
from primrosescale.version.exceptions import SectionError
from primrosescale.version.head import HeadVerifier
from primrosescale.version.head import VersionHead
from primrosescale.version.head import sign
from primrosescale.version.records import ServiceRecord
from primrosescale.version.section import Root
from primrosescale.version.section import Section
from primrosescale.version.section import build_tree
from primrosescale.version.section import decode_index
from primrosescale.version.section import decode_leaf

HASH = "a" * 64
GOOD = f"""
[model m]
version = 1
[service chat]
kind = model
models = m
[organisation one]
key_hashes = {HASH}
"""


def bundle(extra=""):
    return Bundle.from_ini(GOOD + extra, "test")


def tree(text="", version=1, base=""):
    return build_tree(bundle(text), version, base, "author", 0)


class BundleTest(TestCase):
    def test_every_fault_is_named_with_its_remedy(self):
        text = """
        [service chat]
        kind = modle
        deadline = 500
        non_idempotent = post switches
        [organisation o]
        key_hashes = secret
        weight = 0
        colour = red
        [target t]
        service = nowhere
        [gadget x]
        [organisation bad name!]
        key_hashes =
        """.replace("        ", "")
        error = self.assertRaises(FaultsError, Bundle.from_ini, text, "test")
        text = "\n".join(str(item) for item in error.exceptions)
        for word in ("modle", "colour", "weight", "gadget", "bad name!", "nowhere"):
            self.assertIn(word, text)
        self.assertTrue(all(item.remedy for item in error.exceptions))

    def test_text_that_is_not_ini_is_an_error(self):
        self.assertRaises(IniError, Bundle.from_ini, "not ini", "test")

    def test_a_key_of_two_organisations_is_a_fault(self):
        text = f"[organisation two]\nkey_hashes = {HASH}\n"
        error = self.assertRaises(FaultsError, bundle, text)
        self.assertIn("belongs to organisation", str(error.exceptions[0]))

    def test_ini_and_back_is_the_same_bundle(self):
        again = Bundle.from_ini(bundle().to_ini(), "again")
        self.assertEqual(bundle(), again)

    def test_a_diff_names_what_came_went_and_changed(self):
        after = Bundle.from_ini(
            GOOD.replace("version = 1", "version = 2").replace(
                "[organisation one]", "[organisation two]"
            ),
            "after",
        )
        text = diff_text(bundle(), after)
        self.assertIn("~ version = 1 -> 2", text)
        self.assertIn("- [organisation one]", text)
        self.assertIn("+ [organisation two]", text)

    def test_rules_say_which_calls_may_not_be_repeated(self):
        record = ServiceRecord(
            name="s",
            kind="plain",
            non_idempotent=("POST /switches", "* /records/*"),
        )
        self.assertFalse(record.is_idempotent("POST", "/switches"))
        self.assertFalse(record.is_idempotent("POST", "/switches/"))
        self.assertTrue(record.is_idempotent("GET", "/switches"))
        self.assertFalse(record.is_idempotent("PUT", "/records/7"))


class SectionTest(TestCase):
    def test_a_change_of_one_organisation_moves_one_leaf(self):
        many = "".join(
            f"[organisation o{n}]\nkey_hashes = {n:064x}\n" for n in range(2000)
        )
        changed = many.replace("[organisation o7]", "[organisation o7]\nweight = 3")
        before, after = tree(many), tree(changed, 2)
        new = [s for d, s in after.sections.items() if d not in before.sections]
        self.assertEqual(5, len(new))
        self.assertTrue(sum(len(s.data) for s in new) < 4000)

    def test_all_records_come_back_from_the_sections(self):
        found = tree()
        root = Root.decode(found.sections[found.digest])
        names = set()
        for group in root.groups:
            digests = [group.digest]
            for _ in range(3 if group.label == "organisation" else 1):
                parts = [decode_index(found.sections[digest]) for digest in digests]
                digests = [branch.digest for part in parts for branch in part]
            for digest in digests:
                names |= {r.name for r in decode_leaf(found.sections[digest])}
        self.assertEqual(set(bundle().records), names)

    def test_an_altered_section_is_refused(self):
        found = next(iter(tree().sections.values()))
        altered = Section(found.digest, found.data + b" ")
        self.assertRaises(SectionError, altered.check)

    def test_junk_is_no_root_group_or_leaf(self):
        for data in (b"", b"{}", b"[]", b"[1]", b'{"format": 9}', b"\xff", b"null"):
            section = Section.of(data)
            self.assertRaises(SectionError, Root.decode, section)
        for data in (b"[1]", b"null", b"7"):
            self.assertRaises(SectionError, decode_index, Section.of(data))
        for data in (b"[1]", b"null", b'[{"kind": "x"}]'):
            self.assertRaises(SectionError, decode_leaf, Section.of(data))


class HeadTest(TestCase):
    def setUp(self):
        super().setUp()
        self.key = Ed25519PrivateKey.generate()
        public = self.key.public_key().public_bytes_raw()
        self.check = HeadVerifier({"ann": public})

    def head(self, digest="d", approver="ann", version=3):
        signature = sign(digest, self.key.private_bytes_raw())
        return VersionHead(version, digest, approver, signature)

    def test_a_signed_head_is_taken(self):
        self.check.verify(self.head())

    def test_a_head_of_a_stranger_or_of_another_digest_is_refused(self):
        signed = self.head()
        for head in (
            self.head(approver="eve"),
            VersionHead(3, "other", "ann", signed.signature),
            VersionHead(3, "d", "ann", b""),
        ):
            self.assertRaises(HeadError, self.check.verify, head)

    def test_only_a_higher_number_is_newer(self):
        self.assertTrue(self.check.is_newer(self.head(version=4), self.head()))
        self.assertFalse(self.check.is_newer(self.head("x"), self.head()))
        self.assertFalse(self.check.is_newer(self.head(version=2), self.head()))

    def test_a_stored_head_comes_back(self):
        head = self.head()
        self.assertEqual(head, VersionHead.decode(head.encode()))
        for data in (b"", b"{}", b"[]", b'{"version": "x"}'):
            self.assertRaises(HeadError, VersionHead.decode, data)
