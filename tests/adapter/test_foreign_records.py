"""Records of the store that another writer made are refused, never guessed at."""

from __future__ import annotations

import copy
import json

from hypothesis import given
from hypothesis import strategies as st
from testtools import TestCase

from primrosescale.platform.exceptions import RecordError
from primrosescale.platform.records import decode_router
from primrosescale.platform.records import decode_routing_table
from primrosescale.platform.records import decode_target
from primrosescale.process.transport.platform import StoredObject
from support.drawn import drawn
from support.foreign import CONFIGURATION
from support.foreign import ROUTER
from support.foreign import TARGET
from support.foreign import UNREADABLE
from support.foreign import contents
from support.foreign import names

KINDS = (
    ("servers/i-1", TARGET, decode_target),
    ("routers/r-1", ROUTER, decode_router),
    ("config/main", CONFIGURATION, decode_routing_table),
)
NO_NUMBERS = ("64", True, False, None, [], {}, -1, 1e300)
NO_TEXTS = (7, True, None, [], {}, "", "x" * 20_000, "a\r\nb: c", "\x00", "\ud800")
NO_ADDRESSES = (
    "10.0.0.1",
    ":80",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999999999999999999",
    "10.0.0.1: 80",
    "10.0.0.1:+80",
    "10.0.0.1:8_0",
    "10.0.0.1:٨٠",
    "10.0.0.256:80",
    "010.0.0.1:80",
    "0.0.0.0:80",
    "0.1.2.3:80",
    "224.0.0.1:80",
    "255.255.255.255:80",
    "host.example:80",
    "[::1]:80",
    "10.0.0.1:80:80",
)


def stored(key, fields):
    value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
    return StoredObject(key, 1, value)


def with_member(record, path, value):
    """Return a copy of a record with another value at a path like ``a.0.b``."""
    copied = copy.deepcopy(record)
    *above, last = (int(p) if p.isdigit() else p for p in path.split("."))
    holder = copied
    for name in above:
        holder = holder[name]
    holder[last] = value
    return copied


class Refusals(TestCase):
    def refused(self, decode, key, fields, field):
        error = self.assertRaises(RecordError, decode, stored(key, fields))
        self.assertEqual(field, error.field)
        self.assertTrue(error.reason and error.remedy)
        # Bounded, and fit for a log line in any encoding.
        self.assertLess(len(str(error).encode()), 800)
        return error


class TargetTest(Refusals):
    def refused_with(self, **fields):
        for name in fields:
            self.refused(decode_target, "servers/i-1", {**TARGET, **fields}, name)

    def test_a_good_entry_is_read_whole(self):
        found = decode_target(stored("servers/i-1", {**TARGET, "x": {"new": [1]}}))
        self.assertEqual(
            ("i-1", "10.128.0.9:8080", "huvo11a", "riga-imanta", 64, False, 0.0),
            (
                found.name,
                str(found.endpoint),
                found.service,
                found.domain,
                found.slots,
                found.is_draining,
                found.warm_up_seconds,
            ),
        )
        self.assertEqual(1764720000000, found.started_at)

    def test_what_may_be_missing_has_a_safe_meaning(self):
        needed = ("service", "address", "zone", "state", "slots")
        found = decode_target(
            stored("servers/i-1", {name: TARGET[name] for name in needed})
        )
        self.assertEqual((0.0, None), (found.warm_up_seconds, found.started_at))

    def test_what_a_target_is_called_and_loaded_by_may_not_be_missing(self):
        for name in ("service", "address", "zone", "state", "slots"):
            fields = {key: value for key, value in TARGET.items() if key != name}
            error = self.refused(decode_target, "servers/i-1", fields, name)
            self.assertEqual("missing", error.reason)

    def test_no_other_type_is_taken_for_a_number(self):
        for odd in NO_NUMBERS:
            for name in ("slots", "cold_remaining_ms", "sequence", "born"):
                self.refused_with(**{name: odd})

    def test_a_count_is_whole_and_a_whole_number_may_be_written_with_a_point(self):
        for name in ("slots", "sequence", "born"):
            self.refused_with(**{name: 1.5})
        found = decode_target(stored("servers/i-1", {**TARGET, "slots": 64.0}))
        self.assertEqual((64, int), (found.slots, type(found.slots)))

    def test_counts_that_cannot_be_are_refused(self):
        for odd in (70_000, 2**63, 10**400):
            self.refused_with(slots=odd)
            self.refused_with(cold_remaining_ms=odd * 2000)
        for odd in (2**53, 2**64, 10**400):
            self.refused_with(born=odd)

    def test_no_other_type_is_taken_for_a_text(self):
        for odd in NO_TEXTS:
            for name in ("service", "zone", "state", "address"):
                self.refused_with(**{name: odd})
        self.refused_with(version=1)

    def test_only_states_that_the_platform_names(self):
        for odd in ("Ready", "ready ", "leaving", "failing"):
            self.refused_with(state=odd)
        draining = decode_target(stored("servers/i-1", {**TARGET, "state": "draining"}))
        self.assertTrue(draining.is_draining)

    def test_only_addresses_that_can_be_connected_to(self):
        for odd in NO_ADDRESSES:
            self.refused_with(address=odd)
        for good in ("127.0.0.1:1", "10.0.0.1:65535", "192.168.1.1:080"):
            decode_target(stored("servers/i-1", {**TARGET, "address": good}))

    def test_a_name_that_no_header_can_carry_is_refused(self):
        for odd in ("", "a b", "a\r\nX: 1", "é", "\ud800", "\x00", "x" * 254):
            key = f"servers/{odd}"
            self.refused(decode_target, key, TARGET, "name")
        for good in ("i-7f3a91c2", "a/b", "a/../b", "x" * 253, "!~"):
            self.assertEqual(
                good, decode_target(stored(f"servers/{good}", TARGET)).name
            )


