"""Exchanges reports on targets that ended while they ran requests.

Each report is sent several times, since a datagram may be lost. Besides, the ends
because of which requests are held back are sent again and again, a few at a time. So a
router that starts, or that could not be reached for a while, holds back the same
requests within seconds.
"""

from __future__ import annotations

from collections import deque
from functools import reduce
from operator import xor
from typing import TYPE_CHECKING
from typing import Any

from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.known_answers import KnownAnswers
from primrosescale.process.entry.load_codec import MILLISECONDS_PER_SECOND
from primrosescale.process.events import Event
from primrosescale.request.answer.lost_answers import MAX_BUFFERED_SECONDS
from primrosescale.request.harm.content_fingerprint import fingerprint_text
from primrosescale.request.harm.harm_reports import CompleteAnswer
from primrosescale.request.harm.harm_reports import HarmReport
from primrosescale.request.harm.harm_reports import PartsAnswered
from primrosescale.request.harm.harm_reports import SuspectTrial
from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.harmful_parts import MAX_REPORTED_PARTS

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Mapping

    from primrosescale.request.harm.harmful_requests import HarmfulRequests
    from primrosescale.request.target.target_state import TargetState

# How often each report is sent. One datagram in a thousand is lost, and three in a
# hundred on a bad link.
SENDS_PER_REPORT = 3
# Reports that wait to be sent; the oldest are dropped.
MAX_PENDING_REPORTS = 512
# Reports in one message, at 20 bytes each. Those with parts of prompts, of which each
# takes 10 bytes more, count several times.
MAX_REPORTS_PER_MESSAGE = 12
PARTS_PER_REPORT = 2
MAX_HELD_PER_MESSAGE = 8
# Seconds between two messages with ends for which requests are held back.
HELD_INTERVAL_SECONDS = 1.0
# A single end is voided by the next answer all the time, which is not logged.
MIN_LOGGED_VOIDED_ENDS = 2
# Logged as the source of what was read from the store.
STORE = "store"


class _PendingReport:
    """A report, and how often it is still to be sent."""

    __slots__ = ("item", "times_left")

    def __init__(self, item: HarmReport) -> None:
        self.item = item
        self.times_left = SENDS_PER_REPORT


