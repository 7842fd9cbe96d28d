"""Sections: the records of a version as a Merkle tree of immutable parts.

A section is identified by the digest of its bytes. The root refers to one section
for each kind of record. Services, models, targets and operators have one group of
leaves each. As there are many organisations, their index refers to groups, each
group to subgroups and each subgroup to leaves of a few records, with sixteen
sections a level, so that a change of one organisation transfers only a few hundred
bytes a level. Agents pull the root and all sections except those of organisations.
"""

from __future__ import annotations

import json
from dataclasses import dataclass
from dataclasses import field
from hashlib import blake2b
from typing import TYPE_CHECKING
from typing import Any

from xxhash import xxh3_64_intdigest

from primrosescale.version.exceptions import SectionError
from primrosescale.version.records import CLASS_BY_KIND
from primrosescale.version.records import SHARDED_KIND
from primrosescale.version.records import OptionText
from primrosescale.version.records import RecordName
from primrosescale.version.records import RecordText

if TYPE_CHECKING:
    from primrosescale.version.bundle import Bundle

FORMAT = 1
DIGEST_BYTES = 20
FAN_OUT = 16
MAX_SECTION_BYTES = 1_000_000
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


def digest_of(data: bytes) -> str:
    """Return the digest that identifies a section.

    Parameters
    ----------
    data : bytes
        The section's bytes.

    Returns
    -------
    str
        BLAKE2b digest of 20 bytes as 40 hex digits.
    """
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True, slots=True)
class Section:
    """An immutable part of a version.

    Parameters
    ----------
    digest : str
        Digest that identifies it.
    data : bytes
        Its bytes, not verified until `check` is called.
    """

    digest: str
    data: bytes

    @classmethod
    def of(cls, data: bytes) -> Section:
        """Create the section of some bytes.

        Parameters
        ----------
        data : bytes
            The bytes.

        Returns
        -------
        Section
            The section with the digest of these bytes.
        """
        return cls(digest_of(data), data)

    def check(self) -> None:
        """Check that the bytes match the digest.

        Raises
        ------
        SectionError
            When they do not, or exceed `MAX_SECTION_BYTES`.
        """
        if len(self.data) > MAX_SECTION_BYTES:
            raise SectionError(self.digest, "over 1 MB")
        if digest_of(self.data) != self.digest:
            raise SectionError(self.digest, "its bytes were altered")


@dataclass(frozen=True, slots=True)
class Branch:
    """Reference from a section to one of its parts.

    Parameters
    ----------
    label : str
        Label of the part, unique within its parent.
    digest : str
        Digest of the part's section.
    """

    label: str
    digest: str


@dataclass(frozen=True, slots=True)
class Root:
    """The root of a version's tree.

    Parameters
    ----------
    version : int
        Number of the version; each new version has a higher one.
    base : str
        Digest of the version it was derived from; empty for the first.
    author : str
        Operator who created it.
    created_ms : int
        Time of creation in milliseconds since 1970.
    groups : tuple[Branch, ...]
        One part for each kind of record, sorted by label.
    """

    version: int
    base: str
    author: str
    created_ms: int
    groups: tuple[Branch, ...] = field(default=())

    def encode(self) -> bytes:
        """Encode the root as the bytes of a section.

        Returns
        -------
        bytes
            Canonical JSON.
        """
        return _canonical_json(
            {
                "format": FORMAT,
                "version": self.version,
                "base": self.base,
                "author": self.author,
                "created_ms": self.created_ms,
                "groups": {b.label: b.digest for b in self.groups},
            },
        )

    @classmethod
    def decode(cls, section: Section) -> Root:
        """Decode the root from its section.

        Parameters
        ----------
        section : Section
            A verified section.

        Returns
        -------
        Root
            The root.

        Raises
        ------
        SectionError
            When it is not a root or its format is not supported.
        """
        try:
            fields = json.loads(section.data)
            if fields["format"] != FORMAT:
                raise SectionError(section.digest, "its format is unknown")
            return cls(
                int(fields["version"]),
                str(fields["base"]),
                str(fields["author"]),
                int(fields["created_ms"]),
                _decode_branches(fields["groups"]),
            )
        except DECODE_ERRORS as error:
            raise SectionError(section.digest, "not a root") from error


@dataclass(frozen=True, slots=True)
class SectionTree:
    """All sections of a version.

    Parameters
    ----------
    root : Root
        The decoded root.
    digest : str
        Digest of the root's section, which identifies the whole version.
    sections : dict[str, Section]
        All sections by digest.
    """

    root: Root
    digest: str
    sections: dict[str, Section]


