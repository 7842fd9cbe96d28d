"""Whether a caller's request is accepted, and as what.

A request is judged by the newest version known here. What is not known for
certain is refused so that the caller can come back: a route or key that is
missing may have been added in a version that this router has not seen yet.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.forwarding_interfaces import Refusal
from primrosescale.request.incoming_request import IncomingRequest

if TYPE_CHECKING:
    from random import Random

    from primrosescale.request.freshness import Freshness
    from primrosescale.request.incoming_request import Prompt
    from primrosescale.version.routing_table import Route
    from primrosescale.version.routing_table import RoutingTable

LEAST_URGENT = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHead:
    """What the head of a caller's request says.

    Parameters
    ----------
    method : bytes
        HTTP method.
    path : bytes
        Path and query.
    host : str
        Host name.
    request_id : str
        The caller's name for this attempt; empty when missing.
    key : str
        The caller's key; empty when missing.
    time_left : float | None
        Seconds that the caller will wait, when it says so.
    prompt : Prompt | None
        The prompt, for model engines.
    last_event : int | None
        Event after which a stream is to go on.
    headers : tuple[tuple[bytes, bytes], ...]
        Headers to hand on.
    traceparent : str
        Trace context; empty for none.
    """

    method: bytes
    path: bytes
    host: str
    request_id: str
    key: str
    time_left: float | None
    prompt: Prompt | None
    last_event: int | None
    headers: tuple[tuple[bytes, bytes], ...]
    traceparent: str = ""


class RequestResolver:
    """Accepts or refuses callers' requests.

    Parameters
    ----------
    freshness : Freshness
        How old the knowledge of the configuration is.
    not_found_max_age : float
        Seconds for which "there is no such route or key" may be said.
    rng : Random
        Source of chance for routes that lead to several services.
    """

    def __init__(
        self, freshness: Freshness, not_found_max_age: float, rng: Random
    ) -> None:
        self._freshness = freshness
        self._not_found_max_age = not_found_max_age
        self._rng = rng

    def configure(self, not_found_max_age: float) -> None:
        """Take in a changed setting.

        Parameters
        ----------
        not_found_max_age : float
            Seconds for which "there is no such route or key" may be said.
        """
        self._not_found_max_age = not_found_max_age

    def resolve(
        self,
        head: CallerHead,
        body: bytes,
        table: RoutingTable | None,
        now: float,
    ) -> IncomingRequest | Refusal:
        """Accept or refuse a request.

        Parameters
        ----------
        head : CallerHead
            What its head says.
        body : bytes
            Its body.
        table : RoutingTable | None
            The newest version, if any.
        now : float
            Present time in seconds.

        Returns
        -------
        IncomingRequest | Refusal
            The accepted request, or why it is refused.
        """
        if table is None:
            return Refusal.NO_CONFIGURATION
        route = table.route(head.host, head.path.decode("latin-1"))
        if route is None:
            return self._if_certain(Refusal.NO_ROUTE, now)
        if not head.request_id:
            return Refusal.NO_REQUEST_ID
        name, priority = "", route.priority
        bounds = [route.allowed_regions]
        if table.has_keys and not route.allows_anonymous:
            organisation = table.organisation(head.key)
            if organisation is None:
                return self._if_certain(Refusal.UNKNOWN_KEY, now)
            if not self._freshness.allows_keys(now):
                return Refusal.STALE
            name = organisation.name
            bounds.append(organisation.allowed_regions)
            if organisation.priority is not None:
                priority = organisation.priority
        wait = route.timeout if head.time_left is None else head.time_left
        return IncomingRequest(
            request_id=head.request_id,
            method=head.method,
            path=head.path,
            headers=head.headers,
            body=body,
            route=route,
            service=self._service(route),
            organisation=name,
            priority=min(LEAST_URGENT, max(0, priority)),
            prompt=head.prompt,
            last_event=head.last_event,
            received_at=now,
            deadline=now + wait,
            version=table.version,
            traceparent=head.traceparent,
            allowed_regions=_allowed_by_all(bounds),
        )

    def _if_certain(self, refusal: Refusal, now: float) -> Refusal:
        age = self._freshness.age(now)
        if age is None or age > self._not_found_max_age:
            return Refusal.STALE
        return refusal

    def _service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [item.weight for item in route.services]
        return self._rng.choices(route.services, weights)[0].service


def _allowed_by_all(bounds: list[frozenset[str]]) -> frozenset[str] | None:
    """Return the regions that all bounds allow; None where none of them says."""
    told = [regions for regions in bounds if regions]
    return frozenset.intersection(*told) if told else None
