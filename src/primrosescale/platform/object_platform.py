"""Client of the users' object store, for entry routers; implements `Platform`."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote
from urllib.parse import urlencode

from twisted.internet.defer import inlineCallbacks
from twisted.web.http_headers import Headers

from primrosescale.connection.wire.ttypes import HostEntry
from primrosescale.platform.records import ROUTERS
from primrosescale.platform.store_answer import BINARY
from primrosescale.platform.store_answer import answer_fields
from primrosescale.platform.store_answer import list_member
from primrosescale.platform.store_answer import revision_of
from primrosescale.platform.store_answer import stored_object
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformHistoryGoneError
from primrosescale.process.exceptions import PlatformLimitError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.base_http_platform import BaseHttpPlatform
from primrosescale.process.transport.platform import MAX_VALUE_BYTES
from primrosescale.process.transport.platform import MUST_NOT_EXIST
from primrosescale.process.transport.platform import HostList
from primrosescale.process.transport.platform import WatchResult

if TYPE_CHECKING:
    from collections.abc import Generator

    from primrosescale.process.transport.http_client import Reply
    from primrosescale.process.transport.platform import StoredObject


OK = 200
CREATED = 201
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 409
HISTORY_GONE = 410
TOO_LARGE = 413
BASE = "/api/objects/"
JSON_TYPE = Headers({"Content-Type": ["application/json"]})
# Maximum number of pages of a list that are read; a page has 500 objects.
MAX_PAGES = 1000


class ObjectPlatform(BaseHttpPlatform):
    """Reads, writes and watches objects in the users' object store.

    Keys are ``kind/name``. Values are JSON texts; other bytes are stored as base64
    within a JSON object.
    """

    @inlineCallbacks
    def get(self, key: str) -> Generator[Any, Any, StoredObject | None]:
        """Read an object; see `Platform.get`."""
        reply = yield self._client.call("GET", _path(key))
        if reply.status == NOT_FOUND:
            return None
        _require_status(reply, OK)
        return stored_object(_kind(key), answer_fields(reply.body))

    @inlineCallbacks
    def put(self, key: str, value: bytes, expected: int) -> Generator[Any, Any, int]:
        """Write an object; see `Platform.put`."""
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformLimitError(key, len(value))
        meta: dict[str, Any] = {"name": _name(key)}
        method, path = "POST", BASE + quote(_kind(key))
        if expected != MUST_NOT_EXIST:
            meta["revision"] = expected
            method, path = "PUT", _path(key)
        body = json.dumps({"metadata": meta, "spec": _spec(value)}).encode()
        reply = yield self._client.call(method, path, body, JSON_TYPE)
        if reply.status == CONFLICT:
            raise PlatformConflictError(key, _revision(reply))
        if reply.status == NOT_FOUND:
            raise PlatformConflictError(key, MUST_NOT_EXIST)
        if reply.status == TOO_LARGE:
            raise PlatformLimitError(key, len(value))
        _require_status(reply, OK, CREATED)
        return _revision(reply)

    @inlineCallbacks
    def delete(self, key: str) -> Generator[Any, Any, None]:
        """Delete an object; see `Platform.delete`."""
        reply = yield self._client.call("DELETE", _path(key), b"")
        if reply.status != NOT_FOUND:
            _require_status(reply, OK, NO_CONTENT)

    @inlineCallbacks
    def list(
        self,
        prefix: str,
        after: str,
        limit: int,
    ) -> Generator[Any, Any, list[StoredObject]]:
        """Read objects; see `Platform.list`."""
        found, _ = yield self._read_pages(prefix, _name(after), limit)
        return list(found[:limit])

    @inlineCallbacks
    def watch(
        self,
        prefix: str,
        since: int,
        wait: float,
    ) -> Generator[Any, Any, WatchResult]:
        """Wait for a change; see `Platform.watch`."""
        if not since:
            found, revision = yield self._read_pages(prefix, "", None)
            return WatchResult(revision, found)
        kind = _kind(prefix)
        query = urlencode({"watch": since, "wait_ms": int(wait * 1000)})
        path = f"{BASE}{quote(kind)}?{query}"
        reply = yield self._client.call("GET", path, extra=wait)
        if reply.status == HISTORY_GONE:
            raise PlatformHistoryGoneError(prefix, since)
        _require_status(reply, OK)
        fields = answer_fields(reply.body)
        changes = [
            _changed_object(kind, event) for event in list_member(fields, "events")
        ]
        wanted = tuple(item for item in changes if item.key.startswith(prefix))
        revision = revision_of(fields, "current_rev")
        return WatchResult(revision, wanted, reply.read_seconds)

    @inlineCallbacks
    def hosts(self, since: int) -> Generator[Any, Any, HostList]:
        """Read the list of routers; see `Platform.hosts`."""
        found = yield self.watch(ROUTERS, since, 0.0)
        entries = tuple(_host_entry(item) for item in found.changes)
        return HostList(found.revision, not since, entries)

    @inlineCallbacks
    def announce(self, entry: HostEntry) -> Generator[Any, Any, None]:
        """Add, update or remove a router on the list; see `Platform.announce`."""
        key = ROUTERS + entry.name
        if entry.gone:
            yield self.delete(key)
            return
        fields = {name: getattr(entry, name) for name in HostEntry.__slots__}  # type: ignore[attr-defined]
        value = json.dumps(fields).encode()
        try:
            yield self.put(key, value, MUST_NOT_EXIST)
        except PlatformConflictError as conflict:
            yield self.put(key, value, conflict.current)

    @inlineCallbacks
    def _read_pages(
        self,
        prefix: str,
        after: str,
        limit: int | None,
    ) -> Generator[Any, Any, tuple[tuple[StoredObject, ...], int]]:
        """Read a list page by page; return objects and the first page's revision."""
        kind = _kind(prefix)
        found: list[StoredObject] = []
        revision: int | None = None
        for _ in range(MAX_PAGES):
            query = f"?{_query(after=after)}" if after else ""
            reply = yield self._client.call("GET", f"{BASE}{quote(kind)}{query}")
            _require_status(reply, OK)
            fields = answer_fields(reply.body)
            page = [stored_object(kind, item) for item in list_member(fields, "items")]
            if revision is None:
                revision = revision_of(fields, "current_rev")
            found += [item for item in page if item.key.startswith(prefix)]
            is_enough = limit is not None and len(found) >= limit
            if not fields.get("truncated") or not page or is_enough:
                break
            after = _last_name(after, page)
        return tuple(found), revision or 0


