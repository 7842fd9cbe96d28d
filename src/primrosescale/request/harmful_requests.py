"""Which requests end the targets that run them, and for how long they are held back.

The pattern it answers: one request that ends each target that begins to run it is
sent again and again, under new ids and at any entry host. Each end takes the
requests of many other callers with it, which are on board of one target after the
other as well where a service has few. So it counts under which content targets
ended, by the reports of all routers, and waits for one end more where other requests
explain them all better, or while targets end so often that chance may explain them.
A whole answer whose target lived on clears a request of all that was reported before,
and vouches for it; one whose target ended just after counts as an end. A request that
may or may not be harmful is tried alone: no other router sends it while one waits for
what becomes of it.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import islice
from typing import TYPE_CHECKING

from primrosescale.request.decaying_outcomes import DecayingOutcomes
from primrosescale.request.harm_reports import CompleteAnswer
from primrosescale.request.harm_reports import SuspectTrial
from primrosescale.request.harm_reports import TargetEnd

if TYPE_CHECKING:
    from primrosescale.request.harm_settings import HarmSettings

# Ends that it takes besides where other requests or chance may explain the others.
MORE_WHERE_EXPLAINED = 1
# Part of requests that are on board of a target's end, above which chance explains
# three ends under one of ten thousand requests.
CHANCE_SHARE = 0.046
# Seconds in which outcomes lose half of their weight in that part, and answers that
# stand for the time before the first outcomes.
CHANCE_HALF_LIFE = 10.0
USUAL_ANSWERS = 100.0
# Seconds in which a try shows whether its target ends.
TRIAL_SECONDS = 2.0
# How many times as many ends it takes for a request that was answered whole.
VOUCHED_MULTIPLE = 2
# How many more where targets answered it whole and ended just after.
MORE_AFTER_ANSWERS = 2
# Each further end makes the hold so many times as long: three tries in a day.
HOLD_GROWTH = 12.0
# Seconds for which an end counts.
MEMORY_SECONDS = 172_800.0
# Ends of one request that are remembered.
MOST_ENDS = 16
# The oldest of the remembered requests, of which the one with the fewest ends makes
# room for another: many single ends must not push out what is nearly proved.
LEAVING = 16


class _Evidence:
    """What is known of one request.

    Attributes
    ----------
    ends : dict[int, float]
        When targets ended under it, by target.
    answered_at : float
        When it was last answered whole; 0 for never. No end before counts.
    tried_at : float
        When it was last sent as a suspect; 0 for never.
    ended_after_answer : bool
        Whether some of the targets had answered it just before they ended.
    """

    __slots__ = ("answered_at", "ended_after_answer", "ends", "tried_at")

    def __init__(self, answered_at: float) -> None:
        self.ends: dict[int, float] = {}
        self.answered_at = answered_at
        self.tried_at = 0.0
        self.ended_after_answer = False

    @property
    def last_end(self) -> float:
        """Return when the last target ended, in seconds."""
        return max(self.ends.values(), default=0.0)


class HarmfulRequests:
    """Ends of targets by the requests that were on board.

    Parameters
    ----------
    settings : HarmSettings
        When a request is held back.
    """

    __slots__ = (
        "_answered",
        "_at_target",
        "_enough",
        "_evidence",
        "_outcomes",
        "_settings",
    )

    def __init__(self, settings: HarmSettings) -> None:
        self._settings = settings
        # The one with the oldest news first.
        self._evidence: OrderedDict[int, _Evidence] = OrderedDict()
        # When requests were answered whole here, the oldest first.
        self._answered: OrderedDict[int, float] = OrderedDict()
        # Which requests were on board, by target.
        self._at_target: dict[int, set[int]] = {}
        self._outcomes = DecayingOutcomes(CHANCE_HALF_LIFE, 0.0)
        # Requests with as many ends as it takes, explained or not.
        self._enough: set[int] = set()

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._evidence)

    @property
    def may_hold(self) -> bool:
        """Tell whether any request could be held back."""
        return bool(self._enough)

    def configure(self, settings: HarmSettings) -> None:
        """Take in changed settings.

        Parameters
        ----------
        settings : HarmSettings
            When a request is held back.
        """
        self._settings = settings
        self._enough = {
            fingerprint
            for fingerprint, evidence in self._evidence.items()
            if len(evidence.ends) >= settings.ends
        }

    def record_end(self, end: TargetEnd) -> bool:
        """Take in that a target ended with a request on board.

        Parameters
        ----------
        end : TargetEnd
            The end.

        Returns
        -------
        bool
            Whether it was news.
        """
        evidence = self._evidence.get(end.fingerprint)
        if evidence is None:
            evidence = self._begin(end.fingerprint)
        if end.at <= evidence.answered_at or end.target in evidence.ends:
            return False
        self._forget_old_ends(end.fingerprint, evidence, end.at)
        evidence.ends[end.target] = end.at
        evidence.ended_after_answer |= end.was_answered
        self._at_target.setdefault(end.target, set()).add(end.fingerprint)
        self._evidence.move_to_end(end.fingerprint)
        if len(evidence.ends) >= self._settings.ends:
            self._enough.add(end.fingerprint)
        return True

    def record_answer(self, answer: CompleteAnswer) -> bool:
        """Clear a request of the ends before a whole answer.

        Parameters
        ----------
        answer : CompleteAnswer
            The answer.

        Returns
        -------
        bool
            Whether it was news of a request that something spoke against.
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
        """Take in that a suspect request was sent to a target.

        Parameters
        ----------
        tried : SuspectTrial
            The try.

        Returns
        -------
        bool
            Whether it was news of a request that is to be tried alone.
        """
        if not self.is_suspect(tried.fingerprint):
            return False
        evidence = self._evidence[tried.fingerprint]
        is_worth_sharing = tried.at > evidence.tried_at
        evidence.tried_at = max(evidence.tried_at, tried.at)
        return is_worth_sharing

    def is_suspect(self, fingerprint: int) -> bool:
        """Tell whether a request is to be tried alone, unless it is held back.

        Parameters
        ----------
        fingerprint : int
            What it asks for.

        Returns
        -------
        bool
            True for one with as many ends as it takes, whatever explains them.
        """
        evidence = self._evidence.get(fingerprint)
        return evidence is not None and len(evidence.ends) >= self._needed(evidence)

    def last_answer(self, fingerprint: int) -> CompleteAnswer | None:
        """Return the last whole answer to a request that is remembered.

        Parameters
        ----------
        fingerprint : int
            What it asks for.

        Returns
        -------
        CompleteAnswer | None
            None where none is.
        """
        at = self._answered.get(fingerprint)
        return None if at is None else CompleteAnswer(fingerprint, at)

    def _remember_answer(self, answer: CompleteAnswer) -> None:
        before = self._answered.pop(answer.fingerprint, 0.0)
        self._answered[answer.fingerprint] = max(before, answer.at)
        if len(self._answered) > self._settings.answered:
            self._answered.popitem(last=False)

    def count_answer(self, now: float) -> None:
        """Count a request that was answered whole here.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._outcomes.add_good(now)

    def count_end(self, now: float) -> None:
        """Count a request of this router that was on board when a target ended.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._outcomes.add_bad(now)

    def retract_ends(self, target: int) -> None:
        """Take in that a target that was said to have ended has not.

        Parameters
        ----------
        target : int
            Short name of its incarnation.
        """
        for fingerprint in list(self._at_target.get(target, ())):
            self._drop_end(fingerprint, self._evidence[fingerprint], target)

    def held_for(self, fingerprint: int, now: float) -> float:
        """Return how long a request is held back from now on.

        Parameters
        ----------
        fingerprint : int
            What it asks for.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds; 0 for one that may be sent.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None or len(evidence.ends) < self._needed(evidence):
            return 0.0
        until = evidence.tried_at + TRIAL_SECONDS
        if self._is_explained_by_storm(evidence, now):
            return 0.0
        if self._is_enough(fingerprint, evidence, now):
            until = max(until, evidence.last_end + self._hold(evidence))
        return max(0.0, until - now)

    def ends_under(self, fingerprint: int) -> int:
        """Return how many targets are known to have ended under a request.

        Parameters
        ----------
        fingerprint : int
            What it asks for.

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
            Present time in seconds.

        Returns
        -------
        list[int]
            Their fingerprints.
        """
        return [each for each in self._enough if self.held_for(each, now) > 0]

    def sufficient_ends(self, fingerprint: int) -> list[TargetEnd]:
        """Return the ends that suffice to hold a request back, the last ones.

        Parameters
        ----------
        fingerprint : int
            What it asks for.

        Returns
        -------
        list[TargetEnd]
            As many ends as any other router needs to hold it back too.
        """
        evidence = self._evidence.get(fingerprint)
        if evidence is None:
            return []
        newest = sorted(evidence.ends.items(), key=lambda item: -item[1])
        most = self._needed(evidence) + MORE_WHERE_EXPLAINED
        was_answered = evidence.ended_after_answer
        return [
            TargetEnd(fingerprint, target, at, was_answered)
            for target, at in newest[:most]
        ]

    def _hold(self, evidence: _Evidence) -> float:
        settings = self._settings
        if evidence.answered_at:
            # Its ends may be those of a time in which all targets ended.
            return settings.hold
        tries = len(evidence.ends) - settings.ends
        return min(settings.longest_hold, settings.hold * HOLD_GROWTH**tries)

    def _is_enough(self, fingerprint: int, evidence: _Evidence, now: float) -> bool:
        more = len(evidence.ends) - self._needed(evidence)
        if more >= MORE_WHERE_EXPLAINED:
            return True
        is_chance_enough = self._is_chance_enough(now)
        return not is_chance_enough and not self._is_explained(fingerprint, evidence)

    def _is_explained_by_storm(self, evidence: _Evidence, now: float) -> bool:
        """Tell whether it was answered before and all targets end often now.

        What many callers ask for is on board of every target that ends, and would
        be held back for minutes after the targets have recovered. One whole answer
        does not let it end targets without limit.
        """
        if not evidence.answered_at or len(evidence.ends) >= MOST_ENDS:
            return False
        return self._is_chance_enough(now)

    def _is_chance_enough(self, now: float) -> bool:
        """Tell whether targets end so often that many requests see three ends."""
        good, bad = self._outcomes.counts(now)
        return bad > CHANCE_SHARE * (good + bad + USUAL_ANSWERS)

    def _is_explained(self, fingerprint: int, evidence: _Evidence) -> bool:
        """Tell whether at each end another request was that has seen more ends."""
        return all(
            any(
                len(self._evidence[other].ends) > len(evidence.ends)
                for other in self._at_target[target]
                if other != fingerprint
            )
            for target in evidence.ends
        )

    def _needed(self, evidence: _Evidence) -> int:
        if evidence.answered_at:
            return VOUCHED_MULTIPLE * self._settings.ends
        more = MORE_AFTER_ANSWERS if evidence.ended_after_answer else 0
        return self._settings.ends + more

    def _begin(self, fingerprint: int) -> _Evidence:
        if len(self._evidence) >= self._settings.remembered:
            oldest = list(islice(self._evidence, LEAVING))
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
        if len(evidence.ends) - len(old) >= MOST_ENDS:
            old.append(min(evidence.ends, key=evidence.ends.__getitem__))
        for target in old:
            self._drop_end(fingerprint, evidence, target)

    def _drop_end(self, fingerprint: int, evidence: _Evidence, target: int) -> None:
        if evidence.ends.pop(target, None) is None:
            return
        on_board = self._at_target[target]
        on_board.discard(fingerprint)
        if not on_board:
            del self._at_target[target]
        if len(evidence.ends) < self._settings.ends:
            self._enough.discard(fingerprint)
