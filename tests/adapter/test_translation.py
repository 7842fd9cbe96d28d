"""Translation of the platform's records, settings and headers by the adapter."""

from __future__ import annotations

import json
import math
import re
import tempfile
from dataclasses import replace
from pathlib import Path

from testtools import TestCase
from twisted.web.http_headers import Headers

from entry.fakes import STREAM
from entry.fakes import prompt
from entry.fakes import request
from entry.fakes import target
from primrosescale.platform.entry import CONFIGURATION_BATCHING_SHARE
from primrosescale.platform.entry import RouterOptions
from primrosescale.platform.entry import entry_settings
from primrosescale.platform.exceptions import RecordError
from primrosescale.platform.exceptions import SettingsFileError
from primrosescale.platform.host_settings import read_host_settings
from primrosescale.platform.http_codec import PlatformCodec
from primrosescale.platform.records import decode_router
from primrosescale.platform.records import decode_routing_table
from primrosescale.platform.records import decode_target
from primrosescale.process.transport.platform import StoredObject
from primrosescale.request.attempt.forwarding_interfaces import OutgoingRequest
from primrosescale.request.attempt.forwarding_interfaces import Refusal
from primrosescale.request.capacity.overload_settings import OverloadMode
from primrosescale.request.target.retry_after import MAX_PAUSE_SECONDS
from primrosescale.request.target.target_state import LoadReport
from primrosescale.version.routing_table import RetryPolicy

SOURCE = Path(__file__).resolve().parent.parent.parent / "src/primrosescale"

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "Desk.example",
            "path_prefix": "/p/",
            "kind": "streaming",
            "timeout_ms": 12000,
            "target_latency_ms": 600,
            "priority": 0,
            "service": "llm",
            "max_attempts": 2,
            "skip_auth": False,
            "sticky": True,
            "resume_streams": True,
            "gap_aim_ms": 800,
        },
        {
            "name": "r-2",
            "host": "desk.example",
            "path_prefix": "/q/",
            "kind": "unsafe",
            "split": [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}],
        },
    ],
    "services": [
        {
            "name": "llm",
            "max_connections": 370,
            "engine": {"slots": 64, "kv_cache_tokens": 9},
        },
        {"name": "a"},
    ],
    "tenants": [{"name": "bakery", "api_keys": ["k1", "k2"], "priority": 1}],
    "limits": {"idle_timeout_ms": 15000},
}
SETTINGS = {
    "node_name": "front-1",
    "ip": "10.1.0.40",
    "zone": "z",
    "listen": {"front": "10.1.0.40:8227", "ready": "10.1.0.40:8220"},
    "internal_ports": [7340, 7355],
    "bootstrap": True,
    "bounds": {"drain_ms": 1500},
    "platform": {"address": "10.200.1.7:8223"},
    "something_new": {"x": 1},
}


def stored(fields, key="config/main"):
    return StoredObject(key, 1, json.dumps(fields).encode())


