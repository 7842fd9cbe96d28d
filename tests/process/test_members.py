"""Membership of hosts, flap damping and aggregation of load reports."""

from __future__ import annotations

from testtools import TestCase

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import MemberState
from primrosescale.process.membership.flap_damper import MembershipSettings
from primrosescale.process.membership.host_changes import HostChanges
from primrosescale.process.membership.load_sums import AgentSums
from primrosescale.process.membership.load_sums import DomainSums
from primrosescale.process.membership.load_sums import FleetSums
from primrosescale.process.membership.load_sums import LoadReportSettings
from primrosescale.process.membership.members import Members
from primrosescale.process.membership.rendezvous import first_by_rendezvous
from primrosescale.request.choice.candidates import Locality

READY, DOWN, LEAVING = MemberState.READY, MemberState.DOWN, MemberState.LEAVING


def entry(name, version=1, **options):
    values = {
        "role": "agent",
        "address": "127.0.0.1",
        "port": 1,
        "domain": "d1",
        "region": "r",
        "service_name": "s",
        "leaving": False,
        "gone": False,
        "incarnation": 1,
    }
    return wire.HostEntry(name=name, version=version, **{**values, **options})


def notice(name, state, incarnation=1, origin="r1"):
    return wire.MemberNotice(name, incarnation, state, origin)


def make(*entries):
    members = Members(MembershipSettings(), Locality("r", "d1"))
    members.apply_list(entries, 1, 0.0, is_full=True)
    return members


def names(members, now=0.0):
    return {t.name for t in members.candidates("s", "k", 9, now)}


class MembersTest(TestCase):
    def test_hosts_of_the_list_are_candidates(self):
        members = make(entry("a"), entry("b"))
        self.assertEqual({"a", "b"}, names(members))

    def test_an_older_list_is_ignored(self):
        members = make(entry("a"))
        members.apply_list([entry("b")], 5, 0.0, is_full=False)
        members.apply_list([], 3, 0.0, is_full=True)
        self.assertEqual({"a", "b"}, names(members))

    def test_a_host_removed_from_the_list_is_no_candidate(self):
        members = make(entry("a"), entry("b"))
        members.apply_list([entry("a", gone=True)], 2, 0.0, is_full=False)
        self.assertEqual({"b"}, names(members))

    def test_a_late_notice_of_an_earlier_incarnation_does_not_remove_the_later(self):
        members = make(entry("a", incarnation=2))
        members.apply_list([entry("a", gone=True)], 2, 0.0, is_full=False)
        members.apply_notice(notice("a", DOWN, 1), 0.0)
        self.assertEqual({"a"}, names(members))

    def test_a_target_that_is_down_returns_with_its_next_heartbeat(self):
        members = make(entry("a"), entry("b"))
        members.apply_notice(notice("a", DOWN), 1.0)
        self.assertEqual({"b"}, names(members))
        members.apply_notice(notice("a", READY), 2.0)
        self.assertEqual({"a", "b"}, names(members))

    def test_leaving_is_final_for_an_incarnation(self):
        members = make(entry("a"))
        members.apply_notice(notice("a", LEAVING), 1.0)
        members.apply_notice(notice("a", READY), 2.0)
        self.assertEqual(set(), names(members))
        members.apply_notice(notice("a", READY, 2), 3.0)
        self.assertEqual({"a"}, names(members))

    def test_a_flapping_target_is_excluded_until_its_penalty_decays(self):
        members = make(entry("a"), entry("b"))
        for number in range(4):
            members.apply_notice(notice("a", DOWN), 10.0 + number)
            members.apply_notice(notice("a", READY), 10.5 + number)
        self.assertEqual({"b"}, names(members, 14.0))
        members.readmit_targets(15.0)
        self.assertEqual({"b"}, names(members, 15.0))
        members.readmit_targets(200.0)
        self.assertEqual({"a", "b"}, names(members, 200.0))

    def test_a_suspect_target_goes_last_for_this_router_only_and_not_for_long(self):
        members = make(*[entry(f"t{number}") for number in range(6)])
        before = [t.name for t in members.candidates("s", "k", 6, 0.0)]
        members.suspect(before[0], 0.0)
        after = [t.name for t in members.candidates("s", "k", 6, 1.0)]
        self.assertEqual([*before[1:], before[0]], after)
        later = [t.name for t in members.candidates("s", "k", 6, 10.0)]
        self.assertEqual(before, later)


class HostChangesTest(TestCase):
    def test_no_changes_are_returned_to_a_router_that_lags_too_far(self):
        changes = HostChanges()
        changes.record([entry("a", 5)], 5, is_full=True)
        changes.record([entry("b", 6)], 6, is_full=False)
        self.assertIsNone(changes.since(4))
        self.assertEqual(["b"], [item.name for item in changes.since(5)])
        self.assertEqual([], changes.since(6))


