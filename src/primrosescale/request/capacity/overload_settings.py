"""Settings of overload control: when it applies, and its part of the connections."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from primrosescale.ini.options import Number
from primrosescale.ini.options import option


class OverloadMode(Enum):
    """For which services overload control is in force."""

    # Services whose targets report their slots.
    ON = "on"
    OFF = "off"


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """How requests are admitted while a service has more than its targets can do.

    Parameters
    ----------
    mode : OverloadMode
        For which services it is in force.
    """

    mode: OverloadMode = OverloadMode.ON
    connection_share: float = option(
        Number(0.1, 1.0),
        "fraction of a target's connection limit that all routers together use; the "
        "rest is for connections that are being closed, and for probes",
        0.75,
    )
