"""Stand-ins for the platform's store, engines and consumers, and router processes.

Everything runs on loopback addresses and on the real clock, with the standard library
alone. The stand-ins follow PROTOCOL.md; beyond it they behave like sound ones.
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
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs
from urllib.parse import unquote
from urllib.parse import urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "desk.example"
MODEL = "model-desk"
PORTAL = "portal-api"
HEARTBEAT_SECONDS = 1.2
# The figures of rpe-maina (SYSTEM.md).
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
    "budget_extra": 56,
    "recover_s": 12,
    "pass_ms": 120,
    "reuse_window_s": 10,
    "cap_x": 2,
}


class Record:
    """Writes what happened to the record file of a case, with the time of each line."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")
        self._began = time.monotonic()

    @property
    def now(self):
        """Return the seconds since the start of the case."""
        return time.monotonic() - self._began

    def line(self, text):
        """Write one line and print it."""
        line = f"{self.now:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)


def loopback_address(number):
    """Return a loopback address that no other run of a case uses."""
    run = os.getpid()
    return f"127.{60 + (run >> 8) % 150}.{run % 256}.{number + 1}"


def free_port(address, kind=socket.SOCK_STREAM):
    """Return a free port of an address."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    """Yield the parts of a body; raises when it ends early."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            yield data[:-2]
    length = int(headers.get("content-length", "0"))
    if length:
        yield await reader.readexactly(length)


class HttpServer:
    """Accepts connections and passes each request to `handle`."""

    def __init__(self):
        self._server = None
        self._writers = set()
        self.is_away = False
        self.port = 0

    async def listen(self, address="127.0.0.1", port=0):
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, address, port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Accept no more connections and reset the open ones."""
        self._server.close()
        self.reset()

    def reset(self):
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.is_away:
            writer.transport.abort()
            return
        self._writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = b"".join([part async for part in read_body(reader, head[1])])
                if not await self.handle(head, body, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The peer has closed the connection, or the case is over.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, head, body, reader, writer):
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: objects, revisions, watches, and a drill."""

    def __init__(self, record):
        super().__init__()
        self._record = record
        self.era = 1
        self._objects = {}
        self._history = []
        self._revision = 1
        self._changed = asyncio.Event()
        self._copies = []

    def write(self, kind, name, spec):
        """Write an object, as the operator and the engines do."""
        known = self._objects.setdefault(kind, {}).get(name)
        if known is not None and known["spec"] == spec:
            return
        self._revision += 1
        created = known["metadata"]["create_revision"] if known else self._revision
        meta = {
            "name": name,
            "revision": self._revision,
            "create_revision": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": meta, "spec": copy.deepcopy(spec), "status": None}
        self._objects[kind][name] = item
        self._note(kind, item, is_deleted=False)

    def remove(self, kind, name):
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            item = copy.deepcopy(item)
            item["metadata"]["revision"] = self._revision
            self._note(kind, item, is_deleted=True)

    def _note(self, kind, item, *, is_deleted):
        entry = (self._revision, kind, {"object": item, "deleted": is_deleted})
        self._history.append(entry)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def take_copy(self):
        """Keep a copy of everything that is stored now."""
        self._copies.append(
            (copy.deepcopy(self._objects), list(self._history), self._revision)
        )

    def leave(self):
        """Be away: reset all connections, also new ones."""
        self.is_away = True
        self.reset()
        self._record.line("store: away")

    def come_back(self):
        """Come back from the copy, with the next era."""
        self._objects, self._history, revision = self._copies[-1]
        self._record.line(
            f"store: back, era {self.era} -> {self.era + 1}, "
            f"revision {self._revision} -> {revision}"
        )
        self._revision = revision
        self.era += 1
        self.is_away = False

    async def handle(self, head, body, reader, writer):
        """Answer a call; see PROTOCOL.md, the platform's metadata store."""
        method, target, _ = head[0].split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path.split("/")[3:]
        kind, name = unquote(path[0]), unquote("/".join(path[1:]))
        status, fields = await self._act(method, kind, name, query, body)
        data = json.dumps(fields).encode()
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nStore-Era: %d\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (status, self.era, len(data), data)
        )
        await writer.drain()
        return True

    async def _act(self, method, kind, name, query, body):
        if method == "GET" and "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        if method == "GET" and not name:
            items = sorted(self._objects.get(kind, {}).items())
            listed = [item for _, item in items]
            fields = {"items": listed, "truncated": False}
            return 200, {**fields, "current_rev": self._revision}
        known = self._objects.get(kind, {}).get(name)
        if method == "GET":
            return (200, known) if known else (404, {})
        if method == "DELETE":
            self.remove(kind, name)
            return (200, {}) if known else (404, {})
        given = json.loads(body)
        name = name or given["metadata"]["name"]
        known = self._objects.get(kind, {}).get(name)
        if method == "POST" and known:
            return 409, known
        if method == "PUT" and not known:
            return 404, {}
        wanted = given["metadata"].get("revision")
        if known and wanted not in {None, known["metadata"]["revision"]}:
            return 409, known
        self.write(kind, name, given["spec"])
        return (201 if method == "POST" else 200), self._objects[kind][name]

    async def _watch(self, kind, since, query):
        if since > self._revision:
            return 410, {"error": "no such revision"}
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [e for rev, k, e in self._history if rev > since and k == kind]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)


