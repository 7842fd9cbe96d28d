"""Builds an entry router from the settings file that the platform writes."""

from __future__ import annotations

import os
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform import records
from primrosescale.platform.engine_calls import EngineCacheReader
from primrosescale.platform.exceptions import SettingsFileError
from primrosescale.platform.host_settings import SETTINGS_FILE_VARIABLE
from primrosescale.platform.host_settings import HostSettings
from primrosescale.platform.host_settings import own_host_settings
from primrosescale.platform.http_codec import PlatformCodec
from primrosescale.platform.object_platform import ObjectPlatform
from primrosescale.process.callers.descriptors import callers_connections
from primrosescale.process.callers.guard_settings import GuardSettings
from primrosescale.process.entry.codec import RecordDecoder
from primrosescale.process.entry.codec import TableDecoding
from primrosescale.process.entry.entry_dependencies import EntryDependencies
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.entry_router import EntryRouter
from primrosescale.process.entry.entry_settings import EntrySettings
from primrosescale.process.entry.entry_settings import WatchedPrefixes
from primrosescale.process.entry.log_writer import FailureObserver
from primrosescale.process.entry.log_writer import LogWriter
from primrosescale.process.entry.store_watch import WatchedPrefix
from primrosescale.process.events import EventLog
from primrosescale.request.attempt.forwarding_context import ForwardingSettings
from primrosescale.request.attempt.retry_share import SharedRetryLimits
from primrosescale.request.capacity.cold_targets import ColdSettings
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.choice.target_choice import ChoiceSettings

if TYPE_CHECKING:
    import socket
    from collections.abc import Collection
    from random import Random

    from primrosescale.process.entry.peer_router import PeerRouter
    from primrosescale.process.transport.platform import StoredObject
    from primrosescale.request.target.serving_target import ServingTarget
    from primrosescale.version.routing_table import RoutingTable

# The store answers in 4 ms, and takes up to 60 times as long while it is slow.
STORE_TIMEOUT_SECONDS = 0.5
# Keys may be accepted for 5 s after the store was last polled. The four routers
# that poll it on behalf of all do so every 0.9-1.5 s, independently of each other,
# so callers are served during the first 3 s of an outage of the store.
CONFIGURATION_WAIT_SECONDS = 1.5
# Wait time of watches of routers that rely on the polls of their peers. A change
# ends the wait at once, and a router that learns of a newer version from a peer's
# state update reads it.
MAX_CONFIGURATION_WAIT_SECONDS = 10.0
# Answers that something does not exist rely on the store's state, which is at most
# this old while watches work: a watch that was answered at the end of its wait, the
# next one that is still waiting, and one round of state updates from the router that
# polled.
NOT_FOUND_MAX_AGE_SECONDS = 2 * CONFIGURATION_WAIT_SECONDS + STORE_TIMEOUT_SECONDS + 0.5
# A leaving target must be detected within 2 s, which does not limit this wait: a
# change ends a watch at once, and keep-alive probes detect a watch whose connection
# has gone silent sooner than a shorter wait would.
TARGETS_WAIT_SECONDS = 8.0

# Share of the deployment's load multiple up to which this router loads targets. The
# rest is a margin for requests of peers, which become known a quarter of a second
# late.
LOAD_MULTIPLE_SHARE = 0.75
# Memory that one request may take: the longest body expected, 72 KB, is held in
# buffers four times, and as much again is kept in reserve.
BYTES_PER_REQUEST = 600_000
# Shares of the process' memory for callers: what is being received and not read,
# requests that are being answered, long bodies, and plain answers that are buffered
# until they are complete. The rest is for what the process knows.
CALLERS_MEMORY_SHARE = 0.15
REQUESTS_MEMORY_SHARE = 0.12
BODIES_MEMORY_SHARE = 0.15
ANSWERS_MEMORY_SHARE = 0.2
# Changes come in bursts: versions 0.1-0.3 s apart, all targets replaced by a release,
# all routers at a start-up. After a change, a watch waits for a batching delay before
# its next call. The delay is a share of the time within which the change must take
# effect: for the configuration, the time within which a version must be in force; for
# targets, the time for which a leaving target may still get requests. For routers
# there is no such limit. The delay halves the calls during a burst and only delays
# changes that follow another one within it.
CONFIGURATION_BATCHING_SHARE = 0.2
# Share of the time within which a version must be in force for which a large answer is
# read with pauses. A version that is written just after the answer with the one before
# has begun waits for two of them.
PACED_READ_SHARE = 0.35
TARGETS_BATCHING_SHARE = 0.3
ROUTERS_BATCHING_SECONDS = 2.0
# Routers are added and removed rarely, and no time limit applies to their changes.
ROUTERS_WAIT_SECONDS = 20.0
# Failure domains are evacuated rarely. A watch whose connection has gone silent is
# detected by keep-alive probes, and peers also report evacuations in state updates.
EVACUATIONS_WAIT_SECONDS = 20.0


class PlatformRecordDecoder(RecordDecoder):
    """Decodes the platform's records; see `RecordDecoder`.

    Parameters
    ----------
    regions : Collection[str]
        The regions of the deployment; empty when they are not known.
    """

    def __init__(self, regions: Collection[str] = ()) -> None:
        self._regions = frozenset(regions)
        self._route_cache = records.RouteCache()

    def table(self, stored: StoredObject) -> RoutingTable:
        """Decode a routing table; see `RecordDecoder.table`."""
        return records.decode_routing_table(stored, self._regions, self._route_cache)

    def begin_table(self, stored: StoredObject) -> TableDecoding:
        """Begin to decode a routing table; see `RecordDecoder.begin_table`."""
        return records.begin_routing_table(stored, self._regions, self._route_cache)

    def target(self, stored: StoredObject) -> ServingTarget:
        """Decode a target; see `RecordDecoder.target`."""
        return records.decode_target(stored)

    def router(self, stored: StoredObject) -> PeerRouter:
        """Decode an entry router; see `RecordDecoder.router`."""
        return records.decode_router(stored)

    def evacuated_domain(self, stored: StoredObject) -> str:
        """Decode an evacuation; see `RecordDecoder.evacuated_domain`."""
        return records.decode_evacuation(stored)


