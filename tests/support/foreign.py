"""Valid records of the store, and strategies that generate invalid ones."""

from __future__ import annotations

import copy
import json
import math

from hypothesis import strategies as st

TARGET = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "riga-imanta",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "cold_remaining_ms": 0,
    "stage": "both",
    "models": [{"name": "m", "version": 1, "adapters": []}],
    "sequence": 4,
    "born": 1764720000000,
}
ROUTER = {
    "name": "front-riga-imanta-1",
    "role": "router",
    "address": "10.1.0.40",
    "port": 7340,
    "domain": "riga-imanta",
    "leaving": False,
    "incarnation": 1764720000000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "host": "ficu95.example",
            "path_prefix": "/pufi791/",
            "kind": "streaming",
            "timeout_ms": 12000,
            "target_latency_ms": 600,
            "priority": 0,
            "service": "huvo11a",
            "max_attempts": 2,
            "skip_auth": False,
            "sticky": True,
            "resume_streams": True,
            "gap_aim_ms": 800,
        },
        {
            "name": "r-2",
            "host": "ficu95.example",
            "path_prefix": "/lohu930/",
            "kind": "unsafe",
            "timeout_ms": 1200.5,
            "priority": 1,
            "split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "max_attempts": 1,
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "health_path": "/health",
            "max_connections": 370,
            "tls": False,
            "engine": {
                "slots": 64,
                "kv_cache_tokens": 489350,
                "link_mbps": 130000.0,
                "moves": True,
                "models": [{"name": "m"}],
            },
        },
        {"name": "wuno96b", "max_connections": 110},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [{"name": "hule930", "api_keys": ["n2ctnfzs", "anfqasnm"]}],
}

# Several times the nesting depth that parsers accept.
DEEP = 5_000
# Contents from which no record can be decoded.
UNREADABLE = (
    b"",
    b"\xff\xfe{",
    b'{"service": "\xc3',
    b"{",
    b'{"slots": NaN}',
    b'{"slots": Infinity}',
    b'{"slots": 1' + b"0" * 5000 + b"}",
    b"[" * DEEP,
    b'{"a":' * DEEP + b"1" + b"}" * DEEP,
    b"null",
    b"[]",
    b"7",
    b'"text"',
    b"true",
)

leaves = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.integers(-(10**30), 10**400),
    st.floats(),
    st.sampled_from([math.nan, math.inf, -math.inf, -1, 0, 1e999, 2**53, 2**64]),
    st.text(max_size=20),
    st.sampled_from(
        [
            "",
            "64",
            "0x40",
            "1e3",
            "ready",
            "leaving",
            "x" * 100_000,
            "a\r\nX-Forged: 1",
            "\ud800",
            "\x00",
            "0.0.0.0:80",
            "255.255.255.255:80",
            "224.0.0.1:80",
            "10.0.0.1:0",
            "10.0.0.1:65536",
            "10.0.0.1: 80",
            "10.0.0.1:٨٠",
            "010.0.0.1:80",
            "[::1]:80",
            "host.example:80",
        ]
    ),
)
values = st.recursive(
    leaves,
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
names = st.one_of(
    st.text(max_size=12),
    st.sampled_from(["i-1", "a/b", "x" * 300, "\ud800", "a b", "a\r\nb", "é", ""]),
)


def paths(record, before=()):
    """Return the paths of all members of a record."""
    found = []
    items = record.items() if isinstance(record, dict) else enumerate(record)
    for name, value in items:
        found.append((*before, name))
        if isinstance(value, (dict, list)):
            found += paths(value, (*before, name))
    return found


@st.composite
def corrupted(draw, valid):
    """Generate a record in which some members are missing, added or replaced."""
    record = copy.deepcopy(valid)
    for _ in range(draw(st.integers(1, 3))):
        known = paths(record)
        if not known:
            break
        path = draw(st.sampled_from(known))
        parent = record
        for name in path[:-1]:
            parent = parent[name]
        change = draw(st.sampled_from(["drop", "replace", "add"]))
        if change == "replace":
            parent[path[-1]] = draw(values)
        elif change == "drop":
            del parent[path[-1]]
        elif isinstance(parent, dict):
            parent[draw(st.text(max_size=8))] = draw(values)
    return record


def contents(valid):
    """Return a strategy for contents that the store may have in place of a record."""
    return st.one_of(
        corrupted(valid).map(lambda record: json.dumps(record).encode()),
        values.map(lambda value: json.dumps(value).encode()),
        st.sampled_from(UNREADABLE),
        st.binary(max_size=40),
        st.tuples(st.integers(0, 200), st.binary(max_size=4)).map(
            lambda truncation: (
                json.dumps(valid).encode()[: truncation[0]] + truncation[1]
            )
        ),
    )
