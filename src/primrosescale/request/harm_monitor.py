"""What a forwarded call tells of targets that end under requests, and is told."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target_state import TargetState


class HarmMonitor(ABC):
    """Learns which requests end targets from what becomes of all of them."""

    @abstractmethod
    def held_for(self, request: IncomingRequest, now: float) -> float:
        """Return how long a request must not be sent to any target.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 for one that may be sent.
        """

    @abstractmethod
    def sent(self, request: IncomingRequest, now: float) -> None:
        """Handle that a request goes out to a target.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        now : float
            Present time in seconds.
        """

    @abstractmethod
    def answer_lost(
        self, request: IncomingRequest, state: TargetState, now: float
    ) -> None:
        """Handle that the answer to a request was lost.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        state : TargetState
            What is known of the target where it was.
        now : float
            Present time in seconds.
        """

    @abstractmethod
    def answered(
        self, request: IncomingRequest, state: TargetState, now: float
    ) -> None:
        """Handle that a request was answered whole.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        state : TargetState
            What is known of the target that answered.
        now : float
            Present time in seconds.
        """

    @abstractmethod
    def answer_began(self, state: TargetState, sent_at: float, now: float) -> None:
        """Handle that an answer began to come from a target.

        Parameters
        ----------
        state : TargetState
            What is known of the target.
        sent_at : float
            When its request was sent there at the earliest, in seconds.
        now : float
            Present time in seconds.
        """

    @abstractmethod
    def replaced(self, state: TargetState, now: float) -> None:
        """Handle that another target answered at the address of one.

        Parameters
        ----------
        state : TargetState
            What is known of the one that was expected.
        now : float
            Present time in seconds.
        """

    @abstractmethod
    def not_reached(self, state: TargetState, now: float) -> None:
        """Handle that nothing could be sent to a target.

        Parameters
        ----------
        state : TargetState
            What is known of the target.
        now : float
            Present time in seconds.
        """


class NoHarmMonitor(HarmMonitor):
    """Holds nothing back."""

    def held_for(self, request: IncomingRequest, now: float) -> float:
        """Return 0; see `HarmMonitor.held_for`."""
        return 0.0

    def sent(self, request: IncomingRequest, now: float) -> None:
        """Do nothing; see `HarmMonitor.sent`."""

    def answer_lost(
        self, request: IncomingRequest, state: TargetState, now: float
    ) -> None:
        """Do nothing; see `HarmMonitor.answer_lost`."""

    def answered(
        self, request: IncomingRequest, state: TargetState, now: float
    ) -> None:
        """Do nothing; see `HarmMonitor.answered`."""

    def answer_began(self, state: TargetState, sent_at: float, now: float) -> None:
        """Do nothing; see `HarmMonitor.answer_began`."""

    def replaced(self, state: TargetState, now: float) -> None:
        """Do nothing; see `HarmMonitor.replaced`."""

    def not_reached(self, state: TargetState, now: float) -> None:
        """Do nothing; see `HarmMonitor.not_reached`."""