def _kind(key: str) -> str:
    return key.split("/", 1)[0]


def _name(key: str) -> str:
    return key.split("/", 1)[-1]


def _path(key: str) -> str:
    return f"{BASE}{quote(_kind(key))}/{quote(_name(key), safe='')}"


def _query(**members: Any) -> str:
    # A name may contain a lone surrogate.
    return urlencode(members, errors="surrogatepass")


def _last_name(after: str, page: list[StoredObject]) -> str:
    """Return the name after which the next page begins.

    Objects after the last readable name are read again with the next page. When a
    page has no new name, the rest of the list cannot be read, and the whole read
    fails, as an incomplete list must not be used.
    """
    names = [name for name in (_name(item.key) for item in page) if name]
    if not names or names[-1] == after:
        raise PlatformUnavailableError("malformed answer: a page without a new name")
    return names[-1]


def _changed_object(kind: str, event: Any) -> StoredObject:
    if not isinstance(event, dict):
        return stored_object(kind, None)
    deleted = event.get("deleted", False)
    return stored_object(kind, event.get("object"), deleted=deleted)


def _revision(reply: Reply) -> int:
    meta = answer_fields(reply.body).get("metadata")
    if not isinstance(meta, dict):
        return 0
    return revision_of({"revision": 0, **meta}, "revision")


def _spec(value: bytes) -> Any:
    try:
        return json.loads(value)
    except ValueError:
        return {"encoding": BINARY, "data": base64.b64encode(value).decode()}


def _host_entry(item: StoredObject) -> HostEntry:
    try:
        fields = json.loads(item.value) if not item.is_deleted else None
        if fields is not None:
            return HostEntry(**fields)
    except (ValueError, TypeError, RecursionError) as error:
        raise PlatformUnavailableError(
            f"malformed entry {item.key}: {error}"
        ) from error
    name = _name(item.key)
    return HostEntry(
        name,
        "router",
        "",
        0,
        "",
        "",
        "",
        leaving=True,
        gone=True,
        version=0,
        incarnation=0,
    )


def _require_status(reply: Reply, *statuses: int) -> None:
    if reply.status not in statuses:
        raise PlatformUnavailableError(f"status {reply.status}")
