"""Reports about prompt parts: from forwarded calls to the monitor and other routers."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace

from testtools import TestCase
from twisted.internet.task import Clock

from entry.fakes import FRAGILE_STREAM
from entry.fakes import LOOKUP
from entry.fakes import START
from entry.fakes import STREAM
from entry.fakes import FakeCaller
from entry.fakes import ForwardingHarness
from entry.fakes import event
from entry.fakes import head
from entry.fakes import prompt
from entry.fakes import request
from entry.fakes import target
from entry.test_entry_harm_monitor import Log
from entry.test_entry_harm_monitor import StubHarmMonitor
from primrosescale.connection.wire import ttypes as wire
from primrosescale.process.entry.entry_harm_monitor import CONFIRMATION_INTERVAL_SECONDS
from primrosescale.process.entry.entry_harm_monitor import PROBE_DELAY_SECONDS
from primrosescale.process.entry.entry_harm_monitor import EntryHarmMonitor
from primrosescale.process.entry.entry_metrics import EntryMetrics
from primrosescale.process.entry.harm_gauges import harm_gauges
from primrosescale.process.entry.harm_report_exchange import HELD_INTERVAL_SECONDS
from primrosescale.process.entry.harm_report_exchange import MAX_REPORTS_PER_MESSAGE
from primrosescale.process.entry.harm_report_exchange import HarmReportExchange
from primrosescale.process.entry.known_answers import MAX_KNOWN_ANSWERS
from primrosescale.process.entry.known_answers import KnownAnswers
from primrosescale.process.entry.late_end_monitor import EXPOSURE_CHECK_SECONDS
from primrosescale.process.entry.state_relay import _deduplication_key
from primrosescale.process.entry.target_keys import target_key
from primrosescale.process.entry.target_list import TargetList
from primrosescale.process.events import Event
from primrosescale.request.answer.unconfirmed_answers import CONFIRMATION_SECONDS
from primrosescale.request.attempt.forwarding_interfaces import ProbeResult
from primrosescale.request.harm.answer_beginning import BEGINNING_SECONDS
from primrosescale.request.harm.answer_beginning import LASTING_SECONDS
from primrosescale.request.harm.harm_reports import PartsAnswered
from primrosescale.request.harm.harm_reports import SuspectTrial
from primrosescale.request.harm.harm_reports import TargetEnd
from primrosescale.request.harm.harm_settings import HarmSettings
from primrosescale.request.harm.harmful_parts import MAX_REPORTED_PARTS
from primrosescale.request.harm.harmful_requests import HarmfulRequests
from primrosescale.request.harm.part_evidence import ANSWER_VALID_SECONDS

ENDS = HarmSettings().part_ends
TARGETS = tuple(f"t{number}" for number in range(1, 12))


class FakeAttempt:
    """An attempt at a target, as the monitor sees it."""

    def __init__(self, state):
        self.state = state
        self.incarnation = state.incarnation
        self.answer_began_at = self.last_received_at = self.ended_at = None
        self.is_complete = self.is_without_answer = False

    def receive(self, now):
        """Receive bytes of the answer."""
        if self.answer_began_at is None:
            self.answer_began_at = now
        self.last_received_at = now
        self.state.bytes_received(now)

    def complete(self, now, *, is_success=True):
        """Receive the whole answer."""
        self.receive(now)
        self.ended_at = now
        self.is_complete = True
        self.is_without_answer = not is_success


class ReportsOfCallsTest(TestCase):
    """What a forwarded call reports about the beginning of its answers."""

    def setUp(self):
        super().setUp()
        self.harness = ForwardingHarness([target("t1"), target("p1", "portal")])
        self.watch = self.harness.tools.harm = StubHarmMonitor()

    def begin(self, status=200, route=FRAGILE_STREAM):
        self.harness.call(request(route, deadline=START + 9))
        self.run = self.harness.caller.last
        self.run.observer.response_head(head(status))

    def write(self, *seconds):
        for number, pause in enumerate(seconds, 1):
            self.harness.clock.advance(pause)
            self.run.observer.response_data(event(number))

    def test_an_answer_that_outlives_its_beginning_is_reported_once(self):
        self.begin()
        self.write(0.2, BEGINNING_SECONDS / 2)
        self.assertEqual([], self.watch.continued)
        self.write(BEGINNING_SECONDS / 2, 0.1, BEGINNING_SECONDS)
        self.assertEqual([("r1", START + 0.2)], self.watch.continued)

    def test_an_error_that_takes_long_is_no_answer_to_the_prompt(self):
        for status, count in ((200, 1), (400, 0)):
            self.begin(status, replace(LOOKUP, timeout=9.0))
            self.write(0.1, BEGINNING_SECONDS + 0.1)
            self.assertEqual(count, len(self.watch.continued))
            self.watch.continued.clear()

    def test_a_lost_answer_is_reported_with_its_beginning(self):
        self.begin()
        self.run.observer.response_lost("closed")
        self.assertIsNone(self.watch.began_at)
        self.begin()
        self.write(0.3, 0.1)
        self.run.observer.response_lost("closed")
        self.assertEqual(START + 0.3, self.watch.began_at)

    def test_an_attempt_tells_how_far_its_answer_has_come(self):
        self.begin()
        [attempt] = self.watch.attempts
        self.assertEqual((None, None), (attempt.last_received_at, attempt.ended_at))
        self.write(0.2, 0.3)
        self.assertEqual(START + 0.2, attempt.answer_began_at)
        self.assertEqual(START + 0.5, attempt.last_received_at)
        self.assertFalse(attempt.is_complete)
        self.run.observer.response_done()
        self.assertEqual(START + 0.5, attempt.ended_at)
        self.assertTrue(attempt.is_complete)
        self.assertFalse(attempt.is_without_answer)

    def test_an_attempt_that_was_declined_or_failed_is_without_answer(self):
        for fields in ({"status": 503, "is_not_run": True}, {"status": 500}):
            self.harness.call(request(LOOKUP))
            self.harness.caller.last.observer.response_head(head(**fields))
            self.assertTrue(self.watch.attempts[-1].is_without_answer)

    # What is read after a pause may have been sent before it.
    def test_a_pause_of_the_caller_is_no_part_of_the_answer(self):
        call, _ = self.harness.call(request(FRAGILE_STREAM, deadline=START + 9))
        self.run = self.harness.caller.last
        self.run.observer.response_head(head())
        self.write(0.2)
        call.pause()
        self.harness.clock.advance(5)
        call.resume()
        self.write(0.1)
        self.assertEqual([], self.watch.continued)
        self.assertEqual(START + 5.2, self.watch.attempts[-1].answer_began_at)

    def test_a_client_error_is_reported_as_no_success(self):
        for status in (200, 404):
            self.begin(status, LOOKUP)
            self.write(0.1)
            self.run.observer.response_done()
            self.assertEqual(status == 200, self.watch.is_success)
            self.assertEqual(self.harness.clock.seconds(), self.watch.began_at)


class MonitoredPartsTest(TestCase):
    """What the monitor of one router concludes from its own calls."""

    def setUp(self):
        super().setUp()
        self.clock = Clock()
        self.clock.advance(START)
        self.log = Log()
        self.requests = HarmfulRequests(HarmSettings())
        self.parts = self.requests.parts
        self.exchange = HarmReportExchange(self.requests, self.log)
        self.targets = TargetList(2.0)
        for name in TARGETS:
            self.targets.put(target(name), START)
        self.caller = FakeCaller()
        self.sent_soon = 0
        self.watch = EntryHarmMonitor(
            self.requests,
            self.exchange,
            self.targets,
            self.caller,
            SimpleNamespace(reactor=self.clock, log=self.log, metrics=EntryMetrics()),
            self._send_soon,
            lambda: self.is_list_old,
        )
        self.is_list_old = False
        self.asked = 0

    def _send_soon(self):
        self.sent_soon += 1

    def request(self, *names, **fields):
        """Return a request unlike all others but for the parts of its prompt."""
        self.asked += 1
        named = [(name, 100) for name in (*names, f"own-{self.asked}")]
        return request(STREAM, body=b"%d" % self.asked, prompt=prompt(*named), **fields)

    def part(self, name):
        return self.request(name).part_fingerprints[0]

    def expose(self, name, *names):
        """Send a prompt with some parts to a target; return the attempt."""
        attempt = FakeAttempt(self.targets.state(name))
        self.watch.sent(self.request(*names), attempt, self.clock.seconds())
        return attempt

    def end(self, name, incoming, began_before=None):
        """End a target under a request, some seconds after its answer began."""
        now = self.clock.seconds()
        began_at = None if began_before is None else now - began_before
        state = self.targets.state(name)
        self.watch.answer_lost(incoming, state, now, began_at)
        self.clock.advance(PROBE_DELAY_SECONDS)
        self.caller.checks[-1][1](ProbeResult.ENDED)

    def end_several(self, count, *names, began_before=None):
        for name in TARGETS[:count]:
            self.end(name, self.request(*names), began_before)

    def held_for(self, *names, **fields):
        incoming = self.request(*names, **fields)
        return self.watch.held_for(incoming, self.clock.seconds())

    def test_unlike_requests_with_the_same_part_are_held_back(self):
        self.end_several(ENDS - 1, "bad")
        self.assertEqual(0, self.held_for("bad"))
        self.end(TARGETS[ENDS], self.request("bad"), 0.1)
        self.assertLess(0, self.held_for("bad"))
        self.assertLess(0, self.held_for("a", "bad", "b"))
        self.assertEqual(0, self.held_for("a", "b"))
        self.assertEqual(0, self.held_for("bad", organisation="mill"))

    def test_an_answer_that_had_gone_on_for_long_does_not_count(self):
        self.end_several(ENDS + 1, "bad", began_before=BEGINNING_SECONDS)
        self.assertEqual(0, self.held_for("bad"))

    def test_the_last_part_belongs_to_the_request_alone(self):
        for name in TARGETS[: ENDS + 1]:
            incoming = request(STREAM, body=name.encode(), prompt=prompt(("chat", 100)))
            self.end(name, incoming)
        again = request(STREAM, body=b"x", prompt=prompt(("chat", 100)))
        self.assertEqual(0, self.watch.held_for(again, self.clock.seconds()))

    def test_an_answer_that_continues_clears_the_parts_of_its_prompt(self):
        self.end_several(ENDS, "a", "bad")
        self.assertLess(0, self.held_for("a", "bad"))
        now = self.clock.seconds()
        self.watch.answer_continues(self.request("a"), now - 1.0, now)
        self.assertLess(0, self.held_for("a", "bad"))
        self.assertEqual(0, self.held_for("a"))
        self.watch.answer_continues(self.request("bad"), now - 1.0, now)
        self.assertEqual(0, self.held_for("a", "bad"))

    def test_an_answer_clears_all_parts_of_a_long_prompt_elsewhere(self):
        chat = [f"p{number}" for number in range(3 * MAX_REPORTED_PARTS)]
        for name in (chat[0], chat[-1]):
            for target_name in TARGETS[: ENDS + 1]:
                self.end(target_name, self.request(name))
        other = HarmReportExchange(HarmfulRequests(HarmSettings()), self.log)
        now = self.clock.seconds()

        def pass_on():
            for _ in range(40):
                reports = self.exchange.reports_to_send(now)
                other.receive(wire.RouterNews(origin="a", ends=reports), {}, now)

        pass_on()
        self.assertEqual(2, len(other._requests.parts))
        self.watch.answer_continues(self.request(*chat), now, now)
        pass_on()
        self.assertEqual(0, len(other._requests.parts))

    def test_a_complete_answer_clears_them_once_its_target_survived(self):
        for is_success in (False, True):
            self.end_several(ENDS + 1, "bad")
            state = self.targets.state(TARGETS[-1])
            now = self.clock.seconds()
            self.watch.answered(self.request("bad"), state, now, is_success=is_success)
            self.assertLess(0, self.held_for("bad"))
            state.bytes_received(now + CONFIRMATION_SECONDS)
            self.clock.advance(2 * CONFIRMATION_INTERVAL_SECONDS)
            self.assertEqual(not is_success, bool(self.held_for("bad")))

    # The close of the connection ends an answer without a length, also if it is the
    # target's end.
    def test_an_answer_that_seems_complete_as_its_target_ends_counts(self):
        for began_before in (BEGINNING_SECONDS, 0.1):
            for name in TARGETS[: ENDS + 1]:
                now = self.clock.seconds()
                state = self.targets.state(name)
                incoming = self.request("bad")
                self.watch.answered(incoming, state, now, now - began_before)
                self.watch.target_ended(state.incarnation, "entry gone", now + 0.1)
            self.assertEqual(began_before == 0.1, bool(self.held_for("bad")))

    def end_late(self, count, *names, after, is_complete=True):
        """End targets some seconds after they began to answer."""
        self.parts.record_answer(PartsAnswered((1,), START, is_lasting=True))
        for name in TARGETS[:count]:
            attempt = self.expose(name, *names)
            if is_complete:
                attempt.complete(self.clock.seconds())
            else:
                attempt.ended_at = self.clock.seconds()
            self.clock.advance(after)
            self.watch.target_ended(
                attempt.incarnation, "refused", self.clock.seconds()
            )

    # Each answer was whole, and its target ended only then.
    def test_ends_some_time_after_a_whole_answer_count(self):
        self.end_late(ENDS - 1, "bad", after=1.0)
        self.assertEqual(0, self.held_for("bad"))
        self.end_late(ENDS, "bad", after=1.0)
        self.assertLess(0, self.held_for("bad"))
        self.assertEqual(0, self.held_for("a"))
        self.assertEqual({1}, {d["late"] for d in self.log.of(Event.TARGET_ENDED)})

    def test_they_do_not_count_against_the_request(self):
        incoming = self.request("bad")
        for name in TARGETS[: 2 * ENDS]:
            attempt = FakeAttempt(self.targets.state(name))
            self.watch.sent(incoming, attempt, self.clock.seconds())
            attempt.complete(self.clock.seconds())
            self.watch.target_ended(
                attempt.incarnation, "refused", self.clock.seconds()
            )
        self.assertEqual(0, self.requests.ends_under(incoming.fingerprint))
        # All are of one content, so that they do not count against its parts either.
        self.assertEqual(0, self.held_for("bad"))

    def test_ends_after_a_caller_has_left_count(self):
        self.end_late(ENDS, "bad", after=1.5, is_complete=False)
        self.assertLess(0, self.held_for("bad"))

    def test_ends_long_after_the_answer_do_not_count(self):
        for name in TARGETS[: ENDS + 1]:
            attempt = self.expose(name, "a")
            attempt.complete(self.clock.seconds())
            self.clock.advance(LASTING_SECONDS)
            # Something else is received from the target.
            attempt.state.bytes_received(self.clock.seconds())
            self.watch.target_ended(
                attempt.incarnation, "refused", self.clock.seconds()
            )
        self.assertEqual(0, self.held_for("a"))

    def test_declined_requests_do_not_count(self):
        for name in TARGETS[: ENDS + 1]:
            attempt = self.expose(name, "a")
            attempt.is_without_answer = True
            self.watch.target_ended(
                attempt.incarnation, "refused", self.clock.seconds()
            )
        self.assertEqual(0, self.held_for("a"))

    # A bad release ends targets soon after they have answered.
    def test_ends_after_whole_answers_do_not_count_against_a_proven_part(self):
        now = self.clock.seconds()
        self.watch.answer_continues(self.request("a"), now - 20, now - 10)
        self.end_late(len(TARGETS), "a", after=0.8)
        self.assertEqual(0, self.held_for("a"))

    def test_they_do_not_count_while_targets_end_often(self):
        for _ in range(40):
            self.requests.count_end(self.clock.seconds())
        self.end_late(ENDS + 1, "a", after=0.8)
        self.assertEqual(0, self.held_for("a"))

    def test_the_end_of_a_leaving_target_does_not_count(self):
        for name in TARGETS[: ENDS + 1]:
            self.targets.put(replace(target(name), is_draining=True), START)
        self.end_late(ENDS + 1, "a", after=0.8)
        self.assertEqual(0, self.held_for("a"))

    def test_it_does_not_if_the_target_begins_to_leave_only_then(self):
        for name in TARGETS[: ENDS + 1]:
            attempt = self.expose(name, "a")
            attempt.complete(self.clock.seconds())
            self.targets.put(replace(target(name), is_draining=True), START)
            self.clock.advance(0.5)
            self.watch.target_ended(
                attempt.incarnation, "entry gone", self.clock.seconds()
            )
        self.assertEqual(0, self.held_for("a"))

    # Entries may lapse while their targets go on.
    def test_a_target_without_an_entry_that_still_sends_has_not_ended(self):
        for name in TARGETS[: ENDS + 1]:
            attempt = self.expose(name, "a")
            attempt.receive(self.clock.seconds())
            self.targets.remove(name, self.clock.seconds())
            self.clock.advance(0.5)
            self.watch.target_ended(
                attempt.incarnation, "entry gone", self.clock.seconds()
            )
        self.assertEqual(0, self.held_for("a"))

    # Nothing is lost at a target that falls silent.
    def test_silent_targets_count_once_their_entries_are_gone(self):
        self.parts.record_answer(PartsAnswered((1,), START, is_lasting=True))
        for name in TARGETS[:ENDS]:
            self.expose(name, "bad")
        self.clock.advance(3)
        self.assertEqual(0, self.held_for("bad"))
        for name in TARGETS[:ENDS]:
            self.targets.remove(name, self.clock.seconds())
        self.clock.advance(EXPOSURE_CHECK_SECONDS)
        self.assertLess(0, self.held_for("bad"))

    def test_silent_targets_do_not_count_while_entries_may_have_lapsed(self):
        self.is_list_old = True
        for name in TARGETS[:ENDS]:
            self.expose(name, "a")
        self.clock.advance(3)
        for name in TARGETS[:ENDS]:
            self.targets.remove(name, self.clock.seconds())
        self.is_list_old = False
        self.clock.advance(2)
        self.assertEqual(0, self.held_for("a"))

    def test_a_target_without_an_entry_that_accepts_connections_is_not_silent(self):
        for name in TARGETS[:ENDS]:
            self.expose(name, "a").complete(self.clock.seconds())
        self.clock.advance(1)
        for name in TARGETS[:ENDS]:
            self.targets.remove(name, self.clock.seconds())
        self.clock.advance(EXPOSURE_CHECK_SECONDS)
        for _, on_check in self.caller.checks:
            on_check(ProbeResult.CONNECTED)
        self.assertEqual(0, self.held_for("a"))
        # It is probed once.
        self.clock.advance(EXPOSURE_CHECK_SECONDS)
        self.assertEqual(ENDS, len(self.caller.checks))

    def test_prompts_are_forgotten_once_an_end_would_be_known(self):
        answered = self.expose("t1", "a")
        answered.complete(self.clock.seconds())
        self.expose("t2", "a").ended_at = self.clock.seconds()
        declined = self.expose("t3", "a")
        declined.is_without_answer = True
        declined.ended_at = self.clock.seconds()
        for _ in range(60):
            self.clock.advance(EXPOSURE_CHECK_SECONDS)
        self.assertEqual([], self.clock.getDelayedCalls())
        # No end was told, so that the target has survived the part.
        self.assertEqual((), self.parts.unproven((self.part("a"),)))

    def test_a_survival_is_not_concluded_from_an_old_list(self):
        self.is_list_old = True
        self.expose("t1", "a").complete(self.clock.seconds())
        for _ in range(60):
            self.clock.advance(EXPOSURE_CHECK_SECONDS)
        self.assertEqual((self.part("a"),), self.parts.unproven((self.part("a"),)))

    def test_a_lasting_answer_clears_them(self):
        self.end_late(ENDS, "bad", after=1.0)
        now = self.clock.seconds()
        self.watch.answer_continues(self.request("bad"), now - 1.0, now)
        self.assertLess(0, self.held_for("bad"))
        self.watch.answer_continues(self.request("bad"), now - LASTING_SECONDS, now)
        self.assertEqual(0, self.held_for("bad"))

    def test_a_complete_answer_does_so_once_its_target_outlived_the_beginning(self):
        for is_success in (False, True):
            self.end_late(ENDS + 1, "bad", after=1.0)
            now = self.clock.seconds()
            attempt = self.expose(TARGETS[-1], "bad")
            attempt.complete(now, is_success=is_success)
            attempt.state.bytes_received(now + LASTING_SECONDS - 0.1)
            self.clock.advance(LASTING_SECONDS - 0.1)
            self.assertLess(0, self.held_for("bad"))
            attempt.state.bytes_received(now + LASTING_SECONDS)
            self.clock.advance(0.1 + EXPOSURE_CHECK_SECONDS)
            self.assertEqual(not is_success, bool(self.held_for("bad")))

    def test_a_target_that_still_runs_takes_its_ends_back(self):
        self.end_several(ENDS, "bad")
        self.assertLess(0, self.held_for("bad"))
        self.clock.advance(0.5)
        now = self.clock.seconds()
        self.watch.answer_began(self.targets.state(TARGETS[0]), now - 0.1, now)
        self.assertEqual(0, self.held_for("bad"))

    def test_settings_that_are_read_again_hold_for_parts_too(self):
        self.end_several(ENDS - 1, "bad")
        self.assertEqual(0, self.held_for("bad"))
        self.requests.configure(HarmSettings(part_ends=ENDS - 1))
        self.assertLess(0, self.held_for("bad"))

    def test_hold_and_release_are_logged_with_the_part(self):
        incoming = self.request("bad")
        self.end_several(ENDS, "bad")
        [held] = self.log.of(Event.PART_HELD_BACK)
        self.assertEqual((ENDS, 0, ""), tuple(held.values())[1:])
        now = self.clock.seconds()
        self.watch.answer_continues(incoming, now, now)
        [cleared] = self.log.of(Event.PART_CLEARED)
        self.assertEqual(held["fingerprint"], cleared["fingerprint"])

    def test_ends_are_logged_with_those_against_parts_and_those_voided(self):
        self.end_several(1, "bad")
        self.end(TARGETS[1], self.request("bad"), 3 * BEGINNING_SECONDS)
        counts = [line["against_parts"] for line in self.log.of(Event.TARGET_ENDED)]
        self.assertEqual([1, 0], counts)
        now = self.clock.seconds()
        self.watch.answer_continues(self.request("bad"), now, now)
        self.assertEqual([], self.log.of(Event.PART_ENDS_VOIDED))
        self.clock.advance(9)
        self.end_several(3, "bad")
        now = self.clock.seconds()
        self.watch.answer_continues(self.request("bad"), now, now)
        [voided] = self.log.of(Event.PART_ENDS_VOIDED)
        self.assertEqual((3, ""), (voided["ends"], voided["told_by"]))

    def test_gauges_count_what_is_held_back(self):
        self.end_several(ENDS + 1, "bad")
        self.end(TARGETS[-1], self.request("a"))
        gauges = harm_gauges(self.requests, self.clock.seconds())
        self.assertEqual((1, 2), (gauges["parts_held_back"], gauges["parts_suspected"]))
        self.assertEqual(0, gauges["requests_held_back"])
        self.assertEqual(ENDS + 2, gauges["requests_suspected"])

    def test_only_the_first_request_after_a_hold_is_sent(self):
        self.end_several(ENDS, "bad")
        self.clock.advance(HarmSettings().part_hold)
        self.assertEqual(0, self.held_for("bad"))
        self.expose("t1", "bad")
        self.assertLess(0, self.held_for("bad"))
        self.assertEqual(0, self.held_for("a"))


class ExchangedPartsTest(TestCase):
    """What routers tell each other."""

    def setUp(self):
        super().setUp()
        self.log = Log()
        self.routers = [self.new() for _ in range(3)]

    def new(self):
        return HarmReportExchange(HarmfulRequests(HarmSettings()), self.log)

    def pass_on(self, sender, receivers, now):
        """Deliver what a router sends until it has nothing new left."""
        for _ in range(20):
            reports = sender.reports_to_send(now)
            for receiver in receivers:
                receiver.receive(wire.RouterNews(origin="a", ends=reports), {}, now)

    def ends(self, count, *parts, at=START):
        return [TargetEnd(n, 100 + n, at, parts=parts) for n in range(count)]

    def held(self, exchange, now, *parts):
        return exchange._requests.parts.held_for(parts, now)

    def test_ends_reach_other_routers_with_their_parts(self):
        first, *others = self.routers
        for end in self.ends(ENDS, 5, 6):
            first.record(end, START)
        self.pass_on(first, others, START)
        for exchange in self.routers:
            self.assertLess(0, self.held(exchange, START, 5, 6))
            self.assertEqual(0, self.held(exchange, START, 5))

    def test_an_answer_reaches_them_too(self):
        first, second, _ = self.routers
        for end in self.ends(ENDS, 5):
            first.record(end, START)
        self.pass_on(first, [second], START)
        self.assertTrue(second.record(PartsAnswered((5,), START), START))
        self.pass_on(second, [first], START)
        self.assertEqual(0, self.held(first, START, 5))

    def test_a_trial_keeps_others_from_trying_too(self):
        first, second, _ = self.routers
        for end in self.ends(ENDS, 5):
            first.record(end, START)
        self.pass_on(first, [second], START)
        later = START + HarmSettings().part_hold
        self.assertEqual(0, self.held(second, later, 5))
        self.assertTrue(first.record(SuspectTrial(77, later, (5,)), later))
        self.pass_on(first, [second], later)
        self.assertLess(0, self.held(second, later, 5))

    def test_a_router_that_starts_again_hears_what_is_held_back(self):
        first, second, _ = self.routers
        for end in self.ends(ENDS, 5, 6):
            first.record(end, START)
        now = START
        for _ in range(3):
            now += HELD_INTERVAL_SECONDS
            held = first.held_reports_to_send(now)
            second.receive(wire.RouterNews(origin="a", held=held), {}, now)
        self.assertLess(0, self.held(second, now, 5, 6))
        self.assertEqual(0, self.held(second, now, 5))

    def test_messages_with_many_parts_are_no_longer_than_others(self):
        first = self.routers[0]
        for end in self.ends(20, *range(2 * MAX_REPORTED_PARTS)):
            first.record(end, START)
        [*reports] = first.reports_to_send(START)
        size = sum(1 + len(report.parts) // 2 for report in reports)
        self.assertLessEqual(size, MAX_REPORTS_PER_MESSAGE)
        self.assertTrue(reports)

    def test_at_most_a_number_of_parts_is_read(self):
        first = self.routers[0]
        parts = list(range(10 * MAX_REPORTED_PARTS))
        report = wire.EndNews(1, 0, 7, parts=parts)
        first.receive(wire.RouterNews(origin="a", ends=[report]), {}, START)
        self.assertEqual(MAX_REPORTED_PARTS, len(first._requests.parts))

    def test_a_report_without_parts_of_an_older_release_counts_as_before(self):
        first = self.routers[0]
        report = wire.EndNews(1, 0, 7)
        first.receive(wire.RouterNews(origin="a", ends=[report]), {}, START)
        self.assertEqual(1, first._requests.ends_under(1))
        self.assertEqual(0, len(first._requests.parts))

    def test_a_router_that_answered_the_part_voids_ends_elsewhere(self):
        first, second, third = self.routers
        second.record(PartsAnswered((5,), START - 1), START)
        for end in self.ends(ENDS, 5):
            first.record(end, START)
        self.assertLess(0, self.held(first, START, 5))
        self.pass_on(first, [second, third], START)
        self.assertEqual(0, self.held(second, START, 5))
        self.pass_on(second, [first, third], START)
        for exchange in self.routers:
            self.assertEqual(0, self.held(exchange, START, 5))

    def test_one_such_reply_suffices(self):
        _, second, third = self.routers
        for exchange in (second, third):
            exchange.record(PartsAnswered((5,), START), START)
        [end] = self.ends(1, 5)
        for exchange in (second, third):
            report = wire.EndNews(end.fingerprint, 0, end.target, parts=[5])
            exchange.receive(wire.RouterNews(origin="a", ends=[report]), {}, START)
        reply = second.reports_to_send(START)
        self.assertEqual([[5]], [each.parts for each in reply])
        third.receive(wire.RouterNews(origin="b", ends=reply), {}, START)
        self.assertEqual([], third.reports_to_send(START))

    def test_late_ends_reach_other_routers_as_such(self):
        first, second, _ = self.routers
        second.record(PartsAnswered((1,), START, is_lasting=True), START)
        for end in self.ends(ENDS, 5):
            first.record(replace(end, is_late=True), START)
        self.pass_on(first, [second], START)
        self.assertLess(0, self.held(second, START, 5))
        self.assertEqual(0, second._requests.ends_under(0))

    def test_a_router_whose_targets_survived_the_part_voids_late_ends(self):
        first, second, third = self.routers
        second.record(PartsAnswered((5,), START - 900, is_lasting=True), START)
        for end in self.ends(ENDS, 5):
            first.record(replace(end, is_late=True), START)
        self.pass_on(first, [second, third], START)
        self.pass_on(second, [first, third], START)
        for exchange in self.routers:
            self.assertEqual(0, self.held(exchange, START, 5))

    # A router that starts again has proven nothing itself.
    def test_a_router_that_starts_again_holds_back_what_others_do_by_late_ends(self):
        first, second, _ = self.routers
        first.record(PartsAnswered((1,), START, is_lasting=True), START)
        for end in self.ends(ENDS, 5):
            first.record(replace(end, is_late=True), START)
        self.pass_on(first, [second], START)
        self.assertEqual(0, self.held(second, START, 5))
        now = START + HELD_INTERVAL_SECONDS
        held = first.held_reports_to_send(now)
        second.receive(wire.RouterNews(origin="a", held=held), {}, now)
        self.assertLess(0, self.held(second, now, 5))

    # A part held back by early ends made others judge by late ends too soon.
    def test_no_late_ends_are_told_while_they_say_nothing(self):
        first = self.routers[0]
        for end in self.ends(ENDS, 5):
            first.record(end, START)
            first.record(replace(end, is_late=True), START)
        ends = first.held_ends(START)
        self.assertEqual([False] * ENDS, [end.is_late for end in ends])

    def test_so_does_one_that_reads_them_from_the_store(self):
        first, second, _ = self.routers
        first.record(PartsAnswered((1,), START, is_lasting=True), START)
        for end in self.ends(ENDS, 5):
            first.record(replace(end, is_late=True), START)
        second.restore(first.held_ends(START), START)
        self.assertLess(0, self.held(second, START, 5))

    # Routers of an older release do not say how long their targets lived.
    def test_an_answer_of_an_older_release_voids_nothing_of_an_unproven_part(self):
        first = self.routers[0]
        first.record(PartsAnswered((1,), START, is_lasting=True), START)
        for end in self.ends(ENDS, 5):
            first.record(replace(end, is_late=True), START)
        report = wire.EndNews(5, 0, parts=[5])
        first.receive(wire.RouterNews(origin="a", ends=[report]), {}, START)
        self.assertLess(0, self.held(first, START, 5))

    def test_relays_forward_an_answer_to_a_part_once_a_second(self):
        report = wire.EndNews(5, 0, parts=[5])
        keys = {_deduplication_key(report, START + n) for n in (0, 0.4, 1.0, 1.5)}
        self.assertEqual(2, len(keys))
        end = wire.EndNews(5, 0, 7, parts=[5])
        self.assertEqual(1, len({_deduplication_key(end, START + n) for n in (0, 3)}))


class KnownAnswersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.parts = HarmfulRequests(HarmSettings()).parts
        self.known = KnownAnswers(self.parts)

    def ended(self, at, *parts):
        self.known.ended(TargetEnd(1, 7, at, parts=parts))

    def test_a_part_that_was_answered_long_before_gets_no_reply(self):
        self.parts.record_answer(PartsAnswered((5,), START))
        self.ended(START + ANSWER_VALID_SECONDS + 0.1, 5, 6)
        self.assertEqual([], self.known.take())
        self.ended(START + ANSWER_VALID_SECONDS, 5, 6)
        self.assertEqual([PartsAnswered((5,), START)], self.known.take())
        self.assertEqual([], self.known.take())

    def test_any_lasting_answer_is_a_reply_to_a_late_end(self):
        end = TargetEnd(1, 7, START + 900, parts=(5, 6), is_late=True)
        lasting = PartsAnswered((5,), START, is_lasting=True)
        self.parts.record_answer(PartsAnswered((5,), START + 899))
        self.known.ended(end)
        self.assertEqual([], self.known.take())
        self.parts.record_answer(lasting)
        self.known.ended(end)
        self.known.answered(PartsAnswered((5,), START + 899))
        self.assertEqual([lasting], self.known.take())
        self.known.ended(end)
        self.known.answered(PartsAnswered((5,), START - 9, is_lasting=True))
        self.assertEqual([], self.known.take())

    def test_an_older_answer_of_another_router_does_not_replace_it(self):
        self.parts.record_answer(PartsAnswered((5,), START))
        self.ended(START + ANSWER_VALID_SECONDS, 5)
        self.known.answered(PartsAnswered((5,), START - 0.1))
        self.assertEqual([PartsAnswered((5,), START)], self.known.take())

    def test_their_number_is_limited(self):
        for part in range(2 * MAX_KNOWN_ANSWERS):
            self.parts.record_answer(PartsAnswered((part,), START))
            self.ended(START, part)
        self.assertEqual(MAX_KNOWN_ANSWERS, len(self.known.take()))


class TargetKeyTest(TestCase):
    def test_ends_of_one_target_count_once_for_a_part(self):
        parts = HarmfulRequests(HarmSettings()).parts
        key = target_key("t1", None)
        for content in range(ENDS + 2):
            parts.record_end(TargetEnd(content, key, START, parts=(5,)))
        self.assertEqual(1, parts.ends_under(5))
