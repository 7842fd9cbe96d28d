"""Decodes answers of the object store so that a malformed object affects no other.

Anyone may have written the objects of the store.
"""

from __future__ import annotations

import base64
import json
from typing import Any

import orjson

from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.json_answer import read_answer
from primrosescale.process.transport.platform import StoredObject

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
    return read_answer(body, _LISTS, _OBJECT)


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
