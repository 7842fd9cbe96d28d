"""Records that the operator and the targets keep in the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform.field_reader import FieldReader
from primrosescale.platform.field_reader import record_name
from primrosescale.platform.host_settings import MILLISECOND
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.request.serving_target import ServingTarget
from primrosescale.version.routing_table import CallerLimits
from primrosescale.version.routing_table import Organisation
from primrosescale.version.routing_table import RetryPolicy
from primrosescale.version.routing_table import Route
from primrosescale.version.routing_table import RoutingTable
from primrosescale.version.routing_table import Service
from primrosescale.version.routing_table import WeightedService

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from primrosescale.process.transport.platform import StoredObject

CONFIGURATION = "config/main"
TARGETS = "servers/"
ROUTERS = "routers/"
EVACUATIONS = "evacuations/"

REPEATABILITY = {
    "safe": RetryPolicy.IDEMPOTENT,
    "unsafe": RetryPolicy.ONCE,
    "streaming": RetryPolicy.STREAM,
}
# Limits for a version that names none; those of the users' deployments.
DEFAULT_LIMITS: dict[str, float] = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
# States of a target that the platform names; whether it is leaving.
STATES = {"ready": False, "draining": True}
# Requests that one target runs at once: each takes a connection, and there are
# no more ports than these on the caller's side.
MOST_SLOTS = 65535
# Milliseconds; nothing that is waited for takes a day.
LONGEST_TIME = 86_400_000
# Bytes that a caller may send: those of the longest object of the store, a
# thousand times over.
MOST_BYTES = 1_048_576_000
# Characters of a path or key: what is longer fits in no head of a request.
LONGEST_IN_HEAD = 16384
# Targets that one request may be sent to, ranks, and weights of a split; ten
# thousand times those of today.
MOST_TARGETS = 10_000
LOWEST_RANK = 10_000
# Requests a second; more than a target could be sent.
MOST_RATE = 1_000_000
MOST_WEIGHT = 1_000_000

REMEDY_TABLE = "mend it in the store; the last good version stays in force"
REMEDY_TARGET = "mend or delete it in the store; until then it names no target"
REMEDY_ROUTER = "its router writes it again; what it said last holds until then"


class KnownRoutes:
    """Routes of the version read last, by what was written of them.

    Versions change a few routes of many, and come in quick succession. A route that
    is written as before needs no reading.
    """

    __slots__ = ("_known",)

    def __init__(self) -> None:
        self._known: dict[bytes, Route] = {}

    def read(
        self, items: Iterable[FieldReader], regions: Collection[str]
    ) -> list[Route]:
        """Return the routes of a version, and know these from now on.

        Parameters
        ----------
        items : Iterable[FieldReader]
            What is written of them.
        regions : Collection[str]
            The regions that there are; the same at each call.

        Returns
        -------
        list[Route]
            The routes.

        Raises
        ------
        RecordError
            When one cannot be read; those of the last version stay known.
        """
        known: dict[bytes, Route] = {}
        routes = []
        for item in items:
            digest = item.digest()
            route = None if digest is None else self._known.get(digest)
            if route is None:
                route = _route(item, regions)
            if digest is not None:
                known[digest] = route
            routes.append(route)
        self._known = known
        return routes


def decode_routing_table(
    stored: StoredObject,
    regions: Collection[str] = (),
    routes: KnownRoutes | None = None,
) -> RoutingTable:
    """Return the routing table that the operator wrote.

    One odd field makes the version unreadable as a whole: with a route or a key
    left out, callers would be told that it does not exist.

    Parameters
    ----------
    stored : StoredObject
        The object that holds the newest version.
    regions : Collection[str]
        The regions that there are; empty where they are not known.
    routes : KnownRoutes | None
        Routes of the version read before; None to read all.

    Returns
    -------
    RoutingTable
        The table.

    Raises
    ------
    RecordError
        When it cannot be read.
    """
    reader = FieldReader.of(stored, REMEDY_TABLE, takes_null=True)
    for field in ("routes", "services"):
        reader.require(field)
    return RoutingTable(
        reader.whole("version"),
        (routes or KnownRoutes()).read(reader.children("routes"), regions),
        [_service(item) for item in reader.children("services")],
        _keys(reader, regions),
        _limits(reader.child("limits")),
    )


def decode_target(stored: StoredObject) -> ServingTarget:
    """Return the target that an entry of the target list tells of.

    Parameters
    ----------
    stored : StoredObject
        The entry; its name is the target's.

    Returns
    -------
    ServingTarget
        The target.

    Raises
    ------
    RecordError
        When it cannot be read.
    """
    reader = FieldReader.of(stored, REMEDY_TARGET)
    state = reader.text("state")
    if state not in STATES:
        reader.refuse("state", "neither of " + ", ".join(STATES))
    # Not used; of another type they show that another writer made the entry.
    reader.text_or("version", "")
    reader.whole_or("sequence", 0)
    return ServingTarget(
        name=record_name(stored, REMEDY_TARGET),
        endpoint=reader.endpoint("address"),
        service=reader.text("service"),
        domain=reader.text("zone"),
        slots=reader.whole("slots", MOST_SLOTS),
        is_draining=STATES[state],
        # Time for which a target that has just started is still slow.
        warm_up_seconds=reader.number_or("cold_remaining_ms", 0, LONGEST_TIME)
        * MILLISECOND,
        started_at=reader.whole("born") if reader.has("born") else None,
    )


def decode_router(stored: StoredObject) -> PeerRouter:
    """Return the entry router that an entry of the list of routers tells of.

    Parameters
    ----------
    stored : StoredObject
        The entry.

    Returns
    -------
    PeerRouter
        The router.

    Raises
    ------
    RecordError
        When it cannot be read.
    """
    reader = FieldReader.of(stored, REMEDY_ROUTER)
    endpoint = Endpoint(reader.address("address"), reader.port("port"))
    domain = reader.text_or("domain", "")
    return PeerRouter(record_name(stored, REMEDY_ROUTER), endpoint, domain)


def _route(item: FieldReader, regions: Collection[str]) -> Route:
    timeout = item.number_or("timeout_ms", 60000, LONGEST_TIME) * MILLISECOND
    objective = item.number_or("target_latency_ms", 0, LONGEST_TIME) * MILLISECOND
    prefix = item.text("path_prefix", LONGEST_IN_HEAD)
    if not prefix.startswith("/"):
        item.refuse("path_prefix", "begins with no slash")
    return Route(
        name=item.text_or("name", ""),
        host=item.text("host").lower(),
        path_prefix=prefix,
        services=_services(item),
        retry_policy=REPEATABILITY.get(item.text("kind"), RetryPolicy.ONCE),
        is_resumable=item.flag_or("resume_streams", absent=False),
        # "sticky" only says that requests describe their prompts.
        has_prompt=item.flag_or("sticky", absent=False),
        timeout=timeout,
        latency_objective=objective or timeout,
        gap_objective=item.number_or("gap_aim_ms", 0, LONGEST_TIME) * MILLISECOND,
        max_targets=max(1, item.whole_or("max_attempts", 1, MOST_TARGETS)),
        priority=item.whole_or("priority", 5, LOWEST_RANK),
        allows_anonymous=item.flag_or("skip_auth", absent=False),
        allowed_regions=_allowed_regions(item, regions),
    )


def _allowed_regions(item: FieldReader, regions: Collection[str]) -> frozenset[str]:
    """Return where requests may go.

    With an unknown region taken in they might go nowhere, or anywhere.
    """
    allowed = frozenset(item.texts("allowed_regions", LONGEST_IN_HEAD))
    unknown = sorted(allowed.difference(regions)) if regions else []
    if unknown:
        item.refuse("allowed_regions", f"no region {unknown[0]!a} is known")
    return allowed


def _services(route: FieldReader) -> tuple[WeightedService, ...]:
    """Return where a route leads."""
    parts = route.children("split")
    if not parts:
        return (WeightedService(route.text("service"), 1.0),)
    services = tuple(
        WeightedService(part.text("service"), float(part.number("weight", MOST_WEIGHT)))
        for part in parts
    )
    if not any(service.weight for service in services):
        route.refuse("split", "no weight above 0")
    return services


def _service(item: FieldReader) -> Service:
    engine = item.child("engine")
    return Service(
        name=item.text("name"),
        slots=engine.whole_or("slots", 0, MOST_SLOTS),
        cache_tokens=engine.whole_or("kv_cache_tokens", 0),
        cold_rate=item.number_or("cold_per_s", 0, MOST_RATE),
        cold_seconds=item.number_or("cold_start_s", 0, LONGEST_TIME * MILLISECOND),
    )


def _keys(table: FieldReader, regions: Collection[str]) -> dict[str, Organisation]:
    keys: dict[str, Organisation] = {}
    # Without the list no caller needs a key: only a version that leaves it out
    # says so.
    table.refuse_null("tenants")
    for item in table.children("tenants"):
        rank = item.whole("priority", LOWEST_RANK) if item.has("priority") else None
        allowed = _allowed_regions(item, regions)
        owner = Organisation(item.text("name"), rank, allowed)
        for key in item.texts("api_keys", LONGEST_IN_HEAD):
            keys[key] = owner
    return keys


def _limits(given: FieldReader) -> CallerLimits:
    def size(name: str) -> int:
        return given.whole_or(name, int(DEFAULT_LIMITS[name]), MOST_BYTES)

    def seconds(name: str) -> float:
        absent = DEFAULT_LIMITS[name]
        return given.number_or(name, absent, LONGEST_TIME) * MILLISECOND

    return CallerLimits(
        header_bytes=size("max_header_bytes"),
        body_bytes=size("max_body_bytes"),
        header_timeout=seconds("header_timeout_ms"),
        idle_timeout=seconds("idle_timeout_ms"),
    )
