"""Whether a target answers well enough to be given work.

A target that answers fast with errors looks idle. Its agent therefore stops
taking work when too many answers fail and lets single calls probe it.
"""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.decaying_outcomes import DecayingOutcomes


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """When a target counts as unhealthy."""

    failure_share: float = option(
        SECONDS,
        "share of failed answers above which the target is closed",
        0.5,
    )
    minimum_samples: int = option(
        COUNT,
        "answers that must have been seen in the memory",
        5,
    )
    memory: float = option(
        SECONDS,
        "seconds in which an answer's influence falls to a half",
        10.0,
    )
    first_pause: float = option(
        SECONDS,
        "seconds a closed target gets no work before a probe",
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
        Thresholds.
    """

    def __init__(self, settings: HealthSettings) -> None:
        self._settings = settings
        self._outcomes = DecayingOutcomes(settings.memory, 0.0)
        self._closed_until: float | None = None
        self._pause = settings.first_pause
        self._probe_until = 0.0

    @property
    def is_closed(self) -> bool:
        """Tell whether the target gets at most probes."""
        return self._closed_until is not None

    @property
    def failure_share(self) -> float:
        """Return the share of failures among recent answers."""
        return self._outcomes.failure_share

    def admits(self, now: float) -> bool:
        """Tell whether a call may be taken; a probe is counted as taken.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            False while the target is closed.
        """
        if self._closed_until is None:
            return True
        if now < self._closed_until or now < self._probe_until:
            return False
        self._probe_until = now + self._settings.longest_pause
        return True

    def retry_after(self, now: float) -> float:
        """Return the seconds until the next probe.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        float
            Seconds, not negative.
        """
        return max(0.0, (self._closed_until or now) - now)

    def succeeded(self, now: float) -> None:
        """Take in a good answer; it opens a closed target.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._outcomes.add_good(now)
        if self._closed_until is not None:
            self._closed_until = None
            self._outcomes.clear_bad()
            self._pause = self._settings.first_pause

    def failed(self, now: float) -> None:
        """Take in a failed answer; enough of them close the target.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        self._outcomes.add_bad(now)
        if self._closed_until is not None:
            if not self._probe_until:
                # A call from before the target was closed, not the probe.
                return
            self._pause = min(self._settings.longest_pause, self._pause * 2)
            self._close(now)
            return
        enough = self._outcomes.total >= self._settings.minimum_samples * 0.9
        if enough and self.failure_share > self._settings.failure_share:
            self._close(now)

    def _close(self, now: float) -> None:
        self._closed_until = now + self._pause
        self._probe_until = 0.0