def build_tree(
    bundle: Bundle,
    version: int,
    base: str,
    author: str,
    created_ms: int,
) -> SectionTree:
    """Split a bundle into sections.

    Parameters
    ----------
    bundle : Bundle
        A valid bundle.
    version : int
        The version's number.
    base : str
        Digest of the version it was derived from.
    author : str
        Operator who created it.
    created_ms : int
        Time of creation in milliseconds since 1970.

    Returns
    -------
    SectionTree
        The root and all sections; equal records produce equal leaves.
    """
    sections: dict[str, Section] = {}
    plain: dict[str, dict[str, list[RecordText]]] = {}
    sharded: dict[str, dict[str, dict[str, list[RecordText]]]] = {}
    for text in bundle.records.values():
        location = locate_record(text.name)
        if location.subgroup:
            group = sharded.setdefault(location.group, {})
            leaves = group.setdefault(location.subgroup, {})
        else:
            leaves = plain.setdefault(location.group, {})
        leaves.setdefault(location.leaf, []).append(text)
    branches = [
        Branch(label, _add_leaves(leaves, sections)) for label, leaves in plain.items()
    ]
    if sharded:
        groups = {
            label: _add_index(
                {
                    sub: _add_leaves(leaves, sections)
                    for sub, leaves in subgroups.items()
                },
                sections,
            )
            for label, subgroups in sharded.items()
        }
        branches.append(Branch(SHARDED_KIND, _add_index(groups, sections)))
    branches.sort(key=lambda branch: branch.label)
    root = Root(version, base, author, created_ms, tuple(branches))
    root_section = Section.of(root.encode())
    sections[root_section.digest] = root_section
    return SectionTree(root, root_section.digest, sections)


def _add_leaves(
    leaves: dict[str, list[RecordText]],
    sections: dict[str, Section],
) -> str:
    """Add leaves and the index of them; return the digest of the index."""
    digests: dict[str, str] = {}
    for label, records in leaves.items():
        part = Section.of(encode_leaf(records))
        part.check()
        sections[part.digest] = part
        digests[label] = part.digest
    return _add_index(digests, sections)


def _add_index(digests: dict[str, str], sections: dict[str, Section]) -> str:
    section = Section.of(_canonical_json(digests))
    sections[section.digest] = section
    return section.digest


@dataclass(frozen=True, slots=True)
class RecordLocation:
    """Location of a record in the tree.

    Parameters
    ----------
    group : str
        Label of its group.
    subgroup : str
        Label of its subgroup; empty for kinds without subgroups.
    leaf : str
        Label of its leaf.
    """

    group: str
    subgroup: str
    leaf: str


def locate_record(name: RecordName) -> RecordLocation:
    """Return the location of a record, which follows from a hash of its name.

    Parameters
    ----------
    name : RecordName
        Name of the record.

    Returns
    -------
    RecordLocation
        Labels of the parts that contain it.
    """
    name_hash = xxh3_64_intdigest(name.name.encode())
    leaf = f"{name_hash % FAN_OUT:x}"
    if name.kind != SHARDED_KIND:
        return RecordLocation(name.kind, "", leaf)
    subgroup = f"{name_hash // FAN_OUT % FAN_OUT:x}"
    group = name_hash // FAN_OUT**2 % FAN_OUT
    return RecordLocation(f"{name.kind}-{group:x}", subgroup, leaf)


def decode_index(section: Section) -> tuple[Branch, ...]:
    """Decode the references of an index.

    Parameters
    ----------
    section : Section
        A verified section.

    Returns
    -------
    tuple[Branch, ...]
        Parts sorted by label.

    Raises
    ------
    SectionError
        When it is not an index.
    """
    try:
        return _decode_branches(json.loads(section.data))
    except DECODE_ERRORS as error:
        raise SectionError(section.digest, "not an index") from error


def encode_leaf(records: list[RecordText]) -> bytes:
    """Encode records as the bytes of a leaf.

    Parameters
    ----------
    records : list[RecordText]
        The records, in any order.

    Returns
    -------
    bytes
        Canonical JSON.
    """
    ordered = sorted(records, key=lambda record: record.name)
    return _canonical_json(
        [
            {
                "kind": record.name.kind,
                "name": record.name.name,
                "options": {item.key: item.value for item in record.options},
            }
            for record in ordered
        ],
    )


def decode_leaf(section: Section) -> list[RecordText]:
    """Decode the records of a leaf.

    Parameters
    ----------
    section : Section
        A verified section.

    Returns
    -------
    list[RecordText]
        The records as written.

    Raises
    ------
    SectionError
        When it is not a leaf.
    """
    try:
        return [_decode_record(fields) for fields in json.loads(section.data)]
    except DECODE_ERRORS as error:
        raise SectionError(section.digest, "not a leaf") from error


def _decode_record(fields: Any) -> RecordText:
    kind = str(fields["kind"])
    if kind not in CLASS_BY_KIND:
        raise ValueError(kind)
    options = tuple(
        OptionText(str(key), str(value))
        for key, value in sorted(fields["options"].items())
    )
    return RecordText(RecordName(kind, str(fields["name"])), options)


def _decode_branches(fields: Any) -> tuple[Branch, ...]:
    return tuple(
        Branch(str(label), str(digest)) for label, digest in sorted(fields.items())
    )


def _canonical_json(value: Any) -> bytes:
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return text.encode()
