"""Settings of a process, read from an INI file and validated."""

from __future__ import annotations

import base64
import binascii
from dataclasses import MISSING
from dataclasses import dataclass
from dataclasses import fields
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.link import LinkSettings
from primrosescale.ini.exceptions import Fault
from primrosescale.ini.exceptions import IniError
from primrosescale.ini.exceptions import faults_error
from primrosescale.ini.options import COUNT
from primrosescale.ini.options import NAME
from primrosescale.ini.options import PORT
from primrosescale.ini.options import POSITIVE
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import Address
from primrosescale.ini.options import Flag
from primrosescale.ini.options import Number
from primrosescale.ini.options import StringList
from primrosescale.ini.options import Text
from primrosescale.ini.options import option
from primrosescale.ini.reader import parse_text
from primrosescale.ini.reader import read_section
from primrosescale.ini.reader import unknown_section
from primrosescale.process.ledger.ledger_bucket import LedgerSettings
from primrosescale.process.membership.flap_damper import MembershipSettings
from primrosescale.process.membership.load_sums import LoadReportSettings
from primrosescale.request.attempt.agent_call import StreamSettings
from primrosescale.request.attempt.backoff import BackoffSettings
from primrosescale.request.attempt.retry_budget import RetryBudgetSettings
from primrosescale.request.attempt.routed_call import RoutedCallSettings
from primrosescale.request.capacity.admission import AdmissionSettings
from primrosescale.request.capacity.load_bound import BoundSettings
from primrosescale.request.capacity.rate_limit import RateSettings
from primrosescale.request.capacity.work_estimate import WorkSettings
from primrosescale.request.target.target_health import HealthSettings

if TYPE_CHECKING:
    from collections.abc import Mapping