@dataclass(frozen=True, slots=True)
class RouterOptions:
    """Options from the command line of an entry router.

    Parameters
    ----------
    metrics_port : int
        Port on which metrics are served; 0 for none.
    overload_control : str
        Value of an `OverloadMode`.
    """

    metrics_port: int = 0
    overload_control: str = OverloadMode.ON.value


def build_entry_router(
    reactor: Any,
    host: HostSettings,
    options: RouterOptions,
    rng: Random,
    listening_socket: socket.socket | None = None,
) -> EntryRouter:
    """Build an entry router.

    Parameters
    ----------
    reactor : Any
        Twisted's reactor.
    host : HostSettings
        Settings of the host on which this process runs.
    options : RouterOptions
        Options from the command line.
    rng : Random
        Source of randomness.
    listening_socket : socket.socket | None
        A socket that already listens for callers; None to open one.

    Returns
    -------
    EntryRouter
        The router, not yet started.

    Raises
    ------
    SettingsFileError
        When the host has no address for callers or for readiness checks.
    """
    settings = entry_settings(host, options)
    writer = LogWriter(reactor)
    writer.install()
    log = EventLog(host.name)
    FailureObserver(log).install()
    platform = ObjectPlatform(reactor, host.store, STORE_TIMEOUT_SECONDS)
    platform.pace_reads(settings.link_rate, settings.max_paced_read)
    dependencies = EntryDependencies(
        reactor=reactor,
        platform=platform,
        codec=PlatformCodec(),
        decoder=PlatformRecordDecoder(host.regions.values()),
        log=log,
        writer=writer,
        metrics=EntryMetrics(),
        rng=rng,
        read_settings=lambda: entry_settings(own_host_settings(), options),
        caches=EngineCacheReader(reactor),
        listening_socket=listening_socket,
    )
    prefixes = WatchedPrefixes(
        configuration=WatchedPrefix(
            records.CONFIGURATION,
            CONFIGURATION_WAIT_SECONDS,
            longest_wait=MAX_CONFIGURATION_WAIT_SECONDS,
            rest=CONFIGURATION_BATCHING_SHARE * host.bounds.apply,
            reads_after_failure=True,
        ),
        targets=WatchedPrefix(
            records.TARGETS,
            TARGETS_WAIT_SECONDS,
            rest=TARGETS_BATCHING_SHARE * settings.drain,
        ),
        routers=WatchedPrefix(
            records.ROUTERS, ROUTERS_WAIT_SECONDS, rest=ROUTERS_BATCHING_SECONDS
        ),
        evacuations=(
            None
            if host.bounds.evacuation is None
            else WatchedPrefix(records.EVACUATIONS, EVACUATIONS_WAIT_SECONDS)
        ),
    )
    return EntryRouter(settings, prefixes, dependencies)


def entry_settings(host: HostSettings, options: RouterOptions) -> EntrySettings:
    """Derive the settings of an entry router from those of its host.

    Parameters
    ----------
    host : HostSettings
        Settings of the host.
    options : RouterOptions
        Options from the command line.

    Returns
    -------
    EntrySettings
        The router's settings.

    Raises
    ------
    SettingsFileError
        When the host has no address for callers or for readiness checks.
    """
    if host.callers is None or host.readiness is None:
        detail = "no listen address for callers or readiness; run this on an entry host"
        raise SettingsFileError(os.environ.get(SETTINGS_FILE_VARIABLE, ""), detail)
    bounds = host.bounds
    port = options.metrics_port
    metrics = Endpoint(host.address, port) if port else None
    return EntrySettings(
        name=host.name,
        domain=host.domain,
        regions=host.regions,
        callers=host.callers,
        readiness=host.readiness,
        metrics=metrics,
        links=Endpoint(host.address, host.first_internal_port),
        reads_caches=not host.is_first_start,
        is_first_start=host.is_first_start,
        archive=records.ARCHIVES,
        drain=bounds.drain,
        revoke=bounds.revoke,
        not_found_max_age=NOT_FOUND_MAX_AGE_SECONDS,
        stop_within=bounds.stop,
        max_requests=host.memory_limit // BYTES_PER_REQUEST,
        forward=ForwardingSettings(
            buffer_limit=int(ANSWERS_MEMORY_SHARE * BYTES_PER_REQUEST)
        ),
        choice=ChoiceSettings(load_multiple=LOAD_MULTIPLE_SHARE * bounds.load_multiple),
        cold=ColdSettings(over=bounds.cold_over, slack=bounds.cold_slack),
        overload=OverloadSettings(mode=OverloadMode(options.overload_control)),
        repeats=SharedRetryLimits(
            bounds.retry_ratio, bounds.retry_window, bounds.retry_extra
        ),
        link_rate=host.link_rate,
        max_paced_read=PACED_READ_SHARE * bounds.apply,
        guard=_guard_settings(host),
    )


def _guard_settings(host: HostSettings) -> GuardSettings:
    return GuardSettings(
        memory=int(CALLERS_MEMORY_SHARE * host.memory_limit),
        request_memory=int(REQUESTS_MEMORY_SHARE * host.memory_limit),
        body_memory=int(BODIES_MEMORY_SHARE * host.memory_limit),
        connections=callers_connections(host.descriptor_limit),
    )
