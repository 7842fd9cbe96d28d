"""Cost of waiting and of prefilling at a target, by its backlog and its pace.

It applies to services for which overload control is in force. The choice of a target
applies all rules on which targets may be chosen before it compares costs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from primrosescale.request.choice.prompt_homes import rank_shares

if TYPE_CHECKING:
    from collections.abc import Sequence

    from primrosescale.request.answer.target_speeds import TargetSpeeds
    from primrosescale.request.choice.target_choice import Choice
    from primrosescale.request.incoming_request import Prompt
    from primrosescale.request.target.target_state import TargetState
    from primrosescale.request.target.target_work import TargetWork

# Share of a copied token that counts as one to prefill; copying takes a twentieth of
# the time, and the source has to be read as well.
COPIED_TOKEN_SHARE = 0.1
# People do not notice a delay of up to this, so that a backlog that is prefilled within
# it is no reason to copy a prompt to another target.
NEGLIGIBLE_BACKLOG_SECONDS = 0.1


class PrefillCost:
    """Costs that depend on the backlog and the pace of targets.

    They are valid for services for which `is_in_force` returns true.

    Parameters
    ----------
    work : TargetWork
        Backlog and pace of targets.
    domain : str
        Failure domain of this router; empty if it has none.
    speeds : TargetSpeeds | None
        How fast targets begin their answers; None to take all for alike.
    """

    __slots__ = ("_domain", "_speeds", "_work")

    def __init__(
        self, work: TargetWork, domain: str = "", speeds: TargetSpeeds | None = None
    ) -> None:
        self._work = work
        self._domain = domain
        self._speeds = speeds

    def is_in_force(self, service: str) -> bool:
        """Return whether these costs apply to a service.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            Whether overload control is in force for it.
        """
        return self._work.is_in_force(service)

    def pace(self, state: TargetState, now: float) -> float:
        """Return the factor of the cost of waiting at a target.

        Parameters
        ----------
        state : TargetState
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            The expected pace, as a multiple of the usual time: as the target reports
            it, or else by the times of its answers.
        """
        # Without the check of the scope, which was made once for the choice.
        if state.pace is not None:
            return state.pace.expected(now)
        pace = self._work.pace_of(state, now)
        if self._speeds is not None:
            pace *= self._speeds.slowness(state.incarnation, now)
        return pace

    def tie_break(self, state: TargetState, draw: float) -> float:
        """Return a random tie break that puts the router's own failure domain first.

        Parameters
        ----------
        state : TargetState
            The target.
        draw : float
            Random number, 0 to 1.

        Returns
        -------
        float
            0 to 1: the lower half for targets in the router's own failure domain.
        """
        return 0.5 * (draw + (state.target.domain != self._domain))

    def prefill(self, state: TargetState, tokens: float, now: float) -> float:
        """Return the cost of prefilling a prompt behind those that the target has.

        Parameters
        ----------
        state : TargetState
            The target.
        tokens : float
            Tokens of the prompt to prefill there.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Tokens at the usual pace.
        """
        backlog = state.prefill_backlog
        total = tokens
        if backlog is not None:
            total += backlog.excess_tokens(NEGLIGIBLE_BACKLOG_SECONDS, now)
        return total * self.pace(state, now)

    def preferences(
        self,
        prompt: Prompt,
        states: Sequence[TargetState],
        held: dict[str, int],
        max_held: int,
    ) -> dict[str, float]:
        """Return how far each target is preferred for a prompt, whatever its backlog.

        Most targets have no backlog. Without an order that depends on the prompt, all
        routers would send every prompt that leaves its home to the same one of these,
        before they learn of each other's requests.

        Parameters
        ----------
        prompt : Prompt
            The prompt.
        states : Sequence[TargetState]
            The targets.
        held : dict[str, int]
            Tokens of the prompt that each target holds.
        max_held : int
            The largest of these numbers.

        Returns
        -------
        dict[str, float]
            0 to 1 by name of the target: 1 for targets that hold the prompt, and the
            hash rank for others, the same on all routers.
        """
        ranks = rank_shares(prompt, states)
        if not max_held:
            return ranks
        return {
            name: 1.0 if held[name] >= max_held else rank
            for name, rank in ranks.items()
        }


def tokens_to_prefill(prompt: Prompt, choice: Choice) -> float:
    """Return how many tokens of a prompt its chosen target prefills.

    Parameters
    ----------
    prompt : Prompt
        The prompt.
    choice : Choice
        The choice of its target.

    Returns
    -------
    float
        The tokens that neither the target nor the source of a copy holds, and a tenth
        of the tokens that are copied.
    """
    copied = 0
    if choice.fetch_from is not None:
        copied = max(0, choice.held_by_source - choice.held)
    uncached = max(0, prompt.prompt_tokens - choice.held - copied)
    return uncached + COPIED_TOKEN_SHARE * copied
