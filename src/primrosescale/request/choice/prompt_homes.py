"""Determines at which target a prompt is expected to be cached without any report.

In a large fleet, reporting where each prompt went costs more than prefilling some
prompts twice. All routers therefore rank the targets of each prompt alike, by
rendezvous hashing; the first is the prompt's home, which gets it while its load
allows. A prompt at its home needs no report, and a router that must send a prompt
elsewhere knows from which target it can be copied.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primrosescale.request.incoming_request import Prompt
    from primrosescale.request.target.target_state import TargetState

# Targets that this router listed within this time of the first one existed before it
# started, and may have run for any time.
LISTED_TOGETHER_SECONDS = 2.0
# A target that has been listed for this long has received prompts of which it is the
# home.
ESTABLISHED_SECONDS = 3.0
# A target that has been listed for this long has received most prompts of which it is
# the home and need not copy from the former homes any more; returning chats come
# within seconds to a minute.
SETTLED_SECONDS = 30.0
# Ranks are hashes of 64 bits.
MAX_RANK = 2**64


def shared_tokens(prompt: Prompt) -> int:
    """Return how many tokens of a prompt other requests may share.

    Parameters
    ----------
    prompt : Prompt
        The prompt.

    Returns
    -------
    int
        Tokens.
    """
    return sum(part.tokens for part in prompt.shared)


def home_of(prompt: Prompt, states: Sequence[TargetState]) -> TargetState:
    """Return the first target of a prompt by rendezvous hashing.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    states : Sequence[TargetState]
        Targets, at least one.

    Returns
    -------
    TargetState
        The home; the same on all routers that know the same targets.
    """
    group = _group(prompt)
    return max(states, key=lambda state: _rank(group, state.target.name))


def rank_shares(prompt: Prompt, states: Sequence[TargetState]) -> dict[str, float]:
    """Return the ranks of targets for a prompt, as numbers between 0 and 1.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    states : Sequence[TargetState]
        Targets.

    Returns
    -------
    dict[str, float]
        By name of the target; highest for the home, the same on all routers.
    """
    group = _group(prompt)
    names = [state.target.name for state in states]
    return {name: _rank(group, name) / MAX_RANK for name in names}


def established_home(
    prompt: Prompt, states: Sequence[TargetState], now: float
) -> TargetState:
    """Return the home among the targets that have been listed for some time.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    states : Sequence[TargetState]
        All targets of the service, including those that are leaving.
    now : float
        Current time in seconds.

    Returns
    -------
    TargetState
        The target that may be assumed to hold the prompt without a report.
    """
    first_listed_at = _first_listed_at(states)
    known = [
        state
        for state in states
        if _was_listed_at_start(state, first_listed_at)
        or now - state.since > ESTABLISHED_SECONDS
    ]
    return home_of(prompt, known)


def expected_source(
    prompt: Prompt, states: Sequence[TargetState], chosen: TargetState, now: float
) -> TargetState | None:
    """Return the target from which a chosen target may copy a prompt.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    states : Sequence[TargetState]
        All targets of the service, including those that are leaving.
    chosen : TargetState
        The target that the prompt is sent to.
    now : float
        Current time in seconds.

    Returns
    -------
    TargetState | None
        The home; if the chosen target is itself the home and new, the previous
        home; None if it has been the home for long enough.
    """
    holder = established_home(prompt, states, now)
    if holder is not chosen:
        return holder
    if (
        _was_listed_at_start(chosen, _first_listed_at(states))
        or now - chosen.since > SETTLED_SECONDS
    ):
        return None
    older = [
        state
        for state in states
        if chosen.since - state.since > LISTED_TOGETHER_SECONDS
    ]
    return home_of(prompt, older) if older else None


def _first_listed_at(states: Sequence[TargetState]) -> float:
    return min(state.since for state in states)


def _was_listed_at_start(state: TargetState, first_listed_at: float) -> bool:
    return state.since - first_listed_at < LISTED_TOGETHER_SECONDS


def _group(prompt: Prompt) -> str:
    """Return what the ranks of a prompt's targets depend on."""
    return ",".join(part.name for part in prompt.shared or prompt.parts)


def _rank(group: str, target: str) -> int:
    return int(xxh3_64_intdigest(f"{group}|{target}".encode()))
