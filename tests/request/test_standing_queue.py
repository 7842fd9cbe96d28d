"""Bursts are served from the queue, and a queue that stands is kept short.

The plays are of one router on a virtual clock. In an overload that lasts, no queue
serves more than the targets can do: a longer one only makes each answer later.
"""

from __future__ import annotations

import random

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from entry.fakes import START
from primrosescale.request.capacity.standing_queue import StandingQueue
from primrosescale.request.capacity.standing_queue import max_standing
from support.overload import WORK_SECONDS
from support.overload import OverloadSite

PLACES = 6
BUDGET = 2.0
PLAY_SECONDS = 14.0
# The queue of a burst is over by then: as long as callers can wait, and as long again
# until it has been worked off.
ONSET_SECONDS = 4.5


class StandingQueueTest(TestCase):
    def ask(self, queue, load, seconds, now=START, time_left=2.0):
        """Ask for a multiple of what can be done; return the time afterwards."""
        work = 0.01
        until = now + seconds
        while now < until:
            queue.asked(work, time_left, 0.05, now)
            now += work / load
        return now

    # A burst that could be served in time was refused.
    def test_a_burst_that_can_be_done_in_the_callers_time_does_not_stand(self):
        queue = StandingQueue()
        now = self.ask(queue, 6.0, 0.35)
        self.assertFalse(queue.stands(now))
        now = self.ask(queue, 0.5, 5.0, now)
        self.assertFalse(queue.stands(now))

    # A larger one is given up only after callers have waited for as long as they can.
    def test_more_than_that_stands_after_the_time_that_callers_can_wait(self):
        queue = StandingQueue()
        now = self.ask(queue, 6.0, 1.9)
        self.assertFalse(queue.stands(now))
        now = self.ask(queue, 6.0, 0.2, now)
        self.assertTrue(queue.stands(now))

    # A queue that was kept short looked like the end of the overload, and grew again.
    @given(st.floats(1.3, 12.0), st.integers(0, 5))
    def test_it_stands_while_more_is_asked_for_than_can_be_done(self, load, seed):
        queue, rng, now = StandingQueue(), random.Random(seed), START
        standing = []
        while now < START + 30:
            queue.asked(0.02, 2.0, 0.2, now)
            standing.append(queue.stands(now))
            now += rng.expovariate(load / 0.02)
        late = standing[len(standing) // 2 :]
        self.assertTrue(sum(late) >= 0.8 * len(late), (sum(late), len(late)))

    # Callers were refused long after the overload was over.
    def test_it_ends_with_the_overload(self):
        queue = StandingQueue()
        now = self.ask(queue, 6.0, 10.0)
        self.assertTrue(queue.stands(now))
        now = self.ask(queue, 0.5, 0.3, now)
        self.assertFalse(queue.stands(now))

    # A load just below what can be done refused callers.
    def test_it_never_stands_while_all_can_be_done(self):
        queue, rng, now = StandingQueue(), random.Random(1), START
        while now < START + 60:
            queue.asked(0.02, 2.0, 0.2, now)
            self.assertFalse(queue.stands(now))
            now += rng.expovariate(0.9 / 0.02)

    # A few callers with far more time than the others made the queue longer for all.
    def test_a_few_callers_with_more_time_hardly_matter(self):
        queue = StandingQueue()
        for number in range(1000):
            queue.asked(0.001, 60.0 if number % 33 == 0 else 2.0, 0.0, START)
        self.assertTrue(2.0 <= queue.patience < 2.3, queue.patience)

    # Those who could not be answered even at once do not make a queue stand.
    def test_callers_without_any_time_do_not_count(self):
        queue = StandingQueue()
        for number in range(1000):
            queue.asked(1.0, 0.0, 0.0, START + number)
            queue.asked(1.0, -1.0, 0.0, START + number)
        self.assertFalse(queue.stands(START + 1000))

    # Targets without any room, for which the work has no end, must not break it.
    def test_work_without_end_counts_for_as_long_as_callers_wait(self):
        queue = StandingQueue()
        queue.asked(float("inf"), 2.0, float("inf"), START)
        self.assertFalse(queue.stands(START + 1))
        queue.asked(float("inf"), 2.0, 0.1, START + 1)
        self.assertFalse(queue.stands(START + 60))

    # After the clock was set back, a queue stood for hours, or never.
    def test_its_times_move_with_the_clock(self):
        queue = StandingQueue()
        now = self.ask(queue, 6.0, 10.0)
        queue.shift_times(-1000)
        self.assertTrue(queue.stands(now - 1000))
        self.assertFalse(queue.stands(now - 1000 + 3))


class Play:
    """Callers of two organisations at a steady rate, and what they got."""

    def __init__(self, load, long_share=0.0, returns=False, seed=3):
        self.site = OverloadSite(requests=PLACES)
        self.rng = random.Random(seed)
        self.load = load
        self.long_share = long_share
        self.returns = returns
        self.calls = []
        self.due = START
        self._arrive()
        self.site.pass_time(PLAY_SECONDS + BUDGET, step=0.002)

    def _arrive(self):
        clock = self.site.clock
        self.due += self.rng.expovariate(self.load * PLACES / WORK_SECONDS)
        if self.due < START + PLAY_SECONDS:
            clock.callLater(max(0.0, self.due - clock.seconds()), self._arrive)
        is_long = self.rng.random() < self.long_share
        budget = 2.1 * BUDGET if is_long else BUDGET
        name = f"o{self.rng.randrange(2)}"
        self._ask(name, budget, is_usual=not is_long, returns=self.returns)

    def _ask(self, name, budget, *, is_usual, returns):
        index = len(self.site.calls)
        call = self.site.call(name, budget=budget, seconds=WORK_SECONDS)
        assert self.site.calls[index] is call
        if is_usual and call.submitted_at >= START + ONSET_SECONDS:
            self.calls.append(call)
        if not returns:
            return
        left = budget - (call.retry_after or 0.0)
        if call.refusals and left > 0:
            again = {"is_usual": is_usual, "returns": False}
            self.site.clock.callLater(
                call.retry_after or 0.0, lambda: self._ask(name, left, **again)
            )

    @property
    def served(self):
        return [call for call in self.calls if call.started]

    @property
    def share(self):
        return len(self.served) / len(self.calls)

    @property
    def median_wait(self):
        waits = sorted(call.waited for call in self.served)
        return waits[len(waits) // 2]

    def refused_after(self, share):
        waits = sorted(
            call.refused_at - call.submitted_at for call in self.calls if call.refusals
        )
        return waits[int(share * len(waits))]


class SteadyOverloadTest(TestCase):
    # Callers were held for a share of an objective or to the end of their time, and
    # then refused all the same.
    def test_what_cannot_be_served_is_refused_at_once(self):
        for load in (1.5, 2.0, 6.0):
            play = Play(load)
            self.assertEqual(0.0, play.refused_after(0.95), load)

    # Those who were served had waited for nearly all of their time.
    def test_the_served_wait_no_longer_than_keeps_the_targets_busy(self):
        longest = (max_standing(PLACES) + 1) * WORK_SECONDS / PLACES
        for load in (1.5, 2.0, 6.0):
            self.assertTrue(Play(load).median_wait <= longest, load)

    # A shorter queue must not leave the targets idle.
    def test_as_many_are_served_as_the_targets_can_do(self):
        for load in (1.5, 2.0, 6.0):
            play = Play(load)
            self.assertTrue(play.share >= 0.93 / load, (load, play.share))

    # Callers with less time than a few others were taken for those that come again:
    # they went first, and were held until the end of their time.
    def test_callers_get_the_same_beside_a_few_with_more_time(self):
        usual, beside = Play(2.5), Play(2.5, long_share=0.03)
        self.assertAlmostEqual(usual.share, beside.share, delta=0.05)
        self.assertAlmostEqual(usual.median_wait, beside.median_wait, delta=0.03)
        self.assertEqual(0.0, beside.refused_after(0.95))

    # Callers that came again were preferred to others of their organisation.
    def test_callers_that_return_have_the_same_chance_as_others(self):
        play = Play(2.5, returns=True)
        first = [c for c in play.calls if c.request.deadline - c.submitted_at > 1.99]
        again = [c for c in play.calls if c not in first]
        shares = [
            sum(bool(call.started) for call in calls) / len(calls)
            for calls in (first, again)
        ]
        self.assertTrue(len(again) > 300, len(again))
        self.assertAlmostEqual(*shares, delta=0.08)
        self.assertEqual(0.0, play.refused_after(0.95))
