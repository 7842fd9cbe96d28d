"""A stand-in for the platform's object store, with its faults.

It is the server for the client in ``platform/object_platform.py``; only this module
and the ``platform`` package contain the store's field names.
"""

from __future__ import annotations

import copy
import json
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET

OK = 200
CREATED = 201
NOT_FOUND = 404
CONFLICT = 409
HISTORY_GONE = 410
UNAVAILABLE = 503
DEFAULT_PAGE_SIZE = 500


@dataclass(frozen=True, slots=True)
class RawContent:
    """Content that is sent as it is, whether it can be decoded or not.

    Parameters
    ----------
    data : bytes
        Bytes sent in place of the content's JSON text.
    """

    data: bytes


def foreign_entries(good: dict[str, Any]) -> dict[str, Any]:
    """Return unusable contents that another writer might write as a target's entry.

    Parameters
    ----------
    good : dict[str, Any]
        A valid entry with all its fields.

    Returns
    -------
    dict[str, Any]
        Contents that name no usable target, by what is wrong with them.
    """
    bad_values: dict[str, list[Any]] = {
        "service": [None, 7, "nobody-knows-it", ["portal"], "\ud800"],
        "address": [None, 7, "nowhere", "127.0.0.1", "127.0.0.1:0", ":80", ["a", 1]],
        "zone": [None, 7, True, {}],
        "state": [None, True, 1, "resting", "READY", ""],
        "slots": [None, True, "16", -1, 1.5, float("nan"), float("inf"), [16]],
        "born": [True, "1790000000000", 1.5, -1, float("nan")],
    }
    found: dict[str, Any] = {
        f"no {name}": {k: v for k, v in good.items() if k != name}
        for name in bad_values
        # An entry without a start is valid: not every writer reports one.
        if name != "born"
    }
    for name, values in bad_values.items():
        for value in values:
            found[f"{name} {value!a}"] = {**good, name: value}
    whole_contents: list[Any] = [None, 7, True, "text", [], {}, [good]]
    found.update({f"whole {whole!a:.20}": whole for whole in whole_contents})
    text = json.dumps(good).encode()
    found["bytes, none of a text"] = RawContent(b'"\xff\xfe\x80"')
    found["bytes, beside a good text"] = RawContent(
        text.replace(b"{", b'{"note": "\xc3(", ', 1)
    )
    return found


class StoreFault(Enum):
    """Fault with which a call is answered, or not answered."""

    BUSY = 503
    MANY = 429
    SILENT = "silent"
    RESET = "reset"
    NONSENSE = "nonsense"
    LOST = "lost"


