"""Clock and timer interfaces, which Twisted's reactor and test clock satisfy."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

if TYPE_CHECKING:
    from collections.abc import Callable


class Timer(Protocol):
    """A scheduled call."""

    def active(self) -> bool:
        """Return whether the call is still scheduled."""

    def cancel(self) -> None:
        """Cancel the call."""


class Clock(Protocol):
    """Source of time and timers."""

    def seconds(self) -> float:
        """Return the current time in seconds."""

    def callLater(
        self,
        delay: float,
        callable: Callable[..., Any],  # noqa: A002
        *args: Any,
    ) -> Timer:
        """Schedule a call.

        Parameters
        ----------
        delay : float
            Seconds from now.
        callable : Callable[..., Any]
            Function to call.
        *args : Any
            Positional arguments of the call.

        Returns
        -------
        Timer
            Timer with which the call can be cancelled.
        """


def cancel_timer(timer: Timer | None) -> None:
    """Cancel a scheduled call unless it has run or been cancelled.

    Parameters
    ----------
    timer : Timer | None
        Timer of the call; None for no call.
    """
    if timer is not None and timer.active():
        timer.cancel()
