"""Gauges of what is held back because targets ended under it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.harm.harmful_requests import HarmfulRequests


def harm_gauges(requests: HarmfulRequests, now: float) -> dict[str, float]:
    """Return the present values of the gauges, by name.

    Parameters
    ----------
    requests : HarmfulRequests
        Decides from all reports what is held back.
    now : float
        Current time in seconds.

    Returns
    -------
    dict[str, float]
        Numbers of requests and of prompt parts.
    """
    return {
        "requests_held_back": len(requests.held(now)),
        "requests_suspected": len(requests),
        "parts_held_back": len(requests.parts.held(now)),
        "parts_suspected": len(requests.parts),
    }
