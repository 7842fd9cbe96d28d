"""Answers of the users' store, of which one odd object spoils no other.

The store hands out what anybody wrote. An object that is nested too deep for
the parser, holds bytes that are no text, or a number of thousands of digits,
would make the whole answer unreadable, and with it every object beside it. Such
an answer is taken apart by its brackets first, and each part is read by itself.
"""

from __future__ import annotations

import base64
import json
import re
from typing import TYPE_CHECKING
from typing import Any

import orjson

from primrosescale.platform.json_reader import read_json
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.platform import StoredObject

if TYPE_CHECKING:
    from collections.abc import Iterator

BINARY = "base64"
# Revisions are told to other routers as numbers of 64 bits with a sign.
MAX_REVISION = 2**63 - 1
# Bytes that no record can be read from.
UNREADABLE = b""
# What an odd answer raises while it is taken apart.
MALFORMED = (KeyError, TypeError, ValueError, AttributeError, RecursionError)

# Members of an answer that list objects, and of an event that holds one.
_LISTS = ("items", "events")
_OBJECT = "object"
# A string, a run of brackets of one side, or a comma.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|,', re.DOTALL)


def answer_fields(body: bytes) -> dict[str, Any]:
    """Return the members of an answer.

    Parameters
    ----------
    body : bytes
        The answer's content.

    Returns
    -------
    dict[str, Any]
        Its members. An object's member that cannot be read stands there as
        the bytes that came.

    Raises
    ------
    PlatformUnavailableError
        When it is no object.
    """
    try:
        fields = read_json(body)
    except (ValueError, RecursionError):
        fields = _split_answer(body)
    if not isinstance(fields, dict):
        raise PlatformUnavailableError("odd answer: not an object")
    return fields


def stored_object(kind: str, item: Any, *, deleted: Any = False) -> StoredObject:
    """Return an object of an answer.

    Parameters
    ----------
    kind : str
        Its kind.
    item : Any
        What the answer says of it.
    deleted : Any
        What the answer says of its end.

    Returns
    -------
    StoredObject
        The object. One whose name cannot be read has none, and one that is
        odd otherwise has a content that nothing can be read from.
    """
    meta = item.get("metadata") if isinstance(item, dict) else None
    name = meta.get("name") if isinstance(meta, dict) else None
    if not isinstance(meta, dict) or not isinstance(name, str):
        return StoredObject(f"{kind}/", 0, UNREADABLE)
    key = f"{kind}/{name}"
    revision = meta.get("revision", 0)
    flags = (deleted, meta.get("deleting", False))
    if not _is_revision(revision) or not all(isinstance(f, bool) for f in flags):
        return StoredObject(key, 0, UNREADABLE)
    spec = item.get("spec")
    if _is_serialisable(spec):
        return StoredObject(key, revision, None, any(flags), spec)
    return StoredObject(key, revision, _content(spec), any(flags))


def revision_of(fields: dict[str, Any], name: str) -> int:
    """Return a revision that an answer tells.

    Parameters
    ----------
    fields : dict[str, Any]
        Members of the answer.
    name : str
        The member.

    Returns
    -------
    int
        The revision.

    Raises
    ------
    PlatformUnavailableError
        When it is none.
    """
    revision = fields.get(name)
    if not _is_revision(revision):
        raise PlatformUnavailableError(f"odd answer: no revision {name}")
    return int(revision)  # type: ignore[arg-type]


def list_member(fields: dict[str, Any], name: str) -> list[Any]:
    """Return a list that an answer holds.

    Parameters
    ----------
    fields : dict[str, Any]
        Members of the answer.
    name : str
        The member.

    Returns
    -------
    list[Any]
        The list.

    Raises
    ------
    PlatformUnavailableError
        When it is none.
    """
    found = fields.get(name)
    if not isinstance(found, list):
        raise PlatformUnavailableError(f"odd answer: no list {name}")
    return found


def _is_revision(value: Any) -> bool:
    is_whole = isinstance(value, int) and not isinstance(value, bool)
    return is_whole and 0 <= value <= MAX_REVISION


def _is_serialisable(spec: Any) -> bool:
    """Tell whether a content that was read can be written again at any time."""
    if type(spec) is not dict or spec.get("encoding") == BINARY:
        return False
    try:
        orjson.dumps(spec)
    except TypeError:
        return False
    return True


def _content(spec: Any) -> bytes:
    if isinstance(spec, bytes):
        return spec
    try:
        if isinstance(spec, dict) and spec.get("encoding") == BINARY:
            return base64.b64decode(spec["data"])
        return json.dumps(spec).encode()
    except MALFORMED:
        return UNREADABLE


def _split_answer(body: bytes) -> Any:
    """Return the members of an answer that cannot be read as a whole."""
    try:
        return {
            name: (
                [_split_object(part) for part in _split_at_commas(value)]
                if name in _LISTS
                else read_json(value)
            )
            for name, value in _members(body)
        }
    except (ValueError, RecursionError) as error:
        detail = f"odd answer: {type(error).__name__}"
        raise PlatformUnavailableError(detail) from error


def _split_object(text: bytes) -> Any:
    """Return an object or event; members that cannot be read stay bytes."""
    try:
        return read_json(text)
    except (ValueError, RecursionError):
        pass
    try:
        members = list(_members(text))
    except (ValueError, RecursionError):
        return text
    return {
        name: _split_object(value) if name == _OBJECT else _parse_or_keep_bytes(value)
        for name, value in members
    }


def _parse_or_keep_bytes(text: bytes) -> Any:
    try:
        return read_json(text)
    except (ValueError, RecursionError):
        return text


def _members(text: bytes) -> Iterator[tuple[str, bytes]]:
    """Return names and values of an object's members, the values unread."""
    for part in _split_at_commas(text):
        token = _TOKEN.match(part)
        if token is None:
            raise ValueError("a member without a name")
        name = read_json(token.group())
        rest = part[token.end() :].lstrip()
        if not isinstance(name, str) or not rest.startswith(b":"):
            raise ValueError("a member without a value")
        yield name, rest[1:].strip()


def _split_at_commas(text: bytes) -> list[bytes]:
    """Return what stands between the commas of an object or a list."""
    text = text.strip()
    if text[:1] not in {b"[", b"{"}:
        raise ValueError("neither an object nor a list")
    parts: list[bytes] = []
    depth = 0
    begin = 1
    for token in _TOKEN.finditer(text):
        first = text[token.start()]
        if first in b"[{":
            depth += token.end() - token.start()
        elif first in b"]}":
            depth -= token.end() - token.start()
            if depth <= 0:
                break
        elif first in b"," and depth == 1:
            parts.append(text[begin : token.start()].strip())
            begin = token.end()
    if depth or token.end() != len(text):
        raise ValueError("brackets that don't match")
    parts.append(text[begin:-1].strip())
    return [] if parts == [b""] else parts
