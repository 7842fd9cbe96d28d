"""The retries of all routers together, while routers start, end and lose each other.

Guards against retries that pile up beyond the bound of a service: a router that started
again, or stopped, gave out a share that had been used already, a request paid for
retries in two windows, what targets had not read yet did not count, and a reset or an
answer on another connection was taken as proof that they had.
"""

from __future__ import annotations

from testtools import TestCase
from testtools.matchers import GreaterThan

from primrosescale.request.attempt.retry_share import SharedRetryLimits
from support.retry_fleet import RetryFleet

LIMITS = SharedRetryLimits(ratio=0.2, window=10.0, extra=82.0)
RATE = 40.0
MIN_RATE_PER_ROUTER = 2.0
SIZES = (4, 8, 30)
# Routers that have started may reserve retries of a former process for 25 s.
WARM_UP_SECONDS = 40


class FleetBudgetTest(TestCase):
    """Runs fleets and judges their retries by the bound."""

    def fleet(self, routers=8, rate=None, **options):
        if rate is None:
            rate = max(RATE, MIN_RATE_PER_ROUTER * routers)
        fleet = RetryFleet(routers, LIMITS, rate, **options)
        fleet.run(WARM_UP_SECONDS)
        return fleet

    def check(self, fleet, name=""):
        self.assertEqual(0, fleet.excess, name)
        self.assertThat(len(fleet.retries), GreaterThan(0.05 * len(fleet.requests)))

    def names(self, fleet):
        return sorted(fleet.listed)


class RetryBudgetFleetTest(FleetBudgetTest):
    def test_routers_that_nothing_happens_to(self):
        for size in SIZES:
            fleet = self.fleet(size)
            fleet.run(30)
            self.check(fleet, size)

    # What a router had sent was forgotten when it started again.
    def test_routers_that_are_killed_one_after_the_other(self):
        for size in (*SIZES, 420):
            fleet = self.fleet(size)
            names = self.names(fleet)

            def kill_one(number, fleet=fleet, names=names):
                fleet.restart(names[number % len(names)])

            for interval in (1.0, 0.2):
                fleet.run(25, kill_one, interval)
            self.check(fleet, size)

    def test_most_routers_killed_at_once(self):
        for size in SIZES:
            fleet = self.fleet(size)

            def herd(_, fleet=fleet):
                for name in self.names(fleet)[1:]:
                    fleet.restart(name)

            fleet.run(30, herd, 3.0)
            self.check(fleet, size)

    def test_one_router_with_all_requests_that_is_killed_again_and_again(self):
        fleet = self.fleet()
        fleet.weights = dict.fromkeys(self.names(fleet), 0.0)
        fleet.weights["r0"] = 1.0
        fleet.run(30, lambda _: fleet.restart("r0"), 1.0)
        self.check(fleet)

    # The shares of the others grew while what a stopped router had sent still counted.
    def test_routers_that_are_stopped_and_started_one_after_the_other(self):
        for size in SIZES:
            fleet = self.fleet(size)
            names = self.names(fleet)

            def stop_one(number, fleet=fleet, names=names):
                back, gone = names[number % len(names)], names[-(number % len(names))]
                fleet.kill(gone)
                fleet.delist(gone)
                if back != gone:
                    fleet.list(back)
                    fleet.restart(back)

            fleet.run(40, stop_one, 0.7)
            self.check(fleet, size)

    def test_a_list_that_shrinks_to_one_router_and_grows(self):
        fleet = self.fleet()
        names = self.names(fleet)
        for name in names[1:]:
            fleet.kill(name)
            fleet.delist(name)
        fleet.run(4)
        for name in names[1:]:
            fleet.list(name)
            fleet.start(name)
        fleet.run(15)
        self.check(fleet)

    def test_routers_that_are_added(self):
        fleet = self.fleet(4)
        for number in range(20, 36):
            fleet.list(f"r{number}")
            fleet.start(f"r{number}")
        fleet.run(25)
        self.check(fleet)

    # Each of them took a share of eight routers.
    def test_many_routers_that_start_without_the_store(self):
        fleet = self.fleet(30)
        for name in self.names(fleet):
            fleet.kill(name)
        fleet.run(11)
        for name in self.names(fleet):
            fleet.start(name, reaches_store=False)
        fleet.run(25)
        self.check(fleet)

    # A change of any setting dropped the counts.
    def test_settings_that_change(self):
        fleet = self.fleet()

        def change(_):
            for router in fleet.routers.values():
                router.budgets.configure(LIMITS)

        fleet.run(20, change, 2.5)
        self.check(fleet)

    # The requests of a burst that needed no retries paid for those of a later one.
    def test_bursts_with_pauses_between_them(self):
        for pause in (7.0, 8.5, 9.5):
            fleet = self.fleet(rate=0.0)
            for number in range(4):
                fleet.wanted = 5 * (number % 2)
                fleet.rate = 900.0
                fleet.run(0.5)
                fleet.rate = 0.0
                fleet.run(pause)
            self.check(fleet, pause)

    # Requests at one router and, later, at another one paid for retries of one window.
    def test_requests_that_fail_late_and_move_to_another_router(self):
        fleet = self.fleet(2, rate=200.0, failure_delay=6.0)
        for number in range(6):
            fleet.weights = {f"r{number % 2}": 1.0, f"r{1 - number % 2}": 0.0}
            fleet.failure_delay = 0.0 if number % 2 else 6.0
            fleet.run(9)
        self.check(fleet)

    def test_requests_that_fall_suddenly(self):
        fleet = self.fleet(rate=300.0, failure_delay=4.0)
        fleet.rate = 5.0
        fleet.failure_delay = 0.0
        fleet.run(25)
        self.check(fleet)

    # Retries counted when they were sent, and were read with those of a later window.
    def test_targets_that_stand_still_and_go_on(self):
        for size in SIZES:
            for seconds in (5, 14):
                fleet = self.fleet(size, rate=130.0)
                for _ in range(2):
                    fleet.stand_still(seconds)
                    fleet.run(12)
                self.check(fleet, (size, seconds))

    def test_requests_that_fall_while_targets_stand_still(self):
        for before in (2, 8):
            fleet = self.fleet(rate=130.0)
            fleet.stand_still(before)
            fleet.rate = 2.0
            fleet.stand_still(13 - before)
            fleet.run(15)
            self.check(fleet, before)

    # A router that started again did not know what targets had not read of it.
    def test_routers_that_are_killed_while_targets_stand_still(self):
        for size in SIZES:
            for seconds in (5, 14):
                fleet = self.fleet(size, rate=130.0)

                def herd(number, fleet=fleet):
                    for name in self.names(fleet) if number else ():
                        fleet.restart(name)

                fleet.stand_still(seconds, herd, seconds / 2)
                fleet.run(20)
                self.check(fleet, (size, seconds))

    def test_routers_that_are_killed_in_turn_while_targets_stand_still(self):
        fleet = self.fleet(rate=400.0)
        names = self.names(fleet)

        def kill_one(number):
            fleet.restart(names[number % len(names)])

        fleet.stand_still(14, kill_one, 0.5)
        fleet.run(20, kill_one, 1.0)
        self.check(fleet)


