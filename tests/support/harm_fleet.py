"""Simulation of entry routers and targets that end under some requests, on one clock.

Harmful requests arrive repeatedly at any router and with new ids, among those of many
other callers. A target that ends aborts all its requests, and a replacement starts some
seconds later. The target choice, attempts, state exchange and harm monitor of the
routers are the real ones; sockets, targets and callers are simulated.
"""

from __future__ import annotations

from collections import Counter
from types import SimpleNamespace

from primrosescale.process.entry.entry_harm_monitor import EntryHarmMonitor
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.request.attempt.forwarded_call import ForwardedCall
from primrosescale.request.attempt.forwarding_context import ForwardingContext
from primrosescale.request.attempt.forwarding_context import ForwardingSettings
from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
from primrosescale.request.attempt.forwarding_interfaces import CallerSink
from primrosescale.request.attempt.forwarding_interfaces import InFlightRequest
from primrosescale.request.attempt.forwarding_interfaces import ProbeResult
from primrosescale.request.attempt.forwarding_interfaces import TargetClient
from primrosescale.request.attempt.retry_share import SharedRetryLimits
from primrosescale.request.harm.harm_settings import HarmSettings
from primrosescale.request.harm.harmful_requests import HarmfulRequests
from primrosescale.request.incoming_request import IncomingRequest
from primrosescale.version.routing_table import RetryPolicy
from primrosescale.version.routing_table import Route
from primrosescale.version.routing_table import WeightedService
from support.retry_fleet import retry_budget
from support.router_fleet import LINK_SECONDS
from support.router_fleet import SERVICE
from support.router_fleet import Fleet
from support.router_fleet import FleetRouter

HARMFUL = b"harmful "
# Minimum and maximum time for which a target runs a harmful request before it ends.
ENDS_AFTER = (0.05, 0.4)
# The same where it answers the request first.
ENDS_AFTER_ANSWER = (0.03, 0.1)
# Seconds until the entry of an ended target is removed, and until a replacement
# starts.
ENTRY_REMOVAL_SECONDS = 3.3
START_SECONDS = (2.5, 4.5)
# Time after which a connection that does not open is given up.
CONNECT_TIMEOUT_SECONDS = 0.4
# Mean duration of other requests in seconds.
WORK_SECONDS = 0.7
DEADLINE_SECONDS = 6.0
ROUTE = Route(
    name="stories",
    host="desk.example",
    path_prefix="/stories/",
    services=(WeightedService(SERVICE, 1.0),),
    retry_policy=RetryPolicy.IDEMPOTENT,
    is_resumable=False,
    has_prompt=False,
    timeout=DEADLINE_SECONDS,
    event_patience=8.0,
    max_targets=3,
    priority=1,
    allows_anonymous=False,
)


class Sink(CallerSink):
    """A caller that records the result."""

    def __init__(self):
        self.refusal = None
        self.is_whole = False

    def begin(self, head):
        pass

    def write(self, data):
        pass

    def finish(self):
        self.is_whole = True

    def abort(self):
        pass

    def refuse(self, refusal, retry_after):
        self.refusal = refusal


class WorkingTarget:
    """A target and its requests in flight."""

    def __init__(self, name):
        self.name = name
        self.is_up = True
        # Whether it has ended without closing its connections.
        self.is_silent = False
        self.runs = {}


class VirtualRun(InFlightRequest):
    """A request at one target."""

    def __init__(self, fleet, router_began_at, sending, observer):
        self.fleet = fleet
        self.router_began_at = router_began_at
        self.sending = sending
        self.observer = observer
        self.is_over = False

    def begin(self):
        self.target = self.fleet.working[self.sending.target.name]
        if not self.target.is_up:
            wait = CONNECT_TIMEOUT_SECONDS if self.target.is_silent else LINK_SECONDS
            self.fleet.clock.callLater(wait, self._not_sent)
            return
        self.observer.request_sent()
        self.fleet.clock.callLater(LINK_SECONDS, self._arrive)

    def _not_sent(self):
        if not self.is_over:
            self.is_over = True
            self.observer.request_not_sent("refused")

    def _arrive(self):
        if not self.is_over:
            self.fleet.arrived(self)

    def done(self):
        if self.is_over:
            return
        self.is_over = True
        self.target.runs.pop(self, None)
        request = self.sending.request
        self.observer.response_head(
            AnswerHead(
                status=200,
                headers=(),
                request_id=request.request_id,
                has_receipt=True,
                is_not_run=False,
                is_other_incarnation=False,
                load=None,
                length=4,
            )
        )
        self.observer.response_data(b"done")
        self.observer.response_done()

    def cut(self):
        if not self.is_over:
            self.is_over = True
            self.observer.response_lost("connection closed")

    def cancel(self):
        self.is_over = True
        if hasattr(self, "target"):
            self.target.runs.pop(self, None)

    def pause(self):
        pass

    def resume(self):
        pass


