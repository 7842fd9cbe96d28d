"""Settings, configuration and collaborators of entry routers on loopback sockets."""

from __future__ import annotations

import random

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform import records
from primrosescale.platform.engine_calls import EngineCacheReader
from primrosescale.platform.entry import PlatformRecordDecoder
from primrosescale.platform.http_codec import PlatformCodec
from primrosescale.platform.object_platform import ObjectPlatform
from primrosescale.process.entry.entry_dependencies import EntryDependencies
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.entry_settings import EntrySettings
from primrosescale.process.entry.entry_settings import WatchedPrefixes
from primrosescale.process.entry.store_watch import WatchedPrefix
from primrosescale.process.events import EventLog
from primrosescale.request.attempt.retry_share import SharedRetryLimits

LOOPBACK = "127.0.0.1"


class Caller(Protocol):
    """A raw caller connection to the router."""

    def __init__(self):
        self.data = b""
        self.is_closed = False
        # Whether the router reset the connection in place of an orderly close.
        self.was_reset = False
        self._waiting = []

    def dataReceived(self, data):
        self.data += data
        self._check_waiting()

    def connectionLost(self, reason=None):
        self.is_closed = True
        self.was_reset = reason is not None and not reason.check(ConnectionDone)
        self._check_waiting()

    def until(self, test):
        done = Deferred()
        self._waiting.append((test, done))
        self._check_waiting()
        return done

    def _check_waiting(self):
        for item in list(self._waiting):
            if item[0](self):
                self._waiting.remove(item)
                item[1].callback(self)

    def answered(self, ending=b""):
        """Wait for an answer that ends with given bytes, or for the close."""
        return self.until(lambda c: c.is_closed or (c.data and c.data.endswith(ending)))


@inlineCallbacks
def ask(router, request):
    """Send a request that closes its own new connection; return the raw answer."""
    caller = yield ask_as_caller(router, request)
    return caller.data


@inlineCallbacks
def ask_as_caller(router, request):
    """Send a request that closes its own new connection; return the caller."""
    bound = router.bound[router._settings.callers]
    client = TCP4ClientEndpoint(reactor, bound.address, bound.port)
    caller = yield connectProtocol(client, Caller())
    caller.transport.write(request)
    yield caller.until(lambda c: c.is_closed)
    return caller


def text(path=b"/plain/x", *, method=b"GET", headers=b"", body=b"", rid=b"r1"):
    length = b"Content-Length: %d\r\n" % len(body) if body else b""
    return (
        b"%b %b HTTP/1.1\r\nHost: desk.example\r\nAuthorization: Bearer k1\r\n"
        b"Primrosescale-Request-Id: %b\r\nPrimrosescale-Request-Deadline: 2000\r\n"
        b"%b%b\r\n%b" % (method, path, rid, headers, length, body)
    )


def route(name, kind, service, **fields):
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 1500,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }


def configuration(version=1, keys=("k1",)):
    return {
        "version": version,
        "routes": [
            route("plain", "safe", "portal"),
            route("once", "unsafe", "portal", max_attempts=1),
            route(
                "story",
                "streaming",
                "model",
                sticky=True,
                resume_streams=True,
                timeout_ms=12000,
            ),
            route("draft", "streaming", "model", sticky=True, max_attempts=1),
        ],
        "services": [{"name": "portal"}, {"name": "model", "engine": {"slots": 8}}],
        "tenants": [{"name": "bakery", "api_keys": list(keys)}],
        "limits": {"max_body_bytes": 5000, "idle_timeout_ms": 400},
    }


def target_entry(service, address, **fields):
    """Return a target's entry with all required fields."""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "state": "ready",
        "slots": 8,
        **fields,
    }


def router_settings(name="r1", **fields):
    """Return settings of a router with ports chosen by the system."""
    values = {
        "name": name,
        "domain": "a",
        # Distinct addresses, because the port is 0 in all of them.
        "callers": Endpoint("127.0.0.2", 0),
        "readiness": Endpoint("127.0.0.3", 0),
        "metrics": Endpoint("127.0.0.4", 0),
        "links": Endpoint("127.0.0.5", 0),
        "reads_caches": False,
        "drain": 2.0,
        "revoke": 5.0,
        "not_found_max_age": 3.5,
        "stop_within": 8.0,
        "max_requests": 100,
        "repeats": SharedRetryLimits(0.2, 10.0, 50.0),
    }
    return EntrySettings(**{**values, **fields})


def router_watches(targets_wait=0.3):
    """Return the store prefixes that a router watches, with short waits."""
    return WatchedPrefixes(
        configuration=WatchedPrefix(
            records.CONFIGURATION, 0.3, reads_after_failure=True
        ),
        targets=WatchedPrefix(records.TARGETS, targets_wait),
        routers=WatchedPrefix(records.ROUTERS, 0.3),
    )


def router_dependencies(
    store, name, events, read_settings, *, caches=None, listening_socket=None
):
    """Return the collaborators of a router; its events are appended to a list."""
    log = EventLog(name)
    log.emit = lambda event, **details: events.append((event.name, details))
    return EntryDependencies(
        reactor=reactor,
        platform=ObjectPlatform(reactor, store, 0.5),
        codec=PlatformCodec(),
        decoder=PlatformRecordDecoder(),
        log=log,
        writer=None,
        metrics=EntryMetrics(),
        rng=random.Random(1),
        caches=caches or EngineCacheReader(reactor),
        read_settings=read_settings,
        listening_socket=listening_socket,
    )
