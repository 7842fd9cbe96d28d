"""What all forwarded calls of a router share: timing and tools."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.harm_monitor import NoHarmMonitor
from primrosescale.request.target_availability import TargetAvailability
from primrosescale.request.trace_span import UnrecordedSpan

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from random import Random

    from primrosescale.clock import Clock
    from primrosescale.request.forwarding_interfaces import AnswerHead
    from primrosescale.request.forwarding_interfaces import Refusal
    from primrosescale.request.forwarding_interfaces import TargetClient
    from primrosescale.request.harm_monitor import HarmMonitor
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.shared_retry_budget import SharedRetryBudget
    from primrosescale.request.silent_target import SilenceReport
    from primrosescale.request.target_choice import ChoiceSettings
    from primrosescale.request.target_choice import TargetChooser
    from primrosescale.request.target_state import TargetState
    from primrosescale.request.trace_span import TraceSpan


# A caller is told to come back after a time between these parts of the setting.
RETURN_SPREAD = (0.5, 1.5)


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Timing of requests that the router sends to targets itself."""

    shortest_time: float = option(
        SECONDS,
        "seconds that must be left for sending a request to be worth it; a plain "
        "request works 0.06 s in the mean",
        0.02,
    )
    unreached_most: int = option(
        COUNT,
        "targets that may be unreachable before a request is refused",
        4,
    )
    plain_patience: float = option(
        SECONDS,
        "part of the time for a plain request after which a silent target is left "
        "for another; nine in ten answers come within a third of it",
        0.5,
    )
    first_event_patience: float = option(
        SECONDS,
        "multiple of the latency objective after which a stream without an event "
        "goes on elsewhere",
        2.0,
    )
    silence_patience: float = option(
        SECONDS,
        "seconds after which a request at a target that sends nothing to anyone is "
        "sent to another too, so that a stream goes on within the pause that is "
        "allowed",
        0.45,
    )
    heard_lately: float = option(
        SECONDS,
        "seconds since a target was last heard for which a kept connection is "
        "good enough for a stream that may be sent only once",
        0.15,
    )
    gap_patience: float = option(
        SECONDS,
        "multiple of the pause allowed between events after which a stream goes "
        "on elsewhere",
        1.5,
    )
    buffer_limit: int = option(
        COUNT,
        "bytes of a plain answer that are held back until it is whole, so that a "
        "cut one can be asked for again",
        262144,
    )
    cold_patience: float = option(
        SECONDS,
        "part of the latency objective for which a request waits for a target that "
        "has just started, when no other can serve it",
        0.5,
    )
    retry_after: float = option(
        SECONDS,
        "seconds after which a refused caller is told to come back, with a spread "
        "of half of it",
        0.4,
    )

    def retry_delay(self, refusal: Refusal, rng: Random) -> float | None:
        """Return when a refused caller is told to come back.

        Parameters
        ----------
        refusal : Refusal
            Why it was refused.
        rng : Random
            Source of chance, so that callers do not return together.

        Returns
        -------
        float | None
            Seconds; None when the request may have run.
        """
        if not refusal.is_not_run:
            return None
        return self.retry_after * rng.uniform(*RETURN_SPREAD)


def _unlogged(_: IncomingRequest, __: SilenceReport) -> None:
    pass


def _unheeded(*_: object) -> None:
    pass


def _untraced(_: str, traceparent: str) -> TraceSpan:
    return UnrecordedSpan(traceparent)


@dataclass(slots=True)
class ForwardingContext:
    """What all calls of a router share.

    Parameters
    ----------
    settings : ForwardingSettings
        Timing.
    clock : Clock
        Source of time and timers.
    rng : Random
        Source of chance.
    caller : TargetClient
        Sends requests to targets.
    chooser : TargetChooser
        Chooses targets.
    parts : PrefixCacheIndex
        Where parts of prompts are cached.
    states_of : Callable[[str], list[TargetState]]
        Targets of a service.
    budget_of : Callable[[str], SharedRetryBudget]
        Budget of a service.
    routers : Callable[[], int]
        How many routers share the budgets.
    parts_changed : Callable[[], None]
        Told that a part went to a target that was not known to have it.
    start_span : Callable[[str, str], TraceSpan]
        Starts a hop of a name after the hop before; costs nothing for a
        request without a trace context.
    silence_judged : Callable[[IncomingRequest, SilenceReport], None]
        Told of each judgement on a silent target.
    self_report_received : Callable[[IncomingRequest, TargetState, AnswerHead], None]
        Told when the answer to a request says something new of what its target
        may be given.
    harm : HarmMonitor
        Knows which requests end targets.
    availability : TargetAvailability
        Says what each target may be given.
    regions : Mapping[str, str]
        The region of each failure domain.
    """

    settings: ForwardingSettings
    clock: Clock
    rng: Random
    caller: TargetClient
    chooser: TargetChooser
    parts: PrefixCacheIndex
    states_of: Callable[[str], list[TargetState]]
    budget_of: Callable[[str], SharedRetryBudget]
    routers: Callable[[], int]
    parts_changed: Callable[[], None]
    start_span: Callable[[str, str], TraceSpan] = _untraced
    silence_judged: Callable[[IncomingRequest, SilenceReport], None] = _unlogged
    self_report_received: Callable[[IncomingRequest, TargetState, AnswerHead], None] = (
        _unheeded
    )
    harm: HarmMonitor = field(default_factory=NoHarmMonitor)
    availability: TargetAvailability = field(default_factory=TargetAvailability)
    regions: Mapping[str, str] = field(default_factory=dict)

    def configure(self, settings: ForwardingSettings, choice: ChoiceSettings) -> None:
        """Take in changed settings, for the calls under way too.

        Parameters
        ----------
        settings : ForwardingSettings
            Timing.
        choice : ChoiceSettings
            Weights of the choice of targets.
        """
        self.settings = settings
        self.chooser.configure(choice)
