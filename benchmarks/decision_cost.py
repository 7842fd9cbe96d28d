"""Measure processor time of decisions and messages at the size designed for.

Covers target order, admission, rate limits, heartbeats, load reports, the codec and
the application of a change to the configuration; times are in microseconds.
"""

from __future__ import annotations

import random
import time

from twisted.internet.defer import succeed

from primrosescale.connection.codec import decode
from primrosescale.connection.codec import encode
from primrosescale.connection.endpoint import Endpoint
from primrosescale.connection.wire import ttypes as wire
from primrosescale.connection.wire.ttypes import MemberState
from primrosescale.process.configuration.version_manager import SectionSource
from primrosescale.process.configuration.version_manager import VersionManager
from primrosescale.process.configuration.version_manager import VersionObserver
from primrosescale.process.membership.load_sums import AgentSums
from primrosescale.process.membership.load_sums import DomainSums
from primrosescale.process.membership.load_sums import FleetSums
from primrosescale.process.membership.load_sums import LoadReportSettings
from primrosescale.request.capacity.admission import AdmissionController
from primrosescale.request.capacity.admission import AdmissionSettings
from primrosescale.request.capacity.fair_queue import QueuedCall
from primrosescale.request.capacity.load_bound import BoundSettings
from primrosescale.request.capacity.load_bound import LoadBound
from primrosescale.request.capacity.rate_limit import OrganisationRateLimiter
from primrosescale.request.capacity.rate_limit import RateSettings
from primrosescale.request.choice.candidates import Locality
from primrosescale.request.choice.candidates import ServiceTargets
from primrosescale.request.choice.candidates import Target
from primrosescale.request.target.target_health import HealthSettings
from primrosescale.request.target.target_health import TargetHealth
from primrosescale.version.bundle import Bundle
from primrosescale.version.head import HeadVerifier
from primrosescale.version.head import VersionHead
from primrosescale.version.section import build_tree
from support import save

ROUNDS = 20_000
HEAD = wire.Head(9, "d" * 40, "approver", b"s" * 64)


def microseconds(function, rounds=ROUNDS):
    best = float("inf")
    for _ in range(3):
        began = time.process_time()
        for number in range(rounds):
            function(number)
        best = min(best, time.process_time() - began)
    return 1e6 * best / rounds


def order_cost(count):
    targets = ServiceTargets(Locality("r", "d"))
    targets.fill(
        Target(f"e{n}", Endpoint("127.0.0.1", n), "m", "d", "r") for n in range(count)
    )
    keys = [f"organisation-{n % 100}/chat-{n}" for n in range(1000)]
    return microseconds(lambda n: targets.order(keys[n % 1000], 8))


def admission_cost(queued):
    bound = LoadBound(BoundSettings(floor=10**9, slow_start=0), 0.0)
    health = TargetHealth(HealthSettings())
    settings = AdmissionSettings(slots=16, queue_limit=10**6, rate_default=1e9)
    admission = AdmissionController(settings, bound, health)
    for number in range(queued):
        admission.offer(QueuedCall(f"o{number % 50}", 1, 5, 10, 1e9, None), 0.0)
    admission.start_next(0.0)

    def function(number):
        call = QueuedCall(f"o{number % 50}", 1, 5, 10, 1e9, None)
        admission.offer(call, 1.0)
        for started in admission.start_next(1.0):
            admission.finished(started, 1.0)

    return microseconds(function)


def heartbeat(number):
    return wire.Heartbeat(
        f"agent-{number % 26}",
        1,
        number,
        "model-3",
        12_345,
        MemberState.READY,
        99_999,
        0,
        70_000,
    )


def peer_report(number):
    sums = [wire.ServiceSum(f"model-{n}", 12_345_678, 3) for n in range(11)]
    origin = f"router-{number % 52}"
    return wire.PeerReport(origin, 1, number, sums, 1, 9, 9, 26, [], [], [], False)


class IgnoringObserver(VersionObserver):
    def adopted(self, view):
        pass

    def head_refused(self, error):
        raise error

    def pull_failed(self, version, detail):
        raise RuntimeError(detail)


class AcceptAllHeads(HeadVerifier):
    def verify(self, head):
        pass