@dataclass(slots=True)
class _WaitingWatch:
    """A watch that waits for a change."""

    request: Any
    kind: str
    since: int
    timer: Any = None
    # Whether it has waited for as long as it was to, but could not be answered.
    is_overdue: bool = False


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store; may be changed while it runs.

    Parameters
    ----------
    next_calls : list[StoreFault]
        Faults of the next calls, in order.
    all_calls : StoreFault | None
        Fault of every call; None for none.
    page : int
        Maximum number of objects on one page of a list.
    drops_watch_events : bool
        Whether watches are not answered, neither at a change nor when their time to
        wait is over; see `ObjectPlatformStore.catch_up`.
    is_stale : bool
        Whether reads that allow stale data get a copy; see
        `ObjectPlatformStore.fall_behind`.
    """

    next_calls: list[StoreFault] = field(default_factory=list)
    all_calls: StoreFault | None = None
    page: int = DEFAULT_PAGE_SIZE
    drops_watch_events: bool = False
    is_stale: bool = False

    def next_fault(self) -> StoreFault | None:
        """Return the fault of the next call.

        Returns
        -------
        StoreFault | None
            The fault; None for a call that succeeds.
        """
        if self.all_calls is not None:
            return self.all_calls
        return self.next_calls.pop(0) if self.next_calls else None


class ObjectPlatformStore(Resource):
    """Objects by kind and name, with revisions, conditional writes and watches.

    Parameters
    ----------
    reactor : Any
        Source of time and timers.
    """

    isLeaf = True

    def __init__(self, reactor: Any = default_reactor) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self._reactor = reactor
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._revision = 1
        self._forgotten_revision = 0
        self._history: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._waiting_watches: list[_WaitingWatch] = []
        # The objects that stale reads return, with their revision.
        self._stale: tuple[dict[str, dict[str, dict[str, Any]]], int] = ({}, 1)
        self.faults = StoreFaults()
        self.calls: list[str] = []

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object unconditionally, as the operator or a target does.

        Parameters
        ----------
        kind : str
            Its kind.
        name : str
            Its name.
        spec : Any
            Its content.

        Returns
        -------
        int
            The store's revision.
        """
        self._revision += 1
        known = self._objects.setdefault(kind, {}).get(name)
        created = known["metadata"]["create_revision"] if known else self._revision
        meta: dict[str, Any] = {
            "name": name,
            "revision": self._revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        item: dict[str, Any] = {"metadata": meta, "spec": spec, "status": None}
        self._objects[kind][name] = item
        self._record_change(kind, item, is_deleted=False)
        return self._revision

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object.

        Parameters
        ----------
        kind : str
            Its kind.
        name : str
            Its name.

        Returns
        -------
        bool
            Whether it existed.
        """
        item = self._objects.get(kind, {}).pop(name, None)
        if item is None:
            return False
        self._revision += 1
        self._record_change(kind, item, is_deleted=True)
        return True

    def content(self, kind: str, name: str) -> Any:
        """Return a copy of an object's content, to be written again or changed.

        Parameters
        ----------
        kind : str
            Its kind.
        name : str
            Its name.

        Returns
        -------
        Any
            The copy; None when there is no such object.
        """
        item = self._objects.get(kind, {}).get(name)
        return copy.deepcopy(item["spec"]) if item else None

    def fall_behind(self) -> None:
        """Have stale reads return the present objects from now on."""
        self._stale = (copy.deepcopy(self._objects), self._revision)
        self.faults.is_stale = True

    def catch_up(self) -> None:
        """End stale reads and report the missed changes to waiting watches."""
        self.faults.is_stale = self.faults.drops_watch_events = False
        for waiting_watch in list(self._waiting_watches):
            has_events = self._events(waiting_watch.kind, waiting_watch.since)
            if has_events or waiting_watch.is_overdue:
                _cancel(waiting_watch.timer)
                self._end_watch(waiting_watch)

    def forget_history(self) -> None:
        """Drop the history of changes and abort all waiting watches."""
        self._forgotten_revision = self._revision
        self._history.clear()
        for waiting_watch in list(self._waiting_watches):
            self._waiting_watches.remove(waiting_watch)
            _cancel(waiting_watch.timer)
            waiting_watch.request.transport.abortConnection()

    def render(self, request: Any) -> int:
        """Answer one call.

        Parameters
        ----------
        request : Any
            The call.

        Returns
        -------
        int
            `NOT_DONE_YET`: the answer may come later or never.
        """
        self.calls.append(f"{request.method.decode()} {request.uri.decode()}")
        fault = self.faults.next_fault()
        parts = [part.decode() for part in request.path.split(b"/")[3:]]
        kind, name = parts[0], "/".join(parts[1:])
        if fault in {StoreFault.BUSY, StoreFault.MANY}:
            _send_json(request, int(fault.value), {"error": "busy"})
        elif fault is StoreFault.RESET:
            request.transport.abortConnection()
        elif fault is StoreFault.NONSENSE:
            _send_response(request, OK, b"<html>")
        elif fault is StoreFault.LOST:
            self._act(request, kind, name)
            request.transport.abortConnection()
        elif fault is None:
            status, fields = self._act(request, kind, name)
            if fields is not None:
                _send_json(request, status, fields)
        return NOT_DONE_YET

    def _act(self, request: Any, kind: str, name: str) -> tuple[int, Any]:
        method = request.method
        if method == b"GET":
            if name:
                item = self._read(request)[0].get(kind, {}).get(name)
                return (OK, item) if item else (NOT_FOUND, {"error": "none"})
            if b"watch" in request.args:
                return self._watch(request, kind)
            return OK, self._list(request, kind)
        if method == b"DELETE":
            return (OK, {}) if self.remove(kind, name) else (NOT_FOUND, {})
        body = json.loads(request.content.read())
        meta = body["metadata"]
        name = name or meta["name"]
        item = self._objects.get(kind, {}).get(name)
        if method == b"POST" and item is not None:
            return CONFLICT, item
        if method == b"PUT" and item is None:
            return NOT_FOUND, {"error": "none"}
        wanted = meta.get("revision")
        if item is not None and wanted not in {None, item["metadata"]["revision"]}:
            return CONFLICT, item
        self.write(kind, name, body["spec"])
        return (CREATED if method == b"POST" else OK), self._objects[kind][name]

    def waiting(self, kind: str) -> int:
        """Return how many watches of a kind wait for a change.

        Parameters
        ----------
        kind : str
            The kind.

        Returns
        -------
        int
            Number of watches.
        """
        return sum(
            1 for waiting_watch in self._waiting_watches if waiting_watch.kind == kind
        )

    def _list(self, request: Any, kind: str) -> dict[str, Any]:
        after = request.args.get(b"after", [b""])[0].decode()
        objects, revision = self._read(request)
        names = sorted(n for n in objects.get(kind, {}) if n > after)
        page = names[: self.faults.page]
        return {
            "items": [objects[kind][n] for n in page],
            "truncated": len(names) > len(page),
            "current_rev": revision,
        }

    def _read(self, request: Any) -> tuple[dict[str, dict[str, dict[str, Any]]], int]:
        """Return the objects that a call reads, and their revision."""
        if self.faults.is_stale and request.args.get(b"allow_stale") == [b"1"]:
            return self._stale
        return self._objects, self._revision

    def _watch(self, request: Any, kind: str) -> tuple[int, Any]:
        since = int(request.args[b"watch"][0])
        if since < self._forgotten_revision:
            return HISTORY_GONE, {"error": "gone"}
        events = self._events(kind, since)
        wait = int(request.args.get(b"wait_ms", [b"0"])[0]) / 1000
        if (events or not wait) and not self.faults.drops_watch_events:
            return OK, {"events": events, "current_rev": self._revision}
        waiting_watch = _WaitingWatch(request, kind, since)
        waiting_watch.timer = self._reactor.callLater(
            wait, self._end_watch, waiting_watch
        )
        self._waiting_watches.append(waiting_watch)
        request.notifyFinish().addErrback(lambda _: self._remove_watch(waiting_watch))
        return OK, None

    def _end_watch(self, waiting_watch: _WaitingWatch) -> None:
        # An answer without events would claim that nothing has changed.
        if self.faults.drops_watch_events:
            waiting_watch.is_overdue = True
            return
        self._waiting_watches.remove(waiting_watch)
        events = self._events(waiting_watch.kind, waiting_watch.since)
        _send_json(
            waiting_watch.request, OK, {"events": events, "current_rev": self._revision}
        )

    def _remove_watch(self, waiting_watch: _WaitingWatch) -> None:
        if waiting_watch in self._waiting_watches:
            self._waiting_watches.remove(waiting_watch)
            _cancel(waiting_watch.timer)

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {"deleted": is_deleted, "object": item}
            for revision, of_kind, is_deleted, item in self._history
            if revision > since and of_kind == kind
        ]

    def _record_change(
        self, kind: str, item: dict[str, Any], *, is_deleted: bool
    ) -> None:
        self._history.append((self._revision, kind, is_deleted, copy.deepcopy(item)))
        for waiting_watch in list(self._waiting_watches):
            if waiting_watch.kind == kind and not self.faults.drops_watch_events:
                waiting_watch.timer.cancel()
                self._end_watch(waiting_watch)


def _cancel(timer: Any) -> None:
    if timer.active():
        timer.cancel()


def _send_json(request: Any, status: int, fields: Any) -> None:
    raw: dict[bytes, bytes] = {}

    def placeholder(content: RawContent) -> str:
        name = f"raw content {len(raw)}"
        raw[json.dumps(name).encode()] = content.data
        return name

    body = json.dumps(fields, default=placeholder).encode()
    for name, data in raw.items():
        body = body.replace(name, data, 1)
    _send_response(request, status, body)


def _send_response(request: Any, status: int, body: bytes) -> None:
    if request.finished or request._disconnected:  # noqa: SLF001 - twisted has no property
        return
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", b"application/json")
    request.setHeader(b"Content-Length", b"%d" % len(body))
    request.write(body)
    request.finish()
