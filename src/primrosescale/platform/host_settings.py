"""The settings file that the platform writes for a process."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform.exceptions import BootFileError

SETTINGS_FILE_VARIABLE = "PRIMROSESCALE_BOOT"
SECONDS_PER_MILLISECOND = 0.001

# Used where a deployment leaves a bound out; the users' deployments of today
# name all of them, with these values.
DEFAULT_BOUNDS: dict[str, float] = {
    "drain_ms": 2000,
    "config_apply_ms": 2000,
    "grace_s": 8,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_extra": 20,
    "cap_x": 2,
    "cold_over": 1,
    "cold_slack": 0,
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """Promises that the deployment asks for.

    Parameters
    ----------
    drain : float
        Seconds after which a leaving target must get no new work.
    apply : float
        Seconds after which a version must be in force on all routers.
    stop : float
        Seconds between SIGTERM and SIGKILL.
    revoke : float
        Seconds after which a withdrawn key must not be accepted.
    retry_ratio : float
        Repeats allowed per request of a service, over all routers.
    retry_window : float
        Seconds over which repeats are counted.
    retry_extra : float
        Repeats allowed in a window besides.
    load_multiple : float
        Load allowed on a target, as a multiple of its service's mean.
    evacuation : float | None
        Seconds after which an evacuated failure domain must get no requests; None
        for a deployment that evacuates none.
    cold_over : float
        Requests a second that a cold target may get, as a multiple of the rate
        that its service names.
    cold_slack : float
        Requests a second that it may get besides.
    """

    drain: float
    apply: float
    stop: float
    revoke: float
    retry_ratio: float
    retry_window: float
    retry_extra: float
    load_multiple: float
    evacuation: float | None
    cold_over: float
    cold_slack: float


@dataclass(frozen=True, slots=True, kw_only=True)
class HostSettings:
    """Who the process is, where it listens and what is asked of it.

    Parameters
    ----------
    name : str
        Name of the host, unique in the deployment.
    address : str
        IP number of the host.
    domain : str
        Failure domain of the host.
    regions : dict[str, str]
        The region of each failure domain.
    callers : Endpoint | None
        Where callers connect.
    readiness : Endpoint | None
        Where the balancer asks whether to send callers.
    first_internal_port : int
        First of the ports for links between routers.
    store : Endpoint
        The platform's object store.
    is_first_start : bool
        Whether the whole system starts for the first time.
    memory_limit : int
        Bytes of memory after which the process is killed.
    bounds : Bounds
        Promises that the deployment asks for.
    """

    name: str
    address: str
    domain: str
    regions: dict[str, str]
    callers: Endpoint | None
    readiness: Endpoint | None
    first_internal_port: int
    store: Endpoint
    is_first_start: bool
    memory_limit: int
    bounds: Bounds


def own_host_settings() -> HostSettings:
    """Return the settings of this process.

    Returns
    -------
    HostSettings
        What the platform wrote last.

    Raises
    ------
    BootFileError
        When the settings file cannot be used.
    """
    return read_host_settings(os.environ.get(SETTINGS_FILE_VARIABLE, ""))


def read_host_settings(path: str) -> HostSettings:
    """Read and check the settings file.

    Parameters
    ----------
    path : str
        Where it is.

    Returns
    -------
    HostSettings
        Checked settings.

    Raises
    ------
    BootFileError
        When it is missing or a field is missing or odd.
    """
    try:
        fields = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise BootFileError(path, str(error)) from error
    try:
        return _decode(fields)
    except KeyError as error:
        raise BootFileError(path, f"field {error} is missing") from error
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise BootFileError(path, f"a field is odd: {error}") from error


def parse_endpoint(text: str) -> Endpoint:
    """Return the endpoint that ``address:port`` names.

    Parameters
    ----------
    text : str
        IP number and port.

    Returns
    -------
    Endpoint
        The endpoint.

    Raises
    ------
    ValueError
        When the text is something else.
    """
    address, _, port = text.rpartition(":")
    number = int(port)
    if not address or not 0 < number < 65536:  # noqa: PLR2004 - highest port
        raise ValueError(f"{text!r} is not ADDRESS:PORT")
    return Endpoint(address, number)


def _decode(fields: dict[str, Any]) -> HostSettings:
    listen = fields.get("listen") or {}
    ports = fields["internal_ports"]
    limits = fields.get("limits") or {}
    return HostSettings(
        name=str(fields["node_name"]),
        address=str(fields["ip"]),
        domain=str(fields["zone"]),
        regions={str(k): str(v) for k, v in (fields.get("zones") or {}).items()},
        callers=_optional_endpoint(listen.get("front")),
        readiness=_optional_endpoint(listen.get("ready")),
        first_internal_port=int(ports[0]),
        store=parse_endpoint(fields["platform"]["address"]),
        is_first_start=bool(fields.get("bootstrap", False)),
        memory_limit=int(float(limits.get("memory_mb", 300)) * 1024 * 1024),
        bounds=_bounds(fields.get("bounds") or {}),
    )


def _bounds(given: dict[str, Any]) -> Bounds:
    def of(name: str) -> float:
        return float(given.get(name, DEFAULT_BOUNDS[name]))

    def seconds(name: str) -> float | None:
        return float(given[name]) * SECONDS_PER_MILLISECOND if name in given else None

    return Bounds(
        drain=of("drain_ms") * SECONDS_PER_MILLISECOND,
        apply=of("config_apply_ms") * SECONDS_PER_MILLISECOND,
        stop=of("grace_s"),
        revoke=of("revoke_ms") * SECONDS_PER_MILLISECOND,
        retry_ratio=of("retry_budget_ratio"),
        retry_window=of("budget_window_s"),
        retry_extra=of("budget_extra"),
        load_multiple=of("cap_x"),
        evacuation=seconds("evac_ms"),
        cold_over=of("cold_over"),
        cold_slack=of("cold_slack"),
    )


def _optional_endpoint(text: str | None) -> Endpoint | None:
    return parse_endpoint(text) if text else None
