"""An organisation's rate limit, held across routers.

Every router measures the demand it sees. It reports only organisations whose
demand is a noticeable part of their limit; the sums of these come back, and
each router lets through the share limit / demand of what it sees.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

HALF_LIFE = 5.0
LN_2 = math.log(2.0)


@dataclass(frozen=True, slots=True)
class RateSettings:
    """How limits are held."""

    burst: float = option(
        SECONDS,
        "seconds of its limit that an organisation may save up",
        2.0,
    )
    report_share: float = option(
        SECONDS,
        "part of a router's equal share of a limit from which demand is reported",
        0.125,
    )
    meters: int = option(
        COUNT,
        "organisations metered at the most",
        4096,
    )
    total_keep: float = option(
        SECONDS,
        "seconds for which a reported total counts",
        6.0,
    )


@dataclass(frozen=True, slots=True)
class DemandRate:
    """Requests a second of one organisation.

    Parameters
    ----------
    organisation : str
        Its name.
    rate : float
        Requests a second, refused ones included.
    """

    organisation: str
    rate: float


class _Meter:
    """What a router knows of one organisation's rate."""

    __slots__ = ("demand", "heard_at", "limit", "seen_at", "tokens", "total")

    def __init__(self, limit: float, burst: float, now: float) -> None:
        self.limit = limit
        self.demand = 0.0
        self.seen_at = now
        self.tokens = max(1.0, limit * burst)
        self.total = 0.0
        self.heard_at = -1.0e9

    def demand_at(self, now: float) -> float:
        """Return the demand, faded to the present."""
        passed = max(0.0, now - self.seen_at)
        return float(self.demand * 0.5 ** (passed / HALF_LIFE))


class OrganisationRateLimiter:
    """A router's part in holding organisations to their limits.

    Parameters
    ----------
    settings : RateSettings
        How limits are held.
    """

    def __init__(self, settings: RateSettings) -> None:
        self._settings = settings
        self._meters: OrderedDict[str, _Meter] = OrderedDict()

    def __len__(self) -> int:
        """Return how many organisations are metered."""
        return len(self._meters)

    def admit(self, organisation: str, limit: float, now: float) -> float:
        """Count a request and say when it may run.

        Parameters
        ----------
        organisation : str
            Whose request it is.
        limit : float
            The organisation's requests a second; 0 for no limit.
        now : float
            Present time in seconds.

        Returns
        -------
        float
            0 when it may run now, else the seconds until asking again is
            worth it.
        """
        if limit <= 0:
            return 0.0
        meter = self._meter(organisation, limit, now)
        passed = max(0.0, now - meter.seen_at)
        allowed = self._allowed(meter, now)
        burst = max(1.0, allowed * self._settings.burst)
        meter.tokens = min(burst, meter.tokens + passed * allowed)
        meter.demand = meter.demand_at(now) + LN_2 / HALF_LIFE
        meter.seen_at = now
        if meter.tokens >= 1.0:
            meter.tokens -= 1.0
            return 0.0
        return (1.0 - meter.tokens) / allowed

    def demands_to_report(self, routers: int, now: float) -> list[DemandRate]:
        """Return the demands worth telling to the other routers.

        Parameters
        ----------
        routers : int
            How many routers there are.
        now : float
            Present time in seconds.

        Returns
        -------
        list[DemandRate]
            One for each organisation near its limit.
        """
        share = self._settings.report_share / max(1, routers)
        found: list[DemandRate] = []
        for name, meter in list(self._meters.items()):
            rate = meter.demand_at(now)
            if rate < meter.limit * share * 0.01 and now - meter.seen_at > HALF_LIFE:
                del self._meters[name]
            elif rate >= meter.limit * share:
                found.append(DemandRate(name, rate))
        return found

    def update_total(self, total: DemandRate, now: float) -> None:
        """Take in the demand that all routers see together.

        Parameters
        ----------
        total : DemandRate
            The sum.
        now : float
            Present time in seconds.
        """
        meter = self._meters.get(total.organisation)
        if meter is not None:
            meter.total = total.rate
            meter.heard_at = now

    def _meter(self, organisation: str, limit: float, now: float) -> _Meter:
        meter = self._meters.get(organisation)
        if meter is None:
            meter = _Meter(limit, self._settings.burst, now)
            self._meters[organisation] = meter
            while len(self._meters) > self._settings.meters:
                self._meters.popitem(last=False)
        self._meters.move_to_end(organisation)
        meter.limit = limit
        return meter

    def _allowed(self, meter: _Meter, now: float) -> float:
        """Return the rate at which this router may let requests through."""
        if now - meter.heard_at > self._settings.total_keep:
            return meter.limit
        own = meter.demand_at(now)
        total = max(meter.total, own)
        if total <= meter.limit:
            return meter.limit
        return max(meter.limit * own / total, meter.limit * 0.001)
