"""One hop of a traced request, whatever records it."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import Any


class TraceSpan(ABC):
    """One hop of a request: its stay at one process, or at one target."""

    @property
    @abstractmethod
    def traceparent(self) -> str:
        """Return the trace context for the next hop; empty for none."""

    @abstractmethod
    def end(self, **attributes: Any) -> None:
        """End the hop.

        Parameters
        ----------
        **attributes : Any
            What became of it.
        """


class UnrecordedSpan(TraceSpan):
    """A hop of a request that nobody traces here.

    Parameters
    ----------
    traceparent : str
        What the hop before said, to be handed on unchanged.
    """

    __slots__ = ("_traceparent",)

    def __init__(self, traceparent: str = "") -> None:
        self._traceparent = traceparent

    @property
    def traceparent(self) -> str:
        """Return what the hop before said; see `TraceSpan.traceparent`."""
        return self._traceparent

    def end(self, **attributes: Any) -> None:
        """Do nothing; see `TraceSpan.end`."""


NO_SPAN = UnrecordedSpan()
