"""How news of hosts is weighed, and what keeps flapping targets out."""

from __future__ import annotations

from dataclasses import dataclass

from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """How news of hosts is weighed."""

    suspect_for: float = option(
        SECONDS,
        "seconds for which this router avoids a host it could not reach",
        5.0,
    )
    flap_penalty: float = option(
        SECONDS,
        "penalty of one change to down",
        1.0,
    )
    flap_limit: float = option(
        SECONDS,
        "penalty above which a returning target stays out",
        2.5,
    )
    flap_half_life: float = option(
        SECONDS,
        "seconds in which a penalty falls by half",
        60.0,
    )


class FlapDamper:
    """Keeps targets out that come and go too often.

    Parameters
    ----------
    settings : MembershipSettings
        Penalty and limit.
    """

    def __init__(self, settings: MembershipSettings) -> None:
        self._settings = settings
        self._penalties: dict[str, float] = {}
        self._at: dict[str, float] = {}

    def went_down(self, name: str, now: float) -> None:
        """Take in that a target went down.

        Parameters
        ----------
        name : str
            The target.
        now : float
            Present time in seconds.
        """
        penalty = self.penalty(name, now) + self._settings.flap_penalty
        self._penalties[name] = penalty
        self._at[name] = now

    def penalty(self, name: str, now: float) -> float:
        """Return a target's penalty, faded to the present.

        Parameters
        ----------
        name : str
            The target.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            0 for one that never went down.
        """
        held = self._penalties.get(name)
        if held is None:
            return 0.0
        passed = now - self._at[name]
        return float(held * 0.5 ** (passed / self._settings.flap_half_life))

    def keeps_out(self, name: str, now: float) -> bool:
        """Tell whether a target stays out although it is up.

        Parameters
        ----------
        name : str
            The target.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            True while its penalty is over the limit.
        """
        return self.penalty(name, now) > self._settings.flap_limit

    def remove_expired(self, now: float) -> None:
        """Forget penalties that have faded.

        Parameters
        ----------
        now : float
            Present time in seconds.
        """
        for name in list(self._penalties):
            if self.penalty(name, now) < self._settings.flap_penalty / 8:
                del self._penalties[name]
                del self._at[name]
