"""Where a prompt is expected to be cached that nobody was told of.

The pattern it answers: a fleet so large that news of where each prompt went costs
more than reading some of them twice. All routers agree on an order of targets for
each prompt; the first is its home, which gets it while its load allows. So what
is at home is no news, and who must send a prompt elsewhere knows where from it
can be copied.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primrosescale.request.incoming_request import Prompt
    from primrosescale.request.target_state import TargetState

# Targets that were listed within this time were there when this router started;
# they may be of any age.
LISTED_TOGETHER_SECONDS = 2.0
# A target listed for so long has been sent prompts that it is the home of.
KNOWN_SECONDS = 3.0
# One listed for so long has been sent most of them, so that it need not ask the
# former homes any more; returning chats come within seconds to a minute.
SETTLED_SECONDS = 30.0


def shared_tokens(prompt: Prompt) -> int:
    """Return the tokens of a prompt that other requests may share.

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
    """Return the first target in the hash order of a prompt.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    states : Sequence[TargetState]
        Targets, one at least.

    Returns
    -------
    TargetState
        The same on all routers that know the same targets.
    """
    shared = prompt.shared or prompt.parts
    group = ",".join(part.name for part in shared)
    return max(states, key=lambda state: _rank(group, state.target.name))


def known_home(
    prompt: Prompt, states: Sequence[TargetState], now: float
) -> TargetState:
    """Return the home among the targets that have been there for some time.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    states : Sequence[TargetState]
        All targets of the service, also those that are leaving.
    now : float
        Present time in seconds.

    Returns
    -------
    TargetState
        The target that holds the prompt if one holds it that was not told of.
    """
    began = _began(states)
    known = [
        state
        for state in states
        if _is_of_start(state, began) or now - state.since > KNOWN_SECONDS
    ]
    return home_of(prompt, known)


def expected_source(
    prompt: Prompt, states: Sequence[TargetState], chosen: TargetState, now: float
) -> TargetState | None:
    """Return where a chosen target may copy a prompt from.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    states : Sequence[TargetState]
        All targets of the service, also those that are leaving.
    chosen : TargetState
        The target that gets the prompt.
    now : float
        Present time in seconds.

    Returns
    -------
    TargetState | None
        The home; for a home that is new, the one that was it before; None for
        a home that is settled.
    """
    holder = known_home(prompt, states, now)
    if holder is not chosen:
        return holder
    if _is_of_start(chosen, _began(states)) or now - chosen.since > SETTLED_SECONDS:
        return None
    older = [
        state
        for state in states
        if chosen.since - state.since > LISTED_TOGETHER_SECONDS
    ]
    return home_of(prompt, older) if older else None


def _began(states: Sequence[TargetState]) -> float:
    return min(state.since for state in states)


def _is_of_start(state: TargetState, began: float) -> bool:
    return state.since - began < LISTED_TOGETHER_SECONDS


def _rank(group: str, target: str) -> int:
    return int(xxh3_64_intdigest(f"{group}|{target}".encode()))
