"""Finds the software version that began a stream before the stream is resumed."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.clock import cancel_timer
from primrosescale.process.events import Event
from primrosescale.process.log_text import escape_for_log
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.stream.origin_search import FoundOrigin
from primrosescale.request.stream.origin_search import OriginSource

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.router_datagrams import StateExchangeProtocol
    from primrosescale.process.entry.stream_origin_exchange import StreamOriginExchange
    from primrosescale.request.attempt.forwarded_call import ForwardedCall
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.stream.origin_search import OriginSearch

# Datagrams get lost; an answer within a region arrives within milliseconds.
ASK_AGAIN_SECONDS = 0.08


class _PendingResumption:
    """A call that waits for the origin of its stream."""

    __slots__ = ("call", "is_over", "search", "timer")

    search: OriginSearch

    def __init__(self, call: ForwardedCall) -> None:
        self.call = call
        self.is_over = False
        self.timer: Timer | None = None


class StreamResumption:
    """Starts calls, those that resume a stream once its origin is known.

    Parameters
    ----------
    exchange : StreamOriginExchange
        Origins that are known here or at other routers.
    datagrams : StateExchangeProtocol
        Sends messages to other routers.
    submit : Callable[[ForwardedCall, float], None]
        Starts or queues a call, given the current time.
    parts : EntryDependencies
        Collaborators of the router.
    """

    def __init__(
        self,
        exchange: StreamOriginExchange,
        datagrams: StateExchangeProtocol,
        submit: Callable[[ForwardedCall, float], None],
        parts: EntryDependencies,
    ) -> None:
        self._exchange = exchange
        self._datagrams = datagrams
        self._submit = submit
        self._reactor: Any = parts.reactor
        self._log = parts.log
        self._metrics = parts.metrics

    def submit(self, call: ForwardedCall, now: float) -> None:
        """Start a call, at once or when the origin of its stream is known.

        Parameters
        ----------
        call : ForwardedCall
            The call, which was not submitted before.
        now : float
            Current time in seconds.
        """
        if not call.request.resumes_stream:
            self._submit(call, now)
            return
        origin = self._exchange.known(call.request, now)
        if origin is not None:
            self._finish(call, FoundOrigin(origin, OriginSource.OWN_RECORD), now)
            return
        pending = _PendingResumption(call)
        pending.search = self._exchange.search(
            call.request, lambda: self._check(pending), now
        )
        self._ask(pending)

    def began(self, request: IncomingRequest, now: float) -> None:
        """Report the origin of a stream whose first event is being sent.

        Parameters
        ----------
        request : IncomingRequest
            The caller's request.
        now : float
            Current time in seconds.
        """
        self._datagrams.send(self._exchange.began(request, now))

    def refresh(self, now: float) -> None:
        """Apply the present lists of targets and routers.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._datagrams.send(self._exchange.refresh(now))

    def _ask(self, pending: _PendingResumption) -> None:
        """Ask the routers that have not answered, again and again until a result."""
        pending.timer = None
        self._check(pending)
        if pending.is_over:
            return
        questions = self._exchange.questions(pending.call.request, pending.search)
        self._datagrams.send(questions)
        pending.timer = self._reactor.callLater(ASK_AGAIN_SECONDS, self._ask, pending)

    def _check(self, pending: _PendingResumption) -> None:
        """End a search that has a result, or whose caller has left."""
        now = float(self._reactor.seconds())
        found = pending.search.result(now)
        if pending.is_over or (found is None and not pending.call.is_over):
            return
        pending.is_over = True
        cancel_timer(pending.timer)
        self._exchange.end_search(pending.call.request, pending.search)
        if found is not None:
            self._finish(pending.call, found, now, pending.search)

    def _finish(
        self,
        call: ForwardedCall,
        found: FoundOrigin,
        now: float,
        search: OriginSearch | None = None,
    ) -> None:
        """Start the call at the origin that was found, or refuse it."""
        request = call.request
        origin = found.origin
        version = None if origin is None else origin.software_version
        services = {item.service for item in request.route.services}
        self._metrics.stream_resumed(found.source)
        self._log.emit(
            Event.STREAM_RESUMED,
            request=request.request_id,
            resumes=escape_for_log(request.first_attempt_id),
            source=found.source.value,
            service=None if origin is None else origin.service,
            software_version=escape_for_log(version or ""),
            answers=0 if search is None else search.answers,
            took=round(now - request.received_at, 3),
        )
        if call.is_over:
            return
        if origin is None or version is None or origin.service not in services:
            call.refuse(Refusal.ORIGIN_UNKNOWN, None)
            return
        if found.source is OriginSource.ONLY_VERSION and len(services) > 1:
            # The route is split, and any of its services may have begun the stream.
            call.refuse(Refusal.ORIGIN_UNKNOWN, None)
            return
        request.service = origin.service
        request.stream_origin = origin
        self._submit(call, now)
