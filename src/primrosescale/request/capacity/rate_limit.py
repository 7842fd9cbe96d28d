"""Enforces the rate limit of an organisation across all routers.

Each router measures the demand that it receives and reports organisations whose
demand is a significant part of their limit. It receives the total demand over all
routers in return, and admits the fraction limit / total of its own demand.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option

DEMAND_HALF_LIFE_SECONDS = 5.0
LN_2 = math.log(2.0)


@dataclass(frozen=True, slots=True)
class RateSettings:
    """Settings of the rate limiter."""

    burst: float = option(
        SECONDS,
        "burst of an organisation, in seconds of its limit",
        2.0,
    )
    report_share: float = option(
        SECONDS,
        "fraction of a router's equal share of a limit from which demand is reported",
        0.125,
    )
    meters: int = option(
        COUNT,
        "maximum number of metered organisations",
        4096,
    )
    total_keep: float = option(
        SECONDS,
        "seconds for which a received total is used",
        6.0,
    )


@dataclass(frozen=True, slots=True)
class DemandRate:
    """Demand of one organisation.

    Parameters
    ----------
    organisation : str
        Name of the organisation.
    rate : float
        Requests a second, including refused requests.
    """

    organisation: str
    rate: float


class _Meter:
    """Token bucket and measured demand of one organisation."""

    __slots__ = (
        "demand",
        "last_request_at",
        "limit",
        "tokens",
        "total",
        "total_received_at",
    )

    def __init__(self, limit: float, burst: float, now: float) -> None:
        self.limit = limit
        self.demand = 0.0
        self.last_request_at = now
        self.tokens = max(1.0, limit * burst)
        self.total = 0.0
        self.total_received_at = -1.0e9

    def demand_at(self, now: float) -> float:
        """Return the measured demand, decayed to the current time."""
        elapsed = max(0.0, now - self.last_request_at)
        return float(self.demand * 0.5 ** (elapsed / DEMAND_HALF_LIFE_SECONDS))


class OrganisationRateLimiter:
    """A router's rate limiter for organisations.

    Parameters
    ----------
    settings : RateSettings
        Settings of the rate limiter.
    """

    def __init__(self, settings: RateSettings) -> None:
        self._settings = settings
        self._meters: OrderedDict[str, _Meter] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of metered organisations."""
        return len(self._meters)

    def admit(self, organisation: str, limit: float, now: float) -> float:
        """Count a request and decide whether it is admitted.

        Parameters
        ----------
        organisation : str
            Organisation that sent the request.
        limit : float
            Limit of the organisation in requests a second; 0 for no limit.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            0 when the request is admitted, otherwise the seconds after which a
            retry may be admitted.
        """
        if limit <= 0:
            return 0.0
        meter = self._meter(organisation, limit, now)
        elapsed = max(0.0, now - meter.last_request_at)
        allowed = self._allowed_rate(meter, now)
        burst = max(1.0, allowed * self._settings.burst)
        meter.tokens = min(burst, meter.tokens + elapsed * allowed)
        meter.demand = meter.demand_at(now) + LN_2 / DEMAND_HALF_LIFE_SECONDS
        meter.last_request_at = now
        if meter.tokens >= 1.0:
            meter.tokens -= 1.0
            return 0.0
        return (1.0 - meter.tokens) / allowed

    def demands_to_report(self, routers: int, now: float) -> list[DemandRate]:
        """Return the demands to report, and drop meters of idle organisations.

        Parameters
        ----------
        routers : int
            Number of routers.
        now : float
            Current time in seconds.

        Returns
        -------
        list[DemandRate]
            One for each organisation near its limit.
        """
        share = self._settings.report_share / max(1, routers)
        found: list[DemandRate] = []
        for name, meter in list(self._meters.items()):
            rate = meter.demand_at(now)
            if (
                rate < meter.limit * share * 0.01
                and now - meter.last_request_at > DEMAND_HALF_LIFE_SECONDS
            ):
                del self._meters[name]
            elif rate >= meter.limit * share:
                found.append(DemandRate(name, rate))
        return found

    def update_total(self, total: DemandRate, now: float) -> None:
        """Record the total demand of an organisation over all routers.

        Parameters
        ----------
        total : DemandRate
            The total demand.
        now : float
            Current time in seconds.
        """
        meter = self._meters.get(total.organisation)
        if meter is not None:
            meter.total = total.rate
            meter.total_received_at = now

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

    def _allowed_rate(self, meter: _Meter, now: float) -> float:
        """Return the rate at which this router admits requests.

        Without a recent total the router admits up to the whole limit.
        """
        if now - meter.total_received_at > self._settings.total_keep:
            return meter.limit
        own = meter.demand_at(now)
        total = max(meter.total, own)
        if total <= meter.limit:
            return meter.limit
        return max(meter.limit * own / total, meter.limit * 0.001)
