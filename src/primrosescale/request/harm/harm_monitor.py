"""Defines the interface between forwarded calls and the detection of harmful requests.

A call reports what became of its request and its target, and asks whether the request
may be sent.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.attempt.target_attempt import TargetAttempt
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.target_state import TargetState


class HarmMonitor(ABC):
    """Detects which requests end targets, from the outcomes of all requests."""

    @abstractmethod
    def held_for(self, request: IncomingRequest, now: float) -> float:
        """Return how long a request must not be sent to any target.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 if it may be sent.
        """

    @abstractmethod
    def sent(
        self, request: IncomingRequest, attempt: TargetAttempt, now: float
    ) -> None:
        """Handle that a request is sent to a target.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        attempt : TargetAttempt
            The attempt that sends it.
        now : float
            Current time in seconds.
        """

    @abstractmethod
    def answer_lost(
        self,
        request: IncomingRequest,
        state: TargetState,
        now: float,
        answer_began_at: float | None = None,
    ) -> None:
        """Handle that the answer to a request was lost.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        state : TargetState
            What is known of the target that ran it.
        now : float
            Current time in seconds.
        answer_began_at : float | None
            When the answer's body began, in seconds; None if it had not.
        """

    @abstractmethod
    def answer_continues(
        self, request: IncomingRequest, answer_began_at: float, now: float
    ) -> None:
        """Handle that a target still writes an answer after a stage of its beginning.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        answer_began_at : float
            When the answer's body began, in seconds.
        now : float
            Current time in seconds.
        """

    @abstractmethod
    def answered(
        self,
        request: IncomingRequest,
        state: TargetState,
        now: float,
        answer_began_at: float | None = None,
        *,
        is_success: bool = True,
    ) -> None:
        """Handle that a request was answered completely.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        state : TargetState
            What is known of the target that answered.
        now : float
            Current time in seconds.
        answer_began_at : float | None
            When the answer's body began, in seconds; None if it has none.
        is_success : bool
            Whether the status is a success, so that the target answered the prompt.
        """

    @abstractmethod
    def answer_began(self, state: TargetState, sent_at: float, now: float) -> None:
        """Handle that an answer began to arrive from a target.

        Parameters
        ----------
        state : TargetState
            What is known of the target.
        sent_at : float
            Earliest time at which its request may have been sent, in seconds.
        now : float
            Current time in seconds.
        """

    @abstractmethod
    def replaced(self, state: TargetState, now: float) -> None:
        """Handle that another target answered at the address of the expected one.

        Parameters
        ----------
        state : TargetState
            What is known of the expected target.
        now : float
            Current time in seconds.
        """

    @abstractmethod
    def not_reached(self, state: TargetState, now: float) -> None:
        """Handle that nothing could be sent to a target.

        Parameters
        ----------
        state : TargetState
            What is known of the target.
        now : float
            Current time in seconds.
        """


class NoHarmMonitor(HarmMonitor):
    """Holds no requests back."""

    def held_for(self, request: IncomingRequest, now: float) -> float:
        """Return 0; see `HarmMonitor.held_for`."""
        return 0.0

    def sent(
        self, request: IncomingRequest, attempt: TargetAttempt, now: float
    ) -> None:
        """Do nothing; see `HarmMonitor.sent`."""

    def answer_lost(
        self,
        request: IncomingRequest,
        state: TargetState,
        now: float,
        answer_began_at: float | None = None,
    ) -> None:
        """Do nothing; see `HarmMonitor.answer_lost`."""

    def answer_continues(
        self, request: IncomingRequest, answer_began_at: float, now: float
    ) -> None:
        """Do nothing; see `HarmMonitor.answer_continues`."""

    def answered(
        self,
        request: IncomingRequest,
        state: TargetState,
        now: float,
        answer_began_at: float | None = None,
        *,
        is_success: bool = True,
    ) -> None:
        """Do nothing; see `HarmMonitor.answered`."""

    def answer_began(self, state: TargetState, sent_at: float, now: float) -> None:
        """Do nothing; see `HarmMonitor.answer_began`."""

    def replaced(self, state: TargetState, now: float) -> None:
        """Do nothing; see `HarmMonitor.replaced`."""

    def not_reached(self, state: TargetState, now: float) -> None:
        """Do nothing; see `HarmMonitor.not_reached`."""
