"""An agent before one target that is asked for 2.5 times what it can do."""

from __future__ import annotations

import http.client
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from support.riga_processes import RigaProcessesTest

SLOTS = 4
WORK_SECONDS = 0.1
CAN_DO_PER_SECOND = SLOTS / WORK_SECONDS
PER_SECOND = 2.5 * CAN_DO_PER_SECOND
PLAY_SECONDS = 9.0
# Until then, the queue of a burst may be as long as callers can wait for.
ONSET_SECONDS = 5.0
BUDGET_SECONDS = 2
MAX_CALLERS = int(PER_SECOND * (BUDGET_SECONDS + 1))


class AgentOverloadTest(RigaProcessesTest):
    def start_limited(self):
        """Start the processes with a target of four slots."""
        (self.folder / "agent-portal-1.ini").open("a").write(
            f"\n[admission]\nslots = {SLOTS}\nreserve = 0\n"
        )
        (self.folder / "service-1.ini").open("a").write(f"delay = {WORK_SECONDS}\n")
        self.start_all()

    def ask(self, due, began):
        """Return when a request was due, its status, and how long its answer took."""
        time.sleep(max(0.0, began + due - time.monotonic()))
        sent_at = time.monotonic()
        try:
            status, _ = self.call(
                "GET",
                "/services/portal/hello",
                headers={
                    "X-Request-Timeout": str(BUDGET_SECONDS),
                    "Connection": "close",
                },
            )
        except (OSError, http.client.HTTPException):
            status = 0
        return due, status, time.monotonic() - sent_at

    # The queue stood as long as callers could wait: the served waited for nearly all of
    # their time, no more were served, and others waited in vain until their deadline.
    def test_the_served_do_not_stand_in_a_queue_and_the_others_do_not_wait(self):
        self.start_limited()
        began = time.monotonic()
        dues = [number / PER_SECOND for number in range(int(PLAY_SECONDS * PER_SECOND))]
        with ThreadPoolExecutor(MAX_CALLERS) as callers:
            asked = list(callers.map(lambda due: self.ask(due, began), dues))
        steady = [found[1:] for found in asked if found[0] >= ONSET_SECONDS]
        served = sorted(took for status, took in steady if status == 200)
        others = sorted(took for status, took in steady if status != 200)
        sys.stdout.write(
            f"{len(steady)} asked, {len(served)} served, median "
            f"{served[len(served) // 2]:.3f}, longest {served[-1]:.3f}; {len(others)} "
            f"others after {others[int(0.95 * len(others))]:.3f}, {others[-1]:.3f}\n"
        )
        self.assertEqual({200, 503}, {status for status, _ in steady})
        share = len(served) / len(steady)
        self.assertTrue(share >= 0.9 * CAN_DO_PER_SECOND / PER_SECOND, share)
        self.assertTrue(served[len(served) // 2] < 5 * WORK_SECONDS, served)
        self.assertTrue(others[int(0.95 * len(others))] < WORK_SECONDS, others)
