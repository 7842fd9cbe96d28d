"""Matches messages of agents to the calls that a router has in progress.

A call is a request that the router sends to the agent of a target. Each attempt at a
call is registered under a number, which the agent's messages carry.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from primrosescale.connection.wire import ttypes as wire
from primrosescale.request.attempt.routed_call import CallContext
from primrosescale.request.attempt.routed_call import RoutedCall

if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from primrosescale.connection.codec import Message
    from primrosescale.connection.link import Link
    from primrosescale.connection.pool import LinkPool
    from primrosescale.request.attempt.routed_call import CallReport
    from primrosescale.request.choice.candidates import Target

ANSWER_TYPES = (
    wire.Answer,
    wire.AnswerHead,
    wire.AnswerChunk,
    wire.AnswerEnd,
    wire.CallFailed,
)


class CallTableListener(ABC):
    """Finds targets; is notified of loads, failed connections and ended calls."""

    @abstractmethod
    def find_target(self, service: str, name: str) -> Target | None:
        """Return a usable target; see `CallContext.find_target`."""

    @abstractmethod
    def suspect(self, target: Target) -> None:
        """Mark a target that could not be reached as suspect."""

    @abstractmethod
    def load_reported(self, target: Target, load: int) -> None:
        """Record a target's reported load."""

    @abstractmethod
    def call_ended(self, call: RoutedCall, report: CallReport) -> None:
        """Handle the end of a call."""


class CallTable(CallContext):
    """Matches messages to attempts by number, and counts those that match none.

    Parameters
    ----------
    incarnation : int
        This router's incarnation.
    pool : LinkPool
        Connections to agents.
    listener : CallTableListener
        Looks up targets and is notified of ended calls.
    """

    def __init__(
        self,
        incarnation: int,
        pool: LinkPool,
        listener: CallTableListener,
    ) -> None:
        self._incarnation = incarnation
        self._pool = pool
        self._listener = listener
        self._next_number = 0
        self._calls: dict[int, RoutedCall] = {}
        self._strays = 0

    def __len__(self) -> int:
        """Return the number of attempts in progress."""
        return len(self._calls)

    @property
    def incarnation(self) -> int:
        """Return this router's incarnation."""
        return self._incarnation

    @property
    def strays(self) -> int:
        """Return the number of messages that matched no attempt in progress."""
        return self._strays

    def register(self, call: RoutedCall) -> int:
        """Assign a number to an attempt; see `CallContext.register`."""
        self._next_number += 1
        self._calls[self._next_number] = call
        return self._next_number

    def unregister(self, number: int) -> None:
        """Remove an attempt; see `CallContext.unregister`."""
        self._calls.pop(number, None)

    def connect(self, target: Target) -> Deferred[Link]:
        """Return a connection to a target's agent."""
        return self._pool.get(target.endpoint)

    def open_link(self, target: Target) -> Link | None:
        """Return the connection to a target's agent, if it is open."""
        return self._pool.ready(target.endpoint)

    def find_target(self, service: str, name: str) -> Target | None:
        """Return a usable target by name."""
        return self._listener.find_target(service, name)

    def suspect(self, target: Target) -> None:
        """Mark a target that could not be reached as suspect."""
        self._listener.suspect(target)

    def load_reported(self, target: Target, load: int) -> None:
        """Record a target's reported load."""
        self._listener.load_reported(target, load)

    def call_ended(self, call: RoutedCall, report: CallReport) -> None:
        """Handle the end of a call."""
        self._listener.call_ended(call, report)

    def message(self, message: Message) -> bool:
        """Pass a message to the call that it belongs to.

        Parameters
        ----------
        message : Message
            Message from an agent.

        Returns
        -------
        bool
            False when the message is neither part of an answer nor a failure.
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
        """Notify the calls that use a connection that it was lost.

        Parameters
        ----------
        link : Link
            The connection.
        detail : str
            Why it was lost.
        """
        for call in list(self._calls.values()):
            call.link_lost(link, detail)
