"""Client of the platform's service over HTTP."""

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
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformLimitError
from primrosescale.process.exceptions import PlatformUnavailableError
from primrosescale.process.transport.called_platform import CalledPlatform
from primrosescale.process.transport.platform import MAX_VALUE
from primrosescale.process.transport.platform import MUST_NOT_EXIST
from primrosescale.process.transport.platform import HostList
from primrosescale.process.transport.platform import StoredObject
from primrosescale.process.transport.platform import WatchResult

if TYPE_CHECKING:
    from collections.abc import Generator

    from twisted.internet.defer import Deferred

    from primrosescale.process.transport.http_call import Reply


OK = 200
NO_CONTENT = 204
NOT_FOUND = 404
CONFLICT = 412
TOO_LARGE = 413
HOST_FIELDS = HostEntry.__slots__  # type: ignore[attr-defined]


class HttpPlatform(CalledPlatform):
    """The platform's service over HTTP."""

    @inlineCallbacks
    def get(self, key: str) -> Generator[Any, Any, StoredObject | None]:
        """Read an object; see `Platform.get`."""
        reply = yield self._call("GET", f"/objects/{quote(key)}")
        if reply.status == NOT_FOUND:
            return None
        _require(reply, OK)
        return StoredObject(key, reply.etag, reply.body)

    @inlineCallbacks
    def put(self, key: str, value: bytes, expected: int) -> Generator[Any, Any, int]:
        """Write an object; see `Platform.put`."""
        if len(value) > MAX_VALUE:
            raise PlatformLimitError(key, len(value))
        headers = Headers()
        if expected == MUST_NOT_EXIST:
            headers.setRawHeaders("If-None-Match", ["*"])
        else:
            headers.setRawHeaders("If-Match", [f'"{expected}"'])
        path = f"/objects/{quote(key)}"
        reply = yield self._call("PUT", path, value, headers)
        if reply.status == CONFLICT:
            raise PlatformConflictError(key, reply.etag)
        if reply.status == TOO_LARGE:
            raise PlatformLimitError(key, len(value))
        _require(reply, OK)
        return int(reply.etag)

    @inlineCallbacks
    def delete(self, key: str) -> Generator[Any, Any, None]:
        """Delete an object; see `Platform.delete`."""
        reply = yield self._call("DELETE", f"/objects/{quote(key)}", b"")
        if reply.status != NOT_FOUND:
            _require(reply, NO_CONTENT)

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
        _require(reply, OK)
        return [_stored(item) for item in json.loads(reply.body)["items"]]

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
        _require(reply, OK)
        fields = json.loads(reply.body)
        changes = tuple(_stored(item) for item in fields["items"])
        return WatchResult(int(fields["revision"]), changes)

    @inlineCallbacks
    def hosts(self, since: int) -> Generator[Any, Any, HostList]:
        """Read the list of hosts; see `Platform.hosts`."""
        reply = yield self._call("GET", f"/hosts?since={since}")
        _require(reply, OK)
        fields = json.loads(reply.body)
        entries = tuple(host_from_fields(item) for item in fields["hosts"])
        return HostList(int(fields["version"]), bool(fields["is_full"]), entries)

    @inlineCallbacks
    def announce(self, entry: HostEntry) -> Generator[Any, Any, None]:
        """Put a host on the list; see `Platform.announce`."""
        body = json.dumps(fields_of_host(entry)).encode()
        reply = yield self._call("PUT", f"/hosts/{quote(entry.name)}", body)
        _require(reply, OK)

    def _call(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: Headers | None = None,
        extra: float = 0.0,
    ) -> Deferred[Reply]:
        return self._caller.call(method, "/v1" + path, body, headers, extra)


def host_from_fields(fields: Any) -> HostEntry:
    """Return a host from its JSON fields.

    Parameters
    ----------
    fields : Any
        A mapping.

    Returns
    -------
    HostEntry
        The host.
    """
    return HostEntry(**{name: fields[name] for name in HOST_FIELDS})


def fields_of_host(entry: HostEntry) -> dict[str, Any]:
    """Return a host's JSON fields.

    Parameters
    ----------
    entry : HostEntry
        The host.

    Returns
    -------
    dict[str, Any]
        A mapping.
    """
    return {name: getattr(entry, name) for name in HOST_FIELDS}


def _stored(item: Any) -> StoredObject:
    value = base64.b64decode(item["value"])
    return StoredObject(item["key"], int(item["version"]), value)


def _require(reply: Reply, status: int) -> None:
    if reply.status != status:
        raise PlatformUnavailableError(f"status {reply.status}")
