"""Learns how many prompt tokens a second the targets of a service prefill."""

from __future__ import annotations

from collections import deque

# Assumed until enough answers are known; too low a rate only keeps the backlog a little
# longer.
INITIAL_TOKENS_PER_SECOND = 50_000.0
# With fewer uncached tokens, latency of the network and of decoding dominates.
MIN_SAMPLE_TOKENS = 1000
MIN_SAMPLES = 3
# At 10 prompts a second, the last few seconds.
MAX_SAMPLES = 50
# Most prompts wait behind others, so that their own rate is too low. The highest rates
# are those of prompts of which more was cached than assumed.
SAMPLE_QUANTILE = 0.8
# Bounds of what is learned, a fifth and four times the assumed rate: an estimate far
# from it comes from prompts that were cached, or from targets that queue all of them.
MIN_TOKENS_PER_SECOND = 10_000.0
MAX_TOKENS_PER_SECOND = 200_000.0


class PrefillRate:
    """The rate at which the targets of one service prefill prompts.

    It is a high quantile of the uncached tokens per second to the first byte, over the
    last answers.
    """

    __slots__ = ("_samples", "_tokens_per_second")

    def __init__(self) -> None:
        self._samples: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._tokens_per_second = INITIAL_TOKENS_PER_SECOND

    @property
    def tokens_per_second(self) -> float:
        """Return the rate, in tokens per second; always positive."""
        return self._tokens_per_second

    def record(self, tokens: float, seconds: float) -> None:
        """Record an answer.

        Parameters
        ----------
        tokens : float
            Uncached tokens of its prompt; answers with few of them are ignored.
        seconds : float
            Time from sending the request to the first byte; ignored unless positive.
        """
        if tokens < MIN_SAMPLE_TOKENS or not seconds > 0:
            return
        self._samples.append(tokens / seconds)
        if len(self._samples) < MIN_SAMPLES:
            return
        ordered = sorted(self._samples)
        learned = ordered[int(SAMPLE_QUANTILE * (len(ordered) - 1))]
        self._tokens_per_second = min(
            MAX_TOKENS_PER_SECOND, max(MIN_TOKENS_PER_SECOND, learned)
        )