class AllKindsTest(Refusals):
    def test_contents_that_are_no_object_are_refused(self):
        for key, _, decode in KINDS:
            for odd in UNREADABLE:
                self.assertRaises(RecordError, decode, stored(key, odd))

    def test_what_is_no_finite_number_is_refused(self):
        for key, good, decode in KINDS:
            for odd in (float("nan"), float("inf"), float("-inf")):
                # Not JSON at all, wherever it stands.
                self.refused(decode, key, {**good, "unknown": odd}, "")
        for name in ("slots", "cold_remaining_ms", "born", "sequence"):
            text = json.dumps({**TARGET, name: "?"}).replace('"?"', "1e999")
            self.refused(decode_target, "servers/i-1", text.encode(), name)

    def test_a_router_s_entry_is_strict(self):
        for name, odd in (
            ("address", "10.1.0.40:7340"),
            ("address", "0.0.0.0"),
            ("address", "host.example"),
            ("address", 7),
            ("port", "7340"),
            ("port", True),
            ("port", 0),
            ("port", -1),
            ("port", 65536),
            ("port", 1.5),
        ):
            self.refused(decode_router, "routers/r", {**ROUTER, name: odd}, name)
        self.refused(decode_router, "routers/\ud800", ROUTER, "name")


class ConfigurationTest(Refusals):
    def refused_at(self, path, odd, field):
        fields = with_member(CONFIGURATION, path, odd)
        self.refused(decode_routing_table, "config/main", fields, field)

    def test_a_text_never_opens_a_route_to_all(self):
        for flag in ("skip_auth", "sticky", "resume_streams"):
            for odd in ("false", 0, 1, "true", [], {}):
                self.refused_at(f"routes.0.{flag}", odd, f"routes[0].{flag}")

    def test_an_odd_list_of_keys_never_opens_all_routes(self):
        for odd in (None, 0, False, "", {}):
            self.refused_at("tenants", odd, "tenants")
        for odd in ("k1", {"k1": 1}, 0, False):
            self.refused_at("tenants.0.api_keys", odd, "tenants[0].api_keys")
        # A caller without a key sends an empty one.
        for odd in ("", None, 7):
            self.refused_at("tenants.0.api_keys.0", odd, "tenants[0].api_keys")

    def test_a_refusal_tells_no_key(self):
        odd = with_member(CONFIGURATION, "tenants.0.api_keys.0", "secret\n")
        error = self.refused(
            decode_routing_table, "config/main", odd, "tenants[0].api_keys"
        )
        self.assertNotIn("secret", str(error))

    def test_no_other_type_is_taken_for_a_number(self):
        for path, field in (
            ("version", "version"),
            ("routes.0.timeout_ms", "routes[0].timeout_ms"),
            ("routes.0.target_latency_ms", "routes[0].target_latency_ms"),
            ("routes.0.gap_aim_ms", "routes[0].gap_aim_ms"),
            ("routes.0.max_attempts", "routes[0].max_attempts"),
            ("routes.0.priority", "routes[0].priority"),
            ("routes.1.split.0.weight", "routes[1].split[0].weight"),
            ("services.0.engine.slots", "services[0].engine.slots"),
            ("services.0.engine.kv_cache_tokens", "services[0].engine.kv_cache_tokens"),
            ("limits.max_body_bytes", "limits.max_body_bytes"),
            ("limits.idle_timeout_ms", "limits.idle_timeout_ms"),
        ):
            for odd in ("64", True, [], {}, -1, 1e300):
                self.refused_at(path, odd, field)

    def test_a_split_without_any_weight_is_refused(self):
        odd = [{"service": "a", "weight": 0}, {"service": "b", "weight": 0.0}]
        self.refused_at("routes.1.split", odd, "routes[1].split")

    def test_one_odd_route_makes_the_version_unreadable(self):
        for path, odd, field in (
            ("routes.1", None, "routes[1]"),
            ("routes.1.host", 7, "routes[1].host"),
            ("routes.1.path_prefix", "", "routes[1].path_prefix"),
            ("routes.1.path_prefix", "no/slash", "routes[1].path_prefix"),
            ("routes.1.kind", ["unsafe"], "routes[1].kind"),
            ("routes.1.split", "a", "routes[1].split"),
            ("routes.0.service", None, "routes[0].service"),
            ("services", {}, "services"),
            ("services.1.name", 1, "services[1].name"),
            ("tenants.0.name", "a\nb", "tenants[0].name"),
            ("limits", [], "limits"),
        ):
            self.refused_at(path, odd, field)

    def test_null_stands_for_what_may_be_left_out(self):
        for path in ("limits", "tenants.0.api_keys", "routes.0.gap_aim_ms"):
            fields = with_member(CONFIGURATION, path, None)
            self.assertEqual(
                7, decode_routing_table(stored("config/main", fields)).version
            )