class Engine(HttpServer):
    """An engine that runs plain requests or streams and registers itself."""

    def __init__(
        self, name, service, store, record, *, events=0, gap=0.4, work=0.03, slots=64
    ):
        super().__init__()
        self.name = name
        self.service = service
        self._store = store
        self._record = record
        self._events = events
        self._gap = gap
        self._work = work
        self._slots = slots
        self._born = int(time.time() * 1000)
        self.state = "ready"
        self.running = 0
        # Ids of the requests that began to run here, with the time of each.
        self.ran = []
        self._beating = None

    async def start(self):
        """Listen, and write the entry at each heartbeat."""
        await self.listen()
        self.register()
        self._beating = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.register()

    def register(self):
        """Write the entry, unless the store is away."""
        if not self._store.is_away:
            self._store.write("servers", self.name, self.entry())

    def entry(self):
        """Return the entry of the engine."""
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": "riga-imanta",
            "version": "1.4",
            "slots": self._slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": 0,
            "born": self._born,
        }

    async def handle(self, head, body, reader, writer):
        """Run a request; see PROTOCOL.md, engines."""
        method, path, _ = head[0].split(" ")
        headers = head[1]
        number = headers.get("primrosescale-request-id", "")
        if not number:
            return await self._describe(path, writer)
        expected = headers.get("primrosescale-expect-instance", self.name)
        if expected != self.name:
            await self.reply(writer, number, 421, b"", is_run=False)
            return True
        if self.running >= self._slots:
            await self.turn_away(number, writer)
            return True
        self.ran.append((number, self._record.now))
        self._record.line(f"engine {self.name}: runs {number}")
        self.running += 1
        try:
            return await self.run(method, headers, number, writer)
        except ConnectionError:
            self._record.line(f"engine {self.name}: {number} was cut by its caller")
            return False
        finally:
            self.running -= 1

    async def turn_away(self, number, writer):
        """Turn a request away, since the engine is full."""
        self._record.line(f"engine {self.name}: is full, turns {number} away")
        await self.reply(writer, number, 503, b"", is_run=False)

    async def run(self, method, headers, number, writer):
        """Answer a request that runs."""
        if not self._events:
            await asyncio.sleep(self._work)
            await self.reply(writer, number, 200, b"done for " + number.encode())
            return True
        await self.stream(headers, number, writer)
        return True

    async def stream(self, headers, number, writer):
        """Send a stream of events."""
        writer.write(
            self.head(number, 200)
            + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        first = int(headers.get("last-event-id", "0")) + 1
        for event in range(first, self._events + 1):
            if event > first:
                await asyncio.sleep(self._gap)
            if writer.transport.is_closing():
                raise ConnectionResetError
            data = b"id: %d\ndata: %b\n\n" % (event, number.encode())
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def head(self, number, status, *, is_run=True):
        """Return the first lines of an answer."""
        lines = [
            f"HTTP/1.1 {status} X",
            "Keep-Alive: timeout=30",
        ]
        if number:
            lines.append(f"Primrosescale-Request-Id: {number}")
        if is_run:
            lines.append(f"Primrosescale-Response-Signature: {self.name}.{number}")
        else:
            lines.append("Primrosescale-Not-Executed: 1")
        if self.state == "draining":
            lines.append("Server-Leaving: 1")
        return ("\r\n".join(lines) + "\r\n").encode()

    async def reply(self, writer, number, status, body, *, is_run=True):
        """Send an answer with a length."""
        head = self.head(number, status, is_run=is_run)
        writer.write(head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()

    async def _describe(self, path, writer):
        fields = {"born": self._born, "epoch": self._born, "next": 0, "held": []}
        data = json.dumps(fields).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Primrosescale-Instance-Id: %b\r\nContent-Length: %d\r\n\r\n%b"
            % (self.name.encode(), len(data), data)
        )
        await writer.drain()
        return True

    async def stop(self):
        """Stop the heartbeat and close."""
        if self._beating is not None:
            self._beating.cancel()
        await self.close()


class Outcome:
    """What a consumer saw of one request."""

    def __init__(self, number, sent_at):
        self.number = number
        self.sent_at = sent_at
        self.ended_at = 0.0
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False

    def __str__(self):
        """Describe the outcome."""
        state = "complete" if self.is_complete else "without a complete answer"
        return f"{self.number}: status {self.status or '-'}, {state}"


class Consumer:
    """A consumer with one kept channel to a router."""

    def __init__(self, router, record, key="key-1"):
        self._router = router
        self._record = record
        self._key = key
        self._streams = None

    @property
    def has_channel(self):
        """Return whether a channel is open."""
        return self._streams is not None

    async def send(self, number, path, *, method="POST", budget_ms=12000, extra=()):
        """Send one request and return its outcome; opens a channel if there is none."""
        outcome = Outcome(number, self._record.now)
        if self._streams is None:
            address = self._router.address, self._router.callers_port
            try:
                opening = asyncio.open_connection(*address)
                self._streams = await asyncio.wait_for(opening, 1)
            except OSError:
                self._record.line(f"consumer: {number}: no channel to {address[0]}")
                return outcome
        reader, writer = self._streams
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Primrosescale-Request-Id: {number}",
            f"Primrosescale-Request-Deadline: {budget_ms}",
            f"Authorization: Bearer {self._key}",
            "Content-Length: 0",
            *extra,
        ]
        self._record.line(f"consumer: sends {number} to {self._router.name}")
        try:
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
            async with asyncio.timeout(budget_ms / 1000 + 1):
                await self._receive(reader, outcome)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        outcome.ended_at = self._record.now
        is_last = outcome.headers.get("connection", "").lower() == "close"
        if not outcome.is_complete or is_last:
            self.close()
        self._record.line(f"consumer: got {outcome}")
        return outcome

    async def _receive(self, reader, outcome):
        head = await read_head(reader)
        if head is None:
            return
        outcome.status = int(head[0].split(" ")[1])
        outcome.headers = head[1]
        async for part in read_body(reader, head[1]):
            outcome.body += part
        outcome.is_complete = True

    def close(self):
        """Close the channel."""
        if self._streams is not None:
            self._streams[1].transport.abort()
            self._streams = None


