"""Flap damping: excludes targets that go down too often, until a penalty decays."""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Suspicion of hosts and damping of flapping targets."""

    suspect_for: float = option(
        SECONDS,
        "seconds for which this router avoids a host that it failed to reach",
        5.0,
    )
    flap_penalty: float = option(
        SECONDS,
        "penalty that a target receives each time it goes down",
        1.0,
    )
    flap_limit: float = option(
        SECONDS,
        "penalty above which a target that is up again stays excluded",
        2.5,
    )
    flap_half_life: float = option(
        SECONDS,
        "half-life of a penalty in seconds",
        60.0,
    )


class FlapDamper:
    """Tracks a decaying penalty for each target that has gone down.

    Parameters
    ----------
    settings : MembershipSettings
        Penalty, limit and half-life.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._penalties: dict[str, float] = {}
        self._updated_at: dict[str, float] = {}

    def record_down(self, name: str, now: float) -> None:
        """Add the penalty for a target that went down.

        Parameters
        ----------
        name : str
            The target.
        now : float
            Current time in seconds.
        """
        penalty = self.penalty(name, now) + self._settings.flap_penalty
        self._penalties[name] = penalty
        self._updated_at[name] = now

    def penalty(self, name: str, now: float) -> float:
        """Return a target's penalty, decayed to the current time.

        Parameters
        ----------
        name : str
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            The penalty; 0 for a target without one.
        """
        last = self._penalties.get(name)
        if last is None:
            return 0.0
        elapsed = now - self._updated_at[name]
        return float(last * 0.5 ** (elapsed / self._settings.flap_half_life))

    def is_suppressed(self, name: str, now: float) -> bool:
        """Return whether a target stays excluded although it is up.

        Parameters
        ----------
        name : str
            The target.
        now : float
            Current time in seconds.

        Returns
        -------
        bool
            True while its penalty is above the limit.
        """
        return self.penalty(name, now) > self._settings.flap_limit

    def remove_decayed(self, now: float) -> None:
        """Remove penalties that have decayed below an eighth of a single one.

        Parameters
        ----------
        now : float
            Current time in seconds.
        """
        for name in list(self._penalties):
            if self.penalty(name, now) < self._settings.flap_penalty / 8:
                del self._penalties[name]
                del self._updated_at[name]