class RecordsTest(TestCase):
    def test_a_configuration_is_decoded(self):
        table = decode_routing_table(stored(CONFIGURATION))
        route = table.route("desk.example", "/p/x")
        self.assertEqual((7, 12.0, 6.4), self.times(table, route))
        self.assertTrue(route.may_retry and route.has_prompt and route.is_stream)
        other = table.route("desk.example:80", "/q/")
        self.assertEqual(RetryPolicy.ONCE, other.retry_policy)
        self.assertEqual(["a", "b"], [item.service for item in other.services])
        self.assertEqual("bakery", table.organisation("k2").name)
        self.assertEqual(9, table.service("llm").cache_tokens)
        self.assertEqual(15.0, table.limits.idle_timeout)

    # Once the last key of a version was taken away, no caller needed a key.
    def test_only_a_version_without_organisations_needs_no_keys(self):
        bakery = CONFIGURATION["tenants"][0]
        for tenants in ([], [{**bakery, "api_keys": []}], [bakery]):
            table = decode_routing_table(stored({**CONFIGURATION, "tenants": tenants}))
            self.assertTrue(table.requires_keys, tenants)
        without = {k: v for k, v in CONFIGURATION.items() if k != "tenants"}
        self.assertFalse(decode_routing_table(stored(without)).requires_keys)

    def times(self, table, route):
        return table.version, route.timeout, route.event_patience

    # Streams were sent after their callers had left for lack of an event.
    def test_callers_of_a_stream_wait_for_an_event_as_their_route_states(self):
        for beginning, pause, expected in (
            (0, 0, 2.0),
            (400, 200, 2.0),
            (1020, 300, 4.08),
            (600, 800, 6.4),
        ):
            changed = {
                **CONFIGURATION["routes"][0],
                "target_latency_ms": beginning,
                "gap_aim_ms": pause,
            }
            table = decode_routing_table(stored({**CONFIGURATION, "routes": [changed]}))
            found = table.route("desk.example", "/p/x").event_patience
            self.assertAlmostEqual(expected, found)

    def test_requests_of_an_unknown_kind_are_never_retried(self):
        invalid = {
            **CONFIGURATION,
            "routes": [{**CONFIGURATION["routes"][0], "kind": "new"}],
        }
        table = decode_routing_table(stored(invalid))
        self.assertFalse(table.route("desk.example", "/p/").may_retry)

    def test_an_invalid_record_raises_record_error(self):
        for invalid in (
            {},
            [],
            None,
            {**CONFIGURATION, "version": "x"},
            {**CONFIGURATION, "routes": [{}]},
            {**CONFIGURATION, "routes": [None]},
            {**CONFIGURATION, "services": 3},
            {**CONFIGURATION, "tenants": [{"api_keys": ["k"]}]},
            {**CONFIGURATION, "limits": {"idle_timeout_ms": "long"}},
        ):
            error = self.assertRaises(
                RecordError, decode_routing_table, stored(invalid)
            )
            self.assertIn("config/main", str(error))

    def test_a_target_is_decoded(self):
        fields = {
            "service": "llm",
            "address": "10.0.0.1:80",
            "zone": "a",
            "state": "draining",
            "slots": 4,
        }
        found = decode_target(stored({**fields, "version": "v3"}, "servers/i-1"))
        self.assertEqual("v3", found.software_version)
        found = decode_target(stored(fields, "servers/i-1"))
        self.assertEqual("", found.software_version)
        self.assertEqual(
            ("i-1", "llm", True), (found.name, found.service, found.is_draining)
        )
        for invalid in ({}, {**fields, "address": "x"}, {**fields, "slots": "many"}):
            self.assertRaises(
                RecordError, decode_target, stored(invalid, "servers/i-1")
            )

    def test_a_router_is_decoded(self):
        found = decode_router(stored({"address": "10.0.0.1", "port": 7}, "routers/a"))
        self.assertEqual(("a", 7), (found.name, found.endpoint.port))
        self.assertRaises(RecordError, decode_router, stored({}, "routers/a"))


class SettingsTest(TestCase):
    def read(self, fields):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(fields if isinstance(fields, str) else json.dumps(fields))
            file.flush()
            return read_host_settings(file.name)

    def test_settings_are_read_and_defaults_fill_in(self):
        host = self.read(SETTINGS)
        self.assertEqual("10.1.0.40:8227", str(host.callers))
        self.assertEqual((1.5, 2.0, 5.0), self.bounds(host))
        self.assertTrue(host.is_first_start)

    def bounds(self, host):
        return host.bounds.drain, host.bounds.apply, host.bounds.revoke

    def test_the_batching_delay_after_a_version_is_within_its_bound(self):
        bounds = {"drain_ms": 1500, "config_apply_ms": 3000}
        host = self.read({**SETTINGS, "bounds": bounds})
        self.assertEqual((1.5, 3.0, 5.0), self.bounds(host))
        self.assertLess(CONFIGURATION_BATCHING_SHARE, 0.5)

    # Whether callers were served fairly hung on a contract that no page explains.
    def test_overload_control_follows_the_flag_alone(self):
        for contracts in ([], ["base", "pool"], ["base", "pressure"]):
            host = self.read({**SETTINGS, "contracts": contracts})
            self.assertEqual(
                OverloadMode.ON, entry_settings(host, RouterOptions()).overload.mode
            )
            for mode in OverloadMode:
                options = RouterOptions(overload_control=mode.value)
                self.assertEqual(mode, entry_settings(host, options).overload.mode)

    def test_the_rate_of_the_link_is_read_and_odd_values_are_ignored(self):
        # Guards against a start that an optional setting ends, and wrong pauses.
        limits = {"memory_mb": 200, "link_mbps": 5}
        self.assertEqual(625_000.0, self.read({**SETTINGS, "limits": limits}).link_rate)
        self.assertIsNone(self.read(SETTINGS).link_rate)
        for odd in (0, -5, "5", True, None, [], 1e30, math.nan, math.inf):
            limits = {"memory_mb": 200, "link_mbps": odd}
            self.assertIsNone(self.read({**SETTINGS, "limits": limits}).link_rate)

    def test_invalid_settings_raise_boot_file_error(self):
        for invalid in (
            "not json",
            "[]",
            {},
            {**SETTINGS, "internal_ports": []},
            {**SETTINGS, "listen": {"front": "nowhere"}},
            {**SETTINGS, "platform": {"address": "10.0.0.1:99999"}},
            {**SETTINGS, "bounds": {"drain_ms": "soon"}},
        ):
            error = self.assertRaises(SettingsFileError, self.read, invalid)
            self.assertIn("settings file", str(error))

    def test_a_missing_file_raises_boot_file_error(self):
        self.assertRaises(SettingsFileError, read_host_settings, "/nowhere/node.json")