class RouterProcess:
    """A router process, started with the run command of the deploy file."""

    def __init__(self, number, folder, store, record, *, zones=("riga-imanta",)):
        self.name = f"front-{number}"
        self.address = loopback_address(number)
        self.callers_port = free_port(self.address)
        self.ready_port = free_port(self.address)
        self._links_port = free_port(self.address, socket.SOCK_DGRAM)
        self._folder = Path(folder)
        self._store = store
        self._record = record
        self._zone = zones[number % len(zones)]
        self._process = None
        self._is_first = True

    @property
    def is_running(self):
        """Return whether the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self):
        """Write the settings file and start the process."""
        settings = self._folder / f"{self.name}.json"
        settings.write_text(json.dumps(self._settings()))
        self._is_first = False
        log = (self._folder / f"{self.name}.log").open("ab")
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self._process = subprocess.Popen(
            deploy["roles"]["router"]["run"].split(" "),
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "PRIMROSESCALE_BOOT": str(settings),
                "PYTHONPATH": str(ROOT / "target" / "deps"),
                "PYTHONDONTWRITEBYTECODE": "1",
            },
            stdout=log,
            stderr=log,
        )
        log.close()
        self._record.line(f"{self.name}: started")

    def _settings(self):
        return {
            "node_name": self.name,
            "role": "router",
            "node_class": "front",
            "serves": ["front"],
            "ip": self.address,
            "zone": self._zone,
            "region": "lv-riga",
            "zones": {self._zone: "lv-riga", "riga-imanta": "lv-riga"},
            "listen": {
                "front": f"{self.address}:{self.callers_port}",
                "ready": f"{self.address}:{self.ready_port}",
            },
            "internal_ports": [self._links_port, self._links_port + 15],
            "seeds": [],
            "bootstrap": self._is_first,
            "fault_counted": True,
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
            "contracts": [
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
            ],
            "fault_tolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "platform": {
                "address": f"127.0.0.1:{self._store.port}",
                "form": "objects",
                "writes_per_s": 400,
                "reads_per_s": 2000,
                "history_s": 20,
                "value_bytes": 1048576,
                "ttl_min_ms": 1000,
            },
        }

    def signal(self, number):
        """Send a signal to the process."""
        if self.is_running:
            self._record.line(f"{self.name}: gets {signal.Signals(number).name}")
            self._process.send_signal(number)

    async def wait_ready(self, seconds=10):
        """Wait until the process answers that it is ready."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                self._record.line(f"{self.name}: ready")
                return
            await asyncio.sleep(0.05)
        raise CouldNotRunError(f"{self.name} is not ready")

    async def is_ready(self):
        """Ask the process whether it is ready."""
        try:
            opening = asyncio.open_connection(self.address, self.ready_port)
            reader, writer = await asyncio.wait_for(opening, 1)
        except OSError:
            return False
        try:
            writer.write(b"GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n")
            async with asyncio.timeout(1):
                head = await read_head(reader)
        except (OSError, TimeoutError):
            return False
        finally:
            writer.transport.abort()
        return head is not None and head[0].split(" ")[1] == "200"

    async def wait_ended(self, seconds):
        """Wait until the process has ended; return whether it has."""
        until = time.monotonic() + seconds
        while self.is_running and time.monotonic() < until:
            await asyncio.sleep(0.02)
        return not self.is_running

    def kill(self):
        """Kill the process and wait for its end."""
        if self._process is not None:
            if self._process.poll() is None:
                self._process.kill()
            self._process.wait()


