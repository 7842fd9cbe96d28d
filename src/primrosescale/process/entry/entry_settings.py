"""Settings of an entry router, and the store prefixes that it watches."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primrosescale.process.callers.guard_settings import GuardSettings
from primrosescale.process.entry.relay_topology import StateExchangeSettings
from primrosescale.process.transport.read_pacing import DEFAULT_MAX_PACED_SECONDS
from primrosescale.request.attempt.forwarding_context import ForwardingSettings
from primrosescale.request.capacity.cold_targets import ColdSettings
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.harm.harm_settings import HarmSettings

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.process.entry.store_watch import WatchedPrefix
    from primrosescale.request.attempt.retry_share import SharedRetryLimits


@dataclass(frozen=True, slots=True, kw_only=True)
class EntrySettings:
    """Settings of an entry router.

    Parameters
    ----------
    name : str
        Name of the host.
    domain : str
        Its failure domain.
    callers : Endpoint
        Address on which callers connect.
    readiness : Endpoint
        Address of the readiness check that the load balancer polls.
    metrics : Endpoint | None
        Address on which metrics are served; None for no metrics.
    links : Endpoint
        Address on which peer routers connect.
    reads_caches : bool
        Whether to read the prompt caches of model engines at start-up.
    drain : float
        Seconds after which a draining target must receive no new requests.
    revoke : float
        Seconds within which a revoked key must stop being accepted.
    not_found_max_age : float
        Maximum age of the configuration, in seconds, at which a missing route or
        key is answered as unknown. With an older one it may have been added
        meanwhile.
    stop_within : float
        Seconds between SIGTERM and SIGKILL.
    max_requests : int
        Maximum number of concurrent requests; more are refused.
    repeats : SharedRetryLimits
        Limits of the retry budget that all routers share.
    forward : ForwardingSettings
        Timeouts and delays in forwarding requests.
    choice : ChoiceSettings
        Weights used in choosing a target.
    news : StateExchangeSettings
        Settings of the state exchange between routers.
    harm : HarmSettings
        When a request that ends targets while they run it is held back.
    cold : ColdSettings
        How much load cold targets, those that have just started, may get.
    overload : OverloadSettings
        How requests are admitted while a service is overloaded.
    regions : dict[str, str]
        The region of each failure domain.
    link_rate : float | None
        Rate of the host's link in bytes a second; None if it is not known.
    max_paced_read : float
        Seconds after which the rest of a large answer of the store is read without
        pauses.
    is_first_start : bool
        Whether the deployment starts for the first time, so that no router ran before.
    archive : str
        Prefix of the store's objects in which routers keep what they know; empty to
        keep nothing.
    guard : GuardSettings
        Limits on the memory and the processor time spent on callers.
    """

    name: str
    domain: str
    callers: Endpoint
    readiness: Endpoint
    metrics: Endpoint | None
    links: Endpoint
    reads_caches: bool
    drain: float
    revoke: float
    not_found_max_age: float
    stop_within: float
    max_requests: int
    repeats: SharedRetryLimits
    forward: ForwardingSettings = field(default_factory=ForwardingSettings)
    choice: ChoiceSettings = field(default_factory=ChoiceSettings)
    news: StateExchangeSettings = field(default_factory=StateExchangeSettings)
    harm: HarmSettings = field(default_factory=HarmSettings)
    cold: ColdSettings = field(default_factory=ColdSettings)
    overload: OverloadSettings = field(default_factory=OverloadSettings)
    regions: dict[str, str] = field(default_factory=dict)
    link_rate: float | None = None
    max_paced_read: float = DEFAULT_MAX_PACED_SECONDS
    is_first_start: bool = False
    archive: str = ""
    guard: GuardSettings = field(default_factory=GuardSettings)


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchedPrefixes:
    """Store prefixes that an entry router watches.

    Parameters
    ----------
    configuration : WatchedPrefix
        The current configuration. Polled often, because the age of the last
        response decides whether keys may still be accepted.
    targets : WatchedPrefix
        The targets.
    routers : WatchedPrefix
        The entry routers.
    evacuations : WatchedPrefix | None
        The evacuated failure domains; None on platforms without evacuations.
    """

    configuration: WatchedPrefix
    targets: WatchedPrefix
    routers: WatchedPrefix
    evacuations: WatchedPrefix | None = None
