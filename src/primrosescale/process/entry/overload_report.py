"""Reports overloads of services in the log and the metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.events import Event
from primrosescale.request.capacity.overload_episode import OverloadObserver

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.process.entry.overload_metrics import OverloadMetrics
    from primrosescale.process.events import EventLog
    from primrosescale.request.capacity.admission_record import AdmissionRecord
    from primrosescale.request.capacity.capacity_view import Allowance
    from primrosescale.request.capacity.overload_episode import OverloadEpisode
    from primrosescale.request.capacity.overload_episode import OverloadReason


def _unknown_pace(_: str) -> float | None:
    return None


class OverloadReport(OverloadObserver):
    """Writes events 206 and 207 and counts waiting and refused requests.

    Parameters
    ----------
    log : EventLog
        Log of numbered events.
    metrics : OverloadMetrics
        Metrics of overload control.
    pace_of : Callable[[str], float | None]
        Returns the usual pace of the targets of a service; None if not known.
    """

    def __init__(
        self,
        log: EventLog,
        metrics: OverloadMetrics,
        pace_of: Callable[[str], float | None] = _unknown_pace,
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._pace_of = pace_of

    def began(
        self, episode: OverloadEpisode, allowance: Allowance | None, waiting: int
    ) -> None:
        """Log the beginning; see `OverloadObserver.began`."""
        self._log.emit(
            Event.OVERLOAD_BEGAN,
            service=episode.service,
            waiting=waiting,
            allowance=None if allowance is None else round(allowance.mean, 2),
            capacity=None if allowance is None else round(allowance.capacity, 1),
            demand=None if allowance is None else round(allowance.demand, 1),
            pace=self._pace_of(episode.service),
        )

    def ended(self, episode: OverloadEpisode) -> None:
        """Log the end and the effects; see `OverloadObserver.ended`."""
        self._log.emit(
            Event.OVERLOAD_ENDED,
            service=episode.service,
            seconds=round(episode.last_at - episode.began_at, 2),
            refused=episode.refused,
            delayed=episode.delayed,
            longest_wait=round(episode.longest_wait, 3),
            most_refused=dict(episode.most_refused),
        )

    def delayed(self, service: str) -> None:
        """Count it; see `OverloadObserver.delayed`."""
        self._metrics.delayed(service)

    def waited(self, service: str, seconds: float) -> None:
        """Record the wait; see `OverloadObserver.waited`."""
        self._metrics.waited(service, seconds)

    def refused(self, service: str, reason: OverloadReason) -> None:
        """Count it; see `OverloadObserver.refused`."""
        self._metrics.refused(service, reason)


def admission_fields(record: AdmissionRecord | None) -> dict[str, Any]:
    """Return the fields of line 202 about the admission of a request.

    Parameters
    ----------
    record : AdmissionRecord | None
        How it was admitted; None if overload control was not in force for it.

    Returns
    -------
    dict[str, Any]
        The fields; none where overload control was not in force.
    """
    if record is None:
        return {}
    return {"waited": round(record.waited, 3)}