LOOPBACK = "127.0.0.1"
KEY_BYTES = 32
ROLES = ("router", "agent", "platform", "engine", "service")


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessSettings:
    """Identity of a process and where it runs."""

    name: str = option(NAME, "name of the process, unique in the fleet")
    role: str = option(Text(ROLES), "role of the process")
    domain: str = option(NAME, "failure domain of the process")
    region: str = option(NAME, "region of the process")
    stop_within: float = option(
        SECONDS,
        "seconds for which a planned stop waits for requests in flight",
        60.0,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterSettings:
    """Addresses, limits and time-outs of a router."""

    address: str = option(Address(), "IP address to listen on", LOOPBACK)
    port: int = option(PORT, "port of the HTTP interface for callers", 8080)
    admin_port: int = option(PORT, "port of the administration API", 8081)
    link_port: int = option(PORT, "port for agents and peer routers", 8082)
    body_limit: int = option(POSITIVE, "maximum bytes of a request's body", 2_000_000)
    answer_limit: int = option(
        POSITIVE, "maximum bytes of an answer that is not streamed", 8_000_000
    )
    calls_limit: int = option(POSITIVE, "maximum number of requests in flight", 2000)
    callers_memory: int = option(
        POSITIVE,
        "bytes that may be held for callers and operators in all",
        64 * 1024 * 1024,
    )
    idle_timeout: float = option(
        SECONDS, "seconds of silence after which a caller's connection closes", 60.0
    )
    dial_timeout: float = option(
        SECONDS, "time-out of connecting to an agent, in seconds", 1.0
    )
    link_idle: float = option(SECONDS, "seconds until an idle link closes", 30.0)
    seeds: tuple[str, ...] = option(
        StringList(),
        "address:port of routers to contact at start while the platform is down",
        (),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class AgentSettings:
    """Addresses of an agent and its target, and what the agent retains."""

    service: str = option(NAME, "service of the agent's target")
    target_address: str = option(Address(), "IP address of the target", LOOPBACK)
    target_port: int = option(PORT, "port of the target")
    address: str = option(Address(), "IP address to listen on", LOOPBACK)
    port: int = option(PORT, "port that routers connect to", 8090)
    routers: tuple[str, ...] = option(
        StringList(),
        "address:port of routers of the domain to report to at start",
    )
    must_echo: bool = option(
        Flag(),
        "whether the target returns X-Request-Id in its answers",
        default=True,
    )
    takes_orders: bool = option(
        Flag(),
        "whether the target is an engine that accepts orders",
        default=False,
    )
    checks_fence: bool = option(
        Flag(),
        "whether the engine refuses an order with a stale fencing number",
        default=False,
    )
    hand_over: int = option(
        COUNT, "maximum number of chats whose cache is handed over on leaving", 32
    )
    chats: int = option(POSITIVE, "maximum number of chats remembered", 8192)
    chat_keep: float = option(
        SECONDS, "seconds for which a chat is remembered", 14400.0
    )
    answer_keep: float = option(
        SECONDS, "seconds for which an answer can be resumed", 10.0
    )
    recorded_answer: int = option(
        COUNT, "maximum bytes of an answer recorded for retries", 16384
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformSettings:
    """Address and time-out of the platform, and registration with it."""

    address: str = option(Address(), "IP address of the platform", LOOPBACK)
    port: int = option(PORT, "port of the platform", 8070)
    timeout: float = option(
        SECONDS, "time-out of a call to the platform, in seconds", 2.0
    )
    register: bool = option(
        Flag(),
        "whether the process registers in the platform's list of hosts",
        default=True,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class TlsSettings:
    """Key material for links between the fleet's own processes."""

    certificate: str = option(
        Text(), "PEM file of this process's certificate; empty for no TLS", ""
    )
    key: str = option(Text(), "PEM file of its private key", "")
    authority: str = option(Text(), "PEM file of the fleet's certificate authority", "")


@dataclass(frozen=True, slots=True, kw_only=True)
class TrustSettings:
    """Trusted approvers and bootstrap operators."""

    approvers: tuple[str, ...] = option(
        StringList(),
        "name:key of each approver, the Ed25519 public key in base64",
        (),
    )
    operators: tuple[str, ...] = option(
        StringList(),
        "name:hash of operators with all roles, for the first bundle",
        (),
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class TelemetrySettings:
    """Destinations of logs, metrics and traces."""

    log: str = option(Text(), "file of the log; empty for standard output", "")
    statsd_address: str = option(Address(), "IP address of statsd", LOOPBACK)
    statsd_port: int = option(PORT, "port of statsd; 0 for no metrics", 0)
    trace_share: float = option(
        Number(0.0, 1.0),
        "share of requests traced when the caller sends no trace context",
        0.01,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class StandInSettings:
    """Behaviour of the stand-ins for engines, services and the platform."""

    address: str = option(Address(), "IP address to listen on", LOOPBACK)
    port: int = option(PORT, "port to listen on", 0)
    tokens_per_second: float = option(
        Number(0.1),
        "tokens per second that an engine generates for one request",
        200.0,
    )
    prefill_per_second: float = option(
        Number(1.0),
        "prompt tokens per second that an engine processes",
        20_000.0,
    )
    cache_tokens: int = option(
        COUNT, "capacity of an engine's cache in prompt tokens", 200_000
    )
    checks_fence: bool = option(
        Flag(),
        "whether the engine refuses an order with a stale fencing number",
        default=True,
    )
    delay: float = option(
        SECONDS, "seconds that a plain service takes for a request", 0.01
    )
    latency: float = option(
        SECONDS, "seconds that the platform takes for a call", 0.002
    )
    writes_per_second: float = option(
        Number(1.0), "writes per second that the platform accepts", 400.0
    )
    reads_per_second: float = option(
        Number(1.0), "reads per second that the platform accepts", 2000.0
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Settings:
    """All settings of a process, one field for each section of the file."""

    process: ProcessSettings
    router: RouterSettings
    agent: AgentSettings | None
    platform: PlatformSettings
    tls: TlsSettings
    trust: TrustSettings
    telemetry: TelemetrySettings
    standin: StandInSettings
    link: LinkSettings
    admission: AdmissionSettings
    bound: BoundSettings
    health: HealthSettings
    work: WorkSettings
    stream: StreamSettings
    retry: RetryBudgetSettings
    backoff: BackoffSettings
    rates: RateSettings
    members: MembershipSettings
    sums: LoadReportSettings
    ledger: LedgerSettings
    call: RoutedCallSettings

    @property
    def approvers(self) -> dict[str, bytes]:
        """Return the public keys of the trusted approvers by name."""
        return _approver_keys(self.trust.approvers, [])


SECTIONS: dict[str, type[Any]] = {
    "process": ProcessSettings,
    "router": RouterSettings,
    "agent": AgentSettings,
    "platform": PlatformSettings,
    "tls": TlsSettings,
    "trust": TrustSettings,
    "telemetry": TelemetrySettings,
    "standin": StandInSettings,
    "link": LinkSettings,
    "admission": AdmissionSettings,
    "bound": BoundSettings,
    "health": HealthSettings,
    "work": WorkSettings,
    "stream": StreamSettings,
    "retry": RetryBudgetSettings,
    "backoff": BackoffSettings,
    "rates": RateSettings,
    "members": MembershipSettings,
    "sums": LoadReportSettings,
    "ledger": LedgerSettings,
    "call": RoutedCallSettings,
}
OPTIONAL_SECTION = "agent"


def load_settings(path: str) -> Settings:
    """Read the settings of a process from a file.

    Parameters
    ----------
    path : str
        The file.

    Returns
    -------
    Settings
        Validated settings.

    Raises
    ------
    IniError
        When the file cannot be read or is not valid INI.
    FaultsError
        With every fault found in the settings.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise IniError(
            f"cannot read {path}: {error}", "name a readable file"
        ) from error
    return read_settings(text, path)


def read_settings(text: str, source: str) -> Settings:
    """Read the settings of a process from INI text.

    Parameters
    ----------
    text : str
        The text.
    source : str
        Name of the text in error messages.

    Returns
    -------
    Settings
        Validated settings.

    Raises
    ------
    IniError
        When the text is not valid INI.
    FaultsError
        With every fault found in the settings.
    """
    parser = parse_text(text, source)
    faults = [
        unknown_section(name, list(SECTIONS))
        for name in parser.sections()
        if name not in SECTIONS
    ]
    values: dict[str, Any] = {}
    for name, kind in SECTIONS.items():
        options = dict(parser.items(name)) if parser.has_section(name) else {}
        if name == OPTIONAL_SECTION and not parser.has_section(name):
            values[name] = None
            continue
        values[name] = read_section(kind, name, options, faults)
    faults.extend(_cross_section_faults(values))
    if faults:
        raise faults_error(source, faults)
    return Settings(**values)


def settings_reference() -> str:
    """Return a reference of all settings for the documentation.

    Returns
    -------
    str
        Markdown with a table for each section.
    """
    blocks: list[str] = []
    for name, kind in SECTIONS.items():
        summary = (kind.__doc__ or "").strip().split("\n")[0]
        lines = [f"## [{name}]", "", summary, ""]
        lines += ["| option | meaning | write | default |", "| --- | --- | --- | --- |"]
        for item in fields(kind):
            declaration = item.metadata["option"]
            default = "must be given"
            if item.default is not MISSING:
                default = f"`{declaration.kind.show(item.default)}`"
            expects = declaration.kind.expects
            lines.append(f"| {item.name} | {declaration.doc} | {expects} | {default} |")
        blocks.append("\n".join(lines))
    return "\n\n".join(blocks) + "\n"


def parse_endpoint(text: str) -> Endpoint:
    """Parse an endpoint written as ``address:port``.

    Parameters
    ----------
    text : str
        The text.

    Returns
    -------
    Endpoint
        Address and port.

    Raises
    ------
    ValueError
        When the text does not have that form.
    """
    address, _, port = text.rpartition(":")
    checked = Address().parse(address)
    return Endpoint(checked, PORT.parse(port))


def _cross_section_faults(values: Mapping[str, Any]) -> list[Fault]:
    """Return the faults that only show when sections are checked together."""
    faults: list[Fault] = []
    process = cast("ProcessSettings | None", values["process"])
    if process is not None and process.role == "agent" and values["agent"] is None:
        faults.append(Fault("agent", "", "", "missing section", "an agent needs it"))
    router = cast("RouterSettings | None", values["router"])
    if router is not None:
        faults.extend(_endpoint_faults("router", "seeds", router.seeds))
    agent = cast("AgentSettings | None", values["agent"])
    if agent is not None:
        faults.extend(_endpoint_faults("agent", "routers", agent.routers))
    trust = cast("TrustSettings | None", values["trust"])
    if trust is not None:
        _approver_keys(trust.approvers, faults)
    faults.extend(_tls_faults(cast("TlsSettings | None", values["tls"])))
    return faults


def _endpoint_faults(section: str, key: str, texts: tuple[str, ...]) -> list[Fault]:
    faults: list[Fault] = []
    for text in texts:
        try:
            parse_endpoint(text)
        except ValueError:
            remedy = "write IP-address:port such as 10.0.0.1:8082"
            faults.append(Fault(section, key, text, "wrong endpoint", remedy))
    return faults


def _approver_keys(texts: tuple[str, ...], faults: list[Fault]) -> dict[str, bytes]:
    keys: dict[str, bytes] = {}
    for text in texts:
        name, _, encoded = text.partition(":")
        try:
            key = base64.b64decode(encoded, validate=True)
        except binascii.Error:
            key = b""
        if len(key) != KEY_BYTES:
            remedy = "write name:key as 'primrosescale bundle keygen' prints it"
            faults.append(Fault("trust", "approvers", text, "not a key", remedy))
        keys[name] = key
    return keys


def _tls_faults(tls: TlsSettings | None) -> list[Fault]:
    if tls is None:
        return []
    given = {
        name: str(getattr(tls, name)) for name in ("certificate", "key", "authority")
    }
    if not any(given.values()):
        return []
    faults: list[Fault] = []
    for name, path in given.items():
        if not path:
            remedy = "give certificate, key and authority, or none of them"
            faults.append(Fault("tls", name, path, "missing", remedy))
        elif not Path(path).is_file():
            faults.append(Fault("tls", name, path, "no such file", "name a PEM file"))
    return faults
