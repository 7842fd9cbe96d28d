"""Builds an entry router from the platform's settings file."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform import records
from primrosescale.platform.engine_calls import EngineCaches
from primrosescale.platform.exceptions import BootFileError
from primrosescale.platform.host_settings import BOOT_VARIABLE
from primrosescale.platform.host_settings import HostSettings
from primrosescale.platform.host_settings import own_host_settings
from primrosescale.platform.http_codec import PlatformCodec
from primrosescale.platform.object_platform import ObjectPlatform
from primrosescale.process.entry.codec import RecordDecoder
from primrosescale.process.entry.entry_dependencies import EntryDependencies
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.entry_router import EntryRouter
from primrosescale.process.entry.entry_settings import EntrySettings
from primrosescale.process.entry.entry_settings import WatchedPrefixes
from primrosescale.process.entry.log_writer import FailureObserver
from primrosescale.process.entry.log_writer import LogWriter
from primrosescale.process.entry.store_watch import WatchedPrefix
from primrosescale.process.events import EventLog
from primrosescale.request.cold_targets import ColdSettings
from primrosescale.request.shared_retry_budget import SharedRetryLimits
from primrosescale.request.target_choice import ChoiceSettings

if TYPE_CHECKING:
    import socket
    from collections.abc import Collection
    from random import Random

    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.request.serving_target import ServingTarget
    from primrosescale.version.routing_table import RoutingTable

# An answer of the store takes 4 ms, and 60 times as long while it is slow.
STORE_TIMEOUT = 0.5
# Keys may be relied on for 5 s after the store was last asked about them. The
# four routers that ask for all do so every 0.9-1.5 s at times of their own,
# which leaves 3 s of an outage in which nobody is refused.
CONFIGURATION_WAIT = 1.5
# What the routers wait that rely on the questions of others; a change ends the
# wait at once, and a newer version in others' news is asked for.
LONGEST_CONFIGURATION_WAIT = 10.0
# A watch that works leaves the knowledge at most this old: a question that
# was answered after its wait, the next one that is still waiting, and a round
# of news from the router that asked.
CERTAIN_FOR = 2 * CONFIGURATION_WAIT + STORE_TIMEOUT + 0.5
# A leaving target must be known of within 2 s; keep-alive probes find a
# silent connection sooner than that would.
TARGETS_WAIT = 8.0

# Part of the multiple of the mean that targets are loaded to, since other
# routers' requests are known a quarter of a second late.
LOAD_SHARE = 0.75
# Memory that one request may take: a body of 72 KB, the longest of today, four
# times over in buffers, and as much again in reserve.
BYTES_PER_REQUEST = 600_000
# Changes come in bursts: versions 0.1-0.3 s apart in a storm, targets of a
# release together, all routers at a start. Each rest is a share of the time in
# which the change must be known: of that in which a version must be in force, and
# of that in which a target that leaves may still get work; for routers nothing is
# promised. A rest halves the calls of a storm and delays only what comes in it.
CONFIGURATION_REST_SHARE = 0.2
TARGETS_REST_SHARE = 0.3
ROUTERS_REST = 2.0
# Routers come and go seldom, and nothing is promised about them.
ROUTERS_WAIT = 20.0
# Domains are evacuated seldom. A waiting question that has gone silent is found by
# keep-alive probes, and other routers tell of a change besides.
EVACUATIONS_WAIT = 20.0


class PlatformRecords(RecordDecoder):
    """Translates the platform's records; see `RecordDecoder`.

    Parameters
    ----------
    regions : Collection[str]
        The regions that there are; empty where they are not known.
    """

    def __init__(self, regions: Collection[str] = ()) -> None:
        self._regions = frozenset(regions)
        self._routes = records.KnownRoutes()

    def table(self, stored: StoredObject) -> RoutingTable:
        """Return a routing table; see `RecordDecoder.table`."""
        return records.decode_routing_table(stored, self._regions, self._routes)

    def target(self, stored: StoredObject) -> ServingTarget:
        """Return a target; see `RecordDecoder.target`."""
        return records.decode_target(stored)

    def router(self, stored: StoredObject) -> PeerRouter:
        """Return an entry router; see `RecordDecoder.router`."""
        return records.decode_router(stored)


def build_entry_router(
    reactor: Any,
    host: HostSettings,
    metrics_port: int,
    rng: Random,
    listening_socket: socket.socket | None = None,
) -> EntryRouter:
    """Build an entry router.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    host : HostSettings
        Settings of this process.
    metrics_port : int
        Port of the metrics; 0 for none.
    rng : Random
        Source of chance.
    listening_socket : socket.socket | None
        A socket that listens for callers already.

    Returns
    -------
    EntryRouter
        The router, not started.

    Raises
    ------
    BootFileError
        When the host is not one that callers reach.
    """
    settings = entry_settings(host, metrics_port)
    writer = LogWriter(reactor)
    writer.install()
    log = EventLog(host.name)
    FailureObserver(log).install()
    parts = EntryDependencies(
        reactor=reactor,
        platform=ObjectPlatform(reactor, host.store, STORE_TIMEOUT),
        codec=PlatformCodec(),
        decoder=PlatformRecords(host.regions.values()),
        log=log,
        writer=writer,
        metrics=EntryMetrics(),
        rng=rng,
        read_settings=lambda: entry_settings(own_host_settings(), metrics_port),
        caches=EngineCaches(reactor),
        listening_socket=listening_socket,
    )
    watches = WatchedPrefixes(
        configuration=WatchedPrefix(
            records.CONFIGURATION,
            CONFIGURATION_WAIT,
            longest_wait=LONGEST_CONFIGURATION_WAIT,
            rest=CONFIGURATION_REST_SHARE * host.bounds.apply,
            reads_after_failure=True,
        ),
        targets=WatchedPrefix(
            records.TARGETS, TARGETS_WAIT, rest=TARGETS_REST_SHARE * settings.drain
        ),
        routers=WatchedPrefix(records.ROUTERS, ROUTERS_WAIT, rest=ROUTERS_REST),
        evacuations=(
            None
            if host.bounds.evacuation is None
            else WatchedPrefix(records.EVACUATIONS, EVACUATIONS_WAIT)
        ),
    )
    return EntryRouter(settings, watches, parts)


def entry_settings(host: HostSettings, metrics_port: int) -> EntrySettings:
    """Return the settings of an entry router on a host.

    Parameters
    ----------
    host : HostSettings
        The host.
    metrics_port : int
        Port of the metrics; 0 for none.

    Returns
    -------
    EntrySettings
        Its settings.

    Raises
    ------
    BootFileError
        When the host is not one that callers reach.
    """
    if host.callers is None or host.readiness is None:
        detail = "it names no address for callers; run this on an entry host"
        raise BootFileError(os.environ.get(BOOT_VARIABLE, ""), detail)
    bounds = host.bounds
    metrics = Endpoint(host.address, metrics_port) if metrics_port else None
    return EntrySettings(
        name=host.name,
        domain=host.domain,
        regions=host.regions,
        callers=host.callers,
        readiness=host.readiness,
        metrics=metrics,
        links=Endpoint(host.address, host.first_internal_port),
        reads_caches=not host.is_first_start,
        drain=bounds.drain,
        revoke=bounds.revoke,
        not_found_max_age=CERTAIN_FOR,
        stop_within=bounds.stop,
        max_requests=host.memory_limit // BYTES_PER_REQUEST,
        choice=ChoiceSettings(load_multiple=LOAD_SHARE * bounds.load_multiple),
        cold=ColdSettings(over=bounds.cold_over, slack=bounds.cold_slack),
        repeats=SharedRetryLimits(
            bounds.repeat_ratio, bounds.repeat_window, bounds.repeat_extra
        ),
    )
