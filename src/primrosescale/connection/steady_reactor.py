"""Twisted reactor that uses a monotonic clock for its timers.

By default Twisted's timers use the wall clock. If that is stepped by seconds,
every time-out fires at once or seconds late. The clock used here also advances
while the host is suspended, so that data received before is seen to be stale.
"""

from __future__ import annotations

import time
from typing import Any


def monotonic_seconds() -> float:
    """Return the seconds since the host was booted.

    Returns
    -------
    float
        A time that is never stepped and includes time in suspension.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def install_steady_reactor() -> Any:
    """Install and return the reactor; call before the default one is imported.

    Returns
    -------
    Any
        Twisted's reactor with a monotonic clock.
    """
    from twisted.internet import epollreactor  # noqa: PLC0415
    from twisted.internet.main import installReactor  # noqa: PLC0415

    class MonotonicReactor(epollreactor.EPollReactor):
        seconds = staticmethod(monotonic_seconds)

    reactor = MonotonicReactor()
    installReactor(reactor)
    return reactor
