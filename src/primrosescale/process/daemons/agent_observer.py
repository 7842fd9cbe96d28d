"""Interface through which an agent's handling of calls reports their events."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.wire.ttypes import Reason
    from primrosescale.request.attempt.agent_call import AgentCall
    from primrosescale.request.attempt.call_id_registry import CallId


class AgentObserver(ABC):
    """Receives the events of an agent's calls."""

    @abstractmethod
    def admitted(self, call: AgentCall, load: int, now: float) -> None:
        """Handle that a call was admitted.

        Parameters
        ----------
        call : AgentCall
            The call.
        load : int
            Work units admitted and not finished, including the call's.
        now : float
            Current time in seconds.
        """

    @abstractmethod
    def started(self, call: AgentCall) -> None:
        """Handle that a call is about to be sent to the target.

        Parameters
        ----------
        call : AgentCall
            The call.
        """

    @abstractmethod
    def ended(self, call: AgentCall, is_answered: bool, now: float) -> None:
        """Handle that a call has ended.

        Parameters
        ----------
        call : AgentCall
            The call.
        is_answered : bool
            Whether its answer is complete.
        now : float
            Current time in seconds.
        """

    @abstractmethod
    def refused(self, call_id: CallId, reason: Reason) -> None:
        """Handle that a call was refused and will never run.

        Parameters
        ----------
        call_id : CallId
            Identifier of the call.
        reason : Reason
            Why it was refused.
        """

    @abstractmethod
    def duplicate(self, call_id: CallId) -> None:
        """Handle that a duplicate of a known call was dropped.

        Parameters
        ----------
        call_id : CallId
            Identifier of the call.
        """

    @abstractmethod
    def import_failed(self, detail: str) -> None:
        """Handle that a handed-over cache could not be imported.

        Parameters
        ----------
        detail : str
            Why the import failed.
        """
