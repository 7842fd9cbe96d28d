"""Counts what routers send to targets that report leaving or request pauses.

    python tests/soak/statements.py --routers 4

The entries of all targets stay unchanged, so that routers learn of it from answers
alone. In each of three runs it counts: requests that reach a target from a router later
than 2 s after that router passed on an answer which reports that the target leaves;
requested pauses in which more than two requests of a router were received, and the most
in one pause; and the share of callers that were served during the run and after the
pauses. Callers that disconnect early and withdrawn keys are not counted.
"""

from __future__ import annotations

import argparse
import random
import sys
import tempfile
from pathlib import Path

if __name__ == "__main__":
    sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from twisted.internet import reactor
from twisted.internet.defer import inlineCallbacks
from twisted.internet.task import deferLater

from soak import promises
from soak.backends import Backends
from soak.callers import Caller
from soak.fleet import Fleet
from soak.history import ANSWERED
from soak.history import LEFT
from soak.history import History

TARGETS_PER_SERVICE = 6
CALLER_COUNT = 40
CALLER_PAUSE_SECONDS = 0.05
REQUESTED_PAUSE_SECONDS = 3.0
WARM_SECONDS = 2.0
MEASURED_SECONDS = 12.0
# Time after the last pause from which callers should be served again.
RETURN_SECONDS = 0.5
AFTER_SECONDS = 4.0
MAX_START_SECONDS = 60.0
# Statuses for withdrawn keys and removed routes.
EXPECTED_REFUSALS = (401, 404)


class StatementsRun:
    """Routers, targets and callers of one run."""

    def __init__(self, routers, folder, seed):
        self.history = History()
        rng = random.Random(seed)
        self._backends = Backends(
            TARGETS_PER_SERVICE, TARGETS_PER_SERVICE, self.history, rng, lambda *_: None
        )
        self._fleet = Fleet(routers, folder, self._backends.store_port, self.history)
        operator = self._backends.operator
        operator.write(rng)
        self._callers = [
            Caller(
                number,
                random.Random(seed * 1000 + number),
                self._fleet,
                self.history,
                operator,
            )
            for number in range(CALLER_COUNT)
        ]

    def choose_targets(self, count):
        """Return this many targets, from both services in turn."""
        targets = self._backends.targets
        pairs = zip(
            targets[:TARGETS_PER_SERVICE], targets[TARGETS_PER_SERVICE:], strict=True
        )
        return [target for pair in pairs for target in pair][:count]

    @inlineCallbacks
    def run(self, begin, end):
        """Run callers, and call `begin` and `end` around the measured period.

        Returns the shares of callers served in that period and after the pauses.
        """
        self._fleet.start()
        until = reactor.seconds() + MAX_START_SECONDS
        while any(router.missed_probes for router in self._fleet.routers):
            if reactor.seconds() > until:
                raise TimeoutError("the routers did not become ready")
            yield wait(0.1)
        for caller in self._callers:
            caller.run(CALLER_PAUSE_SECONDS)
        yield wait(WARM_SECONDS)
        began = reactor.seconds()
        begin()
        yield wait(MEASURED_SECONDS)
        end()
        ended = reactor.seconds()
        yield wait(REQUESTED_PAUSE_SECONDS + RETURN_SECONDS + AFTER_SECONDS)
        for caller in self._callers:
            caller.stop()
        pauses = [pause.at + pause.seconds for pause in self.history.pause_requests]
        returned_at = max([ended, *pauses]) + RETURN_SECONDS
        return self.served_share(began, ended), self.served_share(
            returned_at, returned_at + AFTER_SECONDS
        )

    def served_share(self, began, ended):
        """Return the share of the requests sent in a period that were served."""
        counted = [
            request
            for request in self.history.sent_requests.values()
            if began <= request.sent_at < ended
            and request.ended_at is not None
            and request.outcome != LEFT
            and request.status not in EXPECTED_REFUSALS
        ]
        good = sum(
            request.outcome == ANSWERED and request.status == 200 for request in counted
        )
        return good / len(counted) if counted else 0.0

    def stop(self):
        """Stop all routers, targets and the store."""
        self._fleet.stop()
        self._backends.close()


def wait(seconds):
    return deferLater(reactor, seconds, lambda: None)


@inlineCallbacks
def measure_leaving(routers, folder, seed):
    """Measure a run in which four targets report that they leave."""
    statements_run = StatementsRun(routers, folder, seed)

    def begin():
        for target in statements_run.choose_targets(4):
            target.script.is_leaving = True

    try:
        served, _ = yield statements_run.run(begin, lambda: None)
    finally:
        statements_run.stop()
    late = sum(1 for _ in promises.leaving_answers_end_work(statements_run.history))
    result = promises.count_judged(statements_run.history)[
        "answers that said that a target leaves"
    ]
    return f"4 leave: {late} late requests, {result} first answers; served {served:.3f}"


@inlineCallbacks
def measure_pauses(routers, folder, seed, count):
    """Measure a run in which targets decline all requests and request pauses."""
    statements_run = StatementsRun(routers, folder, seed)

    def begin():
        for target in statements_run.choose_targets(count):
            target.script.rest = REQUESTED_PAUSE_SECONDS
            target.script.is_resting = True

    def end():
        for target in statements_run.choose_targets(count):
            target.script.is_resting = False

    try:
        served, after = yield statements_run.run(begin, end)
    finally:
        statements_run.stop()
    pauses = list(promises._requests_in_pauses(statements_run.history))
    most = max((len(received) for _, _, received in pauses), default=0)
    broken = sum(1 for _ in promises.requested_pauses_are_kept(statements_run.history))
    return (
        f"{count} rest: {broken} of {len(pauses)} rests broken, most in one {most}; "
        f"served {served:.3f}, after it {after:.3f}"
    )


@inlineCallbacks
def run_all(arguments, folder):
    routers, seed = arguments.routers, arguments.seed
    for measure in (
        lambda: measure_leaving(routers, folder, seed),
        lambda: measure_pauses(routers, folder, seed, 4),
        lambda: measure_pauses(routers, folder, seed, 2 * TARGETS_PER_SERVICE),
    ):
        result = yield measure()
        sys.stdout.write(f"{routers} routers, {result}\n")


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--routers", type=int, default=4)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    failed = []

    def begin():
        done = run_all(arguments, Path(tempfile.mkdtemp(prefix="statements-")))
        done.addErrback(failed.append)
        done.addBoth(lambda _: reactor.stop())

    reactor.callWhenRunning(begin)
    reactor.run()
    if failed:
        sys.exit(failed[0].getTraceback())


if __name__ == "__main__":
    main()
