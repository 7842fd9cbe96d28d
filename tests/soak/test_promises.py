"""Each check of the soak finds what it is there for, and nothing else."""

from __future__ import annotations

from testtools import TestCase

from soak import promises
from soak.history import ANSWERED
from soak.history import CUT
from soak.history import Asked
from soak.history import History
from soak.history import Ran
from soak.history import Trouble
from soak.history import Version

EVENTS = 2


def asked(name="a", **fields):
    values = {
        "name": name,
        "kind": "plain",
        "path": "/plain/x",
        "service": "portal",
        "key": "k0",
        "router": "r0",
        "life": 1,
        "sent_at": 100.0,
        "deadline": 1.5,
        "ended_at": 100.2,
        "outcome": ANSWERED,
        "status": 200,
        "body": b"done for " + name.encode(),
        "echoed": name,
    }
    return Asked(**{**values, **fields})


def ran(name="a", at=100.1, **fields):
    values = {"target": "t0", "service": "portal", "has_run": True}
    return Ran(name=name, at=at, **{**values, **fields})


class PromisesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.history = History(versions=[Version(1, 0.0, ("k0", "k1"))])

    def put(self, *items):
        for item in items:
            if isinstance(item, Asked):
                self.history.asked[item.name] = item
            else:
                self.history.ran.append(item)

    def broken(self):
        return list(promises.broken(self.history, EVENTS))

    def test_a_proper_exchange_breaks_nothing(self):
        body = b"id: 1\ndata: s\n\nid: 2\ndata: s\n\n"
        self.put(asked(), ran(), asked("s", kind="story", body=body), ran("s"))
        self.assertEqual([], self.broken())

    def test_a_second_run_of_what_may_run_once(self):
        self.put(asked(kind="once"), ran(), ran(at=100.3, target="t1"))
        self.assertEqual(["at most once"], self.broken())

    def test_a_second_run_of_what_may_repeat_is_allowed(self):
        self.put(asked(), ran(), ran(at=100.3, target="t1"))
        self.assertEqual([], self.broken())

    def test_a_run_that_nobody_asked_for(self):
        self.put(ran("ghost"))
        self.assertEqual(["at most once"], self.broken())

    def test_a_refusal_of_what_has_run(self):
        for status in (408, 421, 429, 503):
            self.put(asked(status=status), ran())
            self.assertEqual(["not run is true"], self.broken())

    def test_answers_that_are_not_whole_or_another_s(self):
        event = b"id: 1\ndata: a\n\n"
        for fields in (
            {"echoed": "b"},
            {"body": b"do"},
            {"body": b"done for b"},
            {"kind": "draft", "body": event},
            {"kind": "story", "body": event + event},
            {"kind": "story", "body": event + b"id: 2\ndata: b\n\n"},
        ):
            self.put(asked(**fields))
            self.assertEqual(["whole answers"], self.broken(), fields)

    def test_a_withdrawn_key_that_is_accepted_too_long(self):
        self.history.versions.append(Version(2, 94.0, ("k1",)))
        self.put(asked(), ran())
        self.assertEqual(["withdrawn keys"], self.broken())
        self.history.versions[-1].acked_at = 96.0
        self.assertEqual([], self.broken())

    def test_work_for_a_target_that_leaves(self):
        self.history.draining["t0", 0] = 97.0
        self.put(asked(), ran())
        self.assertEqual(["leaving targets"], self.broken())
        self.history.troubles.append(Trouble("silent", "store of r0", 98.0, 99.0))
        self.assertEqual([], self.broken())

    def test_a_planned_stop_that_cuts(self):
        self.history.stops.append(("r0", 1, 100.1))
        self.put(asked(outcome=CUT, status=0))
        self.assertEqual(["planned stops"], self.broken())
        self.history.troubles.append(Trouble("silent", "t3", 99.0, 101.0))
        self.assertEqual([], self.broken())

    def test_a_version_that_is_late(self):
        self.history.versions.append(Version(2, 97.0, ("k0",)))
        self.put(asked(kind="probe", version=2, status=404))
        self.assertEqual(["versions"], self.broken())
        self.history.asked["a"].sent_at = 98.5
        self.assertEqual([], self.broken())

    def test_a_version_that_goes_back(self):
        self.history.versions += [Version(n, 90.0, ("k0",)) for n in (2, 3, 4)]
        self.put(asked("new", kind="probe", version=4, ended_at=100.0))
        self.history.asked["new"].body = b"done for new"
        self.put(asked(kind="probe", version=2, sent_at=101.0, ended_at=101.1))
        self.put(ran("new"), ran())
        self.assertEqual(["versions"], self.broken())
        self.history.asked["a"].life = 2
        self.assertEqual([], self.broken())

    def test_a_storm_of_repeats(self):
        for number in range(40):
            name = f"n{number}"
            self.put(asked(name), ran(name), ran(name, at=100.2, target="t1"))
        self.assertEqual(["repeats"], self.broken())

    def test_a_target_that_holds_too_much_in_calm_times(self):
        for number in range(30):
            name = f"n{number}"
            self.put(asked(name), ran(name, load=9, mean=2.0))
        self.assertEqual(["load"], self.broken())
        self.history.troubles.append(Trouble("kill", "r1", 99.0, 99.5))
        self.assertEqual([], self.broken())

    def test_a_caller_left_waiting(self):
        self.put(asked(ended_at=102.3, outcome=CUT, status=0))
        self.assertEqual(["in time"], self.broken())

    def test_a_process_that_ends_by_itself(self):
        self.history.own_ends.append("r0 ended with status 1")
        self.assertEqual(["processes"], self.broken())

    def test_service_that_does_not_come_back(self):
        self.history.quiet_from = 90.0
        self.assertEqual(["recovery"], self.broken())
        self.put(asked(), ran(), asked("b", status=502))
        self.assertEqual(["recovery"], self.broken())
        self.put(asked("b", status=502, sent_at=95.0, ended_at=95.2))
        self.assertEqual([], self.broken())
