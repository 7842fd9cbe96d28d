"""What an agent tells about its calls."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.connection.wire.ttypes import Reason
    from primrosescale.request.agent_call import AgentCall
    from primrosescale.request.call_names import CallId


class AgentObserver(ABC):
    """Is told what happens to an agent's calls."""

    @abstractmethod
    def admitted(self, call: AgentCall, load: int, now: float) -> None:
        """Take in that a call was taken.

        Parameters
        ----------
        call : AgentCall
            The call.
        load : int
            Work units outstanding, the call's included.
        now : float
            Present time in seconds.
        """

    @abstractmethod
    def started(self, call: AgentCall) -> None:
        """Take in that a call is handed to the target.

        Parameters
        ----------
        call : AgentCall
            The call.
        """

    @abstractmethod
    def ended(self, call: AgentCall, is_answered: bool, now: float) -> None:
        """Take in that a call has ended.

        Parameters
        ----------
        call : AgentCall
            The call.
        is_answered : bool
            Whether its answer is whole.
        now : float
            Present time in seconds.
        """

    @abstractmethod
    def refused(self, name: CallId, reason: Reason) -> None:
        """Take in that a call was refused and will never run.

        Parameters
        ----------
        name : CallId
            Its name.
        reason : Reason
            Why.
        """

    @abstractmethod
    def duplicate(self, name: CallId) -> None:
        """Take in that a copy of a known call was dropped.

        Parameters
        ----------
        name : CallId
            Its name.
        """

    @abstractmethod
    def import_failed(self, detail: str) -> None:
        """Take in that a handed-over cache could not be taken.

        Parameters
        ----------
        detail : str
            Why.
        """
