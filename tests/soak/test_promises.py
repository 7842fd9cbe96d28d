"""Tests that each check of the soak finds its violations and nothing else."""

from __future__ import annotations

from testtools import TestCase

from soak import promises
from soak.history import ANSWERED
from soak.history import CUT
from soak.history import LEFT
from soak.history import CallerRequest
from soak.history import ColdPeriod
from soak.history import Delivery
from soak.history import Disturbance
from soak.history import Entry
from soak.history import Evacuation
from soak.history import HarmfulContent
from soak.history import History
from soak.history import PauseRequest
from soak.history import Silence
from soak.history import Version

EVENTS = 2
SIGNED = {"signed": "t0/1"}
STREAM = b"id: 1\ndata: s\n\nid: 2\ndata: s\n\n"


def request(name="a", **fields):
    values = {
        "name": name,
        "kind": "plain",
        "path": "/plain/x",
        "service": "portal",
        "key": "k0",
        "router": "r0",
        "process_number": 1,
        "sent_at": 100.0,
        "deadline": 1.5,
        "ended_at": 100.2,
        "outcome": ANSWERED,
        "status": 200,
        "body": b"done for " + name.encode(),
        "echoed": name,
    }
    return CallerRequest(**{**values, **fields})


def delivery(name="a", at=100.1, **fields):
    values = {"target": "t0", "service": "portal", "has_run": True}
    return Delivery(name=name, at=at, **{**values, **fields})


class PromisesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.history = History(versions=[Version(1, 0.0, ("k0", "k1"))])

    def add(self, *items):
        for item in items:
            if isinstance(item, CallerRequest):
                self.history.sent_requests[item.name] = item
            else:
                self.history.ran.append(item)

    def broken(self):
        return list(promises.find_broken(self.history, EVENTS))

    def test_a_proper_exchange_breaks_nothing(self):
        body = b"id: 1\ndata: s\n\nid: 2\ndata: s\n\n"
        self.add(
            request(), delivery(), request("s", kind="story", body=body), delivery("s")
        )
        self.assertEqual([], self.broken())

    def test_a_second_run_of_what_may_run_once(self):
        self.add(request(kind="once"), delivery(), delivery(at=100.3, target="t1"))
        self.assertEqual(["at most once"], self.broken())

    def test_a_second_run_of_what_may_repeat_is_allowed(self):
        self.add(request(), delivery(), delivery(at=100.3, target="t1"))
        self.assertEqual([], self.broken())

    def test_a_run_without_a_request(self):
        self.add(delivery("ghost"))
        self.assertEqual(["at most once"], self.broken())

    def test_a_refusal_of_what_has_run(self):
        for status in (408, 421, 429, 503):
            self.add(request(status=status), delivery())
            self.assertEqual(["not run is true"], self.broken())

    # Guards against a request that waits at a router, is refused there and runs later.
    def test_a_refused_request_that_runs_later(self):
        self.add(request(kind="once", status=503), delivery(at=109.0))
        self.assertEqual(["not run is true"], self.broken())

    # Guards against a request that waits at a router and is never ended.
    def test_a_request_without_an_end(self):
        for fields in ({"ended_at": None}, {"outcome": LEFT, "ended_at": 102.4}):
            self.add(request(**fields))
            found = promises.find_broken(self.history, EVENTS, 102.4)
            self.assertIn("ends", found, fields)
        self.history.disturbances.append(Disturbance("kill", "r0", 101.0, 104.0))
        self.assertEqual([], list(promises.accepted_requests_end(self.history, 102.4)))

    # Guards against counting a caller that left early as one that was kept waiting.
    def test_a_caller_that_leaves_early_has_an_end(self):
        self.add(request(outcome=LEFT, ended_at=100.2))
        self.assertEqual([], self.broken())

    # Guards against more connections from all routers than a target accepts.
    def test_a_connection_over_the_limit_of_a_target(self):
        self.history.excess_connections.append(("t0", 110.0))
        self.assertEqual(["connections"], self.broken())
        self.history.router_changes.append(106.9)
        self.assertEqual(["connections"], self.broken())
        self.history.router_changes.append(107.1)
        self.assertEqual([], self.broken())

    # Guards against callers of others that wait in vain while one organisation surges.
    def test_a_small_organisation_that_waits_past_its_time(self):
        for fields in ({"ended_at": 101.7}, {"status": 504, "ended_at": 101.4}):
            small = request(organisation=promises.SMALL_ORGANISATION, **fields)
            self.add(small)
            self.assertEqual(["small organisations"], self.broken(), fields)
            self.add(request(organisation="mill", **fields))
            self.assertEqual([], self.broken())
            self.add(small)
        self.history.disturbances.append(Disturbance("crash", "t0", 101.0, 102.0))
        self.assertEqual([], self.broken())

    def test_answers_that_are_incomplete_or_another_s(self):
        event = b"id: 1\ndata: a\n\n"
        for fields in (
            {"echoed": "b"},
            {"body": b"do"},
            {"body": b"done for b"},
            {"kind": "draft", "body": event},
            {"kind": "story", "body": event + event},
            {"kind": "story", "body": event + b"id: 2\ndata: b\n\n"},
        ):
            self.add(request(**fields))
            self.assertEqual(["whole answers"], self.broken(), fields)

    def test_a_withdrawn_key_that_is_accepted_too_long(self):
        self.history.versions.append(Version(2, 94.0, ("k1",)))
        self.add(request(), delivery())
        self.assertEqual(["withdrawn keys"], self.broken())
        self.history.versions[-1].acked_at = 96.0
        self.assertEqual([], self.broken())

    def test_a_harmful_request_that_reaches_many_targets(self):
        harm = self.history.harmful_contents[b"x"] = HarmfulContent(
            ends=[100.0, 101.0, 102.0]
        )
        for number in range(8):
            harm.routers[f"h{number}"] = "r0"
            harm.arrivals.append((f"h{number}", 102.5 + number))
        self.assertEqual(["harmful requests"], self.broken())
        del harm.arrivals[-2:]
        self.assertEqual([], self.broken())

    def test_work_for_a_target_that_leaves(self):
        self.history.draining["t0", 0] = 97.0
        self.add(request(), delivery())
        self.assertEqual(["leaving targets"], self.broken())
        self.history.disturbances.append(
            Disturbance("silent", "store of r0", 98.0, 99.0)
        )
        self.assertEqual([], self.broken())

    def test_a_planned_stop_that_cuts(self):
        self.history.planned_stops.append(("r0", 1, 100.1))
        self.add(request(outcome=CUT, status=0))
        self.assertEqual(["planned stops"], self.broken())
        self.history.disturbances.append(Disturbance("silent", "t3", 99.0, 101.0))
        self.assertEqual([], self.broken())

    # A request that a stopping router forwarded and cut with its end was not judged.
    def test_a_planned_stop_that_cuts_what_it_accepted_late(self):
        self.history.planned_stops.append(("r0", 1, 96.5))
        cut = {"kind": "long", "outcome": CUT, "body": b"", "deadline": 12.0}
        self.add(request(ended_at=104.2, **cut), delivery())
        self.assertEqual(["planned stops"], self.broken())
        self.history.sent_requests["a"].sent_at = 99.4
        self.assertEqual([], self.broken())
        self.history.sent_requests["a"].sent_at = 100.0
        self.history.ran.clear()
        self.assertEqual([], self.broken())

    def test_a_version_that_is_late(self):
        self.history.versions.append(Version(2, 97.0, ("k0",)))
        self.add(request(kind="probe", version=2, status=404))
        self.assertEqual(["versions"], self.broken())
        self.history.sent_requests["a"].sent_at = 98.5
        self.assertEqual([], self.broken())

    def test_a_version_that_goes_back(self):
        self.history.versions += [Version(n, 90.0, ("k0",)) for n in (2, 3, 4)]
        self.add(request("new", kind="probe", version=4, ended_at=100.0))
        self.history.sent_requests["new"].body = b"done for new"
        self.add(request(kind="probe", version=2, sent_at=101.0, ended_at=101.1))
        self.add(delivery("new"), delivery())
        self.assertEqual(["versions"], self.broken())
        self.history.sent_requests["a"].process_number = 2
        self.assertEqual([], self.broken())

    def test_a_storm_of_repeats(self):
        for number in range(40):
            name = f"n{number}"
            self.add(
                request(name), delivery(name), delivery(name, at=100.2, target="t1")
            )
        self.assertEqual(["repeats"], self.broken())

    def test_a_target_that_holds_too_much_in_calm_times(self):
        for number in range(30):
            name = f"n{number}"
            self.add(request(name), delivery(name, load=9, mean=2.0))
        self.assertEqual(["load"], self.broken())
        self.history.disturbances.append(Disturbance("kill", "r1", 99.0, 99.5))
        self.assertEqual([], self.broken())

    def test_a_caller_left_waiting(self):
        self.add(request(ended_at=102.3, outcome=CUT, status=0))
        self.assertEqual(["in time"], self.broken())

    def test_a_process_that_ends_by_itself(self):
        self.history.unexpected_exits.append("r0 ended with status 1")
        self.assertEqual(["processes"], self.broken())

    def test_service_that_does_not_come_back(self):
        self.history.last_disturbance_ended = 90.0
        self.assertEqual(["recovery"], self.broken())
        self.add(request(), delivery(), request("b", status=502))
        self.assertEqual(["recovery"], self.broken())
        self.add(request("b", status=502, sent_at=95.0, ended_at=95.2))
        self.assertEqual([], self.broken())

    def test_what_may_run_once_runs_at_both_incarnations_of_a_target(self):
        self.add(request(kind="once"), delivery(start=1), delivery(at=100.3, start=2))
        self.assertEqual(["at most once"], self.broken())

    def test_not_run_is_reported_of_what_a_former_incarnation_ran(self):
        self.history.ended["t0", 1] = 100.15
        self.add(request(kind="once", status=503), delivery(start=1))
        self.assertEqual(["not run is true"], self.broken())

    def test_an_answer_of_an_incarnation_that_never_ran_it(self):
        self.add(request(signed="t0/2"), delivery(start=1))
        self.assertEqual(["former lives"], self.broken())
        self.history.sent_requests["a"].signed = "t0/1"
        self.assertEqual([], self.broken())

    def test_an_answer_of_an_incarnation_that_has_ended(self):
        self.history.ended["t0", 1] = 99.0
        self.add(request(**SIGNED), delivery(at=98.9, start=1))
        self.assertEqual(["former lives"], self.broken())
        # A stream that resumed at another incarnation keeps its first signature.
        self.add(delivery(start=2))
        self.assertEqual([], self.broken())

    def test_an_answer_of_an_incarnation_that_ends_while_it_is_sent(self):
        self.history.ended["t0", 1] = 99.5
        self.add(request(**SIGNED), delivery(at=99.4, start=1))
        self.assertEqual([], self.broken())

    def add_requests(self, count, *, target, since=100.0, **fields):
        """Put ten requests a second that run at one target."""
        for number in range(count):
            name, at = f"{target}-{number}", since + number / 10
            self.add(request(name, sent_at=at, ended_at=at + 0.1))
            self.add(delivery(name, at + 0.05, target=target, **fields))

    def test_a_new_incarnation_that_gets_no_work(self):
        self.history.listed.append(Entry("t0", "portal", 2, 95.0))
        self.add_requests(60, target="t1")
        self.assertEqual(["good entries"], self.broken())
        # A request to the former incarnation does not count for the new one.
        self.history.ran[0].target, self.history.ran[0].start = "t0", 1
        self.assertEqual(["good entries"], self.broken())
        self.history.ran[0].start = 2
        self.assertEqual([], self.broken())

    def test_one_router_that_stopped_following_the_list(self):
        self.history.listed.append(Entry("t0", "portal", 2, 95.0))
        self.add_requests(60, target="t1")
        self.add(request("b", router="r1"), delivery("b", start=2))
        self.assertEqual(["good entries"], self.broken())
        # Only requests after the last disturbance count.
        self.history.disturbances.append(Disturbance("kill", "r0", 96.0, 97.0))
        self.assertEqual([], self.broken())
        self.history.disturbances[0].ended = 92.0
        self.assertEqual(["good entries"], self.broken())

    def test_a_target_with_troubles_of_its_own_may_get_no_work(self):
        self.history.listed.append(Entry("t0", "portal", 2, 95.0))
        self.add_requests(60, target="t1")
        for began, ended, wanted in (
            (97.0, 98.0, []),
            (94.0, 96.0, []),
            # A disturbance of the former incarnation is no excuse.
            (93.0, 94.9, ["good entries"]),
            (105.5, None, ["good entries"]),
        ):
            self.history.disturbances[:] = [Disturbance("link", "t0", began, ended)]
            self.assertEqual(wanted, self.broken(), (began, ended))

    def test_an_entry_that_went_before_enough_was_asked(self):
        self.history.listed.append(Entry("t0", "portal", 2, 95.0, until=101.0))
        self.add_requests(60, target="t1")
        self.assertEqual([], self.broken())

    def test_work_for_what_another_writer_s_entry_names(self):
        entry = Entry("t0", "portal", 1, 97.0, until=100.3)
        self.history.foreign_entries.append(entry)
        self.add(request(), delivery())
        self.assertEqual(["foreign entries"], self.broken())
        # Sent to the former target at the same address.
        self.history.ran[-1].is_misdirected = True
        self.assertEqual([], self.broken())
        self.history.ran[-1].is_misdirected = False
        for changed in ({"at": 98.5}, {"until": 100.05}):
            was = {name: getattr(entry, name) for name in changed}
            vars(entry).update(changed)
            self.assertEqual([], self.broken(), changed)
            vars(entry).update(was)
        self.history.disturbances.append(
            Disturbance("silent", "store of r0", 98.0, 99.0)
        )
        self.assertEqual([], self.broken())

    def test_neighbours_of_another_writer_s_entry_that_lose_their_work(self):
        self.history.foreign_entries.append(Entry("t0", "portal", 1, 99.0, until=104.0))
        for name in ("t1", "t2"):
            self.history.listed.append(Entry(name, "portal", 1, 50.0, until=104.0))
        self.add_requests(30, target="t1")
        for delivered in self.history.ran:
            delivered.has_run = False
        self.assertEqual(["their neighbours"], self.broken())
        for delivered in self.history.ran[:20]:
            delivered.has_run = True
        self.assertEqual([], self.broken())

    def test_neighbours_are_not_judged_while_most_targets_leave(self):
        self.history.foreign_entries.append(Entry("t0", "portal", 1, 99.0, until=104.0))
        self.history.listed.append(Entry("t1", "portal", 1, 50.0, until=104.0))
        self.add_requests(30, target="t1")
        for delivered in self.history.ran:
            delivered.has_run = False
        for name in ("t2", "t3"):
            self.history.listed.append(Entry(name, "portal", 1, 50.0, until=98.5))
        self.history.draining["t2", 1] = 98.5
        self.assertEqual(["their neighbours"], self.broken())
        self.history.draining["t3", 1] = 98.5
        self.assertEqual([], self.broken())
        # Those that left before do not count.
        self.history.draining["t3", 1] = 96.5
        self.assertEqual(["their neighbours"], self.broken())

    def test_one_neighbour_of_four_with_few_slots_is_not_judged(self):
        self.history.foreign_entries.append(Entry("t0", "portal", 1, 99.0, until=104.0))
        self.history.listed.append(Entry("t1", "portal", 1, 50.0, until=104.0))
        self.add_requests(30, target="t1")
        for delivered in self.history.ran:
            delivered.has_run = False
        self.assertEqual(["their neighbours"], self.broken())
        self.history.limited_services["portal"] = 4
        self.assertEqual([], self.broken())
        self.history.listed.append(Entry("t2", "portal", 1, 50.0, until=104.0))
        self.assertEqual(["their neighbours"], self.broken())

    def add_events(self, name, version, numbers, **fields):
        body = b"".join(
            b"id: %d\ndata: %b@%b\n\n" % (n, name.encode(), version) for n in numbers
        )
        values = {"kind": "story", "body": body, "deadline": 6.0, "ended_at": 100.5}
        self.add(request(name, **{**values, "outcome": CUT, **fields}))

    def test_a_stream_of_two_versions_is_found(self):
        self.add_events("s1", b"v1", (1,))
        resumed = {"first_attempt": "s1", "last_event": 1, "outcome": ANSWERED}
        self.add_events("s2", b"v1", (2,), **resumed)
        self.assertEqual([], self.broken())
        self.add_events("s2", b"v2", (2,), **resumed)
        self.assertEqual(["stream versions"], self.broken())

    def test_a_stream_of_two_versions_within_one_answer_is_found(self):
        self.add_events("s1", b"v1", (1, 2))
        self.history.sent_requests["s1"].body += b"id: 3\ndata: s1@v2\n\n"
        self.assertEqual(["stream versions"], self.broken())

    def test_resumed_streams_that_do_not_begin_are_found(self):
        for name in ("m0", "m1"):
            entry = Entry(name, "model", 1, 50.0, software_version="v1")
            self.history.listed.append(entry)
        for n in range(20):
            self.add_events(f"s{n}", b"v1", (1, 2))
            refused = {"first_attempt": f"s{n}", "last_event": 2, "status": 503}
            self.add_events(f"t{n}", b"v1", (), outcome=ANSWERED, **refused)
        self.assertEqual(["resumed streams"], self.broken())
        # With one target of the version it need not begin.
        self.history.listed.pop()
        self.assertEqual([], self.broken())

    def add_stream(self, **fields):
        values = {"kind": "draft", "body": STREAM, "deadline": 6.0, "ended_at": 101.5}
        self.add(request("s", **{**values, **fields}), delivery("s"))

    def test_a_stream_that_ends_as_its_engine_is_silent(self):
        self.history.silences.append(Silence("t0", 100.2, 101.2))
        for fields in ({"outcome": CUT}, {"status": 502, "outcome": ANSWERED}):
            self.history.ran.clear()
            self.add_stream(**fields)
            self.assertEqual(["silence"], self.broken(), fields)
        self.history.disturbances.append(Disturbance("faults", "t0", 99.0, 101.0))
        self.assertEqual([], self.broken())

    def test_streams_that_a_silence_has_not_ended(self):
        self.history.silences.append(Silence("t0", 100.2, 101.2))
        for fields in ({}, {"outcome": LEFT}, {"outcome": CUT, "ended_at": 100.1}):
            self.history.sent_requests.clear()
            self.history.ran.clear()
            self.add_stream(**fields)
            self.assertEqual([], self.broken(), fields)


