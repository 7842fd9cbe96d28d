"""Simulation of entry routers and targets that end under one part of a prompt.

Requests whose prompts have a harmful part in common differ in everything else: body,
last part and some of the other parts. Harmless requests of the same organisation share
these other parts. A target ends as soon as it begins to write an answer on a prompt
with the harmful part.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace

from primrosescale.request.attempt.forwarded_call import ForwardedCall
from primrosescale.request.attempt.forwarding_interfaces import AnswerHead
from primrosescale.request.incoming_request import IncomingRequest
from primrosescale.request.incoming_request import Prompt
from primrosescale.request.incoming_request import PromptPart
from primrosescale.version.routing_table import RetryPolicy
from support import harm_fleet
from support.harm_fleet import DEADLINE_SECONDS
from support.harm_fleet import ENTRY_REMOVAL_SECONDS
from support.harm_fleet import HarmFleet
from support.harm_fleet import Sink
from support.harm_fleet import VirtualRun
from support.router_fleet import LINK_SECONDS
from support.router_fleet import SERVICE

# Minimum and maximum time until a target begins to write an answer, and from then until
# it ends under a harmful part.
BEGINS_AFTER = (0.02, 0.2)
ENDS_AFTER_BEGINNING = (0.0, 0.06)
# Time between the events of an answer, and their minimum and maximum number.
EVENT_GAP_SECONDS = 0.1
EVENTS = (1, 20)
ORGANISATIONS = 8
# Time until another target starts in place of a silent one.
SILENT_START_SECONDS = 5.0
# Time for which routers remember a target without an entry.
RETENTION_SECONDS = 2.5
# Part that the prompts of all organisations begin with.
COMMON_PART = "common"
ROUTE = replace(
    harm_fleet.ROUTE,
    retry_policy=RetryPolicy.STREAM,
    is_resumable=True,
    has_prompt=True,
    event_patience=8.0,
)


@dataclass(frozen=True, slots=True)
class WayToEnd:
    """How the end of a target looks under a harmful part.

    Parameters
    ----------
    events : int
        Events of the answer that it still writes.
    is_whole : bool
        Whether its answer is complete then.
    after : tuple[float, float]
        Minimum and maximum time from the last event to the end.
    is_silent : bool
        Whether it falls silent rather than close its connections.
    leaves_after : float | None
        Time after which the caller leaves; None for never.
    """

    events: int = 0
    is_whole: bool = False
    after: tuple[float, float] = ENDS_AFTER_BEGINNING
    is_silent: bool = False
    leaves_after: float | None = None


class BeginningSink(Sink):
    """A caller that records whether its answer began."""

    def __init__(self):
        super().__init__()
        self.has_begun = False

    def write(self, data):
        self.has_begun = True


class PromptRun(VirtualRun):
    """A request at a target that writes its answer event by event."""

    def start(self, is_harmful):
        rng = self.fleet.rng
        self.left = rng.randint(*EVENTS)
        self.number = self.sending.resume_after or 0
        self.fleet.clock.callLater(rng.uniform(*BEGINS_AFTER), self._begin, is_harmful)

    @property
    def is_running(self):
        return not self.is_over and self in self.target.runs

    def _begin(self, is_harmful):
        if not self.is_running:
            return
        head = AnswerHead(
            status=200,
            headers=(),
            request_id=self.sending.request.request_id,
            has_receipt=True,
            is_not_run=False,
            is_other_incarnation=False,
            load=None,
            length=None,
        )
        self.observer.response_head(head)
        if is_harmful:
            self._write_harmful(self.fleet.draw_way())
        else:
            self._write()

    def _write_harmful(self, way):
        for _ in range(way.events):
            self.number += 1
            self.observer.response_data(b"id: %d\ndata: x\n\n" % self.number)
        target = self.target
        if way.is_whole:
            self.is_over = True
            target.runs.pop(self, None)
            self.observer.response_done()
        delay = self.fleet.rng.uniform(*way.after)
        end = self.fleet.silence_target if way.is_silent else self.fleet.end_target
        self.fleet.clock.callLater(delay, end, target, self.fleet.harmful_parts(self))

    def _write(self):
        if not self.is_running:
            return
        self.number += 1
        self.left -= 1
        self.observer.response_data(b"id: %d\ndata: x\n\n" % self.number)
        if self.left > 0:
            self.fleet.clock.callLater(EVENT_GAP_SECONDS, self._write)
            return
        self.is_over = True
        self.target.runs.pop(self, None)
        self.observer.response_done()


class PromptHarmFleet(HarmFleet):
    """Routers, targets, callers, and prompts with parts in common.

    Parameters
    ----------
    routers, targets : int
        Number of routers and of targets.
    rate : float
        Harmless requests per second.
    seed : int
        Seed of all random choices.
    """

    run_class = PromptRun

    def __init__(self, routers, targets, rate, seed, settings=None):
        # When targets ended under each harmful part, and when requests with it arrived.
        self.part_ends = {}
        self.part_arrivals = {}
        self.harmful = {}
        # Harmless requests: when they came, their organisation, and whether the
        # answer began at the caller's first attempt.
        self.asked = []
        self.way = WayToEnd()
        self.draw_way = lambda: self.way
        # Share of the harmless requests that are the first organisation's.
        self.first_share = 0.4
        super().__init__(routers, targets, rate, seed, settings=settings)

    def parts(self, organisation):
        """Return parts that a harmless prompt of an organisation may have."""
        topic = self.rng.randrange(3)
        chat = self.rng.randrange(6)
        count = self.rng.randint(2, 4)
        names = (
            COMMON_PART,
            f"desk-{organisation}",
            f"topic-{organisation}-{topic}",
            f"chat-{organisation}-{chat}",
        )
        return names[:count]

    def _send_harmless(self):
        self.clock.callLater(self.rng.expovariate(self.rate), self._send_harmless)
        number = 0
        if self.rng.random() >= self.first_share:
            number = self.rng.randrange(1, ORGANISATIONS)
        organisation = f"org-{number}"
        sink = BeginningSink()
        now = self.clock.seconds()
        self.asked.append((now, organisation, sink))
        self.ask_prompt(self.parts(organisation), organisation, sink)

    def send_harmful_part_repeatedly(
        self, part, rate, place, organisations=("org-0",), bare=False
    ):
        """Send unlike requests with a harmful part from now on.

        Parameters
        ----------
        part : str
            Name of the part.
        rate : float
            Requests per second.
        place : int
            Its place among the shared parts; -1 for the last of them.
        organisations : tuple[str, ...]
            The callers.
        bare : bool
            Whether the prompts have no other shared part that varies.
        """
        self.harmful[part] = self.part_ends.setdefault(part, [])
        self.clock.callLater(
            self.rng.expovariate(rate),
            self.send_harmful_part_repeatedly,
            part,
            rate,
            place,
            organisations,
            bare,
        )
        organisation = self.rng.choice(organisations)
        names = list(self.parts(organisation))
        if bare:
            names = names[:2]
        names.insert(len(names) if place < 0 else min(place, len(names)), part)
        call = self.ask_prompt(names, organisation, BeginningSink())
        if self.way.leaves_after is not None:
            self.clock.callLater(self.way.leaves_after, call.caller_gone)

    def ask_prompt(self, names, organisation, sink):
        """Send a request to a random running router."""
        router = self.rng.choice([each for each in self.routers if each.is_up])
        now = self.clock.seconds()
        self.ids += 1
        parts = [PromptPart(name, 400) for name in names]
        parts.append(PromptPart(f"own-{self.ids}", 50))
        request = IncomingRequest(
            request_id=f"r{self.ids}",
            method=b"POST",
            path=b"/stories/x",
            headers=(),
            body=b"%d" % self.rng.getrandbits(60),
            route=ROUTE,
            service=SERVICE,
            organisation=organisation,
            priority=1,
            prompt=Prompt(tuple(parts), 400 * len(names) + 50, 100, "m"),
            last_event=None,
            received_at=now,
            deadline=now + DEADLINE_SECONDS,
            version=1,
        )
        call = ForwardedCall(request, sink, router.tools, self._ended)
        call.start(now)
        return call

    def _ended(self, call, outcome):
        self.outcomes[outcome] += 1

    def harmful_parts(self, run):
        """Return the harmful parts of a run's prompt."""
        shared = run.sending.request.prompt.shared
        return [part.name for part in shared if part.name in self.harmful]

    def arrived(self, run):
        if not run.target.is_up:
            if not run.target.is_silent:
                run.cut()
            return
        run.target.runs[run] = None
        harmful = self.harmful_parts(run)
        for part in harmful:
            arrival = (self.clock.seconds(), run.router_began_at)
            self.part_arrivals.setdefault(part, []).append(arrival)
        run.start(bool(harmful))

    def end_target(self, target, parts=()):
        if target.is_up:
            self._record_end(target, parts)
        super().end_target(target)

    def silence_target(self, target, parts=()):
        """Let a target fall silent; its connections stay open, new ones hang."""
        if not target.is_up:
            return
        self._record_end(target, parts)
        target.is_up = False
        target.is_silent = True
        target.runs = {}
        self.clock.callLater(ENTRY_REMOVAL_SECONDS, self._remove_entry, target.name)
        self.clock.callLater(SILENT_START_SECONDS, self._start_another)

    def _delist(self, router, name):
        """Remove an entry, and forget the target where it has not returned."""
        targets = router.targets
        targets.remove(name, self.clock.seconds())
        self.clock.callLater(RETENTION_SECONDS, self._forget, router, targets)

    def _forget(self, router, targets):
        now = self.clock.seconds()
        for incarnation in targets.forget_expired(now):
            if router.is_up and router.targets is targets:
                router.parts.forget_target(incarnation)
                router.harm.target_ended(incarnation, "entry gone", now)

    def _record_end(self, target, parts):
        on_board = [part for run in target.runs for part in self.harmful_parts(run)]
        for part in {*parts, *on_board}:
            self.part_ends[part].append(self.clock.seconds())

    def part_arrivals_after(self, part, ends, seconds):
        """Return how often a part arrived after some ends and seconds.

        Routers that have run for fewer seconds do not count.
        """
        times = self.part_ends[part]
        if len(times) < ends:
            return 0
        known_at = times[ends - 1] + seconds + LINK_SECONDS
        return sum(
            at > known_at and at - router_began_at > seconds
            for at, router_began_at in self.part_arrivals[part]
        )

    def begun_share(self, since, until, organisation=None):
        """Return the share of harmless requests whose answer began."""
        begun = [
            sink.has_begun
            for at, caller, sink in self.asked
            if since <= at < until and organisation in {None, caller}
        ]
        return sum(begun) / max(1, len(begun))
