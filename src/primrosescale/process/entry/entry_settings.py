"""Everything an entry router is built with."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primrosescale.process.entry.relay_topology import StateExchangeSettings
from primrosescale.request.cold_targets import ColdSettings
from primrosescale.request.forward_tools import ForwardingSettings
from primrosescale.request.harm_settings import HarmSettings
from primrosescale.request.target_choice import ChoiceSettings

if TYPE_CHECKING:
    from primrosescale.connection.endpoint import Endpoint
    from primrosescale.process.entry.store_watch import WatchedPrefix
    from primrosescale.request.shared_retry_budget import SharedRetryLimits


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
        Where callers connect.
    readiness : Endpoint
        Where the balancer asks whether to send callers.
    metrics : Endpoint | None
        Where metrics are served.
    links : Endpoint
        Where other routers connect.
    reads_caches : bool
        Whether model engines may hold parts of prompts already at the start.
    drain : float
        Seconds after which a leaving target must get no new work.
    revoke : float
        Seconds after which a withdrawn key must not be accepted.
    not_found_max_age : float
        Age of the knowledge, in seconds, up to which a missing route or key is
        taken for unknown rather than for not heard of yet.
    stop_within : float
        Seconds between SIGTERM and SIGKILL.
    max_requests : int
        Requests that may be under way at once; more are refused.
    repeats : SharedRetryLimits
        Bound on requests sent again, for all routers together.
    forward : ForwardingSettings
        Timing of requests.
    choice : ChoiceSettings
        Weights of the choice of targets.
    news : StateExchangeSettings
        How routers tell each other what they know.
    harm : HarmSettings
        When a request that ends targets is held back.
    cold : ColdSettings
        How far targets that have just started may be loaded.
    regions : dict[str, str]
        The region of each failure domain.
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
    regions: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchedPrefixes:
    """What an entry router follows in the store.

    Parameters
    ----------
    configuration : WatchedPrefix
        The newest version. Asked often: the age of the answer decides whether
        keys may still be accepted.
    targets : WatchedPrefix
        The list of targets.
    routers : WatchedPrefix
        The list of entry routers.
    evacuations : WatchedPrefix | None
        The list of evacuated failure domains; None where there are none.
    """

    configuration: WatchedPrefix
    targets: WatchedPrefix
    routers: WatchedPrefix
    evacuations: WatchedPrefix | None = None
