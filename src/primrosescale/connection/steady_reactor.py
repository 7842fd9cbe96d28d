"""A reactor whose time does not jump with the time of day.

Twisted takes the time of day for its timers. When that is stepped by seconds,
every timeout would fire at once or seconds late. The clock used here goes on
while the host is suspended, so that knowledge grows old meanwhile.
"""

from __future__ import annotations

import time
from typing import Any


def monotonic_seconds() -> float:
    """Return the seconds since the host was started.

    Returns
    -------
    float
        Never steps, and counts the time for which the host was suspended.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def install_steady_reactor() -> Any:
    """Install and return the reactor; call it before twisted's is imported.

    Returns
    -------
    Any
        Twisted's reactor with a steady clock.
    """
    from twisted.internet import epollreactor  # noqa: PLC0415
    from twisted.internet.main import installReactor  # noqa: PLC0415

    class MonotonicReactor(epollreactor.EPollReactor):
        seconds = staticmethod(monotonic_seconds)

    reactor = MonotonicReactor()
    installReactor(reactor)
    return reactor
