"""Fake callers and targets for forwarded calls, and builders of requests."""

from __future__ import annotations

import random
from dataclasses import replace

from twisted.internet.task import Clock

from primrosescale.connection.endpoint import Endpoint
from primrosescale.request.attempt.forwarded_call import ForwardedCall
from primrosescale.request.attempt.forwarding_context import ForwardingContext
from primrosescale.request.attempt.forwarding_context import ForwardingSettings
from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
from primrosescale.request.attempt.forwarding_interfaces import CallerSink
from primrosescale.request.attempt.forwarding_interfaces import InFlightRequest
from primrosescale.request.attempt.forwarding_interfaces import TargetClient
from primrosescale.request.attempt.retry_share import SharedRetryLimits
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.choice.target_choice import ChoiceSettings
from primrosescale.request.choice.target_choice import TargetChooser
from primrosescale.request.incoming_request import IncomingRequest
from primrosescale.request.incoming_request import Prompt
from primrosescale.request.incoming_request import PromptPart
from primrosescale.request.target.serving_target import ServingTarget
from primrosescale.request.target.target_incarnation import TargetIncarnation
from primrosescale.request.target.target_state import TargetState
from primrosescale.version.routing_table import RetryPolicy
from primrosescale.version.routing_table import Route
from primrosescale.version.routing_table import WeightedService
from support.retry_fleet import retry_budget

START = 1000.0

STREAM = Route(
    name="stories",
    host="desk.example",
    path_prefix="/stories/",
    services=(WeightedService("model", 1.0),),
    retry_policy=RetryPolicy.STREAM,
    is_resumable=True,
    has_prompt=True,
    timeout=12.0,
    event_patience=6.4,
    max_targets=2,
    priority=1,
    allows_anonymous=False,
)
LOOKUP = replace(
    STREAM,
    name="lookup",
    path_prefix="/lookup/",
    services=(WeightedService("portal", 1.0),),
    retry_policy=RetryPolicy.IDEMPOTENT,
    is_resumable=False,
    has_prompt=False,
    timeout=0.8,
    event_patience=2.0,
)
CONFIRMATION = replace(
    LOOKUP,
    name="confirmation",
    path_prefix="/confirm/",
    retry_policy=RetryPolicy.ONCE,
    max_targets=1,
)
FRAGILE_STREAM = replace(STREAM, name="drafts", is_resumable=False, max_targets=1)


def make_incarnation(name, started_at=None):
    return TargetIncarnation(name, started_at)


def target(name, service="model", **fields):
    number = int("".join(filter(str.isdigit, name)) or 1)
    values = {
        "name": name,
        "endpoint": Endpoint("127.0.0.1", 9000 + number),
        "service": service,
        "domain": "a",
        "slots": 8,
    }
    return ServingTarget(**{**values, **fields})


def prompt(*parts, output=100):
    prompt_parts = tuple(PromptPart(name, tokens) for name, tokens in parts)
    return Prompt(prompt_parts, sum(tokens for _, tokens in parts), output, "m")


def request(route=LOOKUP, now=START, **fields):
    values = {
        "request_id": "r1",
        "method": b"GET",
        "path": route.path_prefix.encode(),
        "headers": (),
        "body": b"",
        "route": route,
        "service": route.services[0].service,
        "organisation": "bakery",
        "priority": route.priority,
        "prompt": prompt(("shared", 500), ("own", 20)) if route.has_prompt else None,
        "last_event": None,
        "received_at": now,
        "deadline": now + 1.5,
        "version": 1,
    }
    return IncomingRequest(**{**values, **fields})


def head(status=200, **fields):
    values = {
        "status": status,
        "headers": (),
        "request_id": "r1",
        "has_receipt": True,
        "is_not_run": False,
        "is_other_incarnation": False,
        "load": None,
        "length": None,
    }
    return AnswerHead(**{**values, **fields})


def event(number):
    return b"id: %d\ndata: x\n\n" % number


