"""Metrics sent to statsd; docs/metrics.md lists them."""

from __future__ import annotations

from enum import Enum

from statsd import StatsClient

MILLISECONDS_PER_SECOND = 1000
PREFIX = "primrosescale"


class Metric(Enum):
    """Metrics by their statsd names."""

    CALLS = "calls"
    CALLS_WHOLE = "calls.whole"
    CALLS_REFUSED = "calls.refused"
    CALLS_UNKNOWN = "calls.unknown"
    CALL_TIME = "calls.time"
    CALLS_UNDER_WAY = "calls.under_way"
    CALLERS_MEMORY = "callers.memory"
    ATTEMPTS = "attempts"
    STRAYS = "strays"
    LINKS = "links"
    CONTROL_BYTES = "control.bytes"
    LOAD = "agent.load"
    WAITING = "agent.waiting"
    RUNNING = "agent.running"
    ADMITTED = "agent.admitted"
    REFUSED = "agent.refused"
    DUPLICATES = "agent.duplicates"
    UNSETTLED = "agent.unsettled_claims"
    CACHED_TOKENS = "cached_tokens"
    PROMPT_TOKENS = "prompt_tokens"
    VERSION = "version"
    CLAIMS = "claims"
    CLAIM_WRITES = "claim_writes"


class Metrics:
    """Sends metrics to statsd; sends nothing without a statsd port.

    Parameters
    ----------
    address : str
        IP address of statsd.
    port : int
        Its UDP port; 0 for none.
    process : str
        Name of the process, part of each metric's name.
    """

    def __init__(self, address: str, port: int, process: str) -> None:
        self._client: StatsClient | None = None
        if port:
            prefix = f"{PREFIX}.{process.replace('.', '_')}"
            self._client = StatsClient(address, port, prefix=prefix)

    def count(self, metric: Metric, by: int = 1) -> None:
        """Increment a counter.

        Parameters
        ----------
        metric : Metric
            The counter.
        by : int
            Amount to add.
        """
        if self._client is not None:
            self._client.incr(metric.value, by)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge.

        Parameters
        ----------
        metric : Metric
            The gauge.
        value : float
            Current value.
        """
        if self._client is not None:
            self._client.gauge(metric.value, value)

    def timing(self, metric: Metric, seconds: float) -> None:
        """Record a duration.

        Parameters
        ----------
        metric : Metric
            The timer.
        seconds : float
            Duration in seconds.
        """
        if self._client is not None:
            self._client.timing(metric.value, seconds * MILLISECONDS_PER_SECOND)
