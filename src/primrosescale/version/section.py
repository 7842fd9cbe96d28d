"""Sections: the records of a version as a tree of immutable, named parts.

A section is named by the digest of its bytes. The root names a part for each
kind of record; services, models, targets and operators are a group of leaves
each. Organisations are many: their index names groups, each group subgroups,
each subgroup leaves of a few records, sixteen a level, so that a change of
one organisation moves a few hundred bytes a level. Agents pull the root and
what is not of organisations.
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
DIGEST_SIZE = 20
FAN_OUT = 16
MAX_SECTION = 1_000_000
DECODE_ERRORS = (ValueError, KeyError, TypeError, AttributeError)


def digest_of(data: bytes) -> str:
    """Return the name of a section.

    Parameters
    ----------
    data : bytes
        Its bytes.

    Returns
    -------
    str
        40 hex digits.
    """
    return blake2b(data, digest_size=DIGEST_SIZE).hexdigest()


@dataclass(frozen=True, slots=True)
class Section:
    """An immutable part of a version.

    Parameters
    ----------
    digest : str
        Its name.
    data : bytes
        Its bytes.
    """

    digest: str
    data: bytes

    @classmethod
    def of(cls, data: bytes) -> Section:
        """Return the section with some bytes.

        Parameters
        ----------
        data : bytes
            The bytes.

        Returns
        -------
        Section
            Named by their digest.
        """
        return cls(digest_of(data), data)

    def check(self) -> None:
        """Check that the bytes are those named.

        Raises
        ------
        SectionError
            When they are not, or are too many.
        """
        if len(self.data) > MAX_SECTION:
            raise SectionError(self.digest, "over 1 MB")
        if digest_of(self.data) != self.digest:
            raise SectionError(self.digest, "its bytes were altered")


@dataclass(frozen=True, slots=True)
class Branch:
    """One name of a part in its parent.

    Parameters
    ----------
    label : str
        Which part.
    digest : str
        The section that holds it.
    """

    label: str
    digest: str


@dataclass(frozen=True, slots=True)
class Root:
    """The top of a version's tree.

    Parameters
    ----------
    version : int
        Number of the version; only ever goes up.
    base : str
        Digest of the version it was made from; empty for the first.
    author : str
        Operator who made it.
    created_ms : int
        When, in milliseconds since 1970.
    groups : tuple[Branch, ...]
        A part for each kind of record, sorted by label.
    """

    version: int
    base: str
    author: str
    created_ms: int
    groups: tuple[Branch, ...] = field(default=())

    def encode(self) -> bytes:
        """Return the bytes of the root's section.

        Returns
        -------
        bytes
            Canonical JSON.
        """
        return _canonical(
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
        """Read a root from its section.

        Parameters
        ----------
        section : Section
            A checked section.

        Returns
        -------
        Root
            The root.

        Raises
        ------
        SectionError
            When it is not a root of a known format.
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
                _branches(fields["groups"]),
            )
        except DECODE_ERRORS as error:
            raise SectionError(section.digest, "not a root") from error


