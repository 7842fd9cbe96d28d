"""Gauges of what callers take of the process, and of the limits that they meet."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.process.callers.guard_reports import guard_counts

if TYPE_CHECKING:
    from primrosescale.process.callers.caller_guard import CallerGuard
    from primrosescale.process.callers.caller_port import CallerPort


def guard_gauges(guard: CallerGuard, caller_port: CallerPort) -> dict[str, float]:
    """Return the present values of the gauges, by name.

    Parameters
    ----------
    guard : CallerGuard
        Limits over all connections of callers.
    caller_port : CallerPort
        The port of callers.

    Returns
    -------
    dict[str, float]
        Bytes, and numbers of connections and requests.
    """
    counts = guard_counts(guard, caller_port)
    return {
        "caller_memory_bytes": (
            guard.account.used + guard.requests.used + guard.bodies.used
        ),
        "bodies_waiting": guard.bodies.waiting,
        "connections_waiting": len(guard.turns),
        "callers_given_way": counts.given_way,
        "callers_refused": counts.requests_refused + counts.bodies_refused,
        "callers_displaced": counts.displaced,
    }
