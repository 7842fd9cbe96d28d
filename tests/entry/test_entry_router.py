"""An entry router between callers, store and targets, over loopback sockets."""

from __future__ import annotations

import json
import re
from dataclasses import replace

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.defer import inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.endpoints import connectProtocol
from twisted.internet.task import deferLater

from primrosescale.connection.early_listener import open_listener
from primrosescale.connection.endpoint import Endpoint
from primrosescale.platform import http_codec as names
from primrosescale.platform.exceptions import SettingsFileError
from primrosescale.process.entry.cache_discovery import MAX_ENGINES_READ
from primrosescale.process.entry.codec import CacheReader
from primrosescale.process.entry.codec import EngineCacheContents
from primrosescale.process.entry.entry_router import EntryRouter
from primrosescale.process.entry.peer_router import PeerRouter
from primrosescale.process.entry.state_exchange import StateExchange
from primrosescale.process.entry.target_list import TargetList
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.capacity.overload_settings import OverloadSettings
from primrosescale.request.choice.prefix_cache_index import PrefixCacheIndex
from primrosescale.request.freshness import Freshness
from primrosescale.request.incoming_request import PromptPart
from primrosescale.standin.object_platform_store import ObjectPlatformStore
from primrosescale.standin.object_platform_store import StoreFault
from primrosescale.standin.scripted_engine import EngineFault
from primrosescale.standin.scripted_engine import EngineScript
from primrosescale.standin.scripted_engine import ScriptedEngine
from support.entry_site import LOOPBACK
from support.entry_site import Caller
from support.entry_site import configuration
from support.entry_site import router_dependencies
from support.entry_site import router_settings
from support.entry_site import router_watches
from support.entry_site import target_entry
from support.entry_site import text
from support.live import DeploymentRunTest
from support.live import LiveTest

# Start times as targets report them, in Unix milliseconds.
FIRST, SECOND, THIRD = 1_790_000_000_123, 1_790_000_000_124, 1_790_000_003_000


# So many that they exchange state through relays.
MANY_ROUTERS = 40


class ManualCacheReader(CacheReader):
    """Reader of engine caches whose results the test supplies."""

    def __init__(self):
        self.readings = []
        self.asked = {}

    def read(self, target):
        self.readings.append(Deferred())
        self.asked[target.name] = self.readings[-1]
        return self.readings[-1]

    def answer(self, name, held):
        self.asked[name].callback(held)


