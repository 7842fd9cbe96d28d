"""The calls a router has under way, by the number of their attempt."""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.request.routed_call import CallHost
from primrosescale.request.routed_call import RoutedCall

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from primrosescale.connection.codec import Message
    from primrosescale.connection.link import Link
    from primrosescale.connection.pool import LinkPool
    from primrosescale.request.candidates import Target
    from primrosescale.request.routed_call import CallReport

ANSWER_TYPES = (
    wire.Answer,
    wire.AnswerHead,
    wire.AnswerChunk,
    wire.AnswerEnd,
    wire.CallFailed,
)


class CallTableListener(ABC):
    """Knows targets and is told how calls end."""

    @abstractmethod
    def find_target(self, service: str, name: str) -> Target | None:
        """Return a usable target; see `CallHost.find_target`."""

    @abstractmethod
    def suspect(self, target: Target) -> None:
        """Take in that a target could not be reached."""

    @abstractmethod
    def load_reported(self, target: Target, load: int) -> None:
        """Take in a target's load."""

    @abstractmethod
    def call_ended(self, call: RoutedCall, report: CallReport) -> None:
        """Take in that a call has ended."""


class CallTable(CallHost):
    """Matches answers to calls by name; what matches none is counted.

    Parameters
    ----------
    incarnation : int
        This router's incarnation.
    pool : LinkPool
        Connections to agents.
    observer : CallTableListener
        Knows targets and is told how calls end.
    """

    def __init__(
        self,
        incarnation: int,
        pool: LinkPool,
        observer: CallTableListener,
    ) -> None:
        self._incarnation = incarnation
        self._pool = pool
        self._observer = observer
        self._next_number = 0
        self._calls: dict[int, RoutedCall] = {}
        self._strays = 0

    def __len__(self) -> int:
        """Return how many attempts are under way."""
        return len(self._calls)

    @property
    def incarnation(self) -> int:
        """Return this router's incarnation."""
        return self._incarnation

    @property
    def strays(self) -> int:
        """Return how many messages belonged to no attempt under way."""
        return self._strays

    def register(self, call: RoutedCall) -> int:
        """Give an attempt a number; see `CallHost.register`."""
        self._next_number += 1
        self._calls[self._next_number] = call
        return self._next_number

    def unregister(self, number: int) -> None:
        """Forget an attempt; see `CallHost.unregister`."""
        self._calls.pop(number, None)

    def connect(self, target: Target) -> Deferred[Link]:
        """Return a connection to a target's agent."""
        return self._pool.get(target.endpoint)

    def open_link(self, target: Target) -> Link | None:
        """Return the connection to a target's agent, if it is open."""
        return self._pool.ready(target.endpoint)

    def find_target(self, service: str, name: str) -> Target | None:
        """Return a usable target by name."""
        return self._observer.find_target(service, name)

    def suspect(self, target: Target) -> None:
        """Take in that a target could not be reached."""
        self._observer.suspect(target)

    def load_reported(self, target: Target, load: int) -> None:
        """Take in a target's load."""
        self._observer.load_reported(target, load)

    def call_ended(self, call: RoutedCall, report: CallReport) -> None:
        """Take in that a call has ended."""
        self._observer.call_ended(call, report)

    def message(self, message: Message) -> bool:
        """Hand an answer to its call.

        Parameters
        ----------
        message : Message
            What came from an agent.

        Returns
        -------
        bool
            False when it is not part of an answer.
        """
        if not isinstance(message, ANSWER_TYPES):
            return False
        call = self._calls.get(message.number)
        if call is None or message.router != self._incarnation:
            self._strays += 1
            return True
        call.message(message)
        return True

    def link_lost(self, link: Link, detail: str) -> None:
        """Tell the calls that wait on a connection that it has ended.

        Parameters
        ----------
        link : Link
            The connection.
        detail : str
            Why it ended.
        """
        for call in list(self._calls.values()):
            call.link_lost(link, detail)
