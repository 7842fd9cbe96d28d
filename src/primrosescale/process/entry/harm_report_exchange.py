"""What routers tell each other of targets that ended with requests on board.

Each end is told some times over, since a datagram may be lost. The ends for which
requests are held back are told again and again, a few at a time, so that a router
that starts, or that others could not reach for a while, holds the same ones back
within seconds.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.process.events import Event
from primrosescale.request.content_fingerprint import fingerprint_text
from primrosescale.request.harm_reports import CompleteAnswer
from primrosescale.request.harm_reports import HarmReport
from primrosescale.request.harm_reports import SuspectTrial
from primrosescale.request.harm_reports import TargetEnd
from primrosescale.request.lost_answers import MAX_BUFFERED_SECONDS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primrosescale.request.harmful_requests import HarmfulRequests
    from primrosescale.request.target_state import TargetState

# How often each end is told. One datagram in a thousand is lost, and three in a
# hundred on a bad link.
SENDS_PER_REPORT = 3
# Ends that wait to be told; the oldest make room.
MOST_WAITING = 512
# Ends in one message, at 20 bytes each.
MAX_REPORTS_PER_MESSAGE = 12
MAX_HELD_PER_MESSAGE = 8
# Seconds between two messages with ends for which requests are held back.
HELD_INTERVAL_SECONDS = 1.0


class _Waiting:
    """What is to be told."""

    __slots__ = ("item", "times_left")

    def __init__(self, item: HarmReport) -> None:
        self.item = item
        self.times_left = SENDS_PER_REPORT


class HarmReportExchange:
    """Tells other routers of ends of targets and takes in theirs.

    Parameters
    ----------
    requests : HarmfulRequests
        What all reports amount to.
    log : Any
        Where events are told.
    """

    def __init__(self, requests: HarmfulRequests, log: Any) -> None:
        self._requests = requests
        self._log = log
        self._waiting: deque[_Waiting] = deque(maxlen=MOST_WAITING)
        self._held_at = 0.0
        self._held_queue: deque[TargetEnd] = deque()
        self._known_held: set[int] = set()
        # Told of each end that another router saw.
        self.on_end: Callable[[TargetEnd, float], None] = lambda *_: None

    @property
    def is_urgent(self) -> bool:
        """Tell whether there is something that no router was told of yet."""
        return bool(self._waiting) and self._waiting[0].times_left == SENDS_PER_REPORT

    def record(self, item: HarmReport, now: float) -> bool:
        """Take in what this router has seen, and tell the others of it.

        Parameters
        ----------
        item : HarmReport
            What it has seen.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether it changed anything.
        """
        if not self._take(item, "", now):
            return False
        # What was never told goes first.
        self._waiting.appendleft(_Waiting(item))
        if isinstance(item, TargetEnd):
            self._vouch(item)
        return True

    def _vouch(self, end: TargetEnd) -> None:
        """Tell of a whole answer that only this router may know of."""
        answer = self._requests.last_answer(end.fingerprint)
        is_told = any(each.item == answer for each in self._waiting)
        if answer is not None and not is_told:
            self._waiting.appendleft(_Waiting(answer))

    def ends(self, now: float) -> list[wire.EndNews]:
        """Return what is to be told in the next message.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.EndNews]
            A few of all; each comes some times.
        """
        count = min(MAX_REPORTS_PER_MESSAGE, len(self._waiting))
        told = [self._waiting.popleft() for _ in range(count)]
        for each in told:
            each.times_left -= 1
            if each.times_left:
                self._waiting.append(each)
        return [_end_news(each.item, now) for each in told]

    def held(self, now: float) -> list[wire.EndNews]:
        """Return some of the ends for which requests are held back here.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.EndNews]
            The next few of all in turn, once a second.
        """
        if now - self._held_at < HELD_INTERVAL_SECONDS:
            return []
        self._held_at = now
        held = self._requests.held(now)
        self._known_held.intersection_update(held)
        if not self._held_queue:
            for fingerprint in held:
                self._held_queue.extend(self._requests.sufficient_ends(fingerprint))
        count = min(MAX_HELD_PER_MESSAGE, len(self._held_queue))
        return [_end_news(self._held_queue.popleft(), now) for _ in range(count)]

    def receive(
        self, message: wire.RouterNews, states: Mapping[int, TargetState], now: float
    ) -> None:
        """Take in what another router tells.

        Parameters
        ----------
        message : wire.RouterNews
            Its news.
        states : Mapping[int, TargetState]
            What is known of targets, by their short names.
        now : float
            Present time in seconds.
        """
        for told in self._readable(message):
            at = now - max(0, told.age_ms) / MILLISECONDS_PER_SECOND
            if told.target is None:
                kind = SuspectTrial if told.is_try else CompleteAnswer
                self._take(kind(told.fingerprint, at), message.origin, now)
                continue
            state = states.get(told.target)
            if state is not None and state.last_received_at > at + MAX_BUFFERED_SECONDS:
                # It was cut off from the router that tells, and has not ended.
                continue
            was_answered = bool(told.was_answered)
            end = TargetEnd(told.fingerprint, told.target, at, was_answered)
            if self._take(end, message.origin, now):
                self._vouch(end)
                self.on_end(end, now)

    def _readable(self, message: wire.RouterNews) -> Iterable[wire.EndNews]:
        yield from message.ends or ()
        yield from message.held or ()

    def _take(self, item: HarmReport, told_by: str, now: float) -> bool:
        if isinstance(item, SuspectTrial):
            return self._requests.record_trial(item)
        if isinstance(item, TargetEnd):
            is_worth_sharing = self._requests.record_end(item)
        else:
            is_worth_sharing = self._requests.record_answer(item)
        if is_worth_sharing:
            self._note_verdict(item.fingerprint, told_by, now)
        return is_worth_sharing

    def _note_verdict(self, fingerprint: int, told_by: str, now: float) -> None:
        """Log that a request is held back from now on, or no more."""
        seconds = self._requests.held_for(fingerprint, now)
        if bool(seconds) == (fingerprint in self._known_held):
            return
        event = Event.REQUEST_HELD_BACK if seconds else Event.REQUEST_CLEARED
        self._known_held ^= {fingerprint}
        self._log.emit(
            event,
            fingerprint=fingerprint_text(fingerprint),
            ends=self._requests.ends_under(fingerprint),
            seconds=round(seconds, 1),
            told_by=told_by,
        )


def _end_news(item: HarmReport, now: float) -> wire.EndNews:
    age = max(0, round((now - item.at) * MILLISECONDS_PER_SECOND))
    if isinstance(item, TargetEnd):
        was_answered = item.was_answered or None
        return wire.EndNews(
            item.fingerprint, age, item.target, was_answered=was_answered
        )
    is_try = isinstance(item, SuspectTrial) or None
    return wire.EndNews(item.fingerprint, age, is_try=is_try)
