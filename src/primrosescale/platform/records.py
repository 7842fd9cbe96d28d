"""Records that the operator and the targets keep in the platform's store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform.exceptions import RecordError
from primrosescale.platform.host_settings import MILLISECOND
from primrosescale.platform.host_settings import parse_endpoint
from primrosescale.process.entry.router_news import OtherRouter
from primrosescale.request.serving_target import ServingTarget
from primrosescale.version.routing_table import CallerLimits
from primrosescale.version.routing_table import Organisation
from primrosescale.version.routing_table import Repeatability
from primrosescale.version.routing_table import Route
from primrosescale.version.routing_table import RoutingTable
from primrosescale.version.routing_table import Service
from primrosescale.version.routing_table import WeightedService

if TYPE_CHECKING:
    from primrosescale.process.transport.platform import StoredObject

CONFIGURATION = "config/main"
TARGETS = "servers/"
ROUTERS = "routers/"

REPEATABILITY = {
    "safe": Repeatability.IDEMPOTENT,
    "unsafe": Repeatability.ONCE,
    "streaming": Repeatability.STREAM,
}
# Limits for a version that names none; those of the users' deployments.
DEFAULT_LIMITS: dict[str, float] = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}
MALFORMED = (KeyError, TypeError, ValueError, AttributeError, IndexError)


def decode_routing_table(stored: StoredObject) -> RoutingTable:
    """Return the routing table that the operator wrote.

    Parameters
    ----------
    stored : StoredObject
        The object that holds the newest version.

    Returns
    -------
    RoutingTable
        The table.

    Raises
    ------
    RecordError
        When it cannot be read.
    """
    try:
        fields = json.loads(stored.value)
        return RoutingTable(
            int(fields["version"]),
            [_route(item) for item in fields["routes"]],
            [_service(item) for item in fields["services"]],
            _keys(fields.get("tenants") or []),
            _limits(fields.get("limits") or {}),
        )
    except MALFORMED as error:
        raise RecordError(stored.key, f"{type(error).__name__}: {error}") from error


def decode_target(stored: StoredObject) -> ServingTarget:
    """Return the target that an entry of the target list tells of.

    Parameters
    ----------
    stored : StoredObject
        The entry; its name is the target's incarnation.

    Returns
    -------
    ServingTarget
        The target.

    Raises
    ------
    RecordError
        When it cannot be read.
    """
    try:
        fields = json.loads(stored.value)
        return ServingTarget(
            name=stored.key.split("/", 1)[1],
            endpoint=parse_endpoint(fields["address"]),
            service=str(fields["service"]),
            domain=str(fields.get("zone", "")),
            slots=int(fields.get("slots") or 0),
            is_draining=fields.get("state", "ready") != "ready",
            # Time for which a target that has just started is still slow.
            warming_for=float(fields.get("cold_remaining_ms") or 0) * MILLISECOND,
            started_at=fields.get("born"),
        )
    except MALFORMED as error:
        raise RecordError(stored.key, f"{type(error).__name__}: {error}") from error


def decode_router(stored: StoredObject) -> OtherRouter:
    """Return the entry router that an entry of the list of routers tells of.

    Parameters
    ----------
    stored : StoredObject
        The entry.

    Returns
    -------
    OtherRouter
        The router.

    Raises
    ------
    RecordError
        When it cannot be read.
    """
    try:
        fields = json.loads(stored.value)
        endpoint = Endpoint(str(fields["address"]), int(fields["port"]))
        return OtherRouter(stored.key.split("/", 1)[1], endpoint)
    except MALFORMED as error:
        raise RecordError(stored.key, f"{type(error).__name__}: {error}") from error


def _route(item: dict[str, Any]) -> Route:
    split = item.get("split")
    if split:
        services = tuple(
            WeightedService(str(part["service"]), float(part["weight"]))
            for part in split
        )
    else:
        services = (WeightedService(str(item["service"]), 1.0),)
    timeout = float(item.get("timeout_ms", 60000)) * MILLISECOND
    return Route(
        name=str(item.get("name", "")),
        host=str(item["host"]).lower(),
        path_prefix=str(item["path_prefix"]),
        services=services,
        repeatability=REPEATABILITY.get(str(item["kind"]), Repeatability.ONCE),
        is_resumable=bool(item.get("resume_streams", False)),
        # "sticky" only says that requests describe their prompts.
        has_prompt=bool(item.get("sticky", False)),
        timeout=timeout,
        latency_objective=float(item.get("target_latency_ms", 0) or 0) * MILLISECOND
        or timeout,
        gap_objective=float(item.get("gap_aim_ms", 0) or 0) * MILLISECOND,
        max_targets=max(1, int(item.get("max_attempts", 1))),
        priority=int(item.get("priority", 5)),
        is_open=bool(item.get("skip_auth", False)),
    )


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine") or {}
    return Service(
        name=str(item["name"]),
        slots=int(engine.get("slots", 0) or 0),
        cache_tokens=int(engine.get("kv_cache_tokens", 0) or 0),
    )


def _keys(organisations: list[dict[str, Any]]) -> dict[str, Organisation]:
    keys: dict[str, Organisation] = {}
    for item in organisations:
        rank = item.get("priority")
        owner = Organisation(str(item["name"]), None if rank is None else int(rank))
        for key in item.get("api_keys") or []:
            keys[str(key)] = owner
    return keys


def _limits(given: dict[str, Any]) -> CallerLimits:
    def of(name: str) -> float:
        return float(given.get(name, DEFAULT_LIMITS[name]))

    return CallerLimits(
        header_bytes=int(of("max_header_bytes")),
        body_bytes=int(of("max_body_bytes")),
        header_timeout=of("header_timeout_ms") * MILLISECOND,
        idle_timeout=of("idle_timeout_ms") * MILLISECOND,
    )