class VirtualCaller(TargetClient):
    """Sends requests of one router to the fleet's targets."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._router_began_at = fleet.clock.seconds()

    def send(self, sending, observer):
        run = self._fleet.run_class(
            self._fleet, self._router_began_at, sending, observer
        )
        run.begin()
        return run

    def check(self, target, on_check):
        is_silent = self._fleet.working[target.name].is_silent
        wait = CONNECT_TIMEOUT_SECONDS if is_silent else 2 * LINK_SECONDS
        self._fleet.clock.callLater(wait, self._checked, target, on_check)

    def _checked(self, target, on_check):
        checked = self._fleet.working[target.name]
        if checked.is_silent:
            on_check(ProbeResult.UNKNOWN)
        else:
            on_check(ProbeResult.CONNECTED if checked.is_up else ProbeResult.ENDED)

    def abort_former(self, present):
        pass


class HarmRouter(FleetRouter):
    """A router with all parts that decide about its requests."""

    def _build_state_exchange(self, incarnation):
        self.events = self.fleet.events
        log = SimpleNamespace(
            emit=lambda event, **details: self.events.append(
                (self.name, event, details)
            )
        )
        self.requests = HarmfulRequests(self.fleet.harm_settings)
        self.harm_exchange = HarmReportExchange(self.requests, log)
        self._watch_parts = SimpleNamespace(
            reactor=self.fleet.clock, log=log, metrics=EntryMetrics()
        )
        return StateExchange(
            self.name,
            incarnation,
            self.targets,
            self.parts,
            self.freshness,
            self.domain,
            self.fleet.settings,
            self.harm_exchange,
        )

    def begin(self, incarnation):
        super().begin(incarnation)
        caller = VirtualCaller(self.fleet)
        self.harm = EntryHarmMonitor(
            self.requests,
            self.harm_exchange,
            self.targets,
            caller,
            self._watch_parts,
            self.exchange.send_soon,
        )
        self.budget = None
        self.tools = ForwardingContext(
            settings=ForwardingSettings(),
            clock=self.fleet.clock,
            rng=self.fleet.rng,
            client=caller,
            chooser=self.chooser,
            parts=self.parts,
            states_of=self.targets.of_service,
            budget_of=self._budget_of,
            parts_changed=lambda: None,
            harm=self.harm,
        )

    def _budget_of(self, service):
        if self.budget is None:
            limits = SharedRetryLimits(0.2, 10.0, 60.0)
            now = self.fleet.clock.seconds()
            self.budget = retry_budget(limits, len(self.fleet.routers), now)
        return self.budget


class HarmFleet(Fleet):
    """Routers, targets that may end, and callers.

    Parameters
    ----------
    routers, targets : int
        Number of routers and of targets.
    rate : float
        Harmless requests per second; a share of them has one of three common
        contents.
    seed : int
        Seed of all random choices.
    """

    router_class = HarmRouter
    run_class = VirtualRun

    def __init__(self, routers, targets, rate, seed, settings=None, domains=4):
        self.harm_settings = HarmSettings()
        self.events = []
        self.working = {}
        self.ids = 0
        self.ends = {}
        self.arrivals = {}
        self.outcomes = Counter()
        self.popular_share = 0.1
        self.refused_harmless = 0
        self.harmless = 0
        # Whether harmful requests are answered completely before their target ends.
        self.answers_first = False
        super().__init__(routers, targets, domains, rate, seed, settings=settings)

    def add_target(self, name, number, delay=lambda: 0.0):
        self.working[name] = WorkingTarget(name)
        self.next_number = number + 1
        super().add_target(name, number, delay)

    def begin(self):
        """Start harmless requests, once targets are listed."""
        self.run(1.0)
        self._send_harmless()

    def _send_harmless(self):
        self.clock.callLater(self.rng.expovariate(self.rate), self._send_harmless)
        self.harmless += 1
        if self.rng.random() < self.popular_share:
            body = b"popular %d" % self.rng.randrange(3)
        else:
            body = b"%d" % self.rng.getrandbits(60)
        organisation = f"org-{self.rng.randrange(20)}"
        self.ask(body, organisation, self._harmless_ended)

    def _harmless_ended(self, call, outcome, attempt=1):
        self.outcomes[outcome] += 1
        if outcome == "refused: held_back":
            self.refused_harmless += 1
        elif outcome != "answered" and attempt == 1:
            # The caller retries once, as a new request.
            request = call.request
            self.clock.callLater(
                self.rng.uniform(0.1, 0.5),
                self.ask,
                request.body,
                request.organisation,
                lambda *ended: self._harmless_ended(*ended, attempt=2),
            )

    def send_harmful_repeatedly(self, body, rate, organisation="org-0"):
        """Send a harmful request repeatedly from now on."""
        self.clock.callLater(
            self.rng.expovariate(rate),
            self.send_harmful_repeatedly,
            body,
            rate,
            organisation,
        )
        self.ask(HARMFUL + body, organisation, lambda *_: None)

    def ask(self, body, organisation, ended):
        """Send a request to a random running router."""
        router = self.rng.choice([each for each in self.routers if each.is_up])
        now = self.clock.seconds()
        self.ids += 1
        request = IncomingRequest(
            request_id=f"r{self.ids}",
            method=b"POST",
            path=b"/stories/x",
            headers=(),
            body=body,
            route=ROUTE,
            service=SERVICE,
            organisation=organisation,
            priority=1,
            prompt=None,
            last_event=None,
            received_at=now,
            deadline=now + DEADLINE_SECONDS,
            version=1,
        )
        ForwardedCall(request, Sink(), router.tools, ended).start(now)

    def arrived(self, run):
        """Start a request at its target."""
        target = run.target
        if not target.is_up:
            run.cut()
            return
        target.runs[run] = None
        body = run.sending.request.body
        if body.startswith(HARMFUL):
            arrival = (self.clock.seconds(), run.router_began_at)
            self.arrivals.setdefault(body, []).append(arrival)
            delay = self.rng.uniform(*ENDS_AFTER)
            if self.answers_first:
                run.done()
                delay = self.rng.uniform(*ENDS_AFTER_ANSWER)
            self.clock.callLater(delay, self.end_target, target, body)
        else:
            self.clock.callLater(self.rng.expovariate(1 / WORK_SECONDS), run.done)

    def end_target(self, target, body=b""):
        """End a target together with all its requests in flight."""
        if not target.is_up:
            return
        target.is_up = False
        on_board, target.runs = list(target.runs), {}
        for harmful in {run.sending.request.body for run in on_board} | {body}:
            if harmful.startswith(HARMFUL):
                self.ends.setdefault(harmful, []).append(self.clock.seconds())
        for run in on_board:
            self.clock.callLater(LINK_SECONDS, run.cut)
        self.clock.callLater(ENTRY_REMOVAL_SECONDS, self._remove_entry, target.name)
        self.clock.callLater(self.rng.uniform(*START_SECONDS), self._start_another)

    def _remove_entry(self, name):
        for router in self.routers:
            self._delist(router, name)

    def _start_another(self):
        self.add_target(f"target-{self.next_number}", self.next_number)

    def arrivals_after(self, body, ends, seconds):
        """Return how often a harmful request arrived after some ends and seconds.

        Only arrivals from routers that have run for that many seconds count, because
        a router that has just started is still receiving the reports.
        """
        times = self.ends.get(HARMFUL + body, [])
        if len(times) < ends:
            return 0
        known_at = times[ends - 1] + seconds
        return sum(
            at > known_at and at - router_began_at > seconds
            for at, router_began_at in self.arrivals[HARMFUL + body]
        )
