"""Accepts or refuses a caller's request, by its route and its API key.

It looks up the route, the organisation of the key, the service, the priority and
the allowed regions in the newest configuration that this router knows. A route or
key that is missing there may have been added in a version that this router has not
received yet. So "not found" and "unauthorised" are answered only while the
configuration is known to be recent; otherwise the request is refused with a status
that lets the caller retry.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.incoming_request import IncomingRequest

if TYPE_CHECKING:
    from random import Random

    from primrosescale.request.freshness import Freshness
    from primrosescale.request.incoming_request import Prompt
    from primrosescale.version.routing_table import Route
    from primrosescale.version.routing_table import RoutingTable

LOWEST_PRIORITY = 9


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerHead:
    """The head of a caller's request, parsed.

    Parameters
    ----------
    method : bytes
        HTTP method.
    path : bytes
        Path and query.
    host : str
        Host name.
    request_id : str
        The caller's id for this attempt; empty when missing.
    key : str
        The caller's API key; empty when missing.
    time_left : float | None
        Seconds that the caller will wait, when it states them.
    prompt : Prompt | None
        The prompt, for model engines.
    last_event : int | None
        Id of the event after which a stream is to resume.
    headers : tuple[tuple[bytes, bytes], ...]
        Headers to forward.
    traceparent : str
        Trace context; empty for none.
    first_attempt_id : str
        Id of the caller's attempt that began the stream to resume; empty when missing.
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
    first_attempt_id: str = ""


class RequestResolver:
    """Accepts or refuses callers' requests.

    Parameters
    ----------
    freshness : Freshness
        Age of the known configuration.
    not_found_max_age : float
        Age in seconds up to which an unknown route or key is answered as such.
    rng : Random
        Random generator for routes that are split between several services.
    """

    def __init__(
        self, freshness: Freshness, not_found_max_age: float, rng: Random
    ) -> None:
        self._freshness = freshness
        self._not_found_max_age = not_found_max_age
        self._rng = rng

    def configure(self, not_found_max_age: float) -> None:
        """Apply a changed setting.

        Parameters
        ----------
        not_found_max_age : float
            Age in seconds up to which an unknown route or key is answered as such.
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
            Its head.
        body : bytes
            Its body.
        table : RoutingTable | None
            The newest known version of the configuration, if any.
        now : float
            Present time in seconds.

        Returns
        -------
        IncomingRequest | Refusal
            The accepted request, or why it was refused.
        """
        if table is None:
            return Refusal.NO_CONFIGURATION
        route = table.route(head.host, head.path.decode("latin-1"))
        if route is None:
            return self._unless_outdated(Refusal.NO_ROUTE, now)
        if not head.request_id:
            return Refusal.NO_REQUEST_ID
        organisation_name, priority = "", route.priority
        restrictions = [route.allowed_regions]
        if table.requires_keys and not route.allows_anonymous:
            organisation = table.organisation(head.key)
            if organisation is None:
                return self._unless_outdated(Refusal.UNKNOWN_KEY, now)
            if not self._freshness.allows_keys(now):
                return Refusal.STALE
            organisation_name = organisation.name
            restrictions.append(organisation.allowed_regions)
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
            organisation=organisation_name,
            priority=min(LOWEST_PRIORITY, max(0, priority)),
            prompt=head.prompt,
            last_event=head.last_event,
            received_at=now,
            deadline=now + wait,
            version=table.version,
            traceparent=head.traceparent,
            allowed_regions=_common_regions(restrictions),
            first_attempt_id=head.first_attempt_id,
        )

    def _unless_outdated(self, refusal: Refusal, now: float) -> Refusal:
        age = self._freshness.age(now)
        if age is None or age > self._not_found_max_age:
            return Refusal.STALE
        return refusal

    def _service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [item.weight for item in route.services]
        return self._rng.choices(route.services, weights)[0].service


def _common_regions(restrictions: list[frozenset[str]]) -> frozenset[str] | None:
    """Return the regions that all restrictions allow; None for all regions.

    An empty restriction allows all regions.
    """
    given = [regions for regions in restrictions if regions]
    return frozenset.intersection(*given) if given else None