def beat(agent, sequence, load=10, state=READY, version=1, incarnation=1):
    return wire.Heartbeat(agent, incarnation, sequence, "s", load, state, version, 0, 0)


def report(origin, sequence, load, targets=1, version=1, notices=()):
    return wire.PeerReport(
        origin,
        1,
        sequence,
        [wire.ServiceSum("s", load, targets)],
        1,
        version,
        version,
        targets,
        [],
        list(notices),
        [wire.RateReport("o", 500)],
        False,
    )


class LoadSumsTest(TestCase):
    def test_an_agent_is_summed_once_however_often_it_reports(self):
        sums = AgentSums(LoadReportSettings(), "r1")
        for sequence in range(1, 5):
            sums.record_heartbeat(beat("a", sequence, load=sequence * 10), 1.0)
        sums.record_heartbeat(beat("a", 2, load=999), 1.0)
        self.assertEqual([40], [item.load for item in sums.sums()])

    def test_a_leaving_agent_counts_as_load_but_not_as_target(self):
        sums = AgentSums(LoadReportSettings(), "r1")
        sums.record_heartbeat(beat("a", 1), 1.0)
        sums.record_heartbeat(beat("b", 1, state=LEAVING), 1.0)
        total = sums.sums()[0]
        self.assertEqual((20, 1), (total.load, total.targets))

    def test_missing_heartbeats_raise_a_notice(self):
        sums = AgentSums(LoadReportSettings(), "r1")
        self.assertEqual(READY, sums.record_heartbeat(beat("a", 1), 1.0).state)
        self.assertIsNone(sums.record_heartbeat(beat("a", 2), 2.0))
        self.assertEqual([DOWN], [item.state for item in sums.expire(6.0)])

    def test_an_agent_that_moved_to_another_router_is_not_reported_down(self):
        sums = AgentSums(LoadReportSettings(), "r1")
        sums.record_heartbeat(beat("a", 1), 1.0)
        self.assertTrue(sums.accept_notice(notice("a", READY, origin="r2"), 3.0))
        self.assertEqual([], sums.expire(9.0))

    def test_an_agent_with_recent_heartbeats_is_up_whatever_peers_report(self):
        sums = AgentSums(LoadReportSettings(), "r1")
        sums.record_heartbeat(beat("a", 1), 1.0)
        self.assertFalse(sums.accept_notice(notice("a", DOWN, origin="r2"), 1.5))
        self.assertEqual([READY], [item.state for item in sums.notices(1.5)])

    def test_reports_of_silent_routers_expire(self):
        domain = DomainSums(LoadReportSettings(), "d1", "r1")
        domain.record_report(report("r1", 1, 100), 0.0)
        domain.record_report(report("r2", 1, 50), 3.0)
        self.assertEqual(150, domain.summary(3.0).sums[0].load)
        self.assertEqual(50, domain.summary(5.0).sums[0].load)

    def test_old_reports_are_ignored(self):
        domain = DomainSums(LoadReportSettings(), "d1", "r1")
        domain.record_report(report("r1", 5, 100), 0.0)
        domain.record_report(report("r1", 4, 999), 0.0)
        self.assertEqual(100, domain.summary(0.0).sums[0].load)

    def test_two_aggregators_of_a_domain_are_not_added_up(self):
        fleet = FleetSums(LoadReportSettings())
        for origin in ("r1", "r2"):
            domain = DomainSums(LoadReportSettings(), "d1", origin)
            domain.record_report(report("r1", 1, 100), 0.0)
            fleet.record_report(domain.summary(0.0), 0.0)
        other = DomainSums(LoadReportSettings(), "d2", "r9")
        other.record_report(report("r9", 1, 30), 0.0)
        fleet.record_report(other.summary(0.0), 0.0)
        mean = fleet.means(1.0)[0]
        self.assertEqual((130, 2), (mean.load, mean.targets))
        self.assertEqual(1000, fleet.rates(1.0)[0].demand_permille)

    def test_reports_of_an_unreachable_domain_expire(self):
        fleet = FleetSums(LoadReportSettings())
        domain = DomainSums(LoadReportSettings(), "d1", "r1")
        domain.record_report(report("r1", 1, 100), 0.0)
        fleet.record_report(domain.summary(0.0), 0.0)
        self.assertEqual([], fleet.means(10.0))

    def test_the_first_names_do_not_depend_on_the_order_of_input(self):
        names = [f"r{number}" for number in range(50)]
        self.assertEqual(
            first_by_rendezvous(names, "x", 2),
            first_by_rendezvous(reversed(names), "x", 2),
        )
