"""What a router makes of a target that has sent nothing for a while."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.forward_tools import ForwardingSettings
    from primrosescale.request.incoming_request import IncomingRequest


class SilenceVerdict(Enum):
    """What becomes of a request whose target is silent."""

    ANOTHER_ASKED = "another target is asked"
    NO_OTHER = "kept: no other target that it may go to"
    NO_BUDGET = "kept: no budget for repeats left"
    MAY_NOT_REPEAT = "kept: it may run once"


@dataclass(frozen=True, slots=True)
class SilenceReport:
    """A judgement on a silent target, for the log.

    Parameters
    ----------
    target : str
        The target.
    silent_for : float
        Seconds since it last sent anything to this router, 0 while other
        requests here hear from it.
    waited : float
        Seconds that this request has waited for its next bytes.
    others : int
        Targets that this router would send the request to now.
    verdict : SilenceVerdict
        What was decided.
    """

    target: str
    silent_for: float
    waited: float
    others: int
    verdict: SilenceVerdict


def patience(
    settings: ForwardingSettings, request: IncomingRequest, *, has_begun: bool
) -> float:
    """Return how long a request waits for a target that others hear from.

    Parameters
    ----------
    settings : ForwardingSettings
        Timing.
    request : IncomingRequest
        The request.
    has_begun : bool
        Whether the caller has got the first byte.

    Returns
    -------
    float
        Seconds.
    """
    route = request.route
    if not route.is_stream:
        return settings.plain_patience * (request.give_up_at - request.received_at)
    if not has_begun:
        return settings.first_event_patience * route.latency_objective
    return settings.gap_patience * (route.gap_objective or route.latency_objective)
