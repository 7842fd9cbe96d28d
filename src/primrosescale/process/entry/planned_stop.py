"""Planned stop of an entry router: its times, its connections and its last requests."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from primrosescale.process.entry.request_log import cut_fields
from primrosescale.process.events import Event
from primrosescale.request.capacity.stop_admission import StopAdmission
from primrosescale.request.capacity.stop_admission import StopSchedule

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Generator

    from primrosescale.process.callers.caller_connections import EntryFactory
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.request.attempt.forwarded_call import ForwardedCall
    from primrosescale.request.incoming_request import IncomingRequest

# Connections are closed when they have been idle for one to two intervals, so that a
# caller that sends its next request right after an answer is still heard.
CLOSE_IDLE_SECONDS = 0.1
# Time to send the last answers, those of requests that are cut.
FLUSH_SECONDS = 0.1


class PlannedStop:
    """Ends the requests and connections of a router that stops.

    Parameters
    ----------
    parts : EntryDependencies
        Collaborators of the router.
    calls : Collection[ForwardedCall]
        The requests in flight, as the router adds and removes them.
    connections : EntryFactory
        Connections of callers.
    """

    def __init__(
        self,
        parts: EntryDependencies,
        calls: Collection[ForwardedCall],
        connections: EntryFactory,
    ) -> None:
        self._reactor: Any = parts.reactor
        self._log = parts.log
        self._calls = calls
        self._connections = connections
        self._admission = StopAdmission()
        self._schedule: StopSchedule

    @property
    def is_under_way(self) -> bool:
        """Return whether the router is stopping."""
        return self._admission.is_stopping

    def accepts(self, request: IncomingRequest, now: float) -> bool:
        """Return whether to serve a request; see `StopAdmission.accepts`."""
        return self._admission.accepts(request, now)

    def answered(self, request: IncomingRequest, now: float) -> None:
        """Record a complete answer; see `StopAdmission.answered`."""
        self._admission.answered(request, now)

    def begin(self, stop_within: float, now: float) -> None:
        """Begin to refuse requests that could not be finished.

        Parameters
        ----------
        stop_within : float
            Seconds until the process is killed.
        now : float
            Present time in seconds.
        """
        self._schedule = StopSchedule.of(stop_within, now)
        self._admission.begin(self._schedule)
        self._log.emit(Event.PROCESS_STOPPING, under_way=len(self._calls))

    @inlineCallbacks
    def finish(self, stop_listening: Callable[[], None]) -> Generator[Any, Any, None]:
        """Wait until all requests have ended or their time is over.

        Parameters
        ----------
        stop_listening : Callable[[], None]
            Closes the port of callers.

        Returns
        -------
        Deferred[None]
            Fires when no request or connection is left, or the time is over.
        """
        schedule = self._schedule
        yield self._sleep(schedule.listens_until - schedule.began_at)
        stop_listening()
        while self._reactor.seconds() < schedule.cuts_at:
            self._connections.close_idle()
            if not self._calls and not self._connections.open_channels:
                break
            yield self._sleep(CLOSE_IDLE_SECONDS)
        if self._calls:
            self._log.emit(Event.STOP_CUT, **cut_fields(self._calls, schedule.began_at))
            for call in list(self._calls):
                call.time_out()
            yield self._sleep(FLUSH_SECONDS)

    def _sleep(self, seconds: float) -> Any:
        return deferLater(self._reactor, seconds, lambda: None)
