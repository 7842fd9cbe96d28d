"""The known targets of each service, from the list in the store, with their states.

After an outage the store may have lost the entries of targets that still run. Such
entries return within two seconds. Therefore a target whose entry was removed without
a prior drain is avoided immediately, but forgotten only after most of the time in
which a draining target may still receive requests.

When a target restarts under its name, the whole state of its former incarnation is
replaced by a new one. The order of incarnations follows from the start times that the
target reports, so neither a delayed entry nor a store that was rolled back restores a
former incarnation.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from primrosescale.request.target.target_self_reports import RetainedSelfReports
from primrosescale.request.target.target_state import ASSUMED_DRAIN_SECONDS
from primrosescale.request.target.target_state import TargetState

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from primrosescale.request.target.serving_target import ServingTarget
    from primrosescale.request.target.target_incarnation import TargetIncarnation

# Share of the drain time for which a target is kept after its entry was removed or
# became unreadable.
RETENTION_SHARE = 0.8
# Sources of reports on targets and on evacuations.
STORE = "store"
TARGET = "target"


@dataclass(frozen=True, slots=True)
class IncarnationStart:
    """An incarnation of a target that has become known.

    Parameters
    ----------
    present : TargetIncarnation
        The incarnation.
    former : TargetIncarnation | None
        The incarnation that it replaces; None when the target was not known.
    told_by : str
        Source of the report.
    software_version : str
        Its software version; empty when not given.
    """

    present: TargetIncarnation
    former: TargetIncarnation | None
    told_by: str
    software_version: str = ""


class TargetList:
    """The states of all known targets.

    Parameters
    ----------
    drain : float
        Seconds after which a draining target must receive no new requests.
    on_incarnation : Callable[[IncarnationStart], None] | None
        Called when an incarnation of a target has become known.
    """

    __slots__ = (
        "_delisted",
        "_drain",
        "_evacuated",
        "_forget_at",
        "_generation",
        "_known",
        "_on_incarnation",
        "_self_reports",
        "_unreadable",
    )

    def __init__(
        self,
        drain: float,
        on_incarnation: Callable[[IncarnationStart], None] | None = None,
    ) -> None:
        self._drain = drain
        self._on_incarnation = on_incarnation
        self._generation = 0
        self._evacuated: frozenset[str] = frozenset()
        self._known: dict[str, TargetState] = {}
        self._forget_at: dict[str, float] = {}
        self._self_reports = RetainedSelfReports()
        # Targets whose entries were removed without a prior drain, with the time until
        # which they may still run.
        self._delisted: dict[str, tuple[TargetState, float]] = {}
        self._unreadable: dict[str, TargetState] = {}

    def __len__(self) -> int:
        """Return the number of known targets."""
        return len(self._known)

    @property
    def generation(self) -> int:
        """Return a number that increases with the targets and their versions."""
        return self._generation

    @property
    def states(self) -> Iterable[TargetState]:
        """Return the states of all targets."""
        return self._known.values()

    def configure(self, drain: float) -> None:
        """Apply a changed drain time.

        Parameters
        ----------
        drain : float
            Seconds after which a draining target must receive no new requests.
        """
        self._drain = drain

    def state(self, name: str) -> TargetState | None:
        """Return the state of a target.

        Parameters
        ----------
        name : str
            Name of the target.

        Returns
        -------
        TargetState | None
            Its state; None for an unknown target.
        """
        return self._known.get(name)

    def is_listed(self, name: str) -> bool:
        """Return whether a target is known and still has its entry.

        Parameters
        ----------
        name : str
            Name of the target.

        Returns
        -------
        bool
            False for a target that may have left.
        """
        return name in self._known and name not in self._forget_at

    def of_service(self, service: str) -> list[TargetState]:
        """Return the targets of a service, including draining ones.

        Targets whose entry was removed are included only when no listed target
        accepts requests.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list[TargetState]
            Their states.
        """
        found = [s for s in self._known.values() if s.target.service == service]
        listed = [s for s in found if s.target.name not in self._forget_at]
        if any(state.takes_work for state in listed):
            return listed
        return found

    def recently_delisted(self, service: str) -> list[TargetState]:
        """Return the targets of a service that lost their entry but may still run.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        list[TargetState]
            Their states, including those already forgotten otherwise.
        """
        found = (state for state, _ in self._delisted.values())
        return [state for state in found if state.target.service == service]

    def put(self, target: ServingTarget, now: float, told_by: str = STORE) -> bool:
        """Add or update a target from a report.

        A start time later than the known one, or another software version, creates a
        new state; a report with an earlier start time is outdated and ignored.

        Parameters
        ----------
        target : ServingTarget
            The target as reported.
        now : float
            Current time in seconds.
        told_by : str
            Source of the report.

        Returns
        -------
        bool
            Whether anything changed.
        """
        if target.name in self._unreadable and told_by != STORE:
            # Only a readable entry in the store restores the target.
            return False
        reported = target.incarnation
        known = self._known.get(target.name) or self._unreadable.get(target.name)
        if known is not None and reported.started_at is not None:
            if reported.is_followed_by(known.incarnation):
                return False
        self._forget_at.pop(target.name, None)
        self._delisted.pop(target.name, None)
        self._restore_readable(target.name)
        if (
            known is None
            or known.incarnation.is_followed_by(reported)
            or _is_other_software(known.target, target)
        ):
            self._add_incarnation(target, known, now, told_by)
            return True
        before = known.target
        known.update_entry(target)
        if target.software_version != before.software_version:
            self._generation += 1
        known.set_cold_for(target.warm_up_seconds, now)
        self._apply_evacuation(known, now)
        return known.target != before

    def _add_incarnation(
        self,
        target: ServingTarget,
        former: TargetState | None,
        now: float,
        told_by: str,
    ) -> None:
        self_reports = self._self_reports.pop(target.incarnation)
        self._known[target.name] = state = TargetState(target, now, self_reports)
        self._apply_evacuation(state, now)
        self._generation += 1
        if self._on_incarnation is not None:
            before = None if former is None else former.incarnation
            version = target.software_version
            self._on_incarnation(
                IncarnationStart(target.incarnation, before, told_by, version)
            )

    def evacuate(self, domains: frozenset[str], now: float) -> None:
        """Apply the set of failure domains that get no new requests.

        Parameters
        ----------
        domains : frozenset[str]
            All domains that are currently evacuated.
        now : float
            Current time in seconds.
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
        """Stop using a target whose entry has become unreadable.

        Its state is kept for as long as that of a target whose entry was removed. If
        the entry becomes readable within that time, the state is restored, with the
        requests that run there.

        Parameters
        ----------
        name : str
            Name of the target.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether the target was in use until now.
        """
        known = self._known.pop(name, None)
        if known is None:
            return False
        self._generation += 1
        self._unreadable[name] = known
        self._forget_at[name] = now + self._drain * RETENTION_SHARE
        return True

    def _restore_readable(self, name: str) -> None:
        """Restore a target whose entry was unreadable."""
        state = self._unreadable.pop(name, None)
        if state is not None:
            self._forget_at.pop(name, None)
            self._known[name] = state
            self._generation += 1

    def remove(self, name: str, removed_at: float) -> bool:
        """Record that the entry of a target was removed.

        Parameters
        ----------
        name : str
            Name of the target.
        removed_at : float
            Earliest time at which the entry may have been removed, in seconds.

        Returns
        -------
        bool
            Whether the target was listed until now.
        """
        known = self._known.get(name)
        if known is None or name in self._forget_at:
            return False
        retained_until = removed_at
        if not known.is_leaving:
            retained_until += self._drain * RETENTION_SHARE
            self._delisted[name] = (known, removed_at + ASSUMED_DRAIN_SECONDS)
        self._forget_at[name] = retained_until
        return True

    def forget_expired(self, now: float) -> list[TargetIncarnation]:
        """Forget targets whose retention time has passed.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[TargetIncarnation]
            The incarnations of the forgotten targets.
        """
        ended = [name for name, (_, until) in self._delisted.items() if now >= until]
        for name in ended:
            del self._delisted[name]
        gone = [name for name, until in self._forget_at.items() if now >= until]
        for name in gone:
            del self._forget_at[name]
            self._generation += 1
        return [self._forget(name, now) for name in gone]

    def _forget(self, name: str, now: float) -> TargetIncarnation:
        """Forget a target except for its self-reports."""
        state = self._known.pop(name, None) or self._unreadable.pop(name)
        self._self_reports.keep(state.incarnation, state.self_reports, now)
        return state.incarnation


def _is_other_software(known: ServingTarget, reported: ServingTarget) -> bool:
    """Return whether another process has the name, as its software is another one."""
    versions = {known.software_version, reported.software_version}
    return len(versions) > 1 and "" not in versions
