"""The targets that one request may be sent to, and the choice among them.

It may go to targets in the regions that its route and organisation allow, not to one
that was tried before, and, once it is a stream of which the caller has an event, only
to targets of the software version that sent the first event.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.attempt.tried_targets import TriedTargets
from primrosescale.request.stream.software_versions import targets_of_other_versions

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primrosescale.request.attempt.forwarding_context import ForwardingContext
    from primrosescale.request.choice.target_choice import Choice
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState


class CandidateTargets:
    """Targets that a request may be sent to.

    Parameters
    ----------
    request : IncomingRequest
        The request.
    tools : ForwardingContext
        Settings and collaborators that all calls share.
    """

    __slots__ = ("_request", "_tools", "_tried")

    def __init__(self, request: IncomingRequest, tools: ForwardingContext) -> None:
        self._request = request
        self._tools = tools
        self._tried = TriedTargets(request.route.max_targets)

    @property
    def request(self) -> IncomingRequest:
        """Return the request."""
        return self._request

    @property
    def tried(self) -> TriedTargets:
        """Return the targets that it was sent to."""
        return self._tried

    def states(self) -> Sequence[TargetState]:
        """Return the targets of its service in allowed regions."""
        states = self._tools.states_of(self._request.service)
        allowed = self._request.allowed_regions
        if allowed is None:
            return states
        region_of = self._tools.regions.get
        return [state for state in states if region_of(state.target.domain) in allowed]

    def excluded(self, states: Sequence[TargetState]) -> set[TargetIncarnation]:
        """Return which of its targets it must not be sent to.

        Parameters
        ----------
        states : Sequence[TargetState]
            The targets, as returned by `states`.

        Returns
        -------
        set[TargetIncarnation]
            Targets that it was sent to, and those that have, or may have, another
            software version.
        """
        excluded = self._tried.excluded(states)
        origin = self._request.stream_origin
        if origin is not None:
            excluded |= targets_of_other_versions(states, origin.software_version)
            tools = self._tools
            excluded |= tools.version_doubts.among(states, tools.clock.seconds())
        return excluded

    def left(self) -> list[TargetState]:
        """Return the targets that it may still be sent to, available or not."""
        states = self.states()
        excluded = self.excluded(states)
        return [state for state in states if state.incarnation not in excluded]

    def of_version(self) -> list[TargetState]:
        """Return the targets of the version that began its stream; all before that."""
        states = self.states()
        origin = self._request.stream_origin
        if origin is None:
            return list(states)
        others = targets_of_other_versions(states, origin.software_version)
        return [state for state in states if state.incarnation not in others]

    def has_version(self) -> bool:
        """Return whether a target that takes requests could continue its stream.

        Returns
        -------
        bool
            True also for a request that is no stream, or whose stream has not begun.
        """
        if self._request.stream_origin is None:
            return True
        return any(state.takes_work for state in self.of_version())

    def choose(self, now: float) -> Choice | None:
        """Choose a target.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        Choice | None
            The target; None if none may be sent it now.
        """
        states = self.states()
        return self._tools.chooser.choose(
            states, self.excluded(states), self._request.prompt, now
        )

    def choose_healthy(self, now: float) -> Choice | None:
        """Choose a target that is not avoided, such as for failures or silence.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        Choice | None
            The target; None if there is none, or only an avoided one.
        """
        choice = self.choose(now)
        if choice is None or choice.state.is_avoided(now):
            return None
        return choice

    def count_available(self, now: float) -> int:
        """Return how many targets could take it immediately.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Number of targets.
        """
        states = self.states()
        return self._tools.chooser.count_available(states, self.excluded(states), now)
