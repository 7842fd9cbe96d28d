"""One version of the routing configuration, ready for lookups.

A table is built once for a version and never changed, so a request keeps the
table it was accepted under until it ends.
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
    """One of the services that a route leads to.

    Parameters
    ----------
    service : str
        Its name.
    weight : float
        Its share of the route's requests, against the other weights.
    """

    service: str
    weight: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Where requests of a host name and path go, and how they are treated.

    Parameters
    ----------
    name : str
        Unique name.
    host : str
        Host name, in lower case.
    path_prefix : str
        What the path begins with.
    services : tuple[WeightedService, ...]
        Where it leads.
    retry_policy : RetryPolicy
        Whether its requests may run twice.
    is_resumable : bool
        Whether a broken stream may go on at another target.
    has_prompt : bool
        Whether requests describe a prompt whose cache is worth keeping.
    timeout : float
        Longest time to keep a caller waiting, in seconds.
    latency_objective : float
        Time to the first byte that callers hope for, in seconds.
    gap_objective : float
        Longest pause between events of a stream, in seconds; 0 for none.
    max_targets : int
        Targets that one request may be sent to.
    priority : int
        Rank of its requests; 0 is the most urgent.
    allows_anonymous : bool
        Whether no key is needed.
    allowed_regions : frozenset[str]
        Regions whose targets may get its requests; empty for all.
    """

    name: str
    host: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    retry_policy: RetryPolicy
    is_resumable: bool
    has_prompt: bool
    timeout: float
    latency_objective: float
    gap_objective: float
    max_targets: int
    priority: int
    allows_anonymous: bool
    allowed_regions: frozenset[str] = frozenset()

    @property
    def may_retry(self) -> bool:
        """Tell whether a request may be sent again after it may have run."""
        if self.retry_policy is RetryPolicy.STREAM:
            return self.is_resumable
        return self.retry_policy is RetryPolicy.IDEMPOTENT

    @property
    def is_stream(self) -> bool:
        """Tell whether its answers are series of events."""
        return self.retry_policy is RetryPolicy.STREAM


@dataclass(frozen=True, slots=True, kw_only=True)
class Service:
    """A group of targets that answer the same requests.

    Parameters
    ----------
    name : str
        Unique name.
    slots : int
        Requests that one target runs at once; 0 when not told.
    cache_tokens : int
        Tokens that one target's prompt cache holds; 0 for plain services.
    cold_rate : float
        Requests a second that a target bears while it is cold; 0 for one that
        bears as many as ever.
    cold_seconds : float
        Seconds for which a target is cold after its start.
    """

    name: str
    slots: int
    cache_tokens: int
    cold_rate: float = 0.0
    cold_seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Organisation:
    """Whom a request is made for.

    Parameters
    ----------
    name : str
        Unique name.
    priority : int | None
        Rank of its requests, which goes before that of the route.
    allowed_regions : frozenset[str]
        Regions whose targets may get its requests; empty for all.
    """

    name: str
    priority: int | None
    allowed_regions: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """What callers may send and how long they may take.

    Parameters
    ----------
    header_bytes : int
        Size of a request's head.
    body_bytes : int
        Size of a request's body.
    header_timeout : float
        Seconds in which the head must have come.
    idle_timeout : float
        Seconds that a connection may be idle.
    """

    header_bytes: int
    body_bytes: int
    header_timeout: float
    idle_timeout: float


class RoutingTable:
    """Routes, services and keys of one version.

    Parameters
    ----------
    version : int
        Number of the version; later versions have higher ones.
    routes : Iterable[Route]
        All routes.
    services : Iterable[Service]
        All services.
    keys : Mapping[str, Organisation]
        Organisation that holds each key.
    limits : CallerLimits
        Limits on callers.
    """

    __slots__ = ("_keys", "_limits", "_routes", "_services", "_version")

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        keys: Mapping[str, Organisation],
        limits: CallerLimits,
    ) -> None:
        self._version = version
        self._routes: dict[str, list[Route]] = {}
        for route in routes:
            self._routes.setdefault(route.host, []).append(route)
        for found in self._routes.values():
            found.sort(key=lambda route: len(route.path_prefix), reverse=True)
        self._services = {service.name: service for service in services}
        self._keys = dict(keys)
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
    def has_keys(self) -> bool:
        """Tell whether callers need keys at all."""
        return bool(self._keys)

    def service(self, name: str) -> Service | None:
        """Return a service, if the version has it.

        Parameters
        ----------
        name : str
            Its name.

        Returns
        -------
        Service | None
            The service.
        """
        return self._services.get(name)

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that fits.

        Parameters
        ----------
        host : str
            Host name of the request, with or without a port.
        path : str
            Path of the request, with or without a query.

        Returns
        -------
        Route | None
            The route; None when there is none.
        """
        name = host.rsplit(":", 1)[0].lower()
        bare = path.split("?", 1)[0]
        for route in self._routes.get(name, ()):
            if bare.startswith(route.path_prefix):
                return route
        return None

    def organisation(self, key: str) -> Organisation | None:
        """Return who holds a key.

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
