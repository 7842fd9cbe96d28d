"""Chooses the target of a request by cached prompt tokens, load and failures.

The choice has to handle returning chats, whose prompt a target may hold in its
prefix cache; surges, in which no target may be loaded beyond a multiple of the
mean; and targets that fail or are new. For a prompt, all costs are expressed in
tokens to prefill: the tokens that no cache saves are weighed against the requests
that the target already has.

With many routers, each learns of its peers' requests late. All would then choose
the same target until the next state updates arrive, and none of them afterwards. In a
large fleet, or while state updates are stale, a router therefore chooses among two
targets sampled at random and up to two that hold the prompt. Where no target is known
to hold it, its home (the first target by rendezvous hashing) takes the place of the
holders. While state updates are stale, the home and the holders are left out above a
load limit that is drawn anew for each choice.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.choice.prefill_cost import tokens_to_prefill
from primrosescale.request.choice.prompt_homes import established_home
from primrosescale.request.choice.prompt_homes import expected_source
from primrosescale.request.choice.prompt_homes import home_of
from primrosescale.request.choice.prompt_homes import shared_tokens
from primrosescale.request.target.target_availability import TargetAvailability

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence
    from random import Random

    from primrosescale.request.choice.prefill_cost import PrefillCost
    from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.incoming_request import Prompt
    from primrosescale.request.target.target_incarnation import TargetIncarnation
    from primrosescale.request.target.target_state import TargetState

# At this weight a target that fails two requests in five costs more than one with
# all slots taken, while a failure share of one in seven, which is normal for some
# plain services, adds little.
PLAIN_FAILURE_WEIGHT = 32.0
# Upper bound of the random tie break; smaller than the difference that one request
# makes.
TIE_BREAK_REQUESTS = 0.01
# Above this age of peer routers' state updates a router no longer looks for the best
# of all targets: all routers would choose the same one at once.
STALE_LOAD_SECONDS = 0.7
# Targets sampled at random instead; with more, the best of them would again be the
# same for many routers.
SAMPLED_TARGETS = 2
# The load limit for targets that hold the prompt is drawn between this share of the
# mean load and the load bound.
MIN_LOAD_LIMIT_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class ChoiceSettings:
    """Weights and bounds of the choice of a target."""

    load_multiple: float = option(
        SECONDS,
        "load allowed at a target, as a multiple of the mean of its service",
        1.5,
    )
    load_margin: float = option(
        SECONDS,
        "requests allowed above that multiple",
        2.0,
    )
    tokens_per_request: float = option(
        SECONDS,
        "prompt tokens to prefill that weigh as much as one request at the target; "
        "low, since a request more delays the others little within the load bound, "
        "so that the cost of prefilling or copying tokens takes precedence",
        40.0,
    )
    fetch_weight: float = option(
        SECONDS,
        "cost of a token copied from another target's cache, relative to one that "
        "is prefilled; the copy takes a twentieth of the time",
        0.15,
    )
    home_bonus: float = option(
        SECONDS,
        "tokens by which the first target in hash order is preferred, so that "
        "routers without knowledge of a prompt choose the same target",
        2500.0,
    )
    failure_weight: float = option(
        SECONDS,
        "cost in tokens of a target that always fails; more than any prompt",
        60000.0,
    )
    copy_evacuated: float = option(
        SECONDS,
        "seconds after the evacuation of a failure domain during which other "
        "targets may still copy prompts from the targets in it",
        2.5,
    )


@dataclass(frozen=True, slots=True)
class Choice:
    """A chosen target, and what the choice was based on.

    Parameters
    ----------
    state : TargetState
        The target.
    held : int
        Leading tokens of the prompt that it is assumed to hold.
    fetch_from : TargetState | None
        Target whose cache holds more of the prompt.
    is_home : bool
        Whether peer routers expect the prompt there without a report.
    load : float
        Estimated number of requests at the target.
    load_age : float
        Age of peer routers' state updates, in seconds.
    mean : float
        Mean load of the service's targets.
    passed_cold : int
        Targets passed over since they are cold and have no permit left.
    passed_resting : int
        Targets passed over since they are in a requested pause, or since their
        requests are still limited after one.
    held_by_source : int
        Leading tokens of the prompt that the target of `fetch_from` holds.
    prefill : float
        Tokens that the target has to prefill; 0 where overload control is not in
        force.
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
    held_by_source: int = 0
    prefill: float = 0.0


