"""Circuit breaker of an agent: decides whether its target is healthy enough for calls.

A target that answers quickly with errors looks idle. Its agent therefore stops
accepting calls when too many answers fail, and lets single calls probe the target.
The target itself is called closed while it gets no calls but probes; in the usual
terms the breaker is then open.
"""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.target.decaying_outcomes import DecayingOutcomes


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """Thresholds and pauses of the circuit breaker."""

    failure_share: float = option(
        SECONDS,
        "share of failed answers above which the target is closed",
        0.5,
    )
    minimum_samples: int = option(
        COUNT,
        "answers that must count, after decay, before the target may be closed",
        5,
    )
    memory: float = option(
        SECONDS,
        "half-life in seconds of an answer's influence",
        10.0,
    )
    first_pause: float = option(
        SECONDS,
        "seconds for which a closed target gets no calls before a probe",
        1.0,
    )
    longest_pause: float = option(
        SECONDS,
        "upper limit of the pause, which doubles with each failed probe",
        30.0,
    )


class TargetHealth:
    """Circuit breaker over a decaying share of failures.

    Parameters
    ----------
    settings : HealthSettings
        Thresholds and pauses.
    """

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._outcomes = DecayingOutcomes(settings.memory, 0.0)
        self._tripped_until: float | None = None
        self._pause = settings.first_pause
        self._probe_until = 0.0

    @property
    def is_tripped(self) -> bool:
        """Return whether the target gets no calls but probes."""
        return self._tripped_until is not None

    @property
    def failure_share(self) -> float:
        """Return the share of failures among recent answers."""
        return self._outcomes.failure_share

    def admits(self, now: float) -> bool:
        """Return whether a call may be accepted.

        While the target is closed, a call that is accepted is a probe; no other call
        is accepted until its outcome is known or the longest pause has passed.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            False while the target is closed and no probe is due.
        """
        if self._tripped_until is None:
            return True
        if now < self._tripped_until or now < self._probe_until:
            return False
        self._probe_until = now + self._settings.longest_pause
        return True

    def retry_after(self, now: float) -> float:
        """Return the seconds until the next probe.

        Parameters
        ----------
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds, not negative.
        """
        return max(0.0, (self._tripped_until or now) - now)

    def succeeded(self, now: float) -> None:
        """Record a good answer; it opens a closed target.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._outcomes.add_good(now)
        if self._tripped_until is not None:
            self._tripped_until = None
            self._outcomes.clear_bad()
            self._pause = self._settings.first_pause

    def failed(self, now: float) -> None:
        """Record a failed answer; enough of them close the target.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        self._outcomes.add_bad(now)
        if self._tripped_until is not None:
            if not self._probe_until:
                # This call was sent before the target was closed; it is no probe.
                return
            self._pause = min(self._settings.longest_pause, self._pause * 2)
            self._close(now)
            return
        # Earlier answers have decayed, so that `minimum_samples` answers in quick
        # succession count for slightly less.
        enough = self._outcomes.total >= self._settings.minimum_samples * 0.9
        if enough and self.failure_share > self._settings.failure_share:
            self._close(now)

    def _close(self, now: float) -> None:
        self._tripped_until = now + self._pause
        self._probe_until = 0.0
