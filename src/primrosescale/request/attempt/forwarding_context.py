"""Settings and collaborators that all forwarded calls of a router share."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from primrosescale.ini.options import COUNT
from primrosescale.ini.options import SECONDS
from primrosescale.ini.options import option
from primrosescale.request.answer.usual_times import UsualTimes
from primrosescale.request.capacity.overload_scope import OverloadScope
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.capacity.wait_forecast import MAX_RETRY_AFTER_SHARE
from primrosescale.request.harm.harm_monitor import NoHarmMonitor
from primrosescale.request.stream.version_doubts import VersionDoubts
from primrosescale.request.target.target_availability import TargetAvailability
from primrosescale.request.target.target_work import TargetWork
from primrosescale.request.trace_span import UnrecordedSpan

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Mapping
    from random import Random

    from primrosescale.clock import Clock
    from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
    from primrosescale.request.attempt.forwarding_interfaces import Refusal
    from primrosescale.request.attempt.forwarding_interfaces import TargetClient
    from primrosescale.request.attempt.shared_retry_budget import SharedRetryBudget
    from primrosescale.request.attempt.silent_target import SilenceReport
    from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
    from primrosescale.request.choice.target_choice import ChoiceSettings
    from primrosescale.request.choice.target_choice import TargetChooser
    from primrosescale.request.harm.harm_monitor import HarmMonitor
    from primrosescale.request.incoming_request import IncomingRequest
    from primrosescale.request.target.target_state import TargetState
    from primrosescale.request.trace_span import TraceSpan
    from primrosescale.version.routing_table import Route


# Retry-After is drawn between these multiples of the setting, so that refused callers
# do not return all at once.
RETRY_AFTER_JITTER = (0.5, 1.5)


@dataclass(frozen=True, slots=True)
class ForwardingSettings:
    """Timing of requests that the router forwards to targets itself."""

    shortest_time: float = option(
        SECONDS,
        "minimum seconds that must be left for a request to be sent; no answer "
        "arrives sooner",
        0.02,
    )
    unreached_most: int = option(
        COUNT,
        "number of unreachable targets after which a request is refused",
        4,
    )
    silence_patience: float = option(
        SECONDS,
        "seconds without any data from a target, for any request, after which its "
        "requests are also sent to another target; a long prompt that it prefills "
        "keeps a target silent for nearly as long",
        0.45,
    )
    heard_lately: float = option(
        SECONDS,
        "seconds since the last data from a target within which a stream that may "
        "be sent only once may use a pooled connection to it",
        0.15,
    )
    buffer_limit: int = option(
        COUNT,
        "bytes of a plain answer that are buffered until it is complete, so that "
        "the request can be retried if the answer is truncated",
        262144,
    )
    retry_after: float = option(
        SECONDS,
        "seconds that a refused caller is asked to wait (Retry-After) where nothing "
        "tells when a target may take its request, varied by up to half of it and at "
        "most a third of its time; meanwhile the routers report to each other",
        0.4,
    )

    def retry_delay(
        self, refusal: Refusal, time_left: float | None, rng: Random
    ) -> float | None:
        """Return the Retry-After time of a refusal, with random jitter.

        Parameters
        ----------
        refusal : Refusal
            Why the request was refused.
        time_left : float | None
            Seconds that the caller still waits; None if it has not stated them.
        rng : Random
            Random generator for the jitter.

        Returns
        -------
        float | None
            Seconds; None when the request may have run.
        """
        if not refusal.is_not_run:
            return None
        delay = self.retry_after * rng.uniform(*RETRY_AFTER_JITTER)
        if time_left is None:
            return delay
        return max(0.0, min(delay, time_left * MAX_RETRY_AFTER_SHARE))


def _ignore_silence(_: IncomingRequest, __: SilenceReport) -> None:
    pass


def _ignore_self_report(*_: object) -> None:
    pass


def _ignore_stream(_: IncomingRequest, __: float) -> None:
    pass


def _no_doubts() -> VersionDoubts:
    return VersionDoubts(lambda _: 0.0)


def _default_scope() -> OverloadScope:
    return OverloadScope(OverloadSettings())


def _default_work() -> TargetWork:
    return TargetWork(_default_scope())


def _start_unrecorded(_: str, traceparent: str) -> TraceSpan:
    return UnrecordedSpan(traceparent)


@dataclass(slots=True)
class ForwardingContext:
    """Settings and collaborators that all forwarded calls of a router share.

    Parameters
    ----------
    settings : ForwardingSettings
        Timing settings.
    clock : Clock
        Source of time and timers.
    rng : Random
        Random generator.
    client : TargetClient
        Sends requests to targets.
    chooser : TargetChooser
        Chooses targets.
    parts : PrefixCacheIndex
        Index of the parts of prompts that each target has cached.
    states_of : Callable[[str], list[TargetState]]
        Returns the targets of a service.
    budget_of : Callable[[str], SharedRetryBudget]
        Returns the retry budget of a service.
    parts_changed : Callable[[], None]
        Called when a part of a prompt was sent to a target that was not known to have
        it cached.
    start_span : Callable[[str, str], TraceSpan]
        Starts a span, given its name and the trace context of the previous hop.
        It costs nothing for a request without a trace context.
    silence_judged : Callable[[IncomingRequest, SilenceReport], None]
        Called with each decision about a silent target.
    self_report_received : Callable[[IncomingRequest, TargetState, AnswerHead], None]
        Called when the answer to a request has a new self-report of its target,
        such as that it is leaving, cold or wants a pause.
    harm : HarmMonitor
        Detects requests that crash targets.
    availability : TargetAvailability
        Determines whether a target is available for requests.
    regions : Mapping[str, str]
        The region of each failure domain.
    overload_scope : OverloadScope
        Determines for which services overload control is in force.
    target_work : TargetWork
        Prefill backlog and pace of targets; by default nothing is recorded.
    usual_times : UsualTimes
        How long answers of each route take.
    stream_began : Callable[[IncomingRequest, float], None]
        Called with the request and the current time when the first event of a stream
        is sent to its caller.
    version_doubts : VersionDoubts
        Tells which targets may have another software version than the list states.
    """

    settings: ForwardingSettings
    clock: Clock
    rng: Random
    client: TargetClient
    chooser: TargetChooser
    parts: PrefixCacheIndex
    states_of: Callable[[str], list[TargetState]]
    budget_of: Callable[[str], SharedRetryBudget]
    parts_changed: Callable[[], None]
    start_span: Callable[[str, str], TraceSpan] = _start_unrecorded
    silence_judged: Callable[[IncomingRequest, SilenceReport], None] = _ignore_silence
    self_report_received: Callable[[IncomingRequest, TargetState, AnswerHead], None] = (
        _ignore_self_report
    )
    harm: HarmMonitor = field(default_factory=NoHarmMonitor)
    availability: TargetAvailability = field(default_factory=TargetAvailability)
    regions: Mapping[str, str] = field(default_factory=dict)
    overload_scope: OverloadScope = field(default_factory=_default_scope)
    target_work: TargetWork = field(default_factory=_default_work)
    usual_times: UsualTimes = field(default_factory=UsualTimes)
    stream_began: Callable[[IncomingRequest, float], None] = _ignore_stream
    version_doubts: VersionDoubts = field(default_factory=_no_doubts)

    def limits_idle_time(self, service: str) -> bool:
        """Return whether requests that may run once use pooled connections.

        Parameters
        ----------
        service : str
            Name of the service.

        Returns
        -------
        bool
            Whether `max_idle_seconds` applies to them.
        """
        return self.overload_scope.is_in_force(service)

    def max_idle_seconds(self, route: Route, state: TargetState, now: float) -> float:
        """Return how long a pooled connection may have been idle to replace a new one.

        It applies to requests that otherwise need a new connection. A target whose
        queue is long accepts fewer connections, so that a hedge to it, which may be
        lost, opens none while there is an idle one.

        Parameters
        ----------
        route : Route
            Route of the request.
        state : TargetState
            The target that it is sent to.
        now : float
            Current time in seconds.

        Returns
        -------
        float
            Seconds; 0 if a new connection is opened in any case.
        """
        if not self.limits_idle_time(state.target.service):
            return 0.0
        if route.may_retry:
            return math.inf if state.has_long_queue(now) else 0.0
        return self.settings.heard_lately

    def configure(self, settings: ForwardingSettings, choice: ChoiceSettings) -> None:
        """Apply changed settings, also to calls in progress.

        Parameters
        ----------
        settings : ForwardingSettings
            Timing settings.
        choice : ChoiceSettings
            Weights for choosing targets.
        """
        self.settings = settings
        self.chooser.configure(choice)
