"""Counts the prompt tokens that a target still has to prefill.

They determine when the next request gets its first event, and for how long the other
streams of the target pause, because chunks of prompts are prefilled between the tokens
of streams.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from primrosescale.request.target.prefill_rate import PrefillRate

# The tokens of peer routers never exceed what the target prefills in this time, so that
# a wrong report does not exclude a target for longer.
MAX_PEER_SECONDS = 4.0


class PrefillBacklog:
    """Tokens that one incarnation of a target still has to prefill.

    This router's own requests are known exactly. Those of peer routers are known from
    their reports and are assumed to be prefilled one after another.

    Parameters
    ----------
    rate : PrefillRate
        The rate of the service, at which the tokens of peer routers drain.
    """

    __slots__ = ("_idle_since", "_open", "_own", "_peer", "_rate", "_updated_at")

    def __init__(self, rate: PrefillRate) -> None:
        self._rate = rate
        self._own = 0.0
        self._open = 0
        self._peer = 0.0
        # When the tokens of peer routers were last drained.
        self._updated_at = -math.inf
        # Since when no tokens of peer routers have been left, where none are.
        self._idle_since = -math.inf

    def started(self, tokens: float, now: float) -> None:
        """Count the tokens of an own request that is sent.

        Parameters
        ----------
        tokens : float
            Its uncached tokens; not negative.
        now : float
            Current time in seconds.
        """
        self._drain(now)
        self._own += tokens
        self._open += 1

    def first_byte(self, tokens: float, now: float) -> None:
        """Remove the tokens of an own request that was answered or has ended.

        Parameters
        ----------
        tokens : float
            As given to `started`.
        now : float
            Current time in seconds.
        """
        self._drain(now)
        self._open = max(0, self._open - 1)
        # The sum is reset with the last request, so that rounding does not add up.
        self._own = max(0.0, self._own - tokens) if self._open else 0.0

    def peer_started(self, tokens: float, began_at: float, now: float) -> None:
        """Count tokens that a peer router has sent.

        Parameters
        ----------
        tokens : float
            Tokens of a prompt part that the target did not hold.
        began_at : float
            When they were sent, in seconds; a time to come counts as now.
        now : float
            Current time in seconds.
        """
        self._drain(now)
        if tokens <= 0:
            return
        rate = self._rate.tokens_per_second
        left = float(tokens)
        if not self._peer:
            # The target has been prefilling them since they were sent, or since it had
            # completed those reported before.
            begin = min(now, max(began_at, self._idle_since))
            left = max(0.0, tokens - (now - begin) * rate)
            self._idle_since = begin + tokens / rate
        self._peer = min(self._peer + left, MAX_PEER_SECONDS * rate)

    def tokens(self, now: float) -> float:
        """Return the tokens that it still has to prefill.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Tokens; not negative.
        """
        if self._peer:
            self._drain(now)
        return self._own + self._peer

    def excess_tokens(self, seconds: float, now: float) -> float:
        """Return the tokens that it cannot prefill within a time.

        Parameters
        ----------
        seconds : float
            The time.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Tokens; not negative.
        """
        excess = self.tokens(now) - seconds * self._rate.tokens_per_second
        return max(0.0, excess)

    def _drain(self, now: float) -> None:
        """Drain the tokens of peer routers; a clock that was set back drains none."""
        elapsed = now - self._updated_at
        self._updated_at = now
        self._idle_since = min(self._idle_since, now)
        if not self._peer:
            return
        rate = self._rate.tokens_per_second
        # The rate may have become lower since the tokens were counted.
        self._peer = min(self._peer, MAX_PEER_SECONDS * rate)
        if elapsed <= 0:
            return
        self._peer -= elapsed * rate
        if self._peer <= 0:
            self._idle_since = now + self._peer / rate
            self._peer = 0.0
