"""Prometheus metrics of overload control."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry

    from primrosescale.request.capacity.overload_episode import OverloadReason
    from primrosescale.request.capacity.service_admission import ServiceAdmission

# From a tick of the queue to the longest time that callers usually have.
WAIT_BUCKETS_SECONDS = (0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 6.0, 12.0)
NO_LIMIT = -1.0


class OverloadMetrics:
    """Waiting and refused requests of overloaded services.

    Parameters
    ----------
    registry : CollectorRegistry
        Registry of the router's metrics.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self._waiting = Gauge(
            "primrosescale_overload_waiting",
            "Requests that wait in this router",
            ["service"],
            registry=registry,
        )
        self._allowance = Gauge(
            "primrosescale_overload_allowance",
            "Requests that this router may have at the targets; -1 for no limit",
            ["service"],
            registry=registry,
        )
        self._waits = Counter(
            "primrosescale_overload_waits",
            "Requests that had to wait",
            ["service"],
            registry=registry,
        )
        self._refusals = Counter(
            "primrosescale_overload_refusals",
            "Requests refused because of an overload",
            ["service", "reason"],
            registry=registry,
        )
        self._wait = Histogram(
            "primrosescale_overload_wait_seconds",
            "Time for which requests waited",
            ["service"],
            buckets=WAIT_BUCKETS_SECONDS,
            registry=registry,
        )

    def delayed(self, service: str) -> None:
        """Count a request that begins to wait.

        Parameters
        ----------
        service : str
            Its service.
        """
        self._waits.labels(service).inc()

    def waited(self, service: str, seconds: float) -> None:
        """Record for how long a request waited.

        Parameters
        ----------
        service : str
            Its service.
        seconds : float
            Length of the wait.
        """
        self._wait.labels(service).observe(seconds)

    def refused(self, service: str, reason: OverloadReason) -> None:
        """Count a refused request.

        Parameters
        ----------
        service : str
            Its service.
        reason : OverloadReason
            Why it was refused.
        """
        self._refusals.labels(service, reason.value).inc()

    def refresh(self, services: dict[str, ServiceAdmission]) -> None:
        """Set the gauges.

        Parameters
        ----------
        services : dict[str, ServiceAdmission]
            Admission of each service, by its name.
        """
        for name, service in services.items():
            allowance = service.last_allowance
            self._waiting.labels(name).set(service.waiting)
            self._allowance.labels(name).set(
                NO_LIMIT if allowance is None else allowance.mean
            )
