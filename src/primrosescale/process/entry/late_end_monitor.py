"""Detects targets that end some time after they began to answer a prompt.

No answer need be lost then: it may be complete, its caller may have left, or the target
may fall silent. The prompts that were sent to a target are remembered until it is known
to have survived them, or to have ended.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.process.entry.target_keys import target_key
from primrosescale.request.attempt.forwarding_interfaces import ProbeResult
from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.harmful_parts import MAX_REPORTED_PARTS
from primrosescale.request.harm.prompt_exposures import PromptExposure
from primrosescale.request.harm.prompt_exposures import PromptExposures

if TYPE_CHECKING:
    from collections.abc import Callable

    from primrosescale.clock import Timer
    from primrosescale.process.entry.entry_dependencies import EntryDependencies
    from primrosescale.process.entry.target_list import TargetList
    from primrosescale.request.attempt.forwarding_interfaces import TargetClient
    from primrosescale.request.attempt.target_attempt import TargetAttempt
    from primrosescale.request.harm.harmful_requests import HarmfulRequests
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState

# Interval at which the targets that read prompts are checked for whether they survived.
EXPOSURE_CHECK_SECONDS = 0.25
# A target without an entry that has sent nothing for this long does not answer.
MIN_SILENT_SECONDS = 1.0
# Time after an outage of the store in which entries of running targets may be missing.
LAPSE_SECONDS = 5.0
# Logged as the evidence when a target without an entry does not answer.
SILENT = "silent, entry gone"


class LateEndMonitor:
    """Remembers the prompts of one router that targets may still end under.

    Parameters
    ----------
    requests : HarmfulRequests
        Evaluates the reports of all routers.
    targets : TargetList
        The known targets and their states.
    target_client : TargetClient
        Opens connections to targets.
    dependencies : EntryDependencies
        Collaborators of the router.
    clear : Callable[[tuple[int, ...], float, float], None]
        Called with parts that a target has survived, when it began to answer, and the
        current time.
    report : Callable[[TargetIncarnation, list[TargetEnd], str, float], None]
        Called with a target that was found to have ended, its ends, the evidence for
        the log, and the current time.
    is_list_old : Callable[[], bool]
        Returns whether the list of targets may lack the latest ends.
    """

    def __init__(
        self,
        requests: HarmfulRequests,
        targets: TargetList,
        target_client: TargetClient,
        dependencies: EntryDependencies,
        clear: Callable[[tuple[int, ...], float, float], None],
        report: Callable[[TargetIncarnation, list[TargetEnd], str, float], None],
        is_list_old: Callable[[], bool],
    ) -> None:
        self._requests = requests
        self._parts = requests.parts
        self._targets = targets
        self._target_client = target_client
        self._reactor: Any = dependencies.reactor
        self._clear = clear
        self._report = report
        self._is_list_old = is_list_old
        self._exposures = PromptExposures()
        self._exposure_timer: Timer | None = None
        # Targets without an entry that have been probed, by `target_key`.
        self._unlisted_probes: set[int] = set()
        # When the list of targets was last known to be old, in seconds.
        self._list_was_old_at = -math.inf

    def sent(self, request: IncomingRequest, attempt: TargetAttempt) -> None:
        """Remember a prompt until its target has survived it, or ended.

        Parameters
        ----------
        request : IncomingRequest
            The request.
        attempt : TargetAttempt
            The attempt that sends it.
        """
        parts = self._parts.unproven(request.part_fingerprints)
        if not parts or attempt.state.is_leaving:
            return
        exposure = PromptExposure(attempt, request.fingerprint, parts)
        self._exposures.add(target_key(*attempt.incarnation), exposure)
        if self._exposure_timer is None:
            self._exposure_timer = self._reactor.callLater(
                EXPOSURE_CHECK_SECONDS, self._check_exposures
            )

    def ended(
        self, target: TargetIncarnation, lost_at: float | None, now: float
    ) -> list[TargetEnd]:
        """Return the late ends for the prompts that a target read before its end.

        Parameters
        ----------
        target : TargetIncarnation
            The target, which has ended.
        lost_at : float | None
            When the first answer was lost there, in seconds; None if none was.
        now : float
            Current time in seconds.

        Returns
        -------
        list[TargetEnd]
            One for each prompt that it may have ended under.
        """
        key = target_key(*target)
        self._clear_lasting(key, now, is_listed=False)
        taken = self._exposures.take(key, lambda _: True)
        if not taken:
            return []
        self._update_answering(now)
        state, present = taken[0].state, self._targets.state(target.name)
        is_replaced = present is not None and present is not state
        if lost_at is None and not is_replaced:
            lost_at = state.last_received_at
            is_listed = self._targets.is_listed(target.name)
            if not is_listed and now - lost_at < MIN_SILENT_SECONDS:
                # Only its entry is gone.
                return []
        return self._ends_under(taken, key, lost_at, now)

    def ended_at_peer(self, key: int, ended_at: float, now: float) -> list[TargetEnd]:
        """Return the late ends of a target whose end a peer has reported.

        This router detects by itself what becomes of its requests in flight there.

        Parameters
        ----------
        key : int
            Key of the target's incarnation.
        ended_at : float
            When it ended, in seconds.
        now : float
            Current time in seconds.

        Returns
        -------
        list[TargetEnd]
            One for each prompt of an earlier request that it may have ended under.
        """
        taken = self._exposures.take(key, lambda each: not each.is_open)
        if taken:
            self._update_answering(now)
        return self._ends_under(taken, key, ended_at, now)

    def _check_exposures(self) -> None:
        """Clear the parts of prompts that targets survived, and find silent targets."""
        now = self._reactor.seconds()
        is_list_old = self._is_list_old()
        if is_list_old:
            self._list_was_old_at = now
        for key, state in self._exposures.targets():
            is_listed = (
                self._targets.is_listed(state.target.name)
                and self._targets.state(state.target.name) is state
            )
            if not is_listed and self._may_be_silent(key, state, now):
                self._probe_unlisted(key, state)
            if is_listed:
                self._unlisted_probes.discard(key)
            is_known = is_listed and not is_list_old
            self._clear_lasting(key, now, is_listed=is_known)
            self._exposures.take(key, lambda each: each.is_expired(now))
        self._update_answering(now)
        self._unlisted_probes &= {key for key, _ in self._exposures.targets()}
        self._exposure_timer = None
        if len(self._exposures):
            self._exposure_timer = self._reactor.callLater(
                EXPOSURE_CHECK_SECONDS, self._check_exposures
            )

    def _update_answering(self, now: float) -> None:
        self._parts.set_answering(self._exposures.answering(now))

    def _may_be_silent(self, key: int, state: TargetState, now: float) -> bool:
        """Return whether a target without an entry may have ended in silence."""
        if state.is_leaving or key in self._unlisted_probes:
            return False
        if now - self._list_was_old_at < LAPSE_SECONDS:
            return False
        return now - state.last_received_at >= MIN_SILENT_SECONDS

    def _probe_unlisted(self, key: int, state: TargetState) -> None:
        """Probe a target without an entry, unless it already owes an answer."""
        target = state.incarnation
        is_avoided = state.is_avoided(self._reactor.seconds())
        if is_avoided or self._exposures.has_unanswered(key):
            self._unlisted_probed(key, target, ProbeResult.UNKNOWN)
            return
        self._unlisted_probes.add(key)
        self._target_client.check(
            target, lambda found: self._unlisted_probed(key, target, found)
        )

    def _unlisted_probed(
        self, key: int, target: TargetIncarnation, found: ProbeResult
    ) -> None:
        if found is ProbeResult.CONNECTED:
            # Its entry may have lapsed; if it has ended, the list will tell.
            return
        now = self._reactor.seconds()
        self._report(target, self.ended(target, None, now), SILENT, now)

    def _clear_lasting(self, key: int, now: float, *, is_listed: bool) -> None:
        for each in self._exposures.take(
            key, lambda each: each.is_lasting(now, is_listed=is_listed)
        ):
            began_at = now if each.began_at is None else each.began_at
            self._clear(each.parts, began_at, now)

    def _ends_under(
        self,
        exposures: list[PromptExposure],
        key: int,
        ended_at: float | None,
        now: float,
    ) -> list[TargetEnd]:
        if self._requests.ends_are_widespread(now):
            # Chance gives many parts several ends within that time.
            return []
        ends = []
        for each in exposures:
            if each.state.is_leaving:
                # It was expected to end.
                continue
            parts = self._parts.unproven(each.parts)[:MAX_REPORTED_PARTS]
            if parts and each.may_have_ended_target(ended_at):
                ends.append(
                    TargetEnd(each.content, key, now, parts=parts, is_late=True)
                )
        return ends
