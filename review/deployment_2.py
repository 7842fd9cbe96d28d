"""A small deployment on loopback addresses for the cases of the second review.

The routers are the project's own program, as separate processes with the command of
the deploy file. The store, the engines and the consumers are stand-ins in the process
of the case. They do what the users' pages say and use the standard library only.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import itertools
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

HELD, BROKEN, CANNOT_RUN = 0, 1, 2
ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HOST = "ficu95.example"
SERVER_PORTS = (12_000, 31_000)
PAGE_OBJECTS = 500
READ_BYTES = 65_536
MOST_SECONDS = 110.0
PROBE_SECONDS = 1.0
MOST_MISSES = 2
_TAKEN_PORTS: set[tuple[str, int]] = set()
MAX_WAIT_SECONDS = 30.0
BOUNDS = {
    "seed_lag_s": 3,
    "reuse_after_s": 2,
    "contact_ms": 3000,
    "ack_ms": 4000,
    "catch_up_s": 4,
    "drain_ms": 2000,
    "grace_s": 8,
    "loss_slack_ms": 200,
    "config_apply_ms": 2000,
    "rollback_slack_ms": 250,
    "max_skew_ms": 5000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 54,
    "recover_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "cap_x": 2,
}


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: Path) -> None:
        self._began_at = time.monotonic()
        self._file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.write(text)
        print(text, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass(slots=True)
class Message:
    """A request that a stand-in has read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one HTTP request with a length or in chunks; None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = b""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await reader.readexactly(size)
                await reader.readline()
            await reader.readline()
        elif headers.get("content-length"):
            body = await reader.readexactly(int(headers["content-length"]))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(method, target, headers, body)


