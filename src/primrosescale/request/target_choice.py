"""Choosing the target of a request.

The patterns it answers: returning chats, whose prompt a target may have read
already; surges, in which one target must not be loaded over a multiple of the
mean; and targets that fail or are new. The decision weighs, in tokens to read,
what the cache does not save against the requests that are there already.

Many routers hear of each other's requests late. All would then choose the same
target until the news comes, and none of them after it. So a large fleet chooses
among the home of a prompt, those that are known to hold it and two by lot. Where
the news is older still, the home and the holders are left out above a load that
is drawn each time.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.prompt_homes import expected_source
from primrosescale.request.prompt_homes import home_of
from primrosescale.request.prompt_homes import known_home
from primrosescale.request.prompt_homes import shared_tokens
from primrosescale.request.target_availability import TargetAvailability

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence
    from random import Random

    from primrosescale.request.incoming_request import Prompt
    from primrosescale.request.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.target_incarnation import TargetIncarnation
    from primrosescale.request.target_state import TargetState

# A target that fails two requests in five must look busier than one with all
# slots taken, while the one in seven that some plain services fail anyway
# hardly counts.
PLAIN_FAILURE_WEIGHT = 32.0
# Requests; smaller than the difference that one request makes.
TIE_BREAK = 0.01
# Age in seconds of the news of other routers beyond which the best target by it
# would be the best for all of them at once.
STALE_LOAD_SECONDS = 0.7
# Targets drawn by lot then; of more, the best would again be the same for many.
DRAWN_TARGETS = 2
# The load below which a target that holds the prompt is taken is drawn from
# this part of the mean up to the bound.
LEAST_DRAWN_LOAD = 0.5


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Weights of the choice."""

    load_multiple: float = option(
        SECONDS,
        "load allowed, as a multiple of the service's mean",
        1.5,
    )
    load_margin: float = option(
        SECONDS,
        "requests allowed above that multiple",
        2.0,
    )
    tokens_per_request: float = option(
        SECONDS,
        "tokens to read that weigh as much as one request at the target; below "
        "the bound the targets of today keep their objectives in any case, so "
        "the cost of reading or moving tokens goes first",
        40.0,
    )
    fetch_weight: float = option(
        SECONDS,
        "cost of a token fetched from another target's cache, against one that "
        "is read; the transfer takes a twentieth of the time",
        0.15,
    )
    home_bonus: float = option(
        SECONDS,
        "tokens by which the first target in hash order is preferred, so that "
        "routers that know nothing yet choose alike",
        2500.0,
    )
    failure_weight: float = option(
        SECONDS,
        "tokens that a certain failure weighs; more than any prompt",
        60000.0,
    )
    copy_evacuated: float = option(
        SECONDS,
        "seconds after the evacuation of a failure domain for which other targets "
        "may still copy prompts from those there",
        2.5,
    )


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen target.

    Parameters
    ----------
    state : TargetState
        The target.
    held : int
        Leading tokens of the prompt that it is taken to have.
    fetch_from : TargetState | None
        Target whose cache holds more of the prompt.
    is_home : bool
        Whether other routers expect the prompt there without being told.
    load : float
        Requests there by the best knowledge.
    load_age : float
        How old the knowledge of others' requests was, in seconds.
    mean : float
        Mean of the service.
    passed_cold : int
        Targets that may be sent nothing now, since they are cold.
    passed_resting : int
        Targets that may be sent nothing now, since they asked for a rest.
    """

    state: TargetState
    held: int
    fetch_from: TargetState | None
    is_home: bool
    load: float
    load_age: float
    mean: float
    passed_cold: int = 0
    passed_resting: int = 0


class _Loads:
    """Loads of the targets of a service, at the moment of one choice.

    Parameters
    ----------
    serving : Sequence[TargetState]
        Targets that take work.
    departing : Sequence[TargetState]
        Targets that get nothing new any more and end what they have.
    age : float
        How old the knowledge of others' requests is, in seconds.
    now : float
        Present time in seconds.
    """

    __slots__ = ("_by_name", "_total", "age", "mean", "serving", "targets")

    def __init__(
        self,
        serving: Sequence[TargetState],
        departing: Sequence[TargetState],
        age: float,
        now: float,
    ) -> None:
        self._by_name = {state.target.name: state.load(now) for state in serving}
        self._total = sum(self._by_name.values())
        self._total += sum(state.load(now) for state in departing)
        self.serving = serving
        self.age = age
        self.targets = len(serving) + len(departing)
        self.mean = self._total / self.targets

    @property
    def mean_without_departing(self) -> float:
        """Return the mean that targets have once those that depart are gone."""
        return self._total / len(self.serving)

    @property
    def is_old(self) -> bool:
        """Tell whether others' requests are known too late to choose the best by."""
        return self.age > STALE_LOAD_SECONDS

    def of(self, state: TargetState) -> float:
        """Return the requests at a target."""
        return self._by_name[state.target.name]


