"""Decides which requests of callers are forwarded, and refuses the others."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.callers.caller_site import CallerResponse
from primrosescale.process.entry.request_log import refused_fields
from primrosescale.process.events import Event
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.capacity.isolated_retry import isolated_retry_delay
from primrosescale.request.capacity.stop_admission import stop_retry_delay

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection

    from primrosescale.process.callers.caller_site import EntryHandler
    from primrosescale.process.callers.caller_site import EntryRequest
    from primrosescale.process.callers.open_connections import OpenConnections
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.entry_settings import EntrySettings
    from primrosescale.process.entry.planned_stop import PlannedStop
    from primrosescale.process.entry.store_state import StoreState
    from primrosescale.request.attempt.forwarded_call import ForwardedCall
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.request_resolver import CallerHead
    from primrosescale.request.request_resolver import RequestResolver


class RequestIntake:
    """Decides on requests by what this router knows when they arrive.

    Parameters
    ----------
    handler : EntryHandler
        Handles the requests.
    parts : EntryDependencies
        Collaborators of the router.
    resolver : RequestResolver
        Looks up routes and keys.
    store_state : StoreState
        What is known of the store.
    planned_stop : PlannedStop
        Whether the router stops.
    calls : Collection[ForwardedCall]
        The requests in flight.
    connections : OpenConnections
        The connections of callers.
    settings : Callable[[], EntrySettings]
        Returns the settings in force.
    is_isolated : Callable[[float], bool]
        Returns whether the store is lost here while peer routers still reach it.
    """

    def __init__(
        self,
        handler: EntryHandler,
        parts: EntryDependencies,
        resolver: RequestResolver,
        store_state: StoreState,
        planned_stop: PlannedStop,
        calls: Collection[ForwardedCall],
        connections: OpenConnections,
        settings: Callable[[], EntrySettings],
        is_isolated: Callable[[float], bool],
    ) -> None:
        self._handler = handler
        self._parts = parts
        self._resolver = resolver
        self._store_state = store_state
        self._planned_stop = planned_stop
        self._calls = calls
        self._connections = connections
        self._settings = settings
        self._is_isolated = is_isolated

    def head(self, request: EntryRequest) -> CallerHead:
        """Return the decoded head of a request.

        Parameters
        ----------
        request : EntryRequest
            The request, of which the head has been received.

        Returns
        -------
        CallerHead
            The head.
        """
        headers: Any = request.requestHeaders
        return self._parts.codec.caller_head(request.method, request.uri, headers)

    def decide(
        self, head: CallerHead, body: bytes, now: float
    ) -> IncomingRequest | Refusal:
        """Accept or refuse a request.

        Parameters
        ----------
        head : CallerHead
            Its head.
        body : bytes
            Its body.
        now : float
            Present time in seconds.

        Returns
        -------
        IncomingRequest | Refusal
            The accepted request, or why it is refused.
        """
        resolved = self._resolver.resolve(head, body, self._store_state.table, now)
        is_full = len(self._calls) >= self._settings().max_requests
        if is_full and not self._connections.close_blocked():
            return Refusal.ROUTER_FULL
        if isinstance(resolved, Refusal) or self._planned_stop.accepts(resolved, now):
            return resolved
        return Refusal.STOPPING

    def sink(self, request: EntryRequest, request_id: str) -> CallerResponse:
        """Return what sends the response to a request.

        Parameters
        ----------
        request : EntryRequest
            The request.
        request_id : str
            Id that the caller gave it.

        Returns
        -------
        CallerResponse
            The response.
        """

        def headers(
            refusal: Refusal, retry_after: float | None
        ) -> list[tuple[bytes, bytes]]:
            return self._parts.codec.refusal_headers(refusal, request_id, retry_after)

        return CallerResponse(request, self._handler, headers)

    def refuse(
        self, request: EntryRequest, head: CallerHead, refusal: Refusal, now: float
    ) -> None:
        """Refuse a request, and log it.

        Parameters
        ----------
        request : EntryRequest
            The request.
        head : CallerHead
            Its head.
        refusal : Refusal
            The reason.
        now : float
            Present time in seconds.
        """
        sink = self.sink(request, head.request_id)
        sink.refuse(refusal, self._retry_delay(refusal, head.time_left, now))
        self._parts.metrics.refused(refusal.name.lower())
        self._parts.log.emit(
            Event.REQUEST_ENDED,
            **refused_fields(refusal, head, self._store_state.table),
            knowledge_age=self._store_state.rounded_age(now),
        )

    def _retry_delay(
        self, refusal: Refusal, time_left: float | None, now: float
    ) -> float | None:
        rng = self._parts.rng
        if refusal is Refusal.STOPPING:
            return stop_retry_delay(rng)
        if self._is_isolated(now):
            delay = isolated_retry_delay(refusal, rng)
            if delay is not None:
                return delay
        return self._settings().forward.retry_delay(refusal, time_left, rng)
