"""Immutable routing table of one version: finds routes, services, organisations.

A table is built once for a version and never changed, so that a request can use
the table under which it was accepted until it ends.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


class RetryPolicy(Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service to which a route sends a share of its requests.

    Parameters
    ----------
    service : str
        Its name.
    weight : float
        Its share of the route's requests, relative to the other weights.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """How requests to a host name and path prefix are handled, and by which services.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host name, in lower case.
    path_prefix : str
        Prefix of the request's path.
    services : tuple[WeightedService, ...]
        Services that receive its requests.
    retry_policy : RetryPolicy
        Whether its requests may run more than once.
    is_resumable : bool
        Whether an interrupted stream may be resumed at another target.
    has_prompt : bool
        Whether requests carry a prompt, so that prefix caches of targets matter.
    timeout : float
        Maximum time for which a caller waits, in seconds.
    event_patience : float
        Seconds without an event after which callers of a stream leave it, also before
        its first event.
    max_targets : int
        Maximum number of targets that one request is sent to.
    priority : int
        Rank of its requests; 0 is the most urgent.
    allows_anonymous : bool
        Whether callers need no key.
    allowed_regions : frozenset[str]
        Regions whose targets may receive its requests; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    retry_policy: RetryPolicy
    is_resumable: bool
    has_prompt: bool
    timeout: float
    event_patience: float
    max_targets: int
    priority: int
    allows_anonymous: bool
    allowed_regions: frozenset[str] = frozenset()

    @property
    def may_retry(self) -> bool:
        """Return whether a request that may have run may be retried."""
        if self.retry_policy is RetryPolicy.STREAM:
            return self.is_resumable
        return self.retry_policy is RetryPolicy.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Return whether its answers are event streams."""
        return self.retry_policy is RetryPolicy.STREAM


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of targets that answer the same requests.

    Parameters
    ----------
    name : str
        Unique name.
    slots : int
        Requests that one target runs at once; 0 when not stated.
    cache_tokens : int
        Capacity of one target's prefix cache in tokens; 0 for plain services.
    cold_rate : float
        Requests per second that a target can take while it is cold; 0 for no limit
        besides those of a warm target.
    cold_seconds : float
        Seconds for which a target is cold after its start.
    max_connections : int
        Connections that a target accepts from all routers together; 0 when not
        stated.
    """

    name: str
    slots: int
    cache_tokens: int
    cold_rate: float = 0.0
    cold_seconds: float = 0.0
    max_connections: int = 0


@dataclass(frozen=True, slots=True)
class Organisation:
    """The organisation on whose behalf a request is made.

    Parameters
    ----------
    name : str
        Unique name.
    priority : int | None
        Rank of its requests; None to use the route's.
    allowed_regions : frozenset[str]
        Regions whose targets may receive its requests; empty for all.
    """

    name: str
    priority: int | None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Limits on the size and duration of what callers send.

    Parameters
    ----------
    header_bytes : int
        Maximum size of a request's head.
    body_bytes : int
        Maximum size of a request's body.
    header_timeout : float
        Seconds within which the head must be received.
    idle_timeout : float
        Seconds for which a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class RoutingTable:
    """Routes, services and bearer keys of one version.

    Parameters
    ----------
    version : int
        Number of the version; later versions have higher ones.
    routes : Iterable[Route]
        All routes.
    services : Iterable[Service]
        All services.
    keys : Mapping[str, Organisation] | None
        Organisation by bearer key; None where callers need no key.
    limits : CallerLimits
        Limits on callers.
    """

    __slots__ = (
        "_keys",
        "_limits",
        "_requires_keys",
        "_routes",
        "_services",
        "_version",
    )

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        keys: Mapping[str, Organisation] | None,
        limits: CallerLimits,
    ) -> None:
        self._version = version
        self._routes: dict[str, list[Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, []).append(route)
        for found in self._routes.values():
            found.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._services = {service.name: service for service in services}
        self._requires_keys = keys is not None
        self._keys = dict(keys or {})
        self._limits = limits

    @property
    def version(self) -> int:
        """Return the number of the version."""
        return self._version

    @property
    def limits(self) -> CallerLimits:
        """Return the limits on callers."""
        return self._limits

    @property
    def requires_keys(self) -> bool:
        """Return whether callers need a key, also when the version has none."""
        return self._requires_keys

    def service(self, name: str) -> Service | None:
        """Return a service by name.

        Parameters
        ----------
        name : str
            Name of the service.

        Returns
        -------
        Service | None
            The service; None when the version has none of this name.
        """
        return self._services.get(name)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that matches a path.

        Parameters
        ----------
        host : str
            Host name of the request, with or without a port.
        path : str
            Path of the request, with or without a query.

        Returns
        -------
        Route | None
            The route; None when none matches.
        """
        name = host.rsplit(":", 1)[0].lower()
        path_only = path.split("?", 1)[0]
        for route in self._routes.get(name, ()):
            if path_only.startswith(route.path_prefix):
                return route
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return the organisation that a key belongs to.

        Parameters
        ----------
        key : str
            The key.

        Returns
        -------
        Organisation | None
            The organisation; None for an unknown key.
        """
        return self._keys.get(key)
