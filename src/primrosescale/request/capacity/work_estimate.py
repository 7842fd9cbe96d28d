"""Estimates the cost of a request to its target, in work units.

One work unit is the cost of generating one token. Prompt tokens already in the
target's prefix cache cost nothing; each other prompt token costs a fraction of
a unit. Weighing a request against the profiled capacity of its target follows
the residual capacity in section 3.3 of the paper "Rim: Offloading Inference to
the Edge".
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
    """Cost profile of a service's targets."""

    prefill_cost: float = option(
        SECONDS,
        "cost in work units of one uncached prompt token",
        0.05,
    )
    output_default: int = option(
        COUNT,
        "expected tokens of an answer before the first answer has been observed",
        200,
    )
    plain_cost: int = option(
        COUNT,
        "cost in work units of a call to a plain service",
        100,
    )


class WorkEstimator:
    """Estimates the work of requests and learns the mean length of answers.

    Parameters
    ----------
    settings : WorkSettings
        Cost profile of the service.
    """

    def __init__(self, settings: WorkSettings) -> None:
        self._settings = settings
        self._expected_output = float(settings.output_default)

    @property
    def expected_output(self) -> float:
        """Return the expected number of tokens of an answer."""
        return self._expected_output

    def estimate(self, prompt: int, cached: int, output_limit: int) -> int:
        """Estimate the work of a request to a model.

        Parameters
        ----------
        prompt : int
            Number of prompt tokens.
        cached : int
            Number of prompt tokens in the target's cache.
        output_limit : int
            Maximum number of answer tokens set by the caller; 0 for no limit.

        Returns
        -------
        int
            Work units, at least 1.
        """
        output = self._expected_output
        if output_limit:
            output = min(output, output_limit)
        uncached = max(0, prompt - cached)
        return max(1, round(uncached * self._settings.prefill_cost + output))

    def estimate_plain(self) -> int:
        """Return the work of a call to a plain service.

        Returns
        -------
        int
            Work units, at least 1.
        """
        return max(1, self._settings.plain_cost)

    def learn(self, output: int) -> None:
        """Update the expected answer length from a completed answer.

        Parameters
        ----------
        output : int
            Number of tokens of the answer.
        """
        self._expected_output += LEARNING_RATE * (output - self._expected_output)


def estimate_tokens(size: int) -> int:
    """Estimate the number of tokens of a text from its size.

    Parameters
    ----------
    size : int
        Size of the text in bytes.

    Returns
    -------
    int
        Tokens, rounded up.
    """
    return -(-size // BYTES_PER_TOKEN)