class TargetChooser:
    """Chooses targets by cached tokens, load and failures.

    Parameters
    ----------
    settings : ChoiceSettings
        Weights.
    parts : PrefixCacheIndex
        Where parts of prompts are cached.
    rng : Random
        Source of chance for ties and lots.
    news_age : Callable[[], float] | None
        Returns how old the news of other routers' requests may be, in seconds;
        None for a router without others.
    relies_on_homes : Callable[[], bool]
        Returns whether routers are so many that they tell each other only of
        prompts that are elsewhere than at their homes.
    availability : TargetAvailability | None
        Says which targets may be sent a request now; None where none ever waits.
    recently_delisted : Callable[[str], Sequence[TargetState]]
        Returns targets of a service whose entries are gone and that may still run.
    own_share : Callable[[str, int, float], int]
        Returns how many of the requests that all routers together may have at a
        target are this router's, by the target's name and their number.
    """

    def __init__(
        self,
        settings: ChoiceSettings,
        parts: PrefixCacheIndex,
        rng: Random,
        news_age: Callable[[], float] | None = None,
        relies_on_homes: Callable[[], bool] = lambda: False,
        availability: TargetAvailability | None = None,
        recently_delisted: Callable[[str], Sequence[TargetState]] = lambda _: (),
        own_share: Callable[[str, int, float], int] = lambda _, requests, __: requests,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._rng = rng
        self._news_age = news_age
        self._relies_on_homes = relies_on_homes
        self._availability = availability or TargetAvailability()
        self._recently_delisted = recently_delisted
        self._own_share = own_share

    def configure(self, settings: ChoiceSettings) -> None:
        """Take in changed weights.

        Parameters
        ----------
        settings : ChoiceSettings
            Weights.
        """
        self._settings = settings

    def count_available(
        self,
        states: Sequence[TargetState],
        tried: Collection[TargetIncarnation],
        now: float,
    ) -> int:
        """Return how many targets could take a request without a doubt.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of the service.
        tried : Collection[TargetIncarnation]
            Incarnations of targets that this request was sent to.
        now : float
            Present time in seconds.

        Returns
        -------
        int
            Targets that take work and are not avoided.
        """
        return sum(
            state.takes_work
            and state.incarnation not in tried
            and not state.is_avoided(now)
            and not self._availability.wait(state, now)
            for state in states
        )

    def choose(
        self,
        states: Sequence[TargetState],
        tried: Collection[TargetIncarnation],
        prompt: Prompt | None,
        now: float,
    ) -> Choice | None:
        """Choose a target.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of the service.
        tried : Collection[TargetIncarnation]
            Incarnations of targets that this request was sent to.
        prompt : Prompt | None
            The prompt, for model engines.
        now : float
            Present time in seconds.

        Returns
        -------
        Choice | None
            The target; None when there is none left.
        """
        serving = [state for state in states if state.takes_work]
        if not serving:
            return None
        untried = [state for state in serving if state.incarnation not in tried]
        allowed = self._availability.open(untried, now)
        usable = [state for state in allowed.states if not state.is_avoided(now)]
        usable = usable or allowed.states
        if not usable:
            return None
        loads = self._loads(states, serving, now)
        if self._is_crowded_by(loads):
            usable = [state for state in usable if self._has_room(state, loads, now)]
            if not usable:
                return None
        bounded = self._within_bound(usable, loads)
        if prompt is None:
            choice = self._choose_plain(bounded, loads, now)
        else:
            choice = self._choose_for(prompt, states, bounded, loads, now)
        if not allowed.cold and not allowed.resting:
            return choice
        return replace(choice, passed_cold=allowed.cold, passed_resting=allowed.resting)

    def is_crowded(self, states: Sequence[TargetState], now: float) -> bool:
        """Tell whether those that take work cannot hold what departing ones had.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of the service.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether what each router may send them is limited to its share.
        """
        serving = [state for state in states if state.takes_work]
        return bool(serving) and self._is_crowded_by(self._loads(states, serving, now))

    def _loads(
        self, states: Sequence[TargetState], serving: Sequence[TargetState], now: float
    ) -> _Loads:
        age = 0.0 if self._news_age is None else self._news_age()
        return _Loads(serving, self._departing(states, serving, now), age, now)

    def _departing(
        self, states: Sequence[TargetState], serving: Sequence[TargetState], now: float
    ) -> list[TargetState]:
        """Return targets that get nothing new and are known to run still."""
        departing = []
        if len(serving) < len(states):
            departing = [state for state in states if state.is_departing(now)]
        for state in self._recently_delisted(states[0].target.service):
            if state.seems_sound(now) and not any(state is item for item in serving):
                departing.append(state)
        return departing

    def _is_crowded_by(self, loads: _Loads) -> bool:
        if loads.targets == len(loads.serving):
            return False
        return loads.mean_without_departing > self._bound(loads)

    def _has_room(self, state: TargetState, loads: _Loads, now: float) -> bool:
        """Tell whether this router may send to one of the few that stay.

        All routers would find room there at once, so each keeps to its own share.
        """
        bound = self._bound(loads)
        if loads.of(state) + 1 > bound:
            return False
        own = self._own_share(state.target.name, int(bound), now)
        return state.own_running < own

    def _bound(self, loads: _Loads) -> float:
        """Return the load that is allowed; the request itself counts into the mean."""
        mean = loads.mean + 1 / loads.targets
        return self._settings.load_multiple * mean + self._settings.load_margin

    def _within_bound(
        self, usable: Sequence[TargetState], loads: _Loads
    ) -> list[TargetState]:
        """Return the targets within the load bound; one at least."""
        bound = self._bound(loads)
        bounded = [state for state in usable if loads.of(state) + 1 <= bound]
        if bounded:
            return bounded
        few = self._draw(usable) if loads.is_old else usable
        return [min(few, key=loads.of)]

    def _choose_plain(
        self, bounded: list[TargetState], loads: _Loads, now: float
    ) -> Choice:
        """Choose for a request without a prompt."""
        # Such requests end before a large fleet hears of them: the best by the
        # last news would be the best for all routers.
        if loads.is_old or self._relies_on_homes():
            bounded = self._draw(bounded)
        best = min(bounded, key=lambda state: self._plain_cost(state, loads, now))
        return Choice(
            best,
            held=0,
            fetch_from=None,
            is_home=False,
            load=loads.of(best),
            load_age=loads.age,
            mean=loads.mean,
        )

    def _choose_for(
        self,
        prompt: Prompt,
        states: Sequence[TargetState],
        bounded: list[TargetState],
        loads: _Loads,
        now: float,
    ) -> Choice:
        """Choose for a request with a prompt, which targets may have read."""
        known = {
            state.target.name: self._parts.held(state.incarnation, prompt.parts, now)
            for state in states
        }
        grace = self._settings.copy_evacuated
        reached = [s for s in states if s.may_be_copied_from(now, grace)] or bounded
        held = known
        if self._relies_on_homes():
            held = _with_home(prompt, states, known, now)
        if loads.is_old:
            low = LEAST_DRAWN_LOAD * loads.mean
            limit = low + (self._bound(loads) - low) * self._rng.random()
            bounded = self._drawn_candidates(bounded, prompt, held, loads, limit)
        elif self._relies_on_homes():
            limit = self._bound(loads)
            bounded = self._drawn_candidates(bounded, prompt, held, loads, limit)
        usual = _usual_failures(states, now)
        best = self._cheapest(bounded, reached, prompt, held, loads, usual, now)
        return Choice(
            best,
            held=held[best.target.name],
            fetch_from=self._source(best, reached, prompt, known, now),
            is_home=best is home_of(prompt, loads.serving),
            load=loads.of(best),
            load_age=loads.age,
            mean=loads.mean,
        )

    def _draw(self, states: Sequence[TargetState]) -> list[TargetState]:
        return self._rng.sample(states, min(DRAWN_TARGETS, len(states)))

    def _drawn_candidates(
        self,
        bounded: Sequence[TargetState],
        prompt: Prompt,
        held: dict[str, int],
        loads: _Loads,
        limit: float,
    ) -> list[TargetState]:
        """Return some by lot, and some that hold the prompt below a load."""
        most = max(held[state.target.name] for state in bounded)
        if _is_held(prompt, most):
            warm = [state for state in bounded if held[state.target.name] == most]
        else:
            warm = [home_of(prompt, bounded)]
        warm = [state for state in warm if loads.of(state) + 1 <= limit]
        return self._draw(bounded) + self._draw(warm)

    def _plain_cost(
        self,
        state: TargetState,
        loads: _Loads,
        now: float,
    ) -> float:
        waiting = (loads.of(state) + 1.0) / state.slots
        failing = 1.0 + PLAIN_FAILURE_WEIGHT * state.failure_share(now) ** 2
        return waiting * failing + TIE_BREAK * self._rng.random()

    def _cheapest(
        self,
        bounded: Sequence[TargetState],
        reached: Sequence[TargetState],
        prompt: Prompt,
        held: dict[str, int],
        loads: _Loads,
        usual: float,
        now: float,
    ) -> TargetState:
        """Return the target that costs least; `usual` is the share of failures."""
        most = max(held[state.target.name] for state in reached)
        home = home_of(prompt, bounded)
        is_known = _is_held(prompt, most)
        settings = self._settings

        def cost(state: TargetState) -> float:
            name = state.target.name
            fetched = max(0, most - held[name])
            read = prompt.prompt_tokens - max(most, held[name])
            total = read + fetched * settings.fetch_weight
            total += loads.of(state) * settings.tokens_per_request
            failing = max(0.0, state.failure_share(now) - usual)
            total += failing**2 * settings.failure_weight
            if state is home and not is_known:
                total -= settings.home_bonus
            return total

        return min(bounded, key=cost)

    def _source(
        self,
        best: TargetState,
        reached: Sequence[TargetState],
        prompt: Prompt,
        known: dict[str, int],
        now: float,
    ) -> TargetState | None:
        """Return where the chosen target may copy the prompt from."""
        richest = max(reached, key=lambda state: known[state.target.name])
        most = known[richest.target.name]
        if self._relies_on_homes() and not _is_held(prompt, most):
            return expected_source(prompt, reached, best, now)
        return richest if most > known[best.target.name] else None


def _is_held(prompt: Prompt, most: int) -> bool:
    """Tell whether tokens that a target holds make others go there.

    That takes all that is shared. The beginnings of prompts are held by most
    targets; if they counted, routers that meet a new rest at once would each have
    it read at another target.
    """
    return most >= max(1, shared_tokens(prompt))


def _usual_failures(states: Sequence[TargetState], now: float) -> float:
    """Return the median share of failures, which is no reason to leave a target.

    When answers of most targets are lost, one that has just been listed would
    otherwise look so much better that all routers send to it at once.
    """
    shares = sorted(state.failure_share(now) for state in states)
    return shares[(len(shares) - 1) // 2]


def _with_home(
    prompt: Prompt,
    states: Sequence[TargetState],
    known: dict[str, int],
    now: float,
) -> dict[str, int]:
    """Return what targets are taken to hold, the home not less than others.

    A prompt goes elsewhere when its home has enough to do, with a copy from it.
    """
    most = max(known.values())
    if most < shared_tokens(prompt):
        return known
    return {**known, known_home(prompt, states, now).target.name: most}
