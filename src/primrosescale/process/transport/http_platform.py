"""Client of the platform's HTTP API for objects and hosts, for routers and agents."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import quote
from urllib.parse import urlencode

from twisted.internet.defer import inlineCallbacks
from twisted.web.http_headers import Headers

from primrosescale.checked_values import MAX_INT64
from primrosescale.checked_values import checked_integer
from primrosescale.checked_values import checked_integer_text
from primrosescale.checked_values import checked_text
from primrosescale.connection.wire.ttypes import HostEntry
from primrosescale.ini.options import MAX_PORT
from primrosescale.process.exceptions import HostEntryError
from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformLimitError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.membership.members import AGENT_ROLE
from primrosescale.process.membership.members import ROUTER_ROLE
from primrosescale.process.transport.base_http_platform import BaseHttpPlatform
from primrosescale.process.transport.json_answer import read_answer
from primrosescale.process.transport.platform import MAX_VALUE_BYTES
from primrosescale.process.transport.platform import MUST_NOT_EXIST
from primrosescale.process.transport.platform import HostList
from primrosescale.process.transport.platform import StoredObject
from primrosescale.process.transport.platform import WatchResult

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from primrosescale.process.transport.http_client import Reply


OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 412
TOO_LARGE = 413
HOST_FIELDS = HostEntry.__slots__  # type: ignore[attr-defined]
# Types of the fields of a host entry that are not text.
HOST_FIELD_TYPES: dict[str, type] = {
    "port": int,
    "leaving": bool,
    "gone": bool,
    "version": int,
    "incarnation": int,
}
ROLES = frozenset({AGENT_ROLE, ROUTER_ROLE})
# Members of an answer that list objects.
_LISTS = ("items", "hosts")
# Maximum characters of an invalid value that an error message shows.
MAX_SHOWN_CHARACTERS = 60


class HttpPlatform(BaseHttpPlatform):
    """Accesses the platform's service over HTTP."""

    @inlineCallbacks
    def get(self, key: str) -> Generator[Any, Any, StoredObject | None]:
        """Read an object; see `Platform.get`."""
        reply = yield self._call("GET", f"/objects/{quote(key)}")
        if reply.status == NOT_FOUND:
            return None
        _require_status(reply, OK)
        return StoredObject(key, _tagged_version(reply), reply.body)

    @inlineCallbacks
    def put(self, key: str, value: bytes, expected: int) -> Generator[Any, Any, int]:
        """Write an object; see `Platform.put`."""
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformLimitError(key, len(value))
        headers = Headers()
        if expected == MUST_NOT_EXIST:
            headers.setRawHeaders("If-None-Match", ["*"])
        else:
            headers.setRawHeaders("If-Match", [f'"{expected}"'])
        path = f"/objects/{quote(key)}"
        reply = yield self._call("PUT", path, value, headers)
        if reply.status == CONFLICT:
            raise PlatformConflictError(key, _tagged_version(reply))
        if reply.status == TOO_LARGE:
            raise PlatformLimitError(key, len(value))
        _require_status(reply, OK)
        try:
            return _tagged_version(reply)
        except PlatformUnavailableError as error:
            raise PlatformAnswerLostError(error.problem) from error

    @inlineCallbacks
    def delete(self, key: str) -> Generator[Any, Any, None]:
        """Delete an object; see `Platform.delete`."""
        reply = yield self._call("DELETE", f"/objects/{quote(key)}", b"")
        if reply.status != NOT_FOUND:
            _require_status(reply, NO_CONTENT)

    @inlineCallbacks
    def list(
        self,
        prefix: str,
        after: str,
        limit: int,
    ) -> Generator[Any, Any, list[StoredObject]]:
        """Read objects; see `Platform.list`."""
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        reply = yield self._call("GET", f"/objects?{query}")
        _require_status(reply, OK)
        fields = read_answer(reply.body, _LISTS)
        return [_parse_object(item) for item in _items(fields, "items")]

    @inlineCallbacks
    def watch(
        self,
        prefix: str,
        since: int,
        wait: float,
    ) -> Generator[Any, Any, WatchResult]:
        """Wait for a change; see `Platform.watch`."""
        query = urlencode({"prefix": prefix, "since": since, "wait": wait})
        reply = yield self._call("GET", f"/watch?{query}", extra=wait)
        _require_status(reply, OK)
        fields = read_answer(reply.body, _LISTS)
        changes = tuple(_parse_object(item) for item in _items(fields, "items"))
        return WatchResult(_version(fields, "revision"), changes)

    @inlineCallbacks
    def hosts(self, since: int) -> Generator[Any, Any, HostList]:
        """Read the list of hosts; see `Platform.hosts`."""
        reply = yield self._call("GET", f"/hosts?since={since}")
        _require_status(reply, OK)
        fields = read_answer(reply.body, _LISTS)
        is_full = fields.get("is_full")
        if not isinstance(is_full, bool):
            raise PlatformUnavailableError("malformed answer: no flag is_full")
        entries, unreadable = [], []
        for item in _items(fields, "hosts"):
            try:
                entries.append(host_from_fields(item))
            except HostEntryError as error:
                unreadable.append(str(error))
        return HostList(
            _version(fields, "version"),
            is_full,
            tuple(entries),
            tuple(unreadable),
        )

    @inlineCallbacks
    def announce(self, entry: HostEntry) -> Generator[Any, Any, None]:
        """Write a host to the list; see `Platform.announce`."""
        body = json.dumps(fields_of_host(entry)).encode()
        reply = yield self._call("PUT", f"/hosts/{quote(entry.name)}", body)
        _require_status(reply, OK)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Headers | None = None,
        extra: float = 0.0,
    ) -> Deferred[Reply]:
        return self._client.call(method, "/v1" + path, body, headers, extra)


