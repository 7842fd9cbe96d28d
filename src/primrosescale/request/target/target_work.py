"""Records the prefill backlog and the pace of targets under overload control.

Nothing is recorded for services for which overload control is not in force.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.target.prefill_backlog import PrefillBacklog
from primrosescale.request.target.prefill_rate import PrefillRate
from primrosescale.request.target.target_pace import TargetPace
from primrosescale.request.target.target_pace import UsualPace

if TYPE_CHECKING:
    from primrosescale.request.capacity.overload_scope import OverloadScope
    from primrosescale.request.target.target_state import LoadReport
    from primrosescale.request.target.target_state import TargetState


class _ServiceWork:
    """What is learned of all targets of one service."""

    __slots__ = ("rate", "usual_pace")

    def __init__(self) -> None:
        self.rate = PrefillRate()
        self.usual_pace = UsualPace()


class OpenPrefill:
    """Uncached tokens of one attempt, counted until its first byte or its end.

    Parameters
    ----------
    backlog : PrefillBacklog
        Backlog of its target.
    rate : PrefillRate
        Prefill rate of the service.
    tokens : float
        The attempt's uncached tokens.
    """

    __slots__ = ("_backlog", "_began_at", "_rate", "_tokens")

    def __init__(
        self, backlog: PrefillBacklog, rate: PrefillRate, tokens: float
    ) -> None:
        self._backlog = backlog
        self._rate = rate
        self._tokens = tokens
        # When it was sent; None before that, and once the tokens have been returned.
        self._began_at: float | None = None

    def sent(self, now: float) -> None:
        """Count the tokens from now on; called once.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._began_at = now
        self._backlog.started(self._tokens, now)

    def answered(self, now: float) -> None:
        """Return the tokens at the first byte of a successful answer.

        The time to it is recorded for the prefill rate.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if self._began_at is not None:
            self._rate.record(self._tokens, now - self._began_at)
            self.ended(now)

    def ended(self, now: float) -> None:
        """Return the tokens, unless they have been returned.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        if self._began_at is not None:
            self._began_at = None
            self._backlog.first_byte(self._tokens, now)


class TargetWork:
    """Prefill backlog and pace of the targets of services under overload control.

    The backlog and the pace belong to the state of a target's incarnation and end with
    it.

    Parameters
    ----------
    scope : OverloadScope
        Determines for which services overload control is in force.
    """

    __slots__ = ("_scope", "_services")

    def __init__(self, scope: OverloadScope) -> None:
        self._scope = scope
        self._services: dict[str, _ServiceWork] = {}

    def is_in_force(self, service: str) -> bool:
        """Return whether backlog and pace count for a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            As `OverloadScope.is_in_force`.
        """
        return self._scope.is_in_force(service)

    def reported(self, state: TargetState, report: LoadReport, now: float) -> None:
        """Record the pace in a load report, after the scope has recorded the report.

        Parameters
        ----------
        state : TargetState
            The target.
        report : LoadReport
            Its report.
        now : float
            Current time in seconds.
        """
        service = state.target.service
        if report.pace is None or not self.is_in_force(service):
            return
        if state.pace is None:
            state.pace = TargetPace(self._service(service).usual_pace)
        state.pace.record(report.pace, now)

    def prefill_of(self, state: TargetState, tokens: float) -> OpenPrefill | None:
        """Return the prefill of an attempt that is about to be sent.

        Parameters
        ----------
        state : TargetState
            Its target.
        tokens : float
            Its uncached tokens.

        Returns
        -------
        OpenPrefill | None
            None if there is nothing to count.
        """
        service = state.target.service
        if tokens <= 0 or not self.is_in_force(service):
            return None
        return OpenPrefill(self._backlog(state), self._service(service).rate, tokens)

    def peer_started(
        self, state: TargetState, tokens: float, began_at: float, now: float
    ) -> None:
        """Count tokens that a peer router has sent to a target.

        Parameters
        ----------
        state : TargetState
            The target.
        tokens : float
            Tokens of a prompt part that it was not known to hold.
        began_at : float
            When they were sent, in seconds.
        now : float
            Current time in seconds.
        """
        if tokens > 0 and self.is_in_force(state.target.service):
            self._backlog(state).peer_started(tokens, began_at, now)

    def pace_of(self, state: TargetState, now: float) -> float:
        """Return the pace that is expected at a target.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            A multiple of the usual time; the usual pace of its service for a target
            without a recent report, and 1 where overload control is not in force.
        """
        service = state.target.service
        if not self.is_in_force(service):
            return 1.0
        if state.pace is not None:
            return state.pace.expected(now)
        known = self._services.get(service)
        return 1.0 if known is None else known.usual_pace.mean

    def usual_pace(self, service: str) -> float | None:
        """Return the usual pace of the targets of a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        float | None
            A multiple of the usual time; None if no target has reported its pace.
        """
        known = self._services.get(service)
        return None if known is None else known.usual_pace.mean

    def _service(self, name: str) -> _ServiceWork:
        found = self._services.get(name)
        if found is None:
            found = self._services[name] = _ServiceWork()
        return found

    def _backlog(self, state: TargetState) -> PrefillBacklog:
        if state.prefill_backlog is None:
            rate = self._service(state.target.service).rate
            state.prefill_backlog = PrefillBacklog(rate)
        return state.prefill_backlog
