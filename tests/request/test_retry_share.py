"""How a router saves up its share of the retries of all routers."""

from __future__ import annotations

from testtools import TestCase

from entry.fakes import START
from primrosescale.request.attempt.retry_share import MAX_UNREAD_SECONDS
from primrosescale.request.attempt.retry_share import REQUESTS_SAFETY_FACTOR
from primrosescale.request.attempt.retry_share import SAFETY_FACTOR
from primrosescale.request.attempt.retry_share import SAVED_PART
from primrosescale.request.attempt.retry_share import STARTING_PART
from primrosescale.request.attempt.retry_share import RetryShare
from primrosescale.request.attempt.retry_share import SharedRetryLimits
from primrosescale.request.capacity.router_shares import SETTLING_SECONDS

LIMITS = SharedRetryLimits(ratio=0.2, window=10.0, extra=100.0)
ROUTERS = 4
SHARE = SAFETY_FACTOR * LIMITS.extra / ROUTERS
SAVED = SAVED_PART * SHARE


class RetryShareTest(TestCase):
    def share(self, routers=ROUTERS, *, is_first_start=False, was_listed=True):
        share = RetryShare(LIMITS, is_first_start=is_first_start)
        share.set_routers(routers, START, was_listed=was_listed)
        return share

    def at_once(self, share, after):
        """Return what may be sent at one moment, if nothing was sent before."""
        now = START + after
        return round(share.fixed_retries(now, now), 6)

    def in_a_window(self, share, after):
        now = START + after
        return round(share.fixed_retries(now - LIMITS.window, now), 6)

    # A router that had been killed took its whole share again.
    def test_it_begins_with_nothing_after_a_start(self):
        share = self.share()
        self.assertEqual(0, self.at_once(share, 0))
        self.assertEqual(SAVED / 2, self.at_once(share, 5))
        self.assertEqual(SAVED, self.at_once(share, 10))
        self.assertEqual(SAVED, self.at_once(share, 60))

    def test_a_window_holds_the_whole_share_at_the_most(self):
        share = self.share()
        self.assertEqual(SHARE / 2, self.in_a_window(share, 10))
        for after in (20, 60):
            self.assertEqual(SHARE, self.in_a_window(share, after))

    def test_a_first_start_has_its_share_at_once(self):
        share = self.share(is_first_start=True, was_listed=False)
        self.assertEqual(SAVED, self.at_once(share, 0))

    # Routers that started together did not count each other yet.
    def test_a_router_that_was_not_listed_waits_until_the_others_count_it(self):
        share = self.share(was_listed=False)
        self.assertEqual(0, self.at_once(share, SETTLING_SECONDS))
        self.assertEqual(SAVED, self.at_once(share, SETTLING_SECONDS + 10))

    # The others' shares grew while what a stopped router had sent still counted.
    def test_the_largest_list_of_the_last_window_counts(self):
        share = self.share()
        for second in range(1, 30):
            share.set_routers(1 if second > 10 else ROUTERS, START + second)
            expected = 1 if second > 20 else ROUTERS
            self.assertEqual(expected, share.routers, second)
        share.set_routers(3, START + 30)
        share.set_routers(2, START + 31)
        self.assertEqual(3, share.routers)

    # Routers without a list took the share of an assumed number of routers.
    def test_without_a_list_it_has_nothing(self):
        share = self.share(None)
        self.assertIsNone(share.routers)
        self.assertEqual(0, self.at_once(share, 60))
        self.assertEqual(0, self.in_a_window(share, 60))

    # A router that had been cut off for long used a share that others used too.
    def test_a_list_that_is_too_old_is_dropped_and_saving_begins_anew(self):
        share = self.share()
        share.set_routers(None, START + 60)
        self.assertEqual(0, self.at_once(share, 60))
        share.set_routers(ROUTERS, START + 70, was_listed=True)
        self.assertEqual(0, self.at_once(share, 70))
        self.assertEqual(SAVED, self.at_once(share, 80))

    def test_a_first_start_counts_once(self):
        share = self.share(is_first_start=True)
        share.set_routers(None, START + 1)
        share.set_routers(ROUTERS, START + 2, was_listed=True)
        self.assertEqual(0, self.at_once(share, 2))

    # What targets had not read of the process before was forgotten at its end.
    def test_a_former_process_counts_for_a_window_after_its_retries_may_be_read(self):
        until = START + MAX_UNREAD_SECONDS + LIMITS.window
        share = self.share()
        self.assertTrue(share.reserves_unread(until - 0.1))
        self.assertFalse(share.reserves_unread(until))
        self.assertTrue(self.share(None).reserves_unread(until))
        self.assertFalse(self.share(is_first_start=True).reserves_unread(START))

    def test_little_is_spent_while_retries_of_a_former_process_are_reserved(self):
        share = self.share()
        self.assertEqual(
            STARTING_PART * share.retries_per_request(),
            share.retries_per_request(is_reserved=True),
        )
        for after, part in ((MAX_UNREAD_SECONDS, 0), (MAX_UNREAD_SECONDS + 5, 0.5)):
            now = START + after
            found = share.fixed_retries(now, now, is_reserved=True)
            self.assertAlmostEqual(part * SAVED, found)

    def test_new_limits_are_in_force_at_once(self):
        share = self.share()
        share.configure(SharedRetryLimits(ratio=0.1, window=10.0, extra=50.0))
        self.assertEqual(SAVED / 2, self.at_once(share, 60))
        self.assertEqual(REQUESTS_SAFETY_FACTOR * 0.1, share.retries_per_request())
