"""Decodes records of the platform's store: configuration, targets and routers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.checked_values import checked_text
from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform.exceptions import RecordError
from primrosescale.platform.field_reader import FieldReader
from primrosescale.platform.field_reader import record_name
from primrosescale.platform.host_settings import SECONDS_PER_MILLISECOND
from primrosescale.process.entry.codec import TableDecoding
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.request.target.serving_target import ServingTarget
from primrosescale.version.routing_table import CallerLimits
from primrosescale.version.routing_table import Organisation
from primrosescale.version.routing_table import RetryPolicy
from primrosescale.version.routing_table import Route
from primrosescale.version.routing_table import RoutingTable
from primrosescale.version.routing_table import Service
from primrosescale.version.routing_table import WeightedService

if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Generator
    from collections.abc import Iterable

    from primrosescale.process.transport.platform import StoredObject

CONFIGURATION = "config/main"
TARGETS = "servers/"
ROUTERS = "routers/"
EVACUATIONS = "evacuations/"
ARCHIVES = "router-archives/"

RETRY_POLICIES = {
    "safe": RetryPolicy.IDEMPOTENT,
    "unsafe": RetryPolicy.ONCE,
    "streaming": RetryPolicy.STREAM,
}
# Limits used for those that a version leaves out; the values of the users'
# deployments.
DEFAULT_LIMITS: dict[str, float] = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
# States of a target on the platform, and whether a target in it is leaving.
IS_DRAINING_BY_STATE = {"ready": False, "draining": True}
# Maximum requests that a target runs at once. Each takes a connection, and a router
# has no more local ports than these.
MAX_SLOTS = 65535
# One day; no wait is that long.
MAX_DURATION_MILLISECONDS = 86_400_000
# Callers leave a stream after the longest of this time without an event, and of these
# multiples of the two objectives that its route states.
MIN_EVENT_PATIENCE_MILLISECONDS = 2000.0
BEGINNINGS_OF_EVENT_PATIENCE = 4.0
PAUSES_OF_EVENT_PATIENCE = 8.0
# Upper bound of the configured limits on bytes that a caller may send: a thousand
# times those of the largest object of the store.
MAX_CALLER_BYTES = 1_048_576_000
# Maximum characters of a path or key; longer ones do not fit in the head of a request.
MAX_HEAD_TEXT_LENGTH = 16384
# Targets to which a request may be sent, and priorities; like `MAX_WEIGHT`, ten
# thousand times the values in use.
MAX_TARGETS_PER_REQUEST = 10_000
MAX_PRIORITY = 10_000
# More requests than a target could be sent.
MAX_REQUESTS_PER_SECOND = 1_000_000
# Weight of a service in a split.
MAX_WEIGHT = 1_000_000

REMEDY_TABLE = "correct it in the store; the last valid version stays in force"
REMEDY_TARGET = "correct or delete it in the store; until then it is no target"
REMEDY_ROUTER = "its router writes it again; its last valid entry holds until then"
REMEDY_EVACUATION = "delete it in the store; it evacuates no targets"


class RouteCache:
    """Caches the decoded routes of the version read last, by their content.

    Versions follow each other quickly and change a few routes of many. Unchanged
    routes need not be decoded again. Those of a version that was left unfinished are
    kept too: otherwise versions that follow each other within the time that decoding
    takes would prevent each other from being completed.
    """

    __slots__ = ("_routes_by_digest", "_unfinished")

    def __init__(self) -> None:
        self._routes_by_digest: dict[bytes, Route] = {}
        # Routes of the version that was begun last and not completed.
        self._unfinished: dict[bytes, Route] = {}

    def read(
        self, items: Iterable[FieldReader], regions: Collection[str]
    ) -> Generator[None, None, list[Route]]:
        """Decode the routes of a version, and cache only these from then on.

        It yields after each route.

        Parameters
        ----------
        items : Iterable[FieldReader]
            Readers of the routes' objects.
        regions : Collection[str]
            The regions of the deployment; the same for each call.

        Returns
        -------
        Generator[None, None, list[Route]]
            Returns the routes at its end.

        Raises
        ------
        RecordError
            When a route is invalid; the routes of the last version stay cached.
        """
        known: dict[bytes, Route] = {}
        before, self._unfinished = self._unfinished, known
        routes = []
        for item in items:
            digest = item.digest()
            route = None
            if digest is not None:
                route = self._routes_by_digest.get(digest) or before.get(digest)
            if route is None:
                route = _route(item, regions)
            if digest is not None:
                known[digest] = route
            routes.append(route)
            yield
        self._routes_by_digest = known
        self._unfinished = {}
        return routes


def decode_routing_table(
    stored: StoredObject,
    regions: Collection[str] = (),
    routes: RouteCache | None = None,
) -> RoutingTable:
    """Decode the routing table that the operator wrote, in one go.

    The parameters and errors are those of `begin_routing_table`.

    Parameters
    ----------
    stored : StoredObject
        The object that contains the newest version.
    regions : Collection[str]
        The regions of the deployment; empty when they are not known.
    routes : RouteCache | None
        Cache of the routes of the last version; None to decode all routes.

    Returns
    -------
    RoutingTable
        The routing table.

    Raises
    ------
    RecordError
        When the record is invalid.
    """
    steps = begin_routing_table(stored, regions, routes).steps
    while True:
        try:
            next(steps)
        except StopIteration as end:
            table: RoutingTable = end.value
            return table


def begin_routing_table(
    stored: StoredObject,
    regions: Collection[str] = (),
    routes: RouteCache | None = None,
) -> TableDecoding:
    """Decode the number of a routing table, to decode the rest in steps.

    One invalid field makes the whole version unreadable: if its route or key were
    left out, callers would get answers that it does not exist.

    Parameters
    ----------
    stored : StoredObject
        The object that contains the newest version.
    regions : Collection[str]
        The regions of the deployment; empty when they are not known.
    routes : RouteCache | None
        Cache of the routes of the last version; None to decode all routes.

    Returns
    -------
    TableDecoding
        The number of the version, and the steps that are left.

    Raises
    ------
    RecordError
        When the record is invalid; also raised by a step.
    """
    reader = FieldReader.of(stored, REMEDY_TABLE, null_is_absent=True)
    for field in ("routes", "services"):
        reader.require(field)
    version = reader.integer("version")
    return TableDecoding(
        version, _table_steps(reader, version, regions, routes or RouteCache())
    )


def _table_steps(
    reader: FieldReader, version: int, regions: Collection[str], cache: RouteCache
) -> Generator[None, None, RoutingTable]:
    """Decode a table; yield after each route, service and organisation."""
    routes = yield from cache.read(reader.children("routes"), regions)
    services = []
    for item in reader.children("services"):
        services.append(_service(item))
        yield
    keys = yield from _keys(reader, regions)
    return RoutingTable(
        version, routes, services, keys, _limits(reader.child("limits"))
    )


def decode_target(stored: StoredObject) -> ServingTarget:
    """Decode an entry of the target list.

    Parameters
    ----------
    stored : StoredObject
        The entry; its name is that of the target.

    Returns
    -------
    ServingTarget
        The target.

    Raises
    ------
    RecordError
        When the record is invalid.
    """
    reader = FieldReader.of(stored, REMEDY_TARGET)
    state = reader.text("state")
    if state not in IS_DRAINING_BY_STATE:
        reader.refuse("state", "not one of " + ", ".join(IS_DRAINING_BY_STATE))
    # Not used, but a value of another type shows that another writer made the entry.
    reader.integer_or("sequence", 0)
    return ServingTarget(
        name=record_name(stored, REMEDY_TARGET),
        endpoint=reader.endpoint("address"),
        service=reader.text("service"),
        domain=reader.text("zone"),
        slots=reader.integer("slots", MAX_SLOTS),
        is_draining=IS_DRAINING_BY_STATE[state],
        # Time for which a target that has just started stays cold.
        warm_up_seconds=reader.number_or(
            "cold_remaining_ms", 0, MAX_DURATION_MILLISECONDS
        )
        * SECONDS_PER_MILLISECOND,
        started_at=reader.integer("born") if reader.has("born") else None,
        software_version=reader.text_or("version", ""),
    )


def decode_router(stored: StoredObject) -> PeerRouter:
    """Decode an entry of the list of routers.

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
        When the record is invalid.
    """
    reader = FieldReader.of(stored, REMEDY_ROUTER)
    endpoint = Endpoint(reader.address("address"), reader.port("port"))
    domain = reader.text_or("domain", "")
    incarnation = reader.integer_or("incarnation", 0)
    name = record_name(stored, REMEDY_ROUTER)
    return PeerRouter(name, endpoint, domain, incarnation)


def decode_evacuation(stored: StoredObject) -> str:
    """Decode an entry of the list of evacuated failure domains.

    Parameters
    ----------
    stored : StoredObject
        The entry. Only its name matters, whatever it holds.

    Returns
    -------
    str
        The failure domain.

    Raises
    ------
    RecordError
        When no target can be in a domain of this name.
    """
    try:
        domain = checked_text(stored.name)
    except ValueError as error:
        raise RecordError(stored.key, "name", str(error), REMEDY_EVACUATION) from error
    if not domain:
        raise RecordError(stored.key, "name", "missing", REMEDY_EVACUATION)
    return domain


def _route(item: FieldReader, regions: Collection[str]) -> Route:
    timeout = (
        item.number_or("timeout_ms", 60000, MAX_DURATION_MILLISECONDS)
        * SECONDS_PER_MILLISECOND
    )
    prefix = item.text("path_prefix", MAX_HEAD_TEXT_LENGTH)
    if not prefix.startswith("/"):
        item.refuse("path_prefix", "does not begin with a slash")
    return Route(
        name=item.text_or("name", ""),
        host=item.text("host").lower(),
        path_prefix=prefix,
        services=_services(item),
        retry_policy=RETRY_POLICIES.get(item.text("kind"), RetryPolicy.ONCE),
        is_resumable=item.flag_or("resume_streams", default=False),
        # "sticky" only means that requests describe their prompts.
        has_prompt=item.flag_or("sticky", default=False),
        timeout=timeout,
        event_patience=_event_patience(item),
        max_targets=max(1, item.integer_or("max_attempts", 1, MAX_TARGETS_PER_REQUEST)),
        priority=item.integer_or("priority", 5, MAX_PRIORITY),
        allows_anonymous=item.flag_or("skip_auth", default=False),
        allowed_regions=_allowed_regions(item, regions),
    )


def _event_patience(item: FieldReader) -> float:
    """Return after how many seconds without an event callers leave a stream.

    Callers derive it from the two objectives of the route, which have no other effect.
    """
    beginning = item.number_or("target_latency_ms", 0, MAX_DURATION_MILLISECONDS)
    pause = item.number_or("gap_aim_ms", 0, MAX_DURATION_MILLISECONDS)
    longest = max(
        MIN_EVENT_PATIENCE_MILLISECONDS,
        BEGINNINGS_OF_EVENT_PATIENCE * beginning,
        PAUSES_OF_EVENT_PATIENCE * pause,
    )
    return longest * SECONDS_PER_MILLISECOND


def _allowed_regions(item: FieldReader, regions: Collection[str]) -> frozenset[str]:
    """Return the regions to which requests may be sent.

    An unknown region is refused: if it were accepted, requests could be sent to no
    target; if it were ignored, they could be sent to any.
    """
    allowed = frozenset(item.texts("allowed_regions", MAX_HEAD_TEXT_LENGTH))
    unknown = sorted(allowed.difference(regions)) if regions else []
    if unknown:
        item.refuse("allowed_regions", f"region {unknown[0]!a} is not known")
    return allowed


def _services(route: FieldReader) -> tuple[WeightedService, ...]:
    """Return the services of a route with their weights."""
    parts = route.children("split")
    if not parts:
        return (WeightedService(route.text("service"), 1.0),)
    services = tuple(
        WeightedService(part.text("service"), float(part.number("weight", MAX_WEIGHT)))
        for part in parts
    )
    if not any(service.weight for service in services):
        route.refuse("split", "no weight above 0")
    return services


def _service(item: FieldReader) -> Service:
    engine = item.child("engine")
    return Service(
        name=item.text("name"),
        slots=engine.integer_or("slots", 0, MAX_SLOTS),
        cache_tokens=engine.integer_or("kv_cache_tokens", 0),
        cold_rate=item.number_or("cold_per_s", 0, MAX_REQUESTS_PER_SECOND),
        cold_seconds=item.number_or(
            "cold_start_s", 0, MAX_DURATION_MILLISECONDS * SECONDS_PER_MILLISECOND
        ),
        max_connections=item.integer_or("max_connections", 0),
    )


def _keys(
    table: FieldReader, regions: Collection[str]
) -> Generator[None, None, dict[str, Organisation] | None]:
    """Decode the organisations by their keys; yield after each.

    Without the list, no caller needs a key, and None is returned. Only leaving the list
    out has this meaning: null is refused, and a list in which no key is left admits
    nobody.
    """
    table.refuse_null("tenants")
    if not table.has("tenants"):
        return None
    keys: dict[str, Organisation] = {}
    for item in table.children("tenants"):
        rank = item.integer("priority", MAX_PRIORITY) if item.has("priority") else None
        allowed = _allowed_regions(item, regions)
        owner = Organisation(item.text("name"), rank, allowed)
        for key in item.texts("api_keys", MAX_HEAD_TEXT_LENGTH):
            keys[key] = owner
        yield
    return keys


def _limits(given: FieldReader) -> CallerLimits:
    def size(name: str) -> int:
        return given.integer_or(name, int(DEFAULT_LIMITS[name]), MAX_CALLER_BYTES)

    def seconds(name: str) -> float:
        default = DEFAULT_LIMITS[name]
        return (
            given.number_or(name, default, MAX_DURATION_MILLISECONDS)
            * SECONDS_PER_MILLISECOND
        )

    return CallerLimits(
        header_bytes=size("max_header_bytes"),
        body_bytes=size("max_body_bytes"),
        header_timeout=seconds("header_timeout_ms"),
        idle_timeout=seconds("idle_timeout_ms"),
    )