class EntryRouterTest(LiveTest):
    run_tests_with = DeploymentRunTest.make_factory(timeout=30.0)

    def setUp(self):
        super().setUp()
        self.store = ObjectPlatformStore()
        self.store.write("config", "main", configuration())
        self.scripts = {}
        self.addresses = {}
        for number in (1, 2):
            self.engine(f"p{number}", "portal")
            self.engine(f"m{number}", "model", events=4)

    def listen(self, name, **fields):
        script = EngineScript(name=name, **fields)
        port = reactor.listenTCP(0, ScriptedEngine(script), interface=LOOPBACK)
        self.addCleanup(port.stopListening)
        self.addresses[id(script)] = f"{LOOPBACK}:{port.getHost().port}"
        return script

    def engine(self, name, service, **fields):
        script = self.scripts[name] = self.listen(name, **fields)
        self.write_entry(name, service, script, FIRST)

    def write_entry(self, name, service, script, born, **fields):
        """Write a target's entry; return its revision."""
        address = self.addresses[id(script)]
        entry = target_entry(service, address, slots=8, born=born)
        return self.store.write("servers", name, {**entry, **fields})

    @inlineCallbacks
    def start(self, *, listening_socket=None, caches=None, targets_wait=0.3, **fields):
        endpoint = self.serve(self.store)
        # A router that starts again has to save up retries first.
        self.settings = router_settings(**{"is_first_start": True, **fields})
        self.events = []
        self.parts = router_dependencies(
            endpoint,
            "r1",
            self.events,
            lambda: self.settings,
            caches=caches,
            listening_socket=listening_socket,
        )
        self.router = EntryRouter(
            self.settings, router_watches(targets_wait), self.parts
        )
        self.router.start()
        self.addCleanup(self.router._close)
        yield self.eventually(lambda: self.router.is_ready)

    @inlineCallbacks
    def eventually(self, test):
        for _ in range(500):
            if test():
                return
            yield deferLater(reactor, 0.01, lambda: None)
        self.fail("condition not met within 5 s")

    @inlineCallbacks
    def connect(self, endpoint=None):
        endpoint = self.router.bound[endpoint or self.settings.callers]
        client = TCP4ClientEndpoint(reactor, endpoint.address, endpoint.port)
        caller = yield connectProtocol(client, Caller())
        return caller

    @inlineCallbacks
    def ask(self, data, ending=b"done"):
        caller = yield self.connect()
        caller.transport.write(data)
        yield caller.answered(ending)
        return caller

    def arrivals(self, *names):
        return [a for n in names or self.scripts for a in self.scripts[n].arrivals]

    @inlineCallbacks
    def test_a_request_is_forwarded_and_answered_with_the_router_s_headers(self):
        yield self.start()
        body = b"x" * 3000
        caller = yield self.ask(
            text(b"/once/a?b=1", method=b"POST", body=body, headers=b"Kv-From: x\r\n")
        )
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 200"))
        self.assertIn(b"Primrosescale-Response-Signature", caller.data)
        [arrival] = self.arrivals()
        self.assertEqual((b"POST", b"/once/a?b=1", body), self.request_of(arrival))
        self.assertEqual(b"bakery", arrival.headers[b"primrosescale-tenant"])
        self.assertNotIn(b"kv-from", arrival.headers)
        self.assertNotIn(b"authorization", arrival.headers)
        self.assertTrue(int(arrival.headers[b"primrosescale-request-deadline"]) <= 1500)

    # Guards against a choice that knows no backlog, since attempts or the updates of
    # other routers are counted elsewhere.
    @inlineCallbacks
    def test_choices_use_the_backlog_that_attempts_and_updates_are_counted_in(self):
        yield self.start(domain="b")
        work = self.router._forwarding.target_work
        cost = self.router._forwarding.chooser._prefill_cost
        self.assertIs(work, cost._work)
        self.assertIs(work, self.router._state_exchange._target_work)
        self.assertIs(self.router._overload.scope, work._scope)
        self.assertEqual("b", cost._domain)

    @inlineCallbacks
    def test_callers_who_connect_while_it_is_loaded_are_served(self):
        listening_socket = open_listener(Endpoint(LOOPBACK, 0))
        client = TCP4ClientEndpoint(reactor, *listening_socket.getsockname())
        caller = yield connectProtocol(client, Caller())
        caller.transport.write(text())
        yield self.start(listening_socket=listening_socket)
        yield caller.answered(b"done")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 200"), caller.data)

    @inlineCallbacks
    def test_early_requests_wait_a_bounded_time_for_engine_caches(self):
        config = configuration()
        config["services"][1]["engine"]["kv_cache_tokens"] = 1000
        for is_silent in (False, True):
            self.store.write("config", "main", config)
            caches = ManualCacheReader()
            yield self.start(reads_caches=True, caches=caches)
            caller = yield self.connect()
            caller.transport.write(text(b"/story/x", method=b"POST", body=b"b"))
            yield self.eventually(lambda read=caches.readings: len(read) == 2)
            self.assertEqual([], self.arrivals())
            if not is_silent:
                for reading in caches.readings:
                    reading.callback(EngineCacheContents(()))
            yield caller.answered(b"0\r\n\r\n")
            self.assertIn(b"id: 4", caller.data)
            self.router._close()
            for script in self.scripts.values():
                script.arrivals.clear()

    @inlineCallbacks
    def test_one_of_many_routers_does_not_read_engine_caches(self):
        config = configuration()
        config["services"][1]["engine"]["kv_cache_tokens"] = 1000
        self.store.write("config", "main", config)
        for number in range(MANY_ROUTERS):
            entry = {"address": "127.0.0.1", "port": 9, "domain": str(number % 3)}
            self.store.write("routers", f"r{number + 2}", entry)
        caches = ManualCacheReader()
        yield self.start(reads_caches=True, caches=caches)
        caller = yield self.ask(text(b"/story/x", method=b"POST", body=b"b"), b"id: 4")
        self.assertIn(b"id: 4", caller.data)
        self.assertEqual([], caches.readings)

    @inlineCallbacks
    def test_a_traced_request_leaves_a_span_for_each_hop(self):
        yield self.start()
        trace, caller_span = b"ab" * 16, b"cd" * 8
        for name in ("p1", "p2"):
            self.scripts[name].faults = [EngineFault.FAIL]
        context = b"00-%b-%b-01" % (trace, caller_span)
        yield self.ask(text(headers=b"traceparent: %b\r\n" % context))
        arrivals = self.arrivals("p1", "p2")
        sent = [a.headers[b"traceparent"].decode().split("-") for a in arrivals]
        spans = [details for event, details in self.events if event == "SPAN"]
        self.assertEqual({trace.decode()}, {s["trace"] for s in spans})
        self.assertEqual({trace.decode()}, {parts[1] for parts in sent})
        [router] = [s for s in spans if s["name"] == "router"]
        targets = [s for s in spans if s["name"] == "target"]
        self.assertEqual(caller_span.decode(), router["parent"])
        self.assertEqual({router["span"]}, {s["parent"] for s in targets})
        self.assertEqual({s["span"] for s in targets}, {parts[2] for parts in sent})
        self.assertEqual("r1", router["attributes"]["request"])
        self.assertIn("status 500", {s["attributes"]["outcome"] for s in targets})

    @inlineCallbacks
    def test_an_untraced_request_forwards_its_trace_context(self):
        yield self.start()
        context = b"00-%b-%b-00" % (b"ab" * 16, b"cd" * 8)
        yield self.ask(text(headers=b"traceparent: %b\r\n" % context))
        yield self.ask(text(rid=b"r2"))
        first, second = self.arrivals("p1", "p2")
        found = {
            a.headers[names.REQUEST_ID.lower()]: a.headers.get(b"traceparent")
            for a in (first, second)
        }
        self.assertEqual({b"r1": context, b"r2": None}, found)
        self.assertNotIn("SPAN", [event for event, _ in self.events])

    @inlineCallbacks
    def test_of_many_engines_only_a_bounded_number_is_read(self):
        config = configuration()
        config["services"][1]["engine"]["kv_cache_tokens"] = 1000
        self.store.write("config", "main", config)
        for number in range(MAX_ENGINES_READ + 30):
            entry = target_entry("model", f"{LOOPBACK}:1")
            self.store.write("servers", f"x{number}", entry)
        caches = ManualCacheReader()
        yield self.start(reads_caches=True, caches=caches)
        yield self.eventually(lambda: bool(caches.readings))
        asked = len(caches.readings)
        self.assertEqual(MAX_ENGINES_READ, asked)

    def request_of(self, arrival):
        return arrival.method, arrival.path, arrival.body

    @inlineCallbacks
    def test_a_body_in_chunks_arrives_whole(self):
        yield self.start()
        chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        head = text(
            b"/once/a", method=b"POST", headers=b"Transfer-Encoding: chunked\r\n"
        )
        yield self.ask(head + chunks)
        self.assertEqual(b"abcde", self.arrivals()[0].body)

    @inlineCallbacks
    def test_a_connection_serves_many_requests_and_ends_when_idle(self):
        yield self.start()
        caller = yield self.ask(text())
        for turn in range(5):
            caller.data = b""
            caller.transport.write(text(rid=b"n%d" % turn))
            yield caller.answered(b"done")
            self.assertIn(b"n%d" % turn, caller.data)
        yield caller.until(lambda c: c.is_closed)

    @inlineCallbacks
    def test_after_a_request_was_lost_on_a_kept_connection_none_is_trusted(self):
        yield self.start()
        for _ in range(4):
            yield self.ask(text())
        yield deferLater(reactor, 0.15, lambda: None)
        limit = self.router._target_client._idle_limit
        self.assertTrue(limit.allows(0.1, reactor.seconds()))
        for script in self.scripts.values():
            script.faults.append(EngineFault.RESET)
        yield self.ask(text())
        self.assertFalse(limit.allows(0.1, reactor.seconds()))

    @inlineCallbacks
    def test_log_lines_of_lost_answers_identify_equal_requests(self):
        yield self.start()
        asked = ((b"r1", b"one"), (b"r2", b"one"), (b"r3", b"two"))
        for rid, body in asked:
            for script in self.scripts.values():
                script.faults[:] = [EngineFault.RESET]
            yield self.ask(text(b"/once/a", method=b"POST", body=body, rid=rid), b"\n")
        for script in self.scripts.values():
            script.faults.clear()
        yield self.ask(text(b"/once/a", method=b"POST", body=b"two", rid=b"r4"))
        lines = [details for event, details in self.events if event == "REQUEST_ENDED"]
        first, second, third, whole = [line["fingerprint"] for line in lines]
        self.assertEqual(first, second)
        self.assertNotEqual(first, third)
        self.assertIsNone(whole)

    @inlineCallbacks
    def test_a_router_that_was_let_go_sends_no_more_news(self):
        entry = {"address": "127.0.0.1", "port": 9, "domain": "a"}
        self.store.write("routers", "r2", entry)
        yield self.start()
        yield self.eventually(lambda: bool(self.router._state_exchange.others))
        self.router._close()
        # A round that continues after the port is closed ends in a logged error.
        yield deferLater(
            reactor, 2 * self.router._state_exchange.interval, lambda: None
        )

    @inlineCallbacks
    def test_the_line_of_a_request_holds_the_status_that_was_passed_on(self):
        yield self.start()
        yield self.ask(text())
        for script in self.scripts.values():
            script.faults += [EngineFault.FAIL] * 2
        yield self.ask(text(), b"")
        yield self.ask(text(b"/none/x"), b"")
        details = [values for name, values in self.events if name == "REQUEST_ENDED"]
        self.assertEqual([200, 500, None], [item.get("status") for item in details])

    @inlineCallbacks
    def test_the_line_of_a_resumed_stream_identifies_its_first_attempt(self):
        yield self.start()
        yield self.ask(text(b"/story/x", rid=b"r0"), b"0\r\n\r\n")
        resumed = b"Last-Event-Id: 2\r\nResumes: r0\r\n"
        yield self.ask(text(b"/story/x", headers=resumed), b"0\r\n\r\n")
        first, details = [
            values for name, values in self.events if name == "REQUEST_ENDED"
        ]
        self.assertEqual((None, None), (first["resumes"], first["last_event"]))
        self.assertEqual(("r0", 2), (details["resumes"], details["last_event"]))
        [attempt] = details["attempts"]
        self.assertEqual(2, attempt["resumed_after"])
        self.assertEqual("", attempt["software_version"])

    @inlineCallbacks
    def test_what_is_not_allowed_is_refused_with_its_status(self):
        yield self.start()
        for data, status in (
            (text(b"/none/x"), b"404"),
            (text().replace(b"Bearer k1", b"Bearer no"), b"401"),
            (text(rid=b""), b"400"),
            (text(method=b"POST", body=b"x" * 6000), b"413"),
            (b"NONSENSE\r\n\r\n", b"400"),
            (text(headers=b"X-Long: %b\r\n" % (b"x" * 20000)), b"431"),
        ):
            caller = yield self.ask(data, b"")
            self.assertTrue(caller.data.startswith(b"HTTP/1.1 " + status), caller.data)
        self.assertEqual([], self.arrivals())

    @inlineCallbacks
    def test_an_idempotent_request_survives_each_fault_of_a_target(self):
        yield self.start()
        faults = [
            fault
            for fault in EngineFault
            if fault not in {EngineFault.EXTRA_ANSWER, EngineFault.NO_LENGTH}
        ]
        for fault in faults:
            for name in ("p1", "p2"):
                self.scripts[name].arrivals.clear()
                self.scripts[name].faults = [fault]
            # The target that was tried second has consumed its fault already.
            caller = yield self.ask(text())
            if len(self.arrivals("p1", "p2")) == 2:
                caller = yield self.ask(text(rid=b"r2"))
            self.assertTrue(
                caller.data.startswith(b"HTTP/1.1 200"), (fault, caller.data)
            )
            self.assertTrue(caller.data.endswith(b"done"), fault)

    @inlineCallbacks
    def test_a_request_that_may_run_once_is_sent_once_under_each_fault(self):
        yield self.start()
        for fault, status in (
            (EngineFault.FAIL, b"500"),
            (EngineFault.DECLINE, b"503"),
            (EngineFault.RESET, b"502"),
            (EngineFault.WRONG_ID, b"502"),
            (EngineFault.NO_RECEIPT, b"502"),
            (EngineFault.NO_LENGTH_RESET, b"502"),
            (EngineFault.CUT, b"502"),
            (EngineFault.SILENT, b"504"),
        ):
            for name in ("p1", "p2"):
                self.scripts[name].arrivals.clear()
                self.scripts[name].faults = [fault]
            caller = yield self.ask(text(b"/once/x", method=b"POST", body=b"b"), b"")
            self.assertEqual(1, len(self.arrivals()), fault)
            self.assertTrue(caller.data.startswith(b"HTTP/1.1 " + status), caller.data)

    @inlineCallbacks
    def test_an_answer_without_length_is_complete_after_an_orderly_close(self):
        yield self.start()
        for name in ("p1", "p2"):
            self.scripts[name].faults = [EngineFault.NO_LENGTH]
        caller = yield self.ask(
            text(b"/once/x", method=b"POST", body=b"b"), b"0\r\n\r\n"
        )
        self.assertIn(b"done", caller.data)

    @inlineCallbacks
    def test_an_extra_answer_reaches_no_caller(self):
        yield self.start()
        for name in ("p1", "p2"):
            self.scripts[name].faults = [EngineFault.EXTRA_ANSWER]
        for turn in range(6):
            caller = yield self.ask(text(rid=b"n%d" % turn))
            self.assertNotIn(b"old", caller.data)
            self.assertIn(b"n%d" % turn, caller.data)

    @inlineCallbacks
    def test_a_lost_stream_is_resumed_at_another_target_in_one_answer(self):
        yield self.start()
        for name in ("m1", "m2"):
            self.scripts[name].faults = [EngineFault.CUT]
        caller = yield self.ask(
            text(b"/story/x", method=b"POST", body=b"b"), b"0\r\n\r\n"
        )
        if len(self.arrivals("m1")) and len(self.arrivals("m2")):
            caller = yield self.ask(
                text(b"/story/x", method=b"POST", body=b"b"), b"0\r\n\r\n"
            )
        numbers = [int(part.split(b"\n")[0]) for part in caller.data.split(b"id: ")[1:]]
        self.assertEqual([1, 2, 3, 4], numbers)
        self.assertEqual(1, caller.data.count(b"Response-Signature"))

    @inlineCallbacks
    def test_a_stream_that_is_not_resumable_is_aborted_visibly(self):
        yield self.start()
        for name in ("m1", "m2"):
            self.scripts[name].faults = [EngineFault.CUT]
        caller = yield self.ask(
            text(b"/draft/x", method=b"POST", body=b"b"), b"0\r\n\r\n"
        )
        self.assertTrue(caller.is_closed)
        self.assertFalse(caller.data.endswith(b"0\r\n\r\n"))
        self.assertEqual(1, len(self.arrivals()))

    @inlineCallbacks
    def test_a_disconnecting_caller_cancels_the_request_at_its_target(self):
        yield self.start()
        for name in ("m1", "m2"):
            self.scripts[name].events = 1000
            self.scripts[name].gap = 0.02
        caller = yield self.connect()
        caller.transport.write(text(b"/story/x", method=b"POST", body=b"b"))
        yield caller.until(lambda c: b"id: 2" in c.data)
        caller.transport.abortConnection()
        yield self.eventually(lambda: self.arrivals()[0].is_left)

    @inlineCallbacks
    def test_a_revoked_key_and_a_new_version_take_effect_immediately(self):
        yield self.start()
        yield self.ask(text())
        self.store.write("config", "main", configuration(2, keys=("k2",)))
        yield deferLater(reactor, 0.1, lambda: None)
        caller = yield self.ask(text(), b"")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 401"))
        self.store.write("config", "main", configuration(1))
        yield deferLater(reactor, 0.1, lambda: None)
        caller = yield self.ask(text(), b"")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 401"))
        self.assertIn("TABLE_REFUSED", [name for name, _ in self.events])

    @inlineCallbacks
    def test_a_newer_version_reported_by_a_peer_is_read(self):
        yield self.start()
        self.store.faults.drops_watch_events = True
        self.store.write("config", "main", configuration(2, keys=("k2",)))
        peer = StateExchange(
            "r2", 1, TargetList(2.0), PrefixCacheIndex(), Freshness(5.0)
        )
        peer.put(PeerRouter("r1", Endpoint("127.0.0.1", 1)), 0.0)
        now = reactor.seconds()
        self.router._state_exchange.put(PeerRouter("r2", Endpoint("127.0.0.1", 1)), now)
        [(_, message)] = peer.compose(2, reactor.seconds())
        self.router._state_exchange.receive(message, 1, reactor.seconds())
        yield self.eventually(lambda: self.router._version() == 2)

    # A caller with little time was told to return when its time was nearly over.
    @inlineCallbacks
    def test_a_request_that_is_refused_by_its_head_may_return_in_time(self):
        yield self.start(not_found_max_age=-1.0)
        unknown = text(b"/none/x").replace(b"Deadline: 2000", b"Deadline: 300")
        caller = yield self.ask(unknown, b"")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 503"))
        [wait] = re.findall(rb"Retry-After: (\S+)", caller.data)
        self.assertTrue(0 < float(wait) <= 0.1, wait)

    @inlineCallbacks
    def test_reloaded_settings_are_in_force_for_the_next_request(self):
        yield self.start()
        caller = yield self.ask(text(b"/none/x"), b"")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 404"))
        changed = replace(self.settings, not_found_max_age=-1.0)
        forward = replace(changed.forward, retry_after=0.02)
        choice = replace(changed.choice, load_multiple=7.0)
        self.settings = replace(
            changed, forward=forward, choice=choice, link_rate=625_000.0
        )
        self.router.reload()
        caller = yield self.ask(text(b"/none/x"), b"")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 503"))
        [wait] = re.findall(rb"Retry-After: (\S+)", caller.data)
        self.assertTrue(0.01 <= float(wait) <= 0.03, wait)
        self.assertIs(choice, self.router._forwarding.chooser._settings)
        self.assertIs(forward, self.router._forwarding.settings)
        store = self.router._dependencies.platform
        self.assertTrue(store._client._pacing.is_active)

    @inlineCallbacks
    def test_targets_removed_while_the_watch_paused_are_kept_for_less_time(self):
        yield self.start()
        handler = self.router._store_state.target_list_sync
        handler._rest = 0.6
        names = [state.target.name for state in handler._targets.states]
        now = reactor.seconds()
        handler.replaced((), now)
        self.assertEqual([], handler.forget_expired(now + 0.9))
        gone = handler.forget_expired(now + 1.1)
        self.assertEqual(names, [incarnation.name for incarnation in gone])

    @inlineCallbacks
    def start_with_pending_watch(self):
        """Start a router whose watch of targets is pending at the store."""
        yield self.start(targets_wait=60.0)
        yield self.eventually(lambda: self.store.waiting("servers"))

    def drain_without_notification(self, name):
        """Drain a target without notifying the pending watch; return the revision."""
        self.store.faults.drops_watch_events = True
        entry = target_entry("model", f"{LOOPBACK}:1", state="draining")
        revision = self.store.write("servers", name, entry)
        self.store.faults.drops_watch_events = False
        return revision

    def knows_as_draining(self, name):
        return self.router._store_state.targets.state(name).target.is_draining

    @inlineCallbacks
    def test_a_watch_unanswered_in_an_outage_is_renewed_after_it(self):
        yield self.start_with_pending_watch()
        self.store.faults.all_calls = StoreFault.BUSY
        yield self.eventually(lambda: "STORE_LOST" in [n for n, _ in self.events])
        self.drain_without_notification("m1")
        self.store.faults.all_calls = None
        yield self.eventually(lambda: self.knows_as_draining("m1"))

    @inlineCallbacks
    def test_a_list_change_reported_by_a_peer_is_read(self):
        yield self.start_with_pending_watch()
        peer = StateExchange(
            "r2", 1, TargetList(2.0), PrefixCacheIndex(), Freshness(5.0)
        )
        peer.put(PeerRouter("r1", Endpoint("127.0.0.1", 1)), 0.0)
        now = reactor.seconds()
        self.router._state_exchange.put(PeerRouter("r2", Endpoint("127.0.0.1", 1)), now)
        revision = self.drain_without_notification("m1")
        [(_, message)] = peer.compose(1, reactor.seconds(), list_revision=revision)
        self.router._state_exchange.receive(message, 1, reactor.seconds())
        yield self.eventually(lambda: self.knows_as_draining("m1"))
        self.assertIn("WATCH_RENEWED", [name for name, _ in self.events])

    @inlineCallbacks
    def test_an_unreadable_version_changes_nothing(self):
        yield self.start()
        self.store.write("config", "main", {"version": 9, "routes": 3})
        yield deferLater(reactor, 0.1, lambda: None)
        caller = yield self.ask(text())
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 200"))

    @inlineCallbacks
    def test_keys_are_not_relied_on_behind_a_version_that_cannot_be_read(self):
        yield self.start(revoke=1.2)
        self.store.write("config", "main", {"version": 9, "routes": 3})
        yield self.eventually(lambda: not self.router.is_ready)
        caller = yield self.ask(text(), b"")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 503"), caller.data)
        self.store.write("config", "main", configuration(10))
        yield self.eventually(lambda: self.router.is_ready)
        caller = yield self.ask(text())
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 200"), caller.data)

    @inlineCallbacks
    def test_keys_are_refused_once_the_store_has_been_away_too_long(self):
        yield self.start(revoke=0.9)
        for fault in (StoreFault.SILENT, StoreFault.BUSY):
            self.store.faults.all_calls = fault
            yield self.eventually(lambda: not self.router.is_ready)
            caller = yield self.ask(text(), b"")
            self.assertTrue(caller.data.startswith(b"HTTP/1.1 503"), caller.data)
            self.assertIn(b"Retry-After", caller.data)
            self.store.faults.all_calls = None
            yield self.eventually(lambda: self.router.is_ready)
        caller = yield self.ask(text())
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 200"))

    @inlineCallbacks
    def test_a_draining_target_gets_no_more_requests(self):
        yield self.start()
        entry = target_entry("portal", f"{LOOPBACK}:1", state="draining")
        self.store.write("servers", "p1", entry)
        yield deferLater(reactor, 0.1, lambda: None)
        for turn in range(4):
            yield self.ask(text(rid=b"n%d" % turn))
        self.assertEqual(0, len(self.arrivals("p1")))
        self.assertEqual(4, len(self.arrivals("p2")))

    @inlineCallbacks
    def test_an_unreadable_entry_stops_new_requests_and_aborts_none(self):
        for name in ("m1", "m2"):
            self.scripts[name].events = 60
            self.scripts[name].gap = 0.01
        yield self.start()
        story = text(b"/story/x", method=b"POST", body=b"b")
        caller = yield self.connect()
        caller.transport.write(story)
        yield caller.until(lambda c: b"id: 2" in c.data)
        busy, peer = ("m1", "m2") if self.arrivals("m1") else ("m2", "m1")
        self.store.write("servers", busy, {"service": "model", "state": "ready"})
        yield deferLater(reactor, 0.1, lambda: None)
        for turn in range(3):
            again = text(b"/story/x", rid=b"n%d" % turn, method=b"POST", body=b"b")
            yield self.ask(again, b"0\r\n\r\n")
        yield caller.until(lambda c: c.data.endswith(b"0\r\n\r\n"))
        self.assertIn(b"id: 60", caller.data)
        self.assertEqual((1, 3), (len(self.arrivals(busy)), len(self.arrivals(peer))))
        self.assertIn("TARGET_REFUSED", [name for name, _ in self.events])

    @inlineCallbacks
    def test_no_malformed_entry_stops_the_watch_of_targets(self):
        yield self.start()
        for number, invalid in enumerate(
            (float("inf"), 10**400, [[[]]], None, {"a": 1})
        ):
            entry = target_entry("portal", f"{LOOPBACK}:1", slots=invalid)
            self.store.write("servers", f"odd{number}", entry)
            self.store.write("servers", f"text{number}", invalid)
            self.engine(f"p{number + 3}", "portal")
            yield self.eventually(
                lambda name=f"p{number + 3}": (
                    self.router._store_state.targets.state(name) is not None
                )
            )
        self.assertNotIn("LOOP_FAILED", [name for name, _ in self.events])

    @inlineCallbacks
    def test_requests_before_the_first_knowledge_wait_for_it(self):
        self.store.faults.next_calls = [StoreFault.BUSY] * 4
        starting = self.start()
        yield deferLater(reactor, 0.01, lambda: None)
        caller = yield self.ask(text())
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 200"), caller.data)
        yield starting

    @inlineCallbacks
    def test_without_any_knowledge_it_says_so_and_is_not_ready(self):
        self.store.faults.all_calls = StoreFault.BUSY
        starting = self.start()
        yield deferLater(reactor, 0.01, lambda: None)
        caller = yield self.ask(text(), b"")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 503"), caller.data)
        ready = yield self.connect(self.settings.readiness)
        ready.transport.write(b"GET /x HTTP/1.1\r\nHost: a\r\n\r\n")
        yield ready.answered()
        self.assertTrue(ready.data.startswith(b"HTTP/1.1 503"))
        self.store.faults.all_calls = None
        yield starting

    @inlineCallbacks
    def test_a_planned_stop_cuts_nothing(self):
        yield self.start()
        for name in ("m1", "m2"):
            self.scripts[name].events = 15
            self.scripts[name].gap = 0.1
        caller = yield self.connect()
        caller.transport.write(text(b"/story/x", method=b"POST", body=b"b"))
        yield caller.until(lambda c: b"id: 1" in c.data)
        stopped = self.router.stop()
        self.assertFalse(self.router.is_ready)
        late = yield self.ask(text(rid=b"late"))
        self.assertIn(b"Connection: close", late.data)
        self.assertIn(b"done", late.data)
        yield caller.answered(b"0\r\n\r\n")
        self.assertIn(b"id: 15", caller.data)
        yield stopped
        self.assertNotIn("STOP_CUT", [name for name, _ in self.events])

    @inlineCallbacks
    def test_requests_over_the_limit_are_refused(self):
        yield self.start(max_requests=0)
        caller = yield self.ask(text(), b"")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 503"), caller.data)
        self.assertEqual([], self.arrivals())

    @inlineCallbacks
    def test_a_changed_settings_file_is_applied_and_an_invalid_one_is_not(self):
        yield self.start()
        self.settings = replace(
            self.settings, drain=1.0, callers=Endpoint("127.0.0.9", 1)
        )
        self.router.reload()
        self.assertIn(("SETTINGS_RELOADED", {"is_changed": True}), self.events)

        def fail():
            raise SettingsFileError("node.json", "field 'ip' is missing")

        self.parts.read_settings = fail
        self.settings = replace(self.settings, callers=Endpoint("127.0.0.2", 0))
        self.router.reload()
        self.assertIn("SETTINGS_REFUSED", [name for name, _ in self.events])
        caller = yield self.ask(text())
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 200"))

    def restart(self, name, service, *, script=None, born=SECOND, **fields):
        """Write the entry of a target that has restarted; return its revision."""
        return self.write_entry(
            name, service, script or self.scripts[name], born, **fields
        )

    def incarnation(self, name):
        return self.router._store_state.targets.state(name).incarnation

    @inlineCallbacks
    def test_after_a_restart_a_request_that_may_run_once_fails_immediately(self):
        yield self.start()
        for name in ("p1", "p2"):
            self.scripts[name].faults = [EngineFault.SILENT]
        caller = yield self.connect()
        caller.transport.write(text(b"/once/x", method=b"POST", body=b"b"))
        yield self.eventually(self.arrivals)
        [name] = [n for n in ("p1", "p2") if self.arrivals(n)]
        began = reactor.seconds()
        self.restart(name, "portal")
        yield caller.answered(b"")
        self.assertLess(reactor.seconds() - began, 0.4)
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 502"), caller.data)
        self.assertNotIn(b"Retry-After", caller.data)
        self.assertEqual(1, len(self.arrivals()))
        yield self.eventually(lambda: self.arrivals()[0].is_left)
        [details] = [
            details for event, details in self.events if event == "TARGET_RESTARTED"
        ]
        expected = {
            "target": name,
            "started_at": SECOND,
            "former": FIRST,
            "told_by": "store",
        }
        self.assertEqual(expected, details)
        [ended] = [
            details for event, details in self.events if event == "REQUEST_ENDED"
        ]
        self.assertEqual("lost: target started again", ended["attempts"][0]["outcome"])
        self.assertIn(b"target_restarts_total 1.0", self.router._metrics.text())

    @inlineCallbacks
    def test_after_a_restart_an_idempotent_request_goes_to_the_new_address(self):
        self.store.remove("servers", "p2")
        self.scripts["p1"].faults = [EngineFault.SILENT]
        moved = self.listen("p1")
        yield self.start()
        caller = yield self.connect()
        caller.transport.write(text())
        yield self.eventually(lambda: self.arrivals("p1"))
        self.restart("p1", "portal", script=moved)
        yield caller.answered(b"done")
        self.assertTrue(caller.data.startswith(b"HTTP/1.1 200"), caller.data)
        self.assertEqual((1, 1), (len(self.arrivals("p1")), len(moved.arrivals)))
        # A delayed entry of the former incarnation does not restore it.
        self.restart("p1", "portal", born=FIRST)
        yield deferLater(reactor, 0.1, lambda: None)
        yield self.ask(text(rid=b"r2"))
        self.assertEqual((1, 2), (len(self.arrivals("p1")), len(moved.arrivals)))

    @inlineCallbacks
    def test_after_a_restart_a_stream_is_resumed_at_the_new_incarnation(self):
        self.store.remove("servers", "m2")
        script = self.scripts["m1"]
        script.events, script.gap = 12, 0.05
        yield self.start()
        caller = yield self.connect()
        caller.transport.write(text(b"/story/x", method=b"POST", body=b"b"))
        yield caller.until(lambda c: b"id: 2" in c.data)
        self.restart("m1", "model")
        yield caller.answered(b"0\r\n\r\n")
        numbers = [int(part.split(b"\n")[0]) for part in caller.data.split(b"id: ")[1:]]
        self.assertEqual(list(range(1, 13)), numbers)
        first, second = self.arrivals("m1")
        self.assertTrue(first.is_left)
        self.assertIn(names.LAST_EVENT.lower(), second.headers)

    @inlineCallbacks
    def test_a_restart_reported_by_a_peer_is_read(self):
        yield self.start_with_pending_watch()
        peer = StateExchange(
            "r2", 1, TargetList(2.0), PrefixCacheIndex(), Freshness(5.0)
        )
        peer.put(PeerRouter("r1", Endpoint("127.0.0.1", 1)), 0.0)
        now = reactor.seconds()
        self.router._state_exchange.put(PeerRouter("r2", Endpoint("127.0.0.1", 1)), now)
        self.store.faults.drops_watch_events = True
        revision = self.restart("m1", "model")
        self.store.faults.drops_watch_events = False
        [(_, message)] = peer.compose(1, reactor.seconds(), list_revision=revision)
        self.router._state_exchange.receive(message, 1, reactor.seconds())
        yield self.eventually(lambda: self.incarnation("m1").started_at == SECOND)

    @inlineCallbacks
    def test_reported_cache_contents_count_for_the_reporting_incarnation(self):
        config = configuration()
        config["services"][1]["engine"]["kv_cache_tokens"] = 1000
        self.store.write("config", "main", config)
        self.restart("m1", "model")
        self.restart("m2", "model", born=FIRST, state="draining")
        caches = ManualCacheReader()
        yield self.start(reads_caches=True, caches=caches)
        yield self.eventually(lambda: len(caches.readings) == 2)
        self.assertTrue(self.knows_as_draining("m2"))
        parts = (PromptPart("tariffs", 500),)
        caches.answer("m1", EngineCacheContents(parts, SECOND - 1))
        caches.answer("m2", EngineCacheContents(parts, THIRD))
        directory, now = self.router._prefix_index, reactor.seconds()
        self.assertEqual(0, directory.held(self.incarnation("m1"), parts, now))
        self.assertEqual(SECOND, self.incarnation("m1").started_at)
        self.assertEqual(1, len(directory))
        not_read = [s["target"] for e, s in self.events if e == "CACHE_NOT_READ"]
        self.assertEqual(["m1"], not_read)
        self.assertFalse(self.knows_as_draining("m2"))
        self.assertEqual(500, directory.held(self.incarnation("m2"), parts, now))
        self.assertEqual(THIRD, self.incarnation("m2").started_at)
        restarts = [
            details for event, details in self.events if event == "TARGET_RESTARTED"
        ]
        self.assertEqual(
            [("m2", "target")], [(s["target"], s["told_by"]) for s in restarts]
        )
        # The store lags and still lists the former incarnation.
        self.restart("m2", "model", state="draining")
        yield deferLater(reactor, 0.1, lambda: None)
        self.assertEqual(THIRD, self.incarnation("m2").started_at)
        self.assertFalse(self.knows_as_draining("m2"))

    @inlineCallbacks
    def test_metrics_and_log_report_the_outcome_of_a_request(self):
        yield self.start()
        yield self.ask(text(rid=b"abc"))
        yield self.eventually(lambda: "REQUEST_ENDED" in [n for n, _ in self.events])
        details = next(s for n, s in self.events if n == "REQUEST_ENDED")
        self.assertEqual(("abc", "answered", 1), self.outcome(details))
        json.dumps(details)
        caller = yield self.connect(self.settings.metrics)
        caller.transport.write(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
        yield caller.answered(b"\n")
        self.assertIn(b'outcome="answered",route="plain"', caller.data)

    # Each request that may run once left an idle connection, up to 16 for a target.
    @inlineCallbacks
    def test_connections_to_targets_stay_within_the_share_under_overload_control(self):
        limited = configuration(version=2)
        limited["services"][0]["max_connections"] = 2
        self.store.write("config", "main", limited)
        yield self.start(overload=OverloadSettings(mode=OverloadMode.ON))
        now = reactor.seconds()
        yield self.eventually(lambda: self.router._shares.largest_list(now) == 1)
        for number in range(8):
            rid = b"q%d" % number
            yield self.ask(text(b"/once/x", method=b"POST", body=b"1", rid=rid))
            yield deferLater(reactor, 0.16, lambda: None)
        caller = yield self.connect(self.settings.metrics)
        caller.transport.write(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n")
        yield caller.answered(b"\n")
        found = re.findall(rb"primrosescale_(target_conn\w+) ([0-9.]+)", caller.data)
        values = {name: float(value) for name, value in found}
        # Its share is one at each of the two targets, whether it is new or not.
        self.assertLessEqual(values[b"target_connections"], 2)
        self.assertGreaterEqual(values[b"target_connections_closed"], 4)

    def outcome(self, details):
        return details["request"], details["outcome"], details["version"]

    @inlineCallbacks
    def test_the_capacity_of_services_learns_from_answers(self):
        # Guards against a capacity that is not fed with requests and answers.
        yield self.start()
        for _ in range(2):
            yield self.ask(text())
        yield self.eventually(lambda: not self.router._calls)
        capacity = self.router._overload._capacity
        self.assertTrue(capacity.is_in_force("portal"))
        self.assertTrue(0 < capacity.answer_time("portal") < 1.0)
        found = self.router._metrics_text().content.decode()
        [line] = re.findall(r'overload_capacity{service="portal"} (\S+)', found)
        slots = sum(state.slots for state in self.states("portal"))
        self.assertTrue(slots <= float(line) <= 2 * slots, line)
        self.assertIn('overload_demand{service="portal"} 0.0', found)

    @inlineCallbacks
    def test_no_capacity_is_computed_without_overload_control(self):
        # Guards against costs and changes where an operator has turned it off.
        yield self.start(overload=OverloadSettings(OverloadMode.OFF))
        yield self.ask(text())
        yield self.eventually(lambda: not self.router._calls)
        capacity = self.router._overload._capacity
        self.assertFalse(capacity.is_in_force("portal"))
        self.assertIsNone(capacity.allowance("portal", 1000, reactor.seconds()))
        self.assertIsNone(capacity.answer_time("portal"))
        found = self.router._metrics_text().content.decode()
        self.assertNotIn("overload_capacity{", found)

    def states(self, service):
        return self.router._store_state.targets.of_service(service)
