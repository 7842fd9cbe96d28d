"""What a router makes of a target that has sent nothing for a while."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class SilenceVerdict(Enum):
    """What becomes of a request whose target is silent."""

    LEFT = "left"
    MAY_NOT_REPEAT = "kept: it may run once"
    NOT_REPEATED = "kept: no time, budget or number of targets left"


@dataclass(frozen=True, slots=True)
class Silence:
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
