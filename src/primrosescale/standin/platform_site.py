"""Serves the stand-in platform over HTTP."""

from __future__ import annotations

import base64
import json
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import unquote

from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

from primrosescale.process.exceptions import PlatformAnswerLostError
from primrosescale.process.exceptions import PlatformConflictError
from primrosescale.process.exceptions import PlatformError
from primrosescale.process.exceptions import PlatformLimitError
from primrosescale.process.transport.http_bodies import request_body
from primrosescale.process.transport.http_platform import fields_of_host
from primrosescale.process.transport.http_platform import host_from_fields

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure
    from twisted.web.server import Request

    from primrosescale.process.transport.platform import HostList
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.process.transport.platform import WatchResult
    from primrosescale.standin.memory_platform import MemoryPlatform

OK = 200
NO_CONTENT = 204
BAD_REQUEST = 400
NOT_FOUND = 404
PRECONDITION_FAILED = 412
TOO_LARGE = 413
SERVICE_UNAVAILABLE = 503
DEFAULT_PAGE_SIZE = 500


class PlatformResource(Resource):
    """HTTP resource for objects, watches and the list of hosts.

    Parameters
    ----------
    platform : MemoryPlatform
        The platform that is served.
    """

    isLeaf = True

    def __init__(self, platform: MemoryPlatform) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._platform = platform

    def render(self, request: Request) -> int:
        """Answer one request.

        Parameters
        ----------
        request : Request
            The request.

        Returns
        -------
        int
            `NOT_DONE_YET`: every answer comes after the store's latency.
        """
        gone: list[bool] = []
        request.notifyFinish().addErrback(lambda _: gone.append(True))
        parts = [unquote(part.decode()) for part in request.path.split(b"/")[2:]]
        answered = self._route(request, request.method.decode(), parts)
        if answered is None:
            _send_response(request, BAD_REQUEST, b"unknown call")
            return NOT_DONE_YET
        answered.addErrback(self._send_error, request, gone)
        answered.addErrback(lambda failure: failure.printTraceback())
        return NOT_DONE_YET

    def _route(
        self,
        request: Request,
        method: str,
        parts: list[str],
    ) -> Deferred[Any] | None:
        kind = parts[0] if parts else ""
        key = "/".join(parts[1:])
        if kind == "objects" and key:
            return self._serve_object(request, method, key)
        if kind == "objects" and method == "GET":
            limit = int(_query_argument(request, "limit", str(DEFAULT_PAGE_SIZE)))
            prefix = _query_argument(request, "prefix", "")
            listed = self._platform.list(
                prefix, _query_argument(request, "after", ""), limit
            )
            return listed.addCallback(
                lambda items: _send_json(request, _list_fields(items))
            )
        if kind == "watch" and method == "GET":
            since = int(_query_argument(request, "since", "0"))
            wait = float(_query_argument(request, "wait", "0"))
            watched = self._platform.watch(
                _query_argument(request, "prefix", ""), since, wait
            )
            return watched.addCallback(
                lambda found: _send_json(request, _watch_fields(found))
            )
        if kind == "hosts" and method == "GET":
            listing = self._platform.hosts(int(_query_argument(request, "since", "0")))
            foreign = self._platform.store.foreign_hosts
            return listing.addCallback(
                lambda found: _send_json(request, _host_fields(found, foreign))
            )
        if kind == "hosts" and method == "PUT":
            entry = host_from_fields(json.loads(request_body(request)))
            announced = self._platform.announce(entry)
            return announced.addCallback(lambda _: _send_response(request, OK, b""))
        return None

    def _serve_object(
        self, request: Request, method: str, key: str
    ) -> Deferred[Any] | None:
        if method == "GET":
            return self._platform.get(key).addCallback(_send_object, request)
        if method == "PUT":
            expected = _expected_version(request)
            written = self._platform.put(key, request_body(request), expected)
            return written.addCallback(lambda v: _send_response(request, OK, b"", v))
        if method == "DELETE":
            deleted = self._platform.delete(key)
            return deleted.addCallback(
                lambda _: _send_response(request, NO_CONTENT, b"")
            )
        return None

    def _send_error(self, failure: Failure, request: Request, gone: list[bool]) -> None:
        error = failure.value
        failure.trap(PlatformError)
        if gone:
            return
        if isinstance(error, PlatformConflictError):
            _send_response(
                request, PRECONDITION_FAILED, str(error).encode(), error.current
            )
        elif isinstance(error, PlatformLimitError):
            _send_response(request, TOO_LARGE, str(error).encode())
        elif isinstance(error, PlatformAnswerLostError):
            request.loseConnection()
        else:
            _send_response(request, SERVICE_UNAVAILABLE, str(error).encode())


def _expected_version(request: Request) -> int:
    tag = request.getHeader("If-Match")
    return int(tag.strip('"')) if tag else 0


def _query_argument(request: Request, name: str, default: str) -> str:
    values: list[bytes] = request.args.get(name.encode(), [])
    return values[0].decode() if values else default


def _send_object(found: StoredObject | None, request: Request) -> None:
    if found is None:
        _send_response(request, NOT_FOUND, b"")
    else:
        _send_response(request, OK, found.value, found.version)


def _list_fields(items: list[StoredObject]) -> dict[str, Any]:
    return {"items": [_object_fields(item) for item in items]}


def _watch_fields(found: WatchResult) -> dict[str, Any]:
    items = [_object_fields(item) for item in found.changes]
    return {"revision": found.revision, "items": items}


def _host_fields(found: HostList, foreign: list[Any]) -> dict[str, Any]:
    return {
        "version": found.version,
        "is_full": found.is_full,
        "hosts": [*foreign, *(fields_of_host(entry) for entry in found.entries)],
    }


def _object_fields(item: StoredObject) -> dict[str, Any]:
    value = base64.b64encode(item.value).decode()
    return {"key": item.key, "version": item.version, "value": value}


def _send_json(request: Request, fields: dict[str, Any]) -> None:
    _send_response(request, OK, json.dumps(fields).encode())


def _send_response(
    request: Request, status: int, body: bytes, version: int = 0
) -> None:
    if request.finished or getattr(request, "_disconnected", False):
        return
    request.setResponseCode(status)
    request.setHeader(b"content-length", str(len(body)).encode())
    if version:
        request.setHeader(b"ETag", f'"{version}"'.encode())
    request.write(body)
    request.finish()
