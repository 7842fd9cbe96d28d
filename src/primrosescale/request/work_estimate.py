"""Work units of a request: what it will cost its target.

A unit is the cost of generating one token. Prompt tokens that the target's
cache holds cost nothing; the others cost a fraction of a unit. Weighing a
request by its share of a target's profiled capacity follows the residual
capacity of the paper "Rim: Offloading Inference to the Edge", section 3.3.
"""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

BYTES_PER_TOKEN = 4
LEARNING_RATE = 0.05


@dataclass(frozen=True, slots=True)
class WorkSettings:
    """Profile of a service's targets."""

    prefill_cost: float = option(
        SECONDS,
        "work units of one uncached prompt token",
        0.05,
    )
    output_default: int = option(
        COUNT,
        "tokens an answer is taken to have before any was seen",
        200,
    )
    plain_cost: int = option(
        COUNT,
        "work units of a call to a plain service",
        100,
    )


class WorkEstimator:
    """Weighs requests and learns how long answers are.

    Parameters
    ----------
    settings : WorkSettings
        Profile of the service.
    """

    def __init__(self, settings: WorkSettings) -> None:
        self._settings = settings
        self._output = float(settings.output_default)

    @property
    def expected_output(self) -> float:
        """Return the tokens an answer is expected to have."""
        return self._output

    def estimate(self, prompt: int, cached: int, output_limit: int) -> int:
        """Return the work units of a model request.

        Parameters
        ----------
        prompt : int
            Tokens of the prompt.
        cached : int
            Tokens of it that the target's cache holds.
        output_limit : int
            Tokens the caller allows for the answer; 0 for no limit.

        Returns
        -------
        int
            At least 1.
        """
        output = self._output
        if output_limit:
            output = min(output, output_limit)
        fresh = max(0, prompt - cached)
        return max(1, round(fresh * self._settings.prefill_cost + output))

    def estimate_plain(self) -> int:
        """Return the work units of a call to a plain service.

        Returns
        -------
        int
            At least 1.
        """
        return max(1, self._settings.plain_cost)

    def learn(self, output: int) -> None:
        """Take in how long an answer was.

        Parameters
        ----------
        output : int
            Its tokens.
        """
        self._output += LEARNING_RATE * (output - self._output)


def estimate_tokens(size: int) -> int:
    """Return the tokens that a text of a size is taken to have.

    Parameters
    ----------
    size : int
        Bytes of the text.

    Returns
    -------
    int
        Tokens, rounded up.
    """
    return -(-size // BYTES_PER_TOKEN)