class DrawnTest(TestCase):
    """By hand with thousands: ``DRAWN_TIMES=20`` in the environment."""

    def assert_read_or_refused(self, kind, name, value):
        key, _, decode = KINDS[kind]
        given_key = key if kind == 2 else f"{key.partition('/')[0]}/{name}"
        item = StoredObject(given_key, 1, value)
        try:
            found = decode(item)
        except RecordError as error:
            str(error).encode()
            return
        # What was read is fit to be used: in headers, addresses and sums.
        if kind < 2:
            found.name.encode("ascii")
            self.assertTrue(0 < found.endpoint.port < 65536)
        if kind == 0:
            self.assertIs(int, type(found.slots))
            self.assertTrue(0 <= found.warm_up_seconds <= 86_400)
            self.assertIn(type(found.started_at), (int, type(None)))

    @drawn(200)
    @given(names, contents(TARGET))
    def test_a_target_s_entry_is_read_or_refused(self, name, value):
        self.assert_read_or_refused(0, name, value)

    @drawn(100)
    @given(names, contents(ROUTER))
    def test_a_router_s_entry_is_read_or_refused(self, name, value):
        self.assert_read_or_refused(1, name, value)

    @drawn(200)
    @given(contents(CONFIGURATION))
    def test_a_configuration_is_read_or_refused(self, value):
        self.assert_read_or_refused(2, "", value)

    @drawn(100)
    @given(
        st.fixed_dictionaries(
            {
                "service": st.text("abc123", min_size=1, max_size=9),
                "address": st.tuples(
                    st.ip_addresses(v=4).filter(
                        lambda a: 0 < a.packed[0] < 224  # hosts
                    ),
                    st.integers(1, 65535),
                ).map(lambda pair: f"{pair[0]}:{pair[1]}"),
                "zone": st.text("abc-", min_size=1, max_size=9),
                "state": st.sampled_from(["ready", "draining"]),
                "slots": st.integers(0, 65535),
            },
            optional={
                "version": st.text("v.1", max_size=5),
                "cold_remaining_ms": st.floats(0, 86_400_000),
                "sequence": st.integers(0, 2**53 - 1),
                "born": st.integers(0, 2**53 - 1),
                "new": st.none() | st.booleans(),
            },
        )
    )
    def test_a_good_entry_is_read_as_it_was_written(self, fields):
        found = decode_target(stored("servers/i-1", fields))
        self.assertEqual(
            (fields["service"], fields["address"], fields["zone"], fields.get("born")),
            (found.service, str(found.endpoint), found.domain, found.started_at),
        )
        self.assertEqual(fields["slots"], found.slots)
        self.assertEqual(fields["state"] == "draining", found.is_draining)