class HarmReportExchange:
    """Sends reports on ends of targets to other routers and applies theirs.

    Parameters
    ----------
    requests : HarmfulRequests
        Decides from all reports which requests are held back.
    log : Any
        Log for events.
    """

    def __init__(self, requests: HarmfulRequests, log: Any) -> None:
        self._requests = requests
        self._log = log
        self._pending: deque[_PendingReport] = deque(maxlen=MAX_PENDING_REPORTS)
        self._held_sent_at = 0.0
        self._held_queue: deque[TargetEnd] = deque()
        self._known_held: set[int] = set()
        self._known_held_parts: set[int] = set()
        self._known_answers = KnownAnswers(requests.parts)
        self._changes = 0
        # Called for each end that another router reported.
        self.on_end: Callable[[TargetEnd, float], None] = lambda *_: None

    @property
    def changes(self) -> int:
        """Return a number that grows with the reports that were new here."""
        return self._changes

    @property
    def is_urgent(self) -> bool:
        """Return whether there is a report that has not been sent yet."""
        return bool(self._pending) and self._pending[0].times_left == SENDS_PER_REPORT

    def record(self, item: HarmReport, now: float) -> bool:
        """Record what this router has observed, and queue it for other routers.

        Parameters
        ----------
        item : HarmReport
            The observation.
        now : float
            Present time in seconds.

        Returns
        -------
        bool
            Whether it was new.
        """
        if not self._apply(item, "", now):
            return False
        # Reports that were never sent go first.
        self._pending.appendleft(_PendingReport(item))
        if isinstance(item, TargetEnd):
            self._queue_known_answer(item)
        return True

    def _queue_known_answer(self, end: TargetEnd) -> None:
        """Queue the last complete answer to the request; peers may not know of it."""
        self._known_answers.ended(end)
        answer = self._requests.last_answer(end.fingerprint)
        is_queued = any(each.item == answer for each in self._pending)
        if answer is not None and not is_queued:
            self._pending.appendleft(_PendingReport(answer))

    def reports_to_send(self, now: float) -> list[wire.EndNews]:
        """Return the reports to send in the next message.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.EndNews]
            At most `MAX_REPORTS_PER_MESSAGE`; successive calls return each report
            several times.
        """
        for answered in self._known_answers.take():
            self._pending.appendleft(_PendingReport(answered))
        sent = self._take_pending()
        for each in sent:
            each.times_left -= 1
            if each.times_left:
                self._pending.append(each)
        return [_end_report(each.item, now) for each in sent]

    def _take_pending(self) -> list[_PendingReport]:
        """Remove as many reports as fit into a message; at least one, if any."""
        taken: list[_PendingReport] = []
        size = 0
        while self._pending:
            size += _report_size(self._pending[0].item)
            if taken and size > MAX_REPORTS_PER_MESSAGE:
                break
            taken.append(self._pending.popleft())
        return taken

    def held_reports_to_send(self, now: float) -> list[wire.EndNews]:
        """Return some of the ends for which requests are held back here.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[wire.EndNews]
            The next few of all in turn; none if the last call that returned some was
            less than a second ago.
        """
        if now - self._held_sent_at < HELD_INTERVAL_SECONDS:
            return []
        self._held_sent_at = now
        held = self._requests.held(now)
        self._known_held.intersection_update(held)
        held_parts = self._requests.parts.held(now)
        self._known_held_parts.intersection_update(held_parts)
        if not self._held_queue:
            self._held_queue.extend(self.held_ends(now))
        count = min(MAX_HELD_PER_MESSAGE, len(self._held_queue))
        return [_end_report(self._held_queue.popleft(), now) for _ in range(count)]

    def held_ends(self, now: float) -> list[TargetEnd]:
        """Return the ends because of which requests are held back here.

        Parameters
        ----------
        now : float
            Present time in seconds.

        Returns
        -------
        list[TargetEnd]
            As many as any other router requires to hold the same requests back.
        """
        requests = self._requests
        ends: list[TargetEnd] = []
        for fingerprint in requests.held(now):
            ends += requests.sufficient_ends(fingerprint)
        for part in requests.parts.held(now):
            ends += requests.parts.sufficient_ends(part)
        return ends

    def restore(self, ends: Iterable[TargetEnd], now: float) -> None:
        """Count ends that a former process of this router has kept.

        Parameters
        ----------
        ends : Iterable[TargetEnd]
            The ends.
        now : float
            Present time in seconds.
        """
        for end in ends:
            if end.is_late:
                self._requests.parts.judge_late_ends()
            self._apply(end, STORE, now)

    def receive(
        self, message: wire.RouterNews, states: Mapping[int, TargetState], now: float
    ) -> None:
        """Apply the reports of another router.

        Parameters
        ----------
        message : wire.RouterNews
            Its update.
        states : Mapping[int, TargetState]
            States of targets by key.
        now : float
            Present time in seconds.
        """
        if any(report.is_late for report in message.held or ()):
            self._requests.parts.judge_late_ends()
        for report in self._reports_in(message):
            at = now - max(0, report.age_ms) / MILLISECONDS_PER_SECOND
            parts = tuple((report.parts or ())[:MAX_REPORTED_PARTS])
            if report.target is None:
                self._apply(_report_without_end(report, parts, at), message.origin, now)
                continue
            state = states.get(report.target)
            if state is not None and state.last_received_at > at + MAX_BUFFERED_SECONDS:
                # The target was only cut off from the reporting router and has not
                # ended.
                continue
            end = TargetEnd(
                report.fingerprint,
                report.target,
                at,
                bool(report.was_answered),
                parts,
                bool(report.is_late),
            )
            # A late end that is void here is new to whoever reported it.
            if self._apply(end, message.origin, now) or end.is_late:
                self._queue_known_answer(end)
                self.on_end(end, now)

    def _reports_in(self, message: wire.RouterNews) -> Iterable[wire.EndNews]:
        yield from message.ends or ()
        yield from message.held or ()

    def _apply(self, item: HarmReport, told_by: str, now: float) -> bool:
        is_new = self._apply_by_kind(item, told_by, now)
        self._changes += is_new
        return is_new

    def _apply_by_kind(self, item: HarmReport, told_by: str, now: float) -> bool:
        if isinstance(item, SuspectTrial):
            is_new = self._requests.record_trial(item)
            return self._requests.parts.record_trial(item, now) or is_new
        if isinstance(item, PartsAnswered):
            self._known_answers.answered(item)
            return self._apply_to_parts(item, told_by, now)
        is_new = False
        if isinstance(item, CompleteAnswer):
            is_new = self._requests.record_answer(item)
        elif not item.is_late:
            is_new = self._requests.record_end(item)
        if is_new:
            self._log_hold_change(item.fingerprint, told_by, now)
        if isinstance(item, TargetEnd) and item.parts:
            is_new |= self._apply_to_parts(item, told_by, now)
        return is_new

    def _apply_to_parts(
        self, item: TargetEnd | PartsAnswered, told_by: str, now: float
    ) -> bool:
        parts = self._requests.parts
        if isinstance(item, TargetEnd):
            is_new = parts.record_end(item)
        else:
            ends = [parts.ends_under(part) for part in item.parts]
            is_new = parts.record_answer(item)
            if is_new:
                self._log_voided_ends(item, ends, told_by)
        if is_new:
            for part in item.parts:
                self._log_part_hold_change(part, told_by, now)
        return is_new

    def _log_voided_ends(
        self, answered: PartsAnswered, ends: list[int], told_by: str
    ) -> None:
        """Log which parts lost several ends, of those that they had before."""
        for part, count in zip(answered.parts, ends, strict=True):
            voided = count - self._requests.parts.ends_under(part)
            if voided >= MIN_LOGGED_VOIDED_ENDS:
                self._log.emit(
                    Event.PART_ENDS_VOIDED,
                    fingerprint=fingerprint_text(part),
                    ends=voided,
                    told_by=told_by,
                )

    def _log_part_hold_change(self, part: int, told_by: str, now: float) -> None:
        """Log that requests with a part are held back from now on, or no more."""
        parts = self._requests.parts
        is_held = parts.is_held(part, now)
        if is_held == (part in self._known_held_parts):
            return
        self._known_held_parts ^= {part}
        self._log.emit(
            Event.PART_HELD_BACK if is_held else Event.PART_CLEARED,
            fingerprint=fingerprint_text(part),
            ends=parts.ends_under(part),
            tied_with=parts.tied_with(part),
            told_by=told_by,
        )

    def _log_hold_change(self, fingerprint: int, told_by: str, now: float) -> None:
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