class CouldNotRunError(Exception):
    """The case could not be played."""


def route(name, kind, service, **fields):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 12000,
        "target_latency_ms": 1000,
        "gap_aim_ms": 800,
        "priority": 1,
        "service": service,
        "sticky": False,
        "max_attempts": 2,
        **fields,
    }


def configuration(version, *, keys=("key-1",), routes=None):
    """Return a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": routes
        or [
            route("draft", "streaming", MODEL),
            route("conf", "unsafe", PORTAL, timeout_ms=1500, target_latency_ms=400),
            route("read", "safe", PORTAL, timeout_ms=1500, target_latency_ms=400),
        ],
        "services": [{"name": MODEL}, {"name": PORTAL}],
        "tenants": [{"name": "bakery", "api_keys": list(keys)}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


_NUMBERS = itertools.count(1)


def new_number(prefix):
    """Return a new id of a request."""
    return f"{prefix}-{next(_NUMBERS)}-{random.randrange(16**6):06x}"


def main(play, folder):
    """Play a case; exit with 1 if the rule broke, 0 if it held, 2 if it didn't run."""
    record = Record(Path(folder) / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.line("trouble: " + ("yes" if is_troubled else "none"))
    routers = []
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))

    async def bounded():
        async with asyncio.timeout(110):
            return await play(record, routers, is_troubled=is_troubled)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001 - says nothing about the rule
        record.line(f"could not run: {error!r}")
        return 2
    finally:
        for router in routers:
            router.kill()
    record.line(f"rule {'BROKEN' if broken else 'held'}")
    return 1 if broken else 0
