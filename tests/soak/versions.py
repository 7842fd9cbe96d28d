"""Targets of two software versions, and callers that take their streams up again."""

from __future__ import annotations

import random

from twisted.internet.defer import inlineCallbacks

from soak.callers import Caller
from soak.history import ANSWERED
from soak.history import EVENT

VERSIONS = ("1.4", "1.5")
CALLERS = 12
# As `REQUEST_KINDS` of the other callers.
STREAM_KINDS = {"story": ("POST", "model", 1, 6.0)}
FIRST_NUMBER = 1000
# Attempts of one stream, the first included.
MAX_ATTEMPTS = 3
OK = 200
# Of this many streams or more that are taken up, at least half as large a share as of
# new streams has to begin, where two targets of their version serve.
MIN_RESUMED = 12
MIN_SHARE_OF_NEW = 0.5
# Time after which all routers know an entry.
LISTED_SECONDS = 1.0


class ResumingCaller(Caller):
    """Leaves many streams before their end, and takes them up at any router."""

    kinds = STREAM_KINDS
    early_abort_share = 0.5

    @inlineCallbacks
    def _send_request(self, refused=None):
        self._first_attempt, self._last_event = "", 0
        for _ in range(MAX_ATTEMPTS):
            self._request = None
            yield super()._send_request()
            request = self._request
            if request is None or request.status != OK or request.outcome == ANSWERED:
                return
            events = EVENT.findall(request.body)
            if events:
                self._first_attempt = self._first_attempt or request.name
                self._last_event = int(events[-1][0])
            if not self._first_attempt:
                return

    def _draw_request(self, refused):
        request, method = super()._draw_request(refused)
        request.first_attempt = self._first_attempt
        request.last_event = self._last_event
        request.leaves_early = True
        self._request = request
        return request, method


def apply(backends, seed, fleet, history):
    """Give the model engines versions, and return the callers."""
    engines = [item for item in backends.targets if item.service == "model"]
    for n, target in enumerate(engines):
        rng = random.Random(f"versions {seed} {n}")
        # A target that replaces another, perhaps at its address, may have either.
        target.draw_version = lambda rng=rng: rng.choice(VERSIONS)
        target.set_version(VERSIONS[n % len(VERSIONS)])
        backends.list(target)
    return [
        ResumingCaller(
            FIRST_NUMBER + n,
            random.Random(f"streams {seed} {n}"),
            fleet,
            history,
            backends.operator,
        )
        for n in range(CALLERS)
    ]


def _versions_of(request):
    """Return the versions that sent the events which the caller received."""
    return {
        version.decode() for _, _, version in EVENT.findall(request.body) if version
    }


def streams_keep_their_version(history):
    """All events of a stream come from one version, over all of its attempts."""
    streams = {}
    for request in history.sent_requests.values():
        first = request.first_attempt or request.name
        streams.setdefault(first, []).append(request)
    for first, requests in streams.items():
        versions = set().union(*map(_versions_of, requests))
        if len(versions) > 1:
            names = [request.name for request in requests]
            yield f"{first} has events of {sorted(versions)}; attempts {names}"


def resumed_streams_begin(history):
    """Streams that are taken up go on where two targets of their version serve."""
    resumed, new = _judged(history)
    if len(resumed) < MIN_RESUMED or not new:
        return
    share = _served_share(resumed)
    if share < MIN_SHARE_OF_NEW * _served_share(new):
        refused = [item.name for item in resumed if item.status != OK]
        yield f"{share:.2f} of {len(resumed)} resumed streams began; {refused[:20]}"


def count_resumed(history):
    """Return the numbers of resumed and of new streams that are judged."""
    resumed, new = _judged(history)
    return len(resumed), len(new)


def _judged(history):
    """Return the resumed and the new streams at routers without a disturbance."""
    resumed, new = [], []
    for request in history.sent_requests.values():
        if request.kind != "story" or not request.status:
            continue
        scopes = {request.router, "store", f"store of {request.router}"}
        until = request.ended_at or request.sent_at
        if not history.is_undisturbed(request.sent_at, until, scopes):
            continue
        if not request.first_attempt:
            new.append(request)
        elif _two_serve(history, request, until):
            resumed.append(request)
    return resumed, new


def _two_serve(history, request, until):
    first = history.sent_requests[request.first_attempt]
    serving = [
        entry
        for entry in history.listed
        if {entry.software_version} == _versions_of(first)
        and entry.at + LISTED_SECONDS <= request.sent_at
        and until <= entry.until
        and history.is_undisturbed(request.sent_at, until, entry.scopes)
    ]
    return len({entry.target for entry in serving}) >= len(VERSIONS)


def _served_share(requests):
    return sum(request.status == OK for request in requests) / len(requests)
