"""What happened in a test, and the checker of what must always hold."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass
class CallRecord:
    """One caller's request and everything known of it."""

    name: str
    key: str
    is_idempotent: bool
    submitted_at: float
    deadline: float
    ends: list = field(default_factory=list)
    body: bytes = b""
    outcome: str = ""
    has_cut: bool = False
    ended_at: float | None = None
    caller_gone: bool = False
    text: str = ""
    router: object = None

    @property
    def right_body(self):
        return expected_body(self.text or self.name)


@dataclass
class Run:
    """One time a target was handed a request."""

    target: str
    agent_incarnation: int
    call: str
    key: str
    at: float


@dataclass
class Admission:
    """One call that an agent took."""

    agent: str
    agent_incarnation: int
    at: float
    load: int
    cap: float
    call: str


class History:
    """Everything the checker needs."""

    def __init__(self):
        self.calls = {}
        self.runs = []
        self.admissions = []
        self.leaving = {}
        self.planned = []
        self.versions = {}

    def submit(self, story):
        self.calls[story.name] = story

    def run(self, run):
        self.runs.append(run)

    def admit(self, admission):
        self.admissions.append(admission)

    def leave(self, agent, incarnation, at):
        self.leaving[agent, incarnation] = at

    def plan_stop(self, names):
        self.planned.extend(names)

    def adopt(self, process, incarnation, version):
        self.versions.setdefault((process, incarnation), []).append(version)


def expected_body(name):
    """Return the only right answer to a call."""
    return (f"answer to {name};" * 40).encode()


class Checker:
    """Checks a history against the brief's invariants."""

    def __init__(self, history):
        self.history = history

    def faults(self):
        found = []
        for check in (
            self._one_end,
            self._whole_and_own,
            self._not_run_is_true,
            self._at_most_once,
            self._none_after_leaving,
            self._bound,
            self._planned_stop,
            self._versions,
        ):
            found.extend(check())
        return found

    def _one_end(self):
        for call in self.history.calls.values():
            if call.caller_gone:
                continue
            if len(call.ends) != 1:
                yield f"end: {call.name} ended {len(call.ends)} times: {call.ends}"
            elif call.ended_at > call.deadline + 1.0:
                late = call.ended_at - call.deadline
                yield f"end: {call.name} ended {late:.2f} s late"

    def _whole_and_own(self):
        for call in self.history.calls.values():
            if call.outcome == "whole" and call.body != call.right_body:
                yield f"whole: {call.name} got {call.body[:60]!r}"

    def _not_run_is_true(self):
        for call in self.history.calls.values():
            if call.outcome == "not run":
                runs = [r for r in self.history.runs if r.call == call.name]
                if runs:
                    yield f"not run: {call.name} ran on {runs[0].target}"

    def _at_most_once(self):
        counts = {}
        for run in self.history.runs:
            if run.key:
                counts.setdefault(run.key, []).append(run)
        for key, runs in counts.items():
            if len(runs) > 1:
                yield f"once: {key} ran {len(runs)} times"
        for call in self.history.calls.values():
            runs = [r for r in self.history.runs if r.call == call.name]
            if not call.is_idempotent and len(runs) > 1:
                yield f"once: {call.name} ran {len(runs)} times"

    def _none_after_leaving(self):
        for item in self.history.admissions:
            left = self.history.leaving.get((item.agent, item.agent_incarnation))
            if left is not None and item.at > left:
                yield f"leaving: {item.agent} took {item.call} after it left"

    def _bound(self):
        for item in self.history.admissions:
            if item.load > item.cap + 1e-6:
                yield f"bound: {item.agent} at {item.load} over {item.cap}"

    def _planned_stop(self):
        for name in self.history.planned:
            call = self.history.calls[name]
            if call.outcome != "whole" and not call.caller_gone:
                yield f"stop: {name} was cut by a planned stop: {call.ends}"

    def _versions(self):
        for (process, _), versions in self.history.versions.items():
            if versions != sorted(versions):
                yield f"version: {process} went back: {versions}"
