"""The targets of each service as the store's list tells, with their states.

The pattern it answers: a store that comes back from an outage without the
entries of targets that live. Such entries return within two seconds, so a
target whose entry is gone without notice is avoided at once, but forgotten
only after most of the time in which a leaving target may get work.

And one that starts again under its name: all that was known of its former incarnation
is in one state, which is replaced whole. Which of two incarnations came later follows
from the starts that the target told, so that an entry that comes late, or a
store that goes back, brings no former incarnation back.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.target_state import ASSUMED_DRAIN_SECONDS
from primrosescale.request.target_state import TargetState
from primrosescale.request.target_statements import RetainedSelfReports

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primrosescale.request.serving_target import ServingTarget
    from primrosescale.request.target_incarnation import TargetIncarnation

# Part of the time in which a leaving target may still get work that is used
# for one whose entry is gone.
HOLD_SHARE = 0.8
# Who tells of a target, and of evacuations.
STORE = "store"
TARGET = "target"


@dataclass(frozen=True, slots=True)
class BegunIncarnation:
    """That an incarnation of a target became known.

    Parameters
    ----------
    present : TargetIncarnation
        The incarnation.
    former : TargetIncarnation | None
        The incarnation that it replaces; None when the target was not known.
    told_by : str
        Who told of it.
    """

    present: TargetIncarnation
    former: TargetIncarnation | None
    told_by: str


class TargetList:
    """States of all targets, by service.

    Parameters
    ----------
    drain : float
        Seconds after which a leaving target must get no new work.
    on_incarnation : Callable[[BegunIncarnation], None] | None
        Told when an incarnation of a target became known.
    """

    __slots__ = (
        "_drain",
        "_evacuated",
        "_generation",
        "_known",
        "_on_incarnation",
        "_statements",
        "_unlisted",
        "_unreadable",
        "_vanished",
    )

    def __init__(
        self,
        drain: float,
        on_incarnation: Callable[[BegunIncarnation], None] | None = None,
    ) -> None:
        self._drain = drain
        self._on_incarnation = on_incarnation
        self._generation = 0
        self._evacuated: frozenset[str] = frozenset()
        self._known: dict[str, TargetState] = {}
        self._vanished: dict[str, float] = {}
        self._statements = RetainedSelfReports()
        # Targets whose entries went without notice, with until when they may run.
        self._unlisted: dict[str, tuple[TargetState, float]] = {}
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

    def is_listed(self, name: str) -> bool:
        """Tell whether a target is known and its entry was not taken away.

        Parameters
        ----------
        name : str
            The target.

        Returns
        -------
        bool
            False for one that may have left.
        """
        return name in self._known and name not in self._vanished

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
        if any(state.takes_work for state in listed):
            return listed
        return found

    def recently_delisted(self, service: str) -> list[TargetState]:
        """Return the targets of a service whose entries went, and that may still run.

        Parameters
        ----------
        service : str
            The service.

        Returns
        -------
        list[TargetState]
            Their states, also of those that are forgotten.
        """
        found = (state for state, _ in self._unlisted.values())
        return [state for state in found if state.target.service == service]

    def put(self, target: ServingTarget, now: float, told_by: str = STORE) -> bool:
        """Take in what was told of a target.

        A later start than the known one begins a new state; an earlier one is
        old news and changes nothing.

        Parameters
        ----------
        target : ServingTarget
            The target.
        now : float
            Present time in seconds.
        told_by : str
            Who told of it.

        Returns
        -------
        bool
            Whether something changed.
        """
        if target.name in self._unreadable and told_by != STORE:
            # Only an entry that can be read again makes it a target again.
            return False
        told = target.incarnation
        known = self._known.get(target.name) or self._unreadable.get(target.name)
        if known is not None and told.started_at is not None:
            if told.is_followed_by(known.incarnation):
                return False
        self._vanished.pop(target.name, None)
        self._unlisted.pop(target.name, None)
        self._take_up(target.name)
        if known is None or known.incarnation.is_followed_by(told):
            self._begin(target, known, now, told_by)
            return True
        before = known.target
        known.update_entry(target)
        known.set_cold_for(target.warm_up_seconds, now)
        self._apply_evacuation(known, now)
        return known.target != before

    def _begin(
        self,
        target: ServingTarget,
        former: TargetState | None,
        now: float,
        told_by: str,
    ) -> None:
        said = self._statements.pop(target.incarnation)
        self._known[target.name] = state = TargetState(target, now, said)
        self._apply_evacuation(state, now)
        self._generation += 1
        if self._on_incarnation is not None:
            before = None if former is None else former.incarnation
            self._on_incarnation(BegunIncarnation(target.incarnation, before, told_by))

    def evacuate(self, domains: frozenset[str], now: float) -> None:
        """Take in which failure domains get no new requests.

        Parameters
        ----------
        domains : frozenset[str]
            All domains that are evacuated now.
        now : float
            Present time in seconds.
        """
        self._evacuated = domains
        for state in [*self._known.values(), *self._unreadable.values()]:
            self._apply_evacuation(state, now)

    def _apply_evacuation(self, state: TargetState, now: float) -> None:
        if state.target.domain in self._evacuated:
            state.evacuate(now)
        else:
            state.end_evacuation(now)

    def mark_unreadable(self, name: str, now: float) -> bool:
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
        if not known.is_leaving:
            held_until += self._drain * HOLD_SHARE
            self._unlisted[name] = (known, gone_at + ASSUMED_DRAIN_SECONDS)
        self._vanished[name] = held_until
        return True

    def forget_expired(self, now: float) -> list[TargetIncarnation]:
        """Forget targets whose entry has been gone for long enough.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[TargetIncarnation]
            The incarnations of the forgotten.
        """
        ended = [name for name, (_, until) in self._unlisted.items() if now >= until]
        for name in ended:
            del self._unlisted[name]
        gone = [name for name, until in self._vanished.items() if now >= until]
        for name in gone:
            del self._vanished[name]
            self._generation += 1
        return [self._forget(name, now) for name in gone]

    def _forget(self, name: str, now: float) -> TargetIncarnation:
        """Forget a target, but for what it said of itself."""
        state = self._known.pop(name, None) or self._unreadable.pop(name)
        self._statements.keep(state.incarnation, state.self_reports, now)
        return state.incarnation