class TreeSource(SectionSource):
    def __init__(self, tree):
        self.tree = tree

    def fetch(self, digest):
        return succeed(self.tree.sections[digest].data)


def change_cost(organisations):
    """Return bytes and microseconds of a change of one organisation, and root bytes."""
    text = "".join(
        f"[organisation org-{n:05d}]\nkey_hashes = {n:064x}\nteam = t\nweight = 2\n"
        for n in range(organisations)
    )
    version_manager = VersionManager(
        AcceptAllHeads({}), IgnoringObserver(), needs_organisations=True
    )
    trees = []
    for version in range(1, 12):
        changed = (
            text.replace(
                f"key_hashes = {version:064x}\n",
                f"key_hashes = {'f' * 63}{version % 10}\n",
            )
            if version > 1
            else text
        )
        bundle = Bundle.from_ini(changed, "t")
        trees.append(build_tree(bundle, version, "", "a", 0))
    version_manager.pull_if_newer(
        VersionHead(1, trees[0].digest, "a", b""), TreeSource(trees[0])
    )
    before = version_manager.pulled_bytes
    began = time.process_time()
    for tree in trees[1:]:
        head = VersionHead(tree.root.version, tree.digest, "a", b"")
        version_manager.pull_if_newer(head, TreeSource(tree))
    elapsed = time.process_time() - began
    changes = len(trees) - 1
    root = len(trees[0].root.encode())
    return (
        (version_manager.pulled_bytes - before) / changes,
        1e6 * elapsed / changes,
        root,
    )


def main():
    delta, apply_us, root = change_cost(14_000)
    rng = random.Random(1)
    sums = AgentSums(LoadReportSettings(), "r")
    domain = DomainSums(LoadReportSettings(), "d", "r")
    fleet = FleetSums(LoadReportSettings())
    for number in range(52):
        domain.record_report(peer_report(number), 0.0)
    for name in range(8):
        summary = domain.summary(0.0)
        summary.domain = f"d{name}"
        fleet.record_report(summary, 0.0)
    limiter = OrganisationRateLimiter(RateSettings())
    reply = wire.HeartbeatReply(
        1,
        [wire.ServiceMean("model-3", 12_345_678, 1000, 900)],
        wire.Head(0, "", "", b""),
        70_000,
        [],
        [],
    )
    peer_reply = wire.PeerReply(
        1,
        fleet.means(0.0),
        wire.Head(0, "", "", b""),
        [],
        70_000,
        False,
        [],
        [],
        [],
        "",
    )
    chunk = wire.AnswerChunk(1 << 50, 12_345, 1000, b"x" * 120)
    messages = {
        "heartbeat": heartbeat(1),
        "heartbeat_reply": reply,
        "peer_report": peer_report(1),
        "peer_reply": peer_reply,
        "domain_sums": wire.DomainSums(domain.summary(0.0), HEAD),
        "answer_chunk": chunk,
    }
    figures = {
        "change_bytes": delta,
        "change_apply_us": apply_us,
        "root_bytes": root,
        "order_1000_targets_us": order_cost(1000),
        "order_11000_targets_us": order_cost(11_000),
        "admission_empty_us": admission_cost(0),
        "admission_200_waiting_us": admission_cost(200),
        "limiter_us": microseconds(
            lambda n: limiter.admit(f"o{n % 14000}", 50.0, n * 1e-4)
        ),
        "hear_heartbeat_us": microseconds(
            lambda n: sums.record_heartbeat(heartbeat(n), n * 0.01)
        ),
        "hear_report_us": microseconds(
            lambda n: domain.record_report(peer_report(n), n * 0.01), 2000
        ),
        "sum_domain_us": microseconds(lambda _: domain.summary(0.0), 500),
        "sum_fleet_us": microseconds(lambda _: fleet.means(0.0), 2000),
        "build_report_us": microseconds(lambda _: sums.sums(), 2000),
        "seed": rng.random(),
    }
    for name, message in messages.items():
        frame = encode(message)
        figures[f"{name}_bytes"] = len(frame) + 4
        figures[f"{name}_encode_us"] = microseconds(
            lambda _, m=message: encode(m), 5000
        )
        figures[f"{name}_decode_us"] = microseconds(lambda _, f=frame: decode(f), 5000)
    save("decision_cost", figures)


if __name__ == "__main__":
    main()
