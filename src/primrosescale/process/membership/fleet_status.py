"""What is in force where, as one router has heard it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from primrosescale.connection.wire import ttypes as wire
    from primrosescale.process.configuration.version_manager import VersionManager
    from primrosescale.process.daemons.router_control import RouterControl


def fleet_status(
    router: str,
    keeper: VersionManager,
    control: RouterControl,
) -> dict[str, Any]:
    """Return the fleet's status.

    Parameters
    ----------
    router : str
        Name of the router that tells.
    keeper : VersionManager
        Its versions.
    control : RouterControl
        Its control traffic.

    Returns
    -------
    dict[str, Any]
        Lowest versions by failure domain, laggards by name, and how old the
        news is.
    """
    domains = [_domain(report) for report in control.domains]
    lowest = [
        value
        for domain in domains
        for value in (domain["lowest_router_version"], domain["lowest_agent_version"])
        if value >= 0
    ]
    return {
        "router": router,
        "version": keeper.version,
        "digest": keeper.head.digest,
        "approver": keeper.head.approver,
        "in_force_everywhere": bool(lowest) and min(lowest) >= keeper.version > 0,
        "lowest_version": min(lowest, default=0),
        "older_versions_in_use": keeper.retired,
        "news_age": round(control.load_report_age, 3),
        "domains": domains,
    }


def _domain(report: wire.DomainReport) -> dict[str, Any]:
    return {
        "domain": report.domain,
        "routers": report.routers,
        "agents": report.agents,
        "lowest_router_version": report.lowest_version,
        "lowest_agent_version": report.lowest_agent_version,
        "laggards": [
            {"name": item.name, "version": item.version} for item in report.laggards
        ],
        "age_ms": report.age_ms,
    }
