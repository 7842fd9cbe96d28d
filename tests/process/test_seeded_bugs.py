"""Seeds a bug of every kind and verifies that the invariant checker reports it."""

from __future__ import annotations

from unittest import mock

from testtools import TestCase

from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import ClaimState
from primrosescale.connection.wire.ttypes import Outcome
from primrosescale.connection.wire.ttypes import Reason
from primrosescale.process.configuration.version_manager import VersionManager
from primrosescale.process.daemons.agent import Agent
from primrosescale.process.daemons.agent_core import AgentCore
from primrosescale.process.ledger import claim_writer
from primrosescale.process.ledger.ledger_bucket import Decision
from primrosescale.request.answer.answer_check import AnswerCheck
from primrosescale.request.attempt.agent_call import AgentCall
from primrosescale.request.attempt.attempts import AttemptPlan
from primrosescale.request.attempt.call_table import CallTable
from primrosescale.request.attempt.routed_call import RoutedCall
from primrosescale.request.capacity.admission import AdmissionController
from primrosescale.request.capacity.load_bound import LoadBound
from primrosescale.version.head import HeadVerifier
from support.cells import run_cell
from support.faults import ANSWERS
from support.world import SimulatedFleet


class SeededBugsTest(TestCase):
    def assert_found(self, kind, faults):
        kinds = {fault.partition(":")[0] for fault in faults}
        self.assertIn(kind, kinds, faults)

    def test_a_truncated_answer_delivered_as_complete(self):
        def failed(call, outcome, detail):
            call._run = None
            call.target_done(0)

        with mock.patch.object(AgentCall, "target_failed", failed):
            world = run_cell("chat", [("mid-stream", "answer cut")])
        self.assert_found("whole", world.faults())

    def test_an_answer_given_to_another_call(self):
        def message(table, item):
            if not isinstance(item, ANSWERS):
                return deliver(table, item)
            call = table._calls.get(item.number)
            if call is None and table._calls:
                call = next(iter(table._calls.values()))
            if call is not None:
                call.message(item)
            return True

        def finish(check, length, digest):
            """Accept every answer without comparing length and digest."""

        deliver = CallTable.message
        with (
            mock.patch.object(CallTable, "message", message),
            mock.patch.object(AnswerCheck, "finish", finish),
        ):
            world = run_cell("keyed", [("accept", "answers crossed")])
        self.assert_found("whole", world.faults())

    def test_a_running_call_reported_as_not_run(self):
        def stop(core, call, reason):
            call.fail(Outcome.NOT_RUN, reason)

        with mock.patch.object(AgentCore, "_stop", stop):
            world = SimulatedFleet()
            for target in world.targets.values():
                target.gap = 1.0
            world.submit("r1", "slow", timeout=2.0)
            world.run(5)
        self.assert_found("not run", world.faults())

    def test_a_lost_connection_reported_as_not_run(self):
        def lost(call, detail):
            failure = mock.Mock(
                outcome=Outcome.NOT_RUN,
                reason=Reason.DEADLINE,
                retry_after=0.0,
                place="",
                detail=detail,
            )
            call._fail(failure)

        with mock.patch.object(RoutedCall, "_lost", lost):
            world = run_cell("keyed", [("first byte", "agent dies")])
        self.assert_found("not run", world.faults())

    def test_a_claim_taken_over(self):
        def decide(request, known, now_ms):
            decision = true_decide(request, known, now_ms)
            if decision.reply.state == ClaimState.HELD:
                reply = wire.ClaimReply(request.number, ClaimState.GRANTED)
                return Decision(reply, None)
            return decision

        true_decide = claim_writer.decide
        with mock.patch.object(claim_writer, "decide", decide):
            world = run_cell("keyed", [("first byte", "agent dies")])
        self.assert_found("once", world.faults())

    def test_a_claim_granted_before_it_is_stored(self):
        def start(core, call, now):
            call.started_at = now
            core._run(call)

        with mock.patch.object(AgentCore, "_start", start):
            world = run_cell("keyed", [("first byte", "agent dies")])
        self.assert_found("once", world.faults())

    def test_a_non_idempotent_call_retried(self):
        def after_unknown(plan, failure, now):
            return plan._try_next(now, failure, 0.0)

        with (
            mock.patch.object(AttemptPlan, "_after_unknown", after_unknown),
            mock.patch.object(AgentCore, "_start", _start_unclaimed),
        ):
            world = run_cell("keyed", [("first byte", "agent dies")])
        self.assert_found("once", world.faults())

    def test_a_duplicate_of_a_call_accepted(self):
        def resumed(call, link, attempt):
            call._link = link
            link.expect()
            link.send(call._wire_call(link.peer.incarnation))

        with (
            mock.patch.object(RoutedCall, "_resumed", resumed),
            mock.patch(
                "primrosescale.request.attempt.call_id_registry.CallIdRegistry.take",
                _record_nothing,
            ),
            mock.patch.object(AgentCore, "_start", _start_unclaimed),
        ):
            world = run_cell("keyed", [("first byte", "silent to router")])
        self.assert_found("once", world.faults())

    def test_work_admitted_after_leaving(self):
        with mock.patch.object(AdmissionController, "drain", lambda admission: None):
            world = SimulatedFleet(agents=1)
            world.stop_agent("a1")
            world.submit("r1", "late")
            world.run(5)
        self.assert_found("leaving", world.faults())

    def test_work_admitted_over_the_bound(self):
        with mock.patch.object(LoadBound, "admits", lambda *_: True):
            world = SimulatedFleet(agents=2)
            for number in range(60):
                world.submit("r1", f"c{number}", timeout=3.0)
            world.run(5)
        self.assert_found("bound", world.faults())

    def test_a_planned_stop_that_does_not_wait(self):
        with mock.patch.object(Agent, "_is_finished", lambda agent: True):
            world = run_cell("chat", [("mid-stream", "target leaves")])
        self.assert_found("stop", world.faults())

    def test_a_call_without_an_end(self):
        with (
            mock.patch.object(RoutedCall, "_give_up", lambda call, failure: None),
            mock.patch.object(RoutedCall, "_deadline_passed", lambda call: None),
        ):
            world = run_cell("keyed", [("first byte", "agent dies")])
        self.assert_found("end", world.faults())

    def test_a_version_that_reverts(self):
        with mock.patch.object(HeadVerifier, "is_newer", _any_other):
            world = SimulatedFleet()
            world.roll_out(2, "[organisation new]\nkey_hashes =\n")
            world.run(3)
            old = world.routers["r2"]
            world.network.freeze(world.owner("r2"))
            world.roll_out(3, "[organisation newer]\nkey_hashes =\n")
            world.run(5)
            world.network.thaw(world.owner("r2"))
            self.assertIsInstance(old.version_manager, VersionManager)
            world.run(5)
        self.assert_found("version", world.faults())


def _start_unclaimed(core, call, now):
    call.started_at = now
    core._run(call)


def _record_nothing(names, name, deadline):
    """Do not record the call."""


def _any_other(check, head, known):
    return head.version > 0 and head.digest != known.digest
