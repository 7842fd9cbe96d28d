"""Reads the settings file that the platform writes for a process."""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform.exceptions import SettingsFileError

SETTINGS_FILE_VARIABLE = "PRIMROSESCALE_BOOT"
SECONDS_PER_MILLISECOND = 0.001
BYTES_PER_MEGABIT = 125_000
# Above any rate in use; a higher number is taken for a mistake.
MAX_LINK_MEGABITS = 1_000_000_000
DEFAULT_DESCRIPTORS = 4096

# Used for bounds that the settings file leaves out. The users' deployments state all
# of them, with these values.
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
    """Limits that the deployment requires routers to keep.

    Parameters
    ----------
    drain : float
        Seconds after which a leaving target must get no new requests.
    apply : float
        Seconds after which a version must be in force on all routers.
    stop : float
        Seconds between SIGTERM and SIGKILL.
    revoke : float
        Seconds after which a revoked key must not be accepted.
    retry_ratio : float
        Retries allowed per request of a service, over all routers.
    retry_window : float
        Seconds over which retries are counted.
    retry_extra : float
        Retries allowed in a window in addition to that ratio.
    load_multiple : float
        Load allowed on a target, as a multiple of its service's mean load.
    evacuation : float | None
        Seconds after which an evacuated failure domain must get no requests; None
        for a deployment that does not evacuate failure domains.
    cold_over : float
        Requests a second that a cold target may get, as a multiple of its
        service's rate for cold targets.
    cold_slack : float
        Requests a second that a cold target may get in addition.
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
    """Identity, addresses and limits of the process on its host.

    Parameters
    ----------
    name : str
        Name of the host, unique in the deployment.
    address : str
        IP address of the host.
    domain : str
        Failure domain of the host.
    regions : dict[str, str]
        The region of each failure domain.
    callers : Endpoint | None
        Endpoint on which callers connect; None on hosts without callers.
    readiness : Endpoint | None
        Endpoint on which the load balancer checks readiness; None on hosts without
        callers.
    first_internal_port : int
        First of the ports for connections between routers.
    store : Endpoint
        Endpoint of the platform's object store.
    is_first_start : bool
        Whether the whole deployment starts for the first time.
    memory_limit : int
        Memory limit of the process in bytes; above it, the process is killed.
    bounds : Bounds
        Limits that the deployment requires.
    link_rate : float | None
        Rate of the host's link in bytes a second; None if it is not known.
    descriptor_limit : int
        Descriptors that the process may open.
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
    link_rate: float | None = None
    descriptor_limit: int = DEFAULT_DESCRIPTORS


def own_host_settings() -> HostSettings:
    """Read the settings file that the environment of this process names.

    Returns
    -------
    HostSettings
        The settings as the platform wrote them last.

    Raises
    ------
    SettingsFileError
        When the settings file cannot be used.
    """
    return read_host_settings(os.environ.get(SETTINGS_FILE_VARIABLE, ""))


def read_host_settings(path: str) -> HostSettings:
    """Read and validate a settings file.

    Parameters
    ----------
    path : str
        Path of the file.

    Returns
    -------
    HostSettings
        The validated settings.

    Raises
    ------
    SettingsFileError
        When the file cannot be read, or a field is missing or invalid.
    """
    try:
        fields = json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as error:
        raise SettingsFileError(path, str(error)) from error
    try:
        return _decode(fields)
    except KeyError as error:
        raise SettingsFileError(path, f"field {error} is missing") from error
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise SettingsFileError(path, f"invalid field: {error}") from error


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint written as ``address:port``.

    Parameters
    ----------
    text : str
        IP address and port.

    Returns
    -------
    Endpoint
        The endpoint.

    Raises
    ------
    ValueError
        When the text has another form.
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
        link_rate=_link_rate(limits.get("link_mbps")),
        descriptor_limit=int(limits.get("max_fds", DEFAULT_DESCRIPTORS)),
    )


def _link_rate(megabits: Any) -> float | None:
    """Return a rate in bytes a second; None if none is given or it is invalid."""
    if type(megabits) not in {int, float} or not 0 < megabits <= MAX_LINK_MEGABITS:
        return None
    return float(megabits) * BYTES_PER_MEGABIT


def _bounds(given: dict[str, Any]) -> Bounds:
    def number(name: str) -> float:
        return float(given.get(name, DEFAULT_BOUNDS[name]))

    def seconds(name: str) -> float | None:
        return float(given[name]) * SECONDS_PER_MILLISECOND if name in given else None

    return Bounds(
        drain=number("drain_ms") * SECONDS_PER_MILLISECOND,
        apply=number("config_apply_ms") * SECONDS_PER_MILLISECOND,
        stop=number("grace_s"),
        revoke=number("revoke_ms") * SECONDS_PER_MILLISECOND,
        retry_ratio=number("retry_budget_ratio"),
        retry_window=number("budget_window_s"),
        retry_extra=number("budget_extra"),
        load_multiple=number("cap_x"),
        evacuation=seconds("evac_ms"),
        cold_over=number("cold_over"),
        cold_slack=number("cold_slack"),
    )


def _optional_endpoint(text: str | None) -> Endpoint | None:
    return parse_endpoint(text) if text else None
