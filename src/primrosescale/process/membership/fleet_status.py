"""Versions in force across the fleet, as reported to one router."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

if TYPE_CHECKING:
    from primrosescale.connection.wire import ttypes as wire
    from primrosescale.process.configuration.version_manager import VersionManager
    from primrosescale.process.daemons.router_control import RouterControl


def fleet_status(
    router: str,
    version_manager: VersionManager,
    control: RouterControl,
) -> dict[str, Any]:
    """Return the status of the fleet for the administration API.

    Parameters
    ----------
    router : str
        Name of the router that answers.
    version_manager : VersionManager
        Configuration versions of that router.
    control : RouterControl
        Control traffic of that router, which receives domain reports.

    Returns
    -------
    dict[str, Any]
        The router's version, the lowest versions by failure domain, agents that
        lag behind, and the ages of the mean loads and of the reports.
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
        "version": version_manager.version,
        "digest": version_manager.head.digest,
        "approver": version_manager.head.approver,
        "in_force_everywhere": bool(lowest)
        and min(lowest) >= version_manager.version > 0,
        "lowest_version": min(lowest, default=0),
        "older_versions_in_use": version_manager.retired_count,
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
