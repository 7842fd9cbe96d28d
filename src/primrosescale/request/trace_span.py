"""A span of a traced request, independent of the tracing library.

A span covers the handling of a request by one process, or by one target.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import Any


class TraceSpan(ABC):
    """One span of a request: its handling by one process or by one target."""

    @property
    @abstractmethod
    def traceparent(self) -> str:
        """Return the trace context to send to the next hop; empty for none."""

    @abstractmethod
    def end(self, **attributes: Any) -> None:
        """End the span.

        Parameters
        ----------
        **attributes : Any
            Attributes of the span, such as the outcome.
        """


class UnrecordedSpan(TraceSpan):
    """A span that is not recorded here.

    Parameters
    ----------
    traceparent : str
        Trace context of the previous hop, passed on unchanged.
    """

    __slots__ = ("_traceparent",)

    def __init__(self, traceparent: str = "") -> None:
        self._traceparent = traceparent

    @property
    def traceparent(self) -> str:
        """Return the context of the previous hop; see `TraceSpan.traceparent`."""
        return self._traceparent

    def end(self, **attributes: Any) -> None:
        """Do nothing; see `TraceSpan.end`."""


NO_SPAN = UnrecordedSpan()