class CodecTest(TestCase):
    def setUp(self):
        super().setUp()
        self.codec = PlatformCodec()

    def head(self, **fields):
        headers = Headers({"Host": ["desk.example"], "X-Own": ["1"]})
        for name, value in fields.items():
            headers.addRawHeader(name.replace("_", "-"), value)
        return self.codec.caller_head(b"POST", b"/p/x?y", headers)

    def test_a_caller_s_head_is_decoded(self):
        found = self.head(
            Primrosescale_Request_Id="r1",
            Primrosescale_Request_Deadline="1500",
            Primrosescale_Token_Usage="1460,80",
            Primrosescale_Prompt_Prefix="5c1e:800,91bd:410",
            Authorization="bearer k1",
            Last_Event_Id="4",
        )
        self.assertEqual(("r1", "k1", 1.5, 4), self.decoded(found))
        self.assertEqual([800, 410], [part.tokens for part in found.prompt.parts])
        self.assertEqual(80, found.prompt.output_tokens)

    def test_the_first_attempt_of_a_resumed_stream_is_decoded(self):
        self.assertEqual("r0", self.head(Resumes=" r0 ").first_attempt_id)
        self.assertEqual("", self.head().first_attempt_id)

    def decoded(self, found):
        return found.request_id, found.key, found.time_left, found.last_event

    def test_invalid_values_count_as_missing(self):
        found = self.head(
            Primrosescale_Request_Deadline="soon",
            Primrosescale_Token_Usage="x,y",
            Primrosescale_Prompt_Prefix="a:b",
            Authorization="Basic x",
            Last_Event_Id="-1",
        )
        self.assertEqual(("", "", None, None), self.decoded(found))
        self.assertIsNone(found.prompt)

    def test_only_the_router_sets_its_own_headers(self):
        found = self.head(
            Primrosescale_Request_Id="r1",
            Primrosescale_Model="m",
            Connection="close, X-Hop, Primrosescale-Request-Id",
            X_Hop="1",
            Keep_Alive="timeout=4",
            Transfer_Encoding="chunked",
            Authorization="Bearer k1",
            Primrosescale_Tenant="forged",
            Primrosescale_Request_Priority="0",
            Primrosescale_Expect_Instance="i-9",
            Primrosescale_Hold="1",
            Primrosescale_Pin_Duration="1",
            Primrosescale_Kv_Backup="x",
            Primrosescale_Not_Executed="1",
            Kv_From="x",
            Kv_Fetch="x",
        )
        names = sorted(name.decode().lower() for name, _ in found.headers)
        expected = ["host", "primrosescale-model", "primrosescale-request-id", "x-own"]
        self.assertEqual(expected, names)

    def test_headers_to_a_target_carry_the_router_s_decisions(self):
        sending = OutgoingRequest(
            request=replace(request(STREAM), prompt=prompt(("a", 1), ("b", 2))),
            target=target("m1"),
            time_left=0.75,
            resume_after=3,
            fetch_from=target("m2"),
            needs_new_connection=False,
        )
        headers = self.codec.target_headers(sending)
        decoded = {n.lower(): v[0] for n, v in headers.getAllRawHeaders()}
        self.assertEqual(
            {
                b"primrosescale-request-deadline": b"750",
                b"primrosescale-expect-instance": b"m1",
                b"primrosescale-tenant": b"bakery",
                b"primrosescale-request-priority": b"1",
                b"last-event-id": b"3",
                b"kv-fetch": b"127.0.0.1:9002",
            },
            decoded,
        )

    def test_an_answer_s_head_is_decoded(self):
        headers = Headers(
            {
                "Primrosescale-Request-Id": ["r1"],
                "Primrosescale-Response-Signature": ["s"],
                "Primrosescale-Engine-Load": ["3,1,8"],
                "Content-Encoding": ["gzip"],
                "Keep-Alive": ["timeout=5"],
            },
        )
        found = self.codec.answer_head(200, headers, 5)
        self.assertEqual(
            ("r1", True, 5), (found.request_id, found.has_receipt, found.length)
        )
        self.assertEqual(
            (3, 1, 8), (found.load.running, found.load.waiting, found.load.slots)
        )
        names = {name.lower() for name, _ in found.headers}
        self.assertIn(b"content-encoding", names)
        self.assertNotIn(b"keep-alive", names)

    def test_a_load_with_the_pace_of_the_host_is_not_dropped(self):
        # A fourth figure made the router ignore the whole header.
        for text, expected in (
            ("3,1,8", LoadReport(3, 1, 8, None)),
            ("3,1,8,250", LoadReport(3, 1, 8, 2.5)),
            ("3, 1, 8, 0", LoadReport(3, 1, 8, None)),
            ("3,1,8,x", None),
            ("3,1", None),
            ("3,1,8,100,1", None),
        ):
            headers = Headers({"Primrosescale-Engine-Load": [text]})
            found = self.codec.answer_head(200, headers, 5)
            self.assertEqual(expected, found.load, text)

    def answer(self, status=200, **headers):
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        return self.codec.answer_head(status, Headers(named), None)

    def test_a_target_may_announce_leaving_in_any_answer(self):
        for status in (200, 404, 500, 503):
            self.assertTrue(self.answer(status, Server_Leaving=["1"]).is_leaving)
        for value in ("0", "", "yes", "11"):
            self.assertFalse(self.answer(Server_Leaving=[value]).is_leaving)
        self.assertFalse(self.answer().is_leaving)

    def test_a_target_may_request_a_pause_with_status_503(self):
        self.assertEqual(3.0, self.answer(503, Retry_After=["3"]).rest)
        self.assertEqual(0.25, self.answer(503, Retry_After=[" 0.25 "]).rest)
        self.assertIsNone(self.answer(503).rest)
        for status in (200, 429, 500, 504):
            self.assertIsNone(self.answer(status, Retry_After=["3"]).rest)

    def test_invalid_requested_pauses_are_bounded_or_none(self):
        for value in ("-1", "0", "nan", "-inf", "", "soon", "3 s", "\xff"):
            self.assertIsNone(self.answer(503, Retry_After=[value]).rest, value)
        date = "Wed, 21 Oct 2026 07:28:00 GMT"
        self.assertIsNone(self.answer(503, Retry_After=[date]).rest)
        for value in ("1e9", "inf", "1e999"):
            self.assertEqual(
                MAX_PAUSE_SECONDS, self.answer(503, Retry_After=[value]).rest
            )
        self.assertEqual(5.0, self.answer(503, Retry_After=["2", "5", "odd"]).rest)

    def test_invalid_requested_pauses_are_marked(self):
        for value in ("0", "0.5", "600"):
            found = self.answer(503, Retry_After=[value])
            self.assertFalse(found.is_rest_odd, value)
        for value in ("-1", "nan", "inf", "601", "", "soon"):
            found = self.answer(503, Retry_After=[value])
            self.assertTrue(found.is_rest_odd, value)
        self.assertTrue(self.answer(503, Retry_After=["2", "5"]).is_rest_odd)
        self.assertFalse(self.answer(503).is_rest_odd)
        self.assertFalse(self.answer(429, Retry_After=["soon"]).is_rest_odd)

    def test_a_refusal_carries_retry_after(self):
        headers = dict(self.codec.refusal_headers(Refusal.STALE, "r1", 0.4))
        self.assertEqual(b"0.40", headers[b"Retry-After"])
        self.assertNotIn(
            b"Retry-After", dict(self.codec.refusal_headers(Refusal.CUT, "r1", None))
        )


