"""What a process spends on its callers: memory and turns, for all ports together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.clock import cancel_timer
from primrosescale.connection.memory_account import MemoryAccount
from primrosescale.process.callers.body_admission import BodyAdmission
from primrosescale.process.callers.request_memory import RequestMemory
from primrosescale.process.callers.turn_queue import TurnQueue

if TYPE_CHECKING:
    from primrosescale.clock import Clock
    from primrosescale.clock import Timer
    from primrosescale.connection.memory_account import MemoryHolder
    from primrosescale.process.callers.body_admission import BodyReceiver
    from primrosescale.process.callers.guard_settings import GuardSettings

# Bodies wait for seconds; what they wait for is checked this often.
UPDATE_SECONDS = 0.1


class CallerGuard:
    """Bounds the memory and the processor time that callers of a process take.

    Parameters
    ----------
    settings : GuardSettings
        Limits.
    clock : Clock
        Source of time and timers.
    """

    def __init__(self, settings: GuardSettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._account = MemoryAccount(settings.memory)
        self._requests = RequestMemory(
            settings.request_memory, settings.body_copies * settings.long_body
        )
        self._bodies = BodyAdmission(settings)
        self._turns = TurnQueue(clock)
        self._timer: Timer | None = None
        # Those that discard the rest of a refused body, in order of their refusal.
        self._lingering: dict[MemoryHolder, None] = {}

    @property
    def settings(self) -> GuardSettings:
        """Return the limits."""
        return self._settings

    @property
    def clock(self) -> Clock:
        """Return the source of time and timers."""
        return self._clock

    @property
    def account(self) -> MemoryAccount:
        """Return the bytes of what is being received and of unread answers."""
        return self._account

    @property
    def requests(self) -> RequestMemory:
        """Return the bytes of requests without a long body that are being answered."""
        return self._requests

    @property
    def bodies(self) -> BodyAdmission:
        """Return the long bodies."""
        return self._bodies

    @property
    def turns(self) -> TurnQueue:
        """Return the connections that wait for processor time."""
        return self._turns

    def configure(self, settings: GuardSettings) -> None:
        """Replace the limits.

        Parameters
        ----------
        settings : GuardSettings
            Limits.
        """
        self._settings = settings
        self._account.configure(settings.memory)
        self._requests.configure(
            settings.request_memory, settings.body_copies * settings.long_body
        )
        self._bodies.configure(settings)

    def ask_for_room(self, receiver: BodyReceiver, size: int) -> bool | None:
        """Ask for room for a long body; see `BodyAdmission.ask`.

        Parameters
        ----------
        receiver : BodyReceiver
            The connection.
        size : int
            Bytes to be held, with those of copies. A body that needs more than there is
            for all counts as all, so that a single one is served whatever its size.

        Returns
        -------
        bool | None
            True if it may be read now, False if it has to wait, and None if too many
            wait already.
        """
        held = min(size, self._settings.body_memory)
        answer = self._bodies.ask(receiver, held, self._clock.seconds())
        self._schedule()
        return answer

    def lingers(self, holder: MemoryHolder) -> None:
        """Add a connection that discards the rest of a refused body.

        The kernel holds what it has not discarded yet, so the oldest of too many gives
        way.

        Parameters
        ----------
        holder : MemoryHolder
            The connection.
        """
        self._lingering[holder] = None
        if len(self._lingering) > self._settings.lingering:
            oldest = next(iter(self._lingering))
            del self._lingering[oldest]
            oldest.give_way()

    def left(self, holder: MemoryHolder) -> None:
        """Remove a connection that has ended.

        Parameters
        ----------
        holder : MemoryHolder
            The connection.
        """
        self._lingering.pop(holder, None)

    def stop(self) -> None:
        """Stop the timer."""
        cancel_timer(self._timer)
        self._timer = None

    def _schedule(self) -> None:
        if self._timer is None and self._bodies.waiting:
            self._timer = self._clock.callLater(UPDATE_SECONDS, self._update)

    def _update(self) -> None:
        self._timer = None
        self._bodies.update(self._clock.seconds())
        self._schedule()