def learn(harness, route, seconds):
    """Let answers of a route usually begin and end after a time."""
    for _ in range(40):
        harness.tools.usual_times.began(route.name, seconds)
        harness.tools.usual_times.ended(route.name, seconds)


class FakeRun(InFlightRequest):
    def __init__(self, sending, observer):
        self.sending = sending
        self.observer = observer
        self.is_cancelled = False
        self.is_paused = False
        self.is_opening = False

    @property
    def name(self):
        return self.sending.target.name

    def cancel(self):
        self.is_cancelled = True

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False

    def answer(self, status=200, body=b"", **fields):
        self.observer.response_head(head(status, **fields))
        if body:
            self.observer.response_data(body)
        self.observer.response_done()


class FakeCaller(TargetClient):
    """Records what is sent.

    Targets named in `unreachable` refuse connections at once; connections to those in
    `opening` are never established.
    """

    def __init__(self):
        self.runs = []
        self.checks = []
        self.unreachable = set()
        self.opening = set()

    def send(self, sending, observer):
        run = FakeRun(sending, observer)
        self.runs.append(run)
        if sending.target.name in self.unreachable:
            observer.request_not_sent("refused")
        elif sending.target.name in self.opening:
            run.is_opening = True
        else:
            observer.request_sent()
        return run

    def check(self, target, on_check):
        self.checks.append((target, on_check))

    def abort_former(self, present):
        """End runs as the transport does, with the same details."""
        for run in list(self.runs):
            former = run.sending.target.incarnation
            if former.name != present.name or not former.is_followed_by(present):
                continue
            if run.is_opening:
                run.observer.request_not_sent("target started again")
            else:
                run.observer.response_lost("target started again")

    @property
    def last(self):
        return self.runs[-1]


class FakeSink(CallerSink):
    def __init__(self):
        self.head = None
        self.body = b""
        self.is_finished = False
        self.is_broken = False
        self.refusal = None
        self.retry_after = None

    def begin(self, head):
        self.head = head

    def write(self, data):
        self.body += data

    def finish(self):
        self.is_finished = True

    def abort(self):
        self.is_broken = True

    def refuse(self, refusal, retry_after):
        self.refusal = refusal
        self.retry_after = retry_after


class ForwardingHarness:
    """A router's forwarding objects with fakes around them, on a virtual clock."""

    def __init__(self, targets, *, extra=40.0, choice=None):
        self.clock = Clock()
        self.clock.advance(START)
        rng = random.Random(7)
        self.states = [TargetState(item, START) for item in targets]
        self.parts = PrefixCacheIndex()
        self.caller = FakeCaller()
        self.budget = retry_budget(SharedRetryLimits(0.2, 10.0, extra), 1, START)
        self.parts_reports = 0
        self.ended = []
        self.silences = []
        self.tools = ForwardingContext(
            settings=ForwardingSettings(),
            clock=self.clock,
            rng=rng,
            client=self.caller,
            chooser=TargetChooser(choice or ChoiceSettings(), self.parts, rng),
            parts=self.parts,
            states_of=lambda service: [
                state for state in self.states if state.target.service == service
            ],
            budget_of=lambda _: self.budget,
            parts_changed=self._parts_changed,
            silence_judged=lambda _, silence: self.silences.append(silence),
        )

    def _parts_changed(self):
        self.parts_reports += 1

    def state(self, name):
        return next(s for s in self.states if s.target.name == name)

    def restart(self, name, started_at, **fields):
        """Handle the restart of a target as the router does."""
        index = self.states.index(self.state(name))
        former = self.states[index].target
        present = replace(former, started_at=started_at, is_draining=False, **fields)
        self.states[index] = TargetState(present, self.clock.seconds())
        self.parts.forget_target(former.incarnation)
        self.caller.abort_former(present.incarnation)

    def call(self, incoming):
        sink = FakeSink()
        call = ForwardedCall(
            incoming, sink, self.tools, lambda _, outcome: self.ended.append(outcome)
        )
        call.start(self.clock.seconds())
        return call, sink

    def pass_time(self, seconds, step=0.01):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)
