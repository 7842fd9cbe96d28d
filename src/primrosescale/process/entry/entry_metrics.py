"""Prometheus metrics of an entry router."""

from __future__ import annotations

from typing import TYPE_CHECKING

from prometheus_client import CollectorRegistry
from prometheus_client import Counter
from prometheus_client import Gauge
from prometheus_client import Histogram
from prometheus_client.exposition import generate_latest

from primrosescale.process.entry.overload_metrics import OverloadMetrics
from primrosescale.request.choice.target_choice import STALE_LOAD_SECONDS

if TYPE_CHECKING:
    from primrosescale.request.attempt.forwarded_call import ForwardedCall
    from primrosescale.request.attempt.shared_retry_budget import RetryUsage
    from primrosescale.request.attempt.silent_target import SilenceReport
    from primrosescale.request.stream.origin_search import OriginSource

# From the first byte of a plain answer to that of a stream behind long prompts.
LATENCY_BUCKETS_SECONDS = (
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.0,
    1.5,
    2.5,
    5.0,
    10.0,
)


class EntryMetrics:
    """Counters, gauges and latency histograms of an entry router."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        self._overload = OverloadMetrics(self._registry)
        self._requests = Counter(
            "primrosescale_requests",
            "Requests of callers that ended",
            ["route", "outcome"],
            registry=self._registry,
        )
        self._attempts = Counter(
            "primrosescale_attempts",
            "Requests sent to targets",
            ["target"],
            registry=self._registry,
        )
        self._prompts = Counter(
            "primrosescale_prompts_sent",
            "Prompts sent to targets, by what the target was taken to have of them",
            ["place", "is_copied", "has_old_loads"],
            registry=self._registry,
        )
        self._cold_passes = Counter(
            "primrosescale_cold_passes",
            "Requests sent to a target while cold ones were passed over",
            registry=self._registry,
        )
        self._paused_passes = Counter(
            "primrosescale_rest_passes",
            "Requests sent to a target while resting ones were passed over",
            registry=self._registry,
        )
        self._corrected_pauses = Counter(
            "primrosescale_odd_rests",
            "Answers whose Retry-After had to be bounded, or could not be read",
            registry=self._registry,
        )
        self._silences = Counter(
            "primrosescale_silences",
            "Judgements on targets that sent nothing",
            ["verdict"],
            registry=self._registry,
        )
        self._resumed_streams = Counter(
            "primrosescale_resumed_streams",
            "Streams that callers took up again, by what their version is known from",
            ["source"],
            registry=self._registry,
        )
        self._restarts = Counter(
            "primrosescale_target_restarts",
            "Targets that started again under their names",
            registry=self._registry,
        )
        self._ends = Counter(
            "primrosescale_target_ends",
            "Targets that ended with requests of this router on board",
            registry=self._registry,
        )
        self._closed_unread = Counter(
            "primrosescale_connections_closed_unread",
            "New connections closed before their requests were read",
            registry=self._registry,
        )
        self._refused_records = Counter(
            "primrosescale_refused_records",
            "Records of the store that could not be read, once a change",
            ["kind"],
            registry=self._registry,
        )
        self._unreadable_records = Gauge(
            "primrosescale_unreadable_records",
            "Records of the store that cannot be read now",
            ["kind"],
            registry=self._registry,
        )
        self._retries = Gauge(
            "primrosescale_retries",
            "Retries in the window of the shared retry budget",
            ["service"],
            registry=self._registry,
        )
        self._assumed_read_retries = Counter(
            "primrosescale_assumed_read_retries",
            "Retries taken as read by their targets without an answer to them",
            ["service"],
            registry=self._registry,
        )
        self._unread_retries = Gauge(
            "primrosescale_unread_retries",
            "Retries that are not known to have been read by their targets",
            ["service"],
            registry=self._registry,
        )
        self._refused_retries = Counter(
            "primrosescale_refused_retries",
            "Retries that the shared retry budget did not allow",
            ["service"],
            registry=self._registry,
        )
        self._capacity = Gauge(
            "primrosescale_overload_capacity",
            "Requests that all routers together should have at the targets",
            ["service"],
            registry=self._registry,
        )
        self._demand = Gauge(
            "primrosescale_overload_demand",
            "Requests of all routers: at the targets, waiting, and to return",
            ["service"],
            registry=self._registry,
        )
        self._first_byte = Histogram(
            "primrosescale_first_byte_seconds",
            "Time from the request to the first byte of its answer",
            ["route"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._duration = Histogram(
            "primrosescale_request_seconds",
            "Time from the request to the end of its answer",
            ["route"],
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._gauges = {
            name: Gauge(f"primrosescale_{name}", text, registry=self._registry)
            for name, text in (
                ("version", "Version of the configuration in force"),
                ("knowledge_age_seconds", "Age of the newest answer of the store"),
                ("targets", "Targets known"),
                ("cold_targets", "Targets that are taken to be cold"),
                ("leaving_targets", "Targets that leave, by entry or answer"),
                ("resting_targets", "Targets that asked for a rest"),
                ("suspect_targets", "Targets that could not be reached, or are silent"),
                ("evacuated_domains", "Failure domains that get no requests"),
                ("caller_connections", "Connections of callers"),
                ("caller_memory_bytes", "Bytes held for callers"),
                ("bodies_waiting", "Long bodies that wait for room"),
                ("connections_waiting", "Connections that wait for their turn"),
                ("callers_given_way", "Connections closed as callers held too much"),
                ("callers_refused", "Requests refused as callers held too much"),
                ("callers_displaced", "Connections closed for new ones"),
                ("requests_under_way", "Requests under way"),
                ("target_connections", "Connections to targets"),
                (
                    "target_connections_closed",
                    "Idle connections closed to stay within a share",
                ),
                ("stream_origins", "Streams whose software version is kept"),
                ("store_calls", "Calls made to the store"),
                ("news_bytes", "Bytes of news sent to other routers"),
                ("peers", "Other routers heard of lately"),
                ("news_age_seconds", "Age of the oldest load told by other routers"),
                ("relay_rank", "Place among the relays of its domain; -1 for none"),
                ("requests_held_back", "Requests that are not sent any more"),
                ("requests_suspected", "Requests under which targets ended"),
                ("parts_held_back", "Prompt parts that are held back"),
                ("parts_suspected", "Prompt parts under which targets ended"),
                ("is_ready", "Whether the balancer is told to send callers"),
                ("log_lines_dropped", "Log lines left out"),
            )
        }

    @property
    def overload(self) -> OverloadMetrics:
        """Return the metrics of overload control."""
        return self._overload

    def refused(self, outcome: str) -> None:
        """Count a request that was refused before a route was found for it.

        Parameters
        ----------
        outcome : str
            Name of the refusal.
        """
        self._requests.labels("", outcome).inc()

    def ended(self, call: ForwardedCall, outcome: str, now: float) -> None:
        """Count a forwarded request that has ended.

        Parameters
        ----------
        call : ForwardedCall
            The forwarded request.
        outcome : str
            Its result.
        now : float
            Current time in seconds.
        """
        request = call.request
        route = request.route.name
        self._requests.labels(route, outcome).inc()
        self._duration.labels(route).observe(now - request.received_at)
        if call.first_byte_at is not None:
            self._first_byte.labels(route).observe(
                call.first_byte_at - request.received_at
            )
        for attempt in call.attempts:
            self._attempts.labels(attempt.target).inc()
            if attempt.passed_cold:
                self._cold_passes.inc()
            if attempt.passed_resting:
                self._paused_passes.inc()
            if attempt.is_rest_odd:
                self._corrected_pauses.inc()
            if request.prompt is not None:
                self._prompts.labels(
                    "home" if attempt.is_home else "elsewhere",
                    bool(attempt.fetched_from),
                    attempt.load_age > STALE_LOAD_SECONDS,
                ).inc()

    def silence_judged(self, silence: SilenceReport) -> None:
        """Count a verdict on a silent target.

        Parameters
        ----------
        silence : SilenceReport
            The silence, with the verdict.
        """
        self._silences.labels(silence.verdict.name.lower()).inc()

    def stream_resumed(self, source: OriginSource) -> None:
        """Count a stream that its caller took up again.

        Parameters
        ----------
        source : OriginSource
            From where the version that began it is known.
        """
        self._resumed_streams.labels(source.name.lower()).inc()

    def target_restarted(self) -> None:
        """Count the restart of a target."""
        self._restarts.inc()

    def connection_closed_unread(self) -> None:
        """Count a new connection that was closed before its request was read."""
        self._closed_unread.inc()

    def target_ended(self) -> None:
        """Count a target that has ended with requests of this router in flight."""
        self._ends.inc()

    def record_refused(self, kind: str) -> None:
        """Count a change of a store record that left it unreadable.

        Parameters
        ----------
        kind : str
            Kind of the record.
        """
        self._refused_records.labels(kind).inc()

    def unreadable_records(self, kind: str, number: int) -> None:
        """Set the number of store records of a kind that are currently unreadable.

        Parameters
        ----------
        kind : str
            Kind of the records.
        number : int
            Number of records.
        """
        self._unreadable_records.labels(kind).set(number)

    def retries_used(self, service: str, usage: RetryUsage) -> None:
        """Record what was used of the retry budget of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        usage : RetryUsage
            The usage since the last record.
        """
        self._retries.labels(service).set(usage.retries)
        self._refused_retries.labels(service).inc(usage.refused)
        self._unread_retries.labels(service).set(usage.unread)
        self._assumed_read_retries.labels(service).inc(usage.assumed_read)

    def capacity(self, service: str, capacity: float, demand: float) -> None:
        """Set capacity and demand of a service with overload control.

        Parameters
        ----------
        service : str
            Name of the service.
        capacity : float
            Requests that all routers together should have at its targets.
        demand : float
            Requests of all routers, at the targets and waiting.
        """
        self._capacity.labels(service).set(capacity)
        self._demand.labels(service).set(demand)

    def gauge(self, name: str, value: float) -> None:
        """Set the value of a gauge.

        Parameters
        ----------
        name : str
            Name of the gauge, without prefix.
        value : float
            Current value.
        """
        self._gauges[name].set(value)

    def text(self) -> bytes:
        """Return all metrics in the text format of Prometheus.

        Returns
        -------
        bytes
            The encoded text.
        """
        return bytes(generate_latest(self._registry))