@dataclass(frozen=True, slots=True)
class SectionTree:
    """All sections of a version.

    Parameters
    ----------
    root : Root
        The top.
    digest : str
        Name of the root's section, and so of the whole version.
    sections : dict[str, Section]
        All sections by name.
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
    """Cut a bundle into sections.

    Parameters
    ----------
    bundle : Bundle
        A valid bundle.
    version : int
        The version's number.
    base : str
        Digest of the version it was made from.
    author : str
        Who made it.
    created_ms : int
        When, in milliseconds since 1970.

    Returns
    -------
    SectionTree
        Root and sections; the same records give the same leaves.
    """
    sections: dict[str, Section] = {}
    plain: dict[str, dict[str, list[RecordText]]] = {}
    scattered: dict[str, dict[str, dict[str, list[RecordText]]]] = {}
    for text in bundle.records.values():
        place = place_of(text.name)
        if place.subgroup:
            group = scattered.setdefault(place.group, {})
            leaves = group.setdefault(place.subgroup, {})
        else:
            leaves = plain.setdefault(place.group, {})
        leaves.setdefault(place.leaf, []).append(text)
    branches = [
        Branch(label, _add_leaves(leaves, sections)) for label, leaves in plain.items()
    ]
    if scattered:
        groups = {
            label: _add_index(
                {sub: _add_leaves(leaves, sections) for sub, leaves in subs.items()},
                sections,
            )
            for label, subs in scattered.items()
        }
        branches.append(Branch(SHARDED_KIND, _add_index(groups, sections)))
    branches.sort(key=lambda branch: branch.label)
    root = Root(version, base, author, created_ms, tuple(branches))
    top = Section.of(root.encode())
    sections[top.digest] = top
    return SectionTree(root, top.digest, sections)


def _add_leaves(
    leaves: dict[str, list[RecordText]],
    sections: dict[str, Section],
) -> str:
    """Add leaves and the index over them; return the index's digest."""
    digests: dict[str, str] = {}
    for label, records in leaves.items():
        part = Section.of(encode_leaf(records))
        part.check()
        sections[part.digest] = part
        digests[label] = part.digest
    return _add_index(digests, sections)


def _add_index(digests: dict[str, str], sections: dict[str, Section]) -> str:
    section = Section.of(_canonical(digests))
    sections[section.digest] = section
    return section.digest


@dataclass(frozen=True, slots=True)
class RecordPlace:
    """Where a record lies in the tree.

    Parameters
    ----------
    group : str
        Label of its group.
    subgroup : str
        Label of its subgroup; empty for kinds that have none.
    leaf : str
        Label of its leaf.
    """

    group: str
    subgroup: str
    leaf: str


def place_of(name: RecordName) -> RecordPlace:
    """Return where a record lies.

    Parameters
    ----------
    name : RecordName
        The record's name.

    Returns
    -------
    RecordPlace
        Labels of the parts that hold it.
    """
    spread = xxh3_64_intdigest(name.name.encode())
    leaf = f"{spread % FAN_OUT:x}"
    if name.kind != SHARDED_KIND:
        return RecordPlace(name.kind, "", leaf)
    subgroup = f"{spread // FAN_OUT % FAN_OUT:x}"
    group = spread // FAN_OUT**2 % FAN_OUT
    return RecordPlace(f"{name.kind}-{group:x}", subgroup, leaf)


def decode_index(section: Section) -> tuple[Branch, ...]:
    """Return the parts that an index names.

    Parameters
    ----------
    section : Section
        A checked section.

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
        return _branches(json.loads(section.data))
    except DECODE_ERRORS as error:
        raise SectionError(section.digest, "not an index") from error


def encode_leaf(records: list[RecordText]) -> bytes:
    """Return the bytes of a leaf.

    Parameters
    ----------
    records : list[RecordText]
        Its records.

    Returns
    -------
    bytes
        Canonical JSON.
    """
    ordered = sorted(records, key=lambda record: record.name)
    return _canonical(
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
    """Return the records of a leaf.

    Parameters
    ----------
    section : Section
        A checked section.

    Returns
    -------
    list[RecordText]
        Its records as written.

    Raises
    ------
    SectionError
        When it is not a leaf.
    """
    try:
        return [_record(fields) for fields in json.loads(section.data)]
    except DECODE_ERRORS as error:
        raise SectionError(section.digest, "not a leaf") from error


def _record(fields: Any) -> RecordText:
    kind = str(fields["kind"])
    if kind not in CLASS_BY_KIND:
        raise ValueError(kind)
    options = tuple(
        OptionText(str(key), str(value))
        for key, value in sorted(fields["options"].items())
    )
    return RecordText(RecordName(kind, str(fields["name"])), options)


def _branches(fields: Any) -> tuple[Branch, ...]:
    return tuple(
        Branch(str(label), str(digest)) for label, digest in sorted(fields.items())
    )


def _canonical(value: Any) -> bytes:
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return text.encode()