async def read_chunks(reader: asyncio.StreamReader) -> tuple[bytes, bool]:
    """Read a body in chunks; return it and whether it is complete."""
    body = b""
    try:
        while line := (await reader.readline()).strip():
            size = int(line, 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                return body, True
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    return body, False


def answer_bytes(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an HTTP answer with a length."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's store: objects by kind and name, with watches.

    In a drill it goes away, comes back from an older copy and raises its era.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._copies: list[tuple[float, int, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.revision = 1
        self.era = 1
        self.port = free_port(LOOPBACK)
        self._save_copy()

    @property
    def address(self) -> str:
        """Return where it listens."""
        return f"{LOOPBACK}:{self.port}"

    async def start(self) -> None:
        """Listen for calls."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    async def stop(self) -> None:
        """Close all channels and stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        self._changed.set()
        await asyncio.sleep(0)

    async def drill(self, copy_age: float, away: float) -> None:
        """Be away for some seconds and come back from an older copy."""
        limit = time.monotonic() - copy_age
        await self.stop()
        await asyncio.sleep(away)
        _, revision, objects = [it for it in self._copies if it[0] <= limit][-1]
        lost = self.revision
        self._objects = copy.deepcopy(objects)
        self._events = [it for it in self._events if it[0] <= revision]
        self.revision = revision
        self.era += 1
        self._copies = []
        self._save_copy()
        await self.start()
        self._record.say(
            f"store: back from a copy {copy_age:.1f} s old: revision {lost} before, "
            f"{revision} now, era {self.era}"
        )

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(self._objects.get(kind, {}))

    def put(self, kind: str, name: str, spec: dict[str, Any]) -> int:
        """Write an object as the operator or an engine does; return the revision."""
        known = self._objects.get(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return self.revision
        self._write(kind, name, spec)
        self._record.write(f"store: wrote {kind}/{name}, revision {self.revision}")
        return self.revision

    def delete(self, kind: str, name: str) -> int:
        """Remove an object; return the revision."""
        known = self._objects.get(kind, {}).pop(name, None)
        if known is not None:
            self.revision += 1
            known["metadata"]["revision"] = self.revision
            self._add_event(kind, known, is_deleted=True)
            self._record.write(
                f"store: removed {kind}/{name}, revision {self.revision}"
            )
        return self.revision

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self.revision += 1
        objects = self._objects.setdefault(kind, {})
        created = self.revision
        if name in objects:
            created = objects[name]["metadata"]["create_revision"]
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_revision": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": {},
        }
        objects[name] = item
        self._add_event(kind, item, is_deleted=False)
        return item

    def _add_event(self, kind: str, item: dict[str, Any], *, is_deleted: bool) -> None:
        event = (self.revision, kind, copy.deepcopy(item), is_deleted)
        self._events.append(event)
        self._save_copy()
        self._changed.set()
        self._changed = asyncio.Event()

    def _save_copy(self) -> None:
        objects = copy.deepcopy(self._objects)
        self._copies.append((time.monotonic(), self.revision, objects))

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                status, fields = await self._answer(message)
                headers = {
                    "Content-Type": "application/json",
                    "Store-Era": str(self.era),
                }
                writer.write(answer_bytes(status, headers, json.dumps(fields).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer or the case has ended
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, message: Message) -> tuple[int, dict[str, Any]]:
        parts = urlsplit(message.target)
        path = [unquote(it) for it in parts.path.split("/")[3:]]
        query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        kind, name = path[0], path[1] if len(path) > 1 else ""
        if message.method == "GET":
            if name:
                found = self._objects.get(kind, {}).get(name)
                return (200, found) if found is not None else (404, {})
            if "watch" in query:
                wait = min(MAX_WAIT_SECONDS, float(query.get("wait_ms", 0)) / 1000)
                return await self._watch(kind, int(query["watch"]), wait)
            return self._list(kind, query.get("after", ""))
        if message.method == "DELETE":
            if name not in self._objects.get(kind, {}):
                return 404, {}
            self.delete(kind, name)
            return 200, {}
        return self._change(message, kind, name)

    def _list(self, kind: str, after: str) -> tuple[int, dict[str, Any]]:
        names = [it for it in self.names(kind) if it > after]
        page = [self._objects[kind][it] for it in names[:PAGE_OBJECTS]]
        return 200, {
            "items": page,
            "truncated": len(names) > PAGE_OBJECTS,
            "current_rev": self.revision,
        }

    async def _watch(
        self, kind: str, since: int, wait: float
    ) -> tuple[int, dict[str, Any]]:
        if since > self.revision:
            return 410, {}
        ends_at = time.monotonic() + wait
        while True:
            found = [it for it in self._events if it[0] > since and it[1] == kind]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)
        events = [{"object": item, "deleted": gone} for _, _, item, gone in found]
        return 200, {"events": events, "current_rev": self.revision}

    def _change(
        self, message: Message, kind: str, name: str
    ) -> tuple[int, dict[str, Any]]:
        fields = json.loads(message.body)
        meta = fields.get("metadata", {})
        known = self._objects.get(kind, {}).get(name or meta.get("name", ""))
        if message.method == "POST" and known is not None:
            return 409, known
        if message.method == "PUT" and known is None:
            return 404, {}
        if "revision" in meta and known is not None:
            if meta["revision"] != known["metadata"]["revision"]:
                return 409, known
        if known is not None and known["spec"] == fields["spec"]:
            return 200, known
        item = self._write(kind, name or meta["name"], fields["spec"])
        return 200 if known is not None else 201, item


@dataclass(slots=True)
class Arrival:
    """A request that has reached an engine."""

    at: float
    engine: str
    zone: str
    request_id: str
    tenant: str
    headers: dict[str, str]
    body_bytes: int
    is_run: bool
    is_harmful: bool = False


@dataclass(slots=True)
class EngineSettings:
    """What an engine is and how it answers."""

    name: str
    service: str
    zone: str
    slots: int = 64
    work_seconds: float = 0.03
    body: bytes = b"done"
    # Events of a stream by the prefix of its path; no streams without any.
    events: dict[str, int] = field(default_factory=dict)
    harmful_part: str = ""
    restart_seconds: float = 2.0
    version: str = "1.0"
    arrivals: list[Arrival] = field(default_factory=list)


class Engine:
    """An application engine with its entry in the store."""

    def __init__(
        self, settings: EngineSettings, store: Store, record: Record, address: str
    ) -> None:
        self.settings = settings
        self._store = store
        self._record = record
        self._address = address
        self._port = free_port(address)
        self._server: asyncio.Server | None = None
        self._running = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._returns: set[asyncio.Task[None]] = set()
        self._sequence = 0
        self._state = "ready"
        self._born = int(time.time() * 1000)
        # Parts of prompts that it has read since its start, with their tokens.
        self._parts: dict[str, int] = {}
        self.crashes: list[float] = []

    @property
    def name(self) -> str:
        """Return its id."""
        return self.settings.name

    @property
    def arrivals(self) -> list[Arrival]:
        """Return the requests that have reached it."""
        return self.settings.arrivals

    async def start(self) -> None:
        """Listen and write the entry."""
        self._server = await asyncio.start_server(
            self._serve, self._address, self._port, limit=2**22
        )
        self.write_entry()

    def write_entry(self) -> None:
        """Write the entry; the store keeps it as it is where nothing changed."""
        settings = self.settings
        spec = {
            "service": settings.service,
            "address": f"{self._address}:{self._port}",
            "zone": settings.zone,
            "version": settings.version,
            "slots": settings.slots,
            "state": self._state,
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        self._store.put("servers", settings.name, spec)

    async def stop(self) -> None:
        """End at once, with all channels."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def crash(self) -> None:
        """End at once; come back after some seconds under the same id."""
        self.crashes.append(self._record.now())
        self._record.say(f"engine {self.name} crashes")
        await self.stop()
        task = asyncio.create_task(self._come_back())
        self._returns.add(task)
        task.add_done_callback(self._returns.discard)

    async def _come_back(self) -> None:
        await asyncio.sleep(self.settings.restart_seconds)
        self._born = int(time.time() * 1000)
        self._parts.clear()
        await self.start()
        self._record.say(f"engine {self.name} is back, version {self.settings.version}")

    async def _stream(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Write a stream of events in chunks, after the last one that is known."""
        settings = self.settings
        request_id = message.headers.get("primrosescale-request-id", "")
        first = int(message.headers.get("last-event-id", "0")) + 1
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Primrosescale-Request-Id: {request_id}",
            f"Primrosescale-Response-Signature: s.{settings.name}.{request_id}",
        ]
        writer.write("\r\n".join([*head, "", ""]).encode())
        count = max(
            (
                n
                for path, n in settings.events.items()
                if message.target.startswith(path)
            ),
            default=0,
        )
        for number in range(first, count + 1):
            text = f"{settings.name} {settings.version}"
            event = f"id: {number}\ndata: {text}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(settings.work_seconds)
        writer.write(b"0\r\n\r\n")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                data = await self._answer(message)
                request_id = message.headers.get("primrosescale-request-id", "")
                is_run = data.startswith(b"HTTP/1.1 200") and bool(request_id)
                if self._server is None:
                    return
                if is_run and self._is_harmful(message):
                    await self.crash()
                    return
                if is_run and self.settings.events:
                    self._keep_parts(message)
                    await self._stream(message, writer)
                else:
                    writer.write(data)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass  # the peer or the case has ended
        finally:
            self._writers.discard(writer)
            writer.close()

    def _is_harmful(self, message: Message) -> bool:
        part = self.settings.harmful_part
        prefix = message.headers.get("primrosescale-prompt-prefix", "")
        return bool(part) and any(
            item.split(":")[0] == part for item in prefix.split(",")
        )

    def _answer_call(self, message: Message) -> bytes:
        """Answer what is asked of its memory; other calls aren't for its service."""
        if not message.target.startswith("/api/kv-list"):
            return answer_bytes(404, {}, b"")
        held = [["", part, tokens, "m"] for part, tokens in self._parts.items()]
        fields = {"epoch": self._born, "next": len(held), "held": held}
        fields["born"] = self._born
        headers = {"Content-Type": "application/json"}
        return answer_bytes(200, headers, json.dumps(fields).encode())

    def _keep_parts(self, message: Message) -> None:
        prefix = message.headers.get("primrosescale-prompt-prefix", "")
        for item in filter(None, prefix.split(",")):
            part, _, tokens = item.partition(":")
            self._parts[part] = int(tokens)

    async def _answer(self, message: Message) -> bytes:
        settings = self.settings
        headers = message.headers
        if message.target.startswith("/health"):
            return answer_bytes(200, {"Primrosescale-Instance-Id": settings.name}, b"")
        if message.target.startswith("/api/"):
            return self._answer_call(message)
        request_id = headers.get("primrosescale-request-id", "")
        is_mine = headers.get("primrosescale-expect-instance", "") in {
            "",
            settings.name,
        }
        arrival = Arrival(
            self._record.now(),
            settings.name,
            settings.zone,
            request_id,
            headers.get("primrosescale-tenant", ""),
            headers,
            len(message.body),
            is_mine,
            self._is_harmful(message),
        )
        settings.arrivals.append(arrival)
        kind = "runs" if is_mine else "turns away"
        self._record.write(
            f"engine {settings.name} ({settings.zone}) {kind} {request_id}, "
            f"tenant {arrival.tenant or '-'}, {arrival.body_bytes} bytes"
        )
        echoed = {"Primrosescale-Request-Id": request_id}
        if not is_mine:
            return answer_bytes(421, {**echoed, "Primrosescale-Not-Executed": "1"}, b"")
        self._running += 1
        try:
            await asyncio.sleep(settings.work_seconds)
        finally:
            self._running -= 1
        echoed["Primrosescale-Response-Signature"] = f"s.{settings.name}.{request_id}"
        echoed["Primrosescale-Engine-Load"] = f"{self._running},0,{settings.slots}"
        return answer_bytes(200, echoed, settings.body)


class Link:
    """The way of one router to the store, which the case can cut."""

    def __init__(self, store: Store) -> None:
        self._store = store
        self._port = free_port(LOOPBACK)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """Return where the router finds the store."""
        return f"{LOOPBACK}:{self._port}"

    async def start(self) -> None:
        """Let the router through."""
        self._server = await asyncio.start_server(self._serve, LOOPBACK, self._port)

    async def cut(self) -> None:
        """Reset all channels and refuse new ones."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(0)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        back, forth = await asyncio.open_connection(LOOPBACK, self._store.port)
        both = {writer, forth}
        self._writers |= both
        try:
            await asyncio.gather(_copy(reader, forth), _copy(back, writer))
        except (ConnectionError, asyncio.CancelledError):
            pass  # the link is cut, or the case has ended
        finally:
            self._writers -= both
            forth.close()
            writer.close()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy bytes until the end."""
    while data := await reader.read(READ_BYTES):
        writer.write(data)
        await writer.drain()
    writer.close()


class Router:
    """One router process with its settings file."""

    def __init__(
        self,
        name: str,
        address: str,
        zones: dict[str, str],
        store: Store | Link,
        folder: Path,
        bounds: dict[str, Any],
        contracts: list[str] | None = None,
    ) -> None:
        self.name = name
        self.address = address
        self._zones = zones
        self._store = store
        self._folder = folder
        self._bounds = bounds
        self._contracts = contracts or [
            "base",
            "drain",
            "config",
            "cost",
            "retry",
            "recover",
            "engine",
            "stream",
            "tenants",
            "platform",
        ]
        self.port = free_port(address)
        self._ready_port = free_port(address)
        self._control_port = free_port(address)
        self._metrics_port = free_port(address)
        self._links_port = free_port(address, socket.SOCK_DGRAM)
        self._is_first = True
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Return the id of its process."""
        if self.process is None:
            raise RuntimeError(f"{self.name} does not run")
        return self.process.pid

    def start(self) -> None:
        """Write the settings and start the process."""
        zone = next(iter(self._zones))
        settings = {
            "node_name": self.name,
            "role": "router",
            "node_class": "front",
            "serves": ["front"],
            "ip": self.address,
            "zone": zone,
            "region": self._zones[zone],
            "zones": self._zones,
            "listen": {
                "front": f"{self.address}:{self.port}",
                "ready": f"{self.address}:{self._ready_port}",
                "control": f"{self.address}:{self._control_port}",
            },
            "internal_ports": [self._links_port, self._links_port + 15],
            "seeds": [],
            "bootstrap": self._is_first,
            "fault_counted": False,
            "limits": {
                "cpu_share": 0.817,
                "cores": 1,
                "memory_mb": 300,
                "max_fds": 4100,
                "link_mbps": 1000.0,
                "disk_mb": 0,
            },
            "data_dir": None,
            "discovery": "platform",
            "entry": "vip",
            "heartbeat_ms": 1200,
            "contracts": self._contracts,
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": self._bounds,
            "platform": {
                "address": self._store.address,
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }
        self._is_first = False
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        command = [
            "python3",
            "-S",
            "-OO",
            "-m",
            "primrosescale.platform",
            f"--metrics_port={self._metrics_port}",
        ]
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "PRIMROSESCALE_BOOT": str(path),
                    "PYTHONPATH": "target/deps",
                },
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether it answers that it takes callers."""
        request = b"GET /api/ready HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n"
        try:
            reader, writer = await asyncio.open_connection(
                self.address, self._ready_port
            )
            writer.write(request)
            line = await asyncio.wait_for(reader.readline(), 1.0)
            writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


class Balancer:
    """The platform's choice of routers: two misses in a row take one out."""

    def __init__(self, routers: list[Router]) -> None:
        self._misses = dict.fromkeys((router.name for router in routers), 0)
        self._routers = routers

    async def run(self) -> None:
        """Ask each router once a second whether it is ready."""
        while True:
            answers = await asyncio.gather(*(it.is_ready() for it in self._routers))
            for router, is_ready in zip(self._routers, answers, strict=True):
                misses = 0 if is_ready else self._misses[router.name] + 1
                self._misses[router.name] = misses
            await asyncio.sleep(PROBE_SECONDS)

    def gives(self, router: Router) -> bool:
        """Return whether a router gets new channels."""
        return self._misses[router.name] < MOST_MISSES


@dataclass(slots=True)
class Answer:
    """What a consumer got; the status is 0 for a channel that ended unanswered."""

    request_id: str
    sent_at: float
    status: int
    headers: dict[str, str]
    body: bytes
    detail: str = ""


class Consumer:
    """Sends requests to routers, each on a new channel."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._numbers = itertools.count(1)

    async def send(
        self,
        router: Router,
        path: str,
        key: str = "",
        *,
        method: str = "POST",
        body: bytes = b"{}",
        budget: float = 1.5,
        note: str = "",
        headers: dict[str, str] | None = None,
    ) -> Answer:
        """Send one request and wait for its answer until the time budget is over."""
        request_id = f"{next(self._numbers):016x}"
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Primrosescale-Request-Id: {request_id}",
            f"Primrosescale-Request-Deadline: {int(budget * 1000)}",
            f"Content-Length: {len(body)}",
        ]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        sent_at = self._record.now()
        self._record.write(
            f"consumer sends {request_id} to {router.name}: {method} {path}, "
            f"key {key or '-'} {note}"
        )
        try:
            answer = await asyncio.wait_for(
                self._exchange(router, head + body, request_id, sent_at), budget
            )
        except (OSError, ValueError, EOFError, TimeoutError) as error:
            detail = f"{type(error).__name__}"
            answer = Answer(request_id, sent_at, 0, {}, b"", detail)
        self._record.write(
            f"consumer gets {answer.status} for {request_id} {answer.detail}"
        )
        return answer

    async def _exchange(
        self, router: Router, data: bytes, request_id: str, sent_at: float
    ) -> Answer:
        reader, writer = await asyncio.open_connection(router.address, router.port)
        try:
            writer.write(data)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *lines = head.split("\r\n")
            pairs = [line.partition(":") for line in lines if ":" in line]
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            status, detail = int(first.split(" ")[1]), ""
            if headers.get("transfer-encoding") == "chunked":
                body, is_complete = await read_chunks(reader)
                detail = "" if is_complete else "ended early"
            else:
                body = await reader.readexactly(int(headers.get("content-length", "0")))
            return Answer(request_id, sent_at, status, headers, body, detail)
        finally:
            writer.transport.abort()


def route(name: str, prefix: str, service: str, kind: str, **more: Any) -> Any:
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "service": service,
        "kind": kind,
        "max_attempts": 2,
        "timeout_ms": 5000,
        "target_latency_ms": 400,
        "priority": 4,
        **more,
    }


def configuration(
    version: int,
    routes: list[Any],
    tenants: list[Any] | None,
) -> dict[str, Any]:
    """Return a configuration in full, as the operator writes it."""
    services = sorted({item["service"] for item in routes})
    fields: dict[str, Any] = {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 370,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }
    if tenants is not None:
        fields["tenants"] = tenants
    return fields


def free_port(address: str, kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that nothing uses on an address.

    It is below the range from which outgoing channels take theirs, so that it stays
    free while its server is away.
    """
    while True:
        port = random.randrange(*SERVER_PORTS)
        with socket.socket(socket.AF_INET, kind) as probe, contextlib.suppress(OSError):
            probe.bind((address, port))
            if (address, port) not in _TAKEN_PORTS:
                _TAKEN_PORTS.add((address, port))
                return port


def has_disruption() -> bool:
    """Return whether the case is to be played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


async def until_ready(routers: list[Router], seconds: float = 15.0) -> bool:
    """Wait until all routers take callers; return whether they do."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        if all([await router.is_ready() for router in routers]):
            return True
        await asyncio.sleep(0.1)
    return False


def run_case(
    folder: Path, play: Callable[[Record, Path, list[Router]], Awaitable[int]]
) -> int:
    """Play a case, end all processes that it started, and return its exit status."""
    record = Record(folder)
    routers: list[Router] = []

    async def play_and_end(temporary: Path) -> int:
        try:
            return await asyncio.wait_for(
                play(record, temporary, routers), MOST_SECONDS
            )
        finally:
            for router in routers:
                router.kill()

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    status = CANNOT_RUN
    try:
        with tempfile.TemporaryDirectory() as temporary:
            status = asyncio.run(play_and_end(Path(temporary)))
    except Exception as error:  # noqa: BLE001 - the case could not run
        record.say(f"the case could not run: {type(error).__name__}: {error}")
    record.say(f"exit status {status}")
    record.close()
    return status