class _Loads:
    """Loads of the targets of a service at the time of one choice.

    Parameters
    ----------
    serving : Sequence[TargetState]
        Targets that take new requests.
    departing : Sequence[TargetState]
        Targets that get no new requests and complete those that they have.
    age : float
        Age of peer routers' state updates, in seconds.
    now : float
        Current time in seconds.
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
        """Return the mean load if serving targets took over that of departing ones."""
        return self._total / len(self.serving)

    @property
    def is_stale(self) -> bool:
        """Return whether state updates are too old to choose the best target by."""
        return self.age > STALE_LOAD_SECONDS

    def of(self, state: TargetState) -> float:
        """Return the load of a target, in requests."""
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
        Random source for ties and samples.
    news_age : Callable[[], float] | None
        Returns how old peer routers' state updates may be, in seconds; None for
        a router without peers.
    relies_on_homes : Callable[[], bool]
        Returns whether there are so many routers that they report to each other
        only prompts that are elsewhere than at their homes.
    availability : TargetAvailability | None
        Decides which targets may be sent a request now; None where requests never
        have to wait for a target.
    recently_delisted : Callable[[str], Sequence[TargetState]]
        Returns targets of a service whose entries are gone and that may still run.
    own_share : Callable[[str, int, float], int]
        Returns this router's share of the requests that all routers together may
        have at a target, given the target's name, the number of those requests and
        the current time.
    prefill_cost : PrefillCost | None
        Adds backlog and pace to the cost of targets of services for which overload
        control is in force; None to add them nowhere.
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
        prefill_cost: PrefillCost | None = None,
    ) -> None:
        self._settings = settings
        self._parts = parts
        self._rng = rng
        self._load_report_age = news_age
        self._relies_on_homes = relies_on_homes
        self._availability = availability or TargetAvailability()
        self._recently_delisted = recently_delisted
        self._own_share = own_share
        self._prefill_cost = prefill_cost

    def configure(self, settings: ChoiceSettings) -> None:
        """Replace the settings.

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
        """Return how many targets could take a request immediately.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of the service.
        tried : Collection[TargetIncarnation]
            Incarnations of targets to which this request was already sent.
        now : float
            Current time in seconds.

        Returns
        -------
        int
            Untried targets that take requests, are not avoided and need no wait.
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
            Incarnations of targets to which this request was already sent.
        prompt : Prompt | None
            The prompt, for model engines.
        now : float
            Current time in seconds.

        Returns
        -------
        Choice | None
            The target; None when no target is left, or when connections are lacking
            to all targets within the load bound.
        """
        serving = [state for state in states if state.takes_work]
        if not serving:
            return None
        untried = [state for state in serving if state.incarnation not in tried]
        allowed = self._availability.select_available(untried, now)
        usable = [state for state in allowed.states if not state.is_avoided(now)]
        usable = usable or allowed.states
        if not usable:
            return None
        loads = self._loads(states, serving, now)
        if self._is_crowded_by(loads):
            usable = [
                state for state in usable if self._has_own_capacity(state, loads, now)
            ]
            if not usable:
                return None
        bounded = self._within_bound(usable, loads)
        if allowed.unconnected and loads.of(bounded[0]) + 1 > self._bound(loads):
            # Connections to the other targets become free within milliseconds.
            return None
        if prompt is None:
            choice = self._choose_plain(bounded, loads, now)
        else:
            choice = self._choose_for_prompt(prompt, states, bounded, loads, now)
        if not allowed.cold and not allowed.resting:
            return choice
        return replace(choice, passed_cold=allowed.cold, passed_resting=allowed.resting)

    def is_crowded(self, states: Sequence[TargetState], now: float) -> bool:
        """Return whether serving targets cannot absorb the load of departing ones.

        Parameters
        ----------
        states : Sequence[TargetState]
            Targets of the service.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            Whether each router keeps to its own share of the requests that the
            serving targets may have.
        """
        serving = [state for state in states if state.takes_work]
        return bool(serving) and self._is_crowded_by(self._loads(states, serving, now))

    def _loads(
        self, states: Sequence[TargetState], serving: Sequence[TargetState], now: float
    ) -> _Loads:
        age = 0.0 if self._load_report_age is None else self._load_report_age()
        return _Loads(serving, self._departing(states, serving, now), age, now)

    def _departing(
        self, states: Sequence[TargetState], serving: Sequence[TargetState], now: float
    ) -> list[TargetState]:
        """Return targets that get no new requests and are assumed to still run."""
        departing = []
        if len(serving) < len(states):
            departing = [state for state in states if state.is_departing(now)]
        for state in self._recently_delisted(states[0].target.service):
            if state.seems_alive(now) and not any(state is item for item in serving):
                departing.append(state)
        return departing

    def _is_crowded_by(self, loads: _Loads) -> bool:
        if loads.targets == len(loads.serving):
            return False
        return loads.mean_without_departing > self._bound(loads)

    def _has_own_capacity(self, state: TargetState, loads: _Loads, now: float) -> bool:
        """Return whether this router may send to one of the few serving targets.

        All routers would see the free capacity there at once, so each keeps to its
        own share of it.
        """
        bound = self._bound(loads)
        if loads.of(state) + 1 > bound:
            return False
        own = self._own_share(state.target.name, int(bound), now)
        return state.own_running < own

    def _bound(self, loads: _Loads) -> float:
        """Return the load allowed at a target; the mean includes this request."""
        mean = loads.mean + 1 / loads.targets
        return self._settings.load_multiple * mean + self._settings.load_margin

    def _within_bound(
        self, usable: Sequence[TargetState], loads: _Loads
    ) -> list[TargetState]:
        """Return the targets within the load bound, or else the least loaded one.

        While state updates are stale, it is the least loaded one of a random sample.
        """
        bound = self._bound(loads)
        bounded = [state for state in usable if loads.of(state) + 1 <= bound]
        if bounded:
            return bounded
        candidates = self._sample(usable) if loads.is_stale else usable
        return [min(candidates, key=loads.of)]

    def _choose_plain(
        self, bounded: list[TargetState], loads: _Loads, now: float
    ) -> Choice:
        """Choose a target for a request without a prompt."""
        # Such requests end before the routers of a large fleet learn of them, so
        # that the best target by the last state updates is the same for all routers.
        if loads.is_stale or self._relies_on_homes():
            bounded = self._sample(bounded)
        extra = self._extra_cost(bounded)
        best = min(
            bounded, key=lambda state: self._plain_cost(state, loads, extra, now)
        )
        return Choice(
            best,
            held=0,
            fetch_from=None,
            is_home=False,
            load=loads.of(best),
            load_age=loads.age,
            mean=loads.mean,
        )

    def _choose_for_prompt(
        self,
        prompt: Prompt,
        states: Sequence[TargetState],
        bounded: list[TargetState],
        loads: _Loads,
        now: float,
    ) -> Choice:
        """Choose a target for a request whose prompt targets may hold in cache."""
        known = {
            state.target.name: self._parts.held(state.incarnation, prompt.parts, now)
            for state in states
        }
        grace = self._settings.copy_evacuated
        sources = [s for s in states if s.may_be_copied_from(now, grace)] or bounded
        held = known
        if self._relies_on_homes():
            held = _with_home_as_holder(prompt, states, known, now)
        if loads.is_stale:
            low = MIN_LOAD_LIMIT_SHARE * loads.mean
            limit = low + (self._bound(loads) - low) * self._rng.random()
            bounded = self._sampled_candidates(bounded, prompt, held, loads, limit)
        elif self._relies_on_homes():
            limit = self._bound(loads)
            bounded = self._sampled_candidates(bounded, prompt, held, loads, limit)
        usual_failures = _median_failure_share(states, now)
        best = self._cheapest(
            bounded, sources, prompt, held, loads, usual_failures, now
        )
        source = self._copy_source(best, sources, prompt, known, now)
        choice = Choice(
            best,
            held=held[best.target.name],
            fetch_from=source,
            is_home=best is home_of(prompt, loads.serving),
            load=loads.of(best),
            load_age=loads.age,
            mean=loads.mean,
            held_by_source=0 if source is None else held[source.target.name],
        )
        if self._extra_cost(bounded) is None:
            return choice
        return replace(choice, prefill=tokens_to_prefill(prompt, choice))

    def _extra_cost(self, states: Sequence[TargetState]) -> PrefillCost | None:
        """Return the cost by backlog and pace; None if it is not in force."""
        cost = self._prefill_cost
        if cost is None or not cost.is_in_force(states[0].target.service):
            return None
        return cost

    def _sample(self, states: Sequence[TargetState]) -> list[TargetState]:
        return self._rng.sample(states, min(SAMPLED_TARGETS, len(states)))

    def _sampled_candidates(
        self,
        bounded: Sequence[TargetState],
        prompt: Prompt,
        held: dict[str, int],
        loads: _Loads,
        limit: float,
    ) -> list[TargetState]:
        """Return a random sample, and a sample of holders with load below a limit.

        Where no target holds all shared tokens, the home takes the holders' place.
        """
        max_held = max(held[state.target.name] for state in bounded)
        if _holds_all_shared(prompt, max_held):
            holders = [
                state for state in bounded if held[state.target.name] == max_held
            ]
        else:
            holders = [home_of(prompt, bounded)]
        holders = [state for state in holders if loads.of(state) + 1 <= limit]
        return self._sample(bounded) + self._sample(holders)

    def _plain_cost(
        self,
        state: TargetState,
        loads: _Loads,
        extra: PrefillCost | None,
        now: float,
    ) -> float:
        waiting = (loads.of(state) + 1.0) / state.slots
        failing = 1.0 + PLAIN_FAILURE_WEIGHT * state.failure_share(now) ** 2
        tie_break = self._rng.random()
        if extra is not None:
            waiting *= extra.pace(state, now)
            tie_break = extra.tie_break(state, tie_break)
        return waiting * failing + TIE_BREAK_REQUESTS * tie_break

    def _cheapest(
        self,
        bounded: Sequence[TargetState],
        sources: Sequence[TargetState],
        prompt: Prompt,
        held: dict[str, int],
        loads: _Loads,
        usual_failures: float,
        now: float,
    ) -> TargetState:
        """Return the target that costs least.

        Failures count only as far as their share exceeds `usual_failures`.
        """
        max_held = max(held[state.target.name] for state in sources)
        is_known = _holds_all_shared(prompt, max_held)
        settings = self._settings
        extra = self._extra_cost(bounded)

        def cost(state: TargetState) -> float:
            name = state.target.name
            copied = max(0, max_held - held[name])
            prefilled: float = prompt.prompt_tokens - max(max_held, held[name])
            if extra is not None:
                prefilled = extra.prefill(state, prefilled, now)
            total = prefilled + copied * settings.fetch_weight
            total += loads.of(state) * settings.tokens_per_request
            failing = max(0.0, state.failure_share(now) - usual_failures)
            total += failing**2 * settings.failure_weight
            return total

        costs = {state.target.name: cost(state) for state in bounded}
        if is_known:
            best = min(bounded, key=lambda state: costs[state.target.name])
            # A target that holds the prompt has the full preference, so that no other
            # becomes cheaper by its own.
            if extra is None or held[best.target.name] >= max_held:
                return best
        else:
            costs[home_of(prompt, bounded).target.name] -= settings.home_bonus
        if extra is not None:
            preferences = extra.preferences(prompt, bounded, held, max_held)
            for name, preference in preferences.items():
                costs[name] -= settings.home_bonus * preference
        return min(bounded, key=lambda state: costs[state.target.name])

    def _copy_source(
        self,
        best: TargetState,
        sources: Sequence[TargetState],
        prompt: Prompt,
        known: dict[str, int],
        now: float,
    ) -> TargetState | None:
        """Return the target from whose cache the chosen one may copy the prompt."""
        holder = max(sources, key=lambda state: known[state.target.name])
        max_held = known[holder.target.name]
        if self._relies_on_homes() and not _holds_all_shared(prompt, max_held):
            return expected_source(prompt, sources, best, now)
        return holder if max_held > known[best.target.name] else None


def _holds_all_shared(prompt: Prompt, max_held: int) -> bool:
    """Return whether a target holds all shared tokens of a prompt.

    Only then is the prompt preferably sent to its holders. Most targets hold the
    first tokens of most prompts; if those were enough, routers that receive the
    same new shared text at once would each have it prefilled at another target.
    """
    return max_held >= max(1, shared_tokens(prompt))


def _median_failure_share(states: Sequence[TargetState], now: float) -> float:
    """Return the median share of failures, which does not count against a target.

    When answers of most targets are lost, a target that has just been listed would
    otherwise look so much better that all routers send to it at once.
    """
    shares = sorted(state.failure_share(now) for state in states)
    return shares[(len(shares) - 1) // 2]


def _with_home_as_holder(
    prompt: Prompt,
    states: Sequence[TargetState],
    known: dict[str, int],
    now: float,
) -> dict[str, int]:
    """Return the tokens that each target is assumed to hold, its home included.

    Where any target holds all shared tokens of a prompt, the home is assumed to hold
    as many: a prompt goes elsewhere only when its home is loaded, and is then copied
    from the home.
    """
    max_held = max(known.values())
    if max_held < shared_tokens(prompt):
        return known
    return {**known, established_home(prompt, states, now).target.name: max_held}
