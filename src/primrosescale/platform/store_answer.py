"""Decodes answers of the object store so that a malformed object affects no other.

Anyone may have written the objects of the store. An object that is nested too
deeply for the parser, contains invalid UTF-8, or a number of thousands of digits
makes the whole answer unparsable, and with it all other objects. Such an answer is
split at its brackets and commas first, and each part is parsed separately.
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
# Revisions are sent to peer routers as signed 64-bit integers.
MAX_REVISION = 2**63 - 1
# Content of a malformed object, from which no record can be decoded.
UNREADABLE = b""
# Exceptions that encoding or decoding malformed content may raise.
MALFORMED = (KeyError, TypeError, ValueError, AttributeError, RecursionError)

# Members of an answer that list objects, and the member of an event that contains
# one.
_LISTS = ("items", "events")
_OBJECT = "object"
# A string, a run of opening or of closing brackets, or a comma.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[{]+|[\]}]+|,', re.DOTALL)


def answer_fields(body: bytes) -> dict[str, Any]:
    """Parse an answer and return its members.

    Parameters
    ----------
    body : bytes
        The body of the answer.

    Returns
    -------
    dict[str, Any]
        The members. A member of an object that cannot be parsed is returned as
        the bytes received.

    Raises
    ------
    PlatformUnavailableError
        When the answer is not a JSON object, or cannot be split.
    """
    try:
        fields = read_json(body)
    except (ValueError, RecursionError):
        fields = _split_answer(body)
    if not isinstance(fields, dict):
        raise PlatformUnavailableError("malformed answer: not an object")
    return fields


def stored_object(kind: str, item: Any, *, deleted: Any = False) -> StoredObject:
    """Decode an object of an answer.

    Parameters
    ----------
    kind : str
        Kind of the object.
    item : Any
        The parsed JSON value of the object.
    deleted : Any
        The answer's flag for a deleted object.

    Returns
    -------
    StoredObject
        The object. Its name is empty when it cannot be read, and its content is
        empty when the object is malformed.
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
    """Return a revision contained in an answer.

    Parameters
    ----------
    fields : dict[str, Any]
        Members of the answer.
    name : str
        Name of the member.

    Returns
    -------
    int
        The revision.

    Raises
    ------
    PlatformUnavailableError
        When the member is not a valid value.
    """
    revision = fields.get(name)
    if not _is_revision(revision):
        raise PlatformUnavailableError(f"malformed answer: no revision {name}")
    return int(revision)  # type: ignore[arg-type]


def list_member(fields: dict[str, Any], name: str) -> list[Any]:
    """Return a list contained in an answer.

    Parameters
    ----------
    fields : dict[str, Any]
        Members of the answer.
    name : str
        Name of the member.

    Returns
    -------
    list[Any]
        The list.

    Raises
    ------
    PlatformUnavailableError
        When the member is not a valid value.
    """
    found = fields.get(name)
    if not isinstance(found, list):
        raise PlatformUnavailableError(f"malformed answer: no list {name}")
    return found


def _is_revision(value: Any) -> bool:
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    return is_integer and 0 <= value <= MAX_REVISION


def _is_serialisable(spec: Any) -> bool:
    """Return whether parsed content can be serialised again at any time."""
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
    """Parse the members of an answer that cannot be parsed as a whole."""
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
        detail = f"malformed answer: {type(error).__name__}"
        raise PlatformUnavailableError(detail) from error


def _split_object(text: bytes) -> Any:
    """Parse an object or event; members that cannot be parsed stay bytes."""
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
    """Yield the names and the unparsed values of an object's members."""
    for part in _split_at_commas(text):
        token = _TOKEN.match(part)
        if token is None:
            raise ValueError("member without a name")
        name = read_json(token.group())
        rest = part[token.end() :].lstrip()
        if not isinstance(name, str) or not rest.startswith(b":"):
            raise ValueError("member without a value")
        yield name, rest[1:].strip()


def _split_at_commas(text: bytes) -> list[bytes]:
    """Split the content of an object or a list at its commas."""
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
        raise ValueError("brackets do not match")
    parts.append(text[begin:-1].strip())
    return [] if parts == [b""] else parts
