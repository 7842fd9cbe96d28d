"""The targets of each service as the store's list tells, with their states.

The pattern it answers: a store that comes back from an outage without the
entries of targets that live. Such entries return within two seconds, so a
target whose entry is gone without notice is avoided at once, but forgotten
only after most of the time in which a leaving target may get work.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.target_state import TargetState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from primrosescale.request.serving_target import ServingTarget

# Part of the time in which a leaving target may still get work that is used
# for one whose entry is gone.
HOLD_SHARE = 0.8


class TargetList:
    """States of all targets, by service.

    Parameters
    ----------
    drain : float
        Seconds after which a leaving target must get no new work.
    """

    __slots__ = ("_drain", "_generation", "_known", "_unreadable", "_vanished")

    def __init__(self, drain: float) -> None:
        self._drain = drain
        self._generation = 0
        self._known: dict[str, TargetState] = {}
        self._vanished: dict[str, float] = {}
        self._unreadable: dict[str, TargetState] = {}

    def __len__(self) -> int:
        """Return how many targets are known."""
        return len(self._known)

    @property
    def generation(self) -> int:
        """Return a number that rises when targets become known or forgotten."""
        return self._generation

    @property
    def states(self) -> Iterable[TargetState]:
        """Return the states of all targets."""
        return self._known.values()

    def configure(self, drain: float) -> None:
        """Take in a changed bound.

        Parameters
        ----------
        drain : float
            Seconds after which a leaving target must get no new work.
        """
        self._drain = drain

    def state(self, name: str) -> TargetState | None:
        """Return a target's state.

        Parameters
        ----------
        name : str
            The target.

        Returns
        -------
        TargetState | None
            Its state; None when it is not known.
        """
        return self._known.get(name)

    def of_service(self, service: str) -> list[TargetState]:
        """Return the targets of a service, those that are leaving too.

        Targets whose entry is gone without notice count only when no other
        could take work.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        list[TargetState]
            Their states.
        """
        found = [s for s in self._known.values() if s.target.service == service]
        listed = [s for s in found if s.target.name not in self._vanished]
        if any(not state.target.is_draining for state in listed):
            return listed
        return found

    def put(self, target: ServingTarget, now: float) -> bool:
        """Take in an entry of the list.

        Parameters
        ----------
        target : ServingTarget
            The target.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether something changed.
        """
        self._vanished.pop(target.name, None)
        self._take_up(target.name)
        known = self._known.get(target.name)
        if known is None:
            self._known[target.name] = TargetState(target, now)
            self._generation += 1
            return True
        is_new = known.target != target
        known.relist(target)
        return is_new

    def drop(self, name: str, now: float) -> bool:
        """Take in that an entry cannot be read: it names no target at once.

        The state is kept as long as that of a target whose entry is gone:
        when the entry can be read again meanwhile, what runs there is known.

        Parameters
        ----------
        name : str
            The target.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether it was a target until now.
        """
        known = self._known.pop(name, None)
        if known is None:
            return False
        self._generation += 1
        self._unreadable[name] = known
        self._vanished[name] = now + self._drain * HOLD_SHARE
        return True

    def _take_up(self, name: str) -> None:
        """Have a target back whose entry could not be read for a while."""
        state = self._unreadable.pop(name, None)
        if state is not None:
            self._vanished.pop(name, None)
            self._known[name] = state
            self._generation += 1

    def remove(self, name: str, gone_at: float) -> bool:
        """Take in that an entry is gone.

        Parameters
        ----------
        name : str
            The target.
        gone_at : float
            When it may have gone at the earliest, in seconds.

        Returns
        -------
        bool
            Whether it was there.
        """
        known = self._known.get(name)
        if known is None or name in self._vanished:
            return False
        held_until = gone_at
        if not known.target.is_draining:
            held_until += self._drain * HOLD_SHARE
        self._vanished[name] = held_until
        return True

    def forget_gone(self, now: float) -> list[str]:
        """Forget targets whose entry has been gone for long enough.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[str]
            Names of the forgotten.
        """
        gone = [name for name, until in self._vanished.items() if now >= until]
        for name in gone:
            del self._vanished[name]
            self._generation += 1
            self._known.pop(name, None)
            self._unreadable.pop(name, None)
        return gone