def host_from_fields(fields: Any) -> HostEntry:
    """Parse a host entry from its JSON fields.

    Parameters
    ----------
    fields : Any
        The decoded JSON value.

    Returns
    -------
    HostEntry
        The host.

    Raises
    ------
    HostEntryError
        If a field is missing or has an invalid type or value.
    """
    if not isinstance(fields, dict):
        raise HostEntryError(f"a {type(fields).__name__}")
    found: dict[str, Any] = {name: fields.get(name) for name in HOST_FIELDS}
    for name, value in found.items():
        # In Python bool is a subclass of int; True is not a valid number here.
        if type(value) is not HOST_FIELD_TYPES.get(name, str):
            raise HostEntryError(f"{name} is {_shown(value)}")
        if isinstance(value, str) and not _is_sendable(value):
            raise HostEntryError(f"{name} is {_shown(value)}")
    if not found["name"] or found["role"] not in ROLES:
        shown = f"{_shown(found['name'])}, {_shown(found['role'])}"
        raise HostEntryError(f"name and role are {shown}")
    counters = (found["version"], found["incarnation"])
    has_valid_counters = all(0 <= counter <= MAX_INT64 for counter in counters)
    if not 0 < found["port"] <= MAX_PORT or not has_valid_counters:
        shown = ", ".join(map(_shown, (found["port"], *counters)))
        raise HostEntryError(f"port, version and incarnation are {shown}")
    return HostEntry(**found)


def fields_of_host(entry: HostEntry) -> dict[str, Any]:
    """Return the JSON fields of a host entry.

    Parameters
    ----------
    entry : HostEntry
        The host.

    Returns
    -------
    dict[str, Any]
        The fields by name.
    """
    return {name: getattr(entry, name) for name in HOST_FIELDS}


def _is_sendable(text: str) -> bool:
    """Return whether a text of a host entry can be sent and logged."""
    try:
        checked_text(text)
    except ValueError:
        return False
    return True


def _shown(value: Any) -> str:
    """Return a short form of an invalid value for an error message.

    Python refuses to write very long numbers, and lists and objects that are nested as
    deeply as the parser takes them.
    """
    if isinstance(value, int) and abs(value) > MAX_INT64:
        return "a number of more than 64 bits"
    if isinstance(value, (list, dict)):
        return f"a {type(value).__name__}"
    return ascii(value)[:MAX_SHOWN_CHARACTERS]


def _items(fields: dict[str, Any], name: str) -> list[Any]:
    """Return a list of an answer."""
    found = fields.get(name)
    if not isinstance(found, list):
        raise PlatformUnavailableError(f"malformed answer: no list {name}")
    return found


def _tagged_version(reply: Reply) -> int:
    """Return the version of an object that its ETag names; 0 if there is none."""
    try:
        return checked_integer_text(reply.etag.strip('"') or "0", 0, MAX_INT64)
    except ValueError as error:
        raise PlatformUnavailableError(f"malformed answer: ETag: {error}") from error


def _version(fields: dict[str, Any], name: str) -> int:
    """Return a version number of an answer or of an object in it."""
    try:
        return checked_integer(fields.get(name), 0, MAX_INT64)
    except (TypeError, ValueError) as error:
        raise PlatformUnavailableError(f"malformed answer: {name}: {error}") from error


def _parse_object(item: Any) -> StoredObject:
    if not isinstance(item, dict) or not isinstance(item.get("key"), str):
        raise PlatformUnavailableError("malformed answer: an object without a key")
    try:
        value = base64.b64decode(item["value"])
    except (KeyError, TypeError, ValueError) as error:
        detail = f"malformed answer: value of {item['key']!a}: {error}"
        raise PlatformUnavailableError(detail) from error
    return StoredObject(item["key"], _version(item, "version"), value)


def _require_status(reply: Reply, status: int) -> None:
    if reply.status != status:
        raise PlatformUnavailableError(f"status {reply.status}")