def _end_report(item: HarmReport, now: float) -> wire.EndNews:
    age = max(0, round((now - item.at) * MILLISECONDS_PER_SECOND))
    if isinstance(item, CompleteAnswer):
        return wire.EndNews(item.fingerprint, age)
    parts = list(item.parts[:MAX_REPORTED_PARTS])
    if isinstance(item, TargetEnd):
        return wire.EndNews(
            item.fingerprint,
            age,
            item.target,
            was_answered=item.was_answered or None,
            parts=parts or None,
            is_late=item.is_late or None,
        )
    if isinstance(item, SuspectTrial):
        return wire.EndNews(item.fingerprint, age, is_try=True, parts=parts or None)
    # Relays recognise the same report by this number.
    is_lasting = item.is_lasting or None
    return wire.EndNews(reduce(xor, parts), age, parts=parts, is_lasting=is_lasting)


def _report_without_end(
    report: wire.EndNews, parts: tuple[int, ...], at: float
) -> HarmReport:
    if report.is_try:
        return SuspectTrial(report.fingerprint, at, parts)
    if parts:
        return PartsAnswered(parts, at, bool(report.is_lasting))
    return CompleteAnswer(report.fingerprint, at)


def _report_size(item: HarmReport) -> int:
    """Return how many reports without parts a report is as large as."""
    parts = () if isinstance(item, CompleteAnswer) else item.parts
    return 1 + len(parts[:MAX_REPORTED_PARTS]) // PARTS_PER_REPORT
