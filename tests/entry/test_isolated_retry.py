"""Callers of a router that alone lost the store are told to return at once."""

from __future__ import annotations

import random

from testtools import TestCase
from twisted.internet.defer import inlineCallbacks

from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.capacity.isolated_retry import MAX_JITTER_SECONDS
from primrosescale.request.capacity.isolated_retry import isolated_retry_delay
from primrosescale.request.target.target_state import LoadReport
from primrosescale.standin.object_platform_store import StoreFault
from support.router_site import LoopbackRouterTest


class IsolatedRetryDelayTest(TestCase):
    def test_only_a_lack_of_knowledge_is_different_at_another_router(self):
        # A refusal for lack of capacity would be repeated elsewhere.
        rng = random.Random(1)
        with_delay = {
            refusal
            for refusal in Refusal
            if isolated_retry_delay(refusal, rng) is not None
        }
        self.assertEqual({Refusal.STALE, Refusal.NO_CONFIGURATION}, with_delay)

    def test_callers_refused_together_do_not_return_at_one_moment(self):
        rng = random.Random(1)
        delays = {isolated_retry_delay(Refusal.STALE, rng) for _ in range(20)}
        self.assertEqual(20, len(delays))
        self.assertTrue(all(0 <= delay <= MAX_JITTER_SECONDS for delay in delays))


class IsolatedRouterTest(LoopbackRouterTest):
    @inlineCallbacks
    def refuse(self, *, is_isolated, has_paces):
        """Return the Retry-After of a request refused for too old knowledge."""
        router = self.start_router("r1", revoke=0.9)
        yield self.until(lambda: router.is_ready)
        if has_paces:
            router._overload.scope.record("portal", LoadReport(1, 0, 8, 1.0))
        self.store.faults.all_calls = StoreFault.BUSY
        yield self.until(lambda: not router.is_ready)
        router._state_exchange.peers_reach_store = lambda now: is_isolated
        yield self.until(lambda: router._is_isolated(router._now()) == is_isolated)
        answer = yield self.ask(router)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503"), answer)
        _, _, rest = answer.partition(b"Retry-After: ")
        return float(rest.partition(b"\r\n")[0])

    @inlineCallbacks
    def test_a_router_that_alone_lost_the_store_names_no_wait(self):
        # Callers waited 0.2 to 0.6 s, so that the answer of the next router was late.
        delay = yield self.refuse(is_isolated=True, has_paces=True)
        self.assertTrue(delay <= MAX_JITTER_SECONDS, delay)

    @inlineCallbacks
    def test_in_an_outage_for_all_callers_wait(self):
        delay = yield self.refuse(is_isolated=False, has_paces=True)
        self.assertTrue(delay >= 0.2, delay)

    @inlineCallbacks
    def test_it_does_not_matter_whether_overload_control_is_in_force(self):
        # Callers of other deployments waited although another router would have served
        # them at once.
        delay = yield self.refuse(is_isolated=True, has_paces=False)
        self.assertTrue(delay <= MAX_JITTER_SECONDS, delay)
