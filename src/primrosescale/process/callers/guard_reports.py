"""Logs when callers meet the limits of a process, at most once in an interval."""

from __future__ import annotations

from dataclasses import astuple
from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.process.events import Event

if TYPE_CHECKING:
    from primrosescale.process.callers.caller_guard import CallerGuard
    from primrosescale.process.callers.caller_port import CallerPort
    from primrosescale.process.events import EventLog

REPORT_INTERVAL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class GuardCounts:
    """How often callers met a limit since the start.

    Parameters
    ----------
    given_way : int
        Connections that gave way as what callers send, or do not read, took too much
        memory.
    requests_refused : int
        Requests refused because those being answered took too much.
    bodies_refused : int
        Long bodies refused after a wait, or as they stalled while others waited.
    displaced : int
        Connections closed for new ones.
    turns : int
        Turns of connections that send many small pieces, or requests ahead.
    """

    given_way: int
    requests_refused: int
    bodies_refused: int
    displaced: int
    turns: int


def guard_counts(guard: CallerGuard, caller_port: CallerPort) -> GuardCounts:
    """Return how often callers met a limit since the start.

    Parameters
    ----------
    guard : CallerGuard
        Limits over all connections.
    caller_port : CallerPort
        The port of callers.

    Returns
    -------
    GuardCounts
        The numbers.
    """
    return GuardCounts(
        given_way=guard.account.given_way,
        requests_refused=guard.requests.refused,
        bodies_refused=guard.bodies.refused,
        displaced=caller_port.connections.closed_for_others,
        turns=guard.turns.given,
    )


class GuardReports:
    """Reports the limits that callers meet.

    Parameters
    ----------
    guard : CallerGuard
        Limits over all connections.
    caller_port : CallerPort
        The port of callers.
    log : EventLog
        Event log.
    """

    def __init__(
        self, guard: CallerGuard, caller_port: CallerPort, log: EventLog
    ) -> None:
        self._guard = guard
        self._caller_port = caller_port
        self._log = log
        self._reported = guard_counts(guard, caller_port)
        self._next_at = 0.0

    def emit_due(self, now: float) -> None:
        """Log what has happened since the last line, if anything but turns has.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        if now < self._next_at:
            return
        counts = guard_counts(self._guard, self._caller_port)
        since = GuardCounts(
            *(
                new - old
                for new, old in zip(
                    astuple(counts), astuple(self._reported), strict=True
                )
            )
        )
        if not (
            since.given_way
            or since.requests_refused
            or since.bodies_refused
            or since.displaced
            or self._guard.turns
        ):
            return
        self._reported = counts
        self._next_at = now + REPORT_INTERVAL_SECONDS
        self._log.emit(
            Event.CALLERS_LIMITED,
            memory=self._guard.account.used,
            request_memory=self._guard.requests.used,
            body_memory=self._guard.bodies.used,
            connections=len(self._caller_port.connections),
            bodies_waiting=self._guard.bodies.waiting,
            connections_waiting=len(self._guard.turns),
            given_way=since.given_way,
            requests_refused=since.requests_refused,
            bodies_refused=since.bodies_refused,
            displaced=since.displaced,
            turns=since.turns,
        )
