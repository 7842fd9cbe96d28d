"""Decides which requests are harmful, as they crash targets, and holds them back.

A harmful request ends each target that begins to run it, and is sent again and again,
under new ids and through any router. Each end also loses the requests of many other
callers; where a service has few targets, these too run on one ending target after the
other. Ends are therefore counted by the content of the requests that were running, from
the reports of all routers. One end more is required where other requests explain all
the ends better, or while targets end so often that chance may explain them.

A complete answer whose target kept running clears a request of all earlier ends, and
from then on more ends are required; a complete answer whose target ended just after
counts as an end. A suspect request, which may or may not be harmful, is tried alone:
no other router sends it while one waits for the outcome of its trial.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING

from primrosescale.request.harm.harm_reports import CompleteAnswer
from primrosescale.request.harm.harm_reports import SuspectTrial
from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.suspect_parts import SuspectParts
from primrosescale.request.target.decaying_outcomes import DecayingOutcomes

if TYPE_CHECKING:
    from primrosescale.request.harm.harm_settings import HarmSettings

# Additional ends required where other requests or chance may explain the ends.
EXTRA_ENDS_IF_EXPLAINED = 1
# Share of requests whose target ends while it runs them, above which chance alone gives
# three ends to more than one request in ten thousand.
MAX_CHANCE_SHARE = 0.046
# Half-life of the outcomes in that share, and the number of good answers assumed before
# the first outcomes.
CHANCE_HALF_LIFE_SECONDS = 10.0
PRIOR_ANSWERS = 100.0
# Time within which a trial shows whether its target ends.
TRIAL_SECONDS = 2.0
# Factor by which more ends are required for a request that was answered completely.
ANSWERED_MULTIPLE = 2
# Additional ends required where targets ended just after answering it completely.
EXTRA_ENDS_AFTER_ANSWER = 2
# Factor by which each further end lengthens the hold; it allows three trials in a day.
HOLD_GROWTH_FACTOR = 12.0
# Time for which an end counts.
MEMORY_SECONDS = 172_800.0
# Maximum of ends that are remembered for one request.
MAX_ENDS = 16
# When the limit is reached, the request with the fewest ends among this many of the
# oldest is evicted: many requests with a single end must not displace one that is
# nearly proved harmful.
EVICTION_CANDIDATES = 16


class _Evidence:
    """What is known of one request.

    Attributes
    ----------
    ends : dict[int, float]
        When targets ended while they ran it, by target.
    answered_at : float
        When it was last answered completely; 0 for never. Earlier ends don't count.
    trial_at : float
        When it was last sent as a trial; 0 for never.
    ended_after_answer : bool
        Whether any of the targets had answered it just before they ended.
    """

    __slots__ = ("answered_at", "ended_after_answer", "ends", "trial_at")

    def __init__(self, answered_at: float) -> None:
        self.ends: dict[int, float] = {}
        self.answered_at = answered_at
        self.trial_at = 0.0
        self.ended_after_answer = False

    @property
    def last_end(self) -> float:
        """Return when the last target ended, in seconds."""
        return max(self.ends.values(), default=0.0)


class HarmfulRequests:
    """Counts ends of targets by the requests that they ran, and decides on holds.

    Parameters
    ----------
    settings : HarmSettings
        When a request is held back.
    """

    __slots__ = (
        "_answered",
        "_evidence",
        "_outcomes",
        "_parts",
        "_running_at",
        "_settings",
        "_with_enough_ends",
    )

    def __init__(self, settings: HarmSettings) -> None:
        self._settings = settings
        # The one whose last new end was recorded longest ago comes first.
        self._evidence: OrderedDict[int, _Evidence] = OrderedDict()
        # When requests were last answered completely, the oldest first.
        self._answered: OrderedDict[int, float] = OrderedDict()
        # Which requests each ended target ran.
        self._running_at: dict[int, set[int]] = {}
        self._outcomes = DecayingOutcomes(CHANCE_HALF_LIFE_SECONDS, 0.0)
        # Requests with the required number of ends, explained or not.
        self._with_enough_ends: set[int] = set()
        self._parts = SuspectParts(settings, self.ends_are_widespread)

    def __len__(self) -> int:
        """Return for how many requests ends are remembered."""
        return len(self._evidence)

    @property
    def may_hold(self) -> bool:
        """Return whether any request may have to be held back."""
        return bool(self._with_enough_ends)

    @property
    def parts(self) -> SuspectParts:
        """Return the detection of harmful prompt parts."""
        return self._parts

    def configure(self, settings: HarmSettings) -> None:
        """Replace the settings.

        Parameters
        ----------
        settings : HarmSettings
            When a request is held back.
        """
        self._settings = settings
        self._with_enough_ends = {
            fingerprint
            for fingerprint, evidence in self._evidence.items()
            if len(evidence.ends) >= settings.ends
        }
        self._parts.configure(settings)

    def record_end(self, end: TargetEnd) -> bool:
        """Record that a target ended while it ran a request.

        Parameters
        ----------
        end : TargetEnd
            The end.

        Returns
        -------
        bool
            Whether it was new.
        """
        evidence = self._evidence.get(end.fingerprint)
        if evidence is None:
            evidence = self._add(end.fingerprint)
        if end.at <= evidence.answered_at or end.target in evidence.ends:
            return False
        self._forget_old_ends(end.fingerprint, evidence, end.at)
        evidence.ends[end.target] = end.at
        evidence.ended_after_answer |= end.was_answered
        self._running_at.setdefault(end.target, set()).add(end.fingerprint)
        self._evidence.move_to_end(end.fingerprint)
        if len(evidence.ends) >= self._settings.ends:
            self._with_enough_ends.add(end.fingerprint)
        return True

    def record_answer(self, answer: CompleteAnswer) -> bool:
        """Clear a request of the ends before a complete answer.

        Parameters
        ----------
        answer : CompleteAnswer
            The answer.

        Returns
        -------
        bool
            Whether it was new, and about a request for which ends were reported.
        """
        self._remember_answer(answer)
        evidence = self._evidence.get(answer.fingerprint)
        if evidence is None:
            return False
        is_first = not evidence.answered_at
        evidence.answered_at = max(evidence.answered_at, answer.at)
        cleared = [t for t, at in evidence.ends.items() if at <= answer.at]
        for target in cleared:
            self._drop_end(answer.fingerprint, evidence, target)
        return is_first or bool(cleared)

    def record_trial(self, tried: SuspectTrial) -> bool:
        """Record that a suspect request was sent to a target as a trial.

        Parameters
        ----------
        tried : SuspectTrial
            The trial.

        Returns
        -------
        bool
            Whether it was new, and about a request that is to be tried alone.
        """
        if not self.is_suspect(tried.fingerprint):
            return False
        evidence = self._evidence[tried.fingerprint]
        is_new = tried.at > evidence.trial_at
        evidence.trial_at = max(evidence.trial_at, tried.at)
        return is_new

    def is_suspect(self, fingerprint: int) -> bool:
        """Return whether a request is to be tried alone, unless it is held back.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request's content.

        Returns
        -------
        bool
            True if it has the required number of ends, whatever explains them.
        """
        evidence = self._evidence.get(fingerprint)
        return evidence is not None and len(evidence.ends) >= self._required_ends(
            evidence
        )

    def last_answer(self, fingerprint: int) -> CompleteAnswer | None:
        """Return the last remembered complete answer to a request.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request's content.

        Returns
        -------
        CompleteAnswer | None
            The answer; None if none is remembered.
        """
        at = self._answered.get(fingerprint)
        return None if at is None else CompleteAnswer(fingerprint, at)

    def _remember_answer(self, answer: CompleteAnswer) -> None:
        before = self._answered.pop(answer.fingerprint, 0.0)
        self._answered[answer.fingerprint] = max(before, answer.at)
        if len(self._answered) > self._settings.answered:
            self._answered.popitem(last=False)

    def count_answer(self, now: float) -> None:
        """Count a request that this router forwarded and that was fully answered.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._outcomes.add_good(now)

    def count_end(self, now: float) -> None:
        """Count a request of this router that a target ran when it ended.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._outcomes.add_bad(now)

    def retract_ends(self, target: int) -> None:
        """Retract the ends of a target that was reported as ended but still runs.

        Parameters
        ----------
        target : int
            Key of its incarnation.
        """
        for fingerprint in list(self._running_at.get(target, ())):
            self._drop_end(fingerprint, self._evidence[fingerprint], target)
        self._parts.retract_ends(target)

    def held_for(self, fingerprint: int, now: float) -> float:
        """Return for how long a request is still held back.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request's content.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 if it may be sent.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or len(evidence.ends) < self._required_ends(evidence):
            return 0.0
        until = evidence.trial_at + TRIAL_SECONDS
        if self._is_explained_by_widespread_ends(evidence, now):
            return 0.0
        if self._is_sufficient(fingerprint, evidence, now):
            until = max(until, evidence.last_end + self._hold_seconds(evidence))
        return max(0.0, until - now)

    def ends_under(self, fingerprint: int) -> int:
        """Return how many targets are known to have ended while running a request.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request's content.

        Returns
        -------
        int
            Targets.
        """
        evidence = self._evidence.get(fingerprint)
        return 0 if evidence is None else len(evidence.ends)

    def held(self, now: float) -> list[int]:
        """Return the requests that are held back.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        list[int]
            Their fingerprints.
        """
        return [each for each in self._with_enough_ends if self.held_for(each, now) > 0]

    def sufficient_ends(self, fingerprint: int) -> list[TargetEnd]:
        """Return the most recent ends that suffice to hold a request back.

        Parameters
        ----------
        fingerprint : int
            Fingerprint of the request's content.

        Returns
        -------
        list[TargetEnd]
            As many ends as any other router requires to hold it back too.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return []
        newest = sorted(evidence.ends.items(), key=lambda item: -item[1])
        required = self._required_ends(evidence) + EXTRA_ENDS_IF_EXPLAINED
        was_answered = evidence.ended_after_answer
        return [
            TargetEnd(fingerprint, target, at, was_answered)
            for target, at in newest[:required]
        ]

    def ends_are_widespread(self, now: float) -> bool:
        """Return whether targets end so often that chance gives requests three ends.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True if they end under more than `MAX_CHANCE_SHARE` of the requests.
        """
        good, bad = self._outcomes.counts(now)
        return bad > MAX_CHANCE_SHARE * (good + bad + PRIOR_ANSWERS)

    def _hold_seconds(self, evidence: _Evidence) -> float:
        settings = self._settings
        if evidence.answered_at:
            # Its ends may date from a time in which many targets ended.
            return settings.hold
        trials = len(evidence.ends) - settings.ends
        return min(settings.longest_hold, settings.hold * HOLD_GROWTH_FACTOR**trials)

    def _is_sufficient(self, fingerprint: int, evidence: _Evidence, now: float) -> bool:
        more = len(evidence.ends) - self._required_ends(evidence)
        if more >= EXTRA_ENDS_IF_EXPLAINED:
            return True
        is_widespread = self.ends_are_widespread(now)
        return not is_widespread and not self._is_explained(fingerprint, evidence)

    def _is_explained_by_widespread_ends(self, evidence: _Evidence, now: float) -> bool:
        """Return whether it was answered before and targets now end often.

        A request that many callers send runs on every target that ends, and would
        be held back for minutes after the targets have recovered. The number of ends
        is limited, so that one complete answer does not let a request end targets
        forever.
        """
        if not evidence.answered_at or len(evidence.ends) >= MAX_ENDS:
            return False
        return self.ends_are_widespread(now)

    def _is_explained(self, fingerprint: int, evidence: _Evidence) -> bool:
        """Return whether at each end the target also ran a request with more ends."""
        return all(
            any(
                len(self._evidence[other].ends) > len(evidence.ends)
                for other in self._running_at[target]
                if other != fingerprint
            )
            for target in evidence.ends
        )

    def _required_ends(self, evidence: _Evidence) -> int:
        if evidence.answered_at:
            return ANSWERED_MULTIPLE * self._settings.ends
        more = EXTRA_ENDS_AFTER_ANSWER if evidence.ended_after_answer else 0
        return self._settings.ends + more

    def _add(self, fingerprint: int) -> _Evidence:
        if len(self._evidence) >= self._settings.remembered:
            oldest = list(islice(self._evidence, EVICTION_CANDIDATES))
            self._forget(min(oldest, key=lambda each: len(self._evidence[each].ends)))
        evidence = _Evidence(self._answered.get(fingerprint, 0.0))
        self._evidence[fingerprint] = evidence
        return evidence

    def _forget(self, fingerprint: int) -> None:
        evidence = self._evidence[fingerprint]
        for target in list(evidence.ends):
            self._drop_end(fingerprint, evidence, target)
        del self._evidence[fingerprint]

    def _forget_old_ends(
        self, fingerprint: int, evidence: _Evidence, now: float
    ) -> None:
        oldest = now - MEMORY_SECONDS
        old = [target for target, at in evidence.ends.items() if at < oldest]
        if len(evidence.ends) - len(old) >= MAX_ENDS:
            old.append(min(evidence.ends, key=evidence.ends.__getitem__))
        for target in old:
            self._drop_end(fingerprint, evidence, target)

    def _drop_end(self, fingerprint: int, evidence: _Evidence, target: int) -> None:
        if evidence.ends.pop(target, None) is None:
            return
        on_board = self._running_at[target]
        on_board.discard(fingerprint)
        if not on_board:
            del self._running_at[target]
        if len(evidence.ends) < self._settings.ends:
            self._with_enough_ends.discard(fingerprint)
