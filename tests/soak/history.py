"""What happened in a soak, as callers, targets and the operator saw it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from math import inf

ANSWERED = "answered"
CUT = "cut"
LEFT = "left"
# Time without trouble after which a router counts as calm, in seconds.
SETTLE_SECONDS = 3.0


@dataclass
class CallerRequest:
    """One attempt of a caller, with a name of its own."""

    name: str
    kind: str
    path: str
    service: str
    key: str
    router: str
    process_number: int
    sent_at: float
    deadline: float
    version: int = 0
    ended_at: float | None = None
    outcome: str = ""
    status: int = 0
    body: bytes = b""
    echoed: str = ""
    # Whether no engine can hold a part of its prompt.
    is_new_chat: bool = True
    # Target and life that signed the answer.
    signed: str = ""
    # When the head of an answer came that says that its target leaves.
    leaving_reported_at: float | None = None

    @property
    def may_retry(self):
        return self.kind in {"plain", "story", "probe"}


@dataclass
class Delivery:
    """An arrival at a target; `has_run` tells whether it began to work."""

    name: str
    target: str
    service: str
    at: float
    has_run: bool
    load: int = 0
    mean: float = 0.0
    # Start of the life of the target that it reached.
    start: int = 0
    domain: str = ""
    # Whether it was meant for a former target at the address, which says so.
    is_misdirected: bool = False


@dataclass
class Disturbance:
    """A fault or planned work, and whom it touches."""

    kind: str
    scope: str
    began: float
    ended: float | None = None
    is_planned: bool = False


@dataclass
class Version:
    """A version of the configuration that the store has acknowledged."""

    number: int
    acked_at: float
    keys: tuple[str, ...]


@dataclass
class Entry:
    """A target's entry as it stands in the store for a time."""

    target: str
    service: str
    start: int
    at: float
    until: float = inf
    domain: str = ""

    @property
    def scopes(self):
        """Return whose troubles touch it: its target's and its failure domain's."""
        return {self.target, f"domain {self.domain}"}


@dataclass
class Evacuation:
    """A time in which targets of a failure domain should get no requests."""

    domain: str
    at: float
    until: float = inf


@dataclass
class ColdPeriod:
    """A time in which a life of a target was cold."""

    target: str
    start: int
    at: float
    until: float


@dataclass
class Silence:
    """A time in which a target sent nothing to anyone and lost nothing."""

    target: str
    began: float
    ended: float
    # Whether no other target of its service was there.
    is_alone: bool = True


@dataclass
class PauseRequest:
    """That a target turned a request away and asked its router for a rest."""

    target: str
    start: int
    # The request that was turned away.
    name: str
    at: float
    seconds: float


@dataclass
class HarmfulContent:
    """What became of the requests for one content that ends targets."""

    # Routers that requests were sent to, by the requests' names.
    routers: dict[str, str] = field(default_factory=dict)
    # Names and times of those that came to a target.
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    ends: list[float] = field(default_factory=list)


@dataclass
class History:
    """Everything the checks need."""

    sent_requests: dict[str, CallerRequest] = field(default_factory=dict)
    ran: list[Delivery] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    versions: list[Version] = field(default_factory=list)
    # By name and start.
    draining: dict[tuple[str, int], float] = field(default_factory=dict)
    # When lives ended whose target started again under its name.
    ended: dict[tuple[str, int], float] = field(default_factory=dict)
    listed: list[Entry] = field(default_factory=list)
    # Entries of other writers; the target is what they name.
    foreign_entries: list[Entry] = field(default_factory=list)
    evacuations: list[Evacuation] = field(default_factory=list)
    cold: list[ColdPeriod] = field(default_factory=list)
    silences: list[Silence] = field(default_factory=list)
    pause_requests: list[PauseRequest] = field(default_factory=list)
    # By content.
    harmful_contents: dict[bytes, HarmfulContent] = field(default_factory=dict)
    unexpected_exits: list[str] = field(default_factory=list)
    planned_stops: list[tuple[str, int, float]] = field(default_factory=list)
    last_disturbance_ended: float | None = None

    def is_undisturbed(self, began, ended, scopes):
        """Tell whether no trouble touched any of the scopes, or just before."""
        return not any(
            disturbance.scope in scopes
            and disturbance.began <= ended
            and (
                disturbance.ended is None or disturbance.ended + SETTLE_SECONDS >= began
            )
            for disturbance in self.disturbances
        )

    def undisturbed_since(self, began, until, scopes):
        """Return from when on no trouble touched any of the scopes."""
        ends = (
            inf if disturbance.ended is None else disturbance.ended + SETTLE_SECONDS
            for disturbance in self.disturbances
            if disturbance.scope in scopes and disturbance.began < until
        )
        return max([began, *ends])

    def runs_by_request(self):
        """Return the runs of each request, by its name."""
        found = {}
        for run in self.ran:
            if run.has_run:
                found.setdefault(run.name, []).append(run)
        return found