class LateReadingTest(FleetBudgetTest):
    """Connections to many targets are reset or hold their bytes."""

    def late_fleet(self, size=8, rate=130.0):
        return self.fleet(size, rate=rate, targets=39)

    def resetting(self, fleet, kill_at=None):
        """Return a disturbance, twice a second, that resets all connections."""

        def disturb(number):
            fleet.reset_connections()
            if number == kill_at:
                for name in self.names(fleet):
                    fleet.restart(name)

        return disturb

    # A connection that was reset counted as read, and its target read it later.
    def test_connections_are_reset_while_targets_stand_still(self):
        for size, seconds in ((8, 5), (8, 18), (11, 9), (30, 14)):
            fleet = self.late_fleet(size)
            for _ in range(2):
                fleet.stand_still(seconds, self.resetting(fleet), 0.5)
                fleet.run(8)
            fleet.run(4)
            self.check(fleet, (size, seconds))

    # An answer on another connection was taken as proof that held bytes had been read.
    def test_half_of_the_connections_hold_their_bytes(self):
        for seconds in (5, 14):
            fleet = self.late_fleet()
            for _ in range(2):
                fleet.hold(0.5, seconds)
                fleet.run(8)
            fleet.run(4)
            self.check(fleet, seconds)

    def test_connections_that_hold_their_bytes_are_reset(self):
        for share in (0.3, 0.7):
            fleet = self.late_fleet()
            for _ in range(2):
                fleet.hold(share, 8, self.resetting(fleet), 0.5)
                fleet.run(8)
            fleet.run(4)
            self.check(fleet, share)

    # Routers that started again saw no late attempt, as resets counted as read.
    def test_routers_are_killed_while_connections_are_reset(self):
        for seconds in (5, 14):
            fleet = self.late_fleet()
            disturb = self.resetting(fleet, kill_at=seconds)
            fleet.stand_still(seconds, disturb, 0.5)
            fleet.run(20)
            self.check(fleet, seconds)

    def test_routers_are_killed_while_half_of_the_connections_hold_bytes(self):
        for seconds in (5, 14):
            fleet = self.late_fleet()

            def herd(number, fleet=fleet):
                for name in self.names(fleet) if number else ():
                    fleet.restart(name)

            fleet.hold(0.5, seconds, herd, seconds / 2)
            fleet.run(20)
            self.check(fleet, seconds)
