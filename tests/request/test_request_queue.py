"""The order and the bounds of waiting calls of one service."""

from __future__ import annotations

import math
from collections import Counter
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from entry.fakes import STREAM
from entry.fakes import prompt
from entry.fakes import request
from primrosescale.request.capacity.capacity_view import Allowance
from primrosescale.request.capacity.fair_queue import QueuedCall
from primrosescale.request.capacity.fair_queue import _PriorityClass
from primrosescale.request.capacity.priority_turns import LEAST_URGENT_INTERVAL
from primrosescale.request.capacity.request_queue import PLAIN_WORK
from primrosescale.request.capacity.request_queue import RequestQueue
from primrosescale.request.capacity.request_queue import max_burst
from primrosescale.request.capacity.request_queue import work_of
from primrosescale.request.capacity.standing_queue import max_standing


def queued(organisation="o", priority=1, *, work=100, until=1e9):
    return QueuedCall(organisation, 1, priority, work, until, organisation)


def fill(queue, *calls):
    for call in calls:
        queue.push(call)
    return queue


def ahead(queue, organisation, priority=1):
    return queue.calls_ahead(organisation, priority)


class RequestQueueTest(TestCase):
    # Who had less time left was taken for one that returns, and overtook the others.
    def test_calls_of_an_organisation_start_in_the_order_of_their_arrival(self):
        calls = [queued("o", until=until) for until in (9.0, 2.0, 5.0, 1.0)]
        queue = fill(RequestQueue(), *calls)
        self.assertEqual(calls, [queue.pop() for _ in calls])
        self.assertIsNone(queue.pop())

    # Organisations whose names come first in the alphabet overtook the others.
    def test_calls_with_the_same_turn_start_in_the_order_of_their_arrival(self):
        names = ["z", "m", "a"]
        queue = fill(RequestQueue(), *(queued(name) for name in names))
        fill(queue, queued("m"), queued("a"), queued("z"))
        found = [queue.pop().organisation for _ in range(6)]
        self.assertEqual([*names, "m", "a", "z"], found)

    # A discarded call left its organisation charged for it, or others without a tag.
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["push", "pop", "discard"]),
                st.integers(0, 2),
                st.integers(0, 50),
            )
        )
    )
    def test_in_any_order_of_events_the_first_of_an_organisation_comes_first(
        self, events
    ):
        queue, waiting = RequestQueue(), []
        for name, organisation, index in events:
            if name == "push":
                call = queued(f"o{organisation}")
                own = [c for c in waiting if c.organisation == call.organisation]
                found = ahead(queue, f"o{organisation}")
                self.assertTrue(found >= len(own) - 1e-6, (found, len(own)))
                fill(queue, call)
                waiting.append(call)
            elif waiting and name == "pop":
                call = queue.pop()
                own = [c for c in waiting if c.organisation == call.organisation]
                self.assertIs(own[0], call)
                waiting.remove(call)
            elif waiting:
                self.assertTrue(queue.discard(waiting.pop(index % len(waiting))))
        self.assertEqual(len(waiting), len(queue))
        while waiting:
            waiting.remove(queue.pop())
        self.assertIsNone(queue.pop())

    # Urgent requests without end must not starve the least urgent ones.
    def test_every_eighth_start_goes_to_the_least_urgent_priority(self):
        queue = RequestQueue()
        found = []
        fill(queue, *(queued("least", 7) for _ in range(6)))
        for _ in range(32):
            fill(queue, queued("urgent", 0), queued("urgent", 0))
            found.append(queue.pop().organisation)
        eighths = found[LEAST_URGENT_INTERVAL - 1 :: LEAST_URGENT_INTERVAL]
        self.assertEqual(["least"] * 4, eighths)
        self.assertEqual(4, found.count("least"))

    # Calls of changing size gave their organisation more than its share.
    @given(st.lists(st.integers(1, 300), min_size=20))
    def test_calls_of_any_size_do_not_change_the_share_of_an_organisation(self, calls):
        queue = RequestQueue()
        for work in calls:
            fill(queue, queued("mixed", work=work), queued("even", work=100))
        done = Counter()
        while queue._calls.organisations == 2:
            call = queue.pop()
            done[call.organisation] += call.work
        # Start-time fair queueing: at most one call of each organisation apart.
        self.assertTrue(abs(done["mixed"] - done["even"]) <= 400, done)

    # Work counts, so that long prompts take no more than their organisation's share.
    def test_organisations_share_starts_by_work(self):
        queue = RequestQueue()
        for _ in range(20):
            fill(queue, queued("long", work=300), queued("short", work=100))
        first = [queue.pop().organisation for _ in range(16)]
        self.assertEqual(4, first.count("long"))

    # An organisation in excess must not push out those that have less.
    def test_the_call_that_would_start_last_gives_up_its_place(self):
        last = queued("large")
        queue = fill(RequestQueue(), queued("large"), queued("small"), last)
        self.assertIs(last, queue.displaceable_by("new", 1))
        self.assertIs(last, queue.displaceable())
        self.assertIsNone(queue.displaceable_by("large", 1))

    # New callers of many organisations displaced those that waited without end.
    def test_a_call_does_not_give_way_to_one_that_would_start_after_it(self):
        queue = fill(RequestQueue(), *(queued(f"o{number}") for number in range(8)))
        self.assertIsNone(queue.displaceable_by("new", 1))
        served = queue.pop()
        self.assertIsNone(queue.displaceable_by(served.organisation, 1))
        again = queued(served.organisation)
        fill(queue, again)
        # It has had its turn, others have not.
        self.assertIs(again, queue.displaceable_by("new", 1))

    # A prompt many times as long as others never kept its place.
    def test_a_large_call_does_not_give_way_to_small_ones(self):
        large = queued("large", work=10_000)
        queue = fill(RequestQueue(), large, *(queued("small") for _ in range(3)))
        displaced = queue.displaceable_by("new", 1)
        self.assertEqual("small", displaced.organisation)

    # Where it has calls of several priorities, the least urgent one gives way.
    def test_its_least_urgent_call_is_displaced(self):
        least = queued("large", 5)
        queue = fill(RequestQueue(), least, queued("large", 0), queued("small"))
        self.assertIs(least, queue.displaceable())

    # Urgent requests were refused because less urgent ones had filled the queue.
    def test_a_less_urgent_call_gives_way_to_an_urgent_one(self):
        least = queued("small", 5)
        queue = fill(RequestQueue(), queued("large", 0), queued("large", 0), least)
        urgent, middle, lower = 0, 3, 5
        self.assertIs(least, queue.displaceable_by("large", urgent))
        self.assertIs(least, queue.displaceable_by("new", middle))
        # An urgent call does not give way to a less urgent one, nor one of the same
        # priority whose turn comes first.
        self.assertIsNone(queue.displaceable_by("small", lower))
        self.assertIsNone(queue.displaceable_by("new", lower))

    # Urgent requests without end pushed the least urgent ones out of the queue.
    def test_the_least_urgent_priority_keeps_an_eighth_of_the_places(self):
        least, last = queued("small", 5), queued("large", 0)
        queue = fill(RequestQueue(), least, *(queued("large", 0) for _ in range(8)))
        fill(queue, last)
        urgent, lower = 0, 5
        self.assertIs(last, queue.displaceable_by("new", urgent))
        self.assertIsNone(queue.displaceable_by("large", urgent))
        self.assertIs(last, queue.displaceable_by("new", lower))

    # A forecast that counts the queues of others in full refuses small organisations.
    def test_calls_ahead_are_counted_in_the_fair_order(self):
        queue = fill(RequestQueue(), *(queued("large") for _ in range(10)))
        self.assertAlmostEqual(10.0, ahead(queue, "large"))
        # The first of the others came before.
        self.assertAlmostEqual(1.0, ahead(queue, "small"))
        fill(queue, queued("urgent", 0), queued("large"))
        self.assertAlmostEqual(12.0, ahead(queue, "large"))
        self.assertAlmostEqual(2.0, ahead(queue, "small"))
        fill(queue, queued("small"))
        self.assertAlmostEqual(4.0, ahead(queue, "small"))
        self.assertAlmostEqual(1.0, ahead(queue, "small", 0))

    # Eighth starts count in the forecast, or the least urgent would all be refused.
    def test_the_forecast_of_the_least_urgent_is_bounded(self):
        queue = fill(RequestQueue(), *(queued("urgent", 0) for _ in range(100)))
        self.assertAlmostEqual(8.0, ahead(queue, "small", 7))

    # A call that has left must not be refused later, nor keep others from expiring.
    def test_expired_calls_are_removed_once(self):
        gone, early, late = queued(until=1.0), queued(until=2.0), queued(until=3.0)
        queue = fill(RequestQueue(), gone, late, early)
        self.assertTrue(queue.discard(gone))
        self.assertFalse(queue.discard(gone))
        self.assertEqual([], queue.expired(0.5))
        self.assertEqual([early], queue.expired(2.0))
        self.assertEqual(3.0, queue.next_expiry)
        self.assertEqual([late], queue.clear())
        self.assertEqual(0, len(queue))

    # Refusing all waiting calls in a planned stop took 0.6 s for 4000 of them.
    def test_calls_that_end_together_are_removed_in_one_pass(self):
        for end in (RequestQueue.clear, lambda queue: queue.expired(2.0)):
            queue = fill(RequestQueue(), *(queued(until=1.0) for _ in range(50)))
            with mock.patch.object(_PriorityClass, "discard") as discard:
                self.assertEqual(50, len(end(queue)))
            self.assertEqual((0, 0), (discard.call_count, len(queue)))
            self.assertIsNone(queue.pop())

    # Removal in one pass left tags, totals or heads that differ from single removals.
    @given(
        st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2), st.integers(0, 3))),
        st.integers(0, 5),
    )
    def test_removal_in_one_pass_equals_single_removals(self, calls, pops):
        found = []
        for at_once in (True, False):
            queue, waiting = RequestQueue(), []
            for number, (organisation, priority, until) in enumerate(calls):
                call = queued(f"o{organisation}", priority)
                call.deadline = float(until)
                call.item = number
                fill(queue, call)
                waiting.append(call)
            for _ in range(pops):
                queue.pop()
            if at_once:
                queue.expired(1.0)
            else:
                for call in waiting:
                    if call.deadline <= 1.0:
                        queue.discard(call)
            found.append(self.drained(queue))
        self.assertEqual(*found)

    def drained(self, queue):
        """Return the forecast and all calls in the order of their starts."""
        seen = [round(ahead(queue, f"o{number}", 1), 6) for number in range(4)]
        while len(queue):
            call = queue.pop()
            seen.append((call.item, round(call.start_tag, 6)))
        self.assertEqual(0, queue._calls.work + queue._calls.organisations)
        return seen

    # Discards in a priority that gets no starts left an entry of the heap behind each.
    def test_discarded_calls_of_a_starved_priority_leave_nothing_behind(self):
        queue = fill(RequestQueue(), queued("urgent", 0), queued("least", 9))
        for number in range(500):
            fill(queue, queued("middle", 4, until=number))
            fill(queue, queued("middle", 4, until=number + 1.5))
            queue.expired(number)
        middle = queue._calls._classes[4]
        self.assertTrue(len(middle.heap) < 10, len(middle.heap))