class BoundaryTest(TestCase):
    """Only the adapter and its stand-ins contain names of the users' wire."""

    WIRE_NAMES = re.compile(
        r"Primrosescale-[A-Z]|Kv-(Fetch|From)|/api/|\"(routes|path_prefix|max_attempts|"
        r"skip_auth|resume_streams|gap_aim_ms|target_latency_ms|api_keys|node_name|"
        r"internal_ports|cold_remaining_ms|current_rev|truncated|wait_ms|bounds|"
        r"config_apply_ms|revoke_ms|drain_ms|metadata|spec)\""
    )
    ALLOWED = (
        "platform/",
        "standin/object_platform_store.py",
        "standin/scripted_engine.py",
    )

    def test_nothing_outside_the_adapter_contains_wire_names(self):
        for path in SOURCE.rglob("*.py"):
            name = str(path.relative_to(SOURCE))
            if name.startswith(self.ALLOWED):
                continue
            found = self.WIRE_NAMES.search(path.read_text())
            self.assertIsNone(found, f"{name}: {found}")

    def test_only_its_own_folder_and_stand_ins_import_the_adapter(self):
        for path in SOURCE.rglob("*.py"):
            name = str(path.relative_to(SOURCE))
            if not name.startswith(self.ALLOWED):
                self.assertNotIn("primrosescale.platform.", path.read_text(), name)
