"""How long a request would wait, how long it may, and when its caller should return."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.answer.usual_times import AnswerTime
    from primrosescale.request.capacity.capacity_view import Allowance
    from primrosescale.request.incoming_request import IncomingRequest

# Callers comply with a Retry-After of up to a third of the time that they have left.
# This is a little less because that time is shorter when the answer reaches them, and
# because the header is rounded to 0.01 s.
MAX_RETRY_AFTER_SHARE = 0.32
# Callers refused together should not return together.
RETRY_JITTER = (1.0, 1.5)


def forecast_wait(
    calls_ahead: float, allowance: Allowance | None, answer_time: float | None
) -> float:
    """Forecast how long a call waits until those ahead of it have been started.

    Parameters
    ----------
    calls_ahead : float
        Calls ahead of it in the fair order.
    allowance : Allowance | None
        The router's allowance; None for no limit.
    answer_time : float | None
        Seconds for which a request occupies its place; None if not known.

    Returns
    -------
    float
        Seconds; infinite if nothing can be started.
    """
    if allowance is None or answer_time is None or calls_ahead <= 0:
        return 0.0
    if allowance.mean <= 0:
        return math.inf
    return calls_ahead * answer_time / allowance.mean


def latest_start(request: IncomingRequest, answer_time: AnswerTime) -> float:
    """Return when a request must be sent for its caller to get the whole answer.

    Parameters
    ----------
    request : IncomingRequest
        The request.
    answer_time : AnswerTime
        How long its answer takes.

    Returns
    -------
    float
        Time in seconds.
    """
    latest = request.give_up_at - answer_time.end
    if not request.route.is_stream:
        return latest
    left_at = request.received_at + request.route.event_patience
    return min(latest, left_at - answer_time.beginning)


def retry_after(forecast: float, time_left: float, jitter: float) -> float:
    """Return when a refused caller should return.

    Parameters
    ----------
    forecast : float
        Seconds until there is capacity for a request of its organisation and priority.
    time_left : float
        Seconds that the caller still waits.
    jitter : float
        Random factor out of `RETRY_JITTER`.

    Returns
    -------
    float
        Seconds, less than a third of the time left.
    """
    return max(0.0, min(forecast * jitter, time_left * MAX_RETRY_AFTER_SHARE))
