"""Software versions of the targets of each service, now and recently."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState

# Seconds for which versions that are no longer listed are remembered.
HISTORY_SECONDS = 300.0
# Age of the list from which on versions may have come and gone unnoticed. In steady
# state, the answers of the store are up to 3.5 s old.
MAX_LIST_AGE_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class VersionView:
    """What one router knows of the versions that a service had for some time.

    Parameters
    ----------
    only : str | None
        The only version, possibly empty; None if there were several, or if that is
        not known.
    has_several : bool
        Whether there were several versions.
    """

    only: str | None = None
    has_several: bool = False


UNKNOWN_VERSIONS = VersionView()
SEVERAL_VERSIONS = VersionView(has_several=True)


class VersionHistory:
    """The software versions of each service, with when they were last listed.

    Parameters
    ----------
    is_first_start : bool
        Whether no router ran before, so that no stream began before the first list.
    """

    __slots__ = ("_complete_since", "_generation", "_last_listed", "_next_complete")

    def __init__(self, *, is_first_start: bool = False) -> None:
        # Since when every change of the list has been noticed; None for not now.
        self._complete_since: float | None = None
        # That time, if the next list is complete; None for the time of that list.
        self._next_complete = -math.inf if is_first_start else None
        self._generation: int | None = None
        # By service and version; infinite while a target of the version is listed.
        self._last_listed: dict[str, dict[str, float]] = {}

    def update(
        self,
        states: Iterable[TargetState],
        generation: int,
        age: float | None,
        now: float,
    ) -> None:
        """Apply the list of targets.

        Parameters
        ----------
        states : Iterable[TargetState]
            The known targets.
        generation : int
            Number that changes with the versions of known targets.
        age : float | None
            Seconds since the store confirmed the list; None if it never did.
        now : float
            Current time in seconds.
        """
        if age is None or age > MAX_LIST_AGE_SECONDS:
            if self._complete_since is not None:
                self._complete_since = self._next_complete = None
        elif self._complete_since is None:
            since = self._next_complete
            self._complete_since = now if since is None else since
        if generation != self._generation:
            self._generation = generation
            self._apply(states, now)

    def _apply(self, states: Iterable[TargetState], now: float) -> None:
        for versions in self._last_listed.values():
            for version, last_listed in list(versions.items()):
                if last_listed == math.inf:
                    versions[version] = now
                elif now - last_listed > HISTORY_SECONDS:
                    del versions[version]
        for state in states:
            target = state.target
            listed = self._last_listed.setdefault(target.service, {})
            listed[target.software_version] = math.inf

    def view(self, service: str, window: float, now: float) -> VersionView:
        """Return which versions a service has had.

        Parameters
        ----------
        service : str
            Name of the service.
        window : float
            Seconds up to now that count.
        now : float
            Current time in seconds.

        Returns
        -------
        VersionView
            The only version, or that there were several. That there was only one is
            known if all changes were noticed for the whole time.
        """
        listed = self._last_listed.get(service, {})
        recent = [item for item, last in listed.items() if now - last <= window]
        if len(recent) > 1:
            return SEVERAL_VERSIONS
        since = self._complete_since
        is_complete = since is not None and now - since >= window
        if not recent or not is_complete or window > HISTORY_SECONDS:
            return UNKNOWN_VERSIONS
        return VersionView(only=recent[0])


def targets_of_other_versions(
    states: Sequence[TargetState], version: str | None
) -> set[TargetIncarnation]:
    """Return the targets at which a stream must not be continued.

    Parameters
    ----------
    states : Sequence[TargetState]
        Targets of one service.
    version : str | None
        Software version that began the stream; empty if it was not stated, None if it
        is not known.

    Returns
    -------
    set[TargetIncarnation]
        Targets of another version. Where some targets state a version, one that
        states none may have any, so that no two such targets are alike.
    """
    if not version and any(state.target.software_version for state in states):
        return {state.incarnation for state in states}
    return {
        state.incarnation
        for state in states
        if state.target.software_version != version
    }
