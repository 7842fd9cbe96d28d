"""How long a request waits for a silent target, and what may be decided then.

A target counts as silent for a request when it has sent nothing at all for some time,
or nothing of this answer for a longer time while it sends data for other requests.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.answer.usual_times import UsualTimes
    from primrosescale.request.attempt.forwarding_context import ForwardingSettings
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState

# A timer may fire early by up to this much because of rounding.
TIMER_SLACK_SECONDS = 0.001


class SilenceVerdict(Enum):
    """Whether a request at a silent target is hedged, or why it is not."""

    ANOTHER_ASKED = "another target is asked"
    NO_OTHER = "kept: no other target that it may go to"
    NO_BUDGET = "kept: no budget for repeats left"
    MAY_NOT_REPEAT = "kept: it may run once"


@dataclass(frozen=True, slots=True)
class SilenceReport:
    """A decision about a request at a silent target, for the log.

    Parameters
    ----------
    target : str
        Name of the target.
    silent_for : float
        Seconds since it last sent anything to this router; 0 while it sends data
        for other requests of this router.
    waited : float
        Seconds that this request has waited for its next bytes.
    others : int
        Number of other targets that could take the request immediately.
    verdict : SilenceVerdict
        The decision.
    """

    target: str
    silent_for: float
    waited: float
    others: int
    verdict: SilenceVerdict


def silence_timeout(
    settings: ForwardingSettings,
    request: IncomingRequest,
    usual_times: UsualTimes,
    target: TargetIncarnation | None = None,
) -> float:
    """Return how long a request waits while its target sends data only for others.

    Another target would usually have begun to answer by then, also one that has to
    prefill the prompt of a stream once more. Between prefills of others a stream may
    pause for as long as its target may be silent.

    Parameters
    ----------
    settings : ForwardingSettings
        Timing settings.
    request : IncomingRequest
        The request.
    usual_times : UsualTimes
        How long answers of its route take.
    target : TargetIncarnation | None
        The target for which a longer silence is unusual; None for all.

    Returns
    -------
    float
        Seconds.
    """
    usual = usual_times.beginning_at(request.route.name, target)
    if not request.route.is_stream:
        return usual
    return max(settings.silence_patience, usual)


def count_silence(
    settings: ForwardingSettings,
    request: IncomingRequest,
    usual_times: UsualTimes,
    state: TargetState,
    waited: float,
    now: float,
) -> None:
    """Count a silence as a failure of its target if it is unusual for that target.

    Parameters
    ----------
    settings : ForwardingSettings
        Timing settings.
    request : IncomingRequest
        The request that waits.
    usual_times : UsualTimes
        How long answers of its route take, and of the target.
    state : TargetState
        The target.
    waited : float
        Seconds that the request has waited for its next bytes.
    now : float
        Current time in seconds.
    """
    own = silence_timeout(settings, request, usual_times, state.incarnation)
    is_unusual = waited >= own - TIMER_SLACK_SECONDS
    if is_unusual or state.silence(now) >= settings.silence_patience:
        state.failed(now)