class DomainsTest(PromisesTest):
    def add_evacuation(self, until=120.0):
        self.history.evacuations.append(Evacuation("a", 100.0, until))

    def late(self):
        return list(promises.evacuated_domains_get_no_work(self.history))

    def test_what_reaches_an_evacuated_domain_late_is_found(self):
        self.add_evacuation()
        self.add(request(), delivery(at=104.9, domain="a"))
        self.assertEqual([], self.late())
        self.add(delivery(at=105.2, domain="a"))
        self.assertEqual(1, len(self.late()))

    def test_other_domains_and_what_comes_after_the_return_are_not(self):
        self.add_evacuation(until=110.0)
        self.add(
            request(), delivery(at=106.0, domain="b"), delivery(at=110.1, domain="a")
        )
        self.assertEqual([], self.late())

    def test_nor_is_what_another_target_in_its_place_did_not_run(self):
        self.add_evacuation()
        self.add(request(), delivery(at=106.0, domain="a", has_run=False))
        self.assertEqual([], self.late())

    def test_nor_is_a_router_that_lost_the_store(self):
        self.add_evacuation()
        self.add(request(), delivery(at=106.0, domain="a"))
        self.history.disturbances.append(
            Disturbance("cut", "store of r0", 101.0, 104.0)
        )
        self.assertEqual([], self.late())

    def test_a_target_of_an_evacuated_domain_may_get_no_work(self):
        for number in range(60):
            at = 100.0 + number / 10
            self.add(request(f"a{number}", sent_at=at, ended_at=at + 0.1))
            self.add(delivery(f"a{number}", at + 0.05, target="t1"))
        entry = Entry("t0", "portal", 2, 95.0, domain="a")
        self.history.listed.append(entry)
        overdue = list(promises.good_entries_get_work(self.history))
        self.assertEqual(1, len(overdue))
        # Listed under a new name while its domain was evacuated.
        self.history.disturbances.append(
            Disturbance("evacuate", "domain a", 93.0, 110.0)
        )
        self.assertEqual([], list(promises.good_entries_get_work(self.history)))
        entry.domain = "b"
        self.assertEqual(overdue, list(promises.good_entries_get_work(self.history)))

    def test_a_target_that_reported_that_it_leaves_may_get_no_work(self):
        for number in range(60):
            at = 100.0 + number / 10
            self.add(request(f"a{number}", sent_at=at, ended_at=at + 0.1))
            self.add(delivery(f"a{number}", at + 0.05, target="t1"))
        self.history.listed.append(Entry("t0", "portal", 2, 95.0))
        overdue = list(promises.good_entries_get_work(self.history))
        self.assertEqual(1, len(overdue))
        # Passed on by another router; only the same start of the target counts.
        for start, wanted in ((1, overdue), (2, [])):
            reported = request(
                "said", router="r9", leaving_reported_at=97.0, signed=f"t0/{start}"
            )
            self.add(reported)
            self.assertEqual(wanted, list(promises.good_entries_get_work(self.history)))

    def test_what_was_meant_for_a_former_target_is_no_work_for_a_leaving_one(self):
        self.history.draining["t0", 0] = 100.0
        self.add(request(sent_at=103.0, ended_at=103.2))
        self.add(delivery(at=103.1, has_run=False))
        self.assertEqual(["leaving targets"], self.broken())
        self.history.ran[-1].is_misdirected = True
        self.assertEqual([], self.broken())

    def test_what_a_link_held_back_is_no_new_work_for_a_leaving_target(self):
        self.history.draining["t0", 0] = 100.0
        self.add(
            request(sent_at=99.9, ended_at=103.2, deadline=6.0), delivery(at=103.1)
        )
        self.assertEqual(["leaving targets"], self.broken())
        for began, ended, wanted in (
            (99.0, 103.0, []),
            (99.0, 100.5, []),
            (96.0, 100.0, ["leaving targets"]),
            (103.2, None, ["leaving targets"]),
        ):
            self.history.disturbances[:] = [
                Disturbance("link silent", "t0", began, ended)
            ]
            self.assertEqual(wanted, self.broken(), (began, ended))

    def test_work_for_a_target_after_its_own_notice(self):
        self.add(request(leaving_reported_at=100.1, **SIGNED), delivery(start=1))
        late = 100.1 + promises.DRAIN_SECONDS + promises.SLACK_SECONDS
        self.add(
            request("b", sent_at=late, ended_at=late + 1), delivery("b", late, start=1)
        )
        self.assertEqual([], self.broken())
        self.add(request("c", sent_at=late + 1, ended_at=late + 2))
        self.add(delivery("c", late + 1.1, start=1))
        self.assertEqual(["leaving answers"], self.broken())

    def test_another_router_incarnation_or_target_has_not_passed_it_on(self):
        self.add(request(leaving_reported_at=100.1, **SIGNED), delivery(start=1))
        for n, fields in enumerate(({"router": "r1"}, {"process_number": 2})):
            self.add(request(f"b{n}", sent_at=105.0, ended_at=105.2, **fields))
            self.add(delivery(f"b{n}", 105.1, start=1))
        self.add(
            request("c", sent_at=105.0, ended_at=105.2), delivery("c", 105.1, start=2)
        )
        self.assertEqual([], self.broken())

    def test_a_pause_of_the_router_excuses_it(self):
        self.add(request(leaving_reported_at=100.1, **SIGNED), delivery(start=1))
        self.add(
            request("b", sent_at=105.0, ended_at=105.2), delivery("b", 105.1, start=1)
        )
        self.assertEqual(["leaving answers"], self.broken())
        self.history.disturbances.append(Disturbance("pause", "r0", 102.0, 103.0))
        self.assertEqual([], self.broken())

    def add_pause(self, at=100.0, seconds=3.0):
        self.add(request("turned", sent_at=at), delivery("turned", at, has_run=False))
        self.history.pause_requests.append(PauseRequest("t0", 0, "turned", at, seconds))

    def test_more_than_two_requests_in_a_rest(self):
        self.add_pause()
        for n, at in enumerate((100.4, 100.6, 102.0, 103.1)):
            self.add(
                request(f"b{n}", sent_at=at, ended_at=at + 0.2), delivery(f"b{n}", at)
            )
        self.assertEqual([], self.broken())
        self.add(request("c", sent_at=101.0, ended_at=101.2), delivery("c", 101.1))
        self.assertEqual(["rests"], self.broken())

    def test_of_other_routers_any_number_may_come_in_a_rest(self):
        self.add_pause()
        for n in range(9):
            self.add(request(f"b{n}", sent_at=101.0, ended_at=101.2, router="r1"))
            self.add(delivery(f"b{n}", 101.1))
        self.assertEqual([], self.broken())

    def test_a_link_that_held_requests_back_excuses_them(self):
        self.add_pause()
        for n in range(9):
            self.add(
                request(f"b{n}", sent_at=101.0, ended_at=101.2),
                delivery(f"b{n}", 101.1),
            )
        self.assertEqual(["rests"], self.broken())
        self.history.disturbances.append(Disturbance("link delay", "t0", 99.0, 100.2))
        self.assertEqual([], self.broken())

    def find_overloads(self):
        return list(promises.cold_targets_get_their_rate(self.history))

    def add_cold_period(self, start=0):
        self.history.cold.append(ColdPeriod("t0", start, 100.0, 103.0))

    def test_a_cold_target_that_gets_too_much_in_a_second_is_found(self):
        self.add_cold_period()
        for n in range(promises.MAX_COLD_RUNS_PER_SECOND):
            self.add(delivery(at=101.0 + n * 0.04))
        self.assertEqual([], self.find_overloads())
        self.add(delivery(at=101.9))
        self.assertEqual(1, len(self.find_overloads()))

    def test_what_is_spread_is_not(self):
        self.add_cold_period()
        for n in range(55):
            self.add(delivery(at=100.0 + n * 0.053))
        self.assertEqual([], self.find_overloads())

    def test_nor_what_another_incarnation_of_it_gets_or_what_comes_when_it_is_warm(
        self,
    ):
        self.add_cold_period(start=7)
        for n in range(60):
            self.add(delivery(at=101.0 + n * 0.01), delivery(at=103.01, start=7))
        self.assertEqual([], self.find_overloads())
