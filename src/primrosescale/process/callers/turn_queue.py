"""Gives connections that need much processor time one turn after the other.

One turn is given in each iteration of the reactor, however many connections wait.
What else is ready is handled in between, so that clients that send very many small
pieces or requests slow down each other rather than everybody else. After a long
iteration, as many seconds pass until the next turn.
"""

from __future__ import annotations

from abc import ABC
from abc import abstractmethod
from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer

if TYPE_CHECKING:
    from primrosescale.clock import Clock
    from primrosescale.clock import Timer

# Iterations up to this long delay nobody noticeably.
LONG_ITERATION_SECONDS = 0.01
MAX_REST_SECONDS = 0.1


def rest_after(seconds: float) -> float:
    """Return how long no turn is given after an iteration of the reactor.

    Parameters
    ----------
    seconds : float
        How long the iteration took.

    Returns
    -------
    float
        Seconds; 0 after a short one.
    """
    return 0.0 if seconds < LONG_ITERATION_SECONDS else min(seconds, MAX_REST_SECONDS)


class TurnTaker(ABC):
    """A connection that waits for its turn."""

    @abstractmethod
    def take_turn(self) -> None:
        """Process a bounded amount of what has been received."""


class TurnQueue:
    """The connections that wait, in order of their arrival.

    Parameters
    ----------
    clock : Clock
        Source of time, and of timers; one without a delay runs in the next iteration.
    """

    __slots__ = ("_clock", "_due_at", "_given", "_timer", "_waiting")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waiting: dict[TurnTaker, None] = {}
        self._timer: Timer | None = None
        self._due_at = 0.0
        self._given = 0

    def __len__(self) -> int:
        """Return how many connections wait."""
        return len(self._waiting)

    @property
    def given(self) -> int:
        """Return how many turns have been given so far."""
        return self._given

    def add(self, taker: TurnTaker) -> None:
        """Append a connection, unless it waits already.

        Parameters
        ----------
        taker : TurnTaker
            The connection.
        """
        self._waiting.setdefault(taker)
        self._schedule()

    def discard(self, taker: TurnTaker) -> None:
        """Remove a connection that has ended.

        Parameters
        ----------
        taker : TurnTaker
            The connection.
        """
        self._waiting.pop(taker, None)
        if not self._waiting:
            cancel_timer(self._timer)
            self._timer = None

    def _schedule(self, delay: float = 0.0) -> None:
        if self._timer is None and self._waiting:
            self._due_at = self._clock.seconds() + delay
            action = self._give_turn if delay else self._rest_or_give_turn
            self._timer = self._clock.callLater(delay, action)

    def _rest_or_give_turn(self) -> None:
        rest = rest_after(self._clock.seconds() - self._due_at)
        if rest:
            self._timer = None
            self._schedule(rest)
        else:
            self._give_turn()

    def _give_turn(self) -> None:
        self._timer = None
        self._given += 1
        taker = next(iter(self._waiting))
        del self._waiting[taker]
        try:
            taker.take_turn()
        finally:
            self._schedule()