class BoundTest(TestCase):
    # Places were counted by what plain answers of one deployment take.
    def test_a_burst_may_be_as_long_as_callers_can_wait_for(self):
        for mean, answer_time, patience, expected in (
            (6.0, 0.1, 2.0, 120),
            (6.0, 1.0, 2.0, 12),
            (0.5, 0.1, 2.0, 10),
            (0.0, 0.1, 2.0, 1),
            (4.0, 2.0, 0.1, 1),
        ):
            allowed = Allowance(1, mean, 50.0, 70.0)
            found = max_burst(allowed, answer_time, patience)
            self.assertAlmostEqual(expected, found)

    # Before the first answers nothing is known that justifies a refusal.
    def test_nothing_limits_a_burst_while_answer_times_are_unknown(self):
        self.assertEqual(math.inf, max_burst(Allowance(1, 1.0, 5.0, 7.0), None, 2.0))
        self.assertEqual(math.inf, max_burst(None, 0.1, 2.0))

    # A queue that stands adds its length to each answer and serves no one more.
    def test_a_standing_queue_only_covers_how_arrivals_vary(self):
        for places, expected in ((1.0, 3), (2.0, 4.828), (4.0, 6), (100.0, 22)):
            self.assertAlmostEqual(expected, max_standing(places), places=3)

    # Three waiting calls at each of 420 routers were a queue of seconds before targets
    # with a few slots.
    def test_a_router_with_less_than_a_place_has_no_more_waiting_calls_for_it(self):
        for places, expected in ((0.0, 1), (0.1, 1), (0.33, 1), (0.5, 1.5)):
            self.assertAlmostEqual(expected, max_standing(places), places=3)

    # Shared parts are cached; counting them would make all prompts look alike.
    def test_the_work_of_a_prompt_is_that_of_its_own_tokens(self):
        incoming = request(STREAM, prompt=prompt(("s", 9000), ("o", 200), output=50))
        self.assertEqual(60, work_of(incoming))
        empty = request(STREAM, prompt=prompt(output=0))
        self.assertEqual(1, work_of(empty))
        self.assertEqual(PLAIN_WORK, work_of(request()))
