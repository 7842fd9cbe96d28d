"""Starts OpenTelemetry spans for traced requests and exports them to the log."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export import SpanExporter
from opentelemetry.sdk.trace.export import SpanExportResult
from opentelemetry.sdk.trace.sampling import ALWAYS_ON
from opentelemetry.trace import set_span_in_context
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

from primrosescale.process.events import Event
from primrosescale.request.trace_span import NO_SPAN
from primrosescale.request.trace_span import TraceSpan
from primrosescale.request.trace_span import UnrecordedSpan

if TYPE_CHECKING:
    from collections.abc import Sequence
    from random import Random

    from opentelemetry.sdk.trace import ReadableSpan
    from opentelemetry.trace import Span

    from primrosescale.process.events import EventLog

TRACEPARENT_HEADER = "traceparent"
MIN_TRACEPARENT_FIELDS = 4
SAMPLED_FLAG = 1
HEX_BASE = 16


class LogExporter(SpanExporter):
    """Span exporter that writes ended spans to the log.

    Parameters
    ----------
    log : EventLog
        Event log.
    """

    def __init__(self, log: EventLog) -> None:
        self._log = log

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write spans to the log.

        Parameters
        ----------
        spans : Sequence[ReadableSpan]
            Ended spans.

        Returns
        -------
        SpanExportResult
            Always `SpanExportResult.SUCCESS`.
        """
        for span in spans:
            context = span.context
            if context is None:
                continue
            parent = span.parent
            self._log.emit(
                Event.SPAN,
                name=span.name,
                trace=f"{context.trace_id:032x}",
                span=f"{context.span_id:016x}",
                parent=f"{parent.span_id:016x}" if parent else "",
                start_ns=span.start_time,
                end_ns=span.end_time,
                attributes=dict(span.attributes or {}),
            )
        return SpanExportResult.SUCCESS


class RecordedSpan(TraceSpan):
    """Span of a traced request, recorded through OpenTelemetry.

    Parameters
    ----------
    span : Span
        The OpenTelemetry span.
    traceparent : str
        Trace context to send to the next process.
    """

    __slots__ = ("_span", "_traceparent")

    def __init__(self, span: Span, traceparent: str) -> None:
        self._span = span
        self._traceparent = traceparent

    @property
    def traceparent(self) -> str:
        """Return the trace context to send on; see `TraceSpan.traceparent`."""
        return self._traceparent

    def end(self, **attributes: Any) -> None:
        """End the span; see `TraceSpan.end`."""
        self._span.set_attributes(attributes)
        self._span.end()


class Tracing:
    """Starts the spans of this process.

    Parameters
    ----------
    log : EventLog
        Event log that spans are written to.
    share : float
        Share of requests traced when the caller sends no trace context.
    rng : Random
        Random numbers for sampling.
    """

    def __init__(self, log: EventLog, share: float, rng: Random) -> None:
        self._share = share
        self._rng = rng
        self._provider = TracerProvider(sampler=ALWAYS_ON)
        self._provider.add_span_processor(SimpleSpanProcessor(LogExporter(log)))
        self._tracer = self._provider.get_tracer("primrosescale")
        self._propagator = TraceContextTextMapPropagator()

    def start(self, name: str, traceparent: str, *, may_begin: bool) -> TraceSpan:
        """Start a span if the request is traced.

        Parameters
        ----------
        name : str
            Name of the span.
        traceparent : str
            Trace context received with the request; empty for none.
        may_begin : bool
            Whether a new trace may begin here.

        Returns
        -------
        TraceSpan
            The span, which the caller ends; one that records nothing when the
            request is not traced.
        """
        if traceparent:
            if not _is_sampled(traceparent):
                return UnrecordedSpan(traceparent)
        elif not may_begin or self._rng.random() >= self._share:
            return NO_SPAN
        context = self._propagator.extract({TRACEPARENT_HEADER: traceparent})
        span = self._tracer.start_span(name, context=context)
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, set_span_in_context(span))
        return RecordedSpan(span, carrier.get(TRACEPARENT_HEADER, ""))


def _is_sampled(traceparent: str) -> bool:
    parts = traceparent.split("-")
    if len(parts) < MIN_TRACEPARENT_FIELDS:
        return False
    try:
        return bool(int(parts[3], HEX_BASE) & SAMPLED_FLAG)
    except ValueError:
        return False
