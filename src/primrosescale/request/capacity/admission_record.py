"""A call that passes admission, and what admission has done with it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Protocol

if TYPE_CHECKING:
    from primrosescale.request.attempt.forwarding_interfaces import Refusal
    from primrosescale.request.capacity.fair_queue import QueuedCall
    from primrosescale.request.incoming_request import IncomingRequest


class AdmissibleCall(Protocol):
    """A call that can be started or refused."""

    @property
    def request(self) -> IncomingRequest:
        """Return the request."""

    def start(self, now: float) -> None:
        """Send the request, or refuse it at once.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """

    def refuse(self, refusal: Refusal, retry_after: float | None) -> None:
        """Refuse the request, which has not been sent.

        Parameters
        ----------
        refusal : Refusal
            Why.
        retry_after : float | None
            Seconds after which the caller should return; None to use the setting.
        """


class AdmissionState(Enum):
    """What admission has done with a call."""

    SUBMITTED = "submitted"
    WAITING = "waiting"
    STARTED = "started"
    REFUSED = "refused"
    LEFT = "left"


@dataclass(slots=True, eq=False)
class AdmissionRecord:
    """Admission of one call.

    Parameters
    ----------
    call : AdmissibleCall
        The call.
    state : AdmissionState
        What has been done with it.
    queued : QueuedCall[AdmissionRecord] | None
        Its place in the queue; None if it never waited.
    longest_wait : float
        For how long it may wait, in seconds.
    waited : float
        For how long it waited, in seconds.
    """

    call: AdmissibleCall
    state: AdmissionState = AdmissionState.SUBMITTED
    queued: QueuedCall[AdmissionRecord] | None = None
    longest_wait: float = 0.0
    waited: float = 0.0
